"""HTTP/2: both sides against the library `h2`, each limit on the peer, and fuzzing."""

from __future__ import annotations

import struct

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronlane.http2 import (
    Connection,
    ConnectionClosed,
    ConnectionLimits,
    DataReceived,
    ErrorCode,
    Event,
    HeadersReceived,
    PingAcked,
    StreamClosed,
    frames,
)
from saffronlane.http2.frames import FrameType

REQUEST = [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/a"), (b":authority", b"x")]
RESPONSE = [(b":status", b"200"), (b"content-type", b"application/grpc")]


def h2_client() -> h2.connection.H2Connection:
    peer = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True, header_encoding=None))
    peer.initiate_connection()
    return peer


def h2_server() -> h2.connection.H2Connection:
    peer = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False, header_encoding=None))
    peer.initiate_connection()
    return peer


def exchange(
    connection: Connection, peer: h2.connection.H2Connection
) -> tuple[list[Event], list[h2.events.Event]]:
    """Pass bytes in both directions until neither side has output."""
    events: list[Event] = []
    peer_events: list[h2.events.Event] = []
    while True:
        output, peer_output = connection.output(), peer.data_to_send()
        if not output and not peer_output:
            return events, peer_events
        if output:
            peer_events += peer.receive_data(output)
        if peer_output:
            events += connection.receive(peer_output, 0.0)


def server_after_handshake(limits: ConnectionLimits | None = None) -> Connection:
    """Return a server that has received the preface and SETTINGS of a client."""
    server = Connection(is_client=False, limits=limits)
    assert server.receive(frames.PREFACE + frames.settings({}), 0.0) == []
    server.output()
    return server


def encode_block(*headers: tuple[bytes, bytes]) -> bytes:
    import hpack

    return bytes(hpack.Encoder().encode(list(headers)))


def headers_frame(stream_id: int = 1, flags: int = frames.END_HEADERS) -> bytes:
    return frames.frame(FrameType.HEADERS, flags, stream_id, encode_block(*REQUEST))


def close_code(events: list[Event]) -> int | None:
    return next((e.code for e in events if isinstance(e, ConnectionClosed)), None)


def test_server_answers_h2_client_with_body_and_trailers() -> None:
    connection, peer = Connection(is_client=False), h2_client()
    exchange(connection, peer)
    peer.send_headers(1, REQUEST)
    peer.send_data(1, b"question", end_stream=True)
    events, _ = exchange(connection, peer)
    assert [type(e) for e in events] == [HeadersReceived, DataReceived]
    connection.acknowledge_data(1, 8)
    connection.send_headers(1, RESPONSE)
    connection.send_data(1, b"answer")
    connection.send_headers(1, [(b"grpc-status", b"0")], end_stream=True)
    _, peer_events = exchange(connection, peer)
    event_types = [type(e) for e in peer_events if not isinstance(e, h2.events.SettingsAcknowledged)]
    assert event_types == [
        h2.events.ResponseReceived,
        h2.events.DataReceived,
        h2.events.TrailersReceived,
        h2.events.StreamEnded,
    ]
    assert not connection.streams


def test_client_exchanges_header_blocks_longer_than_one_frame_with_h2_server() -> None:
    connection, peer = Connection(is_client=True), h2_server()
    exchange(connection, peer)
    long_header = (b"x-long", b"v" * 30_000)  # longer than one frame, so both sides send CONTINUATION
    stream_id = connection.open_stream([*REQUEST, long_header], end_stream=True)
    _, peer_events = exchange(connection, peer)
    request = next(e for e in peer_events if isinstance(e, h2.events.RequestReceived))
    assert dict(request.headers)[b"x-long"] == long_header[1]
    peer.send_headers(stream_id, [*RESPONSE, long_header])
    peer.send_headers(stream_id, [(b"grpc-status", b"0")], end_stream=True)
    events, _ = exchange(connection, peer)
    assert [(type(e), e.end_stream) for e in events if isinstance(e, HeadersReceived)] == [
        (HeadersReceived, False),
        (HeadersReceived, True),
    ]


