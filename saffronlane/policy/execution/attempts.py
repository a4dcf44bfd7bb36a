"""Attempts of requests: dispatch, outcome, and the effect of the outcome on the request."""

from ... import interface as api
from ...interface import Outcome
from ...state import Attempt, Engine, Request, clamp
from ..gossip.load_gossip import LoadGossip
from ..routing.engine_selection import RECENT_WORK_HORIZON, EngineSelector
from ..scheduling.concurrency_limit import CONGESTED_INFLATION
from .completion import EXPIRY_MARGIN, RequestCompletion

UNRESPONSIVE_REPORT_PERIODS = 1.1  # intervals until an attempt is overdue, plus one at most for its run time
UNRESPONSIVE_EXEC_TIMES = 5.0  # ExecTimes until an attempt is overdue if engines send no progress reports
MIN_UNRESPONSIVE_TIMEOUT = 0.5  # seconds; lower bound of the timeout without progress reports
UNHEDGED_TIMEOUT_RATIO = 2.0  # factor on that timeout if a retry has to cancel the first attempt
MIN_DISPATCH_TIMEOUT = 1e-3  # seconds
MIN_ELAPSED = 1e-4  # seconds; a shorter reported duration counts as this
MAX_ELAPSED = 1e4  # seconds; a longer reported duration counts as this


