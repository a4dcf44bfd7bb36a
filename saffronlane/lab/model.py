"""How a stand-in engine shares its cores and memory. No I/O: time comes in by arguments."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EngineShape:
    """One engine. Work is in seconds of one thread, memory in MB."""

    cores: float = 4.0
    memory_mb: float = 4096.0
    speed: float = 1.0
    cold_share: float = 1.0  # of its capacity just after the start
    warm_after: float = 0.0
    fall_multiple: float = 0.0  # 0: it never falls over
    fall_window: float = 0.0
    knee: float = math.inf  # threads a core past which less is done in all
    thrash: float = 0.0  # how much less: each thread a core past the knee takes this part of what is left


@dataclass(slots=True, eq=False)
class Run:
    """One query on an engine."""

    work: float
    threads: float
    memory_mb: float = 0.0
    done: float = 0.0
    waiting: bool = False

    @property
    def progress(self) -> float:
        return min(1.0, self.done / self.work) if self.work > 0.0 else 1.0


@dataclass(slots=True, eq=False)
class Machine:
    """Processor sharing: threads share the cores evenly; what passes the memory waits in a line."""

    shape: EngineShape
    started: float
    slow: float = 1.0  # a fault: everything takes so many times as long
    hung: bool = False
    fallen: bool = False
    running: list[Run] = field(default_factory=list)
    line: deque[Run] = field(default_factory=deque)
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work) while cold
    ended: list[Run] = field(default_factory=list)  # and not collected yet
    _at: float = -math.inf

    def capacity(self, now: float) -> float:
        """Cores' worth of work a second that it can do now."""
        shape = self.shape
        share = 1.0
        if shape.warm_after > 0.0:
            warm = min(1.0, max(0.0, (now - self.started) / shape.warm_after))
            share = shape.cold_share + (1.0 - shape.cold_share) * warm
        return shape.cores * shape.speed * share / self.slow

    def _rate(self, now: float) -> float:
        """Work a second of one thread."""
        threads = sum(run.threads for run in self.running)
        capacity = self.capacity(now)
        single = capacity / self.shape.cores
        past = max(0.0, threads / self.shape.cores - self.shape.knee)
        able = capacity / (1.0 + self.shape.thrash * past)
        return 0.0 if self.hung or not threads else min(single, able / threads)

    def collect(self) -> list[Run]:
        """The runs that have ended since it was last asked, whatever made time pass."""
        ended, self.ended = self.ended, []
        return ended

    def advance(self, now: float) -> None:
        """Let time pass."""
        if self._at > -math.inf and self.running:
            rate = self._rate(now)
            for run in self.running:
                run.done += rate * run.threads * (now - self._at)
        self._at = now
        self.ended += [run for run in self.running if run.done >= run.work - 1e-9]
        self.running = [run for run in self.running if run.done < run.work - 1e-9]
        self._let_in()

    def _let_in(self) -> None:
        used = sum(run.memory_mb for run in self.running)
        while self.line and (not self.running or used + self.line[0].memory_mb <= self.shape.memory_mb):
            run = self.line.popleft()
            run.waiting = False
            self.running.append(run)
            used += run.memory_mb

    def add(self, run: Run, now: float) -> bool:
        """Take a query; False: this one made the cold engine fall over."""
        self.advance(now)
        run.waiting = True
        self.line.append(run)
        self._let_in()
        return not self._falls(run, now)

    def _falls(self, run: Run, now: float) -> bool:
        shape = self.shape
        if not shape.fall_multiple or now - self.started > shape.warm_after:
            return False
        self.sent.append((now, run.work))
        while self.sent[0][0] < now - shape.fall_window:
            self.sent.popleft()
        limit = shape.fall_multiple * self.capacity(now) * shape.fall_window
        self.fallen = self.fallen or sum(work for _, work in self.sent) > limit
        return self.fallen

    def remove(self, run: Run, now: float) -> None:
        self.advance(now)
        if run in self.running:
            self.running.remove(run)
        elif run in self.line:
            self.line.remove(run)
        self._let_in()

    def next_end(self, now: float) -> float:
        """When the next run ends if nothing changes; infinity: none does."""
        rate = self._rate(now)
        if rate <= 0.0 or not self.running:
            return math.inf
        soonest = min((run.work - run.done) / run.threads for run in self.running)
        # Capacity grows while cold: look again soon, so that the end is not told late.
        ahead = max(0.0, soonest / rate)
        return now + (min(ahead, 0.05) if now - self.started < self.shape.warm_after else ahead)
