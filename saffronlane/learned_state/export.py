"""Conversion of a gateway's state to records. Only reads `policy.Gateway`."""

from __future__ import annotations

import math

from .. import interface as api
from ..policy import Gateway
from ..policy.estimation.run_time_estimator import RunTimeEstimator
from ..state import Engine
from . import confidence
from .records import (
    NEVER,
    ClassRecord,
    EngineRecord,
    FleetRecord,
    OrderingRecord,
    PeerLoadEntry,
    PeerLoadRecord,
    RetryBudgetRecord,
    class_settings_digest,
)

ARRIVAL_BIN_WIDTH = 0.1  # seconds; arrivals in the retry budget's window are counted by bins of this width
MIN_EFFECTIVE_SAMPLES = 0.5  # answers; estimates from fewer are not persisted
MAX_CONCURRENCY_LIMIT = 1e9  # threads; a limit from this value on is persisted as no limit
ORDERING_KEY_LENGTH = 8  # bytes


def finite_time(time: float) -> float:
    """Return a time in its stored form, which represents minus infinity by NEVER."""
    return max(time, NEVER)


def class_records(
    gateway: Gateway, restored_samples: dict[int, float], log_deviations: list[float]
) -> dict[bytes, ClassRecord]:
    """Return the records of all classes with enough answers, by encoded class name.

    Args:
        gateway: The gateway whose estimates are exported.
        restored_samples: Effective samples of each restored estimate when it was restored, by class index.
        log_deviations: Standard deviation of the logarithm of one answer, for each class.
    """
    class_records_by_name = {}
    for index, estimator in enumerate(gateway.workload_estimates.estimators):
        record = _class_record(gateway, estimator, restored_samples.get(index, 0.0), log_deviations[index])
        if record is not None:
            class_records_by_name[estimator.class_settings.name.encode()] = record
    return class_records_by_name


def _class_record(
    gateway: Gateway, estimator: RunTimeEstimator, restored_samples: float, log_deviation: float
) -> ClassRecord | None:
    """Return one class's record, without the share of the prior answers; None with too few answers."""
    new_answer_count = estimator.answer_count - estimator.restored_answer_count
    prior_weight = confidence.remaining_weight(1.0, new_answer_count)
    prior_costs, prior_latency, prior_work, prior_uncontended_work = estimator.prior
    costs = estimator.estimated_costs - prior_costs * prior_weight
    latency = estimator.latency_total - prior_latency * prior_weight
    work = estimator.work_total - prior_work * prior_weight
    uncontended_work = estimator.uncontended_work_total - prior_uncontended_work * prior_weight
    samples = confidence.remaining_weight(restored_samples, new_answer_count)
    samples += confidence.new_effective_samples(new_answer_count)
    is_empty = not costs > 0.0 or min(latency, work, uncontended_work) <= 0.0
    if samples < MIN_EFFECTIVE_SAMPLES or is_empty:
        return None
    return ClassRecord(
        settings_digest=class_settings_digest(gateway.step_context.settings, estimator.class_settings),
        updated_at=gateway.step_context.now,
        effective_samples=samples,
        answer_count=estimator.answer_count,
        mean_estimated_cost=estimator.mean_estimated_cost,
        latency_per_cost=latency / costs,
        work_per_cost=work / costs,
        uncontended_work_per_cost=uncontended_work / costs,
        baseline_inflation=estimator.baseline_inflation,
        memory_requirement=estimator.memory_requirement,
        log_deviation=log_deviation,
    )


def engine_record(gateway: Gateway, engine: Engine, last_listed_at: float) -> EngineRecord:
    """Return an engine's record, which includes its recent dispatches only during slow start."""
    step_context = gateway.step_context
    is_warming_up = (
        engine.warmup_remaining(step_context.now, step_context.guarantees.slow_start_duration) > 0.0
    )
    return EngineRecord(
        cores=engine.cores,
        zone=engine.zone,
        machine_type=engine.machine_type,
        cell=engine.cell,
        started_at=engine.started_at,
        inferred_restart_at=finite_time(engine.inferred_restart_at),
        connection_lost_at=finite_time(engine.connection_lost_at),
        last_outcome_at=finite_time(engine.last_outcome_at),
        failure_ratio=engine.failure_ratio,
        is_ejected=engine.is_ejected,
        is_unresponsive=engine.is_unresponsive,
        probe_request_interval=engine.probe_request_interval,
        last_rejection_at=finite_time(engine.last_rejection_at),
        reported_threads_per_core=engine.reported_threads_per_core,
        reported_at=finite_time(engine.reported_at),
        recent_work=engine.recent_work.value,
        recent_work_updated_at=finite_time(engine.recent_work.updated_at),
        last_listed_at=last_listed_at,
        recent_dispatches=list(engine.recent_dispatches) if is_warming_up else [],
    )


