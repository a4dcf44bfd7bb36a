"""What the answers of one class have taught."""

from ... import interface as api
from ...state import ClassStatistics, Request, clamp

SEED_ANSWERS = 4.0  # the seed counts as this many answers: one odd first query must not set the estimate
DECAY = 0.97  # per answer, of what is learned: a handful of seconds of one class's traffic
MAX_BASELINE_GROWTH = (
    0.002  # how fast the best latency forgets: far slower than a jam, or a jam becomes the norm
)
BASELINE_GROWTH_RATE = (
    0.01  # the same for a second, where so many answers come that a jam would soon be the norm
)
MAX_EXEC_TIME_RATIO = (
    3.0  # ExecTime is at most this x the uncrowded time: a bad spell must not refuse what follows
)
INITIAL_MEMORY_RATIO, MEMORY_RATIO_INCREASE, MEMORY_RATIO_DECREASE = (
    1.25,
    0.15,
    0.02,
)  # memory needed over told: a high quantile, a spill is dear


class RunTimeEstimator(ClassStatistics):
    """What the answers of one class have taught. Where no estimates are told, each counts as 1."""

    def __init__(self, cls: api.ClassSettings) -> None:
        super().__init__(cls, SEED_ANSWERS)

    def record_estimate(self, cost: float, is_estimate_given: bool) -> None:
        if not self.estimated_costs:
            self.apply_first_estimate(cost, cost * SEED_ANSWERS, is_estimate_given)
        self.mean_estimated_cost += (cost - self.mean_estimated_cost) * (1.0 - DECAY)
        self.update_cost_rate()

    def record_completion(
        self, now: float, job: Request, elapsed: float, work: float, memory: float, threads: float
    ) -> float:
        """Learn from one answer of an engine with so many threads a core; returns how crowded it was."""
        self.answer_count += 1
        drift, self.last_answer_at = (
            min(MAX_BASELINE_GROWTH, BASELINE_GROWTH_RATE * (now - self.last_answer_at)),
            now,
        )
        calm, busy = self.uncontended_time(job.estimated_cost), elapsed * self.class_settings.threads
        self.add(DECAY, job.estimated_cost, elapsed, work or busy, work or busy / max(1.0, threads))
        if memory > 0.0:
            ratio = memory / (job.estimated_memory_mb or 1.0)
            self.memory_requirement = self.memory_requirement or max(
                ratio, INITIAL_MEMORY_RATIO if job.estimated_memory_mb else 0.0
            )
            self.memory_requirement += (
                MEMORY_RATIO_INCREASE if ratio > self.memory_requirement else MEMORY_RATIO_DECREASE
            ) * (ratio - self.memory_requirement)
        crowd = elapsed / calm if self.answer_count > SEED_ANSWERS and not threads else 1.0
        if work > 0.0:
            stretch = clamp(busy / work, 0.05, 1000.0)
            step = 0.1 if stretch < self.baseline_inflation else drift
            self.baseline_inflation += step * (
                min(stretch, self.baseline_inflation * 2.0) - self.baseline_inflation
            )
            crowd = stretch / self.baseline_inflation
        self.update_cost_rate()
        return crowd

    def record_interruption(self, job: Request, elapsed: float) -> None:
        """A run ended early is longer than it got: left out, the mean would lie too low for rule 4."""
        missing = elapsed * self.class_settings.threads - self.work(job.estimated_cost)
        self.work_total += max(0.0, missing) if self.estimated_costs else 0.0

    def work(self, cost: float = 0.0) -> float:
        if not self.estimated_costs:
            return self.work_total / SEED_ANSWERS
        return (cost or self.mean_estimated_cost) * self.work_total / self.estimated_costs

    def uncontended_time(self, cost: float) -> float:
        return max(
            1e-3,
            self.work(cost)
            / self.class_settings.threads
            * self.baseline_inflation
            * self.uncontended_work_total
            / self.work_total,
        )

    def update_cost_rate(self) -> None:
        pace = self.latency_total
        if self.answer_count >= SEED_ANSWERS:
            pace = min(
                pace,
                MAX_EXEC_TIME_RATIO
                * self.uncontended_work_total
                * self.baseline_inflation
                / self.class_settings.threads,
            )
        self.seconds_per_cost_unit = pace / self.estimated_costs if self.estimated_costs else 0.0

    def exec_time(self, cost: float = 0.0) -> float:
        """The design's ExecTime: estimate x learned ratio, or the mean where no estimate is told."""
        return max(
            1e-3,
            (cost or self.mean_estimated_cost) * self.seconds_per_cost_unit
            if self.seconds_per_cost_unit
            else self.class_settings.latency_objective,
        )
