"""What a gateway keeps of engines, requests and attempts. State only: nothing here decides or is tuned."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from hashlib import blake2b

from . import interface as api
from . import messages
from .interface import Outcome

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.MOOT)


def sane(value: float, least: float = 0.0, most: float = 1e9) -> float:
    """Clamp what others report; NaN counts as the least."""
    return min(max(value, least), most) if value == value else least


class Recent:
    """Own work sent of late, decayed over a horizon, as the threads that it keeps busy."""

    def __init__(self) -> None:
        self.value, self.at = 0.0, -math.inf

    def read(self, now: float, horizon: float) -> float:
        return self.value * math.exp((self.at - now) / horizon) if self.value else 0.0

    def add(self, now: float, work: float, horizon: float) -> None:
        self.value, self.at = self.read(now, horizon) + work / horizon, now


class Bucket:
    """A leaky bucket: what comes fills it, a rate empties it."""

    def __init__(self) -> None:
        self.level, self.at = 0.0, -math.inf

    def passes(self, now: float, rate: float, depth: float) -> bool:
        """Count one more; whether it would pass the depth, and then it is not counted."""
        self.level, self.at = max(0.0, self.level - (now - self.at) * rate), now
        over = self.level + 1.0 > depth
        self.level += 0.0 if over else 1.0
        return over


class Window(deque[float]):
    """Times in order, of which the old ones are forgotten."""

    def put(self, time: float) -> None:
        """Add one that may be older than the latest."""
        place = len(self)
        while place and self[place - 1] > time:
            place -= 1
        self.insert(place, time)

    def count_since(self, time: float) -> int:
        while self and self[0] <= time:
            self.popleft()
        return len(self)


class Engine:
    """One engine as a gateway knows it: the list's word, what its own traffic showed, what others told."""

    def __init__(self, entry: api.EngineEntry, kind: api.KindSettings) -> None:
        self.id, self.cores, self.memory_size = entry.engine, kind.cores, kind.memory_mb
        self.threads = self.memory = 0.0  # own work that is out
        self.told_threads = self.told_memory = 0.0  # others' work, as far as they told
        self.told_loads: dict[int, int] = {}  # others' loads by their table group's mark
        self.recent = Recent()
        self.out: dict[tuple[int, int], Attempt] = {}
        self.luck = int.from_bytes(blake2b(entry.engine, digest_size=4).digest(), "big") / 2.0**32
        self.update(entry)
        self.restart(entry.started or -math.inf)

    def update(self, entry: api.EngineEntry) -> None:
        self.state, self.zone, self.kind, self.cell = entry.state, entry.zone, entry.kind, entry.cell
        self.started = entry.started

    def restart(self, now: float) -> None:
        self.heard = self.judged = self.full = -math.inf
        self.sent: list[tuple[float, float]] = []  # (time, work) sent within the cold time
        self.reported, self.reported_at = 0.0, now  # threads a core that it last reported; a new one has none
        self.asked_at = -math.inf  # the last probe
        self.fails = 0.0  # decayed share of failures
        self.ill = self.silent = False
        self.broke_at = self.reborn_at = -math.inf  # signs that the process may have restarted unseen
        self.refused = False  # a connection, since it broke
        self.next_trial, self.trial_gap = -math.inf, 0.0

    def loading(self, tables: float) -> bool:
        """Whether a load that is known of holds the table group here."""
        if self.told_loads and messages.tables_mark(tables) in self.told_loads:
            return True
        return any(a.job.cls.is_load and a.job.tables == tables for a in self.out.values())


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


@dataclass(slots=True, eq=False)
class Told:
    """Another gateway's attempt, as it told."""

    until: float
    engine: Engine
    threads: float
    memory: float
    loads: int | None  # mark of the table group that a load holds


class ToldBoard:
    """Others' attempts by sender and number, and their sums at each engine."""

    def __init__(self) -> None:
        self.threads = 0.0
        self.entries: dict[tuple[int, int], Told] = {}
        self.ends: list[tuple[float, tuple[int, int]]] = []  # heap

    def add(self, name: tuple[int, int], until: float, engine: Engine, message: messages.Message) -> None:
        loads = message.tables if message.is_load else None
        memory = message.memory_share * engine.memory_size
        self.put(name, Told(until, engine, message.threads, memory, loads))

    def put(self, name: tuple[int, int], told: Told) -> None:
        self.entries[name] = told
        self._count(told, 1)
        heapq.heappush(self.ends, (told.until, name))

    def forget(self, name: tuple[int, int]) -> None:
        if told := self.entries.pop(name, None):
            self._count(told, -1)

    def forget_until(self, now: float) -> None:
        """Forget what has no end told by now."""
        while self.ends and self.ends[0][0] <= now:
            until, name = heapq.heappop(self.ends)
            if name in self.entries and self.entries[name].until <= until:
                self.forget(name)

    def _count(self, told: Told, sign: int) -> None:
        told.engine.told_threads += sign * told.threads
        told.engine.told_memory += sign * told.memory
        self.threads += sign * told.threads
        if told.loads is not None:
            loads = told.engine.told_loads
            loads[told.loads] = loads.get(told.loads, 0) + sign
            if not loads[told.loads]:
                del loads[told.loads]
