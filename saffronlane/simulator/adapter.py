"""Adapter between the simulator's wire protocol and `policy.Gateway`. It makes no decisions.

The adapter reads batches of events from standard input and writes one reply per batch to standard output. The
simulator runs several gateway instances. Each instance has its own Gateway, and they share no state.
"""

from __future__ import annotations

import gc
import struct
import sys
import traceback
from typing import BinaryIO

from .. import interface as api
from ..policy import Gateway
from . import event_codec as codec
from . import params, settings
from .action_codec import ReplyWriter
from .errors import WireError
from .event_codec import EVENT_READERS, EVENT_SIZE, EventCode

_BATCH_HEADER = struct.Struct(">IId")  # number of bytes after this field, number of records, time in seconds
_LENGTH_FIELD_BYTES = 4
_MIN_LENGTH = _BATCH_HEADER.size - _LENGTH_FIELD_BYTES
# With the default thresholds, the garbage collector scans the many long-lived gateways too often.
_GC_THRESHOLDS = (200_000, 20, 20)


def read_settings(text: str) -> api.Settings:
    """Convert `path=value` lines into settings.

    Raises:
        WireError: A setting is missing or invalid. The error text names the setting.
    """
    try:
        return settings.read_settings(params.Params.from_lines(text))
    except params.SettingsError as error:
        raise WireError(str(error)) from error


class InstanceHost:
    """The gateway instances of this process, each with its own Gateway."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}
        self._endpoint_tables: dict[int, tuple[api.EngineEntry, ...]] = {}

    def process_batch(self, now: float, records: bytes, tail: bytes) -> bytes:
        """Process one batch and return the encoded reply.

        The events are grouped by instance, and each instance's Gateway is stepped once.
        """
        events_by_instance: dict[int, list[api.Event]] = {}
        for start in range(0, len(records), EVENT_SIZE):
            self._read_record(records[start : start + EVENT_SIZE], tail, events_by_instance)
        writer = ReplyWriter()
        for instance, events in events_by_instance.items():
            self._step(instance, now, events, writer)
        return writer.frame()

    def _read_record(
        self, record: bytes, tail: bytes, events_by_instance: dict[int, list[api.Event]]
    ) -> None:
        (code,) = codec.CODE.unpack_from(record)
        match code:
            case EventCode.INSTANCE_STARTED:
                events_by_instance[self._start_instance(record, tail)] = []
            case EventCode.INSTANCE_STOPPED:
                (instance,) = codec.INSTANCE_STOPPED.unpack_from(record)
                self._gateways.pop(instance, None)
                events_by_instance.pop(instance, None)
            case EventCode.ENDPOINT_TABLE:
                table, offset, count = codec.ENDPOINT_TABLE.unpack_from(record)
                self._endpoint_tables[table] = codec.decode_entries(tail, offset, count)
            case EventCode.ENDPOINTS:
                instance, update = self._read_endpoints(record)
                events_by_instance.setdefault(instance, []).append(update)
            case _ if code in EVENT_READERS:
                instance, event = EVENT_READERS[code](record, tail)
                events_by_instance.setdefault(instance, []).append(event)
            case _:
                raise WireError(f"unknown event code {code}")

    def _start_instance(self, record: bytes, tail: bytes) -> int:
        instance, seed, offset, length = codec.INSTANCE_STARTED.unpack_from(record)
        text = codec.slice_tail(tail, offset, length, "params").decode("utf-8", "replace")
        try:
            self._gateways[instance] = Gateway(read_settings(text), seed)
        except ValueError as error:
            raise WireError(f"invalid settings: {error}") from error
        return int(instance)

    def _read_endpoints(self, record: bytes) -> tuple[int, api.EndpointListUpdate]:
        instance, mode, version, table = codec.ENDPOINTS.unpack_from(record)
        list_mode = codec.decode_enum(api.EndpointListMode, mode, "list mode")
        if list_mode is api.EndpointListMode.FAILED:
            return instance, api.EndpointListUpdate(list_mode, version)
        if table not in self._endpoint_tables:
            raise WireError(f"endpoints record refers to endpoint table {table}, which was not sent")
        return instance, api.EndpointListUpdate(list_mode, version, self._endpoint_tables[table])

    def _step(self, instance: int, now: float, events: list[api.Event], writer: ReplyWriter) -> None:
        gateway = self._gateways.get(instance)
        if gateway is None:
            raise WireError(f"event for instance {instance}, which is not running")
        try:
            for action in gateway.step(now, events):
                writer.add(instance, action)
        except Exception:  # the protocol requires that any exception of a gateway is reported as a panic
            writer.panic(instance, traceback.format_exc())


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends.

    Raises:
        WireError: A batch is truncated or inconsistent.
    """
    host = InstanceHost()
    while first := source.read(1):
        header = first + _read_exactly(source, _BATCH_HEADER.size - 1, "a batch header")
        length, count, now = _BATCH_HEADER.unpack(header)
        body = _read_exactly(source, length - _MIN_LENGTH, "a batch") if length >= _MIN_LENGTH else b""
        records_size = count * EVENT_SIZE
        if length < _MIN_LENGTH or len(body) < records_size:
            raise WireError(f"batch of {length} bytes is too short for {count} records")
        sink.write(host.process_batch(now, body[:records_size], body[records_size:]))
        sink.flush()


def main() -> int:
    """Serve batches on standard input and output, and return the exit code."""
    gc.set_threshold(*_GC_THRESHOLDS)
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"adapter: {error}", file=sys.stderr)
        return 2
    return 0


def _read_exactly(stream: BinaryIO, size: int, name: str) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise WireError(f"input ended inside {name}")
    return data


if __name__ == "__main__":
    sys.exit(main())
