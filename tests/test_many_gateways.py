"""Tests of the policy with one and with many gateways. Bounds must hold for the sum over all gateways."""

from __future__ import annotations

import math
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from conftest import LONG_CLASS, SHORT_CLASS, Driver, engine_id, make_settings, one_class

from saffronlane import gossip_messages as messages
from saffronlane import interface as api
from saffronlane import policy
from saffronlane.interface import EndpointListMode, EngineState, Outcome, ProgressKind
from saffronlane.policy.estimation.run_time_estimator import PRIOR_ANSWERS
from saffronlane.policy.estimation.workload_estimates import HEAVY_WORK_RATIO
from saffronlane.policy.routing.eligibility import REJECTION_COOLDOWN

GATEWAY_COUNT, ENGINE_COUNT, WORK, WINDOW = 200, 40, 0.3, 1.5
SLOW_START = api.Guarantees(
    slow_start_overload_factor=3.0,
    slow_start_overload_window=WINDOW,
    slow_start_initial_ratio=0.35,
    slow_start_duration=14.0,
)
SLOW_START_BUDGET = 3.0 * 0.35 * 8.0 * WINDOW
GOSSIP_LIMITS = api.Limits(can_cancel=True, max_attempts=4, gossip_enabled=True)


def make_drivers(
    driver_count: int = GATEWAY_COUNT, engine_count: int = ENGINE_COUNT, **changes: object
) -> list[Driver]:
    """Return one driver per gateway, each with learned estimates of 0.3 s for work and latency."""
    drivers = []
    for gateway_index in range(driver_count):
        settings = make_settings(**{"gateway_count": driver_count, "gateway_index": gateway_index, **changes})
        driver = Driver(settings, engines=engine_count, seed=gateway_index, now=100.0)
        for _ in range(12):
            driver.end_attempt(
                driver.submit(table_group=float(gateway_index % 50)), Outcome.OK, work=WORK, elapsed=WORK
            )
        drivers.append(driver)
    return drivers


def test_two_hundred_gateways_together_use_but_do_not_exceed_the_slow_start_budget() -> None:
    """The sum of the work that all gateways dispatch is positive and within the slow start budget."""
    drivers, random = make_drivers(guarantees=SLOW_START), Random(5)
    entries = [
        api.EngineEntry(engine_id(i), EngineState.READY, started_at=120.0) for i in range(ENGINE_COUNT)
    ]
    dispatch_times: dict[bytes, list[float]] = {engine_id(i): [] for i in range(ENGINE_COUNT)}
    for driver in drivers:
        driver.now = 120.0
        driver.update_endpoints(entries, EndpointListMode.DELTA)
    for tick in range(60):  # 6 s with more requests than all engines can serve in slow start
        for driver in drivers:
            driver.now = 120.0 + tick / 10.0
            previous_count = len(driver.dispatches())
            driver.submit(table_group=float(random.randrange(80)))
            for dispatch in driver.dispatches()[previous_count:]:
                dispatch_times[dispatch.engine].append(driver.now)
                driver.end_attempt(dispatch.request, Outcome.OK, work=WORK, elapsed=WORK)
    for times in dispatch_times.values():
        assert len(times) >= 10, "an engine in slow start is not used"
        max_count = max(sum(start <= time < start + WINDOW for time in times) for start in times)
        assert max_count * WORK <= SLOW_START_BUDGET


def test_large_request_is_not_dispatched_to_an_engine_in_slow_start() -> None:
    driver = make_drivers(
        1,
        engine_count=1,
        gateway_count=GATEWAY_COUNT,
        guarantees=SLOW_START,
        classes=(SHORT_CLASS, LONG_CLASS),
    )[0]
    driver.update_endpoints(
        [api.EngineEntry(engine_id(0), EngineState.READY, started_at=driver.now)], EndpointListMode.DELTA
    )
    driver.now += 13.0
    assert not driver.dispatches(driver.submit(class_index=1))


def test_table_group_uses_its_home_engines_and_spreads_over_others_under_load() -> None:
    driver = make_drivers(1)[0]
    home_engines = [
        engine.id for engine in driver.gateway.engine_selector.eligibility.rendezvous_order(3.0)[:2]
    ]
    assert driver.dispatches(driver.submit(table_group=3.0))[0].engine in home_engines
    used_engines = {driver.dispatches(driver.submit(table_group=3.0))[0].engine for _ in range(60)}
    assert len(used_engines) > 10