def test_peer_cannot_exceed_the_window_until_data_is_acknowledged() -> None:
    limits = ConnectionLimits(stream_window=65_535, connection_window=65_535)
    connection, peer = Connection(is_client=False, limits=limits), h2_client()
    exchange(connection, peer)
    peer.send_headers(1, REQUEST)
    sent = 0
    for _ in range(200):
        window = min(peer.local_flow_control_window(1), 16_384)
        if not window:
            break
        peer.send_data(1, b"x" * window)
        sent += window
    events, _ = exchange(connection, peer)
    assert sent == 65_535  # the window is exhausted until data is acknowledged
    data = [e for e in events if isinstance(e, DataReceived)]
    for event in data[:3]:
        connection.acknowledge_data(1, event.credit)
    exchange(connection, peer)
    assert peer.local_flow_control_window(1) > 0


def test_data_beyond_the_peers_window_stays_queued() -> None:
    connection, peer = Connection(is_client=False), h2_client()
    exchange(connection, peer)
    peer.send_headers(1, REQUEST, end_stream=True)
    exchange(connection, peer)
    connection.send_headers(1, RESPONSE)
    connection.send_data(1, b"x" * 200_000)
    exchange(connection, peer)
    assert connection.queued_bytes(1) == 200_000 - 65_535  # the initial window of the h2 client
    peer.acknowledge_received_data(65_535, 1)
    exchange(connection, peer)
    assert connection.queued_bytes(1) == 200_000 - 2 * 65_535
    assert connection.writable_streams == []  # still above the low-water mark
    for _ in range(2):
        peer.acknowledge_received_data(65_535, 1)
        exchange(connection, peer)
    assert connection.queued_bytes(1) == 0 and connection.writable_streams == [1]


def test_ready_streams_are_sent_in_round_robin_order() -> None:
    connection, peer = Connection(is_client=False), h2_client()
    exchange(connection, peer)
    for stream_id in (1, 3):
        peer.send_headers(stream_id, REQUEST, end_stream=True)
    exchange(connection, peer)
    for stream_id in (1, 3):
        connection.send_headers(stream_id, RESPONSE)
        connection.send_data(stream_id, b"x" * 30_000, end_stream=True)
    order = []
    while data := connection.output(1):
        order += [f.stream_id for f in frames.FrameReader().feed(data) if f.frame_type == FrameType.DATA]
    assert order[:4] == [1, 3, 1, 3]


def test_padding_is_stripped_from_data() -> None:
    connection, peer = Connection(is_client=False), h2_client()
    exchange(connection, peer)
    peer.send_headers(1, REQUEST)
    peer.send_data(1, b"abc", pad_length=200, end_stream=True)
    events, _ = exchange(connection, peer)
    assert [e.data for e in events if isinstance(e, DataReceived)] == [b"abc"]


def test_reset_stream_is_unprocessed_only_with_code_refused_stream() -> None:
    for code, unprocessed in ((ErrorCode.REFUSED_STREAM, True), (ErrorCode.CANCEL, False)):
        connection, peer = Connection(is_client=True), h2_server()
        exchange(connection, peer)
        stream_id = connection.open_stream(REQUEST)
        exchange(connection, peer)
        peer.reset_stream(stream_id, code)
        events, _ = exchange(connection, peer)
        assert events == [StreamClosed(stream_id, code, unprocessed, by_peer=True)]


def test_goaway_closes_streams_above_its_last_stream_id_as_unprocessed() -> None:
    connection, peer = Connection(is_client=True), h2_server()
    exchange(connection, peer)
    first, second = connection.open_stream(REQUEST), connection.open_stream(REQUEST)
    exchange(connection, peer)
    events = connection.receive(frames.goaway(first, 0), 0.0)
    assert [e for e in events if isinstance(e, StreamClosed)] == [StreamClosed(second, 0, True, True)]
    assert not connection.can_open_stream and first in connection.streams


def test_stream_with_unsent_headers_is_unprocessed_when_the_connection_is_lost() -> None:
    connection = Connection(is_client=True)
    connection.receive(frames.settings({}), 0.0)
    sent = connection.open_stream(REQUEST)
    connection.output()
    unsent = connection.open_stream(REQUEST)
    events = connection.connection_lost("broken")
    assert [(e.stream_id, e.unprocessed) for e in events if isinstance(e, StreamClosed)] == [
        (sent, False),
        (unsent, True),
    ]


def test_drain_sends_goaway_with_the_last_stream_and_ignores_later_streams() -> None:
    connection, peer = Connection(is_client=False), h2_client()
    exchange(connection, peer)
    peer.send_headers(1, REQUEST)
    exchange(connection, peer)
    connection.drain()
    out = connection.output()
    (goaway,) = [f for f in frames.FrameReader().feed(out) if f.frame_type == FrameType.GOAWAY]
    assert frames.read_goaway(goaway.payload)[:2] == (1, 0)
    peer.send_headers(3, REQUEST, end_stream=True)
    assert connection.receive(peer.data_to_send(), 0.0) == []
    connection.send_headers(1, RESPONSE, end_stream=True)  # open streams may finish
    assert connection.output()


