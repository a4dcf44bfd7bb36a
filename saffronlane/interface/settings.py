"""Settings of one gateway. Times are in seconds, memory is in MB, work in seconds of one thread."""

from __future__ import annotations

from dataclasses import dataclass, field

from .kinds import DeduplicationScope, Idempotency, MemoryOvercommit


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A class of queries.

    Attributes:
        name: of the class, unique within the settings.
        latency_objective: an answer within `latency_objective + latency_objective_per_work x work / threads`
            earns the full priority weight.
        deadline: time after which no answer is wanted.
        priority_weight: what an answer within the objective is worth.
        late_priority_weight: what a later one is worth.
        latency_objective_per_work: part of the objective that grows with a query's work.
        threads: that a query of the class uses.
        idempotency: whether a query may run more than once.
        deduplication_scope: which engines discard a repeat of a keyed query.
        idempotency_ttl: how long engines remember an idempotency key.
        is_ordered: queries with the same ordering key run one after the other.
        is_streaming: results are passed on while they are produced.
        is_bulk_load: holds its table group on its engine while it runs.
        waits_for_bulk_loads: waits for a bulk load of its table group on the same engine.
        allowed_zones: zones it may run in, by index; None: all.
        allowed_machine_types: machine types it may run on, by index; None: all.
    """

    name: str
    latency_objective: float
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
    is_bulk_load: bool = False
    waits_for_bulk_loads: bool = False
    allowed_zones: tuple[int, ...] | None = None
    allowed_machine_types: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class MachineType:
    """A type of engine machine. Memory of 0 MB: not known."""

    name: str
    cores: float
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """A tenant's rate limit, in requests a second over all gateways (0: none), and its quota of the work."""

    name: str
    rate_limit: float = 0.0
    quota: float = 0.0


@dataclass(frozen=True, slots=True)
class Guarantees:
    """Bounds that every decision keeps.

    Attributes:
        response_slack: how far past a client's timeout its answer may come.
        drain_grace_period: after which a draining engine gets no more attempts.
        slow_start_overload_factor: an engine that is warming up fails once it gets more than this multiple of
            its capacity within the window; 0: it does not fail.
        slow_start_overload_window: over which that is counted.
        slow_start_initial_ratio: share of its capacity that an engine has at its start.
        slow_start_duration: after which it has all of it.
        ordering_cooldown: pause of an ordering key after an attempt that may still run.
        retry_budget_base: retries allowed in any case within the window; None: retries are not limited.
        retry_budget_ratio: retries allowed on top of it for each served request of the window.
        retry_budget_window: over which both are counted.
        subscribe_deadline: within which the endpoint list has to be subscribed to.
    """

    response_slack: float = 0.02
    drain_grace_period: float = 0.0
    slow_start_overload_factor: float = 0.0
    slow_start_overload_window: float = 0.0
    slow_start_initial_ratio: float = 1.0
    slow_start_duration: float = 0.0
    ordering_cooldown: float = 0.0
    retry_budget_base: float | None = None
    retry_budget_ratio: float = 0.0
    retry_budget_window: float = 0.0
    subscribe_deadline: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a gateway may use.

    Attributes:
        can_cancel: attempts can be cancelled.
        hedged_requests_enabled: a second copy of a request may run beside the first.
        load_probes_enabled: engines may be asked for their load.
        load_probe_price: price of one probe a query, in points of service.
        gossip_enabled: gateways may exchange messages.
        sends_retry_after: clients honour a wait in a rejection.
        max_attempts: of one request.
        max_retry_after: longest wait that clients honour.
        connect_timeout: of a connection to an engine.
        max_concurrent_streams: on one connection; 0: not limited.
    """

    can_cancel: bool = False
    hedged_requests_enabled: bool = False
    load_probes_enabled: bool = False
    load_probe_price: float = 0.0
    gossip_enabled: bool = False
    sends_retry_after: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    max_concurrent_streams: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one gateway.

    Attributes:
        classes: of queries; events name them by index.
        machine_types: of engines; endpoint list entries name them by index.
        gateway_count: gateways of the deployment.
        gateway_index: of this one among them.
        zone: of this gateway, as an index into `zones`.
        zones: names of all zones.
        tenants: events name them by index.
        guarantees: bounds that decisions keep.
        limits: what decisions may use.
        memory_grants_enabled: engines honour a memory grant.
        priorities_enabled: engines honour a priority.
        max_memory_grant_ratio: largest grant as a share of the largest machine's memory.
        memory_overcommit: what an engine does when grants exceed its memory.
        progress_interval: between two progress reports of an attempt; 0: there are none.
        reports_work: answers tell the work done and the memory used.
        over_quota_weight: share of its weight that a request beyond its tenant's quota earns.
        subscribes_to_endpoints: the endpoint list has to be subscribed to.
        report_columns: names of the figures in a load report.
        cross_zone_price: price of each query crossing zones once, in points of service.
        min_step_interval: shortest time between two steps.

    Raises:
        ValueError: there is no class, no machine type or no gateway, or one has neither cores nor threads.
    """

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
    progress_interval: float = 0.0
    reports_work: bool = False
    over_quota_weight: float = 1.0
    subscribes_to_endpoints: bool = False
    report_columns: tuple[str, ...] = ()
    cross_zone_price: float = 0.0
    min_step_interval: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes or not self.machine_types or self.gateway_count < 1:
            raise ValueError("settings need at least one class, one machine type and one gateway")
        if any(machine_type.cores <= 0 for machine_type in self.machine_types):
            raise ValueError("every machine type needs cores")
        if any(class_settings.threads < 1 for class_settings in self.classes):
            raise ValueError("every class needs at least one thread")

    @property
    def max_memory_grant(self) -> float:
        """Largest memory grant of one query in MB; 0: not known."""
        largest = max(machine_type.memory_mb for machine_type in self.machine_types)
        return largest * self.max_memory_grant_ratio
