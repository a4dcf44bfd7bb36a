"""The life of a connection and of the process: every state with every event, and any order of them."""

from __future__ import annotations

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from saffronlane.platform.lifecycle import (
    ConnectionLifecycle,
    ConnectionLimits,
    Event,
    Phase,
    ProcessLifecycle,
    State,
)
from saffronlane.platform.lifecycle.process import (
    NEW_REQUEST_WINDOW,
    QUIET_PERIOD,
    OutstandingWork,
    shutdown_grace_period,
)

BOUNDS = ConnectionLimits(connect_timeout=0.25, stall_timeout=5.0, linger_timeout=0.5, max_linger_bytes=1000)
WAYS: dict[State, tuple[Event, ...]] = {
    State.CONNECTING: (),
    State.OPEN: (Event.CONNECTED,),
    State.DRAINING: (Event.CONNECTED, Event.DRAIN),
    State.FLUSHING: (Event.CONNECTED, Event.DRAIN, Event.SETTLED),
    State.HALF_CLOSED: (Event.CONNECTED, Event.DRAIN, Event.SETTLED, Event.FLUSHED),
    State.CLOSED: (Event.ABORT,),
}
# The table of docs/platform.md, "How connections end": what is not named here stays where it is.
NEXT: dict[State, dict[Event, State]] = {
    State.CONNECTING: {Event.CONNECTED: State.OPEN, Event.DRAIN: State.CLOSED},
    State.OPEN: {Event.DRAIN: State.DRAINING},
    State.DRAINING: {Event.SETTLED: State.FLUSHING},
    State.FLUSHING: {Event.FLUSHED: State.HALF_CLOSED},
    State.HALF_CLOSED: {},
    State.CLOSED: {},
}
ENDS = (Event.EOF, Event.BROKEN, Event.EXPIRED, Event.ABORT)


def reached(state: State, now: float = 100.0) -> ConnectionLifecycle:
    life = ConnectionLifecycle(BOUNDS, now, outgoing=True)
    for event in WAYS[state]:
        life.handle(event, now)
    assert life.state is state
    return life


@pytest.mark.parametrize("event", Event)
@pytest.mark.parametrize("state", State)
def test_every_state_with_every_event(state: State, event: Event) -> None:
    life = reached(state)
    expected = State.CLOSED if event in ENDS else NEXT[state].get(event, state)
    assert life.handle(event, 101.0) is expected


@pytest.mark.parametrize(
    ("state", "takes", "acts", "writes", "closing"),
    [
        (State.CONNECTING, True, False, False, False),
        (State.OPEN, True, True, True, False),
        (State.DRAINING, False, True, True, False),
        (State.FLUSHING, False, False, True, True),
        (State.HALF_CLOSED, False, False, False, True),
        (State.CLOSED, False, False, False, False),
    ],
)
def test_what_each_state_allows(state: State, takes: bool, acts: bool, writes: bool, closing: bool) -> None:
    life = reached(state)
    assert (life.accepts_work, life.processes_input, life.allows_writes, life.is_closing) == (
        takes,
        acts,
        writes,
        closing,
    )


@pytest.mark.parametrize(
    ("state", "until"),
    [
        (State.CONNECTING, 100.25),
        (State.OPEN, math.inf),
        (State.DRAINING, math.inf),
        (State.FLUSHING, 105.0),
        (State.HALF_CLOSED, 100.5),
    ],
)
def test_what_waits_for_the_peer_has_a_bound(state: State, until: float) -> None:
    assert reached(state).deadline == until


def test_a_slow_peer_is_no_stalled_one() -> None:
    life = reached(State.FLUSHING)
    life.record_write_progress(104.0)
    assert life.deadline == 109.0


def test_a_flood_ends_the_lingering() -> None:
    life = reached(State.HALF_CLOSED)
    assert life.discard(1000, 100.1) is State.HALF_CLOSED
    assert life.discard(1, 100.1) is State.CLOSED


