"""Events that a gateway processes. Times are in seconds on the dispatcher's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

from .kinds import EndpointListMode, EngineState, Outcome, ProgressKind


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """An entry of the endpoint list.

    Attributes:
        engine: Id of the engine.
        state: Whether the engine accepts requests.
        started_at: Start time of its process; 0 if it started long ago.
        zone: Index of its zone in the settings.
        machine_type: Index of its machine type in the settings.
        cell: Number of its cell, a group of engines that share one table of idempotency keys.
        weight: Relative share of the traffic that it should get.
    """

    engine: bytes
    state: EngineState
    started_at: float = 0.0
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update of the endpoint list, or a notice that the list could not be read."""

    mode: EndpointListMode
    version: int = 0
    entries: tuple[EngineEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PreviousAttempt:
    """An attempt from before the arrival of a repeated request; the attempt may have been executed."""

    engine: bytes
    sent_at: float
    zone: int = 0
    machine_type: int = 0
    cell: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request has arrived.

    Attributes:
        request: Number of the request, unique within the gateway's run.
        class_index: Index of its query class in the settings.
        timeout: Seconds until the client stops waiting for the answer.
        tenant: Index of its tenant in the settings.
        ordering_key: Requests with the same key run one at a time, in order of arrival; 0 if the request
            has no key.
        estimated_cost: The client's estimate of the work, in an arbitrary unit; 0 if there is none.
        estimated_memory_mb: The client's estimate of the memory; 0 if there is none.
        table_group: Number that identifies the group of tables that it uses.
        is_retry: Whether the client has sent it before.
        is_write: Whether it changes data.
        previous_attempt: An attempt from before this arrival that may have been executed.
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
    previous_attempt: PreviousAttempt | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first bytes of an attempt's result were sent to the client; no other attempt may answer now."""

    request: int
    attempt: int
    engine: bytes
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        elapsed: Seconds since its dispatch.
        is_final: Whether the request has received its final answer.
        work: Thread seconds that it used; 0 if not reported.
        memory_mb: Memory that it used; 0 if not reported.
        load_report: Load of the engine, one number for each of `Settings.report_columns`; empty if the engine
            sent no report.
    """

    request: int
    attempt: int
    engine: bytes
    outcome: Outcome
    elapsed: float
    is_final: bool = False
    work: float = 0.0
    memory_mb: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client cancelled the request or closed its connection; the request needs no answer any more."""

    request: int


@dataclass(frozen=True, slots=True)
class ProgressReport:
    """A progress report of an engine on a running attempt.

    Attributes:
        amount: A number whose meaning depends on the kind.
    """

    request: int
    attempt: int
    engine: bytes
    kind: ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by a `SetTimer` action has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The gateway shuts down now; every pending request gets its final answer."""


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a load probe."""

    engine: bytes
    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A gossip message from the gateway with index `sender`."""

    sender: int
    data: bytes


Event = (
    EndpointListUpdate
    | Arrival
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | ProgressReport
    | TimerFired
    | ProbeResult
    | PeerMessage
    | Shutdown
)
