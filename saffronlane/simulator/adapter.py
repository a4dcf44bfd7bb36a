"""Adapter between the simulator's wire and `policy.Gateway`: it translates and decides nothing.

Batches come on standard input, one reply a batch leaves on standard output. Each instance has a
Gateway of its own; they share no state.
"""

from __future__ import annotations

import gc
import struct
import sys
import traceback
from collections.abc import Callable
from enum import IntEnum
from typing import BinaryIO, TypeVar

from .. import interface as api
from ..errors import SaffronlaneError
from ..policy import Gateway
from . import settings as params

EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE, HEADER_SIZE = 56, 32, 24, 16
ALL_PEERS = 0xFFFFFFFF
WORK_UNIT, MEMORY_UNIT_MB = 4096, 4.0

E = TypeVar("E", bound=IntEnum)

_HEAD = struct.Struct(">IId")
_REPLY = struct.Struct(">II")
_CODE = struct.Struct(">H")
_BORN = struct.Struct(">2xIQII")
_INSTANCE = struct.Struct(">2xI")
_TABLE = struct.Struct(">2xHII")
_MEMBERS = struct.Struct(">2xIBIH")
_ASK = struct.Struct(">2xIQHIQddffB")
_UNDER_WAY = struct.Struct(">2xIQ6sdB")
_NOTE = struct.Struct(">2xIQB6sBf")
_REPORT_BACK = struct.Struct(">2xIQB6sHdBIB4f")
_HANGUP = struct.Struct(">2xIQ")
_REMINDER = struct.Struct(">2xIQ")
_PING_RESULT = struct.Struct(">2xI6sHdB4f")
_DATAGRAM = struct.Struct(">2xIHII")
_ENTRY = struct.Struct(">dBHH6sfB")


class WireError(SaffronlaneError):
    """The input is not what the wire allows; the text names what is wrong."""

    remedy = "Run it under the simulator that it was made for; the text names what came instead."


def read_settings(text: str) -> api.Settings:
    """Turn the lines of `params` into Settings; WireError names what is missing or odd."""
    try:
        return params.read_settings(params.Params.of_lines(text))
    except params.SettingsError as error:
        raise WireError(str(error)) from None


# --- events ---------------------------------------------------------------------------------------


def _span(tail: bytes, offset: int, length: int, what: str) -> bytes:
    if offset + length > len(tail):
        raise WireError(f"{what} reaches past the end of the tail")
    return tail[offset : offset + length]


def _enum(kind: type[E], value: int, what: str) -> E:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"unknown {what} {value}") from None


def _entries(tail: bytes, offset: int, count: int) -> tuple[api.EngineEntry, ...]:
    block = _span(tail, offset, count * ENTRY_SIZE, "an engine list")
    return tuple(
        api.EngineEntry(node, _enum(api.EngineState, state, "availability"), born, zone, kind, cell, weight)
        for born, zone, kind, cell, node, weight, state in _ENTRY.iter_unpack(block)
    )


