"""Arrays of bulk strings, the one form of RESP that compute nodes speak.

Iterative and incremental: bytes may come in any pieces. A length past the bounds is an error as soon as it is
read; nothing is allocated from what a peer only declared.
"""

from __future__ import annotations

from .errors import RespError

MAX_LINE_BYTES = 12  # bytes of a line that says a count or a length, its end included


def encode_command(*words: bytes) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


class RespParser:
    """Cuts a stream of bytes into arrays.

    Args:
        most_words: of an array.
        most_bytes: of a word.
    """

    def __init__(self, most_words: int, most_bytes: int) -> None:
        self._most_words, self._most_bytes = most_words, most_bytes
        self._buffer = bytearray()
        self._at = 0
        self._left = 0  # words still to come of the array; 0: between arrays
        self._words: list[bytes] = []

    @property
    def has_partial_array(self) -> bool:
        """Whether an array has begun and is not whole."""
        return bool(self._left or self._at < len(self._buffer))

    def feed(self, data: bytes) -> tuple[list[list[bytes]], RespError | None]:
        """The arrays that are whole now, in order, and what is wrong with the bytes after them."""
        self._buffer += data
        found: list[list[bytes]] = []
        try:
            while self._step():
                if not self._left:
                    found.append(self._words)
                    self._words = []
        except RespError as error:
            return found, error
        finally:
            del self._buffer[: self._at]
            self._at = 0
        return found, None

    def _step(self) -> bool:
        """Take a head, or a word with its head; whether there was one."""
        if not self._left:
            line = self._line(b"*")
            if line is None:
                return False
            self._at, count = line
            if not 1 <= count <= self._most_words:
                raise RespError(f"an array of {count} words")
            self._left = count
        line = self._line(b"$")
        if line is None:
            return False
        begin, length = line
        if not 0 <= length <= self._most_bytes:
            raise RespError(f"a word of {length} bytes")
        end = begin + length
        tail = bytes(self._buffer[end : end + 2])
        if tail != b"\r\n":
            if not b"\r\n".startswith(tail):
                raise RespError("a word is longer than it says")
            return False
        self._words.append(bytes(self._buffer[begin:end]))
        self._at = end + 2
        self._left -= 1
        return True

    def _line(self, mark: bytes) -> tuple[int, int] | None:
        """Where a line ends that begins here, and its number; None: it is not whole."""
        at = self._at
        end = self._buffer.find(b"\r\n", at, at + MAX_LINE_BYTES)
        head = bytes(self._buffer[at : at + MAX_LINE_BYTES])
        if head and head[:1] != mark:
            raise RespError(f"{head[:1]!r} where {mark!r} was due")
        if end < 0:
            if len(head) >= MAX_LINE_BYTES:
                raise RespError("a line without an end")
            return None
        digits = bytes(self._buffer[at + 1 : end])
        if not digits.isdigit():
            raise RespError(f"no number: {digits!r}")
        return end + 2, int(digits)
