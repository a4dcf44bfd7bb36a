"""Collects the records of a gateway's current state."""

from __future__ import annotations

import math

from .. import interface as api
from ..policy import Gateway
from . import export, records
from .ledger import IdempotencyLedger
from .restore import StateRestorer
from .validation import LogDeviation

LAST_LISTED_RESOLUTION = 60.0  # seconds
MIN_TIME = 1e-6  # seconds


class RecordCollector:
    """Exports a gateway's state, and what the gateway itself doesn't keep.

    Args:
        settings: of the gateway.
        ledger: of its idempotency keys.
    """

    def __init__(self, settings: api.Settings, ledger: IdempotencyLedger) -> None:
        self._settings = settings
        self._ledger = ledger
        self._log_deviations = [LogDeviation() for _ in settings.classes]
        self._collected_answer_counts: dict[str, int] = {}  # by settings digest

    def record_answer(self, class_index: int, cost: float, elapsed: float, work: float) -> None:
        """Add one answer to the log deviation of its class."""
        measured = work if work > 0.0 else elapsed
        self._log_deviations[class_index].add(math.log(max(MIN_TIME, measured) / (cost or 1.0)))

    def reset_classes(self) -> None:
        """Collect the records of all classes next time, changed or not."""
        self._collected_answer_counts.clear()

    def collect(
        self, gateway: Gateway, restorer: StateRestorer | None, with_unchanged_classes: bool = False
    ) -> dict[bytes, records.Record | None]:
        """Return the records that may have changed since the last call, by key; None for those to be removed.

        Args:
            gateway: whose state to export.
            restorer: of what an earlier run left, if anything.
            with_unchanged_classes: also return classes without an answer since the last call.
        """
        found: dict[bytes, records.Record | None] = {}
        found |= self._class_records(gateway, restorer, with_unchanged_classes)
        found |= self._engine_records(gateway, restorer)
        found[records.RETRY_BUDGET] = export.retry_budget_record(gateway)
        found[records.FLEET] = export.fleet_record(gateway)
        found[records.PEER_LOAD] = export.peer_load_record(gateway)
        for ordering_key, ordering in export.ordering_records(gateway).items():
            found[records.ORDERING + ordering_key] = ordering
        for identity in self._ledger.changed:
            found[records.IDEMPOTENCY + identity] = self._ledger.get(identity)
        self._ledger.changed.clear()
        return found

    def write_ahead_record(self, gateway: Gateway, key: bytes) -> records.Record | None:
        """Return the record that must be durable before an attempt leaves."""
        kind = records.kind_of(key)
        identity = records.identity_of(key)
        if kind == records.IDEMPOTENCY:
            return self._ledger.get(identity)
        if kind == records.ORDERING:
            return records.OrderingRecord(True, 0.0)
        if kind == records.ENGINE:
            return export.engine_record(
                gateway, gateway.engine_registry.engines[identity], _last_listed_at(gateway)
            )
        return export.retry_budget_record(gateway)

    def _class_records(
        self, gateway: Gateway, restorer: StateRestorer | None, with_unchanged: bool
    ) -> dict[bytes, records.ClassRecord]:
        restored_samples = restorer.sample_sizes if restorer is not None else {}
        found = {}
        for name, record in export.class_records(
            gateway, restored_samples, self._deviations(restorer)
        ).items():
            digest = record.settings_digest
            if with_unchanged or self._collected_answer_counts.get(digest) != record.answer_count:
                self._collected_answer_counts[digest] = record.answer_count
                found[records.CLASS + name] = record
        return found

    @staticmethod
    def _engine_records(
        gateway: Gateway, restorer: StateRestorer | None
    ) -> dict[bytes, records.EngineRecord]:
        found = {}
        last_listed_at = _last_listed_at(gateway)
        for engine in gateway.engine_registry.engines.values():
            if engine.state is not api.EngineState.REMOVED:
                found[records.ENGINE + engine.id] = export.engine_record(gateway, engine, last_listed_at)
        if restorer is not None:
            for identity, record in restorer.unlisted_engines().items():
                found[records.ENGINE + identity] = record
        return found

    def _deviations(self, restorer: StateRestorer | None) -> list[float]:
        """Return the log deviation of each class; the restored one until enough is known."""
        found = []
        for class_settings, tracker in zip(self._settings.classes, self._log_deviations, strict=True):
            restored = restorer.class_record(class_settings.name) if restorer is not None else None
            default = restored.log_deviation if restored is not None else 0.0
            found.append(tracker.deviation or default)
        return found


def _last_listed_at(gateway: Gateway) -> float:
    """Return now, rounded down so that engine records don't change all the time."""
    return math.floor(gateway.step_context.now / LAST_LISTED_RESOLUTION) * LAST_LISTED_RESOLUTION
