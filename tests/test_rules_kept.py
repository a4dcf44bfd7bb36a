"""One test or more for each of the seven rules; each fails when its guard is taken out."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from conftest import LOOKUP, Driver, engine_id, make_settings, one_class

from saffronlane import interface as api
from saffronlane.interface import DeduplicationScope, EndpointListMode, EngineState, Idempotency, Outcome


def entry(index: int, state: EngineState = EngineState.READY, **fields: object) -> api.EngineEntry:
    return api.EngineEntry(engine_id(index), state, **fields)


# --- 1: no request is lost ---


def test_unanswered_request_ends_once_and_in_time(driver: Driver) -> None:
    request = driver.ask(remaining=2.0)
    driver.pass_time(101.5)
    assert driver.answers(request) == []
    driver.pass_time(102.0)
    assert len(driver.answers(request)) == 1


def test_attempt_time_out_fits_inside_the_clients_time(driver: Driver) -> None:
    request = driver.ask(remaining=2.0)
    assert 0.0 < driver.sends(request)[0].timeout < 2.0


def test_requests_without_engines_are_queued_and_then_rejected() -> None:
    driver = Driver(make_settings(), engines=0)
    request = driver.ask(remaining=1.0)
    assert driver.sends() == [] and driver.answers(request) == []
    driver.pass_time(101.0)
    assert len(driver.of_kind(api.Reject, request)) == 1


def test_late_events_on_ended_requests_change_nothing(driver: Driver) -> None:
    request = driver.ask()
    driver.end(request, Outcome.OK)
    before = len(driver.actions)
    driver.end(request, Outcome.ERROR)
    driver.step(api.ClientDisconnected(request), api.ClientDisconnected(999))
    driver.step(
        api.ProgressReport(request, 0, engine_id(0), api.ProgressKind.PROGRESS, 0.5), api.TimerFired(12345)
    )
    assert driver.actions[before:] == []


# --- 2: no effect happens twice ---


def test_unsafe_request_that_may_have_run_fails_and_is_not_repeated() -> None:
    driver = Driver(make_settings(classes=one_class(idempotency=Idempotency.UNSAFE, idempotency_ttl=5.0)))
    request = driver.ask()
    driver.end(request, Outcome.RESET)
    assert len(driver.sends(request)) == 1
    assert driver.answers(request) == [api.Fail(request)]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_unsafe_request_that_never_ran_is_repeated_at_once(outcome: Outcome) -> None:
    driver = Driver(make_settings(classes=one_class(idempotency=Idempotency.UNSAFE)))
    request = driver.ask()
    driver.end(request, outcome)
    assert len(driver.sends(request)) == 2
    assert driver.sends(request)[0].engine != driver.sends(request)[1].engine


def test_keyed_request_is_repeated_only_in_its_zone() -> None:
    classes = one_class(
        idempotency=Idempotency.KEYED, deduplication_scope=DeduplicationScope.ZONE, idempotency_ttl=30.0
    )
    driver = Driver(make_settings(classes=classes), engines=0)
    driver.list([entry(i, zone=i % 3) for i in range(9)])
    request = driver.ask()
    driver.end(request, Outcome.RESET)
    zones = [send.engine[3] % 3 for send in driver.sends(request)]
    assert len(zones) == 2 and zones[0] == zones[1]


def test_keyed_request_is_not_repeated_after_its_window() -> None:
    driver = Driver(make_settings(classes=one_class(idempotency=Idempotency.KEYED, idempotency_ttl=2.0)))
    request = driver.ask()
    driver.now += 2.0
    driver.end(request, Outcome.RESET)
    assert len(driver.sends(request)) == 1
    assert driver.answers(request) == [api.Fail(request)]


def test_keyed_window_counts_from_the_first_attempt_that_may_have_run() -> None:
    driver = Driver(
        make_settings(
            classes=one_class(idempotency=Idempotency.KEYED, idempotency_ttl=2.0, late_priority_weight=0.5)
        )
    )
    request = driver.ask()
    driver.now += 1.5
    driver.end(request, Outcome.REJECTED)
    driver.now += 1.5
    driver.end(request, Outcome.RESET, attempt=1)
    assert len(driver.sends(request)) == 3


@pytest.mark.parametrize(("connect", "sent"), [(0.1, 2), (0.25, 2), (0.4, 1), (1.0, 1)])
def test_a_repeat_that_may_wait_for_its_connection_arrives_within_its_keys_time(
    connect: float, sent: int
) -> None:
    """The margin was a constant: where connections may take longer, a repeat arrived after the key's time."""
    settings = make_settings(
        classes=one_class(idempotency=Idempotency.KEYED, idempotency_ttl=2.0, late_priority_weight=0.5)
    )
    limits = replace(settings.limits, connect_timeout=connect)
    driver = Driver(replace(settings, limits=limits))
    request = driver.ask()
    driver.now += 1.7  # 0.3 s are left
    driver.end(request, Outcome.RESET)
    assert len(driver.sends(request)) == sent


