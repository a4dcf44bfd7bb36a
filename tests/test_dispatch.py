"""The dispatcher: one final answer per request, no use of a cancelled attempt's result, no shared state."""

from __future__ import annotations

import gc
import io
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from conftest import Driver, engine_id, make_settings, one_class

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.dispatch.recording import RecordingError, RecordingWriter, replay
from saffronlane.dispatch.timers import MIN_COMPACTED_ENTRIES, TimerQueue
from saffronlane.interface import EngineState, Idempotency, Outcome
from saffronlane.state import Attempt, Request

ANSWER_TYPES = (dispatch.CompleteRequest, dispatch.RejectRequest, dispatch.FailRequest)


class Harness:
    """Steps one dispatcher with a simulated clock, and collects its effects."""

    def __init__(self, settings: api.Settings | None = None, engine_count: int = 3, seed: int = 1) -> None:
        self.dispatcher = dispatch.Dispatcher(settings or make_settings(), seed)
        self.now = 10.0
        self.effects: list[dispatch.Effect] = []
        self.update_endpoints(dict.fromkeys(range(engine_count), EngineState.READY))

    def step(self, *inputs: dispatch.Input, after: float = 0.0) -> list[dispatch.Effect]:
        self.now += after
        effects = self.dispatcher.step(self.now, list(inputs))
        self.effects += effects
        return effects

    def update_endpoints(self, states: dict[int, EngineState]) -> list[dispatch.Effect]:
        entries = tuple(api.EngineEntry(engine_id(index), state) for index, state in states.items())
        return self.step(api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries))

    def submit(self, timeout: float = 5.0, **fields: int) -> int:
        request = self.dispatcher.new_request()
        self.step(dispatch.Submit(request, fields.pop("class_index", 0), timeout, **fields))
        return request

    def end_attempt(
        self, request: int, outcome: Outcome, attempt: int = 0, **fields: object
    ) -> list[dispatch.Effect]:
        return self.step(dispatch.AttemptDone(request, attempt, outcome, 0.1, **fields), after=0.1)  # type: ignore

    def advance_to(self, time: float) -> None:
        while self.dispatcher.next_timer <= time:
            self.now = max(self.now, self.dispatcher.next_timer)
            self.step()
        self.now = max(self.now, time)

    def effects_of_type(
        self, effect_type: type | tuple[type, ...], request: int | None = None
    ) -> list[dispatch.Effect]:
        effects = [e for e in self.effects if isinstance(e, effect_type)]
        return [e for e in effects if request is None or getattr(e, "request", None) == request]


def test_entries_for_same_engine_in_one_list_are_applied_in_order() -> None:
    """Removing an engine twice in one list made the step fail, and its inputs and all timers were lost."""
    dispatcher = dispatch.Dispatcher(make_settings(), seed=1)
    removed = api.EngineEntry(b"a", api.EngineState.REMOVED)
    ready = api.EngineEntry(b"a", api.EngineState.READY)
    dispatcher.step(1.0, [api.EndpointListUpdate(api.EndpointListMode.DELTA, 1, (ready, removed, removed))])
    assert dispatcher.engines == []
    dispatcher.step(2.0, [api.EndpointListUpdate(api.EndpointListMode.DELTA, 2, (removed, ready))])
    assert dispatcher.engines == [b"a"]


def test_duplicate_attempt_end_does_not_answer_request_again() -> None:
    harness = Harness()
    request = harness.submit()
    (start,) = harness.effects_of_type(dispatch.StartAttempt)
    assert (start.request, start.attempt) == (request, 0)
    harness.end_attempt(request, Outcome.OK)
    assert harness.effects_of_type(ANSWER_TYPES) == [dispatch.CompleteRequest(request, 0)]
    harness.end_attempt(request, Outcome.OK)  # a duplicate report
    harness.advance_to(60.0)
    assert (
        len(harness.effects_of_type(ANSWER_TYPES)) == 1
        and harness.dispatcher.pending_count == 0
        and harness.dispatcher.in_flight_count == 0
    )


