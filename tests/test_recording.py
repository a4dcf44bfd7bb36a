"""Recordings written by an earlier version replay with the same effects."""

from __future__ import annotations

from pathlib import Path

import pytest

from saffronlane.dispatch.recording import replay

RECORDINGS = sorted(Path(__file__).parent.glob("fixtures/recordings/*.record"))
EFFECTS_RECORDED = {
    "CancelAttempt",
    "Commit",
    "DiscardAttempt",
    "FailRequest",
    "Keep",
    "Log",
    "Probe",
    "RecallAttempt",
    "RefuseRequest",
    "Serve",
    "StartAttempt",
    "Subscribe",
    "Tell",
}


def without_log_text(effects: list[str]) -> list[str]:
    """Log lines count by their presence: their text may change between versions."""
    return ["Log" if effect.startswith("Log(") else effect for effect in effects]


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_recording_of_an_earlier_version_replays_with_the_same_effects(path: Path) -> None:
    steps = 0
    for _, recorded, replayed in replay(path):
        assert without_log_text(recorded) == without_log_text(replayed)
        steps += 1
    assert steps > 100


def test_recordings_hold_every_effect_that_the_policy_produces() -> None:
    effects = [effect for path in RECORDINGS for _, recorded, _ in replay(path) for effect in recorded]
    assert {effect.split("(")[0] for effect in effects} == EFFECTS_RECORDED
