"""A Tornado IOStream that counts written bytes exactly and shows whether input is unread."""

from __future__ import annotations

import contextlib
import socket

from tornado.iostream import IOStream

READ_CHUNK_BYTES = 65_536


class Stream(IOStream):
    """A TCP connection whose bytes are counted exactly.

    Args:
        connection: The socket of the connection.
        max_unread_bytes: The maximum number of received bytes that are buffered for the reader.
        max_unwritten_bytes: The maximum number of bytes that are buffered for the socket.
    """

    def __init__(self, connection: socket.socket, max_unread_bytes: int, max_unwritten_bytes: int) -> None:
        super().__init__(
            connection,
            max_buffer_size=max_unread_bytes,
            read_chunk_size=READ_CHUNK_BYTES,
            max_write_buffer_size=max_unwritten_bytes,
        )

    @property
    def bytes_written(self) -> int:
        """The number of bytes that the kernel has accepted; no further byte can have reached the peer."""
        return self._total_write_done_index

    @property
    def bytes_accepted(self) -> int:
        """The number of bytes that were passed to `write`."""
        return self._total_write_index

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
    def has_undelivered_data(self) -> bool:
        """Whether bytes were read that the reader task has not received yet."""
        return not self.closed() and not self.reading()
