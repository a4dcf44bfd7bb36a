"""The table of listed engine endpoints, and the updates of the table for the dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
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
        entry: The engine as the dispatcher knows it, with its start time on the monotonic clock.
    """

    address: Address
    wall_started_at: float
    entry: EngineEntry


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

    An address belongs to the engine that started there last: a new process shows that the one before it has
    gone, also if its removal is told later or never.

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
        self._engine_by_address: dict[Address, bytes] = {}

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
        entries: list[EngineEntry] = []
        for member in event.endpoints:
            engine = member.engine.encode()
            try:
                entries += self._apply_member(engine, member)
            except ConfigError as error:
                log.error("invalid endpoint ignored", engine=member.engine, **error_fields(error))
                continue
            if engine in self._endpoints:
                listed_engines.add(engine)
        if event.is_complete:
            for engine in previous_engines - listed_engines:
                self._remove(engine)
        mode = EndpointListMode.FULL if event.is_complete else EndpointListMode.DELTA
        update = EndpointListUpdate(mode, event.revision, tuple(entries))
        return EndpointUpdate(update, sorted(previous_engines - set(self._endpoints)))

    def _remove(self, engine: bytes) -> ListedEndpoint | None:
        """Remove an engine from the table and return what was listed of it."""
        endpoint = self._endpoints.pop(engine, None)
        if endpoint is not None and self._engine_by_address.get(endpoint.address) == engine:
            del self._engine_by_address[endpoint.address]
        return endpoint

    def _apply_member(self, engine: bytes, member: ListedEngine) -> list[EngineEntry]:
        """Update the table with one member of the list.

        Returns:
            The entry of the engine, after that of an engine that was listed at its address.

        Raises:
            ConfigError: The member is invalid.
        """
        state = STATE_BY_PHASE.get(member.state)
        if state is None:
            raise ConfigError(f"/phase: unknown phase {member.state!r}")
        if state is EngineState.REMOVED:
            return [self._removed_entry(engine, member)]
        machine_type = self._machine_type_index_by_name.get(member.machine_type)
        if machine_type is None:
            raise ConfigError(f"/flavor: unknown machine type {member.machine_type!r}")
        address = parse_address(member.address, "/host_port")
        wall_started_at = max(0.0, member.started_at_ms) / MS_PER_SECOND
        if self._is_replaced(engine, address, state, wall_started_at):
            return [self._removed_entry(engine, member)]
        started_at = self._started_at(engine, wall_started_at)
        zone = self._zone_index_by_name.get(member.zone, 0)
        entry = EngineEntry(engine, state, started_at, zone, machine_type, member.cell, member.size)
        replaced = self._replace_at(address, engine)
        self._remove(engine)  # it may have had another address
        self._endpoints[engine] = ListedEndpoint(address, wall_started_at, entry)
        self._engine_by_address[address] = engine
        return [*replaced, entry]

    def _is_replaced(
        self, engine: bytes, address: Address, state: EngineState, wall_started_at: float
    ) -> bool:
        """Return whether a process that started later than the engine is listed at its address."""
        holder = self._engine_by_address.get(address)
        if holder is None or holder == engine:
            return False
        return state is EngineState.DRAINING or self._endpoints[holder].wall_started_at > wall_started_at

    def _replace_at(self, address: Address, engine: bytes) -> list[EngineEntry]:
        """Remove the engine at whose address another one is listed now; return its entry, if there is one."""
        previous = self._engine_by_address.get(address)
        if previous is None or previous == engine:
            return []
        endpoint = self._remove(previous)
        log.warning("address belongs to a new engine", engine=engine.decode(), previous=previous.decode())
        return [] if endpoint is None else [replace(endpoint.entry, state=EngineState.REMOVED)]

    def _removed_entry(self, engine: bytes, member: ListedEngine) -> EngineEntry:
        """Remove an engine and return its entry, with what was listed of it.

        What a removal leaves out is not forgotten: which engines discard the duplicates of a request that may
        have run on this one depends on it.
        """
        endpoint = self._remove(engine)
        if endpoint is not None:
            return replace(endpoint.entry, state=EngineState.REMOVED)
        zone = self._zone_index_by_name.get(member.zone, 0)
        machine_type = self._machine_type_index_by_name.get(member.machine_type, 0)
        return EngineEntry(engine, EngineState.REMOVED, 0.0, zone, machine_type, member.cell, member.size)

    def _started_at(self, engine: bytes, wall_started_at: float) -> float:
        """Return an engine's start time on the monotonic clock, or 0 if it is unknown."""
        endpoint = self._endpoints.get(engine)
        known_wall_started_at = 0.0 if endpoint is None else endpoint.wall_started_at
        if wall_started_at == known_wall_started_at:
            return 0.0 if endpoint is None else endpoint.entry.started_at
        if not wall_started_at:
            return 0.0
        age = max(0.0, self._wall_time() - wall_started_at)  # a start time in the future counts as now
        return max(MIN_STARTED_AT, self._monotonic_time() - age)
