"""An attempt leaves for an engine, comes to its outcome, and what follows for its request."""

from ... import interface as api
from ...interface import Outcome
from ...state import Attempt, Engine, Request, clamp
from ..gossip.load_gossip import LoadGossip
from ..routing.engine_selection import RECENT_WORK_HORIZON, EngineSelector
from ..scheduling.concurrency_limit import CONGESTED_INFLATION
from .completion import EXPIRY_MARGIN, RequestCompletion

UNRESPONSIVE_REPORT_PERIODS = (
    1.1  # note periods without a word, and up to one more of calm run, until an attempt is lost
)
UNRESPONSIVE_EXEC_TIMES, MIN_UNRESPONSIVE_TIMEOUT = (
    5.0,
    0.5,
)  # without notes: this x its ExecTime, and at least this many seconds


class AttemptManager:
    def __init__(self, answers: RequestCompletion, placement: EngineSelector, telling: LoadGossip) -> None:
        self.step_context, self.in_flight, self.workload_estimates = (
            answers.step_context,
            placement.in_flight,
            answers.workload_estimates,
        )
        self.completion, self.engine_selector, self.load_gossip = answers, placement, telling
        self.outlier_detector = placement.eligibility.outlier_detector

    def start(self, job: Request, engine: Engine) -> None:
        batch, now, settings = self.step_context, self.step_context.now, self.step_context.settings
        grant, priority = self.workload_estimates.resource_grant(job)
        if settings.memory_grants_enabled or settings.priorities_enabled:
            batch.emit(
                api.SetResourceGrant(job.id, grant if settings.memory_grants_enabled else 0.0, priority)
            )
        threads = min(job.class_settings.threads, engine.cores)
        attempt = Attempt(
            job,
            len(job.attempts) - job.previous_attempt_count,
            engine,
            now,
            threads,
            grant,
            last_progress_at=now,
        )
        if attempt.index:
            self.completion.retry_policy.budget.retries.append(now)
        self.outlier_detector.record_dispatch(engine)
        self.completion.dequeue(job)
        self.in_flight.add(
            attempt,
            self.workload_estimates.work(job),
            RECENT_WORK_HORIZON,
            batch.guarantees.slow_start_duration,
        )
        batch.schedule(now + self.progress_timeout(job), attempt)
        batch.emit(api.Dispatch(job.id, engine.id, max(1e-3, job.expires_at - EXPIRY_MARGIN - now)))
        self.load_gossip.on_attempt_started(attempt)

    def progress_timeout(self, job: Request) -> float:
        if period := self.step_context.settings.progress_interval:
            return UNRESPONSIVE_REPORT_PERIODS * period + min(
                period,
                self.workload_estimates.estimators[job.class_index].uncontended_time(job.estimated_cost),
            )
        copies = self.step_context.limits.hedged_requests
        return max(
            MIN_UNRESPONSIVE_TIMEOUT, UNRESPONSIVE_EXEC_TIMES * self.workload_estimates.exec_time(job)
        ) * (1.0 if copies else 2.0)

    def on_ended(self, event: api.AttemptEnded) -> None:
        outcome, answers = event.outcome, self.completion
        attempt = self.in_flight.complete(event.request, event.attempt, outcome)
        if attempt is None:
            return
        job, engine = attempt.request, attempt.engine
        self.load_gossip.on_attempt_ended(attempt)
        if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            answers.pending.ordering.start_cooldown(
                job, self.step_context.now + self.step_context.guarantees.ordering_cooldown
            )
        if outcome is Outcome.NOT_SENT and attempt.index:
            answers.retry_policy.budget.forget_unsent(attempt.sent_at)
        self.outlier_detector.record_outcome(attempt, outcome)
        self.outlier_detector.attribute_errors(attempt, last=answers.retry_policy.is_exhausted(job))
        self.record_measurements(attempt, event)
        if outcome in (Outcome.REJECTED, Outcome.TIMEOUT):
            self.engine_selector.concurrency_limit.record_latency_inflation(CONGESTED_INFLATION * 2.0)
            if outcome is Outcome.REJECTED:
                self.load_gossip.report_rejection(engine)
            engine.last_rejection_at = self.step_context.now
        if job.is_ended:
            answers.pending.ordering.release(job)
        elif event.is_final or outcome is Outcome.OK:
            if outcome is Outcome.OK:
                answers.retry_policy.budget.record_served(
                    job.arrived_at, self.step_context.now - self.step_context.guarantees.retry_budget_window
                )
            answers.finish(job, answer=False)
        elif not job.in_flight_count:
            self.requeue_or_finish(attempt)

    def record_measurements(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        job, placement = attempt.request, self.engine_selector
        threads, known = (
            placement.load_reports.record(attempt.engine, event.load_report),
            self.workload_estimates.estimators[job.class_index],
        )
        if event.outcome is Outcome.OK:
            elapsed, work = clamp(event.elapsed, 1e-4, 1e4), clamp(event.work)
            crowd = known.record_completion(
                self.step_context.now, job, elapsed, work, clamp(event.memory_mb), threads
            )
            placement.concurrency_limit.record_response(
                attempt.engine, crowd, 0.0 if event.work > 0.0 else threads
            )
        elif not self.step_context.settings.reports_work and event.outcome in (
            Outcome.CANCELLED,
            Outcome.TIMEOUT,
        ):
            known.record_interruption(job, clamp(event.elapsed))

    def requeue_or_finish(self, attempt: Attempt) -> None:
        """A request whose attempts have all failed is held for another, or answered."""
        job, answers = attempt.request, self.completion
        if attempt.outcome is not Outcome.CANCELLED and attempt.engine.id not in job.failed_engines:
            job.failed_engines.append(attempt.engine.id)
        if answers.retry_policy.is_exhausted(job) or job.is_streaming:
            answers.finish(job)
        else:
            job.deadline = max(job.deadline, answers.deadline(job))
            answers.pending.queued[job.id] = job
