"""One form of each mechanism for few and many gateways: what one alone keeps must hold for the sum of all."""

from __future__ import annotations

import math
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from conftest import LOOKUP, REPORT, Driver, engine_id, make_settings, one_class

from saffronlane import gossip_messages as messages
from saffronlane import interface as api
from saffronlane import policy
from saffronlane.interface import EndpointListMode, EngineState, Outcome, ProgressKind
from saffronlane.policy.estimation.run_time_estimator import PRIOR_ANSWERS
from saffronlane.policy.estimation.workload_estimates import HEAVY_WORK_RATIO
from saffronlane.policy.routing.eligibility import REJECTION_COOLDOWN

GATEWAYS, ENGINES, WORK, WINDOW = 200, 40, 0.3, 1.5
COLD = api.Guarantees(
    slow_start_overload_factor=3.0,
    slow_start_overload_window=WINDOW,
    slow_start_initial_ratio=0.35,
    slow_start_duration=14.0,
)
COLD_BUDGET = 3.0 * 0.35 * 8.0 * WINDOW
PEERS = api.Limits(can_cancel=True, max_attempts=4, gossip_enabled=True)


def many(count: int = GATEWAYS, engines: int = ENGINES, **changes: object) -> list[Driver]:
    """Drivers of the gateways of one deployment, which have learned 0.3 s of work and latency."""
    drivers = []
    for position in range(count):
        plain = make_settings(**{"gateway_count": count, "gateway_index": position, **changes})
        driver = Driver(plain, engines=engines, seed=position, now=100.0)
        for _ in range(12):
            driver.end(driver.ask(table_group=float(position % 50)), Outcome.OK, work=WORK, elapsed=WORK)
        drivers.append(driver)
    return drivers


def test_two_hundred_gateways_together_keep_the_slow_start_budget_and_use_it() -> None:
    """Guards rule 4 as the sum over all gateways; fails when the sum passes the budget or nothing is sent."""
    drivers, random = many(guarantees=COLD), Random(5)
    entries = [api.EngineEntry(engine_id(i), EngineState.READY, started_at=120.0) for i in range(ENGINES)]
    sent: dict[bytes, list[float]] = {engine_id(i): [] for i in range(ENGINES)}
    for driver in drivers:
        driver.now = 120.0
        driver.list(entries, EndpointListMode.DELTA)
    for tick in range(60):  # 6 s, more queries than a cold fleet can take
        for driver in drivers:
            driver.now = 120.0 + tick / 10.0
            before = len(driver.sends())
            driver.ask(table_group=float(random.randrange(80)))
            for send in driver.sends()[before:]:
                sent[send.engine].append(driver.now)
                driver.end(send.request, Outcome.OK, work=WORK, elapsed=WORK)
    for times in sent.values():
        assert len(times) >= 10, "a cold engine is not used"
        most = max(sum(at <= other < at + WINDOW for other in times) for at in times)
        assert most * WORK <= COLD_BUDGET


def test_large_requests_do_not_go_to_an_engine_warming_up() -> None:
    driver = many(1, engines=1, gateway_count=GATEWAYS, guarantees=COLD, classes=(LOOKUP, REPORT))[0]
    driver.list(
        [api.EngineEntry(engine_id(0), EngineState.READY, started_at=driver.now)], EndpointListMode.DELTA
    )
    driver.now += 13.0
    assert not driver.sends(driver.ask(cls=1))


def test_one_gateway_and_forty_engines_place_at_home_and_spread_under_load() -> None:
    driver = many(1)[0]
    home = [e.id for e in driver.gateway.engine_selector.eligibility.rendezvous_order(3.0)[:2]]
    assert driver.sends(driver.ask(table_group=3.0))[0].engine in home
    used = {driver.sends(driver.ask(table_group=3.0))[0].engine for _ in range(60)}
    assert len(used) > 10


