"""Attempts that are looked after while they run: silent, waiting, or far behind."""

from ... import interface as api
from ...interface import Idempotency, ProgressKind
from ...state import Attempt, clamp
from ..scheduling.concurrency_limit import CONGESTED_INFLATION
from .attempts import AttemptManager

MAX_REMAINING_EXEC_TIMES = (
    4.0  # cancel when the remainder would take this x a fresh run: far outside the usual scatter
)
MAX_REMAINING_TIME_RATIO = (
    1.5  # progress is rough: give up only if the remainder is this x the time that is left
)


class HedgingAndRetry:
    def __init__(self, attempts: AttemptManager) -> None:
        self.step_context, self.attempt_manager, self.completion = (
            attempts.step_context,
            attempts,
            attempts.completion,
        )
        self.retry_policy, self.concurrency_limit = (
            attempts.completion.retry_policy,
            attempts.engine_selector.concurrency_limit,
        )

    def check_timeout(self, attempt: Attempt) -> None:
        """Try elsewhere what has no word for long: lost answers, hangs, cut links, unseen deaths.

        Without notes a long query is silent too: a second copy leaves the first its chance. Not in a jam.
        """
        job, engine, now, settings = (
            attempt.request,
            attempt.engine,
            self.step_context.now,
            self.step_context.settings,
        )
        if attempt.outcome is not None or attempt.is_cancelled or job.is_ended or job.is_streaming:
            return
        due = attempt.last_progress_at + self.attempt_manager.progress_timeout(job)
        if due > now + 1e-6:
            self.step_context.schedule(due, attempt)
            return
        engine.last_rejection_at, noted = now, settings.progress_interval > 0.0
        unheard = noted and engine.last_response_at < attempt.sent_at and not engine.is_ejected
        if unheard and self.attempt_manager.outlier_detector.record_unresponsive(engine):
            for other in engine.in_flight.values():  # what has had no word there will hardly get one
                if other.last_progress_at <= other.sent_at and self.retry_policy.can_retry(other.request):
                    self.completion.cancel(other)
        if (
            not self.retry_policy.can_retry(job)
            or now + self.completion.workload_estimates.exec_time(job) > job.expires_at
        ):
            return
        if noted or not self.step_context.limits.hedged_requests:
            self.completion.cancel(attempt)
        elif self.concurrency_limit.latency_inflation < CONGESTED_INFLATION and job.in_flight_count < 2:
            self.completion.pending.queued[job.id] = job

    def on_progress(self, event: api.ProgressReport) -> None:
        attempt = self.attempt_manager.in_flight.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        attempt.last_progress_at = attempt.engine.last_response_at = self.step_context.now
        if event.kind is ProgressKind.PROGRESS:
            self.check_progress(attempt, clamp(event.amount, 0.0, 1.0))
        elif event.kind is ProgressKind.WAITING and event.amount >= 1.0:
            self.retry_waiting(attempt)

    def retry_waiting(self, attempt: Attempt) -> None:
        """It waits, for memory or a load: try elsewhere. Harmful if its place is far up: once an engine."""
        job, engine = attempt.request, attempt.engine
        engine.last_rejection_at = self.step_context.now
        if not attempt.is_cancelled and self.retry_policy.can_retry(job):
            job.failed_engines.append(engine.id)
            if (
                next(
                    self.attempt_manager.engine_selector.eligibility.eligible_engines(job, strict=True), None
                )
                is not None
            ):
                self.completion.cancel(attempt)

    def check_progress(self, attempt: Attempt, done: float) -> None:
        """Bad plan, or stuck on a slow engine: a fresh run is expected to end much sooner.

        If a second run is as slow, the query is long: given up when it cannot end in time or others wait.
        """
        job, now = attempt.request, self.step_context.now
        remainder = (now - attempt.sent_at) * (1.0 - done) / max(done, 1e-3)
        fresh = self.completion.workload_estimates.exec_time(job)
        if (
            attempt.is_cancelled
            or job.is_ended
            or job.is_streaming
            or remainder <= MAX_REMAINING_EXEC_TIMES * fresh
        ):
            return
        hopeless = remainder > MAX_REMAINING_TIME_RATIO * (job.expires_at - now)
        if not job.was_restarted and self.retry_policy.can_retry(job) and now + fresh < job.expires_at:
            job.was_restarted = True
            self.completion.cancel(attempt)
        elif job.class_settings.idempotency is Idempotency.SAFE and (
            self.concurrency_limit.is_blocked or hopeless
        ):
            self.completion.finish(job)
