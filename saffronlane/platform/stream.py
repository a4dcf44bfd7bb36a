"""A Tornado IOStream that counts written bytes exactly and shows whether input is unread."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable, Sequence

from tornado.iostream import IOStream

READ_CHUNK_BYTES = 65_536
# A `struct linger` with which a close drops the bytes that were not delivered, and resets the connection.
LINGER_OFF = struct.pack("ii", 1, 0)
POLLRDHUP = getattr(select, "POLLRDHUP", 0)  # Linux only; elsewhere a half-close is noticed when it is read


class Stream(IOStream):
    """A TCP connection whose bytes are counted exactly.

    Args:
        connection: The socket of the connection.
        max_unread_bytes: The maximum number of received bytes that are buffered for the reader.
        max_unwritten_bytes: The maximum number of bytes that are buffered for the socket.
        read_chunk_bytes: The number of bytes that are read in one iteration of the event loop.
    """

    def __init__(
        self,
        connection: socket.socket,
        max_unread_bytes: int,
        max_unwritten_bytes: int,
        read_chunk_bytes: int = READ_CHUNK_BYTES,
    ) -> None:
        super().__init__(
            connection,
            max_buffer_size=max_unread_bytes,
            read_chunk_size=read_chunk_bytes,
            max_write_buffer_size=max_unwritten_bytes,
        )
        self._bytes_sent_directly = 0  # by `send_now`, which bypasses the counters of IOStream
        self._writable_descriptor: int | None = None  # watched for `call_when_writable`

    @property
    def bytes_written(self) -> int:
        """The number of bytes that the kernel has accepted; no further byte can have reached the peer."""
        return self._total_write_done_index + self._bytes_sent_directly

    @property
    def bytes_acknowledged(self) -> int:
        """The number of written bytes that the peer's system has confirmed; without meaning once closed."""
        if self.closed():
            return self.bytes_written
        count = array.array("i", [0])
        with contextlib.suppress(OSError):  # the system does not tell it
            fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, count)
        return self.bytes_written - count[0]

    @property
    def bytes_accepted(self) -> int:
        """The number of bytes that were passed to `write` or taken by `send_now`."""
        return self._total_write_index + self._bytes_sent_directly

    def send_now(self, parts: Sequence[bytes]) -> int | None:
        """Hand bytes to the kernel without buffering the rest. No earlier bytes may be unwritten.

        Args:
            parts: The bytes, which are not copied.

        Returns:
            The number of bytes that the kernel has accepted; None if it accepts none before the peer reads.
            It is 0 if the connection is broken: a `write` of the bytes then reports the error.
        """
        try:
            count = self.socket.send(parts[0]) if len(parts) == 1 else self.socket.sendmsg(parts)
        except BlockingIOError:
            return None
        except OSError:
            count = 0
        self._stop_watching()  # a `write` of the rest watches the descriptor itself
        self._bytes_sent_directly += count
        return count

    def call_when_writable(self, callback: Callable[[], None]) -> None:
        """Call back once, when the kernel accepts bytes again. No bytes may be buffered by `write`."""
        if self._writable_descriptor is None:
            self._writable_descriptor = self.socket.fileno()
            asyncio.get_running_loop().add_writer(self._writable_descriptor, self._on_writable, callback)

    def _on_writable(self, callback: Callable[[], None]) -> None:
        self._stop_watching()
        callback()

    def _stop_watching(self) -> None:
        if self._writable_descriptor is not None:
            asyncio.get_running_loop().remove_writer(self._writable_descriptor)
            self._writable_descriptor = None

    def close_fd(self) -> None:
        """Close the socket."""
        self._stop_watching()
        super().close_fd()

    def write_to_fd(self, data: memoryview) -> int:
        """Write as much as the kernel accepts; if the connection is broken, buffer its unread input first."""
        try:
            return super().write_to_fd(data) or 0
        except BlockingIOError:
            raise
        except OSError:
            self._buffer_unread()
            raise

    def _buffer_unread(self) -> None:
        """Buffer the input that the kernel still holds, before the failed write closes the stream.

        Otherwise, responses that arrived before a reset would be lost if a write is the first to detect the
        reset.
        """
        with contextlib.suppress(OSError):
            while self._read_buffer_size < (self.max_buffer_size or 0):
                data = self.socket.recv(READ_CHUNK_BYTES)
                if not data:
                    return
                self._read_buffer += data
                self._read_buffer_size += len(data)

    def discard_undelivered(self) -> None:
        """Have the close reset the connection, and drop the written bytes that the peer's system lacks."""
        if not self.closed():
            with contextlib.suppress(OSError):  # the connection is broken, so that nothing is delivered
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)

    def shutdown_write(self) -> None:
        """Half-close the connection: the peer reads an end of stream; unread data from it causes no reset."""
        if self.closed():  # the stream noticed the peer's close, and the reader task has not run since
            return
        with contextlib.suppress(OSError):  # the connection is broken, which the reader reports
            self.socket.shutdown(socket.SHUT_WR)

    def peek(self) -> bytes | None:
        """Return the first byte of unread input without consuming it.

        Returns:
            The byte; empty if the peer has closed the connection or it is broken; None if nothing has
            arrived.
        """
        if self.closed():
            return b""
        try:
            return bytes(self.socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return None
        except OSError:
            return b""

    @property
    def has_peer_closed(self) -> bool:
        """Whether the peer has closed its side or reset the connection, also if earlier input is unread."""
        first_byte = self.peek()
        if first_byte is None:
            return False
        return not first_byte or self._is_closed_behind_input()

    def _is_closed_behind_input(self) -> bool:
        poll = select.poll()
        poll.register(self.socket.fileno(), POLLRDHUP)
        try:
            return bool(poll.poll(0))
        except OSError:  # the system does not tell it, so that it is noticed when the input has been read
            return False

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes of the peer, or its end of stream, were not passed to the reader task yet."""
        return self._read_buffer_size > 0 or self.peek() is not None

    @property
    def has_undelivered_data(self) -> bool:
        """Whether bytes were read that the reader task has not received yet."""
        return not self.closed() and not self.reading()
