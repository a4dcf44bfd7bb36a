"""Whose connection is missed least, known at once: a flood of idle ones must not cost a search each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..lifecycle import State

if TYPE_CHECKING:
    from .client_connection import ClientConnection

FRESH = 0.05  # seconds that a new connection is safe from making room for others
LATELY = 0.1  # seconds for which an idle connection is safe from it: longer, and floods of them wait outside
PROTECTED = 0.5  # of the connections, for those that have been used again: clients hold a third at most


class Room:
    """The connections on which nothing is open, each kind in the order in which it is to make way.

    Each connection is in one of them at most; `left` takes it out of all. Those at rest are a segmented list
    by least recent use: those used again are kept as long as there are others and they are not the most, or a
    flood that asks once and stays would push the usual clients out, who would wait behind it.

    Args:
        most: connections at once.
    """

    def __init__(self, most: int) -> None:
        self._most_protected = PROTECTED * most
        self._silent: dict[ClientConnection, None] = {}  # never a whole message; the oldest first
        self._used_once: dict[ClientConnection, None] = {}  # the one that has been idle longest first
        self._used_again: dict[ClientConnection, None] = {}  # the same
        self._closing: dict[ClientConnection, None] = {}  # they wait for their peer alone

    @property
    def closing(self) -> int:
        return len(self._closing)

    def came(self, client: ClientConnection) -> None:
        self._silent[client] = None

    def busy(self, client: ClientConnection) -> None:
        """It has spoken, and something is open on it."""
        for kind in (self._silent, self._used_once, self._used_again):
            kind.pop(client, None)

    def rests(self, client: ClientConnection) -> None:
        """It has spoken, and nothing is open on it since now."""
        self.busy(client)
        if client.lifecycle.accepts_work:
            kind = self._used_again if client.asked > 1 else self._used_once
            kind[client] = None

    def closes(self, client: ClientConnection) -> None:
        """Nothing is taken from it any more."""
        self.busy(client)
        if client.lifecycle.is_closing:
            self._closing[client] = None

    def left(self, client: ClientConnection) -> None:
        self.busy(client)
        self._closing.pop(client, None)

    def to_displace(self, now: float) -> ClientConnection | None:
        """The one that may get a graceful close to make room, in use by nobody as far as is known."""
        return self._oldest_silent(now) or self._longest_idle(now)

    def to_abort(self, now: float) -> ClientConnection | None:
        """The one that may be closed at once.

        One that has never spoken, to which nothing was written; one that closes anyway, since its peer may
        never close its side; the longest idle. Where there is none of these, and not only for the moment, one
        that has sent half of its first message, which it may yet end.
        """
        half_closed = (client for client in self._closing if client.lifecycle.state is State.HALF_CLOSED)
        client = self._oldest_silent(now) or next(half_closed, None) or self._longest_idle(now)
        if client is None and not (self._used_once or self._used_again):
            client = self._oldest_silent(now, unfinished=True)
        return client

    def _oldest_silent(self, now: float, unfinished: bool = False) -> ClientConnection | None:
        """Not one that is new, whose first request may be on its way, nor one that is writing it slowly."""
        for client in self._silent:
            if client.since >= now - FRESH:
                return None
            begun = bool(client.scanner.pending)
            if client.lifecycle.accepts_work and begun is unfinished and not client.has_unprocessed_input:
                return client
        return None

    def _longest_idle(self, now: float) -> ClientConnection | None:
        """Not one that was in use a moment ago."""
        protected = self._used_once and len(self._used_again) <= self._most_protected
        for client in self._used_once if protected else self._used_again:
            if client.quiet_since > now - LATELY:
                return None
            if client.at_rest:
                return client
        return None
