"""The protocol state of one HTTP/2 connection (RFC 9113), server or client, without I/O.

`receive` takes bytes from the transport and returns events that describe what the peer sent. `output` returns
bytes for the transport to write. Queued data becomes DATA frames only when `output` is called. Data that a
slow peer does not read therefore stays in the send queue of its stream. The sender checks the size of that
queue (`queued_bytes`) and pauses while it is too large. Only `acknowledge_data` replenishes the receive
windows for received data, so a peer has to stop sending once the local reader stops reading.

Methods that depend on the time take it as the argument `now`. A protocol violation or a flood of frames ends
only the stream or the connection on which it occurs.
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

CONNECTION_SPECIFIC_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)
REQUEST_PSEUDO_HEADERS = frozenset((b":method", b":scheme", b":path", b":authority"))
MAX_CACHED_BLOCKS, MAX_CACHED_BLOCK_BYTES = 64, 512  # decoded header blocks per connection; bytes per block
KEEPALIVE_PAYLOAD = b"\0saffron"
# The values of these headers differ with each call, so that caching their encoding is useless.
UNCACHED_HEADERS = frozenset(
    (b"grpc-timeout", b"saffronlane-request", b"endpoint-load-metrics-bin", b"grpc-message")
)


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The limits and timeouts that a connection applies to its peer and to its own send queues.

    Attributes:
        max_frame_size: The largest accepted frame payload in bytes (SETTINGS_MAX_FRAME_SIZE).
        max_header_list_size: The largest accepted header list in bytes, both encoded and decoded.
        max_streams: The largest number of concurrent streams that the peer may open.
        stream_window: The receive window of each stream in bytes.
        connection_window: The receive window of the connection in bytes.
        send_low_water: A stream whose send queue has shrunk to this number of bytes is writable again.
        reset_depth: The number of resets by the peer that are accepted in a burst (CVE-2023-44487).
        reset_rate: The resets per second that are accepted in the long run.
        overhead_frame_depth: The number of overhead frames that are accepted in a burst. Overhead frames
            cost work but carry no payload, such as PING, SETTINGS, PRIORITY and empty DATA frames
            (CVE-2019-9512, CVE-2019-9515, CVE-2019-9518).
        overhead_frame_rate: The overhead frames per second that are accepted in the long run.
        max_queued_reply_bytes: The largest total size of the unsent replies to PING and SETTINGS, in bytes.
        handshake_timeout: The seconds within which the peer must send its first SETTINGS.
        keepalive_after: The seconds without received bytes after which a keep-alive PING is sent.
        keepalive_timeout: The seconds after that PING within which the peer must send anything.
    """

    max_frame_size: int = frames.DEFAULT_MAX_FRAME_SIZE
    max_header_list_size: int = 32_768
    max_streams: int = 1_000
    stream_window: int = 262_144
    connection_window: int = 4_194_304
    send_low_water: int = 65_536
    reset_depth: float = 1_000.0
    reset_rate: float = 100.0
    overhead_frame_depth: float = 2_000.0
    overhead_frame_rate: float = 500.0
    max_queued_reply_bytes: int = 65_536
    handshake_timeout: float = 10.0
    keepalive_after: float = 20.0
    keepalive_timeout: float = 10.0


@dataclass(slots=True, eq=False)
class _Stream:
    """The state of one stream.

    Attributes:
        id: The stream identifier.
        send_window: The bytes of DATA that the peer allows us to send.
        receive_window: The bytes of DATA that the peer may send.
        is_local_open: Whether we have not sent END_STREAM.
        is_remote_open: Whether the peer has not sent END_STREAM.
        has_received_headers: Whether the peer has sent its request headers or its final response headers.
        are_headers_written: Whether `output` has returned the HEADERS frame of this stream.
        queue: The chunks of data to send.
        queued_bytes: The total size of the chunks in `queue`.
        ends_after_queue: Whether END_STREAM follows the queued data.
        trailers: The trailers that follow the queued data.
        is_scheduled: Whether the stream is in `_ready_streams` of its connection.
        pending_credit: The bytes of processed data and of padding for which no WINDOW_UPDATE has been sent
            yet.
        is_low_water_reported: Whether the stream has been reported as writable since its queue last
            exceeded the low-water mark.
    """

    id: int
    send_window: int
    receive_window: int
    is_local_open: bool = True
    is_remote_open: bool = True
    has_received_headers: bool = False
    are_headers_written: bool = False
    queue: deque[bytes] = field(default_factory=deque)
    queued_bytes: int = 0
    ends_after_queue: bool = False
    trailers: list[Header] | None = None
    is_scheduled: bool = False
    pending_credit: int = 0
    is_low_water_reported: bool = True


