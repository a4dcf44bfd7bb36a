"""One engine as a gateway knows it."""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from .. import gossip_messages as messages
from .. import interface as api
from .windows import DecayingRate, clamp

if TYPE_CHECKING:
    from .requests import Attempt

_HASH_BYTES = 4


class RecentDispatch(NamedTuple):
    """An attempt that was sent to an engine: when, and its work in seconds of one thread."""

    time: float
    work: float


class Engine:
    """One engine: its endpoint list entry, what own traffic showed, and what peers reported.

    Attributes:
        in_flight_threads, in_flight_memory_mb: used by own attempts in flight.
        peer_threads, peer_memory_mb: used by attempts that peers reported.
        peer_bulk_loads: number of peers' bulk loads by the digest of their table group.
        recent_work: own work sent, as the threads that it keeps busy.
        in_flight: own attempts without an outcome, by request and index.
        hash_fraction: constant hash of its id, from 0 to 1, which spreads gateways' turns.
        last_response_at, last_outcome_at, last_rejection_at, last_probe_at: times; -inf: never.
        recent_dispatches: own attempts sent within the time of a slow start.
        reported_threads_per_core: of its last load report, which came at `reported_at`.
        failure_ratio: decayed ratio of failures, from 0 to 1.
        is_ejected: it gets half-open probe requests only.
        is_unresponsive: it was ejected because nothing came back from it.
        connection_lost_at, connection_refused: signs that its process may have restarted unseen.
        inferred_restart_at: when it may have restarted by those signs; -inf: not.
        next_probe_request_at, probe_request_interval: of half-open probe requests, in seconds.
    """

    def __init__(self, entry: api.EngineEntry, machine_type: api.MachineType) -> None:
        self.id = entry.engine
        self.cores = machine_type.cores
        self.memory_mb = machine_type.memory_mb
        self.in_flight_threads = self.in_flight_memory_mb = 0.0
        self.peer_threads = self.peer_memory_mb = 0.0
        self.peer_bulk_loads: dict[int, int] = {}
        self.recent_work = DecayingRate()
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        digest = blake2b(entry.engine, digest_size=_HASH_BYTES).digest()
        self.hash_fraction = int.from_bytes(digest, "big") / 2.0 ** (8 * _HASH_BYTES)
        self.update(entry)
        self.restart(entry.started_at or -math.inf)

    def update(self, entry: api.EngineEntry) -> None:
        """Apply its entry in the endpoint list."""
        self.state = entry.state
        self.zone = entry.zone
        self.machine_type = entry.machine_type
        self.cell = entry.cell
        self.started_at = entry.started_at

    def restart(self, now: float) -> None:
        """Discard what was known of its process: another one runs since `now`."""
        self.last_response_at = self.last_outcome_at = self.last_rejection_at = -math.inf
        self.last_probe_at = -math.inf
        self.recent_dispatches: list[RecentDispatch] = []
        self.reported_threads_per_core = 0.0
        self.reported_at = now  # a new process has no load
        self.failure_ratio = 0.0
        self.is_ejected = self.is_unresponsive = False
        self.connection_lost_at = self.inferred_restart_at = -math.inf
        self.connection_refused = False
        self.next_probe_request_at = -math.inf
        self.probe_request_interval = 0.0

    def reset_health(self) -> None:
        """Discard failures and rejections: it counts as healthy until an outcome says otherwise."""
        self.failure_ratio = 0.0
        self.last_outcome_at = self.last_rejection_at = -math.inf
        self.is_ejected = self.is_unresponsive = False

    def warmup_started_at(self, now: float) -> float:
        """Return when it last started, by the endpoint list or by signs of a restart; -inf: long ago."""
        listed = min(self.started_at, now) if self.started_at > 0.0 else -math.inf
        return max(listed, self.inferred_restart_at)

    def is_warming_up(self, now: float, slow_start_duration: float) -> bool:
        """Whether it started less than the duration of a slow start ago."""
        if now < self.inferred_restart_at + slow_start_duration:
            return True
        return 0.0 < self.started_at > now - slow_start_duration

    def warmup_remaining(self, now: float, slow_start_duration: float) -> float:
        """Return the share of its slow start that is left: 1 at its start, 0 after it."""
        if slow_start_duration <= 0.0 or not self.is_warming_up(now, slow_start_duration):
            return 0.0
        return clamp(1.0 - (now - self.warmup_started_at(now)) / slow_start_duration, 0.0, 1.0)

    def effective_cores(self, now: float, guarantees: api.Guarantees) -> float:
        """Return its cores; while it warms up, as many as the work corresponds to that it can do."""
        if not self.is_warming_up(now, guarantees.slow_start_duration):
            return self.cores
        remaining = self.warmup_remaining(now, guarantees.slow_start_duration)
        return self.cores * (1.0 - remaining * (1.0 - guarantees.slow_start_initial_ratio))

    def warmup_core_seconds(self, now: float, guarantees: api.Guarantees) -> float:
        """Return the core seconds that it could do since its start; its capacity grows linearly with time."""
        age = now - self.warmup_started_at(now)
        ratio = guarantees.slow_start_initial_ratio
        grown = (1.0 - ratio) * max(0.0, age) ** 2 / (2.0 * guarantees.slow_start_duration)
        return self.cores * (ratio * age + grown)

    def record_connection_loss(self, now: float, was_refused: bool) -> bool:
        """Note that a connection failed or broke.

        Returns:
            Whether it is the first loss at this time: all attempts on one connection are lost at once.
        """
        is_first = self.connection_lost_at < now
        self.connection_lost_at = now
        self.connection_refused = self.connection_refused or was_refused
        return is_first

    def record_response(self, now: float, is_same_process: bool) -> None:
        """Note a response. After a connection loss, one of a new process shows that it has restarted."""
        self.last_response_at = now
        if self.connection_lost_at > -math.inf and not is_same_process:
            self.inferred_restart_at = self.connection_lost_at
        self.connection_lost_at = -math.inf
        self.connection_refused = False

    def is_bulk_loading(self, table_group: float) -> bool:
        """Whether a known bulk load holds the table group here."""
        if self.peer_bulk_loads and messages.table_group_digest(table_group) in self.peer_bulk_loads:
            return True
        return any(
            attempt.request.class_settings.is_bulk_load and attempt.request.table_group == table_group
            for attempt in self.in_flight.values()
        )
