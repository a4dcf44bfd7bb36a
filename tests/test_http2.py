"""Our HTTP/2 against `h2` (both sides), its limits one by one, and fuzzing."""

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


def swap(ours: Connection, peer: h2.connection.H2Connection) -> tuple[list[Event], list[h2.events.Event]]:
    """Carry bytes both ways until neither has more to say."""
    our_events: list[Event] = []
    peer_events: list[h2.events.Event] = []
    while True:
        out, back = ours.output(), peer.data_to_send()
        if not out and not back:
            return our_events, peer_events
        if out:
            peer_events += peer.receive_data(out)
        if back:
            our_events += ours.receive(back, 0.0)


def raw_server(limits: ConnectionLimits | None = None) -> Connection:
    """A server that has had preface and SETTINGS of a hand-made client."""
    server = Connection(is_client=False, limits=limits)
    assert server.receive(frames.PREFACE + frames.settings({}), 0.0) == []
    server.output()
    return server


def block(*headers: tuple[bytes, bytes]) -> bytes:
    import hpack

    return bytes(hpack.Encoder().encode(list(headers)))


def open_stream(stream_id: int = 1, flags: int = frames.END_HEADERS) -> bytes:
    return frames.frame(FrameType.HEADERS, flags, stream_id, block(*REQUEST))


def closed_with(events: list[Event]) -> int | None:
    return next((e.code for e in events if isinstance(e, ConnectionClosed)), None)


def test_a_request_of_h2_is_answered_with_body_and_trailers() -> None:
    ours, peer = Connection(is_client=False), h2_client()
    swap(ours, peer)
    peer.send_headers(1, REQUEST)
    peer.send_data(1, b"question", end_stream=True)
    events, _ = swap(ours, peer)
    assert [type(e) for e in events] == [HeadersReceived, DataReceived]
    ours.acknowledge_data(1, 8)
    ours.send_headers(1, RESPONSE)
    ours.send_data(1, b"answer")
    ours.send_headers(1, [(b"grpc-status", b"0")], end_stream=True)
    _, seen = swap(ours, peer)
    kinds = [type(e) for e in seen if not isinstance(e, h2.events.SettingsAcknowledged)]
    assert kinds == [
        h2.events.ResponseReceived,
        h2.events.DataReceived,
        h2.events.TrailersReceived,
        h2.events.StreamEnded,
    ]
    assert not ours.streams


def test_as_a_client_of_h2_with_long_header_blocks() -> None:
    ours, peer = Connection(is_client=True), h2_server()
    swap(ours, peer)
    long = (b"x-long", b"v" * 30_000)  # passes one frame: CONTINUATION both ways
    stream_id = ours.open_stream([*REQUEST, long], end_stream=True)
    _, seen = swap(ours, peer)
    request = next(e for e in seen if isinstance(e, h2.events.RequestReceived))
    assert dict(request.headers)[b"x-long"] == long[1]
    peer.send_headers(stream_id, [*RESPONSE, long])
    peer.send_headers(stream_id, [(b"grpc-status", b"0")], end_stream=True)
    events, _ = swap(ours, peer)
    assert [(type(e), e.end_stream) for e in events if isinstance(e, HeadersReceived)] == [
        (HeadersReceived, False),
        (HeadersReceived, True),
    ]


def test_windows_hold_back_a_sender_until_the_reader_consumes() -> None:
    limits = ConnectionLimits(stream_window=65_535, connection_window=65_535)
    ours, peer = Connection(is_client=False, limits=limits), h2_client()
    swap(ours, peer)
    peer.send_headers(1, REQUEST)
    sent = 0
    for _ in range(200):
        room = min(peer.local_flow_control_window(1), 16_384)
        if not room:
            break
        peer.send_data(1, b"x" * room)
        sent += room
    events, _ = swap(ours, peer)
    assert sent == 65_535  # no more until something is consumed
    data = [e for e in events if isinstance(e, DataReceived)]
    for event in data[:3]:
        ours.acknowledge_data(1, event.credit)
    swap(ours, peer)
    assert peer.local_flow_control_window(1) > 0


def test_what_a_slow_peer_does_not_read_stays_queued() -> None:
    ours, peer = Connection(is_client=False), h2_client()
    swap(ours, peer)
    peer.send_headers(1, REQUEST, end_stream=True)
    swap(ours, peer)
    ours.send_headers(1, RESPONSE)
    ours.send_data(1, b"x" * 200_000)
    swap(ours, peer)
    assert ours.queued_bytes(1) == 200_000 - 65_535  # h2's window
    peer.acknowledge_received_data(65_535, 1)
    swap(ours, peer)
    assert ours.queued_bytes(1) == 200_000 - 2 * 65_535
    assert ours.writable_streams == []  # still above the low-water mark
    for _ in range(2):
        peer.acknowledge_received_data(65_535, 1)
        swap(ours, peer)
    assert ours.queued_bytes(1) == 0 and ours.writable_streams == [1]


