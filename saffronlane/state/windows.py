"""Counts and sums over time, and figures held to a range."""

from __future__ import annotations

import math
from collections import deque


def clamp(value: float, minimum: float = 0.0, maximum: float = 1e9) -> float:
    """Clamp what others report; NaN counts as the least."""
    return min(max(value, minimum), maximum) if value == value else minimum


class DecayingRate:
    """Own work sent of late, decayed over a horizon, as the threads that it keeps busy."""

    def __init__(self) -> None:
        self.value, self.updated_at = 0.0, -math.inf

    def read(self, now: float, horizon: float) -> float:
        return self.value * math.exp((self.updated_at - now) / horizon) if self.value else 0.0

    def add(self, now: float, work: float, horizon: float) -> None:
        self.value, self.updated_at = self.read(now, horizon) + work / horizon, now


class TokenBucket:
    """A leaky bucket: what comes fills it, a rate empties it."""

    def __init__(self) -> None:
        self.level, self.updated_at = 0.0, -math.inf

    def overflows(self, now: float, rate: float, depth: float) -> bool:
        """Count one more; whether it would pass the depth, and then it is not counted."""
        self.level, self.updated_at = max(0.0, self.level - (now - self.updated_at) * rate), now
        over = self.level + 1.0 > depth
        self.level += 0.0 if over else 1.0
        return over


class SlidingWindow(deque[float]):
    """Times in order, of which the old ones are forgotten."""

    def insert_time(self, time: float) -> None:
        """Add one that may be older than the latest."""
        place = len(self)
        while place and self[place - 1] > time:
            place -= 1
        self.insert(place, time)

    def count_since(self, time: float) -> int:
        while self and self[0] <= time:
            self.popleft()
        return len(self)


class RetryBudgetWindow:
    """Rule 7's account: arrivals of the served, and further attempts, in a sliding window."""

    def __init__(self) -> None:
        self.served_arrivals, self.retries = SlidingWindow(), SlidingWindow()

    def forget_unsent(self, time: float) -> None:
        """A further attempt of that time never left."""
        if time in self.retries:
            self.retries.remove(time)

    def record_served(self, arrival: float, since: float) -> None:
        self.served_arrivals.insert_time(arrival)
        self.served_arrivals.count_since(since)
