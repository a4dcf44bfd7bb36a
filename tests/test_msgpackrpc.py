"""Decoding of MessagePack-RPC from bytes in pieces of any size, within limits."""

from __future__ import annotations

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronlane import msgpackrpc as rpc

MAX_BYTES, MAX_ITEMS = 4096, 64


def new_scanner() -> rpc.Scanner:
    return rpc.Scanner(MAX_BYTES, MAX_ITEMS)


def encode_call(message_id: int = 7, body: bytes = b"SELECT 1", **fields: str) -> bytes:
    return msgspec.msgpack.encode([0, message_id, "report", [fields, body]])


def test_messages_are_found_at_every_split() -> None:
    first = encode_call(rid="9b1f03aa5c7e2d41", budget="1500", text="x" * 300)
    second = msgspec.msgpack.encode([2, "forget", [7]])
    whole = first + second
    for split_at in range(len(whole) + 1):
        scanner = new_scanner()
        before, error = scanner.feed(whole[:split_at])
        after, later_error = scanner.feed(whole[split_at:])
        assert before + after == [first, second] and error is None and later_error is None
        assert scanner.pending_bytes == 0


def test_every_kind_of_value_is_scanned() -> None:
    values = [
        None,
        True,
        1,
        -1,
        200,
        -200,
        70_000,
        2**40,
        -(2**40),
        1.5,
        "s",
        "s" * 40,
        "s" * 300,
        b"b" * 300,
    ]
    values += [[1] * 20, {"a": 1}, msgspec.msgpack.Ext(5, b"x"), msgspec.msgpack.Ext(5, b"x" * 20)]
    for value in values:
        message = msgspec.msgpack.encode([0, 1, "m", value])
        assert new_scanner().feed(message + b"\x94") == ([message], None)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"\xff" * 100,
        b"\x94\x00\x01\xc1",  # a reserved byte
        b"\x94\x00\x01\xa1m\x92\x80\xc6\x7f\xff\xff\xff",  # declares a body of 2 GB and has none of it
        b"\x94\x00\x01\xdb\x00\x40\x00\x00",  # declares a method name of 4 MB
        b"\x94\x00\x01\xa1m\xdd\xff\xff\xff\xff",  # declares four billion parameters
        b"\x94\x00\x01\xa1m\xdf\xff\xff\xff\xff",
        b"\x94" + b"\x91" * 1000,  # a thousand nested arrays
        b"\x94\x00\x01\xa1m\x92\x80\xc9\x7f\xff\xff\xff\x01",
    ],
)
def test_input_that_cannot_be_a_message_is_an_error_at_once(data: bytes) -> None:
    messages, error = new_scanner().feed(data)
    assert not messages and error is not None


def test_valid_messages_before_invalid_input_are_returned() -> None:
    messages, error = new_scanner().feed(encode_call() + b"\xc1")
    assert messages == [encode_call()] and error is not None


def test_a_long_message_in_small_pieces_is_scanned_once() -> None:
    """Guards against a scan of all earlier pieces for each new piece, which takes quadratic time."""
    scanner = rpc.Scanner(1_000_000, 64)
    scanned_positions: list[int] = []
    scan_item = scanner._scan_item
    scanner._scan_item = lambda position: scanned_positions.append(position) or scan_item(position)  # type: ignore[func-returns-value,method-assign]
    message = encode_call(body=b"x" * 100_000)
    for offset in range(0, len(message), 100):
        messages, _ = scanner.feed(message[offset : offset + 100])
    assert messages == [message]
    assert len(scanned_positions) < len(message) / 100 + 20


def test_calls_and_notifications_are_decoded() -> None:
    assert rpc.decode_message(encode_call(rid="a")) == rpc.Call(7, "report", {"rid": "a"}, b"SELECT 1")
    assert rpc.decode_message(msgspec.msgpack.encode([0, 8, "isWell", [{}]])) == rpc.Call(
        8, "isWell", {}, None
    )
    assert rpc.decode_message(msgspec.msgpack.encode([2, "forget", [7, 9]])) == rpc.Notification(
        "forget", (7, 9)
    )


@pytest.mark.parametrize(
    ("value", "message_id"),
    [
        ([1, 7, None, []], None),
        ([0, -7, "m", [{}]], None),
        ([0, "7", "m", [{}]], None),
        ([0, 2**40, "m", [{}]], None),
        ([0, 7, 5, [{}]], 7),
        ([0, 7, "m", {}], 7),
        ([0, 7, "m", []], 7),
        ([0, 7, "m", [{}, b"", b""]], 7),
        ([0, 7, "m", [{"rid": 5}, b""]], 7),
        ([0, 7, "m", [{5: "x"}, b""]], 7),
        ([0, 7, "m", [{}, "text, not bytes"]], 7),
        ([2, "forget", 7], None),
        ([2, "forget", ["7"]], None),
        ([0, "forget", [7]], None),
    ],
)
def test_a_message_that_is_neither_a_valid_call_nor_a_notification_is_an_error(
    value: object, message_id: int | None
) -> None:
    with pytest.raises(rpc.InvalidMessageError) as raised:
        rpc.decode_message(msgspec.msgpack.encode(value))
    assert raised.value.id == message_id


