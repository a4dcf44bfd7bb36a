"""Collects the records of a gateway's current state."""

from __future__ import annotations

import math

from .. import interface as api
from ..policy import Gateway
from . import export, records
from .ledger import IdempotencyLedger
from .restore import StateRestorer
from .validation import LogDeviation

LAST_LISTED_RESOLUTION = 60.0  # seconds to which `last_listed_at` is rounded
MIN_TIME = 1e-6  # seconds


class RecordCollector:
    """Collects the records of a gateway's state and of its ledger.

    It also measures the log deviation of each class's answers, which the gateway itself does not track.

    Args:
        settings: The gateway's settings.
        ledger: The gateway's idempotency ledger.
    """

    def __init__(self, settings: api.Settings, ledger: IdempotencyLedger) -> None:
        self._settings = settings
        self._ledger = ledger
        self._log_deviations = [LogDeviation() for _ in settings.classes]
        self._collected_answer_counts: dict[str, int] = {}  # answer counts by settings digest

    def record_answer(self, class_index: int, cost: float, elapsed: float, work: float) -> None:
        """Add one answer to the log deviation of its class. Arguments as in `Checkpointer.record_answer`."""
        measured = work if work > 0.0 else elapsed
        self._log_deviations[class_index].add(math.log(max(MIN_TIME, measured) / (cost or 1.0)))

    def reset_classes(self) -> None:
        """Make the next call of `collect` return the records of all classes, changed or not."""
        self._collected_answer_counts.clear()

    def collect(
        self, gateway: Gateway, restorer: StateRestorer | None, with_unchanged_classes: bool = False
    ) -> dict[bytes, records.Record | None]:
        """Return the records that may have changed since the last call, by key; None marks one for removal.

        Args:
            gateway: The gateway whose state is exported.
            restorer: The restorer of an earlier run's state, or None.
            with_unchanged_classes: Whether to include classes without an answer since the last call.
        """
        changed_records: dict[bytes, records.Record | None] = {}
        changed_records |= self._class_records(gateway, restorer, with_unchanged_classes)
        changed_records |= self._engine_records(gateway, restorer)
        changed_records[records.RETRY_BUDGET] = export.retry_budget_record(gateway)
        changed_records[records.FLEET] = export.fleet_record(gateway)
        changed_records[records.PEER_LOAD] = export.peer_load_record(gateway)
        for ordering_key, ordering in export.ordering_records(gateway).items():
            changed_records[records.ORDERING + ordering_key] = ordering
        for idempotency_key in self._ledger.changed_keys:
            changed_records[records.IDEMPOTENCY + idempotency_key] = self._ledger.get(idempotency_key)
        self._ledger.changed_keys.clear()
        return changed_records

    def write_ahead_record(self, gateway: Gateway, key: bytes) -> records.Record | None:
        """Return the current record of a key that must be durable before an attempt is dispatched."""
        kind = records.kind_of(key)
        suffix = records.key_suffix(key)
        if kind == records.IDEMPOTENCY:
            return self._ledger.get(suffix)
        if kind == records.ORDERING:
            return records.OrderingRecord(True, 0.0)
        if kind == records.ENGINE:
            return export.engine_record(
                gateway, gateway.engine_registry.engines[suffix], _last_listed_at(gateway)
            )
        return export.retry_budget_record(gateway)

    def _class_records(
        self, gateway: Gateway, restorer: StateRestorer | None, with_unchanged: bool
    ) -> dict[bytes, records.ClassRecord]:
        restored_samples = restorer.restored_samples if restorer is not None else {}
        class_records = {}
        for name, record in export.class_records(
            gateway, restored_samples, self._deviations(restorer)
        ).items():
            digest = record.settings_digest
            if with_unchanged or self._collected_answer_counts.get(digest) != record.answer_count:
                self._collected_answer_counts[digest] = record.answer_count
                class_records[records.CLASS + name] = record
        return class_records

    @staticmethod
    def _engine_records(
        gateway: Gateway, restorer: StateRestorer | None
    ) -> dict[bytes, records.EngineRecord]:
        engine_records = {}
        last_listed_at = _last_listed_at(gateway)
        for engine in gateway.engine_registry.engines.values():
            if engine.state is not api.EngineState.REMOVED:
                engine_records[records.ENGINE + engine.id] = export.engine_record(
                    gateway, engine, last_listed_at
                )
        if restorer is not None:
            for engine_id, record in restorer.unlisted_engines().items():
                engine_records[records.ENGINE + engine_id] = record
        return engine_records

    def _deviations(self, restorer: StateRestorer | None) -> list[float]:
        """Return the measured log deviation of each class, or the restored one after too few answers."""
        deviations = []
        for class_settings, tracker in zip(self._settings.classes, self._log_deviations, strict=True):
            record = restorer.class_record(class_settings.name) if restorer is not None else None
            default = record.log_deviation if record is not None else 0.0
            deviations.append(tracker.deviation or default)
        return deviations


def _last_listed_at(gateway: Gateway) -> float:
    """Return the current time, rounded down so that engine records do not change at each checkpoint."""
    return math.floor(gateway.step_context.now / LAST_LISTED_RESOLUTION) * LAST_LISTED_RESOLUTION
