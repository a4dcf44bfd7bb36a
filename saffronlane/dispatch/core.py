"""The dispatcher: keeps the ledger of requests and attempts, and turns decisions into effects.

`policy.Gateway` decides. This class sees to it that what is decided can be carried out without a slip: one
final answer for each request, no result of an attempt that was given up, timers, and nothing after the end.
It holds no socket, task, clock or global: `step` takes the time and what happened, and returns what to do.
The same inputs at the same times give the same effects, which is how a recorded day is played again.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .. import interface as api
from ..learned_state import DURABILITY_TIMEOUT, Checkpointer, PersistedState
from ..policy import Gateway
from ..state import NEVER_RAN
from ..storage import Change
from . import effects as fx
from . import inputs as inp

MAX_PENDING = 20_000
Record = Callable[[float, list[inp.Input], list[fx.Effect]], None]


@dataclass(slots=True, eq=False)
class _Attempt:
    n: int
    engine: bytes
    cancelled: bool = False
    done: bool = False


@dataclass(slots=True, eq=False)
class _Request:
    id: int
    attempts: list[_Attempt] = field(default_factory=list)
    cls: int = 0
    cost: float = 0.0
    identity: bytes = b""
    repeated: bool = False  # an earlier request with its key may have run
    terms: tuple[float, int] | None = None  # of the next attempt
    committed: int | None = None
    ended: bool = False

    @property
    def out(self) -> list[_Attempt]:
        return [a for a in self.attempts if not a.done]


class Dispatcher:
    """One gateway's core. Two of them share nothing.

    Args:
        settings: as `policy.Gateway` takes them.
        seed: of every random draw.
        record: is told each step's time, inputs and effects (see `dispatch.recording`).
        memory: what an earlier run left in a folder; None: nothing is known.
        keeping: whether what is learned is to be written (by `effects.Keep`).
        most_owed: requests at once; one more is refused. Guards against a flood of arrivals: each held
            query makes a step dearer, until answers would be late.
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
        self.seed = seed
        self.gateway = Gateway(settings, seed)
        self.checkpointer = Checkpointer(settings, persisted_state, is_persistent)
        self.checkpointer.begin(self.gateway)
        # To be written before anything else: what was recalled, on this run's clock.
        self.first_changes = self.checkpointer.initial_changes(self.gateway) if is_persistent else []
        self._listed = False  # the gateway has had a list
        self._ahead: dict[bytes, None] = {}  # keys of entries that attempts of this step wait for, in order
        self.fault_count = 0  # times that the decisions failed and were begun anew
        self.max_pending = max_pending
        self._record = record
        self._requests: dict[int, _Request] = {}
        self._closing: set[int] = set()  # ended in this step
        self._owed = 0
        self._next_request = 1
        self._timers: list[tuple[float, int]] = []
        self._engines: dict[bytes, api.EngineEntry] = {}
        self._version = 0
        self._stop_at: float | None = None  # no request is taken any more
        self._effects: list[fx.Effect] = []
        self._now = -math.inf
        self._takers: dict[type, Callable[[Any], list[api.Event]]] = {
            inp.Submit: self._on_submit,
            inp.ResultReady: self._on_ready,
            inp.AttemptDone: self._on_done,
            inp.AttemptProgress: self._on_note,
            inp.ClientDisconnected: self._on_left,
            inp.PurgeLearnedState: self._on_forget,
            inp.AttachLearnedState: self._on_attach,
            inp.BeginDrain: self._on_stop_taking,
            inp.FinishDrain: self._on_stop_now,
            api.EndpointListUpdate: self._on_list,
            api.ProbeResult: lambda event: [event],
            api.PeerMessage: lambda event: [event],
        }
        self._doers: dict[type, Callable[[Any], None]] = {
            api.Dispatch: self._send,
            api.SetResourceGrant: self._set_terms,
            api.Cancel: self._cancel,
            api.Reject: self._refuse,
            api.Fail: self._fail,
            api.SetTimer: self._set_timer,
        }

    def new_request(self) -> int:
        """A number for the next request; each is given once."""
        number, self._next_request = self._next_request, self._next_request + 1
        return number

    @property
    def next_timer(self) -> float:
        """When `step` wants to be called even if nothing happens; infinity: never."""
        return min(self._timers[0][0] if self._timers else math.inf, self.checkpointer.next_checkpoint_at)

    def unwritten_changes(self) -> list[Change]:
        """All changes of what is known that have not been given out, for the end of a run."""
        return self.checkpointer.changes(self.gateway)

    @property
    def pending_count(self) -> int:
        """Requests without a final answer."""
        return self._owed

    @property
    def in_flight_count(self) -> int:
        """Attempts whose end has not been told, those of ended requests included."""
        return sum(len(r.out) for r in self._requests.values())

    @property
    def engines(self) -> list[bytes]:
        """Those that are listed."""
        return list(self._engines)

    @property
    def queued_count(self) -> int:
        """Requests that wait for an engine."""
        return len(self.gateway.pending.queued)

    def step(self, now: float, inputs: list[inp.Input]) -> list[fx.Effect]:
        """Take in all that happened up to `now`, in order; return what to do, in order.

        An answer and the timer that would give it up may fall into one step: inputs come first, so that the
        answer counts. A clock that goes back counts as standing still.
        """
        self._now = now = max(now, self._now)
        self._effects = []
        events: list[api.Event] = []
        before = list(inputs)
        for event in inputs:
            events += self._takers[type(event)](event)
        while self._timers and self._timers[0][0] <= now:
            events.append(api.TimerFired(heapq.heappop(self._timers)[1]))
        if events:
            self._decide(now, events)
            self.checkpointer.mark_changed()
        self._keep(now)
        effects, self._effects = self._effects, []
        if self._record is not None:
            self._record(now, before, effects)
        return effects

    def _keep(self, now: float) -> None:
        """What attempts wait for comes before them."""
        if self._ahead:
            changes = self.checkpointer.write_ahead_changes(self.gateway, self._ahead)
            self._ahead.clear()
            self._effects.insert(0, fx.Persist(tuple(changes), is_write_ahead=True))
        if now >= self.checkpointer.next_checkpoint_at and (
            changes := self.checkpointer.changes(self.gateway)
        ):
            self._effects.append(fx.Persist(tuple(changes)))

    def _decide(self, now: float, events: list[api.Event]) -> None:
        try:
            if entries := self._first_list(events):
                self.checkpointer.before_endpoint_list(self.gateway, entries)
            actions = self.gateway.step(now, events)
            if entries:
                self._listed = True
                self.checkpointer.after_endpoint_list(self.gateway)
                if said := self.checkpointer.restored_description:
                    self._effects.append(api.Log(said))
        except Exception as error:
            # Guards against a fault in the decisions: no request may be lost by it, and no later one harmed.
            self._begin_anew(now, repr(error))
            return
        self._wash(events)
        for action in actions:
            doer = self._doers.get(type(action))
            if doer is not None:
                doer(action)
            else:
                self._effects.append(action)  # type: ignore[arg-type]  # probes, messages, logs pass as they are
        # An attempt that a request left behind, and that the decisions did not cancel: nobody wants it.
        for number in sorted(self._closing):
            self._leave(self._requests[number])
        self._closing.clear()

    def _first_list(self, events: list[api.Event]) -> tuple[api.EngineEntry, ...]:
        """The engines of the list that is the first to name any."""
        for event in events if not self._listed else ():
            if (
                isinstance(event, api.EndpointListUpdate)
                and event.mode is not api.EndpointListMode.FAILED
                and event.entries
            ):
                return event.entries
        return ()

    def _wash(self, events: list[api.Event]) -> None:
        """Answers tell whether what was recalled holds, and so does their absence."""
        for event in events:
            if isinstance(event, api.Arrival):
                self.checkpointer.record_request(self.gateway, event.class_index)
            elif isinstance(event, api.AttemptEnded) and event.outcome is api.Outcome.OK:
                request = self._requests[event.request]
                said = self.checkpointer.record_answer(
                    self.gateway, request.cls, request.cost, event.elapsed, event.work
                )
                if said:
                    self._effects.append(api.Log(said))
        self._effects += [
            api.Log(said) for said in self.checkpointer.drop_unconfirmed_estimates(self.gateway)
        ]

    def _begin_anew(self, now: float, why: str) -> None:
        """A new gateway takes over what the old one knew, as if it had been restarted."""
        self.fault_count += 1
        self._ahead.clear()
        self._effects.append(api.Log(f"decisions failed and begin anew: {why}"))
        for request in list(self._requests.values()):
            self._end(request, fx.FailRequest(request.id, "internal fault of the gateway"))
            self._leave(request)
        self._timers.clear()
        try:
            self._take_over(now, self.checkpointer.snapshot_for_restart(self.gateway, now))
        except Exception as error:  # what failed may have left anything behind
            self._effects.append(api.Log(f"what was known is lost: {error!r}"))
            self._take_over(now, None)

    def _take_over(self, now: float, memory: PersistedState | None) -> None:
        self.gateway = Gateway(self.settings, self.seed + self.fault_count)
        before, self.checkpointer = (
            self.checkpointer,
            Checkpointer(self.settings, memory, self.checkpointer.is_enabled),
        )
        self.checkpointer.take_over(before)
        self.checkpointer.begin(self.gateway)
        entries = tuple(self._engines.values())
        self._listed = bool(entries)
        if entries:
            self.checkpointer.before_endpoint_list(self.gateway, entries)
            actions = self.gateway.step(
                now, [api.EndpointListUpdate(api.EndpointListMode.FULL, self._version, entries)]
            )
            self.checkpointer.after_endpoint_list(self.gateway)
            for action in actions:
                if isinstance(action, api.SetTimer):
                    self._set_timer(action)

    # --- what happened ---

    def _on_submit(self, event: inp.Submit) -> list[api.Event]:
        if event.request in self._requests:
            raise ValueError(f"request {event.request} was submitted before")
        request = _Request(
            event.request, cls=event.class_index, cost=event.estimated_cost, identity=event.idempotency_key
        )
        self._requests[event.request] = request
        self._owed += 1
        if self._stop_at is not None:  # a successor or another gateway takes it once this one is gone
            wait = min(max(0.0, self._stop_at - self._now), self.settings.limits.max_retry_after)
            return self._turn_away(request, wait, "the gateway is stopping")
        if self._owed > self.max_pending:
            wait = self.settings.limits.max_retry_after if self.settings.limits.sends_retry_after else 0.0
            return self._turn_away(request, wait, f"{self.max_pending} requests wait already")
        earlier = (
            self.checkpointer.ledger.previous_attempt(event.idempotency_key, self._now)
            if event.idempotency_key
            else None
        )
        request.repeated = earlier is not None
        return [
            api.Arrival(
                event.request,
                event.class_index,
                event.timeout,
                event.tenant,
                event.ordering_key,
                event.estimated_cost,
                event.estimated_memory_mb,
                event.table_group,
                event.is_retry,
                event.is_write,
                earlier,
            )
        ]

    def _turn_away(self, request: _Request, wait: float, why: str) -> list[api.Event]:
        self._end(request, fx.RejectRequest(request.id, wait, why))
        self._leave(request)
        return []

    def _find(self, request: int, attempt: int) -> tuple[_Request | None, _Attempt | None]:
        entry = self._requests.get(request)
        if entry is None or not 0 <= attempt < len(entry.attempts):
            return None, None
        return entry, entry.attempts[attempt]

    def _on_ready(self, event: inp.ResultReady) -> list[api.Event]:
        request, attempt = self._find(event.request, event.attempt)
        if request is None or attempt is None or attempt.done or attempt.cancelled or request.ended:
            return []
        if request.committed is not None:
            return []
        request.committed = attempt.n
        self._effects.append(fx.Commit(request.id, attempt.n))
        for other in request.out:  # a byte of one result leaves: no other attempt may answer
            if other is not attempt:
                self._drop(request, other)
        return [api.StreamStarted(request.id, attempt.n, attempt.engine)]

    def _on_done(self, event: inp.AttemptDone) -> list[api.Event]:
        request, attempt = self._find(event.request, event.attempt)
        if request is None or attempt is None or attempt.done:
            return []
        attempt.done = True
        outcome, final = event.outcome, False
        if request.identity:
            self.checkpointer.ledger.record_attempt_end(request.identity, outcome in NEVER_RAN)
        if request.ended:
            self._closing.add(request.id)
        elif attempt.cancelled:
            # Given up: what it brought can be given to nobody. Only that it never ran is still worth telling.
            outcome = outcome if outcome in NEVER_RAN else api.Outcome.CANCELLED
        elif outcome is api.Outcome.OK:
            final = True
            self._end(request, fx.CompleteRequest(request.id, attempt.n))
        elif event.is_query_fault:
            # The query is wrong on every engine: the engine's word is the answer. It says nothing of the
            # engine's health or speed, and CANCELLED is the outcome that teaches neither.
            final, outcome = True, api.Outcome.CANCELLED
            self._end(request, fx.CompleteRequest(request.id, attempt.n, is_query_fault=True))
        return [
            api.AttemptEnded(
                request.id,
                attempt.n,
                attempt.engine,
                outcome,
                event.elapsed,
                final,
                event.work,
                event.memory_mb,
                event.load_report,
            )
        ]

    def _on_note(self, event: inp.AttemptProgress) -> list[api.Event]:
        request, attempt = self._find(event.request, event.attempt)
        if request is None or attempt is None or attempt.done:
            return []
        return [api.ProgressReport(request.id, attempt.n, attempt.engine, event.kind, event.amount)]

    def _on_left(self, event: inp.ClientDisconnected) -> list[api.Event]:
        request = self._requests.get(event.request)
        if request is None or request.ended:
            return []
        self._end(request, None)
        return [api.ClientDisconnected(event.request)]

    def _on_list(self, event: api.EndpointListUpdate) -> list[api.Event]:
        if event.mode is not api.EndpointListMode.FAILED:
            if event.mode is not api.EndpointListMode.DELTA:
                self._engines.clear()
            for entry in event.entries:  # in order: one may be named twice
                if entry.state is api.EngineState.REMOVED:  # nothing of it stays: new ones come for ever
                    self._engines.pop(entry.engine, None)
                else:
                    self._engines[entry.engine] = entry
            self._version = event.version
            self._recall()
        return [event]

    def _recall(self) -> None:
        """What has not left for an engine that drains or is gone does not leave (rule 3, without grace)."""
        for request in self._requests.values():
            for attempt in request.out:
                entry = self._engines.get(attempt.engine)
                if entry is None or entry.state is not api.EngineState.READY:
                    self._effects.append(fx.WithdrawAttempt(request.id, attempt.n))

    def _on_forget(self, event: inp.PurgeLearnedState) -> list[api.Event]:
        self.checkpointer.purge(self.gateway, event.categories)
        return []

    def _on_attach(self, event: inp.AttachLearnedState) -> list[api.Event]:
        """The first commit holds all that was recalled and all that is known here."""
        self.first_changes = self.checkpointer.attach(self.gateway, event.persisted_state)
        self._effects.append(fx.Persist(tuple(self.first_changes)))
        return []

    def _on_stop_taking(self, event: inp.BeginDrain) -> list[api.Event]:
        if self._stop_at is None:
            self._stop_at = self._now + event.grace_period
        return []

    def _on_stop_now(self, event: inp.FinishDrain) -> list[api.Event]:
        self._stop_at = min(self._now, self._stop_at or self._now)
        return [api.Shutdown()]

    # --- what was decided ---

    def _send(self, action: api.Dispatch) -> None:
        request = self._requests.get(action.request)
        if request is None or request.ended:
            self._effects.append(api.Log(f"send for request {action.request}, which has ended, was dropped"))
            return
        grant, priority = request.terms or (0.0, None)
        request.terms = None
        attempt = _Attempt(len(request.attempts), action.engine)
        request.attempts.append(attempt)
        ahead = self.checkpointer.write_ahead_keys(self.gateway, request.id, attempt.n, request.identity)
        wait = DURABILITY_TIMEOUT if ahead and self.checkpointer.is_enabled else 0.0
        if wait:
            self._ahead.update(dict.fromkeys(ahead))
        self._effects.append(
            fx.StartAttempt(request.id, attempt.n, action.engine, action.timeout, grant, priority, wait)
        )

    def _set_terms(self, action: api.SetResourceGrant) -> None:
        if action.request in self._requests:
            self._requests[action.request].terms = (action.memory_mb, action.priority)

    def _cancel(self, action: api.Cancel) -> None:
        request, attempt = self._find(action.request, action.attempt)
        if request is not None and attempt is not None:
            self._drop(request, attempt)

    def _drop(self, request: _Request, attempt: _Attempt) -> None:
        """Give an attempt up; whatever it brings from now on is worth nothing."""
        if attempt.done or attempt.cancelled:
            return
        attempt.cancelled = True
        may = self.settings.limits.can_cancel
        kind = fx.CancelAttempt if may else fx.DiscardAttempt
        self._effects.append(kind(request.id, attempt.n))

    def _refuse(self, action: api.Reject) -> None:
        why = "no engine can serve it in time"
        self._answer(action.request, fx.RejectRequest(action.request, action.retry_after, why))

    def _fail(self, action: api.Fail) -> None:
        why = "no answer in time, and it may have run"
        request = self._requests.get(action.request)
        if request is not None and request.repeated and not request.attempts:
            why = "a request with this key may have run before, and may not be repeated now"
        self._answer(action.request, fx.FailRequest(action.request, why))

    def _answer(self, number: int, answer: fx.Effect) -> None:
        if number in self._requests:
            self._end(self._requests[number], answer)

    def _end(self, request: _Request, answer: fx.Effect | None) -> None:
        """The one place where final answers come from; None: the client has gone, and is owed none."""
        if not request.ended:
            request.ended = True
            self._owed -= 1
            self._closing.add(request.id)
            if answer is not None:
                self._effects.append(answer)

    def _leave(self, request: _Request) -> None:
        for attempt in request.out:
            self._drop(request, attempt)
        if not request.out:
            self._requests.pop(request.id, None)
            self._closing.discard(request.id)

    def _set_timer(self, action: api.SetTimer) -> None:
        heapq.heappush(self._timers, (action.deadline, action.token))
