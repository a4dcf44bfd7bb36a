"""What the end of a call says about an attempt. A pure table, since rule 2 hangs on it.

CONNECT_FAILED and REJECTED promise that the query certainly never ran; they are told only where that is
certain. A query is at fault itself where the engine says so with a code that any other engine would give.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Outcome
from ..rpc.status import Code, Ending, Status

NEVER_RAN = "NEVER_RAN"  # ErrorInfo.reason: the engine's explicit word that it did nothing
QUERY_FAULTS = frozenset(
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
    outcome: Outcome
    is_query_fault: bool = False  # of the query


def classify(ending: Ending, status: Status, earlier_call_processed: bool) -> Verdict:
    """Judge one ended call.

    Args:
        ending: how it ended on the wire.
        status: its status, the peer's own only if `ending` is STATUS.
        heard: whether an earlier call of the same attempt was taken in by the engine, so that "this call
            never ran" does not mean that the attempt never did.
    """
    if ending is Ending.UNPROCESSED:
        return Verdict(Outcome.RESET if earlier_call_processed else Outcome.REJECTED)
    if ending in (Ending.RESET, Ending.LOST):
        return Verdict(Outcome.RESET)
    if ending is Ending.CANCELLED:
        return Verdict(Outcome.CANCELLED)
    if status.ok:
        return Verdict(Outcome.OK)
    if status.reason() == NEVER_RAN:
        return Verdict(Outcome.REJECTED)
    if status.code is Code.DEADLINE_EXCEEDED:
        return Verdict(Outcome.TIMEOUT)
    if status.code in QUERY_FAULTS:
        return Verdict(Outcome.ERROR, is_query_fault=True)
    return Verdict(Outcome.ERROR)
