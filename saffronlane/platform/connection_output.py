"""The write side of a managed connection: flushes output once per event-loop iteration and detects stalls."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from tornado.iostream import StreamBufferFullError, StreamClosedError

from .lifecycle import ConnectionLifecycle, Event, State
from .stream import Stream
from .write_progress import WriteProgress


class ConnectionOutput(ABC):
    """Writes output while the lifecycle allows it.

    Args:
        stream: The stream of the connection's socket.
        lifecycle: The lifecycle that decides when output may be written.
    """

    def __init__(self, stream: Stream, lifecycle: ConnectionLifecycle) -> None:
        self.loop = asyncio.get_running_loop()
        self.stream = stream
        self.lifecycle = lifecycle
        self._is_flush_scheduled = False
        self._progress = WriteProgress(stream, self.loop.time())

    @abstractmethod
    def flush(self) -> None:
        """Hand queued output to the stream."""

    @property
    @abstractmethod
    def has_queued_output(self) -> bool:
        """Whether output is queued and not handed to the stream yet."""

    @abstractmethod
    def handle_event(self, event: Event, reason: str) -> None:
        """Report an event to the lifecycle and perform the actions of the state that it enters."""

    @abstractmethod
    def settle(self) -> None:
        """Advance a graceful shutdown as far as pending work and output allow."""

    def schedule_flush(self) -> None:
        """Flush once at the end of this event-loop iteration, to write all of its output together."""
        if self._is_flush_scheduled:
            return
        if not self.stream.writing():
            # No output was pending until now, so the time since the last write does not count as a stall.
            self._progress.record(self.loop.time())
        self._is_flush_scheduled = True
        self.loop.call_soon(self.flush_and_settle)

    def flush_and_settle(self) -> None:
        """Flush now if output may be written, and advance a graceful shutdown."""
        self._is_flush_scheduled = False
        if self.lifecycle.allows_writes:
            self.flush()
        if self.lifecycle.is_closing or self.lifecycle.state is State.DRAINING:
            self.settle()

    def write_to_stream(self, data: bytes | memoryview) -> bool:
        """Write data and return whether the stream accepted it; the reader handles a broken stream."""
        try:
            written = self.stream.write(data)
        except StreamClosedError:
            return False
        except StreamBufferFullError:
            self.handle_event(Event.ABORT, "write buffer full")
            return False
        if self.stream.writing():
            written.add_done_callback(lambda _: self._on_written())
        return True

    def _on_written(self) -> None:
        self.update_stall()
        self.flush_and_settle()

    def update_stall(self) -> float:
        """Record write progress; return for how many seconds pending output has made no progress."""
        now = self.loop.time()
        if self._progress.has_progressed() or not self.has_pending_output:
            self._progress.record(now)
            self.lifecycle.record_write_progress(now)
        return self._progress.stall_duration(now)

    @property
    def has_pending_output(self) -> bool:
        """Whether output is queued or not written completely."""
        return self.has_queued_output or self.stream.writing()

    @property
    def backlog(self) -> int:
        """The number of bytes that were handed to the stream and are not written yet."""
        return 0 if self.stream.closed() else self.stream.bytes_accepted - self.stream.bytes_written
