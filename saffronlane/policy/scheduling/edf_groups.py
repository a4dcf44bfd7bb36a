"""Selection by group EDF among many waiting requests, at a cost that grows with their logarithm."""

import math
from bisect import bisect_right
from collections.abc import Callable

from ...state import Request

# Gr in the paper: ratio of a group's deadline range to the time that its first request has from arrival to
# deadline.
GROUP_RANGE_RATIO = 0.4


class EdfGroups:
    """The waiting requests of one scheduling pass: those within their rate limit first, then by deadline.

    The ExecTimes are the leaves of a tournament tree, in this order. Each inner node holds the lower one of
    its two children, so that the shortest request of any range is found in logarithmic time.

    Args:
        requests: The requests.
        exec_time: Returns the ExecTime of a request in seconds; it must not change during the pass.
    """

    def __init__(self, requests: list[Request], exec_time: Callable[[Request], float]) -> None:
        self._exec_time = exec_time
        self._set(sorted(requests, key=lambda r: (r.is_over_rate_limit, r.deadline, r.id)))

    def _set(self, requests: list[Request]) -> None:
        """Start with requests that are sorted already."""
        self._requests: list[Request | None] = list(requests)
        self._first = 0  # position of the first request that remains
        self._order = [(request.is_over_rate_limit, request.deadline) for request in requests]
        self._leaf_count = 1 << max(0, len(requests) - 1).bit_length()
        missing = self._leaf_count - len(requests)
        leaves = [self._exec_time(request) for request in requests] + [math.inf] * missing
        self._tree = [math.inf] * self._leaf_count + leaves
        for node in range(self._leaf_count - 1, 0, -1):
            self._tree[node] = min(self._tree[2 * node], self._tree[2 * node + 1])

    def pop(self) -> Request | None:
        """Remove and return the shortest request of the first group; None if no request remains.

        The earliest deadline defines the group. Of equally short requests the first one is returned.
        """
        while self._first < len(self._requests) and self._requests[self._first] is None:
            self._first += 1
        if self._first == len(self._requests):
            return None
        position = self._shortest(self._first, self._group_end())
        request = self._requests[position]
        assert request is not None
        self._remove(position)
        return request

    def _group_end(self) -> int:
        """Return the position after the last request of the first group."""
        first = self._requests[self._first]
        assert first is not None
        latest = first.deadline + GROUP_RANGE_RATIO * (first.deadline - first.arrived_at)
        return bisect_right(self._order, (first.is_over_rate_limit, latest), lo=self._first)

    def _shortest(self, begin: int, end: int) -> int:
        """Return the first position of the lowest ExecTime in a range."""
        lefts, rights = [], []  # the inner nodes that make up the range, from left to right
        low, high = begin + self._leaf_count, end + self._leaf_count
        while low < high:
            if low & 1:
                lefts.append(low)
                low += 1
            if high & 1:
                high -= 1
                rights.append(high)
            low >>= 1
            high >>= 1
        node = min(lefts + rights[::-1], key=self._tree.__getitem__)
        while node < self._leaf_count:
            node *= 2
            if self._tree[node + 1] < self._tree[node]:
                node += 1
        return node - self._leaf_count

    def _remove(self, position: int) -> None:
        self._requests[position] = None
        node = position + self._leaf_count
        self._tree[node] = math.inf
        while node > 1:
            node //= 2
            self._tree[node] = min(self._tree[2 * node], self._tree[2 * node + 1])

    def keep(self, condition: Callable[[Request], bool]) -> None:
        """Remove the requests for which a condition does not hold."""
        self._set([request for request in self._requests if request is not None and condition(request)])
