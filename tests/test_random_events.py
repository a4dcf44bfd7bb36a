"""Random sequences of valid events; the seven rules are checked on every action."""

from __future__ import annotations

from random import Random

import pytest
from conftest import Driver, engine_id, make_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronlane import interface as api
from saffronlane.interface import DeduplicationScope, EndpointListMode, EngineState, Idempotency, Outcome

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
CLASSES = (
    api.ClassSettings("safe", latency_objective=0.5, deadline=3.0, threads=1),
    api.ClassSettings(
        "keyed",
        1.0,
        6.0,
        threads=2,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        idempotency_ttl=2.0,
    ),
    api.ClassSettings("unsafe", 1.0, 4.0, threads=1, idempotency=Idempotency.UNSAFE, allowed_zones=(0,)),
    api.ClassSettings("ordered", 1.0, 5.0, late_priority_weight=0.5, threads=2, is_ordered=True),
    api.ClassSettings(
        "load", 2.0, 6.0, threads=2, idempotency=Idempotency.UNSAFE, is_ordered=True, is_bulk_load=True
    ),
)
UNUSUAL_VALUES = (float("nan"), float("inf"), -float("inf"), -1.0, 0.0, 1e30, 3.0)
TENANTS = (
    api.TenantSettings("some", 4.0),
    api.TenantSettings("none"),
    api.TenantSettings("odd", UNUSUAL_VALUES[0]),
)
GUARANTEES = api.Guarantees(
    response_slack=0.02,
    ordering_cooldown=0.5,
    retry_budget_base=3.0,
    retry_budget_ratio=0.2,
    retry_budget_window=4.0,
    slow_start_overload_factor=3.0,
    slow_start_overload_window=1.0,
    slow_start_initial_ratio=0.3,
    slow_start_duration=8.0,
)


