"""The memory that all connections together may use for what their peers sent."""

from __future__ import annotations


class MemoryBudget:
    """Counts the bytes that are kept for connections, and limits what each of them may keep.

    A holder may keep at most as many bytes as are still free. A few holders can therefore use most of the
    memory, while many greedy ones together always leave a part of it free for the others: with n of them, at
    least the (n+1)th part.

    Args:
        limit_bytes: The bytes that all holders together may keep.

    Attributes:
        limit_bytes: The bytes that all holders together may keep.
        held_bytes: The bytes that are kept now.
        unread_reply_bytes: The bytes of replies that peers have not read, which are limited elsewhere but use
            the same memory.
    """

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.unread_reply_bytes = 0.0

    @property
    def free_bytes(self) -> float:
        """The bytes that are not used."""
        return self.limit_bytes - self.held_bytes - self.unread_reply_bytes

    def admits(self, holder_bytes: int, additional_bytes: int) -> bool:
        """Return whether a holder may keep more bytes.

        Args:
            holder_bytes: The bytes that it keeps now.
            additional_bytes: The bytes that it would keep in addition.
        """
        return holder_bytes + additional_bytes <= self.free_bytes


class MemoryHolder:
    """The bytes that one holder keeps, as a part of the budget.

    Args:
        budget: The budget of all holders.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held_bytes = 0

    def admits(self, additional_bytes: int) -> bool:
        """Return whether the holder may keep more bytes."""
        return self._budget.admits(self.held_bytes, additional_bytes)

    def add(self, size: int) -> None:
        """Count more bytes, or fewer if `size` is negative."""
        self.held_bytes += size
        self._budget.held_bytes += size
