"""The engines of the endpoint list."""

from __future__ import annotations

import math
from collections.abc import Callable

from .. import gossip_messages as messages
from .. import interface as api
from ..interface import EndpointListMode, EngineState
from .engines import Engine


class EngineRegistry:
    """All engines that have been in the endpoint list, and totals over those that are ready.

    Attributes:
        engines: Engines by id, in the order of their first entry.
        engine_by_digest: Engines by the digest that identifies them in gossip messages.
        restore_engine: Called with each new engine to restore its state of an earlier run.
        ready: Engines in state READY.
        ready_cores: Total cores of the ready engines.
        warmups_end_at: Time at which the last ready engine has warmed up.
        mean_reported_threads: Mean threads per core over the ready engines that have sent a load report.
    """

    def __init__(self, machine_types: tuple[api.MachineType, ...]) -> None:
        self._machine_types = machine_types
        self.engines: dict[bytes, Engine] = {}
        self.engine_by_digest: dict[bytes, Engine] = {}
        self.restore_engine: Callable[[Engine], None] = lambda engine: None
        self.ready: list[Engine] = []
        self.ready_cores = 0.0
        self.warmups_end_at = -math.inf
        self.mean_reported_threads = 0.0

    def apply(
        self, event: api.EndpointListUpdate, now: float, slow_start_duration: float, max_removed: int
    ) -> None:
        """Apply an update of the endpoint list; at most `max_removed` idle removed engines are retained."""
        for entry in event.entries:
            self._apply_entry(entry, now)
        if event.mode is not EndpointListMode.DELTA:
            self._remove_unlisted({entry.engine for entry in event.entries})
        self._drop_oldest_removed(max_removed)
        self.ready = [engine for engine in self.engines.values() if engine.state is EngineState.READY]
        self.ready_cores = sum(engine.cores for engine in self.ready)
        last_start = max((engine.warmup_started_at(now) for engine in self.ready), default=-math.inf)
        self.warmups_end_at = last_start + slow_start_duration

    def record_load_report(self, engine: Engine, threads_per_core: float, now: float) -> None:
        """Record the load report of an engine and update the mean over the ready engines."""
        engine.reported_threads_per_core = threads_per_core
        engine.reported_at = now
        reported = [e.reported_threads_per_core for e in self.ready if e.reported_at > -math.inf]
        self.mean_reported_threads = sum(reported) / max(1, len(reported))

    def _apply_entry(self, entry: api.EngineEntry, now: float) -> None:
        engine = self.engines.get(entry.engine)
        if engine is None:
            self._add(entry)
            return
        has_restarted = entry.started_at != engine.started_at and entry.started_at > 0.0
        has_returned = engine.state is EngineState.REMOVED and entry.state is EngineState.READY
        engine.update(entry)
        if has_restarted:
            engine.restart(now)
        elif has_returned:  # it may have restarted while it was not listed; the latest time is assumed
            engine.inferred_restart_at = now

    def _add(self, entry: api.EngineEntry) -> None:
        machine_type = self._machine_types[min(entry.machine_type, len(self._machine_types) - 1)]
        engine = self.engines[entry.engine] = Engine(entry, machine_type)
        self.engine_by_digest[messages.engine_digest(entry.engine)] = engine
        self.restore_engine(engine)

    def _remove_unlisted(self, listed_ids: set[bytes]) -> None:
        for engine in self.engines.values():
            if engine.id not in listed_ids:
                engine.state = EngineState.REMOVED

    def _drop_oldest_removed(self, max_removed: int) -> None:
        """Drop the oldest removed engines, since engines that never return would use memory without bound."""
        removed_engines = [
            engine
            for engine in self.engines.values()
            if engine.state is EngineState.REMOVED and not engine.in_flight
        ]
        for engine in removed_engines[:-max_removed]:
            del self.engines[engine.id]
            self.engine_by_digest.pop(messages.engine_digest(engine.id), None)
