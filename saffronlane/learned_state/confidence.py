"""How much persisted state counts, by its age and by what has changed since (derived in docs/knowledge.md).

The true pace of a class drifts like a random walk. One answer measures it with a variance s2; in a second it
drifts by q. An estimate from n answers has the variance s2 / n, and after t seconds s2 / n + q t, which is
that of m answers with 1 / m = 1 / n + t / DRIFT_TIME, where DRIFT_TIME = s2 / q. So older estimates count as
fewer answers. Ages add up in this form: any number of restarts costs no more than one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..policy.estimation.run_time_estimator import DECAY, SEED_ANSWERS
from ..policy.health.outlier_detection import FAILURE_RATIO_DECAY_TIME
from .clock import Gap

DRIFT_TIME = 28_800.0  # seconds in which a class's pace drifts as far as one answer lies beside the mean
MAX_EFFECTIVE_SAMPLES = 16.0  # answers; as many new ones outvote a wrong estimate
MAX_CLASS_MIX_COUNT = 200  # answers
SAME_MACHINE_TYPES_WEIGHT = 0.5  # weight where no engine is known but all are of known machine types
COPIED_DIRECTORY_WEIGHT = 0.5  # weight of a directory that was copied or restored
MAX_EXACT_GAP = (
    3.0  # seconds without a clean end within which ledgers are complete; heartbeats come each second
)
MAX_HEALTH_AGE = 60.0  # seconds
HEALTH_DECAY_TIME_RATIO = 6.0  # of the memory of the outlier detector
MAX_CONCURRENCY_LIMIT_AGE = 60.0  # seconds
CONCURRENCY_LIMIT_GROWTH_TIME = 10.0  # seconds in which an unused limit grows by the factor e
MAX_UNLISTED_ENGINE_AGE = 3600.0  # seconds
MAX_UNLISTED_ENGINES = 4096  # engines
MAX_MEAN_LOG_RATIO = math.log(3.0)  # of answers to the restored estimate
MIN_VALIDATION_SAMPLES = 4  # answers
DEFAULT_LOG_DEVIATION = 1.0  # of one answer's log ratio
MAX_EXECUTION_DEADLINE_RATIO = 0.5  # of the deadline; a longer estimate could reject the whole class for good
UNCONFIRMED_TIMEOUT_DEADLINES = 2.0  # deadlines
CLIENT_RETRY_DEADLINES = 3.0  # deadlines; how long a client may retry after the idempotency TTL


@dataclass(frozen=True, slots=True)
class DirectoryConfidence:
    """How much a state directory as a whole counts.

    Attributes:
        weight: factor on the effective samples of class estimates.
        has_complete_ledgers: the ledgers show every dispatch, so guarantees can rely on them alone.
        age: seconds to add to the age of each record, for discounting.
    """

    weight: float
    has_complete_ledgers: bool
    age: float


def assess_directory(gap: Gap, clean: bool, same_position: bool) -> DirectoryConfidence:
    """Assess a directory by the gap since its last heartbeat and by how the run before ended.

    Args:
        gap: since the last heartbeat.
        clean: the run before ended by a regular shutdown.
        same_position: it had the same gateway index among as many gateways.
    """
    is_own = gap.is_same_directory and same_position
    is_recent = clean or gap.max_seconds <= MAX_EXACT_GAP
    return DirectoryConfidence(
        weight=1.0 if is_own else COPIED_DIRECTORY_WEIGHT,
        has_complete_ledgers=is_own and gap.is_same_boot and is_recent,
        age=gap.max_seconds,
    )


def effective_samples(before: float, age: float, weight: float) -> float:
    """Return the answers that an estimate from `before` answers still stands for after `age` seconds."""
    if before <= 0.0 or not age < math.inf:
        return 0.0
    return min(MAX_EFFECTIVE_SAMPLES, weight * before / (1.0 + before * max(0.0, age) / DRIFT_TIME))


def fleet_similarity(known: dict[bytes, float], listed: dict[bytes, float]) -> float:
    """Return the weight of estimates that were learned on another fleet.

    Args:
        known: cores by engine, when the estimates were learned.
        listed: cores by engine, now.
    """
    if not known or not listed:
        return 1.0
    same_engines = sum(known.get(name) == cores for name, cores in listed.items()) / len(listed)
    known_sizes = set(known.values())
    same_sizes = sum(cores in known_sizes for cores in listed.values()) / len(listed)
    return max(same_engines, SAME_MACHINE_TYPES_WEIGHT * same_sizes)


def decayed_failure_ratio(failure_ratio: float, age: float) -> float:
    """Return a failure ratio as unobserved outcomes would have decayed it; 0 if it is too old to count."""
    if age > MAX_HEALTH_AGE:
        return 0.0
    return failure_ratio * math.exp(-max(0.0, age) / FAILURE_RATIO_DECAY_TIME / HEALTH_DECAY_TIME_RATIO)


def recovered_concurrency_limit(threads: float, age: float) -> float:
    """Return a concurrency limit as it would have grown by itself; infinite if there is none left."""
    if threads > 0.0 and age < MAX_CONCURRENCY_LIMIT_AGE:
        return threads * math.exp(max(0.0, age) / CONCURRENCY_LIMIT_GROWTH_TIME)
    return math.inf


def remaining_seed_samples(restored_samples: float) -> float:
    """Return the seed answers that still count beside a restored estimate, which takes their place."""
    return max(0.0, SEED_ANSWERS - restored_samples)


def remaining_weight(weight: float, answers: int) -> float:
    """Return what is left of a weight after so many new answers."""
    return weight * DECAY**answers


def new_effective_samples(answers: int) -> float:
    """Return how many answers so many new ones count as, each a little less than the one after it."""
    return (1.0 - DECAY**answers) / (1.0 - DECAY)


def may_reject(exec_time: float, deadline: float) -> bool:
    """Return whether a restored estimate may reject queries before an answer confirms it.

    An estimate that no query of a class can meet its deadline would keep away the answers that disprove it.
    """
    return exec_time <= MAX_EXECUTION_DEADLINE_RATIO * deadline


def is_unconfirmed(since: float, now: float, deadline: float) -> bool:
    """Return whether the restored estimate may be the cause that requests have gone unanswered so long."""
    return now - since > UNCONFIRMED_TIMEOUT_DEADLINES * deadline


def is_contradicted(log_ratio_total: float, answers: int, log_deviation: float) -> bool:
    """Return whether answers lie so far from the restored estimate that chance does not explain it.

    Times mostly follow a lognormal distribution: where logarithms have the standard deviation s, their mean
    lies s * s / 2 below the logarithm of the mean.

    Args:
        log_ratio_total: sum of the logarithms of the answers' ratios to the restored mean.
        answers: how many.
        log_deviation: standard deviation of one logarithm; 0 if unknown.
    """
    if answers < MIN_VALIDATION_SAMPLES:
        return False
    deviation = log_deviation if log_deviation > 0.0 else DEFAULT_LOG_DEVIATION
    mean = log_ratio_total / answers + deviation * deviation / 2.0
    return abs(mean) > MAX_MEAN_LOG_RATIO + deviation / math.sqrt(answers)
