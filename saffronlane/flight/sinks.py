"""Where answers go: straight to a call, or kept for a client that polls."""

from __future__ import annotations

import asyncio
from collections import deque

from ..interface import ProgressKind
from ..rpc import ServerCall, Status


class CallSink:
    """The answer of a DoGet or DoPut: written as it comes, ended with the call's status."""

    def __init__(self, call: ServerCall) -> None:
        self.call = call
        self.over: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def write(self, message: bytes) -> None:
        await self.call.write(message)

    def write_now(self, message: bytes) -> None:
        self.call.write_now(message)

    def end(self, status: Status) -> None:
        self.call.finish(status)
        if not self.over.done():
            self.over.set_result(None)

    def on_progress(self, kind: ProgressKind, amount: float) -> None:
        return None


class KeptSink:
    """The result of a polled query.

    A bounded part of it is buffered here; the rest waits at the engine for the DoGet that reads it.
    """

    def __init__(self, most: int) -> None:
        self.progress = 0.0
        self.status: Status | None = None
        self.ready = asyncio.Event()  # there is something to fetch, or the end
        self._most = most
        self._kept: deque[bytes] = deque()
        self._size = 0
        self._room = asyncio.Event()
        self._more = asyncio.Event()
        self.taken = False

    async def write(self, message: bytes) -> None:
        while self._size and self._size + len(message) > self._most:
            self._room.clear()
            await self._room.wait()
        self.write_now(message)

    def write_now(self, message: bytes) -> None:
        self._kept.append(message)
        self._size += len(message)
        self.ready.set()
        self._more.set()

    def end(self, status: Status) -> None:
        self.status = status
        self.progress = 1.0 if status.ok else self.progress
        self.ready.set()
        self._more.set()

    def on_progress(self, kind: ProgressKind, amount: float) -> None:
        if kind is ProgressKind.PROGRESS:
            self.progress = max(self.progress, min(1.0, amount))

    async def pour(self, call: ServerCall) -> Status:
        """Give all that comes to a call; the final status."""
        self.taken = True
        while True:
            while self._kept:
                message = self._kept.popleft()
                self._size -= len(message)
                self._room.set()
                await call.write(message)
            if self.status is not None:
                return self.status
            self._more.clear()
            await self._more.wait()

    def drop(self) -> None:
        self._kept.clear()
        self._size = 0
        self._room.set()
