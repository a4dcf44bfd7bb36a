"""Steps a dispatcher on an event loop, and runs its requests by a transport.

What happens within one turn of the loop reaches the dispatcher as one step, so that queries that arrive
together compete by deadline. How an attempt runs at an engine, and how an answer reaches a client, is up to
the transport: `flight.py` here, `platform/upstream/`.
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
    """Runs requests through a dispatcher on engines.

    Args:
        dispatcher: decides; this object alone steps it.
        transport: runs attempts and answers clients.
        send_gossip: carries a message to a peer gateway, or to all.
        persist: stores changes of the learned state; a write ahead returns a future that tells whether it is
            durable.
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
        self.non_durable_count = 0  # attempts that started before their write ahead was durable
        self._loop = asyncio.get_running_loop()
        self._inputs: list[dispatch.Input] = []
        self._scheduled_step: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline = math.inf
        self._requests = RequestLedger()
        self._effects = EffectRunner(dispatcher, transport, self._requests, self.feed, send_gossip, persist)
        transport.bind(self)

    # --- requests ---

    def submit(
        self, work: Any, sink: Any, make_input: Callable[[int], dispatch.Submit], idempotency_key: str = ""
    ) -> int:
        """Accept a request and return its number.

        Args:
            work: what the transport runs.
            sink: where the transport's answer goes.
            make_input: builds the dispatcher's input from the request's number.
            idempotency_key: the key that engines are given; empty: none.
        """
        number = self.dispatcher.new_request()
        self._requests.open(number, work, sink, idempotency_key)
        self.feed(make_input(number))
        return number

    def open_request(self, number: int) -> Request | None:
        """Return a request that has no answer yet, or None."""
        return self._requests.unanswered(number)

    def disconnect_client(self, number: int) -> None:
        """Give up a request whose client no longer waits for the answer."""
        request = self._requests.unanswered(number)
        if request is not None:
            self._requests.close_request(request)
            self.feed(dispatch.ClientDisconnected(number))
            self._requests.remove_if_over(request)

    # --- stepping ---

    def feed(self, event: dispatch.Input) -> None:
        """Queue an input; the dispatcher is stepped in the next turn of the loop."""
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
            self._effects.run(self.dispatcher.step(self._loop.time(), inputs))
        finally:  # a step that fails must not stop the timers
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

    # --- the transport's side ---

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
        """Report the end of an attempt; only the first report counts.

        Args:
            attempt: the attempt.
            outcome: how it ended.
            elapsed: seconds from its start to its end.
            work: seconds of work that the engine reported; 0: none reported.
            memory_mb: memory that the engine reported; 0: none reported.
            load_report: the engine's load report, if it came with the result.
            is_query_fault: whether the query itself is wrong, on whatever engine.
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
        # The dispatcher answers in this turn's step; what the attempt holds must live until then.
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
        """Stop at once, without waiting for attempts."""
        if self._timer is not None:
            self._timer.cancel()
        self.transport.close()
