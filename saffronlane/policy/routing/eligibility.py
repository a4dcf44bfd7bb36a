"""Which engines a query may go to, and which have room for it."""

from collections.abc import Iterator

from ...interface import DeduplicationScope, Idempotency
from ...state import Engine, Request
from ..estimation.workload_estimates import WorkloadEstimates
from ..health.outlier_detection import OutlierDetector
from ..scheduling.concurrency_limit import AdaptiveConcurrencyLimit
from .rendezvous import RendezvousOrder
from .slow_start import has_slow_start_capacity

REJECTION_COOLDOWN = 1.0  # seconds that an engine where a query had to wait is left out
MAX_GRANTED_MEMORY_RATIO = (
    0.85  # of an engine's memory that own and told grants may fill; the rest is for untold queries
)


class EngineEligibility:
    def __init__(
        self, classes: WorkloadEstimates, health: OutlierDetector, pressure: AdaptiveConcurrencyLimit
    ) -> None:
        self.step_context, self.workload_estimates, self.outlier_detector, self.concurrency_limit = (
            health.step_context,
            classes,
            health,
            pressure,
        )
        self.rendezvous_order = RendezvousOrder(health.step_context, health.engine_registry)

    def is_allowed(self, engine: Engine, job: Request) -> bool:
        """Rules 2 and 6: where this request may go at all."""
        cls = job.class_settings
        in_zone = cls.allowed_zones is None or engine.zone in cls.allowed_zones
        in_kind = cls.allowed_machine_types is None or engine.machine_type in cls.allowed_machine_types
        first = (
            job.first_possible_execution()
            if cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is not DeduplicationScope.ALL
            else None
        )
        if first is None or not (in_zone and in_kind):
            return in_zone and in_kind
        zone, cell = engine.zone == first.engine.zone, engine.cell == first.engine.cell
        return zone if cls.deduplication_scope is DeduplicationScope.ZONE else cell

    def has_capacity(self, engine: Engine, job: Request, heavy: bool, need: float) -> bool:
        """Whether the engine has room; past its memory a query spills and does its work several times."""
        told, batch = self.step_context.limits.gossip, self.step_context
        if told and heavy:
            threads = engine.in_flight_threads + engine.peer_threads + job.class_settings.threads / 2.0
            if (
                threads
                > engine.effective_cores(batch.now, batch.guarantees)
                * self.concurrency_limit.max_threads_per_core()
            ):
                return False
        if engine.memory_mb and (told or engine.in_flight_memory_mb):  # untold, a part of the memory is ours
            room = engine.memory_mb * (
                MAX_GRANTED_MEMORY_RATIO if told else 1.0 / batch.settings.gateway_count
            )
            # One of many gateways never sees an engine empty: half of the room is enough for the largest.
            if (
                min(need, room / 2.0) if told else need
            ) > room - engine.in_flight_memory_mb - engine.peer_memory_mb:
                return False
        return has_slow_start_capacity(batch, self.workload_estimates, engine, job)

    def eligible_engines(
        self, job: Request, strict: bool, among: list[Engine] | None = None
    ) -> Iterator[Engine]:
        """Engines in hash order that may be used; strict passes over those that had better be left out."""
        # Loads have a hash order of our own: a second one of a group would stand still.
        apart, salt = (
            job.class_settings.is_bulk_load or job.class_settings.waits_for_bulk_loads,
            self.step_context.settings.gateway_index + 1,
        )
        heavy, need = self.workload_estimates.is_heavy(job), self.workload_estimates.resource_grant(job)[0]
        for engine in among or self.rendezvous_order(
            job.table_group, salt if job.class_settings.is_bulk_load else 0
        ):
            if strict and (
                engine.last_rejection_at > self.step_context.now - REJECTION_COOLDOWN
                or engine.id in job.failed_engines
            ):
                continue
            if strict and apart and engine.is_bulk_loading(job.table_group):
                continue
            if any(a.engine is engine and a.outcome is None for a in job.attempts):
                continue
            able = self.is_allowed(engine, job) and self.outlier_detector.admits(engine, job)
            if able and self.has_capacity(engine, job, heavy, need):
                yield engine
