"""Recordings of a dispatcher: every input with its time, the effects it led to, and their replay.

A recording is a sequence of MessagePack values, each behind its length in four bytes, big-endian. The first
holds settings, seed, the limit on pending requests, the learned state read at the start (or nil) and, since
version 0.3, the version of the form. Each later one is a step: time, inputs, described effects.
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
    RECORDING_VERSION,
    decode,
    decode_input,
    describe,
    encode,
    encode_input,
    without_log_texts,
)

_ENCODER = msgspec.msgpack.Encoder()
_LENGTH_BYTES = 4


class RecordingWriter:
    """Writes one length-prefixed record a step. The first record holds settings and seed."""

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
    """One step of a recording: the effects recorded and those that the present code has, as text."""

    time: float
    recorded: list[str]
    replayed: list[str]

    @property
    def is_equal(self) -> bool:
        """Whether both did the same; log lines count by their presence, not by their text."""
        return without_log_texts(self.recorded) == without_log_texts(self.replayed)


def _records(source: BinaryIO) -> Iterator[Any]:
    number = 0
    while head := source.read(_LENGTH_BYTES):
        length = int.from_bytes(head, "big")
        data = source.read(length)
        if len(head) < _LENGTH_BYTES or len(data) < length:
            return  # the process was killed while it wrote: the whole records before count
        try:
            yield msgspec.msgpack.decode(data)
        except msgspec.DecodeError as error:
            raise RecordingError(f"step {number} does not decode: {error}") from error
        number += 1


def replay(path: Path) -> Iterator[ReplayedStep]:
    """Play a recording through a new dispatcher, step by step.

    Raises:
        RecordingError: the file is no recording, is of a newer version, or a step cannot be read.
        OSError: the file cannot be read.
    """
    with path.open("rb") as source:
        records = _records(source)
        dispatcher = _recorded_dispatcher(path, next(records, None))
        for number, (now, plain, recorded) in enumerate(records):
            try:
                inputs = [decode_input(name, fields) for name, fields in plain]
            except (KeyError, msgspec.ValidationError) as error:
                raise RecordingError(f"step {number} has an input that is not known: {error}") from error
            yield ReplayedStep(now, recorded, [describe(e) for e in dispatcher.step(now, inputs)])


def _recorded_dispatcher(path: Path, header: Any) -> Dispatcher:
    """Build the dispatcher that a recording's first record describes."""
    try:
        plain, seed, max_pending, *optional = header
        memory = decode(optional[0], PersistedState) if optional and optional[0] is not None else None
        settings = decode(plain, api.Settings)
    except (ValueError, TypeError, msgspec.ValidationError) as error:
        raise RecordingError(f"{path} has no settings at its start: {error}") from error
    version = optional[1] if len(optional) > 1 else RECORDING_VERSION
    if version != RECORDING_VERSION:
        raise RecordingError(
            f"{path} is a recording of version {version}; this program reads {RECORDING_VERSION}"
        )
    return Dispatcher(
        settings, seed, max_pending=max_pending, persisted_state=memory, is_persistent=memory is not None
    )
