"""Whether a request may have another attempt: the attempt limit, rule 2 and rule 7 together."""

from ...state import Request, RetryBudgetWindow, StepContext
from .retry_budget import RetryBudget
from .retry_safety import RetrySafety


class RetryPolicy:
    """Combines the limit of attempts with retry safety and the retry budget."""

    def __init__(self, step_context: StepContext) -> None:
        self.max_attempts = max(1, step_context.limits.max_attempts)
        self.retry_budget = RetryBudget(step_context)
        self.retry_safety = RetrySafety(step_context)

    @property
    def budget(self) -> RetryBudgetWindow:
        """The served requests and retries that the retry budget counts."""
        return self.retry_budget.window

    def has_retry_budget(self, request: Request) -> bool:
        """Return whether rule 7 allows the request's next attempt."""
        return self.retry_budget.allows(request)

    def is_retry_safe(self, request: Request) -> bool:
        """Return whether rule 2 allows the request's next attempt."""
        return self.retry_safety.is_retry_safe(request)

    def is_exhausted(self, request: Request) -> bool:
        """Return whether the request can have no further attempt, now or later."""
        attempt_count = len(request.attempts) - request.previous_attempt_count
        return attempt_count >= self.max_attempts or not self.is_retry_safe(request)

    def can_retry(self, request: Request) -> bool:
        """Return whether the request may be dispatched now."""
        if request.is_ended or request.is_streaming or self.is_exhausted(request):
            return False
        return self.has_retry_budget(request)