def test_hot_table_group_spreads_over_engines_although_nothing_is_in_flight() -> None:
    """One of many gateways rarely has attempts in flight. Its recently dispatched work must count as load."""
    driver = make_drivers(1)[0]
    engines = []
    for i in range(200):
        driver.now += 0.4
        request = driver.submit(table_group=3.0 if i % 4 else float(i))
        engines.append(driver.dispatches(request)[0].engine)
        driver.end_attempt(request, Outcome.OK, work=WORK, elapsed=0.01)
    hot = [engine for i, engine in enumerate(engines) if i % 4]
    assert max(hot.count(engine) for engine in set(hot)) < 0.7 * len(hot)


def test_gateway_queues_under_congestion_even_if_its_concurrency_share_is_below_one_request() -> None:
    driver = make_drivers(1, gateway_count=GATEWAY_COUNT, classes=one_class(late_priority_weight=0.5))[0]
    for _ in range(60):
        driver.end_attempt(driver.submit(), Outcome.OK, work=WORK, elapsed=3.0)
        driver.now += 0.4
    requests = [driver.submit() for _ in range(12)]
    dispatched = [request for request in requests if driver.dispatches(request)]
    assert 1 <= len(dispatched) < len(requests)


def test_no_request_is_queued_while_responses_are_fast() -> None:
    driver = make_drivers(1)[0]
    assert all(driver.dispatches(driver.submit(table_group=float(i))) for i in range(300))


def test_attempt_that_waits_on_its_engine_moves_to_another_engine() -> None:
    driver = Driver(make_settings(progress_interval=1.0), engines=3)
    request = driver.submit()
    first = driver.dispatches(request)[0].engine
    driver.step(api.ProgressReport(request, 0, first, ProgressKind.WAITING, 1.0))
    assert driver.actions_of_type(api.Cancel, request) == [api.Cancel(request, 0)]
    driver.end_attempt(request, Outcome.CANCELLED, elapsed=0.01)
    assert driver.dispatches(request)[1].engine != first


def test_attempt_with_a_lost_response_is_retried_long_before_the_client_timeout() -> None:
    driver = Driver(make_settings(progress_interval=1.0), engines=4)
    request = driver.submit(timeout=5.0)
    driver.run_until(driver.now + 2.3)
    assert driver.actions_of_type(api.Cancel, request)
    driver.end_attempt(request, Outcome.CANCELLED, elapsed=2.2)
    assert driver.dispatches(request)[0].engine != driver.dispatches(request)[1].engine


def test_hedged_attempt_does_not_cancel_the_first_attempt() -> None:
    driver = Driver(
        make_settings(limits=replace(GOSSIP_LIMITS, gossip_enabled=False, hedged_requests_enabled=True)),
        engines=4,
    )
    for _ in range(30):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1, elapsed=0.1)
    request = driver.submit()
    driver.run_until(driver.now + 1.0)
    assert len({dispatch.engine for dispatch in driver.dispatches(request)}) == 2
    assert not driver.actions_of_type(api.Cancel, request)
    driver.end_attempt(request, Outcome.OK, attempt=1)
    assert driver.actions_of_type(api.Cancel, request) == [api.Cancel(request, 0)]


def test_probe_requests_to_many_failed_engines_do_not_take_all_requests() -> None:
    driver = make_drivers(1)[0]
    failed_engines = list(driver.gateway.engine_registry.engines.values())[:15]
    for engine in failed_engines:
        driver.gateway.outlier_detector.eject(engine, "failing")
    probe_request_count = 0
    for i in range(100):
        driver.now += 0.5
        request = driver.submit(table_group=float(i))
        is_probe_request = driver.dispatches(request)[0].engine in {engine.id for engine in failed_engines}
        probe_request_count += is_probe_request
        driver.end_attempt(
            request, Outcome.CONNECT_FAILED if is_probe_request else Outcome.OK, work=WORK, elapsed=WORK
        )
    assert (
        0 < probe_request_count <= 30
    )  # a fifth of all dispatches (including retries) plus the initial credit


# --- Gossip between gateways ---


def gossip_driver(gateway_index: int, has_bulk_loads: bool = True, **changes: object) -> Driver:
    """Return a driver with gossip enabled. Its class 1 is heavy and, by default, a class of bulk loads."""
    classes = (SHORT_CLASS, replace(LONG_CLASS, is_bulk_load=has_bulk_loads))
    defaults = {
        "gateway_count": 3,
        "gateway_index": gateway_index,
        "limits": GOSSIP_LIMITS,
        "classes": classes,
    }
    settings = make_settings(**defaults | changes)
    driver = Driver(settings, engines=6, seed=gateway_index)
    for _ in range(20):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1, elapsed=0.1)
    return driver


