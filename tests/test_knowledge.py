"""What a gateway knows outlives it: rules hold across a restart, and what is old or wrong does no harm."""

from __future__ import annotations

import io
import math
import random
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from conftest import engine_id, make_settings, one_class
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saffronlane import dispatch
from saffronlane import gossip_messages as messages
from saffronlane import interface as api
from saffronlane.dispatch.recording import RecordingWriter, replay
from saffronlane.interface import EngineState, Idempotency, Outcome
from saffronlane.learned_state import (
    IdempotencyLedger,
    PersistedState,
    PurgeCategory,
    StateRestorer,
    Timestamp,
    gap_between,
)
from saffronlane.learned_state import confidence as weigh
from saffronlane.learned_state import records as k
from saffronlane.learned_state.rebase import Rebase
from saffronlane.policy.estimation.run_time_estimator import SEED_ANSWERS
from saffronlane.storage import Entry, RealFiles, recover

HERE = Timestamp(1000.0, 1e9, "boot", "place")
KEYED = replace(
    one_class(
        idempotency=Idempotency.KEYED, idempotency_ttl=10.0, deduplication_scope=api.DeduplicationScope.ZONE
    )[0],
    name="keyed",
)
UNSAFE = replace(one_class(idempotency=Idempotency.UNSAFE)[0], name="unsafe")
ORDERED = replace(one_class(is_ordered=True)[0], name="ordered")


class Life:
    """One run of a dispatcher with a folder in memory, which only what was written reaches."""

    def __init__(
        self, settings: api.Settings, folder: dict[bytes, Entry], at: Timestamp = HERE, seed: int = 1
    ) -> None:
        self.settings, self.folder, self.start = settings, folder, at
        self.memory = PersistedState(tuple(folder.items()), at)
        self.record = io.BytesIO()
        recording = RecordingWriter(self.record, settings, seed, persisted_state=self.memory)
        self.core = dispatch.Dispatcher(
            settings, seed, recording, persisted_state=self.memory, is_persistent=True
        )
        self.now = at.monotonic_s
        self.effects: list[dispatch.Effect] = []
        self.write(self.core.first_changes)
        self.sign()

    def write(self, changes) -> None:
        for change in changes:
            if change.entry is None:
                self.folder.pop(change.key, None)
            else:
                self.folder[change.key] = change.entry

    def sign(self, clean: bool = False) -> None:
        at = self.start
        wall = at.wall_s + self.now - at.monotonic_s
        place = (self.settings.gateway_index, self.settings.gateway_count, clean)
        self.write(
            [k.make_change(k.RUN, k.RunRecord(self.now, wall, at.boot_id, at.directory_id, "test", *place))]
        )

    def step(self, *inputs: dispatch.Input, after: float = 0.0) -> list[dispatch.Effect]:
        self.now += after
        effects = self.core.step(self.now, list(inputs))
        self.effects += effects
        for effect in effects:
            if isinstance(effect, dispatch.Persist):
                self.write(effect.changes)
        return effects

    def list(self, *entries: api.EngineEntry) -> None:
        self.step(api.EndpointListUpdate(api.EndpointListMode.FULL, 1, entries))

    def engines(self, count: int = 3, **fields) -> None:
        self.list(*(api.EngineEntry(engine_id(n), EngineState.READY, **fields) for n in range(count)))

    def submit(self, cls: int = 0, remaining: float = 4.0, **fields) -> int:
        request = self.core.new_request()
        self.step(dispatch.Submit(request, cls, remaining, **fields))
        return request

    def done(
        self, request: int, outcome: Outcome = Outcome.OK, elapsed: float = 0.1, attempt: int = 0, **fields
    ) -> None:
        self.step(dispatch.AttemptDone(request, attempt, outcome, elapsed, **fields), after=elapsed)

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.core.next_timer <= end:
            self.now = max(self.now, self.core.next_timer)
            self.step()
        self.now = max(self.now, end)
        self.sign()

    def sends(self, request: int | None = None) -> list[dispatch.StartAttempt]:
        found = [e for e in self.effects if isinstance(e, dispatch.StartAttempt)]
        return [e for e in found if request in (None, e.request)]

    def answers(self, request: int) -> list[dispatch.Effect]:
        kinds = (dispatch.CompleteRequest, dispatch.RejectRequest, dispatch.FailRequest)
        return [e for e in self.effects if isinstance(e, kinds) and e.request == request]

    def killed(self, gap: float = 0.5, **at) -> Life:
        """The next run; nothing but what was written reaches it."""
        later = Timestamp(
            self.now + gap, self.start.wall_s + self.now - self.start.monotonic_s + gap, "boot", "place"
        )
        return Life(self.settings, self.folder, replace(later, **at))

    def stopped(self, gap: float = 0.5, **at) -> Life:
        self.write(self.core.take_unpersisted_changes())
        self.sign(clean=True)
        return self.killed(gap, **at)


def blind(life: Life) -> Life:
    """The same next run with the folder lost: what each rule's test must see go wrong."""
    return Life(life.settings, {}, replace(life.start))


# --- rule 2 ---


