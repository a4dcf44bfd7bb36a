"""Flow control of one call, for both sides: the queue of received messages, and the pacing of writes."""

from __future__ import annotations

import asyncio
from collections import deque

from ..http2.connection import Connection
from ..http2.transport import Transport
from . import framing

MAX_UNREAD_BYTES = 262_144  # total size of unread messages above which no flow-control credit is returned


class ReceiveQueue:
    """The received messages of a call.

    Flow-control credit is returned to the peer as the reader takes the messages.

    Args:
        transport: The transport of the connection.
        stream_id: The stream of the call.
        max_message_bytes: The largest accepted message.

    Attributes:
        message_reader: Splits the received data into messages.
        is_ended: Whether no further message will arrive.
    """

    def __init__(self, transport: Transport, stream_id: int, max_message_bytes: int) -> None:
        self.message_reader = framing.MessageReader(max_message_bytes)
        self.is_ended = False
        self._transport = transport
        self._stream_id = stream_id
        self._messages: deque[bytes] = deque()
        self._unread_bytes = self._pending_credit = 0
        self._waiter: asyncio.Future[None] | None = None

    def feed(self, data: bytes, credit: int) -> None:
        """Add received data.

        Args:
            data: The data of a DATA frame.
            credit: The flow-control credit of the frame.

        Raises:
            RpcError: The data contains an invalid message.
        """
        self._pending_credit += credit
        for message in self.message_reader.feed(data):
            self._messages.append(message)
            self._unread_bytes += len(message) + framing.MESSAGE_PREFIX.size
        self._return_credit()
        if self._messages:
            self.wake()

    def _return_credit(self) -> None:
        if self._pending_credit and self._unread_bytes <= MAX_UNREAD_BYTES:
            self._transport.http.acknowledge_data(self._stream_id, self._pending_credit)
            self._pending_credit = 0
            self._transport.flush()

    def end(self) -> None:
        """Mark the end of the messages and wake the reader."""
        self.is_ended = True
        self.wake()

    def discard(self) -> None:
        """Drop the unread messages and end the queue."""
        self._messages.clear()
        self._unread_bytes = 0
        self._return_credit()
        self.end()

    def wake(self) -> None:
        """Wake the waiting reader."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    @property
    def unread_count(self) -> int:
        """The number of unread messages."""
        return len(self._messages)

    async def get(self) -> bytes | None:
        """Wait for the next message and return it, or None at the end of the messages."""
        while not self._messages:
            if self.is_ended:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        message = self._messages.popleft()
        self._unread_bytes -= len(message) + framing.MESSAGE_PREFIX.size
        self._return_credit()
        return message


class WriteThrottle:
    """Blocks a writer while the send queue of its stream is above the low-water mark.

    Args:
        http: The connection.
        stream_id: The stream of the call.
    """

    def __init__(self, http: Connection, stream_id: int) -> None:
        self._http, self._stream_id = http, stream_id
        self._waiter: asyncio.Future[None] | None = None

    @property
    def can_write(self) -> bool:
        """Whether the send queue is at or below the low-water mark."""
        return self._http.queued_bytes(self._stream_id) <= self._http.limits.send_low_water

    def wake(self) -> None:
        """Let the waiting writer check the send queue again."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait_writable(self) -> None:
        """Wait until the send queue is at or below the low-water mark.

        The send queue of a closed stream counts as empty, so a writer is not blocked forever when its stream
        is closed.
        """
        while not self.can_write:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
