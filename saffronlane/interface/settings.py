"""Settings of one gateway. Times are in seconds, memory is in MB, work is in thread seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from .kinds import DeduplicationScope, Idempotency, MemoryOvercommit


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of a query class.

    Attributes:
        name: Name of the class, unique within the settings.
        latency_objective: Fixed part of the latency objective, which is
            `latency_objective + latency_objective_per_work x work / threads`.
        deadline: Time for which a client waits, over all its tries of a query.
        priority_weight: Value of an answer within the latency objective.
        late_priority_weight: Value of an answer after the latency objective.
        latency_objective_per_work: Part of the latency objective that grows with the work of the query.
        threads: Threads that a query of the class uses.
        idempotency: Whether a query may be executed more than once.
        deduplication_scope: Which engines discard a duplicate of a query with an idempotency key.
        idempotency_ttl: Time for which engines store an idempotency key.
        is_ordered: Whether queries with the same ordering key run one at a time, in order of arrival.
        is_streaming: Whether results are passed on to the client while they are produced.
        is_bulk_load: Whether a query locks its table group on its engine while it runs.
        waits_for_bulk_loads: Whether a query waits for a bulk load of its table group on the same engine.
        allowed_zones: Indices of the zones in which it may run; None allows all.
        allowed_machine_types: Indices of the machine types on which it may run; None allows all.
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
    """A type of machine that engines run on.

    Attributes:
        memory_mb: Memory of the machine; 0 if it is unknown.
    """

    name: str
    cores: float
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """Limits of a tenant.

    Attributes:
        rate_limit: Requests per second over all gateways; 0 sets no limit.
        quota: The tenant's quota, as a share of all work.
    """

    name: str
    rate_limit: float = 0.0
    quota: float = 0.0


@dataclass(frozen=True, slots=True)
class Guarantees:
    """Bounds that every decision respects.

    Attributes:
        response_slack: Longest time by which an answer may exceed the client's timeout.
        drain_grace_period: Time for which an engine may still get new attempts after the notification that
            it drains or is removed.
        slow_start_overload_factor: An engine in slow start fails once it gets more than this multiple of its
            capacity within the overload window; 0 if it can't be overloaded.
        slow_start_overload_window: Length of the window in which the work sent to the engine is summed.
        slow_start_initial_ratio: Part of its full capacity that an engine has at its start.
        slow_start_duration: Time from its start until an engine reaches its full capacity.
        ordering_cooldown: Time for which an ordering key is blocked after an attempt that may still
            be running.
        retry_budget_base: Retries that are always allowed within the window; None sets no limit.
        retry_budget_ratio: Additional retries for each served request of the window.
        retry_budget_window: Length of the window in which retries and served requests are counted.
        subscribe_deadline: Time from the start by which the gateway has to subscribe to the endpoint list.
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
    """Features that a gateway may use, and their limits.

    Attributes:
        can_cancel: Whether attempts can be cancelled.
        hedged_requests_enabled: Whether two attempts of one request may run at the same time.
        load_probes_enabled: Whether engines may be probed for their load.
        load_probe_price: Price of one probe for every query, in points of the service score.
        gossip_enabled: Whether gateways may exchange messages.
        sends_retry_after: Whether clients respect the delay that a rejection asks for.
        max_attempts: Highest number of attempts of one request.
        max_retry_after: Longest delay that clients respect.
        connect_timeout: Timeout for opening a connection to an engine.
        max_concurrent_streams: Highest number of concurrent streams on one connection; 0 sets no limit.
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
        classes: Query classes; events refer to them by index.
        machine_types: Machine types of the engines; endpoint list entries refer to them by index.
        gateway_count: Number of gateways in the deployment.
        gateway_index: Index of this gateway among them.
        zone: Zone of this gateway, as an index into `zones`.
        zones: Names of all zones.
        tenants: Tenants; events refer to them by index.
        guarantees: Bounds that decisions respect.
        limits: Features that decisions may use.
        memory_grants_enabled: Whether engines respect memory grants.
        priorities_enabled: Whether engines respect priorities.
        max_memory_grant_ratio: Ratio of the largest memory grant to the memory of the largest machine type.
        memory_overcommit: How an engine handles memory grants that exceed its memory.
        progress_interval: Time between two progress reports of an attempt; 0 if engines send none.
        reports_work: Whether responses report the work done and the memory used.
        over_quota_weight: Factor on the priority weight of a request beyond its tenant's quota.
        subscribes_to_endpoints: Whether the gateway has to subscribe to the endpoint list.
        report_columns: Names of the numbers in a load report, in order.
        cross_zone_price: Price of sending every query to another zone once, in points of the service score.
        min_step_interval: Shortest time between two steps.

    Raises:
        ValueError: There is no class, machine type or gateway, a machine type has no cores, or a class has no
            threads.
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
            raise ValueError("every machine type needs a positive number of cores")
        if any(class_settings.threads < 1 for class_settings in self.classes):
            raise ValueError("every class needs at least one thread")

    @property
    def max_memory_grant(self) -> float:
        """Largest memory grant of one query in MB; 0 if no machine type's memory is known."""
        largest = max(machine_type.memory_mb for machine_type in self.machine_types)
        return largest * self.max_memory_grant_ratio
