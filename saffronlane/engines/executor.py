"""Carries out the dispatcher's effects by a transport, and tells it what came of them.

One Executor binds one `dispatch.Dispatcher` to a loop. What happens within one turn of the loop reaches the
dispatcher as one step, so that queries that arrive together compete by deadline. How an attempt runs at an
engine, and how an answer reaches a client, is the transport's: `flight.py` here, `platform/links/`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import structlog

from .. import dispatch as d
from .. import interface as api
from ..storage import Change

log = structlog.get_logger()
Keep = Callable[[tuple[Change, ...], bool], "asyncio.Future[bool] | None"]


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, until it is answered and all its attempts have ended."""

    id: int
    work: Any  # what the transport runs
    sink: Any  # where the transport's answer goes
    idempotency_key: str = ""  # that engines know the request by
    attempts_in_flight: dict[int, Attempt] = field(default_factory=dict)
    last_error: str = ""
    is_answered: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt under way; a transport adds what it needs."""

    request: Request
    number: int
    engine: bytes
    effect: d.StartAttempt
    started_at: float
    write_ahead: asyncio.Future[bool] | None = None  # what must be on disk before it leaves
    durability_wait: float = 0.0  # seconds for that
    has_ended: bool = False  # its end

    async def wait_until_durable(self) -> bool:
        """Wait for what a later run must know of it; a disk that hangs holds nothing up for long."""
        if self.write_ahead is None:
            return True
        loop = asyncio.get_running_loop()
        began = loop.time()
        done, _ = await asyncio.wait({self.write_ahead}, timeout=self.effect.durability_timeout)
        self.durability_wait = loop.time() - began
        return bool(done) and self.write_ahead.result()


class Transport(Protocol):
    """What an Executor needs of the way to engines and back to clients.

    Each attempt that `start` gives ends once by `Executor.done`; each request is answered once by `serve`,
    `refuse` or `fail`.
    """

    def bind(self, executor: Executor) -> None: ...

    def create_attempt(self, request: Request, effect: d.StartAttempt, started: float) -> Attempt: ...

    def begin(self, attempt: Attempt) -> None:
        """It is in the ledger now, and may end."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop it at its engine."""

    def discard(self, attempt: Attempt) -> None:
        """Nobody wants what it brings."""

    def withdraw(self, attempt: Attempt) -> None:
        """It does not leave if it has not left."""

    def commit(self, attempt: Attempt) -> None:
        """Its result may leave, and no other's."""

    def complete(self, request: Request, attempt: Attempt, fault: bool) -> None: ...

    def reject(self, request: Request, retry_after: float, why: str) -> None: ...

    def fail(self, request: Request, why: str) -> None: ...

    def probe(self, engine: bytes) -> None:
        """Its result comes by `Executor.feed`."""

    def close_idle(self, engine: bytes) -> None: ...

    def on_attempt_released(self, attempt: Attempt) -> None:
        """The ledger has dropped it."""

    def close(self) -> None: ...


