"""Slow start: limits the work that all gateways together send to an engine while it warms up."""

from ...state import Engine, Request, StepContext
from ..estimation.workload_estimates import WorkloadEstimates

UTILIZATION_LIMIT = 0.85  # ratio of busy cores at which an engine works at full capacity
BUDGET_MARGIN = 0.85  # part of the budget that is used, since the work is only estimated
TURN_MARGIN = 0.42  # the same for requests sent in turns, since two turns may fall into one window
MAX_REQUEST_RATIO = 0.33  # highest part of a window's limit for one request; all turns and one more must fit


class SlowStartBudget:
    """This gateway's part of the work that an engine in slow start may get within a window.

    The budget grows as the engine warms up. Dispatched work counts whatever its outcome is. Times are in
    seconds, work is in thread seconds.
    """

    def __init__(
        self, step_context: StepContext, workload_estimates: WorkloadEstimates, engine: Engine
    ) -> None:
        self.step_context = step_context
        self.workload_estimates = workload_estimates
        self.engine = engine
        self.guarantees = step_context.guarantees
        self.gateway_count = step_context.settings.gateway_count
        self.window = step_context.guarantees.slow_start_overload_window
        self.warmup_started_at = engine.warmup_started_at(step_context.now)
        self.load_limit = UTILIZATION_LIMIT * step_context.guarantees.slow_start_overload_factor
        # A small request counts as the mean request. The factors cancel the margins of the budget, which
        # a sum over many requests doesn't need.
        self.min_work = BUDGET_MARGIN * UTILIZATION_LIMIT * workload_estimates.mean_query().work
        cores = engine.effective_cores(step_context.now - self.window, step_context.guarantees)
        self.window_core_seconds = cores * self.window

    def has_capacity(self, request: Request) -> bool:
        """Return whether the engine may get the request now."""
        if self._has_unknown_dispatches():
            return False
        work = max(self.workload_estimates.work(request), self.min_work)
        budget = BUDGET_MARGIN * self.load_limit * self.window_core_seconds / self.gateway_count
        if work <= budget:
            return work + self._recent_work() <= budget
        return self._has_turn(work)

    def _has_unknown_dispatches(self) -> bool:
        """Return whether the gateway may have dispatched work to the engine before its own restart."""
        gateway_started_at = self.step_context.started_at
        is_engine_older = self.warmup_started_at < gateway_started_at
        return is_engine_older and self.step_context.now < gateway_started_at + self.window

    def _recent_work(self) -> float:
        """Return the work that was dispatched to the engine within the window."""
        since = self.step_context.now - self.window - self.step_context.settings.min_step_interval
        recent_works = (work for sent_at, work in self.engine.recent_dispatches if sent_at >= since)
        return sum(max(work, self.min_work) for work in recent_works)

    def _has_turn(self, work: float) -> bool:
        """Return whether it is the gateway's turn to dispatch one request that exceeds its budget.

        The gateways take turns at even distances, measured in core seconds of the engine. A request may be
        dispatched from the start of the gateway's turn for the length of a window.
        """
        if work > MAX_REQUEST_RATIO * self.load_limit * self.window_core_seconds:
            return False
        core_seconds_per_work = self.gateway_count / (TURN_MARGIN * self.load_limit)
        core_seconds = self.engine.warmup_core_seconds(self.step_context.now, self.guarantees)
        if core_seconds < self._next_turn_core_seconds(core_seconds_per_work):
            return False
        gateway_offset = self.step_context.settings.gateway_index / self.gateway_count
        turn = core_seconds / (core_seconds_per_work * work) - self.engine.hash_fraction - gateway_offset
        return turn % 1.0 * core_seconds_per_work * work < self.window_core_seconds

    def _next_turn_core_seconds(self, core_seconds_per_work: float) -> float:
        """Return the core seconds since the engine's start at which another dispatch is allowed."""
        sent_at = self.warmup_started_at
        cooldown = 0.0
        if self.engine.recent_dispatches:
            sent_at, work = self.engine.recent_dispatches[-1]
            if work:
                cooldown = core_seconds_per_work * max(work, self.min_work)
        core_seconds_at_dispatch = self.engine.warmup_core_seconds(sent_at, self.guarantees)
        return core_seconds_at_dispatch + cooldown - self.window_core_seconds


def has_slow_start_capacity(
    step_context: StepContext, workload_estimates: WorkloadEstimates, engine: Engine, request: Request
) -> bool:
    """Return whether the engine may get the request without overload in slow start.

    An engine that has warmed up is not limited here.
    """
    guarantees = step_context.guarantees
    if not guarantees.slow_start_overload_factor:
        return True
    if not engine.is_warming_up(step_context.now, guarantees.slow_start_duration):
        return True
    return SlowStartBudget(step_context, workload_estimates, engine).has_capacity(request)
