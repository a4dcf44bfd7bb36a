"""Admission of new requests: deadline, tenant rate limit and load probes."""

from itertools import islice

from ... import interface as api
from ...state import Request, TokenBucket
from ..estimation.load_reports import MAX_PROBED_ENGINES
from ..execution.completion import RequestCompletion
from ..routing.engine_selection import EngineSelector

TENANT_RATE_MARGIN = 1.3  # ratio of allowed rate to a gateway's equal share of the limit; traffic is uneven
TENANT_BURST_REQUESTS = 3.0  # requests allowed in a burst, independent of the rate limit
TENANT_BURST_DURATION = 2.0  # seconds; a burst may also contain the requests of this time at the allowed rate


class AdmissionController:
    """Admits requests and processes the results of load probes."""

    def __init__(self, completion: RequestCompletion, engine_selector: EngineSelector) -> None:
        self.step_context = completion.step_context
        self.settings = completion.step_context.settings
        self.completion = completion
        self.load_reports = engine_selector.load_reports
        self.eligibility = engine_selector.eligibility
        self.token_buckets = [TokenBucket() for _ in self.settings.tenants]

    def on_arrival(self, event: api.Arrival) -> None:
        """Queue a request; finish it immediately if it is unsafe to repeat its previous attempt."""
        request = self._admit(event)
        self.completion.add_pending(request)
        if request.previous_attempt_count and self.completion.retry_policy.is_exhausted(request):
            self.completion.finish(request)
        elif self.load_reports.is_probing_enabled and self.completion.workload_estimates.is_heavy(request):
            self._probe_load(request)

    def max_retry_after(self, event: api.Arrival) -> float | None:
        """Return the longest delay that a rejection of an arrival may ask for, or None if it must fail."""
        return self.completion.retry_policy.max_retry_after(self._create_request(event))

    def _admit(self, event: api.Arrival) -> Request:
        """Create the request for an arrival and record its estimated cost."""
        request = self._create_request(event)
        estimator = self.completion.workload_estimates.estimators[request.class_index]
        estimator.record_estimate(request.estimated_cost, is_estimate_given=event.estimated_cost > 0.0)
        request.is_over_rate_limit = self.exceeds_rate_limit(event.tenant)
        return request

    def _create_request(self, event: api.Arrival) -> Request:
        """Create the request for an arrival, with its previous attempt."""
        class_index = min(event.class_index, len(self.settings.classes) - 1)
        request = Request(event, class_index, self.settings.classes[class_index], self.step_context.now)
        if event.previous_attempt is not None:
            request.add_previous_attempt(event.previous_attempt, self.settings.machine_types)
        return request

    def _probe_load(self, request: Request) -> None:
        """Probe the load of the first engines that the request may use."""
        engines = list(islice(self.eligibility.eligible_engines(request, strict=True), MAX_PROBED_ENGINES))
        for engine in self.load_reports.select_probe_targets(request, engines):
            self.step_context.emit(api.ProbeLoad(engine.id))
        if request.probing_until > self.step_context.now:
            self.step_context.schedule(request.probing_until, None)

    def exceeds_rate_limit(self, tenant: int) -> bool:
        """Count a request and return whether it exceeds the rate limit of its tenant."""
        if not 0 <= tenant < len(self.settings.tenants):
            return False
        rate_limit = self.settings.tenants[tenant].rate_limit
        if not rate_limit > 0.0:
            return False
        rate = TENANT_RATE_MARGIN * rate_limit / self.settings.gateway_count
        depth = TENANT_BURST_REQUESTS + TENANT_BURST_DURATION * rate
        return self.token_buckets[tenant].overflows(self.step_context.now, rate, depth)

    def on_probe_result(self, event: api.ProbeResult) -> None:
        """Record the load report of a probe, or avoid an engine that failed to answer it."""
        engine = self.load_reports.engine_registry.engines.get(event.engine)
        if engine is None:
            return
        if event.outcome is api.Outcome.OK:
            self.load_reports.record(engine, event.load_report)
        elif event.outcome is not api.Outcome.REJECTED:
            engine.last_rejection_at = self.step_context.now
