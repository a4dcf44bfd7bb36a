"""The fleet's own tools: schedules, shrinking, measures, audit; each must find what it looks for."""

from __future__ import annotations

import asyncio
import math
from random import Random

import msgspec
import pytest

from saffronlane.lab.fleet.audit import audit
from saffronlane.lab.fleet.measures import herd, imbalance, quantile, recoveries
from saffronlane.lab.fleet.record import Record
from saffronlane.lab.fleet.relays import Relay, Weather
from saffronlane.lab.fleet.schedule import KINDS, Fault, Schedule, draw, shrink
from saffronlane.lab.fleet.shape import SORTS, FleetShape, draw_traffic


def test_a_schedule_is_drawn_alike_and_comes_back_from_its_json() -> None:
    for seed in range(60):
        drawn = draw(seed, 10.0, 12, 8, count=6)
        assert drawn == draw(seed, 10.0, 12, 8, count=6)
        assert Schedule.read(drawn.json()) == drawn
        assert len(drawn.faults) == 6
        for fault in drawn.faults:
            assert fault.at + fault.length < 10.0 and fault.kind in KINDS
            assert all(0 <= n < 12 for n in fault.who)
    assert {f.kind for s in range(60) for f in draw(s, 10.0, 12, 8).faults} == set(KINDS)
    with pytest.raises(msgspec.ValidationError, match="seconds"):
        Schedule.read(b'{"seed": 1, "faults": []}')


def test_a_failing_day_is_shrunk_to_the_two_faults_that_it_needs() -> None:
    schedule = draw(3, 10.0, 12, 8, count=9)
    needed = {schedule.faults[2], schedule.faults[7]}
    tries = 0

    async def fails(day: Schedule) -> bool:
        nonlocal tries
        tries += 1
        return needed <= set(day.faults)

    found = asyncio.run(shrink(schedule, fails))
    assert set(found.faults) == needed and tries < 40


def test_traffic_is_the_same_for_a_seed_and_meets_the_load() -> None:
    shape = FleetShape(20, 10, load=0.5, seed=4)
    found = draw_traffic(shape, 60.0)
    assert found == draw_traffic(shape, 60.0)
    assert sum(a.work for a in found) / 60.0 == pytest.approx(0.5 * 10 * shape.cores, rel=0.15)
    assert len({a.rid for a in found}) == len(found)


def test_imbalance_and_herds_tell_even_from_uneven() -> None:
    random = Random(1)

    def sends(herded: bool) -> list[dict[str, object]]:
        found = []
        for _ in range(4000):
            at = random.uniform(0.0, 10.0)
            engine = "s0" if herded and 5.0 < at < 5.25 else f"s{random.randrange(20)}"
            found.append({"at": at, "engine": engine, "gateway": f"d{random.randrange(200)}", "work": 0.1})
        return found

    even, uneven = sends(False), sends(True)
    assert herd(even, 20) < 1.5
    assert herd(uneven, 20) > 3.0
    assert imbalance(even, 20, 10.0)[0] < 2.2
    assert imbalance(uneven, 20, 10.0)[1] > 3.0
    assert quantile([], 0.5) == 0.0 and quantile([1.0, 2.0, 3.0], 0.99) == 3.0


def test_recovery_is_counted_from_the_end_of_the_fault() -> None:
    worths = [(n / 10.0, 1.0, 0.0 if 3.0 <= n / 10.0 < 7.0 else 1.0) for n in range(200)]
    days = Schedule(1, 20.0, (Fault(3.0, 1.0, "node crash", (0,)),))
    (seconds,) = recoveries(worths, days).values()
    assert 2.5 <= seconds <= 3.25
    never = [(at, worth, 0.0 if at > 3.0 else got) for at, worth, got in worths]
    assert recoveries(never, days) == {"0 node crash": math.inf}


def book(shape: FleetShape) -> Record:
    """A record with one request that was asked and answered as it should."""
    record = Record()
    record.events = [
        {
            "at": 0.0,
            "kind": "asked",
            "query": "q",
            "gateway": "d0",
            "cls": SORTS[0].name,
            "key": "",
            "limit": 4.0,
            "work": 0.1,
        },
        {"at": 0.2, "kind": "answer", "query": "q", "gateway": "d0", "code": "OK", "promise": False},
    ]
    return record


