"""One HTTP/2 connection without I/O (RFC 9113), server or client.

`receive` takes bytes and returns what the peer did; `output` gives the bytes to write, as many as the
transport wants now. DATA is framed only when it is taken, so that what a slow peer does not read stays in
the queue of its stream, where the sender of that stream sees it (`queued`) and stops. Windows are opened
again only by `consumed`: a reader that stops holds its peer back, and through it whoever feeds the peer.

Time enters by arguments alone. A peer that breaks the protocol or floods costs its own connection.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache

import hpack
from hpack.hpack import encode_integer

from ..state import TokenBucket
from . import frames
from .errors import ErrorCode, ProtocolError, StreamError
from .events import (
    ConnectionClosed,
    DataReceived,
    Event,
    GoAwayReceived,
    Header,
    Headers,
    HeadersReceived,
    PingAcked,
    StreamClosed,
)
from .frames import Frame, FrameType, Setting

BANNED = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade"))
REQUEST_PSEUDO = frozenset((b":method", b":scheme", b":path", b":authority"))
BLOCKS_MOST, BLOCK_MOST = 64, 512  # remembered header blocks of a connection, and bytes of one
KEEPALIVE = b"\0saffron"
# Values that differ with each call are not worth remembering.
VARYING = frozenset((b"grpc-timeout", b"saffronlane-request", b"endpoint-load-metrics-bin", b"grpc-message"))


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What one peer may ask of us; bytes, seconds and frames a second."""

    max_frame_size: int = frames.DEFAULT_FRAME_SIZE
    max_header_list: int = 32_768
    max_streams: int = 1_000
    stream_window: int = 262_144
    connection_window: int = 4_194_304
    send_low_water: int = 65_536
    # Depth and rate of the leaky buckets: resets by the peer (CVE-2023-44487), and frames that cost work
    # but carry nothing (PING, SETTINGS, PRIORITY, empty DATA; CVE-2019-9512, -9515, -9518).
    reset_depth: float = 1_000.0
    reset_rate: float = 100.0
    idle_depth: float = 2_000.0
    idle_rate: float = 500.0
    max_reply_queue: int = 65_536  # unsent replies to PING and SETTINGS
    handshake_time: float = 10.0
    keepalive_after: float = 20.0
    keepalive_time: float = 10.0


@dataclass(slots=True, eq=False)
class _Stream:
    id: int
    send_window: int
    receive_window: int
    local_open: bool = True
    remote_open: bool = True
    heard: bool = False  # the peer has sent a whole header block
    written: bool = False  # our HEADERS have been taken by `output`
    queue: deque[bytes] = field(default_factory=deque)
    queued: int = 0
    ending: bool = False  # END_STREAM follows the queue
    trailers: list[Header] | None = None  # framed after the queue
    sending: bool = False  # in the turns
    owed: int = 0  # credit not yet given back to the peer
    told_low: bool = True


