"""What was seen outside the dispatchers: events on one clock, in the form that `lab.audit` reads."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .shape import Asking


@dataclass(slots=True)
class Record:
    """Events by time, and what is known of each request by its id."""

    askings: dict[str, Asking] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    attempts: Counter[str] = field(default_factory=Counter)
    keys: dict[bytes, float] = field(default_factory=dict)  # keyed requests that ran, by token
    clock: Callable[[], float] = time.monotonic
    began: float = 0.0  # on that clock

    def now(self) -> float:
        """Seconds since the play began."""
        return self.clock() - self.began

    def add(self, kind: str, **fields: Any) -> None:
        self.events.append({"at": self.now(), "kind": kind} | fields)

    def sent(self, rid: str, engine: str, incarnation: int) -> dict[str, Any]:
        """A request has reached a node; returns what names the attempt from now on."""
        number, asking = self.attempts[rid], self.askings.get(rid)
        self.attempts[rid] += 1
        named = {
            "engine": engine,
            "incarnation": incarnation,
            "gateway": f"d{asking.dispatcher}" if asking else "",
            "request": rid,
            "attempt": str(number),
            "query": rid,
            "key": asking.key if asking else "",
            "work": asking.work if asking else 0.0,
        }
        self.add("sent", **named)
        return named
