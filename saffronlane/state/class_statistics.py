"""Sums over the answers of one class of queries."""

import math

from .. import interface as api


class ClassStatistics:
    """Decayed sums over one class's answers; a prior stands for answers until there are any.

    Attributes:
        class_settings: of the class.
        answer_count: answers so far.
        restored_answer_count: those of earlier runs among them.
        estimated_costs, latency_total, work_total, uncontended_work_total: decayed sums. The ratios of the
            others to the estimated costs correct the estimates. Uncontended work is work without what the
            reported load of the engine added.
        mean_estimated_cost: decayed mean of clients' estimates.
        prior: the part of the four sums that no answer gave.
        baseline_inflation: latency x threads / work without congestion, a low quantile.
        seconds_per_cost_unit: run time over estimated cost.
        last_answer_at: time of the last answer; -inf: none.
        memory_requirement: memory used over memory estimated, a high quantile.
    """

    def __init__(self, class_settings: api.ClassSettings, prior_answers: float) -> None:
        self.class_settings = class_settings
        self.answer_count = self.restored_answer_count = 0
        self.estimated_costs = self.mean_estimated_cost = 0.0
        self.latency_total = class_settings.latency_objective * prior_answers
        # The prior is high, so that engines in slow start get little work of unknown classes.
        self.work_total = class_settings.latency_objective * class_settings.threads * prior_answers
        self.uncontended_work_total = self.work_total
        self.prior = (0.0, self.latency_total, self.work_total, self.uncontended_work_total)
        self.baseline_inflation = 1.0
        self.seconds_per_cost_unit = 0.0
        self.last_answer_at = -math.inf
        self.memory_requirement = 0.0

    def apply_first_estimate(self, cost: float, prior_cost: float, is_from_client: bool) -> None:
        """Express the prior in units of the first estimate; a client's estimate also counts as the work."""
        self.mean_estimated_cost = cost
        self.estimated_costs = prior_cost
        if is_from_client:
            self.work_total = prior_cost
        self.uncontended_work_total = self.work_total
        self.prior = (self.estimated_costs, self.latency_total, self.work_total, self.uncontended_work_total)

    def add(self, decay: float, cost: float, elapsed: float, work: float, uncontended_work: float) -> None:
        """Add an answer; `decay` is the factor by which those before it count less."""
        self.estimated_costs = self.estimated_costs * decay + cost
        self.latency_total = self.latency_total * decay + elapsed
        self.work_total = self.work_total * decay + work
        self.uncontended_work_total = self.uncontended_work_total * decay + uncontended_work
