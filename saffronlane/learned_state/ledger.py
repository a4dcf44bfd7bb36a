"""The idempotency ledger: requests with an idempotency key for which an attempt may have run.

A client repeats a request after it lost the connection to its gateway or the response. The repeat is handled
as a new request with an earlier attempt of unknown outcome, so the rules of retry safety apply to it.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .. import interface as api
from . import confidence
from .records import IdempotencyRecord

MAX_ENTRIES = 100_000  # requests; beyond it, those that expire first are dropped


@dataclass(slots=True, eq=False)
class _LedgerEntry:
    """The attempts of one idempotency key.

    Attributes:
        record: The first attempt that may have run.
        never_ran: Whether none of the ended attempts ran; attempts in flight are not considered.
        in_flight: Number of attempts in flight.
    """

    record: IdempotencyRecord
    never_ran: bool = False
    in_flight: int = 0


class IdempotencyLedger:
    """Requests by idempotency key, bounded in time and in number.

    Attributes:
        changed_keys: Idempotency keys whose records are to be written, in order of their changes.
    """

    def __init__(self) -> None:
        self._entries: dict[bytes, _LedgerEntry] = {}
        self._expirations: list[tuple[float, bytes]] = []  # heap
        self.changed_keys: dict[bytes, None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, idempotency_key: bytes) -> IdempotencyRecord | None:
        """Return the record of an idempotency key, or None."""
        entry = self._entries.get(idempotency_key)
        return entry.record if entry is not None else None

    def idempotency_keys(self) -> list[bytes]:
        """Return all idempotency keys."""
        return list(self._entries)

    def restore(self, idempotency_key: bytes, record: IdempotencyRecord) -> None:
        """Add a record of an earlier run, with times on this run's clock."""
        self.changed_keys[idempotency_key] = None
        entry = self._entries.get(idempotency_key)
        if entry is None:
            self._add(idempotency_key, _LedgerEntry(record))
            return
        # This gateway has already recorded an attempt with the same key. The earlier of the two is retained.
        entry.never_ran = False
        if record.attempted_at < entry.record.attempted_at:
            entry.record = record

    def previous_attempt(self, idempotency_key: bytes, now: float) -> api.PreviousAttempt | None:
        """Return the attempt of an earlier request with this key that may have run, or None."""
        self.expire(now)
        record = self.get(idempotency_key)
        if record is None:
            return None
        return api.PreviousAttempt(
            record.engine, record.attempted_at, record.zone, record.machine_type, record.cell
        )

    def record_attempt(
        self, idempotency_key: bytes, class_settings: api.ClassSettings, now: float, endpoint: api.EngineEntry
    ) -> None:
        """Record an attempt that is dispatched now. An existing record of the key is retained."""
        entry = self._entries.get(idempotency_key)
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
            self._add(idempotency_key, entry)
            self.changed_keys[idempotency_key] = None
            while len(self._entries) > MAX_ENTRIES:
                self._expire_first()
        entry.in_flight += 1

    def record_attempt_end(self, idempotency_key: bytes, never_ran: bool) -> None:
        """Record the end of an attempt. Drops a request once all its attempts ended and none of them ran."""
        entry = self._entries.get(idempotency_key)
        if entry is None:
            return
        entry.in_flight -= 1
        entry.never_ran = entry.never_ran and never_ran
        if entry.never_ran and entry.in_flight <= 0:
            self._drop(idempotency_key)

    def expire(self, now: float) -> None:
        """Drop the requests that clients no longer repeat."""
        while self._expirations and self._expirations[0][0] <= now:
            self._expire_first()

    def _add(self, idempotency_key: bytes, entry: _LedgerEntry) -> None:
        self._entries[idempotency_key] = entry
        heapq.heappush(self._expirations, (entry.record.expires_at, idempotency_key))

    def _expire_first(self) -> None:
        expires_at, idempotency_key = heapq.heappop(self._expirations)
        record = self.get(idempotency_key)
        if record is not None and record.expires_at <= expires_at:
            self._drop(idempotency_key)

    def _drop(self, idempotency_key: bytes) -> None:
        del self._entries[idempotency_key]
        self.changed_keys[idempotency_key] = None
