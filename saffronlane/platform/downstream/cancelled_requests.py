"""The ids of requests whose clients no longer wait for the answer."""

from __future__ import annotations

from collections import OrderedDict

MAX_IDS = 16_384


class CancelledRequestIds:
    """Ids of requests that were cancelled a short while ago and may have run.

    Every request of a client has a new id, also a retry. A request that comes again under the id of a
    cancelled one is the same request, and would run a second time.

    Args:
        max_age: Seconds for which an id is kept.
    """

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._cancelled_at: OrderedDict[bytes, float] = OrderedDict()  # by id, the earliest first

    def __len__(self) -> int:
        return len(self._cancelled_at)

    def add(self, request_id: bytes, now: float) -> None:
        """Add the id of a request that was cancelled at `now`."""
        self._cancelled_at[request_id] = now
        self._cancelled_at.move_to_end(request_id)
        if len(self._cancelled_at) > MAX_IDS:
            self._cancelled_at.popitem(last=False)

    def contains(self, request_id: bytes, now: float) -> bool:
        """Return whether a request with this id was cancelled less than the maximum age ago."""
        while self._cancelled_at and next(iter(self._cancelled_at.values())) <= now - self._max_age:
            self._cancelled_at.popitem(last=False)
        return request_id in self._cancelled_at