def test_hot_table_group_leaves_its_first_engine_with_nothing_in_flight() -> None:
    """Own threads are 0 at one of many gateways; what was sent of late must count as load."""
    driver = many(1)[0]
    engines = []
    for i in range(200):
        driver.now += 0.4
        request = driver.ask(table_group=3.0 if i % 4 else float(i))
        engines.append(driver.sends(request)[0].engine)
        driver.end(request, Outcome.OK, work=WORK, elapsed=0.01)
    hot = [engine for i, engine in enumerate(engines) if i % 4]
    assert max(hot.count(engine) for engine in set(hot)) < 0.7 * len(hot)


def test_gateway_with_a_share_below_one_request_still_queues_under_congestion() -> None:
    driver = many(1, gateway_count=GATEWAYS, classes=one_class(late_priority_weight=0.5))[0]
    for _ in range(60):
        driver.end(driver.ask(), Outcome.OK, work=WORK, elapsed=3.0)
        driver.now += 0.4
    requests = [driver.ask() for _ in range(12)]
    sent = [request for request in requests if driver.sends(request)]
    assert 1 <= len(sent) < len(requests)


def test_nothing_is_queued_while_responses_are_quick() -> None:
    driver = many(1)[0]
    assert all(driver.sends(driver.ask(table_group=float(i))) for i in range(300))


def test_an_attempt_that_waits_in_line_moves_to_another_engine_once() -> None:
    driver = Driver(make_settings(progress_interval=1.0), engines=3)
    request = driver.ask()
    first = driver.sends(request)[0].engine
    driver.step(api.ProgressReport(request, 0, first, ProgressKind.WAITING, 1.0))
    assert driver.of_kind(api.Cancel, request) == [api.Cancel(request, 0)]
    driver.end(request, Outcome.CANCELLED, elapsed=0.01)
    assert driver.sends(request)[1].engine != first


def test_lost_response_is_retried_elsewhere_long_before_the_client_timeout() -> None:
    driver = Driver(make_settings(progress_interval=1.0), engines=4)
    request = driver.ask(remaining=5.0)
    driver.pass_time(driver.now + 2.3)
    assert driver.of_kind(api.Cancel, request)
    driver.end(request, Outcome.CANCELLED, elapsed=2.2)
    assert driver.sends(request)[0].engine != driver.sends(request)[1].engine


def test_hedged_attempt_does_not_cancel_the_first_one() -> None:
    driver = Driver(
        make_settings(limits=replace(PEERS, gossip_enabled=False, hedged_requests_enabled=True)), engines=4
    )
    for _ in range(30):
        driver.end(driver.ask(), Outcome.OK, work=0.1, elapsed=0.1)
    request = driver.ask()
    driver.pass_time(driver.now + 1.0)
    assert len({send.engine for send in driver.sends(request)}) == 2
    assert not driver.of_kind(api.Cancel, request)
    driver.end(request, Outcome.OK, attempt=1)
    assert driver.of_kind(api.Cancel, request) == [api.Cancel(request, 0)]


def test_probe_requests_to_many_dead_engines_do_not_take_all_requests() -> None:
    driver = many(1)[0]
    dead = list(driver.gateway.engine_registry.engines.values())[:15]
    for engine in dead:
        driver.gateway.outlier_detector.eject(engine, "failing")
    trials = 0
    for i in range(100):
        driver.now += 0.5
        request = driver.ask(table_group=float(i))
        trial = driver.sends(request)[0].engine in {engine.id for engine in dead}
        trials += trial
        driver.end(request, Outcome.CONNECT_FAILED if trial else Outcome.OK, work=WORK, elapsed=WORK)
    assert 0 < trials <= 30  # a fifth of the sends, repeats included, and the first few


# --- what gateways tell each other ---


def telling(position: int, loads: bool = True, **changes: object) -> Driver:
    heavy = (LOOKUP, replace(REPORT, is_bulk_load=loads))
    usual = {"gateway_count": 3, "gateway_index": position, "limits": PEERS, "classes": heavy}
    settings = make_settings(**usual | changes)
    driver = Driver(settings, engines=6, seed=position)
    for _ in range(20):
        driver.end(driver.ask(), Outcome.OK, work=0.1, elapsed=0.1)
    return driver


