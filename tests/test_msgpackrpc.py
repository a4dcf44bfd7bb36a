"""MessagePack-RPC from bytes in any pieces, within bounds, and nothing else."""

from __future__ import annotations

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronlane import msgpackrpc as rpc

MOST_BYTES, MOST_ITEMS = 4096, 64


def scanner() -> rpc.Scanner:
    return rpc.Scanner(MOST_BYTES, MOST_ITEMS)


def call(msgid: int = 7, body: bytes = b"SELECT 1", **fields: str) -> bytes:
    return msgspec.msgpack.encode([0, msgid, "report", [fields, body]])


def test_messages_are_found_at_every_split() -> None:
    first = call(rid="9b1f03aa5c7e2d41", budget="1500", text="x" * 300)
    second = msgspec.msgpack.encode([2, "forget", [7]])
    whole = first + second
    for at in range(len(whole) + 1):
        one = scanner()
        before, error = one.feed(whole[:at])
        after, later = one.feed(whole[at:])
        assert before + after == [first, second] and error is None and later is None
        assert one.pending_bytes == 0


def test_every_kind_of_value_is_passed_over() -> None:
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
        assert scanner().feed(message + b"\x94") == ([message], None)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"\xff" * 100,
        b"\x94\x00\x01\xc1",  # a byte that means nothing
        b"\x94\x00\x01\xa1m\x92\x80\xc6\x7f\xff\xff\xff",  # a body of 2 GB, of which nothing came
        b"\x94\x00\x01\xdb\x00\x40\x00\x00",  # a name of 4 MB
        b"\x94\x00\x01\xa1m\xdd\xff\xff\xff\xff",  # four billion parameters
        b"\x94\x00\x01\xa1m\xdf\xff\xff\xff\xff",
        b"\x94" + b"\x91" * 1000,  # a thousand arrays, each in the other
        b"\x94\x00\x01\xa1m\x92\x80\xc9\x7f\xff\xff\xff\x01",
    ],
)
def test_what_is_no_message_is_an_error_at_once(data: bytes) -> None:
    found, error = scanner().feed(data)
    assert not found and error is not None


def test_good_messages_before_a_bad_one_count() -> None:
    found, error = scanner().feed(call() + b"\xc1")
    assert found == [call()] and error is not None


def test_a_long_message_in_small_pieces_is_scanned_once() -> None:
    """Guards against quadratic time: each piece would scan all that came before it again."""
    one = rpc.Scanner(1_000_000, 64)
    looked: list[int] = []
    item = one._scan_item
    one._scan_item = lambda at: looked.append(at) or item(at)  # type: ignore[func-returns-value,method-assign]
    message = call(body=b"x" * 100_000)
    for at in range(0, len(message), 100):
        found, _ = one.feed(message[at : at + 100])
    assert found == [message]
    assert len(looked) < len(message) / 100 + 20


def test_calls_and_notices_are_read() -> None:
    assert rpc.decode_message(call(rid="a")) == rpc.Call(7, "report", {"rid": "a"}, b"SELECT 1")
    assert rpc.decode_message(msgspec.msgpack.encode([0, 8, "isWell", [{}]])) == rpc.Call(
        8, "isWell", {}, None
    )
    assert rpc.decode_message(msgspec.msgpack.encode([2, "forget", [7, 9]])) == rpc.Notification(
        "forget", (7, 9)
    )


@pytest.mark.parametrize(
    ("value", "msgid"),
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
def test_what_is_no_call_is_malformed(value: object, msgid: int | None) -> None:
    with pytest.raises(rpc.InvalidMessageError) as caught:
        rpc.decode_message(msgspec.msgpack.encode(value))
    assert caught.value.id == msgid


def test_a_field_that_is_there_twice_is_malformed() -> None:
    """Guards against two readings of one request: which of two ids counts is anybody's guess."""
    twice = b"\x94\x00\x07\xa1m\x92\x82\xa3rid\xa1a\xa3rid\xa1b\xc4\x00"
    with pytest.raises(rpc.InvalidMessageError, match="twice"):
        rpc.decode_message(twice)


def test_text_that_is_none_is_malformed() -> None:
    with pytest.raises(rpc.InvalidMessageError):
        rpc.decode_message(b"\x94\x00\x07\xa1\xff\x92\x80\xc4\x00")


def test_replies_decode() -> None:
    decode = msgspec.msgpack.decode
    assert decode(rpc.encode_reply(rpc.Reply(7, None, {}, b"rows"))) == [1, 7, None, [b"rows", {}]]
    assert decode(rpc.encode_reply(rpc.Reply(7, None, {}, True))) == [1, 7, None, [True, {}]]
    shed = rpc.encode_reply(rpc.Reply(7, "Shed", {"backoff": "20"}))
    assert decode(shed) == [1, 7, ["Shed", {"backoff": "20"}], None]


@given(st.lists(st.binary(max_size=200), max_size=20))
def test_any_bytes_end_as_messages_or_an_error(parts: list[bytes]) -> None:
    one = scanner()
    for part in parts:
        found, error = one.feed(part)
        assert one.pending_bytes <= MOST_BYTES
        for message in found:
            with contextlib.suppress(rpc.InvalidMessageError):
                rpc.decode_message(message)
        if error is not None:
            return


@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_a_call_with_a_changed_byte_is_read_or_refused(body: bytes, at: int, value: int) -> None:
    data = bytearray(call(body=body, rid="9b1f03aa5c7e2d41", budget="1500"))
    data[at % len(data)] = value
    for message in scanner().feed(bytes(data))[0]:
        with contextlib.suppress(rpc.InvalidMessageError):
            rpc.decode_message(message)