def test_an_unsafe_request_that_may_have_run_is_not_sent_again_after_a_crash():
    life = Life(make_settings(classes=(UNSAFE,)), {})
    life.engines()
    life.submit(idempotency_key=b"mine")
    assert len(life.sends()) == 1
    after = life.killed()
    lost = blind(after)
    for one in (after, lost):
        one.engines()
    again, twice = after.submit(idempotency_key=b"mine"), lost.submit(idempotency_key=b"mine")
    after.pass_time(1.0)
    assert not after.sends(again) and [type(a) for a in after.answers(again)] == [dispatch.FailRequest]
    assert lost.sends(twice)  # without the folder its effect comes twice
    other = after.submit(idempotency_key=b"another")
    assert after.sends(other)


def test_a_keyed_request_is_repeated_only_in_its_group_and_its_time():
    settings = make_settings(classes=(KEYED,), zones=("a", "b"))
    zones = [api.EngineEntry(engine_id(n), EngineState.READY, zone=n % 2) for n in range(6)]
    for gap, sent in ((3.0, True), (9.9, False), (12.0, False)):
        life = Life(settings, {})
        life.list(*zones)
        life.submit(idempotency_key=b"key")
        first = next(e for e in zones if e.engine == life.sends()[0].engine).zone
        after = life.killed(gap)
        after.list(*zones)
        for n in range(8):  # others of other keys go to both zones
            after.submit(idempotency_key=b"other %d" % n)
        again = after.submit(idempotency_key=b"key")
        after.pass_time(0.2)
        assert bool(after.sends(again)) is sent, gap
        if sent:
            zone = next(e for e in zones if e.engine == after.sends(again)[0].engine).zone
            assert zone == first
        else:
            assert [type(a) for a in after.answers(again)] == [dispatch.FailRequest]


def test_where_clocks_lie_a_keyed_request_is_rather_failed_than_repeated():
    """Another boot and a wall clock one hour back: how long ago the key was used cannot be told."""
    life = Life(make_settings(classes=(KEYED,)), {})
    life.engines()
    life.submit(idempotency_key=b"key")
    for at in (
        {"boot_id": "other", "wall_s": HERE.wall_s - 3600.0, "monotonic_s": 5.0},
        {"boot_id": "other", "wall_s": HERE.wall_s + 3600.0, "monotonic_s": 5.0},
    ):
        after = Life(life.settings, dict(life.folder), replace(HERE, **at))
        after.engines()
        again = after.submit(idempotency_key=b"key")
        after.pass_time(0.2)
        assert not after.sends(again) and [type(a) for a in after.answers(again)] == [dispatch.FailRequest]


def test_what_certainly_never_ran_leaves_no_trace():
    life = Life(make_settings(classes=(UNSAFE,), limits=api.Limits(can_cancel=True, max_attempts=1)), {})
    life.engines()
    request = life.submit(idempotency_key=b"mine")
    life.done(request, Outcome.REJECTED)
    life.pass_time(1.0)
    assert not [key for key in life.folder if key.startswith(k.IDEMPOTENCY)]
    after = life.killed()
    after.engines()
    assert after.sends(after.submit(idempotency_key=b"mine"))


def test_a_client_that_repeats_while_the_first_still_runs_gets_no_second_effect():
    life = Life(make_settings(classes=(UNSAFE,)), {})
    life.engines()
    life.submit(idempotency_key=b"mine")
    again = life.submit(idempotency_key=b"mine")
    life.pass_time(0.2)
    (answer,) = life.answers(again)
    assert not life.sends(again) and isinstance(answer, dispatch.FailRequest) and "this key" in answer.reason


def test_requests_that_are_forgotten_leave_the_folder_too():
    life = Life(make_settings(classes=(UNSAFE,)), {})
    life.engines()
    for n in range(5):
        life.done(life.submit(idempotency_key=b"%d" % n))
    life.pass_time(1.0)
    assert sum(key.startswith(k.IDEMPOTENCY) for key in life.folder) == 5
    late = Life(life.settings, dict(life.folder), replace(HERE, monotonic_s=life.now + 100.0))
    assert not [key for key in late.folder if key.startswith(k.IDEMPOTENCY)]
    life.pass_time(100.0)
    life.submit()
    life.pass_time(1.0)
    assert not [key for key in life.folder if key.startswith(k.IDEMPOTENCY)]


def test_requests_are_forgotten_in_time_and_in_number(monkeypatch):
    monkeypatch.setattr("saffronlane.learned_state.ledger.MAX_ENTRIES", 10)
    ledger = IdempotencyLedger()
    entry = api.EngineEntry(b"e", EngineState.READY)
    for n in range(50):
        ledger.record_attempt(b"%d" % n, KEYED, float(n), entry)
    assert len(ledger) == 10
    assert ledger.previous_attempt(b"49", 49.0) is not None and ledger.previous_attempt(b"20", 49.0) is None
    assert (
        ledger.previous_attempt(
            b"49", 49.0 + KEYED.idempotency_ttl + weigh.CLIENT_RETRY_DEADLINES * KEYED.deadline
        )
        is None
    )
    assert len(ledger) == 0


# --- rule 5 ---


