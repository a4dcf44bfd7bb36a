"""Requests known by a key, of which an attempt may have run: what a client's repeat of one may still do.

A client repeats a request after it lost its gateway, or only its answer. To the rules the repeat is a new
request with an earlier attempt whose outcome is open, and so rule 2 holds for it as for any other.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .. import interface as api
from . import confidence as weigh
from .records import IdempotencyRecord

MOST = 100_000  # requests remembered; past it those that would be forgotten first are


@dataclass(slots=True, eq=False)
class _Line:
    kept: IdempotencyRecord
    certain: bool = False  # that none of its attempts ran so far; `out` ones are open
    out: int = 0


class Ledger:
    """In order of time to be forgotten; bounded in time and in number."""

    def __init__(self) -> None:
        self._lines: dict[bytes, _Line] = {}
        self._ends: list[tuple[float, bytes]] = []  # heap
        self.changed: dict[bytes, None] = {}  # identities to be written, in order

    def __len__(self) -> int:
        return len(self._lines)

    def get(self, identity: bytes) -> IdempotencyRecord | None:
        line = self._lines.get(identity)
        return line.kept if line is not None else None

    def identities(self) -> list[bytes]:
        return list(self._lines)

    def recall(self, identity: bytes, kept: IdempotencyRecord) -> None:
        """Take an entry of an earlier run in, as of this run's clock."""
        self.changed[identity] = None
        line = self._lines.get(identity)
        if line is not None:  # asked here too since: the earlier attempt is the one that counts
            line.kept, line.certain = (kept if kept.at < line.kept.at else line.kept), False
            return
        self._lines[identity] = _Line(kept)
        heapq.heappush(self._ends, (kept.until, identity))

    def earlier(self, identity: bytes, now: float) -> api.PreviousAttempt | None:
        """The attempt that a repeat must reckon with; None: there was none that may have run."""
        self.forget_until(now)
        line = self._lines.get(identity)
        if line is None:
            return None
        kept = line.kept
        return api.PreviousAttempt(kept.engine, kept.at, kept.zone, kept.kind, kept.cell)

    def sent(self, identity: bytes, cls: api.ClassSettings, now: float, entry: api.EngineEntry) -> None:
        """An attempt leaves now. The first that may have run is the one that counts."""
        line = self._lines.get(identity)
        if line is None:
            until = now + cls.idempotency_ttl + weigh.REPEATS * cls.deadline
            kept = IdempotencyRecord(
                cls.name, now, entry.engine, entry.zone, entry.machine_type, entry.cell, until
            )
            line = self._lines[identity] = _Line(kept, certain=True)
            heapq.heappush(self._ends, (until, identity))
            self.changed[identity] = None
            while len(self._lines) > MOST:
                self._forget_first()
        line.out += 1

    def ended(self, identity: bytes, never_ran: bool) -> None:
        """The end of an attempt. One that certainly never ran leaves no trace."""
        line = self._lines.get(identity)
        if line is None:
            return
        line.out -= 1
        line.certain = line.certain and never_ran
        if line.certain and line.out <= 0:
            self._drop(identity)

    def forget_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            self._forget_first()

    def _forget_first(self) -> None:
        until, identity = heapq.heappop(self._ends)
        line = self._lines.get(identity)
        if line is not None and line.kept.until <= until:
            self._drop(identity)

    def _drop(self, identity: bytes) -> None:
        del self._lines[identity]
        self.changed[identity] = None
