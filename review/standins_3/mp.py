"""A small MessagePack encoder and decoder for stand-in clients (from the public specification)."""

from __future__ import annotations

import struct
from typing import Any


class Incomplete(Exception):
    """The bytes end inside of an object."""


def pack(value: Any) -> bytes:
    """Encode a value in the shortest form."""
    if value is None:
        return b"\xc0"
    if value is True or value is False:
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return _pack_int(value)
    if isinstance(value, str):
        data = value.encode()
        if len(data) < 32:
            return bytes([0xA0 | len(data)]) + data
        return _header(len(data), 0xD9, 0xDA, 0xDB) + data
    if isinstance(value, bytes):
        return _header(len(value), 0xC4, 0xC5, 0xC6) + value
    if isinstance(value, (list, tuple)):
        head = bytes([0x90 | len(value)]) if len(value) < 16 else b"\xdc" + struct.pack(">H", len(value))
        return head + b"".join(map(pack, value))
    if isinstance(value, dict):
        head = bytes([0x80 | len(value)]) if len(value) < 16 else b"\xde" + struct.pack(">H", len(value))
        return head + b"".join(pack(key) + pack(item) for key, item in value.items())
    raise TypeError(type(value))


def _pack_int(value: int) -> bytes:
    if 0 <= value < 0x80:
        return bytes([value])
    for tag, form, limit in ((0xCC, ">B", 1 << 8), (0xCD, ">H", 1 << 16), (0xCE, ">I", 1 << 32)):
        if 0 <= value < limit:
            return bytes([tag]) + struct.pack(form, value)
    return b"\xd3" + struct.pack(">q", value)


def _header(size: int, tag8: int, tag16: int, tag32: int) -> bytes:
    if size < 1 << 8:
        return bytes([tag8, size])
    if size < 1 << 16:
        return bytes([tag16]) + struct.pack(">H", size)
    return bytes([tag32]) + struct.pack(">I", size)


_FIXED = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q"}
_FIXED |= {0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_SIZED = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4, 0xDC: 2, 0xDD: 4, 0xDE: 2, 0xDF: 4}


def unpack(data: bytes, start: int = 0) -> tuple[Any, int]:
    """Decode the value at an offset; return it and the offset of the next one.

    Raises:
        Incomplete: The value isn't complete.
    """
    if start >= len(data):
        raise Incomplete
    tag = data[start]
    position = start + 1
    if tag < 0x80 or tag >= 0xE0:
        return (tag if tag < 0x80 else tag - 256), position
    if tag < 0x90:
        return _map(data, position, tag & 0x0F)
    if tag < 0xA0:
        return _array(data, position, tag & 0x0F)
    if tag < 0xC0:
        return _text(data, position, tag & 0x1F)
    if tag in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[tag], position
    if tag in _FIXED:
        size = struct.calcsize(_FIXED[tag])
        return struct.unpack(_FIXED[tag], _take(data, position, size))[0], position + size
    if tag not in _SIZED:
        raise ValueError(f"tag {tag:#x}")
    width = _SIZED[tag]
    count = int.from_bytes(_take(data, position, width), "big")
    position += width
    if tag <= 0xC6:
        return _take(data, position, count), position + count
    if tag <= 0xDB:
        return _text(data, position, count)
    return _array(data, position, count) if tag <= 0xDD else _map(data, position, count)


def _take(data: bytes, position: int, size: int) -> bytes:
    if position + size > len(data):
        raise Incomplete
    return bytes(data[position : position + size])


def _text(data: bytes, position: int, size: int) -> tuple[str, int]:
    return _take(data, position, size).decode(), position + size


def _array(data: bytes, position: int, count: int) -> tuple[list[Any], int]:
    items = []
    for _ in range(count):
        item, position = unpack(data, position)
        items.append(item)
    return items, position


def _map(data: bytes, position: int, count: int) -> tuple[dict[Any, Any], int]:
    entries = {}
    for _ in range(count):
        key, position = unpack(data, position)
        entries[key], position = unpack(data, position)
    return entries, position