def test_reported_bulk_load_blocks_its_table_group_until_its_end_is_reported() -> None:
    sender, receiver = gossip_driver(0), gossip_driver(1)
    request = sender.submit(class_index=1, table_group=4.0)
    for gossip in sender.actions_of_type(api.SendGossip):
        receiver.step(api.PeerMessage(0, gossip.data))
    engine = receiver.gateway.engine_registry.engines[sender.dispatches(request)[0].engine]
    assert engine.is_bulk_loading(4.0) and engine.peer_threads == LONG_CLASS.threads
    previous_count = len(sender.actions_of_type(api.SendGossip))
    sender.end_attempt(request, Outcome.OK, work=2.0, elapsed=1.0)
    for gossip in sender.actions_of_type(api.SendGossip)[previous_count:]:
        receiver.step(api.PeerMessage(0, gossip.data))
    assert not engine.is_bulk_loading(4.0) and engine.peer_threads == 0.0


def test_short_requests_are_not_reported() -> None:
    driver = gossip_driver(0)
    previous_count = len(driver.actions_of_type(api.SendGossip))
    driver.submit()
    assert len(driver.actions_of_type(api.SendGossip)) == previous_count


def test_reported_attempt_expires_if_its_end_is_not_reported() -> None:
    sender, receiver = gossip_driver(0), gossip_driver(1)
    sender.submit(class_index=1)
    for gossip in sender.actions_of_type(api.SendGossip):
        receiver.step(api.PeerMessage(0, gossip.data))
    assert receiver.gateway.load_gossip.peer_load.threads > 0.0
    receiver.now += 120.0
    receiver.submit()
    assert receiver.gateway.load_gossip.peer_load.threads == 0.0


def test_heavy_request_is_reported_despite_many_reports_of_peers_unless_it_is_the_lightest() -> None:
    """Guards against a fixed limit on reported attempts.

    A large deployment at full load reached the limit and reported no further attempts.
    """
    driver = gossip_driver(1, has_bulk_loads=False, gateway_count=230)
    engines = list(driver.gateway.engine_registry.engines)
    for sender in range(2, 232):
        for number in range(4):
            message = messages.GossipMessage(
                number, 3, False, 7, 20.0, 0.0, messages.engine_digest(engines[number])
            )
            driver.step(api.PeerMessage(sender, messages.encode(message)))
    assert driver.gateway.load_gossip.peer_load.threads == 3.0 * 4 * 230
    assert (
        driver.dispatches(driver.submit(class_index=1)) and len(driver.actions_of_type(api.SendGossip)) == 1
    )
    estimator = driver.gateway.workload_estimates.estimators[1]
    estimator.work_total = estimator.uncontended_work_total = (
        HEAVY_WORK_RATIO * 1.01 * driver.gateway.workload_estimates.mean_query()[0] * PRIOR_ANSWERS
    )
    assert driver.gateway.workload_estimates.is_heavy(driver.gateway.pending.requests[driver.last_request])
    assert (
        driver.dispatches(driver.submit(class_index=1)) and len(driver.actions_of_type(api.SendGossip)) == 1
    )  # the lightest heavy request is not reported


def test_request_for_all_memory_of_an_engine_is_dispatched_while_half_is_free() -> None:
    """Guards against a class that never runs because its grant exceeds the memory ratio for known grants."""
    driver = gossip_driver(1, has_bulk_loads=False, memory_grants_enabled=True)
    engines = list(driver.gateway.engine_registry.engines)

    def report_memory(memory_ratio: float, number: int) -> None:
        for engine in engines:
            message = messages.GossipMessage(
                number, 1, False, 7, 20.0, memory_ratio, messages.engine_digest(engine)
            )
            driver.step(api.PeerMessage(0, messages.encode(message)))
            number += 1

    assert driver.dispatches(driver.submit(class_index=1, estimated_memory_mb=16384.0))
    report_memory(0.35, 1)
    assert driver.dispatches(driver.submit(class_index=1, estimated_memory_mb=16384.0))
    report_memory(0.35, 101)
    assert not driver.dispatches(driver.submit(class_index=1, estimated_memory_mb=16384.0))