def test_attempt_that_never_ran_is_retried_on_another_engine() -> None:
    harness = Harness()
    request = harness.submit()
    harness.end_attempt(request, Outcome.CONNECT_FAILED)
    first, second = harness.effects_of_type(dispatch.StartAttempt, request)
    assert first.engine != second.engine and second.attempt == 1
    harness.end_attempt(request, Outcome.OK, attempt=1)
    assert harness.effects_of_type(ANSWER_TYPES) == [dispatch.CompleteRequest(request, 1)]


def test_result_of_cancelled_attempt_is_not_used() -> None:
    """A result and the cancel of its attempt may cross on the wire."""
    harness = Harness(make_settings(progress_interval=1.0))
    request = harness.submit()
    harness.advance_to(harness.now + 4.0)  # no progress report arrives, so the attempt is cancelled
    assert harness.effects_of_type(dispatch.CancelAttempt) == [dispatch.CancelAttempt(request, 0)]
    # Concurrent attempts are not allowed, so the first one has to end before a retry.
    assert len(harness.effects_of_type(dispatch.StartAttempt, request)) == 1
    harness.step(dispatch.ResultReady(request, 0))
    assert not harness.effects_of_type(dispatch.Commit)
    harness.end_attempt(request, Outcome.OK)
    assert not harness.effects_of_type(dispatch.CompleteRequest)
    assert [s.attempt for s in harness.effects_of_type(dispatch.StartAttempt, request)] == [0, 1]
    harness.end_attempt(request, Outcome.OK, attempt=1)
    assert harness.effects_of_type(ANSWER_TYPES) == [dispatch.CompleteRequest(request, 1)]


def test_result_in_same_step_as_timeout_is_used() -> None:
    harness = Harness()
    request = harness.submit(timeout=1.0)
    harness.step(dispatch.AttemptDone(request, 0, Outcome.OK, 1.0), after=2.0)  # the timeout is due as well
    assert harness.effects_of_type(ANSWER_TYPES) == [dispatch.CompleteRequest(request, 0)]


def test_request_is_answered_before_deadline_if_engine_does_not_respond() -> None:
    harness = Harness(make_settings(classes=one_class(idempotency=Idempotency.UNSAFE)))
    request = harness.submit(timeout=2.0)
    harness.advance_to(11.99)
    (answer,) = harness.effects_of_type(ANSWER_TYPES)
    assert isinstance(
        answer, dispatch.FailRequest
    )  # the attempt may have run, so the client is not asked to retry
    assert harness.effects_of_type(dispatch.CancelAttempt) == [dispatch.CancelAttempt(request, 0)]
    assert harness.dispatcher.in_flight_count == 1
    harness.end_attempt(request, Outcome.CANCELLED)
    assert harness.dispatcher.in_flight_count == 0 and len(harness.effects_of_type(ANSWER_TYPES)) == 1


def test_commit_cancels_hedged_request_and_ignores_its_result() -> None:
    limits = api.Limits(can_cancel=True, hedged_requests_enabled=True, max_attempts=3)
    harness = Harness(make_settings(limits=limits, classes=one_class(latency_objective=0.2)))
    request = harness.submit()
    harness.advance_to(harness.now + 2.0)
    starts = harness.effects_of_type(dispatch.StartAttempt, request)
    assert len(starts) == 2, "expected a hedged request"
    harness.step(dispatch.ResultReady(request, 0), dispatch.ResultReady(request, 1))
    assert harness.effects_of_type(dispatch.Commit) == [dispatch.Commit(request, 0)]
    assert dispatch.CancelAttempt(request, 1) in harness.effects
    harness.end_attempt(request, Outcome.OK, attempt=1)  # its result crossed the cancel
    assert not harness.effects_of_type(ANSWER_TYPES)
    harness.end_attempt(request, Outcome.OK, attempt=0)
    assert harness.effects_of_type(ANSWER_TYPES) == [dispatch.CompleteRequest(request, 0)]


def test_committed_request_is_not_retried_after_reset() -> None:
    harness = Harness()
    request = harness.submit()
    harness.step(dispatch.ResultReady(request, 0))
    harness.end_attempt(request, Outcome.RESET)
    assert len(harness.effects_of_type(ANSWER_TYPES)) == 1 and not harness.effects_of_type(
        dispatch.CompleteRequest
    )
    assert len(harness.effects_of_type(dispatch.StartAttempt, request)) == 1


