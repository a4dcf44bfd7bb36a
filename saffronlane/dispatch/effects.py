"""What the dispatcher wants done. Each effect is carried out once, in order."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..storage import Change


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Run the request on an engine; the attempt ends by itself after `timeout` seconds."""

    request: int
    attempt: int
    engine: bytes
    timeout: float
    grant_mb: float = 0.0
    priority: int | None = None
    durability_timeout: float = (
        0.0  # seconds to wait for this step's `Keep` with `ahead` to be durable; 0: none
    )


@dataclass(frozen=True, slots=True)
class Persist:
    """Write these changes of what is known. With `ahead`, attempts of this step wait for them."""

    changes: tuple[Change, ...]
    is_write_ahead: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop it at its engine. Its end is told by AttemptDone once the engine has taken that in."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class DiscardAttempt:
    """Throw away what it brings: nobody wants it, and it may not be cancelled."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class WithdrawAttempt:
    """Do not send it if it has not left: its engine drains or is gone."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Commit:
    """Pass the result of this attempt on, and of no other."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """Final answer: the whole result of this attempt, status OK (or, with `fault`, the engine's status)."""

    request: int
    attempt: int
    is_query_fault: bool = False


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not done, safe to try again after so many seconds."""

    request: int
    retry_after: float
    reason: str


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, no promise."""

    request: int
    reason: str


Effect = (
    StartAttempt
    | Persist
    | CancelAttempt
    | DiscardAttempt
    | WithdrawAttempt
    | Commit
    | CompleteRequest
    | RejectRequest
    | FailRequest
    | api.ProbeLoad
    | api.CloseIdleConnections
    | api.SendGossip
    | api.PollEndpoints
    | api.Subscribe
    | api.Log
)
