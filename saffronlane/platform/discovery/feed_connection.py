"""One connection to the control feed: subscribes, and passes on the lines that arrive."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from tornado.iostream import IOStream

from ..config import Address

SUBSCRIBE_COMMAND = b"SUB %d\n"
MAX_LINE_BYTES = 1_048_576
READ_CHUNK_BYTES = 65_536
READ_TIMEOUT = 1.8  # seconds; the feed writes at least one line per second
CONNECT_TIMEOUT = 0.7  # seconds


class FeedListener(Protocol):
    """What a connection to the feed reports to.

    Attributes:
        last_sequence: The number of the last event that is already known.
    """

    last_sequence: int

    def on_line(self, line: bytes) -> bool:
        """Handle a line; return whether it shows that the feed is up to date."""

    def on_change(self, connection: FeedConnection) -> None:
        """Handle that a connection is established, has delivered such a line, or has ended."""


class FeedConnection:
    """A connection to the feed that is read until it fails or is closed.

    Args:
        address: The address of the feed.
        listener: The object that gets the lines.

    Attributes:
        silent_at: The time of the event loop, in seconds, from which the feed is considered silent.
        is_current: Whether a line has shown that the feed is up to date.
        error: The error with which the connection has ended; None while it is in use.

    Raises:
        OSError: The system cannot create a socket.
    """

    def __init__(self, address: Address, listener: FeedListener) -> None:
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._listener = listener
        self._stream = IOStream(
            socket.socket(), max_buffer_size=2 * MAX_LINE_BYTES, read_chunk_size=READ_CHUNK_BYTES
        )
        self.silent_at = self._loop.time() + CONNECT_TIMEOUT + READ_TIMEOUT
        self.is_current = False
        self.error: Exception | None = None
        self._task = self._loop.create_task(self._run())

    @property
    def is_silent(self) -> bool:
        """Whether the feed has shown for too long nothing by which it is up to date."""
        return self._loop.time() >= self.silent_at

    def close(self) -> None:
        """Close the connection and end it with an error. The listener is told."""
        self._task.cancel()
        self._end(ConnectionAbortedError("closed by this side"))

    def _end(self, error: Exception) -> None:
        if self.error is None:
            self.error = error
            self._stream.close()
            self._listener.on_change(self)

    async def _run(self) -> None:
        try:
            await self._subscribe()
            while True:
                # Only lines that show that the feed is up to date postpone the time of silence.
                line = await self._stream.read_until(b"\n", max_bytes=MAX_LINE_BYTES)
                if self._listener.on_line(line.strip()):
                    self.is_current = True
                    self._report_progress()
        except Exception as error:
            self._end(error)

    async def _subscribe(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            await self._stream.connect(self._address)
        self._stream.write(SUBSCRIBE_COMMAND % self._listener.last_sequence)
        self._report_progress()

    def _report_progress(self) -> None:
        self.silent_at = self._loop.time() + READ_TIMEOUT
        self._listener.on_change(self)
