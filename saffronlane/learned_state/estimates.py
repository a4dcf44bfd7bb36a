"""Adds a restored estimate to the totals of a `RunTimeEstimator`, and removes it again if it proves wrong.

Prior answers (`PRIOR_ANSWERS`) are assumed answers that stand for the configured values until real answers
replace them.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from .. import interface as api
from ..policy.estimation.run_time_estimator import PRIOR_ANSWERS, RunTimeEstimator
from . import confidence
from .records import ClassRecord

MAX_PLAUSIBLE_VALUE = 1e9  # no estimate that this program wrote is larger
MIN_TOTAL = 1e-9  # lower bound of a total after a subtraction, because totals are also divisors
MIN_SAMPLES_FOR_MEMORY = 1.0  # answers


class EstimateSums(NamedTuple):
    """A contribution to the totals of an estimator."""

    cost: float
    latency: float
    work: float
    uncontended_work: float


def prior_sums(class_settings: api.ClassSettings, cost: float, samples: float) -> EstimateSums:
    """Return the contribution of a number of prior answers of the given cost."""
    work = samples * class_settings.latency_objective * class_settings.threads
    return EstimateSums(
        cost=samples * cost,
        latency=samples * class_settings.latency_objective,
        work=work,
        uncontended_work=work,
    )


def restored_sums(record: ClassRecord, samples: float) -> EstimateSums:
    """Return the contribution of a restored estimate that counts as a number of answers."""
    cost = samples * record.mean_estimated_cost
    return EstimateSums(
        cost=cost,
        latency=cost * record.latency_per_cost,
        work=cost * record.work_per_cost,
        uncontended_work=cost * record.uncontended_work_per_cost,
    )


def apply_restored_estimate(estimator: RunTimeEstimator, record: ClassRecord, samples: float) -> bool:
    """Replace prior answers by a restored estimate.

    Args:
        estimator: The estimator to change.
        record: The restored estimate.
        samples: Number of answers that the estimate counts as; it replaces as many prior answers.

    Returns:
        Whether the record was plausible. If not, the estimator is unchanged.
    """
    if not _is_plausible(record):
        return False
    prior_samples = confidence.remaining_prior_samples(samples)
    estimator.prior = prior_sums(estimator.class_settings, record.mean_estimated_cost, prior_samples)
    estimator.mean_estimated_cost = record.mean_estimated_cost
    estimate_sums = restored_sums(record, samples)
    totals = [
        prior_total + restored_total
        for prior_total, restored_total in zip(estimator.prior, estimate_sums, strict=True)
    ]
    _set_totals(estimator, EstimateSums(*totals))
    weight = samples / (samples + PRIOR_ANSWERS)
    estimator.baseline_inflation = 1.0 + weight * (record.baseline_inflation - 1.0)
    has_memory_estimate = samples >= MIN_SAMPLES_FOR_MEMORY
    estimator.memory_requirement = record.memory_requirement if has_memory_estimate else 0.0
    return True


def remove_restored_estimate(
    estimator: RunTimeEstimator, cost: float, estimate_sums: EstimateSums, new_answer_count: int
) -> None:
    """Replace the remaining share of a restored estimate by prior answers; new answers are retained.

    Args:
        estimator: The estimator to change.
        cost: Estimated cost of each prior answer.
        estimate_sums: Contribution of the restored estimate when it was applied.
        new_answer_count: Number of answers since then.
    """
    weight = confidence.remaining_weight(1.0, new_answer_count)
    new_prior = prior_sums(estimator.class_settings, cost, PRIOR_ANSWERS)
    totals = [
        max(MIN_TOTAL, total - weight * (restored_total + prior_total)) + weight * new_prior_total
        for total, restored_total, prior_total, new_prior_total in zip(
            _totals(estimator), estimate_sums, estimator.prior, new_prior, strict=True
        )
    ]
    _set_totals(estimator, EstimateSums(*totals))
    estimator.prior = new_prior
    estimator.baseline_inflation = 1.0
    estimator.memory_requirement = 0.0
    estimator.answer_count -= estimator.restored_answer_count
    estimator.restored_answer_count = 0
    estimator.update_cost_rate()


def _is_plausible(record: ClassRecord) -> bool:
    positive_values = (
        record.mean_estimated_cost,
        record.latency_per_cost,
        record.work_per_cost,
        record.uncontended_work_per_cost,
        record.baseline_inflation,
    )
    if not all(math.isfinite(value) and 0.0 < value < MAX_PLAUSIBLE_VALUE for value in positive_values):
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