def test_streams_take_turns() -> None:
    ours, peer = Connection(is_client=False), h2_client()
    swap(ours, peer)
    for stream_id in (1, 3):
        peer.send_headers(stream_id, REQUEST, end_stream=True)
    swap(ours, peer)
    for stream_id in (1, 3):
        ours.send_headers(stream_id, RESPONSE)
        ours.send_data(stream_id, b"x" * 30_000, end_stream=True)
    order = []
    while data := ours.output(1):
        order += [f.stream_id for f in frames.FrameReader().feed(data) if f.frame_type == FrameType.DATA]
    assert order[:4] == [1, 3, 1, 3]


def test_padding_is_stripped_and_its_credit_given_back() -> None:
    ours, peer = Connection(is_client=False), h2_client()
    swap(ours, peer)
    peer.send_headers(1, REQUEST)
    peer.send_data(1, b"abc", pad_length=200, end_stream=True)
    events, _ = swap(ours, peer)
    assert [e.data for e in events if isinstance(e, DataReceived)] == [b"abc"]


def test_a_reset_is_told_as_refused_only_by_its_code() -> None:
    for code, unprocessed in ((ErrorCode.REFUSED_STREAM, True), (ErrorCode.CANCEL, False)):
        ours, peer = Connection(is_client=True), h2_server()
        swap(ours, peer)
        stream_id = ours.open_stream(REQUEST)
        swap(ours, peer)
        peer.reset_stream(stream_id, code)
        events, _ = swap(ours, peer)
        assert events == [StreamClosed(stream_id, code, unprocessed, by_peer=True)]


def test_goaway_ends_the_streams_above_its_last_id_as_unprocessed() -> None:
    ours, peer = Connection(is_client=True), h2_server()
    swap(ours, peer)
    first, second = ours.open_stream(REQUEST), ours.open_stream(REQUEST)
    swap(ours, peer)
    events = ours.receive(frames.goaway(first, 0), 0.0)
    assert [e for e in events if isinstance(e, StreamClosed)] == [StreamClosed(second, 0, True, True)]
    assert not ours.can_open_stream and first in ours.streams


def test_a_stream_whose_headers_never_left_is_unprocessed_when_the_connection_breaks() -> None:
    ours = Connection(is_client=True)
    ours.receive(frames.settings({}), 0.0)
    sent = ours.open_stream(REQUEST)
    ours.output()
    unsent = ours.open_stream(REQUEST)
    events = ours.connection_lost("broken")
    assert [(e.stream_id, e.unprocessed) for e in events if isinstance(e, StreamClosed)] == [
        (sent, False),
        (unsent, True),
    ]


def test_our_goaway_names_the_last_stream_and_later_ones_are_not_taken() -> None:
    ours, peer = Connection(is_client=False), h2_client()
    swap(ours, peer)
    peer.send_headers(1, REQUEST)
    swap(ours, peer)
    ours.drain()
    out = ours.output()
    (goaway,) = [f for f in frames.FrameReader().feed(out) if f.frame_type == FrameType.GOAWAY]
    assert frames.read_goaway(goaway.payload)[:2] == (1, 0)
    peer.send_headers(3, REQUEST, end_stream=True)
    assert ours.receive(peer.data_to_send(), 0.0) == []
    ours.send_headers(1, RESPONSE, end_stream=True)  # what runs may end
    assert ours.output()


def test_a_changed_initial_window_applies_to_open_streams() -> None:
    server = raw_server()
    server.receive(open_stream(), 0.0)
    server.send_headers(1, RESPONSE)
    server.send_data(1, b"x" * 70_000)
    server.output(10**6)
    assert server.queued_bytes(1) == 70_000 - 65_535
    server.receive(frames.settings({4: 65_535 + 2_000}) + frames.window_update(0, 10_000), 0.0)
    server.output()
    assert server.queued_bytes(1) == 70_000 - 67_535


def test_a_ping_is_acknowledged_and_ours_is_told() -> None:
    ours, peer = Connection(is_client=False), h2_client()
    swap(ours, peer)
    ours.ping(b"12345678")
    events, _ = swap(ours, peer)
    assert events == [PingAcked(b"12345678")]


# --- limits: a broken or flooding peer costs its own connection, or less ---


