"""The server's side of gRPC: connections, calls, deadlines, cancellation."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import structlog
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from ..http2 import (
    ConnectionClosed,
    ConnectionLimits,
    DataReceived,
    ErrorCode,
    Event,
    HeadersReceived,
    StreamClosed,
)
from ..http2.transport import Transport
from . import framing
from .call import Gate, Mailbox
from .errors import RpcError
from .metadata import Metadata, read_timeout, status_headers, to_headers
from .status import OK, Code, Status

log = structlog.get_logger()
Handler = Callable[["ServerCall"], Awaitable[None]]
RESPONSE = [(b":status", b"200"), (b"content-type", b"application/grpc"), (b"grpc-accept-encoding", b"gzip")]
REQUEST_TIME = 10.0  # seconds for the message of a unary call to come
LINGER = 2.0  # seconds for a client to end its side after the answer
FOREVER = 10.0**7  # seconds; a longer time-out is as good as none


class ServerCall:
    """One call. Its handler reads, writes and finishes; ended calls take writes silently."""

    def __init__(
        self, transport: Transport, stream_id: int, path: str, metadata: Metadata, most: int
    ) -> None:
        self.path, self.metadata, self.peer = path, metadata, transport.peer
        self.deadline: float | None = None  # on the loop's clock
        self.done = False
        self.gzip = False  # answers are compressed
        self.headers: tuple[tuple[str, str | bytes], ...] = ()  # sent before the first message
        self.trailers: tuple[tuple[str, str | bytes], ...] = ()
        self.on_gone: Callable[[], None] | None = None  # the client has gone; called once, before the cancel
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.inbox = Mailbox(transport, stream_id, most)
        self.gate = Gate(transport.http, stream_id)
        self._transport, self._stream_id = transport, stream_id
        self._opened = False

    async def read(self) -> bytes | None:
        """The next message of the client; None once it has said that it is done."""
        return await self.inbox.take()

    async def read_only(self, what: str) -> bytes:
        """The one message of a unary request; a client that does not send it is not waited for."""
        try:
            if self.inbox.waiting:  # as it nearly always is: a timer would cost more than the read
                message = await self.read()
            else:
                async with asyncio.timeout(REQUEST_TIME):
                    message = await self.read()
        except TimeoutError:
            raise RpcError(Status(Code.DEADLINE_EXCEEDED, f"{what}: the request did not come")) from None
        if message is None:
            raise RpcError(Status(Code.INTERNAL, f"{what}: the request has no message"))
        return message

    def write_now(self, message: bytes) -> None:
        """Queue a message; the caller looks at `gate` itself."""
        if self.done:
            return
        self._open()
        http = self._transport.http
        if self.gzip:
            http.send_data(self._stream_id, framing.compressed(message))
        elif len(message) < 4096:
            http.send_data(self._stream_id, framing.prefix(message) + message)
        else:
            http.send_data(self._stream_id, framing.prefix(message))
            http.send_data(self._stream_id, message)
        self._transport.flush()

    async def write(self, message: bytes) -> None:
        """Send a message; waits while the client does not read."""
        if not self.gate.open:
            await self.gate.passed()
        self.write_now(message)

    def _open(self) -> None:
        if not self._opened:
            self._opened = True
            extra = [(b"grpc-encoding", b"gzip")] if self.gzip else []
            self._transport.http.send_headers(self._stream_id, RESPONSE + extra + to_headers(self.headers))

    def finish(self, status: Status = OK) -> None:
        """End the call with a status; the first one counts."""
        if self.done:
            return
        self.done = True
        tail = status_headers(status) + to_headers(self.trailers)
        if not self._opened:  # "Trailers-Only"
            self._opened = True
            tail = RESPONSE + to_headers(self.headers) + tail
        http = self._transport.http
        http.send_headers(self._stream_id, tail, end_stream=True)
        if not self.inbox.ended:  # the rest of the request is not needed
            self.inbox.drop()
            # RFC 9113 section 8.1. Not at once: most clients end their side in the same moment.
            asyncio.get_running_loop().call_later(LINGER, self._let_go)
        self._transport.flush()
        self._release()

    def _let_go(self) -> None:
        if not self._transport.http.queued_bytes(self._stream_id):
            self._transport.http.reset(self._stream_id, ErrorCode.NO_ERROR)
            self._transport.flush()

    def reset(self, code: int) -> None:
        """End the call without a status."""
        if not self.done:
            self.done = True
            self._transport.http.reset(self._stream_id, code)
            self.inbox.drop()
            self._transport.flush()
            self._release()

    def gone(self) -> None:
        """The client's stream has ended: reset, or lost with its connection."""
        if not self.done:
            self.done = True
            if self.on_gone is not None:
                self.on_gone()
            if self.task is not None:
                self.task.cancel()
        self.inbox.drop()
        self.gate.wake()
        self._release()

    def _release(self) -> None:
        """Let the timer go, unless the answer still waits for a client that does not read."""
        if self.timer is not None and not self._transport.http.queued_bytes(self._stream_id):
            self.timer.cancel()

    def expire(self) -> None:
        """The client's time is over: whatever it has not read by now it does not want."""
        if self.done:
            self._transport.http.reset(self._stream_id, ErrorCode.CANCEL)
            self._transport.flush()
        else:
            if self.on_gone is not None:
                self.on_gone()
            self.finish(Status(Code.DEADLINE_EXCEEDED, "the call's time is over"))
            if self.task is not None:
                self.task.cancel()