def test_changed_initial_window_size_applies_to_open_streams() -> None:
    server = server_after_handshake()
    server.receive(headers_frame(), 0.0)
    server.send_headers(1, RESPONSE)
    server.send_data(1, b"x" * 70_000)
    server.output(10**6)
    assert server.queued_bytes(1) == 70_000 - 65_535
    # Setting 4 is INITIAL_WINDOW_SIZE.
    server.receive(frames.settings({4: 65_535 + 2_000}) + frames.window_update(0, 10_000), 0.0)
    server.output()
    assert server.queued_bytes(1) == 70_000 - 67_535


def test_ping_acknowledgement_is_reported() -> None:
    connection, peer = Connection(is_client=False), h2_client()
    exchange(connection, peer)
    connection.ping(b"12345678")
    events, _ = exchange(connection, peer)
    assert events == [PingAcked(b"12345678")]


# --- limits: a faulty or flooding peer loses its own connection or stream only ---


def test_streams_beyond_the_limit_are_refused() -> None:
    connection, peer = Connection(is_client=False, limits=ConnectionLimits(max_streams=2)), h2_client()
    peer.receive_data(connection.output())
    connection.receive(peer.data_to_send(), 0.0)
    events = connection.receive(b"".join(headers_frame(n) for n in (1, 3, 5)), 0.0)
    assert [e.stream_id for e in events if isinstance(e, HeadersReceived)] == [1, 3]
    refused = [
        f for f in frames.FrameReader().feed(connection.output()) if f.frame_type == FrameType.RST_STREAM
    ]
    assert [(f.stream_id, frames.read_uint32(f.payload, "")) for f in refused] == [
        (5, ErrorCode.REFUSED_STREAM)
    ]


def test_oversized_frame_closes_the_connection() -> None:
    server = server_after_handshake()
    events = server.receive(frames.frame_header(FrameType.DATA, 0, 1, 16_385), 0.0)
    assert close_code(events) == ErrorCode.FRAME_SIZE_ERROR


def test_oversized_header_list_closes_the_connection() -> None:
    server = server_after_handshake(ConnectionLimits(max_header_list_size=1_000))
    compressed_block = encode_block(
        *REQUEST, *[(b"x-a", b"v" * 100)] * 40
    )  # small on the wire, large when decoded
    assert len(compressed_block) < 1_000
    events = server.receive(frames.frame(FrameType.HEADERS, frames.END_HEADERS, 1, compressed_block), 0.0)
    assert close_code(events) == ErrorCode.ENHANCE_YOUR_CALM


def test_endless_header_block_closes_the_connection() -> None:
    """Guards against CVE-2024-27316: CONTINUATION frames that never set END_HEADERS."""
    server = server_after_handshake()
    server.receive(frames.frame(FrameType.HEADERS, 0, 1, b"\x00" * 100), 0.0)
    code = None
    for _ in range(10):
        code = close_code(server.receive(frames.frame(FrameType.CONTINUATION, 0, 1, b"\x00" * 8_000), 0.0))
        if code is not None:
            break
    assert code == ErrorCode.ENHANCE_YOUR_CALM


def test_flood_of_empty_continuations_closes_the_connection() -> None:
    server = server_after_handshake()
    server.receive(frames.frame(FrameType.HEADERS, 0, 1, b""), 0.0)
    events = server.receive(frames.frame(FrameType.CONTINUATION, 0, 1) * 5_000, 0.0)
    assert close_code(events) == ErrorCode.ENHANCE_YOUR_CALM


def test_flood_of_stream_resets_closes_the_connection() -> None:
    """Guards against CVE-2023-44487: streams that are opened and reset immediately."""
    server = server_after_handshake()
    code = None
    for n in range(1, 6_000, 2):
        code = close_code(server.receive(headers_frame(n) + frames.rst_stream(n, 8), 0.0))
        server.output()
        if code is not None:
            break
    assert code == ErrorCode.ENHANCE_YOUR_CALM and n < 3_000