def test_query_fault_returns_engine_error_and_does_not_eject_engine() -> None:
    harness = Harness(engine_count=1)
    for _ in range(10):
        request = harness.submit()
        harness.end_attempt(request, Outcome.ERROR, is_query_fault=True)
        assert harness.effects_of_type(ANSWER_TYPES, request) == [
            dispatch.CompleteRequest(request, 0, is_query_fault=True)
        ]
    assert not [e for e in harness.effects_of_type(api.Log) if "failing" in e.text]


def test_unsent_attempt_at_draining_engine_is_withdrawn_and_retried_elsewhere() -> None:
    harness = Harness(engine_count=2)
    request = harness.submit()
    (start,) = harness.effects_of_type(dispatch.StartAttempt)
    index = [engine_id(n) for n in range(2)].index(start.engine)
    effects = harness.update_endpoints({index: EngineState.DRAINING, 1 - index: EngineState.READY})
    assert dispatch.WithdrawAttempt(request, 0) in effects
    harness.end_attempt(request, Outcome.NOT_SENT)
    second = harness.effects_of_type(dispatch.StartAttempt, request)[1]
    assert second.engine == engine_id(1 - index)


def test_request_whose_client_disconnects_in_same_step_is_not_dispatched() -> None:
    harness = Harness()
    request = harness.dispatcher.new_request()
    harness.step(dispatch.Submit(request, 0, 5.0), dispatch.ClientDisconnected(request))
    assert not harness.effects_of_type(dispatch.StartAttempt) and not harness.effects_of_type(ANSWER_TYPES)
    assert harness.dispatcher.pending_count == 0 and harness.dispatcher.in_flight_count == 0


def test_client_disconnect_cancels_attempt() -> None:
    harness = Harness()
    request = harness.submit()
    harness.step(dispatch.ClientDisconnected(request))
    assert harness.effects_of_type(dispatch.CancelAttempt) == [dispatch.CancelAttempt(request, 0)]
    harness.end_attempt(request, Outcome.CANCELLED)
    assert not harness.effects_of_type(ANSWER_TYPES) and not harness.dispatcher._requests


def test_requests_that_have_ended_keep_no_timer() -> None:
    """Guards against memory that grows with cancelled requests: each was held until it would have expired."""
    harness = Harness(replace(make_settings(), progress_interval=2.0))
    for _ in range(1_000):
        request = harness.submit(timeout=25.0)
        harness.step(dispatch.ClientDisconnected(request))
        harness.end_attempt(request, Outcome.CANCELLED)
    dispatcher = harness.dispatcher
    subjects = dispatcher.gateway.step_context.timers.values()
    assert not [subject for subject in subjects if subject is not None]
    assert dispatcher.timer_count <= 1  # for maintenance
    assert len(dispatcher._timers._heap) <= MIN_COMPACTED_ENTRIES + 1


def test_requests_that_have_ended_leave_no_reference_cycle() -> None:
    """Guards against ended requests that are kept until the next full garbage collection."""
    harness = Harness()
    gc.collect()
    gc.disable()
    try:
        for outcome in (Outcome.OK, Outcome.CANCELLED, Outcome.RESET):
            request = harness.submit()
            if outcome is Outcome.CANCELLED:
                harness.step(dispatch.ClientDisconnected(request))
            harness.end_attempt(request, outcome)
            if outcome is Outcome.RESET:
                harness.end_attempt(request, Outcome.OK, attempt=1)
        assert not [item for item in gc.get_objects() if isinstance(item, Request | Attempt)]
    finally:
        gc.enable()


def test_cancelled_timers_do_not_fire_and_others_fire_in_order() -> None:
    timers = TimerQueue()
    for token in range(1, 201):
        timers.schedule(float(token % 50), token)
    for token in range(1, 201):
        if token % 4:
            timers.cancel(token)
    timers.cancel(4711)
    live = sorted((float(token % 50), token) for token in range(4, 201, 4))
    assert len(timers) == len(live)
    assert timers.next_deadline == live[0][0]
    assert timers.pop_due(25.0) == [token for deadline, token in live if deadline <= 25.0]
    assert timers.pop_due(50.0) == [token for deadline, token in live if deadline > 25.0]
    assert not len(timers)


