"""Sends a connection's commands, and keeps them withdrawable for as long as possible."""

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

MAX_DEFERRALS = 3  # times that an attempt waits for its client's input


class CommandSender:
    """Sends a connection's commands. What the stream does not have yet can still be withdrawn.

    Args:
        connection: that they are sent on.
        listener: notified of attempts that cannot be sent.
    """

    def __init__(self, connection: ManagedConnection, listener: ConnectionListener) -> None:
        self._connection = connection
        self._listener = listener
        self._queue = CommandQueue()

    @property
    def has_queued(self) -> bool:
        """Whether commands wait to be handed to the stream."""
        return bool(self._queue)

    def enqueue(self, data: bytes, attempt: UpstreamAttempt | None) -> None:
        """Queue a command."""
        self._queue.append(QueuedCommand(data, attempt))

    def withdraw(self, attempt: UpstreamAttempt) -> None:
        """Drop the queued command of an attempt."""
        self._queue.withdraw(attempt)

    def clear(self) -> None:
        """Drop all queued commands."""
        self._queue.clear()

    def flush(self) -> None:
        """Hand over what is queued, unless the compute node leaves unread what went before.

        Guards against attempts that a client cancels while the compute node does not read: what is queued
        here can be withdrawn, what the stream has cannot; and against more at once than the stream may hold.
        """
        stream = self._connection.stream
        if not stream.writing():
            self._defer_withdrawable()
        while self._queue.has_ready and not stream.writing():
            if stream.peek() == b"":
                # Its compute node has closed it and only the loop does not know yet: an attempt sent now
                # would count as one that may have run.
                self._connection.handle_event(Event.EOF, "closed by the compute node")
                return
            if not self._send_batch(self._queue.take_batch(READ_CHUNK_BYTES)):
                return

    def _defer_withdrawable(self) -> None:
        """Defer attempts whose client may have cancelled them, until its input has been processed.

        Guards against an attempt that begins after its client has gone because the loop was late to read it.
        A client that never pauses defers its own attempts by a few turns of the loop, no longer.
        """
        deferred = self._queue.defer(self._may_be_withdrawn)
        for attempt in deferred:
            attempt.deferral_count += 1
        if deferred:
            # The input is read in the second turn, reported to the dispatcher and acted on by the fourth.
            wait = self._connection.call_after_pending_input
            wait(functools.partial(wait, self._requeue_deferred))

    @staticmethod
    def _may_be_withdrawn(attempt: UpstreamAttempt) -> bool:
        if attempt.deferral_count >= MAX_DEFERRALS:
            return False
        # Answered: its client has gone, and the dispatcher is stepped later in this turn.
        return attempt.request.is_answered or response_sink(attempt.request).has_unprocessed_input

    def _requeue_deferred(self) -> None:
        self._queue.requeue_deferred()
        self._connection.flush_and_settle()

    def _send_batch(self, batch: list[QueuedCommand]) -> bool:
        """Send commands in one write; false where the connection has broken."""
        self._mark_sent(batch)
        is_written = self._connection.write_to_stream(b"".join(command.data for command in batch))
        if is_written and not self._connection.stream.closed():
            return True
        # It broke at this write, or unseen before it. What was not sent whole ends at once; responses that
        # arrived before the break are still the reader's.
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
