"""Records of estimates, engines, peers and the run itself.

The stored form is an array: the order and the types of fields must stay, while their names may change.
`rename` gives the names that `saffronlane knowledge export` prints. Times are monotonic seconds of the boot
in which they were written.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

NEVER = -1e12  # seconds; stands for minus infinity, which the stored form avoids


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
    """The last heartbeat of the run that wrote the directory."""

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
        settings_digest: of the settings under which the estimates were learned.
        updated_at: time of the last answer.
        effective_samples: answers that the estimates stand for, without the seeds.
        log_deviation: standard deviation of the logarithm of one answer; 0 if unknown.
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
    """One engine: its endpoint, its health, and what it was sent during slow start.

    Attributes:
        started_at: as listed; 0 if it started long ago.
        recent_work: threads that recent requests of this gateway keep busy, as of `recent_work_updated_at`.
        last_listed_at: when an endpoint list last named it.
        recent_dispatches: pairs of time and work.
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
    """State that concerns all engines together.

    Attributes:
        dispatches_known_since: earlier dispatches to engines in slow start are not recorded.
        concurrency_limit: threads; 0 for no limit.
    """

    updated_at: float
    dispatches_known_since: float
    concurrency_limit: float
    latency_inflation: float
    recent_work: float
    recent_work_updated_at: float
    mean_reported_threads: float


class PeerLoadEntry(NamedTuple):
    """One attempt that a peer gateway reported."""

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
