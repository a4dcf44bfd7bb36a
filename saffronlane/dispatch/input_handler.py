"""Checks inputs against the table of requests, and turns them into events for the policy."""

from __future__ import annotations

from typing import assert_never

from .. import interface as api
from ..state import NEVER_RAN
from .effects import CompleteRequest, Effect, WithdrawAttempt
from .engine_table import EngineTable
from .inputs import (
    AttachLearnedState,
    AttemptDone,
    AttemptProgress,
    BeginDrain,
    ClientDisconnected,
    FinishDrain,
    Input,
    PurgeLearnedState,
    ResultReady,
    Submit,
)
from .intake import RequestIntake
from .policy_host import PolicyHost
from .requests import Attempt, Request, RequestTable


class InputHandler:
    """Turns inputs into policy events, and drops stale and duplicate inputs.

    Args:
        intake: The check that accepts or rejects new requests.
        requests: The table of requests and attempts.
        engines: The table of listed engines.
        policy: The policy with its learned state.
        effects: The list that receives effects which need no decision of the policy.
    """

    def __init__(
        self,
        intake: RequestIntake,
        requests: RequestTable,
        engines: EngineTable,
        policy: PolicyHost,
        effects: list[Effect],
    ) -> None:
        self._intake = intake
        self._requests = requests
        self._engines = engines
        self._policy = policy
        self._effects = effects

    def handle(self, event: Input, now: float) -> list[api.Event]:
        """Apply one input and return the events that it causes for the policy."""
        match event:
            case Submit():
                return self._on_submit(event, now)
            case AttemptDone():
                return self._on_attempt_done(event)
            case ResultReady():
                return self._on_result_ready(event)
            case AttemptProgress():
                return self._on_progress(event)
            case ClientDisconnected():
                return self._on_client_disconnected(event)
            case api.EndpointListUpdate():
                return self._on_endpoint_list(event)
            case api.ProbeResult() | api.PeerMessage():
                return [event]
            case PurgeLearnedState():
                self._policy.purge(event.categories)
                return []
            case AttachLearnedState():
                self._policy.attach(event.persisted_state)
                return []
            case BeginDrain():
                self._intake.begin_drain(now, event.grace_period)
                return []
            case FinishDrain():
                self._intake.finish_drain(now)
                return [api.Shutdown()]
            case _:
                assert_never(event)

    # --- requests ---

    def _on_submit(self, event: Submit, now: float) -> list[api.Event]:
        request = Request(
            event.request,
            class_index=event.class_index,
            estimated_cost=event.estimated_cost,
            idempotency_key=event.idempotency_key,
        )
        self._requests.add(request)
        previous_attempt = self._policy.previous_attempt(event.idempotency_key, now)
        request.is_repeated = previous_attempt is not None
        arrival = api.Arrival(
            request=event.request,
            class_index=event.class_index,
            timeout=event.timeout,
            tenant=event.tenant,
            ordering_key=event.ordering_key,
            estimated_cost=event.estimated_cost,
            estimated_memory_mb=event.estimated_memory_mb,
            table_group=event.table_group,
            is_retry=event.is_retry,
            is_write=event.is_write,
            previous_attempt=previous_attempt,
        )
        rejection = self._intake.rejection(request.id, self._requests.pending_count, now)
        if rejection is not None:
            self._requests.answer(request, self._policy.safe_answer(rejection, arrival, now))
            self._requests.release(request)
            return []
        return [arrival]

    def _on_client_disconnected(self, event: ClientDisconnected) -> list[api.Event]:
        request = self._requests.get(event.request)
        if request is None or request.is_answered:
            return []
        self._requests.answer(request, None)
        return [api.ClientDisconnected(event.request)]

    # --- attempts ---

    def _on_result_ready(self, event: ResultReady) -> list[api.Event]:
        in_flight = self._requests.find_in_flight(event.request, event.attempt)
        if in_flight is None:
            return []
        request, attempt = in_flight
        if attempt.is_cancelled or request.is_answered or request.committed_attempt is not None:
            return []
        self._requests.commit(request, attempt)
        return [api.StreamStarted(request.id, attempt.number, attempt.engine)]

    def _on_attempt_done(self, event: AttemptDone) -> list[api.Event]:
        in_flight = self._requests.find_in_flight(event.request, event.attempt)
        if in_flight is None:
            return []
        request, attempt = in_flight
        attempt.has_ended = True
        self._policy.record_attempt_end(request.idempotency_key, event.outcome in NEVER_RAN)
        was_answered = request.is_answered
        outcome = self._settle(request, attempt, event)
        attempt_ended = api.AttemptEnded(
            request=request.id,
            attempt=attempt.number,
            engine=attempt.engine,
            outcome=outcome,
            elapsed=event.elapsed,
            is_final=request.is_answered and not was_answered,
            work=event.work,
            memory_mb=event.memory_mb,
            load_report=event.load_report,
        )
        return [attempt_ended]

    def _settle(self, request: Request, attempt: Attempt, event: AttemptDone) -> api.Outcome:
        """Answer the request if the end of this attempt determines the answer.

        Returns:
            The outcome that is reported to the policy.
        """
        if request.is_answered:
            self._requests.mark_releasable(request)
            return event.outcome
        if attempt.is_cancelled:
            # The result of a cancelled attempt is not used. An outcome that proves that the attempt never ran
            # is still reported to the policy, since it permits a retry.
            return event.outcome if event.outcome in NEVER_RAN else api.Outcome.CANCELLED
        if event.outcome is api.Outcome.OK:
            self._requests.answer(request, CompleteRequest(request.id, attempt.number))
            return event.outcome
        if event.is_query_fault:
            # Every engine would return this error, so the error is the answer. It carries no information
            # about the health or speed of the engine, so the outcome reported to the policy is CANCELLED,
            # from which the policy learns nothing.
            answer = CompleteRequest(request.id, attempt.number, is_query_fault=True)
            self._requests.answer(request, answer)
            return api.Outcome.CANCELLED
        return event.outcome

    def _on_progress(self, event: AttemptProgress) -> list[api.Event]:
        in_flight = self._requests.find_in_flight(event.request, event.attempt)
        if in_flight is None:
            return []
        request, attempt = in_flight
        return [api.ProgressReport(request.id, attempt.number, attempt.engine, event.kind, event.amount)]

    # --- engines ---

    def _on_endpoint_list(self, event: api.EndpointListUpdate) -> list[api.Event]:
        if event.mode is not api.EndpointListMode.FAILED:
            self._engines.apply(event)
            self._withdraw_attempts()
        return [event]

    def _withdraw_attempts(self) -> None:
        """Withdraw unsent attempts at engines that drain or are not listed. Sent attempts continue."""
        for request in self._requests:
            for attempt in request.in_flight:
                if not self._engines.is_ready(attempt.engine):
                    self._effects.append(WithdrawAttempt(request.id, attempt.number))
