"""The compute nodes as the control feed tells them, and the updates that the dispatcher gets of them."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from ...errors import told
from ...interface import EndpointListMode, EndpointListUpdate, EngineEntry, EngineState, Settings
from ..config import Address, Member, Members, address
from ..errors import ConfigError

log = structlog.get_logger()
STATES = {"up": EngineState.READY, "draining": EngineState.DRAINING, "removed": EngineState.REMOVED}


class EndpointTable:
    """What is listed now. A node that is removed leaves nothing here.

    Starts are told in wall time and kept in monotonic time; each is converted once, when it is first seen, so
    that a step of the clock later does not look like a restart of every node.
    """

    def __init__(self, settings: Settings, monotonic: Callable[[], float], wall: Callable[[], float]) -> None:
        self._zones = {zone: n for n, zone in enumerate(settings.zones)}
        self._kinds = {kind.name: n for n, kind in enumerate(settings.machine_types)}
        self._monotonic, self._wall = monotonic, wall
        self._listed: dict[
            bytes, tuple[Address, float, float]
        ] = {}  # address, start as told and on our clock

    def __len__(self) -> int:
        return len(self._listed)

    def address(self, engine: bytes) -> Address | None:
        entry = self._listed.get(engine)
        return None if entry is None else entry[0]

    def apply(self, event: Members) -> tuple[EndpointListUpdate, list[bytes]]:
        """One event of the feed: the update of the list, and the nodes that went with it.

        A member that cannot be read is left out and logged: the others must not wait for it.
        """
        before = set(self._listed)
        named: set[bytes] = set()
        entries = []
        for member in event.members:
            name = member.id.encode()
            try:
                entry = self._entry(name, member)
            except ConfigError as error:
                log.error("member left out", member=member.id, **told(error))
                continue
            entries.append(entry)
            if entry.state is EngineState.REMOVED:
                self._listed.pop(name, None)
            else:
                named.add(name)
        if event.complete:
            for name in before - named:
                self._listed.pop(name, None)
        mode = EndpointListMode.FULL if event.complete else EndpointListMode.DELTA
        return EndpointListUpdate(mode, event.revision, tuple(entries)), sorted(before - set(self._listed))

    def _entry(self, name: bytes, member: Member) -> EngineEntry:
        state = STATES.get(member.phase)
        if state is None:
            raise ConfigError(f"/phase: unknown: {member.phase!r}")
        kind = self._kinds.get(member.flavor)
        if kind is None and state is not EngineState.REMOVED:
            raise ConfigError(f"/flavor: unknown: {member.flavor!r}")
        wall = max(0.0, member.up_since_ms) / 1000.0
        _, before, started = self._listed.get(name, (None, 0.0, 0.0))
        if wall != before:
            age = max(0.0, self._wall() - wall) if wall else 0.0  # a start in the future counts as now
            started = max(1e-6, self._monotonic() - age) if wall else 0.0
        if state is not EngineState.REMOVED:
            self._listed[name] = (address(member.host_port, "/host_port"), wall, started)
        zone = self._zones.get(member.locality, 0)
        return EngineEntry(name, state, started, zone, kind or 0, member.cell, member.size)
