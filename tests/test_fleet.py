"""A whole fleet in virtual time: 230 true dispatchers before 300 stand-in nodes, audited as one.

What a gateway alone keeps must hold for the sum of all, and what is divided by the count of gateways must
still serve a class that each of them seldom sees.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.interface import EndpointListMode, EngineState, Outcome

GATEWAYS, NODES, CORES = 230, 300, 8.0
FEW, RARE = 0, 1  # classes
RULES = api.Guarantees(
    drain_grace_period=0.5,
    slow_start_overload_factor=4.0,
    slow_start_overload_window=3.0,
    slow_start_initial_ratio=0.31,
    slow_start_duration=13.0,
    retry_budget_base=3.0,
    retry_budget_ratio=0.2,
    retry_budget_window=10.0,
)
LIMITS = api.Limits(
    can_cancel=True,
    hedged_requests_enabled=True,
    gossip_enabled=True,
    sends_retry_after=True,
    max_attempts=3,
    max_retry_after=0.5,
    connect_timeout=0.25,
)
CLASSES = (
    api.ClassSettings("short", latency_objective=0.75, deadline=4.0, latency_objective_per_work=1.5),
    api.ClassSettings(
        "rare",
        latency_objective=2.0,
        deadline=20.0,
        priority_weight=10.0,
        late_priority_weight=0.4,
        latency_objective_per_work=2.5,
        threads=3,
    ),
)
WORK = (0.13, 3.4)  # seconds in the mean


def settings(position: int) -> api.Settings:
    kind = api.MachineType("kind", CORES, 4096.0)
    return api.Settings(
        CLASSES,
        (kind,),
        GATEWAYS,
        position,
        guarantees=RULES,
        limits=LIMITS,
        reports_work=True,
        min_step_interval=0.005,
        memory_grants_enabled=True,
    )


def node(number: int) -> bytes:
    return b"s-%05d" % number


@dataclass
class Served:
    """One request, as its client sees it."""

    cls: int
    asked: float
    limit: float
    answers: list[str] = field(default_factory=list)
    attempts: int = 0


class Fleet:
    """Dispatchers, nodes that share their cores among what they run, and a lossy wire between dispatchers."""

    def __init__(self, seed: int, gateways: int = GATEWAYS) -> None:
        self.random, self.now = Random(seed), 0.0
        self.cores = [dispatch.Dispatcher(settings(n), seed + n) for n in range(gateways)]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.wakes = [math.inf] * gateways
        self.requests: dict[tuple[int, int], Served] = {}
        self.running: dict[bytes, dict[tuple[int, int, int], float]] = defaultdict(dict)
        self.states: dict[bytes, tuple[EngineState, float]] = {}  # and since when it is told
        self.starts: dict[bytes, float] = {}
        self.sent: dict[bytes, list[tuple[float, float]]] = defaultdict(list)  # to cold nodes: time and work
        self.extras: dict[int, list[float]] = defaultdict(list)
        self.asked: dict[int, list[float]] = defaultdict(list)
        self.works: dict[tuple[int, int], float] = {}
        self.told = 0

    def at(self, time: float, what: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (time, self.sequence, what))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until

    def step(self, place: int, *inputs: dispatch.Input) -> None:
        core = self.cores[place]
        for effect in core.step(self.now, list(inputs)):
            self.do(place, effect)
        wake = core.next_timer
        if wake < self.wakes[place]:
            self.wakes[place] = wake
            self.at(max(wake, self.now), lambda: self.wake(place, wake))

    def wake(self, place: int, due: float) -> None:
        if self.wakes[place] == due:
            self.wakes[place] = math.inf
            self.step(place)

    def list(self, entries: list[api.EngineEntry], mode: EndpointListMode) -> None:
        for entry in entries:
            self.states[entry.engine] = (entry.state, self.now)
            if entry.started_at:
                self.starts[entry.engine] = entry.started_at
        for place in range(len(self.cores)):
            self.step(place, api.EndpointListUpdate(mode, 1, tuple(entries)))

    def ask(self, place: int, cls: int) -> None:
        core, work = self.cores[place], WORK[cls] * self.random.lognormvariate(-0.3, 0.77)
        number, cls_ = core.new_request(), CLASSES[cls]
        self.requests[place, number] = Served(cls, self.now, self.now + cls_.deadline)
        self.works[place, number] = work
        self.asked[place].append(self.now)
        cost = work * self.random.uniform(0.7, 1.4)
        tables = float(min(self.random.randrange(600), self.random.randrange(600)))
        told = dispatch.Submit(
            number,
            cls,
            cls_.deadline,
            estimated_cost=cost,
            estimated_memory_mb=60.0 * cost,
            table_group=tables,
        )
        self.step(place, told)

    # --- what dispatchers do ---

    def do(self, place: int, effect: dispatch.Effect) -> None:
        if isinstance(effect, dispatch.StartAttempt):
            self.start(place, effect)
        elif isinstance(effect, (dispatch.CancelAttempt, dispatch.DiscardAttempt)):
            self.end(place, effect.request, effect.attempt, Outcome.CANCELLED)
        elif isinstance(effect, (dispatch.CompleteRequest, dispatch.RejectRequest, dispatch.FailRequest)):
            self.requests[place, effect.request].answers.append(type(effect).__name__)
            assert self.now <= self.requests[place, effect.request].limit  # rule 1
        elif isinstance(effect, api.SendGossip):
            self.told += 1
            for other in range(len(self.cores)):
                if other != place and self.random.random() > 0.01:
                    message = api.PeerMessage(place, effect.data)
                    self.at(self.now + 0.008, lambda other=other, m=message: self.step(other, m))

    def start(self, place: int, effect: dispatch.StartAttempt) -> None:
        request, engine = self.requests[place, effect.request], effect.engine
        state, since = self.states[engine]
        assert state is EngineState.READY or self.now <= since + RULES.drain_grace_period  # rule 3
        name, work = (place, effect.request, effect.attempt), self.works[place, effect.request]
        if request.attempts:
            self.extras[place].append(self.now)
        request.attempts += 1
        threads = float(CLASSES[request.cls].threads)
        self.sent[engine].append((self.now, work))
        running = self.running[engine]
        busy = sum(running.values())
        if busy >= 4.0 * CORES:
            self.at(self.now + 0.001, lambda: self.finish(name, engine, Outcome.REJECTED, 0.001))
            return
        running[name] = threads
        cold = max(0.0, 1.0 - (self.now - self.starts.get(engine, -math.inf)) / RULES.slow_start_duration)
        able = CORES * (1.0 - cold * (1.0 - RULES.slow_start_initial_ratio))
        elapsed = work / threads * max(1.0, (busy + threads) / able)
        self.at(self.now + elapsed, lambda: self.finish(name, engine, Outcome.OK, elapsed))

    def end(self, place: int, request: int, attempt: int, outcome: Outcome) -> None:
        done = dispatch.AttemptDone(request, attempt, outcome, 0.1)
        for running in self.running.values():
            if running.pop((place, request, attempt), None) is not None:
                self.at(self.now, lambda: self.step(place, done))
                return

    def finish(self, name: tuple[int, int, int], engine: bytes, outcome: Outcome, elapsed: float) -> None:
        gone = self.running[engine].pop(name, None) is None
        if outcome is Outcome.OK and gone:
            return
        work = self.works[name[:2]]
        self.step(name[0], dispatch.AttemptDone(name[1], name[2], outcome, elapsed, work, 50.0 * work))

    # --- what must hold over all ---

    def audit(self) -> None:
        for place in range(len(self.cores)):
            for at in self.extras[place]:  # rule 7
                sent = sum(at - RULES.retry_budget_window < other <= at for other in self.extras[place])
                taken = sum(at - RULES.retry_budget_window < other <= at for other in self.asked[place])
                assert sent <= RULES.retry_budget_base + RULES.retry_budget_ratio * taken
        for engine, started in self.starts.items():  # rule 4
            times = [(at, work) for at, work in self.sent[engine] if at < started + RULES.slow_start_duration]
            for at, _ in times:
                sent_work = sum(
                    work for other, work in times if at <= other < at + RULES.slow_start_overload_window
                )
                warm = (at - started) / RULES.slow_start_duration
                able = CORES * (
                    RULES.slow_start_initial_ratio + (1.0 - RULES.slow_start_initial_ratio) * warm
                )
                assert sent_work <= RULES.slow_start_overload_factor * able * RULES.slow_start_overload_window
        assert all(len(request.answers) == 1 for request in self.requests.values())
        assert not any(core.in_flight_count or core.pending_count for core in self.cores)

    def share(self, cls: int) -> float:
        answers = Counter(request.answers[0] for request in self.requests.values() if request.cls == cls)
        return answers["CompleteRequest"] / max(1, sum(answers.values()))


@pytest.mark.parametrize("seed", [1])
def test_a_rare_heavy_class_is_served_and_the_sum_of_all_keeps_the_rules(seed: int) -> None:
    """Nodes drain, go and start cold under load; fails where the class starves or a sum over all is passed.

    Seen to fail: with the cold budget taken out (rule 4).
    """
    fleet = Fleet(seed)
    fleet.list([api.EngineEntry(node(n), EngineState.READY) for n in range(NODES)], EndpointListMode.FULL)
    random = fleet.random
    rates = [random.choice((0.5, 1.0, 1.0, 3.0)) for _ in range(GATEWAYS)]  # fronts are uneven
    for place, rate in enumerate(rates):
        time = 0.1 + random.expovariate(rate)
        while time < 6.0:
            cls = RARE if random.random() < 0.06 else FEW
            fleet.at(time, lambda place=place, cls=cls: fleet.ask(place, cls))
            time += random.expovariate(rate)
    replaced = range(0, NODES, 10)
    drain = [api.EngineEntry(node(n), EngineState.DRAINING) for n in replaced]
    fresh = [api.EngineEntry(node(n + 1000), EngineState.READY, started_at=2.0) for n in replaced]
    gone = [api.EngineEntry(node(n), EngineState.REMOVED) for n in replaced]
    fleet.at(1.5, lambda: fleet.list(drain, EndpointListMode.DELTA))
    fleet.at(2.1, lambda: fleet.list(fresh, EndpointListMode.DELTA))
    fleet.at(4.0, lambda: fleet.list(gone, EndpointListMode.DELTA))
    fleet.run(40.0)
    fleet.audit()
    assert fleet.share(FEW) > 0.98 and fleet.share(RARE) > 0.95
    used = [engine for engine in fleet.starts if fleet.sent[engine]]
    assert len(used) > len(fleet.starts) / 2  # cold nodes take their part
