"""One connection to a compute node."""

from __future__ import annotations

import asyncio
import functools
import socket

import structlog

from ...interface import Outcome
from ...resp import RespParser
from ..config import Address
from ..lifecycle import ConnectionLifecycle, ConnectionLimits, Event
from ..managed_connection import ManagedConnection
from ..stream import READ_CHUNK_BYTES, Stream
from .attempt import UpstreamAttempt
from .client import response_sink
from .command_queue import CommandQueue, QueuedCommand
from .listener import ConnectionListener
from .protocol import WORDS_PER_RESPONSE

log = structlog.get_logger()
MAX_WORD_BYTES = 8_192  # a page has 6,000 at most
MAX_UNREAD_BYTES = 1_048_576
MAX_UNWRITTEN_BYTES = 1_048_576
MAX_BACKLOG_BYTES = 262_144  # with more unsent bytes, the connection accepts no attempt
MAX_DEFERRALS = 3  # times that an attempt waits for its client's input
RESPONSE_STALL_TIMEOUT = 0.5  # seconds without a byte of a partial response; nodes write one at once
RESPONSE_TIMEOUT = 1.0  # seconds from the first byte of a partial response to its last
STALL_TIMEOUT = 0.5  # seconds
LINGER_TIMEOUT = 0.25  # seconds