def test_an_ordered_key_waits_out_what_an_attempt_from_before_the_crash_may_still_do():
    settings = make_settings(classes=(ORDERED,), guarantees=api.Guarantees(ordering_cooldown=1.0))
    life = Life(settings, {})
    life.engines()
    life.submit(ordering_key=7)
    after = life.killed()
    lost = blind(after)
    for one in (after, lost):
        one.engines()
    waits, other, early = (
        after.submit(ordering_key=7),
        after.submit(ordering_key=8),
        lost.submit(ordering_key=7),
    )
    assert not after.sends(waits) and after.sends(other)
    assert lost.sends(early)  # without the folder the two may overlap
    after.pass_time(0.9)
    assert not after.sends(waits)
    after.pass_time(0.4)
    assert after.sends(waits)


def test_a_key_at_rest_goes_on_resting_and_one_that_ended_does_not():
    settings = make_settings(classes=(ORDERED,), guarantees=api.Guarantees(ordering_cooldown=3.0))
    life = Life(settings, {})
    life.engines()
    cut, fine = life.submit(ordering_key=1), life.submit(ordering_key=2)
    life.done(cut, Outcome.RESET)
    life.done(fine)
    life.pass_time(1.0)
    after = life.killed(gap=0.5)
    after.engines()
    first, second = after.submit(ordering_key=1), after.submit(ordering_key=2)
    assert not after.sends(first) and after.sends(second)
    after.pass_time(2.0)
    assert after.sends(first)


# --- rule 4 ---


COLD = api.Guarantees(
    slow_start_overload_factor=3.0,
    slow_start_overload_window=2.0,
    slow_start_initial_ratio=0.3,
    slow_start_duration=10.0,
)


def cold_work(life: Life) -> float:
    """Sends to the cold engine until it gets no more in this window."""
    before = len(life.sends())
    for _ in range(60):
        life.submit()
    return sum(e.engine == engine_id(0) for e in life.sends()[before:])


def test_a_cold_engine_is_not_sent_its_budget_once_more_by_a_restarted_gateway():
    settings = make_settings(guarantees=COLD)

    def listed(life: Life) -> None:
        life.list(
            api.EngineEntry(engine_id(0), EngineState.READY, started_at=HERE.monotonic_s - 0.5),
            api.EngineEntry(engine_id(1), EngineState.READY),
        )

    life = Life(settings, {})
    life.start = HERE
    listed(life)
    assert cold_work(life) == 0  # a first start knows of no sends before it, and waits a window
    life.pass_time(2.1)
    full = cold_work(life)
    assert full > 0
    life.pass_time(0.2)
    careless = dict(life.folder)
    after = life.killed(gap=0.3)  # exact: the last sign is fresh
    listed(after)
    assert cold_work(after) <= 1 + 0.12 * full  # it has warmed from 0.34 to 0.38 meanwhile
    after.pass_time(2.0)
    assert 0 < cold_work(after) <= 1.6 * full  # and to 0.52

    for key in [key for key in careless if key.startswith(k.ENGINE)]:
        del careless[key]
    wrong = Life(settings, careless, after.start)
    listed(wrong)
    assert cold_work(wrong) > 0.5 * full  # trusted as exact without its ledger, it would get twice as much


def test_ledgers_count_as_all_there_was_only_if_they_can_be():
    """Else a cold engine gets nothing for a window, as without a folder."""
    settings = make_settings(guarantees=COLD)
    life = Life(settings, {})
    life.engines()
    life.pass_time(3.0)
    cases = {
        "fresh": (life.killed(gap=0.5), True),
        "an hour old": (life.killed(gap=3600.0), False),
        "copied": (life.killed(gap=0.5, directory_id="elsewhere"), False),
        "after a boot": (life.killed(gap=0.5, boot_id="next", monotonic_s=1.0), False),
    }
    for name, (after, exact) in cases.items():
        assert (after.core.gateway.step_context.started_at < after.start.monotonic_s) is exact, name
    after = life.stopped(gap=60.0)
    assert after.core.gateway.step_context.started_at < life.now  # it told of its end: nothing was sent since


def test_a_run_that_was_not_exact_does_not_make_the_next_one_so():
    """Guards a crash loop: each run's sign is fresh to the next, but the first one's ledgers had a gap."""
    settings = make_settings(guarantees=COLD)
    life = Life(settings, {})
    life.engines()
    second = life.killed(gap=3600.0)
    third = second.killed(gap=0.5)
    assert third.core.gateway.step_context.started_at == second.start.monotonic_s


# --- rule 7 ---


def test_a_restart_gives_no_fresh_allowance_of_further_attempts():
    rules = api.Guarantees(retry_budget_base=2.0, retry_budget_ratio=0.0, retry_budget_window=10.0)
    settings = make_settings(guarantees=rules)
    life = Life(settings, {})
    life.engines(6)
    life.pass_time(11.0)  # what comes free comes after a window: an earlier run may have used it

    def failing(one: Life, requests: int = 8) -> int:
        before = len(one.sends())
        made = [one.submit() for _ in range(requests)]
        for attempt in range(2):
            for request in made:
                if len(one.sends(request)) > attempt:
                    one.done(request, Outcome.ERROR, elapsed=0.01, attempt=attempt)
        return sum(e.attempt > 0 for e in one.sends()[before:])

    assert failing(life) == 2
    after = life.killed(gap=1.0)
    lost = blind(after)
    for one in (after, lost):
        one.engines(6)
    assert failing(lost) == 0  # a fresh allowance would make it four in one window
    assert failing(after) == 0
    for one in (after, lost):
        one.pass_time(11.0)
        assert failing(one) == 2