class Connection:
    """The state of one connection. It is not thread-safe and uses no clock, socket or task.

    Args:
        is_client: Whether this side is the client.
        limits: The limits that are imposed on the peer.
        now: The present time in seconds.

    Attributes:
        is_client: Whether this side is the client.
        limits: The limits that are imposed on the peer.
        closed: Whether the connection has failed or was lost.
        is_draining: Whether `drain` has sent GOAWAY.
        is_peer_draining: Whether the peer has sent GOAWAY.
        peer_max_streams: The largest number of concurrent streams that the peer accepts. A client assumes
            100 until the SETTINGS of the peer arrive. Always 0 on a server, which opens no streams.
        streams: The open streams by identifier.
        writable_streams: The streams whose send queue has fallen to the low-water mark. The transport
            clears the list.
    """

    def __init__(self, is_client: bool, limits: ConnectionLimits | None = None, now: float = 0.0) -> None:
        self.is_client = is_client
        self.limits = limits or ConnectionLimits()
        self.closed = False
        self.is_draining = False
        self.is_peer_draining = False
        self.peer_max_streams = 100 if is_client else 0
        self.streams: dict[int, _Stream] = {}
        self._frame_reader = frames.FrameReader(self.limits.max_frame_size)
        self._header_decoder = hpack.Decoder(self.limits.max_header_list_size)
        # Decoded headers by encoded block, valid until the dynamic table changes.
        self._decoded_blocks: dict[bytes, Headers] = {}
        self.writable_streams: list[int] = []
        # Encoded frames in sending order, which are sent before any DATA. HEADERS come with their stream, all
        # other frames with None.
        self._queued_frames: list[tuple[bytes, _Stream | None]] = []
        self._queued_reply_bytes = 0  # the size of the replies among `_queued_frames`
        # Streams that have DATA to send and a positive send window, in round-robin order.
        self._ready_streams: deque[int] = deque()
        self._remaining_preface = b"" if is_client else frames.PREFACE  # not received yet
        self._is_settings_received = False
        # An unfinished header block: the stream identifier, END_STREAM, and the fragments received so far.
        self._partial_block: tuple[int, bool, bytearray] | None = None
        self._last_peer_stream_id = 0
        self._last_accepted_stream_id = 0  # the last stream of the peer that was not refused
        self._next_stream_id = 1
        self._send_window = frames.DEFAULT_WINDOW
        self._peer_initial_window = frames.DEFAULT_WINDOW
        self._peer_max_frame_size = frames.DEFAULT_MAX_FRAME_SIZE
        self._receive_window = self.limits.connection_window
        self._pending_credit = 0
        self._reset_bucket, self._overhead_frame_bucket = TokenBucket(), TokenBucket()
        self._created_at = self._last_received_at = now
        self._keepalive_sent_at: float | None = None
        self._goaway_last_stream_id: int | None = None  # in the GOAWAY that `drain` sent
        self._now = now
        self._events: list[Event] = []
        self._handlers: dict[int, Callable[[Frame], None]] = {
            FrameType.DATA: self._on_data,
            FrameType.HEADERS: self._on_headers,
            FrameType.PRIORITY: self._on_priority,
            FrameType.RST_STREAM: self._on_rst_stream,
            FrameType.SETTINGS: self._on_settings,
            FrameType.PUSH_PROMISE: self._on_push_promise,
            FrameType.PING: self._on_ping,
            FrameType.GOAWAY: self._on_goaway,
            FrameType.WINDOW_UPDATE: self._on_window_update,
            FrameType.CONTINUATION: self._on_continuation,
        }
        self._send_initial_settings()

    def _send_initial_settings(self) -> None:
        limits = self.limits
        settings = {
            Setting.ENABLE_PUSH: 0,
            Setting.MAX_CONCURRENT_STREAMS: limits.max_streams,
            Setting.INITIAL_WINDOW_SIZE: limits.stream_window,
            Setting.MAX_FRAME_SIZE: limits.max_frame_size,
            Setting.MAX_HEADER_LIST_SIZE: limits.max_header_list_size,
        }
        if not self.is_client:
            # Section 6.5.2: a server must not send ENABLE_PUSH=1 and need not send 0.
            del settings[Setting.ENABLE_PUSH]
        self._enqueue(
            (frames.PREFACE if self.is_client else b"")
            + frames.settings({int(k): v for k, v in settings.items()})
        )
        increment = limits.connection_window - frames.DEFAULT_WINDOW
        if increment > 0:
            self._enqueue(frames.window_update(0, increment))

    # --- receiving ---

    def receive(self, data: bytes, now: float) -> list[Event]:
        """Process received bytes and return the resulting events in order.

        Args:
            data: The received bytes. Frames may be split at any position.
            now: The present time in seconds.
        """
        if self.closed:
            return []
        self._now = self._last_received_at = now
        self._keepalive_sent_at = None  # any received byte proves that the peer is alive
        self._events = []
        try:
            if self._remaining_preface:
                data = self._consume_preface(data)
            for frame in self._frame_reader.feed(data):
                self._handle_frame(frame)
                if self.closed:
                    break
        except ProtocolError as error:
            self.fail(error.code, str(error))
        return self._events

    def _consume_preface(self, data: bytes) -> bytes:
        size = min(len(data), len(self._remaining_preface))
        if data[:size] != self._remaining_preface[:size]:
            raise ProtocolError("the connection does not start with the HTTP/2 connection preface")
        self._remaining_preface = self._remaining_preface[size:]
        return data[size:]

    def _handle_frame(self, frame: Frame) -> None:
        if not self._is_settings_received and frame.frame_type != FrameType.SETTINGS:
            raise ProtocolError(
                f"expected SETTINGS as the first frame, got a frame of type {frame.frame_type}"
            )
        if self._partial_block is not None and frame.frame_type != FrameType.CONTINUATION:
            raise ProtocolError(
                f"frame of type {frame.frame_type} inside the header block of stream {self._partial_block[0]}"
            )
        handler = self._handlers.get(frame.frame_type)
        if handler is None:  # section 4.1: frames of unknown types are ignored
            self._count_overhead_frame("frames of unknown type")
            return
        try:
            handler(frame)
        except StreamError as error:
            self._close_stream(error.stream_id, error.code)

    def _count_overhead_frame(self, description: str) -> None:
        if self._overhead_frame_bucket.overflows(
            self._now, self.limits.overhead_frame_rate, self.limits.overhead_frame_depth
        ):
            raise ProtocolError(f"too many {description}", ErrorCode.ENHANCE_YOUR_CALM)

    def _on_data(self, frame: Frame) -> None:
        size, stream_id = len(frame.payload), frame.stream_id
        self._require_opened(stream_id, "DATA")
        if size > self._receive_window:
            raise ProtocolError(
                "DATA exceeds the flow-control window of the connection", ErrorCode.FLOW_CONTROL_ERROR
            )
        self._receive_window -= size
        stream = self.streams.get(stream_id)
        end_stream = bool(frame.flags & frames.END_STREAM)
        data = frames.strip_padding(frame)
        if not data and not end_stream:
            self._count_overhead_frame("empty DATA frames")
        # A missing stream is closed, and the peer may have sent this frame before it received our reset. On a
        # stream that still exists, the peer has already sent END_STREAM.
        if stream is None or not stream.is_remote_open:
            self._return_connection_credit(size)
            if stream is not None:
                raise StreamError(stream_id, "DATA after END_STREAM", ErrorCode.STREAM_CLOSED)
            return
        if size > stream.receive_window:
            self._return_connection_credit(size)
            raise StreamError(
                stream_id, "DATA exceeds the flow-control window of the stream", ErrorCode.FLOW_CONTROL_ERROR
            )
        if not stream.has_received_headers:
            raise ProtocolError(f"DATA before HEADERS on stream {stream_id}")
        stream.receive_window -= size
        if size > len(data):  # no reader acknowledges padding, so its credit is returned here
            self._return_credit(stream, size - len(data))
        self._events.append(DataReceived(stream_id, data, len(data), end_stream))
        if end_stream:
            self._half_close_remote(stream)

    def _on_headers(self, frame: Frame) -> None:
        if not frame.stream_id:
            raise ProtocolError("HEADERS on stream 0")
        fragment = frames.strip_padding(frame)
        end_stream = bool(frame.flags & frames.END_STREAM)
        self._on_header_fragment(frame.stream_id, end_stream, bytearray(fragment), frame.flags)

    def _on_continuation(self, frame: Frame) -> None:
        if self._partial_block is None or self._partial_block[0] != frame.stream_id:
            raise ProtocolError(
                f"CONTINUATION on stream {frame.stream_id} outside a header block of that stream"
            )
        if not frame.payload:
            self._count_overhead_frame("empty CONTINUATION frames")
        self._partial_block[2].extend(frame.payload)
        self._on_header_fragment(*self._partial_block, frame.flags)

    def _on_header_fragment(self, stream_id: int, end_stream: bool, block: bytearray, flags: int) -> None:
        """Process the header block if its last fragment has arrived.

        Args:
            stream_id: The stream.
            end_stream: Whether the HEADERS frame had the flag END_STREAM.
            block: All fragments of the header block that have arrived so far.
            flags: The flags of the frame that contained the last fragment.
        """
        # The encoded block has the same limit as the decoded list, so that an endless block (CVE-2024-27316)
        # is rejected before it is decoded. The whole connection is closed, because the HPACK dynamic table is
        # out of step with the peer after a block that was not decoded.
        if len(block) > self.limits.max_header_list_size:
            text = f"header block of stream {stream_id} exceeds {self.limits.max_header_list_size} bytes"
            raise ProtocolError(text, ErrorCode.ENHANCE_YOUR_CALM)
        if not flags & frames.END_HEADERS:
            self._partial_block = (stream_id, end_stream, block)
            return
        self._partial_block = None
        self._on_header_block(stream_id, end_stream, self._decode_header_block(stream_id, bytes(block)))

    def _decode_header_block(self, stream_id: int, block: bytes) -> Headers:
        """Decode a header block, or return the cached result of the same block.

        Clients that repeat a call send the same few bytes again, and decoding them is the most expensive part
        of a call. A block that leaves the dynamic table unchanged decodes to the same headers until the table
        changes, and is cached until then.
        """
        cached = self._decoded_blocks.get(block)
        if cached is not None:
            return cached
        table = self._header_decoder.header_table
        entries, max_table_size = table.dynamic_entries, table.maxsize
        # The first entry itself is kept, not its `id`, which could be reused after the entry is evicted.
        entry_count, first_entry = len(entries), entries[0] if entries else None
        try:
            headers = tuple((bytes(n), bytes(v)) for n, v in self._header_decoder.decode(block, raw=True))
        except hpack.OversizedHeaderListError:
            text = f"header list of stream {stream_id} exceeds {self.limits.max_header_list_size} bytes"
            raise ProtocolError(text, ErrorCode.ENHANCE_YOUR_CALM) from None
        except (hpack.HPACKError, UnicodeDecodeError) as error:
            text = f"header block cannot be decoded: {error}"
            raise ProtocolError(text, ErrorCode.COMPRESSION_ERROR) from None
        is_table_unchanged = (
            len(entries) == entry_count
            and (not entry_count or entries[0] is first_entry)
            and table.maxsize == max_table_size
        )
        if not is_table_unchanged:  # an entry was added at the front or evicted, or the table was resized
            self._decoded_blocks.clear()
        elif len(self._decoded_blocks) < MAX_CACHED_BLOCKS and len(block) <= MAX_CACHED_BLOCK_BYTES:
            self._decoded_blocks[block] = headers
        return headers

    def _on_header_block(self, stream_id: int, end_stream: bool, headers: Headers) -> None:
        stream = self.streams.get(stream_id)
        if stream is None:
            if self.is_client or not stream_id % 2:
                if stream_id % 2 and stream_id < self._next_stream_id:
                    return  # this side opened the stream, and it is closed by now
                raise ProtocolError(f"HEADERS on stream {stream_id}, which this side has not opened")
            if stream_id <= self._last_peer_stream_id:
                self._count_overhead_frame("HEADERS on closed streams")
                return
            stream = self._accept_stream(stream_id)
            if stream is None:
                return
        if not stream.is_remote_open:
            raise StreamError(stream_id, "HEADERS after END_STREAM", ErrorCode.STREAM_CLOSED)
        is_first_block, stream.has_received_headers = not stream.has_received_headers, True
        error_text = check_headers(headers, is_trailers=not is_first_block, is_request=not self.is_client)
        if not is_first_block and not end_stream:
            error_text = "trailers without END_STREAM"
        if error_text:
            raise StreamError(stream_id, error_text)
        if (
            self.is_client
            and is_first_block
            and not end_stream
            and dict(headers[:1]).get(b":status", b"").startswith(b"1")
        ):
            stream.has_received_headers = False  # section 8.1: the final response follows an interim response
            return
        self._events.append(HeadersReceived(stream_id, headers, end_stream, is_first_block))
        if end_stream:
            self._half_close_remote(stream)

    def _accept_stream(self, stream_id: int) -> _Stream | None:
        self._last_peer_stream_id = stream_id
        if self._goaway_last_stream_id is not None and stream_id > self._goaway_last_stream_id:
            return None  # section 6.8: GOAWAY informs the peer that the stream is not processed
        if len(self.streams) >= self.limits.max_streams:
            self._count_overhead_frame("streams beyond the limit")
            self._enqueue(frames.rst_stream(stream_id, ErrorCode.REFUSED_STREAM))
            return None
        self._last_accepted_stream_id = stream_id
        stream = self.streams[stream_id] = _Stream(
            stream_id, self._peer_initial_window, self.limits.stream_window
        )
        return stream

    def _on_priority(self, frame: Frame) -> None:
        if not frame.stream_id or len(frame.payload) != 5:
            raise ProtocolError("malformed PRIORITY frame", ErrorCode.FRAME_SIZE_ERROR)
        self._count_overhead_frame("PRIORITY frames")

    def _on_rst_stream(self, frame: Frame) -> None:
        code = frames.read_uint32(frame.payload, "RST_STREAM")
        self._require_opened(frame.stream_id, "RST_STREAM")
        if not self.is_client and self._reset_bucket.overflows(
            self._now, self.limits.reset_rate, self.limits.reset_depth
        ):
            raise ProtocolError("too many RST_STREAM frames", ErrorCode.ENHANCE_YOUR_CALM)
        if frame.stream_id in self.streams:
            self._remove_stream(frame.stream_id)
            unprocessed = self.is_client and code == ErrorCode.REFUSED_STREAM
            self._events.append(StreamClosed(frame.stream_id, code, unprocessed, by_peer=True))

    def _on_settings(self, frame: Frame) -> None:
        if frame.stream_id:
            raise ProtocolError("SETTINGS on a stream other than 0")
        if frame.flags & frames.ACK:
            if frame.payload:
                raise ProtocolError("SETTINGS acknowledgement has a payload", ErrorCode.FRAME_SIZE_ERROR)
            self._count_overhead_frame("SETTINGS acknowledgements")
            return
        self._count_overhead_frame("SETTINGS frames")
        for identifier, value in frames.read_settings(frame.payload):
            self._apply_setting(identifier, value)
        self._is_settings_received = True
        self._enqueue_reply(frames.frame(FrameType.SETTINGS, frames.ACK, 0))

    def _apply_setting(self, identifier: int, value: int) -> None:
        if identifier == Setting.INITIAL_WINDOW_SIZE:
            if value > frames.MAX_WINDOW:
                raise ProtocolError(
                    f"INITIAL_WINDOW_SIZE of {value} exceeds {frames.MAX_WINDOW}",
                    ErrorCode.FLOW_CONTROL_ERROR,
                )
            for stream in self.streams.values():  # section 6.9.2: the change applies to open streams
                stream.send_window += value - self._peer_initial_window
                if stream.send_window > frames.MAX_WINDOW:
                    raise ProtocolError(
                        f"flow-control window of stream {stream.id} exceeds {frames.MAX_WINDOW}",
                        ErrorCode.FLOW_CONTROL_ERROR,
                    )
                self._schedule(stream)
            self._peer_initial_window = value
        elif identifier == Setting.MAX_FRAME_SIZE:
            if not frames.DEFAULT_MAX_FRAME_SIZE <= value <= frames.MAX_ALLOWED_FRAME_SIZE:
                raise ProtocolError(f"MAX_FRAME_SIZE of {value} is out of range")
            self._peer_max_frame_size = min(value, 65_536)
        elif identifier == Setting.MAX_CONCURRENT_STREAMS and self.is_client:
            self.peer_max_streams = value
        elif identifier == Setting.ENABLE_PUSH and value > 1:
            raise ProtocolError(f"ENABLE_PUSH of {value} is neither 0 nor 1")

    def _on_push_promise(self, frame: Frame) -> None:
        raise ProtocolError("received PUSH_PROMISE, but server push is disabled")

    def _on_ping(self, frame: Frame) -> None:
        if frame.stream_id or len(frame.payload) != 8:
            raise ProtocolError("malformed PING frame", ErrorCode.FRAME_SIZE_ERROR)
        if frame.flags & frames.ACK:
            if frame.payload != KEEPALIVE_PAYLOAD:
                self._events.append(PingAcked(frame.payload))
            return
        self._count_overhead_frame("PING frames")
        self._enqueue_reply(frames.ping(frame.payload, ack=True))

    def _on_goaway(self, frame: Frame) -> None:
        if frame.stream_id:
            raise ProtocolError("GOAWAY on a stream other than 0")
        last_stream_id, code, text = frames.read_goaway(frame.payload)
        self._count_overhead_frame("GOAWAY frames")
        self.is_peer_draining = True
        self._events.append(GoAwayReceived(last_stream_id, code, text))
        if self.is_client:
            for stream_id in [s for s in self.streams if s > last_stream_id]:
                self._remove_stream(stream_id)
                self._events.append(StreamClosed(stream_id, code, unprocessed=True, by_peer=True))

    def _on_window_update(self, frame: Frame) -> None:
        amount = frames.read_uint32(frame.payload, "WINDOW_UPDATE") & frames.MAX_WINDOW
        stream_id = frame.stream_id
        if not stream_id:
            if not amount:
                raise ProtocolError("WINDOW_UPDATE for the connection has an increment of 0")
            self._send_window += amount
            if self._send_window > frames.MAX_WINDOW:
                raise ProtocolError(
                    f"flow-control window of the connection exceeds {frames.MAX_WINDOW}",
                    ErrorCode.FLOW_CONTROL_ERROR,
                )
            return
        self._require_opened(stream_id, "WINDOW_UPDATE")
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        if not amount:
            raise StreamError(stream_id, f"WINDOW_UPDATE for stream {stream_id} has an increment of 0")
        stream.send_window += amount
        if stream.send_window > frames.MAX_WINDOW:
            raise StreamError(
                stream_id,
                f"flow-control window of stream {stream_id} exceeds {frames.MAX_WINDOW}",
                ErrorCode.FLOW_CONTROL_ERROR,
            )
        self._schedule(stream)

    def _require_opened(self, stream_id: int, frame_name: str) -> None:
        """Raise a connection error if a stream was never opened (section 5.1)."""
        is_locally_initiated = stream_id % 2 == (1 if self.is_client else 0)
        is_opened = (
            stream_id < self._next_stream_id
            if is_locally_initiated and self.is_client
            else stream_id <= self._last_peer_stream_id
        )
        if not stream_id or not is_opened:
            raise ProtocolError(f"{frame_name} on stream {stream_id}, which is idle")

    def _half_close_remote(self, stream: _Stream) -> None:
        stream.is_remote_open = False
        if not stream.is_local_open:
            self._remove_stream(stream.id)

    # --- sending ---

    @property
    def can_open_stream(self) -> bool:
        """Whether a client may open another stream now."""
        is_usable = not (self.closed or self.is_peer_draining or self.is_draining)
        return is_usable and len(self.streams) < self.peer_max_streams and self._next_stream_id < 2**31 - 1

    def open_stream(self, headers: list[Header], end_stream: bool = False) -> int:
        """Open a stream as a client and return its identifier.

        Args:
            headers: The request headers.
            end_stream: Whether the request has no body.

        Raises:
            ProtocolError: `can_open_stream` is false.
        """
        if not (self.is_client and self.can_open_stream):
            raise ProtocolError("cannot open another stream on this connection")
        stream = _Stream(self._next_stream_id, self._peer_initial_window, self.limits.stream_window)
        self.streams[stream.id] = stream
        self._next_stream_id += 2
        self._enqueue_headers(stream, headers, end_stream)
        return stream.id

    def send_headers(self, stream_id: int, headers: list[Header], end_stream: bool = False) -> None:
        """Send response headers, or trailers after the queued data.

        Args:
            stream_id: The stream. If this side has already ended it, nothing is sent.
            headers: The headers or trailers.
            end_stream: Whether the headers end the stream, as trailers do.
        """
        stream = self.streams.get(stream_id)
        if stream is None or not stream.is_local_open or stream.ends_after_queue:
            return
        if stream.queue and end_stream:
            stream.ends_after_queue, stream.trailers = True, headers
            return
        self._enqueue_headers(stream, headers, end_stream)

    def _enqueue_headers(self, stream: _Stream, headers: list[Header], end_stream: bool) -> None:
        block = encode_headers(headers)
        self._enqueue(frames.header_frames(stream.id, block, end_stream, self._peer_max_frame_size), stream)
        if end_stream:
            self._half_close_local(stream)

    def send_data(self, stream_id: int, data: bytes, end_stream: bool = False) -> None:
        """Queue a part of the body. `queued_bytes` returns the size of the queue.

        Args:
            stream_id: The stream. If this side has already ended it, the data is dropped.
            data: The bytes to append to the queue.
            end_stream: Whether this is the end of the stream.
        """
        stream = self.streams.get(stream_id)
        if stream is None or not stream.is_local_open or stream.ends_after_queue:
            return
        if data or end_stream:
            stream.queue.append(data)
            stream.queued_bytes += len(data)
            stream.ends_after_queue = end_stream
            self._schedule(stream)
            stream.is_low_water_reported = stream.queued_bytes <= self.limits.send_low_water

    def queued_bytes(self, stream_id: int) -> int:
        """Return the number of body bytes that are waiting to be sent."""
        stream = self.streams.get(stream_id)
        return stream.queued_bytes if stream is not None else 0

    def are_headers_sent(self, stream_id: int) -> bool:
        """Return whether the HEADERS of a stream have been passed to the transport.

        The result is also true if the stream is closed.
        """
        stream = self.streams.get(stream_id)
        return stream is None or stream.are_headers_written

    def reset(self, stream_id: int, code: int = ErrorCode.CANCEL) -> None:
        """Reset a stream immediately. No further event is reported for it."""
        if stream_id in self.streams:
            self._remove_stream(stream_id)
            self._enqueue(frames.rst_stream(stream_id, code))

    def _close_stream(self, stream_id: int, code: int) -> None:
        """Reset a stream after an error of the peer, and report it as closed."""
        if stream_id in self.streams:
            self._remove_stream(stream_id)
            self._events.append(StreamClosed(stream_id, code, unprocessed=False, by_peer=False))
        self._enqueue(frames.rst_stream(stream_id, code))

    def _remove_stream(self, stream_id: int) -> None:
        del self.streams[stream_id]

    def _schedule(self, stream: _Stream) -> None:
        """Add a stream to the round-robin schedule if it can send DATA now."""
        if stream.queue and not stream.is_scheduled and (stream.send_window > 0 or not stream.queued_bytes):
            stream.is_scheduled = True
            self._ready_streams.append(stream.id)

    def _half_close_local(self, stream: _Stream) -> None:
        stream.is_local_open = False
        if not stream.is_remote_open and stream.id in self.streams:
            self._remove_stream(stream.id)

    def _enqueue(self, data: bytes, stream: _Stream | None = None) -> None:
        self._queued_frames.append((data, stream))

    def _enqueue_reply(self, data: bytes) -> None:
        """Queue a reply to the peer.

        The total size of the unsent replies is limited, because a peer that does not read could make them
        accumulate without bound (CVE-2019-9512, CVE-2019-9515).
        """
        self._queued_reply_bytes += len(data)
        if self._queued_reply_bytes > self.limits.max_queued_reply_bytes:
            raise ProtocolError(
                "the peer does not read replies to PING and SETTINGS", ErrorCode.ENHANCE_YOUR_CALM
            )
        self._enqueue(data)

    def acknowledge_data(self, stream_id: int, amount: int) -> None:
        """Return flow-control credit for received data that the reader has processed.

        Args:
            stream_id: The stream on which the data arrived. It may be closed by now.
            amount: The number of processed bytes.
        """
        stream = self.streams.get(stream_id)
        if stream is not None and stream.is_remote_open:
            self._return_credit(stream, amount)
        else:
            self._return_connection_credit(amount)

    def _return_credit(self, stream: _Stream, amount: int) -> None:
        stream.pending_credit += amount
        if stream.pending_credit >= self.limits.stream_window // 2:
            self._enqueue(frames.window_update(stream.id, stream.pending_credit))
            stream.receive_window += stream.pending_credit
            stream.pending_credit = 0
        self._return_connection_credit(amount)

    def _return_connection_credit(self, amount: int) -> None:
        self._pending_credit += amount
        if self._pending_credit >= self.limits.connection_window // 2:
            self._enqueue(frames.window_update(0, self._pending_credit))
            self._receive_window += self._pending_credit
            self._pending_credit = 0

    def ping(self, payload: bytes) -> None:
        """Send a PING. Its acknowledgement proves that the peer has received all earlier frames."""
        self._enqueue(frames.ping(payload))

    def drain(self) -> None:
        """Send GOAWAY: open streams may finish, new streams are not accepted (section 6.8)."""
        if not self.is_draining and not self.closed:
            self.is_draining = True
            self._goaway_last_stream_id = self._last_accepted_stream_id
            self._enqueue(frames.goaway(self._last_accepted_stream_id, ErrorCode.NO_ERROR))

    def fail(self, code: int, text: str) -> None:
        """Close the connection. The remaining output is a GOAWAY frame with the reason.

        Args:
            code: The error code.
            text: The reason, for GOAWAY and for the `ConnectionClosed` event.
        """
        if self.closed:
            return
        self._close(code, text)
        self._queued_frames = [(frames.goaway(self._last_accepted_stream_id, code, text), None)]

    def connection_lost(self, text: str) -> list[Event]:
        """Close the connection after the loss of its transport, and return the resulting events.

        Args:
            text: The reason, for the `ConnectionClosed` event.
        """
        if self.closed:
            return []
        self._events = []
        self._close(ErrorCode.NO_ERROR, text)
        return self._events

    def _close(self, code: int, text: str) -> None:
        self.closed = True
        for stream in list(self.streams.values()):
            unprocessed = self.is_client and not stream.are_headers_written
            self._events.append(StreamClosed(stream.id, code, unprocessed, by_peer=False))
        self.streams.clear()
        self._ready_streams.clear()
        self._events.append(ConnectionClosed(code, text))

    def check_timeouts(self, now: float) -> list[Event]:
        """Send a keep-alive PING if it is due, and close the connection of an unresponsive peer.

        Must be called about once a second.
        """
        if self.closed:
            return []
        self._events, limits = [], self.limits
        if not self._is_settings_received and now - self._created_at > limits.handshake_timeout:
            self.fail(ErrorCode.SETTINGS_TIMEOUT, "the peer sent no SETTINGS within the handshake timeout")
        elif self._keepalive_sent_at is not None and now - self._keepalive_sent_at > limits.keepalive_timeout:
            self.fail(ErrorCode.NO_ERROR, "the peer did not respond to a keep-alive PING")
        elif self._keepalive_sent_at is None and now - self._last_received_at > limits.keepalive_after:
            self._keepalive_sent_at = now
            self._enqueue(frames.ping(KEEPALIVE_PAYLOAD))
        return self._events

    def output(self, max_bytes: int = 65_536) -> bytes:
        """Remove and return the next bytes to write.

        All queued HEADERS and control frames come first, then DATA frames of the ready streams in round-robin
        order.

        Args:
            max_bytes: No further DATA frame is started once the DATA frames have reached this size. HEADERS
                and control frames do not count.
        """
        chunks: list[bytes] = []
        for data, stream in self._queued_frames:
            chunks.append(data)
            if stream is not None:
                stream.are_headers_written = True
        self._queued_frames.clear()
        self._queued_reply_bytes = 0
        while self._ready_streams and max_bytes > 0:
            stream = self.streams.get(self._ready_streams[0])
            if stream is None:
                self._ready_streams.popleft()
                continue
            capacity = min(self._peer_max_frame_size, stream.send_window, self._send_window)
            if capacity <= 0 and stream.queued_bytes:
                if self._send_window <= 0 and stream.send_window > 0:
                    break  # the window of the connection is exhausted, so the stream stays scheduled
                self._unschedule(stream)
                continue
            max_bytes -= self._append_data_frame(chunks, stream, max(0, capacity)) + frames.FRAME_HEADER_SIZE
            if stream.queue and stream.is_local_open:
                self._ready_streams.rotate(-1)
            else:
                self._unschedule(stream)
        return b"".join(chunks)

    def _unschedule(self, stream: _Stream) -> None:
        """Remove a stream from the head of the round-robin schedule."""
        stream.is_scheduled = False
        self._ready_streams.popleft()

    def _append_data_frame(self, chunks: list[bytes], stream: _Stream, capacity: int) -> int:
        """Append one DATA frame of at most `capacity` bytes, and return the size of its payload."""
        parts: list[bytes] = []
        size = 0
        while stream.queue and size + len(stream.queue[0]) <= capacity:
            parts.append(stream.queue.popleft())
            size += len(parts[-1])
        if stream.queue and size < capacity:
            first = stream.queue[0]
            parts.append(first[: capacity - size])
            stream.queue[0] = first[capacity - size :]
            size = capacity
        stream.queued_bytes -= size
        stream.send_window -= size
        self._send_window -= size
        is_last = not stream.queue and stream.ends_after_queue
        end_stream = is_last and stream.trailers is None
        chunks.append(
            frames.frame_header(FrameType.DATA, frames.END_STREAM if end_stream else 0, stream.id, size)
        )
        chunks += parts
        if is_last:
            if stream.trailers is not None:
                block = encode_headers(stream.trailers)
                chunks.append(frames.header_frames(stream.id, block, True, self._peer_max_frame_size))
            self._half_close_local(stream)
        elif stream.queued_bytes <= self.limits.send_low_water and not stream.is_low_water_reported:
            stream.is_low_water_reported = True
            self.writable_streams.append(stream.id)
        return size


