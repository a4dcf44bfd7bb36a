"""Restores persisted state into a gateway, discounted by its age and by what has changed since."""

from __future__ import annotations

import math
from collections import deque

from .. import interface as api
from ..policy import Gateway
from ..policy.estimation.run_time_estimator import PRIOR_ANSWERS, RunTimeEstimator
from ..state import Engine, PeerAttempt, RecentDispatch
from . import confidence, export, records
from .estimates import apply_restored_estimate
from .ledger import IdempotencyLedger
from .persisted_state import PersistedState, RestoredRecords
from .restore_ledgers import restore_ledgers

# Seconds. Endpoint lists give start times in wall-clock time, which two runs read with a slight difference.
START_TIME_TOLERANCE = 2.0
MIN_EFFECTIVE_SAMPLES = 0.5  # answers; estimates that count as fewer are not restored
MAX_LATENCY_INFLATION = 100.0  # largest restored ratio of latency to latency without contention


class StateRestorer:
    """Restores the content of a state directory into a gateway.

    `restore_at_start` is called first, and `restore_classes` with the first endpoint list. Each engine is
    restored when an endpoint list first contains it.

    Args:
        settings: The gateway's settings.
        state: The content of the directory.

    Attributes:
        summary: Counts and ages of the state restored so far.
        confidence: How far the directory as a whole can be relied on.
        newer_version_keys: Keys of records that a newer version of the program wrote.
        rebased_records: All records by key, with times on this run's clock.
        restored_samples: Effective samples of each class estimate when it was restored, by class index.
    """

    def __init__(self, settings: api.Settings, state: PersistedState) -> None:
        self._settings = settings
        self._records = RestoredRecords(settings, state)
        self._unlisted_engines = self._records.engines
        self._now = self._records.now
        self.summary = self._records.summary
        self.confidence = self._records.confidence
        self.newer_version_keys = self._records.newer_version_keys
        self.rebased_records = self._records.rebased_records
        self.restored_samples: dict[int, float] = {}

    def restore_at_start(self, gateway: Gateway, ledger: IdempotencyLedger) -> None:
        """Restore all state that does not depend on the endpoint list."""
        fleet = self._records.fleet
        gateway.step_context.now = self._now
        gateway.step_context.started_at = self._now
        if self.confidence.has_complete_ledgers and fleet is not None:
            # The restored ledgers contain every dispatch since that time.
            gateway.step_context.started_at = self._records.past_time(fleet.dispatches_known_since)
        restore_ledgers(self._records, self._settings, gateway, ledger)
        if fleet is not None:
            self._restore_fleet(gateway, fleet)
        gateway.engine_registry.restore_engine = self._restore_engine

    def attach(self, gateway: Gateway, ledger: IdempotencyLedger) -> None:
        """Restore into a running gateway: the ledgers, and estimates of classes without an answer so far."""
        restore_ledgers(self._records, self._settings, gateway, ledger)
        self.restore_classes(
            gateway, tuple(map(export.engine_entry, gateway.engine_registry.engines.values()))
        )

    def restore_classes(self, gateway: Gateway, entries: tuple[api.EngineEntry, ...]) -> None:
        """Restore class estimates, discounted by how far the fleet has changed.

        Args:
            gateway: The gateway, before it applies the endpoint list.
            entries: The entries of the endpoint list.
        """
        weight = self.confidence.weight * self._fleet_similarity(entries)
        for index, estimator in enumerate(gateway.workload_estimates.estimators):
            self._restore_class(index, estimator, weight)
        self._restore_answer_counts(gateway)

    def restore_peer_load(self, gateway: Gateway) -> None:
        """Restore the load that peers reported, once the engines are known."""
        peer_load = self._records.peer_load
        self._records.peer_load = None
        if peer_load is None:
            return
        table = gateway.load_gossip.peer_load
        for entry in peer_load.entries:
            engine = gateway.engine_registry.engines.get(entry.engine)
            attempt_key = (entry.sender, entry.number)
            is_new = attempt_key not in table.entries
            if engine is not None and entry.expires_at > self._now and is_new:
                attempt = PeerAttempt(
                    entry.expires_at, engine, entry.threads, entry.memory_mb, entry.bulk_load_table_digest
                )
                table.insert(attempt_key, attempt)

    def class_record(self, name: str) -> records.ClassRecord | None:
        """Return the persisted record of a class, restored or not; None if there is none."""
        return self._records.classes.get(name)

    def unlisted_engines(self) -> dict[bytes, records.EngineRecord]:
        """Return recent records of engines that this run has not listed, the most recently listed first."""
        engines_by_age = sorted(self._unlisted_engines.items(), key=lambda item: -item[1].last_listed_at)
        recent_engines = [
            (engine_id, record)
            for engine_id, record in engines_by_age
            if self._records.age(record.last_listed_at) <= confidence.MAX_UNLISTED_ENGINE_AGE
        ]
        return dict(recent_engines[: confidence.MAX_UNLISTED_ENGINES])

    def _restore_fleet(self, gateway: Gateway, fleet: records.FleetRecord) -> None:
        age = self._records.age(fleet.updated_at)
        limit = confidence.recovered_concurrency_limit(fleet.concurrency_limit, age)
        gateway.concurrency_limit.limit = limit
        if limit < math.inf:
            inflation = max(1.0, min(fleet.latency_inflation, MAX_LATENCY_INFLATION))
            gateway.concurrency_limit.latency_inflation = inflation
        recent_work = gateway.in_flight.recent_work
        recent_work.value = fleet.recent_work
        recent_work.updated_at = self._records.past_time(fleet.recent_work_updated_at)

    def _fleet_similarity(self, entries: tuple[api.EngineEntry, ...]) -> float:
        machine_types = self._settings.machine_types
        last_type = len(machine_types) - 1
        listed_cores = {
            entry.engine: machine_types[min(entry.machine_type, last_type)].cores for entry in entries
        }
        known_cores = {engine_id: record.cores for engine_id, record in self._unlisted_engines.items()}
        return confidence.fleet_similarity(known_cores, listed_cores)

    def _restore_class(self, index: int, estimator: RunTimeEstimator, weight: float) -> None:
        name = estimator.class_settings.name
        record = self._records.classes.get(name)
        if record is None or estimator.answer_count:
            return
        if record.settings_digest != records.class_settings_digest(self._settings, estimator.class_settings):
            self.summary.notes.append(
                f"class {name}: estimates not restored, because its settings have changed"
            )
            return
        age = self._records.age(record.updated_at)
        samples = confidence.effective_samples(record.effective_samples, age, weight)
        if samples >= MIN_EFFECTIVE_SAMPLES and apply_restored_estimate(estimator, record, samples):
            self.restored_samples[index] = samples
            self.summary.classes[name] = round(samples, 2)

    def _restore_answer_counts(self, gateway: Gateway) -> None:
        """Restore the answer counts of all classes, scaled down so that new answers soon outweigh them.

        The count is 0 for an estimate that could cause every request of its class to be rejected.
        """
        estimators = gateway.workload_estimates.estimators
        counts = {
            index: self._records.classes[estimators[index].class_settings.name].answer_count
            for index in self.restored_samples
        }
        total = sum(counts.values())
        scale = min(1.0, confidence.MAX_CLASS_MIX_COUNT / max(1, total))
        for index, count in counts.items():
            estimator = estimators[index]
            estimator.answer_count = round(scale * count)
            if self.restored_samples[index] >= PRIOR_ANSWERS:
                estimator.answer_count = max(estimator.answer_count, int(PRIOR_ANSWERS))
            estimator.update_cost_rate()
            if not confidence.may_reject(estimator.exec_time(), estimator.class_settings.deadline):
                estimator.answer_count = 0
                estimator.update_cost_rate()
            estimator.restored_answer_count = estimator.answer_count

    def _restore_engine(self, engine: Engine) -> None:
        """Restore an engine when it is first listed, if it is still the same process."""
        record = self._unlisted_engines.pop(engine.id, None)
        if record is None or record.cores != engine.cores:
            return
        gap = self._records.gap
        tolerance = START_TIME_TOLERANCE + (0.0 if gap.is_same_boot else gap.max_seconds)
        if abs(record.started_at - engine.started_at) > tolerance:
            return
        self.summary.engines += 1
        past_time = self._records.past_time
        engine.recent_dispatches = deque(
            RecentDispatch(past_time(time), work) for time, work in record.recent_dispatches
        )
        engine.inferred_restart_at = past_time(record.inferred_restart_at)
        engine.connection_lost_at = past_time(record.connection_lost_at)
        engine.recent_work.value = record.recent_work
        engine.recent_work.updated_at = past_time(record.recent_work_updated_at)
        self._restore_health(engine, record)
        engine.last_rejection_at = past_time(record.last_rejection_at)
        engine.reported_threads_per_core = record.reported_threads_per_core
        engine.reported_at = past_time(record.reported_at)

    def _restore_health(self, engine: Engine, record: records.EngineRecord) -> None:
        age = self._records.age(record.last_outcome_at)
        engine.failure_ratio = confidence.decayed_failure_ratio(record.failure_ratio, age)
        if engine.failure_ratio > 0.0:
            engine.last_outcome_at = self._records.past_time(record.last_outcome_at)
            engine.is_ejected = record.is_ejected
            engine.is_unresponsive = record.is_ejected and record.is_unresponsive
            engine.probe_request_interval = record.probe_request_interval
            engine.next_probe_request_at = self._now  # an immediate probe verifies the ejection
