"""The decoded content of a state directory, with times on this run's clock and its overall confidence."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .. import interface as api
from ..storage import Entry
from . import confidence, records
from .clock import UNKNOWN_GAP, Timestamp, gap_between
from .errors import NewerVersionError, UnreadableRecordError
from .rebase import Rebase


@dataclass(frozen=True, slots=True)
class PersistedState:
    """The entries of a state directory and the time at which a starting gateway read them."""

    entries: tuple[tuple[bytes, Entry], ...]
    now: Timestamp


@dataclass(slots=True)
class RestoreSummary:
    """What was restored from a state directory, for logs and `saffronlane knowledge check`.

    Attributes:
        age: Seconds since the last heartbeat of the previous run; infinite if unknown.
        has_complete_ledgers: Whether the ledgers contain every dispatch of the previous run.
        classes: Effective samples of each restored class, by class name.
        engines: Number of restored engines.
        idempotency_keys: Number of restored idempotency keys.
        ordering_keys: Number of restored ordering keys.
        notes: Log lines on what was not restored, or what limits confidence in it, and why.
    """

    age: float = math.inf
    has_complete_ledgers: bool = False
    classes: dict[str, float] = field(default_factory=dict)
    engines: int = 0
    idempotency_keys: int = 0
    ordering_keys: int = 0
    notes: list[str] = field(default_factory=list)


class RestoredRecords:
    """The records of a state directory, by kind, with times on this run's clock.

    Args:
        settings: Settings of the gateway that reads the records.
        state: The content of the directory.

    Attributes:
        now: Time of the start on this run's clock, in seconds.
        rebased_records: All records by key.
        newer_version_keys: Keys of records that a newer version of the program wrote.
        engines: Engine records by engine id.
        classes: Class records by class name.
        idempotency: Ledger records by idempotency key.
        ordering: Ordering records by ordering key.
        gap: Time since the last heartbeat of the previous run.
        confidence: How far the directory as a whole can be relied on.
    """

    def __init__(self, settings: api.Settings, state: PersistedState) -> None:
        self.now = state.now.monotonic_s
        self.summary = RestoreSummary()
        self.newer_version_keys: frozenset[bytes] = frozenset()
        self.engines: dict[bytes, records.EngineRecord] = {}
        self.classes: dict[str, records.ClassRecord] = {}
        self.idempotency: dict[bytes, records.IdempotencyRecord] = {}
        self.ordering: dict[int, records.OrderingRecord] = {}
        self.retry_budget: records.RetryBudgetRecord | None = None
        self.fleet: records.FleetRecord | None = None
        self.peer_load: records.PeerLoadRecord | None = None
        decoded_records = self._decode(state)
        run = decoded_records.pop(records.RUN, None)
        self.gap = UNKNOWN_GAP
        self.confidence = confidence.assess_directory(self.gap, ended_cleanly=False, is_same_position=False)
        if isinstance(run, records.RunRecord):
            self._assess(settings, run, state.now)
        rebase = Rebase(self.gap)
        self.rebased_records = {key: rebase(record) for key, record in decoded_records.items()}
        for key, record in self.rebased_records.items():
            self._add(key, record)

    def age(self, time: float) -> float:
        """Return the maximum seconds that may have passed since a restored time; infinite for NEVER."""
        return max(0.0, self.now - time) if time > records.NEVER / 2.0 else math.inf

    def past_time(self, time: float) -> float:
        """Return a restored time as the gateway represents it: at most now, minus infinity for NEVER."""
        return min(self.now, time) if time > records.NEVER / 2.0 else -math.inf

    def _decode(self, state: PersistedState) -> dict[bytes, records.Record]:
        decoded_records: dict[bytes, records.Record] = {}
        for key, record in records.decode_all(state.entries):
            if not isinstance(record, UnreadableRecordError):
                decoded_records[key] = record
                continue
            self.summary.notes.append(str(record))
            if isinstance(record, NewerVersionError):
                self.newer_version_keys |= {key}
        return decoded_records

    def _add(self, key: bytes, record: records.Record) -> None:
        suffix = records.key_suffix(key)
        match record:
            case records.ClassRecord():
                self.classes[suffix.decode("utf-8", "replace")] = record
            case records.EngineRecord():
                self.engines[suffix] = record
            case records.IdempotencyRecord():
                self.idempotency[suffix] = record
            case records.OrderingRecord():
                self.ordering[int.from_bytes(suffix, "big")] = record
            case records.RetryBudgetRecord():
                self.retry_budget = record
            case records.FleetRecord():
                self.fleet = record
            case records.PeerLoadRecord():
                self.peer_load = record

    def _assess(self, settings: api.Settings, run: records.RunRecord, now: Timestamp) -> None:
        """Set gap and confidence from the last heartbeat, and add notes on what reduces the confidence."""
        last = Timestamp(run.monotonic_s, run.wall_s, run.boot_id, run.directory_id)
        self.gap = gap_between(last, now)
        previous_position = (run.gateway_index, run.gateway_count)
        is_same_position = previous_position == (settings.gateway_index, settings.gateway_count)
        self.confidence = confidence.assess_directory(self.gap, run.ended_cleanly, is_same_position)
        self.summary.age = self.gap.max_seconds
        self.summary.has_complete_ledgers = self.confidence.has_complete_ledgers
        notes = self.summary.notes
        if not self.gap.is_same_directory:
            notes.append(
                "the state directory was copied, restored from a backup, or moved to another file system"
            )
        if not is_same_position:
            notes.append(
                f"state was written by gateway {run.gateway_index} of {run.gateway_count} "
                f"and is read by gateway {settings.gateway_index} of {settings.gateway_count}"
            )
        if not self.gap.max_seconds < math.inf:
            notes.append(
                "record ages are unknown: the wall clock is before the last heartbeat or implausibly late"
            )
