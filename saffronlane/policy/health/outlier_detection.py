"""Outlier detection: failing engines are ejected and readmitted after successful half-open probe requests."""

import math

from ... import interface as api
from ...interface import Idempotency, Outcome
from ...state import Attempt, Engine, EngineRegistry, Request, StepContext
from ..estimation.workload_estimates import WorkloadEstimates

MIN_OUTCOME_WEIGHT = 0.2  # lower bound of the weight of one outcome in the failure ratio
MIN_CONNECTION_LOSS_WEIGHT = 0.4  # the same for a lost connection or a missing response; two of them eject
FAILURE_RATIO_DECAY_TIME = 10.0  # seconds in which the weight of earlier outcomes decays to 1/e
EJECTION_THRESHOLD = 0.5  # failure ratio above which an engine is ejected
RECOVERY_THRESHOLD = 0.2  # failure ratio below which an ejected engine is readmitted
PANIC_THRESHOLD = 0.5  # ratio of ejected engines above which ejections are ignored
MIN_PROBE_REQUEST_INTERVAL = 0.4  # seconds between probe requests to an ejected engine
MAX_PROBE_REQUEST_INTERVAL = 3.0  # seconds; the interval doubles while probe requests fail
PROBE_REQUEST_JITTER = 0.2  # highest relative deviation from the interval, in either direction
PROBE_REQUEST_RATIO = 0.2  # probe requests per dispatch, so that ejected engines don't get all requests
MAX_PROBE_REQUEST_CREDIT = 3.0  # unused probe requests that may accumulate
MAX_PROBE_EXEC_TIME_RATIO = 2.0  # highest ratio of a probe request's ExecTime to that of the shortest class
MIN_RESTART_DURATION = 0.25  # seconds that a process needs to restart; not applied after a refused connection
LATE_RESPONSE_MARGIN = 0.1  # seconds after a connection loss in which earlier responses may still arrive
SUCCESS = 0.0  # value of a successful outcome in the failure ratio
FAILURE = 1.0  # value of a failed outcome in the failure ratio


