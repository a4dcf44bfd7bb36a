"""Records that guarantees depend on after a restart. `state_records` describes the stored form."""

from __future__ import annotations

import msgspec


class RetryBudgetRecord(
    msgspec.Struct, array_like=True, frozen=True, rename={"retries": "extras", "arrival_bins": "taken"}
):
    """The sliding window of the retry budget.

    Attributes:
        retries: Time of each retry.
        arrival_bins: Start time and number of arrivals of each bin.
    """

    retries: list[float]
    arrival_bins: list[tuple[float, int]]


class IdempotencyRecord(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    rename={"query_class": "cls", "attempted_at": "at", "machine_type": "kind", "expires_at": "until"},
):
    """A request with an idempotency key, described by its first attempt that may have run.

    Attributes:
        query_class: Name of the request's query class.
        attempted_at: Time at which the attempt was dispatched.
        engine: Id of the engine that received the attempt; zone, machine_type and cell are its own.
        expires_at: Time after which clients no longer repeat the request.
    """

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
    """An ordering key that has an attempt in flight or is in its cool-down.

    Attributes:
        is_in_flight: Whether the key has an attempt in flight.
        cooldown_until: End of the cool-down; 0 while an attempt is in flight.
    """

    is_in_flight: bool
    cooldown_until: float
