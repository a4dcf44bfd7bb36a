"""Finds the end of a MessagePack message before any part of the message is decoded.

The scanner is iterative and incremental. Bytes may arrive in pieces of any size, and a length that a peer
declares allocates no memory until the bytes arrive. A message that is too long, has too many items or is not
a MessagePack-RPC message is rejected at the first byte that shows it.
"""

from __future__ import annotations

from typing import NamedTuple

from .errors import ScanError

HEAD_BYTES = 20  # kept of a discarded message; they contain its type and its id

# Tables by tag. The tag is the first byte of an item.
_FIXED_PAYLOAD_BYTES = {0xC0: 0, 0xC2: 0, 0xC3: 0, 0xCA: 4, 0xCB: 8}  # nil, booleans, floats
_FIXED_PAYLOAD_BYTES |= {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8, 0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}  # integers
_FIXED_PAYLOAD_BYTES |= {0xD4: 2, 0xD5: 3, 0xD6: 5, 0xD7: 9, 0xD8: 17}  # fixed-length ext, with the type byte
_LENGTH_FIELD_BYTES = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}  # bin and str
_EXT_LENGTH_FIELD_BYTES = {0xC7: 1, 0xC8: 2, 0xC9: 4}  # a type byte follows the length field
# Arrays and maps: the size of the count field in bytes, and the number of items in each entry.
_CONTAINER_HEADERS = {0xDC: (2, 1), 0xDD: (4, 1), 0xDE: (2, 2), 0xDF: (4, 2)}


class DiscardedMessage(NamedTuple):
    """A complete message of which only the first `HEAD_BYTES` were kept."""

    head: bytes


class Scanner:
    """Splits a stream of bytes into complete messages.

    Args:
        max_bytes: Maximum size of a message.
        max_items: Maximum number of items in a message, including nested items. It also limits the depth.
    """

    def __init__(self, max_bytes: int, max_items: int) -> None:
        self._max_bytes = max_bytes
        self._max_items = max_items
        self._buffer = bytearray()
        self._begin_message()

    def _begin_message(self) -> None:
        self._position = 0  # offset of the next item in the buffer
        self._remaining_items = 1  # items declared so far that are not scanned yet
        self._item_count = 0
        self._head: bytes | None = None  # of a message that is discarded
        self._dropped_bytes = 0  # bytes of this message that are no longer in the buffer
        self._bytes_to_drop = 0  # bytes of the current value that have not arrived

    @property
    def pending_bytes(self) -> int:
        """Number of bytes that are kept of a message that is not complete yet."""
        return len(self._buffer)

    @property
    def is_within_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""
        return bool(self._buffer) or self._head is not None

    def clear(self) -> None:
        """Drop all bytes that are kept, with the message that has begun."""
        self._buffer = bytearray()
        self._begin_message()

    def discard_message(self) -> None:
        """Stop keeping the bytes of the message that has begun; `feed` reports its end all the same."""
        if self._head is None and len(self._buffer) >= HEAD_BYTES:
            self._head = bytes(self._buffer[:HEAD_BYTES])
            self._drop_scanned()

    def feed(self, data: bytes) -> tuple[list[bytes | DiscardedMessage], ScanError | None]:
        """Add received bytes.

        Returns:
            The messages that these bytes complete, and the error in the bytes after these messages, or None.
        """
        self._buffer += self._drop_expected(data)
        messages: list[bytes | DiscardedMessage] = []
        try:
            while not self._bytes_to_drop and self.is_within_message and self._scan():
                messages.append(self._take_message())
        except ScanError as error:
            self.clear()
            return messages, error.with_traceback(None)  # a traceback would hold the callers' frames
        if self._head is not None:
            self._drop_scanned()
        return messages, None

    def _take_message(self) -> bytes | DiscardedMessage:
        """Remove the complete message and return it."""
        scanned = bytes(self._buffer[: self._position])
        message = scanned if self._head is None else DiscardedMessage(self._head)
        del self._buffer[: self._position]
        self._begin_message()
        return message

    def _drop_expected(self, data: bytes) -> bytes:
        """Return the received bytes without those of a value that is being dropped."""
        count = min(self._bytes_to_drop, len(data))
        self._bytes_to_drop -= count
        self._dropped_bytes += count
        return data[count:]

    def _drop_scanned(self) -> None:
        """Drop the scanned items of a discarded message, and the part of the next value that has arrived."""
        del self._buffer[: self._position]
        self._dropped_bytes += self._position
        self._position = 0
        size = len(self._buffer)
        end, nested_items = self._scan_item(0) if size else (0, 0)
        if end > size and not nested_items:
            self._buffer.clear()
            self._dropped_bytes += size
            self._bytes_to_drop = end - size
            self._item_count += 1
            self._remaining_items -= 1

    def _scan(self) -> bool:
        """Scan up to the end of the message or the buffer; return whether the message is complete."""
        position = self._position
        size = len(self._buffer)
        while self._remaining_items:
            if position >= size:
                self._position = position
                return False
            end, nested_items = self._scan_item(position)
            if end < 0:  # the item's header is incomplete
                self._position = position
                return False
            if end + self._dropped_bytes > self._max_bytes:
                raise ScanError(f"message exceeds the limit of {self._max_bytes} bytes")
            if end > size and not nested_items:  # an incomplete value, scanned again when more bytes arrive
                self._position = position
                return False
            self._item_count += 1
            self._remaining_items += nested_items - 1
            if self._item_count + self._remaining_items > self._max_items:
                raise ScanError(f"message exceeds the limit of {self._max_items} items")
            position = end
        self._position = position
        return True

    def _scan_item(self, position: int) -> tuple[int, int]:
        """Read the header of the item at an offset.

        Returns:
            The offset at which the item ends, and the number of items nested in it. For a container, the
            offset is the end of its header. The offset is -1 if the header is incomplete.
        """
        tag = self._buffer[position]
        is_first = not position and not self._dropped_bytes
        if is_first and not 0x93 <= tag <= 0x94:
            raise ScanError(f"expected 0x93 or 0x94 as the first byte of a message, got {tag:#04x}")
        if tag <= 0x7F or tag >= 0xE0:
            return position + 1, 0
        if tag <= 0x8F:
            return position + 1, 2 * (tag & 0x0F)
        if tag <= 0x9F:
            return position + 1, tag & 0x0F
        if tag <= 0xBF:
            return position + 1 + (tag & 0x1F), 0
        if tag in _FIXED_PAYLOAD_BYTES:
            return position + 1 + _FIXED_PAYLOAD_BYTES[tag], 0
        width, type_bytes = (
            (_LENGTH_FIELD_BYTES[tag], 0)
            if tag in _LENGTH_FIELD_BYTES
            else (_EXT_LENGTH_FIELD_BYTES.get(tag, 0), 1)
        )
        if tag in _CONTAINER_HEADERS:
            width, items_per_entry = _CONTAINER_HEADERS[tag]
            count = self._read_integer(position + 1, width)
            return (-1, 0) if count is None else (position + 1 + width, count * items_per_entry)
        if not width:
            raise ScanError(f"byte {tag:#04x} is reserved in MessagePack")
        length = self._read_integer(position + 1, width)
        return (-1, 0) if length is None else (position + 1 + width + type_bytes + length, 0)

    def _read_integer(self, position: int, width: int) -> int | None:
        """Return the integer of `width` bytes at an offset; None if it is not complete yet."""
        data = self._buffer[position : position + width]
        return int.from_bytes(data, "big") if len(data) == width else None
