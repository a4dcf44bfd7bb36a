"""The lifecycle of one connection, to a client or to a compute node.

The same table serves both sides: graceful shutdown, half-close and lingering close as they are known from TCP
servers. The driver owns the socket; it reports events and does what the state that is entered asks for:
HALF_CLOSED, shut the write side down; CLOSED, close the socket.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """What is read, what is acted on and what is pending; `docs/platform.md` has the table."""

    CONNECTING = "connecting"  # outgoing, not established: nothing is read, output waits
    OPEN = "open"  # all is read and acted on
    DRAINING = "draining"  # no new work is accepted; pending work is finished
    FLUSHING = "flushing"  # no work is pending; output is still to be written, input is read and discarded
    HALF_CLOSED = "half closed"  # our side is shut down; input is discarded until the peer closes
    CLOSED = "closed"


class Event(Enum):
    """What happens to a connection."""

    CONNECTED = "connected"
    DRAIN = "drain"  # accept no new work: idle, evicted, replaced, end of the process
    SETTLED = "settled"  # no work is pending any more
    FLUSHED = "flushed"  # all output is written
    EOF = "eof"  # the peer has closed: a client has gone, a compute node has given up what was pending
    BROKEN = "broken"  # refused, reset, unreadable
    EXPIRED = "expired"  # the deadline of the state has passed
    ABORT = "abort"  # close now, whatever is pending


_GRACEFUL: dict[tuple[State, Event], State] = {
    (State.CONNECTING, Event.CONNECTED): State.OPEN,
    (State.CONNECTING, Event.DRAIN): State.CLOSED,  # nothing was sent: there is nothing to end gracefully
    (State.OPEN, Event.DRAIN): State.DRAINING,
    (State.DRAINING, Event.SETTLED): State.FLUSHING,
    (State.FLUSHING, Event.FLUSHED): State.HALF_CLOSED,
}
_FINAL = frozenset((Event.EOF, Event.BROKEN, Event.EXPIRED, Event.ABORT))


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of the states that wait for the peer.

    Attributes:
        connect_timeout: seconds until a connection is established.
        stall_timeout: seconds for which output may wait without any of it being written.
        linger_timeout: seconds until the peer closes its side too.
        max_linger_bytes: that are read and discarded meanwhile.
    """

    connect_timeout: float = math.inf
    stall_timeout: float = 5.0
    linger_timeout: float = 0.5
    max_linger_bytes: int = 1_048_576


class ConnectionLifecycle:
    """The state of one connection.

    Args:
        limits: of the states that wait for the peer.
        now: seconds on the driver's clock.
        outgoing: whether it is still to be established.
    """

    def __init__(self, limits: ConnectionLimits, now: float, outgoing: bool = False) -> None:
        self._limits = limits
        self._discarded_bytes = 0
        self.state = State.CONNECTING if outgoing else State.OPEN
        self.deadline = now + limits.connect_timeout if outgoing else math.inf  # when EXPIRED is due

    def handle(self, event: Event, now: float) -> State:
        """The state after an event; one that has no meaning in a state changes nothing."""
        if self.state is State.CLOSED:
            return self.state
        after = State.CLOSED if event in _FINAL else _GRACEFUL.get((self.state, event), self.state)
        if after is not self.state:
            self.state = after
            self.deadline = now + self._timeout_of(after)
        return after

    def _timeout_of(self, state: State) -> float:
        match state:
            case State.FLUSHING:
                return self._limits.stall_timeout
            case State.HALF_CLOSED:
                return self._limits.linger_timeout
            case _:
                return math.inf

    def record_write_progress(self, now: float) -> None:
        """Some output was written: a slow peer is not a stalled one."""
        if self.state is State.FLUSHING:
            self.deadline = now + self._limits.stall_timeout

    def discard(self, byte_count: int, now: float) -> State:
        """Input arrived that is not acted on; the state after it, closed once there was too much."""
        self._discarded_bytes += byte_count
        if self._discarded_bytes > self._limits.max_linger_bytes:
            return self.handle(Event.EXPIRED, now)
        return self.state

    @property
    def accepts_work(self) -> bool:
        """Whether new work may begin on it."""
        return self.state in (State.CONNECTING, State.OPEN)

    @property
    def processes_input(self) -> bool:
        """Whether input is acted on."""
        return self.state in (State.OPEN, State.DRAINING)

    @property
    def allows_writes(self) -> bool:
        """Whether output may be handed to the socket."""
        return self.state in (State.OPEN, State.DRAINING, State.FLUSHING)

    @property
    def is_closing(self) -> bool:
        """Whether no work is pending and it waits for its peer alone."""
        return self.state in (State.FLUSHING, State.HALF_CLOSED)

    @property
    def is_closed(self) -> bool:
        """Whether it has ended."""
        return self.state is State.CLOSED
