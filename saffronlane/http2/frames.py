"""Frames (RFC 9113 sections 4 and 6): cutting a byte stream into them, and making them."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from .errors import ErrorCode, ProtocolError

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HEAD_SIZE = 9
DEFAULT_FRAME_SIZE = 16_384
MOST_FRAME_SIZE = 16_777_215
MOST_WINDOW = 2**31 - 1
DEFAULT_WINDOW = 65_535

_HEAD = struct.Struct(">HBBBL")
_SETTING = struct.Struct(">HL")
_LONG = struct.Struct(">L")
_TWO_LONGS = struct.Struct(">LL")


class FrameType(IntEnum):
    DATA = 0
    HEADERS = 1
    PRIORITY = 2
    RST_STREAM = 3
    SETTINGS = 4
    PUSH_PROMISE = 5
    PING = 6
    GOAWAY = 7
    WINDOW_UPDATE = 8
    CONTINUATION = 9


class Setting(IntEnum):
    HEADER_TABLE_SIZE = 1
    ENABLE_PUSH = 2
    MAX_CONCURRENT_STREAMS = 3
    INITIAL_WINDOW_SIZE = 4
    MAX_FRAME_SIZE = 5
    MAX_HEADER_LIST_SIZE = 6


END_STREAM = ACK = 0x1
END_HEADERS = 0x4
PADDED = 0x8
PRIORITY = 0x20


class Frame(NamedTuple):
    kind: int
    flags: int
    stream_id: int
    payload: bytes


class FrameReader:
    """Cuts what arrives into frames, wherever the chunks end. Holds at most one frame and one chunk."""

    def __init__(self, most: int = DEFAULT_FRAME_SIZE) -> None:
        self.most = most
        self._held = b""

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the whole frames; ProtocolError at the first whose length passes `most`."""
        data = self._held + data if self._held else data
        at, end = 0, len(data)
        try:
            while end - at >= HEAD_SIZE:
                high, low, kind, flags, stream_id = _HEAD.unpack_from(data, at)
                length = high << 8 | low
                if length > self.most:
                    text = f"frame of type {kind} has {length} bytes, more than {self.most}"
                    raise ProtocolError(text, ErrorCode.FRAME_SIZE_ERROR)
                stop = at + HEAD_SIZE + length
                if stop > end:
                    break
                start, at = at + HEAD_SIZE, stop
                yield Frame(kind, flags, stream_id & MOST_WINDOW, data[start:stop])
        finally:
            self._held = data[at:]


def frame(kind: int, flags: int, stream_id: int, payload: bytes = b"") -> bytes:
    length = len(payload)
    return _HEAD.pack(length >> 8, length & 255, kind, flags, stream_id) + payload


def head(kind: int, flags: int, stream_id: int, length: int) -> bytes:
    return _HEAD.pack(length >> 8, length & 255, kind, flags, stream_id)


def settings(values: dict[int, int]) -> bytes:
    return frame(FrameType.SETTINGS, 0, 0, b"".join(_SETTING.pack(k, v) for k, v in values.items()))


def window_update(stream_id: int, amount: int) -> bytes:
    return frame(FrameType.WINDOW_UPDATE, 0, stream_id, _LONG.pack(amount))


def rst_stream(stream_id: int, code: int) -> bytes:
    return frame(FrameType.RST_STREAM, 0, stream_id, _LONG.pack(code))


def ping(payload: bytes, ack: bool = False) -> bytes:
    return frame(FrameType.PING, ACK if ack else 0, 0, payload)


def goaway(last_stream_id: int, code: int, text: str = "") -> bytes:
    payload = _TWO_LONGS.pack(last_stream_id, code) + text.encode()[:256]
    return frame(FrameType.GOAWAY, 0, 0, payload)


def header_block(stream_id: int, block: bytes, end_stream: bool, most: int) -> bytes:
    """HEADERS, and CONTINUATIONs where the block passes one frame (sections 6.2 and 6.10)."""
    flags = END_STREAM if end_stream else 0
    if len(block) <= most:
        return frame(FrameType.HEADERS, flags | END_HEADERS, stream_id, block)
    parts = [block[at : at + most] for at in range(0, len(block), most)]
    out = [frame(FrameType.HEADERS, flags, stream_id, parts[0])]
    out += [frame(FrameType.CONTINUATION, 0, stream_id, part) for part in parts[1:-1]]
    out.append(frame(FrameType.CONTINUATION, END_HEADERS, stream_id, parts[-1]))
    return b"".join(out)


def read_settings(payload: bytes) -> list[tuple[int, int]]:
    if len(payload) % _SETTING.size:
        raise ProtocolError("SETTINGS is no multiple of 6 bytes", ErrorCode.FRAME_SIZE_ERROR)
    return list(_SETTING.iter_unpack(payload))


def read_long(payload: bytes, what: str) -> int:
    if len(payload) != _LONG.size:
        raise ProtocolError(f"{what} has {len(payload)} bytes instead of 4", ErrorCode.FRAME_SIZE_ERROR)
    (value,) = _LONG.unpack(payload)
    return int(value)


def read_goaway(payload: bytes) -> tuple[int, int, str]:
    if len(payload) < _TWO_LONGS.size:
        raise ProtocolError("GOAWAY has under 8 bytes", ErrorCode.FRAME_SIZE_ERROR)
    last, code = _TWO_LONGS.unpack_from(payload)
    return last & MOST_WINDOW, code, payload[8:264].decode("utf-8", "replace")


def strip_padding(received: Frame) -> bytes:
    """The payload without padding and priority (sections 6.1 and 6.2)."""
    payload = received.payload
    if received.flags & PADDED:
        if not payload or payload[0] >= len(payload):
            raise ProtocolError(f"padding passes the frame on stream {received.stream_id}")
        payload = payload[1 : len(payload) - payload[0]]
    if received.kind == FrameType.HEADERS and received.flags & PRIORITY:
        if len(payload) < 5:
            text = f"HEADERS on stream {received.stream_id} is too short for its priority"
            raise ProtocolError(text, ErrorCode.FRAME_SIZE_ERROR)
        if int.from_bytes(payload[:4], "big") & MOST_WINDOW == received.stream_id:
            raise ProtocolError(f"stream {received.stream_id} depends on itself")
        payload = payload[5:]
    return payload
