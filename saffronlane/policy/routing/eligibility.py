"""Eligibility of engines for a request: where it is allowed to run, and which engines it should avoid."""

from collections.abc import Iterator

from ...interface import DeduplicationScope, Idempotency
from ...state import Engine, Request
from ..estimation.load_reports import LoadReports
from ..health.outlier_detection import OutlierDetector
from ..scheduling.concurrency_limit import AdaptiveConcurrencyLimit
from .capacity import EngineCapacity
from .rendezvous import RendezvousOrder

REJECTION_COOLDOWN = 1.0  # seconds for which an engine is avoided after a sign of congestion


class EngineEligibility:
    """Lists the engines that a request may use, in order of preference."""

    def __init__(
        self,
        load_reports: LoadReports,
        outlier_detector: OutlierDetector,
        concurrency_limit: AdaptiveConcurrencyLimit,
    ) -> None:
        self.step_context = load_reports.step_context
        self.workload_estimates = load_reports.workload_estimates
        self.outlier_detector = outlier_detector
        self.capacity = EngineCapacity(load_reports, concurrency_limit)
        self.rendezvous_order = RendezvousOrder(load_reports.step_context, load_reports.engine_registry)

    def is_allowed(self, engine: Engine, request: Request) -> bool:
        """Return whether the request may run on the engine.

        The restrictions of its class to zones and machine types must hold. If an earlier attempt may have
        been executed, the engine must also be able to discard a duplicate.
        """
        settings = request.class_settings
        if settings.allowed_zones is not None and engine.zone not in settings.allowed_zones:
            return False
        machine_types = settings.allowed_machine_types
        if machine_types is not None and engine.machine_type not in machine_types:
            return False
        return self._is_in_deduplication_scope(engine, request)

    def _is_in_deduplication_scope(self, engine: Engine, request: Request) -> bool:
        """Return False if the engine might execute a keyed request again that another engine has executed."""
        settings = request.class_settings
        if settings.idempotency is not Idempotency.KEYED:
            return True
        if settings.deduplication_scope is DeduplicationScope.ALL:
            return True
        first = request.first_possible_execution()
        if first is None:
            return True
        if settings.deduplication_scope is DeduplicationScope.ZONE:
            return engine.zone == first.engine.zone
        return engine.cell == first.engine.cell

    def eligible_engines(
        self, request: Request, strict: bool, candidates: list[Engine] | None = None
    ) -> Iterator[Engine]:
        """Yield the engines that the request may use now, in order of preference.

        Args:
            request: The request.
            strict: Whether to also leave out the engines that should be avoided.
            candidates: The engines to choose from; by default all ready engines in rendezvous order.
        """
        is_heavy = self.workload_estimates.is_heavy(request)
        memory_mb = self.workload_estimates.resource_grant(request).memory_mb
        for engine in candidates or self._ordered_engines(request):
            if strict and self._should_avoid(engine, request):
                continue
            if any(attempt.engine is engine and attempt.outcome is None for attempt in request.attempts):
                continue
            if not self.is_allowed(engine, request) or not self.outlier_detector.admits(engine, request):
                continue
            if self.capacity.has_capacity(engine, request, is_heavy, memory_mb):
                yield engine

    def _ordered_engines(self, request: Request) -> list[Engine]:
        """Return the ready engines in rendezvous order.

        The order for bulk loads differs between gateways, since two bulk loads of the same table group would
        wait for each other on one engine.
        """
        is_bulk_load = request.class_settings.is_bulk_load
        hash_seed = self.step_context.settings.gateway_index + 1 if is_bulk_load else 0
        return self.rendezvous_order(request.table_group, hash_seed)

    def _should_avoid(self, engine: Engine, request: Request) -> bool:
        """Return whether the engine was full recently, failed the request or runs a conflicting bulk load."""
        if engine.last_rejection_at > self.step_context.now - REJECTION_COOLDOWN:
            return True
        if engine.id in request.failed_engines:
            return True
        settings = request.class_settings
        waits_for_bulk_loads = settings.is_bulk_load or settings.waits_for_bulk_loads
        return waits_for_bulk_loads and engine.is_bulk_loading(request.table_group)
