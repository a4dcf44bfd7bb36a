"""The lifecycles of connections and of the process: all transitions, and sequences of random events."""

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

LIMITS = ConnectionLimits(connect_timeout=0.25, stall_timeout=5.0, linger_timeout=0.5, max_linger_bytes=1000)
# Events that lead from CONNECTING to a state.
EVENTS_TO_STATE: dict[State, tuple[Event, ...]] = {
    State.CONNECTING: (),
    State.OPEN: (Event.CONNECTED,),
    State.DRAINING: (Event.CONNECTED, Event.DRAIN),
    State.FLUSHING: (Event.CONNECTED, Event.DRAIN, Event.SETTLED),
    State.HALF_CLOSED: (Event.CONNECTED, Event.DRAIN, Event.SETTLED, Event.FLUSHED),
    State.CLOSED: (Event.ABORT,),
}
# The table of docs/platform.md, "How connections end". Events that are not listed do not change the state.
TRANSITIONS: dict[State, dict[Event, State]] = {
    State.CONNECTING: {Event.CONNECTED: State.OPEN, Event.DRAIN: State.CLOSED},
    State.OPEN: {Event.DRAIN: State.DRAINING},
    State.DRAINING: {Event.SETTLED: State.FLUSHING},
    State.FLUSHING: {Event.FLUSHED: State.HALF_CLOSED},
    State.HALF_CLOSED: {},
    State.CLOSED: {},
}
CLOSING_EVENTS = (Event.EOF, Event.BROKEN, Event.EXPIRED, Event.ABORT)


def connection_in(state: State, now: float = 100.0) -> ConnectionLifecycle:
    lifecycle = ConnectionLifecycle(LIMITS, now, outgoing=True)
    for event in EVENTS_TO_STATE[state]:
        lifecycle.handle(event, now)
    assert lifecycle.state is state
    return lifecycle


@pytest.mark.parametrize("event", Event)
@pytest.mark.parametrize("state", State)
def test_event_leads_to_documented_state(state: State, event: Event) -> None:
    lifecycle = connection_in(state)
    expected = State.CLOSED if event in CLOSING_EVENTS else TRANSITIONS[state].get(event, state)
    assert lifecycle.handle(event, 101.0) is expected


@pytest.mark.parametrize(
    ("state", "accepts_work", "processes_input", "allows_writes", "is_closing"),
    [
        (State.CONNECTING, True, False, False, False),
        (State.OPEN, True, True, True, False),
        (State.DRAINING, False, True, True, False),
        (State.FLUSHING, False, False, True, True),
        (State.HALF_CLOSED, False, False, False, True),
        (State.CLOSED, False, False, False, False),
    ],
)
def test_state_has_documented_permissions(
    state: State, accepts_work: bool, processes_input: bool, allows_writes: bool, is_closing: bool
) -> None:
    lifecycle = connection_in(state)
    assert (
        lifecycle.accepts_work,
        lifecycle.processes_input,
        lifecycle.allows_writes,
        lifecycle.is_closing,
    ) == (
        accepts_work,
        processes_input,
        allows_writes,
        is_closing,
    )


@pytest.mark.parametrize(
    ("state", "deadline"),
    [
        (State.CONNECTING, 100.25),
        (State.OPEN, math.inf),
        (State.DRAINING, math.inf),
        (State.FLUSHING, 105.0),
        (State.HALF_CLOSED, 100.5),
    ],
)
def test_states_that_wait_for_the_peer_have_a_deadline(state: State, deadline: float) -> None:
    assert connection_in(state).deadline == deadline


def test_write_progress_extends_the_stall_deadline() -> None:
    lifecycle = connection_in(State.FLUSHING)
    lifecycle.record_write_progress(104.0)
    assert lifecycle.deadline == 109.0


def test_too_much_discarded_input_closes_the_connection() -> None:
    lifecycle = connection_in(State.HALF_CLOSED)
    assert lifecycle.discard(1000, 100.1) is State.HALF_CLOSED
    assert lifecycle.discard(1, 100.1) is State.CLOSED


