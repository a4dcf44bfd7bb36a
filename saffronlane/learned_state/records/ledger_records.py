"""Records that guarantees depend on after a restart. The stored form is as in `state_records`."""

from __future__ import annotations

import msgspec


class RetryBudgetRecord(
    msgspec.Struct, array_like=True, frozen=True, rename={"retries": "extras", "arrival_bins": "taken"}
):
    """The sliding window of the retry budget.

    Attributes:
        retries: time of each retry.
        arrival_bins: pairs of a bin's start and its number of arrivals.
    """

    retries: list[float]
    arrival_bins: list[tuple[float, int]]


class IdempotencyRecord(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    rename={"query_class": "cls", "attempted_at": "at", "machine_type": "kind", "expires_at": "until"},
):
    """The first attempt that may have run of a request with an idempotency key."""

    query_class: str
    attempted_at: float
    engine: bytes
    zone: int
    machine_type: int
    cell: int
    expires_at: float


class OrderingRecord(
    msgspec.Struct, array_like=True, frozen=True, rename={"is_in_flight": "open", "cooldown_until": "until"}
):
    """An ordering key with an attempt in flight, or in its cool-down."""

    is_in_flight: bool
    cooldown_until: float