class Executor:
    """Runs requests through a dispatcher on engines.

    Args:
        dispatcher: decides; this object alone steps it.
        transport: runs attempts and gives answers.
        send_peer: carries a message to a peer gateway, or to all.
        keep: writes changes of what is known; asked to write ahead, it gives what tells when that is durable,
            and whether.
    """

    def __init__(
        self,
        dispatcher: d.Dispatcher,
        transport: Transport,
        send_gossip: Callable[[int | None, bytes], None] | None = None,
        persist: Keep | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.transport = transport
        self._send_peer = send_gossip
        self._keep = persist
        self._saving: asyncio.Future[bool] | None = None  # of this step
        self.non_durable_count = 0  # attempts that left though what must be on disk before them was not
        self._loop = asyncio.get_running_loop()
        self._inputs: list[d.Input] = []
        self._soon: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self._requests: dict[int, Request] = {}
        self._effect_handlers: dict[type, Callable[..., None]] = {
            d.StartAttempt: self._start_attempt,
            d.Persist: self._write,
            d.CancelAttempt: self._cancel,
            d.DiscardAttempt: self._discard,
            d.WithdrawAttempt: self._recall,
            d.Commit: self._commit,
            d.CompleteRequest: self._serve,
            d.RejectRequest: self._refuse,
            d.FailRequest: self._fail,
            api.ProbeLoad: self._probe,
            api.CloseIdleConnections: self._close_idle,
            api.SendGossip: self._tell,
            api.Log: self._say,
        }
        transport.bind(self)

    # --- the front's side ---

    def submit(self, work: Any, sink: Any, arrival: Callable[[int], d.Submit], key: str = "") -> int:
        """Take a request; its answer comes by `sink`. Returns its number."""
        number = self.dispatcher.new_request()
        self._requests[number] = Request(number, work, sink, key)
        self.feed(arrival(number))
        return number

    def open_request(self, number: int) -> Request | None:
        """A request that is still owed its answer."""
        request = self._requests.get(number)
        return None if request is None or request.is_answered else request

    def disconnect_client(self, number: int) -> None:
        """The client does not want the answer any more."""
        request = self.open_request(number)
        if request is not None:
            request.is_answered = True
            self.feed(d.ClientDisconnected(number))
            self._forget(request)

    # --- stepping ---

    def feed(self, event: d.Input) -> None:
        """Tell the dispatcher something; it is stepped at the end of this turn of the loop."""
        self._inputs.append(event)
        if self._soon is None:
            self._soon = self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._soon = None
        inputs, self._inputs = self._inputs, []
        self._saving = None
        try:
            for effect in self.dispatcher.step(self._loop.time(), inputs):
                self._do(effect)
        finally:  # whatever went wrong, the next timer is not lost
            self._set_timer()

    def _do(self, effect: d.Effect) -> None:
        """Carry out one effect; one that fails takes no other with it."""
        doer = self._effect_handlers.get(type(effect))
        if doer is None:
            return
        try:
            doer(effect)
        except Exception:
            log.exception("effect failed", effect=repr(effect))
            if isinstance(effect, d.StartAttempt):
                self._never_left(effect)

    def _never_left(self, effect: d.StartAttempt) -> None:
        self.feed(d.AttemptDone(effect.request, effect.attempt, api.Outcome.NOT_SENT, 0.0))

    def _set_timer(self) -> None:
        at = self.dispatcher.next_timer
        if at == self._timer_at and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at = at
        if at < math.inf:
            self._timer = self._loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._soon is None:
            self._soon = self._loop.call_soon(self._step)

    # --- effects ---

    def _find(
        self, effect: d.CancelAttempt | d.DiscardAttempt | d.WithdrawAttempt | d.Commit | d.CompleteRequest
    ) -> Attempt | None:
        request = self._requests.get(effect.request)
        return request.attempts_in_flight.get(effect.attempt) if request is not None else None

    def _start_attempt(self, effect: d.StartAttempt) -> None:
        request = self._requests.get(effect.request)
        if request is None:  # its client has left in this very turn
            self._never_left(effect)
            return
        attempt = self.transport.create_attempt(request, effect, self._loop.time())
        attempt.write_ahead = self._saving if effect.durability_timeout else None
        request.attempts_in_flight[effect.attempt] = attempt
        self.transport.begin(attempt)

    def _write(self, effect: d.Persist) -> None:
        if self._keep is not None:
            saving = self._keep(effect.changes, effect.is_write_ahead)
            self._saving = saving if effect.is_write_ahead else self._saving

    def _cancel(self, effect: d.CancelAttempt) -> None:
        attempt = self._find(effect)
        if attempt is not None:
            self.transport.cancel(attempt)

    def _discard(self, effect: d.DiscardAttempt) -> None:
        attempt = self._find(effect)
        if attempt is not None:
            self.transport.discard(attempt)

    def _recall(self, effect: d.WithdrawAttempt) -> None:
        attempt = self._find(effect)
        if attempt is not None:
            self.transport.withdraw(attempt)

    def _commit(self, effect: d.Commit) -> None:
        attempt = self._find(effect)
        if attempt is not None:
            self.transport.commit(attempt)

    def _serve(self, effect: d.CompleteRequest) -> None:
        request, attempt = self.open_request(effect.request), self._find(effect)
        if request is not None and attempt is not None:
            request.is_answered = True
            self.transport.complete(request, attempt, effect.is_query_fault)
            self._forget(request)

    def _refuse(self, effect: d.RejectRequest) -> None:
        request = self.open_request(effect.request)
        if request is not None:
            request.is_answered = True
            self.transport.reject(request, effect.retry_after, effect.reason)
            self._forget(request)

    def _fail(self, effect: d.FailRequest) -> None:
        request = self.open_request(effect.request)
        if request is not None:
            request.is_answered = True
            self.transport.fail(request, effect.reason)
            self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.is_answered and not request.attempts_in_flight:
            self._requests.pop(request.id, None)

    def _probe(self, effect: api.ProbeLoad) -> None:
        self.transport.probe(effect.engine)

    def _close_idle(self, effect: api.CloseIdleConnections) -> None:
        self.transport.close_idle(effect.engine)

    def _tell(self, effect: api.SendGossip) -> None:
        if self._send_peer is not None:
            self._send_peer(effect.peer, effect.data)

    def _say(self, effect: api.Log) -> None:
        text = effect.text
        for engine in self.dispatcher.engines:  # the module knows engines by the bytes of their names
            text = text.replace(engine.hex(), engine.decode("utf-8", "replace"))
        log.info("decision", text=text)

    # --- the transport's side ---

    def finish_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        elapsed: float,
        work: float = 0.0,
        memory_mb: float = 0.0,
        report: tuple[float, ...] = (),
        fault: bool = False,
    ) -> None:
        """An attempt has ended; a second word on it is not heard."""
        if attempt.has_ended:
            return
        attempt.has_ended = True
        log.debug(
            "attempt ended",
            request=attempt.request.id,
            attempt=attempt.number,
            engine=attempt.engine.decode("utf-8", "replace"),
            outcome=outcome.name,
            elapsed=round(elapsed, 4),
        )
        self.feed(
            d.AttemptDone(
                attempt.request.id, attempt.number, outcome, elapsed, work, memory_mb, report, fault
            )
        )
        # The dispatcher answers in this turn's step; what the attempt holds must live until then.
        self._loop.call_soon(self._drop, attempt)

    def _drop(self, attempt: Attempt) -> None:
        attempt.request.attempts_in_flight.pop(attempt.number, None)
        self._forget(attempt.request)
        self.transport.on_attempt_released(attempt)

    # --- the end ---

    @property
    def has_unprocessed_input(self) -> bool:
        """Something was told that the dispatcher has not been stepped with."""
        return bool(self._inputs)

    @property
    def is_idle(self) -> bool:
        """Nothing is owed, and no attempt runs."""
        return not self._requests and not self._inputs

    async def wait_until_idle(self) -> None:
        """Wait until nothing is owed and no attempt runs."""
        while not self.is_idle:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """End at once."""
        if self._timer is not None:
            self._timer.cancel()
        self.transport.close()
