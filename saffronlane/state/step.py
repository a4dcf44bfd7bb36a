"""What all concerns share during one step: settings, time, random numbers, timers and the actions so far."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from .. import interface as api

if TYPE_CHECKING:
    from .requests import Attempt, GossipExpiry, Request


class StepContext:
    """Shared state of one gateway's steps; it lasts for the gateway's life, and each step begins it anew.

    Attributes:
        now: time of this step in seconds.
        started_at: time of the first step; infinite before it.
        actions: what this step has decided so far, in order.
        timers: what each token of a pending timer is about; None: maintenance.
        random: the only source of randomness of all decisions.
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
        """Begin a step at a time."""
        self.now = now
        self.started_at = min(self.started_at, now)
        self.actions = []

    def emit(self, action: api.Action) -> None:
        """Add an action to this step's."""
        self.actions.append(action)

    def schedule(self, time: float, subject: Request | Attempt | GossipExpiry | None) -> None:
        """Ask for a timer at a time; `timers` keeps its subject until it fires."""
        token = self._next_token
        self._next_token += 1
        self.timers[token] = subject
        self.actions.append(api.SetTimer(token, time))
