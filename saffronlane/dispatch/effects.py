"""The effects that the dispatcher emits. The executor carries out each of them once, in order.

Times are in seconds, memory is in MB.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .. import interface as api
from ..storage import Change


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Run the request on an engine. The attempt ends after `timeout` seconds at the latest.

    Attributes:
        request: The number of the request.
        attempt: The number of the attempt within its request.
        engine: The id of the engine.
        timeout: The seconds after which the attempt times out.
        grant_mb: The memory granted to the attempt, in MB, or 0 if the engine chooses.
        priority: The priority at the engine, or None for no priority.
        durability_timeout: The seconds that the attempt waits for this step's write-ahead `Persist` before it
            is sent anyway, or 0 if it does not wait.
        send_timeout: The seconds within which the attempt has to be sent; otherwise it ends as NOT_SENT.
        arrival_timeout: The seconds within which all of the attempt has to arrive at the engine; otherwise it
            has to be taken back, since the engine may have forgotten its idempotency key.
    """

    request: int
    attempt: int
    engine: bytes
    timeout: float
    grant_mb: float = 0.0
    priority: int | None = None
    durability_timeout: float = 0.0
    send_timeout: float = math.inf
    arrival_timeout: float = math.inf


@dataclass(frozen=True, slots=True)
class Persist:
    """Store changes of the learned state.

    If `is_write_ahead` is set, attempts with a `durability_timeout` wait until the changes are durable.
    """

    changes: tuple[Change, ...]
    is_write_ahead: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt at its engine. `AttemptDone` follows once the engine has acknowledged the cancel."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class DiscardAttempt:
    """Discard the result of an unneeded attempt. Emitted instead of a cancel if engines support none."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class WithdrawAttempt:
    """End an attempt that has not been sent yet, because its engine drains or is no longer listed."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Commit:
    """Forward the result of this attempt to the client. No other attempt's result is forwarded."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """Final answer: the result of this attempt, or the engine's error status if `is_query_fault` is set."""

    request: int
    attempt: int
    is_query_fault: bool = False


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: the request did not run, and can safely be retried after `retry_after` seconds."""

    request: int
    retry_after: float
    reason: str


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: the request failed, and may have run."""

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
