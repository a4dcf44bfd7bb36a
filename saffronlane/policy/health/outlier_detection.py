"""Which engines fail: a decayed share of failures, condemned and acquitted with hysteresis, tried again."""

import math

from ... import interface as api
from ...interface import Idempotency, Outcome
from ...state import Attempt, Engine, EngineRegistry, Request, StepContext
from ..estimation.workload_estimates import WorkloadEstimates

MIN_OUTCOME_WEIGHT, MIN_CONNECTION_LOSS_WEIGHT = (
    0.2,
    0.4,
)  # least weight of an outcome; of a break or silence: two condemn
FAIL_MEMORY = 10.0  # seconds after which what was known of an engine weighs little against a new outcome
EJECTION_THRESHOLD, RECOVERY_THRESHOLD = (
    0.5,
    0.2,
)  # failure share at which an engine is left alone, and under which it is back
PANIC_THRESHOLD = (
    0.5  # with more than this share of engines ill the verdict is distrusted: the cause is elsewhere
)
MIN_PROBE_REQUEST_INTERVAL, MAX_PROBE_REQUEST_INTERVAL = (
    0.4,
    3.0,
)  # seconds between trials of an ill engine; doubled while trials fail
PROBE_REQUEST_RATIO, MAX_PROBE_REQUEST_CREDIT = (
    0.2,
    3.0,
)  # trials per send, and at once: many ill engines must not take all
MIN_RESTART_DURATION = (
    0.25  # seconds after a break in which no process comes back, unless a connection was refused
)
LATE_RESPONSE_MARGIN = (
    0.1  # seconds after a break at which an answer to earlier work is no longer one still on its way
)


