"""Arrays of bulk strings, the one form of RESP that compute nodes speak.

Iterative and incremental: bytes may come in any pieces. A length past the limits is an error as soon as it is
read; nothing is allocated from what a peer only declared.
"""

from __future__ import annotations

from typing import NamedTuple

from .errors import RespError

MAX_LINE_BYTES = 12  # of a count or a length, its marker and end included
ARRAY_MARKER = b"*"
BULK_STRING_MARKER = b"$"
LINE_END = b"\r\n"


def encode_command(*words: bytes) -> bytes:
    """An array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


class ParsedArrays(NamedTuple):
    """The arrays that are complete, in order, and the error in the bytes after them, if any."""

    arrays: list[list[bytes]]
    error: RespError | None


class _Line(NamedTuple):
    """A line with a number."""

    end: int
    number: int


class RespParser:
    """Parses arrays from a stream of bytes.

    Args:
        max_words: of an array.
        max_word_bytes: of a word.
    """

    def __init__(self, max_words: int, max_word_bytes: int) -> None:
        self._max_words = max_words
        self._max_word_bytes = max_word_bytes
        self._buffer = bytearray()
        self._position = 0
        self._remaining_words = 0  # of the current array; 0 between arrays
        self._words: list[bytes] = []

    @property
    def has_partial_array(self) -> bool:
        """Whether an array has begun and is not complete."""
        return bool(self._remaining_words or self._position < len(self._buffer))

    def feed(self, data: bytes) -> ParsedArrays:
        """Add bytes; returns the arrays that they complete."""
        self._buffer += data
        arrays: list[list[bytes]] = []
        try:
            while self._parse_word():
                if not self._remaining_words:
                    arrays.append(self._words)
                    self._words = []
        except RespError as error:
            return ParsedArrays(arrays, error)
        finally:
            del self._buffer[: self._position]
            self._position = 0
        return ParsedArrays(arrays, None)

    def _parse_word(self) -> bool:
        """Parse the next word, after the head of its array if it is the first; false: it is not complete."""
        if not self._remaining_words and not self._parse_array_head():
            return False
        line = self._parse_line(BULK_STRING_MARKER)
        if line is None:
            return False
        if not 0 <= line.number <= self._max_word_bytes:
            raise RespError(f"expected a word of at most {self._max_word_bytes} bytes, found {line.number}")
        end = line.end + line.number
        terminator = bytes(self._buffer[end : end + len(LINE_END)])
        if terminator != LINE_END:
            if not LINE_END.startswith(terminator):
                raise RespError(f"expected the end of a word of {line.number} bytes, found {terminator!r}")
            return False
        self._words.append(bytes(self._buffer[line.end : end]))
        self._position = end + len(LINE_END)
        self._remaining_words -= 1
        return True

    def _parse_array_head(self) -> bool:
        """Parse the number of an array's words; false: it is not complete."""
        line = self._parse_line(ARRAY_MARKER)
        if line is None:
            return False
        self._position = line.end
        if not 1 <= line.number <= self._max_words:
            raise RespError(f"expected an array of 1 to {self._max_words} words, found {line.number}")
        self._remaining_words = line.number
        return True

    def _parse_line(self, marker: bytes) -> _Line | None:
        """Parse the line that begins at the current position; None: it is not complete."""
        start = self._position
        head = bytes(self._buffer[start : start + MAX_LINE_BYTES])
        if head and head[:1] != marker:
            raise RespError(f"expected {marker!r}, found {head[:1]!r}")
        length = head.find(LINE_END)
        if length < 0:
            if len(head) >= MAX_LINE_BYTES:
                raise RespError(f"expected a line of at most {MAX_LINE_BYTES} bytes, found a longer one")
            return None
        digits = head[1:length]
        if not digits.isdigit():
            raise RespError(f"expected a number, found {digits!r}")
        return _Line(start + length + len(LINE_END), int(digits))
