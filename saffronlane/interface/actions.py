"""Actions that a gateway returns, to be carried out in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt, with a timeout in seconds. Those of a request are numbered 0, 1, 2 ... in order."""

    request: int
    engine: bytes
    timeout: float


@dataclass(frozen=True, slots=True)
class SetResourceGrant:
    """Set memory grant (MB; 0: the engine's choice) and priority (0 to 3) of the request's next attempt."""

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
    """Final answer: not done, safe to retry after `retry_after` seconds."""

    request: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; it may or may not have taken effect."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for `TimerFired` with this token at a time."""

    token: int
    deadline: float


@dataclass(frozen=True, slots=True)
class ProbeLoad:
    """Ask an engine for its load."""

    engine: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to an engine."""

    engine: bytes


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send at most 256 bytes to the gateway with index `peer`; None: to all."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Begin or end the subscription to the endpoint list."""

    is_enabled: bool


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Read the endpoint list once."""


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
    | ProbeLoad
    | CloseIdleConnections
    | SendGossip
    | Subscribe
    | PollEndpoints
    | Log
)
