"""The lifecycle of one connection, to a client or to a compute node.

Both sides use the same state machine. It implements graceful shutdown, half-close and lingering close as
usual for TCP servers. The driver, `ManagedConnection`, owns the socket and reports events. On entering
HALF_CLOSED, it shuts down the write side; on entering CLOSED, it closes the socket.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """The state of a connection; `docs/platform.md` has the table of transitions."""

    CONNECTING = "connecting"  # outgoing and not established: nothing is read, output is queued
    OPEN = "open"  # all input is processed
    DRAINING = "draining"  # no new work is accepted; pending work is completed
    FLUSHING = "flushing"  # no work is pending; remaining output is written, input is discarded
    HALF_CLOSED = "half closed"  # the write side is shut down; input is discarded until the peer closes
    CLOSED = "closed"


class Event(Enum):
    """An event that can change the state of a connection."""

    CONNECTED = "connected"
    DRAIN = "drain"  # accept no new work: idle, evicted, replaced, or the process ends
    SETTLED = "settled"  # no work is pending any more
    FLUSHED = "flushed"  # all output is written
    EOF = "eof"  # the peer has closed: a client disconnected, or a compute node dropped its pending work
    BROKEN = "broken"  # the connection was refused or reset, or its input cannot be parsed
    EXPIRED = "expired"  # the deadline of the state has passed
    ABORT = "abort"  # close immediately, whatever is pending


_GRACEFUL_TRANSITIONS: dict[tuple[State, Event], State] = {
    (State.CONNECTING, Event.CONNECTED): State.OPEN,
    (State.CONNECTING, Event.DRAIN): State.CLOSED,  # nothing was sent, so no graceful close is needed
    (State.OPEN, Event.DRAIN): State.DRAINING,
    (State.DRAINING, Event.SETTLED): State.FLUSHING,
    (State.FLUSHING, Event.FLUSHED): State.HALF_CLOSED,
}
_CLOSING_EVENTS = frozenset((Event.EOF, Event.BROKEN, Event.EXPIRED, Event.ABORT))


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of the states that wait for the peer.

    Attributes:
        connect_timeout: The seconds within which a connection must be established.
        stall_timeout: The seconds for which output may be pending while none of it is written.
        linger_timeout: The seconds within which the peer must close its side after this side was shut down.
        max_linger_bytes: The maximum number of input bytes that are discarded while the connection closes.
    """

    connect_timeout: float = math.inf
    stall_timeout: float = 5.0
    linger_timeout: float = 0.5
    max_linger_bytes: int = 1_048_576


class ConnectionLifecycle:
    """The state of one connection.

    Args:
        limits: The limits of the states that wait for the peer.
        now: The current time on the driver's clock, in seconds.
        outgoing: Whether the connection has yet to be established.
    """

    def __init__(self, limits: ConnectionLimits, now: float, outgoing: bool = False) -> None:
        self._limits = limits
        self._discarded_bytes = 0
        self.state = State.CONNECTING if outgoing else State.OPEN
        self.deadline = now + limits.connect_timeout if outgoing else math.inf  # when EXPIRED is reported

    def handle(self, event: Event, now: float) -> State:
        """Apply an event and return the resulting state; without a transition, the state stays the same."""
        if self.state is State.CLOSED:
            return self.state
        after = (
            State.CLOSED
            if event in _CLOSING_EVENTS
            else _GRACEFUL_TRANSITIONS.get((self.state, event), self.state)
        )
        if after is not self.state:
            self.state = after
            self.deadline = now + self._state_timeout(after)
        return after

    def _state_timeout(self, state: State) -> float:
        match state:
            case State.FLUSHING:
                return self._limits.stall_timeout
            case State.HALF_CLOSED:
                return self._limits.linger_timeout
            case _:
                return math.inf

    def record_write_progress(self, now: float) -> None:
        """Restart the stall timeout after some output was written, since a slow peer is not a stalled one."""
        if self.state is State.FLUSHING:
            self.deadline = now + self._limits.stall_timeout

    def discard(self, byte_count: int, now: float) -> State:
        """Count discarded input and return the resulting state; CLOSED if too much was discarded."""
        self._discarded_bytes += byte_count
        if self._discarded_bytes > self._limits.max_linger_bytes:
            return self.handle(Event.EXPIRED, now)
        return self.state

    @property
    def accepts_work(self) -> bool:
        """Whether new work may start on the connection."""
        return self.state in (State.CONNECTING, State.OPEN)

    @property
    def processes_input(self) -> bool:
        """Whether input is processed rather than discarded."""
        return self.state in (State.OPEN, State.DRAINING)

    @property
    def allows_writes(self) -> bool:
        """Whether output may be handed to the socket."""
        return self.state in (State.OPEN, State.DRAINING, State.FLUSHING)

    @property
    def is_closing(self) -> bool:
        """Whether no work is pending and the connection only waits for its peer."""
        return self.state in (State.FLUSHING, State.HALF_CLOSED)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self.state is State.CLOSED
