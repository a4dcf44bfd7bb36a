"""Requests without a final answer, and the queues of those that have an ordering key."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from .requests import Request


class OrderingQueues:
    """A first-in-first-out queue of requests for each ordering key.

    Only the first request of a queue may be sent, and only after the cool-down of its key.

    Attributes:
        queues: Requests by ordering key, each queue in the order of arrival, by the id of the request.
        cooldowns: End of the cool-down by ordering key, in the order in which the cool-downs started.
    """

    def __init__(self) -> None:
        self.queues: dict[int, OrderedDict[int, Request]] = {}
        self.cooldowns: dict[int, float] = {}

    def enqueue(self, request: Request) -> None:
        """Append a request to the queue of its key if it has one and its class is ordered."""
        if _has_ordering_key(request):
            self.queues.setdefault(request.ordering_key, OrderedDict())[request.id] = request

    def is_next(self, request: Request, now: float) -> bool:
        """Return whether the order of its key allows a request to be sent now."""
        if not _has_ordering_key(request):
            return True
        key = request.ordering_key
        if self.cooldowns.get(key, -math.inf) <= now:
            self.cooldowns.pop(key, None)
        return key not in self.cooldowns and next(iter(self.queues[key])) == request.id

    def start_cooldown(self, request: Request, until: float) -> None:
        """Block the request's ordering key until a time."""
        if _has_ordering_key(request):
            self.cooldowns.pop(request.ordering_key, None)
            self.cooldowns[request.ordering_key] = until

    def expire_cooldowns(self, now: float) -> None:
        """Discard the cool-downs that are over, including those of keys without requests."""
        while self.cooldowns and next(iter(self.cooldowns.values())) <= now:
            del self.cooldowns[next(iter(self.cooldowns))]

    def release(self, request: Request) -> None:
        """Remove a request from its queue if it has ended and has no attempt in flight."""
        queue = self.queues.get(request.ordering_key)
        if queue is None or not request.is_ended or request.in_flight_count:
            return
        if queue.get(request.id) is not request:
            return
        del queue[request.id]
        if not queue:
            del self.queues[request.ordering_key]


class RequestQueue:
    """The requests that wait for an engine, in the order in which they were queued.

    They are also kept by class, so that a class for which there is no capacity is passed over as a whole.
    """

    def __init__(self) -> None:
        self._requests: dict[int, Request] = {}
        self._by_class: dict[int, dict[int, Request]] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._requests.values())

    def __contains__(self, request: Request) -> bool:
        return request.id in self._requests

    @property
    def classes(self) -> list[int]:
        """The indices of the classes that have requests."""
        return list(self._by_class)

    def of_class(self, class_index: int) -> Iterator[Request]:
        """Return the requests of a class, in the order in which they were queued."""
        return iter(self._by_class.get(class_index, {}).values())

    def add(self, request: Request) -> None:
        """Append a request, unless it is queued."""
        self._requests[request.id] = request
        self._by_class.setdefault(request.class_index, {})[request.id] = request

    def remove(self, request: Request) -> bool:
        """Remove a request; return whether it was queued."""
        if self._requests.pop(request.id, None) is None:
            return False
        same_class = self._by_class[request.class_index]
        del same_class[request.id]
        if not same_class:
            del self._by_class[request.class_index]
        return True


class PendingRequests:
    """Requests without a final answer.

    Attributes:
        requests: All requests by id.
        queued: The requests that wait for an engine.
        ordering: The queues of the requests with an ordering key.
    """

    def __init__(self) -> None:
        self.requests: dict[int, Request] = {}
        self.queued = RequestQueue()
        self.ordering = OrderingQueues()

    def add(self, request: Request) -> None:
        """Add a new request and queue it."""
        self.requests[request.id] = request
        self.queued.add(request)
        self.ordering.enqueue(request)


def _has_ordering_key(request: Request) -> bool:
    return request.class_settings.is_ordered and request.ordering_key != 0