def retry_budget_record(gateway: Gateway) -> RetryBudgetRecord | None:
    """Return the sliding window of the retry budget, or None if no budget is configured."""
    step_context = gateway.step_context
    if step_context.guarantees.retry_budget_base is None:
        return None
    window_start = (
        step_context.now
        - step_context.guarantees.retry_budget_window
        - 2.0 * step_context.settings.min_step_interval
    )
    budget = gateway.completion.retry_policy.budget
    counts: dict[int, int] = {}
    for time in budget.served_arrivals:
        if time > window_start:
            bin_index = math.floor(time / ARRIVAL_BIN_WIDTH)
            counts[bin_index] = counts.get(bin_index, 0) + 1
    return RetryBudgetRecord(
        retries=[time for time in budget.retries if time > window_start],
        arrival_bins=[(bin_index * ARRIVAL_BIN_WIDTH, count) for bin_index, count in counts.items()],
    )


def ordering_records(gateway: Gateway) -> dict[bytes, OrderingRecord]:
    """Return records of the ordering keys that have an attempt in flight or are in their cool-down."""
    records_by_key = {}
    for request in dict.fromkeys(attempt.request for attempt in gateway.in_flight.attempts.values()):
        if request.class_settings.is_ordered and request.ordering_key:
            records_by_key[encode_ordering_key(request.ordering_key)] = OrderingRecord(True, 0.0)
    for ordering_key, cooldown_until in gateway.pending.ordering.cooldowns.items():
        encoded_key = encode_ordering_key(ordering_key)
        if cooldown_until > gateway.step_context.now and encoded_key not in records_by_key:
            records_by_key[encoded_key] = OrderingRecord(False, cooldown_until)
    return records_by_key


def encode_ordering_key(key: int) -> bytes:
    """Return an ordering key in the form that stored keys contain."""
    return key.to_bytes(ORDERING_KEY_LENGTH, "big")


def fleet_record(gateway: Gateway) -> FleetRecord:
    """Return the record of the state that is shared by all engines."""
    limit = gateway.concurrency_limit.limit
    recent_work = gateway.in_flight.recent_work
    return FleetRecord(
        updated_at=gateway.step_context.now,
        dispatches_known_since=finite_time(gateway.step_context.started_at),
        concurrency_limit=limit if limit < MAX_CONCURRENCY_LIMIT else 0.0,
        latency_inflation=gateway.concurrency_limit.latency_inflation,
        recent_work=recent_work.value,
        recent_work_updated_at=finite_time(recent_work.updated_at),
        mean_reported_threads=gateway.engine_registry.mean_reported_threads,
    )


def peer_load_record(gateway: Gateway) -> PeerLoadRecord | None:
    """Return the unexpired load that peers reported, or None if gossip is disabled."""
    if not gateway.step_context.limits.gossip_enabled:
        return None
    entries = []
    for (sender, number), attempt in gateway.load_gossip.peer_load.entries.items():
        if attempt.expires_at > gateway.step_context.now:
            entry = PeerLoadEntry(
                sender=sender,
                number=number,
                expires_at=attempt.expires_at,
                engine=attempt.engine.id,
                threads=attempt.threads,
                memory_mb=attempt.memory_mb,
                bulk_load_table_digest=attempt.bulk_load_table_digest,
            )
            entries.append(entry)
    return PeerLoadRecord(entries)


def engine_entry(engine: Engine) -> api.EngineEntry:
    """Return the endpoint list entry that describes an engine."""
    return api.EngineEntry(
        engine.id, engine.state, engine.started_at, engine.zone, engine.machine_type, engine.cell
    )
