"""Parsing and encoding of frames (RFC 9113 sections 4 and 6)."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from .errors import ErrorCode, ProtocolError

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_HEADER_SIZE = 9
DEFAULT_MAX_FRAME_SIZE = 16_384
MAX_ALLOWED_FRAME_SIZE = 16_777_215
MAX_WINDOW = 2**31 - 1  # also the mask that clears the reserved bit of a 31-bit field
DEFAULT_WINDOW = 65_535

_FRAME_HEADER = struct.Struct(">HBBBL")
_SETTING = struct.Struct(">HL")
_UINT32 = struct.Struct(">L")
_TWO_UINT32 = struct.Struct(">LL")


class FrameType(IntEnum):
    """Frame types (RFC 9113 section 6)."""

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
    """Identifiers of settings (RFC 9113 section 6.5.2)."""

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
    """A frame. `frame_type` may be a type that `FrameType` does not define."""

    frame_type: int
    flags: int
    stream_id: int
    payload: bytes


class FrameReader:
    """Splits a byte stream into frames.

    It buffers at most one frame and one chunk.

    Args:
        max_frame_size: The largest accepted payload in bytes.
    """

    def __init__(self, max_frame_size: int = DEFAULT_MAX_FRAME_SIZE) -> None:
        self.max_frame_size = max_frame_size
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are complete.

        Args:
            data: The next chunk. Frames may be split at any position.

        Raises:
            ProtocolError: A frame is larger than `max_frame_size`.
        """
        data = self._buffer + data if self._buffer else data
        offset, end = 0, len(data)
        try:
            while end - offset >= FRAME_HEADER_SIZE:
                high, low, frame_type, flags, stream_id = _FRAME_HEADER.unpack_from(data, offset)
                length = high << 8 | low
                if length > self.max_frame_size:
                    text = f"frame of type {frame_type} has {length} bytes, more than {self.max_frame_size}"
                    raise ProtocolError(text, ErrorCode.FRAME_SIZE_ERROR)
                stop = offset + FRAME_HEADER_SIZE + length
                if stop > end:
                    break
                start, offset = offset + FRAME_HEADER_SIZE, stop
                yield Frame(frame_type, flags, stream_id & MAX_WINDOW, data[start:stop])
        finally:
            self._buffer = data[offset:]


def frame(frame_type: int, flags: int, stream_id: int, payload: bytes = b"") -> bytes:
    """Encode a frame."""
    length = len(payload)
    return _FRAME_HEADER.pack(length >> 8, length & 255, frame_type, flags, stream_id) + payload


def frame_header(frame_type: int, flags: int, stream_id: int, length: int) -> bytes:
    """Encode a frame header for a payload of `length` bytes."""
    return _FRAME_HEADER.pack(length >> 8, length & 255, frame_type, flags, stream_id)


def settings(values: dict[int, int]) -> bytes:
    """Encode a SETTINGS frame."""
    return frame(FrameType.SETTINGS, 0, 0, b"".join(_SETTING.pack(k, v) for k, v in values.items()))


def window_update(stream_id: int, increment: int) -> bytes:
    """Encode a WINDOW_UPDATE frame. Stream 0 stands for the window of the connection."""
    return frame(FrameType.WINDOW_UPDATE, 0, stream_id, _UINT32.pack(increment))


def rst_stream(stream_id: int, code: int) -> bytes:
    """Encode a RST_STREAM frame."""
    return frame(FrameType.RST_STREAM, 0, stream_id, _UINT32.pack(code))


def ping(payload: bytes, ack: bool = False) -> bytes:
    """Encode a PING frame, or its acknowledgement."""
    return frame(FrameType.PING, ACK if ack else 0, 0, payload)


def goaway(last_stream_id: int, code: int, text: str = "") -> bytes:
    """Encode a GOAWAY frame. The debug data is cut to 256 bytes."""
    payload = _TWO_UINT32.pack(last_stream_id, code) + text.encode()[:256]
    return frame(FrameType.GOAWAY, 0, 0, payload)


