"""Decodes event records of the simulator's wire protocol into events of `interface`.

Records have a fixed size and begin with a code. Data of variable size is in the tail of the batch, to which a
record refers by offset and length. All numbers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from typing import TypeVar

from .. import interface as api
from .errors import WireError

EVENT_SIZE = 56  # bytes of an event record
ENTRY_SIZE = 24  # bytes of an endpoint list entry
WORK_UNIT = 4096  # a cost is encoded as work in ms x WORK_UNIT + memory in units of MEMORY_UNIT_MB
MEMORY_UNIT_MB = 4.0
MS_PER_SECOND = 1000.0

# Flags of an arrival record.
HAS_ESTIMATE = 1
IS_RETRY = 2
IS_WRITE = 4

EnumType = TypeVar("EnumType", bound=IntEnum)
EventReader = Callable[[bytes, bytes], tuple[int, api.Event]]


class EventCode(IntEnum):
    """The code at the start of an event record."""

    PROBE_RESULT = 1000
    INSTANCE_STOPPED = 1010
    ATTEMPT_ENDED = 1020
    STREAM_STARTED = 1030
    ENDPOINTS = 1040
    PROGRESS = 1050
    ENDPOINT_TABLE = 1060
    TIMER = 1070
    GOSSIP = 1080
    ARRIVAL = 1090
    INSTANCE_STARTED = 1100
    CLIENT_DISCONNECTED = 1110


CODE = struct.Struct(">H")
INSTANCE_STARTED = struct.Struct(">2xIQII")
INSTANCE_STOPPED = struct.Struct(">2xI")
ENDPOINT_TABLE = struct.Struct(">2xHII")
ENDPOINTS = struct.Struct(">2xIBIH")
_ARRIVAL = struct.Struct(">2xIQHIQddffB")
_STREAM_STARTED = struct.Struct(">2xIQ6sdB")
_PROGRESS = struct.Struct(">2xIQB6sBf")
_ATTEMPT_ENDED = struct.Struct(">2xIQB6sHdBIB4f")
_CLIENT_DISCONNECTED = struct.Struct(">2xIQ")
_TIMER = struct.Struct(">2xIQ")
_PROBE_RESULT = struct.Struct(">2xI6sHdB4f")
_GOSSIP = struct.Struct(">2xIHII")
_ENTRY = struct.Struct(">dBHH6sfB")


def slice_tail(tail: bytes, offset: int, length: int, name: str) -> bytes:
    """Return a part of a batch's tail.

    Args:
        tail: The tail of the batch.
        offset: Offset of the part in the tail.
        length: Length of the part.
        name: What the part contains, for the error message.

    Raises:
        WireError: The part reaches past the end of the tail.
    """
    if offset + length > len(tail):
        raise WireError(f"{name} reaches past the end of the tail")
    return tail[offset : offset + length]


def decode_enum(enum_type: type[EnumType], value: int, name: str) -> EnumType:
    """Return the member of an enumeration that has a value.

    Args:
        enum_type: The enumeration.
        value: The value of the member.
        name: What the value stands for, for the error message.

    Raises:
        WireError: No member has this value.
    """
    try:
        return enum_type(value)
    except ValueError as error:
        raise WireError(f"unknown {name} {value}") from error


def decode_entries(tail: bytes, offset: int, count: int) -> tuple[api.EngineEntry, ...]:
    """Return the entries of an endpoint list."""
    block = slice_tail(tail, offset, count * ENTRY_SIZE, "an endpoint list")
    return tuple(
        api.EngineEntry(
            engine=engine,
            state=decode_enum(api.EngineState, state, "engine state"),
            started_at=started_at,
            zone=zone,
            machine_type=machine_type,
            cell=cell,
            weight=weight,
        )
        for started_at, zone, machine_type, cell, engine, weight, state in _ENTRY.iter_unpack(block)
    )


def _read_arrival(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    (
        instance,
        request,
        class_index,
        tenant,
        ordering_key,
        timeout,
        estimated_cost,
        estimated_memory_mb,
        table_group,
        flags,
    ) = _ARRIVAL.unpack_from(record)
    return instance, api.Arrival(
        request=request,
        class_index=class_index,
        timeout=timeout,
        tenant=tenant,
        ordering_key=ordering_key,
        estimated_cost=estimated_cost if flags & HAS_ESTIMATE else 0.0,
        estimated_memory_mb=estimated_memory_mb,
        table_group=table_group,
        is_retry=bool(flags & IS_RETRY),
        is_write=bool(flags & IS_WRITE),
    )


def _read_stream_started(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, request, engine, elapsed, attempt = _STREAM_STARTED.unpack_from(record)
    return instance, api.StreamStarted(request, attempt, engine, elapsed)


def _read_progress(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, request, attempt, engine, kind, amount = _PROGRESS.unpack_from(record)
    progress_kind = decode_enum(api.ProgressKind, kind, "progress kind")
    return instance, api.ProgressReport(request, attempt, engine, progress_kind, amount)


def _read_attempt_ended(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, request, attempt, engine, outcome, elapsed, is_final, cost, columns, *report = (
        _ATTEMPT_ENDED.unpack_from(record)
    )
    return instance, api.AttemptEnded(
        request=request,
        attempt=attempt,
        engine=engine,
        outcome=decode_enum(api.Outcome, outcome, "outcome"),
        elapsed=elapsed,
        is_final=bool(is_final),
        work=(cost // WORK_UNIT) / MS_PER_SECOND,
        memory_mb=cost % WORK_UNIT * MEMORY_UNIT_MB,
        load_report=tuple(report[:columns]),
    )


def _read_client_disconnected(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, request = _CLIENT_DISCONNECTED.unpack_from(record)
    return instance, api.ClientDisconnected(request)


def _read_timer(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, token = _TIMER.unpack_from(record)
    return instance, api.TimerFired(token)


def _read_probe_result(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, engine, outcome, elapsed, columns, *report = _PROBE_RESULT.unpack_from(record)
    decoded_outcome = decode_enum(api.Outcome, outcome, "outcome")
    return instance, api.ProbeResult(engine, decoded_outcome, elapsed, tuple(report[:columns]))


def _read_gossip(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, sender, offset, length = _GOSSIP.unpack_from(record)
    return instance, api.PeerMessage(sender, slice_tail(tail, offset, length, "a gossip message"))


# Readers by event code. Each returns the instance that receives the event, and the event.
EVENT_READERS: dict[int, EventReader] = {
    EventCode.ARRIVAL: _read_arrival,
    EventCode.STREAM_STARTED: _read_stream_started,
    EventCode.PROGRESS: _read_progress,
    EventCode.ATTEMPT_ENDED: _read_attempt_ended,
    EventCode.CLIENT_DISCONNECTED: _read_client_disconnected,
    EventCode.TIMER: _read_timer,
    EventCode.PROBE_RESULT: _read_probe_result,
    EventCode.GOSSIP: _read_gossip,
}
