"""The timers that the policy has set."""

from __future__ import annotations

import heapq
import math

MIN_COMPACTED_ENTRIES = 64  # a shorter heap is not rebuilt, however many of its timers are cancelled


class TimerQueue:
    """Timers ordered by deadline, then by token.

    A cancelled timer leaves its entry in the heap until more than half of the entries are cancelled ones.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._deadlines: dict[int, float] = {}  # by the token of a timer that is set

    def __len__(self) -> int:
        """The number of timers that are set."""
        return len(self._deadlines)

    @property
    def next_deadline(self) -> float:
        """The earliest deadline, or infinity if no timer is set."""
        while self._heap and self._heap[0][1] not in self._deadlines:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def schedule(self, deadline: float, token: int) -> None:
        """Set a timer. The token identifies it to the policy."""
        self._deadlines[token] = deadline
        heapq.heappush(self._heap, (deadline, token))

    def cancel(self, token: int) -> None:
        """Remove a timer; no effect if it has fired."""
        self._deadlines.pop(token, None)
        if len(self._heap) > max(MIN_COMPACTED_ENTRIES, 2 * len(self._deadlines)):
            self._heap = [(deadline, token) for token, deadline in self._deadlines.items()]
            heapq.heapify(self._heap)

    def pop_due(self, now: float) -> list[int]:
        """Remove the timers that are due, and return their tokens, earliest deadline first."""
        tokens = []
        while self.next_deadline <= now:
            _, token = heapq.heappop(self._heap)
            del self._deadlines[token]
            tokens.append(token)
        return tokens

    def clear(self) -> None:
        """Remove all timers."""
        self._heap.clear()
        self._deadlines.clear()
