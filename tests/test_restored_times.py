"""Times of an earlier run on this run's clock: on the side that keeps the rules."""

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
    """An engine that has nothing but what is given."""
    plain = {
        field.name: [] if field.name == "recent_dispatches" else 0.0 for field in fields(records.EngineRecord)
    }
    return records.EngineRecord(**plain | times)


def record_at(time: float) -> records.IdempotencyRecord:
    return records.IdempotencyRecord("class", time, b"engine", 0, 0, 0, time + 60.0)


def test_slow_start_of_a_restored_engine_is_taken_as_late_as_possible() -> None:
    record = Rebase(OTHER_BOOT)(
        engine_record(inferred_restart_at=5.0, connection_lost_at=6.0, started_at=4.0)
    )
    assert isinstance(record, records.EngineRecord)
    assert (record.inferred_restart_at, record.connection_lost_at, record.started_at) == (105.0, 106.0, 104.0)


def test_the_first_attempt_under_a_key_is_taken_as_early_as_possible() -> None:
    record = Rebase(OTHER_BOOT)(record_at(50.0))
    assert isinstance(record, records.IdempotencyRecord)
    assert (record.attempted_at, record.expires_at) == (120.0, 210.0)


@pytest.mark.parametrize("times", [(10.0, 20.0), (20.0, 10.0)])
def test_of_two_attempts_under_a_key_the_earlier_counts(times: tuple[float, float]) -> None:
    ledger = IdempotencyLedger()
    for time in times:
        ledger.restore(b"key", record_at(time))
    record = ledger.get(b"key")
    assert record is not None and record.attempted_at == 10.0
