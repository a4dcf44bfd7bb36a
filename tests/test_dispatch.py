"""The dispatcher's core: one final answer each, no result of a cancelled attempt, no shared state."""

from __future__ import annotations

import io
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from conftest import engine_id, make_settings, one_class

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.dispatch.recording import RecordingError, RecordingWriter, replay
from saffronlane.interface import EngineState, Idempotency, Outcome

ANSWERS = (dispatch.CompleteRequest, dispatch.RejectRequest, dispatch.FailRequest)


class Harness:
    """Drives one Dispatcher by hand, and collects its effects."""

    def __init__(self, settings: api.Settings | None = None, engines: int = 3, seed: int = 1) -> None:
        self.core = dispatch.Dispatcher(settings or make_settings(), seed)
        self.now = 10.0
        self.effects: list[dispatch.Effect] = []
        self.list_engines(dict.fromkeys(range(engines), EngineState.READY))

    def step(self, *inputs: dispatch.Input, after: float = 0.0) -> list[dispatch.Effect]:
        self.now += after
        effects = self.core.step(self.now, list(inputs))
        self.effects += effects
        return effects

    def list_engines(self, states: dict[int, EngineState]) -> list[dispatch.Effect]:
        entries = tuple(api.EngineEntry(engine_id(n), state) for n, state in states.items())
        return self.step(api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries))

    def submit(self, remaining: float = 5.0, **fields: int) -> int:
        request = self.core.new_request()
        self.step(dispatch.Submit(request, fields.pop("cls", 0), remaining, **fields))
        return request

    def done(
        self, request: int, outcome: Outcome, attempt: int = 0, **fields: object
    ) -> list[dispatch.Effect]:
        return self.step(dispatch.AttemptDone(request, attempt, outcome, 0.1, **fields), after=0.1)  # type: ignore

    def pass_time(self, until: float) -> None:
        while self.core.next_timer <= until:
            self.now = max(self.now, self.core.next_timer)
            self.step()
        self.now = max(self.now, until)

    def effects_of(self, kind: type | tuple[type, ...], request: int | None = None) -> list[dispatch.Effect]:
        found = [e for e in self.effects if isinstance(e, kind)]
        return [e for e in found if request is None or getattr(e, "request", None) == request]


def test_a_list_that_names_an_engine_twice_is_taken_in_order() -> None:
    """Guards against a fault in the step: all that it was told, and all timers, were lost with it."""
    core = dispatch.Dispatcher(make_settings(), seed=1)
    gone = api.EngineEntry(b"a", api.EngineState.REMOVED)
    ready = api.EngineEntry(b"a", api.EngineState.READY)
    core.step(1.0, [api.EndpointListUpdate(api.EndpointListMode.DELTA, 1, (ready, gone, gone))])
    assert core.engines == []
    core.step(2.0, [api.EndpointListUpdate(api.EndpointListMode.DELTA, 2, (gone, ready))])
    assert core.engines == [b"a"]


def test_an_answer_is_served_once() -> None:
    harness = Harness()
    request = harness.submit()
    (start,) = harness.effects_of(dispatch.StartAttempt)
    assert (start.request, start.attempt) == (request, 0)
    harness.done(request, Outcome.OK)
    assert harness.effects_of(ANSWERS) == [dispatch.CompleteRequest(request, 0)]
    harness.done(request, Outcome.OK)  # told twice
    harness.pass_time(60.0)
    assert (
        len(harness.effects_of(ANSWERS)) == 1
        and harness.core.pending_count == 0
        and harness.core.in_flight_count == 0
    )


def test_an_attempt_that_never_ran_is_tried_elsewhere() -> None:
    harness = Harness()
    request = harness.submit()
    harness.done(request, Outcome.CONNECT_FAILED)
    first, second = harness.effects_of(dispatch.StartAttempt, request)
    assert first.engine != second.engine and second.attempt == 1
    harness.done(request, Outcome.OK, attempt=1)
    assert harness.effects_of(ANSWERS) == [dispatch.CompleteRequest(request, 1)]


