"""One connection bound to its life: reads, writes and closes as `lifecycle.Connection` says.

Both sides are made of it: `front` for clients, `links` for compute nodes.
"""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable

import structlog
from tornado.iostream import StreamBufferFullError, StreamClosedError

from .lifecycle import ConnectionLifecycle, Event, State
from .stream import READ_CHUNK_BYTES, Stream

log = structlog.get_logger()


class ManagedConnection(ABC):
    """One connection. `start` it once its owner knows it."""

    def __init__(self, stream: Stream, life: ConnectionLifecycle) -> None:
        self.loop = asyncio.get_running_loop()
        self.stream, self.lifecycle = stream, life
        self._is_flush_scheduled = False
        self._progress = (0, self.loop.time())  # bytes of ours that had left, and when that was seen
        self._expiry: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = self.loop.create_task(self._run())

    # --- what each side gives ---

    @property
    @abstractmethod
    def has_pending_work(self) -> bool:
        """Something is open here whose end is still to come."""

    @abstractmethod
    def receive(self, data: bytes) -> None:
        """Act on bytes that were read."""

    @abstractmethod
    def flush(self) -> None:
        """Hand to the stream what waits for it."""

    @property
    @abstractmethod
    def has_queued_output(self) -> bool:
        """Whether something waits to be handed to the stream."""

    @abstractmethod
    def on_closed(self, event: Event, why: str) -> None:
        """The connection is closed by an event: settle what was open on it. Called once."""

    async def connect(self) -> None:
        """Bring an outgoing connection up; raises where it does not come."""
        raise NotImplementedError

    # --- reading ---

    async def _run(self) -> None:
        try:
            if self.lifecycle.state is State.CONNECTING:
                await self.connect()
                self.handle_event(Event.CONNECTED, "up")
                self._flush_and_settle()
            while not self.lifecycle.is_closed:
                reading = self.stream.read_bytes(READ_CHUNK_BYTES, partial=True)
                if not self.stream.reading():
                    # Guards against a peer that sends without a pause: what is there at once would be read
                    # at once, again and again, and the loop would serve nobody else.
                    await asyncio.sleep(0)
                self._on_data(await reading)
        except StreamClosedError as error:
            self.handle_event(Event.EOF if error.real_error is None else Event.BROKEN, repr(error))
        except (OSError, TimeoutError) as error:
            self.handle_event(Event.BROKEN, repr(error))
        except Exception as error:
            log.exception("connection failed")
            self.handle_event(Event.BROKEN, repr(error))

    def _on_data(self, data: bytes) -> None:
        if self.lifecycle.processes_input:
            self.receive(data)
        elif self.lifecycle.discard(len(data), self.loop.time()) is State.CLOSED:
            self._close(Event.EXPIRED, "too much is sent to a connection that closes")

    @property
    def has_unprocessed_input(self) -> bool:
        """What its peer has sent, or its end, is there and has not been acted on."""
        return self.stream.has_undelivered_data or self.stream.peek() is not None

    # --- writing ---

    def schedule_flush(self) -> None:
        """What is written in one turn of the loop leaves at its end in one piece."""
        if not self._is_flush_scheduled:
            if not self.stream.writing():
                # Guards against a close over the first answer in a long time: in the turn in which it is
                # queued, nothing has left since the one before it, and that is no stall.
                self._progress = self.stream.bytes_written, self.loop.time()
            self._is_flush_scheduled = True
            self.loop.call_soon(self._flush_and_settle)

    def _flush_and_settle(self) -> None:
        self._is_flush_scheduled = False
        if self.lifecycle.allows_writes:
            self.flush()
        if self.lifecycle.is_closing or self.lifecycle.state is State.DRAINING:
            self.settle()

    def write_to_stream(self, data: bytes) -> bool:
        """Write now; whether the stream took it. A stream that has broken leaves the rest to its reader."""
        try:
            written = self.stream.write(data)
        except StreamClosedError:
            return False
        except StreamBufferFullError:
            self.handle_event(Event.ABORT, "too much is left unread")
            return False
        if self.stream.writing():
            written.add_done_callback(lambda _: self._on_written())
        return True

    def _on_written(self) -> None:
        self.stalled_for()
        self._flush_and_settle()

    def stalled_for(self) -> float:
        """Seconds for which none of the bytes that wait has left; a slow peer is no stalled one."""
        now = self.loop.time()
        if self.stream.bytes_written != self._progress[0] or not self.has_pending_output:
            self._progress = self.stream.bytes_written, now
            self.lifecycle.record_write_progress(now)
        return now - self._progress[1]

    @property
    def has_pending_output(self) -> bool:
        return self.has_queued_output or self.stream.writing()

    @property
    def backlog(self) -> int:
        """Bytes that were handed over and have not left."""
        return 0 if self.stream.closed() else self.stream.bytes_accepted - self.stream.bytes_written

    # --- ending ---

    def drain(self, why: str) -> None:
        """Graceful shutdown: nothing new; what is open gets its end, and the peer no reset."""
        self.handle_event(Event.DRAIN, why)
        self.settle()

    def settle(self) -> None:
        """Go on towards the end as far as nothing is owed any more."""
        if self.lifecycle.state is State.DRAINING and not self.has_pending_work:
            self.handle_event(Event.SETTLED, "settled")
        if self.lifecycle.state is State.FLUSHING and not self.has_pending_output:
            self.handle_event(Event.FLUSHED, "flushed")

    def call_after_pending_input(self, work: Callable[[], None]) -> None:
        """Do it once all that the peer sent before now has been read, or handed over to be.

        Guards against a close that crosses nothing: what is ended has been there since before the decision,
        and only the loop was late. The first turn's select finds it, the second finds it handed over.
        """
        self.loop.call_soon(self.loop.call_soon, work)

    def run_isolated(self, work: Callable[[], None]) -> None:
        """Do one connection's part of what is done for all: a fault in it is that connection's end alone.

        Guards against a fault that ends the looks at all connections, or the half-closes at the end.
        """
        try:
            work()
        except Exception:
            log.exception("connection failed")
            with contextlib.suppress(Exception):
                self.abort("a fault")

    def abort(self, why: str) -> None:
        """Close at once, whatever is open."""
        self.handle_event(Event.ABORT, why)

    def handle_event(self, event: Event, why: str) -> None:
        """Tell the connection's life of an event, and do what the state that it enters asks for."""
        before = self.lifecycle.state
        after = self.lifecycle.handle(event, self.loop.time())
        if after is before:
            return
        self._expect_expiry()
        if after is State.HALF_CLOSED:
            self.stream.shutdown_write()
        elif after is State.CLOSED:
            self._close(event, why)

    def _expect_expiry(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        if self.lifecycle.is_closing:
            self._expiry = self.loop.call_at(self.lifecycle.deadline, self._on_expiry)

    def _on_expiry(self) -> None:
        self._expiry = None
        self.stalled_for()
        if self.loop.time() < self.lifecycle.deadline - 1e-3:  # some bytes have left meanwhile
            self._expect_expiry()
        else:
            self.handle_event(Event.EXPIRED, "its time to close is over")

    def _close(self, event: Event, why: str) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        self.on_closed(event, why)
        self.stream.close()
        if self._task is not None and asyncio.current_task() is not self._task:
            self._task.cancel()
