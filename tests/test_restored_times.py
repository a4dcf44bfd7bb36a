"""Conversion of persisted times to this run's clock, rounded so that guarantees are preserved."""

from __future__ import annotations

import pytest
from msgspec.structs import fields

from saffronlane.learned_state import records
from saffronlane.learned_state.clock import Gap
from saffronlane.learned_state.ledger import IdempotencyLedger
from saffronlane.learned_state.rebase import Rebase

OTHER_BOOT = Gap(
    min_seconds=0.0, max_seconds=30.0, clock_offset=100.0, is_same_boot=False, is_same_directory=True
)


def engine_record(**times: float) -> records.EngineRecord:
    """Return an engine record in which all fields except the given times are zero or empty."""
    default_fields = {
        field.name: [] if field.name == "recent_dispatches" else 0.0 for field in fields(records.EngineRecord)
    }
    return records.EngineRecord(**default_fields | times)


def idempotency_record(attempted_at: float) -> records.IdempotencyRecord:
    return records.IdempotencyRecord("class", attempted_at, b"engine", 0, 0, 0, attempted_at + 60.0)


def test_restart_times_of_an_engine_are_converted_to_the_latest_possible_time() -> None:
    record = Rebase(OTHER_BOOT)(
        engine_record(inferred_restart_at=5.0, connection_lost_at=6.0, started_at=4.0)
    )
    assert isinstance(record, records.EngineRecord)
    assert (record.inferred_restart_at, record.connection_lost_at, record.started_at) == (105.0, 106.0, 104.0)


def test_first_attempt_of_an_idempotency_key_is_converted_to_the_earliest_possible_time() -> None:
    record = Rebase(OTHER_BOOT)(idempotency_record(50.0))
    assert isinstance(record, records.IdempotencyRecord)
    assert (record.attempted_at, record.expires_at) == (120.0, 210.0)


@pytest.mark.parametrize("attempt_times", [(10.0, 20.0), (20.0, 10.0)])
def test_earlier_of_two_attempts_with_the_same_idempotency_key_is_retained(
    attempt_times: tuple[float, float],
) -> None:
    ledger = IdempotencyLedger()
    for attempted_at in attempt_times:
        ledger.restore(b"key", idempotency_record(attempted_at))
    record = ledger.get(b"key")
    assert record is not None and record.attempted_at == 10.0
