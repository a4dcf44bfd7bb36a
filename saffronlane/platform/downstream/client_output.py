"""The output side of a client connection: replies, delayed replies, and what the client has not read."""

from __future__ import annotations

from collections.abc import Callable

from ..lifecycle import ConnectionLifecycle
from ..managed_connection import ManagedConnection
from ..stream import Stream
from .fault_replies import DelayedFaultReplies


class ClientOutput(ManagedConnection):
    """A connection that writes replies.

    Args:
        stream: The stream of the connection's socket.
        lifecycle: The lifecycle of the connection.
        count_unread: Called with each change of the reply bytes that the client has not read.

    Attributes:
        unread_bytes: The reply bytes that the client has not read, as reported last.
    """

    def __init__(
        self, stream: Stream, lifecycle: ConnectionLifecycle, count_unread: Callable[[int], None]
    ) -> None:
        super().__init__(stream, lifecycle)
        self.unread_bytes = 0
        self.fault_replies = DelayedFaultReplies()
        self._count_unread = count_unread
        self._output: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Queue bytes. All bytes queued in one turn of the event loop are sent together at its end."""
        self._output.append(data)
        self.schedule_flush()

    def flush(self) -> None:
        """Write the queued bytes to the stream."""
        if self._output and not self.stream.closed():
            data = b"".join(self._output)
            self._output = []
            self.write_to_stream(data)
        self.count_unread()

    @property
    def has_queued_output(self) -> bool:
        """Whether queued bytes have not been written to the stream yet."""
        return bool(self._output) and not self.stream.closed()

    def count_unread(self) -> None:
        """Count the reply bytes that the client has not read."""
        self._set_unread(self.backlog)

    def _set_unread(self, size: int) -> None:
        self._count_unread(size - self.unread_bytes)
        self.unread_bytes = size

    def write_fault_replies(self) -> None:
        """Write the delayed replies at once."""
        for reply in self.fault_replies.take_all():
            self.write(reply)

    def discard_output(self) -> None:
        """Drop all replies that were not written."""
        self.fault_replies.discard()
        self._output.clear()
        self._set_unread(0)
