"""The timers that the policy has set."""

from __future__ import annotations

import heapq
import math


class TimerQueue:
    """Timers ordered by deadline, then by token."""

    def __init__(self) -> None:
        self._timers: list[tuple[float, int]] = []

    @property
    def next_deadline(self) -> float:
        """The earliest deadline, or infinity if no timer is set."""
        return self._timers[0][0] if self._timers else math.inf

    def schedule(self, deadline: float, token: int) -> None:
        """Set a timer. The token identifies it to the policy."""
        heapq.heappush(self._timers, (deadline, token))

    def pop_due(self, now: float) -> list[int]:
        """Remove the timers that are due, and return their tokens, earliest deadline first."""
        tokens = []
        while self._timers and self._timers[0][0] <= now:
            _, token = heapq.heappop(self._timers)
            tokens.append(token)
        return tokens

    def clear(self) -> None:
        """Remove all timers."""
        self._timers.clear()