def test_stream_resets_below_the_rate_limit_are_accepted() -> None:
    server = server_after_handshake()
    for n in range(5_000):
        now = n / 50.0
        events = server.receive(headers_frame(2 * n + 1) + frames.rst_stream(2 * n + 1, 8), now)
        assert close_code(events) is None
        server.output()


@pytest.mark.parametrize(
    "frame",
    [
        frames.ping(b"\0" * 8),
        frames.settings({}),
        frames.frame(FrameType.DATA, 0, 1),
        frames.frame(FrameType.PRIORITY, 0, 1, b"\0\0\0\3\0"),
        frames.frame(0x77, 0, 1, b"?"),
    ],
    ids=["ping", "settings", "empty data", "priority", "unknown"],
)
def test_flood_of_overhead_frames_closes_the_connection(frame: bytes) -> None:
    server = server_after_handshake()
    server.receive(headers_frame(), 0.0)
    code, max_output_bytes = None, 0
    for _ in range(300):
        code = close_code(server.receive(frame * 10, 0.0))
        max_output_bytes = max(max_output_bytes, len(server.output()))
        if code is not None:
            break
    assert code == ErrorCode.ENHANCE_YOUR_CALM
    assert max_output_bytes < 70_000


def test_unread_replies_are_bounded() -> None:
    server = server_after_handshake(ConnectionLimits(overhead_frame_depth=1e9, max_queued_reply_bytes=1_000))
    events = server.receive(frames.ping(b"\0" * 8) * 100, 0.0)
    assert close_code(events) == ErrorCode.ENHANCE_YOUR_CALM
    assert len(server.output()) < 2_000


def test_silent_peer_is_pinged_and_then_disconnected() -> None:
    server = server_after_handshake(ConnectionLimits(keepalive_after=20.0, keepalive_timeout=10.0))
    assert server.check_timeouts(19.0) == [] and server.output() == b""
    assert server.check_timeouts(21.0) == []
    assert FrameType.PING in [f.frame_type for f in frames.FrameReader().feed(server.output())]
    assert server.check_timeouts(30.0) == []
    assert close_code(server.check_timeouts(32.0)) == ErrorCode.NO_ERROR


def test_any_received_byte_restarts_the_keepalive_timeout() -> None:
    server = server_after_handshake()
    server.check_timeouts(21.0)
    server.receive(b"\0", 25.0)
    assert server.check_timeouts(44.0) == []


def test_connection_without_settings_times_out() -> None:
    server = Connection(is_client=False)
    server.receive(frames.PREFACE, 5.0)
    assert close_code(server.check_timeouts(11.0)) == ErrorCode.SETTINGS_TIMEOUT


@pytest.mark.parametrize(
    ("data", "code"),
    [
        # DATA on an idle stream.
        (frames.frame(FrameType.DATA, 0, 7, b"x"), ErrorCode.PROTOCOL_ERROR),
        # A request on a stream with an even identifier (flag 4 is END_HEADERS).
        (frames.frame(FrameType.HEADERS, 4, 2, encode_block(*REQUEST)), ErrorCode.PROTOCOL_ERROR),
        # A header block that is not valid HPACK.
        (frames.frame(FrameType.HEADERS, 4, 1, b"\xff\xff\xff\xff"), ErrorCode.COMPRESSION_ERROR),
        # RST_STREAM on an idle stream, then with a short payload.
        (frames.frame(FrameType.RST_STREAM, 0, 9, b"\0\0\0\0"), ErrorCode.PROTOCOL_ERROR),
        (frames.frame(FrameType.RST_STREAM, 0, 9, b"\0"), ErrorCode.FRAME_SIZE_ERROR),
        # SETTINGS with a short payload, then INITIAL_WINDOW_SIZE (4) and MAX_FRAME_SIZE (5) out of range.
        (frames.frame(FrameType.SETTINGS, 0, 0, b"\0"), ErrorCode.FRAME_SIZE_ERROR),
        (frames.settings({4: 2**31}), ErrorCode.FLOW_CONTROL_ERROR),
        (frames.settings({5: 1}), ErrorCode.PROTOCOL_ERROR),
        # An increment of 0, then one that makes the window exceed its maximum.
        (frames.window_update(0, 0), ErrorCode.PROTOCOL_ERROR),
        (frames.window_update(0, 2**31 - 1), ErrorCode.FLOW_CONTROL_ERROR),
        # PUSH_PROMISE from a client.
        (frames.frame(FrameType.PUSH_PROMISE, 4, 1, b"\0\0\0\2"), ErrorCode.PROTOCOL_ERROR),
        # PING with a short payload.
        (frames.frame(FrameType.PING, 0, 0, b"short"), ErrorCode.FRAME_SIZE_ERROR),
        # CONTINUATION without HEADERS, then another frame inside a header block.
        (frames.frame(FrameType.CONTINUATION, 4, 1, b""), ErrorCode.PROTOCOL_ERROR),
        (frames.frame(FrameType.HEADERS, 0, 1, b"") + frames.ping(b"\0" * 8), ErrorCode.PROTOCOL_ERROR),
        # GOAWAY with a short payload.
        (frames.frame(FrameType.GOAWAY, 0, 0, b"\0"), ErrorCode.FRAME_SIZE_ERROR),
        # Stream 1 depends on itself (flags PADDED, PRIORITY and END_HEADERS).
        (frames.frame(FrameType.HEADERS, 0x2C, 1, b"\0\0\0\0\1\0"), ErrorCode.PROTOCOL_ERROR),
    ],
)
def test_protocol_violation_closes_the_connection(data: bytes, code: ErrorCode) -> None:
    server = server_after_handshake()
    assert close_code(server.receive(data, 0.0)) == code
    sent = list(frames.FrameReader().feed(server.output()))
    assert sent[-1].frame_type == FrameType.GOAWAY and frames.read_goaway(sent[-1].payload)[1] == code
    assert server.receive(b"anything", 0.0) == []


