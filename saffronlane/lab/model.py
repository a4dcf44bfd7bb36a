"""Model of how a stand-in engine shares its cores and memory. It does no I/O; callers pass in the time."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Capacity of one engine, and its behaviour while it is cold (just started) or overloaded.

    Attributes:
        cores: Number of cores.
        memory_mb: Memory in MB.
        speed: Seconds of work that one core does per second.
        cold_share: Share of the capacity that is available right after a cold start.
        warm_after: Seconds from a cold start until the full capacity is available.
        fall_multiple: A cold engine crashes from overload if the work that arrives within `fall_window`
            exceeds this multiple of the work that its current capacity can do in that time; 0 if it never
            crashes.
        fall_window: Window of `fall_multiple`, in seconds.
        knee: Threads per core above which the total throughput drops.
        thrash: Loss of throughput above the knee: the throughput is divided by 1 plus this value times the
            threads per core above the knee.
    """

    cores: float = 4.0
    memory_mb: float = 4096.0
    speed: float = 1.0
    cold_share: float = 1.0
    warm_after: float = 0.0
    fall_multiple: float = 0.0
    fall_window: float = 0.0
    knee: float = math.inf
    thrash: float = 0.0


@dataclass(slots=True, eq=False)
class Run:
    """One query on an engine.

    Attributes:
        work: Total work, in seconds of one thread.
        threads: Number of threads that the query uses.
        memory_mb: Memory that the query needs, in MB.
        done: Work done so far, in seconds of one thread.
        waiting: Whether the query waits in the queue for memory.
    """

    work: float
    threads: float
    memory_mb: float = 0.0
    done: float = 0.0
    waiting: bool = False

    @property
    def progress(self) -> float:
        """Share of the work that is done."""
        return min(1.0, self.done / self.work) if self.work > 0.0 else 1.0


@dataclass(slots=True, eq=False)
class Machine:
    """Processor sharing: threads share the cores evenly, and queries wait in a queue until memory is free.

    A query that needs more memory than the engine has starts once no other query is running.

    Attributes:
        shape: Capacity of the engine.
        started: Start time of the engine.
        slowdown: Factor on all run times, set by fault injection.
        hung: Whether no query makes progress, set by fault injection.
        has_crashed: Whether the engine has crashed from overload while cold.
        running: The running queries.
        queue: The queries that wait for memory.
        recent_arrivals: (time, work) of the queries that arrived within the overload window while cold.
        finished: The finished queries that were not collected yet.
    """

    shape: EngineShape
    started: float
    slowdown: float = 1.0
    hung: bool = False
    has_crashed: bool = False
    running: list[Run] = field(default_factory=list)
    queue: deque[Run] = field(default_factory=deque)
    recent_arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    finished: list[Run] = field(default_factory=list)
    _last_advance: float = -math.inf

    def capacity(self, now: float) -> float:
        """Return the current capacity, in seconds of work per second."""
        shape = self.shape
        share = 1.0
        if shape.warm_after > 0.0:
            warm_ratio = min(1.0, max(0.0, (now - self.started) / shape.warm_after))
            share = shape.cold_share + (1.0 - shape.cold_share) * warm_ratio
        return shape.cores * shape.speed * share / self.slowdown

    def _rate_per_thread(self, now: float) -> float:
        """Return the work that one thread does per second."""
        threads = sum(run.threads for run in self.running)
        capacity = self.capacity(now)
        core_capacity = capacity / self.shape.cores
        threads_above_knee = max(0.0, threads / self.shape.cores - self.shape.knee)
        throughput = capacity / (1.0 + self.shape.thrash * threads_above_knee)
        return 0.0 if self.hung or not threads else min(core_capacity, throughput / threads)

    def collect(self) -> list[Run]:
        """Return the queries that have finished since the last call of this method.

        Every method that advances the time can finish queries, so they are collected here.
        """
        finished, self.finished = self.finished, []
        return finished

    def advance(self, now: float) -> None:
        """Advance the time: running queries progress, and queued queries start as memory becomes free."""
        if self._last_advance > -math.inf and self.running:
            rate = self._rate_per_thread(now)
            for run in self.running:
                run.done += rate * run.threads * (now - self._last_advance)
        self._last_advance = now
        self.finished += [run for run in self.running if run.done >= run.work - 1e-9]
        self.running = [run for run in self.running if run.done < run.work - 1e-9]
        self._start_queued()

    def _start_queued(self) -> None:
        used_mb = sum(run.memory_mb for run in self.running)
        while self.queue and (not self.running or used_mb + self.queue[0].memory_mb <= self.shape.memory_mb):
            run = self.queue.popleft()
            run.waiting = False
            self.running.append(run)
            used_mb += run.memory_mb

    def add(self, run: Run, now: float) -> bool:
        """Add a query. Return False if it made the cold engine crash from overload."""
        self.advance(now)
        run.waiting = True
        self.queue.append(run)
        self._start_queued()
        return not self._is_overloaded_by(run, now)

    def _is_overloaded_by(self, run: Run, now: float) -> bool:
        shape = self.shape
        if not shape.fall_multiple or now - self.started > shape.warm_after:
            return False
        self.recent_arrivals.append((now, run.work))
        while self.recent_arrivals[0][0] < now - shape.fall_window:
            self.recent_arrivals.popleft()
        limit = shape.fall_multiple * self.capacity(now) * shape.fall_window
        self.has_crashed = self.has_crashed or sum(work for _, work in self.recent_arrivals) > limit
        return self.has_crashed

    def remove(self, run: Run, now: float) -> None:
        """Remove a query that is running or queued; has no effect if it has finished."""
        self.advance(now)
        if run in self.running:
            self.running.remove(run)
        elif run in self.queue:
            self.queue.remove(run)
        self._start_queued()

    def next_end(self, now: float) -> float:
        """Return when to call `collect` next.

        This is the time at which the next query finishes if nothing changes. While the engine is cold, it is
        at most 0.05 s ahead. It is infinite if no query makes progress.
        """
        rate = self._rate_per_thread(now)
        if rate <= 0.0 or not self.running:
            return math.inf
        shortest = min((run.work - run.done) / run.threads for run in self.running)
        # The capacity grows while the engine is cold, so queries finish earlier than predicted here. The
        # limit of 0.05 s bounds the delay until their end is noticed.
        delay = max(0.0, shortest / rate)
        return now + (min(delay, 0.05) if now - self.started < self.shape.warm_after else delay)