class OutlierDetector:
    def __init__(self, batch: StepContext, fleet: EngineRegistry, classes: WorkloadEstimates) -> None:
        self.step_context, self.engine_registry, self.workload_estimates = batch, fleet, classes
        safe = [i for i, cls in enumerate(batch.settings.classes) if cls.idempotency is Idempotency.SAFE]
        self.probe_request_classes = safe or list(range(len(batch.settings.classes)))  # may try an ill engine
        self.probe_request_credit, self.is_panic_mode = MAX_PROBE_REQUEST_CREDIT, False

    def admits(self, engine: Engine, job: Request) -> bool:
        """An ill engine gets one short query at a time as a trial; distrusted verdicts bind nobody."""
        if not engine.is_ejected or (self.is_panic_mode and not engine.is_unresponsive):
            return True
        if (
            engine.in_flight
            or self.step_context.now < engine.next_probe_request_at
            or job.class_index not in self.probe_request_classes
        ):
            return False
        learned = self.workload_estimates.estimators
        short = self.workload_estimates.exec_time(job) <= 2.0 * min(
            learned[i].exec_time() for i in self.probe_request_classes
        )
        return short and self.probe_request_credit >= 1.0 and not job.attempts

    def record_dispatch(self, engine: Engine) -> None:
        self.probe_request_credit = min(
            MAX_PROBE_REQUEST_CREDIT, self.probe_request_credit + PROBE_REQUEST_RATIO
        )
        if engine.is_ejected:
            self.schedule_probe_request(engine)
            self.probe_request_credit -= 1.0

    def record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Keep the engine's failure share; condemn and acquit with hysteresis."""
        now, engine, sent = self.step_context.now, attempt.engine, attempt.sent_at
        if (
            outcome is Outcome.OK
            and sent < max(engine.connection_lost_at, engine.inferred_restart_at) < now - LATE_RESPONSE_MARGIN
        ):
            engine.connection_lost_at = (
                engine.inferred_restart_at
            ) = -math.inf  # it kept what it had: a link broke, no process
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            engine.record_response(
                now,
                is_same_process=sent <= engine.connection_lost_at + MIN_RESTART_DURATION
                and not engine.connection_refused,
            )
        if outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
            if engine.record_connection_loss(now, was_refused=outcome is Outcome.CONNECT_FAILED):
                self.update_failure_ratio(engine, MIN_CONNECTION_LOSS_WEIGHT, 1.0)
        elif outcome is Outcome.OK:  # one answer disproves silence; a share of failures has to wear off
            self.update_failure_ratio(engine, 1.0 if engine.is_unresponsive else MIN_OUTCOME_WEIGHT, 0.0)
        if not engine.is_ejected and engine.failure_ratio > EJECTION_THRESHOLD:
            self.eject(engine, "failing")
        elif engine.is_ejected and outcome is Outcome.OK and engine.failure_ratio < RECOVERY_THRESHOLD:
            engine.is_ejected, engine.is_unresponsive, engine.probe_request_interval = (
                False,
                False,
                MIN_PROBE_REQUEST_INTERVAL,
            )
            self.step_context.emit(api.Log(f"engine {engine.id.hex()} answers again, back in use"))
            self.update_panic_mode()
        elif engine.is_ejected and outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT):
            engine.probe_request_interval = min(
                engine.probe_request_interval * 2.0, MAX_PROBE_REQUEST_INTERVAL
            )
            self.schedule_probe_request(engine)

    def attribute_errors(self, attempt: Attempt, last: bool) -> None:
        """An error is its engine's once another serves the request, or if none may; else maybe the request's.

        Guards against floods of requests that no engine can run. Harmful where an engine errs on all it gets.
        """
        attempts = attempt.request.attempts
        guilty = [a.engine for a in attempts if a.outcome is Outcome.ERROR]
        alone = attempt.outcome is Outcome.ERROR and len(attempts) == 1 and last
        for engine in guilty if attempt.outcome is Outcome.OK or alone else ():
            self.update_failure_ratio(engine, MIN_OUTCOME_WEIGHT, 1.0)
            if not engine.is_ejected and engine.failure_ratio > EJECTION_THRESHOLD:
                self.eject(engine, "failing")

    def record_unresponsive(self, engine: Engine) -> bool:
        """An attempt had no word for too long; whether that was the one too many, and all there is lost."""
        self.update_failure_ratio(engine, MIN_CONNECTION_LOSS_WEIGHT, 1.0)
        if engine.failure_ratio > EJECTION_THRESHOLD:
            self.eject(engine, "silent")
        return engine.is_ejected

    def update_failure_ratio(self, engine: Engine, least: float, failed: float) -> None:
        """An outcome weighs more the longer nothing was known: one of many gateways hears seldom."""
        fresh = 1.0 - math.exp(max(engine.last_outcome_at - self.step_context.now, -1e3) / FAIL_MEMORY)
        engine.failure_ratio += max(least, fresh) * (failed - engine.failure_ratio)
        engine.last_outcome_at = self.step_context.now

    def eject(self, engine: Engine, why: str) -> None:
        engine.is_ejected, engine.failure_ratio, engine.is_unresponsive = True, 1.0, why == "silent"
        engine.probe_request_interval = MIN_PROBE_REQUEST_INTERVAL
        self.schedule_probe_request(engine)
        self.step_context.emit(api.Log(f"engine {engine.id.hex()} {why}, left alone but for trials"))
        self.update_panic_mode()

    def schedule_probe_request(self, engine: Engine) -> None:
        engine.next_probe_request_at = (
            self.step_context.now + engine.probe_request_interval * self.step_context.random.uniform(0.8, 1.2)
        )

    def update_panic_mode(self) -> None:
        before, ready = self.is_panic_mode, self.engine_registry.ready
        self.is_panic_mode = sum(
            e.is_ejected and not e.is_unresponsive for e in ready
        ) > PANIC_THRESHOLD * len(ready)
        if self.is_panic_mode != before:
            text = "most engines look ill, verdicts ignored" if self.is_panic_mode else "verdicts hold again"
            self.step_context.emit(api.Log(text))
