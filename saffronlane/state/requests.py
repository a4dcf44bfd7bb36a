"""Requests, their attempts, and the order of those with a key."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from .. import interface as api
from ..interface import Outcome
from .engines import Engine
from .windows import clamp

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request; late outcomes find it after the request has ended."""

    request: Request
    index: int
    engine: Engine
    sent_at: float
    threads: float
    memory_grant_mb: float
    last_progress_at: float
    gossip_number: int | None = None  # its number in what the others were told
    outcome: Outcome | None = None
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class GossipExpiry:
    """A timer's subject: what was told of the attempt counts no longer at the others."""

    attempt: Attempt


class Request:
    """One request of a client."""

    def __init__(self, event: api.Arrival, index: int, cls: api.ClassSettings, now: float) -> None:
        self.id, self.class_index, self.ordering_key, self.class_settings = (
            event.request,
            index,
            event.ordering_key,
            cls,
        )
        self.arrived_at, self.expires_at = now, now + clamp(event.timeout, 0.0, cls.deadline or 1e9)
        self.estimated_cost, self.estimated_memory_mb, self.table_group = (
            clamp(event.estimated_cost) or 1.0,
            clamp(event.estimated_memory_mb),
            event.table_group,
        )
        self.deadline = self.expires_at
        self.probing_until = -math.inf  # engines were asked for their load; held until then
        self.attempts: list[Attempt] = []
        self.in_flight_count = self.previous_attempt_count = (
            0  # attempts without an outcome; those from before it arrived here
        )
        self.is_ended = self.is_streaming = self.was_restarted = False
        self.is_over_quota = False  # beyond its tenant's allowance
        self.failed_engines: list[bytes] = []  # engines that failed this request

    def first_possible_execution(self) -> Attempt | None:
        """The earliest attempt that may have run, or None while it is certain that none did."""
        return next((a for a in self.attempts if a.outcome not in NEVER_RAN), None)

    def add_previous_attempt(
        self, previous: api.PreviousAttempt, machine_types: tuple[api.MachineType, ...]
    ) -> None:
        """An attempt from before the request arrived here, of which only that it may have run is known."""
        kind = machine_types[min(previous.machine_type, len(machine_types) - 1)]
        place = api.EngineEntry(
            previous.engine, api.EngineState.REMOVED, 0.0, previous.zone, previous.machine_type, previous.cell
        )
        self.previous_attempt_count, engine = 1, Engine(place, kind)
        attempt = Attempt(
            self, -1, engine, previous.sent_at, 0.0, 0.0, previous.sent_at, outcome=Outcome.CANCELLED
        )
        self.attempts.append(attempt)


class OrderingQueues:
    """Requests of each key in the order taken; only the head of a key has its turn, after the key's rest."""

    def __init__(self) -> None:
        self.queues: dict[int, deque[Request]] = {}
        self.cooldowns: dict[int, float] = {}

    def enqueue(self, request: Request) -> None:
        if request.class_settings.is_ordered and request.ordering_key:
            self.queues.setdefault(request.ordering_key, deque()).append(request)

    def is_next(self, request: Request, now: float) -> bool:
        if not request.class_settings.is_ordered or not request.ordering_key:
            return True
        if self.cooldowns.get(request.ordering_key, -math.inf) <= now:
            self.cooldowns.pop(request.ordering_key, None)
        return self.queues[request.ordering_key][0] is request and request.ordering_key not in self.cooldowns

    def start_cooldown(self, request: Request, until: float) -> None:
        if request.class_settings.is_ordered and request.ordering_key:
            self.cooldowns.pop(request.ordering_key, None)  # the last to end stands last
            self.cooldowns[request.ordering_key] = until

    def expire_cooldowns(self, now: float) -> None:
        """Rests that are over, of keys that nobody asked for again."""
        while self.cooldowns and next(iter(self.cooldowns.values())) <= now:
            del self.cooldowns[next(iter(self.cooldowns))]

    def release(self, request: Request) -> None:
        """A key moves on when a request has ended and no attempt's outcome is open."""
        if (
            request.is_ended
            and not request.in_flight_count
            and request in self.queues.get(request.ordering_key, ())
        ):
            self.queues[request.ordering_key].remove(request)
            if not self.queues[request.ordering_key]:
                del self.queues[request.ordering_key]


class PendingRequests:
    """Requests that are owed a final answer, those of them that are held, and the order of keys."""

    def __init__(self) -> None:
        self.requests: dict[int, Request] = {}
        self.queued: dict[int, Request] = {}
        self.ordering = OrderingQueues()

    def add(self, request: Request) -> None:
        self.requests[request.id] = self.queued[request.id] = request
        self.ordering.enqueue(request)
