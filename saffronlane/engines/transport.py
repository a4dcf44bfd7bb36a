"""What the executor keeps of requests and attempts, and what it needs of a transport."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from .. import dispatch

if TYPE_CHECKING:
    from .executor import Executor


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, until it is answered and all its attempts have ended.

    `work` is what the transport runs, `sink` where its answer goes; only transports know their types.
    """

    id: int
    work: Any
    sink: Any
    idempotency_key: str = ""  # sent along to engines
    attempts_in_flight: dict[int, Attempt] = field(default_factory=dict)  # by number
    last_error: str = ""
    is_answered: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; a transport derives its own class with what it needs."""

    request: Request
    number: int
    engine: bytes
    effect: dispatch.StartAttempt
    started_at: float
    write_ahead: asyncio.Future[bool] | None = None  # whether what must be stored first is durable
    durability_wait: float = 0.0  # seconds spent waiting for that
    has_ended: bool = False

    async def wait_until_durable(self) -> bool:
        """Wait for the write ahead of this attempt, up to the timeout of its effect.

        Returns:
            Whether there was nothing to wait for or it is durable.
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

    An attempt from `create_attempt` ends once, by `Executor.finish_attempt`. A request is answered once, by
    `complete`, `reject` or `fail`.
    """

    def bind(self, executor: Executor) -> None:
        """Set the executor that attempts and probes are reported to."""

    def create_attempt(self, request: Request, effect: dispatch.StartAttempt, started_at: float) -> Attempt:
        """Return a new attempt that does not run yet; `started_at` is the loop's time."""

    def begin(self, attempt: Attempt) -> None:
        """Run an attempt; it is in the executor's table now, and may end."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt at its engine."""

    def discard(self, attempt: Attempt) -> None:
        """Discard the result of an attempt that may not be stopped."""

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt that has not been sent; do nothing if it has."""

    def commit(self, attempt: Attempt) -> None:
        """Pass on the result of this attempt, and of no other."""

    def complete(self, request: Request, attempt: Attempt, is_query_fault: bool) -> None:
        """Answer with the result of an attempt, or with its error if the query is at fault."""

    def reject(self, request: Request, retry_after: float, reason: str) -> None:
        """Answer that the request did not run and may be retried after some seconds."""

    def fail(self, request: Request, reason: str) -> None:
        """Answer that the request failed and may have run."""

    def probe(self, engine: bytes) -> None:
        """Ask an engine for its load; the result arrives by `Executor.feed`."""

    def close_idle(self, engine: bytes) -> None:
        """Close the idle connections to an engine."""

    def on_attempt_released(self, attempt: Attempt) -> None:
        """Release the resources of an ended attempt that the executor has removed."""

    def close(self) -> None:
        """Close all connections at once."""
