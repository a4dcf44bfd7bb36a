"""Supervision of attempts that are unresponsive, wait on the engine, or make far too little progress."""

from ... import interface as api
from ...interface import Idempotency, ProgressKind
from ...state import Attempt, Engine, clamp
from ..scheduling.concurrency_limit import CONGESTED_INFLATION
from .attempts import AttemptManager
from .completion import TIMER_TOLERANCE

MAX_REMAINING_EXEC_TIMES = 4.0  # ExecTimes that the remaining run may take before a new attempt is better
MAX_REMAINING_TIME_RATIO = 1.5  # ratio of remaining run time to time left above which a request is ended
MAX_CONCURRENT_ATTEMPTS = 2  # attempts of one request in flight at the same time
MIN_PROGRESS = 1e-3  # lower bound of the reported progress, to avoid a division by zero


class HedgingAndRetry:
    """Cancels or hedges an attempt if another engine will probably complete the request earlier."""

    def __init__(self, attempt_manager: AttemptManager) -> None:
        self.attempt_manager = attempt_manager
        self.step_context = attempt_manager.step_context
        self.completion = attempt_manager.completion
        self.retry_policy = attempt_manager.retry_policy
        self.workload_estimates = attempt_manager.workload_estimates
        self.outlier_detector = attempt_manager.outlier_detector
        self.concurrency_limit = attempt_manager.concurrency_limit
        self.eligibility = attempt_manager.engine_selector.eligibility

    def check_timeout(self, attempt: Attempt) -> None:
        """Retry or hedge an attempt that made no progress within its timeout; otherwise set the timer again.

        The cause may be a lost response, a hanging engine, a broken network link or an undetected restart.
        """
        request = attempt.request
        now = self.step_context.now
        if attempt.outcome is not None or not self._is_supervised(attempt):
            return
        due_at = attempt.last_progress_at + self.attempt_manager.progress_timeout(request)
        if due_at > now + TIMER_TOLERANCE:
            attempt.progress_timer = self.step_context.schedule(due_at, attempt)
            return
        attempt.engine.last_rejection_at = now
        self._record_unresponsive(attempt)
        exec_time = self.workload_estimates.exec_time(request)
        if self.retry_policy.can_retry(request) and now + exec_time <= request.expires_at:
            self._retry_or_hedge(attempt)

    def _is_supervised(self, attempt: Attempt) -> bool:
        """Return whether the attempt can still be retried or hedged."""
        request = attempt.request
        return not (attempt.is_cancelled or request.is_ended or request.is_streaming)

    def _record_unresponsive(self, attempt: Attempt) -> None:
        """Count the missing progress as a failure if the engine has sent no response since the dispatch."""
        engine = attempt.engine
        if self.step_context.settings.progress_interval <= 0.0 or engine.is_ejected:
            return
        has_responded = engine.last_response_at >= attempt.sent_at
        if not has_responded and self.outlier_detector.record_unresponsive(engine):
            self._cancel_without_progress(engine)

    def _cancel_without_progress(self, engine: Engine) -> None:
        """Cancel the attempts without progress on an ejected engine whose requests may be retried."""
        for attempt in engine.in_flight.values():
            has_progress = attempt.last_progress_at > attempt.sent_at
            if not has_progress and self.retry_policy.can_retry(attempt.request):
                self.completion.cancel(attempt)

    def _retry_or_hedge(self, attempt: Attempt) -> None:
        """Cancel an overdue attempt for a retry, or queue its request for a hedged attempt.

        Without progress reports a long run time does not indicate a fault, so the first attempt continues.
        """
        request = attempt.request
        settings = self.step_context.settings
        if settings.progress_interval > 0.0 or not settings.limits.hedged_requests_enabled:
            self.completion.cancel(attempt)
            return
        is_congested = self.concurrency_limit.latency_inflation >= CONGESTED_INFLATION
        if not is_congested and request.in_flight_count < MAX_CONCURRENT_ATTEMPTS:
            self.completion.pending.queued.add(request)

    def on_progress(self, event: api.ProgressReport) -> None:
        """Process a progress report of a running attempt."""
        attempt = self.attempt_manager.in_flight.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        attempt.last_progress_at = attempt.engine.last_response_at = self.step_context.now
        if event.kind is ProgressKind.PROGRESS:
            self.check_progress(attempt, clamp(event.amount, 0.0, 1.0))
        elif event.kind is ProgressKind.WAITING and event.amount >= 1.0:
            self.retry_waiting(attempt)

    def retry_waiting(self, attempt: Attempt) -> None:
        """Cancel an attempt that waits for memory or a bulk load, if another engine is eligible.

        A request is withdrawn from each engine at most once, since it loses its position in the engine's
        queue.
        """
        request = attempt.request
        engine = attempt.engine
        engine.last_rejection_at = self.step_context.now
        if attempt.is_cancelled or not self.retry_policy.can_retry(request):
            return
        request.failed_engines.append(engine.id)
        if next(self.eligibility.eligible_engines(request, strict=True), None) is not None:
            self.completion.cancel(attempt)

    def check_progress(self, attempt: Attempt, progress: float) -> None:
        """Cancel an attempt whose remaining run would take far longer than a new attempt.

        If a second attempt is as slow, the request itself is long. It is then ended if it can't complete in
        time or if other requests wait for an engine.

        Args:
            attempt: The running attempt.
            progress: The completed part, from 0 to 1.
        """
        request = attempt.request
        now = self.step_context.now
        remaining_time = (now - attempt.sent_at) * (1.0 - progress) / max(progress, MIN_PROGRESS)
        exec_time = self.workload_estimates.exec_time(request)
        if not self._is_supervised(attempt) or remaining_time <= MAX_REMAINING_EXEC_TIMES * exec_time:
            return
        can_restart = not request.was_restarted and self.retry_policy.can_retry(request)
        if can_restart and now + exec_time < request.expires_at:
            request.was_restarted = True
            self.completion.cancel(attempt)
            return
        is_too_late = remaining_time > MAX_REMAINING_TIME_RATIO * (request.expires_at - now)
        is_safe = request.class_settings.idempotency is Idempotency.SAFE
        if is_safe and (self.concurrency_limit.is_blocked or is_too_late):
            self.completion.finish(request)
