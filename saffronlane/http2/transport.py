"""Runs a Connection on a Tornado IOStream, with timers and the clock of the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from .connection import Connection, ConnectionLimits
from .events import Event

CHUNK_SIZE = 65_536
WRITE_HIGH_WATER = 262_144  # bytes in the write buffer of the IOStream above which writing is paused
CHECK_INTERVAL = 1.0  # seconds


class Transport:
    """Moves bytes between an IOStream and a Connection, and reports events in order.

    Args:
        stream: The connected stream.
        is_client: Whether this side is the client.
        on_events: Called with the events that result from a received chunk, from an expired timeout, or from
            the loss of the connection.
        on_writable: Called with the identifier of a stream whose send queue has fallen to the low-water mark.
        limits: The limits that are imposed on the peer.

    Attributes:
        http: The state of the HTTP/2 connection.
    """

    def __init__(
        self,
        stream: IOStream,
        is_client: bool,
        on_events: Callable[[list[Event]], None],
        on_writable: Callable[[int], None],
        limits: ConnectionLimits | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._stream = stream
        self._on_events = on_events
        self._on_writable = on_writable
        self._is_flush_scheduled = self._is_write_blocked = False
        self.http = Connection(is_client, limits, self._loop.time())
        self._check_timer = self._loop.call_later(CHECK_INTERVAL, self._check_timeouts)
        stream.set_close_callback(self._on_close)
        stream.set_nodelay(True)
        self._read_task = self._loop.create_task(self._read())
        self.flush()

    @property
    def peer(self) -> str:
        """The address of the peer, or "?" if it is unknown."""
        try:
            address = self._stream.socket.getpeername()
        except (OSError, AttributeError):
            return "?"
        return f"{address[0]}:{address[1]}" if isinstance(address, tuple) else str(address)

    def flush(self) -> None:
        """Schedule a write of the queued frames for the next iteration of the event loop.

        Small frames that are queued until then share one write.
        """
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._is_write_blocked or self._stream.closed():
            return
        while data := self.http.output(CHUNK_SIZE):
            try:
                write_future = self._stream.write(data)
            except StreamClosedError:
                return
            write_future.add_done_callback(_consume_write_error)
            if self._stream._write_buffer and len(self._stream._write_buffer) > WRITE_HIGH_WATER:
                self._is_write_blocked = True
                write_future.add_done_callback(self._on_write_done)
                break
        if self.http.writable_streams:
            writable_streams, self.http.writable_streams = self.http.writable_streams, []
            for stream_id in writable_streams:
                self._on_writable(stream_id)
        if self.http.closed and not self._is_write_blocked:
            self._loop.call_soon(self._stream.close)

    async def wait_until_written(self) -> None:
        """Wait until the kernel has accepted all frames that can be sent; a lost connection ends the wait."""
        with contextlib.suppress(StreamClosedError):
            while self._is_flush_scheduled or self._stream.writing():
                if self._stream.writing():
                    await self._stream.write(b"")  # completes after all earlier writes
                else:
                    await asyncio.sleep(0)

    def _on_write_done(self, _: object) -> None:
        self._is_write_blocked = False
        self.flush()

    async def _read(self) -> None:
        try:
            while not self.http.closed:
                data = await self._stream.read_bytes(CHUNK_SIZE, partial=True)
                events = self.http.receive(data, self._loop.time())
                if events:
                    self._on_events(events)
                self.flush()
        except StreamClosedError:
            pass
        self._on_close()

    def _check_timeouts(self) -> None:
        events = self.http.check_timeouts(self._loop.time())
        if events:
            self._on_events(events)
        self.flush()
        if not self.http.closed:
            self._check_timer = self._loop.call_later(CHECK_INTERVAL, self._check_timeouts)
        else:  # a peer that does not read the final GOAWAY must not keep the connection open
            self._loop.call_later(CHECK_INTERVAL, self._stream.close)

    def _on_close(self) -> None:
        self._check_timer.cancel()
        if self.http.closed:  # the final GOAWAY may still be unsent
            self.flush()
            self._loop.call_later(CHECK_INTERVAL, self._stream.close)
        events = self.http.connection_lost("the connection was lost")
        if events:
            self._on_events(events)

    def close(self) -> None:
        """Close the connection immediately. Open streams are lost."""
        self._check_timer.cancel()
        self._stream.close()
        self._read_task.cancel()


def _consume_write_error(future: asyncio.Future[None]) -> None:
    """Retrieve the error of a write, so that asyncio does not log it.

    The read task reports the lost connection.
    """
    if not future.cancelled():
        future.exception()


def local_sockets(host: str, port: int, reuse_port: bool = False) -> list[socket.socket]:
    """Open listening sockets.

    Args:
        host: The address to bind to.
        port: The port to bind to; 0 selects a free port.
        reuse_port: Whether several processes may listen on the port.
    """
    from tornado.netutil import bind_sockets

    return bind_sockets(port, host, reuse_port=reuse_port)
