"""Delays replies to invalid messages, so that a faulty client does not resend at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FAULT_REPLY_DELAY = 0.25  # seconds


class DelayedFaultReplies:
    """Encoded error replies to invalid messages that are written after `FAULT_REPLY_DELAY`.

    Args:
        write: Writes the bytes of a reply to the client.
        on_written: Called after a delayed reply was written.
    """

    def __init__(self, write: Callable[[bytes], None], on_written: Callable[[], None]) -> None:
        self._write = write
        self._on_written = on_written
        self._loop = asyncio.get_running_loop()
        self._replies: dict[asyncio.TimerHandle, bytes] = {}  # by timer, the earliest first

    def __bool__(self) -> bool:
        """Whether replies are pending."""
        return bool(self._replies)

    def add(self, data: bytes) -> None:
        """Schedule a reply to be written after the delay."""
        timer = self._loop.call_later(FAULT_REPLY_DELAY, self._on_due)
        self._replies[timer] = data

    def _on_due(self) -> None:
        timer = next(iter(self._replies))  # all delays are equal, so the oldest timer has fired
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
