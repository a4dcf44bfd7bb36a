"""The connections to all compute nodes: selection, limits, eviction and idle timeouts."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

import structlog

from ..config import Address
from ..descriptors import DescriptorExhaustion
from ..memory_budget import MemoryBudget
from .connection import UpstreamConnection
from .limits import UpstreamLimits
from .listener import ConnectionListener

log = structlog.get_logger()
IDLE_TIMEOUT_RATIO = 0.7  # relative to the time after which compute nodes close idle connections
MAX_LINGERING = 8  # closing connections that are not counted, since the descriptor reserve covers them
CHECK_INTERVAL = 0.25  # seconds
DEFAULT_MAX_STREAMS = 32
MAX_OPEN_TRIES = 2  # the second try follows the eviction of an idle connection


class UpstreamPool:
    """The connections to all compute nodes.

    Args:
        limits: The limits of the connections.
        address_of: Returns the address of a compute node by its id; None if the compute node is not listed.
        descriptor_exhaustion: Reports errors that are due to a lack of descriptors.
        listener: The listener that all connections notify.
        memory: The budget in which the statements of ended attempts count that were sent in part.
    """

    def __init__(
        self,
        limits: UpstreamLimits,
        address_of: Callable[[bytes], Address | None],
        descriptor_exhaustion: DescriptorExhaustion,
        listener: ConnectionListener,
        memory: MemoryBudget,
    ) -> None:
        self.limits = limits
        self.connections_by_engine: dict[bytes, list[UpstreamConnection]] = {}
        self._address_of = address_of
        self._descriptor_exhaustion = descriptor_exhaustion
        self._listener = listener
        self._memory = memory
        self._loop = asyncio.get_running_loop()
        self._check_timer = self._loop.call_later(CHECK_INTERVAL, self._check_timeouts)

    def connections(self) -> list[UpstreamConnection]:
        """Return all connections, including those that are closing."""
        return [
            connection for connections in self.connections_by_engine.values() for connection in connections
        ]

    def connections_of(self, engine: bytes) -> list[UpstreamConnection]:
        """Return the connections to one compute node."""
        return list(self.connections_by_engine.get(engine, ()))

    @property
    def connections_in_use(self) -> int:
        """The number of connections, excluding up to `MAX_LINGERING` that are closing."""
        connections = self.connections()
        lingering = sum(connection.lifecycle.is_closing for connection in connections)
        return len(connections) - min(lingering, MAX_LINGERING)

    def is_listed(self, engine: bytes) -> bool:
        """Return whether a compute node is listed, and thus has an address."""
        return self._address_of(engine) is not None

    def select(self, engine: bytes, request_id: bytes) -> UpstreamConnection | None:
        """Select the least busy connection that can carry a request, or open a new one.

        Returns:
            The connection; None if the compute node has no address, or no further connection can be opened.
        """
        address = self._address_of(engine)
        if address is None:
            return None
        max_streams = self.limits.max_streams or DEFAULT_MAX_STREAMS
        candidates = [
            connection
            for connection in self.connections_of(engine)
            if connection.has_capacity(request_id, max_streams)
        ]
        if candidates:
            return min(
                candidates, key=lambda candidate: (not candidate.is_established, len(candidate.attempts))
            )
        if self.connections_in_use >= self.limits.max_connections and not self._evict_idle():
            return None
        return self._open(engine, address)

    def _open(self, engine: bytes, address: Address) -> UpstreamConnection | None:
        for _ in range(MAX_OPEN_TRIES):
            try:
                connection = UpstreamConnection(
                    self._listener, engine, address, self.limits.connect_timeout, self._memory
                )
            except OSError as error:
                if not self._descriptor_exhaustion.report_if_exhausted(error, "connect"):
                    log.error("socket creation failed", reason=str(error))
                if not self._evict_idle():
                    return None
            else:
                self.connections_by_engine.setdefault(engine, []).append(connection)
                connection.start()
                return connection
        return None

    def _evict_idle(self) -> bool:
        """Drain the connection that has been idle longest; return whether there was one.

        There may be more compute nodes than connections. Without eviction, each compute node that was used
        once would keep a connection until the idle timeout, and none would be available for an attempt at
        another compute node. Closing connections in excess of `MAX_LINGERING` are aborted, so that the
        connection drained here is not counted either.
        """
        connections = self.connections()
        lingering = [connection for connection in connections if connection.lifecycle.is_closing]
        excess = max(0, len(lingering) + 1 - MAX_LINGERING)
        for connection in lingering[:excess]:
            connection.abort("evicted")
        idle = [connection for connection in connections if connection.is_idle]
        longest_idle = min(idle, key=lambda connection: connection.idle_since, default=None)
        if longest_idle is None:
            return False
        longest_idle.drain("evicted")
        return True

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is closed."""
        connections = self.connections_by_engine.get(connection.engine)
        if connections is not None and connection in connections:
            connections.remove(connection)
            if not connections:
                del self.connections_by_engine[connection.engine]

    def close_idle(self, engine: bytes) -> None:
        """Drain the idle connections to a compute node."""
        for connection in self.connections_of(engine):
            if connection.is_idle:
                connection.drain("idle")

    def drain_engine(self, engine: bytes) -> None:
        """Drain all connections to a compute node that is no longer listed."""
        for connection in self.connections_of(engine):
            connection.run_isolated(functools.partial(connection.drain, "engine removed"))

    def drain_former_address(self, engine: bytes) -> None:
        """Drain the connections to another address than the listed one; move the attempts that wait there."""
        address = self._address_of(engine)
        for connection in self.connections_of(engine):
            if connection.address != address and connection.lifecycle.accepts_work:
                connection.run_isolated(functools.partial(connection.drain, "engine address changed"))
                connection.run_isolated(connection.reassign_unsent)

    def close(self) -> None:
        """Close all connections immediately."""
        self._check_timer.cancel()
        for connection in self.connections():
            connection.abort("pool closed")

    def _check_timeouts(self) -> None:
        # Scheduled first, so that an exception below does not end the periodic checks.
        self._check_timer = self._loop.call_later(CHECK_INTERVAL, self._check_timeouts)
        now = self._loop.time()
        idle_timeout = IDLE_TIMEOUT_RATIO * self.limits.idle_timeout
        for connection in self.connections():
            connection.run_isolated(functools.partial(connection.check_timeouts, now, idle_timeout))
