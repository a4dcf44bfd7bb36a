"""Counts and sums over time, and values held to a range."""

from __future__ import annotations

import math
from collections import deque


def clamp(value: float, minimum: float = 0.0, maximum: float = 1e9) -> float:
    """Hold a value to a range; NaN becomes the minimum."""
    return minimum if math.isnan(value) else min(max(value, minimum), maximum)


class DecayingRate:
    """Work a second, decayed over a horizon: the threads that work sent recently keeps busy."""

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_at = -math.inf

    def read(self, now: float, horizon: float) -> float:
        """Return the rate now; both arguments in seconds."""
        return self.value * math.exp((self.updated_at - now) / horizon) if self.value else 0.0

    def add(self, now: float, work: float, horizon: float) -> None:
        """Add seconds of work."""
        self.value = self.read(now, horizon) + work / horizon
        self.updated_at = now


class TokenBucket:
    """A token bucket, as the level of what has been taken out of it."""

    def __init__(self) -> None:
        self.level = 0.0
        self.updated_at = -math.inf

    def overflows(self, now: float, rate: float, depth: float) -> bool:
        """Take a token; with fewer than one left, take none and return True.

        Args:
            now: in seconds.
            rate: tokens that come back a second.
            depth: tokens of a full bucket.
        """
        self.level = max(0.0, self.level - (now - self.updated_at) * rate)
        self.updated_at = now
        if self.level + 1.0 > depth:
            return True
        self.level += 1.0
        return False


class SlidingWindow(deque[float]):
    """Times in ascending order, of which old ones are dropped."""

    def insert_time(self, time: float) -> None:
        """Insert a time, which may be earlier than the last one."""
        place = len(self)
        while place and self[place - 1] > time:
            place -= 1
        self.insert(place, time)

    def count_since(self, time: float) -> int:
        """Drop times up to `time` and return how many are left."""
        while self and self[0] <= time:
            self.popleft()
        return len(self)


class RetryBudgetWindow:
    """What the retry budget counts: arrivals of served requests, and retries."""

    def __init__(self) -> None:
        self.served_arrivals = SlidingWindow()
        self.retries = SlidingWindow()

    def forget_unsent(self, time: float) -> None:
        """Remove a retry of that time, which was never sent."""
        if time in self.retries:
            self.retries.remove(time)

    def record_served(self, arrival: float, since: float) -> None:
        """Add a served request by its arrival; drop those up to `since`."""
        self.served_arrivals.insert_time(arrival)
        self.served_arrivals.count_since(since)