class Checker:
    """Sends random events of simulated engines and clients to one Gateway and checks its actions.

    Attributes:
        driver: The driver of the gateway.
        states: State of each engine by id.
        pending: Arrivals of the requests without a final answer, by request.
        expires_at: Time of the client's timeout by request.
        outcomes: Outcomes of the attempts by request, in order; None while an attempt is in flight.
        dispatches: Engine and time of the attempts by request, in order.
        arrivals: Times of all arrivals.
        retries: Times of all dispatched retries.
        queues: Requests by ordering key, in order of arrival.
        cooldown_ends: End of the last cool-down by ordering key.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        limits = api.Limits(
            can_cancel=True,
            max_attempts=3,
            max_retry_after=1.0,
            load_probes_enabled=True,
            load_probe_price=0.01,
        )
        gateway_settings = make_settings(
            classes=CLASSES,
            guarantees=GUARANTEES,
            limits=limits,
            progress_interval=1.0,
            tenants=TENANTS,
            report_columns=("cpu", "active"),
            cross_zone_price=self.random.choice([0.0, 0.04]),
        )
        self.driver = Driver(gateway_settings, engines=0)
        self.states = {engine_id(i): EngineState.READY for i in range(6)}
        self.driver.update_endpoints([self.make_entry(engine) for engine in self.states])
        self.pending: dict[int, api.Arrival] = {}
        self.expires_at: dict[int, float] = {}
        self.outcomes: dict[int, list[Outcome | None]] = {}
        self.dispatches: dict[int, list[tuple[bytes, float]]] = {}
        self.arrivals: list[float] = []
        self.retries: list[float] = []
        self.queues: dict[int, list[int]] = {}
        self.cooldown_ends: dict[int, float] = {}

    def make_entry(self, engine: bytes) -> api.EngineEntry:
        started_at = self.random.choice([0.0, 0.0, 0.0, self.driver.now, UNUSUAL_VALUES[0], 1e12])
        return api.EngineEntry(engine, self.states[engine], started_at, zone=engine[3] % 2)

    def make_unusual_report(self) -> tuple[float, ...]:
        return tuple(self.random.choice(UNUSUAL_VALUES) for _ in range(self.random.randrange(4)))

    def step(self, event: api.Event) -> None:
        self.check_actions(self.driver.step(event))

    def check_actions(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Dispatch):
                self.check_dispatch(action)
            elif isinstance(action, (api.Reject, api.Fail)):
                self.check_final_answer(action)

    def check_dispatch(self, dispatch: api.Dispatch) -> None:
        now, request = self.driver.now, dispatch.request
        assert request in self.pending  # rule 1: no dispatch after the final answer
        arrival, outcomes = self.pending[request], self.outcomes[request]
        class_settings = CLASSES[arrival.class_index]
        assert now + dispatch.timeout <= self.expires_at[request]
        assert None not in outcomes  # rule 2: one attempt at a time
        possible_executions = [i for i, outcome in enumerate(outcomes) if outcome not in NEVER_RAN]
        if class_settings.idempotency is Idempotency.UNSAFE:
            assert not possible_executions
        if class_settings.idempotency is Idempotency.KEYED and possible_executions:
            first_engine, sent_at = self.dispatches[request][possible_executions[0]]
            assert (
                first_engine[3] % 2 == dispatch.engine[3] % 2
                and now <= sent_at + class_settings.idempotency_ttl
            )
        assert self.states[dispatch.engine] is EngineState.READY  # rule 3: no dispatch to draining engines
        if class_settings.allowed_zones:
            assert dispatch.engine[3] % 2 in class_settings.allowed_zones  # rule 6: allowed zones only
        if class_settings.is_ordered:  # rule 5: one request of an ordering key at a time, in order
            assert self.queues[arrival.ordering_key][0] == request
            assert now >= self.cooldown_ends.get(arrival.ordering_key, 0.0)
        if outcomes:  # rule 7: retries stay within the retry budget
            self.retries.append(now)
            retry_count = sum(time > now - GUARANTEES.retry_budget_window for time in self.retries)
            arrival_count = sum(time > now - GUARANTEES.retry_budget_window for time in self.arrivals)
            assert retry_count <= GUARANTEES.retry_budget_base + GUARANTEES.retry_budget_ratio * arrival_count
        outcomes.append(None)
        self.dispatches[request].append((dispatch.engine, now))

    def check_final_answer(self, answer: api.Reject | api.Fail) -> None:
        request = answer.request
        assert request in self.pending and self.driver.now <= self.expires_at[request]
        class_settings, outcomes = CLASSES[self.pending.pop(request).class_index], self.outcomes[request]
        if isinstance(answer, api.Reject) and class_settings.idempotency is not Idempotency.SAFE:
            assert all(outcome in NEVER_RAN for outcome in outcomes)
        self.release_ordering_key(request)

    def release_ordering_key(self, request: int) -> None:
        """Remove a request from its queue if it has ended and has no attempt in flight."""
        for queue in self.queues.values():
            if request in queue and request not in self.pending and None not in self.outcomes[request]:
                queue.remove(request)

    def submit_request(self) -> None:
        class_index = self.random.randrange(len(CLASSES))
        key = self.random.randrange(1, 4) if CLASSES[class_index].is_ordered else 0
        timeout = self.random.uniform(0.1, CLASSES[class_index].deadline)
        fields = {
            "ordering_key": key,
            "table_group": float(self.random.randrange(5)),
            "tenant": self.random.randrange(6),
        }
        event = self.driver.make_arrival(class_index, timeout, **fields)
        self.pending[event.request], self.expires_at[event.request] = event, self.driver.now + timeout
        self.outcomes[event.request], self.dispatches[event.request] = [], []
        self.arrivals.append(self.driver.now)
        if key:
            self.queues.setdefault(key, []).append(event.request)
        self.step(event)

    def end_attempt(self) -> None:
        in_flight = [
            (request, index)
            for request, outcomes in self.outcomes.items()
            for index, outcome in enumerate(outcomes)
            if outcome is None
        ]
        if not in_flight:
            return
        request, attempt = self.random.choice(in_flight)
        outcome = self.random.choice(list(Outcome))
        is_final = outcome is Outcome.OK or request not in self.pending
        self.outcomes[request][attempt] = outcome
        arrival = self.pending.get(request)
        if is_final:
            self.pending.pop(request, None)
        key = next((key for key, queue in self.queues.items() if request in queue), 0)
        if key and outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.cooldown_ends[key] = self.driver.now + GUARANTEES.ordering_cooldown
        self.release_ordering_key(request)
        if outcome is Outcome.NOT_SENT and attempt:
            self.retries.remove(self.dispatches[request][attempt][1])
        engine, sent_at = self.dispatches[request][attempt]
        elapsed = self.driver.now - sent_at
        work = self.random.choice([0.0, 0.1, 5.0])
        assert arrival is None or request == arrival.request
        report = self.make_unusual_report()
        self.step(
            api.AttemptEnded(request, attempt, engine, outcome, elapsed, is_final, work, load_report=report)
        )

    def change_engine_state(self) -> None:
        engine = self.random.choice(list(self.states))
        self.states[engine] = self.random.choice(list(EngineState))
        self.step(api.EndpointListUpdate(EndpointListMode.DELTA, 1, (self.make_entry(engine),)))

    def send_unexpected_event(self) -> None:
        """Send a late, unknown or repeated event."""
        request, engine = self.random.randrange(1, 200), self.random.choice(list(self.states))
        if request in self.outcomes and None in self.outcomes[request]:
            return
        event = self.random.choice(
            [
                api.AttemptEnded(request, 0, engine, Outcome.OK, 1.0, True),
                api.ProgressReport(request, 1, engine, api.ProgressKind.PROGRESS, 0.01),
                api.TimerFired(10**9),
                api.ProbeResult(engine, self.random.choice(list(Outcome)), 0.2, self.make_unusual_report()),
                api.ProbeResult(engine_id(77), Outcome.OK, 0.2, (1.0, 2.0)),
                api.ProgressReport(
                    request, 0, engine, api.ProgressKind.SPILLING, self.random.choice(UNUSUAL_VALUES)
                ),
                api.ProgressReport(
                    request, 0, engine, api.ProgressKind.WAITING, self.random.choice(UNUSUAL_VALUES)
                ),
                api.ClientDisconnected(10**9),
            ]
        )
        self.step(event)

    def advance_time(self) -> None:
        until = self.driver.now + self.random.choice([0.0, 0.01, 0.1, 0.7])
        while self.driver.timers and min(self.driver.timers)[0] <= until:
            due_at, token = min(self.driver.timers)
            self.driver.timers.remove((due_at, token))
            self.driver.now = max(due_at, self.driver.now)
            self.step(api.TimerFired(token))
        self.driver.now = max(until, self.driver.now)

    def play(self, step_count: int) -> None:
        """Send random events, then advance the time until no request is pending."""
        methods = [
            self.submit_request,
            self.submit_request,
            self.end_attempt,
            self.end_attempt,
            self.advance_time,
            self.change_engine_state,
            self.send_unexpected_event,
        ]
        for _ in range(step_count):
            self.random.choice(methods)()
        self.driver.now += 0.0
        for _ in range(20):
            self.advance_time()
            self.driver.now += 0.0
        while self.pending:
            due_at, token = min(self.driver.timers)
            assert due_at <= max(self.expires_at.values()), "a request has no final answer"
            self.driver.timers.remove((due_at, token))
            self.driver.now = max(due_at, self.driver.now)
            self.step(api.TimerFired(token))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_random_legal_events_keep_the_rules(seed: int) -> None:
    Checker(seed).play(250)


@pytest.mark.parametrize("mode", [EndpointListMode.FULL, EndpointListMode.CACHED])
def test_request_is_dispatched_after_an_empty_endpoint_list_is_refilled(mode: EndpointListMode) -> None:
    checker = Checker(1)
    checker.driver.update_endpoints([], mode)
    request = checker.driver.submit()
    assert not checker.driver.dispatches(request)
    checker.driver.update_endpoints([checker.make_entry(engine) for engine in checker.states], mode)
    assert checker.driver.dispatches(request)
