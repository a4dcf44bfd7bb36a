"""Requests without a final answer, and the queues of those that have an ordering key."""

from __future__ import annotations

import math
from collections import deque

from .requests import Request


class OrderingQueues:
    """A first-in-first-out queue of requests for each ordering key.

    Only the first request of a queue may be sent, and only after the cool-down of its key.

    Attributes:
        queues: Requests by ordering key.
        cooldowns: End of the cool-down by ordering key, in the order in which the cool-downs started.
    """

    def __init__(self) -> None:
        self.queues: dict[int, deque[Request]] = {}
        self.cooldowns: dict[int, float] = {}

    def enqueue(self, request: Request) -> None:
        """Append a request to the queue of its key if it has one and its class is ordered."""
        if _has_ordering_key(request):
            self.queues.setdefault(request.ordering_key, deque()).append(request)

    def is_next(self, request: Request, now: float) -> bool:
        """Return whether the order of its key allows a request to be sent now."""
        if not _has_ordering_key(request):
            return True
        key = request.ordering_key
        if self.cooldowns.get(key, -math.inf) <= now:
            self.cooldowns.pop(key, None)
        return self.queues[key][0] is request and key not in self.cooldowns

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
        queue = self.queues.get(request.ordering_key, ())
        if not request.is_ended or request.in_flight_count or request not in queue:
            return
        self.queues[request.ordering_key].remove(request)
        if not self.queues[request.ordering_key]:
            del self.queues[request.ordering_key]


class PendingRequests:
    """Requests without a final answer.

    Attributes:
        requests: All requests by id.
        queued: The requests that wait for an engine, by id.
        ordering: The queues of the requests with an ordering key.
    """

    def __init__(self) -> None:
        self.requests: dict[int, Request] = {}
        self.queued: dict[int, Request] = {}
        self.ordering = OrderingQueues()

    def add(self, request: Request) -> None:
        """Add a new request and queue it."""
        self.requests[request.id] = self.queued[request.id] = request
        self.ordering.enqueue(request)


def _has_ordering_key(request: Request) -> bool:
    return request.class_settings.is_ordered and request.ordering_key != 0
