"""Counts and sums over time, and figures held to a range."""

from __future__ import annotations

import math
from collections import deque


def sane(value: float, least: float = 0.0, most: float = 1e9) -> float:
    """Clamp what others report; NaN counts as the least."""
    return min(max(value, least), most) if value == value else least


class Recent:
    """Own work sent of late, decayed over a horizon, as the threads that it keeps busy."""

    def __init__(self) -> None:
        self.value, self.at = 0.0, -math.inf

    def read(self, now: float, horizon: float) -> float:
        return self.value * math.exp((self.at - now) / horizon) if self.value else 0.0

    def add(self, now: float, work: float, horizon: float) -> None:
        self.value, self.at = self.read(now, horizon) + work / horizon, now


class Bucket:
    """A leaky bucket: what comes fills it, a rate empties it."""

    def __init__(self) -> None:
        self.level, self.at = 0.0, -math.inf

    def passes(self, now: float, rate: float, depth: float) -> bool:
        """Count one more; whether it would pass the depth, and then it is not counted."""
        self.level, self.at = max(0.0, self.level - (now - self.at) * rate), now
        over = self.level + 1.0 > depth
        self.level += 0.0 if over else 1.0
        return over


class Window(deque[float]):
    """Times in order, of which the old ones are forgotten."""

    def put(self, time: float) -> None:
        """Add one that may be older than the latest."""
        place = len(self)
        while place and self[place - 1] > time:
            place -= 1
        self.insert(place, time)

    def count_since(self, time: float) -> int:
        while self and self[0] <= time:
            self.popleft()
        return len(self)


class Ration:
    """Rule 7's account: arrivals of the served, and further attempts, in a sliding window."""

    def __init__(self) -> None:
        self.taken, self.extras = Window(), Window()

    def moot(self, at: float) -> None:
        """A further attempt of that time never left."""
        if at in self.extras:
            self.extras.remove(at)

    def served(self, arrival: float, since: float) -> None:
        self.taken.put(arrival)
        self.taken.count_since(since)
