"""What engines report of their load, with answers or when asked."""

import math

from ...state import Engine, EngineRegistry, Request, StepContext
from .workload_estimates import WorkloadEstimates

MAX_PROBED_ENGINES, MIN_PROBE_INTERVAL, PROBE_TIMEOUT = (
    3,
    0.1,
    0.025,
)  # engines asked, if not asked so lately; seconds for their word
MAX_PROBE_PRICE = 0.02  # points of service for a probe a query up to which asking for heavy queries pays
MAX_REPORTED_THREADS_PER_CORE, REPORT_DECAY_TIME = (
    100.0,
    15.0,
)  # threads a core, more is absurd; seconds until it says little


class LoadReports:
    def __init__(self, batch: StepContext, fleet: EngineRegistry, classes: WorkloadEstimates) -> None:
        self.step_context, self.engine_registry, self.workload_estimates = batch, fleet, classes
        columns, limits = batch.settings.report_columns, batch.limits
        self.active_column = columns.index("active") if "active" in columns else None
        self.is_probing_enabled = (
            limits.load_probes
            and limits.load_probe_price <= MAX_PROBE_PRICE
            and self.active_column is not None
        )

    def record(self, engine: Engine, report: tuple[float, ...]) -> float:
        """Threads a core that an engine says it runs, by the usual threads of a query; 0: not told."""
        column, learned = self.active_column, self.workload_estimates.estimators
        if column is None or column >= len(report) or not 0.0 < report[column] < math.inf:
            return 0.0
        spans = [max(1, known.answer_count) * known.exec_time() for known in learned]
        threads = sum(s * k.class_settings.threads for s, k in zip(spans, learned, strict=True)) / sum(spans)
        self.engine_registry.record_load_report(
            engine,
            min(report[column] * threads / engine.cores, MAX_REPORTED_THREADS_PER_CORE),
            self.step_context.now,
        )
        return engine.reported_threads_per_core

    def threads_per_core(self, engine: Engine) -> float:
        """Threads a core by the engine's last report, drawn to the fleet's mean as it ages."""
        fresh = math.exp(min(0.0, engine.reported_at - self.step_context.now) / REPORT_DECAY_TIME)
        return self.engine_registry.mean_reported_threads + fresh * (
            engine.reported_threads_per_core - self.engine_registry.mean_reported_threads
        )

    def select_probe_targets(self, job: Request, engines: list[Engine]) -> list[Engine]:
        """Those of a heavy query's first engines to ask what they hold; it waits a moment for their word."""
        asked = [
            e
            for e in engines
            if max(e.last_probe_at, e.reported_at) < self.step_context.now - MIN_PROBE_INTERVAL
        ]
        for engine in asked:
            engine.last_probe_at = self.step_context.now
            job.probing_until = self.step_context.now + PROBE_TIMEOUT
        return asked