def test_reported_bulk_load_keeps_another_of_its_group_away_until_its_end_is_reported() -> None:
    sender, receiver = telling(0), telling(1)
    request = sender.ask(cls=1, table_group=4.0)
    for told in sender.of_kind(api.SendGossip):
        receiver.step(api.PeerMessage(0, told.data))
    engine = receiver.gateway.engine_registry.engines[sender.sends(request)[0].engine]
    assert engine.is_bulk_loading(4.0) and engine.peer_threads == REPORT.threads
    before = len(sender.of_kind(api.SendGossip))
    sender.end(request, Outcome.OK, work=2.0, elapsed=1.0)
    for told in sender.of_kind(api.SendGossip)[before:]:
        receiver.step(api.PeerMessage(0, told.data))
    assert not engine.is_bulk_loading(4.0) and engine.peer_threads == 0.0


def test_short_requests_are_not_reported() -> None:
    driver = telling(0)
    before = len(driver.of_kind(api.SendGossip))
    driver.ask()
    assert len(driver.of_kind(api.SendGossip)) == before


def test_reported_work_without_an_end_expires() -> None:
    sender, receiver = telling(0), telling(1)
    sender.ask(cls=1)
    for told in sender.of_kind(api.SendGossip):
        receiver.step(api.PeerMessage(0, told.data))
    assert receiver.gateway.load_gossip.peer_load.threads > 0.0
    receiver.now += 120.0
    receiver.ask()
    assert receiver.gateway.load_gossip.peer_load.threads == 0.0


def test_every_heavy_request_is_reported() -> None:
    """Guards against a limit on what is told that the fleet passes: the most loaded moment went untold."""
    driver = telling(1, loads=False, gateway_count=230)
    engines = list(driver.gateway.engine_registry.engines)
    for sender in range(2, 232):
        for number in range(4):
            told = messages.GossipMessage(
                number, 3, False, 7, 20.0, 0.0, messages.engine_digest(engines[number])
            )
            driver.step(api.PeerMessage(sender, messages.encode(told)))
    assert driver.gateway.load_gossip.peer_load.threads == 3.0 * 4 * 230
    assert driver.sends(driver.ask(cls=1)) and len(driver.of_kind(api.SendGossip)) == 1
    known = driver.gateway.workload_estimates.estimators[1]
    known.work_total = known.uncontended_work_total = (
        HEAVY_WORK_RATIO * 1.01 * driver.gateway.workload_estimates.mean_query()[0] * PRIOR_ANSWERS
    )
    assert driver.gateway.workload_estimates.is_heavy(driver.gateway.pending.requests[driver.next_request])
    assert (
        driver.sends(driver.ask(cls=1)) and len(driver.of_kind(api.SendGossip)) == 1
    )  # the lightest of many


def test_a_query_that_needs_all_memory_of_an_engine_is_served_while_half_is_free() -> None:
    """Guards against a class that never fits: its grant passes the part that own and told grants may fill."""
    driver = telling(1, loads=False, memory_grants_enabled=True)
    engines = list(driver.gateway.engine_registry.engines)

    def tell(share: float, number: int) -> None:
        for engine in engines:
            told = messages.GossipMessage(number, 1, False, 7, 20.0, share, messages.engine_digest(engine))
            driver.step(api.PeerMessage(0, messages.encode(told)))
            number += 1

    assert driver.sends(driver.ask(cls=1, estimated_memory_mb=16384.0))
    tell(0.35, 1)
    assert driver.sends(driver.ask(cls=1, estimated_memory_mb=16384.0))
    tell(0.35, 101)
    assert not driver.sends(driver.ask(cls=1, estimated_memory_mb=16384.0))