def test_a_duplicate_field_is_an_error() -> None:
    """Guards against an ambiguous request, in which it is undefined which of two ids is valid."""
    message = b"\x94\x00\x07\xa1m\x92\x82\xa3rid\xa1a\xa3rid\xa1b\xc4\x00"
    with pytest.raises(rpc.InvalidMessageError, match="twice"):
        rpc.decode_message(message)


def test_a_method_name_that_is_not_utf8_is_an_error() -> None:
    with pytest.raises(rpc.InvalidMessageError):
        rpc.decode_message(b"\x94\x00\x07\xa1\xff\x92\x80\xc4\x00")


def test_replies_are_encoded() -> None:
    decode = msgspec.msgpack.decode
    assert decode(rpc.encode_reply(rpc.Reply(7, None, {}, b"rows"))) == [1, 7, None, [b"rows", {}]]
    assert decode(rpc.encode_reply(rpc.Reply(7, None, {}, True))) == [1, 7, None, [True, {}]]
    rejection = rpc.encode_reply(rpc.Reply(7, "Shed", {"backoff": "20"}))
    assert decode(rejection) == [1, 7, ["Shed", {"backoff": "20"}], None]


@given(st.lists(st.binary(max_size=200), max_size=20))
def test_any_bytes_are_messages_or_an_error(parts: list[bytes]) -> None:
    scanner = new_scanner()
    for part in parts:
        messages, error = scanner.feed(part)
        assert scanner.pending_bytes <= MAX_BYTES
        for message in messages:
            with contextlib.suppress(rpc.InvalidMessageError):
                rpc.decode_message(message)
        if error is not None:
            return


@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_a_call_with_a_changed_byte_is_decoded_or_rejected(body: bytes, index: int, value: int) -> None:
    data = bytearray(encode_call(body=body, rid="9b1f03aa5c7e2d41", budget="1500"))
    data[index % len(data)] = value
    for message in new_scanner().feed(bytes(data))[0]:
        with contextlib.suppress(rpc.InvalidMessageError):
            rpc.decode_message(message)


@given(
    st.lists(st.integers(0, 3000), min_size=1, max_size=4),
    st.lists(st.integers(1, 900), min_size=1, max_size=30),
    st.integers(0, 20),
)
def test_a_discarded_message_ends_where_it_would_have_ended(
    body_sizes: list[int], piece_sizes: list[int], discarded_piece: int
) -> None:
    """Guards against a connection that loses its place in the input when a message is not kept."""
    calls = [encode_call(number, b"x" * size, rid="r") for number, size in enumerate(body_sizes)]
    data = b"".join(calls)
    scanner = new_scanner()
    found: list[bytes | rpc.DiscardedMessage] = []
    start = 0
    for number in range(len(data)):
        size = piece_sizes[number % len(piece_sizes)]
        messages, error = scanner.feed(data[start : start + size])
        start += size
        assert error is None
        found += messages
        if number == discarded_piece:
            scanner.discard_message()
            assert scanner.pending_bytes <= 20
        if start >= len(data):
            break
    assert len(found) == len(calls) and not scanner.is_within_message
    for number, (call, message) in enumerate(zip(calls, found, strict=True)):
        if isinstance(message, rpc.DiscardedMessage):
            assert rpc.read_call_id(message.head) == number
        else:
            assert message == call


def test_a_discarded_message_is_limited_in_size_all_the_same() -> None:
    scanner = new_scanner()
    scanner.feed(b"\x94\x00\x07\xa6report\x92\x80\x92\xc5\x0c\x00" + b"x" * 2000)
    scanner.discard_message()
    _, error = scanner.feed(b"x" * 1072 + b"\xc5\x08\x00")
    assert error is not None


@pytest.mark.parametrize("message_id", [0, 127, 128, 255, 256, 65_535, 65_536, 2**32 - 1])
def test_the_id_of_a_call_is_read_from_its_first_bytes(message_id: int) -> None:
    assert rpc.read_call_id(encode_call(message_id, b"x" * 40)) == message_id


def test_other_messages_have_no_call_id() -> None:
    assert rpc.read_call_id(msgspec.msgpack.encode([2, "forget", [7] * 20])) is None
    assert rpc.read_call_id(msgspec.msgpack.encode([1, 7, None, ["x" * 20]])) is None
    assert rpc.read_call_id(msgspec.msgpack.encode([0, 2**32, "m", ["x" * 20]])) is None
    assert rpc.read_call_id(msgspec.msgpack.encode([0, "7", "m", ["x" * 20]])) is None
