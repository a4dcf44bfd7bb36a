"""The idempotency ledger: requests with a key of which an attempt may have run.

A client repeats a request after it lost its gateway, or only the answer. The repeat is a new request with an
earlier attempt whose outcome is open, and retry safety holds for it as for any other.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .. import interface as api
from . import confidence
from .records import IdempotencyRecord

MAX_ENTRIES = 100_000  # requests; past it those that expire first are dropped


@dataclass(slots=True, eq=False)
class _LedgerEntry:
    """One request.

    Attributes:
        record: the first attempt that may have run.
        never_ran: none of the attempts that have ended ran; those in flight are open.
        in_flight: attempts without an end so far.
    """

    record: IdempotencyRecord
    never_ran: bool = False
    in_flight: int = 0


class IdempotencyLedger:
    """Requests by idempotency key, bounded in time and in number.

    Attributes:
        changed: identities whose records are to be written, in order.
    """

    def __init__(self) -> None:
        self._entries: dict[bytes, _LedgerEntry] = {}
        self._expirations: list[tuple[float, bytes]] = []  # heap
        self.changed: dict[bytes, None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, identity: bytes) -> IdempotencyRecord | None:
        """Return the record of a request, or None."""
        entry = self._entries.get(identity)
        return entry.record if entry is not None else None

    def identities(self) -> list[bytes]:
        """Return the identities of all requests."""
        return list(self._entries)

    def restore(self, identity: bytes, record: IdempotencyRecord) -> None:
        """Add a record of an earlier run, with times of this run's clock."""
        self.changed[identity] = None
        entry = self._entries.get(identity)
        if entry is None:
            self._add(identity, _LedgerEntry(record))
            return
        # A repeat has come here since: the earlier of the two attempts counts.
        entry.never_ran = False
        if record.attempted_at < entry.record.attempted_at:
            entry.record = record

    def previous_attempt(self, identity: bytes, now: float) -> api.PreviousAttempt | None:
        """Return the attempt of an earlier request with this key that may have run, or None."""
        self.expire(now)
        record = self.get(identity)
        if record is None:
            return None
        return api.PreviousAttempt(
            record.engine, record.attempted_at, record.zone, record.machine_type, record.cell
        )

    def record_attempt(
        self, identity: bytes, class_settings: api.ClassSettings, now: float, endpoint: api.EngineEntry
    ) -> None:
        """Record an attempt that leaves now. The first that may have run is the one that counts."""
        entry = self._entries.get(identity)
        if entry is None:
            retry_time = confidence.CLIENT_RETRY_DEADLINES * class_settings.deadline
            record = IdempotencyRecord(
                query_class=class_settings.name,
                attempted_at=now,
                engine=endpoint.engine,
                zone=endpoint.zone,
                machine_type=endpoint.machine_type,
                cell=endpoint.cell,
                expires_at=now + class_settings.idempotency_ttl + retry_time,
            )
            entry = _LedgerEntry(record, never_ran=True)
            self._add(identity, entry)
            self.changed[identity] = None
            while len(self._entries) > MAX_ENTRIES:
                self._expire_first()
        entry.in_flight += 1

    def record_attempt_end(self, identity: bytes, never_ran: bool) -> None:
        """Record the end of an attempt. A request of which certainly none ran is dropped."""
        entry = self._entries.get(identity)
        if entry is None:
            return
        entry.in_flight -= 1
        entry.never_ran = entry.never_ran and never_ran
        if entry.never_ran and entry.in_flight <= 0:
            self._drop(identity)

    def expire(self, now: float) -> None:
        """Drop the requests that no client repeats any more."""
        while self._expirations and self._expirations[0][0] <= now:
            self._expire_first()

    def _add(self, identity: bytes, entry: _LedgerEntry) -> None:
        self._entries[identity] = entry
        heapq.heappush(self._expirations, (entry.record.expires_at, identity))

    def _expire_first(self) -> None:
        expires_at, identity = heapq.heappop(self._expirations)
        record = self.get(identity)
        if record is not None and record.expires_at <= expires_at:
            self._drop(identity)

    def _drop(self, identity: bytes) -> None:
        del self._entries[identity]
        self.changed[identity] = None
