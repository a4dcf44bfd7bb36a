"""Drives a dispatcher on an event loop, and runs its requests through a transport.

All inputs of one turn of the loop are passed to the dispatcher in one step, so that it compares the deadlines
of all queries that arrive in the same turn. The transport defines how an attempt runs at an engine and how an
answer reaches a client. There are two transports: `flight.py` and `platform/upstream/`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import structlog

from .. import dispatch
from .. import interface as api
from .effect_runner import EffectRunner, PersistChanges, SendGossip
from .request_ledger import RequestLedger
from .transport import Attempt, Request, Transport

log = structlog.get_logger()
IDLE_POLL_INTERVAL = 0.01  # seconds


class Executor:
    """Runs requests on engines as the dispatcher decides.

    Args:
        dispatcher: The dispatcher. Only this executor calls its `step`.
        transport: The transport that runs attempts and answers clients.
        send_gossip: A function that sends a message to one peer gateway, or to all if the peer is None.
        persist: A function that stores changes of the learned state. For a write-ahead it returns a future,
            which resolves to whether the changes are durable.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        transport: Transport,
        send_gossip: SendGossip | None = None,
        persist: PersistChanges | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.transport = transport
        self.non_durable_count = 0  # attempts sent before their write-ahead was durable
        self._loop = asyncio.get_running_loop()
        self._inputs: list[dispatch.Input] = []
        self._scheduled_step: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline = math.inf
        self._requests = RequestLedger(transport.on_request_removed)
        self._effect_runner = EffectRunner(
            dispatcher, transport, self._requests, self.feed, send_gossip, persist
        )
        transport.bind(self)

    # --- requests ---

    def submit(
        self,
        statement: Any,
        sink: Any,
        make_input: Callable[[int], dispatch.Submit],
        idempotency_key: str = "",
    ) -> int:
        """Accept a request and return its number.

        Args:
            statement: The statement that the transport runs.
            sink: The object that receives the answer from the transport.
            make_input: A function that builds the dispatcher's input from the number of the request.
            idempotency_key: The key that is sent to engines, or empty if there is none.
        """
        number = self.add_request(statement, sink, idempotency_key)
        self.feed(make_input(number))
        return number

    def add_request(self, statement: Any, sink: Any, idempotency_key: str = "") -> int:
        """Accept a request whose `Submit` is fed later, and return its number.

        Args:
            statement: The statement that the transport runs.
            sink: The object that receives the answer from the transport.
            idempotency_key: The key that is sent to engines, or empty if there is none.
        """
        number = self.dispatcher.new_request()
        self._requests.add(number, statement, sink, idempotency_key)
        return number

    def reject_unsubmitted(self, number: int, retry_after: float, reason: str) -> None:
        """Reject a request whose `Submit` was not fed.

        Args:
            number: The number of the request; without effect if its client has disconnected.
            retry_after: Seconds after which the client may retry, or 0 to send no delay.
            reason: Why the request was rejected.
        """
        self._effect_runner.run([dispatch.RejectRequest(number, retry_after, reason)])

    def unanswered_request(self, number: int) -> Request | None:
        """Return a request, or None if it has been answered or is unknown."""
        return self._requests.get_unanswered(number)

    def disconnect_client(self, number: int) -> None:
        """Abandon a request whose client no longer waits for the answer."""
        request = self._requests.get_unanswered(number)
        if request is not None:
            self._requests.mark_answered(request)
            self.feed(dispatch.ClientDisconnected(number))
            self._requests.remove_if_ended(request)

    # --- steps of the dispatcher ---

    def feed(self, event: dispatch.Input) -> None:
        """Queue an input. The dispatcher processes it in the next turn of the event loop."""
        self._inputs.append(event)
        self._schedule_step()

    def _schedule_step(self) -> None:
        if self._scheduled_step is None:
            self._scheduled_step = self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._scheduled_step = None
        inputs = self._inputs
        self._inputs = []
        try:
            self._effect_runner.run(self.dispatcher.step(self._loop.time(), inputs))
        finally:  # a failed step must not stop the timers
            self._set_timer()

    def _set_timer(self) -> None:
        deadline = self.dispatcher.next_timer
        if deadline == self._timer_deadline and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_deadline = deadline
        if deadline < math.inf:
            self._timer = self._loop.call_at(deadline, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._schedule_step()

    # --- reports of the transport ---

    def finish_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        elapsed: float,
        work: float = 0.0,
        memory_mb: float = 0.0,
        load_report: tuple[float, ...] = (),
        is_query_fault: bool = False,
    ) -> None:
        """Report the end of an attempt. Reports after the first are ignored.

        Args:
            attempt: The attempt that has ended.
            outcome: How the attempt ended.
            elapsed: The seconds from the start of the attempt to its end.
            work: The work that the engine reported, in thread-seconds, or 0 if it reported none.
            memory_mb: The memory that the engine reported, in MB, or 0 if it reported none.
            load_report: The engine's load report, or empty if the answer had none.
            is_query_fault: Whether the query itself is invalid, so that every engine would reject it.
        """
        if attempt.has_ended:
            return
        attempt.has_ended = True
        request_id = attempt.request.id
        log.debug(
            "attempt ended",
            request=request_id,
            attempt=attempt.number,
            engine=attempt.engine.decode("utf-8", "replace"),
            outcome=outcome.name,
            elapsed=round(elapsed, 4),
        )
        self.feed(
            dispatch.AttemptDone(
                request_id, attempt.number, outcome, elapsed, work, memory_mb, load_report, is_query_fault
            )
        )
        # The scheduled step may answer with the attempt's result, so the attempt is released after that step.
        self._loop.call_soon(self._release_attempt, attempt)

    def _release_attempt(self, attempt: Attempt) -> None:
        self._requests.remove_attempt(attempt)
        self.transport.on_attempt_released(attempt)

    # --- shutdown ---

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether inputs are queued for the next step."""
        return bool(self._inputs)

    @property
    def is_idle(self) -> bool:
        """Whether no request is open, no attempt in flight and no input queued."""
        return not self._requests and not self._inputs

    async def wait_until_idle(self) -> None:
        """Wait until no request is open, no attempt in flight and no input queued."""
        while not self.is_idle:
            await asyncio.sleep(IDLE_POLL_INTERVAL)

    def close(self) -> None:
        """Stop immediately, without waiting for attempts."""
        if self._timer is not None:
            self._timer.cancel()
        self.transport.close()
