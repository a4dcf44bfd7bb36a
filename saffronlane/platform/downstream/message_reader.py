"""Splits a client's input into messages, within the memory budget and the timeouts of partial messages."""

from __future__ import annotations

from typing import NamedTuple

from ... import msgpackrpc as rpc
from ..memory_budget import MemoryHolder

MAX_MESSAGE_BYTES = 262_144
MAX_MESSAGE_ITEMS = 256
SMALL_MESSAGE_BYTES = 1_024  # a partial message up to this size is always kept
RECEIVE_TIMEOUT = 2.0  # seconds to wait for the next byte of a partial message
MESSAGE_TIMEOUT = 10.0  # seconds from the first to the last byte of a message


class ReceivedMessages(NamedTuple):
    """The complete messages, in order, and the error in the bytes after them, if any."""

    messages: list[bytes | rpc.DiscardedMessage]
    error: rpc.ScanError | None


class MessageReader:
    """Reads the messages of one connection.

    The bytes of a message that has begun count in the memory budget. If there is no room for them, they are
    dropped as they arrive.

    Args:
        memory: The bytes that the connection holds.
        now: The present time in seconds.
    """

    def __init__(self, memory: MemoryHolder, now: float) -> None:
        self._scanner = rpc.Scanner(MAX_MESSAGE_BYTES, MAX_MESSAGE_ITEMS)
        self._memory = memory
        self._counted_bytes = 0  # of the message that has begun, as counted in the budget
        self._message_started_at = now
        self._last_received_at = now

    @property
    def is_within_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""
        return self._scanner.is_within_message

    def feed(self, data: bytes, now: float) -> ReceivedMessages:
        """Add received bytes and return the messages that they complete."""
        self._last_received_at = now
        was_between_messages = not self._scanner.is_within_message
        messages, error = self._scanner.feed(data)
        if was_between_messages or messages:
            self._message_started_at = now
        self._count_partial_message()
        return ReceivedMessages(messages, error)

    def _count_partial_message(self) -> None:
        pending_bytes = self._scanner.pending_bytes
        is_small = pending_bytes <= SMALL_MESSAGE_BYTES
        if not is_small and not self._memory.admits(pending_bytes - self._counted_bytes):
            self._scanner.discard_message()
        self._set_counted(self._scanner.pending_bytes)

    def _set_counted(self, size: int) -> None:
        self._memory.add(size - self._counted_bytes)
        self._counted_bytes = size

    def is_overdue(self, now: float, idle_since: float) -> bool:
        """Return whether the rest of a message is overdue.

        Args:
            now: The present time in seconds.
            idle_since: The time since which no request of the connection is open. Both timeouts begin again
                then, since the client may have waited for the reply.
        """
        if not self._scanner.is_within_message:
            return False
        has_stalled = now > max(self._last_received_at, idle_since) + RECEIVE_TIMEOUT
        is_late = now > max(self._message_started_at, idle_since) + MESSAGE_TIMEOUT
        return has_stalled or is_late

    def close(self) -> None:
        """Drop a partial message, and return its bytes to the memory budget."""
        self._scanner.clear()
        self._set_counted(0)
