"""Tests of the fleet tools: schedules, shrinking, traffic, measures, audit and relay."""

from __future__ import annotations

import asyncio
import math
from random import Random

import msgspec
import pytest

from saffronlane.lab.fleet.audit import audit
from saffronlane.lab.fleet.measures import herd_index, imbalance, quantile, recovery_times
from saffronlane.lab.fleet.record import Record
from saffronlane.lab.fleet.relays import NetworkConditions, Relay
from saffronlane.lab.fleet.schedule import FAULT_KINDS, Fault, Schedule, draw_schedule, shrink
from saffronlane.lab.fleet.shape import QUERY_CLASSES, FleetShape, draw_traffic


def test_schedule_is_reproducible_for_a_seed_and_survives_a_json_round_trip() -> None:
    for seed in range(60):
        schedule = draw_schedule(seed, 10.0, 12, 8, count=6)
        assert schedule == draw_schedule(seed, 10.0, 12, 8, count=6)
        assert Schedule.from_json(schedule.to_json()) == schedule
        assert len(schedule.faults) == 6
        for fault in schedule.faults:
            assert fault.at + fault.duration < 10.0 and fault.kind in FAULT_KINDS
            assert all(0 <= number < 12 for number in fault.targets)
    assert {fault.kind for seed in range(60) for fault in draw_schedule(seed, 10.0, 12, 8).faults} == set(
        FAULT_KINDS
    )
    with pytest.raises(msgspec.ValidationError, match="seconds"):
        Schedule.from_json(b'{"seed": 1, "faults": []}')


def test_shrink_keeps_only_the_faults_that_cause_the_failure() -> None:
    schedule = draw_schedule(3, 10.0, 12, 8, count=9)
    required_faults = {schedule.faults[2], schedule.faults[7]}
    call_count = 0

    async def fails(candidate: Schedule) -> bool:
        nonlocal call_count
        call_count += 1
        return required_faults <= set(candidate.faults)

    shrunk_schedule = asyncio.run(shrink(schedule, fails))
    assert set(shrunk_schedule.faults) == required_faults and call_count < 40


def test_traffic_is_reproducible_for_a_seed_and_matches_the_requested_load() -> None:
    shape = FleetShape(20, 10, load=0.5, seed=4)
    requests = draw_traffic(shape, 60.0)
    assert requests == draw_traffic(shape, 60.0)
    assert sum(request.work for request in requests) / 60.0 == pytest.approx(0.5 * 10 * shape.cores, rel=0.15)
    assert len({request.request_id for request in requests}) == len(requests)


def test_imbalance_and_herd_index_detect_uneven_load() -> None:
    random = Random(1)

    def attempts(has_herd: bool) -> list[dict[str, object]]:
        events = []
        for _ in range(4000):
            at = random.uniform(0.0, 10.0)
            engine = "s0" if has_herd and 5.0 < at < 5.25 else f"s{random.randrange(20)}"
            events.append({"at": at, "engine": engine, "gateway": f"d{random.randrange(200)}", "work": 0.1})
        return events

    balanced, unbalanced = attempts(False), attempts(True)
    assert herd_index(balanced, 20) < 1.5
    assert herd_index(unbalanced, 20) > 3.0
    assert imbalance(balanced, 20, 10.0)[0] < 2.2
    assert imbalance(unbalanced, 20, 10.0)[1] > 3.0
    assert quantile([], 0.5) == 0.0 and quantile([1.0, 2.0, 3.0], 0.99) == 3.0


def test_recovery_time_starts_at_the_end_of_the_fault() -> None:
    outcomes = [(number / 10.0, 1.0, 0.0 if 3.0 <= number / 10.0 < 7.0 else 1.0) for number in range(200)]
    schedule = Schedule(1, 20.0, (Fault(3.0, 1.0, "node crash", (0,)),))
    (seconds,) = recovery_times(outcomes, schedule).values()
    assert 2.5 <= seconds <= 3.25
    unrecovered_outcomes = [
        (at, weight, 0.0 if at > 3.0 else weight_in_time) for at, weight, weight_in_time in outcomes
    ]
    assert recovery_times(unrecovered_outcomes, schedule) == {"0 node crash": math.inf}


def record_with_one_answer(shape: FleetShape) -> Record:
    """Returns a record with one request that was answered correctly."""
    record = Record()
    record.events = [
        {
            "at": 0.0,
            "kind": "asked",
            "query": "q",
            "gateway": "d0",
            "cls": QUERY_CLASSES[0].name,
            "key": "",
            "limit": 4.0,
            "work": 0.1,
        },
        {"at": 0.2, "kind": "answer", "query": "q", "gateway": "d0", "code": "OK", "promise": False},
    ]
    return record


def test_audit_reports_wrong_answers_overloads_and_unexpected_exits() -> None:
    shape = FleetShape(2, 2)
    assert not audit(record_with_one_answer(shape), shape, [])
    answered_twice = record_with_one_answer(shape)
    answered_twice.events.append(answered_twice.events[1] | {"at": 0.3})
    assert [finding.rule for finding in audit(answered_twice, shape, [])] == [1]
    dropped = record_with_one_answer(shape)
    dropped.events[1] |= {"kind": "unreachable"}
    assert [finding.rule for finding in audit(dropped, shape, [])] == [1]
    dropped.events.insert(1, {"at": 0.1, "kind": "killed", "gateway": "d0"})
    # The client must retry a request that was in flight at a killed process.
    assert not audit(dropped, shape, [])
    lost = record_with_one_answer(shape)
    del lost.events[1]
    assert [finding.rule for finding in audit(lost, shape, [])] == [1]
    lost.events.append({"at": 9.0, "kind": "killed", "gateway": "d0"})
    # The kill comes long after the answer was due, so that it does not excuse the missing answer.
    assert [finding.rule for finding in audit(lost, shape, [])] == [1]
    overloaded = record_with_one_answer(shape)
    overloaded.events.append({"at": 1.0, "kind": "fell", "engine": "s", "incarnation": 1})
    assert [finding.rule for finding in audit(overloaded, shape, [])] == [4]
    assert [
        finding.rule
        for finding in audit(record_with_one_answer(shape), shape, ["d1 exited unexpectedly with code 1"])
    ] == [0]