def test_arrivals_before_the_restart_still_earn_further_attempts():
    rules = api.Guarantees(retry_budget_base=0.0, retry_budget_ratio=0.1, retry_budget_window=10.0)
    life = Life(make_settings(guarantees=rules), {})
    life.engines(4)
    for _ in range(40):
        life.done(life.submit(), elapsed=0.01)
    life.pass_time(1.0)
    after = life.killed()
    after.engines(4)
    request = after.submit()
    after.done(request, Outcome.ERROR, elapsed=0.01)
    assert len(after.sends(request)) == 2


# --- written ahead ---


def test_what_a_rule_needs_after_a_crash_is_written_before_the_attempt_leaves():
    settings = make_settings(
        classes=(UNSAFE, ORDERED, make_settings().classes[0]),
        guarantees=replace(COLD, retry_budget_base=5.0, retry_budget_window=10.0),
    )
    life = Life(settings, {})
    life.list(*(api.EngineEntry(engine_id(n), EngineState.READY) for n in range(3)))
    life.pass_time(11.0)

    def step_of(request: int, attempt: int = 0) -> tuple[int, dispatch.StartAttempt]:
        start = next(e for e in life.sends(request) if e.attempt == attempt)
        return life.effects.index(start), start

    for fields, key in (
        ({"cls": 0, "idempotency_key": b"x"}, k.IDEMPOTENCY + b"x"),
        ({"cls": 1, "ordering_key": 9}, k.ORDERING + (9).to_bytes(8, "big")),
    ):
        before = len(life.effects)
        at, start = step_of(life.submit(**fields))
        keep = next(
            e for e in life.effects[before:at] if isinstance(e, dispatch.Persist) and e.is_write_ahead
        )
        assert start.durability_timeout > 0.0 and key in [c.key for c in keep.changes]
    plain = life.submit(cls=2)
    assert step_of(plain)[1].durability_timeout == 0.0  # nothing depends on it: it does not wait
    before = len(life.effects)
    life.done(plain, Outcome.ERROR)
    at, start = step_of(plain, 1)
    keep = next(e for e in life.effects[before:at] if isinstance(e, dispatch.Persist) and e.is_write_ahead)
    assert start.durability_timeout > 0.0 and k.RETRY_BUDGET in [c.key for c in keep.changes]


def test_without_a_folder_nothing_waits():
    core = dispatch.Dispatcher(make_settings(classes=(UNSAFE,)), 1)
    core.step(
        1.0,
        [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, (api.EngineEntry(b"e", EngineState.READY),))],
    )
    effects = core.step(2.0, [dispatch.Submit(core.new_request(), 0, 4.0, idempotency_key=b"x")])
    assert [e.durability_timeout for e in effects if isinstance(e, dispatch.StartAttempt)] == [0.0]
    assert (
        not [e for e in effects if isinstance(e, dispatch.Persist)]
        and core.checkpointer.next_checkpoint_at == math.inf
    )


# --- what was learned ---


def taught(pace: float = 0.05, answers: int = 60, **settings) -> Life:
    life = Life(make_settings(**settings), {})
    life.engines(4)
    for _ in range(answers):
        life.done(life.submit(), elapsed=pace, work=pace)
    life.pass_time(1.0)
    return life


def test_right_knowledge_is_there_at_once():
    after = taught(0.05).killed()
    after.engines(4)
    assert after.core.gateway.workload_estimates.estimators[0].exec_time() == pytest.approx(0.05, rel=0.02)
    assert after.core.checkpointer.summary.classes["short"] == pytest.approx(
        weigh.MAX_EFFECTIVE_SAMPLES, rel=0.01
    )
    said = [e.text for e in after.effects if isinstance(e, api.Log)]
    assert said == ["learned state restored: engines: 4; classes: short (16 effective samples)"]


def test_knowledge_fades_as_it_ages():
    paces = []
    for gap in (1.0, 3600.0, 86_400.0, 30 * 86_400.0):
        after = taught(0.05).killed(gap)
        after.engines(4)
        paces.append(after.core.gateway.workload_estimates.estimators[0].exec_time())
    seed = Life(make_settings(), {}).core.gateway.workload_estimates.estimators[0].exec_time()
    assert paces == sorted(paces) and paces[0] < 0.06 and paces[3] == pytest.approx(seed)


@given(st.floats(0.5, 33.0), st.lists(st.floats(0.0, 1e5), min_size=1, max_size=20))
def test_ages_add_up_however_often_it_is_saved_and_loaded(mass, gaps):
    stepwise = min(weigh.MAX_EFFECTIVE_SAMPLES, mass)
    for gap in gaps:
        stepwise = weigh.effective_samples(stepwise, gap, 1.0)
    assert stepwise == pytest.approx(
        weigh.effective_samples(min(weigh.MAX_EFFECTIVE_SAMPLES, mass), sum(gaps), 1.0), rel=1e-6
    )


