"""Conversion of persisted times to the clock of the run that reads them.

If the gap is not exact, each time is rounded in the direction that preserves the guarantees. All records are
converted together and written back in one commit with the new run's first heartbeat, so a directory never
contains times of two clocks.
"""

from __future__ import annotations

from msgspec.structs import replace

from . import records
from .clock import Gap


class Rebase:
    """Converts the times in records of an earlier run to this run's clock.

    Args:
        gap: Time between the last heartbeat of the earlier run and now.
    """

    def __init__(self, gap: Gap) -> None:
        self._offset = gap.clock_offset
        self._uncertainty = gap.max_seconds - (gap.min_seconds if gap.is_same_boot else 0.0)

    def latest_time(self, time: float) -> float:
        """Return the latest time on this run's clock that a persisted time may stand for."""
        return time + self._offset if time > records.NEVER / 2.0 else records.NEVER

    def earliest_time(self, time: float) -> float:
        """Return the earliest time on this run's clock that a persisted time may stand for, or NEVER."""
        return max(records.NEVER, self.latest_time(time) - self._uncertainty)

    def __call__(self, record: records.Record) -> records.Record:
        """Return the record with its times on this run's clock."""
        match record:
            case records.ClassRecord():
                return replace(record, updated_at=self.earliest_time(record.updated_at))
            case records.EngineRecord():
                return self._rebase_engine(record)
            case records.RetryBudgetRecord():
                return self._rebase_retry_budget(record)
            case records.IdempotencyRecord():
                return replace(
                    record,
                    attempted_at=self.earliest_time(record.attempted_at),
                    expires_at=self.latest_time(record.expires_at),
                )
            case records.OrderingRecord():
                return replace(record, cooldown_until=self.latest_time(record.cooldown_until))
            case records.FleetRecord():
                return replace(
                    record,
                    updated_at=self.earliest_time(record.updated_at),
                    recent_work_updated_at=self.earliest_time(record.recent_work_updated_at),
                    dispatches_known_since=self.latest_time(record.dispatches_known_since),
                )
            case records.PeerLoadRecord():
                return records.PeerLoadRecord(
                    [
                        entry._replace(expires_at=self.earliest_time(entry.expires_at))
                        for entry in record.entries
                    ]
                )
            case _:
                return record

    def _rebase_engine(self, record: records.EngineRecord) -> records.EngineRecord:
        """Convert an engine's record.

        Restarts and dispatches are dated as late as possible, so that slow start can only last longer.
        """
        return replace(
            record,
            started_at=self.latest_time(record.started_at) if record.started_at > 0.0 else 0.0,
            inferred_restart_at=self.latest_time(record.inferred_restart_at),
            connection_lost_at=self.latest_time(record.connection_lost_at),
            last_outcome_at=self.earliest_time(record.last_outcome_at),
            last_rejection_at=self.earliest_time(record.last_rejection_at),
            reported_at=self.earliest_time(record.reported_at),
            recent_work_updated_at=self.earliest_time(record.recent_work_updated_at),
            last_listed_at=self.earliest_time(record.last_listed_at),
            recent_dispatches=[(self.latest_time(time), work) for time, work in record.recent_dispatches],
        )

    def _rebase_retry_budget(self, record: records.RetryBudgetRecord) -> records.RetryBudgetRecord:
        """Convert the retry budget's record so that the budget never grows.

        Arrivals add to the budget and are dated as early as possible, so that they leave the sliding window
        sooner. Retries consume the budget and are dated as late as possible.
        """
        return records.RetryBudgetRecord(
            retries=[self.latest_time(time) for time in record.retries],
            arrival_bins=[(self.earliest_time(start), count) for start, count in record.arrival_bins],
        )
