"""Retry budget: limits retries in a sliding window to a base number plus a ratio of served requests."""

import math

from ...state import Request, RetryBudgetWindow, StepContext


def dispatch_delay(step_context: StepContext) -> float:
    """Return the longest time in seconds from the dispatch of a retry until it is sent to the engine.

    Retries that are not sent within this time are withdrawn (`RetryPolicy.send_timeout`).
    """
    return step_context.settings.min_step_interval + step_context.limits.connect_timeout


class RetryBudget:
    """Limits the retries in a window to a base number plus a ratio of the requests served in it."""

    def __init__(self, step_context: StepContext) -> None:
        self.step_context = step_context
        self.guarantees = step_context.guarantees
        self.dispatch_delay = dispatch_delay(step_context)
        self.window = RetryBudgetWindow()

    def allows(self, request: Request) -> bool:
        """Return whether the budget allows the request's next attempt; the first is always allowed."""
        base = self.guarantees.retry_budget_base
        if base is None or not self._is_retry(request):
            return True
        window_start = self.step_context.now - self.guarantees.retry_budget_window
        # Only served requests increase the budget, since others may not come from regular clients.
        served_count = self.window.served_arrivals.count_since(window_start + self.dispatch_delay)
        retry_count = self.window.retries.count_since(window_start - self.dispatch_delay)
        available_base = base if self._is_window_complete() else 0.0
        return retry_count + 1 <= available_base + self.guarantees.retry_budget_ratio * served_count

    def send_timeout(self, request: Request) -> float:
        """Return the seconds within which the next attempt must be sent to be counted in its window."""
        is_limited = self.guarantees.retry_budget_base is not None
        return self.dispatch_delay if is_limited and self._is_retry(request) else math.inf

    @staticmethod
    def _is_retry(request: Request) -> bool:
        """Return whether the request's next attempt is not its first."""
        return len(request.attempts) > request.previous_attempt_count

    def _is_window_complete(self) -> bool:
        """Return whether the gateway has run for a window; an earlier run may have used the base."""
        first_window_end = self.step_context.started_at + self.guarantees.retry_budget_window
        return self.step_context.now >= first_window_end + self.dispatch_delay
