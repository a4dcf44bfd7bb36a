"""Kept times onto the clock of the run that reads them, each on the side that keeps the rules.

Done once, for all entries, and what comes of it is written back in one commit with the new run's first sign
of life: so a folder never holds times of two clocks, however soon the new run dies.
"""

from __future__ import annotations

from msgspec.structs import replace

from . import records as k
from .clock import Gap


class Rebase:
    """By the gap between the last sign of the run before and now."""

    def __init__(self, gap: Gap) -> None:
        self._shift = gap.shift
        self._slack = gap.most - (gap.least if gap.same_boot else 0.0)

    def late(self, time: float) -> float:
        """The latest that it may have been on this clock."""
        return time + self._shift if time > k.NEVER / 2.0 else k.NEVER

    def early(self, time: float) -> float:
        """The earliest; never, where nothing bounds it."""
        return max(k.NEVER, self.late(time) - self._slack)

    def __call__(self, value: k.Record) -> k.Record:
        late, early = self.late, self.early
        if isinstance(value, k.ClassRecord):
            return replace(value, at=early(value.at))
        if isinstance(value, k.EngineRecord):
            return replace(
                value,
                started=late(value.started) if value.started > 0.0 else 0.0,
                reborn_at=late(value.reborn_at),  # colder than it may be
                broke_at=late(value.broke_at),
                judged=early(value.judged),
                full=early(value.full),
                reported_at=early(value.reported_at),
                lately_at=early(value.lately_at),
                seen=early(value.seen),
                sent=[(late(at), work) for at, work in value.sent],  # rule 4
            )
        if isinstance(
            value, k.RetryBudgetRecord
        ):  # rule 7: arrivals allow further attempts, attempts use them up
            taken = [(early(at), count) for at, count in value.taken]
            return k.RetryBudgetRecord([late(at) for at in value.extras], taken)
        if isinstance(value, k.IdempotencyRecord):  # rule 2: the key's window ends rather too early
            return replace(value, at=early(value.at), until=late(value.until))
        if isinstance(value, k.OrderingRecord):  # rule 5
            return replace(value, until=late(value.until))
        if isinstance(value, k.FleetRecord):
            at, lately_at, born = early(value.at), early(value.lately_at), late(value.born)
            return replace(value, at=at, lately_at=lately_at, born=born)
        if isinstance(value, k.PeerLoadRecord):
            return k.PeerLoadRecord([(s, n, early(until), *rest) for s, n, until, *rest in value.entries])  # type: ignore[misc]
        return value
