"""Tornado's IOStream with an exact account of what was written and what is unread."""

from __future__ import annotations

import contextlib
import socket

from tornado.iostream import IOStream

READ_CHUNK_BYTES = 65_536


class Stream(IOStream):
    """A TCP connection whose bytes are counted exactly.

    Args:
        connection: the socket.
        max_unread_bytes: that may be buffered for the reader.
        max_unwritten_bytes: that may be buffered for the socket.
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
        """Bytes that the system has taken. No other can have reached the peer."""
        return self._total_write_done_index

    @property
    def bytes_accepted(self) -> int:
        """Bytes that were handed to `write`."""
        return self._total_write_index

    def write_to_fd(self, data: memoryview) -> int:
        """Write what the system takes; where the connection has broken, first read what it still holds."""
        try:
            return super().write_to_fd(data) or 0
        except BlockingIOError:
            raise
        except OSError:
            self._buffer_unread()
            raise

    def _buffer_unread(self) -> None:
        """Read what the system still holds, before the failed write closes the stream over it.

        Guards against losing responses that came before a reset which a write is the first to meet.
        """
        with contextlib.suppress(OSError):
            while self._read_buffer_size < (self.max_buffer_size or 0):
                data = self.socket.recv(READ_CHUNK_BYTES)
                if not data:
                    return
                self._read_buffer += data
                self._read_buffer_size += len(data)

    def shutdown_write(self) -> None:
        """Half-close: the peer reads our end, and what it has sent is not reset."""
        if self.closed():  # the system reported the peer's end, and the reader's turn is yet to come
            return
        with contextlib.suppress(OSError):  # it has broken meanwhile, which the reader reports
            self.socket.shutdown(socket.SHUT_WR)

    def peek(self) -> bytes | None:
        """The first byte that the system holds unread.

        Returns:
            No bytes where the peer has ended or broken the connection; None where nothing has arrived.
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
        """Whether bytes that were read wait for the reader's turn of the loop."""
        return not self.closed() and not self.reading()
