"""Rule 7: the budget of retries over a sliding window."""

from ...state import Request, RetryBudgetWindow, StepContext


def dispatch_delay(step_context: StepContext) -> float:
    """Return the seconds within which a dispatched request has left the gateway."""
    return step_context.settings.min_step_interval + step_context.limits.connect_timeout


class RetryBudget:
    """Limits retries to a base and a ratio of the requests served within the window."""

    def __init__(self, step_context: StepContext) -> None:
        self.step_context = step_context
        self.guarantees = step_context.guarantees
        self.dispatch_delay = dispatch_delay(step_context)
        self.window = RetryBudgetWindow()

    def allows(self, request: Request) -> bool:
        """Return whether the budget allows the request's next attempt; the first one is free."""
        if len(request.attempts) <= request.previous_attempt_count:
            return True
        base = self.guarantees.retry_budget_base
        if base is None:
            return True
        window_start = self.step_context.now - self.guarantees.retry_budget_window
        # Only served requests widen the budget: others may not come from the usual clients.
        served_count = self.window.served_arrivals.count_since(window_start + self.dispatch_delay)
        retry_count = self.window.retries.count_since(window_start - self.dispatch_delay)
        available_base = base if self._is_window_complete() else 0.0
        return retry_count + 1 <= available_base + self.guarantees.retry_budget_ratio * served_count

    def _is_window_complete(self) -> bool:
        """Return whether the gateway has run for a window; before, the base may be in use already."""
        first_window_end = self.step_context.started_at + self.guarantees.retry_budget_window
        return self.step_context.now >= first_window_end + self.dispatch_delay