def test_the_result_of_a_cancelled_attempt_goes_to_nobody() -> None:
    """An answer may cross its own cancel on the wire."""
    harness = Harness(make_settings(progress_interval=1.0))
    request = harness.submit()
    harness.pass_time(harness.now + 4.0)  # no word: it is taken back
    assert harness.effects_of(dispatch.CancelAttempt) == [dispatch.CancelAttempt(request, 0)]
    assert (
        len(harness.effects_of(dispatch.StartAttempt, request)) == 1
    )  # copies are not allowed: the first has to end
    harness.step(dispatch.ResultReady(request, 0))
    assert not harness.effects_of(dispatch.Commit)
    harness.done(request, Outcome.OK)
    assert not harness.effects_of(dispatch.CompleteRequest)
    assert [s.attempt for s in harness.effects_of(dispatch.StartAttempt, request)] == [0, 1]
    harness.done(request, Outcome.OK, attempt=1)
    assert harness.effects_of(ANSWERS) == [dispatch.CompleteRequest(request, 1)]


def test_an_answer_beats_the_timer_that_falls_into_the_same_step() -> None:
    harness = Harness()
    request = harness.submit(remaining=1.0)
    harness.step(dispatch.AttemptDone(request, 0, Outcome.OK, 1.0), after=2.0)  # both are due
    assert harness.effects_of(ANSWERS) == [dispatch.CompleteRequest(request, 0)]


def test_a_request_ends_in_time_whatever_its_engine_does() -> None:
    harness = Harness(make_settings(classes=one_class(idempotency=Idempotency.UNSAFE)))
    request = harness.submit(remaining=2.0)
    harness.pass_time(11.99)
    (answer,) = harness.effects_of(ANSWERS)
    assert isinstance(answer, dispatch.FailRequest)  # it may have run, so no word of trying again
    assert harness.effects_of(dispatch.CancelAttempt) == [dispatch.CancelAttempt(request, 0)]
    assert harness.core.in_flight_count == 1
    harness.done(request, Outcome.CANCELLED)
    assert harness.core.in_flight_count == 0 and len(harness.effects_of(ANSWERS)) == 1


def test_a_committed_attempt_is_the_only_one() -> None:
    limits = api.Limits(can_cancel=True, hedged_requests_enabled=True, max_attempts=3)
    harness = Harness(make_settings(limits=limits, classes=one_class(latency_objective=0.2)))
    request = harness.submit()
    harness.pass_time(harness.now + 2.0)
    starts = harness.effects_of(dispatch.StartAttempt, request)
    assert len(starts) == 2, "a second copy was expected"
    harness.step(dispatch.ResultReady(request, 0), dispatch.ResultReady(request, 1))
    assert harness.effects_of(dispatch.Commit) == [dispatch.Commit(request, 0)]
    assert dispatch.CancelAttempt(request, 1) in harness.effects
    harness.done(request, Outcome.OK, attempt=1)  # it came all the same
    assert not harness.effects_of(ANSWERS)
    harness.done(request, Outcome.OK, attempt=0)
    assert harness.effects_of(ANSWERS) == [dispatch.CompleteRequest(request, 0)]


def test_a_result_that_breaks_off_halfway_ends_the_request() -> None:
    harness = Harness()
    request = harness.submit()
    harness.step(dispatch.ResultReady(request, 0))
    harness.done(request, Outcome.RESET)
    assert len(harness.effects_of(ANSWERS)) == 1 and not harness.effects_of(dispatch.CompleteRequest)
    assert len(harness.effects_of(dispatch.StartAttempt, request)) == 1


def test_a_query_that_is_wrong_itself_gets_the_engines_word_and_harms_no_engine() -> None:
    harness = Harness(engines=1)
    for _ in range(10):
        request = harness.submit()
        harness.done(request, Outcome.ERROR, is_query_fault=True)
        assert harness.effects_of(ANSWERS, request) == [
            dispatch.CompleteRequest(request, 0, is_query_fault=True)
        ]
    assert not [e for e in harness.effects_of(api.Log) if "failing" in e.text]


