"""Validation of restored estimates by the first answers after a restart.

A restored estimate counts as a few answers and so fades as new ones come. Where it is far off, that is too
slow. So each restored class is under a sequential test: the log ratios of its first answers to the restored
estimate are summed, and once chance does not explain their mean the estimate is dropped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..policy.estimation.run_time_estimator import DECAY, RunTimeEstimator
from . import confidence
from .estimates import EstimateSums, remove_restored_estimate, restored_sums
from .records import ClassRecord

MIN_DEVIATION_SAMPLES = 8.0  # answers from which a deviation is estimated
MIN_VARIANCE = 1e-4
MIN_TIME = 1e-6  # seconds
MIN_EXPECTED_TIME = 1e-9  # seconds
VALIDATION_LENGTH = 32  # answers, which mostly have replaced the restored estimate by then


@dataclass(slots=True)
class LogDeviation:
    """Standard deviation of the logarithms of one class's answers; old ones fade as in `RunTimeEstimator`."""

    mean: float = 0.0
    variance: float = 0.0
    answers: float = 0.0

    def add(self, value: float) -> None:
        """Add the logarithm of one answer."""
        self.answers = self.answers * DECAY + 1.0
        step = 1.0 / self.answers
        difference = value - self.mean
        self.mean += step * difference
        self.variance += step * (difference * (value - self.mean) - self.variance)

    @property
    def deviation(self) -> float:
        """The standard deviation; 0 from too few answers."""
        if self.answers < MIN_DEVIATION_SAMPLES:
            return 0.0
        return math.sqrt(max(MIN_VARIANCE, self.variance))


@dataclass(slots=True)
class _Validation:
    """The test of one class.

    Attributes:
        record: what was restored.
        sums: what the restored estimate adds to the estimator's totals, without seeds.
        log_ratio_total: sum over the answers so far.
        answers: how many.
        first_request_at: infinite before the first.
    """

    record: ClassRecord
    sums: EstimateSums
    log_ratio_total: float = 0.0
    answers: int = 0
    first_request_at: float = math.inf


class EstimateValidator:
    """The restored estimates under test, by class."""

    def __init__(self) -> None:
        self._validations: dict[int, _Validation] = {}

    @property
    def active_count(self) -> int:
        """How many classes are under test."""
        return len(self._validations)

    def begin(self, index: int, record: ClassRecord, samples: float) -> None:
        """Begin to test a class that was restored with so many effective samples."""
        self._validations[index] = _Validation(record, restored_sums(record, samples))

    def record_request(self, index: int, now: float) -> None:
        """Record the arrival of a request."""
        validation = self._validations.get(index)
        if validation is not None:
            validation.first_request_at = min(validation.first_request_at, now)

    def drop_unconfirmed(self, estimators: list[RunTimeEstimator], now: float) -> list[str]:
        """Drop estimates that may be the reason that no answer comes. Returns lines for the log."""
        messages = []
        for index, validation in list(self._validations.items()):
            estimator = estimators[index]
            class_settings = estimator.class_settings
            is_unconfirmed = confidence.is_unconfirmed(
                validation.first_request_at, now, class_settings.deadline
            )
            if not validation.answers and is_unconfirmed:
                del self._validations[index]
                cost = validation.record.mean_estimated_cost
                remove_restored_estimate(estimator, cost, validation.sums, 0)
                messages.append(
                    f"class {class_settings.name}: no answer confirms the restored estimate; dropped"
                )
        return messages

    def record_answer(
        self, index: int, estimator: RunTimeEstimator, cost: float, elapsed: float, work: float
    ) -> str:
        """Test a class by one answer that its estimator has learned from.

        Returns:
            A line for the log if the estimate was dropped, else an empty string.
        """
        validation = self._validations.get(index)
        if validation is None:
            return ""
        measured, expected = elapsed, validation.record.latency_per_cost
        if work > 0.0:
            measured, expected = work, validation.record.work_per_cost
        ratio = max(MIN_TIME, measured) / max(MIN_EXPECTED_TIME, expected * cost)
        validation.log_ratio_total += math.log(ratio)
        validation.answers += 1
        if confidence.is_contradicted(
            validation.log_ratio_total, validation.answers, validation.record.log_deviation
        ):
            return self._drop_contradicted(index, estimator, cost)
        if validation.answers >= VALIDATION_LENGTH:
            del self._validations[index]
        return ""

    def _drop_contradicted(self, index: int, estimator: RunTimeEstimator, cost: float) -> str:
        validation = self._validations.pop(index)
        answers = estimator.answer_count - estimator.restored_answer_count
        remove_restored_estimate(estimator, cost, validation.sums, answers)
        factor = math.exp(validation.log_ratio_total / validation.answers)
        name = estimator.class_settings.name
        return f"class {name}: restored estimate is off by {factor:.2g}, and is dropped"