@pytest.mark.parametrize(("connected_at", "rules"), [(0.5, []), (1.05, [1])])
def test_audit_excuses_a_dropped_request_by_a_kill_only_on_the_connection_that_the_kill_ended(
    connected_at: float, rules: list[int]
) -> None:
    """Guards against a finding that only a busy machine causes: the client asks before it reads the end."""
    shape = FleetShape(2, 2)
    dropped = record_with_one_answer(shape)
    dropped.events[0] |= {"at": 1.3, "limit": 5.3, "connected_at": connected_at}
    dropped.events[1] |= {"at": 1.35, "kind": "unreachable"}
    dropped.events.insert(0, {"at": 1.0, "kind": "killed", "gateway": "d0"})
    assert [finding.rule for finding in audit(dropped, shape, [])] == rules


def test_audit_reports_sends_after_cancellation_cold_overload_and_late_starts() -> None:
    """Changes a valid record step by step: first up to the tolerated limit, then past it."""
    shape = FleetShape(2, 2)

    def sent(query: str, at: float) -> dict[str, object]:
        return {
            "at": at,
            "kind": "sent",
            "query": query,
            "engine": "s",
            "incarnation": 1,
            "gateway": "d0",
            "attempt": "0",
            "key": "",
            "work": 0.1,
        }

    cancelled = record_with_one_answer(shape)
    for number in range(4):
        cancelled.events += [
            {
                "at": 1.0,
                "kind": "asked",
                "query": f"l{number}",
                "gateway": "d0",
                "cls": QUERY_CLASSES[0].name,
                "key": "",
                "limit": 5.0,
                "work": 0.1,
            },
            {"at": 1.2, "kind": "left", "query": f"l{number}", "gateway": "d0"},
        ]
    assert not audit(cancelled, shape, [])  # a cancelled request needs no answer
    cancelled.events += [sent("l0", 1.25), sent("l1", 1.5), sent("l2", 1.5)]
    assert not audit(cancelled, shape, [])
    cancelled.events.append(sent("l3", 1.5))
    assert [finding.rule for finding in audit(cancelled, shape, [])] == [1]

    cold = record_with_one_answer(shape)
    slow_start = {"capacity": shape.cores, "share": 0.35, "warm_after": 8.0, "multiple": 4.0, "window": 3.0}
    cold.events.append({"at": 0.5, "kind": "cold", "engine": "s", "incarnation": 1} | slow_start)
    expected_calls = 4.0 * shape.cores * (0.35 + 0.65 * 3.0 / 8.0) * 3.0 / shape.mean_work
    max_calls = int(expected_calls + 2.0 * expected_calls**0.5 + 2.0)
    request = cold.events[0] | {"at": 0.4}
    for number in range(max_calls):
        event_fields = {
            "query": f"c{number}",
            "attempt": "0",
            "engine": "s",
            "gateway": "d0",
            "incarnation": 1,
        }
        cold.events += [request | {"query": f"c{number}"}, sent(f"c{number}", 0.5) | {"work": 1e-3}]
        cold.events.append({"at": 0.6, "kind": "answer", "code": "OK", "promise": False} | event_fields)
    assert not [finding for finding in audit(cold, shape, []) if finding.rule == 4]
    cold.events += [sent("c0", 0.5) | {"work": 1e-3, "attempt": "1"}]
    assert [finding.rule for finding in audit(cold, shape, []) if "calls while cold" in finding.text] == [4]

    late = record_with_one_answer(shape)
    for number in range(10):
        late.events.append({"at": 0.0, "kind": "started", "gateway": f"d{number}"})
        late.events.append({"at": 10.5 if number < 1 else 1.0, "kind": "ready", "gateway": f"d{number}"})
    assert not audit(late, shape, [])
    late.events.append({"at": 0.0, "kind": "started", "gateway": "d10"})
    assert [finding.rule for finding in audit(late, shape, [])] == [0]


def test_relay_drops_delays_duplicates_and_corrupts_by_sender_and_receiver() -> None:
    async def run() -> None:
        relay = Relay([], [("127.0.0.1", 1)] * 3, ("127.0.0.1", 2), Random(1))
        forwarded: list[tuple[int, int, bytes]] = []
        relay.write = lambda sender, receiver, data: forwarded.append((sender, receiver, data))  # type: ignore[method-assign]
        relay.conditions = [NetworkConditions(frozenset({0}), frozenset({1}), drop=1.0)]  # one direction only
        for sender, receiver in ((0, 1), (1, 0), (0, 2)):
            relay._apply_conditions(sender, receiver, b"news")
        assert forwarded == [(1, 0, b"news"), (0, 2, b"news")]
        forwarded.clear()
        relay.conditions = [NetworkConditions(duplicate=1.0), NetworkConditions(corrupt=1.0)]
        relay._apply_conditions(0, 1, b"news")
        assert len(forwarded) == 2 and all(data != b"news" and len(data) == 4 for _, _, data in forwarded)
        forwarded.clear()
        relay.conditions = [NetworkConditions(delay=0.01)]
        relay._apply_conditions(0, 1, b"late")
        assert not forwarded
        async with asyncio.timeout(2.0):
            while not forwarded:
                await asyncio.sleep(0.002)

    asyncio.run(run())
