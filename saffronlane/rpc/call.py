"""What both sides of a call share: messages that wait to be read, and writing without filling memory."""

from __future__ import annotations

import asyncio
from collections import deque

from ..http2.connection import Connection
from ..http2.transport import Transport
from . import framing

UNREAD_MOST = 262_144  # bytes of whole messages that wait; past it the peer's window stays shut


class Mailbox:
    """Messages of one direction of a call. Credit goes back to the peer as the reader takes them."""

    def __init__(self, transport: Transport, stream_id: int, most: int) -> None:
        self.reader = framing.MessageReader(most)
        self.ended = False
        self._transport = transport
        self._stream_id = stream_id
        self._messages: deque[bytes] = deque()
        self._unread = self._owed = 0
        self._waiter: asyncio.Future[None] | None = None

    def feed(self, data: bytes, credit: int) -> None:
        """RpcError where the bytes are no messages."""
        self._owed += credit
        for message in self.reader.feed(data):
            self._messages.append(message)
            self._unread += len(message) + framing.HEAD.size
        self._settle()
        if self._messages:
            self.wake()

    def _settle(self) -> None:
        if self._owed and self._unread <= UNREAD_MOST:
            self._transport.http.acknowledge_data(self._stream_id, self._owed)
            self._owed = 0
            self._transport.flush()

    def end(self) -> None:
        self.ended = True
        self.wake()

    def drop(self) -> None:
        """Nobody will read what waits."""
        self._messages.clear()
        self._unread = 0
        self._settle()
        self.end()

    def wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    @property
    def waiting(self) -> int:
        return len(self._messages)

    async def take(self) -> bytes | None:
        """The next message; None at the end."""
        while not self._messages:
            if self.ended:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        message = self._messages.popleft()
        self._unread -= len(message) + framing.HEAD.size
        self._settle()
        return message


class Gate:
    """Lets a writer on while its stream's queue is short."""

    def __init__(self, http: Connection, stream_id: int) -> None:
        self._http, self._stream_id = http, stream_id
        self._waiter: asyncio.Future[None] | None = None

    @property
    def open(self) -> bool:
        return self._http.queued_bytes(self._stream_id) <= self._http.limits.send_low_water

    def wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def passed(self) -> None:
        while not self.open:  # a closed stream has nothing queued, and lets its writer find out
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
