"""The server side of gRPC: connections, calls, deadlines and cancellation."""

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
from .call import ReceiveQueue, WriteThrottle
from .errors import RpcError
from .metadata import Metadata, parse_timeout, status_headers, to_headers
from .status import OK, Code, Status

log = structlog.get_logger()
Handler = Callable[["ServerCall"], Awaitable[None]]
RESPONSE_HEADERS = [
    (b":status", b"200"),
    (b"content-type", b"application/grpc"),
    (b"grpc-accept-encoding", b"gzip"),
]
REQUEST_MESSAGE_TIMEOUT = 10.0  # seconds within which the message of a unary request must arrive
HALF_CLOSE_TIMEOUT = 2.0  # seconds within which a client must half-close its side after the response
UNLIMITED_TIMEOUT = 10.0**7  # seconds; a call with at least this timeout has no deadline


class ServerCall:
    """One call. Writes to an ended call are ignored.

    Args:
        transport: The transport of the connection.
        stream_id: The stream of the call.
        path: The path of the method.
        metadata: The metadata of the request.
        max_message_bytes: The largest accepted message.

    Attributes:
        path: The path of the method.
        metadata: The metadata of the request.
        peer: The address of the client.
        deadline: The deadline in the time of the event loop. None for no deadline.
        is_done: Whether the call has ended.
        is_gzip: Whether the messages of the response are compressed.
        headers: Metadata that is sent before the first message.
        trailers: Metadata that is sent with the status.
        on_abandoned: Called once if the client resets the call, its connection is lost or the deadline
            passes before the call ends. It is called before the task of the handler is cancelled.
        task: The task of the handler.
        timer: The timer of the deadline.
        receive_queue: The received messages.
        write_throttle: Blocks writers while the client does not read.
    """

    def __init__(
        self, transport: Transport, stream_id: int, path: str, metadata: Metadata, max_message_bytes: int
    ) -> None:
        self.path, self.metadata, self.peer = path, metadata, transport.peer
        self.deadline: float | None = None
        self.is_done = False
        self.is_gzip = False
        self.headers: tuple[tuple[str, str | bytes], ...] = ()
        self.trailers: tuple[tuple[str, str | bytes], ...] = ()
        self.on_abandoned: Callable[[], None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.receive_queue = ReceiveQueue(transport, stream_id, max_message_bytes)
        self.write_throttle = WriteThrottle(transport.http, stream_id)
        self._transport, self._stream_id = transport, stream_id
        self._are_headers_sent = False

    async def read(self) -> bytes | None:
        """Wait for the next message and return it, or None once the client has half-closed the call."""
        return await self.receive_queue.get()

    async def read_single(self, method: str) -> bytes:
        """Wait at most `REQUEST_MESSAGE_TIMEOUT` seconds for the message of a unary request, and return it.

        Args:
            method: The name of the method, for error messages.

        Raises:
            RpcError: The message did not arrive in time, or the request has no message.
        """
        try:
            if self.receive_queue.unread_count:  # nearly always true; a timer would cost more than the read
                message = await self.read()
            else:
                async with asyncio.timeout(REQUEST_MESSAGE_TIMEOUT):
                    message = await self.read()
        except TimeoutError:
            raise RpcError(
                Status(Code.DEADLINE_EXCEEDED, f"{method}: the request message did not arrive in time")
            ) from None
        if message is None:
            raise RpcError(Status(Code.INTERNAL, f"{method}: the request has no message"))
        return message

    def write_now(self, message: bytes) -> None:
        """Queue a message without waiting. The caller is expected to check `write_throttle` first."""
        if self.is_done:
            return
        self._send_response_headers()
        http = self._transport.http
        if self.is_gzip:
            http.send_data(self._stream_id, framing.compressed_message(message))
        elif len(message) < 4096:
            http.send_data(self._stream_id, framing.message_prefix(message) + message)
        else:
            http.send_data(self._stream_id, framing.message_prefix(message))
            http.send_data(self._stream_id, message)
        self._transport.flush()

    async def write(self, message: bytes) -> None:
        """Send a message. Waits while the client does not read."""
        if not self.write_throttle.can_write:
            await self.write_throttle.wait_writable()
        self.write_now(message)

    def _send_response_headers(self) -> None:
        if not self._are_headers_sent:
            self._are_headers_sent = True
            encoding_headers = [(b"grpc-encoding", b"gzip")] if self.is_gzip else []
            self._transport.http.send_headers(
                self._stream_id, RESPONSE_HEADERS + encoding_headers + to_headers(self.headers)
            )

    def finish(self, status: Status = OK) -> None:
        """End the call with a status. Only the first status is sent."""
        if self.is_done:
            return
        self.is_done = True
        final_headers = status_headers(status) + to_headers(self.trailers)
        if not self._are_headers_sent:  # a "Trailers-Only" response has a single header block
            self._are_headers_sent = True
            final_headers = RESPONSE_HEADERS + to_headers(self.headers) + final_headers
        http = self._transport.http
        http.send_headers(self._stream_id, final_headers, end_stream=True)
        if not self.receive_queue.is_ended:  # the rest of the request is not needed
            self.receive_queue.discard()
            # A server may reset the rest of the request after a complete response (RFC 9113 section 8.1).
            # The reset is delayed because most clients half-close their side at the same moment.
            asyncio.get_running_loop().call_later(HALF_CLOSE_TIMEOUT, self._reset_if_sent)
        self._transport.flush()
        self._cancel_timer()

    def _reset_if_sent(self) -> None:
        if not self._transport.http.queued_bytes(self._stream_id):
            self._transport.http.reset(self._stream_id, ErrorCode.NO_ERROR)
            self._transport.flush()

    def reset(self, code: int) -> None:
        """Reset the stream, which ends the call without a status."""
        if not self.is_done:
            self.is_done = True
            self._transport.http.reset(self._stream_id, code)
            self.receive_queue.discard()
            self._transport.flush()
            self._cancel_timer()

    def abandon(self) -> None:
        """End the call after its stream was reset or lost with its connection."""
        if not self.is_done:
            self.is_done = True
            if self.on_abandoned is not None:
                self.on_abandoned()
            if self.task is not None:
                self.task.cancel()
        self.receive_queue.discard()
        self.write_throttle.wake()
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        """Cancel the deadline timer, unless parts of the response are still queued.

        `expire` drops these parts if the client does not read them before the deadline.
        """
        if self.timer is not None and not self._transport.http.queued_bytes(self._stream_id):
            self.timer.cancel()

    def expire(self) -> None:
        """End the call at its deadline.

        An open call ends with DEADLINE_EXCEEDED. If the call has already ended, its stream is reset, which
        drops the parts of the response that are still queued.
        """
        if self.is_done:
            self._transport.http.reset(self._stream_id, ErrorCode.CANCEL)
            self._transport.flush()
        else:
            if self.on_abandoned is not None:
                self.on_abandoned()
            self.finish(Status(Code.DEADLINE_EXCEEDED, "the deadline of the call has passed"))
            if self.task is not None:
                self.task.cancel()


class _ServerConnection:
    """One connection of a client and its open calls."""

    def __init__(self, server: Server, stream: IOStream) -> None:
        self.server = server
        self.calls: dict[int, ServerCall] = {}
        self.transport = Transport(stream, False, self.on_events, self.on_writable, server.limits)

    def on_writable(self, stream_id: int) -> None:
        if stream_id in self.calls:
            self.calls[stream_id].write_throttle.wake()

    def on_events(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, HeadersReceived):
                if event.is_first_block:
                    self.start_call(event)
                elif event.end_stream and event.stream_id in self.calls:
                    self.calls[event.stream_id].receive_queue.end()
            elif isinstance(event, DataReceived):
                self.on_data(event)
            elif isinstance(event, StreamClosed):
                call = self.calls.pop(event.stream_id, None)
                if call is not None:
                    call.abandon()
            elif isinstance(event, ConnectionClosed):
                if event.code:
                    log.warning("HTTP/2 connection failed", peer=self.transport.peer, why=event.text)
                self.server.connections.discard(self)

    def on_data(self, event: DataReceived) -> None:
        call = self.calls.get(event.stream_id)
        if call is None or call.receive_queue.is_ended:
            self.transport.http.acknowledge_data(event.stream_id, event.credit)
            return
        try:
            call.receive_queue.feed(event.data, event.credit)
        except RpcError as error:
            call.finish(error.status)
            if call.task is not None:
                call.task.cancel()
            return
        if event.end_stream:
            call.receive_queue.end()

    def start_call(self, event: HeadersReceived) -> None:
        stream_id, transport = event.stream_id, self.transport
        headers = dict(event.headers)
        if headers[b":method"] != b"POST" or not headers.get(b"content-type", b"").startswith(
            b"application/grpc"
        ):
            transport.http.send_headers(stream_id, [(b":status", b"415")], end_stream=True)
            transport.http.reset(stream_id, ErrorCode.NO_ERROR)
            return
        path = headers[b":path"].decode("latin-1")
        call = ServerCall(transport, stream_id, path, Metadata(), self.server.max_message_bytes)
        self.calls[stream_id] = call
        if event.end_stream:
            call.receive_queue.end()
        try:
            call.metadata = Metadata.from_headers(event.headers)
            timeout = parse_timeout(call.metadata.text("grpc-timeout"))
        except ValueError as error:
            self.reject_call(stream_id, call, Status(Code.INVALID_ARGUMENT, str(error)))
            return
        encoding = call.metadata.text("grpc-encoding", "identity")
        handler = self.server.handlers.get(path)
        if encoding not in ("identity", "gzip"):
            text = f"header grpc-encoding: expected identity or gzip, got {encoding!r}"
            self.reject_call(stream_id, call, Status(Code.UNIMPLEMENTED, text))
        elif handler is None:
            self.reject_call(stream_id, call, Status(Code.UNIMPLEMENTED, f"unknown method {path}"))
        else:
            call.receive_queue.message_reader.is_gzip = encoding == "gzip"
            loop = asyncio.get_running_loop()
            if timeout is not None and timeout < UNLIMITED_TIMEOUT:
                call.deadline = loop.time() + timeout
                call.timer = loop.call_later(timeout, call.expire)
            call.task = loop.create_task(self.run_handler(stream_id, call, handler))

    def reject_call(self, stream_id: int, call: ServerCall, status: Status) -> None:
        call.finish(status)
        self.calls.pop(stream_id, None)

    async def run_handler(self, stream_id: int, call: ServerCall, handler: Handler) -> None:
        try:
            await handler(call)
            call.finish(OK)
        except RpcError as error:
            call.finish(error.status)
        except asyncio.CancelledError:
            call.finish(Status(Code.CANCELLED, "the call was cancelled"))
        except Exception:
            log.exception("RPC handler failed", path=call.path, peer=call.peer)
            call.finish(Status(Code.INTERNAL, "internal error"))
        finally:
            self.calls.pop(stream_id, None)


class Server:
    """A gRPC server on any number of sockets.

    Args:
        handlers: The handlers of the methods by path.
        limits: The limits that are imposed on each client.
        max_connections: The largest number of connections. Further connections are closed immediately.
        max_message_bytes: The largest accepted message.

    Attributes:
        handlers: The handlers of the methods by path.
        limits: The limits that are imposed on each client.
        max_connections: The largest number of connections.
        max_message_bytes: The largest accepted message.
        connections: The open connections.
        is_draining: Whether `drain` was called.
    """

    def __init__(
        self,
        handlers: dict[str, Handler],
        limits: ConnectionLimits | None = None,
        max_connections: int = 1_000,
        max_message_bytes: int = framing.DEFAULT_MAX_MESSAGE_BYTES,
    ) -> None:
        self.handlers, self.limits = handlers, limits or ConnectionLimits()
        self.max_connections, self.max_message_bytes = max_connections, max_message_bytes
        self.connections: set[_ServerConnection] = set()
        self._listener = _Listener(self)
        self.is_draining = False

    def listen(self, sockets: list[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        self._listener.add_sockets(sockets)

    def accept(self, stream: IOStream) -> None:
        """Serve a new connection, or close it if the limit is reached."""
        if len(self.connections) >= self.max_connections:
            log.warning("connection rejected: limit reached", connections=len(self.connections))
            stream.close()
            return
        connection = _ServerConnection(self, stream)
        self.connections.add(connection)
        if self.is_draining:
            connection.transport.http.drain()

    def stop_listening(self) -> None:
        """Close the listening sockets. Open connections are not affected."""
        self._listener.stop()

    def drain(self) -> None:
        """Send GOAWAY on all connections. Open calls may finish."""
        self.is_draining = True
        for connection in self.connections:
            connection.transport.http.drain()
            connection.transport.flush()

    @property
    def open_call_count(self) -> int:
        """The number of open calls on all connections."""
        return sum(len(c.calls) for c in self.connections)

    def close(self) -> None:
        """Close the server immediately. Open calls are lost."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.transport.close()


class _Listener(TCPServer):
    def __init__(self, server: Server) -> None:
        super().__init__(max_buffer_size=1_048_576)
        self._server = server

    async def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        self._server.accept(stream)