_STATELESS_ENCODER = hpack.Encoder()


@lru_cache(512)
def _encode_field_prefix(name: bytes) -> bytes:
    """Encode the name of a never-indexed literal field, without its value (RFC 7541 section 6.2.3)."""
    # No entry of the static table has the placeholder value "x", so the field is encoded as a literal. The
    # last two bytes, which are the length of the value and the value, are cut off.
    return bytes(_STATELESS_ENCODER.encode([hpack.NeverIndexedHeaderTuple(name, b"x")], huffman=False))[:-2]


@lru_cache(2048)
def _encode_cached_field(name: bytes, value: bytes) -> bytes:
    return _encode_field_prefix(name) + bytes(encode_integer(len(value), 7)) + value


def encode_headers(headers: list[Header]) -> bytes:
    """Encode a header list without the dynamic table.

    On a fast network the dynamic table would save few bytes, and searching it for every header would cost a
    tenth of the time of a whole query. Values that differ with each call would also displace useful entries.
    """
    fields = []
    for name, value in headers:
        if name in UNCACHED_HEADERS:
            fields.append(_encode_field_prefix(name) + bytes(encode_integer(len(value), 7)) + value)
        else:
            fields.append(_encode_cached_field(name, value))
    return b"".join(fields)


def check_headers(headers: Headers, is_trailers: bool, is_request: bool) -> str:
    """Describe the first error in a header list, or return an empty string if the list is valid.

    See RFC 9113 sections 8.2 and 8.3.

    Args:
        headers: The decoded header list.
        is_trailers: Whether the headers are trailers, in which pseudo-headers are not allowed.
        is_request: Whether the headers are from a client.
    """
    pseudo_headers: set[bytes] = set()
    has_regular_header = False
    for name, value in headers:
        if name[:1] == b":":
            if has_regular_header or is_trailers or name in pseudo_headers:
                return f"pseudo-header {name!r} is repeated or misplaced"
            if name not in (REQUEST_PSEUDO_HEADERS if is_request else (b":status",)):
                return f"unknown pseudo-header {name!r}"
            pseudo_headers.add(name)
            continue
        has_regular_header = True
        if name != name.lower() or not name or b" " in name:
            return f"header name {name!r} is not allowed"
        if name in CONNECTION_SPECIFIC_HEADERS or (name == b"te" and value != b"trailers"):
            return f"connection-specific header {name!r} is not allowed in HTTP/2"
        if b"\0" in value or b"\r" in value or b"\n" in value:
            return f"value of header {name!r} contains a line break or a NUL byte"
    if is_trailers:
        return ""
    if not is_request:
        return "" if b":status" in pseudo_headers else "response without :status"
    required = {b":method", b":scheme", b":path"}
    return (
        ""
        if required <= pseudo_headers
        else "request without " + b", ".join(sorted(required - pseudo_headers)).decode()
    )
