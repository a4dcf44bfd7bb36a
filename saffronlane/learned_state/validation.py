"""Validation of restored estimates by the first answers after a restart.

A restored estimate counts as a few answers, so its weight decays with each new one. This is too slow for an
estimate that is far off. Each restored class is therefore subject to a sequential test: the log ratios of its
first answers to the restored estimate are summed, and the estimate is dropped once their mean differs from
zero by more than chance explains.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..policy.estimation.run_time_estimator import DECAY, RunTimeEstimator
from . import confidence
from .estimates import EstimateSums, remove_restored_estimate, restored_sums
from .records import ClassRecord

MIN_DEVIATION_SAMPLES = 8.0  # answers; a deviation from fewer is not used
MIN_VARIANCE = 1e-4
MIN_TIME = 1e-6  # seconds
MIN_EXPECTED_TIME = 1e-9  # seconds
VALIDATION_LENGTH = 32  # answers after which new answers have mostly replaced the restored estimate


@dataclass(slots=True)
class LogDeviation:
    """Standard deviation of the logarithms of one class's answers, decayed as in `RunTimeEstimator`.

    Attributes:
        mean: Decayed mean of the logarithms.
        variance: Decayed variance of the logarithms.
        effective_count: Decayed count of the answers.
    """

    mean: float = 0.0
    variance: float = 0.0
    effective_count: float = 0.0

    def add(self, value: float) -> None:
        """Add the logarithm of one answer."""
        self.effective_count = self.effective_count * DECAY + 1.0
        weight = 1.0 / self.effective_count
        difference = value - self.mean
        self.mean += weight * difference
        self.variance += weight * (difference * (value - self.mean) - self.variance)

    @property
    def deviation(self) -> float:
        """The standard deviation; 0 if there are too few answers."""
        if self.effective_count < MIN_DEVIATION_SAMPLES:
            return 0.0
        return math.sqrt(max(MIN_VARIANCE, self.variance))


@dataclass(slots=True)
class _Validation:
    """The state of the test of one class.

    Attributes:
        record: The restored record.
        sums: Contribution of the restored estimate to the estimator's totals, without the prior
            answers (`PRIOR_ANSWERS`).
        log_ratio_total: Sum of the log ratios of the answers so far.
        answer_count: Number of answers so far.
        first_request_at: Arrival time of the first request in seconds; infinite before it.
    """

    record: ClassRecord
    sums: EstimateSums
    log_ratio_total: float = 0.0
    answer_count: int = 0
    first_request_at: float = math.inf


class EstimateValidator:
    """Tests restored estimates until enough answers confirm or contradict them."""

    def __init__(self) -> None:
        self._validations: dict[int, _Validation] = {}

    @property
    def active_count(self) -> int:
        """Number of classes whose test is in progress."""
        return len(self._validations)

    def begin(self, index: int, record: ClassRecord, samples: float) -> None:
        """Begin the test of a class whose estimate was restored with a number of effective samples."""
        self._validations[index] = _Validation(record, restored_sums(record, samples))

    def record_request(self, index: int, now: float) -> None:
        """Record the arrival of a request."""
        validation = self._validations.get(index)
        if validation is not None:
            validation.first_request_at = min(validation.first_request_at, now)

    def drop_unconfirmed(self, estimators: list[RunTimeEstimator], now: float) -> list[str]:
        """Drop estimates that may be the reason why requests stay unanswered. Returns a log line for each."""
        messages = []
        for index, validation in list(self._validations.items()):
            estimator = estimators[index]
            class_settings = estimator.class_settings
            is_unconfirmed = confidence.is_unconfirmed(
                validation.first_request_at, now, class_settings.deadline
            )
            if not validation.answer_count and is_unconfirmed:
                del self._validations[index]
                cost = validation.record.mean_estimated_cost
                remove_restored_estimate(estimator, cost, validation.sums, 0)
                messages.append(
                    f"class {class_settings.name}: restored estimate is dropped: no answer has confirmed it"
                )
        return messages

    def record_answer(
        self, index: int, estimator: RunTimeEstimator, cost: float, elapsed: float, work: float
    ) -> str:
        """Test a class by one answer that its estimator has learned from.

        Args:
            index: Index of the class.
            estimator: The estimator of the class.
            cost: Estimated cost of the request.
            elapsed: Seconds that the attempt took.
            work: Reported thread seconds of work; 0 if not reported.

        Returns:
            A log line if the estimate was dropped, else an empty string.
        """
        validation = self._validations.get(index)
        if validation is None:
            return ""
        measured, expected = elapsed, validation.record.latency_per_cost
        if work > 0.0:
            measured, expected = work, validation.record.work_per_cost
        ratio = max(MIN_TIME, measured) / max(MIN_EXPECTED_TIME, expected * cost)
        validation.log_ratio_total += math.log(ratio)
        validation.answer_count += 1
        if confidence.is_contradicted(
            validation.log_ratio_total, validation.answer_count, validation.record.log_deviation
        ):
            return self._drop_contradicted(index, estimator, cost)
        if validation.answer_count >= VALIDATION_LENGTH:
            del self._validations[index]
        return ""

    def _drop_contradicted(self, index: int, estimator: RunTimeEstimator, cost: float) -> str:
        validation = self._validations.pop(index)
        new_answer_count = estimator.answer_count - estimator.restored_answer_count
        remove_restored_estimate(estimator, cost, validation.sums, new_answer_count)
        mean_ratio = math.exp(validation.log_ratio_total / validation.answer_count)
        name = estimator.class_settings.name
        return (
            f"class {name}: restored estimate is dropped: answers measured {mean_ratio:.2g} times its value"
        )
