"""Sends the commands of a connection, and keeps them withdrawable for as long as possible."""

from __future__ import annotations

import functools

import structlog

from ...interface import Outcome
from ..lifecycle import Event
from ..managed_connection import ManagedConnection
from ..memory_budget import MemoryBudget, MemoryHolder
from .attempt import UpstreamAttempt
from .client import response_sink
from .command_queue import CommandQueue, QueuedCommand
from .listener import ConnectionListener

log = structlog.get_logger()
MAX_DEFERRALS = 3  # per attempt


class CommandSender:
    """Queues the commands of a connection. A command can be withdrawn until its first byte is sent.

    Args:
        connection: The connection on which the commands are sent.
        listener: The listener that is notified of attempts that are sent or cannot be sent.
        memory: The budget in which the statements of ended attempts count that were sent in part.
    """

    def __init__(
        self, connection: ManagedConnection, listener: ConnectionListener, memory: MemoryBudget
    ) -> None:
        self._connection = connection
        self._listener = listener
        self._queue = CommandQueue()
        self._unwritten = MemoryHolder(memory)
        self._is_closed = False

    @property
    def has_queued(self) -> bool:
        """Whether commands are queued and not sent yet."""
        return bool(self._queue)

    def enqueue(self, data: bytes) -> None:
        """Queue a command that starts no attempt."""
        self._queue.append(QueuedCommand(data))

    def enqueue_attempt(self, attempt: UpstreamAttempt) -> None:
        """Queue the command of an attempt, which is encoded when it is sent."""
        self._queue.append(QueuedCommand(b"", attempt))

    def withdraw(self, attempt: UpstreamAttempt) -> None:
        """Remove the queued command of an attempt."""
        self._queue.withdraw(attempt)

    def close(self) -> None:
        """Remove all queued commands. What was sent in part is dropped with the stream."""
        self._is_closed = True
        self._queue.clear()
        self._unwritten.add(-self._unwritten.held_bytes)

    def flush(self) -> None:
        """Send queued commands for as long as the kernel accepts the first byte of the next one.

        While the compute node does not read, commands stay in this queue. From here an attempt can still be
        withdrawn: when its client cancels it, when the compute node drains, or when its send deadline has
        passed. From the write buffer of the stream it could not.
        """
        stream = self._connection.stream
        self._withdraw_expired()
        if not stream.writing():
            self._unwritten.add(-self._unwritten.held_bytes)
            self._defer_withdrawable()
        while self._queue.has_ready and not stream.writing():
            if stream.peek() == b"":
                # The compute node has closed the connection, and the event loop has not reported it yet.
                # An attempt sent now would count as one that may have run.
                self._connection.handle_event(Event.EOF, "closed by the compute node")
                return
            if not self._send_next_batch():
                return

    def _withdraw_expired(self) -> None:
        """End the attempts that were not sent in time; after a late iteration, their timers come too late."""
        for attempt in self._queue.expired(self._connection.loop.time()):
            self._queue.withdraw(attempt)
            self._listener.on_attempt_expired(attempt)

    def _defer_withdrawable(self) -> None:
        """Defer attempts that the client may have cancelled, until the client's input has been processed.

        Otherwise, an attempt could start after its client has disconnected, because the event loop was late
        to read the client's input. A client that sends without a pause delays its own attempts by a few
        iterations of the event loop at most.
        """
        deferred = self._queue.defer(self._may_be_withdrawn)
        for attempt in deferred:
            attempt.deferral_count += 1
        if deferred:
            # The input is read in the second iteration of the event loop. It is reported to the dispatcher,
            # whose decisions are carried out by the fourth iteration.
            call_after_input = self._connection.call_after_pending_input
            call_after_input(functools.partial(call_after_input, self._requeue_deferred))

    @staticmethod
    def _may_be_withdrawn(attempt: UpstreamAttempt) -> bool:
        # If a request counts as answered while its attempt is queued, its client has disconnected. The
        # dispatcher runs later in this iteration of the event loop and withdraws the attempt.
        sink = response_sink(attempt.request)
        if attempt.request.is_answered or sink.close_if_left():
            return True
        return attempt.deferral_count < MAX_DEFERRALS and sink.has_unprocessed_input

    def _requeue_deferred(self) -> None:
        self._queue.requeue_deferred()
        self._connection.flush_and_settle()

    def on_attempt_ended(self, attempt: UpstreamAttempt) -> None:
        """Count the statement of an ended attempt for as long as its rest has to be written."""
        if not self._is_closed:
            self._unwritten.add(attempt.unwritten_bytes)

    def _send_next_batch(self) -> bool:
        """Send the next batch in one write; return whether further ones can follow."""
        connection = self._connection
        stream = connection.stream
        now = connection.loop.time()
        batch = self._queue.next_batch()
        attempt = batch[0].attempt
        parts = batch[0].encode(now)
        end_offset = stream.bytes_accepted + sum(map(len, parts))
        parts[-1] += b"".join(command.data for command in batch[1:])
        sent_bytes = stream.send_now(parts)
        if sent_bytes is None:
            log.debug("compute node does not read")
            stream.call_when_writable(connection.flush_and_settle)
            return False
        self._queue.remove_first(len(batch))
        if attempt is not None and not attempt.sent_at:
            attempt.sent_at = now
            attempt.end_offset = end_offset
            self._listener.on_attempt_sent(attempt)
        if self._write_rest(parts, sent_bytes):
            return True
        # The connection broke during this write, or earlier without being noticed. An attempt whose command
        # was not written completely ends now. The reader still processes responses that arrived before the
        # break.
        if attempt is not None and not attempt.may_have_run:
            self._listener.on_attempt_ended(attempt, Outcome.CONNECT_FAILED)
        return False

    def _write_rest(self, parts: list[bytes], sent_bytes: int) -> bool:
        """Buffer what was not sent of a batch, without a copy; return whether the connection is usable."""
        for part in parts:
            rest = memoryview(part)[sent_bytes:]
            sent_bytes = max(0, sent_bytes - len(part))
            if rest and not self._connection.write_to_stream(rest):
                return False
        return not self._connection.stream.closed()
