"""The engines' endpoints as listed by discovery, and the updates for the dispatcher that follow from them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import structlog

from ...errors import error_fields
from ...interface import EndpointListMode, EndpointListUpdate, EngineEntry, EngineState, Settings
from ..config import Address, EndpointList, ListedEngine, parse_address
from ..errors import ConfigError

log = structlog.get_logger()
STATE_BY_PHASE = {"up": EngineState.READY, "draining": EngineState.DRAINING, "removed": EngineState.REMOVED}
MS_PER_SECOND = 1000.0
MIN_STARTED_AT = 1e-6  # seconds; 0 stands for an unknown start


class ListedEndpoint(NamedTuple):
    """An engine that is listed.

    Attributes:
        address: host and port.
        wall_started_at: its start as listed, in seconds of wall time; 0: unknown.
        started_at: the same on the monotonic clock; 0: unknown.
    """

    address: Address
    wall_started_at: float
    started_at: float


class EndpointUpdate(NamedTuple):
    """The effect of one watch event: the update for the dispatcher, and the engines no longer listed."""

    update: EndpointListUpdate
    removed_engines: list[bytes]


class EndpointTable:
    """The engines that are listed now.

    Starts are listed in wall time and kept in monotonic time. Each is converted once, when it is first seen,
    so that a later step of the wall clock does not look like a restart of every engine.

    Args:
        settings: the names of zones and machine types.
        monotonic: returns the monotonic time in seconds.
        wall: returns the wall time in seconds.
    """

    def __init__(self, settings: Settings, monotonic: Callable[[], float], wall: Callable[[], float]) -> None:
        self._zone_index_by_name = {zone: index for index, zone in enumerate(settings.zones)}
        self._machine_type_index_by_name = {
            machine_type.name: index for index, machine_type in enumerate(settings.machine_types)
        }
        self._monotonic = monotonic
        self._wall = wall
        self._endpoints: dict[bytes, ListedEndpoint] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def address(self, engine: bytes) -> Address | None:
        """Return an engine's address; None where it is not listed."""
        endpoint = self._endpoints.get(engine)
        return None if endpoint is None else endpoint.address

    def apply(self, event: EndpointList) -> EndpointUpdate:
        """Apply one watch event. Members that are invalid are logged and left out."""
        before = set(self._endpoints)
        listed: set[bytes] = set()
        entries = []
        for member in event.endpoints:
            engine = member.engine.encode()
            try:
                entry = self._apply_member(engine, member)
            except ConfigError as error:
                log.error("invalid endpoint ignored", engine=member.engine, **error_fields(error))
                continue
            entries.append(entry)
            if entry.state is not EngineState.REMOVED:
                listed.add(engine)
        if event.is_complete:
            self._remove(before - listed)
        mode = EndpointListMode.FULL if event.is_complete else EndpointListMode.DELTA
        update = EndpointListUpdate(mode, event.revision, tuple(entries))
        return EndpointUpdate(update, sorted(before - set(self._endpoints)))

    def _remove(self, engines: set[bytes]) -> None:
        for engine in engines:
            self._endpoints.pop(engine, None)

    def _apply_member(self, engine: bytes, member: ListedEngine) -> EngineEntry:
        """Update the table with one member.

        Raises:
            ConfigError: the member is invalid.
        """
        state = STATE_BY_PHASE.get(member.state)
        if state is None:
            raise ConfigError(f"/phase: unknown: {member.state!r}")
        machine_type = self._machine_type_index_by_name.get(member.machine_type)
        if machine_type is None and state is not EngineState.REMOVED:
            raise ConfigError(f"/flavor: unknown: {member.machine_type!r}")
        wall_started_at = max(0.0, member.started_at_ms) / MS_PER_SECOND
        started_at = self._started_at(engine, wall_started_at)
        if state is EngineState.REMOVED:
            self._endpoints.pop(engine, None)
        else:
            endpoint_address = parse_address(member.address, "/host_port")
            self._endpoints[engine] = ListedEndpoint(endpoint_address, wall_started_at, started_at)
        zone = self._zone_index_by_name.get(member.zone, 0)
        return EngineEntry(engine, state, started_at, zone, machine_type or 0, member.cell, member.size)

    def _started_at(self, engine: bytes, wall_started_at: float) -> float:
        """Return an engine's start on the monotonic clock; 0 where it is unknown."""
        endpoint = self._endpoints.get(engine)
        known_wall_started_at = 0.0 if endpoint is None else endpoint.wall_started_at
        if wall_started_at == known_wall_started_at:
            return 0.0 if endpoint is None else endpoint.started_at
        if not wall_started_at:
            return 0.0
        age = max(0.0, self._wall() - wall_started_at)  # a start in the future counts as now
        return max(MIN_STARTED_AT, self._monotonic() - age)
