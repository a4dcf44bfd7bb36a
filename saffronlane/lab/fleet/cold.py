"""What all dispatchers together send to cold nodes, in virtual time: the sum of calls against the budget.

True `policy.Gateway` decisions; traffic, answers and restarts are drawn. Nothing of the wire is played: only
who sends when is asked here.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from ... import interface as api
from ...policy import Gateway

CLASSES = (
    api.ClassSettings("small", latency_objective=0.75, deadline=4.0, priority_weight=1.0, threads=1),
    api.ClassSettings(
        "large",
        latency_objective=2.0,
        deadline=20.0,
        priority_weight=10.0,
        late_priority_weight=0.4,
        threads=3,
    ),
)
WORKS, SHARES = (0.13, 3.5), (15.0, 2.3)  # core seconds of a class's mean query, and its part of the traffic
MEAN = sum(work * share for work, share in zip(WORKS, SHARES, strict=True)) / sum(SHARES)
MULTIPLE, WINDOW, COLD_SHARE, COLD_TIME, CORES = 4.0, 3.0, 0.25, 15.0, 8.0
LEARNING = 20.0  # seconds of traffic before the cold nodes come
SPREAD = 1.2  # coefficient of variation of works
REJECTED, RESET, LOST = 0.03, 0.02, 0.01  # shares of attempts, and of messages


@dataclass(frozen=True, slots=True)
class ColdDay:
    """One draw.

    Attributes:
        wrong: estimates are off by up to this factor.
        restarted: share of the dispatchers that start anew within two windows.
        failing: times the usual share of attempts that are turned away or break.
    """

    dispatchers: int
    nodes: int
    cold: int
    seed: int
    load: float = 0.7
    wrong: float = 3.0
    restarted: float = 0.1
    failing: float = 1.0


@dataclass(slots=True)
class ColdSum:
    """What came of it; ratios to N + 2 root N + 2, the largest over nodes and windows.

    Attributes:
        calls: counted as they are.
        work: counted in calls of mean work.
        sent: calls that a cold node got while it was cold, and
        done: their work, in core seconds.
    """

    calls: float = 0.0
    work: float = 0.0
    sent: float = 0.0
    done: float = 0.0


@dataclass(eq=False)
class _Place:
    """One dispatcher."""

    gateway: Gateway
    born: float
    attempts: dict[int, int] = field(default_factory=dict)


class _Play:
    def __init__(self, day: ColdDay) -> None:
        self.day, self.random, self.now = day, Random(f"cold {day.seed}"), 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = self.requests = 0
        self.works: dict[int, tuple[float, int]] = {}
        self.ended: set[tuple[int, int, int]] = set()
        self.sends: dict[bytes, list[tuple[float, float]]] = {}
        self.warm = [self._entry(10, n, 0.0) for n in range(day.nodes)]
        self.cold = [self._entry(11, n, LEARNING) for n in range(day.cold)]
        self.places = [self._place(n) for n in range(day.dispatchers)]

    @staticmethod
    def _entry(kind: int, n: int, started: float) -> api.EngineEntry:
        return api.EngineEntry(bytes([kind, 0, n // 256, n % 256]), api.EngineState.READY, started)

    def _place(self, position: int) -> _Place:
        settings = api.Settings(
            classes=CLASSES,
            machine_types=(api.MachineType("std", CORES, 16384.0),),
            gateway_count=self.day.dispatchers,
            gateway_index=position,
            limits=api.Limits(
                can_cancel=True,
                hedged_requests_enabled=True,
                sends_retry_after=True,
                max_attempts=3,
                max_retry_after=0.5,
                gossip_enabled=True,
                connect_timeout=0.25,
                max_concurrent_streams=32,
            ),
            guarantees=api.Guarantees(
                response_slack=0.05,
                drain_grace_period=0.5,
                slow_start_overload_factor=MULTIPLE,
                slow_start_overload_window=WINDOW,
                slow_start_initial_ratio=COLD_SHARE,
                slow_start_duration=COLD_TIME,
                retry_budget_base=3.0,
                retry_budget_ratio=0.2,
                retry_budget_window=10.0,
            ),
            reports_work=True,
            memory_grants_enabled=True,
        )
        return _Place(Gateway(settings, self.random.randrange(2**32)), self.now)

    def at(self, time: float, what: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (time, self.sequence, what))

    def run(self) -> ColdSum:
        day, random = self.day, self.random
        for n in range(day.dispatchers):
            self.step(n, api.EndpointListUpdate(api.EndpointListMode.FULL, 1, tuple(self.warm)))
        weights = [random.choice((1, 1, 1, 1, 3)) for _ in self.places]
        time, end = 0.0, LEARNING + COLD_TIME
        while (time := time + random.expovariate(day.load * day.nodes * CORES / MEAN)) < end:
            asked = random.choices(range(day.dispatchers), weights)[0]
            self.at(time, partial(self.ask, asked))
        self.at(LEARNING, self.begin)
        for _ in range(round(day.restarted * day.dispatchers)):
            self.at(LEARNING + random.uniform(0.0, 2.0 * WINDOW), self.restart)
        while self.events and self.events[0][0] <= end:
            self.now, _, what = heapq.heappop(self.events)
            what()
        return self.total()

    def begin(self) -> None:
        for n in range(len(self.places)):
            self.step(n, api.EndpointListUpdate(api.EndpointListMode.DELTA, 2, tuple(self.cold)))

    def restart(self) -> None:
        n = self.random.randrange(len(self.places))
        self.places[n] = self._place(n)
        self.step(n, api.EndpointListUpdate(api.EndpointListMode.FULL, 2, (*self.warm, *self.cold)))

    def ask(self, n: int) -> None:
        random = self.random
        cls = random.choices(range(len(CLASSES)), SHARES)[0]
        sigma = math.sqrt(math.log(1.0 + SPREAD**2))
        work = WORKS[cls] * math.exp(random.gauss(-(sigma**2) / 2.0, sigma))
        wrong = math.log(self.day.wrong)
        cost = work * math.exp(random.uniform(-wrong, wrong))
        self.requests += 1
        self.works[self.requests] = work, cls
        deadline, tables = CLASSES[cls].deadline, float(random.randrange(60))
        self.step(
            n,
            api.Arrival(
                self.requests,
                cls,
                deadline,
                estimated_cost=cost,
                estimated_memory_mb=100.0,
                table_group=tables,
            ),
        )

    def step(self, n: int, event: api.Event) -> None:
        place = self.places[n]
        for action in place.gateway.step(self.now, [event]):
            if isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                self.at(max(action.deadline, self.now), partial(self.later, n, place, fired))
            elif isinstance(action, api.Dispatch):
                self.send(n, place, action)
            elif isinstance(action, api.Cancel):
                self.end(n, place, action.request, action.attempt, b"", api.Outcome.CANCELLED, 0.0, 0.001)
            elif isinstance(action, api.SendGossip):
                self.tell(n, action.data)

    def later(self, n: int, place: _Place, event: api.Event) -> None:
        if self.places[n] is place:  # it has not been restarted since
            self.step(n, event)

    def tell(self, sender: int, data: bytes) -> None:
        message = api.PeerMessage(sender, data)
        for n in range(len(self.places)):
            if n != sender and self.random.random() > LOST:
                self.at(self.now + 0.03, partial(self.step, n, message))

    def send(self, n: int, place: _Place, action: api.Dispatch) -> None:
        work, cls = self.works[action.request]
        attempt = place.attempts.get(action.request, 0)
        place.attempts[action.request] = attempt + 1
        cold = action.engine[0] == 11
        if cold:
            self.sends.setdefault(action.engine, []).append((self.now, work))
        fate, failing = self.random.random(), self.day.failing
        lasts = work / CLASSES[cls].threads * self.random.uniform(1.0, 2.0) * (3.0 if cold else 1.0)
        if fate < REJECTED * failing:
            outcome, work, lasts = api.Outcome.REJECTED, 0.0, 0.01
        elif fate < (REJECTED + RESET) * failing:
            outcome, work, lasts = api.Outcome.RESET, 0.0, 0.05
        else:
            outcome = api.Outcome.OK
        self.end(n, place, action.request, attempt, action.engine, outcome, work, lasts)

    def end(
        self,
        n: int,
        place: _Place,
        request: int,
        attempt: int,
        engine: bytes,
        outcome: api.Outcome,
        work: float,
        lasts: float,
    ) -> None:
        def ends() -> None:
            if (n, request, attempt) not in self.ended:
                self.ended.add((n, request, attempt))
                final = outcome is api.Outcome.OK
                event = api.AttemptEnded(request, attempt, engine, outcome, lasts, final, work)
                self.later(n, place, event)

        self.at(self.now + lasts, ends)

    def total(self) -> ColdSum:
        total = ColdSum()
        for sends in self.sends.values():
            total.sent += len(sends) / len(self.cold)
            total.done += sum(work for _, work in sends) / len(self.cold)
            last, inside = 0, 0.0
            for first, (time, work) in enumerate(sends):
                while last < len(sends) and sends[last][0] < time + WINDOW:
                    inside += sends[last][1]
                    last += 1
                most = allowed(time - LEARNING)
                total.calls = max(total.calls, (last - first) / most)
                total.work = max(total.work, inside / MEAN / most)
                inside -= work
        return total


def allowed(age: float) -> float:
    """Calls of mean work that a node of this age bears in one window, and what is put down to chance."""
    share = COLD_SHARE + (1.0 - COLD_SHARE) * min(1.0, age / COLD_TIME)
    calls = MULTIPLE * CORES * share * WINDOW / MEAN
    return calls + 2.0 * math.sqrt(calls) + 2.0


def play(day: ColdDay) -> ColdSum:
    """Alike for a seed."""
    return _Play(day).run()