@pytest.mark.parametrize(
    "headers",
    [
        [(b":method", b"POST"), (b":scheme", b"http")],  # no :path
        [*REQUEST, (b"Upper", b"x")],
        [*REQUEST, (b"connection", b"close")],
        [*REQUEST, (b"te", b"gzip")],
        [*REQUEST, (b":path", b"/b")],  # repeated pseudo-header
        [(b"x", b"y"), *REQUEST],  # pseudo-headers after a regular header
        [*REQUEST, (b"x", b"a\r\nb")],
        [*REQUEST, (b":status", b"200")],  # pseudo-header of a response
    ],
)
def test_malformed_request_resets_only_its_stream(headers: list[tuple[bytes, bytes]]) -> None:
    server = server_after_handshake()
    events = server.receive(frames.frame(FrameType.HEADERS, 4, 1, encode_block(*headers)), 0.0)
    assert not [e for e in events if isinstance(e, HeadersReceived)] and not server.closed
    events = server.receive(headers_frame(3), 0.0)
    assert [e.stream_id for e in events if isinstance(e, HeadersReceived)] == [3]


def test_data_beyond_the_stream_window_resets_the_stream() -> None:
    server = server_after_handshake(ConnectionLimits(stream_window=65_535))
    server.receive(headers_frame(), 0.0)
    for _ in range(4):
        events = server.receive(frames.frame(FrameType.DATA, 0, 1, b"x" * 16_384), 0.0)
    assert [e.code for e in events if isinstance(e, StreamClosed)] == [ErrorCode.FLOW_CONTROL_ERROR]
    assert not server.closed


def test_data_on_a_reset_stream_returns_its_credit() -> None:
    """Otherwise each cancelled call would shrink the window of the connection until it is exhausted."""
    server = server_after_handshake(ConnectionLimits(connection_window=65_535))
    server.receive(headers_frame(), 0.0)
    server.reset(1)
    server.output()
    for _ in range(20):
        assert close_code(server.receive(frames.frame(FrameType.DATA, 0, 1, b"x" * 16_000), 0.0)) is None
        server.output()


# --- fuzzing ---


def client_bytes() -> bytes:
    peer = h2_client()
    for stream_id in (1, 3, 5):
        peer.send_headers(stream_id, [*REQUEST, (b"x-number", b"%d" % stream_id)])
        peer.send_data(stream_id, b"body" * stream_id, pad_length=stream_id)
    peer.ping(b"abcdefgh")
    peer.reset_stream(3)
    peer.end_stream(5)
    return bytes(peer.data_to_send())


@given(st.lists(st.integers(1, 60), min_size=1, max_size=80))
@settings(max_examples=80, deadline=None)
def test_chunk_boundaries_do_not_change_the_events(chunk_sizes: list[int]) -> None:
    data = client_bytes()
    whole = Connection(is_client=False)
    expected_events, expected_output = whole.receive(data, 0.0), whole.output(10**6)
    chunked, events, offset = Connection(is_client=False), [], 0
    for size in [*chunk_sizes, len(data)]:
        events += chunked.receive(data[offset : offset + size], 0.0)
        offset += size
    assert events == expected_events
    assert chunked.output(10**6) == expected_output