class Connection:
    """The state of one connection. Not thread-safe; holds no clock, socket or task."""

    def __init__(self, client: bool, limits: ConnectionLimits | None = None, now: float = 0.0) -> None:
        self.client = client
        self.limits = limits or ConnectionLimits()
        self.closed = False
        self.draining = False  # we sent GOAWAY
        self.peer_going = False  # it sent GOAWAY
        self.peer_max_streams = 100 if client else 0  # until its SETTINGS tell
        self.streams: dict[int, _Stream] = {}
        self._reader = frames.FrameReader(self.limits.max_frame_size)
        self._decoder = hpack.Decoder(self.limits.max_header_list)
        self._blocks: dict[bytes, Headers] = {}  # decoded ones, good while the table stays as it is
        self.writable: list[
            int
        ] = []  # streams whose queue went below the low-water mark; the reader clears it
        self._front: list[tuple[bytes, _Stream | None]] = []  # whole frames in their order, before all DATA
        self._replies = 0  # bytes of replies among them
        self._sending: deque[int] = deque()  # streams with DATA and room in their window, in turns
        self._preface_left = b"" if client else frames.PREFACE
        self._settled = False  # the peer's first SETTINGS came
        self._block: tuple[int, bool, bytearray] | None = None  # stream, END_STREAM, fragments so far
        self._last_peer_stream = 0
        self._accepted = 0  # highest peer stream that was handed on
        self._next_stream = 1
        self._send_window = frames.DEFAULT_WINDOW
        self._peer_window = frames.DEFAULT_WINDOW
        self._peer_frame = frames.DEFAULT_FRAME_SIZE
        self._receive_window = self.limits.connection_window
        self._owed = 0
        self._resets, self._idles = TokenBucket(), TokenBucket()
        self._born = self._heard_at = now
        self._pinged_at: float | None = None
        self._goaway_sent: int | None = None
        self._now = now
        self._events: list[Event] = []
        self._handlers: dict[int, Callable[[Frame], None]] = {
            FrameType.DATA: self._on_data,
            FrameType.HEADERS: self._on_headers,
            FrameType.PRIORITY: self._on_priority,
            FrameType.RST_STREAM: self._on_reset,
            FrameType.SETTINGS: self._on_settings,
            FrameType.PUSH_PROMISE: self._on_push,
            FrameType.PING: self._on_ping,
            FrameType.GOAWAY: self._on_goaway,
            FrameType.WINDOW_UPDATE: self._on_window,
            FrameType.CONTINUATION: self._on_continuation,
        }
        self._greet()

    def _greet(self) -> None:
        limits = self.limits
        ours = {
            Setting.ENABLE_PUSH: 0,
            Setting.MAX_CONCURRENT_STREAMS: limits.max_streams,
            Setting.INITIAL_WINDOW_SIZE: limits.stream_window,
            Setting.MAX_FRAME_SIZE: limits.max_frame_size,
            Setting.MAX_HEADER_LIST_SIZE: limits.max_header_list,
        }
        if not self.client:
            del ours[Setting.ENABLE_PUSH]  # section 6.5.2: a server must not send 1 and need not send 0
        self._put(
            (frames.PREFACE if self.client else b"") + frames.settings({int(k): v for k, v in ours.items()})
        )
        grown = limits.connection_window - frames.DEFAULT_WINDOW
        if grown > 0:
            self._put(frames.window_update(0, grown))

    # --- taking in ---

    def receive(self, data: bytes, now: float) -> list[Event]:
        """Take bytes as they came, in any cut; what the peer did with them, in order."""
        if self.closed:
            return []
        self._now = self._heard_at = now
        self._pinged_at = None  # any byte proves the peer alive
        self._events = []
        try:
            if self._preface_left:
                data = self._take_preface(data)
            for received in self._reader.feed(data):
                self._take(received)
                if self.closed:
                    break
        except ProtocolError as error:
            self.fail(error.code, str(error))
        return self._events

    def _take_preface(self, data: bytes) -> bytes:
        size = min(len(data), len(self._preface_left))
        if data[:size] != self._preface_left[:size]:
            raise ProtocolError("the connection does not start with the preface of HTTP/2")
        self._preface_left = self._preface_left[size:]
        return data[size:]

    def _take(self, received: Frame) -> None:
        if not self._settled and received.kind != FrameType.SETTINGS:
            raise ProtocolError(f"the first frame is of type {received.kind}, not SETTINGS")
        if self._block is not None and received.kind != FrameType.CONTINUATION:
            raise ProtocolError(
                f"frame of type {received.kind} inside the header block of stream {self._block[0]}"
            )
        handler = self._handlers.get(received.kind)
        if handler is None:  # section 4.1: unknown types are ignored
            self._idle("frames of unknown type")
            return
        try:
            handler(received)
        except StreamError as error:
            self._close_stream(error.stream_id, error.code)

    def _idle(self, what: str) -> None:
        if self._idles.overflows(self._now, self.limits.idle_rate, self.limits.idle_depth):
            raise ProtocolError(f"too many {what}", ErrorCode.ENHANCE_YOUR_CALM)

    def _on_data(self, received: Frame) -> None:
        size, stream_id = len(received.payload), received.stream_id
        self._known(stream_id, "DATA")
        if size > self._receive_window:
            raise ProtocolError("DATA passes the connection's window", ErrorCode.FLOW_CONTROL_ERROR)
        self._receive_window -= size
        stream = self.streams.get(stream_id)
        end = bool(received.flags & frames.END_STREAM)
        data = frames.strip_padding(received)
        if not data and not end:
            self._idle("empty DATA frames")
        if stream is None or not stream.remote_open:  # sent before our reset reached the peer, or ill-formed
            self._give_back(size)
            if stream is not None:
                raise StreamError(stream_id, "DATA after the end", ErrorCode.STREAM_CLOSED)
            return
        if size > stream.receive_window:
            self._give_back(size)
            raise StreamError(stream_id, "DATA passes the stream's window", ErrorCode.FLOW_CONTROL_ERROR)
        if not stream.heard:
            raise ProtocolError(f"DATA before HEADERS on stream {stream_id}")
        stream.receive_window -= size
        if size > len(data):  # padding is nobody's to consume
            self._owe(stream, size - len(data))
        self._events.append(DataReceived(stream_id, data, len(data), end))
        if end:
            self._remote_ended(stream)

    def _on_headers(self, received: Frame) -> None:
        if not received.stream_id:
            raise ProtocolError("HEADERS on stream 0")
        fragment = frames.strip_padding(received)
        end = bool(received.flags & frames.END_STREAM)
        self._gather(received.stream_id, end, bytearray(fragment), received.flags)

    def _on_continuation(self, received: Frame) -> None:
        if self._block is None or self._block[0] != received.stream_id:
            raise ProtocolError(f"CONTINUATION on stream {received.stream_id} without a header block")
        if not received.payload:
            self._idle("empty CONTINUATION frames")
        self._block[2].extend(received.payload)
        self._gather(*self._block, received.flags)

    def _gather(self, stream_id: int, end: bool, block: bytearray, flags: int) -> None:
        # The encoded block is bounded as the decoded list is: a block without end (CVE-2024-27316) is cut off
        # before it is decoded, and the connection with it, since its compression state is lost.
        if len(block) > self.limits.max_header_list:
            text = f"header block of stream {stream_id} passes {self.limits.max_header_list} bytes"
            raise ProtocolError(text, ErrorCode.ENHANCE_YOUR_CALM)
        if not flags & frames.END_HEADERS:
            self._block = (stream_id, end, block)
            return
        self._block = None
        self._headers(stream_id, end, self._decode(stream_id, bytes(block)))

    def _decode(self, stream_id: int, block: bytes) -> Headers:
        """Decode a block; one that changes nothing in the table means the same until something does.

        Clients that ask the same way again send the same few bytes: to remember them spares the costliest
        part of a call.
        """
        known = self._blocks.get(block)
        if known is not None:
            return known
        table = self._decoder.header_table
        entries, size = table.dynamic_entries, table.maxsize
        # The first entry itself is held, not its id: that of an evicted one could be given to the next.
        count, first = len(entries), entries[0] if entries else None
        try:
            headers = tuple((bytes(n), bytes(v)) for n, v in self._decoder.decode(block, raw=True))
        except hpack.OversizedHeaderListError:
            text = f"header list of stream {stream_id} passes {self.limits.max_header_list} bytes"
            raise ProtocolError(text, ErrorCode.ENHANCE_YOUR_CALM) from None
        except (hpack.HPACKError, UnicodeDecodeError) as error:
            text = f"header block does not decode: {error}"
            raise ProtocolError(text, ErrorCode.COMPRESSION_ERROR) from None
        same = len(entries) == count and (not count or entries[0] is first) and table.maxsize == size
        if not same:  # an entry was added (at the front) or evicted, or the size was set
            self._blocks.clear()
        elif len(self._blocks) < BLOCKS_MOST and len(block) <= BLOCK_MOST:
            self._blocks[block] = headers
        return headers

    def _headers(self, stream_id: int, end: bool, headers: Headers) -> None:
        stream = self.streams.get(stream_id)
        if stream is None:
            if self.client or not stream_id % 2:
                if stream_id % 2 and stream_id < self._next_stream:
                    return  # of a stream that we have closed
                raise ProtocolError(f"HEADERS on stream {stream_id}, which was never opened")
            if stream_id <= self._last_peer_stream:
                self._idle("HEADERS on closed streams")
                return
            stream = self._open_for_peer(stream_id)
            if stream is None:
                return
        if not stream.remote_open:
            raise StreamError(stream_id, "HEADERS after the end", ErrorCode.STREAM_CLOSED)
        opens, stream.heard = not stream.heard, True
        fault = check_headers(headers, trailers=not opens, request=not self.client)
        if not opens and not end:
            fault = "trailers without the end of the stream"
        if fault:
            raise StreamError(stream_id, fault)
        if self.client and opens and not end and dict(headers[:1]).get(b":status", b"").startswith(b"1"):
            stream.heard = False  # section 8.1: interim responses come before the final one
            return
        self._events.append(HeadersReceived(stream_id, headers, end, opens))
        if end:
            self._remote_ended(stream)

    def _open_for_peer(self, stream_id: int) -> _Stream | None:
        self._last_peer_stream = stream_id
        if self._goaway_sent is not None and stream_id > self._goaway_sent:
            return None  # section 6.8: the peer learns from GOAWAY that it was not handled
        if len(self.streams) >= self.limits.max_streams:
            self._idle("streams beyond the limit")
            self._put(frames.rst_stream(stream_id, ErrorCode.REFUSED_STREAM))
            return None
        self._accepted = stream_id
        stream = self.streams[stream_id] = _Stream(stream_id, self._peer_window, self.limits.stream_window)
        return stream

    def _on_priority(self, received: Frame) -> None:
        if not received.stream_id or len(received.payload) != 5:
            raise ProtocolError("ill-formed PRIORITY", ErrorCode.FRAME_SIZE_ERROR)
        self._idle("PRIORITY frames")

    def _on_reset(self, received: Frame) -> None:
        code = frames.read_long(received.payload, "RST_STREAM")
        self._known(received.stream_id, "RST_STREAM")
        if not self.client and self._resets.overflows(
            self._now, self.limits.reset_rate, self.limits.reset_depth
        ):
            raise ProtocolError("too many resets", ErrorCode.ENHANCE_YOUR_CALM)
        if received.stream_id in self.streams:
            self._drop(received.stream_id)
            unprocessed = self.client and code == ErrorCode.REFUSED_STREAM
            self._events.append(StreamClosed(received.stream_id, code, unprocessed, remote=True))

    def _on_settings(self, received: Frame) -> None:
        if received.stream_id:
            raise ProtocolError("SETTINGS on a stream")
        if received.flags & frames.ACK:
            if received.payload:
                raise ProtocolError("SETTINGS acknowledged with a payload", ErrorCode.FRAME_SIZE_ERROR)
            self._idle("acknowledgements of SETTINGS")
            return
        self._idle("SETTINGS frames")
        for name, value in frames.read_settings(received.payload):
            self._set(name, value)
        self._settled = True
        self._put_reply(frames.frame(FrameType.SETTINGS, frames.ACK, 0))

    def _set(self, name: int, value: int) -> None:
        if name == Setting.INITIAL_WINDOW_SIZE:
            if value > frames.MOST_WINDOW:
                raise ProtocolError("INITIAL_WINDOW_SIZE is too large", ErrorCode.FLOW_CONTROL_ERROR)
            for stream in self.streams.values():  # section 6.9.2: the change applies to open streams
                stream.send_window += value - self._peer_window
                if stream.send_window > frames.MOST_WINDOW:
                    raise ProtocolError("a window passes its maximum", ErrorCode.FLOW_CONTROL_ERROR)
                self._wake(stream)
            self._peer_window = value
        elif name == Setting.MAX_FRAME_SIZE:
            if not frames.DEFAULT_FRAME_SIZE <= value <= frames.MOST_FRAME_SIZE:
                raise ProtocolError(f"MAX_FRAME_SIZE of {value} is out of range")
            self._peer_frame = min(value, 65_536)
        elif name == Setting.MAX_CONCURRENT_STREAMS and self.client:
            self.peer_max_streams = value
        elif name == Setting.ENABLE_PUSH and value > 1:
            raise ProtocolError(f"ENABLE_PUSH of {value}")

    def _on_push(self, received: Frame) -> None:
        raise ProtocolError("PUSH_PROMISE, which nobody allowed")

    def _on_ping(self, received: Frame) -> None:
        if received.stream_id or len(received.payload) != 8:
            raise ProtocolError("ill-formed PING", ErrorCode.FRAME_SIZE_ERROR)
        if received.flags & frames.ACK:
            if received.payload != KEEPALIVE:
                self._events.append(PingAcked(received.payload))
            return
        self._idle("PING frames")
        self._put_reply(frames.ping(received.payload, ack=True))

    def _on_goaway(self, received: Frame) -> None:
        if received.stream_id:
            raise ProtocolError("GOAWAY on a stream")
        last, code, text = frames.read_goaway(received.payload)
        self._idle("GOAWAY frames")
        self.peer_going = True
        self._events.append(GoAwayReceived(last, code, text))
        if self.client:
            for stream_id in [s for s in self.streams if s > last]:
                self._drop(stream_id)
                self._events.append(StreamClosed(stream_id, code, unprocessed=True, remote=True))

    def _on_window(self, received: Frame) -> None:
        amount = frames.read_long(received.payload, "WINDOW_UPDATE") & frames.MOST_WINDOW
        stream_id = received.stream_id
        if not stream_id:
            if not amount:
                raise ProtocolError("WINDOW_UPDATE of 0")
            self._send_window += amount
            if self._send_window > frames.MOST_WINDOW:
                raise ProtocolError(
                    "the connection's window passes its maximum", ErrorCode.FLOW_CONTROL_ERROR
                )
            return
        self._known(stream_id, "WINDOW_UPDATE")
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        if not amount:
            raise StreamError(stream_id, "WINDOW_UPDATE of 0")
        stream.send_window += amount
        if stream.send_window > frames.MOST_WINDOW:
            raise StreamError(stream_id, "a window passes its maximum", ErrorCode.FLOW_CONTROL_ERROR)
        self._wake(stream)

    def _known(self, stream_id: int, what: str) -> None:
        """Frames on streams that nobody has opened are an error of the connection (section 5.1)."""
        ours = stream_id % 2 == (1 if self.client else 0)
        opened = (
            stream_id < self._next_stream if ours and self.client else stream_id <= self._last_peer_stream
        )
        if not stream_id or not opened:
            raise ProtocolError(f"{what} on stream {stream_id}, which is idle")

    def _remote_ended(self, stream: _Stream) -> None:
        stream.remote_open = False
        if not stream.local_open:
            self._drop(stream.id)

    # --- giving out ---

    @property
    def can_open(self) -> bool:
        """Whether a client may open one more stream now."""
        usable = not (self.closed or self.peer_going or self.draining)
        return usable and len(self.streams) < self.peer_max_streams and self._next_stream < 2**31 - 1

    def open_stream(self, headers: list[Header], end_stream: bool = False) -> int:
        """Start a request as a client; the caller has looked at `can_open`."""
        if not (self.client and self.can_open):
            raise ProtocolError("no stream can be opened on this connection")
        stream = _Stream(self._next_stream, self._peer_window, self.limits.stream_window)
        self.streams[stream.id] = stream
        self._next_stream += 2
        self._put_headers(stream, headers, end_stream)
        return stream.id

    def send_headers(self, stream_id: int, headers: list[Header], end_stream: bool = False) -> None:
        """Response headers, or trailers, which wait until what is queued has left."""
        stream = self.streams.get(stream_id)
        if stream is None or not stream.local_open or stream.ending:
            return
        if stream.queue and end_stream:
            stream.ending, stream.trailers = True, headers
            return
        self._put_headers(stream, headers, end_stream)

    def _put_headers(self, stream: _Stream, headers: list[Header], end_stream: bool) -> None:
        block = headers_block(headers)
        self._put(frames.header_block(stream.id, block, end_stream, self._peer_frame), stream)
        if end_stream:
            self._local_ended(stream)

    def send_data(self, stream_id: int, data: bytes, end_stream: bool = False) -> None:
        """Queue a part of the body; `queued` tells how much waits."""
        stream = self.streams.get(stream_id)
        if stream is None or not stream.local_open or stream.ending:
            return
        if data or end_stream:
            stream.queue.append(data)
            stream.queued += len(data)
            stream.ending = end_stream
            self._wake(stream)
            stream.told_low = stream.queued <= self.limits.send_low_water

    def queued(self, stream_id: int) -> int:
        """Bytes of the stream's body that have not left."""
        stream = self.streams.get(stream_id)
        return stream.queued if stream is not None else 0

    def headers_left(self, stream_id: int) -> bool:
        """Whether the HEADERS of a stream have been handed to the transport."""
        stream = self.streams.get(stream_id)
        return stream is None or stream.written

    def reset(self, stream_id: int, code: int = ErrorCode.CANCEL) -> None:
        """End a stream at once; nothing more of it is told."""
        if stream_id in self.streams:
            self._drop(stream_id)
            self._put(frames.rst_stream(stream_id, code))

    def _close_stream(self, stream_id: int, code: int) -> None:
        """Reset a stream for its peer's fault, and tell its reader."""
        if stream_id in self.streams:
            self._drop(stream_id)
            self._events.append(StreamClosed(stream_id, code, unprocessed=False, remote=False))
        self._put(frames.rst_stream(stream_id, code))

    def _drop(self, stream_id: int) -> None:
        del self.streams[stream_id]

    def _wake(self, stream: _Stream) -> None:
        """Let a stream take turns again once its window is open."""
        if stream.queue and not stream.sending and (stream.send_window > 0 or not stream.queued):
            stream.sending = True
            self._sending.append(stream.id)

    def _local_ended(self, stream: _Stream) -> None:
        stream.local_open = False
        if not stream.remote_open and stream.id in self.streams:
            self._drop(stream.id)

    def _put(self, data: bytes, stream: _Stream | None = None) -> None:
        self._front.append((data, stream))

    def _put_reply(self, data: bytes) -> None:
        """Replies that a peer does not read are bounded (CVE-2019-9512, CVE-2019-9515)."""
        self._replies += len(data)
        if self._replies > self.limits.max_reply_queue:
            raise ProtocolError("replies are not read", ErrorCode.ENHANCE_YOUR_CALM)
        self._put(data)

    def consumed(self, stream_id: int, amount: int) -> None:
        """The reader is done with so many bytes: let the peer send as many again."""
        stream = self.streams.get(stream_id)
        if stream is not None and stream.remote_open:
            self._owe(stream, amount)
        else:
            self._give_back(amount)

    def _owe(self, stream: _Stream, amount: int) -> None:
        stream.owed += amount
        if stream.owed >= self.limits.stream_window // 2:
            self._put(frames.window_update(stream.id, stream.owed))
            stream.receive_window += stream.owed
            stream.owed = 0
        self._give_back(amount)

    def _give_back(self, amount: int) -> None:
        self._owed += amount
        if self._owed >= self.limits.connection_window // 2:
            self._put(frames.window_update(0, self._owed))
            self._receive_window += self._owed
            self._owed = 0

    def ping(self, payload: bytes) -> None:
        """Ask for a sign: its acknowledgement proves that all sent before was taken in by the peer."""
        self._put(frames.ping(payload))

    def drain(self) -> None:
        """GOAWAY with the last stream taken: what runs may end, nothing new is taken (section 6.8)."""
        if not self.draining and not self.closed:
            self.draining = True
            self._goaway_sent = self._accepted
            self._put(frames.goaway(self._accepted, ErrorCode.NO_ERROR))

    def fail(self, code: int, text: str) -> None:
        """Give up the connection; what `output` still holds tells the peer why."""
        if self.closed:
            return
        self._lost(code, text)
        self._front = [(frames.goaway(self._accepted, code, text), None)]

    def lost(self, text: str) -> list[Event]:
        """The transport is gone."""
        if self.closed:
            return []
        self._events = []
        self._lost(ErrorCode.NO_ERROR, text)
        return self._events

    def _lost(self, code: int, text: str) -> None:
        self.closed = True
        for stream in list(self.streams.values()):
            unprocessed = self.client and not stream.written
            self._events.append(StreamClosed(stream.id, code, unprocessed, remote=False))
        self.streams.clear()
        self._sending.clear()
        self._events.append(ConnectionClosed(code, text))

    def on_time(self, now: float) -> list[Event]:
        """Look for half-open peers; called once a second or so."""
        if self.closed:
            return []
        self._events, limits = [], self.limits
        if not self._settled and now - self._born > limits.handshake_time:
            self.fail(ErrorCode.SETTINGS_TIMEOUT, "no SETTINGS came in time")
        elif self._pinged_at is not None and now - self._pinged_at > limits.keepalive_time:
            self.fail(ErrorCode.NO_ERROR, "no sign of life")
        elif self._pinged_at is None and now - self._heard_at > limits.keepalive_after:
            self._pinged_at = now
            self._put(frames.ping(KEEPALIVE))
        return self._events

    def output(self, most: int = 65_536) -> bytes:
        """Take bytes to write: whole frames that wait, then DATA in turns up to about `most`."""
        out: list[bytes] = []
        for data, stream in self._front:
            out.append(data)
            if stream is not None:
                stream.written = True
        self._front.clear()
        self._replies = 0
        while self._sending and most > 0:
            stream = self.streams.get(self._sending[0])
            if stream is None:
                self._sending.popleft()
                continue
            room = min(self._peer_frame, stream.send_window, self._send_window)
            if room <= 0 and stream.queued:
                if self._send_window <= 0 and stream.send_window > 0:
                    break  # the connection's window: it stays in its turn until that is opened
                self._rest(stream)
                continue
            most -= self._frame_one(out, stream, max(0, room)) + frames.HEAD_SIZE
            if stream.queue and stream.local_open:
                self._sending.rotate(-1)
            else:
                self._rest(stream)
        return b"".join(out)

    def _rest(self, stream: _Stream) -> None:
        stream.sending = False
        self._sending.popleft()

    def _frame_one(self, out: list[bytes], stream: _Stream, room: int) -> int:
        parts: list[bytes] = []
        size = 0
        while stream.queue and size + len(stream.queue[0]) <= room:
            parts.append(stream.queue.popleft())
            size += len(parts[-1])
        if stream.queue and size < room:
            first = stream.queue[0]
            parts.append(first[: room - size])
            stream.queue[0] = first[room - size :]
            size = room
        stream.queued -= size
        stream.send_window -= size
        self._send_window -= size
        last = not stream.queue and stream.ending
        end = last and stream.trailers is None
        out.append(frames.head(FrameType.DATA, frames.END_STREAM if end else 0, stream.id, size))
        out += parts
        if last:
            if stream.trailers is not None:
                block = headers_block(stream.trailers)
                out.append(frames.header_block(stream.id, block, True, self._peer_frame))
            self._local_ended(stream)
        elif stream.queued <= self.limits.send_low_water and not stream.told_low:
            stream.told_low = True
            self.writable.append(stream.id)
        return size


