"""What is known of all classes together: a query's time, work and terms beside the usual mix."""

from ... import interface as api
from ...state import Request
from .run_time_estimator import INITIAL_MEMORY_RATIO, RunTimeEstimator

HEAVY_WORK_RATIO = (
    2.0  # a query of more than this x the mean work is told: each message costs all gateways time
)


class WorkloadEstimates:
    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.estimators = [RunTimeEstimator(cls) for cls in settings.classes]

    def exec_time(self, job: Request) -> float:
        return self.estimators[job.class_index].exec_time(job.estimated_cost)

    def work(self, job: Request) -> float:
        return max(
            self.estimators[job.class_index].work(), self.estimators[job.class_index].work(job.estimated_cost)
        )

    def is_heavy(self, job: Request) -> bool:
        return job.class_settings.is_bulk_load or 0.0 < HEAVY_WORK_RATIO * self.mean_query()[0] < self.work(
            job
        )

    def mean_query(self) -> tuple[float, float]:  # work and worth of the mean query
        count = max(1, sum(k.answer_count for k in self.estimators))
        work = sum(k.answer_count * k.work() for k in self.estimators) / count
        return work, sum(k.answer_count * k.class_settings.priority_weight for k in self.estimators) / count

    def resource_grant(self, job: Request) -> tuple[float, int]:
        """Memory from learned need; priority by worth per second of work against the usual mix."""
        known, settings = self.estimators[job.class_index], self.settings
        grant = (
            (known.memory_requirement or INITIAL_MEMORY_RATIO) * job.estimated_memory_mb
            if job.estimated_memory_mb
            else known.memory_requirement * 1.1
        )
        if settings.max_memory_grant:
            grant = min(grant, settings.max_memory_grant)
        work, worth = self.mean_query()
        if not settings.priorities_enabled or not work or not worth:
            return grant, 1
        density = (
            job.class_settings.priority_weight
            / max(1e-3, known.work(job.estimated_cost) * known.baseline_inflation)
            / (worth / work)
        )
        return grant, 3 if density >= 2.0 else 2 if density >= 1.0 else 1 if density >= 0.4 else 0
