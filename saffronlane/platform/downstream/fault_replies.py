"""Delayed replies to invalid messages, so that a faulty client does not send the next one at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FAULT_REPLY_DELAY = 0.25  # seconds


class DelayedFaultReplies:
    """Encoded replies that are written after `FAULT_REPLY_DELAY`.

    Args:
        write: takes a reply's bytes.
        on_written: called after a delayed reply was written.
    """

    def __init__(self, write: Callable[[bytes], None], on_written: Callable[[], None]) -> None:
        self._write = write
        self._on_written = on_written
        self._loop = asyncio.get_running_loop()
        self._replies: dict[asyncio.TimerHandle, bytes] = {}  # in the order in which they are due

    def __bool__(self) -> bool:
        """Whether replies are pending."""
        return bool(self._replies)

    def add(self, data: bytes) -> None:
        """Write a reply after the delay."""
        timer = self._loop.call_later(FAULT_REPLY_DELAY, self._on_due)
        self._replies[timer] = data

    def _on_due(self) -> None:
        timer = next(iter(self._replies))  # all delays are equal: the first is the one that is due
        self._write(self._replies.pop(timer))
        self._on_written()

    def flush(self) -> None:
        """Write all pending replies now."""
        for timer, data in self._replies.items():
            timer.cancel()
            self._write(data)
        self._replies.clear()

    def discard(self) -> None:
        """Drop all pending replies."""
        for timer in self._replies:
            timer.cancel()
        self._replies.clear()
