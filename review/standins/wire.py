"""The two protocols of the platform, as its protocol page gives them: RESP arrays and MessagePack-RPC."""

from __future__ import annotations

import struct
from typing import Any

import msgspec


def resp(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


class RespReader:
    """Splits received bytes into arrays of bulk strings."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Add bytes and return the complete arrays."""
        self._buffer += data
        arrays = []
        while (found := self._parse()) is not None:
            words, end = found
            del self._buffer[:end]
            arrays.append(words)
        return arrays

    def _line(self, at: int) -> tuple[int, int] | None:
        end = self._buffer.find(b"\r\n", at)
        return None if end < 0 else (int(self._buffer[at + 1 : end]), end + 2)

    def _parse(self) -> tuple[list[bytes], int] | None:
        header = self._line(0) if self._buffer else None
        if header is None:
            return None
        count, at = header
        words = []
        for _ in range(count):
            line = self._line(at) if at < len(self._buffer) else None
            if line is None or len(self._buffer) < line[1] + line[0] + 2:
                return None
            length, start = line
            words.append(bytes(self._buffer[start : start + length]))
            at = start + length + 2
        return words, at


_PACK = msgspec.msgpack.encode


def call(message_id: int, method: str, fields: dict[str, str], body: bytes | None = None) -> bytes:
    """Encode a call."""
    return _PACK([0, message_id, method, [fields] if body is None else [fields, body]])


def forget(message_id: int) -> bytes:
    """Encode the notice that a client no longer waits for a call."""
    return _PACK([2, "forget", [message_id]])


_FIXED = {0xC0: 0, 0xC2: 0, 0xC3: 0, 0xCA: 4, 0xCB: 8, 0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
_FIXED |= {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
_SIZED = {0xC4: ">B", 0xC5: ">H", 0xC6: ">I", 0xD9: ">B", 0xDA: ">H", 0xDB: ">I"}
_COUNTED = {0xDC: (">H", 1), 0xDD: (">I", 1), 0xDE: (">H", 2), 0xDF: (">I", 2)}


def _item(data: bytearray, at: int) -> tuple[int, int]:
    """Return where an item (of a container: its header) ends, and how many items follow inside it."""
    tag = data[at]
    if tag <= 0x7F or tag >= 0xE0:
        return at + 1, 0
    if tag <= 0x8F:
        return at + 1, 2 * (tag & 0x0F)
    if tag <= 0x9F:
        return at + 1, tag & 0x0F
    if tag <= 0xBF:
        return at + 1 + (tag & 0x1F), 0
    if tag in _FIXED:
        return at + 1 + _FIXED[tag], 0
    if tag in _SIZED:
        form = _SIZED[tag]
        return at + 1 + struct.calcsize(form) + struct.unpack_from(form, data, at + 1)[0], 0
    form, factor = _COUNTED[tag]
    return at + 1 + struct.calcsize(form), factor * struct.unpack_from(form, data, at + 1)[0]


class MessageReader:
    """Splits received bytes into MessagePack messages and decodes them."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Add bytes and return the complete messages."""
        self._buffer += data
        messages = []
        while self._buffer and (end := self._end()) is not None:
            messages.append(msgspec.msgpack.decode(bytes(self._buffer[:end])))
            del self._buffer[:end]
        return messages

    def _end(self) -> int | None:
        at, left = 0, 1
        try:
            while left:
                at, inner = _item(self._buffer, at)
                left += inner - 1
        except (IndexError, struct.error):
            return None
        return at if at <= len(self._buffer) else None
