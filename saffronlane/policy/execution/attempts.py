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
        self.batch, self.own, self.classes = answers.batch, placement.in_flight, answers.classes
        self.answers, self.placement, self.telling = answers, placement, telling
        self.health = placement.eligibility.health

    def start(self, job: Request, engine: Engine) -> None:
        batch, now, settings = self.batch, self.batch.now, self.batch.settings
        grant, priority = self.classes.resource_grant(job)
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
            self.answers.retry_policy.budget.retries.append(now)
        self.health.record_dispatch(engine)
        self.answers.dequeue(job)
        self.own.add(
            attempt, self.classes.work(job), RECENT_WORK_HORIZON, batch.guarantees.slow_start_duration
        )
        batch.schedule(now + self.progress_timeout(job), attempt)
        batch.emit(api.Dispatch(job.id, engine.id, max(1e-3, job.expires_at - EXPIRY_MARGIN - now)))
        self.telling.on_attempt_started(attempt)

    def progress_timeout(self, job: Request) -> float:
        if period := self.batch.settings.progress_interval:
            return UNRESPONSIVE_REPORT_PERIODS * period + min(
                period, self.classes.estimators[job.class_index].uncontended_time(job.estimated_cost)
            )
        copies = self.batch.limits.hedged_requests
        return max(MIN_UNRESPONSIVE_TIMEOUT, UNRESPONSIVE_EXEC_TIMES * self.classes.exec_time(job)) * (
            1.0 if copies else 2.0
        )

    def on_ended(self, event: api.AttemptEnded) -> None:
        outcome, answers = event.outcome, self.answers
        attempt = self.own.complete(event.request, event.attempt, outcome)
        if attempt is None:
            return
        job, engine = attempt.request, attempt.engine
        self.telling.on_attempt_ended(attempt)
        if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            answers.pending.ordering.start_cooldown(
                job, self.batch.now + self.batch.guarantees.ordering_cooldown
            )
        if outcome is Outcome.NOT_SENT and attempt.index:
            answers.retry_policy.budget.forget_unsent(attempt.sent_at)
        self.health.record_outcome(attempt, outcome)
        self.health.attribute_errors(attempt, last=answers.retry_policy.is_exhausted(job))
        self.record_measurements(attempt, event)
        if outcome in (Outcome.REJECTED, Outcome.TIMEOUT):
            self.placement.concurrency_limit.record_latency_inflation(CONGESTED_INFLATION * 2.0)
            if outcome is Outcome.REJECTED:
                self.telling.report_rejection(engine)
            engine.last_rejection_at = self.batch.now
        if job.is_ended:
            answers.pending.ordering.release(job)
        elif event.is_final or outcome is Outcome.OK:
            if outcome is Outcome.OK:
                answers.retry_policy.budget.record_served(
                    job.arrived_at, self.batch.now - self.batch.guarantees.retry_budget_window
                )
            answers.finish(job, answer=False)
        elif not job.in_flight_count:
            self.requeue_or_finish(attempt)

    def record_measurements(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        job, placement = attempt.request, self.placement
        threads, known = (
            placement.load_reports.record(attempt.engine, event.load_report),
            self.classes.estimators[job.class_index],
        )
        if event.outcome is Outcome.OK:
            elapsed, work = clamp(event.elapsed, 1e-4, 1e4), clamp(event.work)
            crowd = known.record_completion(
                self.batch.now, job, elapsed, work, clamp(event.memory_mb), threads
            )
            placement.concurrency_limit.record_response(
                attempt.engine, crowd, 0.0 if event.work > 0.0 else threads
            )
        elif not self.batch.settings.reports_work and event.outcome in (Outcome.CANCELLED, Outcome.TIMEOUT):
            known.record_interruption(job, clamp(event.elapsed))

    def requeue_or_finish(self, attempt: Attempt) -> None:
        """A request whose attempts have all failed is held for another, or answered."""
        job, answers = attempt.request, self.answers
        if attempt.outcome is not Outcome.CANCELLED and attempt.engine.id not in job.failed_engines:
            job.failed_engines.append(attempt.engine.id)
        if answers.retry_policy.is_exhausted(job) or job.is_streaming:
            answers.finish(job)
        else:
            job.deadline = max(job.deadline, answers.deadline(job))
            answers.pending.queued[job.id] = job