def header_frames(stream_id: int, block: bytes, end_stream: bool, max_frame_size: int) -> bytes:
    """Encode a header block as HEADERS and, if it exceeds one frame, CONTINUATION frames.

    See sections 6.2 and 6.10.

    Args:
        stream_id: The stream.
        block: The encoded header list.
        end_stream: Whether the header block ends the stream.
        max_frame_size: The largest payload in bytes that the peer accepts.
    """
    flags = END_STREAM if end_stream else 0
    if len(block) <= max_frame_size:
        return frame(FrameType.HEADERS, flags | END_HEADERS, stream_id, block)
    parts = [block[i : i + max_frame_size] for i in range(0, len(block), max_frame_size)]
    encoded = [frame(FrameType.HEADERS, flags, stream_id, parts[0])]
    encoded += [frame(FrameType.CONTINUATION, 0, stream_id, part) for part in parts[1:-1]]
    encoded.append(frame(FrameType.CONTINUATION, END_HEADERS, stream_id, parts[-1]))
    return b"".join(encoded)


def read_settings(payload: bytes) -> list[tuple[int, int]]:
    """Parse the payload of SETTINGS into pairs of identifier and value.

    Raises:
        ProtocolError: The size of the payload is invalid.
    """
    if len(payload) % _SETTING.size:
        raise ProtocolError(
            f"SETTINGS payload has {len(payload)} bytes, which is not a multiple of 6",
            ErrorCode.FRAME_SIZE_ERROR,
        )
    return list(_SETTING.iter_unpack(payload))


def read_uint32(payload: bytes, frame_name: str) -> int:
    """Parse a payload that is one 32-bit number.

    Args:
        payload: The payload.
        frame_name: The frame type, for the error message.

    Raises:
        ProtocolError: The size of the payload is invalid.
    """
    if len(payload) != _UINT32.size:
        raise ProtocolError(
            f"{frame_name} payload has {len(payload)} bytes, expected 4", ErrorCode.FRAME_SIZE_ERROR
        )
    (value,) = _UINT32.unpack(payload)
    return int(value)


def read_goaway(payload: bytes) -> tuple[int, int, str]:
    """Parse the payload of GOAWAY into last stream identifier, error code and debug data.

    Raises:
        ProtocolError: The payload is too short.
    """
    if len(payload) < _TWO_UINT32.size:
        raise ProtocolError(
            f"GOAWAY payload has {len(payload)} bytes, expected at least 8", ErrorCode.FRAME_SIZE_ERROR
        )
    last_stream_id, code = _TWO_UINT32.unpack_from(payload)
    return last_stream_id & MAX_WINDOW, code, payload[8:264].decode("utf-8", "replace")


def strip_padding(received_frame: Frame) -> bytes:
    """Return the payload of a DATA or HEADERS frame without padding and priority fields.

    See sections 6.1 and 6.2.

    Raises:
        ProtocolError: The padding or the priority fields are invalid.
    """
    payload = received_frame.payload
    if received_frame.flags & PADDED:
        if not payload or payload[0] >= len(payload):
            raise ProtocolError(f"padding exceeds the frame on stream {received_frame.stream_id}")
        payload = payload[1 : len(payload) - payload[0]]
    if received_frame.frame_type == FrameType.HEADERS and received_frame.flags & PRIORITY:
        if len(payload) < 5:
            text = f"HEADERS on stream {received_frame.stream_id} is too short for its priority fields"
            raise ProtocolError(text, ErrorCode.FRAME_SIZE_ERROR)
        if int.from_bytes(payload[:4], "big") & MAX_WINDOW == received_frame.stream_id:
            raise ProtocolError(f"stream {received_frame.stream_id} depends on itself")
        payload = payload[5:]
    return payload
