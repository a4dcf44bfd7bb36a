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
    """One dispatch of a request to an engine. It may outlive its request, since outcomes may arrive late.

    Attributes:
        request: The request that it belongs to.
        index: Index among the request's attempts, from 0; -1 for an attempt from before the arrival.
        engine: The engine to which it was sent.
        sent_at: Time of its dispatch in seconds.
        threads: Threads that it uses on the engine.
        memory_grant_mb: Memory granted to it; 0 lets the engine choose.
        last_progress_at: Time of its last progress report, or of its dispatch.
        gossip_number: Its number in gossip messages; None if it was not reported to the peers.
        outcome: Its outcome; None while it is in flight.
        is_cancelled: Whether the engine was asked to cancel it.
        progress_timer: Token of the timer that checks its progress.
        gossip_timer: Token of the timer that renews its report to the peers; 0 if it was not reported.
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
    progress_timer: int = 0
    gossip_timer: int = 0


@dataclass(frozen=True, slots=True)
class GossipExpiry:
    """Subject of a timer that fires when the peers' entry of the attempt expires."""

    attempt: Attempt


class Request:
    """One request of a client.

    Attributes:
        id: Number of the request in events and actions.
        class_index: Index of its class in the settings.
        class_settings: Settings of its class.
        ordering_key: Requests of an ordered class with the same key run one at a time; 0 if it has none.
        arrived_at: Time of its arrival in seconds.
        expires_at: Time of its client's timeout or its class's deadline, whichever is earlier.
        estimated_cost: The client's estimate of the work; 1 if there is none.
        estimated_memory_mb: The client's estimate of the memory; 0 if there is none.
        table_group: Number that identifies the group of tables that it uses.
        deadline: Deadline for scheduling by group EDF.
        probing_until: Time until which it stays queued to wait for the results of load probes.
        attempts: Its attempts in the order of dispatch.
        in_flight_count: Number of attempts without an outcome.
        previous_attempt_count: Number of attempts from before its arrival.
        is_ended: Whether it has received its final answer or its client has disconnected.
        is_streaming: Whether bytes of a result were sent to the client.
        was_restarted: Whether an attempt was cancelled because it was far slower than expected.
        is_over_rate_limit: Whether it exceeds the rate limit of its tenant.
        failed_engines: Ids of the engines on which an attempt failed or had to wait.
        expiry_timer: Token of the timer that ends it; 0 before it is queued.
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
        self.is_over_rate_limit = False
        self.failed_engines: list[bytes] = []
        self.expiry_timer = 0

    def first_possible_execution(self) -> Attempt | None:
        """Return the first attempt that may have been executed, or None if certainly none was."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)

    def client_gives_up_at(self) -> float:
        """Return the time until which its client may retry: it waits for one deadline over all its tries."""
        started_at = min([self.arrived_at, *(attempt.sent_at for attempt in self.attempts)])
        return max(self.expires_at, started_at + (self.class_settings.deadline or NO_DEADLINE))

    def add_previous_attempt(
        self, previous: api.PreviousAttempt, machine_types: tuple[api.MachineType, ...]
    ) -> None:
        """Add an attempt from before the request's arrival that may have been executed."""
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
