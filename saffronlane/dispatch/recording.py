"""Recordings of a dispatcher: the time, inputs and effects of every step, and their replay.

A recording is a sequence of MessagePack values, each prefixed with its length in four bytes, big-endian. The
first value holds the settings, the seed, the limit on pending requests, the learned state that was read at
startup (or nil) and, since 0.3, the version of the recording format, which is 1 if it is missing. Each later
value is one step: its time, inputs and effects. Effects are stored as text. In version 1, a timer fired
also if its request or attempt had ended, and caused a step.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from .. import interface as api
from ..learned_state import PersistedState
from .core import MAX_PENDING, Dispatcher
from .effects import Effect
from .errors import RecordingError
from .inputs import Input
from .recording_schema import (
    FIRST_RECORDING_VERSION,
    RECORDING_VERSION,
    decode,
    decode_input,
    describe,
    encode,
    encode_input,
    without_log_texts,
)

READABLE_VERSIONS = range(FIRST_RECORDING_VERSION, RECORDING_VERSION + 1)
_ENCODER = msgspec.msgpack.Encoder()
_LENGTH_BYTES = 4


class RecordingWriter:
    """Writes one length-prefixed record per step, after a header record with settings and seed."""

    def __init__(
        self,
        sink: BinaryIO,
        settings: api.Settings,
        seed: int,
        max_pending: int = MAX_PENDING,
        persisted_state: PersistedState | None = None,
    ) -> None:
        self._sink = sink
        self._write([encode(settings), seed, max_pending, encode(persisted_state), RECORDING_VERSION])

    def _write(self, record: object) -> None:
        data = _ENCODER.encode(record)
        self._sink.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)

    def __call__(self, now: float, inputs: list[Input], effects: list[Effect]) -> None:
        """Write one step."""
        self._write([now, [encode_input(i) for i in inputs], [describe(e) for e in effects]])


@dataclass(frozen=True, slots=True)
class ReplayedStep:
    """One step of a recording with its recorded and its replayed effects.

    Attributes:
        time: The time of the step in seconds.
        recorded: The effects in the recording, as text.
        replayed: The effects that the current code produces, as text.
    """

    time: float
    recorded: list[str]
    replayed: list[str]

    @property
    def is_equal(self) -> bool:
        """Whether the recorded and replayed effects are equal, ignoring the texts of log lines."""
        return without_log_texts(self.recorded) == without_log_texts(self.replayed)


def _records(source: BinaryIO) -> Iterator[Any]:
    number = 0
    while prefix := source.read(_LENGTH_BYTES):
        length = int.from_bytes(prefix, "big")
        data = source.read(length)
        if len(prefix) < _LENGTH_BYTES or len(data) < length:
            return  # the process was killed during this write; only complete records are replayed
        try:
            yield msgspec.msgpack.decode(data)
        except msgspec.DecodeError as error:
            raise RecordingError(f"record {number}: invalid MessagePack: {error}") from error
        number += 1


def replay(path: Path) -> Iterator[ReplayedStep]:
    """Replay a recording through a new dispatcher, step by step.

    Raises:
        RecordingError: The file is not a recording, has a different version, or has an unreadable step.
        OSError: The file cannot be read.
    """
    with path.open("rb") as source:
        records = _records(source)
        dispatcher = _recorded_dispatcher(path, next(records, None))
        for number, (now, encoded_inputs, recorded) in enumerate(records):
            try:
                inputs = [decode_input(name, fields) for name, fields in encoded_inputs]
            except (KeyError, msgspec.ValidationError) as error:
                raise RecordingError(f"step {number}: unknown or invalid input: {error}") from error
            yield ReplayedStep(now, recorded, [describe(e) for e in dispatcher.step(now, inputs)])


def _recorded_dispatcher(path: Path, header: Any) -> Dispatcher:
    """Build the dispatcher from a recording's header record."""
    try:
        encoded_settings, seed, max_pending, *optional_fields = header
        persisted_state = (
            decode(optional_fields[0], PersistedState)
            if optional_fields and optional_fields[0] is not None
            else None
        )
        settings = decode(encoded_settings, api.Settings)
    except (ValueError, TypeError, msgspec.ValidationError) as error:
        raise RecordingError(f"{path}: no settings in the first record: {error}") from error
    version = optional_fields[1] if len(optional_fields) > 1 else FIRST_RECORDING_VERSION
    if version not in READABLE_VERSIONS:
        raise RecordingError(
            f"{path}: recording of version {version}; this program reads versions "
            f"{FIRST_RECORDING_VERSION} to {RECORDING_VERSION} only"
        )
    return Dispatcher(
        settings,
        seed,
        max_pending=max_pending,
        persisted_state=persisted_state,
        is_persistent=persisted_state is not None,
        cancels_timers=version > FIRST_RECORDING_VERSION,
    )