class _ServerConnection:
    def __init__(self, server: Server, stream: IOStream) -> None:
        self.server = server
        self.calls: dict[int, ServerCall] = {}
        self.transport = Transport(stream, False, self.on_events, self.on_writable, server.limits)

    def on_writable(self, stream_id: int) -> None:
        if stream_id in self.calls:
            self.calls[stream_id].gate.wake()

    def on_events(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, HeadersReceived):
                if event.is_first_block:
                    self.begin(event)
                elif event.end_stream and event.stream_id in self.calls:
                    self.calls[event.stream_id].inbox.end()
            elif isinstance(event, DataReceived):
                self.on_data(event)
            elif isinstance(event, StreamClosed):
                call = self.calls.pop(event.stream_id, None)
                if call is not None:
                    call.gone()
            elif isinstance(event, ConnectionClosed):
                if event.code:
                    log.warning("connection given up", peer=self.transport.peer, why=event.text)
                self.server.connections.discard(self)

    def on_data(self, event: DataReceived) -> None:
        call = self.calls.get(event.stream_id)
        if call is None or call.inbox.ended:
            self.transport.http.acknowledge_data(event.stream_id, event.credit)
            return
        try:
            call.inbox.feed(event.data, event.credit)
        except RpcError as error:
            call.finish(error.status)
            if call.task is not None:
                call.task.cancel()
            return
        if event.end_stream:
            call.inbox.end()

    def begin(self, event: HeadersReceived) -> None:
        stream_id, transport = event.stream_id, self.transport
        fields = dict(event.headers)
        if fields[b":method"] != b"POST" or not fields.get(b"content-type", b"").startswith(
            b"application/grpc"
        ):
            transport.http.send_headers(stream_id, [(b":status", b"415")], end_stream=True)
            transport.http.reset(stream_id, ErrorCode.NO_ERROR)
            return
        path = fields[b":path"].decode("latin-1")
        call = ServerCall(transport, stream_id, path, Metadata(), self.server.most_message)
        self.calls[stream_id] = call
        if event.end_stream:
            call.inbox.end()
        try:
            call.metadata = Metadata.from_headers(event.headers)
            timeout = read_timeout(call.metadata.text("grpc-timeout"))
        except ValueError as error:
            self.end(stream_id, call, Status(Code.INVALID_ARGUMENT, str(error)))
            return
        encoding = call.metadata.text("grpc-encoding", "identity")
        handler = self.server.handlers.get(path)
        if encoding not in ("identity", "gzip"):
            text = f"header grpc-encoding {encoding!r} is not known, only identity and gzip"
            self.end(stream_id, call, Status(Code.UNIMPLEMENTED, text))
        elif handler is None:
            self.end(stream_id, call, Status(Code.UNIMPLEMENTED, f"no method {path}"))
        else:
            call.inbox.reader.gzip = encoding == "gzip"
            loop = asyncio.get_running_loop()
            if timeout is not None and timeout < FOREVER:
                call.deadline = loop.time() + timeout
                call.timer = loop.call_later(timeout, call.expire)
            call.task = loop.create_task(self.run(stream_id, call, handler))

    def end(self, stream_id: int, call: ServerCall, status: Status) -> None:
        call.finish(status)
        self.calls.pop(stream_id, None)

    async def run(self, stream_id: int, call: ServerCall, handler: Handler) -> None:
        try:
            await handler(call)
            call.finish(OK)
        except RpcError as error:
            call.finish(error.status)
        except asyncio.CancelledError:
            call.finish(Status(Code.CANCELLED, "the call was given up"))
        except Exception:
            log.exception("handler failed", path=call.path, peer=call.peer)
            call.finish(Status(Code.INTERNAL, "internal error"))
        finally:
            self.calls.pop(stream_id, None)


class Server:
    """Serves calls by path on any number of sockets. Holds at most `max_connections`."""

    def __init__(
        self,
        handlers: dict[str, Handler],
        limits: ConnectionLimits | None = None,
        max_connections: int = 1_000,
        most_message: int = framing.DEFAULT_MOST,
    ) -> None:
        self.handlers, self.limits = handlers, limits or ConnectionLimits()
        self.max_connections, self.most_message = max_connections, most_message
        self.connections: set[_ServerConnection] = set()
        self._listener = _Listener(self)
        self.draining = False

    def listen(self, sockets: list[socket.socket]) -> None:
        self._listener.add_sockets(sockets)

    def accept(self, stream: IOStream) -> None:
        if len(self.connections) >= self.max_connections:
            log.warning("connection turned away", connections=len(self.connections))
            stream.close()
            return
        connection = _ServerConnection(self, stream)
        self.connections.add(connection)
        if self.draining:
            connection.transport.http.drain()

    def stop_listening(self) -> None:
        self._listener.stop()

    def drain(self) -> None:
        """GOAWAY everywhere; calls that run may end."""
        self.draining = True
        for connection in self.connections:
            connection.transport.http.drain()
            connection.transport.flush()

    @property
    def open_calls(self) -> int:
        return sum(len(c.calls) for c in self.connections)

    def close(self) -> None:
        """End at once; open calls are lost."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.transport.close()


class _Listener(TCPServer):
    def __init__(self, server: Server) -> None:
        super().__init__(max_buffer_size=1_048_576)
        self._server = server

    async def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        self._server.accept(stream)
