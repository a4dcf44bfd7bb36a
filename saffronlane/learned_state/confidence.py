"""Weight of persisted state, by its age and by what has changed since (derived in docs/knowledge.md).

An answer is a successful response that an estimator learns from. The true speed of a class is modelled as a
random walk whose variance grows by q per second, and one answer measures it with variance s2. An estimate
from n answers then has variance s2 / n, and s2 / n + q t after t seconds. This equals the variance of m
answers with 1 / m = 1 / n + t / DRIFT_TIME, where DRIFT_TIME = s2 / q, so older estimates count as fewer
answers. Ages are additive in this form: several restarts discount an estimate as much as one does.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..policy.estimation.run_time_estimator import DECAY, PRIOR_ANSWERS
from ..policy.health.outlier_detection import FAILURE_RATIO_DECAY_TIME
from .clock import Gap

DRIFT_TIME = 28_800.0  # seconds in which a class's speed drifts by the standard deviation of one answer
MAX_EFFECTIVE_SAMPLES = 16.0  # answers; the same number of new answers outweighs a wrong estimate
MAX_CLASS_MIX_COUNT = 200  # answers; upper bound of the restored answer counts of all classes together
SAME_MACHINE_TYPES_WEIGHT = 0.5  # weight if all engines are new but have core counts that were known
COPIED_DIRECTORY_WEIGHT = 0.5  # weight of a state directory that was copied or restored from a backup
# Seconds after a crash within which the ledgers count as complete. Heartbeats are 1 s apart.
MAX_EXACT_GAP = 3.0
MAX_HEALTH_AGE = 60.0  # seconds
HEALTH_DECAY_TIME_RATIO = 6.0  # decay time of a restored failure ratio over that of the outlier detector
MAX_CONCURRENCY_LIMIT_AGE = 60.0  # seconds
CONCURRENCY_LIMIT_GROWTH_TIME = 10.0  # seconds in which an unused limit grows by a factor of e
MAX_UNLISTED_ENGINE_AGE = 3600.0  # seconds
MAX_UNLISTED_ENGINES = 4096  # engines
MAX_MEAN_LOG_RATIO = math.log(3.0)  # largest tolerated mean log ratio of measured to estimated time
MIN_VALIDATION_SAMPLES = 4  # answers
DEFAULT_LOG_DEVIATION = 1.0  # standard deviation of one answer's log ratio if none was measured
# Multiple of the deadline. A longer estimate could cause every request of its class to be rejected forever.
MAX_EXECUTION_DEADLINE_RATIO = 0.5
UNCONFIRMED_TIMEOUT_DEADLINES = 2.0  # multiples of the class's deadline
CLIENT_RETRY_DEADLINES = 3.0  # multiples of the deadline; how long clients may still retry after the TTL


@dataclass(frozen=True, slots=True)
class DirectoryConfidence:
    """How far the content of a state directory as a whole can be relied on.

    Attributes:
        weight: Factor on the effective samples of class estimates.
        has_complete_ledgers: Whether the ledgers contain every dispatch, so that guarantees can rely on
            them alone.
        age: Upper bound of the seconds since the last heartbeat; infinite if it is unbounded.
    """

    weight: float
    has_complete_ledgers: bool
    age: float


def assess_directory(gap: Gap, ended_cleanly: bool, is_same_position: bool) -> DirectoryConfidence:
    """Assess a directory by the gap since its last heartbeat and by how the previous run ended.

    Args:
        gap: Time since the last heartbeat.
        ended_cleanly: Whether the previous run ended by a regular shutdown.
        is_same_position: Whether the previous run had the same gateway index and gateway count.
    """
    is_same_gateway = gap.is_same_directory and is_same_position
    is_recent = ended_cleanly or gap.max_seconds <= MAX_EXACT_GAP
    return DirectoryConfidence(
        weight=1.0 if is_same_gateway else COPIED_DIRECTORY_WEIGHT,
        has_complete_ledgers=is_same_gateway and gap.is_same_boot and is_recent,
        age=gap.max_seconds,
    )


def effective_samples(samples: float, age: float, weight: float) -> float:
    """Return the effective samples of an estimate after it has aged.

    Args:
        samples: Effective samples of the estimate when it was last updated.
        age: Seconds since then; infinite if unknown.
        weight: Factor that discounts the estimate for reasons other than its age.
    """
    if samples <= 0.0 or not age < math.inf:
        return 0.0
    return min(MAX_EFFECTIVE_SAMPLES, weight * samples / (1.0 + samples * max(0.0, age) / DRIFT_TIME))


def fleet_similarity(known_cores: dict[bytes, float], listed_cores: dict[bytes, float]) -> float:
    """Return the weight of estimates that were learned on a fleet that may have differed.

    Args:
        known_cores: Cores by engine at the time the estimates were learned.
        listed_cores: Cores by engine in the current endpoint list.
    """
    if not known_cores or not listed_cores:
        return 1.0
    same_engine_ratio = sum(
        known_cores.get(engine_id) == cores for engine_id, cores in listed_cores.items()
    ) / len(listed_cores)
    known_sizes = set(known_cores.values())
    same_size_ratio = sum(cores in known_sizes for cores in listed_cores.values()) / len(listed_cores)
    return max(same_engine_ratio, SAME_MACHINE_TYPES_WEIGHT * same_size_ratio)


def decayed_failure_ratio(failure_ratio: float, age: float) -> float:
    """Return a failure ratio decayed by its age in seconds; 0 if it is older than MAX_HEALTH_AGE."""
    if age > MAX_HEALTH_AGE:
        return 0.0
    return failure_ratio * math.exp(-max(0.0, age) / FAILURE_RATIO_DECAY_TIME / HEALTH_DECAY_TIME_RATIO)


def recovered_concurrency_limit(threads: float, age: float) -> float:
    """Return a concurrency limit after growing unused for `age` seconds; infinite stands for no limit."""
    if threads > 0.0 and age < MAX_CONCURRENCY_LIMIT_AGE:
        return threads * math.exp(max(0.0, age) / CONCURRENCY_LIMIT_GROWTH_TIME)
    return math.inf


def remaining_prior_samples(restored_samples: float) -> float:
    """Return how many of the prior answers remain after a restored estimate replaces some of them."""
    return max(0.0, PRIOR_ANSWERS - restored_samples)


def remaining_weight(weight: float, answer_count: int) -> float:
    """Return a weight after it has decayed by a number of new answers."""
    return weight * DECAY**answer_count


def new_effective_samples(answer_count: int) -> float:
    """Return the effective samples of new answers, each of which decays the weight of those before it."""
    return (1.0 - DECAY**answer_count) / (1.0 - DECAY)


def may_reject(exec_time: float, deadline: float) -> bool:
    """Return whether a restored estimate may cause rejections before an answer confirms it.

    If the estimate predicts that every query of the class misses its deadline, all of them are rejected,
    and no answer can disprove the estimate.
    """
    return exec_time <= MAX_EXECUTION_DEADLINE_RATIO * deadline


def is_unconfirmed(first_request_at: float, now: float, deadline: float) -> bool:
    """Return whether requests have gone unanswered so long that the restored estimate may be the cause."""
    return now - first_request_at > UNCONFIRMED_TIMEOUT_DEADLINES * deadline


def is_contradicted(log_ratio_total: float, answer_count: int, log_deviation: float) -> bool:
    """Return whether answers differ from the restored estimate by more than chance explains.

    Times approximately follow a lognormal distribution: if their logarithms have the standard deviation s,
    the mean logarithm is s * s / 2 below the logarithm of the mean.

    Args:
        log_ratio_total: Sum of the logarithms of the ratios of measured to estimated time.
        answer_count: Number of answers in the sum.
        log_deviation: Standard deviation of one answer's logarithm; 0 if unknown.
    """
    if answer_count < MIN_VALIDATION_SAMPLES:
        return False
    deviation = log_deviation if log_deviation > 0.0 else DEFAULT_LOG_DEVIATION
    mean = log_ratio_total / answer_count + deviation * deviation / 2.0
    return abs(mean) > MAX_MEAN_LOG_RATIO + deviation / math.sqrt(answer_count)