def test_a_restart_loop_neither_ages_nor_multiplies_what_is_known():
    life = taught(0.05)
    before = weigh.MAX_EFFECTIVE_SAMPLES
    for _ in range(40):  # dies every two seconds, without an answer
        life = life.killed(gap=0.2)
        life.engines(4)
        life.pass_time(1.8)
    kept = k.decode(k.CLASS + b"short", life.folder[k.CLASS + b"short"])
    assert kept.effective_samples == pytest.approx(weigh.effective_samples(before, 80.0, 1.0), rel=0.05)
    assert kept.latency_per_cost == pytest.approx(0.05, rel=0.02)
    for _ in range(40):  # one answer a life: as many answers as there were, the seeds never among them
        life = life.killed(gap=0.2)
        life.engines(4)
        life.done(life.submit(), elapsed=0.05, work=0.05)
        life.pass_time(1.8)
    kept = k.decode(k.CLASS + b"short", life.folder[k.CLASS + b"short"])
    assert (
        kept.effective_samples <= weigh.MAX_EFFECTIVE_SAMPLES + 1.0
        and kept.latency_per_cost == pytest.approx(0.05, rel=0.02)
    )


@pytest.mark.parametrize("factor", [0.01, 0.1, 0.3, 3.0, 10.0, 100.0])
def test_wrong_knowledge_washes_out_within_a_few_answers(factor):
    """The bound that docs/knowledge.md states: within twice the true pace after 24 answers, or as soon as a
    gateway that knows nothing, and the 4 answers on which it is found out."""

    def answers_until_right(life: Life) -> int:
        known, needed = life.core.gateway.workload_estimates.estimators[0], 0
        for n in range(60):
            if not 0.5 < known.exec_time() / 0.05 < 2.0:
                needed = n + 1
            life.done(life.submit(), elapsed=0.05, work=0.05)
        return needed

    after = taught(0.05 * factor).killed()
    lost = blind(after)
    for one in (after, lost):
        one.engines(4)
    needed, none = answers_until_right(after), answers_until_right(lost)
    assert needed <= max(24, none + 4), (needed, none)
    if abs(math.log(factor)) > 2.0:
        assert any("is dropped" in e.text for e in after.effects if isinstance(e, api.Log))


def test_knowledge_that_keeps_its_own_refutation_away_is_dropped():
    """Guards a class whose recalled needs fit no engine: nothing is sent, so no answer could ever tell."""
    life = taught(limits=replace(make_settings().limits, gossip_enabled=True))
    life.core.gateway.workload_estimates.estimators[0].memory_requirement = 1e8
    life.done(life.submit(), elapsed=0.05, work=0.05)
    life.pass_time(1.0)
    after = life.killed()
    after.engines(4)
    # Others hold so much that only a small need fits.
    for n, engine in enumerate(after.core.gateway.engine_registry.engines):
        told = messages.GossipMessage(n, 1, False, 0, 40.0, 0.6, messages.engine_digest(engine))
        after.step(api.PeerMessage(1, messages.encode(told)))
    held = after.submit(estimated_memory_mb=100.0)
    assert not after.sends(held)
    for _ in range(12):
        after.pass_time(1.0)
        held = after.submit(estimated_memory_mb=100.0)
    assert (
        after.sends(held) and after.core.gateway.workload_estimates.estimators[0].memory_requirement < 100.0
    )


def test_other_settings_of_a_class_make_what_was_learned_say_nothing():
    life = taught()
    changed = replace(
        life.settings, classes=(replace(life.settings.classes[0], threads=2), life.settings.classes[1])
    )
    after = Life(changed, life.folder, replace(HERE, monotonic_s=life.now + 1.0))
    after.engines(4)
    assert (
        not after.core.checkpointer.summary.classes
        and "settings have changed" in after.core.checkpointer.summary.notes[0]
    )


def test_classes_that_changed_their_order_keep_what_is_theirs():
    life = taught()
    after = Life(
        replace(life.settings, classes=life.settings.classes[::-1]),
        life.folder,
        replace(HERE, monotonic_s=life.now),
    )
    after.engines(4)
    assert after.core.gateway.workload_estimates.estimators[1].exec_time() == pytest.approx(0.05, rel=0.02)


def test_another_fleet_halves_what_classes_know_and_another_kind_ends_it():
    kinds = (api.MachineType("kind", 8.0, 16384.0), api.MachineType("big", 64.0, 16384.0))
    for names, kind, expected in (
        ("same", 0, 1.0),
        ("other", 0, weigh.SAME_MACHINE_TYPES_WEIGHT),
        ("other", 1, 0.0),
    ):
        after = taught(machine_types=kinds).killed()
        base = 0 if names == "same" else 100
        after.list(
            *(api.EngineEntry(engine_id(base + n), EngineState.READY, machine_type=kind) for n in range(4))
        )
        mass = after.core.checkpointer.summary.classes.get("short", 0.0)
        assert mass == pytest.approx(min(weigh.MAX_EFFECTIVE_SAMPLES, expected * 28.0), rel=0.05), (
            names,
            kind,
        )


def test_the_limit_of_a_jam_outlives_a_crash_and_fades():
    life = taught()
    life.core.gateway.concurrency_limit.limit, life.core.gateway.concurrency_limit.latency_inflation = (
        6.0,
        5.0,
    )
    life.done(life.submit(), elapsed=0.05, work=0.01)
    life.pass_time(1.0)
    before = life.core.gateway.concurrency_limit.limit
    soon, late = life.killed(1.0).core.gateway, life.killed(120.0).core.gateway
    assert (
        before < soon.concurrency_limit.limit < 1.5 * before
        and soon.concurrency_limit.latency_inflation > 1.0
    )
    assert late.concurrency_limit.limit == math.inf and late.concurrency_limit.latency_inflation == 1.0