def test_streams_beyond_the_limit_are_refused_and_the_rest_live() -> None:
    ours, peer = Connection(is_client=False, limits=ConnectionLimits(max_streams=2)), h2_client()
    peer.receive_data(ours.output())
    ours.receive(peer.data_to_send(), 0.0)
    events = ours.receive(b"".join(open_stream(n) for n in (1, 3, 5)), 0.0)
    assert [e.stream_id for e in events if isinstance(e, HeadersReceived)] == [1, 3]
    refused = [f for f in frames.FrameReader().feed(ours.output()) if f.frame_type == FrameType.RST_STREAM]
    assert [(f.stream_id, frames.read_uint32(f.payload, "")) for f in refused] == [
        (5, ErrorCode.REFUSED_STREAM)
    ]


def test_a_frame_that_is_too_large() -> None:
    server = raw_server()
    events = server.receive(frames.frame_header(FrameType.DATA, 0, 1, 16_385), 0.0)
    assert closed_with(events) == ErrorCode.FRAME_SIZE_ERROR


def test_a_header_list_that_is_too_large() -> None:
    server = raw_server(ConnectionLimits(max_header_list_size=1_000))
    bomb = block(*REQUEST, *[(b"x-a", b"v" * 100)] * 40)  # small on the wire, large when decoded
    assert len(bomb) < 1_000
    events = server.receive(frames.frame(FrameType.HEADERS, frames.END_HEADERS, 1, bomb), 0.0)
    assert closed_with(events) == ErrorCode.ENHANCE_YOUR_CALM


def test_a_header_block_without_end() -> None:
    """CVE-2024-27316 and its like: CONTINUATION without END_HEADERS."""
    server = raw_server()
    server.receive(frames.frame(FrameType.HEADERS, 0, 1, b"\x00" * 100), 0.0)
    code = None
    for _ in range(10):
        code = closed_with(server.receive(frames.frame(FrameType.CONTINUATION, 0, 1, b"\x00" * 8_000), 0.0))
        if code is not None:
            break
    assert code == ErrorCode.ENHANCE_YOUR_CALM


def test_a_header_block_of_empty_continuations() -> None:
    server = raw_server()
    server.receive(frames.frame(FrameType.HEADERS, 0, 1, b""), 0.0)
    events = server.receive(frames.frame(FrameType.CONTINUATION, 0, 1) * 5_000, 0.0)
    assert closed_with(events) == ErrorCode.ENHANCE_YOUR_CALM


def test_a_flood_of_resets() -> None:
    """CVE-2023-44487: streams opened and reset at once."""
    server = raw_server()
    code = None
    for n in range(1, 6_000, 2):
        code = closed_with(server.receive(open_stream(n) + frames.rst_stream(n, 8), 0.0))
        server.output()
        if code is not None:
            break
    assert code == ErrorCode.ENHANCE_YOUR_CALM and n < 3_000


def test_resets_of_an_honest_client_are_borne() -> None:
    server = raw_server()
    for n in range(5_000):
        now = n / 50.0
        events = server.receive(open_stream(2 * n + 1) + frames.rst_stream(2 * n + 1, 8), now)
        assert closed_with(events) is None
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
def test_floods_of_frames_that_carry_nothing(frame: bytes) -> None:
    server = raw_server()
    server.receive(open_stream(), 0.0)
    code, size = None, 0
    for _ in range(300):
        code = closed_with(server.receive(frame * 10, 0.0))
        size = max(size, len(server.output()))
        if code is not None:
            break
    assert code == ErrorCode.ENHANCE_YOUR_CALM
    assert size < 70_000


def test_replies_that_are_not_read_are_bounded() -> None:
    server = raw_server(ConnectionLimits(overhead_frame_depth=1e9, max_queued_reply_bytes=1_000))
    events = server.receive(frames.ping(b"\0" * 8) * 100, 0.0)
    assert closed_with(events) == ErrorCode.ENHANCE_YOUR_CALM
    assert len(server.output()) < 2_000


def test_a_silent_peer_is_asked_and_then_given_up() -> None:
    server = raw_server(ConnectionLimits(keepalive_after=20.0, keepalive_timeout=10.0))
    assert server.check_timeouts(19.0) == [] and server.output() == b""
    assert server.check_timeouts(21.0) == []
    assert FrameType.PING in [f.frame_type for f in frames.FrameReader().feed(server.output())]
    assert server.check_timeouts(30.0) == []
    assert closed_with(server.check_timeouts(32.0)) == ErrorCode.NO_ERROR


def test_any_byte_proves_a_peer_alive() -> None:
    server = raw_server()
    server.check_timeouts(21.0)
    server.receive(b"\0", 25.0)
    assert server.check_timeouts(44.0) == []


