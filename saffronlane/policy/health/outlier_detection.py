"""Which engines fail: a decayed share of failures, condemned and acquitted with hysteresis, tried again."""

import math

from ... import interface as api
from ...interface import Idempotency, Outcome
from ...state import Attempt, Engine, EngineRegistry, Request, StepContext
from ..estimation.workload_estimates import WorkloadEstimates

FAIL_STEP, HARD_FAIL_STEP = 0.2, 0.4  # least weight of an outcome; of a break or silence: two condemn
FAIL_MEMORY = 10.0  # seconds after which what was known of an engine weighs little against a new outcome
ILL, WELL = 0.5, 0.2  # failure share at which an engine is left alone, and under which it is back
ILL_SHARE = 0.5  # with more than this share of engines ill the verdict is distrusted: the cause is elsewhere
TRIAL_GAP, TRIAL_GAP_MOST = 0.4, 3.0  # seconds between trials of an ill engine; doubled while trials fail
TRIAL_SHARE, TRIAL_CREDIT = 0.2, 3.0  # trials per send, and at once: many ill engines must not take all
RELINKED = 0.25  # seconds after a break in which no process comes back, unless a connection was refused
SURVIVED = 0.1  # seconds after a break at which an answer to earlier work is no longer one still on its way


class OutlierDetector:
    def __init__(self, batch: StepContext, fleet: EngineRegistry, classes: WorkloadEstimates) -> None:
        self.batch, self.fleet, self.classes = batch, fleet, classes
        safe = [i for i, cls in enumerate(batch.settings.classes) if cls.idempotency is Idempotency.SAFE]
        self.trial_classes = safe or list(range(len(batch.settings.classes)))  # may try an ill engine
        self.trial_credit, self.is_panic_mode = TRIAL_CREDIT, False

    def admits(self, engine: Engine, job: Request) -> bool:
        """An ill engine gets one short query at a time as a trial; distrusted verdicts bind nobody."""
        if not engine.is_ejected or (self.is_panic_mode and not engine.is_unresponsive):
            return True
        if (
            engine.in_flight
            or self.batch.now < engine.next_probe_request_at
            or job.class_index not in self.trial_classes
        ):
            return False
        learned = self.classes.estimators
        short = self.classes.exec_time(job) <= 2.0 * min(learned[i].exec_time() for i in self.trial_classes)
        return short and self.trial_credit >= 1.0 and not job.attempts

    def sent(self, engine: Engine) -> None:
        self.trial_credit = min(TRIAL_CREDIT, self.trial_credit + TRIAL_SHARE)
        if engine.is_ejected:
            self.put_off_trial(engine)
            self.trial_credit -= 1.0

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Keep the engine's failure share; condemn and acquit with hysteresis."""
        now, engine, sent = self.batch.now, attempt.engine, attempt.sent_at
        if (
            outcome is Outcome.OK
            and sent < max(engine.connection_lost_at, engine.inferred_restart_at) < now - SURVIVED
        ):
            engine.connection_lost_at = (
                engine.inferred_restart_at
            ) = -math.inf  # it kept what it had: a link broke, no process
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            engine.record_response(
                now,
                is_same_process=sent <= engine.connection_lost_at + RELINKED
                and not engine.connection_refused,
            )
        if outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
            if engine.record_connection_loss(now, was_refused=outcome is Outcome.CONNECT_FAILED):
                self.weigh(engine, HARD_FAIL_STEP, 1.0)
        elif outcome is Outcome.OK:  # one answer disproves silence; a share of failures has to wear off
            self.weigh(engine, 1.0 if engine.is_unresponsive else FAIL_STEP, 0.0)
        if not engine.is_ejected and engine.failure_ratio > ILL:
            self.condemn(engine, "failing")
        elif engine.is_ejected and outcome is Outcome.OK and engine.failure_ratio < WELL:
            engine.is_ejected, engine.is_unresponsive, engine.probe_request_interval = False, False, TRIAL_GAP
            self.batch.emit(api.Log(f"engine {engine.id.hex()} answers again, back in use"))
            self.update_panic_mode()
        elif engine.is_ejected and outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT):
            engine.probe_request_interval = min(engine.probe_request_interval * 2.0, TRIAL_GAP_MOST)
            self.put_off_trial(engine)

    def blame(self, attempt: Attempt, last: bool) -> None:
        """An error is its engine's once another serves the request, or if none may; else maybe the request's.

        Guards against floods of requests that no engine can run. Harmful where an engine errs on all it gets.
        """
        attempts = attempt.request.attempts
        guilty = [a.engine for a in attempts if a.outcome is Outcome.ERROR]
        alone = attempt.outcome is Outcome.ERROR and len(attempts) == 1 and last
        for engine in guilty if attempt.outcome is Outcome.OK or alone else ():
            self.weigh(engine, FAIL_STEP, 1.0)
            if not engine.is_ejected and engine.failure_ratio > ILL:
                self.condemn(engine, "failing")

    def unheard(self, engine: Engine) -> bool:
        """An attempt had no word for too long; whether that was the one too many, and all there is lost."""
        self.weigh(engine, HARD_FAIL_STEP, 1.0)
        if engine.failure_ratio > ILL:
            self.condemn(engine, "silent")
        return engine.is_ejected

    def weigh(self, engine: Engine, least: float, failed: float) -> None:
        """An outcome weighs more the longer nothing was known: one of many gateways hears seldom."""
        fresh = 1.0 - math.exp(max(engine.last_outcome_at - self.batch.now, -1e3) / FAIL_MEMORY)
        engine.failure_ratio += max(least, fresh) * (failed - engine.failure_ratio)
        engine.last_outcome_at = self.batch.now

    def condemn(self, engine: Engine, why: str) -> None:
        engine.is_ejected, engine.failure_ratio, engine.is_unresponsive = True, 1.0, why == "silent"
        engine.probe_request_interval = TRIAL_GAP
        self.put_off_trial(engine)
        self.batch.emit(api.Log(f"engine {engine.id.hex()} {why}, left alone but for trials"))
        self.update_panic_mode()

    def put_off_trial(self, engine: Engine) -> None:
        engine.next_probe_request_at = (
            self.batch.now + engine.probe_request_interval * self.batch.random.uniform(0.8, 1.2)
        )

    def update_panic_mode(self) -> None:
        before, ready = self.is_panic_mode, self.fleet.ready
        self.is_panic_mode = sum(e.is_ejected and not e.is_unresponsive for e in ready) > ILL_SHARE * len(
            ready
        )
        if self.is_panic_mode != before:
            text = "most engines look ill, verdicts ignored" if self.is_panic_mode else "verdicts hold again"
            self.batch.emit(api.Log(text))
