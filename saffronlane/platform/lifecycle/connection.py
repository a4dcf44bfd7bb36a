"""The life of one connection, to a client or to a compute node.

The same table serves both sides: graceful shutdown, half-close and lingering close as they are known from TCP
servers. The driver owns the socket; it tells what happened and does what the state that is entered asks for:
HALF_CLOSED, shut the write side; CLOSED, close the socket.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """What is read, what is acted on, what is owed; `docs/platform.md` has the table."""

    CONNECTING = "connecting"  # outgoing, not up: nothing is read, what is to be sent waits
    OPEN = "open"  # all is read and acted on
    DRAINING = "draining"  # nothing new is taken; what is open is owed its end
    FLUSHING = "flushing"  # nothing is open; bytes of ours are still to leave; what comes is read and dropped
    HALF_CLOSED = "half closed"  # our side is shut; what comes is read and dropped until the peer closes
    CLOSED = "closed"


class Event(Enum):
    CONNECTED = "connected"
    DRAIN = "drain"  # take nothing new: idle, room for another, left for another, end of the process
    SETTLED = "settled"  # nothing is open any more
    FLUSHED = "flushed"  # all bytes of ours have left
    EOF = "eof"  # the peer has closed: a client has gone, a node has given up what was open
    BROKEN = "broken"  # refused, reset, unreadable
    EXPIRED = "expired"  # the bound of the state has passed
    ABORT = "abort"  # it is worth nothing, or its descriptor is needed now


_GRACEFUL: dict[tuple[State, Event], State] = {
    (State.CONNECTING, Event.CONNECTED): State.OPEN,
    (State.CONNECTING, Event.DRAIN): State.CLOSED,  # nothing has left: there is nothing to end gracefully
    (State.OPEN, Event.DRAIN): State.DRAINING,
    (State.DRAINING, Event.SETTLED): State.FLUSHING,
    (State.FLUSHING, Event.FLUSHED): State.HALF_CLOSED,
}
_FINAL = frozenset((Event.EOF, Event.BROKEN, Event.EXPIRED, Event.ABORT))


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Seconds, and bytes, that the states which wait for the peer may last.

    Attributes:
        connect: until a connection is up.
        stall: until bytes of ours leave, without any leaving.
        linger: until the peer closes its side too.
        linger_bytes: that are read and dropped meanwhile.
    """

    connect_timeout: float = math.inf
    stall_timeout: float = 5.0
    linger_timeout: float = 0.5
    max_linger_bytes: int = 1_048_576


class ConnectionLifecycle:
    """Where one connection is in its life.

    Args:
        bounds: of the states that wait for the peer.
        now: seconds on the driver's clock.
        outgoing: it has yet to come up.
    """

    def __init__(self, bounds: ConnectionLimits, now: float, outgoing: bool = False) -> None:
        self._bounds = bounds
        self.state = State.CONNECTING if outgoing else State.OPEN
        self.deadline = now + bounds.connect_timeout if outgoing else math.inf  # when EXPIRED is due
        self._dropped = 0

    def handle(self, event: Event, now: float) -> State:
        """The state after an event. What has no meaning in a state changes nothing; nothing leaves CLOSED."""
        if self.state is State.CLOSED:
            return self.state
        after = State.CLOSED if event in _FINAL else _GRACEFUL.get((self.state, event), self.state)
        if after is not self.state:
            self.state, self.deadline = after, now + self._bound(after)
        return after

    def _bound(self, state: State) -> float:
        if state is State.FLUSHING:
            return self._bounds.stall_timeout
        return self._bounds.linger_timeout if state is State.HALF_CLOSED else math.inf

    def record_write_progress(self, now: float) -> None:
        """Some bytes of ours have left: a slow peer is no stalled one."""
        if self.state is State.FLUSHING:
            self.deadline = now + self._bounds.stall_timeout

    def discard(self, count: int, now: float) -> State:
        """Bytes came that are not acted on; too many, and their sender is not waited for."""
        self._dropped += count
        return (
            self.handle(Event.EXPIRED, now) if self._dropped > self._bounds.max_linger_bytes else self.state
        )

    @property
    def accepts_work(self) -> bool:
        """Whether new work may begin on it."""
        return self.state in (State.CONNECTING, State.OPEN)

    @property
    def processes_input(self) -> bool:
        """Whether what is read is still acted on."""
        return self.state in (State.OPEN, State.DRAINING)

    @property
    def allows_writes(self) -> bool:
        """Whether bytes may be handed to the socket."""
        return self.state in (State.OPEN, State.DRAINING, State.FLUSHING)

    @property
    def is_closing(self) -> bool:
        """Nothing is open on it, and it waits for its peer alone."""
        return self.state in (State.FLUSHING, State.HALF_CLOSED)

    @property
    def is_closed(self) -> bool:
        return self.state is State.CLOSED
