"""Load reports of engines, and progress reports in their results.

Load reports are ORCA messages in the trailer `endpoint-load-metrics-bin`. The settings list the columns of a
report, which are the names of the values to read. A column is looked up in `named_metrics`, then in
`utilization`, then among ORCA's own fields (`cpu`, `memory`, `rps`, `eps`, `application`). The resources that
the query itself used are in `request_cost`: `work` in seconds of one thread, `memory` in MB.
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
APP_METADATA_TAG = 0x1A  # protobuf tag of FlightData.app_metadata: field 3, length-delimited
PROGRESS_KINDS = {
    "progress": ProgressKind.PROGRESS,
    "spilling": ProgressKind.SPILLING,
    "waiting": ProgressKind.WAITING,
}


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load report in one answer. Missing and invalid values are zero.

    Attributes:
        work: The work of the query in seconds of one thread.
        memory_mb: The memory that the query used, in MB.
        column_values: The load of the engine, one value per configured column, or empty without a report.
    """

    work: float = 0.0
    memory_mb: float = 0.0
    column_values: tuple[float, ...] = ()


def _valid_or_zero(value: float) -> float:
    return value if 0.0 <= value < math.inf else 0.0  # NaN fails both comparisons


def read_load_report(trailers: Metadata, columns: tuple[str, ...]) -> LoadReport:
    """Read the load report in the trailers of an answer.

    Never raises: a malformed report is treated as missing.
    """
    raw = trailers.binary(TRAILER)
    if raw is None:
        return LoadReport()
    try:
        report = OrcaLoadReport.FromString(raw)
    except DecodeError:
        return LoadReport()
    standard_fields = {
        "cpu": report.cpu_utilization,
        "memory": report.mem_utilization,
        "rps": report.rps_fractional or float(report.rps),
        "eps": report.eps,
        "application": report.application_utilization,
    }
    values = standard_fields | dict(report.utilization) | dict(report.named_metrics)
    column_values = tuple(_valid_or_zero(values.get(name, 0.0)) for name in columns)
    cost = report.request_cost
    return LoadReport(
        _valid_or_zero(cost.get("work", 0.0)), _valid_or_zero(cost.get("memory", 0.0)), column_values
    )


class _ProgressReport(msgspec.Struct):
    """The JSON value of `app_metadata`. `note` is a key of `PROGRESS_KINDS`."""

    note: str
    amount: float = 0.0


_DECODER = msgspec.json.Decoder(_ProgressReport)


def decode_progress_report(message: bytes) -> tuple[ProgressKind, float] | None:
    """Return the progress report in a FlightData message, or None if the message holds data.

    A progress report is a message in which only `app_metadata` is set.
    """
    if (
        len(message) < 2
        or message[0] != APP_METADATA_TAG
        or message[1] != len(message) - 2
        or message[1] > 127
    ):
        return None  # a progress report has fewer than 128 bytes, so that its length is encoded in one byte
    try:
        report = _DECODER.decode(message[2:])
    except msgspec.DecodeError:
        return None
    kind = PROGRESS_KINDS.get(report.note)
    return None if kind is None else (kind, _valid_or_zero(report.amount))


def encode_progress_report(kind: str, amount: float) -> bytes:
    """Return a FlightData message that holds one progress report."""
    body = msgspec.json.encode(_ProgressReport(kind, round(amount, 4)))
    return bytes((APP_METADATA_TAG, len(body))) + body
