"""The content of a state directory, decoded, on this run's clock, and assessed as a whole."""

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
    """The entries of a directory and the time of the start that reads them."""

    entries: tuple[tuple[bytes, Entry], ...]
    now: Timestamp


@dataclass(slots=True)
class RestoreSummary:
    """What was restored from a directory, for logs and `saffronlane knowledge check`.

    Attributes:
        age: seconds since the last heartbeat of the run before.
        has_complete_ledgers: the ledgers show every dispatch of the run before.
        classes: by name, the answers that each counts as.
        notes: lines for the log on what was left out, and why.
    """

    age: float = math.inf
    has_complete_ledgers: bool = False
    classes: dict[str, float] = field(default_factory=dict)
    engines: int = 0
    requests: int = 0
    orders: int = 0
    notes: list[str] = field(default_factory=list)


class RestoredRecords:
    """The records of a directory, by kind, with times of this run's clock.

    Args:
        settings: of the gateway that reads them.
        state: the content of the directory.

    Attributes:
        rebased_records: all records by key.
        newer_version_keys: keys that a later version of the program wrote.
        confidence: how much the directory as a whole counts.
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
        decoded = self._decode(state)
        run = decoded.pop(records.RUN, None)
        self.gap = UNKNOWN_GAP
        self.confidence = confidence.assess_directory(self.gap, clean=False, same_position=False)
        if isinstance(run, records.RunRecord):
            self._assess(settings, run, state.now)
        rebase = Rebase(self.gap)
        self.rebased_records = {key: rebase(record) for key, record in decoded.items()}
        for key, record in self.rebased_records.items():
            self._add(key, record)

    def age(self, time: float) -> float:
        """Return the longest time that may have passed since; infinite for NEVER."""
        return max(0.0, self.now - time) if time > records.NEVER / 2.0 else math.inf

    def past_time(self, time: float) -> float:
        """Return a time in the gateway's form: at most now, and minus infinity for NEVER."""
        return min(self.now, time) if time > records.NEVER / 2.0 else -math.inf

    def _decode(self, state: PersistedState) -> dict[bytes, records.Record]:
        decoded: dict[bytes, records.Record] = {}
        for key, record in records.decode_all(state.entries):
            if not isinstance(record, UnreadableRecordError):
                decoded[key] = record
                continue
            self.summary.notes.append(str(record))
            if isinstance(record, NewerVersionError):
                self.newer_version_keys |= {key}
        return decoded

    def _add(self, key: bytes, record: records.Record) -> None:
        identity = records.identity_of(key)
        match record:
            case records.ClassRecord():
                self.classes[identity.decode("utf-8", "replace")] = record
            case records.EngineRecord():
                self.engines[identity] = record
            case records.IdempotencyRecord():
                self.idempotency[identity] = record
            case records.OrderingRecord():
                self.ordering[int.from_bytes(identity, "big")] = record
            case records.RetryBudgetRecord():
                self.retry_budget = record
            case records.FleetRecord():
                self.fleet = record
            case records.PeerLoadRecord():
                self.peer_load = record

    def _assess(self, settings: api.Settings, run: records.RunRecord, now: Timestamp) -> None:
        """Set gap and confidence by the last heartbeat, and note what speaks against the directory."""
        last = Timestamp(run.monotonic_s, run.wall_s, run.boot_id, run.directory_id)
        self.gap = gap_between(last, now)
        written_as = (run.gateway_index, run.gateway_count)
        is_same_position = written_as == (settings.gateway_index, settings.gateway_count)
        self.confidence = confidence.assess_directory(self.gap, run.ended_cleanly, is_same_position)
        self.summary.age = self.gap.max_seconds
        self.summary.has_complete_ledgers = self.confidence.has_complete_ledgers
        notes = self.summary.notes
        if not self.gap.is_same_directory:
            notes.append("the folder was copied or restored, or is of another place")
        if not is_same_position:
            notes.append(
                f"written as gateway {run.gateway_index} of {run.gateway_count}, "
                f"read as {settings.gateway_index} of {settings.gateway_count}"
            )
        if not self.gap.max_seconds < math.inf:
            notes.append("the clock stands before the last entry: ages are not known")
