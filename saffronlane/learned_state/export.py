"""What a gateway knows, as entries to keep. Reads `policy.Gateway`; changes nothing."""

from __future__ import annotations

import math

from .. import interface as api
from ..policy import Gateway
from ..policy.estimation.run_time_estimator import RunTimeEstimator
from ..state import Engine
from . import confidence as weigh
from .records import (
    NEVER,
    ClassRecord,
    EngineRecord,
    FleetRecord,
    OrderingRecord,
    PeerLoadRecord,
    RetryBudgetRecord,
    class_mark,
)

BIN = 0.1  # seconds; arrivals of rule 7's window are counted in such bins, each from its start on


def past(time: float) -> float:
    return max(time, NEVER)


def classes(gateway: Gateway, recalled: dict[int, float], scatters: list[float]) -> dict[bytes, ClassRecord]:
    """Each class of which an answer is known. `recalled`: answers that earlier knowledge stood for."""
    found = {}
    for index, known in enumerate(gateway.workload_estimates.estimators):
        kept = _class(gateway, known, recalled.get(index, 0.0), scatters[index])
        if kept is not None:
            found[known.class_settings.name.encode()] = kept
    return found


def _class(gateway: Gateway, known: RunTimeEstimator, recalled: float, scatter: float) -> ClassRecord | None:
    answers = known.answer_count - known.recalled_count
    seed = [part * weigh.left(1.0, answers) for part in known.prior]
    estimates, latencies, works, calm = (
        now - part
        for now, part in zip(
            (known.estimated_costs, known.latency_total, known.work_total, known.uncontended_work_total),
            seed,
            strict=True,
        )
    )
    mass = weigh.left(recalled, answers) + weigh.own(answers)
    if mass < 0.5 or not estimates > 0.0 or min(latencies, works, calm) <= 0.0:
        return None
    return ClassRecord(
        mark=class_mark(gateway.batch.settings, known.class_settings),
        at=gateway.batch.now,
        mass=mass,
        count=known.answer_count,
        cost=known.mean_estimated_cost,
        latency=latencies / estimates,
        work=works / estimates,
        calm=calm / estimates,
        best=known.baseline_inflation,
        need=known.memory_requirement,
        scatter=scatter,
    )


def engine(gateway: Gateway, one: Engine, seen: float) -> EngineRecord:
    cold = one.warmup_remaining(gateway.batch.now, gateway.batch.guarantees.slow_start_duration) > 0.0
    return EngineRecord(
        cores=one.cores,
        zone=one.zone,
        kind=one.machine_type,
        cell=one.cell,
        started=one.started_at,
        reborn_at=past(one.inferred_restart_at),
        broke_at=past(one.connection_lost_at),
        judged=past(one.last_outcome_at),
        fails=one.failure_ratio,
        ill=one.is_ejected,
        silent=one.is_unresponsive,
        trial_gap=one.probe_request_interval,
        full=past(one.last_rejection_at),
        reported=one.reported_threads_per_core,
        reported_at=past(one.reported_at),
        lately=one.recent_work.value,
        lately_at=past(one.recent_work.updated_at),
        seen=seen,
        sent=list(one.recent_dispatches) if cold else [],
    )


def budget(gateway: Gateway) -> RetryBudgetRecord | None:
    """Rule 7's window; None where no budget is set."""
    rules = gateway.batch.guarantees
    if rules.retry_budget_base is None:
        return None
    since = gateway.batch.now - rules.retry_budget_window - 2.0 * gateway.batch.settings.min_step_interval
    bins: dict[int, int] = {}
    for at in gateway.completion.retry_policy.budget.served_arrivals:
        if at > since:
            number = math.floor(at / BIN)
            bins[number] = bins.get(number, 0) + 1
    extras = [at for at in gateway.completion.retry_policy.budget.retries if at > since]
    return RetryBudgetRecord(extras, [(number * BIN, count) for number, count in bins.items()])


def orders(gateway: Gateway) -> dict[bytes, OrderingRecord]:
    """Ordering keys with an attempt out, or at rest."""
    found = {}
    for job in dict.fromkeys(attempt.request for attempt in gateway.in_flight.attempts.values()):
        if job.class_settings.is_ordered and job.ordering_key:
            found[order_name(job.ordering_key)] = OrderingRecord(True, 0.0)
    for key, until in gateway.pending.ordering.cooldowns.items():
        if until > gateway.batch.now and order_name(key) not in found:
            found[order_name(key)] = OrderingRecord(False, until)
    return found


def order_name(key: int) -> bytes:
    return key.to_bytes(8, "big")


def fleet(gateway: Gateway) -> FleetRecord:
    limit = gateway.concurrency_limit.limit if gateway.concurrency_limit.limit < 1e9 else 0.0
    recent = gateway.in_flight.recent_work
    return FleetRecord(
        gateway.batch.now,
        past(gateway.batch.started_at),
        limit,
        gateway.concurrency_limit.latency_inflation,
        recent.value,
        past(recent.updated_at),
        gateway.fleet.mean_reported_threads,
    )


def told(gateway: Gateway) -> PeerLoadRecord | None:
    """What other gateways told of, as far as it is not over."""
    if not gateway.batch.limits.gossip:
        return None
    return PeerLoadRecord(
        [
            (
                sender,
                number,
                one.expires_at,
                one.engine.id,
                one.threads,
                one.memory_mb,
                one.bulk_load_table_digest,
            )
            for (sender, number), one in gateway.load_gossip.peer_load.entries.items()
            if one.expires_at > gateway.batch.now
        ]
    )


def entry(one: Engine) -> api.EngineEntry:
    return api.EngineEntry(one.id, one.state, one.started_at, one.zone, one.machine_type, one.cell)