def test_a_drain_recalls_what_has_not_left() -> None:
    harness = Harness(engines=2)
    request = harness.submit()
    (start,) = harness.effects_of(dispatch.StartAttempt)
    index = [engine_id(n) for n in range(2)].index(start.engine)
    effects = harness.list_engines({index: EngineState.DRAINING, 1 - index: EngineState.READY})
    assert dispatch.WithdrawAttempt(request, 0) in effects
    harness.done(request, Outcome.NOT_SENT)
    second = harness.effects_of(dispatch.StartAttempt, request)[1]
    assert second.engine == engine_id(1 - index)


def test_a_client_that_leaves_in_the_turn_of_its_arrival_starts_nothing() -> None:
    harness = Harness()
    request = harness.core.new_request()
    harness.step(dispatch.Submit(request, 0, 5.0), dispatch.ClientDisconnected(request))
    assert not harness.effects_of(dispatch.StartAttempt) and not harness.effects_of(ANSWERS)
    assert harness.core.pending_count == 0 and harness.core.in_flight_count == 0


def test_a_client_that_leaves_has_its_attempt_cancelled() -> None:
    harness = Harness()
    request = harness.submit()
    harness.step(dispatch.ClientDisconnected(request))
    assert harness.effects_of(dispatch.CancelAttempt) == [dispatch.CancelAttempt(request, 0)]
    harness.done(request, Outcome.CANCELLED)
    assert not harness.effects_of(ANSWERS) and not harness.core._requests


def test_a_stop_refuses_what_is_new_and_answers_what_is_owed() -> None:
    settings = make_settings(classes=one_class(idempotency=Idempotency.UNSAFE))
    harness = Harness(settings)
    running = harness.submit()
    harness.step(dispatch.BeginDrain(5.0))
    late = harness.submit()
    (refusal,) = harness.effects_of(ANSWERS, late)
    assert isinstance(refusal, dispatch.RejectRequest) and 0.0 < refusal.retry_after <= 5.0
    assert not harness.effects_of(ANSWERS, running)
    harness.step(dispatch.FinishDrain(), after=5.0)
    assert [type(a) for a in harness.effects_of(ANSWERS, running)] == [dispatch.FailRequest]
    assert harness.core.pending_count == 0


def test_ten_thousand_held_queries_when_the_fleet_vanishes() -> None:
    harness = Harness(engines=0)
    requests = [harness.core.new_request() for _ in range(10_000)]
    for at in range(0, 10_000, 500):  # what arrives in one turn of the loop is one step
        harness.step(*[dispatch.Submit(n, 0, 3.0) for n in requests[at : at + 500]])
    assert harness.core.pending_count == 10_000
    harness.pass_time(14.0)
    answers = harness.effects_of(ANSWERS)
    assert len(answers) == 10_000 and {a.request for a in answers} == set(requests)
    assert not harness.core._requests and not harness.core.gateway.pending.requests


def test_a_clock_that_goes_back_counts_as_standing_still() -> None:
    harness = Harness()
    harness.submit()
    harness.step(after=-100.0)
    harness.now += 100.0
    request = harness.submit()
    harness.done(request, Outcome.OK)
    assert harness.effects_of(ANSWERS, request) == [dispatch.CompleteRequest(request, 0)]


def test_a_fault_in_the_decisions_loses_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness()
    request = harness.submit()

    def fails(*_: object) -> list[api.Action]:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.gateway, "step", fails)
    other = harness.submit()
    assert [type(a) for a in harness.effects_of(ANSWERS, request)] == [dispatch.FailRequest]
    assert [type(a) for a in harness.effects_of(ANSWERS, other)] == [dispatch.FailRequest]
    assert harness.core.fault_count == 1
    third = harness.submit()  # the list is known anew, and life goes on
    harness.done(third, Outcome.OK)
    assert harness.effects_of(ANSWERS, third) == [dispatch.CompleteRequest(third, 0)]


