"""The client side of gRPC: one connection, its calls, and how each call ended."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from tornado.tcpclient import TCPClient

from ..http2 import (
    ConnectionClosed,
    ConnectionLimits,
    DataReceived,
    ErrorCode,
    Event,
    GoAwayReceived,
    HeadersReceived,
    PingAcked,
    StreamClosed,
)
from ..http2.transport import Transport
from . import framing
from .call import ReceiveQueue, WriteThrottle
from .errors import RpcError
from .metadata import Metadata, format_timeout, parse_status, status_from_http, to_headers
from .status import OK, Code, Ending, Status


class ClientCall:
    """One call.

    Once `read` has returned None, the call has ended: `status`, `ending` and `trailers` are final.

    Args:
        channel: The channel of the call.
        transport: The transport of the channel.
        stream_id: The stream of the call.
        max_message_bytes: The largest accepted message.

    Attributes:
        status: The status of the ended call. None while the call is open.
        ending: How the call ended. None while the call is open.
        headers: The response headers.
        trailers: The trailers.
        receive_queue: The received messages.
        write_throttle: Blocks writers while the peer does not read.
        stream_id: The stream of the call.
    """

    def __init__(
        self, channel: Channel, transport: Transport, stream_id: int, max_message_bytes: int
    ) -> None:
        self.status: Status | None = None
        self.ending: Ending | None = None
        self.headers = Metadata()
        self.trailers = Metadata()
        self.receive_queue = ReceiveQueue(transport, stream_id, max_message_bytes)
        self.write_throttle = WriteThrottle(transport.http, stream_id)
        self.stream_id = stream_id
        self._channel, self._transport = channel, transport

    async def read(self) -> bytes | None:
        """Wait for the next message and return it, or None at the end of the call."""
        return await self.receive_queue.get()

    async def write(self, message: bytes, end: bool = False) -> None:
        """Send a message, and half-close the call if `end` is true. Waits while the peer does not read."""
        await self.write_throttle.wait_writable()
        self.write_now(message, end)

    def write_now(self, message: bytes, end: bool = False) -> None:
        """Queue a message without waiting, and half-close the call if `end` is true."""
        http = self._transport.http
        http.send_data(self.stream_id, framing.message_prefix(message))
        http.send_data(self.stream_id, message, end)
        self._transport.flush()

    def half_close(self) -> None:
        """Half-close the call: no further message will be sent."""
        self._transport.http.send_data(self.stream_id, b"", end_stream=True)
        self._transport.flush()

    def cancel(self) -> bool:
        """Cancel the call, and return whether the peer may have received it.

        If the result is false, the call certainly was not executed. A call that has already ended is not
        changed, and the result is true.
        """
        if self.ending is not None:
            return True
        may_be_received = self._transport.http.are_headers_sent(self.stream_id)
        self._channel.calls.pop(self.stream_id, None)
        self._transport.http.reset(self.stream_id, ErrorCode.CANCEL)
        self._transport.flush()
        self.end(
            Status(Code.CANCELLED, "the client cancelled the call"),
            Ending.CANCELLED if may_be_received else Ending.UNPROCESSED,
        )
        return may_be_received

    def end(self, status: Status, ending: Ending) -> None:
        """Record the end of the call, unless it has already ended, and wake its reader and writer."""
        if self.ending is None:
            self.status, self.ending = status, ending
            self.receive_queue.end()
            self.write_throttle.wake()


class Channel:
    """One connection to one peer. It does not reconnect; a pool opens a new channel instead.

    Args:
        host: The address of the peer.
        port: The port of the peer.
        max_message_bytes: The largest accepted message.

    Attributes:
        authority: The `host:port` of the peer.
        calls: The open calls by stream identifier.
        closed: Whether the connection is closed.
        on_unavailable: Called when the peer has sent GOAWAY and when the connection is closed.
    """

    def __init__(
        self, host: str, port: int, max_message_bytes: int = framing.DEFAULT_MAX_MESSAGE_BYTES
    ) -> None:
        self.authority = f"{host}:{port}"
        self.calls: dict[int, ClientCall] = {}
        self.closed = False
        self.on_unavailable: Callable[[], None] | None = None
        self._host, self._port, self._max_message_bytes = host, port, max_message_bytes
        self._transport: Transport | None = None
        self._pending_pings: dict[bytes, asyncio.Future[bool]] = {}
        self._ping_numbers = itertools.count(1)

    async def connect(self, timeout: float, limits: ConnectionLimits | None = None) -> None:
        """Open the connection.

        Args:
            timeout: The seconds within which the connection must be established.
            limits: The limits that are imposed on the peer.

        Raises:
            OSError: The connection failed.
            TimeoutError: The connection was not established in time.
        """
        stream = await asyncio.wait_for(TCPClient().connect(self._host, self._port), timeout)
        self._transport = Transport(stream, True, self._on_events, self._on_writable, limits)

    @property
    def usable(self) -> bool:
        """Whether a call can be started now."""
        return self._transport is not None and not self.closed and self._transport.http.can_open_stream

    async def wait_until_written(self) -> None:
        """Wait until nothing that was queued earlier has to be written before the next call."""
        if self._transport is not None:
            await self._transport.wait_until_written()

    @property
    def is_draining(self) -> bool:
        """Whether no further call can be started: the peer has sent GOAWAY or the connection is not open."""
        return self.closed or self._transport is None or self._transport.http.is_peer_draining

    def start(
        self,
        path: str,
        metadata: tuple[tuple[str, str | bytes], ...] = (),
        timeout: float | None = None,
    ) -> ClientCall:
        """Start a call.

        Args:
            path: The path of the method.
            metadata: The metadata of the request.
            timeout: The seconds until the deadline of the call. None for no deadline.

        Raises:
            RpcError: UNAVAILABLE if the connection cannot carry another call.
        """
        transport = self._transport
        if transport is None or not self.usable:
            raise RpcError(
                Status(Code.UNAVAILABLE, f"{self.authority}: the connection cannot carry another call")
            )
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", path.encode()),
            (b":authority", self.authority.encode()),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc"),
            (b"user-agent", b"saffronlane"),
            (b"grpc-accept-encoding", b"gzip"),
        ]
        if timeout is not None:
            headers.append((b"grpc-timeout", format_timeout(timeout)))
        stream_id = transport.http.open_stream(headers + to_headers(metadata))
        call = self.calls[stream_id] = ClientCall(self, transport, stream_id, self._max_message_bytes)
        transport.flush()
        return call

    async def unary(
        self,
        path: str,
        request: bytes,
        metadata: tuple[tuple[str, str | bytes], ...] = (),
        timeout: float | None = None,
    ) -> bytes:
        """Execute a unary call: send one message and return the one message of the response.

        Args:
            path: The path of the method.
            request: The request message.
            metadata: The metadata of the request.
            timeout: The seconds until the deadline of the call. None for no deadline.

        Raises:
            RpcError: The call could not be started or its connection was lost (UNAVAILABLE), it ended with a
                status other than OK, or its response has no message (INTERNAL).
        """
        call = self.start(path, metadata, timeout)
        call.write_now(request, end=True)
        try:
            response = await call.read()
            while response is not None and await call.read() is not None:
                pass
        except asyncio.CancelledError:
            call.cancel()
            raise
        status = call.status or OK
        if not status.ok:
            raise RpcError(status)
        if response is None:
            raise RpcError(Status(Code.INTERNAL, f"{path}: the response has no message"))
        return response

    async def ping(self, timeout: float) -> bool:
        """Send a PING, and return whether the peer acknowledged it in time.

        An acknowledgement proves that the peer has received everything that was sent before.

        Args:
            timeout: The seconds to wait for the acknowledgement.
        """
        if self._transport is None or self.closed:
            return False
        payload = next(self._ping_numbers).to_bytes(8, "big")
        acknowledgement = self._pending_pings[payload] = asyncio.get_running_loop().create_future()
        self._transport.http.ping(payload)
        self._transport.flush()
        try:
            return await asyncio.wait_for(acknowledgement, timeout)
        except TimeoutError:
            return False
        finally:
            self._pending_pings.pop(payload, None)

    def close(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.close()

    def _on_writable(self, stream_id: int) -> None:
        if stream_id in self.calls:
            self.calls[stream_id].write_throttle.wake()

    def _on_events(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, HeadersReceived):
                self._on_headers(event)
            elif isinstance(event, DataReceived):
                self._on_data(event)
            elif isinstance(event, StreamClosed):
                self._on_stream_closed(event)
            elif isinstance(event, PingAcked):
                acknowledgement = self._pending_pings.get(event.payload)
                if acknowledgement is not None and not acknowledgement.done():
                    acknowledgement.set_result(True)
            elif isinstance(event, (GoAwayReceived, ConnectionClosed)):
                self._on_connection_ending(event)

    def _on_connection_ending(self, event: GoAwayReceived | ConnectionClosed) -> None:
        if isinstance(event, ConnectionClosed):
            self.closed = True
            for acknowledgement in self._pending_pings.values():
                if not acknowledgement.done():
                    acknowledgement.set_result(False)
        if self.on_unavailable is not None:
            self.on_unavailable()

    def _on_headers(self, event: HeadersReceived) -> None:
        call = self.calls.get(event.stream_id)
        if call is None:
            return
        try:
            metadata = Metadata.from_headers(event.headers)
        except ValueError as error:
            self._end(call, Status(Code.INTERNAL, str(error)), Ending.RESET)
            return
        if event.is_first_block:
            call.headers = metadata
            call.receive_queue.message_reader.is_gzip = metadata.text("grpc-encoding") == "gzip"
            http_status = dict(event.headers)[b":status"].decode("latin-1")
            if http_status != "200" or not metadata.text("content-type").startswith("application/grpc"):
                self._end(call, status_from_http(http_status), Ending.RESET)
                return
        if event.end_stream:
            call.trailers = metadata
            if metadata.text("grpc-status"):
                self._end(call, parse_status(metadata), Ending.STATUS)
            else:
                self._end(call, Status(Code.INTERNAL, "the trailers have no grpc-status"), Ending.RESET)

    def _on_data(self, event: DataReceived) -> None:
        call = self.calls.get(event.stream_id)
        if call is None or self._transport is None:
            if self._transport is not None:
                self._transport.http.acknowledge_data(event.stream_id, event.credit)
            return
        try:
            call.receive_queue.feed(event.data, event.credit)
        except RpcError as error:
            self._end(call, error.status, Ending.RESET)
            return
        if event.end_stream:
            self._end(call, Status(Code.INTERNAL, "the response ended without trailers"), Ending.RESET)

    def _end(self, call: ClientCall, status: Status, ending: Ending) -> None:
        self.calls.pop(call.stream_id, None)
        if self._transport is not None:  # resets the stream unless both sides have ended it
            self._transport.http.reset(call.stream_id, ErrorCode.CANCEL)
            self._transport.flush()
        if ending is Ending.STATUS and status.ok and call.receive_queue.message_reader.buffered_bytes:
            status, ending = Status(Code.INTERNAL, "the response ends inside a message"), Ending.RESET
        call.end(status, ending)

    def _on_stream_closed(self, event: StreamClosed) -> None:
        call = self.calls.pop(event.stream_id, None)
        if call is None:
            return
        if event.unprocessed:
            call.end(Status(Code.UNAVAILABLE, "the peer did not process the call"), Ending.UNPROCESSED)
        elif event.by_peer:
            call.end(
                Status(Code.UNAVAILABLE, f"the peer reset the stream with error code {event.code}"),
                Ending.RESET,
            )
        else:
            call.end(Status(Code.UNAVAILABLE, "the connection was lost"), Ending.LOST)