def test_queued_retry_does_not_leave_between_two_expiry_checks() -> None:
    """It is held for want of an engine when its key's time is up to its margin; one comes 20 ms later."""
    classes = one_class(idempotency=Idempotency.KEYED, idempotency_ttl=2.0, late_priority_weight=0.5)
    driver = Driver(make_settings(classes=classes), engines=1)
    request = driver.ask()
    driver.now += 1.74
    driver.list([entry(0, EngineState.DRAINING)])
    driver.end(request, Outcome.RESET)
    assert len(driver.sends(request)) == 1
    driver.now += 0.02
    driver.list([entry(0, EngineState.DRAINING), entry(1)])
    assert len(driver.sends(request)) == 1


def test_next_send_waits_for_the_outcome_of_a_cancel() -> None:
    driver = Driver(make_settings(progress_interval=1.0))
    for _ in range(6):
        driver.end(driver.ask(), Outcome.OK, work=0.1)
    request = driver.ask()
    engine = driver.sends(request)[0].engine
    driver.now += 1.0
    driver.step(api.ProgressReport(request, 0, engine, api.ProgressKind.PROGRESS, 0.01))
    assert driver.of_kind(api.Cancel, request) == [api.Cancel(request, 0)]
    assert len(driver.sends(request)) == 1
    driver.end(request, Outcome.CANCELLED, elapsed=1.0)
    assert len(driver.sends(request)) == 2


# --- 3: drains are kept ---


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.REMOVED])
def test_nothing_is_dispatched_to_a_draining_or_removed_engine(state: EngineState) -> None:
    driver = Driver(make_settings(), engines=2)
    driver.list([entry(0, state)], EndpointListMode.DELTA)
    requests = [driver.ask(table_group=float(i)) for i in range(12)]
    assert {driver.sends(r)[0].engine for r in requests} == {engine_id(1)}


def test_engine_absent_from_a_full_list_is_removed() -> None:
    driver = Driver(make_settings(), engines=2)
    driver.list([entry(1)])
    requests = [driver.ask(table_group=float(i)) for i in range(12)]
    assert {driver.sends(r)[0].engine for r in requests} == {engine_id(1)}


# --- 4: a cold engine is not pushed over ---

COLD = api.Guarantees(
    slow_start_overload_factor=3.0,
    slow_start_overload_window=1.5,
    slow_start_initial_ratio=0.35,
    slow_start_duration=14.0,
)
COLD_BUDGET = 3.0 * 0.35 * 8.0 * 1.5  # work in any window that the engine survives, from all gateways


def burst(driver: Driver, count: int) -> float:
    """Send many requests of a known work at once; returns the work that left."""
    before = len(driver.sends())
    driver.step(*(driver.arrival() for _ in range(count)))
    return 0.5 * (len(driver.sends()) - before)


@pytest.mark.parametrize("gateways", [1, 3])
def test_engine_warming_up_gets_at_most_its_budget(gateways: int) -> None:
    driver = Driver(make_settings(guarantees=COLD, gateway_count=gateways), engines=1)
    for _ in range(60):
        driver.end(driver.ask(), Outcome.OK, work=0.5, elapsed=0.5)
    driver.list([entry(0, started_at=driver.now)], EndpointListMode.DELTA)
    assert 0.0 < burst(driver, 100) <= COLD_BUDGET / gateways
    driver.now += 20.0
    driver.list([entry(0, started_at=100.0)], EndpointListMode.DELTA)
    assert burst(driver, 100) > COLD_BUDGET / gateways


def test_rejected_and_cancelled_work_counts_against_the_slow_start_budget() -> None:
    driver = Driver(make_settings(guarantees=COLD), engines=1)
    driver.list([entry(0, started_at=driver.now)], EndpointListMode.DELTA)
    sent = 0.0
    for _ in range(100):
        request = driver.ask()
        if driver.sends(request):
            sent += 1.0  # the seed of a query's work: the class's aim on one thread
            driver.end(request, Outcome.REJECTED)
    assert sent <= COLD_BUDGET