def test_drain_rejects_new_requests_and_answers_pending_ones() -> None:
    settings = make_settings(classes=one_class(idempotency=Idempotency.UNSAFE))
    harness = Harness(settings)
    pending = harness.submit()
    harness.step(dispatch.BeginDrain(5.0))
    rejected = harness.submit()
    (rejection,) = harness.effects_of_type(ANSWER_TYPES, rejected)
    assert isinstance(rejection, dispatch.RejectRequest) and 0.0 < rejection.retry_after <= 5.0
    assert not harness.effects_of_type(ANSWER_TYPES, pending)
    harness.step(dispatch.FinishDrain(), after=5.0)
    assert [type(a) for a in harness.effects_of_type(ANSWER_TYPES, pending)] == [dispatch.FailRequest]
    assert harness.dispatcher.pending_count == 0


def test_ten_thousand_queued_requests_without_engines_are_all_answered() -> None:
    harness = Harness(engine_count=0)
    requests = [harness.dispatcher.new_request() for _ in range(10_000)]
    for start in range(0, 10_000, 500):  # requests of one turn of the event loop are processed in one step
        harness.step(*[dispatch.Submit(request, 0, 3.0) for request in requests[start : start + 500]])
    assert harness.dispatcher.pending_count == 10_000
    harness.advance_to(14.0)
    answers = harness.effects_of_type(ANSWER_TYPES)
    assert len(answers) == 10_000 and {a.request for a in answers} == set(requests)
    assert not harness.dispatcher._requests and not harness.dispatcher.gateway.pending.requests


def test_requests_are_answered_after_clock_goes_backwards() -> None:
    harness = Harness()
    harness.submit()
    harness.step(after=-100.0)
    harness.now += 100.0
    request = harness.submit()
    harness.end_attempt(request, Outcome.OK)
    assert harness.effects_of_type(ANSWER_TYPES, request) == [dispatch.CompleteRequest(request, 0)]


def test_policy_error_fails_pending_requests_and_later_ones_are_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness()
    request = harness.submit()

    def raise_error(*_: object) -> list[api.Action]:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.dispatcher.gateway, "step", raise_error)
    other = harness.submit()
    assert [type(a) for a in harness.effects_of_type(ANSWER_TYPES, request)] == [dispatch.FailRequest]
    assert [type(a) for a in harness.effects_of_type(ANSWER_TYPES, other)] == [dispatch.FailRequest]
    assert harness.dispatcher.fault_count == 1
    third = harness.submit()  # the restarted policy has received the endpoint list
    harness.end_attempt(third, Outcome.OK)
    assert harness.effects_of_type(ANSWER_TYPES, third) == [dispatch.CompleteRequest(third, 0)]


def test_policy_restarts_without_learned_state_if_snapshot_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness()

    def raise_error(*_: object) -> list[api.Action]:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.dispatcher.gateway, "step", raise_error)
    monkeypatch.setattr(harness.dispatcher.checkpointer, "snapshot_for_restart", raise_error)
    request = harness.submit()
    assert [type(a) for a in harness.effects_of_type(ANSWER_TYPES, request)] == [dispatch.FailRequest]
    assert harness.dispatcher.fault_count == 1
    logs = [e.text for e in harness.effects if isinstance(e, api.Log)]
    assert any("learned state discarded" in text for text in logs)
    second = harness.submit()
    harness.end_attempt(second, Outcome.OK)
    assert harness.effects_of_type(ANSWER_TYPES, second) == [dispatch.CompleteRequest(second, 0)]


def test_duplicate_request_number_raises_value_error() -> None:
    harness = Harness()
    request = harness.submit()
    with pytest.raises(ValueError, match="before"):
        harness.step(dispatch.Submit(request, 0, 1.0))


