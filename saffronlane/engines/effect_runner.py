"""Carries out the dispatcher's effects through a transport."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import structlog

from .. import dispatch
from .. import interface as api
from ..storage import Change
from .request_ledger import RequestLedger
from .transport import Attempt, Transport

log = structlog.get_logger()
PersistChanges = Callable[[tuple[Change, ...], bool], "asyncio.Future[bool] | None"]
SendGossip = Callable[[int | None, bytes], None]
_AttemptEffect = (
    dispatch.CancelAttempt
    | dispatch.DiscardAttempt
    | dispatch.WithdrawAttempt
    | dispatch.Commit
    | dispatch.CompleteRequest
)


class EffectRunner:
    """Applies effects to the requests of a ledger.

    Args:
        dispatcher: The dispatcher that emits the effects.
        transport: The transport that runs attempts and answers clients.
        requests: The requests that have not ended.
        feed: A function that queues an input for the dispatcher.
        send_gossip: A function that sends a message to one peer gateway, or to all if the peer is None.
        persist: A function that stores changes of the learned state. For a write-ahead it returns a future,
            which resolves to whether the changes are durable.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        transport: Transport,
        requests: RequestLedger,
        feed: Callable[[dispatch.Input], None],
        send_gossip: SendGossip | None,
        persist: PersistChanges | None,
    ) -> None:
        self._dispatcher = dispatcher
        self._transport = transport
        self._requests = requests
        self._feed = feed
        self._send_gossip = send_gossip
        self._persist_changes = persist
        self._write_ahead: asyncio.Future[bool] | None = None  # the write-ahead of this step
        self._loop = asyncio.get_running_loop()

    def run(self, effects: Iterable[dispatch.Effect]) -> None:
        """Carry out the effects of one step. An effect that fails does not stop the others."""
        self._write_ahead = None
        for effect in effects:
            try:
                self._apply(effect)
            except Exception:
                log.exception("effect failed", effect=repr(effect))
                if isinstance(effect, dispatch.StartAttempt):
                    self._report_not_sent(effect)

    def _apply(self, effect: dispatch.Effect) -> None:
        match effect:
            case dispatch.StartAttempt():
                self._start_attempt(effect)
            case dispatch.CompleteRequest():
                self._complete(effect)
            case dispatch.RejectRequest():
                self._reject(effect)
            case dispatch.FailRequest():
                self._fail(effect)
            case dispatch.Persist():
                self._persist(effect)
            case (
                dispatch.CancelAttempt()
                | dispatch.DiscardAttempt()
                | dispatch.WithdrawAttempt()
                | dispatch.Commit()
            ):
                self._update_attempt(effect)
            case api.ProbeLoad():
                self._transport.probe(effect.engine)
            case api.CloseIdleConnections():
                self._transport.close_idle(effect.engine)
            case api.SendGossip():
                self._gossip(effect)
            case api.Log():
                self._log(effect)

    # --- attempts ---

    def _start_attempt(self, effect: dispatch.StartAttempt) -> None:
        request = self._requests.get(effect.request)
        if request is None:  # the client disconnected in the same turn of the event loop
            self._report_not_sent(effect)
            return
        # An earlier attempt that still waits was decided on before this one, and has no send deadline that
        # takes it into account. Sent late, it could run after this one, and a second time.
        for earlier in list(request.attempts_in_flight.values()):
            self._transport.withdraw(earlier)
        attempt = self._transport.create_attempt(request, effect, self._loop.time())
        if effect.durability_timeout:
            attempt.write_ahead = self._write_ahead
        request.attempts_in_flight[effect.attempt] = attempt
        self._transport.begin(attempt)

    def _report_not_sent(self, effect: dispatch.StartAttempt) -> None:
        self._feed(dispatch.AttemptDone(effect.request, effect.attempt, api.Outcome.NOT_SENT, elapsed=0.0))

    def _find(self, effect: _AttemptEffect) -> Attempt | None:
        return self._requests.get_attempt(effect.request, effect.attempt)

    def _update_attempt(
        self,
        effect: dispatch.CancelAttempt | dispatch.DiscardAttempt | dispatch.WithdrawAttempt | dispatch.Commit,
    ) -> None:
        attempt = self._find(effect)
        if attempt is None:
            return
        match effect:
            case dispatch.CancelAttempt():
                self._transport.cancel(attempt)
            case dispatch.DiscardAttempt():
                self._transport.discard(attempt)
            case dispatch.WithdrawAttempt():
                self._transport.withdraw(attempt)
            case dispatch.Commit():
                self._transport.commit(attempt)

    # --- answers ---

    def _complete(self, effect: dispatch.CompleteRequest) -> None:
        request = self._requests.get_unanswered(effect.request)
        attempt = self._find(effect)
        if request is not None and attempt is not None:
            self._requests.mark_answered(request)
            self._transport.complete(request, attempt, effect.is_query_fault)
            self._requests.remove_if_ended(request)

    def _reject(self, effect: dispatch.RejectRequest) -> None:
        request = self._requests.get_unanswered(effect.request)
        if request is not None:
            self._requests.mark_answered(request)
            self._transport.reject(request, effect.retry_after, effect.reason)
            self._requests.remove_if_ended(request)

    def _fail(self, effect: dispatch.FailRequest) -> None:
        request = self._requests.get_unanswered(effect.request)
        if request is not None:
            self._requests.mark_answered(request)
            self._transport.fail(request, effect.reason)
            self._requests.remove_if_ended(request)

    # --- persistence, gossip and logs ---

    def _persist(self, effect: dispatch.Persist) -> None:
        if self._persist_changes is None:
            return
        future = self._persist_changes(effect.changes, effect.is_write_ahead)
        if effect.is_write_ahead:
            self._write_ahead = future

    def _gossip(self, effect: api.SendGossip) -> None:
        if self._send_gossip is not None:
            self._send_gossip(effect.peer, effect.data)

    def _log(self, effect: api.Log) -> None:
        text = effect.text
        for (
            engine
        ) in self._dispatcher.engines:  # the policy's texts hold ids in hexadecimal, logs hold them as text
            text = text.replace(engine.hex(), engine.decode("utf-8", "replace"))
        log.info("decision", text=text)
