"""Turns the policy's actions into effects, and drops actions for requests that have ended."""

from __future__ import annotations

from .. import interface as api
from .answer_reasons import MAY_HAVE_RUN, NO_CAPACITY, REPEAT_NOT_ALLOWED
from .effects import Effect, FailRequest, RejectRequest, StartAttempt
from .policy_host import PolicyHost
from .requests import RequestTable, ResourceGrant
from .timers import TimerQueue


class ActionHandler:
    """Applies the policy's actions to the table of requests, and emits the resulting effects.

    Args:
        requests: The table of requests and attempts.
        timers: The queue that receives the timers set by the policy.
        policy: The policy host, which records the write-ahead entries that a new attempt needs.
        effects: The list that the effects are appended to.
        cancels_timers: Whether a cancelled timer is removed rather than left to fire without effect.
    """

    def __init__(
        self,
        requests: RequestTable,
        timers: TimerQueue,
        policy: PolicyHost,
        effects: list[Effect],
        cancels_timers: bool,
    ) -> None:
        self._requests = requests
        self._timers = timers
        self._policy = policy
        self._effects = effects
        self._cancels_timers = cancels_timers

    def handle(self, action: api.Action) -> None:
        """Apply one action."""
        match action:
            case api.SetTimer():
                self._timers.schedule(action.deadline, action.token)
            case api.CancelTimer():
                if self._cancels_timers:
                    self._timers.cancel(action.token)
            case api.Dispatch():
                self._dispatch(action)
            case api.SetResourceGrant():
                self._set_grant(action)
            case api.Cancel():
                self._cancel(action)
            case api.Reject():
                rejection = RejectRequest(action.request, action.retry_after, NO_CAPACITY)
                self._answer(action.request, rejection)
            case api.Fail():
                self._answer(action.request, FailRequest(action.request, self._failure_reason(action)))
            case _:
                self._effects.append(action)

    def _dispatch(self, action: api.Dispatch) -> None:
        request = self._requests.get(action.request)
        if request is None or request.is_answered:
            self._effects.append(api.Log(f"dispatch dropped: request {action.request} has ended"))
            return
        grant = request.take_grant()
        attempt = request.add_attempt(action.engine)
        effect = StartAttempt(
            request=request.id,
            attempt=attempt.number,
            engine=action.engine,
            timeout=action.timeout,
            grant_mb=grant.memory_mb,
            priority=grant.priority,
            durability_timeout=self._policy.record_write_ahead(request, attempt),
            send_timeout=action.send_timeout,
            arrival_timeout=action.arrival_timeout,
        )
        self._effects.append(effect)

    def _set_grant(self, action: api.SetResourceGrant) -> None:
        request = self._requests.get(action.request)
        if request is not None:
            request.next_grant = ResourceGrant(action.memory_mb, action.priority)

    def _cancel(self, action: api.Cancel) -> None:
        in_flight = self._requests.find_in_flight(action.request, action.attempt)
        if in_flight is not None:
            self._requests.cancel(in_flight.request, in_flight.attempt)

    def _answer(self, request_id: int, answer: RejectRequest | FailRequest) -> None:
        request = self._requests.get(request_id)
        if request is not None:
            self._requests.answer(request, answer)

    def _failure_reason(self, action: api.Fail) -> str:
        request = self._requests.get(action.request)
        if request is not None and request.is_repeated and not request.attempts:
            return REPEAT_NOT_ALLOWED
        return MAY_HAVE_RUN
