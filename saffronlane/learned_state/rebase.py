"""Conversion of persisted times to the clock of the run that reads them.

Where the gap is not exact, each time is rounded to the side that keeps the guarantees. All records are
converted at once and written back in one commit with the new run's first heartbeat, so a directory never
holds times of two clocks.
"""

from __future__ import annotations

from msgspec.structs import replace

from . import records
from .clock import Gap


class Rebase:
    """Converts records of an earlier run.

    Args:
        gap: between the last heartbeat of that run and now.
    """

    def __init__(self, gap: Gap) -> None:
        self._offset = gap.clock_offset
        self._uncertainty = gap.max_seconds - (gap.min_seconds if gap.is_same_boot else 0.0)

    def late(self, time: float) -> float:
        """Return the latest time that it may be on this run's clock."""
        return time + self._offset if time > records.NEVER / 2.0 else records.NEVER

    def early(self, time: float) -> float:
        """Return the earliest time that it may be on this run's clock; NEVER if nothing bounds it."""
        return max(records.NEVER, self.late(time) - self._uncertainty)

    def __call__(self, record: records.Record) -> records.Record:
        """Return the record with its times on this run's clock."""
        match record:
            case records.ClassRecord():
                return replace(record, updated_at=self.early(record.updated_at))
            case records.EngineRecord():
                return self._engine(record)
            case records.RetryBudgetRecord():
                return self._retry_budget(record)
            case records.IdempotencyRecord():
                return replace(
                    record,
                    attempted_at=self.early(record.attempted_at),
                    expires_at=self.late(record.expires_at),
                )
            case records.OrderingRecord():
                return replace(record, cooldown_until=self.late(record.cooldown_until))
            case records.FleetRecord():
                return replace(
                    record,
                    updated_at=self.early(record.updated_at),
                    recent_work_updated_at=self.early(record.recent_work_updated_at),
                    dispatches_known_since=self.late(record.dispatches_known_since),
                )
            case records.PeerLoadRecord():
                return records.PeerLoadRecord(
                    [entry._replace(expires_at=self.early(entry.expires_at)) for entry in record.entries]
                )
            case _:
                return record

    def _engine(self, record: records.EngineRecord) -> records.EngineRecord:
        """A late restart or dispatch makes slow start last longer, never shorter."""
        return replace(
            record,
            started_at=self.late(record.started_at) if record.started_at > 0.0 else 0.0,
            inferred_restart_at=self.late(record.inferred_restart_at),
            connection_lost_at=self.late(record.connection_lost_at),
            last_outcome_at=self.early(record.last_outcome_at),
            last_rejection_at=self.early(record.last_rejection_at),
            reported_at=self.early(record.reported_at),
            recent_work_updated_at=self.early(record.recent_work_updated_at),
            last_listed_at=self.early(record.last_listed_at),
            recent_dispatches=[(self.late(time), work) for time, work in record.recent_dispatches],
        )

    def _retry_budget(self, record: records.RetryBudgetRecord) -> records.RetryBudgetRecord:
        """Arrivals allow retries, so they leave the window early; retries use the budget up, so they stay."""
        return records.RetryBudgetRecord(
            retries=[self.late(time) for time in record.retries],
            arrival_bins=[(self.early(start), count) for start, count in record.arrival_bins],
        )