def random_scenario(seed: int, settings: api.Settings) -> Iterator[tuple[float, list[dispatch.Input]]]:
    """Yield the time and inputs of each step. The effects of that step must be sent to the generator."""
    random = Random(seed)
    now, in_flight, number = 100.0, [], 0
    states = dict.fromkeys(range(5), EngineState.READY)
    entries = tuple(api.EngineEntry(engine_id(index), state) for index, state in states.items())
    effects = yield now, [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries)]
    for _ in range(300):
        now += random.random() * 0.05
        in_flight += [e for e in effects or [] if isinstance(e, dispatch.StartAttempt)]
        inputs: list[dispatch.Input] = []
        if random.random() < 0.6:
            number += 1
            class_index = random.randrange(len(settings.classes))
            inputs.append(
                dispatch.Submit(
                    number, class_index, 0.5 + 3.0 * random.random(), ordering_key=random.randrange(3)
                )
            )
        for start in [s for s in in_flight if random.random() < 0.3]:
            in_flight.remove(start)
            outcome = random.choice([Outcome.OK] * 8 + list(Outcome))
            inputs.append(dispatch.AttemptDone(start.request, start.attempt, outcome, random.random()))
        if random.random() < 0.03:
            states[random.randrange(5)] = random.choice(list(EngineState))
            entries = tuple(api.EngineEntry(engine_id(index), state) for index, state in states.items())
            inputs.append(api.EndpointListUpdate(api.EndpointListMode.FULL, 2, entries))
        if number and random.random() < 0.05:
            inputs.append(dispatch.ClientDisconnected(random.randrange(1, number + 1)))
        effects = yield now, inputs


def run_scenario(
    seed: int, settings: api.Settings, dispatcher: dispatch.Dispatcher
) -> Iterator[list[dispatch.Effect]]:
    """Run a random scenario, and yield the effects of each step."""
    scenario = random_scenario(seed, settings)
    now, inputs = next(scenario)
    while True:
        effects = dispatcher.step(now, inputs)
        yield effects
        try:
            now, inputs = scenario.send(effects)  # type: ignore[attr-defined]
        except StopIteration:
            return


MIXED_CLASSES = (
    api.ClassSettings("safe", latency_objective=0.5, deadline=3.0),
    api.ClassSettings("keyed", 1.0, 3.0, idempotency=Idempotency.KEYED, idempotency_ttl=2.0),
    api.ClassSettings("ordered", 1.0, 3.0, idempotency=Idempotency.UNSAFE, is_ordered=True),
)


def test_dispatchers_in_same_process_share_no_state() -> None:
    """Two interleaved dispatchers with different settings and seeds behave as each does alone."""
    first, second = (
        make_settings(classes=MIXED_CLASSES),
        make_settings(classes=MIXED_CLASSES[:2], gateway_count=3, gateway_index=1),
    )
    alone = [
        list(run_scenario(1, first, dispatch.Dispatcher(first, 5))),
        list(run_scenario(2, second, dispatch.Dispatcher(second, 6))),
    ]
    scenarios = [
        run_scenario(1, first, dispatch.Dispatcher(first, 5)),
        run_scenario(2, second, dispatch.Dispatcher(second, 6)),
    ]
    interleaved: list[list[list[dispatch.Effect]]] = [[], []]
    random, running = Random(3), [0, 1]
    while running:
        index = random.choice(running)
        effects = next(scenarios[index], None)
        if effects is None:
            running.remove(index)
        else:
            interleaved[index].append(effects)
    assert interleaved == alone
    assert any(isinstance(e, ANSWER_TYPES) for step in alone[0] for e in step)


@pytest.mark.parametrize("seed", range(8))
def test_each_request_of_random_scenario_ends_exactly_once(seed: int) -> None:
    settings = make_settings(classes=MIXED_CLASSES)
    dispatcher = dispatch.Dispatcher(settings, seed)
    submitted, disconnected, answers = set(), set(), []
    scenario = random_scenario(seed, settings)
    now, inputs = next(scenario)
    while True:
        submitted |= {i.request for i in inputs if isinstance(i, dispatch.Submit)}
        disconnected |= {i.request for i in inputs if isinstance(i, dispatch.ClientDisconnected)}
        effects = dispatcher.step(now, inputs)
        answers += [e.request for e in effects if isinstance(e, ANSWER_TYPES)]
        try:
            now, inputs = scenario.send(effects)  # type: ignore[attr-defined]
        except StopIteration:
            break
    while dispatcher.next_timer < now + 30.0:
        effects = dispatcher.step(dispatcher.next_timer, [])
        answers += [e.request for e in effects if isinstance(e, ANSWER_TYPES)]
    assert len(answers) == len(set(answers))
    assert submitted - set(answers) <= disconnected and dispatcher.pending_count == 0


