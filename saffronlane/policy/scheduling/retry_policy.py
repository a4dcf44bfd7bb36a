"""Retry policy: combines the limit of attempts, the safety of a retry and the retry budget."""

from ...state import Request, RetryBudgetWindow, StepContext
from .retry_budget import RetryBudget
from .retry_safety import RetrySafety


class RetryPolicy:
    """Decides whether a request may have another attempt."""

    def __init__(self, step_context: StepContext) -> None:
        self.max_attempts = max(1, step_context.limits.max_attempts)
        self.retry_budget = RetryBudget(step_context)
        self.retry_safety = RetrySafety(step_context)

    @property
    def budget(self) -> RetryBudgetWindow:
        """Served requests and retries within the window of the retry budget."""
        return self.retry_budget.window

    def has_retry_budget(self, request: Request) -> bool:
        """Return whether the retry budget allows the request's next attempt."""
        return self.retry_budget.allows(request)

    def is_retry_safe(self, request: Request) -> bool:
        """Return whether the idempotency of the request's class allows its next attempt."""
        return self.retry_safety.is_retry_safe(request)

    def max_retry_after(self, request: Request) -> float | None:
        """Return the longest delay that a rejection may ask for, or None if a rejection is not safe."""
        return self.retry_safety.max_retry_after(request)

    def send_timeout(self, request: Request) -> float:
        """Return the seconds for which the decision to start the request's next attempt holds.

        An attempt may wait for its connection, or for an engine that does not read. Sent later than this, it
        could exceed the retry budget, or reach an engine that no longer knows the idempotency key.
        """
        return min(self.retry_budget.send_timeout(request), self.retry_safety.send_timeout(request))

    def arrival_timeout(self, request: Request) -> float:
        """Return the seconds within which the whole of the request's next attempt has to arrive."""
        return self.retry_safety.arrival_timeout(request)

    def is_exhausted(self, request: Request) -> bool:
        """Return whether the request can have no further attempt, now or later."""
        attempt_count = len(request.attempts) - request.previous_attempt_count
        return attempt_count >= self.max_attempts or not self.is_retry_safe(request)

    def can_retry(self, request: Request) -> bool:
        """Return whether the request may have another attempt now; this includes the first attempt."""
        if request.is_ended or request.is_streaming or self.is_exhausted(request):
            return False
        return self.has_retry_budget(request)
