"""One limit on own threads over all engines, moved by how late answers are."""

import math

from ...state import Engine, InFlightWork, Request, clamp
from ..estimation.load_reports import LoadReports

FAIR_SHARE_THREADS_PER_CORE = 1.3  # share under full pressure, over the gateway count; below any knee
FAIR_SHARE_DEVIATIONS = (
    1.5  # the share's slack in standard deviations: of few queries some are out together by chance
)
CONGESTED_INFLATION, RECOVERED_INFLATION = (
    4.0,
    2.5,
)  # latency over the best: pressure, queries wait; and the limit grows again
CONGESTED_THREADS_PER_CORE = (
    2.0  # threads a core that engines report, read as PRESSED; the design's value for full
)
LIMIT_DECREASE_FACTOR, MIN_DECREASE_INTERVAL, LIMIT_INCREASE = (
    0.85,
    0.3,
    0.5,
)  # factor of a cut, seconds between cuts, threads of growth
INFLATION_SMOOTHING = 0.2  # weight of one answer in the crowd that is felt


class AdaptiveConcurrencyLimit:
    def __init__(self, own: InFlightWork, reports: LoadReports) -> None:
        self.in_flight, self.load_reports, self.step_context, self.engine_registry = (
            own,
            reports,
            reports.step_context,
            reports.engine_registry,
        )
        self.latency_inflation = 1.0  # smoothed latency over the best, over all engines
        self.limit, self.last_decrease_at = (
            math.inf,
            -math.inf,
        )  # own threads allowed; under pressure, the share
        self.is_blocked = False  # the last release found no room for a query

    def admits(self, job: Request) -> bool:  # to half a query; none counts longer ones: a lane for the short
        learned = self.load_reports.workload_estimates.estimators
        own, out = (
            learned[job.class_index].exec_time(),
            zip(self.in_flight.threads_by_class, learned, strict=True),
        )
        threads = sum(threads for threads, known in out if threads and known.exec_time() <= own)
        return not threads or threads + job.class_settings.threads / 2.0 <= self.limit

    def max_threads_per_core(self) -> float:
        """Past which heavy queries wait: the design's value while answers are quick, the share once not."""
        quick = clamp(RECOVERED_INFLATION - self.latency_inflation, 0.0, 1.0)
        return FAIR_SHARE_THREADS_PER_CORE + quick * (
            CONGESTED_THREADS_PER_CORE - FAIR_SHARE_THREADS_PER_CORE
        )

    def record_response(self, engine: Engine, crowd: float, threads: float) -> None:
        """By the threads a core told with it, else by how late it was; a cold engine is slow, not crowded."""
        crowd = threads * CONGESTED_INFLATION / CONGESTED_THREADS_PER_CORE if threads else crowd
        self.record_latency_inflation(
            crowd * engine.effective_cores(self.step_context.now, self.step_context.guarantees) / engine.cores
        )

    def record_latency_inflation(self, crowd: float) -> None:
        """One limit over all engines falls towards the share while answers are late, and grows after."""
        now, threads = self.step_context.now, self.in_flight.threads
        self.latency_inflation += INFLATION_SMOOTHING * (
            min(crowd, CONGESTED_INFLATION * 2.0) - self.latency_inflation
        )
        if (
            self.latency_inflation > CONGESTED_INFLATION
            and now >= self.last_decrease_at + MIN_DECREASE_INTERVAL
        ):
            part = (
                self.engine_registry.ready_cores
                * FAIR_SHARE_THREADS_PER_CORE
                / self.step_context.settings.gateway_count
            )  # run well
            floor = (
                part + FAIR_SHARE_DEVIATIONS * math.sqrt(part)
                if self.load_reports.active_column is None
                else 1.0
            )
            self.limit = max(floor, min(self.limit, threads + 1.0) * LIMIT_DECREASE_FACTOR)
            self.last_decrease_at = now
        elif self.latency_inflation < RECOVERED_INFLATION and threads >= self.limit / 2.0:
            self.limit += LIMIT_INCREASE