def test_recording_replays_with_same_effects(tmp_path: Path) -> None:
    settings = make_settings(classes=MIXED_CLASSES, progress_interval=1.0)
    sink = io.BytesIO()
    dispatcher = dispatch.Dispatcher(settings, 9, RecordingWriter(sink, settings, 9))
    for _ in run_scenario(4, settings, dispatcher):
        pass
    path = tmp_path / "record"
    path.write_bytes(sink.getvalue())
    steps = list(replay(path))
    assert len(steps) == 301
    assert all(step.recorded == step.replayed for step in steps)
    path.write_bytes(sink.getvalue()[:-3])  # the process was killed during a write
    assert len(list(replay(path))) == 300


def test_replay_of_file_that_is_no_recording_raises_error(tmp_path: Path) -> None:
    path = tmp_path / "record"
    path.write_bytes(b"not a record")
    with pytest.raises(RecordingError, match="no settings"):
        list(replay(path))


def test_attempt_is_discarded_if_engines_do_not_support_cancels() -> None:
    limits = replace(make_settings().limits, can_cancel=False)
    harness = Harness(make_settings(limits=limits))
    request = harness.submit(timeout=1.0)
    harness.advance_to(12.0)
    assert len(harness.effects_of_type(ANSWER_TYPES, request)) == 1
    assert harness.effects_of_type(dispatch.DiscardAttempt) == [dispatch.DiscardAttempt(request, 0)]
    assert not harness.effects_of_type(dispatch.CancelAttempt)


def test_requests_beyond_pending_limit_are_rejected() -> None:
    """The cost of a step grows with the queue: without a limit, a flood would delay every answer."""
    dispatcher = dispatch.Dispatcher(make_settings(), 1, max_pending=5)
    requests = [dispatcher.new_request() for _ in range(8)]
    effects = dispatcher.step(10.0, [dispatch.Submit(request, 0, 5.0) for request in requests])
    assert [e.request for e in effects if isinstance(e, dispatch.RejectRequest)] == requests[5:]
    assert dispatcher.pending_count == 5
    effects = dispatcher.step(20.0, [])
    assert len([e for e in effects if isinstance(e, ANSWER_TYPES)]) == 5
    later = dispatcher.new_request()
    assert not [
        e for e in dispatcher.step(20.0, [dispatch.Submit(later, 0, 5.0)]) if isinstance(e, ANSWER_TYPES)
    ]


def test_cache_of_rendezvous_orders_is_bounded() -> None:
    """Guards against a cache without a limit.

    Statements of clients may name any number of table groups, and the rendezvous order of each group was
    cached until the next endpoint list.
    """
    harness = Harness()
    for n in range(5_000):
        request = harness.submit(table_group=n + 1)
        harness.step(dispatch.ClientDisconnected(request))
        harness.end_attempt(request, Outcome.CANCELLED)
    assert len(harness.dispatcher.gateway.engine_selector.eligibility.rendezvous_order.cached_orders) <= 4_096


POINTER_BYTES = 8


def test_cache_of_rendezvous_orders_is_bounded_in_a_large_fleet() -> None:
    """Guards against orders of 105 MB: with 3,200 engines, each of 4,096 cached orders has 25 KB."""
    driver = Driver(make_settings(), engines=1)
    driver.update_endpoints(
        [api.EngineEntry(n.to_bytes(6, "big"), api.EngineState.READY) for n in range(1, 3_201)]
    )
    rendezvous_order = driver.gateway.engine_selector.eligibility.rendezvous_order
    rendezvous_order._compute = lambda *_: driver.gateway.engine_registry.ready  # the order does not matter
    for table_group in range(5_000):
        rendezvous_order(float(table_group))
        assert len(rendezvous_order.cached_orders) * 3_200 * POINTER_BYTES <= 16.8e6