def test_engine_that_may_have_restarted_unseen_is_warming_up() -> None:
    driver = Driver(make_settings(guarantees=COLD), engines=1)
    for _ in range(60):
        driver.end(driver.ask(), Outcome.OK, work=0.5, elapsed=0.5)
    broken = driver.ask()
    driver.end(broken, Outcome.RESET)
    driver.end(broken, Outcome.CONNECT_FAILED, attempt=1)
    driver.now += 3.0
    driver.pass_time(driver.now)
    driver.end(broken, Outcome.OK, attempt=2, work=0.5, elapsed=0.5)
    assert burst(driver, 100) <= COLD_BUDGET


# --- 5: order is kept ---


def ordered_driver(settle: float = 0.0) -> Driver:
    guarantees = api.Guarantees(ordering_cooldown=settle)
    return Driver(
        make_settings(classes=one_class(is_ordered=True, late_priority_weight=0.5), guarantees=guarantees)
    )


def test_requests_of_one_key_run_one_after_another() -> None:
    driver = ordered_driver()
    first, second, other = driver.ask(ordering_key=5), driver.ask(ordering_key=5), driver.ask(ordering_key=6)
    assert driver.sends(first) and not driver.sends(second) and driver.sends(other)
    driver.end(first, Outcome.OK)
    assert driver.sends(second)


def test_key_waits_for_the_outcome_of_an_attempt_of_an_ended_request() -> None:
    driver = ordered_driver()
    first, second = driver.ask(ordering_key=5), driver.ask(ordering_key=5)
    driver.step(api.ClientDisconnected(first))
    assert not driver.sends(second)
    driver.end(first, Outcome.CANCELLED)
    assert driver.sends(second)


def test_ordering_key_has_a_cooldown_after_a_reset() -> None:
    driver = ordered_driver(settle=1.0)
    first, second = driver.ask(ordering_key=5, remaining=0.5), driver.ask(ordering_key=5)
    driver.pass_time(100.5)
    driver.end(first, Outcome.CANCELLED)
    driver.pass_time(101.4)
    assert not driver.sends(second)
    driver.pass_time(101.7)
    assert driver.sends(second)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_unsafe_load_in_order_ends_with_fail_and_the_next_of_its_key_waits(outcome: Outcome) -> None:
    """A lost load may still run: no repeat, no word that a repeat is safe, and the key waits for its end."""
    classes = one_class(
        idempotency=Idempotency.UNSAFE, is_ordered=True, is_bulk_load=True, late_priority_weight=0.5
    )
    driver = Driver(make_settings(classes=classes, progress_interval=0.5))
    first, second = driver.ask(ordering_key=5, remaining=4.0), driver.ask(ordering_key=5)
    driver.pass_time(103.0)
    assert len(driver.sends(first)) == 1 and not driver.sends(second)
    assert not driver.of_kind(api.Cancel, first)
    driver.end(first, outcome)
    assert driver.answers(first) == [api.Fail(first)] and len(driver.sends(first)) == 1
    assert len(driver.sends(second)) == 1


def test_unsafe_load_is_never_the_probe_request_of_an_ejected_engine() -> None:
    classes = (LOOKUP, replace(LOOKUP, idempotency=Idempotency.UNSAFE))
    driver = Driver(make_settings(classes=classes), engines=3)
    driver.gateway.outlier_detector.eject(driver.gateway.engine_registry.engines[engine_id(0)], "failing")
    used: dict[int, set[bytes]] = {0: set(), 1: set()}
    for i in range(60):
        driver.now += 1.0
        for cls in (1, 0):
            request = driver.ask(cls, table_group=float(i))
            engine = driver.sends(request)[0].engine
            used[cls].add(engine)
            driver.end(request, Outcome.ERROR if engine == engine_id(0) else Outcome.OK, is_final=True)
    assert used[1] == {engine_id(1), engine_id(2)}
    assert engine_id(0) in used[0]


# --- 6: placement is kept ---


def test_class_bound_to_zones_waits_and_never_leaves_them() -> None:
    classes = one_class(allowed_zones=(1,), allowed_machine_types=(0,))
    driver = Driver(make_settings(classes=classes), engines=0)
    driver.list([entry(i, zone=i % 2) for i in range(6)])
    request = driver.ask()
    assert driver.sends(request)[0].engine[3] % 2 == 1
    driver.list([entry(i, EngineState.REMOVED, zone=i % 2) for i in (1, 3, 5)], EndpointListMode.DELTA)
    waiting = driver.ask(remaining=0.5)
    driver.pass_time(100.5)
    assert not driver.sends(waiting) and len(driver.answers(waiting)) == 1


