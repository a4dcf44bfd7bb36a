"""Group EDF: the decisions of the plain form, request for request, at a cost that fits a burst."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

import pytest
from conftest import LONG_CLASS, SHORT_CLASS, engine_id, make_settings

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.interface import EngineState, Idempotency, Outcome
from saffronlane.policy.estimation.run_time_estimator import RunTimeEstimator
from saffronlane.policy.execution.completion import TIMER_TOLERANCE
from saffronlane.policy.scheduling.edf_groups import GROUP_RANGE_RATIO, EdfGroups
from saffronlane.policy.scheduling.group_edf import GroupEdfScheduler
from saffronlane.state import Request

STEPS = 120
CLASSES = (
    SHORT_CLASS,
    LONG_CLASS,
    replace(
        SHORT_CLASS,
        name="load",
        idempotency=Idempotency.KEYED,
        idempotency_ttl=3.0,
        is_ordered=True,
        threads=2,
    ),
)
SETTINGS = make_settings(
    classes=CLASSES,
    tenants=(api.TenantSettings("one", rate_limit=20.0), api.TenantSettings("two")),
    guarantees=api.Guarantees(
        response_slack=0.02,
        drain_grace_period=0.5,
        ordering_cooldown=0.1,
        retry_budget_base=2,
        retry_budget_ratio=0.2,
        retry_budget_window=5.0,
    ),
)


class PlainScheduler(GroupEdfScheduler):
    """Group EDF in its plain form, which looks at all waiting requests for each one that it starts."""

    def _start_requests(self) -> None:
        waiting = self._all_releasable()
        while waiting:
            request = next_request(waiting, self.workload_estimates.exec_time)
            waiting.remove(request)
            engine = self.engine_selector.select(request)
            if engine is None:
                self.concurrency_limit.is_blocked = True
                waiting = without_similar(waiting, request)
            elif self.retry_policy.can_retry(request):
                self.attempt_manager.start(request, engine)

    def _finish_expired(self) -> None:
        expired = [
            request
            for request in self.pending.queued
            if self.retry_policy.is_exhausted(request) or self.is_expired(request)
        ]
        for request in expired:
            if request.in_flight_count:
                self.pending.queued.remove(request)
            else:
                self.completion.finish(request)

    def _all_releasable(self) -> list[Request]:
        now = self.step_context.now
        requests = [
            request
            for request in self.pending.queued
            if request.probing_until <= now + TIMER_TOLERANCE
            and self.pending.ordering.is_next(request, now)
            and self.retry_policy.has_retry_budget(request)
        ]
        requests.sort(key=lambda request: (request.is_over_rate_limit, request.deadline, request.id))
        return requests


def next_request(waiting: list[Request], exec_time: Callable[[Request], float]) -> Request:
    """Return the shortest request of the group that the first of the sorted requests defines."""
    first = waiting[0]
    group_end = first.deadline + GROUP_RANGE_RATIO * (first.deadline - first.arrived_at)
    group = [
        request
        for request in waiting
        if request.is_over_rate_limit == first.is_over_rate_limit and request.deadline <= group_end
    ]
    return min(group, key=lambda request: (exec_time(request), request.deadline, request.id))


def without_similar(waiting: list[Request], blocked: Request) -> list[Request]:
    return [
        request
        for request in waiting
        if request.class_index != blocked.class_index or (blocked.attempts and not request.attempts)
    ]


def drawn_day(seed: int) -> Iterator[tuple[float, list[dispatch.Input]]]:
    """Yield the time and inputs of each step: bursts, congestion, failing engines, clients that leave."""
    random = Random(seed)
    now, in_flight, number = 100.0, [], 0
    engines = random.randrange(1, 5)
    states = dict.fromkeys(range(engines), EngineState.READY)
    entries = tuple(api.EngineEntry(engine_id(index), state) for index, state in states.items())
    effects = yield now, [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries)]
    burst = random.choice((5, 20, 60))
    answer_ratio = random.choice((0.1, 0.3, 0.6))
    failures = random.choice(([], [Outcome.REJECTED] * 4, [Outcome.RESET, Outcome.TIMEOUT, Outcome.NOT_SENT]))
    for _ in range(STEPS):
        now += random.random() * 0.1
        in_flight += [e for e in effects or [] if isinstance(e, dispatch.StartAttempt)]
        inputs: list[dispatch.Input] = []
        for _ in range(random.randrange(burst) if random.random() < 0.3 else 0):
            number += 1
            inputs.append(
                dispatch.Submit(
                    number,
                    random.randrange(len(CLASSES)),
                    random.choice((0.3, 1.0, 4.0)),
                    tenant=random.randrange(2),
                    ordering_key=random.randrange(6),
                    estimated_cost=random.choice((0.0, 0.5, 1.0, 1.0, 7.0)),
                    table_group=float(random.randrange(4)),
                )
            )
        for start in [s for s in in_flight if random.random() < answer_ratio]:
            in_flight.remove(start)
            outcome = random.choice([Outcome.OK] * 8 + failures)
            inputs.append(
                dispatch.AttemptDone(start.request, start.attempt, outcome, random.random(), work=0.2)
            )
        if number and random.random() < 0.1:
            inputs.append(dispatch.ClientDisconnected(random.randrange(1, number + 1)))
        effects = yield now, inputs


@pytest.mark.parametrize("seed", range(40))
def test_decisions_equal_those_of_the_plain_form(seed: int) -> None:
    dispatcher = dispatch.Dispatcher(SETTINGS, seed)
    plain = dispatch.Dispatcher(SETTINGS, seed)
    plain.gateway.scheduler = PlainScheduler(plain.gateway.attempt_manager)
    day = drawn_day(seed)
    now, inputs = next(day)
    started_count = 0
    while True:
        effects = dispatcher.step(now, inputs)
        assert effects == plain.step(now, list(inputs))
        started_count += sum(isinstance(effect, dispatch.StartAttempt) for effect in effects)
        assert dispatcher.gateway.concurrency_limit.is_blocked == plain.gateway.concurrency_limit.is_blocked
        try:
            now, inputs = day.send(effects)  # type: ignore[attr-defined]
        except StopIteration:
            break
    assert started_count > 10


@pytest.mark.parametrize("seed", range(20))
def test_groups_are_taken_in_the_order_of_the_plain_form(seed: int) -> None:
    random = Random(seed)
    waiting = []
    for number in range(random.randrange(1, 80)):
        class_index = random.randrange(len(CLASSES))
        request = Request(api.Arrival(number, class_index, 5.0), class_index, CLASSES[class_index], 10.0)
        request.arrived_at = 10.0 * random.random()
        request.deadline = request.arrived_at + random.choice((0.5, 1.0, 5.0, 50.0))
        request.is_over_rate_limit = random.random() < 0.3
        request.estimated_cost = random.choice((1.0, 2.0, 3.0, 10.0 * random.random()))
        waiting.append(request)
    groups = EdfGroups(waiting, lambda request: request.estimated_cost)
    waiting.sort(key=lambda request: (request.is_over_rate_limit, request.deadline, request.id))
    while (request := groups.pop()) is not None:
        assert request is next_request(waiting, lambda request: request.estimated_cost)
        waiting.remove(request)
        if random.random() < 0.1:
            waiting = without_similar(waiting, request)
            groups.keep(lambda other, blocked=request: other.class_index != blocked.class_index)  # type: ignore
    assert not waiting


def test_cost_of_a_burst_does_not_grow_with_its_square(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a step that stands still for seconds: each start looked at all waiting requests."""
    calls = 0
    exec_time = RunTimeEstimator.exec_time

    def counted(estimator: RunTimeEstimator, cost: float = 0.0) -> float:
        nonlocal calls
        calls += 1
        return exec_time(estimator, cost)

    monkeypatch.setattr(RunTimeEstimator, "exec_time", counted)
    dispatcher = dispatch.Dispatcher(make_settings(), 1)
    entries = tuple(api.EngineEntry(engine_id(index), EngineState.READY) for index in range(3))
    dispatcher.step(10.0, [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries)])
    count = 3_000
    effects = dispatcher.step(10.1, [dispatch.Submit(dispatcher.new_request(), 0, 5.0) for _ in range(count)])
    assert sum(isinstance(effect, dispatch.StartAttempt) for effect in effects) == count
    assert calls < 20 * count


def test_requests_of_a_blocked_class_cost_nothing_in_a_step(monkeypatch: pytest.MonkeyPatch) -> None:
    dispatcher = dispatch.Dispatcher(make_settings(), 1)
    entries = (api.EngineEntry(engine_id(1), EngineState.READY),)
    dispatcher.step(10.0, [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries)])
    dispatcher.step(10.1, [dispatch.Submit(dispatcher.new_request(), 0, 5.0)])
    limit = dispatcher.gateway.concurrency_limit
    limit.limit = 1.0
    dispatcher.step(10.2, [dispatch.Submit(dispatcher.new_request(), 0, 5.0) for _ in range(2_000)])
    assert dispatcher.queued_count == 2_000
    checks = 0
    is_releasable = GroupEdfScheduler._is_releasable

    def counted(scheduler: GroupEdfScheduler, request: Request) -> bool:
        nonlocal checks
        checks += 1
        return is_releasable(scheduler, request)

    monkeypatch.setattr(GroupEdfScheduler, "_is_releasable", counted)
    dispatcher.step(10.21, [dispatch.Submit(dispatcher.new_request(), 0, 5.0)])
    assert checks == 1
    assert limit.is_blocked
