"""A request that arrives: its deadline, its tenant's allowance, what its engines are asked first."""

from itertools import islice

from ... import interface as api
from ...state import Request, TokenBucket
from ..estimation.load_reports import MAX_PROBED_ENGINES
from ..execution.completion import RequestCompletion
from ..routing.engine_selection import EngineSelector

TENANT_RATE_MARGIN, TENANT_BURST_REQUESTS, TENANT_BURST_DURATION = (
    1.3,
    3.0,
    2.0,
)  # fronts are uneven; queries, seconds of a burst


class AdmissionController:
    def __init__(self, answers: RequestCompletion, placement: EngineSelector) -> None:
        self.step_context, self.settings, self.completion = (
            answers.step_context,
            answers.step_context.settings,
            answers,
        )
        self.load_reports, self.eligibility = placement.load_reports, placement.eligibility
        self.token_buckets = [TokenBucket() for _ in self.settings.tenants]

    def on_arrival(self, event: api.Arrival) -> None:
        answers, index = self.completion, min(event.class_index, len(self.settings.classes) - 1)
        job = Request(event, index, self.settings.classes[index], self.step_context.now)
        answers.workload_estimates.estimators[index].record_estimate(
            job.estimated_cost, is_estimate_given=event.estimated_cost > 0.0
        )
        job.is_over_quota = self.exceeds_quota(event.tenant)
        if event.previous_attempt is not None:
            job.add_previous_attempt(event.previous_attempt, self.settings.machine_types)
        answers.add_pending(job)
        if job.previous_attempt_count and answers.retry_policy.is_exhausted(job):
            answers.finish(job)
        elif self.load_reports.is_probing_enabled and answers.workload_estimates.is_heavy(job):
            for engine in self.load_reports.select_probe_targets(
                job, list(islice(self.eligibility.eligible_engines(job, True), MAX_PROBED_ENGINES))
            ):
                self.step_context.emit(api.ProbeLoad(engine.id))
            if job.probing_until > self.step_context.now:
                self.step_context.schedule(job.probing_until, None)

    def exceeds_quota(self, tenant: int) -> bool:
        """Whether a tenant sends more than its allowance here: such queries yield while engines are full."""
        tenants = self.settings.tenants
        if not 0 <= tenant < len(tenants) or not tenants[tenant].rate_limit > 0.0:
            return False
        rate = TENANT_RATE_MARGIN * tenants[tenant].rate_limit / self.settings.gateway_count
        return self.token_buckets[tenant].overflows(
            self.step_context.now, rate, TENANT_BURST_REQUESTS + TENANT_BURST_DURATION * rate
        )

    def on_probe_result(self, event: api.ProbeResult) -> None:
        engine = self.load_reports.engine_registry.engines.get(event.engine)
        if engine is not None and event.outcome is api.Outcome.OK:
            self.load_reports.record(engine, event.load_report)
        elif engine is not None and event.outcome is not api.Outcome.REJECTED:
            engine.last_rejection_at = self.step_context.now