def test_the_audit_finds_what_it_is_there_to_find() -> None:
    shape = FleetShape(2, 2)
    assert not audit(book(shape), shape, [])
    twice = book(shape)
    twice.events.append(twice.events[1] | {"at": 0.3})
    assert [f.rule for f in audit(twice, shape, [])] == [1]
    dropped = book(shape)
    dropped.events[1] |= {"kind": "unreachable"}
    assert [f.rule for f in audit(dropped, shape, [])] == [1]
    dropped.events.insert(1, {"at": 0.1, "kind": "killed", "gateway": "d0"})
    assert not audit(dropped, shape, [])  # what a killed process held is its client's to retry
    lost = book(shape)
    del lost.events[1]
    assert [f.rule for f in audit(lost, shape, [])] == [1]
    lost.events.append({"at": 9.0, "kind": "killed", "gateway": "d0"})
    assert [f.rule for f in audit(lost, shape, [])] == [1]  # it had answered long before, or should have
    fell = book(shape)
    fell.events.append({"at": 1.0, "kind": "fell", "engine": "s", "incarnation": 1})
    assert [f.rule for f in audit(fell, shape, [])] == [4]
    assert [f.rule for f in audit(book(shape), shape, ["d1 has ended with 1"])] == [0]


def test_the_audit_knows_clients_that_left_cold_sums_and_late_starts() -> None:
    """Each is shown by a mutation of a good record, next to the one that chance explains."""
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

    left = book(shape)
    for n in range(4):
        left.events += [
            {
                "at": 1.0,
                "kind": "asked",
                "query": f"l{n}",
                "gateway": "d0",
                "cls": SORTS[0].name,
                "key": "",
                "limit": 5.0,
                "work": 0.1,
            },
            {"at": 1.2, "kind": "left", "query": f"l{n}", "gateway": "d0"},
        ]
    assert not audit(left, shape, [])  # they are owed no answer
    left.events += [sent("l0", 1.25), sent("l1", 1.5), sent("l2", 1.5)]
    assert not audit(left, shape, [])
    left.events.append(sent("l3", 1.5))
    assert [f.rule for f in audit(left, shape, [])] == [1]

    cold = book(shape)
    about = {"capacity": shape.cores, "share": 0.35, "warm_after": 8.0, "multiple": 4.0, "window": 3.0}
    cold.events.append({"at": 0.5, "kind": "cold", "engine": "s", "incarnation": 1} | about)
    calls = 4.0 * shape.cores * (0.35 + 0.65 * 3.0 / 8.0) * 3.0 / shape.mean_work
    most = int(calls + 2.0 * calls**0.5 + 2.0)
    asked = cold.events[0] | {"at": 0.4}
    for n in range(most):
        named = {"query": f"c{n}", "attempt": "0", "engine": "s", "gateway": "d0", "incarnation": 1}
        cold.events += [asked | {"query": f"c{n}"}, sent(f"c{n}", 0.5) | {"work": 1e-3}]
        cold.events.append({"at": 0.6, "kind": "answer", "code": "OK", "promise": False} | named)
    assert not [f for f in audit(cold, shape, []) if f.rule == 4]
    cold.events += [sent("c0", 0.5) | {"work": 1e-3, "attempt": "1"}]
    assert [f.rule for f in audit(cold, shape, []) if "calls while cold" in f.text] == [4]

    late = book(shape)
    for n in range(10):
        late.events.append({"at": 0.0, "kind": "started", "gateway": f"d{n}"})
        late.events.append({"at": 10.5 if n < 1 else 1.0, "kind": "ready", "gateway": f"d{n}"})
    assert not audit(late, shape, [])
    late.events.append({"at": 0.0, "kind": "started", "gateway": "d10"})
    assert [f.rule for f in audit(late, shape, [])] == [0]


def test_the_relay_drops_delays_doubles_and_spoils_by_sender_and_receiver() -> None:
    async def run() -> None:
        relay = Relay([], [("127.0.0.1", 1)] * 3, ("127.0.0.1", 2), Random(1))
        written: list[tuple[int, int, bytes]] = []
        relay.write = lambda s, r, d: written.append((s, r, d))  # type: ignore[method-assign]
        relay.weather = [Weather(frozenset({0}), frozenset({1}), drop=1.0)]  # one way only
        for sender, receiver in ((0, 1), (1, 0), (0, 2)):
            relay._weigh(sender, receiver, b"news")
        assert written == [(1, 0, b"news"), (0, 2, b"news")]
        written.clear()
        relay.weather = [Weather(duplicate=1.0), Weather(corrupt=1.0)]
        relay._weigh(0, 1, b"news")
        assert len(written) == 2 and all(data != b"news" and len(data) == 4 for _, _, data in written)
        written.clear()
        relay.weather = [Weather(delay=0.01)]
        relay._weigh(0, 1, b"late")
        assert not written
        async with asyncio.timeout(2.0):
            while not written:
                await asyncio.sleep(0.002)

    asyncio.run(run())
