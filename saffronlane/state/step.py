"""What all concerns share of the batch in hand: the settings, its time, chance, and what is to be done."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from .. import interface as api

if TYPE_CHECKING:
    from .requests import Attempt, GossipExpiry, Request


class StepContext:
    """One for each gateway; it lasts, and is begun anew with each batch of events."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.guarantees, self.limits = settings, settings.guarantees, settings.limits
        self.random = Random(seed)
        self.now, self.started_at = 0.0, math.inf  # seconds; of this batch, and of the first one
        self.actions: list[api.Action] = []
        self.timers: dict[int, Request | Attempt | GossipExpiry | None] = {}  # None: housekeeping
        self._next_token = 1

    def begin(self, now: float) -> None:
        self.now, self.started_at = now, min(self.started_at, now)
        self.actions = []

    def emit(self, action: api.Action) -> None:
        self.actions.append(action)

    def schedule(self, time: float, subject: Request | Attempt | GossipExpiry | None) -> None:
        token, self._next_token = self._next_token, self._next_token + 1
        self.timers[token] = subject
        self.actions.append(api.SetTimer(token, time))
