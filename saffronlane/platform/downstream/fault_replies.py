"""Delays replies to invalid messages, so that a faulty client does not resend at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FAULT_REPLY_DELAY = 0.25  # seconds


class DelayedFaultReplies:
    """Encoded error replies to invalid messages that are written after `FAULT_REPLY_DELAY`."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._replies: dict[asyncio.TimerHandle, bytes] = {}  # by timer, the earliest first

    def __bool__(self) -> bool:
        """Whether replies are pending."""
        return bool(self._replies)

    def add(self, data: bytes, write: Callable[[bytes], None]) -> None:
        """Schedule a reply, which is passed to `write` after the delay."""
        timer = self._loop.call_later(FAULT_REPLY_DELAY, self._on_due, write)
        self._replies[timer] = data

    def _on_due(self, write: Callable[[bytes], None]) -> None:
        timer = next(iter(self._replies))  # all delays are equal, so the oldest timer has fired
        write(self._replies.pop(timer))

    def take_all(self) -> list[bytes]:
        """Remove all pending replies and return them, the earliest first."""
        replies = list(self._replies.values())
        self.discard()
        return replies

    def discard(self) -> None:
        """Drop all pending replies."""
        for timer in self._replies:
            timer.cancel()
        self._replies.clear()
