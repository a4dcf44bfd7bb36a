"""State shared by all parts of the policy during a step: settings, time, random numbers, timers, actions."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from .. import interface as api

if TYPE_CHECKING:
    from .requests import Attempt, GossipExpiry, Request


class StepContext:
    """Shared context of the steps of one gateway; `begin` prepares it for the next step.

    Attributes:
        settings: All settings of the gateway.
        guarantees: Bounds that decisions respect, from the settings.
        limits: Features that decisions may use, from the settings.
        random: The only source of randomness for all decisions.
        now: Time of this step in seconds.
        started_at: Time of the first step; infinite before it.
        actions: Actions of this step so far, in order.
        timers: Subject of each pending timer by its token; None for maintenance.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.guarantees = settings.guarantees
        self.limits = settings.limits
        self.random = Random(seed)
        self.now = 0.0
        self.started_at = math.inf
        self.actions: list[api.Action] = []
        self.timers: dict[int, Request | Attempt | GossipExpiry | None] = {}
        self._next_token = 1

    def begin(self, now: float) -> None:
        """Begin a step at the time `now`."""
        self.now = now
        self.started_at = min(self.started_at, now)
        self.actions = []

    def emit(self, action: api.Action) -> None:
        """Append an action to the actions of this step."""
        self.actions.append(action)

    def schedule(self, time: float, subject: Request | Attempt | GossipExpiry | None) -> int:
        """Set a timer and return its token; `timers` holds its subject until it fires or is cancelled."""
        token = self._next_token
        self._next_token += 1
        self.timers[token] = subject
        self.actions.append(api.SetTimer(token, time))
        return token

    def cancel_timer(self, token: int) -> None:
        """Cancel a timer, so that its subject is not kept until it would fire; no effect if it has fired."""
        if self.timers.pop(token, None) is not None:
            self.actions.append(api.CancelTimer(token))
