"""Events that a gateway is given. Times are seconds on the dispatcher's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

from .kinds import EndpointListMode, EngineState, Outcome, ProgressKind


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine in the endpoint list.

    Attributes:
        engine: its id.
        state: whether it takes requests.
        started_at: when its process started; 0: long ago.
        zone, machine_type: indices into the settings.
        cell: group of engines that share discarded repeats.
        weight: relative share of the traffic.
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
    """An update of the endpoint list, or the failure to read it."""

    mode: EndpointListMode
    version: int = 0
    entries: tuple[EngineEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PreviousAttempt:
    """An attempt of the same request that may have run before the request arrived (again)."""

    engine: bytes
    sent_at: float
    zone: int = 0
    machine_type: int = 0
    cell: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request arrives.

    Attributes:
        request: its number, unique within the gateway's run.
        class_index: of its class in the settings.
        timeout: seconds until its client gives up.
        tenant: index of its tenant in the settings.
        ordering_key: requests with the same key run in order; 0: none.
        estimated_cost: client's estimate of the work; 0: none.
        estimated_memory_mb: client's estimate of the memory; 0: none.
        table_group: tables that it reads, as one number.
        is_retry: the client has sent it before.
        is_write: it changes data.
        previous_attempt: one that may have run before.
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
    """The first bytes of an attempt's result have gone to the client; no other attempt may answer."""

    request: int
    attempt: int
    engine: bytes
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        elapsed: seconds since its dispatch.
        is_final: the request has had its final answer.
        work: seconds of one thread that it used; 0: not reported.
        memory_mb: that it used; 0: not reported.
        load_report: the engine's load, by `Settings.report_columns`; empty: none.
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
    """The client cancelled the request or closed its connection; it needs no answer."""

    request: int


@dataclass(frozen=True, slots=True)
class ProgressReport:
    """An engine reports on a running attempt."""

    request: int
    attempt: int
    engine: bytes
    kind: ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that `SetTimer` asked for has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The gateway shuts down now: every pending request gets its final answer."""


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The answer to a load probe."""

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