# --- 7: further attempts stay within a budget ---


def test_further_attempts_stay_within_the_sliding_window() -> None:
    guarantees = api.Guarantees(retry_budget_base=3.0, retry_budget_ratio=0.2, retry_budget_window=10.0)
    limits = api.Limits(can_cancel=True, max_attempts=3, max_retry_after=1.0)
    driver = Driver(make_settings(guarantees=guarantees, limits=limits), engines=6)
    driver.now += 10.1
    requests = [driver.ask() for _ in range(20)]
    for request in requests:
        driver.end(request, Outcome.ERROR)
    extra = len(driver.sends()) - len(requests)
    assert 0 < extra <= 3 + 0.2 * len(requests)


def test_restart_without_state_gives_no_base_budget_for_one_window() -> None:
    """Guards against a gateway that is killed and used what came free before and after, within one window."""
    guarantees = api.Guarantees(retry_budget_base=3.0, retry_budget_ratio=0.2, retry_budget_window=10.0)
    driver = Driver(make_settings(guarantees=guarantees), engines=6)
    for after, extras in ((1.0, 0), (10.0, 3)):
        driver.now += after
        requests = [driver.ask() for _ in range(9)]
        for request in requests:
            driver.end(request, Outcome.ERROR)
        assert sum(len(driver.sends(request)) - 1 for request in requests) == extras


@pytest.mark.parametrize("seed", range(4))
def test_retry_budget_holds_at_any_time_for_any_client(seed: int) -> None:
    """The rule counts attempts as they arrive at engines, against what usual clients asked.

    Guards against requests of bad clients, which parse, fail on every engine and were counted as taken: they
    widened the ration that their own repeats then used.
    """
    random, wait = Random(seed), 0.25
    guarantees = api.Guarantees(retry_budget_base=3.0, retry_budget_ratio=0.2, retry_budget_window=10.0)
    limits = api.Limits(can_cancel=True, hedged_requests_enabled=True, max_attempts=3, connect_timeout=wait)
    driver = Driver(make_settings(guarantees=guarantees, limits=limits), engines=12, seed=seed)
    usual: list[float] = []
    extras: list[float] = []
    out: list[tuple[float, int, int, bool]] = []  # end, request, attempt, of a bad client
    bad: set[int] = set()
    tries: dict[int, int] = {}
    while driver.now < 140.0:
        flood, before = random.random() < 0.05, len(driver.actions)
        driver.pass_time(driver.now + random.expovariate(12.0))
        for _ in range(random.randrange(10, 60) if flood else 1):
            request = driver.ask(table_group=float(random.randrange(9)))
            if flood:
                bad.add(request)
            else:
                usual.append(driver.now)
            if random.random() < 0.1:
                driver.step(api.ClientDisconnected(request))
        for end, request, attempt, is_bad in sorted(out):
            if end <= driver.now:
                out.remove((end, request, attempt, is_bad))
                fails = is_bad or random.random() < 0.2
                driver.end(request, Outcome.ERROR if fails else Outcome.OK, attempt, work=0.1)
        for send in (action for action in driver.actions[before:] if isinstance(action, api.Dispatch)):
            attempt = tries[send.request] = tries.get(send.request, -1) + 1
            arrived = driver.now + random.choice((0.0, random.uniform(0.0, wait)))
            out.append((arrived + random.uniform(0.01, 0.4), send.request, attempt, send.request in bad))
            if attempt:
                extras.append(arrived)
    assert len(extras) > 30
    for at in extras:
        sent = sum(at - 10.0 < other <= at for other in extras)
        assert sent <= 3 + 0.2 * sum(at - 10.0 < asked <= at for asked in usual)


# --- settings that make no sense ---


@pytest.mark.parametrize(
    "changes",
    [
        {"classes": ()},
        {"machine_types": ()},
        {"machine_types": (api.MachineType("kind", 0.0),)},
        {"classes": (replace(LOOKUP, threads=0),)},
        {"gateway_count": 0},
    ],
)
def test_invalid_settings_raise(changes: dict) -> None:
    with pytest.raises(ValueError):
        Driver(make_settings(**changes))
