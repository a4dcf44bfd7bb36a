"""The order in which idle client connections are evicted.

The order is updated whenever a connection changes, so that an eviction does not search all connections.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from ..lifecycle import ConnectionLifecycle, State

NEW_CONNECTION_PROTECTION = 0.05  # seconds for which a new connection is not evicted
IDLE_CONNECTION_PROTECTION = 0.1  # seconds for which a connection that became idle is not evicted
# Reused connections are evicted last while they are at most this fraction of the connection limit.
MAX_PROTECTED_RATIO = 0.5


class EvictableConnection(Protocol):
    """A connection that may be evicted.

    Attributes:
        lifecycle: The state of the connection.
        request_count: The number of requests that it has carried.
        opened_at: The time of the event loop, in seconds, at which it was accepted.
        idle_since: The time of the event loop, in seconds, since which it has no open request.
    """

    lifecycle: ConnectionLifecycle
    request_count: int
    opened_at: float
    idle_since: float

    @property
    def is_idle(self) -> bool:
        """Whether the connection has no open request, partial message, unsent reply or unprocessed input."""

    @property
    def is_within_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether input has arrived that is not processed yet."""


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class EvictionOrder(Generic[ConnectionT]):
    """The connections without open requests, grouped by kind, each group in eviction order.

    A connection is in at most one group. Idle connections form a segmented LRU list. Connections that were
    reused are evicted after connections that were used once, as long as the reused ones are at most
    `MAX_PROTECTED_RATIO` of the connection limit. Otherwise a flood of clients that send one request each and
    stay connected would evict the regular clients.

    Args:
        max_connections: Limit on the number of open connections.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_protected = MAX_PROTECTED_RATIO * max_connections
        self._without_message: dict[ConnectionT, None] = {}  # oldest first
        self._used_once: dict[ConnectionT, None] = {}  # longest idle first
        self._reused: dict[ConnectionT, None] = {}  # longest idle first
        self._closing: dict[ConnectionT, None] = {}  # waiting for the client to close its side

    @property
    def closing_count(self) -> int:
        """Number of connections that wait for the client to close its side."""
        return len(self._closing)

    def add(self, client: ConnectionT) -> None:
        """Add a new connection that has not sent a message yet."""
        self._without_message[client] = None

    def mark_busy(self, client: ConnectionT) -> None:
        """Exempt a connection from eviction because it has an open request or a pending reply."""
        for clients in (self._without_message, self._used_once, self._reused):
            clients.pop(client, None)

    def mark_idle(self, client: ConnectionT) -> None:
        """Add a connection that has sent a message and has just become idle."""
        self.mark_busy(client)
        if client.lifecycle.accepts_work:
            clients = self._reused if client.request_count > 1 else self._used_once
            clients[client] = None

    def mark_closing(self, client: ConnectionT) -> None:
        """Record that a connection accepts no more requests."""
        self.mark_busy(client)
        if client.lifecycle.is_closing:
            self._closing[client] = None

    def remove(self, client: ConnectionT) -> None:
        """Remove a connection that is closed."""
        self.mark_busy(client)
        self._closing.pop(client, None)

    def graceful_candidate(self, now: float) -> ConnectionT | None:
        """Return the connection to close gracefully next, or None if all are protected or in use."""
        return self._oldest_without_message(now) or self._longest_idle(now)

    def abort_candidate(self, now: float) -> ConnectionT | None:
        """Return the connection to close at once, or None if none may be closed.

        The candidates in order of preference are a connection on which nothing was received or written, a
        half-closed connection, because its client may never close its side, and the connection that has been
        idle longest. If no connection is idle, a connection with a partial first message is returned.
        """
        half_closed = (client for client in self._closing if client.lifecycle.state is State.HALF_CLOSED)
        client = self._oldest_without_message(now) or next(half_closed, None) or self._longest_idle(now)
        has_idle = bool(self._used_once or self._reused)
        if client is None and not has_idle:
            client = self._oldest_without_message(now, with_partial=True)
        return client

    def _oldest_without_message(self, now: float, with_partial: bool = False) -> ConnectionT | None:
        """Return the oldest connection that has not sent a complete message.

        New connections are excluded because their first request may be in flight.

        Args:
            now: The current time of the event loop in seconds.
            with_partial: Whether to return a connection that has sent part of a message, instead of one that
                has sent nothing.
        """
        for client in self._without_message:
            if client.opened_at >= now - NEW_CONNECTION_PROTECTION:
                return None
            has_partial = client.is_within_message
            if (
                client.lifecycle.accepts_work
                and has_partial is with_partial
                and not client.has_unprocessed_input
            ):
                return client
        return None

    def _longest_idle(self, now: float) -> ConnectionT | None:
        """Return the connection that has been idle longest.

        Connections that became idle less than `IDLE_CONNECTION_PROTECTION` ago are excluded.
        """
        protects_reused = self._used_once and len(self._reused) <= self._max_protected
        for client in self._used_once if protects_reused else self._reused:
            if client.idle_since > now - IDLE_CONNECTION_PROTECTION:
                return None
            if client.is_idle:
                return client
        return None
