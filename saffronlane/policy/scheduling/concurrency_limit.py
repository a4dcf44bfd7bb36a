"""Adaptive limit on the gateway's own threads over all engines, moved by latency inflation."""

import math

from ...state import Engine, InFlightWork, Request, clamp
from ..estimation.load_reports import LoadReports

FAIR_SHARE_THREADS_PER_CORE = 1.3  # threads per core under congestion, shared by all gateways
FAIR_SHARE_DEVIATIONS = 1.5  # standard deviations above the fair share, for requests that coincide by chance
CONGESTED_INFLATION = 4.0  # latency inflation above which the limit falls
RECOVERED_INFLATION = 2.5  # latency inflation below which the limit grows
CONGESTED_THREADS_PER_CORE = 2.0  # reported threads per core that count as `CONGESTED_INFLATION`
LIMIT_DECREASE_FACTOR = 0.85  # factor on the limit at each decrease
MIN_DECREASE_INTERVAL = 0.3  # seconds between decreases
LIMIT_INCREASE = 0.5  # threads at each increase
INFLATION_SMOOTHING = 0.2  # weight of one response in the smoothed latency inflation


class AdaptiveConcurrencyLimit:
    """Multiplicative decrease while responses are late, additive increase once they are not."""

    def __init__(self, in_flight: InFlightWork, load_reports: LoadReports) -> None:
        self.in_flight = in_flight
        self.load_reports = load_reports
        self.step_context = load_reports.step_context
        self.engine_registry = load_reports.engine_registry
        self.latency_inflation = 1.0  # smoothed, over all engines
        self.limit = math.inf  # own threads
        self.last_decrease_at = -math.inf
        self.is_blocked = False  # the last release left a request without an engine

    def admits(self, request: Request) -> bool:
        """Return whether the limit has room for at least half of the request.

        Longer requests in flight don't count, so that short ones pass them.
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
        """Return the threads per core of an engine up to which it gets heavy requests.

        The limit falls from the congested threshold to the fair share as latency inflation rises.
        """
        quick_ratio = clamp(RECOVERED_INFLATION - self.latency_inflation, 0.0, 1.0)
        span = CONGESTED_THREADS_PER_CORE - FAIR_SHARE_THREADS_PER_CORE
        return FAIR_SHARE_THREADS_PER_CORE + quick_ratio * span

    def record_response(self, engine: Engine, inflation: float, threads_per_core: float) -> None:
        """Record a response by the load reported with it, else by its latency inflation.

        Args:
            engine: The engine that responded; while it warms up it is slow, not congested.
            inflation: Latency over the uncontended latency.
            threads_per_core: Load that the engine reported; 0 if not reported.
        """
        if threads_per_core:
            inflation = threads_per_core * CONGESTED_INFLATION / CONGESTED_THREADS_PER_CORE
        guarantees = self.step_context.guarantees
        effective_cores = engine.effective_cores(self.step_context.now, guarantees)
        self.record_latency_inflation(inflation * effective_cores / engine.cores)

    def record_latency_inflation(self, inflation: float) -> None:
        """Update the smoothed latency inflation and move the limit accordingly."""
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
        """Return the lowest limit in threads: the fair share, or 1 where engines report their load."""
        if self.load_reports.active_column is not None:
            return 1.0
        gateway_count = self.step_context.settings.gateway_count
        fair_share = self.engine_registry.ready_cores * FAIR_SHARE_THREADS_PER_CORE / gateway_count
        return fair_share + FAIR_SHARE_DEVIATIONS * math.sqrt(fair_share)
