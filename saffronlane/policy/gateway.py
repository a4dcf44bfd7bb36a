"""Settings, events, actions: see `saffronlane/interface.py`. This package makes every decision of a gateway.

The ordinary path is group EDF: a deadline is arrival + 10 x ExecTime; the earliest names a group, whose
smallest query goes to the less loaded of the first two in its tables' hash order. What has lapsed is refused.
"""

import math
from collections.abc import Callable
from typing import Any

from .. import interface as api
from ..state import Attempt, EngineRegistry, GossipExpiry, StepContext
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

MAINTENANCE_INTERVAL = 0.15  # seconds between wakes while queries are held or the list is to be asked for
SUBSCRIBE_RETRY_INTERVAL = (
    0.5  # seconds before a failed subscription is tried again: the list service may be overloaded
)
MAX_REMOVED_ENGINES = (
    1024  # engines gone that are remembered, the latest; one that comes back later counts as new
)
DEFERRED_EVENTS = (
    api.PeerMessage,
    api.ProgressReport,
    api.ProbeResult,
)  # held queries look for room at the next wake


class Gateway:
    """The decisions of one gateway. Feed `step` every batch of events; carry out what it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        step_context, engine_registry = StepContext(settings, seed), EngineRegistry(settings.machine_types)
        self.batch, self.fleet, self.workload_estimates = (
            step_context,
            engine_registry,
            WorkloadEstimates(settings),
        )
        self.load_reports, self.outlier_detector = (
            LoadReports(step_context, engine_registry, self.workload_estimates),
            OutlierDetector(step_context, engine_registry, self.workload_estimates),
        )
        self.load_gossip = LoadGossip(step_context, engine_registry, self.workload_estimates)
        self.engine_selector = EngineSelector(
            self.load_reports, self.outlier_detector, self.load_gossip.peer_load
        )
        self.in_flight, self.concurrency_limit = (
            self.engine_selector.in_flight,
            self.engine_selector.concurrency_limit,
        )
        self.completion = RequestCompletion(step_context, engine_registry, self.workload_estimates)
        self.attempt_manager, self.pending = (
            AttemptManager(self.completion, self.engine_selector, self.load_gossip),
            self.completion.pending,
        )
        self.scheduler, self.hedging = (
            GroupEdfScheduler(self.attempt_manager),
            HedgingAndRetry(self.attempt_manager),
        )
        arrivals = AdmissionController(self.completion, self.engine_selector)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.EndpointListUpdate: self._on_endpoint_list,
            api.Arrival: arrivals.on_arrival,
            api.ProgressReport: self.hedging.on_progress,
            api.AttemptEnded: self.attempt_manager.on_ended,
            api.PeerMessage: self.load_gossip.on_peer_message,
            api.StreamStarted: self._on_stream_started,
            api.ClientDisconnected: self._on_client_disconnected,
            api.TimerFired: self._on_timer,
            api.ProbeResult: arrivals.on_probe_result,
            api.Shutdown: self._on_shutdown,
        }
        self.is_subscribed, self.next_subscribe_at, self.next_maintenance_at = False, -math.inf, -math.inf

    def _on_endpoint_list(self, event: api.EndpointListUpdate) -> None:
        if event.mode is api.EndpointListMode.FAILED:
            self.is_subscribed, self.next_subscribe_at = False, self.batch.now + SUBSCRIBE_RETRY_INTERVAL
            return
        self.fleet.apply(
            event, self.batch.now, self.batch.guarantees.slow_start_duration, MAX_REMOVED_ENGINES
        )
        self.engine_selector.eligibility.rendezvous_order.cached_orders.clear()
        self.outlier_detector.update_panic_mode()

    def _on_timer(self, event: api.TimerFired) -> None:
        whom = self.batch.timers.pop(event.token, None)
        if isinstance(whom, Attempt):
            self.hedging.check_timeout(whom)
        elif isinstance(whom, GossipExpiry):
            self.load_gossip.renew_report(whom.attempt)
        elif whom is not None and not whom.is_streaming:
            self.completion.finish(whom)

    def _on_client_disconnected(self, event: api.ClientDisconnected) -> None:
        if event.request in self.pending.requests:
            self.completion.finish(self.pending.requests[event.request], answer=False)

    def _on_shutdown(self, event: api.Shutdown) -> None:
        for job in list(self.pending.requests.values()):
            self.completion.finish(job)

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        if event.request in self.pending.requests:
            self.pending.requests[event.request].is_streaming = True

    def _schedule_maintenance(self) -> None:
        now, asking = self.batch.now, self.batch.settings.subscribes_to_endpoints and not self.is_subscribed
        if asking and now >= self.next_subscribe_at:
            self.is_subscribed, asking = True, False
            self.batch.emit(api.Subscribe(True))
        if (self.pending.queued or asking) and self.next_maintenance_at <= now:
            self.next_maintenance_at = now + MAINTENANCE_INTERVAL
            self.batch.schedule(self.next_maintenance_at, None)

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take in a whole batch, then release once, so that queries arriving together compete by deadline."""
        self.batch.begin(now)
        self.completion.queued_thread_seconds = None
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        if self.pending.queued and any(type(event) not in DEFERRED_EVENTS for event in events):
            self.scheduler.release()
        self._schedule_maintenance()
        return self.batch.actions
