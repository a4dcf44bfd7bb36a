"""The write side of a managed connection: flushes output once a turn of the loop, and measures stalls."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from tornado.iostream import StreamBufferFullError, StreamClosedError

from .lifecycle import ConnectionLifecycle, Event, State
from .stream import Stream
from .write_progress import WriteProgress


class ConnectionOutput(ABC):
    """Writes as the lifecycle allows.

    Args:
        stream: of the connection's socket.
        lifecycle: says what is allowed.
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
        """Whether output waits to be handed to the stream."""

    @abstractmethod
    def handle_event(self, event: Event, why: str) -> None:
        """Report an event to the lifecycle, and do what the state that it enters asks for."""

    @abstractmethod
    def settle(self) -> None:
        """Advance a graceful shutdown as far as nothing is pending any more."""

    def schedule_flush(self) -> None:
        """Flush at the end of this turn of the loop: what is queued in one turn is written in one piece."""
        if self._is_flush_scheduled:
            return
        if not self.stream.writing():
            # In the turn in which the first output in a long time is queued, nothing was written since the
            # output before it: that is not a stall.
            self._progress.record(self.loop.time())
        self._is_flush_scheduled = True
        self.loop.call_soon(self.flush_and_settle)

    def flush_and_settle(self) -> None:
        """Flush now where output may be written, and advance a graceful shutdown."""
        self._is_flush_scheduled = False
        if self.lifecycle.allows_writes:
            self.flush()
        if self.lifecycle.is_closing or self.lifecycle.state is State.DRAINING:
            self.settle()

    def write_to_stream(self, data: bytes) -> bool:
        """Write now; whether the stream accepted it. A broken stream is left to its reader."""
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
        self.stalled_for()
        self.flush_and_settle()

    def stalled_for(self) -> float:
        """Seconds for which none of the pending output was written."""
        now = self.loop.time()
        if self._progress.has_progressed() or not self.has_pending_output:
            self._progress.record(now)
            self.lifecycle.record_write_progress(now)
        return self._progress.stalled_for(now)

    @property
    def has_pending_output(self) -> bool:
        """Whether output is queued or not yet written."""
        return self.has_queued_output or self.stream.writing()

    @property
    def backlog(self) -> int:
        """Bytes that were handed to the stream and are not written."""
        return 0 if self.stream.closed() else self.stream.bytes_accepted - self.stream.bytes_written
