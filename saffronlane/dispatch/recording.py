"""The record of what a dispatcher was told and what it did, and playing it again through the library."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from .. import interface as api
from ..knowledge import Memory
from .core import MOST_OWED, Dispatcher
from .effects import Effect
from .errors import JournalError
from .inputs import INPUT_TYPES, Input

_ENCODER = msgspec.msgpack.Encoder()
_BY_NAME: dict[str, type[Input]] = {kind.__name__: kind for kind in INPUT_TYPES}


class Journal:
    """Writes one length-prefixed record a step. The first record holds settings and seed."""

    def __init__(
        self,
        sink: BinaryIO,
        settings: api.Settings,
        seed: int,
        most_owed: int = MOST_OWED,
        memory: Memory | None = None,
    ) -> None:
        self._sink = sink
        plain = msgspec.to_builtins(settings, builtin_types=(bytes,))
        self._write([plain, seed, most_owed, memory])

    def _write(self, record: object) -> None:
        data = _ENCODER.encode(record)
        self._sink.write(len(data).to_bytes(4, "big") + data)

    def __call__(self, now: float, inputs: list[Input], effects: list[Effect]) -> None:
        plain = [[type(i).__name__, i] for i in inputs]
        self._write([now, plain, [describe(e) for e in effects]])


def describe(effect: Effect) -> str:
    """An effect as text; equal effects read alike."""
    return repr(effect)


def _records(source: BinaryIO) -> Iterator[Any]:
    number = 0
    while head := source.read(4):
        data = source.read(int.from_bytes(head, "big"))
        if len(head) < 4 or len(data) < int.from_bytes(head, "big"):
            return  # the process was killed while it wrote: the whole records before count
        try:
            yield msgspec.msgpack.decode(data)
        except msgspec.DecodeError as error:
            raise JournalError(f"step {number} does not decode: {error}") from None
        number += 1


def replay(path: Path) -> Iterator[tuple[float, list[str], list[str]]]:
    """Each step's time, the effects recorded and those that the library has now. JournalError as above."""
    with path.open("rb") as source:
        records = _records(source)
        try:
            raw, seed, most_owed, *rest = next(records)
            memory = msgspec.convert(rest[0], Memory) if rest and rest[0] is not None else None
            settings = msgspec.convert(raw, api.Settings)
        except (StopIteration, ValueError, TypeError, msgspec.ValidationError) as error:
            raise JournalError(f"{path} has no settings at its start: {error}") from None
        keeping = memory is not None
        dispatcher = Dispatcher(settings, seed, most_owed=most_owed, memory=memory, keeping=keeping)
        for number, (now, plain, recorded) in enumerate(records):
            try:
                inputs = [msgspec.convert(fields, _BY_NAME[name]) for name, fields in plain]
            except (KeyError, msgspec.ValidationError) as error:
                raise JournalError(f"step {number} has an input that is not known: {error}") from None
            yield now, recorded, [describe(e) for e in dispatcher.step(now, inputs)]
