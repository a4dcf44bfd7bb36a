"""Selection of an engine for a request from the eligible engines."""

from ...state import Engine, InFlightWork, PeerLoadTable, Request
from ..estimation.load_reports import LoadReports
from ..health.outlier_detection import OutlierDetector
from ..scheduling.concurrency_limit import AdaptiveConcurrencyLimit
from .eligibility import EngineEligibility

OVERLOAD_FACTOR = 1.25  # engines above this multiple of the mean load, plus one request, are skipped
RECENT_WORK_HORIZON = 10.0  # seconds; decay time of dispatched work, a load even if little is in flight


class EngineSelector:
    """Bounded-load hashing: selects the less loaded of two neighbours in rendezvous order."""

    def __init__(
        self, load_reports: LoadReports, outlier_detector: OutlierDetector, peer_load: PeerLoadTable
    ) -> None:
        self.load_reports = load_reports
        self.peer_load = peer_load
        self.step_context = load_reports.step_context
        self.engine_registry = load_reports.engine_registry
        self.workload_estimates = load_reports.workload_estimates
        self.in_flight = InFlightWork(len(self.step_context.settings.classes))
        self.concurrency_limit = AdaptiveConcurrencyLimit(self.in_flight, load_reports)
        self.eligibility = EngineEligibility(load_reports, outlier_detector, self.concurrency_limit)

    def on_engines_changed(self) -> None:
        """Discard cached data that depends on the set of ready engines."""
        self.eligibility.rendezvous_order.clear()

    def load(self, engine: Engine) -> float:
        """Return the engine's load in threads per core, increased if its zone is costly to reach.

        It is the sum of this gateway's work, the peers' attempts and the load that the engine reported.
        """
        now = self.step_context.now
        own_threads = engine.in_flight_threads + engine.recent_work.read(now, RECENT_WORK_HORIZON)
        reported_threads = self.load_reports.threads_per_core(engine) * engine.cores
        threads = own_threads + engine.peer_threads + reported_threads
        load = threads / engine.effective_cores(now, self.step_context.guarantees)
        is_crossing_costly = self.eligibility.rendezvous_order.is_crossing_costly
        if is_crossing_costly and engine.zone != self.step_context.settings.zone:
            return load * OVERLOAD_FACTOR
        return load

    def has_capacity(self, request: Request) -> bool:
        """Return whether engines are listed and the concurrency limit admits the class of the request."""
        return bool(self.engine_registry.ready_cores) and self.concurrency_limit.admits(request)

    def select(self, request: Request) -> Engine | None:
        """Return an engine for the request, or None if the request has to wait."""
        if not self.has_capacity(request):
            return None
        return (
            self._select_warming_up(request)
            or self._select_in_order(request, strict=True)
            or self._select_in_order(request, strict=False)
        )

    def _select_warming_up(self, request: Request) -> Engine | None:
        """Return an engine in slow start with capacity, preferred since the gateway's turns on it are short.

        The rendezvous order differs between gateways. With the same order, all gateways would use the same
        engine first.
        """
        now = self.step_context.now
        if now >= self.engine_registry.warmups_end_at:
            return None
        slow_start_duration = self.step_context.guarantees.slow_start_duration
        hash_seed = self.step_context.settings.gateway_index + 1
        for engine in self.eligibility.rendezvous_order(request.table_group, hash_seed):
            if not engine.is_warming_up(now, slow_start_duration):
                continue
            if not self._is_within_share(engine, request):
                continue
            if next(self.eligibility.eligible_engines(request, True, [engine]), None):
                return engine
        return None

    def _select_in_order(self, request: Request, strict: bool) -> Engine | None:
        """Return the less loaded engine of the first pair of neighbours where it is not overloaded.

        If it is overloaded in every pair, return the least loaded engine of all.
        """
        previous: Engine | None = None
        least_loaded: Engine | None = None
        for engine in self.eligibility.eligible_engines(request, strict):
            best = engine if previous is None else min(previous, engine, key=self.load)
            if previous is not None and not self._is_overloaded(best, request):
                return best
            least_loaded = best if least_loaded is None else min(least_loaded, best, key=self.load)
            previous = engine
        return least_loaded

    def _is_overloaded(self, engine: Engine, request: Request) -> bool:
        """Return whether the engine's threads, reported load or recent work exceed its share."""
        if not self._is_within_share(engine, request):
            return True
        mean_threads = self.engine_registry.mean_reported_threads
        request_threads_per_core = request.class_settings.threads / engine.cores
        max_threads_per_core = OVERLOAD_FACTOR * mean_threads + request_threads_per_core
        if self.load_reports.threads_per_core(engine) > max_threads_per_core:
            return True
        now = self.step_context.now
        total_work = self.in_flight.recent_work.read(now, RECENT_WORK_HORIZON)
        request_work = self.workload_estimates.work(request) / RECENT_WORK_HORIZON
        max_work = self._share(engine) * total_work + request_work
        return engine.recent_work.read(now, RECENT_WORK_HORIZON) > max_work

    def _is_within_share(self, engine: Engine, request: Request) -> bool:
        """Return whether the engine's threads are within its share of all threads plus one request."""
        total_threads = self.in_flight.threads + self.peer_load.threads
        max_threads = self._share(engine) * total_threads + request.class_settings.threads
        return engine.in_flight_threads + engine.peer_threads <= max_threads

    def _share(self, engine: Engine) -> float:
        """Return the highest part of the total load that the engine should carry."""
        effective_cores = engine.effective_cores(self.step_context.now, self.step_context.guarantees)
        return OVERLOAD_FACTOR * effective_cores / self.engine_registry.ready_cores
