"""Whether a request may go out again: rules 2 and 7."""

from ...interface import Idempotency
from ...state import Request, RetryBudgetWindow, StepContext

MIN_TTL_MARGIN = 0.25  # least seconds before a key's time ends: what leaves must arrive


class RetryPolicy:
    def __init__(self, batch: StepContext) -> None:
        self.step_context, self.guarantees, self.budget = batch, batch.guarantees, RetryBudgetWindow()
        self.slack = (
            batch.settings.min_step_interval + batch.limits.connect_timeout
        )  # until what is sent has left

    def has_retry_budget(self, job: Request) -> bool:
        """Rule 7: a sliding window over served requests and further attempts, checked at each of the latter.

        Only what was served widens it: all else may be no usual client's. What is free may be used already.
        """
        rules, ration, now = self.guarantees, self.budget, self.step_context.now
        if len(job.attempts) <= job.previous_attempt_count or rules.retry_budget_base is None:
            return True
        taken = ration.served_arrivals.count_since(now - rules.retry_budget_window + self.slack)
        extras = ration.retries.count_since(now - rules.retry_budget_window - self.slack)
        free = (
            rules.retry_budget_base
            if now >= self.step_context.started_at + rules.retry_budget_window + self.slack
            else 0.0
        )
        return extras + 1 <= free + rules.retry_budget_ratio * taken

    def is_retry_safe(self, job: Request) -> bool:
        """Rule 2: whether the request may go out again, as far as its earlier attempts are concerned."""
        first, arrives = (
            job.first_possible_execution(),
            self.step_context.now + max(MIN_TTL_MARGIN, self.slack),
        )  # once connected
        if first is None or job.class_settings.idempotency is Idempotency.SAFE:
            return True
        return (
            job.class_settings.idempotency is Idempotency.KEYED
            and arrives <= first.sent_at + job.class_settings.idempotency_ttl
        )

    def is_exhausted(self, job: Request) -> bool:
        return len(job.attempts) - job.previous_attempt_count >= max(
            1, self.step_context.limits.max_attempts
        ) or not self.is_retry_safe(job)

    def can_retry(self, job: Request) -> bool:
        return not (job.is_ended or job.is_streaming or self.is_exhausted(job)) and self.has_retry_budget(job)
