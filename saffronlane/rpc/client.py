"""The client's side of gRPC: one connection, its calls, and how exactly each of them ended."""

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
from .call import Gate, Mailbox
from .errors import RpcError
from .metadata import Metadata, read_status, status_of_http, to_headers, write_timeout
from .status import OK, Code, Ending, Status


class ClientCall:
    """One call. `read` until None, then `status`, `ending` and `trailers` tell how it ended."""

    def __init__(self, channel: Channel, transport: Transport, stream_id: int, most: int) -> None:
        self.status: Status | None = None
        self.ending: Ending | None = None
        self.headers = Metadata()
        self.trailers = Metadata()
        self.inbox = Mailbox(transport, stream_id, most)
        self.gate = Gate(transport.http, stream_id)
        self.stream_id = stream_id
        self._channel, self._transport = channel, transport

    async def read(self) -> bytes | None:
        return await self.inbox.take()

    async def write(self, message: bytes, end: bool = False) -> None:
        """Send a message; waits while the peer does not read."""
        await self.gate.passed()
        self.write_now(message, end)

    def write_now(self, message: bytes, end: bool = False) -> None:
        http = self._transport.http
        http.send_data(self.stream_id, framing.prefix(message))
        http.send_data(self.stream_id, message, end)
        self._transport.flush()

    def done_writing(self) -> None:
        self._transport.http.send_data(self.stream_id, b"", end_stream=True)
        self._transport.flush()

    def cancel(self) -> bool:
        """Give the call up; whether the peer may have learnt of it at all (else it certainly never ran)."""
        if self.ending is not None:
            return True
        sent = self._transport.http.are_headers_sent(self.stream_id)
        self._channel.calls.pop(self.stream_id, None)
        self._transport.http.reset(self.stream_id, ErrorCode.CANCEL)
        self._transport.flush()
        self.end(Status(Code.CANCELLED, "given up"), Ending.CANCELLED if sent else Ending.UNPROCESSED)
        return sent

    def end(self, status: Status, ending: Ending) -> None:
        if self.ending is None:
            self.status, self.ending = status, ending
            self.inbox.end()
            self.gate.wake()


