"""Group EDF over the held queries, and the refusal of those whose time has lapsed."""

import math

from ...state import Request
from ..estimation.run_time_estimator import SEED_ANSWERS
from ..execution.attempts import AttemptManager
from ..execution.completion import EXPIRY_MARGIN

GROUP_RANGE_RATIO = 0.4  # Gr: how far past the earliest deadline a group reaches, in spans; the paper's value
MIN_LATE_PRIORITY_WEIGHT = (
    0.4  # while engines are full the aim is the limit of classes whose late answers earn less
)
EXPIRY_CHECK_INTERVAL = (
    0.05  # seconds between looks for lapsed queries; every batch would cost too much when many wait
)


class GroupEdfScheduler:
    def __init__(self, attempts: AttemptManager) -> None:
        self.attempt_manager, self.step_context, self.completion = (
            attempts,
            attempts.step_context,
            attempts.completion,
        )
        self.engine_selector, self.concurrency_limit = (
            attempts.engine_selector,
            attempts.engine_selector.concurrency_limit,
        )
        self.next_expiry_check_at = -math.inf

    def is_expired(self, job: Request) -> bool:
        """The design's refusal: now + ExecTime passes the query's, the class's or the client's limit."""
        known, blocked = (
            self.completion.workload_estimates.estimators[job.class_index],
            self.concurrency_limit.is_blocked,
        )
        limit = (
            min(job.deadline, job.expires_at - EXPIRY_MARGIN)
            if not (blocked and job.is_over_quota)
            else -math.inf
        )
        if blocked and job.class_settings.late_priority_weight < MIN_LATE_PRIORITY_WEIGHT:
            stretch = (
                job.class_settings.latency_objective_per_work
                * known.work(job.estimated_cost)
                / job.class_settings.threads
            )
            limit = min(limit, job.arrived_at + job.class_settings.latency_objective + stretch)
        return (
            self.step_context.now
            + (known.exec_time(job.estimated_cost) if known.answer_count >= SEED_ANSWERS else 0.0)
            > limit
        )

    def release(self) -> None:
        """Group EDF over the held queries, until none can be placed."""
        now, owed, permits = self.step_context.now, self.completion.pending, self.completion.retry_policy
        if now >= self.next_expiry_check_at:
            self.next_expiry_check_at = now + EXPIRY_CHECK_INTERVAL
            for job in [j for j in owed.queued.values() if permits.is_exhausted(j) or self.is_expired(j)]:
                if job.in_flight_count:  # a second copy that finds no room: the first may still answer
                    del owed.queued[job.id]
                else:
                    self.completion.finish(job)
        self.concurrency_limit.is_blocked = False
        self.engine_selector.peer_load.expire(now)
        owed.ordering.expire_cooldowns(now)
        waiting = [j for j in owed.queued.values() if j.probing_until <= now + 1e-6]
        waiting = [j for j in waiting if owed.ordering.is_next(j, now) and permits.has_retry_budget(j)]
        waiting.sort(key=lambda j: (j.is_over_quota, j.deadline, j.id))
        while waiting:
            first = waiting[0]
            end = first.deadline + GROUP_RANGE_RATIO * (first.deadline - first.arrived_at)
            group = [j for j in waiting if j.is_over_quota == first.is_over_quota and j.deadline <= end]
            job = min(
                group, key=lambda j: (self.completion.workload_estimates.exec_time(j), j.deadline, j.id)
            )
            waiting.remove(job)
            engine = self.engine_selector.select(job)
            if engine is None:
                self.concurrency_limit.is_blocked = True
                # No room for others of its class: trying each costs too much; further tries go to no more.
                waiting = [
                    j
                    for j in waiting
                    if j.class_index != job.class_index or (job.attempts and not j.attempts)
                ]
            elif permits.can_retry(job):  # its key may have closed since the look for lapsed ones
                self.attempt_manager.start(job, engine)
