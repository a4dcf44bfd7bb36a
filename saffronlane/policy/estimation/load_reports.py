"""Load reports of engines, sent with responses or as results of load probes."""

import math

from ...state import Engine, EngineRegistry, Request, StepContext
from .workload_estimates import WorkloadEstimates

MAX_PROBED_ENGINES = 3  # engines probed for one heavy request
MIN_PROBE_INTERVAL = 0.1  # seconds between two probes of the same engine
PROBE_TIMEOUT = 0.025  # seconds that a request waits for the results of its probes
MAX_PROBE_PRICE = 0.02  # points of the service score; no probes if one for every query costs more
MAX_REPORTED_THREADS_PER_CORE = 100.0  # threads per core; higher reported values are limited to this
REPORT_DECAY_TIME = 15.0  # seconds in which the weight of a report decays to 1/e


class LoadReports:
    """Records the load reports of engines and selects the engines to probe."""

    def __init__(
        self,
        step_context: StepContext,
        engine_registry: EngineRegistry,
        workload_estimates: WorkloadEstimates,
    ) -> None:
        self.step_context = step_context
        self.engine_registry = engine_registry
        self.workload_estimates = workload_estimates
        limits = step_context.limits
        columns = step_context.settings.report_columns
        self.active_column = columns.index("active") if "active" in columns else None
        self.is_probing_enabled = (
            limits.load_probes_enabled
            and limits.load_probe_price <= MAX_PROBE_PRICE
            and self.active_column is not None
        )

    def record(self, engine: Engine, report: tuple[float, ...]) -> float:
        """Record one load report.

        Args:
            engine: The engine that sent the report.
            report: One number for each of the configured report columns.

        Returns:
            Threads per core that the engine runs, or 0 if the report contains no valid value.
        """
        active_requests = self._active_requests(report)
        if active_requests is None:
            return 0.0
        threads_per_core = active_requests * self._mean_threads() / engine.cores
        self.engine_registry.record_load_report(
            engine, min(threads_per_core, MAX_REPORTED_THREADS_PER_CORE), self.step_context.now
        )
        return engine.reported_threads_per_core

    def _active_requests(self, report: tuple[float, ...]) -> float | None:
        """Return the number of active requests in a report, or None if it contains no valid number."""
        column = self.active_column
        if column is None or column >= len(report):
            return None
        return report[column] if 0.0 < report[column] < math.inf else None

    def _mean_threads(self) -> float:
        """Return the mean threads of an active request; classes are weighted by answer count and run time."""
        estimators = self.workload_estimates.estimators
        run_times = [max(1, estimator.answer_count) * estimator.exec_time() for estimator in estimators]
        thread_times = (
            run_time * estimator.class_settings.threads
            for run_time, estimator in zip(run_times, estimators, strict=True)
        )
        return sum(thread_times) / sum(run_times)

    def threads_per_core(self, engine: Engine) -> float:
        """Return the threads per core of the engine's last report, which decays to the mean with its age."""
        mean = self.engine_registry.mean_reported_threads
        weight = math.exp(min(0.0, engine.reported_at - self.step_context.now) / REPORT_DECAY_TIME)
        return mean + weight * (engine.reported_threads_per_core - mean)

    def select_probe_targets(self, request: Request, engines: list[Engine]) -> list[Engine]:
        """Return the engines to probe, and keep the request queued until their results are due.

        Engines that were probed or sent a report within `MIN_PROBE_INTERVAL` are left out.
        """
        now = self.step_context.now
        targets = [
            engine
            for engine in engines
            if max(engine.last_probe_at, engine.reported_at) < now - MIN_PROBE_INTERVAL
        ]
        for engine in targets:
            engine.last_probe_at = now
            request.probing_until = now + PROBE_TIMEOUT
        return targets
