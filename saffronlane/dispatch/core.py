"""The dispatcher: a deterministic core between what happens and what is to be done about it.

`policy.Gateway` decides. The dispatcher makes its decisions safe to carry out: one final answer for each
request, no result of an attempt that was given up, and no action for a request that is over. It holds no
socket, task, clock or global state: the same inputs at the same times give the same effects, which is how a
recording is replayed.
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
Record = Callable[[float, list[Input], list[Effect]], None]


class Dispatcher:
    """The core of one gateway. Two of them share nothing.

    Args:
        settings: as `policy.Gateway` takes them.
        seed: of every random draw.
        record: called with each step's time, inputs and effects (see `dispatch.recording`).
        max_pending: requests without an answer at once; each further one is rejected. The cost of a step
            grows with the queue, so that without a limit a flood would delay every answer.
        persisted_state: what an earlier run stored; None: nothing.
        is_persistent: whether what is learned is to be stored (by `effects.Persist`).
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        record: Record | None = None,
        max_pending: int = MAX_PENDING,
        persisted_state: PersistedState | None = None,
        is_persistent: bool = False,
    ) -> None:
        self.settings = settings
        self._record = record
        self._now = -math.inf
        self._next_request = 1
        self._effects: list[Effect] = []  # of the present step; shared by all parts
        self._timers = TimerQueue()
        self._engines = EngineTable()
        self._requests = RequestTable(self._effects, settings.limits.can_cancel)
        self._policy = PolicyHost(settings, seed, self._effects, persisted_state, is_persistent)
        intake = RequestIntake(settings.limits, max_pending)
        self._inputs = InputHandler(intake, self._requests, self._engines, self._policy, self._effects)
        self._actions = ActionHandler(self._requests, self._timers, self._policy, self._effects)

    @property
    def gateway(self) -> Gateway:
        """The present policy; a fault replaces it."""
        return self._policy.gateway

    @property
    def checkpointer(self) -> Checkpointer:
        """The present policy's learned state."""
        return self._policy.checkpointer

    @property
    def first_changes(self) -> list[Change]:
        """What must be stored before anything else: the restored state on this run's clock."""
        return self._policy.first_changes

    @property
    def fault_count(self) -> int:
        """How often the policy failed and was restarted."""
        return self._policy.fault_count

    @property
    def next_timer(self) -> float:
        """When `step` is to be called even if nothing happens; infinity: never."""
        return min(self._timers.next_deadline, self.checkpointer.next_checkpoint_at)

    @property
    def pending_count(self) -> int:
        """Requests without a final answer."""
        return self._requests.pending_count

    @property
    def in_flight_count(self) -> int:
        """Attempts that have not ended, those of answered requests included."""
        return self._requests.in_flight_count

    @property
    def queued_count(self) -> int:
        """Requests that wait for an engine."""
        return len(self.gateway.pending.queued)

    @property
    def engines(self) -> list[bytes]:
        """The ids of the listed engines."""
        return self._engines.ids

    def new_request(self) -> int:
        """Return the number of the next request; each is given once."""
        number = self._next_request
        self._next_request += 1
        return number

    def take_unpersisted_changes(self) -> list[Change]:
        """Return all changes of the learned state that have not been emitted, for the end of a run."""
        return self._policy.take_unpersisted_changes()

    def step(self, now: float, inputs: list[Input]) -> list[Effect]:
        """Take in all that happened up to `now`, in order.

        Inputs come before timers, so that an answer counts that falls into one step with its timeout. A clock
        that goes back counts as standing still.

        Returns:
            What to do, in order.
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
            # Guards against a fault in the policy: every request gets an answer, and later ones are served.
            self._restart_policy(error)
            return
        self._policy.validate_restored(events, self._requests)
        for action in actions:
            self._actions.handle(action)
        self._requests.release_answered()

    def _restart_policy(self, error: Exception) -> None:
        """Fail all requests and go on with a new policy that takes over what was learned."""
        self._policy.record_fault(error)
        for request in list(self._requests):
            self._requests.answer(request, FailRequest(request.id, "internal fault of the gateway"))
            self._requests.release(request)
        self._timers.clear()
        for action in self._policy.restart(self._now, self._engines):
            if isinstance(action, api.SetTimer):
                self._actions.handle(action)