# --- engines ---


def ill_engine(started: float = 0.0) -> Life:
    life = Life(make_settings(), {})
    life.engines(4, started_at=started)
    for _ in range(40):
        request = life.submit()
        bad = life.sends(request)[0].engine == engine_id(0)
        life.done(request, Outcome.RESET if bad else Outcome.OK, elapsed=0.02)
        if bad and len(life.sends(request)) > 1:
            life.done(request, elapsed=0.02, attempt=1)
    assert life.core.gateway.engine_registry.engines[engine_id(0)].is_ejected
    life.pass_time(1.0)
    return life


def test_an_ill_engine_is_not_found_out_anew():
    after = ill_engine().killed()
    after.engines(4)
    engine = after.core.gateway.engine_registry.engines[engine_id(0)]
    assert engine.is_ejected and not after.core.gateway.engine_registry.engines[engine_id(1)].is_ejected
    sends = [after.submit() for _ in range(20)]
    assert sum(e.engine == engine_id(0) for r in sends for e in after.sends(r)) <= 1  # a trial


def test_an_engine_that_restarted_or_changed_meanwhile_begins_well():
    life = ill_engine(started=HERE.monotonic_s - 500.0)
    again = life.killed()
    again.engines(4, started_at=HERE.monotonic_s - 500.0)
    assert again.core.gateway.engine_registry.engines[engine_id(0)].is_ejected
    restarted = life.killed()
    restarted.engines(4, started_at=life.now)
    assert not restarted.core.gateway.engine_registry.engines[engine_id(0)].is_ejected


def test_wrong_illness_is_disproved_by_its_trials():
    after = ill_engine().killed(gap=2.0)
    after.engines(4)
    engine = after.core.gateway.engine_registry.engines[engine_id(0)]
    while engine.is_ejected and after.now - after.start.monotonic_s < 12.0:
        after.done(after.submit(), elapsed=0.02)
    assert not engine.is_ejected


def test_old_illness_says_nothing():
    after = ill_engine().killed(gap=weigh.MAX_HEALTH_AGE + 1.0)
    after.engines(4)
    assert not after.core.gateway.engine_registry.engines[engine_id(0)].is_ejected


def test_engines_that_left_the_list_are_remembered_for_a_while_and_then_not():
    life = taught()
    after = life.killed()
    after.list(api.EngineEntry(engine_id(0), EngineState.READY))
    after.done(after.submit(), elapsed=0.05)
    after.pass_time(1.0)
    assert k.ENGINE + engine_id(3) in after.folder
    later = after.killed(gap=weigh.MAX_UNLISTED_ENGINE_AGE + 200.0)
    later.list(api.EngineEntry(engine_id(0), EngineState.READY))
    later.done(later.submit(), elapsed=0.05)
    later.pass_time(1.0)
    assert k.ENGINE + engine_id(3) not in later.folder and k.ENGINE + engine_id(0) in later.folder


# --- what cannot be trusted ---


def test_a_folder_never_holds_times_of_two_clocks():
    """Guards a boot and a crash before the first list: nothing of what was recalled was exported yet."""
    life = taught()
    booted = life.killed(gap=3600.0, boot_id="next", monotonic_s=20.0)
    kept = k.decode(k.CLASS + b"short", booted.folder[k.CLASS + b"short"])
    assert kept.updated_at <= 20.0 - 3600.0 + 5.0
    third = booted.killed(gap=0.5, boot_id="next")
    third.engines(4)
    assert third.core.checkpointer.summary.classes["short"] < 8.0  # an hour old, whichever boot is asked


def test_entries_that_make_no_sense_are_named_and_cost_only_themselves():
    life = taught()
    folder = dict(life.folder)
    folder[k.CLASS + b"long"] = Entry(1, b"\xc1 no msgpack")
    folder[k.ENGINE + engine_id(0)] = Entry(1, msgspec.msgpack.encode([1, 2]))
    folder[k.RETRY_BUDGET] = Entry(9, b"of the future")
    folder[b"z/unknown"] = Entry(1, b"")
    after = Life(life.settings, folder, replace(HERE, monotonic_s=life.now + 1.0))
    after.engines(4)
    assert after.core.gateway.workload_estimates.estimators[0].exec_time() == pytest.approx(0.05, rel=0.02)
    assert len(after.core.checkpointer.summary.notes) == 4
    after.pass_time(2.0)
    assert (
        folder[b"z/unknown"] == Entry(1, b"") and folder[k.RETRY_BUDGET].version == 9
    )  # left for who knows them


NUMBERS = st.one_of(st.floats(), st.integers(-(2**63), 2**63), st.sampled_from([0.0, -1e12, 1e308]))


