"""What the dispatcher wants done. Each effect is carried out once, in order.

Times are seconds, memory is in MB.
"""

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
    durability_timeout: float = 0.0  # how long to wait for this step's write-ahead `Persist`; 0: not at all


@dataclass(frozen=True, slots=True)
class Persist:
    """Store changes of the learned state. With `is_write_ahead`, attempts of this step wait for them."""

    changes: tuple[Change, ...]
    is_write_ahead: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt at its engine. `AttemptDone` follows once the engine has acknowledged that."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class DiscardAttempt:
    """Discard the result of an attempt that is given up but may not be cancelled."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class WithdrawAttempt:
    """Do not send an attempt that has not been sent yet: its engine drains or is gone."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Commit:
    """Pass on the result of this attempt, and of no other."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """Final answer: the result of this attempt; with `is_query_fault`, the engine's error status."""

    request: int
    attempt: int
    is_query_fault: bool = False


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not run, safe to retry after `retry_after` seconds."""

    request: int
    retry_after: float
    reason: str


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed; it may have run."""

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