class AttemptManager:
    """Starts attempts and processes their outcomes."""

    def __init__(
        self, completion: RequestCompletion, engine_selector: EngineSelector, load_gossip: LoadGossip
    ) -> None:
        self.completion = completion
        self.engine_selector = engine_selector
        self.load_gossip = load_gossip
        self.step_context = completion.step_context
        self.workload_estimates = completion.workload_estimates
        self.retry_policy = completion.retry_policy
        self.ordering = completion.pending.ordering
        self.in_flight = engine_selector.in_flight
        self.load_reports = engine_selector.load_reports
        self.concurrency_limit = engine_selector.concurrency_limit
        self.outlier_detector = engine_selector.eligibility.outlier_detector

    def start(self, request: Request, engine: Engine) -> None:
        """Dispatch a queued request to an engine."""
        now = self.step_context.now
        send_timeout = self.retry_policy.send_timeout(request)
        arrival_timeout = self.retry_policy.arrival_timeout(request)
        attempt = self._create_attempt(request, engine)
        if attempt.index:
            self.retry_policy.budget.retries.append(now)
        self.outlier_detector.record_dispatch(engine)
        self.completion.dequeue(request)
        work = self.workload_estimates.work(request)
        retention = self.step_context.guarantees.slow_start_duration
        self.in_flight.add(attempt, work, RECENT_WORK_HORIZON, retention)
        attempt.progress_timer = self.step_context.schedule(now + self.progress_timeout(request), attempt)
        timeout = max(MIN_DISPATCH_TIMEOUT, request.expires_at - EXPIRY_MARGIN - now)
        self.step_context.emit(api.Dispatch(request.id, engine.id, timeout, send_timeout, arrival_timeout))
        self.load_gossip.on_attempt_started(attempt)

    def _create_attempt(self, request: Request, engine: Engine) -> Attempt:
        """Create the next attempt of a request and emit its resource grant."""
        settings = self.step_context.settings
        grant = self.workload_estimates.resource_grant(request)
        if settings.memory_grants_enabled or settings.priorities_enabled:
            memory_mb = grant.memory_mb if settings.memory_grants_enabled else 0.0
            self.step_context.emit(api.SetResourceGrant(request.id, memory_mb, grant.priority))
        return Attempt(
            request,
            index=len(request.attempts) - request.previous_attempt_count,
            engine=engine,
            sent_at=self.step_context.now,
            threads=min(request.class_settings.threads, engine.cores),
            memory_grant_mb=grant.memory_mb,
            last_progress_at=self.step_context.now,
        )

    def progress_timeout(self, request: Request) -> float:
        """Return the seconds without progress after which an attempt of the request is overdue."""
        progress_interval = self.step_context.settings.progress_interval
        if progress_interval:
            estimator = self.workload_estimates.estimators[request.class_index]
            run_time = estimator.uncontended_time(request.estimated_cost)
            return UNRESPONSIVE_REPORT_PERIODS * progress_interval + min(progress_interval, run_time)
        exec_time = self.workload_estimates.exec_time(request)
        timeout = max(MIN_UNRESPONSIVE_TIMEOUT, UNRESPONSIVE_EXEC_TIMES * exec_time)
        return (
            timeout if self.step_context.limits.hedged_requests_enabled else UNHEDGED_TIMEOUT_RATIO * timeout
        )

    def on_ended(self, event: api.AttemptEnded) -> None:
        """Process the outcome of an attempt; a second outcome of the same attempt is ignored."""
        attempt = self.in_flight.complete(event.request, event.attempt, event.outcome)
        if attempt is None:
            return
        request = attempt.request
        self.step_context.cancel_timer(attempt.progress_timer)
        self.load_gossip.on_attempt_ended(attempt)
        self._update_retry_state(attempt, event.outcome)
        self.outlier_detector.record_outcome(attempt, event.outcome)
        is_last_attempt = self.retry_policy.is_exhausted(request)
        self.outlier_detector.attribute_errors(attempt, is_last_attempt)
        self.record_measurements(attempt, event)
        self._record_rejection(attempt.engine, event.outcome)
        if request.is_ended:
            self.completion.release_ended(request)
        elif event.outcome is Outcome.OK:
            self._record_served(request)
            self.completion.finish(request, needs_answer=False)
        elif event.is_final:
            self.completion.finish(request, needs_answer=False)
        elif not request.in_flight_count:
            self.requeue_or_finish(attempt)

    def _update_retry_state(self, attempt: Attempt, outcome: Outcome) -> None:
        """Start the cool-down of the ordering key, or refund the budget of a retry that was not sent."""
        if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            cooldown_end = self.step_context.now + self.step_context.guarantees.ordering_cooldown
            self.ordering.start_cooldown(attempt.request, cooldown_end)
        if outcome is Outcome.NOT_SENT and attempt.index:
            self.retry_policy.budget.remove_unsent_retry(attempt.sent_at)

    def _record_rejection(self, engine: Engine, outcome: Outcome) -> None:
        """Count a rejection or timeout as congestion of the engine."""
        if outcome not in (Outcome.REJECTED, Outcome.TIMEOUT):
            return
        self.concurrency_limit.record_latency_inflation(CONGESTED_INFLATION * 2.0)
        if outcome is Outcome.REJECTED:
            self.load_gossip.report_rejection(engine)
        engine.last_rejection_at = self.step_context.now

    def _record_served(self, request: Request) -> None:
        """Count a served request towards the retry budget."""
        window_start = self.step_context.now - self.step_context.guarantees.retry_budget_window
        self.retry_policy.budget.record_served(request.arrived_at, window_start)

    def record_measurements(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Update the estimates from the duration, work, memory and load reported with an outcome."""
        request = attempt.request
        threads_per_core = self.load_reports.record(attempt.engine, event.load_report)
        estimator = self.workload_estimates.estimators[request.class_index]
        if event.outcome is Outcome.OK:
            inflation = estimator.record_completion(
                self.step_context.now,
                request,
                elapsed=clamp(event.elapsed, MIN_ELAPSED, MAX_ELAPSED),
                work=clamp(event.work),
                memory_mb=clamp(event.memory_mb),
                threads_per_core=threads_per_core,
            )
            load = 0.0 if event.work > 0.0 else threads_per_core
            self.concurrency_limit.record_response(attempt.engine, inflation, load)
            return
        was_interrupted = event.outcome in (Outcome.CANCELLED, Outcome.TIMEOUT)
        if was_interrupted and not self.step_context.settings.reports_work:
            estimator.record_interruption(request, clamp(event.elapsed))

    def requeue_or_finish(self, attempt: Attempt) -> None:
        """Queue a request for a retry after all its attempts have failed, or finish it."""
        request = attempt.request
        if attempt.outcome is not Outcome.CANCELLED and attempt.engine.id not in request.failed_engines:
            request.failed_engines.append(attempt.engine.id)
        if self.retry_policy.is_exhausted(request) or request.is_streaming:
            self.completion.finish(request)
        else:
            self.completion.requeue(request)
