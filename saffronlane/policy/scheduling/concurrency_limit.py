"""Adaptive limit on the threads that a gateway uses on all engines, controlled by latency inflation."""

import math

from ...state import Engine, InFlightWork, Request, clamp
from ..estimation.load_reports import LoadReports

FAIR_SHARE_THREADS_PER_CORE = 1.3  # threads per core that all gateways together use under congestion
FAIR_SHARE_DEVIATIONS = 1.5  # standard deviations added to the fair share, since requests coincide by chance
CONGESTED_INFLATION = 4.0  # latency inflation above which the limit falls
RECOVERED_INFLATION = 2.5  # latency inflation below which the limit grows
CONGESTED_THREADS_PER_CORE = 2.0  # reported threads per core that count as `CONGESTED_INFLATION`
LIMIT_DECREASE_FACTOR = 0.85  # factor on the limit at each decrease
MIN_DECREASE_INTERVAL = 0.3  # seconds between decreases
LIMIT_INCREASE = 0.5  # threads at each increase
INFLATION_SMOOTHING = 0.2  # weight of one response in the smoothed latency inflation


class AdaptiveConcurrencyLimit:
    """Decreases the limit by a factor while latency is inflated, and increases it in steps otherwise."""

    def __init__(self, in_flight: InFlightWork, load_reports: LoadReports) -> None:
        self.in_flight = in_flight
        self.load_reports = load_reports
        self.step_context = load_reports.step_context
        self.engine_registry = load_reports.engine_registry
        self.latency_inflation = 1.0  # smoothed, over all engines
        self.limit = math.inf  # threads of the attempts of this gateway
        self.last_decrease_at = -math.inf
        self.is_blocked = False  # whether the last scheduling pass left a request without an engine

    def admits(self, request: Request) -> bool:
        """Return whether the limit leaves room for at least half of the request's threads.

        Attempts of classes with a longer ExecTime don't count, so that short requests can overtake them. If
        no other attempt is in flight, every request is admitted.
        """
        estimators = self.load_reports.workload_estimates.estimators
        exec_time = estimators[request.class_index].exec_time()
        threads = sum(
            class_threads
            for class_threads, estimator in zip(self.in_flight.threads_by_class, estimators, strict=True)
            if class_threads and estimator.exec_time() <= exec_time
        )
        return not threads or threads + request.class_settings.threads / 2.0 <= self.limit

    def max_threads_per_core(self) -> float:
        """Return the highest number of threads per core at which an engine gets heavy requests.

        The limit falls from the congested threshold to the fair share as latency inflation rises.
        """
        low_inflation_ratio = clamp(RECOVERED_INFLATION - self.latency_inflation, 0.0, 1.0)
        span = CONGESTED_THREADS_PER_CORE - FAIR_SHARE_THREADS_PER_CORE
        return FAIR_SHARE_THREADS_PER_CORE + low_inflation_ratio * span

    def record_response(self, engine: Engine, inflation: float, threads_per_core: float) -> None:
        """Record the reported load of a response or, without a report, its latency inflation.

        Args:
            engine: The engine that responded. While it warms up, the inflation is scaled down, since such an
                engine is slow without congestion.
            inflation: Ratio of the latency to the latency without contention.
            threads_per_core: Load that the engine reported; 0 if not reported.
        """
        if threads_per_core:
            inflation = threads_per_core * CONGESTED_INFLATION / CONGESTED_THREADS_PER_CORE
        guarantees = self.step_context.guarantees
        effective_cores = engine.effective_cores(self.step_context.now, guarantees)
        self.record_latency_inflation(inflation * effective_cores / engine.cores)

    def record_latency_inflation(self, inflation: float) -> None:
        """Update the smoothed latency inflation and adjust the limit."""
        bounded_inflation = min(inflation, CONGESTED_INFLATION * 2.0)
        self.latency_inflation += INFLATION_SMOOTHING * (bounded_inflation - self.latency_inflation)
        now = self.step_context.now
        threads = self.in_flight.threads
        if (
            self.latency_inflation > CONGESTED_INFLATION
            and now >= self.last_decrease_at + MIN_DECREASE_INTERVAL
        ):
            self.limit = max(self._min_limit(), min(self.limit, threads + 1.0) * LIMIT_DECREASE_FACTOR)
            self.last_decrease_at = now
        elif self.latency_inflation < RECOVERED_INFLATION and threads >= self.limit / 2.0:
            self.limit += LIMIT_INCREASE

    def _min_limit(self) -> float:
        """Return the lowest limit in threads: the fair share, or 1 if engines report their load."""
        if self.load_reports.active_column is not None:
            return 1.0
        gateway_count = self.step_context.settings.gateway_count
        fair_share = self.engine_registry.ready_cores * FAIR_SHARE_THREADS_PER_CORE / gateway_count
        return fair_share + FAIR_SHARE_DEVIATIONS * math.sqrt(fair_share)
