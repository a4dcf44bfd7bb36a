"""The inputs of the dispatcher. Times are in seconds on one monotonic clock, memory is in MB."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..learned_state import PersistedState, PurgeCategory


@dataclass(frozen=True, slots=True)
class Submit:
    """A client has submitted a request.

    Attributes:
        request: The number of the request, from `Dispatcher.new_request`.
        class_index: The index of the query class in the settings.
        timeout: The seconds until the deadline.
        tenant: The index of the tenant in the settings.
        ordering_key: The key whose requests run in order, or 0 if the request is not ordered.
        estimated_cost: The estimated cost of the request, or 0 if the client gave none.
        estimated_memory_mb: The estimated memory of the request, or 0 if the client gave none.
        table_group: The number of the table group that the request uses, or 0 if it is not known.
        is_retry: Whether the client has submitted the request before.
        is_write: Whether the request writes to its tables.
        idempotency_key: The key chosen by the client, or empty if there is none.
    """

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
    idempotency_key: bytes = b""


@dataclass(frozen=True, slots=True)
class ResultReady:
    """An attempt has filled its result buffer. Nothing is forwarded to the client before a `Commit`."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """An attempt has ended.

    Attributes:
        request: The number of the request.
        attempt: The number of the attempt within its request.
        outcome: How the attempt ended.
        elapsed: The seconds from the start of the attempt to its end.
        work: The work that the engine reported, in thread-seconds, or 0 if it reported none.
        memory_mb: The memory that the engine reported, or 0 if it reported none.
        load_report: The engine's load report, or empty if the answer had none.
        is_query_fault: Whether the query itself is invalid, so that every engine would reject it.
    """

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
    """An engine has reported the progress of an attempt.

    Attributes:
        amount: A number whose meaning depends on the kind (see `interface.ProgressKind`).
    """

    request: int
    attempt: int
    kind: api.ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class PurgeLearnedState:
    """An operator has requested that learned state of these categories be discarded."""

    categories: tuple[PurgeCategory, ...]


@dataclass(frozen=True, slots=True)
class AttachLearnedState:
    """The state directory, which another process had locked at startup, is now available.

    Attributes:
        persisted_state: The content of the state directory.
    """

    persisted_state: PersistedState


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected and no longer waits for its answer."""

    request: int


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """Reject new requests from now on. Accepted requests have `grace_period` seconds to end."""

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
