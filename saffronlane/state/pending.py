"""Requests without a final answer, and the order of those with an ordering key."""

from __future__ import annotations

import math
from collections import deque

from .requests import Request


class OrderingQueues:
    """Requests of each ordering key, first in, first out.

    Only the head of a key may be sent, after the key's cool-down.
    """

    def __init__(self) -> None:
        self.queues: dict[int, deque[Request]] = {}
        self.cooldowns: dict[int, float] = {}  # by key, until when; in the order of their starts

    def enqueue(self, request: Request) -> None:
        """Add a request at the end of its key's queue, if its class is ordered."""
        if _has_ordering_key(request):
            self.queues.setdefault(request.ordering_key, deque()).append(request)

    def is_next(self, request: Request, now: float) -> bool:
        """Whether a request may be sent, as far as the order of its key is concerned."""
        if not _has_ordering_key(request):
            return True
        key = request.ordering_key
        if self.cooldowns.get(key, -math.inf) <= now:
            self.cooldowns.pop(key, None)
        return self.queues[key][0] is request and key not in self.cooldowns

    def start_cooldown(self, request: Request, until: float) -> None:
        """Let nothing of the request's key be sent before a time."""
        if _has_ordering_key(request):
            self.cooldowns.pop(request.ordering_key, None)
            self.cooldowns[request.ordering_key] = until

    def expire_cooldowns(self, now: float) -> None:
        """Discard cool-downs that are over, also of keys without requests."""
        while self.cooldowns and next(iter(self.cooldowns.values())) <= now:
            del self.cooldowns[next(iter(self.cooldowns))]

    def release(self, request: Request) -> None:
        """Let the next request of a key follow, once this one has ended and has no attempt in flight."""
        queue = self.queues.get(request.ordering_key, ())
        if not request.is_ended or request.in_flight_count or request not in queue:
            return
        self.queues[request.ordering_key].remove(request)
        if not self.queues[request.ordering_key]:
            del self.queues[request.ordering_key]


class PendingRequests:
    """Requests without a final answer.

    Attributes:
        requests: all of them, by id.
        queued: those of them that wait for an engine, by id.
        ordering: their queues by ordering key.
    """

    def __init__(self) -> None:
        self.requests: dict[int, Request] = {}
        self.queued: dict[int, Request] = {}
        self.ordering = OrderingQueues()

    def add(self, request: Request) -> None:
        """Add a request that has arrived, queued."""
        self.requests[request.id] = self.queued[request.id] = request
        self.ordering.enqueue(request)


def _has_ordering_key(request: Request) -> bool:
    return request.class_settings.is_ordered and request.ordering_key != 0
