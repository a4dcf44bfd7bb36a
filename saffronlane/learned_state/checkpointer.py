"""Decides which learned state to write, and when. Does no I/O: it returns the changes to write.

Records that a guarantee depends on after a crash are written ahead: they are durable before the attempt is
dispatched, which delays that attempt by one fsync. All other records are written within CHECKPOINT_INTERVAL
and delay no attempt.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from .. import interface as api
from ..policy import Gateway
from ..storage import Change, Entry
from . import export, records
from .clock import Timestamp
from .ledger import IdempotencyLedger
from .persisted_state import PersistedState, RestoreSummary
from .purge import PurgeCategory, purge_gateway
from .record_collector import RecordCollector
from .restore import StateRestorer
from .validation import EstimateValidator
from .written_entries import WrittenEntries

CHECKPOINT_INTERVAL = 0.5  # seconds
DURABILITY_TIMEOUT = 0.25  # seconds that an attempt waits for a slow disk before it is dispatched anyway
IN_PROCESS_RESTART_ID = "here"  # boot id and directory id in a snapshot for the next gateway of this process


class Checkpointer:
    """Restores the learned state of one gateway and selects the changes to persist.

    Args:
        settings: The gateway's settings.
        state: The state that an earlier run persisted, or None.
        is_enabled: Whether changes are persisted. If not, state is only restored.

    Attributes:
        ledger: The idempotency ledger of this gateway.
        summary: Counts and ages of the restored state.
        validator: Tests restored estimates against the first answers.
    """

    def __init__(
        self, settings: api.Settings, state: PersistedState | None = None, is_enabled: bool = False
    ) -> None:
        self.settings = settings
        self.is_enabled = is_enabled
        self.ledger = IdempotencyLedger()
        self.summary = RestoreSummary()
        self.validator = EstimateValidator()
        self._restorer = StateRestorer(settings, state) if state is not None else None
        self._written_entries = WrittenEntries()
        if state is not None and is_enabled:
            self._written_entries = WrittenEntries.from_state(state)
        self._collector = RecordCollector(settings, self.ledger)
        self._protected_keys: frozenset[bytes] = frozenset()
        if self._restorer is not None:
            self._protected_keys = self._restorer.newer_version_keys
        self._next_checkpoint_at = -math.inf
        self._has_changes = False
        self._purged_keys: list[bytes] = []
        self._has_endpoint_list = False

    # --- start ---

    def begin(self, gateway: Gateway) -> None:
        """Restore the state that does not depend on the endpoint list, before the first event."""
        if self._restorer is not None:
            self.summary = self._restorer.summary
            self._restorer.restore_at_start(gateway, self.ledger)

    def before_endpoint_list(self, gateway: Gateway, entries: tuple[api.EngineEntry, ...]) -> None:
        """Restore class estimates before the gateway applies its first endpoint list."""
        if self._restorer is not None and not self._has_endpoint_list:
            self._restorer.restore_classes(gateway, entries)
            self._begin_validation(self._restorer)
        self._has_endpoint_list = True

    def after_endpoint_list(self, gateway: Gateway) -> None:
        """Restore the load reported by peers, which refers to engines of the endpoint list."""
        if self._restorer is not None:
            self._restorer.restore_peer_load(gateway)

    @property
    def restored_description(self) -> str:
        """A log line that describes the restored engines and classes; empty if there are none."""
        summary = self.summary
        if not (summary.classes or summary.engines):
            return ""
        classes = ", ".join(
            f"{name} ({samples:g} effective samples)" for name, samples in summary.classes.items()
        )
        return f"learned state restored: engines: {summary.engines}; classes: {classes or 'none'}"

    def attach(self, gateway: Gateway, state: PersistedState) -> list[Change]:
        """Restore from a directory that another process has just released, and begin to persist to it.

        Args:
            gateway: The running gateway to restore into.
            state: The content of the directory.

        Returns:
            The changes of the first commit.
        """
        restorer = StateRestorer(self.settings, state)
        self._restorer = restorer
        self.is_enabled = True
        self._protected_keys = restorer.newer_version_keys
        self.summary = restorer.summary
        self._written_entries = WrittenEntries.from_state(state)
        restorer.attach(gateway, self.ledger)
        self._begin_validation(restorer)
        self._collector.reset_classes()
        self.ledger.changed_keys.update(dict.fromkeys(self.ledger.idempotency_keys()))
        return self._update_written({**restorer.rebased_records, **self._current_records(gateway)})

    def _begin_validation(self, restorer: StateRestorer) -> None:
        for index, samples in restorer.restored_samples.items():
            record = restorer.class_record(self.settings.classes[index].name)
            assert record is not None
            self.validator.begin(index, record, samples)

    # --- purge and restart ---

    def purge(self, gateway: Gateway, categories: Collection[PurgeCategory]) -> None:
        """Reset these categories in the gateway. The next checkpoint removes or overwrites their records."""
        purge_gateway(gateway, categories)
        if PurgeCategory.CLASSES in categories:
            self.validator = EstimateValidator()
            self._collector.reset_classes()
            if self._restorer is not None:
                self._restorer.restored_samples.clear()
            self._purged_keys = self._written_entries.keys_of(records.CLASS)
        self.mark_changed()

    def snapshot_for_restart(self, gateway: Gateway, now: float) -> PersistedState:
        """Return a snapshot of all state for the gateway that replaces this one within the process."""
        run = records.RunRecord(
            monotonic_s=now,
            wall_s=0.0,
            boot_id=IN_PROCESS_RESTART_ID,
            directory_id=IN_PROCESS_RESTART_ID,
            program="",
            gateway_index=self.settings.gateway_index,
            gateway_count=self.settings.gateway_count,
            ended_cleanly=True,
        )
        entries = (*self.entries(gateway), (records.RUN, records.encode(records.RUN, run)))
        return PersistedState(entries, Timestamp(now, 0.0, IN_PROCESS_RESTART_ID, IN_PROCESS_RESTART_ID))

    def take_over(self, predecessor: Checkpointer) -> None:
        """Replace another checkpointer. Changes are computed against the entries that the other one wrote."""
        self._written_entries = predecessor._written_entries

    # --- requests ---

    def record_request(self, gateway: Gateway, class_index: int) -> None:
        """Record the arrival of a request."""
        self.validator.record_request(class_index, gateway.step_context.now)

    def drop_unconfirmed_estimates(self, gateway: Gateway) -> list[str]:
        """Drop restored estimates that no answer confirmed in time. Returns one log line for each."""
        if not self.validator.active_count:
            return []
        return self.validator.drop_unconfirmed(
            gateway.workload_estimates.estimators, gateway.step_context.now
        )

    def record_answer(
        self, gateway: Gateway, class_index: int, cost: float, elapsed: float, work: float
    ) -> str:
        """Record an answer that the class's estimator has learned from.

        Args:
            gateway: The gateway whose estimator learned from the answer.
            class_index: Index of the query class in the settings.
            cost: Estimated cost of the request; 0 if the client gave none.
            elapsed: Seconds that the attempt took.
            work: Reported thread seconds of work; 0 if not reported.

        Returns:
            A log line if the answer invalidated the restored estimate, else an empty string.
        """
        self._collector.record_answer(class_index, cost, elapsed, work)
        if not self.validator.active_count:
            return ""
        estimator = gateway.workload_estimates.estimators[class_index]
        message = self.validator.record_answer(class_index, estimator, cost or 1.0, elapsed, work)
        if message and self._restorer is not None:
            self._restorer.restored_samples.pop(class_index, None)
        return message

    def write_ahead_keys(
        self, gateway: Gateway, request_id: int, attempt_number: int, idempotency_key: bytes
    ) -> list[bytes]:
        """Record an attempt in the ledger, and return the keys of records to write before its dispatch."""
        attempt = gateway.in_flight.attempts.get((request_id, attempt_number))
        if attempt is None:
            return []
        class_settings = attempt.request.class_settings
        now = gateway.step_context.now
        guarantees = gateway.step_context.guarantees
        keys = []
        if idempotency_key and class_settings.idempotency is not api.Idempotency.SAFE:
            self.ledger.record_attempt(
                idempotency_key, class_settings, now, export.engine_entry(attempt.engine)
            )
            keys.append(records.IDEMPOTENCY + idempotency_key)
        if class_settings.is_ordered and attempt.request.ordering_key:
            keys.append(records.ORDERING + export.encode_ordering_key(attempt.request.ordering_key))
        if attempt_number and guarantees.retry_budget_base is not None:
            keys.append(records.RETRY_BUDGET)
        if guarantees.slow_start_overload_factor and attempt.engine.warmup_remaining(
            now, guarantees.slow_start_duration
        ):
            keys.append(records.ENGINE + attempt.engine.id)
        return keys

    # --- changes to write ---

    def write_ahead_changes(self, gateway: Gateway, keys: Iterable[bytes]) -> list[Change]:
        """Return the changes to write for the keys that `write_ahead_keys` returned."""
        return self._update_written({key: self._collector.write_ahead_record(gateway, key) for key in keys})

    def mark_changed(self) -> None:
        """Schedule a checkpoint, because the state may have changed."""
        self._has_changes = self.is_enabled

    @property
    def next_checkpoint_at(self) -> float:
        """Time in seconds at which `collect_changes` is due; infinite while nothing has changed."""
        return self._next_checkpoint_at if self._has_changes else math.inf

    def initial_changes(self, gateway: Gateway) -> list[Change]:
        """Return the changes of the first commit: all restored records, with times on this run's clock."""
        values: dict[bytes, records.Record | None] = {}
        if self._restorer is not None:
            values.update(self._restorer.rebased_records)
        for key in self._written_entries.keys_of(records.IDEMPOTENCY):
            values[key] = self.ledger.get(records.key_suffix(key))
        return self._update_written(values | {records.FLEET: export.fleet_record(gateway)})

    def collect_changes(self, gateway: Gateway) -> list[Change]:
        """Return all changes since the last checkpoint."""
        self._next_checkpoint_at = gateway.step_context.now + CHECKPOINT_INTERVAL
        self._has_changes = False
        self.ledger.expire(gateway.step_context.now)
        return self._update_written(self._current_records(gateway))

    def entries(self, gateway: Gateway) -> tuple[tuple[bytes, Entry], ...]:
        """Return all state as encoded entries, for the gateway that replaces this one within the process."""
        values: dict[bytes, records.Record | None] = {
            records.IDEMPOTENCY + idempotency_key: self.ledger.get(idempotency_key)
            for idempotency_key in self.ledger.idempotency_keys()
        }
        values |= self._current_records(gateway, with_unchanged_classes=True)
        return tuple((key, records.encode(key, value)) for key, value in values.items() if value is not None)

    def _update_written(self, values: dict[bytes, records.Record | None]) -> list[Change]:
        return self._written_entries.update(values, self._protected_keys)

    def _current_records(
        self, gateway: Gateway, with_unchanged_classes: bool = False
    ) -> dict[bytes, records.Record | None]:
        """Return the records that may have changed, by key; None marks a record to remove."""
        current_records: dict[bytes, records.Record | None] = dict.fromkeys(self._purged_keys)
        self._purged_keys = []
        current_records |= self._collector.collect(gateway, self._restorer, with_unchanged_classes)
        return current_records | dict.fromkeys(self._obsolete_keys(current_records))

    def _obsolete_keys(self, current_records: dict[bytes, records.Record | None]) -> list[bytes]:
        """Return the keys of written transient entries that no longer have a current record.

        Engine records are retained until the first endpoint list, because no engine is known before it.
        """
        return [
            key
            for key in self._written_entries.transient_keys()
            if key not in current_records
            and (self._has_endpoint_list or records.kind_of(key) == records.ORDERING)
        ]
