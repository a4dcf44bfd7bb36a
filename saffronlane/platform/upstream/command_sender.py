"""Sends the commands of a connection, and keeps them withdrawable for as long as possible."""

from __future__ import annotations

import functools

from ...interface import Outcome
from ..lifecycle import Event
from ..managed_connection import ManagedConnection
from ..stream import READ_CHUNK_BYTES
from .attempt import UpstreamAttempt
from .client import response_sink
from .command_queue import CommandQueue, QueuedCommand
from .listener import ConnectionListener

MAX_DEFERRALS = 3  # per attempt


class CommandSender:
    """Queues the commands of a connection. A command can be withdrawn until it is handed to the stream.

    Args:
        connection: The connection on which the commands are sent.
        listener: The listener that is notified of attempts that cannot be sent.
    """

    def __init__(self, connection: ManagedConnection, listener: ConnectionListener) -> None:
        self._connection = connection
        self._listener = listener
        self._queue = CommandQueue()

    @property
    def has_queued(self) -> bool:
        """Whether commands are queued and not handed to the stream yet."""
        return bool(self._queue)

    def enqueue(self, data: bytes, attempt: UpstreamAttempt | None) -> None:
        """Queue a command."""
        self._queue.append(QueuedCommand(data, attempt))

    def withdraw(self, attempt: UpstreamAttempt) -> None:
        """Remove the queued command of an attempt."""
        self._queue.withdraw(attempt)

    def clear(self) -> None:
        """Remove all queued commands."""
        self._queue.clear()

    def flush(self) -> None:
        """Hand queued commands to the stream for as long as it has no unwritten bytes.

        While the compute node does not read, commands stay in this queue. An attempt that its client cancels
        meanwhile can be withdrawn from here, but not from the stream. This also keeps the stream's write
        buffer within its limit.
        """
        stream = self._connection.stream
        if not stream.writing():
            self._defer_withdrawable()
        while self._queue.has_ready and not stream.writing():
            if stream.peek() == b"":
                # The compute node has closed the connection, and the event loop has not reported it yet.
                # An attempt sent now would count as one that may have run.
                self._connection.handle_event(Event.EOF, "closed by the compute node")
                return
            if not self._send_batch(self._queue.take_batch(READ_CHUNK_BYTES)):
                return

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
        if attempt.deferral_count >= MAX_DEFERRALS:
            return False
        # If a request counts as answered while its attempt is queued, its client has disconnected. The
        # dispatcher runs later in this iteration of the event loop and withdraws the attempt.
        return attempt.request.is_answered or response_sink(attempt.request).has_unprocessed_input

    def _requeue_deferred(self) -> None:
        self._queue.requeue_deferred()
        self._connection.flush_and_settle()

    def _send_batch(self, batch: list[QueuedCommand]) -> bool:
        """Send commands in one write; return whether the connection is still usable."""
        self._mark_sent(batch)
        is_written = self._connection.write_to_stream(b"".join(command.data for command in batch))
        if is_written and not self._connection.stream.closed():
            return True
        # The connection broke during this write, or earlier without being noticed. Attempts whose command was
        # not written completely end now. The reader still processes responses that arrived before the break.
        for command in batch:
            if command.attempt is not None and not command.attempt.may_have_run:
                self._listener.on_attempt_ended(command.attempt, Outcome.CONNECT_FAILED)
        return False

    def _mark_sent(self, batch: list[QueuedCommand]) -> None:
        offset = self._connection.stream.bytes_accepted
        now = self._connection.loop.time()
        for command in batch:
            offset += len(command.data)
            attempt = command.attempt
            if attempt is not None and not attempt.sent_at:
                attempt.sent_at = now
                attempt.end_offset = offset