def test_a_peer_that_never_says_settings() -> None:
    server = Connection(is_client=False)
    server.receive(frames.PREFACE, 5.0)
    assert closed_with(server.check_timeouts(11.0)) == ErrorCode.SETTINGS_TIMEOUT


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (frames.frame(FrameType.DATA, 0, 7, b"x"), ErrorCode.PROTOCOL_ERROR),
        (frames.frame(FrameType.HEADERS, 4, 2, block(*REQUEST)), ErrorCode.PROTOCOL_ERROR),
        (frames.frame(FrameType.HEADERS, 4, 1, b"\xff\xff\xff\xff"), ErrorCode.COMPRESSION_ERROR),
        (frames.frame(FrameType.RST_STREAM, 0, 9, b"\0\0\0\0"), ErrorCode.PROTOCOL_ERROR),
        (frames.frame(FrameType.RST_STREAM, 0, 9, b"\0"), ErrorCode.FRAME_SIZE_ERROR),
        (frames.frame(FrameType.SETTINGS, 0, 0, b"\0"), ErrorCode.FRAME_SIZE_ERROR),
        (frames.settings({4: 2**31}), ErrorCode.FLOW_CONTROL_ERROR),
        (frames.settings({5: 1}), ErrorCode.PROTOCOL_ERROR),
        (frames.window_update(0, 0), ErrorCode.PROTOCOL_ERROR),
        (frames.window_update(0, 2**31 - 1), ErrorCode.FLOW_CONTROL_ERROR),
        (frames.frame(FrameType.PUSH_PROMISE, 4, 1, b"\0\0\0\2"), ErrorCode.PROTOCOL_ERROR),
        (frames.frame(FrameType.PING, 0, 0, b"short"), ErrorCode.FRAME_SIZE_ERROR),
        (frames.frame(FrameType.CONTINUATION, 4, 1, b""), ErrorCode.PROTOCOL_ERROR),
        (frames.frame(FrameType.HEADERS, 0, 1, b"") + frames.ping(b"\0" * 8), ErrorCode.PROTOCOL_ERROR),
        (frames.frame(FrameType.GOAWAY, 0, 0, b"\0"), ErrorCode.FRAME_SIZE_ERROR),
        (frames.frame(FrameType.HEADERS, 0x2C, 1, b"\0\0\0\0\1\0"), ErrorCode.PROTOCOL_ERROR),
    ],
)
def test_what_breaks_the_protocol_costs_the_connection(data: bytes, code: ErrorCode) -> None:
    server = raw_server()
    assert closed_with(server.receive(data, 0.0)) == code
    sent = list(frames.FrameReader().feed(server.output()))
    assert sent[-1].frame_type == FrameType.GOAWAY and frames.read_goaway(sent[-1].payload)[1] == code
    assert server.receive(b"anything", 0.0) == []


@pytest.mark.parametrize(
    "headers",
    [
        [(b":method", b"POST"), (b":scheme", b"http")],
        [*REQUEST, (b"Upper", b"x")],
        [*REQUEST, (b"connection", b"close")],
        [*REQUEST, (b"te", b"gzip")],
        [*REQUEST, (b":path", b"/b")],
        [(b"x", b"y"), *REQUEST],
        [*REQUEST, (b"x", b"a\r\nb")],
        [*REQUEST, (b":status", b"200")],
    ],
)
def test_ill_formed_requests_cost_their_stream_only(headers: list[tuple[bytes, bytes]]) -> None:
    server = raw_server()
    events = server.receive(frames.frame(FrameType.HEADERS, 4, 1, block(*headers)), 0.0)
    assert not [e for e in events if isinstance(e, HeadersReceived)] and not server.closed
    events = server.receive(open_stream(3), 0.0)
    assert [e.stream_id for e in events if isinstance(e, HeadersReceived)] == [3]


def test_data_past_the_streams_window_costs_the_stream() -> None:
    server = raw_server(ConnectionLimits(stream_window=65_535))
    server.receive(open_stream(), 0.0)
    for _ in range(4):
        events = server.receive(frames.frame(FrameType.DATA, 0, 1, b"x" * 16_384), 0.0)
    assert [e.code for e in events if isinstance(e, StreamClosed)] == [ErrorCode.FLOW_CONTROL_ERROR]
    assert not server.closed


def test_data_on_a_stream_that_we_reset_gives_its_credit_back() -> None:
    """Else the connection's window would shrink with each cancelled call until nothing moves."""
    server = raw_server(ConnectionLimits(connection_window=65_535))
    server.receive(open_stream(), 0.0)
    server.reset(1)
    server.output()
    for _ in range(20):
        assert closed_with(server.receive(frames.frame(FrameType.DATA, 0, 1, b"x" * 16_000), 0.0)) is None
        server.output()


