"""Arrays of bulk strings, the only form of RESP messages that compute nodes use.

The parser is incremental: input may arrive in pieces of any size. A length above its limit is an error as
soon as it is parsed, and no memory is allocated for bytes that the sender has announced but not sent.
"""

from __future__ import annotations

from typing import NamedTuple

from .errors import RespError

MAX_HEADER_LINE_BYTES = 12  # including the marker and the line end
ARRAY_MARKER = b"*"
BULK_STRING_MARKER = b"$"
LINE_END = b"\r\n"


def encode_command(*elements: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(elements)]
    parts += [b"$%d\r\n%b\r\n" % (len(element), element) for element in elements]
    return b"".join(parts)


def encode_command_parts(*elements: bytes) -> list[bytes]:
    """Encode a command as an array of bulk strings, in parts of which the last element is one, not copied."""
    *leading, last = elements
    parts = [b"*%d\r\n" % len(elements)]
    parts += [b"$%d\r\n%b\r\n" % (len(element), element) for element in leading]
    parts.append(b"$%d\r\n" % len(last))
    return [b"".join(parts), last, LINE_END]


class ParsedArrays(NamedTuple):
    """The complete arrays, in order, and the error in the bytes that follow them, if any."""

    arrays: list[list[bytes]]
    error: RespError | None


class _HeaderLine(NamedTuple):
    """A parsed header line: the offset of the byte after the line, and the number in it."""

    end: int
    number: int


class RespParser:
    """Parses arrays from a stream of bytes.

    Args:
        max_elements: The maximum number of elements of an array.
        max_element_bytes: The maximum number of bytes of an element.
    """

    def __init__(self, max_elements: int, max_element_bytes: int) -> None:
        self._max_elements = max_elements
        self._max_element_bytes = max_element_bytes
        self._buffer = bytearray()
        self._position = 0
        self._remaining_elements = 0  # in the current array; 0 between arrays
        self._elements: list[bytes] = []

    @property
    def has_partial_array(self) -> bool:
        """Whether an array has started to arrive and is not complete."""
        return bool(self._remaining_elements or self._position < len(self._buffer))

    def feed(self, data: bytes) -> ParsedArrays:
        """Add received bytes and return the arrays that they complete."""
        self._buffer += data
        arrays: list[list[bytes]] = []
        try:
            while self._parse_element():
                if not self._remaining_elements:
                    arrays.append(self._elements)
                    self._elements = []
        except RespError as error:
            # A traceback would hold the frames of the callers, and thus the connection.
            return ParsedArrays(arrays, error.with_traceback(None))
        finally:
            del self._buffer[: self._position]
            self._position = 0
        return ParsedArrays(arrays, None)

    def _parse_element(self) -> bool:
        """Parse the next element, after the array header if it is the first; return False if incomplete."""
        if not self._remaining_elements and not self._parse_array_header():
            return False
        line = self._parse_header_line(BULK_STRING_MARKER)
        if line is None:
            return False
        if not 0 <= line.number <= self._max_element_bytes:
            raise RespError(
                f"bulk string: expected at most {self._max_element_bytes} bytes, found {line.number}"
            )
        end = line.end + line.number
        terminator = bytes(self._buffer[end : end + len(LINE_END)])
        if terminator != LINE_END:
            if not LINE_END.startswith(terminator):
                raise RespError(
                    f"bulk string of {line.number} bytes: expected a line end after it, found {terminator!r}"
                )
            return False
        self._elements.append(bytes(self._buffer[line.end : end]))
        self._position = end + len(LINE_END)
        self._remaining_elements -= 1
        return True

    def _parse_array_header(self) -> bool:
        """Parse the header of an array; return False if it is incomplete."""
        line = self._parse_header_line(ARRAY_MARKER)
        if line is None:
            return False
        self._position = line.end
        if not 1 <= line.number <= self._max_elements:
            raise RespError(f"array: expected 1 to {self._max_elements} elements, found {line.number}")
        self._remaining_elements = line.number
        return True

    def _parse_header_line(self, marker: bytes) -> _HeaderLine | None:
        """Parse the header line at the current position; return None if it is incomplete."""
        start = self._position
        prefix = bytes(self._buffer[start : start + MAX_HEADER_LINE_BYTES])
        if prefix and prefix[:1] != marker:
            raise RespError(f"header line: expected the marker {marker!r}, found {prefix[:1]!r}")
        length = prefix.find(LINE_END)
        if length < 0:
            if len(prefix) >= MAX_HEADER_LINE_BYTES:
                raise RespError(f"header line: expected at most {MAX_HEADER_LINE_BYTES} bytes, found more")
            return None
        digits = prefix[1:length]
        if not digits.isdigit():
            raise RespError(f"header line: expected a number, found {digits!r}")
        return _HeaderLine(start + length + len(LINE_END), int(digits))
