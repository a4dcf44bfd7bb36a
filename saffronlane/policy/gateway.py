"""Settings, events, actions: see `saffronlane/interface.py`. This package makes every decision of a gateway.

The ordinary path is group EDF: a deadline is arrival + 10 x ExecTime; the earliest names a group, whose
smallest query goes to the less loaded of the first two in its tables' hash order. What has lapsed is refused.
"""

import math
from collections.abc import Callable
from typing import Any

from .. import interface as api
from ..state import Attempt, EngineRegistry, GossipExpiry, StepContext
from .estimation.load_reports import Reports
from .estimation.workload_estimates import Classes
from .execution.attempts import Attempts
from .execution.completion import Answers
from .execution.hedging import Repeating
from .gossip.load_gossip import Telling
from .health.outlier_detection import Health
from .routing.engine_selection import Placement
from .scheduling.admission import Arrivals
from .scheduling.group_edf import Release

HOUSEKEEPING = 0.15  # seconds between wakes while queries are held or the list is to be asked for
ASK_GAP = 0.5  # seconds before a failed subscription is tried again: the list service may be overloaded
GONE_MOST = 1024  # engines gone that are remembered, the latest; one that comes back later counts as new
NEWS = (api.PeerMessage, api.ProgressReport, api.ProbeResult)  # held queries look for room at the next wake


class Gateway:
    """The decisions of one gateway. Feed `step` every batch of events; carry out what it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        batch, fleet = StepContext(settings, seed), EngineRegistry(settings.machine_types)
        self.batch, self.fleet, self.classes = batch, fleet, Classes(settings)
        self.reports, self.health = Reports(batch, fleet, self.classes), Health(batch, fleet, self.classes)
        self.telling = Telling(batch, fleet, self.classes)
        self.placement = Placement(self.reports, self.health, self.telling.board)
        self.own, self.pressure = self.placement.own, self.placement.pressure
        self.answers = Answers(batch, fleet, self.classes)
        self.attempts, self.owed = Attempts(self.answers, self.placement, self.telling), self.answers.owed
        self.release, self.repeating = Release(self.attempts), Repeating(self.attempts)
        arrivals = Arrivals(self.answers, self.placement)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.EndpointListUpdate: self.on_list,
            api.Arrival: arrivals.on_arrival,
            api.ProgressReport: self.repeating.on_note,
            api.AttemptEnded: self.attempts.on_ended,
            api.PeerMessage: self.telling.on_peer,
            api.StreamStarted: self.on_stream,
            api.ClientDisconnected: self.on_gone,
            api.TimerFired: self.on_timer,
            api.ProbeResult: arrivals.on_probe,
            api.Shutdown: self.on_stop,
        }
        self.asked, self.next_ask, self.wake = False, -math.inf, -math.inf

    def on_list(self, event: api.EndpointListUpdate) -> None:
        if event.mode is api.EndpointListMode.FAILED:
            self.asked, self.next_ask = False, self.batch.now + ASK_GAP
            return
        self.fleet.apply(event, self.batch.now, self.batch.guarantees.slow_start_duration, GONE_MOST)
        self.placement.rooms.order.known.clear()
        self.health.trust()

    def on_timer(self, event: api.TimerFired) -> None:
        whom = self.batch.timers.pop(event.token, None)
        if isinstance(whom, Attempt):
            self.repeating.look_after(whom)
        elif isinstance(whom, GossipExpiry):
            self.telling.overdue(whom.attempt)
        elif whom is not None and not whom.is_streaming:
            self.answers.finish(whom)

    def on_gone(self, event: api.ClientDisconnected) -> None:
        if event.request in self.owed.requests:
            self.answers.finish(self.owed.requests[event.request], answer=False)

    def on_stop(self, event: api.Shutdown) -> None:
        for job in list(self.owed.requests.values()):
            self.answers.finish(job)

    def on_stream(self, event: api.StreamStarted) -> None:
        if event.request in self.owed.requests:
            self.owed.requests[event.request].is_streaming = True

    def keep_house(self) -> None:
        now, asking = self.batch.now, self.batch.settings.subscribes_to_endpoints and not self.asked
        if asking and now >= self.next_ask:
            self.asked, asking = True, False
            self.batch.emit(api.Subscribe(True))
        if (self.owed.queued or asking) and self.wake <= now:
            self.wake = now + HOUSEKEEPING
            self.batch.schedule(self.wake, None)

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take in a whole batch, then release once, so that queries arriving together compete by deadline."""
        self.batch.begin(now)
        self.answers.backlog = None
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        if self.owed.queued and any(type(event) not in NEWS for event in events):
            self.release.release()
        self.keep_house()
        return self.batch.actions
