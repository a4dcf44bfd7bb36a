"""Records the events seen outside the dispatchers on one clock, in the form that `lab.audit` reads."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .shape import PlannedRequest


@dataclass(slots=True)
class Record:
    """The recorded events, and the planned requests and attempts by request id.

    Attributes:
        planned_requests: The requests that clients have sent, by id.
        events: The events in the order of their time.
        attempt_counts: The number of attempts that reached a node, by request id.
        executed_keys: The execution time of each request with an idempotency key, by that key.
        clock: The clock of all events in seconds.
        start_time: The time on the clock at which the run started.
    """

    planned_requests: dict[str, PlannedRequest] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    attempt_counts: Counter[str] = field(default_factory=Counter)
    executed_keys: dict[bytes, float] = field(default_factory=dict)
    clock: Callable[[], float] = time.monotonic
    start_time: float = 0.0

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return self.clock() - self.start_time

    def add(self, kind: str, **fields: Any) -> None:
        """Adds an event of this kind at the current time."""
        self.events.append({"at": self.now(), "kind": kind} | fields)

    def add_attempt(self, request_id: str, engine: str, incarnation: int) -> dict[str, Any]:
        """Records that an attempt has reached a node and returns the fields that identify it in events."""
        number, request = self.attempt_counts[request_id], self.planned_requests.get(request_id)
        self.attempt_counts[request_id] += 1
        event_fields = {
            "engine": engine,
            "incarnation": incarnation,
            "gateway": f"d{request.dispatcher}" if request else "",
            "request": request_id,
            "attempt": str(number),
            "query": request_id,
            "key": request.key if request else "",
            "work": request.work if request else 0.0,
        }
        self.add("sent", **event_fields)
        return event_fields