def test_each_peer_avoids_an_engine_reported_as_full_for_a_different_time() -> None:
    """Guards against one rejection per gateway, and against all gateways using the engine again at once."""
    drivers = [gossip_driver(index) for index in range(3)]
    first = drivers[0].submit(table_group=4.0)
    full_engine = drivers[0].dispatches(first)[0].engine
    previous_count = len(drivers[0].actions_of_type(api.SendGossip))
    drivers[0].end_attempt(first, Outcome.REJECTED, elapsed=0.001)
    gossip = drivers[0].actions_of_type(api.SendGossip)[previous_count:]
    assert [messages.decode(action.data).reports_full for action in gossip] == [True]
    rejection_times = set()
    for driver in drivers[1:]:
        driver.step(api.PeerMessage(0, gossip[0].data))
        assert driver.dispatches(driver.submit(table_group=4.0))[0].engine != full_engine
        rejection_times.add(driver.gateway.engine_registry.engines[full_engine].last_rejection_at)
        driver.now += 2.0 * REJECTION_COOLDOWN + 0.01
        assert full_engine in {driver.dispatches(driver.submit(table_group=4.0))[0].engine for _ in range(4)}
    assert len(rejection_times) == 2
    second = drivers[0].submit(table_group=4.0)
    if drivers[0].dispatches(second)[0].engine == full_engine:  # already reported
        drivers[0].end_attempt(second, Outcome.REJECTED, elapsed=0.001)
    assert len(drivers[0].actions_of_type(api.SendGossip)) == previous_count + 1


START_MESSAGE = messages.encode(
    messages.GossipMessage(1, 4, True, 7, 2.0, 0.5, messages.engine_digest(engine_id(0)))
)


@pytest.mark.parametrize(
    ("sender", "data"),
    [
        (0, b""),
        (0, START_MESSAGE[:-1]),
        (0, START_MESSAGE + b"x"),
        (0, b"\xff" * 256),
        (10**6, START_MESSAGE),
        (0, bytes([START_MESSAGE[0] ^ 0xE0]) + START_MESSAGE[1:]),
        (0, START_MESSAGE[:-3] + b"\0\0\0"),
        (1, START_MESSAGE),
    ],
)
def test_invalid_messages_are_ignored(sender: int, data: bytes) -> None:
    driver = gossip_driver(1)
    driver.step(api.PeerMessage(sender, data))
    assert (
        driver.gateway.load_gossip.peer_load.threads == 0.0
        and not driver.gateway.load_gossip.peer_load.entries
    )


def test_replayed_message_counts_once() -> None:
    driver = gossip_driver(1)
    for _ in range(5):
        driver.step(api.PeerMessage(0, START_MESSAGE))
    assert driver.gateway.load_gossip.peer_load.threads == 4.0


@pytest.mark.parametrize("report", [(), (1.0,), (math.nan,) * 4, (1e30, -5.0, math.inf, 0.0, 7.0)])
def test_invalid_load_reports_are_ignored(report: tuple[float, ...]) -> None:
    columns = ("active", "waiting", "x0", "x1")
    driver = Driver(make_settings(report_columns=columns))
    for _ in range(20):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1, elapsed=0.1, load_report=report)
    assert driver.dispatches(driver.submit())


@pytest.mark.parametrize("gateway_index", [-1, 3, 10**6])
def test_gateway_index_out_of_range_does_not_prevent_a_dispatch(gateway_index: int) -> None:
    driver = Driver(
        make_settings(
            gateway_count=3, gateway_index=gateway_index, guarantees=SLOW_START, limits=GOSSIP_LIMITS
        )
    )
    assert driver.dispatches(driver.submit())


