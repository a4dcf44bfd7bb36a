"""Restored estimates within a `RunTimeEstimator`: how they enter its totals and leave them again."""

from __future__ import annotations

import math
from typing import NamedTuple

from .. import interface as api
from ..policy.estimation.run_time_estimator import SEED_ANSWERS, RunTimeEstimator
from . import confidence
from .records import ClassRecord

MAX_PLAUSIBLE_VALUE = 1e9  # no estimate that this program wrote is larger
MIN_TOTAL = 1e-9  # what remains of a total at least, since others are divided by it
MIN_SAMPLES_FOR_MEMORY = 1.0  # answers


class EstimateSums(NamedTuple):
    """A part of an estimator's totals."""

    cost: float
    latency: float
    work: float
    uncontended_work: float


def seed_sums(class_settings: api.ClassSettings, cost: float, answers: float) -> EstimateSums:
    """Return what so many seed answers of this cost add to the totals."""
    work = answers * class_settings.latency_objective * class_settings.threads
    return EstimateSums(
        cost=answers * cost,
        latency=answers * class_settings.latency_objective,
        work=work,
        uncontended_work=work,
    )


def restored_sums(record: ClassRecord, samples: float) -> EstimateSums:
    """Return what so many answers of a restored estimate add to the totals."""
    cost = samples * record.mean_estimated_cost
    return EstimateSums(
        cost=cost,
        latency=cost * record.latency_per_cost,
        work=cost * record.work_per_cost,
        uncontended_work=cost * record.uncontended_work_per_cost,
    )


def apply_restored_estimate(estimator: RunTimeEstimator, record: ClassRecord, samples: float) -> bool:
    """Put a restored estimate of so many answers in the place of as many seeds.

    Returns:
        Whether the record was plausible; otherwise nothing is changed.
    """
    if not _is_plausible(record):
        return False
    seeds = confidence.remaining_seed_samples(samples)
    estimator.prior = seed_sums(estimator.class_settings, record.mean_estimated_cost, seeds)
    estimator.mean_estimated_cost = record.mean_estimated_cost
    restored = restored_sums(record, samples)
    totals = [seed + part for seed, part in zip(estimator.prior, restored, strict=True)]
    _set_totals(estimator, EstimateSums(*totals))
    weight = samples / (samples + SEED_ANSWERS)
    estimator.baseline_inflation = 1.0 + weight * (record.baseline_inflation - 1.0)
    has_memory_estimate = samples >= MIN_SAMPLES_FOR_MEMORY
    estimator.memory_requirement = record.memory_requirement if has_memory_estimate else 0.0
    return True


def remove_restored_estimate(
    estimator: RunTimeEstimator, cost: float, restored: EstimateSums, answers: int
) -> None:
    """Replace what is left of a restored estimate by seeds; new answers stay.

    Args:
        estimator: to remove it from.
        cost: of the seeds.
        restored: what the estimate had added to the totals.
        answers: new answers since.
    """
    weight = confidence.remaining_weight(1.0, answers)
    seeds = seed_sums(estimator.class_settings, cost, SEED_ANSWERS)
    totals = [
        max(MIN_TOTAL, total - weight * (old + prior)) + weight * seed
        for total, old, prior, seed in zip(_totals(estimator), restored, estimator.prior, seeds, strict=True)
    ]
    _set_totals(estimator, EstimateSums(*totals))
    estimator.prior = seeds
    estimator.baseline_inflation = 1.0
    estimator.memory_requirement = 0.0
    estimator.answer_count -= estimator.restored_answer_count
    estimator.restored_answer_count = 0
    estimator.update_cost_rate()


def _is_plausible(record: ClassRecord) -> bool:
    positive = (
        record.mean_estimated_cost,
        record.latency_per_cost,
        record.work_per_cost,
        record.uncontended_work_per_cost,
        record.baseline_inflation,
    )
    if not all(math.isfinite(value) and 0.0 < value < MAX_PLAUSIBLE_VALUE for value in positive):
        return False
    return 0.0 <= record.memory_requirement < MAX_PLAUSIBLE_VALUE


def _totals(estimator: RunTimeEstimator) -> EstimateSums:
    return EstimateSums(
        cost=estimator.estimated_costs,
        latency=estimator.latency_total,
        work=estimator.work_total,
        uncontended_work=estimator.uncontended_work_total,
    )


def _set_totals(estimator: RunTimeEstimator, totals: EstimateSums) -> None:
    estimator.estimated_costs = totals.cost
    estimator.latency_total = totals.latency
    estimator.work_total = totals.work
    estimator.uncontended_work_total = totals.uncontended_work