@settings(max_examples=300, stateful_step_count=30)
class AnyOrder(RuleBasedStateMachine):
    """Whatever comes in whatever order: the life only goes on, and nothing is acted on after its end."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.life = ConnectionLifecycle(BOUNDS, self.now, outgoing=True)
        self.seen = [self.life.state]

    @rule(event=st.sampled_from(Event), wait=st.floats(0.0, 1.0))
    def happens(self, event: Event, wait: float) -> None:
        self.now += wait
        self.seen.append(self.life.handle(event, self.now))

    @rule(count=st.integers(0, 600))
    def bytes_come(self, count: int) -> None:
        if not self.life.processes_input and not self.life.is_closed:
            self.seen.append(self.life.discard(count, self.now))

    @invariant()
    def goes_on(self) -> None:
        order = list(State)
        places = [order.index(state) for state in self.seen]
        assert places == sorted(places)

    @invariant()
    def has_a_bound(self) -> None:
        if self.life.is_closing or self.life.state is State.CONNECTING:
            assert self.life.deadline < math.inf

    @invariant()
    def promises_hold(self) -> None:
        life = self.life
        assert not (life.accepts_work and life.is_closing)
        assert not (life.is_closed and (life.accepts_work or life.processes_input or life.allows_writes))


TestAnyOrder = AnyOrder.TestCase

# --- the process ---


def debts(
    owed: bool = False, unread: bool = False, last: float = 0.0, connections: int = 1
) -> OutstandingWork:
    return OutstandingWork(last, owed, unread, connections)


def ending(now: float = 100.0) -> ProcessLifecycle:
    process = ProcessLifecycle(linger_timeout=0.5, grace_period=60.0)
    process.terminate(now)
    return process


def test_nothing_ends_a_process_that_was_not_told() -> None:
    process = ProcessLifecycle(linger_timeout=0.5, grace_period=60.0)
    assert process.advance(1e6, debts(connections=0)) is Phase.SERVING


def test_requests_may_come_for_a_while() -> None:
    process = ending()
    assert process.advance(100.0 + NEW_REQUEST_WINDOW - 0.01, debts()) is Phase.DRAINING
    assert process.advance(100.0 + NEW_REQUEST_WINDOW, debts()) is Phase.CLOSING


def test_one_that_comes_late_puts_the_end_off() -> None:
    process = ending()
    last = 100.0 + NEW_REQUEST_WINDOW - 0.05
    assert process.advance(last + QUIET_PERIOD - 0.01, debts(last=last)) is Phase.DRAINING
    assert process.advance(last + QUIET_PERIOD, debts(last=last)) is Phase.CLOSING


@pytest.mark.parametrize("what", [{"owed": True}, {"unread": True}])
def test_nothing_closes_while_something_is_owed_or_unread(what: dict[str, bool]) -> None:
    process = ending()
    process.terminate(100.1)
    assert process.advance(150.0, debts(**what)) is Phase.DRAINING


def test_asked_twice_it_waits_for_no_more_requests() -> None:
    process = ending()
    assert process.advance(100.1, debts()) is Phase.DRAINING
    process.terminate(100.1)
    assert process.advance(100.1, debts()) is Phase.CLOSING


@pytest.mark.parametrize(
    ("longest", "until"), [(0.2, 0.65), (2.0, 2.45), (3.0, 3.45), (16.0, 3.45), (30.0, 3.45)]
)
def test_what_is_owed_is_answered_before_the_kill(longest: float, until: float) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s where it is longer."""
    assert shutdown_grace_period(longest) == pytest.approx(until)
    process = ProcessLifecycle(linger_timeout=0.5, grace_period=shutdown_grace_period(longest))
    process.terminate(100.0)
    process.advance(100.0 + until - 0.01, debts(owed=True))
    assert not process.is_expedited
    process.advance(100.0 + until, debts(owed=True))
    assert process.is_expedited and process.phase is Phase.DRAINING


def test_it_ends_with_the_last_connection_or_in_time() -> None:
    process = ending()
    assert process.advance(102.0, debts()) is Phase.CLOSING
    assert process.advance(102.49, debts()) is Phase.CLOSING
    assert process.advance(102.3, debts(connections=0)) is Phase.ENDED
    process = ending()
    process.advance(102.0, debts())
    assert process.advance(102.5, debts()) is Phase.ENDED
