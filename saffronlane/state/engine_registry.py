"""All engines that were listed, and own work out among them."""

from __future__ import annotations

import math
from collections.abc import Callable

from .. import gossip_messages as messages
from .. import interface as api
from ..interface import EndpointListMode, EngineState, Outcome
from .engines import Engine
from .requests import Attempt
from .windows import DecayingRate


class EngineRegistry:
    """Every engine that the list has named, and sums over those that are ready."""

    def __init__(self, kinds: tuple[api.MachineType, ...]) -> None:
        self._machine_types = kinds
        self.engines: dict[bytes, Engine] = {}
        self.engine_by_digest: dict[bytes, Engine] = {}  # by the mark that others tell of them
        self.restore_engine: Callable[[Engine], None] = lambda engine: None  # what an earlier run knew of one
        self.ready: list[Engine] = []
        self.ready_cores = 0.0  # of ready engines
        self.warmups_end_at = -math.inf  # from when on none of them is cold
        self.mean_reported_threads = 0.0  # threads a core, over the ready engines that have reported

    def apply(
        self, event: api.EndpointListUpdate, now: float, slow_start_duration: float, max_removed: int
    ) -> None:
        """Take in a list. Of the engines that have gone, the latest `gone_most` are remembered."""
        for entry in event.entries:
            self._apply_entry(entry, now)
        if event.mode is not EndpointListMode.DELTA:
            named = {entry.engine for entry in event.entries}
            for engine in self.engines.values():
                if engine.id not in named:
                    engine.state = EngineState.REMOVED
        gone = [e for e in self.engines.values() if e.state is EngineState.REMOVED and not e.in_flight]
        for engine in gone[:-max_removed]:  # where engines are ever new, the old must not stay
            del self.engines[engine.id]
            self.engine_by_digest.pop(messages.engine_digest(engine.id), None)
        self.ready = [e for e in self.engines.values() if e.state is EngineState.READY]
        self.ready_cores = sum(e.cores for e in self.ready)
        self.warmups_end_at = (
            max((e.warmup_started_at(now) for e in self.ready), default=-math.inf) + slow_start_duration
        )

    def record_load_report(self, engine: Engine, threads: float, now: float) -> None:
        """An engine says how many threads a core it runs."""
        engine.reported_threads_per_core, engine.reported_at = threads, now
        told = [e.reported_threads_per_core for e in self.ready if e.reported_at > -math.inf]
        self.mean_reported_threads = sum(told) / max(1, len(told))

    def _apply_entry(self, entry: api.EngineEntry, now: float) -> None:
        engine = self.engines.get(entry.engine)
        if engine is None:
            kind = self._machine_types[min(entry.machine_type, len(self._machine_types) - 1)]
            engine = self.engines[entry.engine] = Engine(entry, kind)
            self.engine_by_digest[messages.engine_digest(entry.engine)] = engine
            self.restore_engine(engine)
            return
        restarted = entry.started_at != engine.started_at and entry.started_at > 0.0
        back = engine.state is EngineState.REMOVED and entry.state is EngineState.READY
        engine.update(entry)
        if restarted:
            engine.restart(now)
        elif back:  # it may have restarted unseen: nothing tells when, so it counts as cold from now
            engine.inferred_restart_at = now


class InFlightWork:
    """Own attempts that are out, their threads, by class too, and own work sent of late."""

    def __init__(self, classes: int) -> None:
        self.attempts: dict[tuple[int, int], Attempt] = {}  # without an outcome, also of ended requests
        self.threads = 0.0
        self.threads_by_class = [0.0] * classes
        self.recent_work = DecayingRate()

    def add(self, attempt: Attempt, work: float, horizon: float, retention: float) -> None:
        """One leaves with so much work: recent over the horizon, remembered by its engine for so long."""
        job, engine, now = attempt.request, attempt.engine, attempt.sent_at
        job.attempts.append(attempt)
        job.in_flight_count += 1
        self.attempts[job.id, attempt.index] = engine.in_flight[job.id, attempt.index] = attempt
        self._count(attempt, 1.0)
        engine.recent_work.add(now, work, horizon)
        self.recent_work.add(now, work, horizon)
        engine.recent_dispatches = [sent for sent in engine.recent_dispatches if sent[0] > now - retention]
        engine.recent_dispatches.append((now, work))

    def complete(self, request: int, attempt_index: int, outcome: Outcome) -> Attempt | None:
        """One has come to its outcome; None: it is not known, or has come to one before."""
        attempt = self.attempts.pop((request, attempt_index), None)
        if attempt is not None:
            del attempt.engine.in_flight[request, attempt_index]
            self._count(attempt, -1.0)
            attempt.outcome = outcome
            attempt.request.in_flight_count -= 1
        return attempt

    def _count(self, attempt: Attempt, sign: float) -> None:
        attempt.engine.in_flight_threads += sign * attempt.threads
        attempt.engine.in_flight_memory_mb += sign * attempt.memory_grant_mb
        self.threads += sign * attempt.threads
        self.threads_by_class[attempt.request.class_index] += sign * attempt.threads
