"""The complete messages of one connection that have not been handled yet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ... import msgpackrpc as rpc
from ..memory_budget import MemoryHolder

Message = bytes | rpc.DiscardedMessage


@dataclass(slots=True, eq=False)
class _WaitingMessage:
    message: Message
    size: int  # bytes, as counted in the memory budget
    call_id: int | None  # None for a notification
    is_cancelled: bool = False


class MessageBacklog:
    """Messages in the order in which they were received. Their bytes count in the memory budget.

    Args:
        memory: The bytes that the connection holds.
    """

    def __init__(self, memory: MemoryHolder) -> None:
        self._memory = memory
        self._messages: deque[_WaitingMessage] = deque()
        self._calls: dict[int, _WaitingMessage] = {}  # the latest waiting call by its id

    def __len__(self) -> int:
        """The number of messages that wait."""
        return len(self._messages)

    def append(self, message: Message) -> None:
        """Add a message."""
        head = message.head if isinstance(message, rpc.DiscardedMessage) else message
        waiting = _WaitingMessage(message, len(head), rpc.read_call_id(head))
        self._messages.append(waiting)
        self._memory.add(waiting.size)
        if waiting.call_id is not None:
            self._calls[waiting.call_id] = waiting

    def pop(self) -> Message | None:
        """Remove the first message and return it; None if it is a call that was cancelled meanwhile."""
        waiting = self._messages.popleft()
        self._memory.add(-waiting.size)
        if waiting.call_id is not None and self._calls.get(waiting.call_id) is waiting:
            del self._calls[waiting.call_id]
        return None if waiting.is_cancelled else waiting.message

    def cancel_call(self, call_id: int) -> bool:
        """Cancel the latest waiting call with an id; return whether there is one."""
        waiting = self._calls.pop(call_id, None)
        if waiting is None:
            return False
        waiting.is_cancelled = True
        return True

    def clear(self) -> None:
        """Remove all messages."""
        while self._messages:
            self.pop()
