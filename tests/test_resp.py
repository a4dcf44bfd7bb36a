"""Arrays of bulk strings from bytes in any pieces, within bounds, and nothing else."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronlane.resp import RespParser, encode_command


def parser() -> RespParser:
    return RespParser(4, 100)


def test_arrays_are_found_at_every_split() -> None:
    first, second = [b"id", b"DONE", b"-", b"a\tb\tc\n\r\n$5\r\n"], [b"tag", b"FIT"]
    whole = encode_command(*first) + encode_command(*second)
    for at in range(len(whole) + 1):
        one = parser()
        before, error = one.feed(whole[:at])
        after, later = one.feed(whole[at:])
        assert before + after == [first, second] and error is None and later is None
        assert not one.has_partial_array


@pytest.mark.parametrize(
    "data",
    [
        b"+OK\r\n",
        b"*5\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$101\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$3000000000\r\n",  # 3 GB, of which nothing came
        b"*1\r\n:5\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*" + b"1" * 50,
        b"*\r\n",
        b"* 1\r\n",
        b"noise without an end of any kind",
    ],
)
def test_what_is_no_array_is_an_error_at_once(data: bytes) -> None:
    found, error = parser().feed(data)
    assert not found and error is not None


def test_good_arrays_before_a_bad_one_count() -> None:
    found, error = parser().feed(encode_command(b"id", b"WAIT") + b"!")
    assert found == [[b"id", b"WAIT"]] and error is not None


def test_half_an_array_is_pending() -> None:
    one = parser()
    one.feed(encode_command(b"id", b"DONE")[:-3])
    assert one.has_partial_array


@given(st.lists(st.lists(st.binary(max_size=100), min_size=1, max_size=4), max_size=6), st.integers(1, 50))
def test_what_is_written_is_read(arrays: list[list[bytes]], step: int) -> None:
    data = b"".join(encode_command(*words) for words in arrays)
    one, found = parser(), []
    for at in range(0, len(data), step):
        some, error = one.feed(data[at : at + step])
        assert error is None
        found += some
    assert found == arrays


@given(st.lists(st.binary(max_size=60), max_size=20))
def test_any_bytes_end_as_arrays_or_an_error(parts: list[bytes]) -> None:
    one = parser()
    for part in parts:
        _, error = one.feed(part)
        if error is not None:
            return
        assert len(one._buffer) < 200
