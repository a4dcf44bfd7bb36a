"""Futures that another thread resolves, with one wake-up of the event loop for many of them."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque


class DurabilityFutures:
    """Creates futures of an event loop and resolves them from other threads.

    Each wake-up of the loop costs a system call and a commit resolves many futures, so wake-ups are shared.

    Args:
        loop: The event loop of the futures.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._results: deque[tuple[asyncio.Future[bool], bool]] = deque()
        self._is_scheduled = False

    def create(self) -> asyncio.Future[bool]:
        """Return a new, unresolved future."""
        return self._loop.create_future()

    def resolve(self, future: asyncio.Future[bool], is_durable: bool) -> None:
        """Schedule a future's result on the loop. May be called from any thread."""
        self._results.append((future, is_durable))
        if not self._is_scheduled:
            self._is_scheduled = True
            with contextlib.suppress(RuntimeError):  # the loop has been closed in the meantime
                self._loop.call_soon_threadsafe(self._set_results)

    def _set_results(self) -> None:
        # Reset before the queue is drained, so that a result appended later schedules another wake-up.
        self._is_scheduled = False
        while self._results:
            future, is_durable = self._results.popleft()
            if not future.done():
                future.set_result(is_durable)
