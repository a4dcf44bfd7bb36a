"""Futures of an event loop that another thread resolves, with one wake of the loop for many of them."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque


class DurabilityFutures:
    """Resolves futures on their loop.

    Each wake of the loop is a system call, and a commit resolves many futures at once.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._results: deque[tuple[asyncio.Future[bool], bool]] = deque()
        self._is_scheduled = False

    def create(self) -> asyncio.Future[bool]:
        """Return a new future of the loop."""
        return self._loop.create_future()

    def resolve(self, future: asyncio.Future[bool], is_durable: bool) -> None:
        """Set a future's result soon. May be called on any thread."""
        self._results.append((future, is_durable))
        if not self._is_scheduled:
            self._is_scheduled = True
            with contextlib.suppress(RuntimeError):  # the loop has been closed meanwhile
                self._loop.call_soon_threadsafe(self._set_results)

    def _set_results(self) -> None:
        # Before the queue is emptied, so that whoever appends from now on wakes the loop again.
        self._is_scheduled = False
        while self._results:
            future, is_durable = self._results.popleft()
            if not future.done():
                future.set_result(is_durable)
