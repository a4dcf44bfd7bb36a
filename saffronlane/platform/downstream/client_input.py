"""The input of one client: its messages, and what waits until all of them have been read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ... import msgpackrpc as rpc
from ..memory_budget import MemoryHolder
from .message_backlog import Message, MessageBacklog
from .message_reader import SMALL_MESSAGE_BYTES, MessageReader
from .submission import Submission

CANCEL_METHOD = "forget"  # in the client protocol; not the name of a query class
MAX_READ_AHEAD_MESSAGES = 64  # that wait to be handled; with more, reading pauses


class ClientInput:
    """Splits a client's input into messages, and keeps those that have not been handled.

    Input is read ahead of the handling of messages, so that the end of the connection is noticed soon.
    Cancellations are applied as soon as they are received, also to calls that have not been handled.

    Args:
        memory: The bytes that the connection holds.
        now: The present time in seconds.

    Attributes:
        reader: Splits the input into messages.
        received_bytes: The number of bytes that were received.
    """

    def __init__(self, memory: MemoryHolder, now: float) -> None:
        self.reader = MessageReader(memory, now)
        self.received_bytes = 0
        self._memory = memory
        self._backlog = MessageBacklog(memory)
        self._error: rpc.ScanError | None = None  # in the bytes after the messages of the backlog
        self._can_parse = True
        self._reading_resumed: asyncio.Future[None] | None = None

    @property
    def has_messages(self) -> bool:
        """Whether messages wait to be handled."""
        return bool(self._backlog)

    def receive(self, data: bytes, now: float, cancel: Callable[[int], None]) -> bool:
        """Parse received bytes.

        Args:
            data: The bytes.
            now: The present time in seconds.
            cancel: Cancels an open request by the id of its message. It is not kept: a reference to the
                connection would keep its buffers after its end, until the next full garbage collection.

        Returns:
            Whether the bytes were parsed; False if an error lies before them.
        """
        self.received_bytes += len(data)
        if not self._can_parse:
            return False
        messages, self._error = self.reader.feed(data, now)
        self._can_parse = self._error is None
        for message in messages:
            if not self._apply_cancellation(message, cancel):
                self._backlog.append(self._within_memory(message))
        return True

    def _within_memory(self, message: Message) -> Message:
        """Return a message that has to wait, or only its head if there is no memory for it."""
        if isinstance(message, rpc.DiscardedMessage) or len(message) <= SMALL_MESSAGE_BYTES:
            return message
        if self._memory.admits(len(message)):
            return message
        return rpc.DiscardedMessage(message[: rpc.HEAD_BYTES])

    def _apply_cancellation(self, message: Message, cancel: Callable[[int], None]) -> bool:
        """Apply a cancellation that follows messages in the backlog; return whether the message is one."""
        if not self._backlog or isinstance(message, rpc.DiscardedMessage) or not rpc.is_notification(message):
            return False
        try:
            notification = rpc.decode_message(message)
        except rpc.InvalidMessageError:
            return False
        if not isinstance(notification, rpc.Notification) or notification.method != CANCEL_METHOD:
            return False
        for message_id in notification.ids:
            if not self._backlog.cancel_call(message_id):
                cancel(message_id)
        return True

    def pop(self) -> Message | None:
        """Remove the first message and return it; None if it is a call that was cancelled meanwhile."""
        return self._backlog.pop()

    def take_error(self) -> rpc.ScanError | None:
        """Return the error that follows the handled messages, once."""
        error, self._error = self._error, None
        return error

    def stop_parsing(self) -> None:
        """Drop all input from now on."""
        self._can_parse = False

    def clear(self) -> None:
        """Drop the messages that wait."""
        self._backlog.clear()

    def close(self) -> None:
        """Drop all messages, also one that has begun, and return their bytes to the memory budget."""
        self._backlog.clear()
        self.reader.close()

    # --- reading ahead ---

    async def wait_until_handled(self) -> None:
        """Wait until further input may be read."""
        while len(self._backlog) >= MAX_READ_AHEAD_MESSAGES:
            self._reading_resumed = asyncio.get_running_loop().create_future()
            await self._reading_resumed

    def resume_reading(self) -> None:
        """Let further input be read if few enough messages wait."""
        is_waiting = self._reading_resumed is not None and not self._reading_resumed.done()
        if is_waiting and len(self._backlog) < MAX_READ_AHEAD_MESSAGES:
            assert self._reading_resumed is not None
            self._reading_resumed.set_result(None)


class WaitingSubmissions:
    """Requests that are submitted once all input of their connection that has arrived was read.

    The client may have left, and the end of the connection is behind this input.
    """

    def __init__(self) -> None:
        self._submissions: list[Submission] = []

    def add(self, submission: Submission) -> None:
        """Add a request."""
        self._submissions.append(submission)

    def submit_all(self) -> None:
        """Submit all requests."""
        submissions, self._submissions = self._submissions, []
        for submission in submissions:
            submission.submit()

    def reject_late(self, now: float) -> None:
        """Reject the requests that have waited for too long."""
        late = [submission for submission in self._submissions if now >= submission.latest_at]
        self._submissions = [submission for submission in self._submissions if submission not in late]
        for submission in late:
            submission.reject()

    def clear(self) -> None:
        """Drop all requests."""
        self._submissions = []
