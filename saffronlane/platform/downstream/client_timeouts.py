"""The timeouts of a client connection: what its client has kept it waiting for too long."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..lifecycle import ConnectionLimits

FIRST_MESSAGE_TIMEOUT = 2.0  # seconds to wait for the first message of a connection
IDLE_TIMEOUT = 5.0  # seconds without an open request; clients close idle connections after 4 s
CONNECTION_LIMITS = ConnectionLimits(stall_timeout=IDLE_TIMEOUT)


class Overdue(Enum):
    """What a client is too slow with."""

    READING = "reading replies"
    MESSAGE = "the rest of a message"
    REQUEST = "a request"


@dataclass(frozen=True, slots=True)
class ClientActivity:
    """What a client has done on a connection. Times are those of the event loop, in seconds.

    Attributes:
        accepts_work: Whether the connection is open; the lifecycle enforces the timeouts of a closing one.
        stall_duration: Seconds for which pending replies have made no progress; None if none are pending.
        is_within_message: Whether a message has begun and is not complete yet.
        is_message_overdue: Whether the rest of a message is overdue.
        has_sent_message: Whether the client has sent a message.
        has_pending_work: Whether a request or a delayed reply is pending.
        opened_at: When the connection was accepted.
        idle_since: Since when it has no open request.
    """

    accepts_work: bool
    stall_duration: float | None
    is_within_message: bool
    is_message_overdue: bool
    has_sent_message: bool
    has_pending_work: bool
    opened_at: float
    idle_since: float


def find_overdue(activity: ClientActivity, now: float) -> Overdue | None:
    """Return what the client is too slow with, or None."""
    if activity.stall_duration is not None:
        has_stalled = activity.stall_duration > CONNECTION_LIMITS.stall_timeout
        return Overdue.READING if has_stalled else None
    if not activity.accepts_work:
        return None
    if activity.is_within_message:
        return Overdue.MESSAGE if activity.is_message_overdue else None
    if activity.has_sent_message or activity.has_pending_work:
        is_idle_too_long = now > activity.idle_since + IDLE_TIMEOUT
    else:
        is_idle_too_long = now > activity.opened_at + FIRST_MESSAGE_TIMEOUT
    return Overdue.REQUEST if is_idle_too_long else None
