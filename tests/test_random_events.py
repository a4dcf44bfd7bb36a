"""Random legal event sequences; the rules are asserted on every action."""

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
ODD = (float("nan"), float("inf"), -float("inf"), -1.0, 0.0, 1e30, 3.0)
TENANTS = (api.TenantSettings("some", 4.0), api.TenantSettings("none"), api.TenantSettings("odd", ODD[0]))
BUDGET = api.Guarantees(
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
    """Plays a random fleet against one Gateway and asserts the seven rules as it goes."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        limits = api.Limits(
            can_cancel=True,
            max_attempts=3,
            max_retry_after=1.0,
            load_probes_enabled=True,
            load_probe_price=0.01,
        )
        plain = make_settings(
            classes=CLASSES,
            guarantees=BUDGET,
            limits=limits,
            progress_interval=1.0,
            tenants=TENANTS,
            report_columns=("cpu", "active"),
            cross_zone_price=self.random.choice([0.0, 0.04]),
        )
        self.driver = Driver(plain, engines=0)
        self.states = {engine_id(i): EngineState.READY for i in range(6)}
        self.driver.update_endpoints([self.entry(e) for e in self.states])
        self.open: dict[int, api.Arrival] = {}
        self.limit: dict[int, float] = {}
        self.outcomes: dict[int, list[Outcome | None]] = {}
        self.engines: dict[int, list[tuple[bytes, float]]] = {}
        self.taken: list[float] = []
        self.extras: list[float] = []
        self.order: dict[int, list[int]] = {}
        self.rest: dict[int, float] = {}

    def entry(self, engine: bytes) -> api.EngineEntry:
        started = self.random.choice([0.0, 0.0, 0.0, self.driver.now, ODD[0], 1e12])
        return api.EngineEntry(engine, self.states[engine], started, zone=engine[3] % 2)

    def odd_report(self) -> tuple[float, ...]:
        return tuple(self.random.choice(ODD) for _ in range(self.random.randrange(4)))

    def feed(self, event: api.Event) -> None:
        self.check(self.driver.step(event))

    def check(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Dispatch):
                self.check_send(action)
            elif isinstance(action, (api.Reject, api.Fail)):
                self.check_answer(action)

    def check_send(self, send: api.Dispatch) -> None:
        now, request = self.driver.now, send.request
        assert request in self.open  # 1: nothing goes out after the end
        arrival, tries = self.open[request], self.outcomes[request]
        class_index = CLASSES[arrival.class_index]
        assert now + send.timeout <= self.limit[request]
        assert None not in tries  # 2: one attempt at a time
        maybe = [i for i, outcome in enumerate(tries) if outcome not in NEVER_RAN]
        if class_index.idempotency is Idempotency.UNSAFE:
            assert not maybe
        if class_index.idempotency is Idempotency.KEYED and maybe:
            first, sent = self.engines[request][maybe[0]]
            assert first[3] % 2 == send.engine[3] % 2 and now <= sent + class_index.idempotency_ttl
        assert self.states[send.engine] is EngineState.READY  # 3
        if class_index.allowed_zones:
            assert send.engine[3] % 2 in class_index.allowed_zones  # 6
        if class_index.is_ordered:
            assert self.order[arrival.ordering_key][0] == request  # 5
            assert now >= self.rest.get(arrival.ordering_key, 0.0)
        if tries:  # 7
            self.extras.append(now)
            extras = sum(at > now - BUDGET.retry_budget_window for at in self.extras)
            taken = sum(at > now - BUDGET.retry_budget_window for at in self.taken)
            assert extras <= BUDGET.retry_budget_base + BUDGET.retry_budget_ratio * taken
        tries.append(None)
        self.engines[request].append((send.engine, now))

    def check_answer(self, answer: api.Reject | api.Fail) -> None:
        request = answer.request
        assert request in self.open and self.driver.now <= self.limit[request]
        class_index, tries = CLASSES[self.open.pop(request).class_index], self.outcomes[request]
        if isinstance(answer, api.Reject) and class_index.idempotency is not Idempotency.SAFE:
            assert all(outcome in NEVER_RAN for outcome in tries)
        self.settle(request)

    def settle(self, request: int) -> None:
        """A key moves on when its head is over and has no open outcome."""
        for queue in self.order.values():
            if request in queue and request not in self.open and None not in self.outcomes[request]:
                queue.remove(request)

    def arrive(self) -> None:
        class_index = self.random.randrange(len(CLASSES))
        key = self.random.randrange(1, 4) if CLASSES[class_index].is_ordered else 0
        timeout = self.random.uniform(0.1, CLASSES[class_index].deadline)
        fields = {
            "ordering_key": key,
            "table_group": float(self.random.randrange(5)),
            "tenant": self.random.randrange(6),
        }
        event = self.driver.make_arrival(class_index, timeout, **fields)
        self.open[event.request], self.limit[event.request] = event, self.driver.now + timeout
        self.outcomes[event.request], self.engines[event.request] = [], []
        self.taken.append(self.driver.now)
        if key:
            self.order.setdefault(key, []).append(event.request)
        self.feed(event)

    def report(self) -> None:
        out = [(r, n) for r, tries in self.outcomes.items() for n, o in enumerate(tries) if o is None]
        if not out:
            return
        request, n = self.random.choice(out)
        outcome = self.random.choice(list(Outcome))
        final = outcome is Outcome.OK or request not in self.open
        self.outcomes[request][n] = outcome
        event = self.open.get(request)
        if final:
            self.open.pop(request, None)
        key = next((k for k, queue in self.order.items() if request in queue), 0)
        if key and outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.rest[key] = self.driver.now + BUDGET.ordering_cooldown
        self.settle(request)
        if outcome is Outcome.NOT_SENT and n:
            self.extras.remove(self.engines[request][n][1])
        engine, sent = self.engines[request][n]
        elapsed = self.driver.now - sent
        work = self.random.choice([0.0, 0.1, 5.0])
        assert event is None or request == event.request
        report = self.odd_report()
        self.feed(api.AttemptEnded(request, n, engine, outcome, elapsed, final, work, load_report=report))

    def change_list(self) -> None:
        engine = self.random.choice(list(self.states))
        self.states[engine] = self.random.choice(list(EngineState))
        self.feed(api.EndpointListUpdate(EndpointListMode.DELTA, 1, (self.entry(engine),)))

    def disturb(self) -> None:
        """Late, unknown and repeated events."""
        request, engine = self.random.randrange(1, 200), self.random.choice(list(self.states))
        if request in self.outcomes and None in self.outcomes[request]:
            return
        event = self.random.choice(
            [
                api.AttemptEnded(request, 0, engine, Outcome.OK, 1.0, True),
                api.ProgressReport(request, 1, engine, api.ProgressKind.PROGRESS, 0.01),
                api.TimerFired(10**9),
                api.ProbeResult(engine, self.random.choice(list(Outcome)), 0.2, self.odd_report()),
                api.ProbeResult(engine_id(77), Outcome.OK, 0.2, (1.0, 2.0)),
                api.ProgressReport(request, 0, engine, api.ProgressKind.SPILLING, self.random.choice(ODD)),
                api.ProgressReport(request, 0, engine, api.ProgressKind.WAITING, self.random.choice(ODD)),
                api.ClientDisconnected(10**9),
            ]
        )
        self.feed(event)

    def pass_time(self) -> None:
        until = self.driver.now + self.random.choice([0.0, 0.01, 0.1, 0.7])
        while self.driver.timers and min(self.driver.timers)[0] <= until:
            at, token = min(self.driver.timers)
            self.driver.timers.remove((at, token))
            self.driver.now = max(at, self.driver.now)
            self.feed(api.TimerFired(token))
        self.driver.now = max(until, self.driver.now)

    def play(self, steps: int) -> None:
        moves = [
            self.arrive,
            self.arrive,
            self.report,
            self.report,
            self.pass_time,
            self.change_list,
            self.disturb,
        ]
        for _ in range(steps):
            self.random.choice(moves)()
        self.driver.now += 0.0
        for _ in range(20):
            self.pass_time()
            self.driver.now += 0.0
        while self.open:
            at, token = min(self.driver.timers)
            assert at <= max(self.limit.values()), "a request was left without an answer"
            self.driver.timers.remove((at, token))
            self.driver.now = max(at, self.driver.now)
            self.feed(api.TimerFired(token))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_random_legal_events_keep_the_rules(seed: int) -> None:
    Checker(seed).play(250)


@pytest.mark.parametrize("mode", [EndpointListMode.FULL, EndpointListMode.CACHED])
def test_list_that_shrinks_to_nothing_and_returns(mode: EndpointListMode) -> None:
    checker = Checker(1)
    checker.driver.update_endpoints([], mode)
    request = checker.driver.submit()
    assert not checker.driver.dispatches(request)
    checker.driver.update_endpoints([checker.entry(engine) for engine in checker.states], mode)
    assert checker.driver.dispatches(request)
