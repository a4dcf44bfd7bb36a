"""One connection bound to its lifecycle: reads, writes and closes as `ConnectionLifecycle` says.

Both sides are made of it: `downstream` for clients, `upstream` for compute nodes.
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
from .stream import READ_CHUNK_BYTES, Stream

log = structlog.get_logger()
EXPIRY_TOLERANCE = 1e-3  # seconds that a timer may be early


class ManagedConnection(ConnectionOutput):
    """One connection. `start` it once its owner knows it.

    Args:
        stream: of its socket.
        lifecycle: says what is allowed; this object alone reports events to it.
    """

    def __init__(self, stream: Stream, lifecycle: ConnectionLifecycle) -> None:
        super().__init__(stream, lifecycle)
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to read."""
        self._task = self.loop.create_task(self._run())

    # --- what each side provides ---

    @property
    @abstractmethod
    def has_pending_work(self) -> bool:
        """Whether something has begun here whose end is still to come."""

    @abstractmethod
    def receive(self, data: bytes) -> None:
        """Act on bytes that were read."""

    @abstractmethod
    def on_closed(self, event: Event, why: str) -> None:
        """End what was pending: an event has closed the connection. Called once."""

    async def connect(self) -> None:
        """Establish an outgoing connection; raises where that fails."""
        raise NotImplementedError

    # --- reading ---

    async def _run(self) -> None:
        try:
            if self.lifecycle.state is State.CONNECTING:
                await self.connect()
                self.handle_event(Event.CONNECTED, "connected")
                self.flush_and_settle()
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
            self._close(Event.EXPIRED, "too much input while closing")

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether the peer's bytes, or its end, have arrived and have not been acted on."""
        return self.stream.has_undelivered_data or self.stream.peek() is not None

    # --- ending ---

    def drain(self, why: str) -> None:
        """Shut down gracefully: accept no new work, finish what is pending, and send the peer no reset."""
        self.handle_event(Event.DRAIN, why)
        self.settle()

    def settle(self) -> None:
        """Advance a graceful shutdown as far as nothing is pending any more."""
        if self.lifecycle.state is State.DRAINING and not self.has_pending_work:
            self.handle_event(Event.SETTLED, "settled")
        if self.lifecycle.state is State.FLUSHING and not self.has_pending_output:
            self.handle_event(Event.FLUSHED, "flushed")

    def call_after_pending_input(self, callback: Callable[[], None]) -> None:
        """Call back once all that the peer sent before now has been read, or handed over to be.

        Guards against a close over bytes that had arrived before the decision, where only the loop was late.
        The first turn's select finds them, the second finds them handed over.
        """
        self.loop.call_soon(self.loop.call_soon, callback)

    def run_isolated(self, work: Callable[[], None]) -> None:
        """Do this connection's part of what is done for all: an error in it ends this connection alone.

        Guards against an error that ends the periodic checks of all connections, or their shutdown.
        """
        try:
            work()
        except Exception:
            log.exception("connection failed")
            with contextlib.suppress(Exception):
                self.abort("internal error")

    def abort(self, why: str) -> None:
        """Close at once, whatever is pending."""
        self.handle_event(Event.ABORT, why)

    def handle_event(self, event: Event, why: str) -> None:
        """Report an event to the lifecycle, and do what the state that it enters asks for."""
        before = self.lifecycle.state
        after = self.lifecycle.handle(event, self.loop.time())
        if after is before:
            return
        self._schedule_expiry()
        if after is State.HALF_CLOSED:
            self.stream.shutdown_write()
        elif after is State.CLOSED:
            self._close(event, why)

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
        self.stalled_for()
        if self.loop.time() < self.lifecycle.deadline - EXPIRY_TOLERANCE:  # there was progress meanwhile
            self._schedule_expiry()
        else:
            self.handle_event(Event.EXPIRED, "closing timed out")

    def _close(self, event: Event, why: str) -> None:
        self._cancel_expiry()
        self.on_closed(event, why)
        self.stream.close()
        if self._task is not None and asyncio.current_task() is not self._task:
            self._task.cancel()
