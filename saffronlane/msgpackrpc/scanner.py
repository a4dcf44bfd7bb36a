"""Finds where a MessagePack message ends before anything of it is decoded.

Iterative and incremental: bytes may come in any pieces, and nothing is allocated from a length that a peer
only declared. A message that would be too long, too full or no call at all is an error at its first byte that
says so, however much was still to come.
"""

from __future__ import annotations

from .errors import ScanError

_FIXED = {0xC0: 0, 0xC2: 0, 0xC3: 0, 0xCA: 4, 0xCB: 8}
_FIXED |= {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8, 0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
_FIXED |= {0xD4: 2, 0xD5: 3, 0xD6: 5, 0xD7: 9, 0xD8: 17}  # ext with a fixed length
_SIZED = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}  # bin and str: bytes of their length
_EXT = {0xC7: 1, 0xC8: 2, 0xC9: 4}  # and one byte more, the type
_COUNTED = {0xDC: (2, 1), 0xDD: (4, 1), 0xDE: (2, 2), 0xDF: (4, 2)}  # arrays and maps: items an entry


class Scanner:
    """Cuts a stream of bytes into whole messages.

    Args:
        max_bytes: of a message.
        max_items: of a message, nested ones included, which also limits the depth.
    """

    def __init__(self, max_bytes: int, max_items: int) -> None:
        self._max_bytes, self._max_items = max_bytes, max_items
        self._buffer = bytearray()
        self._begin_message()

    def _begin_message(self) -> None:
        self._position = 0  # where the next item begins, in the buffer
        self._remaining_items = 1  # items still to come of the message
        self._item_count = 0

    @property
    def pending(self) -> int:
        """Bytes of a message that is not whole."""
        return len(self._buffer)

    def feed(self, data: bytes) -> tuple[list[bytes], ScanError | None]:
        """The messages that are whole now, in order, and what is wrong with the bytes after them."""
        self._buffer += data
        found: list[bytes] = []
        try:
            while self._buffer and self._scan():
                found.append(bytes(self._buffer[: self._position]))
                del self._buffer[: self._position]
                self._begin_message()
        except ScanError as error:
            self._buffer.clear()
            return found, error
        return found, None

    def _scan(self) -> bool:
        """Go on to the message's end; whether it is reached."""
        buffer, at = self._buffer, self._position
        size = len(buffer)
        while self._remaining_items:
            if at >= size:
                self._position = at
                return False
            end, inside = self._item(at)
            if end < 0:  # its head is not whole
                self._position = at
                return False
            if end > self._max_bytes:
                raise ScanError(f"a message of more than {self._max_bytes} bytes")
            if end > size and not inside:  # a string: what is there of it need not be looked at again
                self._position = at
                return False
            self._item_count += 1
            self._remaining_items += inside - 1
            if self._item_count + self._remaining_items > self._max_items:
                raise ScanError(f"a message of more than {self._max_items} items")
            at = end
        self._position = at
        return True

    def _item(self, at: int) -> tuple[int, int]:
        """Where the item that begins here ends, containers after their head, and how many items it opens."""
        tag = self._buffer[at]
        if not at and not 0x93 <= tag <= 0x94:
            raise ScanError(f"no call begins with byte {tag:#04x}")
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
        width, extra = (_SIZED[tag], 0) if tag in _SIZED else (_EXT.get(tag, 0), 1)
        if tag in _COUNTED:
            width, times = _COUNTED[tag]
            count = self._number(at + 1, width)
            return (-1, 0) if count is None else (at + 1 + width, count * times)
        if not width:
            raise ScanError(f"byte {tag:#04x} means nothing in MessagePack")
        length = self._number(at + 1, width)
        return (-1, 0) if length is None else (at + 1 + width + extra + length, 0)

    def _number(self, at: int, width: int) -> int | None:
        data = self._buffer[at : at + width]
        return int.from_bytes(data, "big") if len(data) == width else None
