"""Tests of the seven rules of the policy. Each test fails if the code that enforces its rule is removed."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest
from conftest import SHORT_CLASS, Driver, engine_id, make_settings, one_class

from saffronlane import interface as api
from saffronlane.interface import DeduplicationScope, EndpointListMode, EngineState, Idempotency, Outcome


def make_entry(index: int, state: EngineState = EngineState.READY, **fields: object) -> api.EngineEntry:
    return api.EngineEntry(engine_id(index), state, **fields)


# --- Rule 1: every request gets exactly one final answer, in time ---


def test_request_without_an_outcome_gets_one_final_answer_before_its_timeout(driver: Driver) -> None:
    request = driver.submit(timeout=2.0)
    driver.run_until(101.5)
    assert driver.final_answers(request) == []
    driver.run_until(102.0)
    assert len(driver.final_answers(request)) == 1


def test_attempt_timeout_is_shorter_than_the_client_timeout(driver: Driver) -> None:
    request = driver.submit(timeout=2.0)
    assert 0.0 < driver.dispatches(request)[0].timeout < 2.0


def test_request_is_queued_and_then_rejected_if_there_is_no_engine() -> None:
    driver = Driver(make_settings(), engines=0)
    request = driver.submit(timeout=1.0)
    assert driver.dispatches() == [] and driver.final_answers(request) == []
    driver.run_until(101.0)
    assert len(driver.actions_of_type(api.Reject, request)) == 1


def test_late_events_of_an_ended_request_are_ignored(driver: Driver) -> None:
    request = driver.submit()
    driver.end_attempt(request, Outcome.OK)
    previous_count = len(driver.actions)
    driver.end_attempt(request, Outcome.ERROR)
    driver.step(api.ClientDisconnected(request), api.ClientDisconnected(999))
    driver.step(
        api.ProgressReport(request, 0, engine_id(0), api.ProgressKind.PROGRESS, 0.5), api.TimerFired(12345)
    )
    assert driver.actions[previous_count:] == []


# --- Rule 2: no request takes effect twice ---


def test_unsafe_request_fails_and_is_not_retried_after_a_reset() -> None:
    driver = Driver(make_settings(classes=one_class(idempotency=Idempotency.UNSAFE, idempotency_ttl=5.0)))
    request = driver.submit()
    driver.end_attempt(request, Outcome.RESET)
    assert len(driver.dispatches(request)) == 1
    assert driver.final_answers(request) == [api.Fail(request)]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_unsafe_request_that_never_ran_is_retried_immediately(outcome: Outcome) -> None:
    driver = Driver(make_settings(classes=one_class(idempotency=Idempotency.UNSAFE)))
    request = driver.submit()
    driver.end_attempt(request, outcome)
    assert len(driver.dispatches(request)) == 2
    assert driver.dispatches(request)[0].engine != driver.dispatches(request)[1].engine


def test_keyed_request_is_retried_only_in_the_zone_of_its_first_attempt() -> None:
    classes = one_class(
        idempotency=Idempotency.KEYED, deduplication_scope=DeduplicationScope.ZONE, idempotency_ttl=30.0
    )
    driver = Driver(make_settings(classes=classes), engines=0)
    driver.update_endpoints([make_entry(i, zone=i % 3) for i in range(9)])
    request = driver.submit()
    driver.end_attempt(request, Outcome.RESET)
    zones = [dispatch.engine[3] % 3 for dispatch in driver.dispatches(request)]
    assert len(zones) == 2 and zones[0] == zones[1]


def test_keyed_request_is_not_retried_after_its_key_has_expired() -> None:
    driver = Driver(make_settings(classes=one_class(idempotency=Idempotency.KEYED, idempotency_ttl=2.0)))
    request = driver.submit()
    driver.now += 2.0
    driver.end_attempt(request, Outcome.RESET)
    assert len(driver.dispatches(request)) == 1
    assert driver.final_answers(request) == [api.Fail(request)]


def test_key_ttl_starts_at_the_first_attempt_that_may_have_run() -> None:
    driver = Driver(
        make_settings(
            classes=one_class(idempotency=Idempotency.KEYED, idempotency_ttl=2.0, late_priority_weight=0.5)
        )
    )
    request = driver.submit()
    driver.now += 1.5
    driver.end_attempt(request, Outcome.REJECTED)
    driver.now += 1.5
    driver.end_attempt(request, Outcome.RESET, attempt=1)
    assert len(driver.dispatches(request)) == 3


@pytest.mark.parametrize(("connect_timeout", "attempt_count"), [(0.1, 2), (0.25, 2), (0.4, 1), (1.0, 1)])
def test_retry_is_dispatched_only_if_it_arrives_before_its_key_expires(
    connect_timeout: float, attempt_count: int
) -> None:
    """Guards against a constant margin before the expiry of the key.

    With a long connect timeout, retries arrived at the engine after the key had expired.
    """
    settings = make_settings(
        classes=one_class(idempotency=Idempotency.KEYED, idempotency_ttl=2.0, late_priority_weight=0.5)
    )
    limits = replace(settings.limits, connect_timeout=connect_timeout)
    driver = Driver(replace(settings, limits=limits))
    request = driver.submit()
    driver.now += 1.7  # 0.3 s before the key expires
    driver.end_attempt(request, Outcome.RESET)
    assert len(driver.dispatches(request)) == attempt_count


def test_queued_retry_is_not_dispatched_if_its_key_expires_between_expiry_checks() -> None:
    """The retry waits for a ready engine. One becomes ready 20 ms later, when the key is about to expire."""
    classes = one_class(idempotency=Idempotency.KEYED, idempotency_ttl=2.0, late_priority_weight=0.5)
    driver = Driver(make_settings(classes=classes), engines=1)
    request = driver.submit()
    driver.now += 1.74
    driver.update_endpoints([make_entry(0, EngineState.DRAINING)])
    driver.end_attempt(request, Outcome.RESET)
    assert len(driver.dispatches(request)) == 1
    driver.now += 0.02
    driver.update_endpoints([make_entry(0, EngineState.DRAINING), make_entry(1)])
    assert len(driver.dispatches(request)) == 1


def test_next_attempt_waits_for_the_outcome_of_the_cancelled_attempt() -> None:
    driver = Driver(make_settings(progress_interval=1.0))
    for _ in range(6):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1)
    request = driver.submit()
    engine = driver.dispatches(request)[0].engine
    driver.now += 1.0
    driver.step(api.ProgressReport(request, 0, engine, api.ProgressKind.PROGRESS, 0.01))
    assert driver.actions_of_type(api.Cancel, request) == [api.Cancel(request, 0)]
    assert len(driver.dispatches(request)) == 1
    driver.end_attempt(request, Outcome.CANCELLED, elapsed=1.0)
    assert len(driver.dispatches(request)) == 2


# --- Rule 3: draining and removed engines get no attempts ---


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.REMOVED])
def test_nothing_is_dispatched_to_a_draining_or_removed_engine(state: EngineState) -> None:
    driver = Driver(make_settings(), engines=2)
    driver.update_endpoints([make_entry(0, state)], EndpointListMode.DELTA)
    requests = [driver.submit(table_group=float(i)) for i in range(12)]
    assert {driver.dispatches(r)[0].engine for r in requests} == {engine_id(1)}


def test_nothing_is_dispatched_to_an_engine_absent_from_a_full_list() -> None:
    driver = Driver(make_settings(), engines=2)
    driver.update_endpoints([make_entry(1)])
    requests = [driver.submit(table_group=float(i)) for i in range(12)]
    assert {driver.dispatches(r)[0].engine for r in requests} == {engine_id(1)}


# --- Rule 4: an engine in slow start is not overloaded ---

SLOW_START = api.Guarantees(
    slow_start_overload_factor=3.0,
    slow_start_overload_window=1.5,
    slow_start_initial_ratio=0.35,
    slow_start_duration=14.0,
)
SLOW_START_BUDGET = (
    3.0 * 0.35 * 8.0 * 1.5
)  # thread seconds that all gateways together may dispatch in any window without overloading the engine


def dispatch_burst(driver: Driver, count: int) -> float:
    """Submit many requests of 0.5 thread seconds in one step and return the dispatched work."""
    previous_count = len(driver.dispatches())
    driver.step(*(driver.make_arrival() for _ in range(count)))
    return 0.5 * (len(driver.dispatches()) - previous_count)


@pytest.mark.parametrize("gateway_count", [1, 3])
def test_engine_in_slow_start_gets_at_most_its_budget(gateway_count: int) -> None:
    driver = Driver(make_settings(guarantees=SLOW_START, gateway_count=gateway_count), engines=1)
    for _ in range(60):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.5, elapsed=0.5)
    driver.update_endpoints([make_entry(0, started_at=driver.now)], EndpointListMode.DELTA)
    assert 0.0 < dispatch_burst(driver, 100) <= SLOW_START_BUDGET / gateway_count
    driver.now += 20.0
    driver.update_endpoints([make_entry(0, started_at=100.0)], EndpointListMode.DELTA)
    assert dispatch_burst(driver, 100) > SLOW_START_BUDGET / gateway_count


def test_rejected_work_counts_against_the_slow_start_budget() -> None:
    driver = Driver(make_settings(guarantees=SLOW_START), engines=1)
    driver.update_endpoints([make_entry(0, started_at=driver.now)], EndpointListMode.DELTA)
    dispatched_work = 0.0
    for _ in range(100):
        request = driver.submit()
        if driver.dispatches(request):
            dispatched_work += 1.0  # initial estimate: the class's latency objective on one thread
            driver.end_attempt(request, Outcome.REJECTED)
    assert dispatched_work <= SLOW_START_BUDGET


def test_engine_is_in_slow_start_after_an_inferred_restart() -> None:
    driver = Driver(make_settings(guarantees=SLOW_START), engines=1)
    for _ in range(60):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.5, elapsed=0.5)
    request = driver.submit()
    driver.end_attempt(request, Outcome.RESET)
    driver.end_attempt(request, Outcome.CONNECT_FAILED, attempt=1)
    driver.now += 3.0
    driver.run_until(driver.now)
    driver.end_attempt(request, Outcome.OK, attempt=2, work=0.5, elapsed=0.5)
    assert dispatch_burst(driver, 100) <= SLOW_START_BUDGET


# --- Rule 5: requests with the same ordering key run one at a time, in order ---


def ordered_driver(cooldown: float = 0.0) -> Driver:
    guarantees = api.Guarantees(ordering_cooldown=cooldown)
    return Driver(
        make_settings(classes=one_class(is_ordered=True, late_priority_weight=0.5), guarantees=guarantees)
    )


def test_requests_of_one_ordering_key_run_one_at_a_time() -> None:
    driver = ordered_driver()
    first, second, other = (
        driver.submit(ordering_key=5),
        driver.submit(ordering_key=5),
        driver.submit(ordering_key=6),
    )
    assert driver.dispatches(first) and not driver.dispatches(second) and driver.dispatches(other)
    driver.end_attempt(first, Outcome.OK)
    assert driver.dispatches(second)


def test_ordering_key_is_blocked_until_the_attempt_of_an_ended_request_has_an_outcome() -> None:
    driver = ordered_driver()
    first, second = driver.submit(ordering_key=5), driver.submit(ordering_key=5)
    driver.step(api.ClientDisconnected(first))
    assert not driver.dispatches(second)
    driver.end_attempt(first, Outcome.CANCELLED)
    assert driver.dispatches(second)


def test_ordering_key_has_a_cooldown_after_a_cancelled_attempt() -> None:
    driver = ordered_driver(cooldown=1.0)
    first, second = driver.submit(ordering_key=5, timeout=0.5), driver.submit(ordering_key=5)
    driver.run_until(100.5)
    driver.end_attempt(first, Outcome.CANCELLED)
    driver.run_until(101.4)
    assert not driver.dispatches(second)
    driver.run_until(101.7)
    assert driver.dispatches(second)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_unsafe_ordered_bulk_load_blocks_its_ordering_key_until_it_ends_and_then_fails(
    outcome: Outcome,
) -> None:
    """Guards against a second effect of a bulk load that may still run.

    The bulk load is neither retried nor rejected, because a rejection means that the client may safely retry.
    Its ordering key stays blocked until the attempt has ended.
    """
    classes = one_class(
        idempotency=Idempotency.UNSAFE, is_ordered=True, is_bulk_load=True, late_priority_weight=0.5
    )
    driver = Driver(make_settings(classes=classes, progress_interval=0.5))
    first, second = driver.submit(ordering_key=5, timeout=4.0), driver.submit(ordering_key=5)
    driver.run_until(103.0)
    assert len(driver.dispatches(first)) == 1 and not driver.dispatches(second)
    assert not driver.actions_of_type(api.Cancel, first)
    driver.end_attempt(first, outcome)
    assert driver.final_answers(first) == [api.Fail(first)] and len(driver.dispatches(first)) == 1
    assert len(driver.dispatches(second)) == 1


def test_unsafe_request_is_never_used_as_a_probe_request_to_an_ejected_engine() -> None:
    classes = (SHORT_CLASS, replace(SHORT_CLASS, idempotency=Idempotency.UNSAFE))
    driver = Driver(make_settings(classes=classes), engines=3)
    driver.gateway.outlier_detector.eject(driver.gateway.engine_registry.engines[engine_id(0)], "failing")
    used_engines: dict[int, set[bytes]] = {0: set(), 1: set()}
    for i in range(60):
        driver.now += 1.0
        for class_index in (1, 0):
            request = driver.submit(class_index, table_group=float(i))
            engine = driver.dispatches(request)[0].engine
            used_engines[class_index].add(engine)
            driver.end_attempt(
                request, Outcome.ERROR if engine == engine_id(0) else Outcome.OK, is_final=True
            )
    assert used_engines[1] == {engine_id(1), engine_id(2)}
    assert engine_id(0) in used_engines[0]


# --- Rule 6: requests run only in allowed zones and on allowed machine types ---


def test_request_runs_only_in_its_allowed_zones_and_waits_if_they_have_no_engine() -> None:
    classes = one_class(allowed_zones=(1,), allowed_machine_types=(0,))
    driver = Driver(make_settings(classes=classes), engines=0)
    driver.update_endpoints([make_entry(i, zone=i % 2) for i in range(6)])
    request = driver.submit()
    assert driver.dispatches(request)[0].engine[3] % 2 == 1
    driver.update_endpoints(
        [make_entry(i, EngineState.REMOVED, zone=i % 2) for i in (1, 3, 5)], EndpointListMode.DELTA
    )
    waiting = driver.submit(timeout=0.5)
    driver.run_until(100.5)
    assert not driver.dispatches(waiting) and len(driver.final_answers(waiting)) == 1


# --- Rule 7: retries stay within the retry budget ---


def test_retries_stay_within_the_retry_budget() -> None:
    guarantees = api.Guarantees(retry_budget_base=3.0, retry_budget_ratio=0.2, retry_budget_window=10.0)
    limits = api.Limits(can_cancel=True, max_attempts=3, max_retry_after=1.0)
    driver = Driver(make_settings(guarantees=guarantees, limits=limits), engines=6)
    driver.now += 10.1
    requests = [driver.submit() for _ in range(20)]
    for request in requests:
        driver.end_attempt(request, Outcome.ERROR)
    retry_count = len(driver.dispatches()) - len(requests)
    assert 0 < retry_count <= 3 + 0.2 * len(requests)


def test_restarted_gateway_has_no_base_retry_budget_for_one_window() -> None:
    """Guards against a gateway that uses its base budget both before and after a crash in the same window."""
    guarantees = api.Guarantees(retry_budget_base=3.0, retry_budget_ratio=0.2, retry_budget_window=10.0)
    driver = Driver(make_settings(guarantees=guarantees), engines=6)
    for elapsed, retry_count in ((1.0, 0), (10.0, 3)):
        driver.now += elapsed
        requests = [driver.submit() for _ in range(9)]
        for request in requests:
            driver.end_attempt(request, Outcome.ERROR)
        assert sum(len(driver.dispatches(request)) - 1 for request in requests) == retry_count


@pytest.mark.parametrize("seed", range(4))
def test_retry_budget_holds_in_every_window_despite_failing_clients(seed: int) -> None:
    """The rule compares the retries that arrive at engines with the requests of regular clients.

    Guards against requests of faulty clients, which are syntactically valid but fail on every engine. They
    were counted as served, and so increased the budget that their own retries used.
    """
    random, connect_timeout = Random(seed), 0.25
    guarantees = api.Guarantees(retry_budget_base=3.0, retry_budget_ratio=0.2, retry_budget_window=10.0)
    limits = api.Limits(
        can_cancel=True, hedged_requests_enabled=True, max_attempts=3, connect_timeout=connect_timeout
    )
    driver = Driver(make_settings(guarantees=guarantees, limits=limits), engines=12, seed=seed)
    regular_arrivals: list[float] = []
    retry_arrivals: list[float] = []
    # End time, request, attempt, and whether the client is faulty.
    running: list[tuple[float, int, int, bool]] = []
    faulty_requests: set[int] = set()
    attempt_indices: dict[int, int] = {}
    while driver.now < 140.0:
        is_faulty_client, previous_count = random.random() < 0.05, len(driver.actions)
        driver.run_until(driver.now + random.expovariate(12.0))
        for _ in range(random.randrange(10, 60) if is_faulty_client else 1):
            request = driver.submit(table_group=float(random.randrange(9)))
            if is_faulty_client:
                faulty_requests.add(request)
            else:
                regular_arrivals.append(driver.now)
            if random.random() < 0.1:
                driver.step(api.ClientDisconnected(request))
        for ends_at, request, attempt, is_faulty in sorted(running):
            if ends_at <= driver.now:
                running.remove((ends_at, request, attempt, is_faulty))
                fails = is_faulty or random.random() < 0.2
                driver.end_attempt(request, Outcome.ERROR if fails else Outcome.OK, attempt, work=0.1)
        for dispatch in (a for a in driver.actions[previous_count:] if isinstance(a, api.Dispatch)):
            attempt = attempt_indices[dispatch.request] = attempt_indices.get(dispatch.request, -1) + 1
            arrives_at = driver.now + random.choice((0.0, random.uniform(0.0, connect_timeout)))
            running.append(
                (
                    arrives_at + random.uniform(0.01, 0.4),
                    dispatch.request,
                    attempt,
                    dispatch.request in faulty_requests,
                )
            )
            if attempt:
                retry_arrivals.append(arrives_at)
    assert len(retry_arrivals) > 30
    for window_end in retry_arrivals:
        retry_count = sum(window_end - 10.0 < retry <= window_end for retry in retry_arrivals)
        assert retry_count <= 3 + 0.2 * sum(
            window_end - 10.0 < arrival <= window_end for arrival in regular_arrivals
        )


# --- Invalid settings ---


@pytest.mark.parametrize(
    "changes",
    [
        {"classes": ()},
        {"machine_types": ()},
        {"machine_types": (api.MachineType("kind", 0.0),)},
        {"classes": (replace(SHORT_CLASS, threads=0),)},
        {"gateway_count": 0},
    ],
)
def test_invalid_settings_raise(changes: dict) -> None:
    with pytest.raises(ValueError):
        Driver(make_settings(**changes))


@pytest.mark.parametrize(
    ("idempotency", "budget_base", "expected"),
    [
        (Idempotency.KEYED, None, 1.5),  # the rest of the time for which the key is known
        (Idempotency.KEYED, 3.0, 0.105),  # the time in which the retry budget expects it to be sent
        (Idempotency.SAFE, 3.0, 0.105),
        (Idempotency.SAFE, None, math.inf),
    ],
)
def test_retry_has_to_be_sent_while_the_decision_for_it_holds(
    idempotency: Idempotency, budget_base: float | None, expected: float
) -> None:
    """Guards against a retry that waits at its engine and breaks a rule when it is sent at last."""
    settings = make_settings(
        classes=one_class(idempotency=idempotency, idempotency_ttl=2.0, late_priority_weight=0.5),
        guarantees=api.Guarantees(retry_budget_base=budget_base, retry_budget_window=10.0),
    )
    limits = replace(settings.limits, connect_timeout=0.1)
    driver = Driver(replace(settings, limits=limits))
    driver.now += 20.0
    request = driver.submit()
    driver.now += 0.5
    driver.end_attempt(request, Outcome.RESET)
    first, retry = driver.dispatches(request)
    assert first.send_timeout == math.inf
    assert retry.send_timeout == pytest.approx(expected)