def test_a_policy_restarts_even_without_its_learned_state(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness()

    def fails(*_: object) -> list[api.Action]:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.gateway, "step", fails)
    monkeypatch.setattr(harness.core.checkpointer, "snapshot_for_restart", fails)
    request = harness.submit()
    assert [type(a) for a in harness.effects_of(ANSWERS, request)] == [dispatch.FailRequest]
    assert harness.core.fault_count == 1
    logs = [e.text for e in harness.effects if isinstance(e, api.Log)]
    assert any("learned state discarded" in text for text in logs)
    second = harness.submit()
    harness.done(second, Outcome.OK)
    assert harness.effects_of(ANSWERS, second) == [dispatch.CompleteRequest(second, 0)]


def test_a_request_cannot_be_submitted_twice() -> None:
    harness = Harness()
    request = harness.submit()
    with pytest.raises(ValueError, match="before"):
        harness.step(dispatch.Submit(request, 0, 1.0))


def random_scenario(seed: int, settings: api.Settings) -> Iterator[tuple[float, list[dispatch.Input]]]:
    """A random scenario that depends on the dispatcher; the generator is sent its effects."""
    random = Random(seed)
    now, in_flight, number = 100.0, [], 0
    states = dict.fromkeys(range(5), EngineState.READY)
    entries = tuple(api.EngineEntry(engine_id(n), s) for n, s in states.items())
    effects = yield now, [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries)]
    for _ in range(300):
        now += random.random() * 0.05
        in_flight += [e for e in effects or [] if isinstance(e, dispatch.StartAttempt)]
        inputs: list[dispatch.Input] = []
        if random.random() < 0.6:
            number += 1
            cls = random.randrange(len(settings.classes))
            inputs.append(
                dispatch.Submit(number, cls, 0.5 + 3.0 * random.random(), ordering_key=random.randrange(3))
            )
        for start in [s for s in in_flight if random.random() < 0.3]:
            in_flight.remove(start)
            outcome = random.choice([Outcome.OK] * 8 + list(Outcome))
            inputs.append(dispatch.AttemptDone(start.request, start.attempt, outcome, random.random()))
        if random.random() < 0.03:
            states[random.randrange(5)] = random.choice(list(EngineState))
            entries = tuple(api.EngineEntry(engine_id(n), s) for n, s in states.items())
            inputs.append(api.EndpointListUpdate(api.EndpointListMode.FULL, 2, entries))
        if number and random.random() < 0.05:
            inputs.append(dispatch.ClientDisconnected(random.randrange(1, number + 1)))
        effects = yield now, inputs


def play(seed: int, settings: api.Settings, core: dispatch.Dispatcher) -> Iterator[list[dispatch.Effect]]:
    scenario = random_scenario(seed, settings)
    now, inputs = next(scenario)
    while True:
        effects = core.step(now, inputs)
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


def test_two_dispatchers_in_one_process_share_nothing() -> None:
    """Two with different settings and seeds, in turns, do what each does alone."""
    first, second = (
        make_settings(classes=MIXED_CLASSES),
        make_settings(classes=MIXED_CLASSES[:2], gateway_count=3, gateway_index=1),
    )
    alone = [
        list(play(1, first, dispatch.Dispatcher(first, 5))),
        list(play(2, second, dispatch.Dispatcher(second, 6))),
    ]
    together = [
        play(1, first, dispatch.Dispatcher(first, 5)),
        play(2, second, dispatch.Dispatcher(second, 6)),
    ]
    mixed: list[list[list[dispatch.Effect]]] = [[], []]
    random, live = Random(3), [0, 1]
    while live:
        which = random.choice(live)
        effects = next(together[which], None)
        if effects is None:
            live.remove(which)
        else:
            mixed[which].append(effects)
    assert mixed == alone
    assert any(isinstance(e, ANSWERS) for step in alone[0] for e in step)


