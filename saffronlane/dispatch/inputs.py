"""What the world tells the dispatcher. Times are seconds on one monotonic clock, memory is in MB."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..learned_state import PersistedState, PurgeCategory


@dataclass(frozen=True, slots=True)
class Submit:
    """A client's request; `request` comes from `Dispatcher.new_request`."""

    request: int
    class_index: int
    timeout: float
    tenant: int = 0
    ordering_key: int = 0
    estimated_cost: float = 0.0
    estimated_memory_mb: float = 0.0
    table_group: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    idempotency_key: bytes = b""  # the key that the client knows the request by; empty: none


@dataclass(frozen=True, slots=True)
class ResultReady:
    """An attempt has as much of its result as is held back; its bytes may leave only after a Commit."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """An attempt is over, told once. `fault` says that the query itself is wrong, whoever runs it."""

    request: int
    attempt: int
    outcome: api.Outcome
    elapsed: float
    work: float = 0.0
    memory_mb: float = 0.0
    load_report: tuple[float, ...] = ()
    is_query_fault: bool = False


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    request: int
    attempt: int
    kind: api.ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class PurgeLearnedState:
    """An operator wants what was learned forgotten."""

    categories: tuple[PurgeCategory, ...]


@dataclass(frozen=True, slots=True)
class AttachLearnedState:
    """A folder that was not free at the start is, and this is what it holds."""

    persisted_state: PersistedState


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    request: int


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """New requests are turned away from now on; what is taken has so many seconds to end."""

    grace_period: float


@dataclass(frozen=True, slots=True)
class FinishDrain:
    """Everything that is still owed an answer gets one now."""


Input = (
    Submit
    | ResultReady
    | AttemptDone
    | AttemptProgress
    | ClientDisconnected
    | PurgeLearnedState
    | AttachLearnedState
    | BeginDrain
    | FinishDrain
    | api.EndpointListUpdate
    | api.ProbeResult
    | api.PeerMessage
)
INPUT_TYPES: tuple[type[Input], ...] = (
    Submit,
    ResultReady,
    AttemptDone,
    AttemptProgress,
    ClientDisconnected,
    AttachLearnedState,
    PurgeLearnedState,
    BeginDrain,
    FinishDrain,
    api.EndpointListUpdate,
    api.ProbeResult,
    api.PeerMessage,
)