@hypothesis_settings(max_examples=150, deadline=None)
@given(st.data())
def test_no_value_in_a_folder_takes_the_gateway_down(data):
    """A checksum proves who wrote it, not that it makes sense."""

    def value(kind: type):
        plain = {float: NUMBERS, int: st.integers(0, 2**40), bool: st.booleans(), str: st.text(max_size=4)}
        fields = []
        for field in msgspec.structs.fields(kind):
            if field.type in plain:
                fields.append(data.draw(plain[field.type]))
            elif field.type is bytes:
                fields.append(data.draw(st.binary(max_size=6)))
            elif field.name == "extras":
                fields.append(data.draw(st.lists(NUMBERS, max_size=3)))
            elif field.name == "entries":
                fields.append([(1, 2, data.draw(NUMBERS), engine_id(0), data.draw(NUMBERS), 1.0, None)])
            else:
                fields.append([(data.draw(NUMBERS), data.draw(st.integers(0, 3))) for _ in range(2)])
        return Entry(1, msgspec.msgpack.encode(fields))

    mark = k.class_settings_digest(make_settings(), make_settings().classes[0])
    folder = {
        k.RUN: value(k.RunRecord),
        k.RETRY_BUDGET: value(k.RetryBudgetRecord),
        k.FLEET: value(k.FleetRecord),
        k.PEER_LOAD: value(k.PeerLoadRecord),
        k.ENGINE + engine_id(0): value(k.EngineRecord),
        k.IDEMPOTENCY + b"x": value(k.IdempotencyRecord),
        k.ORDERING + bytes(8): value(k.OrderingRecord),
    }
    figures = msgspec.msgpack.decode(value(k.ClassRecord).value)
    folder[k.CLASS + b"short"] = Entry(1, msgspec.msgpack.encode([mark, *figures[1:]]))
    life = Life(
        make_settings(guarantees=replace(COLD, retry_budget_base=1.0, retry_budget_window=9.0)), folder
    )
    life.engines(3)
    requests = [life.submit(idempotency_key=b"x"), life.submit(ordering_key=1), life.submit()]
    life.pass_time(30.0)
    assert life.core.fault_count == 0
    assert all(life.answers(r) or life.sends(r) for r in requests)


@given(st.floats(0, 1e6), st.floats(-1e5, 1e5), st.booleans(), st.floats(0, 1e6))
def test_a_gap_has_bounds_on_the_side_of_the_rules(mono, step, same, then):
    last, now = Timestamp(then, 1e9, "a", "p"), Timestamp(mono, 1e9 + step, "a" if same else "b", "p")
    gap = gap_between(last, now)
    assert 0.0 <= gap.min_seconds <= gap.max_seconds
    rebase = Rebase(gap)
    for time in (then, then - 100.0):
        assert (
            rebase.earliest_time(time) <= rebase.latest_time(time) <= max(mono, mono + gap.min_seconds) + 1e-6
        )


# --- in one process ---


def test_decisions_that_begin_anew_in_place_go_on_with_what_was_known():
    settings = make_settings(
        classes=(ORDERED, UNSAFE),
        guarantees=api.Guarantees(ordering_cooldown=2.0, retry_budget_base=1.0, retry_budget_window=9.0),
    )
    life = Life(settings, {})
    life.engines(4)
    for _ in range(20):
        life.done(life.submit(), elapsed=0.05)
    open_one = life.submit(ordering_key=5)
    unsafe = life.submit(cls=1, idempotency_key=b"u")
    life.core.gateway.hedging.on_progress = lambda event: 1 / 0
    life.step(dispatch.AttemptProgress(open_one, 0, api.ProgressKind.PROGRESS, 0.5))
    assert life.core.fault_count == 1 and life.answers(open_one) and life.answers(unsafe)
    assert life.core.gateway.workload_estimates.estimators[0].exec_time() == pytest.approx(0.05, rel=0.05)
    life.pass_time(1.7)
    waits, again = life.submit(ordering_key=5), life.submit(cls=1, idempotency_key=b"u")
    assert not life.sends(waits) and not life.sends(again)
    life.pass_time(0.4)
    assert life.sends(waits)
    life.done(waits, elapsed=0.05)
    life.pass_time(1.0)
    assert not [
        key for key in life.folder if key.startswith(k.ORDERING)
    ]  # nor does the folder keep what is over


def test_a_recorded_run_with_a_memory_is_played_again_alike(tmp_path: Path):
    after = ill_engine().killed()
    after.engines(4)
    for n in range(30):
        after.done(after.submit(idempotency_key=b"%d" % n), elapsed=0.03)
    after.step(dispatch.PurgeLearnedState((PurgeCategory.CLASSES,)))
    after.pass_time(3.0)
    path = tmp_path / "record"
    path.write_bytes(after.record.getvalue())
    steps = list(replay(path))
    assert len(steps) > 30 and all(step.recorded == step.replayed for step in steps)


def test_an_operator_may_have_a_running_gateway_forget():
    life = ill_engine()
    life.step(dispatch.PurgeLearnedState((PurgeCategory.CLASSES, PurgeCategory.ENGINES)))
    life.pass_time(1.0)
    gateway = life.core.gateway
    assert (
        not gateway.engine_registry.engines[engine_id(0)].is_ejected
        and gateway.workload_estimates.estimators[0].answer_count == 0
    )
    assert k.CLASS + b"short" not in life.folder
    after = life.killed()
    after.engines(4)
    assert after.core.gateway.workload_estimates.estimators[0].answer_count == 0


