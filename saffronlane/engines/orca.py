"""Load reports of engines: ORCA in the trailer `endpoint-load-metrics-bin`, and notes of progress.

A report's columns are named in the settings. A name is looked up in `named_metrics`, then `utilization`,
then among ORCA's own fields (`cpu`, `memory`, `rps`, `eps`, `application`). What the query itself took comes
as `request_cost`: `work` in seconds of one thread, `memory` in MB.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec
from google.protobuf.message import DecodeError

from ..interface import ProgressKind
from ..proto.orca_pb2 import OrcaLoadReport
from ..rpc.metadata import Metadata

TRAILER = "endpoint-load-metrics-bin"
NOTE_TAG = 0x1A  # field 3 of FlightData, app_metadata
KINDS = {
    "progress": ProgressKind.PROGRESS,
    "spilling": ProgressKind.SPILLING,
    "waiting": ProgressKind.WAITING,
}


@dataclass(frozen=True, slots=True)
class Told:
    """What one answer told; zeros where nothing was told or what was told is absurd."""

    work: float = 0.0
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()


def _sane(value: float) -> float:
    return value if 0.0 <= value < math.inf else 0.0  # NaN fails both comparisons


def read(trailers: Metadata, columns: tuple[str, ...]) -> Told:
    """Never raises: an engine that reports nonsense is an engine that reports nothing."""
    raw = trailers.binary(TRAILER)
    if raw is None:
        return Told()
    try:
        report = OrcaLoadReport.FromString(raw)
    except DecodeError:
        return Told()
    own = {
        "cpu": report.cpu_utilization,
        "memory": report.mem_utilization,
        "rps": report.rps_fractional or float(report.rps),
        "eps": report.eps,
        "application": report.application_utilization,
    }
    values = own | dict(report.utilization) | dict(report.named_metrics)
    told = tuple(_sane(values.get(name, 0.0)) for name in columns)
    cost = report.request_cost
    return Told(_sane(cost.get("work", 0.0)), _sane(cost.get("memory", 0.0)), told)


class _Note(msgspec.Struct):
    note: str
    amount: float = 0.0


_DECODER = msgspec.json.Decoder(_Note)


def read_note(message: bytes) -> tuple[ProgressKind, float] | None:
    """The note in a FlightData message that has nothing but `app_metadata`; None: it is data."""
    if len(message) < 2 or message[0] != NOTE_TAG or message[1] != len(message) - 2 or message[1] > 127:
        return None  # a note is under 128 bytes, so that its length is one byte
    try:
        note = _DECODER.decode(message[2:])
    except msgspec.DecodeError:
        return None
    kind = KINDS.get(note.note)
    return None if kind is None else (kind, _sane(note.amount))


def write_note(kind: str, amount: float) -> bytes:
    """A FlightData message that holds one note."""
    body = msgspec.json.encode(_Note(kind, round(amount, 4)))
    return bytes((NOTE_TAG, len(body))) + body
