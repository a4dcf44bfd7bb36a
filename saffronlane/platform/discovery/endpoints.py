"""The table of listed engine endpoints, and the updates of the table for the dispatcher."""

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
MIN_STARTED_AT = 1e-6  # seconds; a start time of 0 means unknown


class ListedEndpoint(NamedTuple):
    """An engine in the current endpoint list.

    Attributes:
        address: Host and port.
        wall_started_at: The listed start time in seconds of wall time, or 0 if it is unknown.
        started_at: The same start time on the monotonic clock, or 0 if it is unknown.
    """

    address: Address
    wall_started_at: float
    started_at: float


class EndpointUpdate(NamedTuple):
    """The effect of one watch event.

    Attributes:
        update: The update for the dispatcher.
        removed_engines: The engines that are no longer listed.
    """

    update: EndpointListUpdate
    removed_engines: list[bytes]


class EndpointTable:
    """The engines that are currently listed.

    The feed lists start times in wall time, and the table stores them in monotonic time. Each start time is
    converted once, when it is first seen, so that a later step of the wall clock does not look like a restart
    of every engine.

    Args:
        settings: The settings with the names of zones and machine types.
        monotonic_time: Returns the monotonic time in seconds.
        wall_time: Returns the wall time in seconds.
    """

    def __init__(
        self, settings: Settings, monotonic_time: Callable[[], float], wall_time: Callable[[], float]
    ) -> None:
        self._zone_index_by_name = {zone: index for index, zone in enumerate(settings.zones)}
        self._machine_type_index_by_name = {
            machine_type.name: index for index, machine_type in enumerate(settings.machine_types)
        }
        self._monotonic_time = monotonic_time
        self._wall_time = wall_time
        self._endpoints: dict[bytes, ListedEndpoint] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def address(self, engine: bytes) -> Address | None:
        """Return an engine's address, or None if the engine is not listed."""
        endpoint = self._endpoints.get(engine)
        return None if endpoint is None else endpoint.address

    def apply(self, event: EndpointList) -> EndpointUpdate:
        """Apply one watch event. Invalid members are logged and ignored."""
        previous_engines = set(self._endpoints)
        listed_engines: set[bytes] = set()
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
                listed_engines.add(engine)
        if event.is_complete:
            self._remove(previous_engines - listed_engines)
        mode = EndpointListMode.FULL if event.is_complete else EndpointListMode.DELTA
        update = EndpointListUpdate(mode, event.revision, tuple(entries))
        return EndpointUpdate(update, sorted(previous_engines - set(self._endpoints)))

    def _remove(self, engines: set[bytes]) -> None:
        for engine in engines:
            self._endpoints.pop(engine, None)

    def _apply_member(self, engine: bytes, member: ListedEngine) -> EngineEntry:
        """Update the table with one member of the list.

        Raises:
            ConfigError: The member is invalid.
        """
        state = STATE_BY_PHASE.get(member.state)
        if state is None:
            raise ConfigError(f"/phase: unknown phase {member.state!r}")
        machine_type = self._machine_type_index_by_name.get(member.machine_type)
        if machine_type is None and state is not EngineState.REMOVED:
            raise ConfigError(f"/flavor: unknown machine type {member.machine_type!r}")
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
        """Return an engine's start time on the monotonic clock, or 0 if it is unknown."""
        endpoint = self._endpoints.get(engine)
        known_wall_started_at = 0.0 if endpoint is None else endpoint.wall_started_at
        if wall_started_at == known_wall_started_at:
            return 0.0 if endpoint is None else endpoint.started_at
        if not wall_started_at:
            return 0.0
        age = max(0.0, self._wall_time() - wall_started_at)  # a start time in the future counts as now
        return max(MIN_STARTED_AT, self._monotonic_time() - age)
