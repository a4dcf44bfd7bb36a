"""One connection to a compute node."""

from __future__ import annotations

import asyncio
import socket

import structlog

from ...interface import Outcome
from ..config import Address
from ..lifecycle import ConnectionLifecycle, ConnectionLimits, Event
from ..managed_connection import ManagedConnection
from ..stream import Stream
from .attempt import UpstreamAttempt
from .command_sender import CommandSender
from .listener import ConnectionListener
from .response_reader import ResponseReader

log = structlog.get_logger()
MAX_UNREAD_BYTES = 1_048_576
MAX_UNWRITTEN_BYTES = 1_048_576
MAX_RETIRED_IDS = 512
MAX_BACKLOG_BYTES = 262_144  # with more unsent bytes, the connection accepts no attempt
STALL_TIMEOUT = 0.5  # seconds
LINGER_TIMEOUT = 0.25  # seconds


class UpstreamConnection(ManagedConnection):
    """Sends commands and receives responses. What the stream does not have yet can still be withdrawn.

    Args:
        listener: notified of what happens.
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
        self.is_established = False
        self.last_response_at = now
        self.idle_since = now
        self._listener = listener
        self._retired_ids: set[bytes] = set()  # of attempts that ended without a result
        self._connect_timeout = connect_timeout
        self._sender = CommandSender(self, listener)
        self._reader = ResponseReader(now)

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
        is_new_id = request_id not in self.attempts and request_id not in self._retired_ids
        has_free_stream = len(self.attempts) < max_streams
        return is_usable and has_free_stream and is_new_id and self.backlog <= MAX_BACKLOG_BYTES

    def execute(self, attempt: UpstreamAttempt, command: bytes) -> None:
        """Begin an attempt."""
        self.attempts[attempt.statement.request_id] = attempt
        self.enqueue(command, attempt)

    def probe(self, tag: bytes, command: bytes) -> None:
        """Begin a probe."""
        self.probes[tag] = self.loop.time()
        self.enqueue(command)

    def enqueue(self, data: bytes, attempt: UpstreamAttempt | None = None) -> None:
        """Send a command at the end of this turn of the loop, in one write with all others of the turn."""
        self._sender.enqueue(data, attempt)
        self.schedule_flush()

    def withdraw(self, attempt: UpstreamAttempt) -> None:
        """Drop the queued command of an attempt."""
        self._sender.withdraw(attempt)

    @property
    def has_queued_output(self) -> bool:
        """Whether commands wait to be handed to the stream."""
        return self._sender.has_queued and not self.stream.closed()

    def flush(self) -> None:
        """Hand over what is queued, as far as the compute node reads it."""
        self._sender.flush()

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
        responses, error = self._reader.feed(data, now)
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
        if self._reader.has_partial_response:
            # Where the loop was late, the rest of the response may have arrived unread.
            if self._reader.is_overdue(now) and not self.has_unprocessed_input:
                self.abort("partial response timed out")
        elif not self.has_pending_work and now > self.idle_since + idle_timeout:
            self.drain("idle")

    def release(self, attempt: UpstreamAttempt) -> None:
        """Forget an attempt that has ended."""
        self.attempts.pop(attempt.statement.request_id, None)
        self.settle_if_idle()

    def retire(self, attempt: UpstreamAttempt) -> None:
        """Accept no further attempt under this one's id: a late response could pass for the other's."""
        self._retired_ids.add(attempt.statement.request_id)

    @property
    def needs_replacement(self) -> bool:
        """Whether so many ids are retired that a new connection should replace it."""
        return len(self._retired_ids) > MAX_RETIRED_IDS

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
        self._sender.clear()
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
