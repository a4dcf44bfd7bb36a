"""A connection that reads, writes and closes as its `ConnectionLifecycle` decides.

Both sides derive their connections from this class: `downstream` those from clients, `upstream` those to
compute nodes.
"""

from __future__ import annotations

import asyncio
import contextlib
from abc import abstractmethod
from collections.abc import Callable

import structlog
from tornado.iostream import StreamClosedError

from .connection_output import ConnectionOutput
from .lifecycle import ConnectionLifecycle, Event, State
from .stream import Stream

log = structlog.get_logger()
EXPIRY_TOLERANCE = 1e-3  # seconds by which a timer may fire early


class ManagedConnection(ConnectionOutput):
    """One connection. The owner registers the connection before it calls `start`.

    Args:
        stream: The stream of the connection's socket.
        lifecycle: The lifecycle that decides what is allowed; only this object reports events to it.
    """

    def __init__(self, stream: Stream, lifecycle: ConnectionLifecycle) -> None:
        super().__init__(stream, lifecycle)
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that establishes the connection, if it is outgoing, and reads from it."""
        self._task = self.loop.create_task(self._run())

    # --- implemented by each side ---

    @property
    @abstractmethod
    def has_pending_work(self) -> bool:
        """Whether work that started on this connection has not ended."""

    @abstractmethod
    def receive(self, data: bytes) -> None:
        """Process received bytes."""

    @abstractmethod
    def on_closed(self, event: Event, reason: str) -> None:
        """End all pending work after an event has closed the connection; called once."""

    async def connect(self) -> None:
        """Establish an outgoing connection; raise an error if that fails."""
        raise NotImplementedError

    async def wait_until_handled(self) -> None:
        """Wait until the input received so far is handled, which it is as soon as `receive` returns."""
        return

    def on_input_read(self) -> None:
        """Process that all input that has arrived was received."""

    # --- reading ---

    async def _run(self) -> None:
        try:
            if self.lifecycle.state is State.CONNECTING:
                await self.connect()
                self.handle_event(Event.CONNECTED, "connected")
                self.flush_and_settle()
            while not self.lifecycle.is_closed:
                self._on_data(await self._read_chunk())
                await self.wait_until_handled()
        except StreamClosedError as error:
            self.handle_event(Event.EOF if error.real_error is None else Event.BROKEN, repr(error))
        except (OSError, TimeoutError) as error:
            self.handle_event(Event.BROKEN, repr(error))
        except Exception as error:
            log.exception("connection failed")
            self.handle_event(Event.BROKEN, repr(error))

    async def _read_chunk(self) -> bytes:
        """Return the next bytes that arrive.

        Raises:
            StreamClosedError: The connection has ended.
        """
        read_future = self.stream.read_bytes(self.stream.read_chunk_size, partial=True)
        try:
            if self.stream.reading():
                self.on_input_read()
            else:
                # Data was available immediately. Without this pause, a peer that sends continuously would
                # keep this task running, and the event loop would serve no other connection.
                await asyncio.sleep(0)
            return await read_future
        finally:
            # The future holds its error, whose traceback holds this frame. The cycle would keep the
            # connection with its buffers until the next full garbage collection.
            del read_future

    def _on_data(self, data: bytes) -> None:
        if self.lifecycle.processes_input:
            self.receive(data)
        elif self.lifecycle.discard(len(data), self.loop.time()) is State.CLOSED:
            self._close(Event.EXPIRED, "too much input while closing")

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether bytes of the peer, or its end of stream, have arrived and are not processed yet."""
        return self.stream.has_undelivered_data or self.stream.peek() is not None

    # --- ending ---

    def drain(self, reason: str) -> None:
        """Shut down gracefully: accept no new work, complete pending work, and close without a reset."""
        self.handle_event(Event.DRAIN, reason)
        self.settle()

    def settle(self) -> None:
        """Advance a graceful shutdown as far as pending work and output allow."""
        if self.lifecycle.state is State.DRAINING and not self.has_pending_work:
            self.handle_event(Event.SETTLED, "settled")
        if self.lifecycle.state is State.FLUSHING and not self.has_pending_output:
            self.handle_event(Event.FLUSHED, "flushed")

    def call_after_pending_input(self, callback: Callable[[], None]) -> None:
        """Call back in the event-loop iteration in which the reader task resumes with all input so far.

        Without this wait, a connection could be closed although input had arrived before the decision and
        only the event loop was late. The next iteration's `select` finds this input, and the stream reads it.
        The reader task resumes in the iteration after that; until then, `has_unprocessed_input` is true.
        """
        self.loop.call_soon(self.loop.call_soon, callback)

    def run_isolated(self, action: Callable[[], None]) -> None:
        """Run an action on this connection; an exception in it aborts this connection only.

        Otherwise, the exception would end the periodic checks or the shutdown of all connections.
        """
        try:
            action()
        except Exception:
            log.exception("connection failed")
            with contextlib.suppress(Exception):
                self.abort("internal error")

    def abort(self, reason: str) -> None:
        """Close immediately, whatever is pending."""
        self.handle_event(Event.ABORT, reason)

    def reset(self, reason: str) -> None:
        """Close immediately, and drop what the system has not delivered to the peer yet."""
        self.stream.discard_undelivered()
        self.abort(reason)

    def handle_event(self, event: Event, reason: str) -> None:
        """Report an event to the lifecycle and perform the actions of the state that it enters."""
        before = self.lifecycle.state
        after = self.lifecycle.handle(event, self.loop.time())
        if after is before:
            return
        self._schedule_expiry()
        if after is State.HALF_CLOSED:
            self.stream.shutdown_write()
        elif after is State.CLOSED:
            self._close(event, reason)

    def _schedule_expiry(self) -> None:
        self._cancel_expiry()
        if self.lifecycle.is_closing:
            self._expiry_timer = self.loop.call_at(self.lifecycle.deadline, self._on_expiry)

    def _cancel_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None

    def _on_expiry(self) -> None:
        self._expiry_timer = None
        self.update_stall()
        if self.loop.time() < self.lifecycle.deadline - EXPIRY_TOLERANCE:  # output was written meanwhile
            self._schedule_expiry()
        else:
            self.handle_event(Event.EXPIRED, "closing timed out")

    def _close(self, event: Event, reason: str) -> None:
        self._cancel_expiry()
        self.on_closed(event, reason)
        self.stream.close()
        task, self._task = self._task, None  # a cancelled task holds its frames, and thus this object
        if task is not None and asyncio.current_task() is not task:
            task.cancel()
