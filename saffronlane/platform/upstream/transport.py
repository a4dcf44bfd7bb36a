"""Runs attempts at compute nodes: selects a connection for each attempt and reports its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ... import dispatch
from ...engines.executor import Executor
from ...engines.transport import Attempt, Request
from ...interface import Outcome, ProbeResult
from ..config import Address
from ..descriptors import DescriptorExhaustion
from ..memory_budget import MemoryBudget
from . import protocol
from .attempt import UpstreamAttempt
from .client import response_sink
from .connection import UpstreamConnection
from .limits import UpstreamLimits
from .pool import UpstreamPool
from .probes import EngineProber
from .response_assembler import ResponseAssembler

ACKNOWLEDGEMENT_TIMEOUT = 0.2  # seconds; systems delay an acknowledgement by up to 40 ms


class UpstreamTransport:
    """The executor's transport, which runs attempts at compute nodes, and the listener of all connections.

    Args:
        limits: The limits of the connections.
        address_of: Returns the address of a compute node by its id; None if the compute node is not listed.
        descriptor_exhaustion: Reports errors that are due to a lack of descriptors.
        memory: The budget in which the statements of ended attempts count that were sent in part.
    """

    def __init__(
        self,
        limits: UpstreamLimits,
        address_of: Callable[[bytes], Address | None],
        descriptor_exhaustion: DescriptorExhaustion,
        memory: MemoryBudget,
    ) -> None:
        self.pool = UpstreamPool(limits, address_of, descriptor_exhaustion, self, memory)
        self.max_send_delay = 0.0  # seconds from a dispatch to the first byte, since the last report
        self.expired_count = 0  # attempts that were not sent by their send deadline
        self.taken_back_count = 0  # connections reset since a command had not arrived in time
        self._loop = asyncio.get_running_loop()
        self._executor: Executor
        self._prober = EngineProber(self.pool, self._on_probe_result)
        self._assembler = ResponseAssembler(self.on_attempt_ended)

    def bind(self, executor: Executor) -> None:
        """Set the executor that attempts and probes are reported to."""
        self._executor = executor

    # --- attempts, for the executor ---

    def create_attempt(self, request: Request, effect: dispatch.StartAttempt, started_at: float) -> Attempt:
        """Create an attempt that is not queued yet."""
        return UpstreamAttempt(request, effect.attempt, effect.engine, effect, started_at)

    def begin(self, attempt: Attempt) -> None:
        """Queue an attempt on a connection."""
        assert isinstance(attempt, UpstreamAttempt)
        connection = self.pool.select(attempt.engine, attempt.statement.request_id)
        if connection is None:
            self.on_attempt_ended(attempt, Outcome.NOT_SENT)
            return
        attempt.connection = connection
        attempt.timeout_timer = self._loop.call_at(attempt.deadline, self._on_timeout, attempt)
        if attempt.send_deadline < attempt.deadline:
            attempt.send_timer = self._loop.call_at(attempt.send_deadline, self._on_send_timeout, attempt)
        if attempt.arrival_deadline < attempt.deadline:
            attempt.arrival_timer = self._loop.call_at(
                attempt.arrival_deadline, self._on_arrival_timeout, attempt
            )
        connection.execute(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at its compute node."""
        assert isinstance(attempt, UpstreamAttempt)
        self._cancel_or_withdraw(attempt, Outcome.CANCELLED)

    def discard(self, attempt: Attempt) -> None:
        """Withdraw an attempt that must not be cancelled at its compute node, unless it was sent.

        Without this, an attempt that waits for its connection would still be sent after its client has
        disconnected if the settings forbid cancelling.
        """
        self.withdraw(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Withdraw an attempt unless it was sent."""
        assert isinstance(attempt, UpstreamAttempt)
        if not attempt.sent_at:
            self._cancel_or_withdraw(attempt, Outcome.NOT_SENT)

    def commit(self, attempt: Attempt) -> None:
        """Do nothing, since results are complete before they are reported."""

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

    def on_request_removed(self, request: Request) -> None:
        """Notify the sink of a request that nothing is kept for it any more."""
        response_sink(request).on_request_removed()

    # --- probes and connections, for the executor and the server ---

    def probe(self, engine: bytes) -> None:
        """Probe a compute node; the result is fed to the executor."""
        has_report = bool(self._executor.dispatcher.settings.report_columns)
        self._prober.probe(engine, with_load_report=has_report)

    def close_idle(self, engine: bytes) -> None:
        """Close the idle connections to a compute node."""
        self.pool.close_idle(engine)

    def remove_engine(self, engine: bytes) -> None:
        """Drain the connections to a compute node; they close once its last attempt has ended."""
        self.pool.drain_engine(engine)

    def leave_former_addresses(self) -> None:
        """Drain the connections to former addresses of compute nodes, where others may listen now."""
        for engine in list(self.pool.connections_by_engine):
            if self.pool.is_listed(engine):
                self.pool.drain_former_address(engine)

    def close(self) -> None:
        """Close all connections immediately."""
        self.pool.close()

    # --- notifications from connections ---

    def on_response(self, connection: UpstreamConnection, elements: list[bytes]) -> None:
        """Handle a complete response; it is dropped if it belongs to no attempt and no probe."""
        attempt = connection.attempts.get(elements[0])
        if attempt is None or not attempt.sent_at:
            self._prober.on_response(connection, elements)
        else:
            self._assembler.receive(connection, attempt, elements)

    def on_attempt_unsent(self, attempt: UpstreamAttempt) -> None:
        """Queue an attempt on another connection to its compute node; each attempt is moved at most once."""
        attempt.was_reassigned = True
        attempt.cancel_timers()
        self.begin(attempt)

    def on_probe_ended(self, engine: bytes, outcome: Outcome, started_at: float) -> None:
        """Report a probe that ended because its connection closed or broke."""
        self._prober.report_end(engine, outcome, started_at)

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self.pool.remove(connection)

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        """End an attempt; only the first call for it has an effect."""
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

    def on_attempt_sent(self, attempt: UpstreamAttempt) -> None:
        """Record how long after its dispatch an attempt was sent."""
        self.max_send_delay = max(self.max_send_delay, attempt.sent_at - attempt.started_at)

    def on_attempt_expired(self, attempt: UpstreamAttempt) -> None:
        """Count and end an attempt that was withdrawn since its send deadline has passed."""
        self.expired_count += 1
        self.on_attempt_ended(attempt, Outcome.NOT_SENT)

    # --- timeouts and cancellation ---

    def _on_probe_result(self, result: ProbeResult) -> None:
        self._executor.feed(result)

    def _on_send_timeout(self, attempt: UpstreamAttempt) -> None:
        if attempt.sent_at or attempt.is_ended or attempt.connection is None:
            return
        attempt.connection.withdraw(attempt)
        self.on_attempt_expired(attempt)

    def _on_arrival_timeout(self, attempt: UpstreamAttempt) -> None:
        connection = attempt.connection
        if connection is None or connection.lifecycle.is_closed or not attempt.must_be_taken_back:
            return
        self.taken_back_count += 1
        connection.reset("a command has not arrived in time")

    def _take_back(self, attempt: UpstreamAttempt) -> None:
        """Take back the rest of an ended attempt's command, once its arrival would have been confirmed."""
        confirmed_at = attempt.sent_at + ACKNOWLEDGEMENT_TIMEOUT
        if self._loop.time() >= confirmed_at:
            self._on_arrival_timeout(attempt)
        else:
            self._loop.call_at(confirmed_at, self._on_arrival_timeout, attempt)

    def _on_timeout(self, attempt: UpstreamAttempt) -> None:
        self._cancel_or_withdraw(attempt, Outcome.TIMEOUT if attempt.sent_at else Outcome.CONNECT_FAILED)

    def _cancel_or_withdraw(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        """Cancel an attempt at its compute node if it was sent; otherwise withdraw it from its queue.

        A withdrawn attempt ends as NOT_SENT, or as CONNECT_FAILED if its connection could not be established
        in time.
        """
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
        elapsed = self._loop.time() - attempt.sent_at
        self.on_attempt_ended(attempt, outcome)
        if attempt.must_be_taken_back:
            self._take_back(attempt)
        # After the failure of a machine or a network path, open connections stay open and silent. A new
        # connection shows whether the compute node is reachable. A response since the attempt was sent proves
        # that this connection works.
        has_response = connection.last_response_at > attempt.sent_at
        if not has_response and elapsed > self.pool.limits.connect_timeout:
            connection.drain("unresponsive")
        elif connection.needs_replacement:
            connection.drain("too many retired ids")