# --- fuzzing ---


def conversation() -> bytes:
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
def test_chunk_boundaries_make_no_difference(cuts: list[int]) -> None:
    data = conversation()
    whole = Connection(is_client=False)
    expected, out = whole.receive(data, 0.0), whole.output(10**6)
    parted, events, at = Connection(is_client=False), [], 0
    for size in [*cuts, len(data)]:
        events += parted.receive(data[at : at + size], 0.0)
        at += size
    assert events == expected
    assert parted.output(10**6) == out


@given(st.binary(max_size=400), st.integers(0, 300))
@settings(max_examples=300, deadline=None)
def test_garbage_never_raises_and_memory_stays_bounded(junk: bytes, at: int) -> None:
    data = conversation()
    ours = Connection(is_client=False)
    ours.receive(data[:at] + junk + data[at + len(junk) :], 0.0)
    assert len(ours.output(10**6)) < 200_000
    assert len(ours._frame_reader._buffer) <= len(data) + len(junk)


FRAMES = st.tuples(st.integers(0, 11), st.integers(0, 255), st.integers(0, 7), st.binary(max_size=40))


@given(st.lists(FRAMES, max_size=30), st.booleans())
@settings(max_examples=300, deadline=None)
def test_any_frames_in_any_order(parts: list[tuple[int, int, int, bytes]], client: bool) -> None:
    ours = Connection(is_client=client)
    ours.receive((b"" if client else frames.PREFACE) + frames.settings({}), 0.0)
    if client:
        ours.open_stream(REQUEST)
        ours.open_stream(REQUEST)
    for kind, flags, stream_id, payload in parts:
        for event in ours.receive(frames.frame(kind, flags, stream_id, payload), 0.0):
            if isinstance(event, HeadersReceived) and not client:
                ours.send_headers(event.stream_id, RESPONSE)
                ours.send_data(event.stream_id, b"x" * 10, end_stream=True)
            elif isinstance(event, DataReceived):
                ours.acknowledge_data(event.stream_id, event.credit)
        ours.output()
    assert all(0 <= s.queued_bytes < 100 for s in ours.streams.values())


def test_a_length_field_cannot_make_us_wait_for_gigabytes() -> None:
    server = raw_server()
    head = struct.pack(">HBBBL", 0xFFFF, 0xFF, 0, 0, 1)
    assert closed_with(server.receive(head, 0.0)) == ErrorCode.FRAME_SIZE_ERROR


NAMES = st.sampled_from([b":path", b":status", b"content-type", b"x-some", b"grpc-timeout", b":authority"])


@given(st.lists(st.tuples(NAMES, st.binary(max_size=300)), max_size=8))
def test_our_header_blocks_decode_anywhere(headers: list[tuple[bytes, bytes]]) -> None:
    """Blocks made without state; a name whose static entry has an empty value was cut short once."""
    import hpack

    from saffronlane.http2.connection import encode_headers

    decoder = hpack.Decoder()
    for _ in range(2):
        found = decoder.decode(encode_headers(headers), raw=True)
        assert [(bytes(n), bytes(v)) for n, v in found] == headers
    assert decoder.header_table.maxsize and not decoder.header_table.dynamic_entries


BLOCKS = st.lists(
    st.lists(st.tuples(st.sampled_from([b"a", b"b", b"c"]), st.sampled_from([b"1", b"2"])), max_size=4)
)


@given(BLOCKS, st.booleans())
def test_remembered_header_blocks_mean_what_they_mean_now(
    blocks: list[list[tuple[bytes, bytes]]], small: bool
) -> None:
    """The same bytes mean other headers once an entry has moved in the dynamic table, or was evicted."""
    import hpack

    encoder, ours = hpack.Encoder(), raw_server()
    if small:
        encoder.header_table_size = 70
    for headers in [*blocks, *blocks]:
        data = encoder.encode([*REQUEST, *headers])
        expected = (*REQUEST, *headers)
        assert ours._decode_header_block(1, bytes(data)) == expected


def test_an_entry_that_replaces_the_only_one_is_seen() -> None:
    """The new entry may lie where the old one lay in memory: its id alone does not tell them apart."""
    import hpack

    encoder, ours = hpack.Encoder(), raw_server()
    encoder.header_table_size = 40  # one small entry
    for n in range(200):
        headers = (*REQUEST, (b"a", b"%d" % (n % 3)))
        for _ in range(2):
            assert ours._decode_header_block(1, bytes(encoder.encode(list(headers)))) == headers