@pytest.mark.parametrize("seed", range(8))
def test_every_request_of_a_random_day_ends_exactly_once(seed: int) -> None:
    settings = make_settings(classes=MIXED_CLASSES)
    core = dispatch.Dispatcher(settings, seed)
    submitted, left, answers = set(), set(), []
    scenario = random_scenario(seed, settings)
    now, inputs = next(scenario)
    while True:
        submitted |= {i.request for i in inputs if isinstance(i, dispatch.Submit)}
        left |= {i.request for i in inputs if isinstance(i, dispatch.ClientDisconnected)}
        effects = core.step(now, inputs)
        answers += [e.request for e in effects if isinstance(e, ANSWERS)]
        try:
            now, inputs = scenario.send(effects)  # type: ignore[attr-defined]
        except StopIteration:
            break
    while core.next_timer < now + 30.0:
        effects = core.step(core.next_timer, [])
        answers += [e.request for e in effects if isinstance(e, ANSWERS)]
    assert len(answers) == len(set(answers))
    assert submitted - set(answers) <= left and core.pending_count == 0


def test_a_record_is_played_again_with_the_same_effects(tmp_path: Path) -> None:
    settings = make_settings(classes=MIXED_CLASSES, progress_interval=1.0)
    sink = io.BytesIO()
    core = dispatch.Dispatcher(settings, 9, RecordingWriter(sink, settings, 9))
    for _ in play(4, settings, core):
        pass
    path = tmp_path / "record"
    path.write_bytes(sink.getvalue())
    steps = list(replay(path))
    assert len(steps) == 301
    assert all(step.recorded == step.replayed for step in steps)
    path.write_bytes(sink.getvalue()[:-3])  # killed while it wrote
    assert len(list(replay(path))) == 300


def test_a_record_that_is_none_says_so(tmp_path: Path) -> None:
    path = tmp_path / "record"
    path.write_bytes(b"not a record")
    with pytest.raises(RecordingError, match="no settings"):
        list(replay(path))


def test_settings_without_cancel_discard_instead() -> None:
    limits = replace(make_settings().limits, can_cancel=False)
    harness = Harness(make_settings(limits=limits))
    request = harness.submit(remaining=1.0)
    harness.pass_time(12.0)
    assert len(harness.effects_of(ANSWERS, request)) == 1
    assert harness.effects_of(dispatch.DiscardAttempt) == [dispatch.DiscardAttempt(request, 0)]
    assert not harness.effects_of(dispatch.CancelAttempt)


def test_a_flood_of_arrivals_is_refused_past_a_bound() -> None:
    """Each held query makes a step dearer: without a bound, a flood would make every answer late."""
    core = dispatch.Dispatcher(make_settings(), 1, max_pending=5)
    requests = [core.new_request() for _ in range(8)]
    effects = core.step(10.0, [dispatch.Submit(n, 0, 5.0) for n in requests])
    assert [e.request for e in effects if isinstance(e, dispatch.RejectRequest)] == requests[5:]
    assert core.pending_count == 5
    effects = core.step(20.0, [])
    assert len([e for e in effects if isinstance(e, ANSWERS)]) == 5
    late = core.new_request()
    assert not [e for e in core.step(20.0, [dispatch.Submit(late, 0, 5.0)]) if isinstance(e, ANSWERS)]


def test_hash_orders_of_table_groups_without_number_are_bounded() -> None:
    """Groups come from the clients' statements; each one's order was kept until the next list."""
    harness = Harness()
    for n in range(5_000):
        request = harness.submit(table_group=n + 1)
        harness.step(dispatch.ClientDisconnected(request))
        harness.done(request, Outcome.CANCELLED)
    assert len(harness.core.gateway.engine_selector.eligibility.rendezvous_order.cached_orders) <= 4_096
