"""Estimates for all classes: run time, work and resource grant of a request."""

from typing import NamedTuple

from ... import interface as api
from ...state import Request
from .run_time_estimator import INITIAL_MEMORY_RATIO, RunTimeEstimator

HEAVY_WORK_RATIO = 2.0  # lowest ratio of a heavy request's work to the mean work
MEMORY_MARGIN_RATIO = 1.1  # ratio of memory granted to memory required, where clients give no estimates
MIN_WORK = 1e-3  # thread seconds
DEFAULT_PRIORITY = 1  # priority until the mean request is known
PRIORITY_THRESHOLDS = (2.0, 1.0, 0.4)  # lowest ratio to the mean weight per work for priority 3, 2 and 1


class MeanQuery(NamedTuple):
    """Mean work in thread seconds and mean priority weight of all requests."""

    work: float
    priority_weight: float


class ResourceGrant(NamedTuple):
    """Memory in MB and priority (0 to 3) that a request gets."""

    memory_mb: float
    priority: int


class WorkloadEstimates:
    """The estimators of all classes, in the order of the settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.estimators = [RunTimeEstimator(class_settings) for class_settings in settings.classes]

    def exec_time(self, request: Request) -> float:
        """Return the request's ExecTime in seconds."""
        return self.estimators[request.class_index].exec_time(request.estimated_cost)

    def work(self, request: Request) -> float:
        """Return the request's work in thread seconds, at least the mean of its class."""
        estimator = self.estimators[request.class_index]
        return max(estimator.work(), estimator.work(request.estimated_cost))

    def is_heavy(self, request: Request) -> bool:
        """Return whether the request is a bulk load or takes far more work than the mean.

        Only heavy requests are reported to the peers, since each message takes time at all gateways.
        """
        if request.class_settings.is_bulk_load:
            return True
        return 0.0 < HEAVY_WORK_RATIO * self.mean_query().work < self.work(request)

    def mean_query(self) -> MeanQuery:
        """Return the means over all responses."""
        count = max(1, sum(e.answer_count for e in self.estimators))
        total_work = sum(e.answer_count * e.work() for e in self.estimators)
        total_weight = sum(e.answer_count * e.class_settings.priority_weight for e in self.estimators)
        return MeanQuery(total_work / count, total_weight / count)

    def resource_grant(self, request: Request) -> ResourceGrant:
        """Return the memory and the priority of a request."""
        return ResourceGrant(self._memory_grant(request), self._priority(request))

    def _memory_grant(self, request: Request) -> float:
        """Return the memory in MB that the request probably requires, up to the largest allowed grant."""
        requirement = self.estimators[request.class_index].memory_requirement
        if request.estimated_memory_mb:
            grant = (requirement or INITIAL_MEMORY_RATIO) * request.estimated_memory_mb
        else:
            grant = requirement * MEMORY_MARGIN_RATIO
        if self.settings.max_memory_grant:
            return min(grant, self.settings.max_memory_grant)
        return grant

    def _priority(self, request: Request) -> int:
        """Return the priority by priority weight per work, compared with the mean request."""
        mean = self.mean_query()
        if not self.settings.priorities_enabled or not mean.work or not mean.priority_weight:
            return DEFAULT_PRIORITY
        estimator = self.estimators[request.class_index]
        work = max(MIN_WORK, estimator.work(request.estimated_cost) * estimator.baseline_inflation)
        weight_per_work = request.class_settings.priority_weight / work
        ratio = weight_per_work / (mean.priority_weight / mean.work)
        return sum(ratio >= threshold for threshold in PRIORITY_THRESHOLDS)
