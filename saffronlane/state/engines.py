"""One engine as a gateway knows it."""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING

from .. import gossip_messages as messages
from .. import interface as api
from .windows import DecayingRate, clamp

if TYPE_CHECKING:
    from .requests import Attempt


class Engine:
    """One engine: the list's word, what its own traffic showed, what others told."""

    def __init__(self, entry: api.EngineEntry, kind: api.MachineType) -> None:
        self.id, self.cores, self.memory_mb = entry.engine, kind.cores, kind.memory_mb
        self.in_flight_threads = self.in_flight_memory_mb = 0.0  # own work that is out
        self.peer_threads = self.peer_memory_mb = 0.0  # others' work, as far as they told
        self.peer_bulk_loads: dict[int, int] = {}  # others' loads by their table group's mark
        self.recent_work = DecayingRate()
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.hash_fraction = int.from_bytes(blake2b(entry.engine, digest_size=4).digest(), "big") / 2.0**32
        self.update(entry)
        self.restart(entry.started_at or -math.inf)

    def update(self, entry: api.EngineEntry) -> None:
        self.state, self.zone, self.machine_type, self.cell = (
            entry.state,
            entry.zone,
            entry.machine_type,
            entry.cell,
        )
        self.started_at = entry.started_at

    def restart(self, now: float) -> None:
        self.last_response_at = self.last_outcome_at = self.last_rejection_at = -math.inf
        self.recent_dispatches: list[tuple[float, float]] = []  # (time, work) sent within the cold time
        self.reported_threads_per_core, self.reported_at = (
            0.0,
            now,
        )  # threads a core that it last reported; a new one has none
        self.last_probe_at = -math.inf  # the last probe
        self.failure_ratio = 0.0  # decayed share of failures
        self.is_ejected = self.is_unresponsive = False
        self.connection_lost_at = (
            self.inferred_restart_at
        ) = -math.inf  # signs that the process may have restarted unseen
        self.connection_refused = False  # a connection, since it broke
        self.next_probe_request_at, self.probe_request_interval = -math.inf, 0.0

    def warmup_started_at(self, now: float) -> float:
        """When it last started, by the list or by what its connections showed; -inf: long ago."""
        told = min(self.started_at, now) if self.started_at > 0.0 else -math.inf
        return max(told, self.inferred_restart_at)

    def is_warming_up(self, now: float, cold_time: float) -> bool:
        return now < self.inferred_restart_at + cold_time or 0.0 < self.started_at > now - cold_time

    def warmup_remaining(self, now: float, cold_time: float) -> float:
        """1 at its start, 0 after the cold time."""
        if cold_time <= 0.0 or not self.is_warming_up(now, cold_time):
            return 0.0
        return clamp(1.0 - (now - self.warmup_started_at(now)) / cold_time, 0.0, 1.0)

    def effective_cores(self, now: float, rules: api.Guarantees) -> float:
        """Cores, a cold one's counted by the share of the work that it then does."""
        if not self.is_warming_up(now, rules.slow_start_duration):
            return self.cores
        return self.cores * (
            1.0
            - self.warmup_remaining(now, rules.slow_start_duration) * (1.0 - rules.slow_start_initial_ratio)
        )

    def warmup_core_seconds(self, now: float, rules: api.Guarantees) -> float:
        """Core seconds that it could do since it started cold, by the settings; it warms evenly with time."""
        age, share = now - self.warmup_started_at(now), rules.slow_start_initial_ratio
        return self.cores * (
            share * age + (1.0 - share) * max(0.0, age) ** 2 / (2.0 * rules.slow_start_duration)
        )

    def record_connection_loss(self, now: float, was_refused: bool) -> bool:
        """A connection to it failed or broke; whether that is news: all that one carried breaks at once."""
        news, self.connection_lost_at, self.connection_refused = (
            self.connection_lost_at < now,
            now,
            self.connection_refused or was_refused,
        )
        return news

    def record_response(self, now: float, is_same_process: bool) -> None:
        """It answers; if not as before a break, it may have restarted unseen."""
        self.last_response_at = now
        if self.connection_lost_at > -math.inf and not is_same_process:
            self.inferred_restart_at = self.connection_lost_at
        self.connection_lost_at, self.connection_refused = -math.inf, False

    def is_bulk_loading(self, table_group: float) -> bool:
        """Whether a load that is known of holds the table group here."""
        if self.peer_bulk_loads and messages.table_group_digest(table_group) in self.peer_bulk_loads:
            return True
        return any(
            a.request.class_settings.is_bulk_load and a.request.table_group == table_group
            for a in self.in_flight.values()
        )
