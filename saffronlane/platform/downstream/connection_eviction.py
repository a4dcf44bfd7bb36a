"""Whose connection is missed least, known at once: a flood of idle ones must not cost a search each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..lifecycle import State

if TYPE_CHECKING:
    from .client_connection import ClientConnection

NEW_CONNECTION_PROTECTION = 0.05  # seconds that a new connection is safe from making room for others
IDLE_CONNECTION_PROTECTION = (
    0.1  # seconds for which an idle connection is safe from it: longer, and floods of them wait outside
)
MAX_PROTECTED_RATIO = (
    0.5  # of the connections, for those that have been used again: clients hold a third at most
)


class EvictionOrder:
    """The connections on which nothing is open, each kind in the order in which it is to make way.

    Each connection is in one of them at most; `left` takes it out of all. Those at rest are a segmented list
    by least recent use: those used again are kept as long as there are others and they are not the most, or a
    flood that asks once and stays would push the usual clients out, who would wait behind it.

    Args:
        most: connections at once.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_protected = MAX_PROTECTED_RATIO * max_connections
        self._without_message: dict[ClientConnection, None] = {}  # never a whole message; the oldest first
        self._used_once: dict[ClientConnection, None] = {}  # the one that has been idle longest first
        self._reused: dict[ClientConnection, None] = {}  # the same
        self._closing: dict[ClientConnection, None] = {}  # they wait for their peer alone

    @property
    def closing_count(self) -> int:
        return len(self._closing)

    def add(self, client: ClientConnection) -> None:
        self._without_message[client] = None

    def mark_busy(self, client: ClientConnection) -> None:
        """It has spoken, and something is open on it."""
        for kind in (self._without_message, self._used_once, self._reused):
            kind.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """It has spoken, and nothing is open on it since now."""
        self.mark_busy(client)
        if client.life.takes:
            kind = self._reused if client.request_count > 1 else self._used_once
            kind[client] = None

    def mark_closing(self, client: ClientConnection) -> None:
        """Nothing is taken from it any more."""
        self.mark_busy(client)
        if client.life.closing:
            self._closing[client] = None

    def remove(self, client: ClientConnection) -> None:
        self.mark_busy(client)
        self._closing.pop(client, None)

    def graceful_candidate(self, now: float) -> ClientConnection | None:
        """The one that may get a graceful close to make room, in use by nobody as far as is known."""
        return self._oldest_without_message(now) or self._longest_idle(now)

    def abort_candidate(self, now: float) -> ClientConnection | None:
        """The one that may be closed at once.

        One that has never spoken, to which nothing was written; one that closes anyway, since its peer may
        never close its side; the longest idle. Where there is none of these, and not only for the moment, one
        that has sent half of its first message, which it may yet end.
        """
        half_closed = (client for client in self._closing if client.life.state is State.HALF_CLOSED)
        client = self._oldest_without_message(now) or next(half_closed, None) or self._longest_idle(now)
        if client is None and not (self._used_once or self._reused):
            client = self._oldest_without_message(now, unfinished=True)
        return client

    def _oldest_without_message(self, now: float, unfinished: bool = False) -> ClientConnection | None:
        """Not one that is new, whose first request may be on its way, nor one that is writing it slowly."""
        for client in self._without_message:
            if client.opened_at >= now - NEW_CONNECTION_PROTECTION:
                return None
            begun = bool(client.scanner.pending)
            if client.life.takes and begun is unfinished and not client.unheard:
                return client
        return None

    def _longest_idle(self, now: float) -> ClientConnection | None:
        """Not one that was in use a moment ago."""
        protected = self._used_once and len(self._reused) <= self._max_protected
        for client in self._used_once if protected else self._reused:
            if client.idle_since > now - IDLE_CONNECTION_PROTECTION:
                return None
            if client.is_idle:
                return client
        return None
