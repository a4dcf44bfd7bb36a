"""The one place where HTTP/2 meets a socket: Tornado's IOStream, its loop and its clock."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from .connection import Connection, ConnectionLimits
from .events import Event

CHUNK = 65_536
HIGH_WATER = 262_144  # bytes in the socket's own buffer past which nothing more is framed
CHECK_EVERY = 1.0


class Transport:
    """Moves bytes between an IOStream and a Connection, and hands its events to a listener in order."""

    def __init__(
        self,
        stream: IOStream,
        client: bool,
        listener: Callable[[list[Event]], None],
        on_writable: Callable[[int], None],
        limits: ConnectionLimits | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._stream = stream
        self._listener = listener
        self._on_writable = on_writable
        self._flushing = self._blocked = False
        self.http = Connection(client, limits, self._loop.time())
        self._check = self._loop.call_later(CHECK_EVERY, self._on_time)
        stream.set_close_callback(self._on_close)
        stream.set_nodelay(True)
        self._reader = self._loop.create_task(self._read())
        self.flush()

    @property
    def peer(self) -> str:
        try:
            name = self._stream.socket.getpeername()
        except (OSError, AttributeError):
            return "?"
        return f"{name[0]}:{name[1]}" if isinstance(name, tuple) else str(name)

    def flush(self) -> None:
        """Write what waits at the end of this turn of the loop, so that small frames share one write."""
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self._blocked or self._stream.closed():
            return
        while data := self.http.output(CHUNK):
            try:
                written = self._stream.write(data)
            except StreamClosedError:
                return
            written.add_done_callback(_seen)
            if self._stream._write_buffer and len(self._stream._write_buffer) > HIGH_WATER:
                self._blocked = True
                written.add_done_callback(self._unblock)
                break
        if self.http.writable:
            ready, self.http.writable = self.http.writable, []
            for stream_id in ready:
                self._on_writable(stream_id)
        if self.http.closed and not self._blocked:
            self._loop.call_soon(self._stream.close)

    def _unblock(self, _: object) -> None:
        self._blocked = False
        self.flush()

    async def _read(self) -> None:
        try:
            while not self.http.closed:
                data = await self._stream.read_bytes(CHUNK, partial=True)
                events = self.http.receive(data, self._loop.time())
                if events:
                    self._listener(events)
                self.flush()
        except StreamClosedError:
            pass
        self._on_close()

    def _on_time(self) -> None:
        events = self.http.on_time(self._loop.time())
        if events:
            self._listener(events)
        self.flush()
        if not self.http.closed:
            self._check = self._loop.call_later(CHECK_EVERY, self._on_time)
        else:  # whatever the last words are, a peer that does not read them is not waited for
            self._loop.call_later(CHECK_EVERY, self._stream.close)

    def _on_close(self) -> None:
        self._check.cancel()
        if self.http.closed:
            self.flush()
            self._loop.call_later(CHECK_EVERY, self._stream.close)
        events = self.http.lost("the connection broke")
        if events:
            self._listener(events)

    def close(self) -> None:
        """Close at once; open streams are lost."""
        self._check.cancel()
        self._stream.close()
        self._reader.cancel()


def _seen(future: asyncio.Future[None]) -> None:
    """The reader learns of a broken connection; a write's own error is not told twice."""
    if not future.cancelled():
        future.exception()


def local_sockets(host: str, port: int, share: bool = False) -> list[socket.socket]:
    """Listening sockets; `share` lets several processes listen on one port."""
    from tornado.netutil import bind_sockets

    return bind_sockets(port, host, reuse_port=share)
