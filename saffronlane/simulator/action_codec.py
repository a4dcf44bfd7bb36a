"""Encodes the actions of `interface` as action records of the simulator's wire protocol."""

from __future__ import annotations

import struct
from enum import IntEnum

from .. import interface as api

ACTION_SIZE = 32  # bytes of an action record
ALL_PEERS = 0xFFFFFFFF
_REPLY_HEADER = struct.Struct(">II")  # number of records, total bytes of the records and the tail


class ActionCode(IntEnum):
    """The code at the start of an action record."""

    SEND_GOSSIP = 1000
    REJECT = 1010
    PANIC = 1020
    SET_TIMER = 1030
    CLOSE_IDLE_CONNECTIONS = 1040
    FAIL = 1050
    DISPATCH = 1060
    PROBE_LOAD = 1070
    SET_RESOURCE_GRANT = 1080
    SUBSCRIBE = 1090
    LOG = 1100
    POLL_ENDPOINTS = 1110
    CANCEL = 1120


class ReplyWriter:
    """Collects the action records of one reply and the tail.

    Records have a fixed size. Data of variable size is in the tail, to which a record refers by offset and
    length.
    """

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def panic(self, instance: int, text: str) -> None:
        """Add the report of an exception that an instance's gateway raised."""
        self._add(">HIII", ActionCode.PANIC, instance, *self._append_to_tail(text.encode()))

    def add(self, instance: int, action: api.Action) -> None:
        """Add an action that an instance's gateway returned."""
        match action:
            case api.Dispatch(request, engine, timeout):  # simulated attempts are sent at once
                self._add(">HIQd6s", ActionCode.DISPATCH, instance, request, timeout, engine)
            case api.SetResourceGrant(request, memory_mb, priority):
                self._add(">HIQfB", ActionCode.SET_RESOURCE_GRANT, instance, request, memory_mb, priority)
            case api.SetTimer(token, deadline):
                self._add(">HIQd", ActionCode.SET_TIMER, instance, token, deadline)
            case api.CancelTimer():  # the protocol has no such action, and the event has no effect
                pass
            case api.Cancel(request, attempt):
                self._add(">HIQB", ActionCode.CANCEL, instance, request, attempt)
            case api.Reject(request, retry_after):
                self._add(">HIQd", ActionCode.REJECT, instance, request, retry_after)
            case api.Fail(request):
                self._add(">HIQ", ActionCode.FAIL, instance, request)
            case api.ProbeLoad(engine):
                self._add(">HI6s", ActionCode.PROBE_LOAD, instance, engine)
            case api.CloseIdleConnections(engine):
                self._add(">HI6s", ActionCode.CLOSE_IDLE_CONNECTIONS, instance, engine)
            case api.SendGossip(peer, data):
                receiver = ALL_PEERS if peer is None else peer
                location = self._append_to_tail(data)
                self._add(">HIIII", ActionCode.SEND_GOSSIP, instance, receiver, *location)
            case api.Subscribe(is_enabled):
                self._add(">HIB", ActionCode.SUBSCRIBE, instance, is_enabled)
            case api.PollEndpoints():
                self._add(">HI", ActionCode.POLL_ENDPOINTS, instance)
            case api.Log(text):
                self._add(">HIII", ActionCode.LOG, instance, *self._append_to_tail(text.encode()))

    def frame(self) -> bytes:
        """Return the encoded reply: header, records and tail."""
        records = b"".join(self._records)
        header = _REPLY_HEADER.pack(len(self._records), len(records) + len(self._tail))
        return header + records + self._tail

    def _add(self, layout: str, *values: object) -> None:
        self._records.append(struct.pack(layout, *values).ljust(ACTION_SIZE, b"\0"))

    def _append_to_tail(self, data: bytes) -> tuple[int, int]:
        """Append data to the tail; return its offset and length."""
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)
