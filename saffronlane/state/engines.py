"""The state of one engine at a gateway."""

from __future__ import annotations

import math
from collections import Counter, deque
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from .. import gossip_messages as messages
from .. import interface as api
from .windows import DecayingRate, clamp

if TYPE_CHECKING:
    from .requests import Attempt

_HASH_BYTES = 4


class RecentDispatch(NamedTuple):
    """An attempt that was sent to an engine: the time, and its expected work in thread seconds."""

    time: float
    work: float


class Engine:
    """One engine: its endpoint list entry, observations of own attempts, and the load that peers reported.

    Attributes:
        in_flight_threads: Threads used by this gateway's attempts in flight.
        in_flight_memory_mb: Memory granted to this gateway's attempts in flight.
        peer_threads: Threads used by the attempts that peers reported.
        peer_memory_mb: Memory used by the attempts that peers reported.
        peer_bulk_loads: Number of the peers' bulk loads by the digest of their table group.
        recent_work: Work that this gateway sent, as the mean number of threads that it occupies.
        in_flight: This gateway's attempts without an outcome, by request and attempt index.
        bulk_loads: Number of this gateway's bulk loads in flight by their table group.
        hash_fraction: Constant hash of its id from 0 to 1, an offset for the gateways' turns in slow start.
        last_response_at: Time of the last response or progress report; -inf if there was none.
        last_outcome_at: Time of the last update of the failure ratio; -inf if there was none.
        last_rejection_at: Time of the last rejection or other sign of congestion; -inf if there was none.
        last_probe_at: Time of the last load probe; -inf if there was none.
        recent_dispatches: This gateway's attempts that were sent within the last slow start duration.
        reported_threads_per_core: Threads per core in its last load report.
        reported_at: Time of its last load report.
        failure_ratio: Decayed ratio of failures, from 0 to 1.
        is_ejected: Whether it gets half-open probe requests only.
        is_unresponsive: Whether it was ejected because it stopped responding.
        connection_lost_at: Time of the last connection loss since its last response; -inf if there was none.
        connection_refused: Whether it has refused a connection since its last response.
        inferred_restart_at: Time at which a connection loss or its absence from the endpoint list suggests a
            restart; -inf if nothing does.
        next_probe_request_at: Earliest time of the next half-open probe request.
        probe_request_interval: Seconds between two half-open probe requests.
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
        self.bulk_loads: Counter[float] = Counter()
        digest = blake2b(entry.engine, digest_size=_HASH_BYTES).digest()
        self.hash_fraction = int.from_bytes(digest, "big") / 2.0 ** (8 * _HASH_BYTES)
        self.update(entry)
        self.restart(entry.started_at or -math.inf)

    def update(self, entry: api.EngineEntry) -> None:
        """Apply its entry of the endpoint list."""
        self.state = entry.state
        self.zone = entry.zone
        self.machine_type = entry.machine_type
        self.cell = entry.cell
        self.started_at = entry.started_at

    def restart(self, now: float) -> None:
        """Reset the state of its process: a new process has been running since `now`."""
        self.last_response_at = self.last_outcome_at = self.last_rejection_at = -math.inf
        self.last_probe_at = -math.inf
        self.recent_dispatches: deque[RecentDispatch] = deque()
        self.reported_threads_per_core = 0.0
        self.reported_at = now  # a new process starts without load
        self.failure_ratio = 0.0
        self.is_ejected = self.is_unresponsive = False
        self.connection_lost_at = self.inferred_restart_at = -math.inf
        self.connection_refused = False
        self.next_probe_request_at = -math.inf
        self.probe_request_interval = 0.0

    def reset_health(self) -> None:
        """Clear failures, rejections and the ejection; it counts as healthy until its next outcome."""
        self.failure_ratio = 0.0
        self.last_outcome_at = self.last_rejection_at = -math.inf
        self.is_ejected = self.is_unresponsive = False

    def warmup_started_at(self, now: float) -> float:
        """Return its last start, from the endpoint list or inferred; -inf if that was long ago."""
        listed_start = min(self.started_at, now) if self.started_at > 0.0 else -math.inf
        return max(listed_start, self.inferred_restart_at)

    def is_warming_up(self, now: float, slow_start_duration: float) -> bool:
        """Return whether it started less than the slow start duration ago."""
        if now < self.inferred_restart_at + slow_start_duration:
            return True
        return 0.0 < self.started_at > now - slow_start_duration

    def warmup_remaining(self, now: float, slow_start_duration: float) -> float:
        """Return the remaining part of its slow start, from 1 at its start to 0 at the end."""
        if slow_start_duration <= 0.0 or not self.is_warming_up(now, slow_start_duration):
            return 0.0
        return clamp(1.0 - (now - self.warmup_started_at(now)) / slow_start_duration, 0.0, 1.0)

    def effective_cores(self, now: float, guarantees: api.Guarantees) -> float:
        """Return its cores, scaled to its present capacity while it warms up."""
        if not self.is_warming_up(now, guarantees.slow_start_duration):
            return self.cores
        remaining = self.warmup_remaining(now, guarantees.slow_start_duration)
        return self.cores * (1.0 - remaining * (1.0 - guarantees.slow_start_initial_ratio))

    def warmup_core_seconds(self, now: float, guarantees: api.Guarantees) -> float:
        """Return the core seconds available since its start; its capacity grows linearly in slow start."""
        age = now - self.warmup_started_at(now)
        ratio = guarantees.slow_start_initial_ratio
        growth = (1.0 - ratio) * max(0.0, age) ** 2 / (2.0 * guarantees.slow_start_duration)
        return self.cores * (ratio * age + growth)

    def record_connection_loss(self, now: float, was_refused: bool) -> bool:
        """Record that a connection could not be opened or was lost.

        Returns:
            Whether this is the first loss at this time. All attempts on one connection are lost at once, and
            only the first of them counts.
        """
        is_first = self.connection_lost_at < now
        self.connection_lost_at = now
        self.connection_refused = self.connection_refused or was_refused
        return is_first

    def record_response(self, now: float, is_same_process: bool) -> None:
        """Record a response; if it follows a connection loss and is from a new process, infer a restart."""
        self.last_response_at = now
        if self.connection_lost_at > -math.inf and not is_same_process:
            self.inferred_restart_at = self.connection_lost_at
        self.connection_lost_at = -math.inf
        self.connection_refused = False

    def is_bulk_loading(self, table_group: float) -> bool:
        """Return whether a known bulk load locks the table group on this engine."""
        if self.peer_bulk_loads and messages.table_group_digest(table_group) in self.peer_bulk_loads:
            return True
        return self.bulk_loads[table_group] > 0

    def count_bulk_load(self, table_group: float, change: int) -> None:
        """Count a bulk load of this gateway that starts (1) or ends (-1)."""
        self.bulk_loads[table_group] += change
        if not self.bulk_loads[table_group]:
            del self.bulk_loads[table_group]
