"""What is known of the engines, as one immutable map that readers hold without locks."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from rpds import HashTrieMap

from ..config import EngineRecord
from ..interface import EndpointListMode, EndpointListUpdate, EngineEntry

Snapshot: TypeAlias = "HashTrieMap[bytes, EngineRecord]"


class View:
    """The newest list, and the update that the dispatcher is told of it.

    Starts are told in wall time and kept in monotonic time; each is converted once, when it is first seen, so
    that a step of the clock later does not look like a restart of every engine.
    """

    def __init__(self, monotonic: Callable[[], float], wall: Callable[[], float]) -> None:
        self.snapshot: Snapshot = HashTrieMap()
        self.version = 0
        self._monotonic, self._wall = monotonic, wall
        self._starts: dict[bytes, tuple[float, float]] = {}  # told, and on our clock

    def replace(self, version: int, records: tuple[EngineRecord, ...]) -> EndpointListUpdate:
        """Take a whole list; what the old one had and this one lacks is gone."""
        self.version = version
        self.snapshot = HashTrieMap({r.id.encode(): r for r in records})
        self._starts = {k: v for k, v in self._starts.items() if k in self.snapshot}
        return EndpointListUpdate(EndpointListMode.FULL, version, tuple(self._entry(r) for r in records))

    def _entry(self, record: EngineRecord) -> EngineEntry:
        name = record.id.encode()
        told, started = self._starts.get(name, (0.0, 0.0))
        if record.started != told:
            told = record.started
            age = max(0.0, self._wall() - told) if told else 0.0  # a start in the future counts as now
            started = max(1e-6, self._monotonic() - age) if told else 0.0
            self._starts[name] = (told, started)
        return EngineEntry(name, record.state, started, record.zone, record.kind, record.cell, record.weight)

    def address(self, engine: bytes) -> tuple[str, int] | None:
        record = self.snapshot.get(engine)
        return None if record is None else (record.host, record.port)
