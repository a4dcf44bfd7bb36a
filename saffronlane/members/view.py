"""The current engine list as an immutable map, which readers can keep without locks."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from rpds import HashTrieMap

from ..config import EngineRecord
from ..interface import EndpointListMode, EndpointListUpdate, EngineEntry

Snapshot: TypeAlias = "HashTrieMap[bytes, EngineRecord]"


class EngineListView:
    """Holds the newest engine list, and converts each list to an update for the dispatcher.

    A list gives the start of an engine in wall-clock time, and an update gives it in monotonic time. Each
    start time is converted once, when it is first listed. Otherwise a step of the wall clock would look like
    a restart of every engine.

    Args:
        monotonic_clock: A function that returns the monotonic time in seconds.
        wall_clock: A function that returns the wall-clock time in seconds since 1970.

    Attributes:
        snapshot: The engines of the newest list by id.
        version: The version of the newest list.
    """

    def __init__(self, monotonic_clock: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        self.snapshot: Snapshot = HashTrieMap()
        self.version = 0
        self._monotonic_clock, self._wall_clock = monotonic_clock, wall_clock
        self._start_times: dict[bytes, tuple[float, float]] = {}  # listed and monotonic start time by engine

    def replace(self, version: int, records: tuple[EngineRecord, ...]) -> EndpointListUpdate:
        """Replace the list. Engines that the new list lacks are removed.

        Returns:
            The update for the dispatcher.
        """
        self.version = version
        self.snapshot = HashTrieMap({record.id.encode(): record for record in records})
        self._start_times = {
            engine: start for engine, start in self._start_times.items() if engine in self.snapshot
        }
        return EndpointListUpdate(
            EndpointListMode.FULL, version, tuple(self._entry(record) for record in records)
        )

    def _entry(self, record: EngineRecord) -> EngineEntry:
        engine = record.id.encode()
        listed_start, started_at = self._start_times.get(engine, (0.0, 0.0))
        if record.started != listed_start:
            listed_start = record.started
            # A start time in the future is treated as now. The result is above 0, because 0 means unknown.
            age = max(0.0, self._wall_clock() - listed_start) if listed_start else 0.0
            started_at = max(1e-6, self._monotonic_clock() - age) if listed_start else 0.0
            self._start_times[engine] = (listed_start, started_at)
        return EngineEntry(
            engine, record.state, started_at, record.zone, record.kind, record.cell, record.weight
        )

    def address(self, engine: bytes) -> tuple[str, int] | None:
        """Return host and port of an engine, or None if it is not listed."""
        record = self.snapshot.get(engine)
        return None if record is None else (record.host, record.port)
