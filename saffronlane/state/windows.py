"""Counters and sums over sliding or decaying windows, and a function that limits values to a range."""

from __future__ import annotations

import math
from collections import deque


def clamp(value: float, minimum: float = 0.0, maximum: float = 1e9) -> float:
    """Limit a value to a range; NaN becomes the minimum."""
    return minimum if math.isnan(value) else min(max(value, minimum), maximum)


class DecayingRate:
    """Exponentially decayed rate of work: the mean number of threads that recent work occupies."""

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_at = -math.inf

    def read(self, now: float, horizon: float) -> float:
        """Return the rate at the time `now`; both arguments are in seconds."""
        return self.value * math.exp((self.updated_at - now) / horizon) if self.value else 0.0

    def add(self, now: float, work: float, horizon: float) -> None:
        """Add thread seconds of work at the time `now`."""
        self.value = self.read(now, horizon) + work / horizon
        self.updated_at = now


class TokenBucket:
    """A token bucket that stores the number of tokens taken from it instead of those that are left."""

    def __init__(self) -> None:
        self.level = 0.0
        self.updated_at = -math.inf

    def overflows(self, now: float, rate: float, depth: float) -> bool:
        """Take a token, or return True if less than one token is left.

        Args:
            now: The present time in seconds.
            rate: Tokens added per second.
            depth: Tokens in a full bucket.
        """
        self.level = max(0.0, self.level - (now - self.updated_at) * rate)
        self.updated_at = now
        if self.level + 1.0 > depth:
            return True
        self.level += 1.0
        return False


class SlidingWindow(deque[float]):
    """Times in ascending order; the oldest are dropped when they leave the window."""

    def insert_time(self, time: float) -> None:
        """Insert a time, which may be earlier than the last time in the window."""
        position = len(self)
        while position and self[position - 1] > time:
            position -= 1
        self.insert(position, time)

    def count_since(self, time: float) -> int:
        """Drop all times up to `time` and return the number of those left."""
        while self and self[0] <= time:
            self.popleft()
        return len(self)


class RetryBudgetWindow:
    """Arrival times of served requests and dispatch times of retries, which the retry budget counts."""

    def __init__(self) -> None:
        self.served_arrivals = SlidingWindow()
        self.retries = SlidingWindow()

    def remove_unsent_retry(self, time: float) -> None:
        """Remove a retry that was dispatched at `time` but never sent."""
        if time in self.retries:
            self.retries.remove(time)

    def record_served(self, arrival: float, since: float) -> None:
        """Add the arrival time of a served request and drop all arrivals up to `since`."""
        self.served_arrivals.insert_time(arrival)
        self.served_arrivals.count_since(since)
