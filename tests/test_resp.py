"""Arrays of bulk strings are parsed from pieces of any size; all other input is an error."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronlane.resp import RespParser, encode_command


def new_parser() -> RespParser:
    return RespParser(4, 100)


def test_arrays_are_parsed_if_the_input_is_split_at_any_byte() -> None:
    first, second = [b"id", b"DONE", b"-", b"a\tb\tc\n\r\n$5\r\n"], [b"tag", b"FIT"]
    data = encode_command(*first) + encode_command(*second)
    for split in range(len(data) + 1):
        parser = new_parser()
        arrays_before, error = parser.feed(data[:split])
        arrays_after, later_error = parser.feed(data[split:])
        assert arrays_before + arrays_after == [first, second] and error is None and later_error is None
        assert not parser.has_partial_array


@pytest.mark.parametrize(
    "data",
    [
        b"+OK\r\n",
        b"*5\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$101\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$3000000000\r\n",  # 3 GB announced, no data
        b"*1\r\n:5\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*" + b"1" * 50,
        b"*\r\n",
        b"* 1\r\n",
        b"noise without an end of any kind",
    ],
)
def test_invalid_input_is_an_error_immediately(data: bytes) -> None:
    arrays, error = new_parser().feed(data)
    assert not arrays and error is not None


def test_complete_arrays_before_an_error_are_returned() -> None:
    arrays, error = new_parser().feed(encode_command(b"id", b"WAIT") + b"!")
    assert arrays == [[b"id", b"WAIT"]] and error is not None


def test_incomplete_array_is_partial() -> None:
    parser = new_parser()
    parser.feed(encode_command(b"id", b"DONE")[:-3])
    assert parser.has_partial_array


@given(st.lists(st.lists(st.binary(max_size=100), min_size=1, max_size=4), max_size=6), st.integers(1, 50))
def test_encoded_commands_are_parsed_unchanged(arrays: list[list[bytes]], step: int) -> None:
    data = b"".join(encode_command(*command) for command in arrays)
    parser, parsed = new_parser(), []
    for offset in range(0, len(data), step):
        new_arrays, error = parser.feed(data[offset : offset + step])
        assert error is None
        parsed += new_arrays
    assert parsed == arrays


@given(st.lists(st.binary(max_size=60), max_size=20))
def test_arbitrary_input_is_parsed_or_rejected_with_a_bounded_buffer(parts: list[bytes]) -> None:
    parser = new_parser()
    for part in parts:
        _, error = parser.feed(part)
        if error is not None:
            return
        assert len(parser._buffer) < 200
