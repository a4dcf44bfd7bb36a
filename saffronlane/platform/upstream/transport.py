"""Runs attempts at compute nodes: which connection carries one, and how it ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ... import dispatch
from ...engines.executor import Executor
from ...engines.transport import Attempt, Request
from ...interface import Outcome, ProbeResult
from ..config import Address
from ..descriptors import DescriptorExhaustion
from . import protocol
from .attempt import UpstreamAttempt
from .client import response_sink
from .connection import UpstreamConnection
from .limits import UpstreamLimits
from .pool import UpstreamPool
from .probes import EngineProber
from .response_assembler import ResponseAssembler


class UpstreamTransport:
    """Runs attempts at compute nodes: the executor's transport, and the listener of all connections.

    Args:
        limits: of connections.
        address_of: the address of a compute node by its id; None where it is not listed (any more).
        descriptor_exhaustion: notified where the system gives no descriptor.
    """

    def __init__(
        self,
        limits: UpstreamLimits,
        address_of: Callable[[bytes], Address | None],
        descriptor_exhaustion: DescriptorExhaustion,
    ) -> None:
        self.pool = UpstreamPool(limits, address_of, descriptor_exhaustion, self)
        self._loop = asyncio.get_running_loop()
        self._executor: Executor
        self._prober = EngineProber(self.pool, self._on_probe_result)
        self._assembler = ResponseAssembler(self.on_attempt_ended)

    def bind(self, executor: Executor) -> None:
        """Set the executor that ends are reported to."""
        self._executor = executor

    # --- attempts, for the executor ---

    def create_attempt(self, request: Request, effect: dispatch.StartAttempt, started_at: float) -> Attempt:
        """Create an attempt."""
        return UpstreamAttempt(request, effect.attempt, effect.engine, effect, started_at)

    def begin(self, attempt: Attempt) -> None:
        """Queue an attempt on a connection."""
        assert isinstance(attempt, UpstreamAttempt)
        statement = attempt.statement
        effect = attempt.effect
        connection = self.pool.select(attempt.engine, statement.request_id)
        if connection is None:
            self.on_attempt_ended(attempt, Outcome.NOT_SENT)
            return
        attempt.connection = connection
        deadline = attempt.started_at + effect.timeout
        attempt.timeout_timer = self._loop.call_at(deadline, self._on_timeout, attempt)
        command = protocol.execute_command(statement, effect.timeout, effect.grant_mb)
        connection.execute(attempt, command)

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt at its compute node."""
        assert isinstance(attempt, UpstreamAttempt)
        self._give_up(attempt, Outcome.CANCELLED)

    def discard(self, attempt: Attempt) -> None:
        """Drop an attempt that may not be stopped where it runs; one that is queued is never sent.

        Guards against an attempt that waits for its connection and is sent after its client has gone, where
        the settings forbid cancelling.
        """
        self.withdraw(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Withdraw an attempt unless it was sent."""
        assert isinstance(attempt, UpstreamAttempt)
        if not attempt.sent_at:
            self._give_up(attempt, Outcome.NOT_SENT)

    def commit(self, attempt: Attempt) -> None:
        """Do nothing: results are complete before they are reported."""

    def on_attempt_released(self, attempt: Attempt) -> None:
        """Drain the connections to a compute node that is no longer listed."""
        if not self.pool.is_listed(attempt.engine):
            self.remove_engine(attempt.engine)

    # --- answers to clients, for the executor ---

    def complete(self, request: Request, attempt: Attempt, is_query_fault: bool) -> None:
        """Answer a request with an attempt's result."""
        assert isinstance(attempt, UpstreamAttempt)
        response_sink(request).send_result(attempt.result.content())

    def reject(self, request: Request, retry_after: float, reason: str) -> None:
        """Reject a request."""
        response_sink(request).send_rejection(retry_after)

    def fail(self, request: Request, reason: str) -> None:
        """Answer a request with an error."""
        response_sink(request).send_failure(reason)

    # --- probes and connections, for the executor and the server ---

    def probe(self, engine: bytes) -> None:
        """Probe a compute node; the result is fed to the executor."""
        has_report = bool(self._executor.dispatcher.settings.report_columns)
        self._prober.probe(engine, with_load_report=has_report)

    def close_idle(self, engine: bytes) -> None:
        """Close the idle connections to a compute node."""
        self.pool.close_idle(engine)

    def remove_engine(self, engine: bytes) -> None:
        """Drain the connections to a compute node: nothing of it stays once its last attempt has ended."""
        self.pool.drain_engine(engine)

    def close(self) -> None:
        """Close all connections at once."""
        self.pool.close()

    # --- what connections report ---

    def on_response(self, connection: UpstreamConnection, words: list[bytes]) -> None:
        """Handle one whole response; one to nothing that is under way here is dropped."""
        attempt = connection.attempts.get(words[0])
        if attempt is None or not attempt.sent_at:
            self._prober.on_response(connection, words)
        else:
            self._assembler.receive(connection, attempt, words)

    def on_attempt_unsent(self, attempt: UpstreamAttempt) -> None:
        """Queue an attempt again, once, on another connection to its compute node."""
        attempt.was_reassigned = True
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self.begin(attempt)

    def on_probe_ended(self, engine: bytes, outcome: Outcome, started_at: float) -> None:
        """Report a probe that ended with its connection."""
        self._prober.report_end(engine, outcome, started_at)

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Forget a connection."""
        self.pool.remove(connection)

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        """End an attempt, whoever finds out first; a second end changes nothing."""
        if attempt.is_ended:
            return
        attempt.is_ended = True
        attempt.cancel_timers()
        elapsed = self._loop.time() - (attempt.sent_at or attempt.started_at)
        connection = attempt.connection
        if connection is not None and attempt.sent_at and outcome is not Outcome.OK:
            connection.retire(attempt)
        self._executor.finish_attempt(attempt, outcome, elapsed, attempt.work_s, attempt.memory_mb)
        if connection is not None:
            connection.release(attempt)

    # --- ends from this side ---

    def _on_probe_result(self, result: ProbeResult) -> None:
        self._executor.feed(result)

    def _on_timeout(self, attempt: UpstreamAttempt) -> None:
        self._give_up(attempt, Outcome.TIMEOUT if attempt.sent_at else Outcome.CONNECT_FAILED)

    def _give_up(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        """End an attempt from this side; one that was never sent ends as that."""
        connection = attempt.connection
        if attempt.is_ended or connection is None:
            return
        if attempt.sent_at:
            self._cancel_sent(attempt, connection, outcome)
            return
        connection.withdraw(attempt)
        has_connect_failed = outcome is Outcome.CONNECT_FAILED and not connection.is_established
        self.on_attempt_ended(attempt, outcome if has_connect_failed else Outcome.NOT_SENT)

    def _cancel_sent(
        self, attempt: UpstreamAttempt, connection: UpstreamConnection, outcome: Outcome
    ) -> None:
        connection.enqueue(protocol.cancel_command(attempt.statement.request_id))
        waited = self._loop.time() - attempt.sent_at
        self.on_attempt_ended(attempt, outcome)
        # Guards against a machine that has vanished or a broken network path: open connections stay open and
        # silent. A new connection finds out, and a response in between proves the old one healthy.
        has_response = connection.last_response_at > attempt.sent_at
        if not has_response and waited > self.pool.limits.connect_timeout:
            connection.drain("unresponsive")
        elif connection.needs_replacement:
            connection.drain("too many retired ids")
