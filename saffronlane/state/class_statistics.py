"""The sums in which the answers of one class are kept."""

import math

from .. import interface as api


class ClassStatistics:
    """Decayed sums over one class's answers, begun with so many answers as its settings expect them."""

    def __init__(self, cls: api.ClassSettings, seeds: float) -> None:
        self.class_settings, self.answer_count, self.recalled_count = cls, 0, 0
        self.estimated_costs = self.mean_estimated_cost = (
            0.0  # decayed sum, as the next two, and mean told estimate
        )
        self.latency_total = cls.latency_objective * seeds  # their ratios to the estimates correct those
        self.work_total = (
            cls.latency_objective * cls.threads * seeds
        )  # seeded high, so that cold engines get little
        self.uncontended_work_total = (
            self.work_total
        )  # the same without what a reported crowd added; work that is told has none
        self.prior = (
            0.0,
            self.latency_total,
            self.work_total,
            self.uncontended_work_total,
        )  # the part of the sums that no answer gave
        self.baseline_inflation = 1.0  # uncrowded latency x threads / work, a low quantile
        self.seconds_per_cost_unit, self.last_answer_at = 0.0, -math.inf  # and the last answer
        self.memory_requirement = 0.0  # memory needed over memory told, a high quantile

    def apply_first_estimate(self, cost: float, seeds: float, told: bool) -> None:
        """Put the seeds in units of the first estimate; one that is told is taken for the work as well."""
        self.mean_estimated_cost, self.estimated_costs = cost, seeds
        self.work_total = self.uncontended_work_total = self.estimated_costs if told else self.work_total
        self.prior = (self.estimated_costs, self.latency_total, self.work_total, self.uncontended_work_total)

    def add(self, decay: float, cost: float, elapsed: float, work: float, calm: float) -> None:
        """One more answer; each counts the less, the more came after it."""
        self.estimated_costs = self.estimated_costs * decay + cost
        self.latency_total = self.latency_total * decay + elapsed
        self.work_total = self.work_total * decay + work
        self.uncontended_work_total = self.uncontended_work_total * decay + calm
