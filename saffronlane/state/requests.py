"""Requests and their attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .. import interface as api
from ..interface import Outcome
from .engines import Engine
from .windows import clamp

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
NO_DEADLINE = 1e9  # seconds, for a class without a deadline


@dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch of a request; a late outcome finds it after the request has ended.

    Attributes:
        request: that it belongs to.
        index: among the request's attempts, from 0; -1: from before the request arrived here.
        engine: that it was sent to.
        sent_at: when, in seconds.
        threads: that it uses there.
        memory_grant_mb: 0: the engine's choice.
        last_progress_at: when it was last heard of.
        gossip_number: its number in messages to peers; None: not reported to them.
        outcome: None while it is in flight.
        is_cancelled: the engine was asked to cancel it.
    """

    request: Request
    index: int
    engine: Engine
    sent_at: float
    threads: float
    memory_grant_mb: float
    last_progress_at: float
    gossip_number: int | None = None
    outcome: Outcome | None = None
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class GossipExpiry:
    """Subject of a timer: peers no longer count what they were told of the attempt."""

    attempt: Attempt


class Request:
    """One request of a client.

    Attributes:
        id, class_index, class_settings, ordering_key, table_group: as it arrived.
        arrived_at: in seconds.
        expires_at: when its client gives up or its class's deadline passes.
        estimated_cost: client's estimate; 1 where there is none.
        estimated_memory_mb: client's estimate; 0: none.
        deadline: by which it is scheduled.
        probing_until: it stays queued until then, while engines answer load probes.
        attempts: in the order of dispatch.
        in_flight_count: attempts without an outcome.
        previous_attempt_count: attempts from before it arrived here.
        is_ended: it has had its final answer, or its client has gone.
        is_streaming: bytes of a result have gone to the client.
        was_restarted: a run was cancelled for being far slower than expected.
        is_over_quota: its tenant exceeds its rate limit.
        failed_engines: ids of engines that failed it.
    """

    def __init__(
        self, event: api.Arrival, class_index: int, class_settings: api.ClassSettings, now: float
    ) -> None:
        self.id = event.request
        self.class_index = class_index
        self.class_settings = class_settings
        self.ordering_key = event.ordering_key
        self.arrived_at = now
        self.expires_at = now + clamp(event.timeout, 0.0, class_settings.deadline or NO_DEADLINE)
        self.estimated_cost = clamp(event.estimated_cost) or 1.0
        self.estimated_memory_mb = clamp(event.estimated_memory_mb)
        self.table_group = event.table_group
        self.deadline = self.expires_at
        self.probing_until = -math.inf
        self.attempts: list[Attempt] = []
        self.in_flight_count = 0
        self.previous_attempt_count = 0
        self.is_ended = False
        self.is_streaming = False
        self.was_restarted = False
        self.is_over_quota = False
        self.failed_engines: list[bytes] = []

    def first_possible_execution(self) -> Attempt | None:
        """Return the earliest attempt that may have run; None while it is certain that none did."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)

    def add_previous_attempt(
        self, previous: api.PreviousAttempt, machine_types: tuple[api.MachineType, ...]
    ) -> None:
        """Add an attempt from before the request arrived here, which may have run."""
        machine_type = machine_types[min(previous.machine_type, len(machine_types) - 1)]
        entry = api.EngineEntry(
            previous.engine,
            api.EngineState.REMOVED,
            zone=previous.zone,
            machine_type=previous.machine_type,
            cell=previous.cell,
        )
        self.previous_attempt_count = 1
        attempt = Attempt(
            request=self,
            index=-1,
            engine=Engine(entry, machine_type),
            sent_at=previous.sent_at,
            threads=0.0,
            memory_grant_mb=0.0,
            last_progress_at=previous.sent_at,
            outcome=Outcome.CANCELLED,
        )
        self.attempts.append(attempt)