class OutlierDetector:
    """Ejects and readmits engines with hysteresis, by a decayed failure ratio of each engine."""

    def __init__(
        self,
        step_context: StepContext,
        engine_registry: EngineRegistry,
        workload_estimates: WorkloadEstimates,
    ) -> None:
        self.step_context = step_context
        self.engine_registry = engine_registry
        self.workload_estimates = workload_estimates
        classes = step_context.settings.classes
        safe_classes = [i for i, c in enumerate(classes) if c.idempotency is Idempotency.SAFE]
        self.probe_request_classes = safe_classes or list(range(len(classes)))
        self.probe_request_credit = MAX_PROBE_REQUEST_CREDIT
        self.is_panic_mode = False

    def admits(self, engine: Engine, request: Request) -> bool:
        """Return whether the engine may get the request; an ejected one gets one probe request at a time."""
        if not engine.is_ejected or (self.is_panic_mode and not engine.is_unresponsive):
            return True
        if engine.in_flight or self.step_context.now < engine.next_probe_request_at:
            return False
        return self._is_probe_request(request)

    def _is_probe_request(self, request: Request) -> bool:
        """Return whether the request may be a probe request: short, safe and not attempted before."""
        if request.class_index not in self.probe_request_classes:
            return False
        if request.attempts or self.probe_request_credit < 1.0:
            return False
        estimators = self.workload_estimates.estimators
        min_exec_time = min(estimators[i].exec_time() for i in self.probe_request_classes)
        return self.workload_estimates.exec_time(request) <= MAX_PROBE_EXEC_TIME_RATIO * min_exec_time

    def record_dispatch(self, engine: Engine) -> None:
        """Add to the credit for probe requests; a dispatch to an ejected engine uses some of it."""
        credit = self.probe_request_credit + PROBE_REQUEST_RATIO
        self.probe_request_credit = min(MAX_PROBE_REQUEST_CREDIT, credit)
        if engine.is_ejected:
            self.schedule_probe_request(engine)
            self.probe_request_credit -= 1.0

    def record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Update the engine's connection state and failure ratio; eject or readmit it accordingly."""
        engine = attempt.engine
        self._record_connection_state(attempt, outcome)
        if outcome is Outcome.OK:  # one response readmits an unresponsive engine; other failures decay
            weight = 1.0 if engine.is_unresponsive else MIN_OUTCOME_WEIGHT
            self.update_failure_ratio(engine, weight, SUCCESS)
        if not engine.is_ejected:
            self._eject_if_failing(engine)
        elif outcome is Outcome.OK and engine.failure_ratio < RECOVERY_THRESHOLD:
            self._recover(engine)
        elif outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT):
            interval = engine.probe_request_interval * 2.0
            engine.probe_request_interval = min(interval, MAX_PROBE_REQUEST_INTERVAL)
            self.schedule_probe_request(engine)

    def _record_connection_state(self, attempt: Attempt, outcome: Outcome) -> None:
        """Update the connection state of the engine, and detect restarts of its process."""
        now = self.step_context.now
        engine = attempt.engine
        lost_at = max(engine.connection_lost_at, engine.inferred_restart_at)
        if outcome is Outcome.OK and attempt.sent_at < lost_at < now - LATE_RESPONSE_MARGIN:
            # The process completed work from before the loss, so it has not restarted.
            engine.connection_lost_at = -math.inf
            engine.inferred_restart_at = -math.inf
        match outcome:
            case Outcome.OK | Outcome.ERROR | Outcome.REJECTED:
                was_sent_before_restart = attempt.sent_at <= engine.connection_lost_at + MIN_RESTART_DURATION
                is_same_process = was_sent_before_restart and not engine.connection_refused
                engine.record_response(now, is_same_process=is_same_process)
            case Outcome.RESET | Outcome.CONNECT_FAILED:
                was_refused = outcome is Outcome.CONNECT_FAILED
                if engine.record_connection_loss(now, was_refused=was_refused):
                    self.update_failure_ratio(engine, MIN_CONNECTION_LOSS_WEIGHT, FAILURE)

    def attribute_errors(self, attempt: Attempt, is_last_attempt: bool) -> None:
        """Count errors as failures of their engines once another engine has served the request.

        The error of a request that can have no second attempt counts as well. Other errors may be caused by
        the request itself, and many requests that fail on every engine must not eject the engines.
        """
        attempts = attempt.request.attempts
        is_only_attempt = len(attempts) == 1 and is_last_attempt
        if attempt.outcome is Outcome.OK or (attempt.outcome is Outcome.ERROR and is_only_attempt):
            for engine in [a.engine for a in attempts if a.outcome is Outcome.ERROR]:
                self.update_failure_ratio(engine, MIN_OUTCOME_WEIGHT, FAILURE)
                if not engine.is_ejected:
                    self._eject_if_failing(engine)

    def record_unresponsive(self, engine: Engine) -> bool:
        """Record an attempt without a response and return whether the engine is now ejected."""
        self.update_failure_ratio(engine, MIN_CONNECTION_LOSS_WEIGHT, FAILURE)
        if engine.failure_ratio > EJECTION_THRESHOLD:
            self.eject(engine, "unresponsive")
        return engine.is_ejected

    def update_failure_ratio(self, engine: Engine, min_weight: float, value: float) -> None:
        """Add an outcome to the failure ratio; its weight grows with the time since the last outcome.

        Args:
            engine: The engine of the attempt.
            min_weight: Lower bound of its weight, between 0 and 1.
            value: `FAILURE` or `SUCCESS`.
        """
        negative_age = max(engine.last_outcome_at - self.step_context.now, -1e3)
        weight = max(min_weight, 1.0 - math.exp(negative_age / FAILURE_RATIO_DECAY_TIME))
        engine.failure_ratio += weight * (value - engine.failure_ratio)
        engine.last_outcome_at = self.step_context.now

    def _eject_if_failing(self, engine: Engine) -> None:
        """Eject an engine whose failure ratio exceeds the threshold."""
        if engine.failure_ratio > EJECTION_THRESHOLD:
            self.eject(engine, "failing")

    def eject(self, engine: Engine, reason: str) -> None:
        """Eject an engine; the reason is "failing" or "unresponsive"."""
        engine.is_ejected = True
        engine.failure_ratio = 1.0
        engine.is_unresponsive = reason == "unresponsive"
        engine.probe_request_interval = MIN_PROBE_REQUEST_INTERVAL
        self.schedule_probe_request(engine)
        self.step_context.emit(api.Log(f"engine ejected: {engine.id.hex()} {reason}"))
        self.update_panic_mode()

    def _recover(self, engine: Engine) -> None:
        """End the ejection of an engine."""
        engine.is_ejected = False
        engine.is_unresponsive = False
        engine.probe_request_interval = MIN_PROBE_REQUEST_INTERVAL
        self.step_context.emit(api.Log(f"engine recovered: {engine.id.hex()}"))
        self.update_panic_mode()

    def schedule_probe_request(self, engine: Engine) -> None:
        """Set the time of the next probe request, with jitter."""
        jitter = self.step_context.random.uniform(1.0 - PROBE_REQUEST_JITTER, 1.0 + PROBE_REQUEST_JITTER)
        engine.next_probe_request_at = self.step_context.now + engine.probe_request_interval * jitter

    def update_panic_mode(self) -> None:
        """Enter panic mode while too many ready engines are ejected as failing, and leave it after that.

        In panic mode these ejections are ignored, since the cause is probably not in the engines.
        """
        was_panic_mode = self.is_panic_mode
        ready = self.engine_registry.ready
        ejected_count = sum(engine.is_ejected and not engine.is_unresponsive for engine in ready)
        self.is_panic_mode = ejected_count > PANIC_THRESHOLD * len(ready)
        if self.is_panic_mode != was_panic_mode:
            text = "panic mode entered" if self.is_panic_mode else "panic mode left"
            self.step_context.emit(api.Log(text))
