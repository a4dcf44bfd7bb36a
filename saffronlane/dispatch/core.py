"""The dispatcher: a deterministic state machine that maps inputs to effects.

`policy.Gateway` decides. The dispatcher makes its decisions safe to carry out: each request gets one final
answer, the result of a cancelled attempt is never used, and actions for a request that has ended are dropped.
It holds no socket, task, clock or global state. The same inputs at the same times give the same effects, so
that a recording can be replayed.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from .. import interface as api
from ..learned_state import Checkpointer, PersistedState
from ..policy import Gateway
from ..storage import Change
from .action_handler import ActionHandler
from .effects import Effect, FailRequest
from .engine_table import EngineTable
from .input_handler import InputHandler
from .inputs import Input
from .intake import RequestIntake
from .policy_host import PolicyHost
from .requests import RequestTable
from .timers import TimerQueue

MAX_PENDING = 20_000  # requests
StepRecorder = Callable[[float, list[Input], list[Effect]], None]


class Dispatcher:
    """The core of one gateway. Dispatchers in the same process share no state.

    Args:
        settings: The settings that are passed on to `policy.Gateway`.
        seed: The seed of the policy's random number generator.
        record: A callback that receives each step's time, inputs and effects (see `dispatch.recording`).
        max_pending: The largest number of unanswered requests. Requests beyond it are rejected: the cost of
            a step grows with the queue, so that without a limit a flood of requests would delay every answer.
        persisted_state: The learned state that an earlier run stored, or None if there is none.
        is_persistent: Whether learned state is stored. If so, steps emit `effects.Persist`.
        cancels_timers: Whether a timer that the policy cancels is removed. If not, it fires without
            effect, as in recordings of version 1.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        record: StepRecorder | None = None,
        max_pending: int = MAX_PENDING,
        persisted_state: PersistedState | None = None,
        is_persistent: bool = False,
        cancels_timers: bool = True,
    ) -> None:
        self.settings = settings
        self._record = record
        self._now = -math.inf
        self._next_request = 1
        self._effects: list[Effect] = []  # of the current step; every component appends to it
        self._timers = TimerQueue()
        self._engines = EngineTable()
        self._requests = RequestTable(self._effects, settings.limits.can_cancel)
        self._policy = PolicyHost(settings, seed, self._effects, persisted_state, is_persistent)
        intake = RequestIntake(settings.limits, max_pending)
        self._inputs = InputHandler(intake, self._requests, self._engines, self._policy, self._effects)
        self._actions = ActionHandler(
            self._requests, self._timers, self._policy, self._effects, cancels_timers
        )

    @property
    def gateway(self) -> Gateway:
        """The current policy. It is replaced after an internal error."""
        return self._policy.gateway

    @property
    def checkpointer(self) -> Checkpointer:
        """The checkpointer of the current policy's learned state."""
        return self._policy.checkpointer

    @property
    def first_changes(self) -> list[Change]:
        """The changes to store before any others: the restored state, converted to this run's clock."""
        return self._policy.first_changes

    @property
    def fault_count(self) -> int:
        """The number of times the policy failed and was restarted."""
        return self._policy.fault_count

    @property
    def next_timer(self) -> float:
        """The time at which `step` must be called even without inputs, or infinity if it need not be."""
        return min(self._timers.next_deadline, self.checkpointer.next_checkpoint_at)

    @property
    def pending_count(self) -> int:
        """The number of requests without a final answer."""
        return self._requests.pending_count

    @property
    def in_flight_count(self) -> int:
        """The number of attempts in flight, including those of answered requests."""
        return self._requests.in_flight_count

    @property
    def queued_count(self) -> int:
        """The number of requests that wait for an engine."""
        return len(self.gateway.pending.queued)

    @property
    def timer_count(self) -> int:
        """The number of timers that are set."""
        return len(self._timers)

    @property
    def engines(self) -> list[bytes]:
        """The ids of the listed engines."""
        return self._engines.ids

    def new_request(self) -> int:
        """Return a request number that has not been used before."""
        number = self._next_request
        self._next_request += 1
        return number

    def take_unpersisted_changes(self) -> list[Change]:
        """Return all changes of the learned state that no step has emitted, to be stored at shutdown."""
        return self._policy.take_unpersisted_changes()

    def step(self, now: float, inputs: list[Input]) -> list[Effect]:
        """Process inputs and due timers.

        Inputs are processed before timers, so that an answer that arrives in the same step as its timeout
        still counts. If the clock goes backwards, the latest time seen so far is used instead.

        Args:
            now: The current time in seconds.
            inputs: The inputs since the last step, in the order in which they occurred.

        Returns:
            The effects to carry out, in order.
        """
        self._now = max(now, self._now)
        self._effects.clear()
        recorded_inputs = list(inputs)
        events = self._collect_events(inputs)
        if events:
            self._decide(events)
            self.checkpointer.mark_changed()
        self._policy.persist_changes(self._now)
        effects = list(self._effects)
        self._effects.clear()
        if self._record is not None:
            self._record(self._now, recorded_inputs, effects)
        return effects

    def _collect_events(self, inputs: list[Input]) -> list[api.Event]:
        events: list[api.Event] = []
        for item in inputs:
            events += self._inputs.handle(item, self._now)
        for token in self._timers.pop_due(self._now):
            events.append(api.TimerFired(token))
        return events

    def _decide(self, events: list[api.Event]) -> None:
        try:
            actions = self._policy.step(self._now, events)
        except Exception as error:
            # Contains a fault in the policy: pending requests are failed, later requests are served.
            self._restart_policy(error)
            return
        self._policy.validate_restored(events, self._requests)
        for action in actions:
            self._actions.handle(action)
        self._requests.release_answered()

    def _restart_policy(self, error: Exception) -> None:
        """Fail all requests and continue with a new policy that inherits the learned state."""
        self._policy.record_fault(error)
        for request in list(self._requests):
            self._requests.answer(request, FailRequest(request.id, "internal fault of the gateway"))
            self._requests.release(request)
        self._timers.clear()
        for action in self._policy.restart(self._now, self._engines):
            if isinstance(action, api.SetTimer):
                self._actions.handle(action)