def _ask(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, corr, cls, tenant, key, remaining, cost, memory, tables, flags = _ASK.unpack_from(record)
    return instance, api.Arrival(
        corr,
        cls,
        remaining,
        tenant,
        key,
        cost if flags & 1 else 0.0,
        memory,
        tables,
        bool(flags & 2),
        bool(flags & 4),
    )


def _under_way(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, corr, node, spent, n = _UNDER_WAY.unpack_from(record)
    return instance, api.StreamStarted(corr, n, node, spent)


def _note(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, corr, n, node, topic, amount = _NOTE.unpack_from(record)
    return instance, api.ProgressReport(corr, n, node, _enum(api.ProgressKind, topic, "note topic"), amount)


def _report_back(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, corr, n, node, how, spent, over, true_cost, columns, *report = _REPORT_BACK.unpack_from(record)
    return instance, api.AttemptEnded(
        corr,
        n,
        node,
        _enum(api.Outcome, how, "outcome"),
        spent,
        bool(over),
        (true_cost // WORK_UNIT) / 1000.0,
        true_cost % WORK_UNIT * MEMORY_UNIT_MB,
        tuple(report[:columns]),
    )


def _hangup(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, corr = _HANGUP.unpack_from(record)
    return instance, api.ClientDisconnected(corr)


def _reminder(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, token = _REMINDER.unpack_from(record)
    return instance, api.TimerFired(token)


def _ping_result(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, node, how, spent, columns, *report = _PING_RESULT.unpack_from(record)
    outcome = _enum(api.Outcome, how, "outcome")
    return instance, api.ProbeResult(node, outcome, spent, tuple(report[:columns]))


def _datagram(record: bytes, tail: bytes) -> tuple[int, api.Event]:
    instance, sender, offset, length = _DATAGRAM.unpack_from(record)
    return instance, api.PeerMessage(sender, _span(tail, offset, length, "a peer message"))


EVENT_READERS: dict[int, Callable[[bytes, bytes], tuple[int, api.Event]]] = {
    1090: _ask,
    1030: _under_way,
    1050: _note,
    1020: _report_back,
    1110: _hangup,
    1070: _reminder,
    1000: _ping_result,
    1080: _datagram,
}
BORN, DOWN, TABLE, MEMBERS = 1100, 1010, 1060, 1040


# --- actions --------------------------------------------------------------------------------------


class ReplyWriter:
    """Collects the action records of one reply and the tail they point into."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _add(self, layout: str, *values: object) -> None:
        self._records.append(struct.pack(layout, *values).ljust(ACTION_SIZE, b"\0"))

    def _keep(self, data: bytes) -> tuple[int, int]:
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)

    def panic(self, instance: int, text: str) -> None:
        self._add(">HIII", 1020, instance, *self._keep(text.encode()))

    def add(self, instance: int, action: api.Action) -> None:
        match action:
            case api.Dispatch(request, engine, timeout):
                self._add(">HIQd6s", 1060, instance, request, timeout, engine)
            case api.SetResourceGrant(request, grant, priority):
                self._add(">HIQfB", 1080, instance, request, grant, priority)
            case api.SetTimer(token, at):
                self._add(">HIQd", 1030, instance, token, at)
            case api.Cancel(request, attempt):
                self._add(">HIQB", 1120, instance, request, attempt)
            case api.Reject(request, retry_after):
                self._add(">HIQd", 1010, instance, request, retry_after)
            case api.Fail(request):
                self._add(">HIQ", 1050, instance, request)
            case api.ProbeLoad(engine):
                self._add(">HI6s", 1070, instance, engine)
            case api.CloseIdleConnections(engine):
                self._add(">HI6s", 1040, instance, engine)
            case api.SendGossip(peer, data):
                self._add(">HIIII", 1000, instance, ALL_PEERS if peer is None else peer, *self._keep(data))
            case api.Subscribe(on):
                self._add(">HIB", 1090, instance, on)
            case api.PollEndpoints():
                self._add(">HI", 1110, instance)
            case api.Log(text):
                self._add(">HIII", 1100, instance, *self._keep(text.encode()))

    def frame(self) -> bytes:
        records = b"".join(self._records)
        return _REPLY.pack(len(self._records), len(records) + len(self._tail)) + records + self._tail


# --- batches --------------------------------------------------------------------------------------


class Host:
    """The instances of this process, each with its own Gateway."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}
        self._pages: dict[int, tuple[api.EngineEntry, ...]] = {}

    def reply(self, now: float, records: bytes, tail: bytes) -> bytes:
        """Answer one batch: sort its events by instance, step each Gateway once."""
        writer = ReplyWriter()
        pending: dict[int, list[api.Event]] = {}
        for start in range(0, len(records), EVENT_SIZE):
            record = records[start : start + EVENT_SIZE]
            (code,) = _CODE.unpack_from(record)
            if code == BORN:
                instance, nonce, offset, length = _BORN.unpack_from(record)
                text = _span(tail, offset, length, "params").decode("utf-8", "replace")
                try:
                    self._gateways[instance] = Gateway(read_settings(text), nonce)
                except ValueError as error:
                    raise WireError(f"settings make no sense: {error}") from None
                pending[instance] = []
            elif code == DOWN:
                (instance,) = _INSTANCE.unpack_from(record)
                self._gateways.pop(instance, None)
                pending.pop(instance, None)
            elif code == TABLE:
                page, offset, count = _TABLE.unpack_from(record)
                self._pages[page] = _entries(tail, offset, count)
            elif code == MEMBERS:
                instance, mode, version, page = _MEMBERS.unpack_from(record)
                list_mode = _enum(api.EndpointListMode, mode, "list mode")
                failed = list_mode is api.EndpointListMode.FAILED
                if not failed and page not in self._pages:
                    raise WireError(f"members names list {page}, which no table gave")
                entries = () if failed else self._pages[page]
                pending.setdefault(instance, []).append(api.EndpointListUpdate(list_mode, version, entries))
            elif code in EVENT_READERS:
                instance, event = EVENT_READERS[code](record, tail)
                pending.setdefault(instance, []).append(event)
            else:
                raise WireError(f"unknown event code {code}")
        for instance, events in pending.items():
            self._step(instance, now, events, writer)
        return writer.frame()

    def _step(self, instance: int, now: float, events: list[api.Event], writer: ReplyWriter) -> None:
        gateway = self._gateways.get(instance)
        if gateway is None:
            raise WireError(f"event for instance {instance}, which was not born")
        try:
            for action in gateway.step(now, events):
                writer.add(instance, action)
        except Exception:  # the wire wants any fault of the decision code told as a panic
            writer.panic(instance, traceback.format_exc())


def _read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise WireError(f"input ends inside {what}")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while first := source.read(1):
        head = first + _read_exactly(source, HEADER_SIZE - 1, "a batch header")
        length, count, now = _HEAD.unpack(head)
        body = (
            _read_exactly(source, length - (HEADER_SIZE - 4), "a batch") if length >= HEADER_SIZE - 4 else b""
        )
        if length < HEADER_SIZE - 4 or len(body) < count * EVENT_SIZE:
            raise WireError(f"batch of {length} bytes is too short for {count} records")
        records, tail = body[: count * EVENT_SIZE], body[count * EVENT_SIZE :]
        sink.write(host.reply(now, records, tail))
        sink.flush()


def main() -> int:
    gc.set_threshold(200_000, 20, 20)  # many long-lived gateways: the default scans them all too often
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
