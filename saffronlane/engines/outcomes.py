"""Classifies the outcome of an attempt by the end of its last call.

Retries of non-idempotent requests depend on this classification: the outcomes `CONNECT_FAILED` and `REJECTED`
state that the query never ran, and are used only where this is certain. The query itself is at fault if the
engine answers with a code that every other engine would return as well.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Outcome
from ..rpc.status import Code, Ending, Status

NEVER_RAN_REASON = "NEVER_RAN"  # ErrorInfo reason by which an engine states that the query never ran
QUERY_FAULT_CODES = frozenset(
    (
        Code.INVALID_ARGUMENT,
        Code.NOT_FOUND,
        Code.ALREADY_EXISTS,
        Code.PERMISSION_DENIED,
        Code.FAILED_PRECONDITION,
        Code.OUT_OF_RANGE,
        Code.UNIMPLEMENTED,
        Code.UNAUTHENTICATED,
    )
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of an attempt. `is_query_fault` is set if every engine would reject the query."""

    outcome: Outcome
    is_query_fault: bool = False


def classify(ending: Ending, status: Status, earlier_call_processed: bool) -> Verdict:
    """Classify an attempt whose last call has ended.

    Args:
        ending: How the call ended on the wire.
        status: The status of the call. It comes from the engine only if `ending` is STATUS.
        earlier_call_processed: Whether the engine processed an earlier call of the same attempt. In that case
            an unprocessed last call does not prove that the attempt never ran.
    """
    match ending:
        case Ending.UNPROCESSED:
            return Verdict(Outcome.RESET if earlier_call_processed else Outcome.REJECTED)
        case Ending.RESET | Ending.LOST:
            return Verdict(Outcome.RESET)
        case Ending.CANCELLED:
            return Verdict(Outcome.CANCELLED)
        case Ending.STATUS:
            return _classify_status(status)


def _classify_status(status: Status) -> Verdict:
    if status.ok:
        return Verdict(Outcome.OK)
    if status.reason() == NEVER_RAN_REASON:
        return Verdict(Outcome.REJECTED)
    if status.code is Code.DEADLINE_EXCEEDED:
        return Verdict(Outcome.TIMEOUT)
    return Verdict(Outcome.ERROR, is_query_fault=status.code in QUERY_FAULT_CODES)
