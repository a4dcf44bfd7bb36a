"""Sinks for the answers of requests.

`CallSink` writes to the call of the client. `PolledResultSink` buffers the result for a client that polls.
"""

from __future__ import annotations

import asyncio
from collections import deque

from ..interface import ProgressKind
from ..rpc import ServerCall, Status


class CallSink:
    """Writes an answer to a DoGet or DoPut call as it arrives, and ends the call with its status.

    Args:
        call: The call of the client.

    Attributes:
        ended: Resolves when the answer has ended.
    """

    def __init__(self, call: ServerCall) -> None:
        self.call = call
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def write(self, message: bytes) -> None:
        """Send a part of the result. Waits while the client does not read."""
        await self.call.write(message)

    def write_now(self, message: bytes) -> None:
        """Send a part of the result without waiting for the client."""
        self.call.write_now(message)

    def end(self, status: Status) -> None:
        """End the call with the final status."""
        self.call.finish(status)
        if not self.ended.done():
            self.ended.set_result(None)

    def on_progress(self, kind: ProgressKind, amount: float) -> None:
        """Ignore a progress report, because the call has no way to report it."""
        return


class PolledResultSink:
    """Buffers the result of a polled query until the client fetches it by DoGet.

    The buffer is bounded. When it is full, the rest of the result stays at the engine until the client reads.

    Args:
        max_buffered_bytes: The maximum size of the buffered messages. A single message may exceed it.

    Attributes:
        progress: The progress of the query from 0 to 1.
        status: The final status, or None until the query has ended.
        ready: Set when a message can be fetched or the query has ended.
        is_claimed: Whether a DoGet call has started to fetch the result.
    """

    def __init__(self, max_buffered_bytes: int) -> None:
        self.progress = 0.0
        self.status: Status | None = None
        self.ready = asyncio.Event()
        self._max_buffered_bytes = max_buffered_bytes
        self._messages: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._has_space = asyncio.Event()
        self._has_data = asyncio.Event()  # also set by the end of the query
        self.is_claimed = False

    async def write(self, message: bytes) -> None:
        """Buffer a part of the result. Waits while the part does not fit into the buffer."""
        while self._buffered_bytes and self._buffered_bytes + len(message) > self._max_buffered_bytes:
            self._has_space.clear()
            await self._has_space.wait()
        self.write_now(message)

    def write_now(self, message: bytes) -> None:
        """Buffer a part of the result, even if the buffer is full."""
        self._messages.append(message)
        self._buffered_bytes += len(message)
        self.ready.set()
        self._has_data.set()

    def end(self, status: Status) -> None:
        """Store the final status."""
        self.status = status
        self.progress = 1.0 if status.ok else self.progress
        self.ready.set()
        self._has_data.set()

    def on_progress(self, kind: ProgressKind, amount: float) -> None:
        """Store the reported progress. It never decreases."""
        if kind is ProgressKind.PROGRESS:
            self.progress = max(self.progress, min(1.0, amount))

    async def forward_to(self, call: ServerCall) -> Status:
        """Write the whole result to a call, and return the final status."""
        self.is_claimed = True
        while True:
            while self._messages:
                message = self._messages.popleft()
                self._buffered_bytes -= len(message)
                self._has_space.set()
                await call.write(message)
            if self.status is not None:
                return self.status
            self._has_data.clear()
            await self._has_data.wait()

    def discard(self) -> None:
        """Drop the buffered messages, and wake a writer that waits for space."""
        self._messages.clear()
        self._buffered_bytes = 0
        self._has_space.set()