def test_peers_avoid_an_engine_reported_full_for_a_while() -> None:
    """Guards against a rejection for each of many gateways, and against their all coming back at one time."""
    drivers = [telling(n) for n in range(3)]
    first = drivers[0].ask(table_group=4.0)
    full = drivers[0].sends(first)[0].engine
    before = len(drivers[0].of_kind(api.SendGossip))
    drivers[0].end(first, Outcome.REJECTED, elapsed=0.001)
    told = drivers[0].of_kind(api.SendGossip)[before:]
    assert [messages.decode(t.data).reports_full for t in told] == [True]
    until = set()
    for driver in drivers[1:]:
        driver.step(api.PeerMessage(0, told[0].data))
        assert driver.sends(driver.ask(table_group=4.0))[0].engine != full
        until.add(driver.gateway.engine_registry.engines[full].last_rejection_at)
        driver.now += 2.0 * REJECTION_COOLDOWN + 0.01
        assert full in {driver.sends(driver.ask(table_group=4.0))[0].engine for _ in range(4)}
    assert len(until) == 2
    second = drivers[0].ask(table_group=4.0)
    if drivers[0].sends(second)[0].engine == full:  # told already
        drivers[0].end(second, Outcome.REJECTED, elapsed=0.001)
    assert len(drivers[0].of_kind(api.SendGossip)) == before + 1


START = messages.encode(messages.GossipMessage(1, 4, True, 7, 2.0, 0.5, messages.engine_digest(engine_id(0))))


@pytest.mark.parametrize(
    ("sender", "data"),
    [
        (0, b""),
        (0, START[:-1]),
        (0, START + b"x"),
        (0, b"\xff" * 256),
        (10**6, START),
        (0, bytes([START[0] ^ 0xE0]) + START[1:]),
        (0, START[:-3] + b"\0\0\0"),
        (1, START),
    ],
)
def test_invalid_messages_are_ignored(sender: int, data: bytes) -> None:
    driver = telling(1)
    driver.step(api.PeerMessage(sender, data))
    assert (
        driver.gateway.load_gossip.peer_load.threads == 0.0
        and not driver.gateway.load_gossip.peer_load.entries
    )


def test_a_replayed_message_counts_once() -> None:
    driver = telling(1)
    for _ in range(5):
        driver.step(api.PeerMessage(0, START))
    assert driver.gateway.load_gossip.peer_load.threads == 4.0


@pytest.mark.parametrize("report", [(), (1.0,), (math.nan,) * 4, (1e30, -5.0, math.inf, 0.0, 7.0)])
def test_invalid_load_reports_are_ignored(report: tuple[float, ...]) -> None:
    columns = ("active", "waiting", "x0", "x1")
    driver = Driver(make_settings(report_columns=columns))
    for _ in range(20):
        driver.end(driver.ask(), Outcome.OK, work=0.1, elapsed=0.1, load_report=report)
    assert driver.sends(driver.ask())


@pytest.mark.parametrize("position", [-1, 3, 10**6])
def test_a_position_outside_the_gateways_breaks_nothing(position: int) -> None:
    driver = Driver(make_settings(gateway_count=3, gateway_index=position, guarantees=COLD, limits=PEERS))
    assert driver.sends(driver.ask())


