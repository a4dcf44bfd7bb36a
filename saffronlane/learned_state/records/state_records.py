"""Records of estimates, engines, peers and the run itself.

The stored form is an array: the order and the types of the fields must not change, but their names may.
`rename` gives the names that `saffronlane knowledge export` prints. Times are monotonic seconds of the boot
in which they were written.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

NEVER = -1e12  # seconds; stored in place of minus infinity; any time below half of it is read as NEVER


class RunRecord(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    rename={
        "monotonic_s": "mono",
        "wall_s": "wall",
        "boot_id": "boot",
        "directory_id": "place",
        "gateway_index": "position",
        "gateway_count": "gateways",
        "ended_cleanly": "clean",
    },
):
    """The last heartbeat of the run that wrote the state directory.

    Attributes:
        monotonic_s: Monotonic time of the heartbeat in seconds.
        wall_s: Wall-clock time of the heartbeat in seconds since 1970.
        boot_id: Identifier of the machine's boot; empty if unknown.
        directory_id: Identifier of the state directory, which differs in a copy.
        program: Version of the program.
        gateway_index: Index of the gateway among all gateways.
        gateway_count: Number of gateways.
        ended_cleanly: Whether the run ended by a regular shutdown.
    """

    monotonic_s: float
    wall_s: float
    boot_id: str
    directory_id: str
    program: str
    gateway_index: int
    gateway_count: int
    ended_cleanly: bool


class ClassRecord(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    rename={
        "settings_digest": "mark",
        "updated_at": "at",
        "effective_samples": "mass",
        "answer_count": "count",
        "mean_estimated_cost": "cost",
        "latency_per_cost": "latency",
        "work_per_cost": "work",
        "uncontended_work_per_cost": "calm",
        "baseline_inflation": "best",
        "memory_requirement": "need",
        "log_deviation": "scatter",
    },
):
    """Run time estimates of one query class.

    Attributes:
        settings_digest: Digest of the settings under which the estimates were learned.
        updated_at: Time at which the record was made.
        effective_samples: Number of answers that the estimates count as,
            without the prior answers (`PRIOR_ANSWERS`).
        answer_count: Number of answers.
        mean_estimated_cost: Mean estimated cost of a request.
        latency_per_cost: Seconds of latency per unit of estimated cost.
        work_per_cost: Thread seconds of work per unit of estimated cost.
        uncontended_work_per_cost: Thread seconds of work without contention, per unit of estimated cost.
        baseline_inflation: Low quantile of latency times threads over work, which excludes congestion.
        memory_requirement: High quantile of the ratio of used to estimated memory.
        log_deviation: Standard deviation of the logarithm of one answer; 0 if unknown.
    """

    settings_digest: str
    updated_at: float
    effective_samples: float
    answer_count: int
    mean_estimated_cost: float
    latency_per_cost: float
    work_per_cost: float
    uncontended_work_per_cost: float
    baseline_inflation: float
    memory_requirement: float
    log_deviation: float


class EngineRecord(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    rename={
        "machine_type": "kind",
        "started_at": "started",
        "inferred_restart_at": "reborn_at",
        "connection_lost_at": "broke_at",
        "last_outcome_at": "judged",
        "failure_ratio": "fails",
        "is_ejected": "ill",
        "is_unresponsive": "silent",
        "probe_request_interval": "trial_gap",
        "last_rejection_at": "full",
        "reported_threads_per_core": "reported",
        "recent_work": "lately",
        "recent_work_updated_at": "lately_at",
        "last_listed_at": "seen",
        "recent_dispatches": "sent",
    },
):
    """One engine: its endpoint, its health, and the dispatches to it during slow start.

    Attributes:
        started_at: Start time from the endpoint list; 0 if the engine started long ago.
        inferred_restart_at: Time of a restart inferred from lost connections; NEVER if there was none.
        connection_lost_at: Time at which a connection to the engine was lost.
        last_outcome_at: Time of the last outcome that contributed to `failure_ratio`.
        failure_ratio: Decayed ratio of failed attempts.
        probe_request_interval: Seconds between half-open probe requests.
        last_rejection_at: Time at which the engine last rejected a request.
        reported_threads_per_core: Threads per core in the last load report.
        reported_at: Time of the last load report.
        recent_work: Threads that recent requests of this gateway occupy, as of `recent_work_updated_at`.
        last_listed_at: Time at which an endpoint list last contained the engine.
        recent_dispatches: Time and work of each recent dispatch.
    """

    cores: float
    zone: int
    machine_type: int
    cell: int
    started_at: float
    inferred_restart_at: float
    connection_lost_at: float
    last_outcome_at: float
    failure_ratio: float
    is_ejected: bool
    is_unresponsive: bool
    probe_request_interval: float
    last_rejection_at: float
    reported_threads_per_core: float
    reported_at: float
    recent_work: float
    recent_work_updated_at: float
    last_listed_at: float
    recent_dispatches: list[tuple[float, float]]


class FleetRecord(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    rename={
        "updated_at": "at",
        "dispatches_known_since": "born",
        "concurrency_limit": "limit",
        "latency_inflation": "crowd",
        "recent_work": "lately",
        "recent_work_updated_at": "lately_at",
        "mean_reported_threads": "mean_reported",
    },
):
    """State that is shared by all engines.

    Attributes:
        dispatches_known_since: Time since which all dispatches to engines in slow start are recorded.
        concurrency_limit: Concurrency limit in threads; 0 for no limit.
        latency_inflation: Smoothed ratio of latency to latency without contention.
        recent_work: Threads that recent requests of this gateway occupy, as of `recent_work_updated_at`.
        mean_reported_threads: Mean of the reported threads per core over the ready engines.
    """

    updated_at: float
    dispatches_known_since: float
    concurrency_limit: float
    latency_inflation: float
    recent_work: float
    recent_work_updated_at: float
    mean_reported_threads: float


class PeerLoadEntry(NamedTuple):
    """One attempt that a peer gateway reported.

    Attributes:
        sender: Index of the peer.
        number: Number by which the peer identifies the attempt.
        expires_at: Time until which the attempt counts unless its end is reported.
        engine: Id of the engine that executes the attempt.
        threads: Threads that the attempt occupies.
        memory_mb: Memory that the attempt occupies.
        bulk_load_table_digest: Digest of the table group that a bulk load holds; None for other queries.
    """

    sender: int
    number: int
    expires_at: float
    engine: bytes
    threads: float
    memory_mb: float
    bulk_load_table_digest: int | None


class PeerLoadRecord(msgspec.Struct, array_like=True, frozen=True):
    """Load that peer gateways reported."""

    entries: list[PeerLoadEntry]