_SCRATCH = hpack.Encoder()


@lru_cache(512)
def _field_start(name: bytes) -> bytes:
    """A literal that is never indexed, up to its value's length (RFC 7541 section 6.2.3)."""
    # With the value "x", which no entry of the static table has; its length and itself are cut off.
    return bytes(_SCRATCH.encode([hpack.NeverIndexedHeaderTuple(name, b"x")], huffman=False))[:-2]


@lru_cache(2048)
def _constant(name: bytes, value: bytes) -> bytes:
    return _field_start(name) + bytes(encode_integer(len(value), 7)) + value


def headers_block(headers: list[Header]) -> bytes:
    """Encode a header list without any state of the connection.

    The dynamic table would save some bytes on a fast network, and cost a search of it for every header: a
    tenth of the time of a whole query. It would also be flooded by values that differ with each call.
    """
    out = []
    for name, value in headers:
        if name in VARYING:
            out.append(_field_start(name) + bytes(encode_integer(len(value), 7)) + value)
        else:
            out.append(_constant(name, value))
    return b"".join(out)


def check_headers(headers: Headers, trailers: bool, request: bool) -> str:
    """What is wrong with a header list (RFC 9113 section 8.2 and 8.3); empty: nothing."""
    pseudo: set[bytes] = set()
    plain = False
    for name, value in headers:
        if name[:1] == b":":
            if plain or trailers or name in pseudo:
                return f"pseudo-header {name!r} is out of place"
            if name not in (REQUEST_PSEUDO if request else (b":status",)):
                return f"unknown pseudo-header {name!r}"
            pseudo.add(name)
            continue
        plain = True
        if name != name.lower() or not name or b" " in name:
            return f"header name {name!r} is not allowed"
        if name in BANNED or (name == b"te" and value != b"trailers"):
            return f"header {name!r} is for connections of HTTP/1.1"
        if b"\0" in value or b"\r" in value or b"\n" in value:
            return f"value of header {name!r} has a line break or a zero"
    if trailers:
        return ""
    if not request:
        return "" if b":status" in pseudo else "response without :status"
    needed = {b":method", b":scheme", b":path"}
    return "" if needed <= pseudo else "request without " + b", ".join(sorted(needed - pseudo)).decode()
