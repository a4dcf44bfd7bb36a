"""One final answer for each request, and when its client may come back."""

import math

from ... import interface as api
from ...interface import DeduplicationScope, Idempotency
from ...state import Attempt, EngineRegistry, PendingRequests, Request, StepContext
from ..estimation.workload_estimates import WorkloadEstimates
from ..scheduling.retry_budget import RetryPolicy

DEADLINE_EXEC_TIMES = 10.0  # deadline = arrival + this x ExecTime; the paper's value
EXPIRY_MARGIN = 0.03  # seconds before a client's time ends: what leaves must arrive


class RequestCompletion:
    def __init__(self, batch: StepContext, fleet: EngineRegistry, classes: WorkloadEstimates) -> None:
        self.step_context, self.engine_registry, self.workload_estimates = batch, fleet, classes
        self.retry_policy, self.pending = RetryPolicy(batch), PendingRequests()
        self.queued_thread_seconds: float | None = (
            None  # thread seconds held, summed once a batch: refusals are many
        )

    def deadline(self, job: Request) -> float:
        return self.step_context.now + DEADLINE_EXEC_TIMES * self.workload_estimates.exec_time(job)

    def add_pending(self, job: Request) -> None:
        job.deadline = self.deadline(job)
        self.pending.add(job)
        self.step_context.schedule(job.expires_at - EXPIRY_MARGIN, job)

    def finish(self, job: Request, answer: bool = True) -> None:
        """End a request at once: refused where the rules let the client try again, failed otherwise."""
        if job.is_ended:
            return
        job.is_ended = True
        self.pending.requests.pop(job.id, None)
        self.dequeue(job)
        if answer:
            alone = (
                job.class_settings.idempotency is not Idempotency.SAFE
                and job.class_settings.deduplication_scope is not DeduplicationScope.ALL
            )
            refused = self.retry_policy.is_retry_safe(job) and not (alone and job.first_possible_execution())
            self.step_context.emit(api.Reject(job.id, self.retry_after(job)) if refused else api.Fail(job.id))
        for attempt in job.attempts:
            if attempt.outcome is None:
                self.cancel(attempt)
        self.pending.ordering.release(job)

    def dequeue(self, job: Request) -> None:
        if self.pending.queued.pop(job.id, None) and self.queued_thread_seconds is not None:
            self.queued_thread_seconds -= self.workload_estimates.exec_time(job) * job.class_settings.threads

    def retry_after(self, job: Request) -> float:
        """The time in which the work held here would drain, within what clients honour; 0 where none do."""
        exec_time, limits, cores = (
            self.workload_estimates.exec_time,
            self.step_context.limits,
            self.engine_registry.ready_cores,
        )
        if self.queued_thread_seconds is None:
            self.queued_thread_seconds = sum(
                exec_time(j) * j.class_settings.threads for j in self.pending.queued.values()
            )
        wait = (
            max(0.0, self.queued_thread_seconds) * self.step_context.settings.gateway_count / cores
            if cores
            else math.inf
        )
        return min(limits.max_retry_after if limits.sends_retry_after else 0.0, max(wait, exec_time(job)))

    def cancel(self, attempt: Attempt) -> None:
        if (
            self.step_context.limits.can_cancel
            and not attempt.is_cancelled
            and not attempt.request.is_streaming
        ):
            attempt.is_cancelled = True
            self.step_context.emit(api.Cancel(attempt.request.id, attempt.index))
