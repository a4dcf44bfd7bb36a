"""Estimates of run time, work and memory for the requests of one class."""

from ... import interface as api
from ...state import ClassStatistics, Request, clamp

PRIOR_ANSWERS = 4.0  # weight of the configured values, in responses; limits the effect of a single response
DECAY = 0.97  # factor per response on the weight of earlier ones
MAX_BASELINE_GROWTH = 0.002  # highest weight of a response above the baseline; low, to exclude congestion
BASELINE_GROWTH_RATE = 0.01  # the same per second since the last response; lower if responses are frequent
BASELINE_DECREASE = 0.1  # weight of a response that lowers the baseline
MIN_INFLATION = 0.05  # lowest measured ratio of thread time to work
MAX_INFLATION = 1000.0  # highest measured ratio of thread time to work
MAX_EXEC_TIME_RATIO = 3.0  # highest ratio of ExecTime to the uncontended run time
MIN_EXEC_TIME = 1e-3  # seconds
INITIAL_MEMORY_RATIO = 1.25  # ratio of memory required to memory estimated, before the first response
MEMORY_RATIO_INCREASE = 0.15  # weight of a response that raises the memory ratio; spilling is expensive
MEMORY_RATIO_DECREASE = 0.02  # weight of a response that lowers the memory ratio


class RunTimeEstimator(ClassStatistics):
    """Estimates for one class; a request without a client's estimate has a cost of 1."""

    def __init__(self, class_settings: api.ClassSettings) -> None:
        super().__init__(class_settings, PRIOR_ANSWERS)

    def record_estimate(self, cost: float, is_estimate_given: bool) -> None:
        """Record the cost of a request that arrives.

        Args:
            cost: The estimated cost; 1 if the client gave none.
            is_estimate_given: Whether the cost is the client's estimate.
        """
        if not self.estimated_costs:
            self.apply_first_estimate(cost, cost * PRIOR_ANSWERS, is_estimate_given)
        self.mean_estimated_cost += (cost - self.mean_estimated_cost) * (1.0 - DECAY)
        self.update_cost_rate()

    def record_completion(
        self,
        now: float,
        request: Request,
        elapsed: float,
        work: float,
        memory_mb: float,
        threads_per_core: float,
    ) -> float:
        """Update the estimates from a successful attempt.

        Args:
            now: Time of the response in seconds.
            request: The completed request.
            elapsed: Seconds that the attempt took.
            work: Reported thread seconds of work; 0 if not reported.
            memory_mb: Reported memory; 0 if not reported.
            threads_per_core: Load that the engine reported; 0 if not reported.

        Returns:
            The latency inflation: the ratio of the latency to the expected latency without contention.
        """
        self.answer_count += 1
        growth = min(MAX_BASELINE_GROWTH, BASELINE_GROWTH_RATE * (now - self.last_answer_at))
        self.last_answer_at = now
        uncontended_time = self.uncontended_time(request.estimated_cost)
        thread_time = elapsed * self.class_settings.threads
        uncontended_work = work or thread_time / max(1.0, threads_per_core)
        self.add(DECAY, request.estimated_cost, elapsed, work or thread_time, uncontended_work)
        if memory_mb > 0.0:
            self._update_memory_requirement(memory_mb, request.estimated_memory_mb)
        inflation = 1.0
        if work > 0.0:
            inflation = self._inflation_over_baseline(thread_time / work, growth)
        elif self.answer_count > PRIOR_ANSWERS and not threads_per_core:
            inflation = elapsed / uncontended_time
        self.update_cost_rate()
        return inflation

    def _update_memory_requirement(self, memory_mb: float, estimated_memory_mb: float) -> None:
        """Move the memory requirement, a high quantile, towards the memory that one request used."""
        ratio = memory_mb / (estimated_memory_mb or 1.0)
        if not self.memory_requirement:
            self.memory_requirement = max(ratio, INITIAL_MEMORY_RATIO if estimated_memory_mb else 0.0)
        is_increase = ratio > self.memory_requirement
        weight = MEMORY_RATIO_INCREASE if is_increase else MEMORY_RATIO_DECREASE
        self.memory_requirement += weight * (ratio - self.memory_requirement)

    def _inflation_over_baseline(self, thread_time_per_work: float, growth: float) -> float:
        """Move the baseline, a low quantile, towards a measurement; return measurement over baseline."""
        inflation = clamp(thread_time_per_work, MIN_INFLATION, MAX_INFLATION)
        weight = BASELINE_DECREASE if inflation < self.baseline_inflation else growth
        bounded_inflation = min(inflation, self.baseline_inflation * 2.0)
        self.baseline_inflation += weight * (bounded_inflation - self.baseline_inflation)
        return inflation / self.baseline_inflation

    def record_interruption(self, request: Request, elapsed: float) -> None:
        """Update the work from an attempt that was ended early and would have taken longer.

        Without such attempts the mean work would be too low. The limit on the load of an engine in slow start
        relies on this mean.
        """
        if self.estimated_costs:
            thread_time = elapsed * self.class_settings.threads
            self.work_total += max(0.0, thread_time - self.work(request.estimated_cost))

    def work(self, cost: float = 0.0) -> float:
        """Return the work of a request with this cost in thread seconds; a cost of 0 stands for the mean."""
        if not self.estimated_costs:
            return self.work_total / PRIOR_ANSWERS
        return (cost or self.mean_estimated_cost) * self.work_total / self.estimated_costs

    def uncontended_time(self, cost: float) -> float:
        """Return the seconds that a request with this cost takes without contention."""
        baseline_time = self.work(cost) / self.class_settings.threads * self.baseline_inflation
        return max(MIN_EXEC_TIME, baseline_time * self.uncontended_work_total / self.work_total)

    def update_cost_rate(self) -> None:
        """Update the seconds per unit of cost, bounded by `MAX_EXEC_TIME_RATIO`."""
        latency_total = self.latency_total
        if self.answer_count >= PRIOR_ANSWERS:
            max_work = MAX_EXEC_TIME_RATIO * self.uncontended_work_total
            max_latency_total = max_work * self.baseline_inflation / self.class_settings.threads
            latency_total = min(latency_total, max_latency_total)
        self.seconds_per_cost_unit = latency_total / self.estimated_costs if self.estimated_costs else 0.0

    def exec_time(self, cost: float = 0.0) -> float:
        """Return ExecTime in seconds, the cost times the learned rate; a cost of 0 stands for the mean."""
        exec_time = self.class_settings.latency_objective
        if self.seconds_per_cost_unit:
            exec_time = (cost or self.mean_estimated_cost) * self.seconds_per_cost_unit
        return max(MIN_EXEC_TIME, exec_time)