@given(st.binary(max_size=400), st.integers(0, 300))
@settings(max_examples=300, deadline=None)
def test_random_bytes_never_raise_and_memory_stays_bounded(garbage: bytes, offset: int) -> None:
    data = client_bytes()
    connection = Connection(is_client=False)
    connection.receive(data[:offset] + garbage + data[offset + len(garbage) :], 0.0)
    assert len(connection.output(10**6)) < 200_000
    assert len(connection._frame_reader._buffer) <= len(data) + len(garbage)


RANDOM_FRAMES = st.tuples(st.integers(0, 11), st.integers(0, 255), st.integers(0, 7), st.binary(max_size=40))


@given(st.lists(RANDOM_FRAMES, max_size=30), st.booleans())
@settings(max_examples=300, deadline=None)
def test_random_frames_never_raise(parts: list[tuple[int, int, int, bytes]], is_client: bool) -> None:
    connection = Connection(is_client=is_client)
    connection.receive((b"" if is_client else frames.PREFACE) + frames.settings({}), 0.0)
    if is_client:
        connection.open_stream(REQUEST)
        connection.open_stream(REQUEST)
    for frame_type, flags, stream_id, payload in parts:
        for event in connection.receive(frames.frame(frame_type, flags, stream_id, payload), 0.0):
            if isinstance(event, HeadersReceived) and not is_client:
                connection.send_headers(event.stream_id, RESPONSE)
                connection.send_data(event.stream_id, b"x" * 10, end_stream=True)
            elif isinstance(event, DataReceived):
                connection.acknowledge_data(event.stream_id, event.credit)
        connection.output()
    assert all(0 <= s.queued_bytes < 100 for s in connection.streams.values())


def test_huge_frame_length_is_rejected_before_the_payload_arrives() -> None:
    server = server_after_handshake()
    frame_header = struct.pack(">HBBBL", 0xFFFF, 0xFF, 0, 0, 1)
    assert close_code(server.receive(frame_header, 0.0)) == ErrorCode.FRAME_SIZE_ERROR


HEADER_NAMES = st.sampled_from(
    [b":path", b":status", b"content-type", b"x-some", b"grpc-timeout", b":authority"]
)


@given(st.lists(st.tuples(HEADER_NAMES, st.binary(max_size=300)), max_size=8))
def test_encoded_headers_decode_without_the_dynamic_table(headers: list[tuple[bytes, bytes]]) -> None:
    """Header blocks are encoded without the dynamic table.

    Guards against a fault in which a name that has a static table entry with an empty value was truncated.
    """
    import hpack

    from saffronlane.http2.connection import encode_headers

    decoder = hpack.Decoder()
    for _ in range(2):
        decoded = decoder.decode(encode_headers(headers), raw=True)
        assert [(bytes(n), bytes(v)) for n, v in decoded] == headers
    assert decoder.header_table.maxsize and not decoder.header_table.dynamic_entries


HEADER_LISTS = st.lists(
    st.lists(st.tuples(st.sampled_from([b"a", b"b", b"c"]), st.sampled_from([b"1", b"2"])), max_size=4)
)


@given(HEADER_LISTS, st.booleans())
def test_cached_header_blocks_follow_changes_of_the_dynamic_table(
    blocks: list[list[tuple[bytes, bytes]]], is_table_small: bool
) -> None:
    """The same bytes decode to other headers once an entry of the dynamic table was moved or evicted."""
    import hpack

    encoder, connection = hpack.Encoder(), server_after_handshake()
    if is_table_small:
        encoder.header_table_size = 70
    for headers in [*blocks, *blocks]:
        data = encoder.encode([*REQUEST, *headers])
        expected = (*REQUEST, *headers)
        assert connection._decode_header_block(1, bytes(data)) == expected


def test_replaced_dynamic_table_entry_invalidates_cached_blocks() -> None:
    """The new entry may have the memory address of the old one, so that their `id` is the same."""
    import hpack

    encoder, connection = hpack.Encoder(), server_after_handshake()
    encoder.header_table_size = 40  # one small entry
    for n in range(200):
        headers = (*REQUEST, (b"a", b"%d" % (n % 3)))
        for _ in range(2):
            assert connection._decode_header_block(1, bytes(encoder.encode(list(headers)))) == headers