def test_hundreds_of_engines_warming_up_in_one_cell_are_used() -> None:
    driver = Driver(make_settings(guarantees=COLD), engines=0)
    ids = [bytes([10, 1, i // 256, i % 256, 0, 1]) for i in range(400)]
    driver.list([api.EngineEntry(e, EngineState.READY, started_at=driver.now, cell=1) for e in ids])
    assert driver.sends(driver.ask())


def test_no_two_constants_of_the_module_share_a_name() -> None:
    files = list(Path(policy.__file__).parent.rglob("*.py"))
    lines = [line.split("#")[0].split(" = ") for file in files for line in file.read_text().splitlines()]
    names = [name for parts in lines if len(parts) > 1 for name in parts[0].strip().split(", ")]
    constants = [name for name in names if name.isupper()]
    assert len(constants) > 20 and len(constants) == len(set(constants))


# --- rule 4 on days that no bench has played ---

FEW_WORTH = api.Guarantees(
    slow_start_overload_factor=2.5,
    slow_start_overload_window=1.0,
    slow_start_initial_ratio=0.31,
    slow_start_duration=13.0,
)
FEW_BUDGET = 0.85 * 2.5 * 0.31 * 8.0 * 1.0  # at the rate at which cores are 85% busy


def cold_engine_sends(drivers: list[Driver], at: list[float], queries: int) -> list[float]:
    """Ask every gateway for so many queries at each time; returns when they left for the cold engine."""
    times = []
    for now in at:
        for driver in drivers:
            driver.now = now
            before = len(driver.sends())
            driver.step(*(driver.arrival() for _ in range(queries)))
            times += [now] * (len(driver.sends()) - before)
            for send in driver.sends()[before:]:
                driver.end(send.request, Outcome.OK, work=WORK, elapsed=WORK)
    return times


@pytest.mark.parametrize("count", [2, 54, 200])
@pytest.mark.parametrize("idle", [0.0, 5.0, 9.0])
def test_gateways_with_nothing_to_send_do_not_save_up_their_turns(count: int, idle: float) -> None:
    """Unused turns saved up at each of 54 gateways would be twice what the engine survives."""
    drivers = many(count, engines=1, guarantees=FEW_WORTH)
    for driver in drivers:
        driver.now = 130.0
        driver.list(
            [api.EngineEntry(engine_id(0), EngineState.READY, started_at=130.0)], EndpointListMode.DELTA
        )
    start = 130.0 + idle
    times = cold_engine_sends(drivers, [start + step / 10.0 for step in range(30)], 3)
    assert times, "a cold engine is not used"
    for at in times:  # what it bears grows as it warms, from the start of each window on
        able = (
            FEW_BUDGET
            / FEW_WORTH.slow_start_initial_ratio
            * (0.31 + 0.69 * (at - 130.0) / FEW_WORTH.slow_start_duration)
        )
        assert sum(at <= t < at + 1.0 for t in times) * WORK <= able


@pytest.mark.parametrize("count", [2, 54])
def test_restarted_gateways_do_not_use_their_slow_start_share_again(count: int) -> None:
    drivers = many(count, engines=1, guarantees=FEW_WORTH)
    entry = api.EngineEntry(engine_id(0), EngineState.READY, started_at=130.0)
    for driver in drivers:
        driver.now = 130.0
        driver.list([entry], EndpointListMode.DELTA)
    times = cold_engine_sends(drivers, [134.0 + step / 10.0 for step in range(6)], 3)
    for position in range(0, count, 2):
        plain = make_settings(gateway_count=count, gateway_index=position, guarantees=FEW_WORTH)
        drivers[position] = Driver(plain, engines=0, seed=position + 1000, now=134.7)
        drivers[position].list([entry])
    times += cold_engine_sends(drivers, [134.7 + step / 10.0 for step in range(20)], 3)
    assert times, "a cold engine is not used"
    assert max(sum(at <= t < at + 1.0 for t in times) for at in times) * WORK <= FEW_BUDGET


def test_engine_warming_up_takes_small_requests_first_in_the_gateways_turn() -> None:
    """Turns are short: left to the hash order they would pass unused and the cold engine idle."""
    used = 0
    for driver in many(54, engines=20, guarantees=FEW_WORTH):
        driver.now = 130.0
        driver.list(
            [api.EngineEntry(engine_id(0), EngineState.READY, started_at=130.0)], EndpointListMode.DELTA
        )
        before = len(driver.sends())
        for step in range(10):
            driver.now = 130.0 + step / 2.5
            driver.end(driver.ask(table_group=float(step)), Outcome.OK, work=WORK, elapsed=WORK)
        used += sum(send.engine == engine_id(0) for send in driver.sends()[before:])
    assert used >= 15


def test_interrupted_attempts_do_not_lower_the_work_estimate() -> None:
    """Without told cost only the short ones of a class would be learned of, and a cold engine overfilled."""
    driver = Driver(make_settings(guarantees=FEW_WORTH))
    for _ in range(60):
        driver.end(driver.ask(), Outcome.OK, elapsed=0.2)
        driver.end(driver.ask(), Outcome.CANCELLED, elapsed=3.0, is_final=True)
    assert driver.gateway.workload_estimates.estimators[0].work() > 1.0
