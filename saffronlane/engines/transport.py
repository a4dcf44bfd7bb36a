"""The executor's records of requests and attempts, and the interface of a transport."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from .. import dispatch

if TYPE_CHECKING:
    from .executor import Executor


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client.

    It stays in the executor's ledger until it is answered and all its attempts have ended.

    Attributes:
        id: The number of the request.
        statement: The statement that the transport runs. Its type depends on the transport.
        sink: The object that receives the answer. Its type depends on the transport.
        idempotency_key: The key that is sent to engines, or empty if there is none.
        attempts_in_flight: The attempts that have not ended, by number.
        last_error: The error of the attempt that failed last, or empty.
        is_answered: Whether the request is answered, or its client has disconnected.
    """

    id: int
    statement: Any
    sink: Any
    idempotency_key: str = ""
    attempts_in_flight: dict[int, Attempt] = field(default_factory=dict)
    last_error: str = ""
    is_answered: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request. Each transport derives a class with its own fields.

    Attributes:
        request: The request that this attempt belongs to.
        number: The number of the attempt within its request.
        engine: The id of the engine.
        effect: The effect that started the attempt.
        started_at: The time of the event loop when the attempt was created.
        write_ahead: The future that resolves to whether the attempt's write-ahead entries are durable, or
            None if the attempt has none.
        durability_wait: The seconds spent waiting for `write_ahead`.
        has_ended: Whether the end of the attempt has been reported.
    """

    request: Request
    number: int
    engine: bytes
    effect: dispatch.StartAttempt
    started_at: float
    write_ahead: asyncio.Future[bool] | None = None
    durability_wait: float = 0.0
    has_ended: bool = False

    @property
    def send_deadline(self) -> float:
        """The time of the event loop after which the attempt must not be sent; infinity if there is none."""
        return self.started_at + self.effect.send_timeout

    @property
    def arrival_deadline(self) -> float:
        """The time of the event loop until which the whole attempt must arrive, or infinity."""
        return self.started_at + self.effect.arrival_timeout

    async def wait_until_durable(self) -> bool:
        """Wait for the write-ahead of this attempt, up to the timeout in its effect.

        Returns:
            True if the attempt has no write-ahead or the write-ahead is durable, False otherwise.
        """
        if self.write_ahead is None:
            return True
        loop = asyncio.get_running_loop()
        wait_started_at = loop.time()
        done, _ = await asyncio.wait({self.write_ahead}, timeout=self.effect.durability_timeout)
        self.durability_wait = loop.time() - wait_started_at
        return bool(done) and self.write_ahead.result()


class Transport(Protocol):
    """Runs attempts at engines and answers clients.

    A transport reports the end of each attempt by one call of `Executor.finish_attempt`. The executor answers
    each request by one call of `complete`, `reject` or `fail`.
    """

    def bind(self, executor: Executor) -> None:
        """Set the executor that receives the ends of attempts and the results of probes."""

    def create_attempt(self, request: Request, effect: dispatch.StartAttempt, started_at: float) -> Attempt:
        """Return a new attempt that does not run yet. `started_at` is the time of the event loop."""

    def begin(self, attempt: Attempt) -> None:
        """Start an attempt that the executor has added to its ledger. Its end may be reported from now on."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at its engine."""

    def discard(self, attempt: Attempt) -> None:
        """Discard the result of an attempt without cancelling it at its engine."""

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt if it has not been sent yet."""

    def commit(self, attempt: Attempt) -> None:
        """Forward the result of this attempt to the client."""

    def complete(self, request: Request, attempt: Attempt, is_query_fault: bool) -> None:
        """Answer with the result of an attempt, or with the engine's error if the query is at fault."""

    def reject(self, request: Request, retry_after: float, reason: str) -> None:
        """Answer that the request did not run and may be retried after `retry_after` seconds."""

    def fail(self, request: Request, reason: str) -> None:
        """Answer that the request failed and may have run."""

    def on_request_removed(self, request: Request) -> None:
        """Release what is kept for a request that is answered and has no attempt in flight any more."""

    def probe(self, engine: bytes) -> None:
        """Request a load report from an engine. The result is passed to `Executor.feed`."""

    def close_idle(self, engine: bytes) -> None:
        """Close the idle connections to an engine."""

    def on_attempt_released(self, attempt: Attempt) -> None:
        """Release resources after an ended attempt has been removed from the executor's ledger."""

    def close(self) -> None:
        """Close all connections immediately."""
