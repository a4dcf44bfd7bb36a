"""Finds the end of a MessagePack message before any of it is decoded.

The scanner is iterative and incremental: bytes may come in any pieces, and nothing is allocated by a length
that a peer only declares. A message that is too long, has too many items or is no call is an error at the
first byte that shows it.
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
    """Splits a stream of bytes into whole messages.

    Args:
        max_bytes: of a message.
        max_items: of a message, nested ones included, which also limits the depth.
    """

    def __init__(self, max_bytes: int, max_items: int) -> None:
        self._max_bytes = max_bytes
        self._max_items = max_items
        self._buffer = bytearray()
        self._begin_message()

    def _begin_message(self) -> None:
        self._position = 0  # of the next item, in the buffer
        self._remaining_items = 1  # of the message, as far as declared
        self._item_count = 0

    @property
    def pending(self) -> int:
        """Number of bytes of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> tuple[list[bytes], ScanError | None]:
        """Return the messages that are complete now, and the error in the bytes after them, if any."""
        self._buffer += data
        messages: list[bytes] = []
        try:
            while self._buffer and self._scan():
                messages.append(bytes(self._buffer[: self._position]))
                del self._buffer[: self._position]
                self._begin_message()
        except ScanError as error:
            self._buffer.clear()
            return messages, error
        return messages, None

    def _scan(self) -> bool:
        """Advance towards the end of the message; return whether it is reached."""
        position = self._position
        size = len(self._buffer)
        while self._remaining_items:
            if position >= size:
                self._position = position
                return False
            end, nested = self._item(position)
            if end < 0:  # its head is incomplete
                self._position = position
                return False
            if end > self._max_bytes:
                raise ScanError(f"a message of more than {self._max_bytes} bytes")
            if end > size and not nested:  # an incomplete string, skipped once it is complete
                self._position = position
                return False
            self._item_count += 1
            self._remaining_items += nested - 1
            if self._item_count + self._remaining_items > self._max_items:
                raise ScanError(f"a message of more than {self._max_items} items")
            position = end
        self._position = position
        return True

    def _item(self, position: int) -> tuple[int, int]:
        """Return where an item ends, a container after its head, and the number of items in it.

        The end is -1 where the item's head is incomplete.
        """
        tag = self._buffer[position]
        if not position and not 0x93 <= tag <= 0x94:
            raise ScanError(f"a message begins with byte {tag:#04x}, expected 0x93 or 0x94")
        if tag <= 0x7F or tag >= 0xE0:
            return position + 1, 0
        if tag <= 0x8F:
            return position + 1, 2 * (tag & 0x0F)
        if tag <= 0x9F:
            return position + 1, tag & 0x0F
        if tag <= 0xBF:
            return position + 1 + (tag & 0x1F), 0
        if tag in _FIXED:
            return position + 1 + _FIXED[tag], 0
        width, extra = (_SIZED[tag], 0) if tag in _SIZED else (_EXT.get(tag, 0), 1)
        if tag in _COUNTED:
            width, times = _COUNTED[tag]
            count = self._number(position + 1, width)
            return (-1, 0) if count is None else (position + 1 + width, count * times)
        if not width:
            raise ScanError(f"byte {tag:#04x} is reserved in MessagePack")
        length = self._number(position + 1, width)
        return (-1, 0) if length is None else (position + 1 + width + extra + length, 0)

    def _number(self, position: int, width: int) -> int | None:
        data = self._buffer[position : position + width]
        return int.from_bytes(data, "big") if len(data) == width else None