class Channel:
    """One connection to one peer. It does not reconnect: a pool makes a new one."""

    def __init__(self, host: str, port: int, most_message: int = framing.DEFAULT_MOST) -> None:
        self.authority = f"{host}:{port}"
        self.calls: dict[int, ClientCall] = {}
        self.closed = False
        self.on_closed: Callable[[], None] | None = None
        self._host, self._port, self._most = host, port, most_message
        self._transport: Transport | None = None
        self._pings: dict[bytes, asyncio.Future[bool]] = {}
        self._ping_numbers = itertools.count(1)

    async def connect(self, timeout: float, limits: ConnectionLimits | None = None) -> None:
        """OSError or TimeoutError where no connection came up in so many seconds."""
        stream = await asyncio.wait_for(TCPClient().connect(self._host, self._port), timeout)
        self._transport = Transport(stream, True, self._on_events, self._on_writable, limits)

    @property
    def usable(self) -> bool:
        return self._transport is not None and not self.closed and self._transport.http.can_open_stream

    @property
    def going(self) -> bool:
        """The peer has said GOAWAY, or the connection is over: no new call will be taken."""
        return self.closed or self._transport is None or self._transport.http.is_peer_draining

    def start(
        self,
        path: str,
        metadata: tuple[tuple[str, str | bytes], ...] = (),
        timeout: float | None = None,
    ) -> ClientCall:
        """Begin a call; RpcError UNAVAILABLE where the connection takes no more."""
        transport = self._transport
        if transport is None or not self.usable:
            raise RpcError(Status(Code.UNAVAILABLE, f"{self.authority} takes no call"))
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
            headers.append((b"grpc-timeout", write_timeout(timeout)))
        stream_id = transport.http.open_stream(headers + to_headers(metadata))
        call = self.calls[stream_id] = ClientCall(self, transport, stream_id, self._most)
        transport.flush()
        return call

    async def unary(
        self,
        path: str,
        request: bytes,
        metadata: tuple[tuple[str, str | bytes], ...] = (),
        timeout: float | None = None,
    ) -> bytes:
        """One message there, one back. RpcError with the peer's status, or UNAVAILABLE if it was lost."""
        call = self.start(path, metadata, timeout)
        call.write_now(request, end=True)
        try:
            answer = await call.read()
            while answer is not None and await call.read() is not None:
                pass
        except asyncio.CancelledError:
            call.cancel()
            raise
        status = call.status or OK
        if not status.ok:
            raise RpcError(status)
        if answer is None:
            raise RpcError(Status(Code.INTERNAL, f"{path}: no answer came"))
        return answer

    async def ping(self, timeout: float) -> bool:
        """Whether the peer took in all that was sent before, told within so many seconds."""
        if self._transport is None or self.closed:
            return False
        payload = next(self._ping_numbers).to_bytes(8, "big")
        answered = self._pings[payload] = asyncio.get_running_loop().create_future()
        self._transport.http.ping(payload)
        self._transport.flush()
        try:
            return await asyncio.wait_for(answered, timeout)
        except TimeoutError:
            return False
        finally:
            self._pings.pop(payload, None)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _on_writable(self, stream_id: int) -> None:
        if stream_id in self.calls:
            self.calls[stream_id].gate.wake()

    def _on_events(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, HeadersReceived):
                self._on_headers(event)
            elif isinstance(event, DataReceived):
                self._on_data(event)
            elif isinstance(event, StreamClosed):
                self._on_stream_closed(event)
            elif isinstance(event, PingAcked):
                answered = self._pings.get(event.payload)
                if answered is not None and not answered.done():
                    answered.set_result(True)
            elif isinstance(event, (GoAwayReceived, ConnectionClosed)):
                self._on_leaving(event)

    def _on_leaving(self, event: GoAwayReceived | ConnectionClosed) -> None:
        if isinstance(event, ConnectionClosed):
            self.closed = True
            for answered in self._pings.values():
                if not answered.done():
                    answered.set_result(False)
        if self.on_closed is not None:
            self.on_closed()

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
            call.inbox.reader.gzip = metadata.text("grpc-encoding") == "gzip"
            http_status = dict(event.headers)[b":status"].decode("latin-1")
            if http_status != "200" or not metadata.text("content-type").startswith("application/grpc"):
                self._end(call, status_of_http(http_status), Ending.RESET)
                return
        if event.end_stream:
            call.trailers = metadata
            if metadata.text("grpc-status"):
                self._end(call, read_status(metadata), Ending.STATUS)
            else:
                self._end(call, Status(Code.INTERNAL, "the answer has no status"), Ending.RESET)

    def _on_data(self, event: DataReceived) -> None:
        call = self.calls.get(event.stream_id)
        if call is None or self._transport is None:
            if self._transport is not None:
                self._transport.http.acknowledge_data(event.stream_id, event.credit)
            return
        try:
            call.inbox.feed(event.data, event.credit)
        except RpcError as error:
            self._end(call, error.status, Ending.RESET)
            return
        if event.end_stream:
            self._end(call, Status(Code.INTERNAL, "the answer ended without a status"), Ending.RESET)

    def _end(self, call: ClientCall, status: Status, ending: Ending) -> None:
        self.calls.pop(call.stream_id, None)
        if self._transport is not None:  # what is still open of the stream is closed
            self._transport.http.reset(call.stream_id, ErrorCode.CANCEL)
            self._transport.flush()
        if ending is Ending.STATUS and status.ok and call.inbox.reader.unfinished:
            status, ending = Status(Code.INTERNAL, "the answer ends inside a message"), Ending.RESET
        call.end(status, ending)

    def _on_stream_closed(self, event: StreamClosed) -> None:
        call = self.calls.pop(event.stream_id, None)
        if call is None:
            return
        if event.unprocessed:
            call.end(Status(Code.UNAVAILABLE, "never handled by the peer"), Ending.UNPROCESSED)
        elif event.by_peer:
            call.end(Status(Code.UNAVAILABLE, f"reset by the peer with code {event.code}"), Ending.RESET)
        else:
            call.end(Status(Code.UNAVAILABLE, "the connection was lost"), Ending.LOST)
