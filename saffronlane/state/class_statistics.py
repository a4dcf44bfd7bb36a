"""Decayed statistics of one query class."""

import math

from .. import interface as api


class ClassStatistics:
    """Decayed sums over the successful responses of one query class, which start from a prior.

    Attributes:
        class_settings: Settings of the class.
        answer_count: Number of responses so far.
        restored_answer_count: Responses of earlier runs that are part of `answer_count`.
        estimated_costs: Decayed sum of the estimated costs.
        latency_total: Decayed sum of the latencies; its ratio to the estimated costs corrects the estimates.
        work_total: Decayed sum of the work; its ratio to the estimated costs corrects the estimates.
        uncontended_work_total: Decayed sum of the work that the requests would have taken without the load
            that their engines reported.
        mean_estimated_cost: Decayed mean of the clients' estimates.
        prior: Estimated costs, latencies, work and uncontended work before the first response.
        baseline_inflation: Low quantile of latency x threads / work, which excludes congestion.
        seconds_per_cost_unit: Seconds of run time per unit of estimated cost.
        last_answer_at: Time of the last response; -inf if there was none.
        memory_requirement: High quantile of the ratio of memory used to memory estimated.
    """

    def __init__(self, class_settings: api.ClassSettings, prior_answers: float) -> None:
        self.class_settings = class_settings
        self.answer_count = self.restored_answer_count = 0
        self.estimated_costs = self.mean_estimated_cost = 0.0
        self.latency_total = class_settings.latency_objective * prior_answers
        # The prior of the work is high, so that engines in slow start get few requests of unknown classes.
        self.work_total = class_settings.latency_objective * class_settings.threads * prior_answers
        self.uncontended_work_total = self.work_total
        self.prior = (0.0, self.latency_total, self.work_total, self.uncontended_work_total)
        self.baseline_inflation = 1.0
        self.seconds_per_cost_unit = 0.0
        self.last_answer_at = -math.inf
        self.memory_requirement = 0.0

    def apply_first_estimate(self, cost: float, prior_cost: float, is_from_client: bool) -> None:
        """Scale the prior to the first estimated cost; a client's estimate is also the prior of the work."""
        self.mean_estimated_cost = cost
        self.estimated_costs = prior_cost
        if is_from_client:
            self.work_total = prior_cost
        self.uncontended_work_total = self.work_total
        self.prior = (self.estimated_costs, self.latency_total, self.work_total, self.uncontended_work_total)

    def add(self, decay: float, cost: float, elapsed: float, work: float, uncontended_work: float) -> None:
        """Add a response; `decay` is the factor on the weight of all earlier ones."""
        self.estimated_costs = self.estimated_costs * decay + cost
        self.latency_total = self.latency_total * decay + elapsed
        self.work_total = self.work_total * decay + work
        self.uncontended_work_total = self.uncontended_work_total * decay + uncontended_work