class UpstreamConnection(ManagedConnection):
    """Sends commands and receives responses. What the stream does not have yet can still be withdrawn.

    Args:
        listener: told what happens.
        engine: the compute node's id.
        address: the compute node's.
        connect_timeout: seconds.

    Raises:
        OSError: where the system gives no socket.
    """

    def __init__(
        self, listener: ConnectionListener, engine: bytes, address: Address, connect_timeout: float
    ) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        stream = Stream(socket.socket(), MAX_UNREAD_BYTES, MAX_UNWRITTEN_BYTES)
        limits = ConnectionLimits(connect_timeout, STALL_TIMEOUT, LINGER_TIMEOUT)
        super().__init__(stream, ConnectionLifecycle(limits, now, outgoing=True))
        self.engine = engine
        self.address = address
        self.attempts: dict[bytes, UpstreamAttempt] = {}
        self.probes: dict[bytes, float] = {}  # start times by tag
        # Request ids of attempts that ended without a result: a late response must not pass for another's.
        self.retired_ids: set[bytes] = set()
        self.is_established = False
        self.last_response_at = now
        self.idle_since = now
        self._listener = listener
        self._connect_timeout = connect_timeout
        self._response_started_at = now
        self._last_byte_at = now
        self._commands = CommandQueue()
        self._parser = RespParser(WORDS_PER_RESPONSE, MAX_WORD_BYTES)

    @property
    def has_pending_work(self) -> bool:
        """Whether an attempt or a probe is under way."""
        return bool(self.attempts or self.probes)

    @property
    def is_idle(self) -> bool:
        """Whether it is usable and nothing is under way."""
        return self.lifecycle.accepts_work and not self.has_pending_work

    def has_capacity(self, request_id: bytes, max_streams: int) -> bool:
        """Whether it may carry one more attempt under an id."""
        # The stream knows of a break before the reader's turn comes: its write buffer is gone by then.
        is_usable = self.lifecycle.accepts_work and not self.stream.closed()
        is_new_id = request_id not in self.attempts and request_id not in self.retired_ids
        has_free_stream = len(self.attempts) < max_streams
        return is_usable and has_free_stream and is_new_id and self.backlog <= MAX_BACKLOG_BYTES

    # --- writing ---

    def enqueue(self, data: bytes, attempt: UpstreamAttempt | None = None) -> None:
        """Send a command at the end of this turn of the loop, in one write with all others of the turn."""
        self._commands.append(QueuedCommand(data, attempt))
        self.schedule_flush()

    def withdraw(self, attempt: UpstreamAttempt) -> None:
        """Drop the queued command of an attempt."""
        self._commands.withdraw(attempt)

    @property
    def has_queued_output(self) -> bool:
        """Whether commands wait to be handed to the stream."""
        return bool(self._commands) and not self.stream.closed()

    def flush(self) -> None:
        """Hand over what is queued, unless the compute node leaves unread what went before.

        Guards against attempts that a client cancels while the compute node does not read: what is queued
        here can be withdrawn, what the stream has cannot; and against more at once than the stream may hold.
        """
        if not self.stream.writing():
            self._defer_withdrawable()
        while self._commands.has_ready and not self.stream.writing():
            if self.stream.peek() == b"":
                # Its compute node has closed it and only the loop does not know yet: an attempt sent now
                # would count as one that may have run.
                self.handle_event(Event.EOF, "closed by the compute node")
                return
            if not self._send_batch(self._commands.take_batch(READ_CHUNK_BYTES)):
                return

    def _defer_withdrawable(self) -> None:
        """Defer attempts whose client may have cancelled them, until its input has been processed.

        Guards against an attempt that begins after its client has gone because the loop was late to read it.
        A client that never pauses defers its own attempts by a few turns of the loop, no longer.
        """
        deferred = self._commands.defer(self._may_be_withdrawn)
        for attempt in deferred:
            attempt.deferral_count += 1
        if deferred:
            # The input is read in the second turn, reported to the dispatcher and acted on by the fourth.
            self.call_after_pending_input(
                functools.partial(self.call_after_pending_input, self._requeue_deferred)
            )

    @staticmethod
    def _may_be_withdrawn(attempt: UpstreamAttempt) -> bool:
        if attempt.deferral_count >= MAX_DEFERRALS:
            return False
        # Answered: its client has gone, and the dispatcher is stepped later in this turn.
        return attempt.request.is_answered or response_sink(attempt.request).has_unprocessed_input

    def _requeue_deferred(self) -> None:
        self._commands.requeue_deferred()
        self._flush_and_settle()

    def _send_batch(self, batch: list[QueuedCommand]) -> bool:
        """Send commands in one write; false where the connection has broken."""
        offset = self.stream.bytes_accepted
        now = self.loop.time()
        for command in batch:
            offset += len(command.data)
            attempt = command.attempt
            if attempt is not None and not attempt.sent_at:
                attempt.sent_at = now
                attempt.end_offset = offset
        is_written = self.write_to_stream(b"".join(command.data for command in batch))
        if is_written and not self.stream.closed():
            return True
        # It broke at this write, or unseen before it. What was not sent whole ends at once; responses that
        # arrived before the break are still the reader's.
        for command in batch:
            if command.attempt is not None and not command.attempt.may_have_run:
                self._listener.on_attempt_ended(command.attempt, Outcome.CONNECT_FAILED)
        return False

    # --- reading ---

    async def connect(self) -> None:
        """Establish the connection.

        Raises:
            OSError: where it is refused.
            TimeoutError: where it is not established in time.
        """
        connecting = self.stream.connect(self.address)
        # Not `asyncio.timeout`: after a pause of the process, its timer and the connection are ready in one
        # turn, and an established connection would count as refused.
        done, _ = await asyncio.wait({connecting}, timeout=self._connect_timeout)
        if not done:
            raise TimeoutError(f"expected a connection in {self._connect_timeout} s, found none")
        connecting.result()
        self.stream.set_nodelay(True)
        self.is_established = True
        self.last_response_at = self.loop.time()

    def receive(self, data: bytes) -> None:
        """Act on bytes that were read."""
        now = self.loop.time()
        self._last_byte_at = now
        begins_response = not self._parser.has_partial_array
        responses, error = self._parser.feed(data)
        if begins_response or responses:
            self._response_started_at = now
        for words in responses:
            if not self.lifecycle.processes_input:
                return
            self.last_response_at = now
            self._listener.on_response(self, words)
        if error is not None:
            self.handle_event(Event.BROKEN, str(error))

    def check_timeouts(self, now: float, idle_timeout: float) -> None:
        """Close it where a response has stopped short, or nothing has happened for long."""
        if not self.lifecycle.processes_input:
            return
        if self._parser.has_partial_array:
            # Guards against a response that trickles: each byte would extend a timeout since the last, and
            # all others on the connection wait behind it. Where the loop was late, its rest may be there.
            is_stalled = now > self._last_byte_at + RESPONSE_STALL_TIMEOUT
            is_late = now > self._response_started_at + RESPONSE_TIMEOUT
            if (is_stalled or is_late) and not self.has_unprocessed_input:
                self.abort("partial response timed out")
        elif not self.has_pending_work and now > self.idle_since + idle_timeout:
            self.drain("idle")

    # --- ending ---

    def release(self, attempt: UpstreamAttempt) -> None:
        """Forget an attempt that has ended."""
        self.attempts.pop(attempt.statement.request_id, None)
        self.settle_if_idle()

    def end_probe(self, tag: bytes) -> float:
        """Forget a probe that has ended; returns when it began."""
        return self.probes.pop(tag)

    def settle_if_idle(self) -> None:
        """Go on with a graceful close once the last attempt or probe has ended."""
        if not self.has_pending_work:
            self.idle_since = self.loop.time()
            self.settle()

    def on_closed(self, event: Event, why: str) -> None:
        """Report of each attempt and probe what the bytes that were sent prove."""
        if self.has_pending_work:
            engine = self.engine.decode("utf-8", "replace")
            log.info("upstream connection lost", engine=engine, attempts=len(self.attempts), reason=why)
        self._listener.on_connection_closed(self)
        self._commands.clear()
        is_broken = event in (Event.BROKEN, Event.EOF)
        unsent_outcome = Outcome.CONNECT_FAILED if is_broken else Outcome.NOT_SENT
        for attempt in list(self.attempts.values()):
            was_queued = not (attempt.sent_at or attempt.was_reassigned)
            if is_broken and self.is_established and was_queued:
                # It closed while idle, or with what had been sent before: a new one tells whether its
                # compute node is there. Guards against ejecting one that closes idle connections.
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
