"""One connection to a compute node."""

from __future__ import annotations

import asyncio
import socket

import structlog

from ...interface import Outcome
from ..config import Address
from ..lifecycle import ConnectionLifecycle, ConnectionLimits, Event
from ..managed_connection import ManagedConnection
from ..memory_budget import MemoryBudget
from ..stream import Stream
from .attempt import UpstreamAttempt
from .command_sender import CommandSender
from .listener import ConnectionListener
from .response_reader import ResponseReader

log = structlog.get_logger()
MAX_UNREAD_BYTES = 1_048_576
MAX_UNWRITTEN_BYTES = 1_048_576
MAX_RETIRED_IDS = 512
MAX_BACKLOG_BYTES = 262_144  # with more unwritten bytes, the connection accepts no further attempt
STALL_TIMEOUT = 0.5  # seconds
LINGER_TIMEOUT = 0.25  # seconds


class UpstreamConnection(ManagedConnection):
    """Sends commands to a compute node and receives its responses.

    A command can be withdrawn until it is handed to the stream.

    Args:
        listener: The listener that is notified of responses, and of attempts and probes that ended.
        engine: The id of the compute node.
        address: The address of the compute node.
        connect_timeout: The seconds within which the connection must be established.
        memory: The budget in which the statements of ended attempts count that were sent in part.

    Raises:
        OSError: The system cannot create a socket.
    """

    def __init__(
        self,
        listener: ConnectionListener,
        engine: bytes,
        address: Address,
        connect_timeout: float,
        memory: MemoryBudget,
    ) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        stream = Stream(socket.socket(), MAX_UNREAD_BYTES, MAX_UNWRITTEN_BYTES)
        limits = ConnectionLimits(connect_timeout, STALL_TIMEOUT, LINGER_TIMEOUT)
        super().__init__(stream, ConnectionLifecycle(limits, now, outgoing=True))
        self.engine = engine
        self.address = address
        self.attempts: dict[bytes, UpstreamAttempt] = {}
        self.probes: dict[bytes, float] = {}  # start times by probe tag
        self.is_established = False
        self.last_response_at = now
        self.idle_since = now
        self._listener = listener
        self._retired_ids: set[bytes] = set()  # request ids of attempts that ended without a result
        self._connect_timeout = connect_timeout
        self._sender = CommandSender(self, listener, memory)
        self._reader = ResponseReader(now)

    @property
    def has_pending_work(self) -> bool:
        """Whether an attempt or a probe has not ended."""
        return bool(self.attempts or self.probes)

    @property
    def is_idle(self) -> bool:
        """Whether the connection is usable and carries no attempt or probe."""
        return self.lifecycle.accepts_work and not self.has_pending_work

    def has_capacity(self, request_id: bytes, max_streams: int) -> bool:
        """Return whether the connection can carry one more attempt, with this request id."""
        # A broken stream is closed, and its write buffer is dropped, before the reader task resumes and
        # updates the lifecycle.
        is_usable = self.lifecycle.accepts_work and not self.stream.closed()
        is_new_id = request_id not in self.attempts and request_id not in self._retired_ids
        has_free_stream = len(self.attempts) < max_streams
        return is_usable and has_free_stream and is_new_id and self.backlog <= MAX_BACKLOG_BYTES

    def execute(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt by queueing its command."""
        self.attempts[attempt.statement.request_id] = attempt
        self._sender.enqueue_attempt(attempt)
        self.schedule_flush()

    def probe(self, tag: bytes, command: bytes) -> None:
        """Start a probe by queueing its command."""
        self.probes[tag] = self.loop.time()
        self.enqueue(command)

    def enqueue(self, data: bytes) -> None:
        """Queue a command that starts no attempt; the queue is flushed at the end of the iteration."""
        self._sender.enqueue(data)
        self.schedule_flush()

    def withdraw(self, attempt: UpstreamAttempt) -> None:
        """Remove the queued command of an attempt."""
        self._sender.withdraw(attempt)

    @property
    def has_queued_output(self) -> bool:
        """Whether commands are queued and not handed to the stream yet."""
        return self._sender.has_queued and not self.stream.closed()

    def flush(self) -> None:
        """Hand queued commands to the stream, as far as the compute node reads them."""
        self._sender.flush()

    async def connect(self) -> None:
        """Establish the connection.

        Raises:
            OSError: The connection is refused.
            TimeoutError: The connection is not established within the connect timeout.
        """
        connect_future = self.stream.connect(self.address)
        # `asyncio.timeout` is not used: after a pause of the process, its timer and the connection become
        # ready in the same iteration of the event loop, and an established connection would count as timed
        # out.
        done, _ = await asyncio.wait({connect_future}, timeout=self._connect_timeout)
        if not done:
            raise TimeoutError(f"connection not established within {self._connect_timeout} s")
        connect_future.result()
        self.stream.set_nodelay(True)
        self.is_established = True
        self.last_response_at = self.loop.time()

    def receive(self, data: bytes) -> None:
        """Process received bytes."""
        now = self.loop.time()
        responses, error = self._reader.feed(data, now)
        for elements in responses:
            if not self.lifecycle.processes_input:
                return
            self.last_response_at = now
            self._listener.on_response(self, elements)
        if error is not None:
            self.handle_event(Event.BROKEN, str(error))

    def check_timeouts(self, now: float, idle_timeout: float) -> None:
        """Abort the connection if a response is overdue; drain it if it has been idle for too long."""
        if not self.lifecycle.processes_input:
            return
        if self._reader.has_partial_response:
            # If the event loop was late, the rest of the response may have arrived without being read.
            if self._reader.is_overdue(now) and not self.has_unprocessed_input:
                self.abort("partial response timed out")
        elif not self.has_pending_work and now > self.idle_since + idle_timeout:
            self.drain("idle")

    def reassign_unsent(self) -> None:
        """Have the attempts that wait on this connection queued on another one."""
        for attempt in [attempt for attempt in self.attempts.values() if not attempt.sent_at]:
            self._sender.withdraw(attempt)
            del self.attempts[attempt.statement.request_id]
            self._listener.on_attempt_unsent(attempt)
        self.settle_if_idle()

    def release(self, attempt: UpstreamAttempt) -> None:
        """Remove an attempt that has ended."""
        if self.attempts.pop(attempt.statement.request_id, None) is not None:
            self._sender.on_attempt_ended(attempt)
        self.settle_if_idle()

    def retire(self, attempt: UpstreamAttempt) -> None:
        """Accept no further attempt with the request id of this one.

        A late response to this attempt could otherwise be taken for a response to the new attempt.
        """
        self._retired_ids.add(attempt.statement.request_id)

    @property
    def needs_replacement(self) -> bool:
        """Whether so many request ids are retired that a new connection should replace this one."""
        return len(self._retired_ids) > MAX_RETIRED_IDS

    def end_probe(self, tag: bytes) -> float:
        """Remove a probe that has ended and return its start time."""
        return self.probes.pop(tag)

    def settle_if_idle(self) -> None:
        """Advance a graceful shutdown once the last attempt or probe has ended."""
        if not self.has_pending_work:
            self.idle_since = self.loop.time()
            self.settle()

    def on_closed(self, event: Event, reason: str) -> None:
        """End each attempt and probe; the bytes written so far show which attempts may have run."""
        if self.has_pending_work:
            engine = self.engine.decode("utf-8", "replace")
            log.info("upstream connection lost", engine=engine, attempts=len(self.attempts), reason=reason)
        self._listener.on_connection_closed(self)
        self._sender.close()
        is_broken = event in (Event.BROKEN, Event.EOF)
        unsent_outcome = Outcome.CONNECT_FAILED if is_broken else Outcome.NOT_SENT
        for attempt in list(self.attempts.values()):
            can_be_reassigned = not (attempt.sent_at or attempt.was_reassigned)
            if is_broken and self.is_established and can_be_reassigned:
                # The connection closed while idle, or because of earlier commands. A new connection shows
                # whether the compute node is reachable. Otherwise, a compute node that closes idle
                # connections would be ejected.
                del self.attempts[attempt.statement.request_id]
                self._listener.on_attempt_unsent(attempt)
            else:
                outcome = Outcome.RESET if attempt.may_have_run else unsent_outcome
                self._listener.on_attempt_ended(attempt, outcome)
        self._end_probes(Outcome.RESET if self.is_established else unsent_outcome)

    def _end_probes(self, outcome: Outcome) -> None:
        probes = self.probes
        self.probes = {}
        for started_at in probes.values():
            self._listener.on_probe_ended(self.engine, outcome, started_at)
