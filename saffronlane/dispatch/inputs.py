"""What happens around the dispatcher. Times are seconds on one monotonic clock, memory is in MB."""

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
    idempotency_key: bytes = b""  # chosen by the client; empty: none


@dataclass(frozen=True, slots=True)
class ResultReady:
    """An attempt has buffered as much as it may; nothing is passed on before a `Commit`."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """An attempt has ended. `is_query_fault` says that every engine would reject the query."""

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
    """An engine has reported the progress of an attempt."""

    request: int
    attempt: int
    kind: api.ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class PurgeLearnedState:
    """An operator has asked to discard learned state of these categories."""

    categories: tuple[PurgeCategory, ...]


@dataclass(frozen=True, slots=True)
class AttachLearnedState:
    """The state directory, locked by another process at the start, is available with this content."""

    persisted_state: PersistedState


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits for its answer."""

    request: int


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """Reject new requests from now on; accepted ones have `grace_period` seconds to end."""

    grace_period: float


@dataclass(frozen=True, slots=True)
class FinishDrain:
    """Answer all pending requests now."""


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
