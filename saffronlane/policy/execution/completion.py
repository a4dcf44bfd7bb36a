"""Completion of requests: one final answer for each, with the delay after which its client may retry."""

import math

from ... import interface as api
from ...state import Attempt, EngineRegistry, PendingRequests, Request, StepContext
from ..estimation.workload_estimates import WorkloadEstimates
from ..scheduling.retry_policy import RetryPolicy

DEADLINE_EXEC_TIMES = 10.0  # ExecTimes from arrival to deadline, as in the paper
EXPIRY_MARGIN = 0.03  # seconds before the client's timeout at which the final answer is sent
TIMER_TOLERANCE = 1e-6  # seconds by which a timer may fire early


class RequestCompletion:
    """Owns the pending requests and gives each its final answer."""

    def __init__(
        self,
        step_context: StepContext,
        engine_registry: EngineRegistry,
        workload_estimates: WorkloadEstimates,
    ) -> None:
        self.step_context = step_context
        self.engine_registry = engine_registry
        self.workload_estimates = workload_estimates
        self.retry_policy = RetryPolicy(step_context)
        self.pending = PendingRequests()
        # The sum over the queue is computed at most once per step, since a step may reject many requests.
        self.queued_thread_seconds: float | None = None

    def begin_step(self) -> None:
        """Discard the values that are cached for one step."""
        self.queued_thread_seconds = None

    def deadline(self, request: Request) -> float:
        """Return the deadline of a request that is queued now."""
        exec_time = self.workload_estimates.exec_time(request)
        return self.step_context.now + DEADLINE_EXEC_TIMES * exec_time

    def add_pending(self, request: Request) -> None:
        """Queue a new request and set a timer for its expiry."""
        request.deadline = self.deadline(request)
        self.pending.add(request)
        request.expiry_timer = self.step_context.schedule(request.expires_at - EXPIRY_MARGIN, request)

    def requeue(self, request: Request) -> None:
        """Queue a request again, for a retry."""
        request.deadline = max(request.deadline, self.deadline(request))
        self.pending.queued.add(request)

    def finish(self, request: Request, needs_answer: bool = True) -> None:
        """End a request immediately and cancel its attempts.

        Args:
            request: The request; the call has no effect if it has already ended.
            needs_answer: Whether the client still needs the final answer.
        """
        if request.is_ended:
            return
        request.is_ended = True
        self.step_context.cancel_timer(request.expiry_timer)
        self.pending.requests.pop(request.id, None)
        self.dequeue(request)
        if needs_answer:
            self.step_context.emit(self._final_answer(request))
        for attempt in request.attempts:
            if attempt.outcome is None:
                self.cancel(attempt)
        self.release_ended(request)

    def release_ended(self, request: Request) -> None:
        """Release what is kept for an ended request, once it has no attempt in flight."""
        self.pending.ordering.release(request)
        if not request.in_flight_count:
            # Attempts refer to their request. The cycle would be kept until the next full garbage collection.
            request.attempts = []

    def _final_answer(self, request: Request) -> api.Reject | api.Fail:
        """Return a rejection if the client can retry safely, otherwise a failure."""
        max_retry_after = self.retry_policy.max_retry_after(request)
        if max_retry_after is None:
            return api.Fail(request.id)
        return api.Reject(request.id, min(max_retry_after, self.retry_after(request)))

    def dequeue(self, request: Request) -> None:
        """Remove a request from the queue."""
        if self.pending.queued.remove(request) and self.queued_thread_seconds is not None:
            self.queued_thread_seconds -= self._thread_seconds(request)

    def retry_after(self, request: Request) -> float:
        """Return the seconds until the queue has drained: at least ExecTime, up to what clients respect."""
        if self.queued_thread_seconds is None:
            self.queued_thread_seconds = sum(map(self._thread_seconds, self.pending.queued))
        cores = self.engine_registry.ready_cores
        drain_time = math.inf
        if cores:
            gateway_count = self.step_context.settings.gateway_count
            drain_time = max(0.0, self.queued_thread_seconds) * gateway_count / cores
        limits = self.step_context.limits
        max_retry_after = limits.max_retry_after if limits.sends_retry_after else 0.0
        return min(max_retry_after, max(drain_time, self.workload_estimates.exec_time(request)))

    def _thread_seconds(self, request: Request) -> float:
        """Return the thread seconds for which the request will occupy engines."""
        return self.workload_estimates.exec_time(request) * request.class_settings.threads

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt if that is possible and its result is not being sent to the client."""
        if not self.step_context.limits.can_cancel:
            return
        if not attempt.is_cancelled and not attempt.request.is_streaming:
            attempt.is_cancelled = True
            self.step_context.emit(api.Cancel(attempt.request.id, attempt.index))
