"""Group EDF scheduling of queued requests; those that can't complete in time are ended."""

import functools
import math

from ...state import Request
from ..estimation.run_time_estimator import PRIOR_ANSWERS
from ..execution.attempts import AttemptManager
from ..execution.completion import EXPIRY_MARGIN, TIMER_TOLERANCE
from .edf_groups import EdfGroups

MIN_LATE_PRIORITY_WEIGHT = 0.4  # classes below this expire at the latency objective while engines are full
EXPIRY_CHECK_INTERVAL = 0.05  # seconds; a check in every step takes too long with long queues


class GroupEdfScheduler:
    """Releases queued requests, always the shortest of the group that the earliest deadline defines."""

    def __init__(self, attempt_manager: AttemptManager) -> None:
        self.attempt_manager = attempt_manager
        self.step_context = attempt_manager.step_context
        self.completion = attempt_manager.completion
        self.pending = attempt_manager.completion.pending
        self.retry_policy = attempt_manager.completion.retry_policy
        self.workload_estimates = attempt_manager.workload_estimates
        self.engine_selector = attempt_manager.engine_selector
        self.concurrency_limit = attempt_manager.engine_selector.concurrency_limit
        self.next_expiry_check_at = -math.inf

    def is_expired(self, request: Request) -> bool:
        """Return whether an attempt started now would complete too late to be worthwhile.

        The ExecTime of a class with few responses counts as 0, since it is not yet measured.
        """
        estimator = self.workload_estimates.estimators[request.class_index]
        exec_time = 0.0
        if estimator.answer_count >= PRIOR_ANSWERS:
            exec_time = estimator.exec_time(request.estimated_cost)
        return self.step_context.now + exec_time > self._completion_limit(request)

    def _completion_limit(self, request: Request) -> float:
        """Return the latest time of completion at which an attempt is still worthwhile."""
        is_blocked = self.concurrency_limit.is_blocked
        if is_blocked and request.is_over_rate_limit:
            return -math.inf
        limit = min(request.deadline, request.expires_at - EXPIRY_MARGIN)
        settings = request.class_settings
        if is_blocked and settings.late_priority_weight < MIN_LATE_PRIORITY_WEIGHT:
            work = self.workload_estimates.estimators[request.class_index].work(request.estimated_cost)
            work_allowance = settings.latency_objective_per_work * work / settings.threads
            limit = min(limit, request.arrived_at + settings.latency_objective + work_allowance)
        return limit

    def release(self) -> None:
        """Start attempts of queued requests until there is no engine for any of the remaining requests."""
        now = self.step_context.now
        if now >= self.next_expiry_check_at:
            self.next_expiry_check_at = now + EXPIRY_CHECK_INTERVAL
            self._finish_expired()
        self.concurrency_limit.is_blocked = False
        self.engine_selector.peer_load.expire(now)
        self.pending.ordering.expire_cooldowns(now)
        self._start_requests()

    def _start_requests(self) -> None:
        groups = EdfGroups(self._releasable_requests(), self.workload_estimates.exec_time)
        while (request := groups.pop()) is not None:
            engine = self.engine_selector.select(request)
            if engine is None:
                self.concurrency_limit.is_blocked = True
                groups.keep(functools.partial(self._may_have_engine, blocked=request))
            elif self.retry_policy.can_retry(request):  # its idempotency key may have expired while queued
                self.attempt_manager.start(request, engine)

    def _finish_expired(self) -> None:
        """End the queued requests that can have no further attempt or can't complete in time."""
        expired = [
            request
            for request in self.pending.queued
            if (request.attempts and self.retry_policy.is_exhausted(request)) or self.is_expired(request)
        ]
        for request in expired:
            if request.in_flight_count:  # queued for a hedged attempt; the first attempt may still complete
                self.pending.queued.remove(request)
            else:
                self.completion.finish(request)

    def _releasable_requests(self) -> list[Request]:
        """Return the queued requests that may start now, without the classes for which there is no capacity.

        Attempts that start during the pass use capacity, so a class without it gets none in this pass.
        """
        requests: list[Request] = []
        for class_index in self.pending.queued.classes:
            releasable = filter(self._is_releasable, self.pending.queued.of_class(class_index))
            first = next(releasable, None)
            if first is None:
                continue
            if self.engine_selector.has_capacity(first):
                requests.append(first)
                requests.extend(releasable)
            else:
                self.concurrency_limit.is_blocked = True
        return requests

    def _is_releasable(self, request: Request) -> bool:
        """Return whether a queued request may start now as far as it does not depend on an engine."""
        now = self.step_context.now
        return (
            request.probing_until <= now + TIMER_TOLERANCE
            and self.pending.ordering.is_next(request, now)
            and self.retry_policy.has_retry_budget(request)
        )

    @staticmethod
    def _may_have_engine(request: Request, blocked: Request) -> bool:
        """Return whether there may be an engine for a request although the blocked request has none.

        Requests of its class are left out, since trying each of them would take too long. If the blocked
        request is a retry, first attempts of its class remain: they may use more engines than a retry.
        """
        return request.class_index != blocked.class_index or bool(blocked.attempts and not request.attempts)
