"""The public face of saffronlane: settings, events and actions of one gateway.

A dispatcher builds a `Settings`, hands batches of events to `policy.Gateway.step` and carries out
the actions it returns. Times are seconds on the dispatcher's own monotonic clock, memory is in MB,
work is the seconds that one thread would take. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 1
    ERROR = 2
    REJECTED = 3  # turned away unseen; certainly never ran
    TIMEOUT = 4
    CONNECT_FAILED = 5  # certainly never ran
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8  # never sent; certainly never ran


class EngineState(IntEnum):
    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListMode(IntEnum):
    DELTA = 0
    FULL = 2
    CACHED = 3
    FAILED = 4


class ProgressKind(IntEnum):
    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


class Idempotency(Enum):
    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class MemoryOvercommit(Enum):
    """What an engine does when the grants pass its memory."""

    WAIT = "wait"  # the query waits in a line
    SHRINK = "shrink"  # it gets what is left
    PAGE = "page"  # it is let in, and all slow down once memory in use passes what there is


class DeduplicationScope(Enum):
    """Which engines discard the repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


# --- settings -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ClassSettings:
    name: str
    latency_objective: float  # an answer inside aim + aim_stretch x work / threads earns the full worth
    deadline: float
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    latency_objective_per_work: float = 0.0
    threads: int = 1
    idempotency: Idempotency = Idempotency.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_ttl: float = 0.0
    is_ordered: bool = False
    is_streaming: bool = False
    is_bulk_load: bool = False  # holds its table group on its engine while it runs
    waits_for_bulk_loads: bool = False
    allowed_zones: tuple[int, ...] | None = None
    allowed_machine_types: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class MachineType:
    name: str
    cores: float
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantSettings:
    name: str
    rate_limit: float = 0.0  # requests a second over all gateways
    quota: float = 0.0


@dataclass(frozen=True, slots=True)
class Guarantees:
    response_slack: float = 0.02
    drain_grace_period: float = 0.0
    slow_start_overload_factor: float = 0.0  # 0: engines do not fall over
    slow_start_overload_window: float = 0.0
    slow_start_initial_ratio: float = 1.0
    slow_start_duration: float = 0.0
    ordering_cooldown: float = 0.0
    retry_budget_base: float | None = None  # None: further attempts are not rationed
    retry_budget_ratio: float = 0.0
    retry_budget_window: float = 0.0
    subscribe_deadline: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    can_cancel: bool = False
    hedged_requests: bool = False
    load_probes: bool = False
    load_probe_price: float = 0.0  # points of service for one probe a query
    gossip: bool = False
    sends_retry_after: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    max_concurrent_streams: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[ClassSettings, ...]
    machine_types: tuple[MachineType, ...]
    gateway_count: int = 1
    gateway_index: int = 0
    zone: int = 0
    zones: tuple[str, ...] = ()
    tenants: tuple[TenantSettings, ...] = ()
    guarantees: Guarantees = field(default_factory=Guarantees)
    limits: Limits = field(default_factory=Limits)
    memory_grants_enabled: bool = False
    priorities_enabled: bool = False
    max_memory_grant_ratio: float = 1.0
    memory_overcommit: MemoryOvercommit = MemoryOvercommit.WAIT
    progress_interval: float = 0.0  # 0: no notes of progress
    reports_work: bool = False  # answers tell work and memory
    over_quota_weight: float = 1.0
    subscribes_to_endpoints: bool = False  # the engine list must be subscribed to
    report_columns: tuple[str, ...] = ()
    cross_zone_price: float = 0.0  # points of service for each query crossing zones once
    min_step_interval: float = 0.0  # least time between two batches

    def __post_init__(self) -> None:
        if not self.classes or not self.machine_types or self.gateway_count < 1:
            raise ValueError("settings need at least one class, one machine kind and one gateway")
        if any(kind.cores <= 0 for kind in self.machine_types) or any(c.threads < 1 for c in self.classes):
            raise ValueError("every kind needs cores and every class at least one thread")

    @property
    def max_memory_grant(self) -> float:
        """Memory that one query gets at most; 0: not known."""
        return max(kind.memory_mb for kind in self.machine_types) * self.max_memory_grant_ratio


# --- events ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EngineEntry:
    engine: bytes
    state: EngineState
    started_at: float = 0.0  # 0: long ago
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    mode: EndpointListMode
    version: int = 0
    entries: tuple[EngineEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PreviousAttempt:
    """An attempt of the same request that may have run, from before it arrived here (again)."""

    engine: bytes
    sent_at: float
    zone: int = 0
    machine_type: int = 0
    cell: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    request: int
    class_index: int
    timeout: float  # until the client gives up this try
    tenant: int = 0
    ordering_key: int = 0
    estimated_cost: float = 0.0  # told estimate of the work; 0: none
    estimated_memory_mb: float = 0.0  # told estimate of the memory; 0: none
    table_group: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    previous_attempt: PreviousAttempt | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: int
    attempt: int
    engine: bytes
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: int
    attempt: int
    engine: bytes
    outcome: Outcome
    elapsed: float
    is_final: bool = False  # the request is over; nothing is owed any more
    work: float = 0.0  # seconds; 0: not told
    memory_mb: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    request: int


@dataclass(frozen=True, slots=True)
class ProgressReport:
    request: int
    attempt: int
    engine: bytes
    kind: ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The gateway ends now: everything that it owes gets its final answer."""


@dataclass(frozen=True, slots=True)
class ProbeResult:
    engine: bytes
    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
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


# --- actions --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt; those of a request are numbered 0, 1, 2 ... in the order sent."""

    request: int
    engine: bytes
    timeout: float


@dataclass(frozen=True, slots=True)
class SetResourceGrant:
    """Grant (0: the engine's choice) and priority (0 to 3) of the request's next send."""

    request: int
    memory_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, safe to try again after the advised wait."""

    request: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no word on whether it took effect."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    deadline: float


@dataclass(frozen=True, slots=True)
class ProbeLoad:
    engine: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    engine: bytes


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send at most 256 bytes to the gateway at a position; None: to all."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    is_enabled: bool


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    Dispatch
    | SetResourceGrant
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | ProbeLoad
    | CloseIdleConnections
    | SendGossip
    | Subscribe
    | PollEndpoints
    | Log
)