def test_hundreds_of_engines_of_one_cell_are_used_in_slow_start() -> None:
    driver = Driver(make_settings(guarantees=SLOW_START), engines=0)
    engine_ids = [bytes([10, 1, i // 256, i % 256, 0, 1]) for i in range(400)]
    driver.update_endpoints(
        [api.EngineEntry(e, EngineState.READY, started_at=driver.now, cell=1) for e in engine_ids]
    )
    assert driver.dispatches(driver.submit())


def test_constants_of_the_policy_package_have_distinct_names() -> None:
    files = list(Path(policy.__file__).parent.rglob("*.py"))
    lines = [line.split("#")[0].split(" = ") for file in files for line in file.read_text().splitlines()]
    names = [name for parts in lines if len(parts) > 1 for name in parts[0].strip().split(", ")]
    constants = [name for name in names if name.isupper()]
    assert len(constants) > 20 and len(constants) == len(set(constants))


# --- Slow start under conditions that the benchmarks don't cover ---

NARROW_SLOW_START = api.Guarantees(
    slow_start_overload_factor=2.5,
    slow_start_overload_window=1.0,
    slow_start_initial_ratio=0.31,
    slow_start_duration=13.0,
)
NARROW_BUDGET = 0.85 * 2.5 * 0.31 * 8.0 * 1.0  # thread seconds in a window at the start, at 85% utilization


def slow_start_dispatch_times(
    drivers: list[Driver], submit_times: list[float], request_count: int
) -> list[float]:
    """Submit requests to each gateway at each time; return the times of the dispatches to the only engine.

    Args:
        drivers: The drivers of all gateways.
        submit_times: The times in seconds, in order.
        request_count: Number of requests per gateway and time.
    """
    times = []
    for now in submit_times:
        for driver in drivers:
            driver.now = now
            previous_count = len(driver.dispatches())
            driver.step(*(driver.make_arrival() for _ in range(request_count)))
            times += [now] * (len(driver.dispatches()) - previous_count)
            for dispatch in driver.dispatches()[previous_count:]:
                driver.end_attempt(dispatch.request, Outcome.OK, work=WORK, elapsed=WORK)
    return times


@pytest.mark.parametrize("gateway_count", [2, 54, 200])
@pytest.mark.parametrize("idle_time", [0.0, 5.0, 9.0])
def test_idle_gateways_do_not_accumulate_slow_start_turns(gateway_count: int, idle_time: float) -> None:
    """Accumulated turns of 54 idle gateways would allow twice the work that the engine can handle."""
    drivers = make_drivers(gateway_count, engine_count=1, guarantees=NARROW_SLOW_START)
    for driver in drivers:
        driver.now = 130.0
        driver.update_endpoints(
            [api.EngineEntry(engine_id(0), EngineState.READY, started_at=130.0)], EndpointListMode.DELTA
        )
    start = 130.0 + idle_time
    times = slow_start_dispatch_times(drivers, [start + step / 10.0 for step in range(30)], 3)
    assert times, "an engine in slow start is not used"
    for window_start in times:  # the budget of a window grows with the capacity at its start
        budget = (
            NARROW_BUDGET
            / NARROW_SLOW_START.slow_start_initial_ratio
            * (0.31 + 0.69 * (window_start - 130.0) / NARROW_SLOW_START.slow_start_duration)
        )
        assert sum(window_start <= time < window_start + 1.0 for time in times) * WORK <= budget


@pytest.mark.parametrize("gateway_count", [2, 54])
def test_restarted_gateways_do_not_use_their_slow_start_budget_twice(gateway_count: int) -> None:
    drivers = make_drivers(gateway_count, engine_count=1, guarantees=NARROW_SLOW_START)
    entry = api.EngineEntry(engine_id(0), EngineState.READY, started_at=130.0)
    for driver in drivers:
        driver.now = 130.0
        driver.update_endpoints([entry], EndpointListMode.DELTA)
    times = slow_start_dispatch_times(drivers, [134.0 + step / 10.0 for step in range(6)], 3)
    for gateway_index in range(0, gateway_count, 2):
        settings = make_settings(
            gateway_count=gateway_count, gateway_index=gateway_index, guarantees=NARROW_SLOW_START
        )
        drivers[gateway_index] = Driver(settings, engines=0, seed=gateway_index + 1000, now=134.7)
        drivers[gateway_index].update_endpoints([entry])
    times += slow_start_dispatch_times(drivers, [134.7 + step / 10.0 for step in range(20)], 3)
    assert times, "an engine in slow start is not used"
    assert max(sum(start <= time < start + 1.0 for time in times) for start in times) * WORK <= NARROW_BUDGET


def test_gateway_prefers_an_engine_in_slow_start_for_small_requests_during_its_turn() -> None:
    """Turns are short. In plain rendezvous order most turns would be unused, leaving the engine idle."""
    dispatch_count = 0
    for driver in make_drivers(54, engine_count=20, guarantees=NARROW_SLOW_START):
        driver.now = 130.0
        driver.update_endpoints(
            [api.EngineEntry(engine_id(0), EngineState.READY, started_at=130.0)], EndpointListMode.DELTA
        )
        previous_count = len(driver.dispatches())
        for step in range(10):
            driver.now = 130.0 + step / 2.5
            driver.end_attempt(driver.submit(table_group=float(step)), Outcome.OK, work=WORK, elapsed=WORK)
        dispatch_count += sum(
            dispatch.engine == engine_id(0) for dispatch in driver.dispatches()[previous_count:]
        )
    assert dispatch_count >= 15


def test_interrupted_attempts_do_not_lower_the_work_estimate() -> None:
    """Guards against estimates that use completed attempts only, and so overload an engine in slow start."""
    driver = Driver(make_settings(guarantees=NARROW_SLOW_START))
    for _ in range(60):
        driver.end_attempt(driver.submit(), Outcome.OK, elapsed=0.2)
        driver.end_attempt(driver.submit(), Outcome.CANCELLED, elapsed=3.0, is_final=True)
    assert driver.gateway.workload_estimates.estimators[0].work() > 1.0