@settings(max_examples=300, stateful_step_count=30)
class RandomEvents(RuleBasedStateMachine):
    """Random sequences of events: states are only entered in order, and a closed connection does nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.lifecycle = ConnectionLifecycle(LIMITS, self.now, outgoing=True)
        self.states = [self.lifecycle.state]

    @rule(event=st.sampled_from(Event), wait=st.floats(0.0, 1.0))
    def handle_event(self, event: Event, wait: float) -> None:
        self.now += wait
        self.states.append(self.lifecycle.handle(event, self.now))

    @rule(count=st.integers(0, 600))
    def discard_input(self, count: int) -> None:
        if not self.lifecycle.processes_input and not self.lifecycle.is_closed:
            self.states.append(self.lifecycle.discard(count, self.now))

    @invariant()
    def states_are_entered_in_order(self) -> None:
        order = list(State)
        positions = [order.index(state) for state in self.states]
        assert positions == sorted(positions)

    @invariant()
    def waiting_states_have_a_deadline(self) -> None:
        if self.lifecycle.is_closing or self.lifecycle.state is State.CONNECTING:
            assert self.lifecycle.deadline < math.inf

    @invariant()
    def permissions_are_consistent(self) -> None:
        lifecycle = self.lifecycle
        assert not (lifecycle.accepts_work and lifecycle.is_closing)
        assert not (
            lifecycle.is_closed
            and (lifecycle.accepts_work or lifecycle.processes_input or lifecycle.allows_writes)
        )


TestRandomEvents = RandomEvents.TestCase

# --- the process ---


def outstanding_work(
    has_unanswered: bool = False,
    has_unread: bool = False,
    last_request_at: float = 0.0,
    connection_count: int = 1,
) -> OutstandingWork:
    return OutstandingWork(last_request_at, has_unanswered, has_unread, connection_count)


def draining_process(now: float = 100.0) -> ProcessLifecycle:
    process = ProcessLifecycle(linger_timeout=0.5, grace_period=60.0)
    process.terminate(now)
    return process


def test_process_serves_until_it_is_terminated() -> None:
    process = ProcessLifecycle(linger_timeout=0.5, grace_period=60.0)
    assert process.advance(1e6, outstanding_work(connection_count=0)) is Phase.SERVING


def test_process_drains_for_the_new_request_window() -> None:
    process = draining_process()
    assert process.advance(100.0 + NEW_REQUEST_WINDOW - 0.01, outstanding_work()) is Phase.DRAINING
    assert process.advance(100.0 + NEW_REQUEST_WINDOW, outstanding_work()) is Phase.CLOSING


def test_late_request_extends_draining_by_the_quiet_period() -> None:
    process = draining_process()
    last_request_at = 100.0 + NEW_REQUEST_WINDOW - 0.05
    assert (
        process.advance(
            last_request_at + QUIET_PERIOD - 0.01, outstanding_work(last_request_at=last_request_at)
        )
        is Phase.DRAINING
    )
    assert (
        process.advance(last_request_at + QUIET_PERIOD, outstanding_work(last_request_at=last_request_at))
        is Phase.CLOSING
    )


@pytest.mark.parametrize("work", [{"has_unanswered": True}, {"has_unread": True}])
def test_process_drains_while_answers_or_input_are_outstanding(work: dict[str, bool]) -> None:
    process = draining_process()
    process.terminate(100.1)
    assert process.advance(150.0, outstanding_work(**work)) is Phase.DRAINING


def test_second_termination_ends_the_new_request_window() -> None:
    process = draining_process()
    assert process.advance(100.1, outstanding_work()) is Phase.DRAINING
    process.terminate(100.1)
    assert process.advance(100.1, outstanding_work()) is Phase.CLOSING


@pytest.mark.parametrize(
    ("longest_deadline", "grace_period"), [(0.2, 0.65), (2.0, 2.45), (3.0, 3.45), (16.0, 3.45), (30.0, 3.45)]
)
def test_shutdown_is_expedited_before_sigkill(longest_deadline: float, grace_period: float) -> None:
    """SIGKILL follows 0.7 s after the longest deadline; a deadline of more than 3 s counts as 3 s."""
    assert shutdown_grace_period(longest_deadline) == pytest.approx(grace_period)
    process = ProcessLifecycle(linger_timeout=0.5, grace_period=shutdown_grace_period(longest_deadline))
    process.terminate(100.0)
    process.advance(100.0 + grace_period - 0.01, outstanding_work(has_unanswered=True))
    assert not process.is_expedited
    process.advance(100.0 + grace_period, outstanding_work(has_unanswered=True))
    assert process.is_expedited and process.phase is Phase.DRAINING


def test_process_ends_with_its_last_connection_or_at_the_linger_timeout() -> None:
    process = draining_process()
    assert process.advance(102.0, outstanding_work()) is Phase.CLOSING
    assert process.advance(102.49, outstanding_work()) is Phase.CLOSING
    assert process.advance(102.3, outstanding_work(connection_count=0)) is Phase.ENDED
    process = draining_process()
    process.advance(102.0, outstanding_work())
    assert process.advance(102.5, outstanding_work()) is Phase.ENDED
