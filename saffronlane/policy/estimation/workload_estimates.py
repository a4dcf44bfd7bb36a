"""What is known of all classes together: a query's time, work and terms beside the usual mix."""

from ... import interface as api
from ...state import Request
from .run_time_estimator import NEED_SEED, Learned

HEAVY = 2.0  # a query of more than this x the mean work is told: each message costs all gateways time


class Classes:
    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.learned = [Learned(cls) for cls in settings.classes]

    def exec_time(self, job: Request) -> float:
        return self.learned[job.class_index].exec_time(job.estimated_cost)

    def work(self, job: Request) -> float:
        return max(
            self.learned[job.class_index].work(), self.learned[job.class_index].work(job.estimated_cost)
        )

    def heavy(self, job: Request) -> bool:
        return job.class_settings.is_bulk_load or 0.0 < HEAVY * self.usual()[0] < self.work(job)

    def usual(self) -> tuple[float, float]:  # work and worth of the mean query
        count = max(1, sum(k.answer_count for k in self.learned))
        work = sum(k.answer_count * k.work() for k in self.learned) / count
        return work, sum(k.answer_count * k.class_settings.priority_weight for k in self.learned) / count

    def terms(self, job: Request) -> tuple[float, int]:
        """Memory from learned need; priority by worth per second of work against the usual mix."""
        known, settings = self.learned[job.class_index], self.settings
        grant = (
            (known.memory_requirement or NEED_SEED) * job.estimated_memory_mb
            if job.estimated_memory_mb
            else known.memory_requirement * 1.1
        )
        if settings.max_memory_grant:
            grant = min(grant, settings.max_memory_grant)
        work, worth = self.usual()
        if not settings.priorities_enabled or not work or not worth:
            return grant, 1
        density = (
            job.class_settings.priority_weight
            / max(1e-3, known.work(job.estimated_cost) * known.baseline_inflation)
            / (worth / work)
        )
        return grant, 3 if density >= 2.0 else 2 if density >= 1.0 else 1 if density >= 0.4 else 0