def test_a_folder_that_comes_free_later_is_taken_in_while_the_gateway_runs(tmp_path: Path):
    """Guards a restart in which the old process still drains while the new one starts."""
    rules = api.Guarantees(ordering_cooldown=1.0, retry_budget_base=1.0, retry_budget_window=9.0)
    old = Life(make_settings(classes=(UNSAFE, ORDERED), guarantees=rules), {})
    old.engines(4)
    for _ in range(30):
        old.done(old.submit(cls=1), elapsed=0.05)
    old.submit(cls=0, idempotency_key=b"mine")
    old.submit(cls=1, ordering_key=3)
    old.pass_time(1.0)
    new = Life(old.settings, {}, replace(HERE, monotonic_s=old.now))
    core = dispatch.Dispatcher(old.settings, 1)
    new.core, new.effects = core, []
    new.engines(4)
    new.submit(cls=0)
    old.sign()
    new.folder = dict(old.folder)
    new.step(
        dispatch.AttachLearnedState(
            PersistedState(tuple(old.folder.items()), replace(HERE, monotonic_s=old.now + 0.5))
        ),
        after=0.5,
    )
    again, waits = new.submit(cls=0, idempotency_key=b"mine"), new.submit(cls=1, ordering_key=3)
    new.pass_time(0.5)
    assert not new.sends(again) and not new.sends(waits)
    assert core.gateway.workload_estimates.estimators[1].exec_time() == pytest.approx(0.05, rel=0.05)
    assert {k.IDEMPOTENCY + b"mine", k.CLASS + b"ordered"} <= set(new.folder)  # kept on, by the new one


def test_a_folder_of_every_older_version_is_read(tmp_path: Path):
    """Fixtures made by the code of their time; one is added when a version changes, none is made anew."""
    for path in sorted(Path(__file__).parent.glob("fixtures/knowledge-v*")):
        found = recover(RealFiles(path, create_missing=False))
        assert not found.problems and len(found.state) == 8, path
        settings = make_settings(
            guarantees=replace(COLD, ordering_cooldown=2.0, retry_budget_base=2.0, retry_budget_window=9.0)
        )
        life = Life(settings, dict(found.state.items()), Timestamp(5000.5, 1.7e9 + 0.5, "boot", "place"))
        life.list(api.EngineEntry(engine_id(0), EngineState.READY))
        summary = life.core.checkpointer.summary
        assert (
            summary.notes == []
            and summary.has_complete_ledgers
            and summary.classes == {"short": weigh.MAX_EFFECTIVE_SAMPLES}
        )
        assert (summary.engines, summary.idempotency_keys, summary.ordering_keys) == (1, 1, 1)
        gateway = life.core.gateway
        assert (
            gateway.engine_registry.engines[engine_id(0)].is_ejected
            and len(gateway.completion.retry_policy.budget.retries) == 1
        )
        changed = life.folder[k.CLASS + b"short"]
        assert changed.version == k.VERSIONS[k.CLASS]  # written anew as of this version


def test_a_folder_of_another_gateway_counts_less_and_is_not_exact():
    life = taught()
    settings = replace(life.settings, gateway_count=2, gateway_index=1)
    recall = StateRestorer(
        settings, PersistedState(tuple(life.folder.items()), replace(HERE, monotonic_s=life.now + 0.1))
    )
    assert (
        not recall.confidence.has_complete_ledgers
        and recall.confidence.weight == weigh.COPIED_DIRECTORY_WEIGHT
    )
    assert "gateway 0 of 1" in recall.summary.notes[0]


def test_seeds_give_way_to_knowledge_answer_by_answer():
    assert (
        weigh.remaining_seed_samples(0.0) == SEED_ANSWERS
        and weigh.remaining_seed_samples(1.5) == SEED_ANSWERS - 1.5
        and weigh.remaining_seed_samples(9.0) == 0.0
    )


def test_every_state_of_a_random_life_can_be_taken_over():
    """Random events, a crash at a random step, and the next life keeps on answering everything once."""
    for seed in range(12):
        draw = random.Random(seed)
        settings = make_settings(
            classes=(make_settings().classes[0], KEYED, replace(UNSAFE, is_ordered=True)),
            guarantees=replace(
                COLD,
                ordering_cooldown=0.5,
                retry_budget_base=2.0,
                retry_budget_ratio=0.2,
                retry_budget_window=5.0,
            ),
        )
        life = Life(settings, {}, seed=seed)
        for number in range(6):
            started = HERE.monotonic_s - 5.0 + number
            life.list(
                *(api.EngineEntry(engine_id(n), EngineState.READY, started_at=started) for n in range(4))
            )
            for step in range(draw.randrange(5, 60)):
                kind = draw.randrange(3)
                name = b"%d-%d-%d" % (seed, number, step) if draw.random() < 0.7 else b"same"
                life.submit(kind, ordering_key=draw.randrange(3), idempotency_key=name if kind else b"")
                out = [e for e in life.sends() if not life.answers(e.request)]
                if out:
                    one = draw.choice(out)
                    life.done(one.request, draw.choice(list(Outcome)), draw.random() * 0.3, one.attempt)
                life.pass_time(draw.random() * 0.2)
            assert life.core.fault_count == 0
            life = draw.choice([life.killed, life.stopped])(gap=draw.choice([0.2, 2.0, 100.0]))
