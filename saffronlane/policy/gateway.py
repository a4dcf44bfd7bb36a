"""The gateway: connects the parts of the policy package and passes events to them.

Scheduling is group EDF as in the paper. The deadline of a request is its arrival time + 10 x ExecTime. The
earliest deadline selects a group of requests, and the shortest request of this group is dispatched first. It
goes to the less loaded of the first two eligible engines in the rendezvous order of its table group.
Events, actions and settings are defined in `saffronlane/interface/`.
"""

import math

from .. import interface as api
from ..state import Attempt, EngineRegistry, GossipExpiry, Request, StepContext
from .estimation.load_reports import LoadReports
from .estimation.workload_estimates import WorkloadEstimates
from .execution.attempts import AttemptManager
from .execution.completion import RequestCompletion
from .execution.hedging import HedgingAndRetry
from .gossip.load_gossip import LoadGossip
from .health.outlier_detection import OutlierDetector
from .routing.engine_selection import EngineSelector
from .scheduling.admission import AdmissionController
from .scheduling.group_edf import GroupEdfScheduler

MAINTENANCE_INTERVAL = 0.15  # seconds between timers while requests are queued or a subscription is due
SUBSCRIBE_RETRY_INTERVAL = 0.5  # seconds until a failed subscription is repeated
MAX_REMOVED_ENGINES = 1024  # removed engines without attempts in flight that stay registered
DEFERRED_EVENTS = (api.PeerMessage, api.ProgressReport, api.ProbeResult)  # these alone start no request


class Gateway:
    """The policy of one gateway: `step` processes events and returns the actions to carry out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.step_context = StepContext(settings, seed)
        self.engine_registry = EngineRegistry(settings.machine_types)
        self.workload_estimates = WorkloadEstimates(settings)
        shared_state = (self.step_context, self.engine_registry, self.workload_estimates)
        self.load_reports = LoadReports(*shared_state)
        self.outlier_detector = OutlierDetector(*shared_state)
        self.load_gossip = LoadGossip(*shared_state)
        self.completion = RequestCompletion(*shared_state)
        self.engine_selector = EngineSelector(
            self.load_reports, self.outlier_detector, self.load_gossip.peer_load
        )
        self.in_flight = self.engine_selector.in_flight
        self.concurrency_limit = self.engine_selector.concurrency_limit
        self.pending = self.completion.pending
        self.attempt_manager = AttemptManager(self.completion, self.engine_selector, self.load_gossip)
        self.scheduler = GroupEdfScheduler(self.attempt_manager)
        self.hedging = HedgingAndRetry(self.attempt_manager)
        self.admission = AdmissionController(self.completion, self.engine_selector)
        self.is_subscribed = False
        self.next_subscribe_at = -math.inf
        self.next_maintenance_at = -math.inf

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process all events of a step, then start queued requests once, so that they compete by deadline.

        Args:
            now: Time of the step in seconds.
            events: All events since the last step, in order.

        Returns:
            The actions to carry out, in order.
        """
        self.step_context.begin(now)
        self.completion.begin_step()
        for event in events:
            self._handle(event)
        if self.pending.queued and any(not isinstance(event, DEFERRED_EVENTS) for event in events):
            self.scheduler.release()
        self._schedule_maintenance()
        return self.step_context.actions

    def max_retry_after(self, now: float, arrival: api.Arrival) -> float | None:
        """Return the longest delay that the rejection of a request that does not arrive here may ask for.

        Args:
            now: The current time in seconds.
            arrival: The request, with its previous attempt.

        Returns:
            The delay in seconds, infinite if there is no limit, or None if only a failure is safe.
        """
        self.step_context.begin(now)
        return self.admission.max_retry_after(arrival)

    def _handle(self, event: api.Event) -> None:
        """Pass an event to the part that processes it."""
        match event:
            case api.ProgressReport():
                self.hedging.on_progress(event)
            case api.Arrival():
                self.admission.on_arrival(event)
            case api.AttemptEnded():
                self.attempt_manager.on_ended(event)
            case api.TimerFired():
                self._on_timer(event)
            case api.PeerMessage():
                self.load_gossip.on_peer_message(event)
            case api.ProbeResult():
                self.admission.on_probe_result(event)
            case api.StreamStarted():
                self._on_stream_started(event)
            case api.ClientDisconnected():
                self._on_client_disconnected(event)
            case api.EndpointListUpdate():
                self._on_endpoint_list(event)
            case api.Shutdown():
                self._on_shutdown()

    def _on_endpoint_list(self, event: api.EndpointListUpdate) -> None:
        """Apply an update of the endpoint list; after a failure, schedule a new subscription."""
        if event.mode is api.EndpointListMode.FAILED:
            self.is_subscribed = False
            self.next_subscribe_at = self.step_context.now + SUBSCRIBE_RETRY_INTERVAL
            return
        slow_start_duration = self.step_context.guarantees.slow_start_duration
        self.engine_registry.apply(event, self.step_context.now, slow_start_duration, MAX_REMOVED_ENGINES)
        self.engine_selector.on_engines_changed()
        self.outlier_detector.update_panic_mode()

    def _on_timer(self, event: api.TimerFired) -> None:
        """Process the subject of a timer; a maintenance timer has none."""
        match self.step_context.timers.pop(event.token, None):
            case Attempt() as attempt:
                self.hedging.check_timeout(attempt)
            case GossipExpiry(attempt):
                self.load_gossip.renew_report(attempt)
            case Request() as request if not request.is_streaming:
                self.completion.finish(request)

    def _on_client_disconnected(self, event: api.ClientDisconnected) -> None:
        """End the request of a disconnected client without an answer."""
        request = self.pending.requests.get(event.request)
        if request is not None:
            self.completion.finish(request, needs_answer=False)

    def _on_shutdown(self) -> None:
        """Give every pending request its final answer."""
        for request in list(self.pending.requests.values()):
            self.completion.finish(request)

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        """Mark a request whose result is being sent to the client; it can no longer be retried."""
        request = self.pending.requests.get(event.request)
        if request is not None:
            request.is_streaming = True

    def _schedule_maintenance(self) -> None:
        """Subscribe to the endpoint list if due, and set the next maintenance timer if one is needed."""
        now = self.step_context.now
        needs_subscription = self.step_context.settings.subscribes_to_endpoints and not self.is_subscribed
        if needs_subscription and now >= self.next_subscribe_at:
            self.is_subscribed = True
            needs_subscription = False
            self.step_context.emit(api.Subscribe(True))
        if (self.pending.queued or needs_subscription) and self.next_maintenance_at <= now:
            self.next_maintenance_at = now + MAINTENANCE_INTERVAL
            self.step_context.schedule(self.next_maintenance_at, None)
