"""Actions that a gateway returns. The dispatcher carries them out in order."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt of a request on an engine.

    The attempts of a request are numbered 0, 1, 2, ... in the order of their dispatch.

    Attributes:
        timeout: Seconds after which the attempt ends without a result.
        send_timeout: Seconds within which the attempt has to be sent. If its first byte has not been handed
            to the network by then, it ends as NOT_SENT: what the decision relied on may no longer hold.
        arrival_timeout: Seconds within which the whole attempt has to arrive at the engine; later, the engine
            may have forgotten its idempotency key.
    """

    request: int
    engine: bytes
    timeout: float
    send_timeout: float = math.inf
    arrival_timeout: float = math.inf


@dataclass(frozen=True, slots=True)
class SetResourceGrant:
    """Set the resource grant of the request's next attempt.

    Attributes:
        memory_mb: Memory grant in MB; 0 lets the engine choose.
        priority: From 0 (lowest) to 3 (highest).
    """

    request: int
    memory_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a running attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was not completed; a retry is safe after `retry_after` seconds."""

    request: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed and may or may not have taken effect."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer: a `TimerFired` event with this token is due at the time `deadline`."""

    token: int
    deadline: float


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Forget a timer whose subject has ended. A `TimerFired` event with its token has no effect any more."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeLoad:
    """Probe the load of an engine; a `ProbeResult` event follows."""

    engine: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an engine."""

    engine: bytes


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message.

    Attributes:
        peer: Index of the receiving gateway; None sends the message to all peers.
        data: The encoded message, at most 256 bytes.
    """

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Start or end the subscription to endpoint list updates."""

    is_enabled: bool


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Fetch the endpoint list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line."""

    text: str


Action = (
    Dispatch
    | SetResourceGrant
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | CancelTimer
    | ProbeLoad
    | CloseIdleConnections
    | SendGossip
    | Subscribe
    | PollEndpoints
    | Log
)
