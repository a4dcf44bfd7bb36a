"""Requests, their attempts, and the order of those with a key."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from .. import interface as api
from ..interface import Outcome
from .engines import Engine
from .windows import sane

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.MOOT)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request; late outcomes find it after the request has ended."""

    job: Job
    n: int
    engine: Engine
    sent: float
    threads: float
    grant: float
    heard: float
    told: int | None = None  # its number in what the others were told
    outcome: Outcome | None = None
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Overdue:
    """A timer's subject: what was told of the attempt counts no longer at the others."""

    attempt: Attempt


class Job:
    """One request of a client."""

    def __init__(self, event: api.Arrival, index: int, cls: api.ClassSettings, now: float) -> None:
        self.id, self.index, self.key, self.cls = event.request, index, event.key, cls
        self.arrival, self.limit = now, now + sane(event.remaining, 0.0, cls.deadline or 1e9)
        self.cost, self.memory, self.tables = sane(event.cost) or 1.0, sane(event.memory_mb), event.tables
        self.deadline = self.limit
        self.looks_until = -math.inf  # engines were asked for their load; held until then
        self.attempts: list[Attempt] = []
        self.out = self.earlier = 0  # attempts without an outcome; those from before it arrived here
        self.ended = self.streaming = self.rerun = False
        self.over = False  # beyond its tenant's allowance
        self.avoid: list[bytes] = []  # engines that failed this request

    def first_maybe(self) -> Attempt | None:
        """The earliest attempt that may have run, or None while it is certain that none did."""
        return next((a for a in self.attempts if a.outcome not in NEVER_RAN), None)

    def had_earlier(self, told: api.Earlier, kinds: tuple[api.KindSettings, ...]) -> None:
        """An attempt from before the request arrived here, of which only that it may have run is known."""
        kind = kinds[min(told.kind, len(kinds) - 1)]
        place = api.EngineEntry(told.engine, api.EngineState.GONE, 0.0, told.zone, told.kind, told.cell)
        self.earlier, engine = 1, Engine(place, kind)
        attempt = Attempt(self, -1, engine, told.sent, 0.0, 0.0, told.sent, outcome=Outcome.CANCELLED)
        self.attempts.append(attempt)


class Turns:
    """Requests of each key in the order taken; only the head of a key has its turn, after the key's rest."""

    def __init__(self) -> None:
        self.keys: dict[int, deque[Job]] = {}
        self.rests: dict[int, float] = {}

    def join(self, job: Job) -> None:
        if job.cls.ordered and job.key:
            self.keys.setdefault(job.key, deque()).append(job)

    def has(self, job: Job, now: float) -> bool:
        if not job.cls.ordered or not job.key:
            return True
        if self.rests.get(job.key, -math.inf) <= now:
            self.rests.pop(job.key, None)
        return self.keys[job.key][0] is job and job.key not in self.rests

    def rest(self, job: Job, until: float) -> None:
        if job.cls.ordered and job.key:
            self.rests.pop(job.key, None)  # the last to end stands last
            self.rests[job.key] = until

    def forget_until(self, now: float) -> None:
        """Rests that are over, of keys that nobody asked for again."""
        while self.rests and next(iter(self.rests.values())) <= now:
            del self.rests[next(iter(self.rests))]

    def leave(self, job: Job) -> None:
        """A key moves on when a request has ended and no attempt's outcome is open."""
        if job.ended and not job.out and job in self.keys.get(job.key, ()):
            self.keys[job.key].remove(job)
            if not self.keys[job.key]:
                del self.keys[job.key]


class Owed:
    """Requests that are owed a final answer, those of them that are held, and the order of keys."""

    def __init__(self) -> None:
        self.jobs: dict[int, Job] = {}
        self.held: dict[int, Job] = {}
        self.turns = Turns()

    def add(self, job: Job) -> None:
        self.jobs[job.id] = self.held[job.id] = job
        self.turns.join(job)
