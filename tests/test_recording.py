"""Recordings written by an earlier version replay with the same effects."""

from __future__ import annotations

import io
from pathlib import Path

import msgspec
import pytest
from conftest import make_settings

from saffronlane import interface as api
from saffronlane.dispatch.errors import RecordingError
from saffronlane.dispatch.recording import RecordingWriter, ReplayedStep, _records, replay
from saffronlane.dispatch.recording_schema import (
    RECORDING_VERSION,
    decode,
    decode_input,
    encode,
    encode_input,
)
from saffronlane.learned_state import PersistedState

RECORDINGS = sorted(Path(__file__).parent.glob("fixtures/recordings/*.record"))
RECORDED_EFFECT_NAMES = {
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
# Decisions of the earlier version that were faults, by recording, and what is decided instead.
CORRECTED_EFFECTS = {
    # Rejected during a drain, although a request with its key may have run, whose retry may run it again.
    "day-101": {
        "RefuseRequest(request=46, retry_after=0.2198807069087536, why='the gateway is stopping')": (
            "FailRequest(request=46, why='a request with this key may have run before, and may not be "
            "repeated now')"
        )
    }
}


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_recording_of_an_earlier_version_replays_with_the_same_effects(path: Path) -> None:
    steps = list(replay(path))
    assert len(steps) > 100
    corrected = CORRECTED_EFFECTS.get(path.stem, {})
    recorded = [effect for step in steps for effect in step.recorded]
    assert all(recorded.count(effect) == 1 for effect in corrected)
    for step in steps:
        expected = [corrected.get(effect, effect) for effect in step.recorded]
        assert ReplayedStep(step.time, expected, step.replayed).is_equal


def test_recordings_hold_every_effect_that_the_policy_produces() -> None:
    effects = [effect for path in RECORDINGS for step in replay(path) for effect in step.recorded]
    assert {effect.split("(")[0] for effect in effects} == RECORDED_EFFECT_NAMES


def test_replayed_step_is_equal_if_only_log_texts_differ() -> None:
    log, answer = "Log(text='a')", "Serve(request=1, attempt=0, fault=False)"
    assert ReplayedStep(1.0, [log, answer], ["Log(text='b')", answer]).is_equal
    assert not ReplayedStep(1.0, [log, answer], [answer]).is_equal
    assert not ReplayedStep(1.0, [answer], ["Serve(request=2, attempt=0, fault=False)"]).is_equal


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_inputs_are_encoded_as_in_an_earlier_version(path: Path) -> None:
    """Decoding and encoding the settings, learned state and inputs of a recording does not change them."""
    header, *steps = _records(io.BytesIO(path.read_bytes()))
    assert encode(decode(header[0], api.Settings)) == header[0]
    assert header[3] is None or encode(decode(header[3], PersistedState)) == header[3]
    for _, inputs, _ in steps:
        for name, fields in inputs:
            assert repr(encode_input(decode_input(name, fields))) == repr([name, fields])


def test_recording_of_a_newer_version_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "newer.record"
    with path.open("wb") as sink:
        RecordingWriter(sink, make_settings(), seed=1)
    header = msgspec.msgpack.decode(path.read_bytes()[4:])
    data = msgspec.msgpack.encode([*header[:4], RECORDING_VERSION + 1])
    path.write_bytes(len(data).to_bytes(4, "big") + data)
    with pytest.raises(RecordingError, match=f"version {RECORDING_VERSION + 1};"):
        list(replay(path))
