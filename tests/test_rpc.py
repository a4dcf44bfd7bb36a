"""Our gRPC against grpcio (both sides), framing, deadlines, cancellation."""

from __future__ import annotations

import asyncio
import gzip
import struct
from collections.abc import Awaitable, Callable, Iterator
from concurrent import futures
from contextlib import contextmanager

import grpc
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronlane.http2.transport import local_sockets
from saffronlane.rpc import Channel, Code, Ending, Metadata, RpcError, Server, ServerCall, Status
from saffronlane.rpc.framing import MessageReader, compressed_message, message_prefix
from saffronlane.rpc.metadata import format_timeout, parse_timeout, status_headers, to_headers
from saffronlane.rpc.status import detailed_status


def run(work: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(work(), 20.0)

    asyncio.run(bounded())


async def echo(call: ServerCall) -> None:
    while (message := await call.read()) is not None:
        await call.write(message)


async def refuse(call: ServerCall) -> None:
    await call.read()
    raise RpcError(detailed_status(Code.UNAVAILABLE, "später: 100% voll", "FULL", 1.5, {"a": "b"}))


async def broken(call: ServerCall) -> None:
    raise KeyError("a fault of the handler")


async def slow(call: ServerCall) -> None:
    await asyncio.sleep(30.0)


async def headers(call: ServerCall) -> None:
    await call.read()
    call.headers = (("x-first", "1"),)
    call.trailers = (("x-last-bin", b"\x00\xff"),)
    await call.write(call.metadata.text("x-ask").encode() + (call.metadata.binary("x-raw-bin") or b""))


HANDLERS = {f"/t/{h.__name__}": h for h in (echo, refuse, broken, slow, headers)}


@contextmanager
def serving(**options: object) -> Iterator[tuple[Server, int]]:
    server = Server(HANDLERS, **options)  # type: ignore[arg-type]
    sockets = local_sockets("127.0.0.1", 0)
    server.listen(sockets)
    try:
        yield server, sockets[0].getsockname()[1]
    finally:
        server.close()


def against_grpcio(work: Callable[[grpc.Channel], None]) -> None:
    async def both() -> None:
        with serving() as (_, port):

            def client() -> None:
                with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
                    work(channel)

            await asyncio.to_thread(client)

    run(both)


def test_grpcio_calls_every_kind() -> None:
    def work(channel: grpc.Channel) -> None:
        big = b"x" * 3_000_000
        assert channel.unary_unary("/t/echo")(b"one") == b"one"
        assert list(channel.stream_stream("/t/echo")(iter([b"a", b"", big]))) == [b"a", b"", big]
        assert channel.stream_unary("/t/echo")(iter([b"only"])) == b"only"
        assert list(channel.unary_stream("/t/echo")(b"s")) == [b"s"]

    against_grpcio(work)


def test_grpcio_sees_status_details_and_metadata() -> None:
    def work(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as caught:
            channel.unary_unary("/t/refuse")(b"")
        error = caught.value
        assert error.code() is grpc.StatusCode.UNAVAILABLE and error.details() == "später: 100% voll"
        raw = dict(error.trailing_metadata())["grpc-status-details-bin"]
        status = Status(Code.UNAVAILABLE, "", raw)
        assert status.retry_after() == 1.5 and status.reason() == "FULL"
        answer, call = channel.unary_unary("/t/headers").with_call(
            b"", metadata=(("x-ask", "what"), ("x-raw-bin", b"\x01\x02\x03"))
        )
        assert answer == b"what\x01\x02\x03"
        assert dict(call.initial_metadata())["x-first"] == "1"
        assert dict(call.trailing_metadata())["x-last-bin"] == b"\x00\xff"

    against_grpcio(work)


def test_grpcio_sends_gzip() -> None:
    def work(channel: grpc.Channel) -> None:
        call = channel.unary_unary("/t/echo")
        assert call(b"z" * 100_000, compression=grpc.Compression.Gzip) == b"z" * 100_000

    against_grpcio(work)


@pytest.mark.parametrize(
    ("path", "code"),
    [
        ("/t/nothing", grpc.StatusCode.UNIMPLEMENTED),
        ("/t/broken", grpc.StatusCode.INTERNAL),
    ],
)
def test_what_goes_wrong_has_a_code(path: str, code: grpc.StatusCode) -> None:
    def work(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as caught:
            channel.unary_unary(path)(b"")
        assert caught.value.code() is code
        assert channel.unary_unary("/t/echo")(b"still there") == b"still there"

    against_grpcio(work)


def test_the_clients_deadline_ends_a_call_on_both_sides() -> None:
    def work(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as caught:
            channel.unary_unary("/t/slow")(b"", timeout=0.1)
        assert caught.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED

    against_grpcio(work)


def test_a_grpcio_server_answers_our_client() -> None:
    class Handler(grpc.GenericRpcHandler):
        def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
            if details.method == "/g/echo":
                return grpc.stream_stream_rpc_method_handler(lambda it, context: it)
            if details.method == "/g/fail":

                def fail(request: bytes, context: grpc.ServicerContext) -> bytes:
                    context.abort(grpc.StatusCode.NOT_FOUND, "no such thing")
                    return b""

                return grpc.unary_unary_rpc_method_handler(fail)
            return None

    server = grpc.server(futures.ThreadPoolExecutor(4), handlers=[Handler()])
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()

    async def work() -> None:
        channel = Channel("127.0.0.1", port)
        await channel.connect(2.0)
        call = channel.start("/g/echo", (("x-a", "b"),), 5.0)
        await call.write(b"a" * 500_000)
        await call.write(b"b", end=True)
        assert [len(m) async for m in _all(call)] == [500_000, 1]
        assert call.ending is Ending.STATUS and call.status is not None and call.status.ok
        with pytest.raises(RpcError) as caught:
            await channel.unary("/g/fail", b"")
        assert caught.value.status == Status(Code.NOT_FOUND, "no such thing")
        assert await channel.ping(2.0)
        channel.close()

    try:
        run(work)
    finally:
        server.stop(None)


async def _all(call: object):
    while (message := await call.read()) is not None:  # type: ignore[attr-defined]
        yield message


def test_a_call_given_up_is_told_to_the_server_before_a_ping_is_answered() -> None:
    """The dispatcher takes that PING for the engine's word that it knows of the cancel."""

    async def work() -> None:
        gone: list[str] = []

        async def wait(call: ServerCall) -> None:
            call.on_abandoned = lambda: gone.append("gone")
            await asyncio.sleep(30.0)

        server = Server({"/t/wait": wait})
        sockets = local_sockets("127.0.0.1", 0)
        server.listen(sockets)
        channel = Channel("127.0.0.1", sockets[0].getsockname()[1])
        await channel.connect(2.0)
        call = channel.start("/t/wait")
        assert await channel.ping(2.0)  # the call has arrived
        assert call.cancel() and call.ending is Ending.CANCELLED
        assert await channel.ping(2.0)
        assert gone == ["gone"]
        server.close()

    run(work)


def test_a_call_cancelled_before_its_headers_left_never_ran() -> None:
    async def work() -> None:
        with serving() as (_, port):
            channel = Channel("127.0.0.1", port)
            await channel.connect(2.0)
            call = channel.start("/t/slow")
            assert not call.cancel() and call.ending is Ending.UNPROCESSED
            assert await channel.ping(2.0)

    run(work)


def test_a_lost_connection_ends_its_calls() -> None:
    async def work() -> None:
        with serving() as (server, port):
            channel = Channel("127.0.0.1", port)
            await channel.connect(2.0)
            call = channel.start("/t/slow")
            await channel.ping(2.0)
            server.close()
            assert await call.read() is None
            assert call.ending is Ending.LOST
            assert not channel.usable

    run(work)


def test_a_client_that_does_not_read_holds_its_sender_back() -> None:
    """Back-pressure: the server's writer stops; memory stays bounded whatever the size of the result."""

    async def work() -> None:
        written = 0

        async def flood(call: ServerCall) -> None:
            nonlocal written
            for _ in range(1_000):
                await call.write(b"x" * 100_000)
                written += 1

        server = Server({"/t/flood": flood})
        sockets = local_sockets("127.0.0.1", 0)
        server.listen(sockets)
        channel = Channel("127.0.0.1", sockets[0].getsockname()[1])
        await channel.connect(2.0)
        call = channel.start("/t/flood")
        for _ in range(50):
            await channel.ping(2.0)
        stopped = written
        assert stopped < 30  # 3 MB of 100
        for _ in range(50):
            assert await call.read() is not None
        for _ in range(20):
            await channel.ping(2.0)
        assert stopped < written < stopped + 60
        call.cancel()
        server.close()

    run(work)


def test_an_answer_that_waits_for_a_client_past_its_deadline_is_dropped() -> None:
    """Else what a client left unread would stay in memory for as long as its connection."""

    async def work() -> None:
        async def some(call: ServerCall) -> None:
            for _ in range(20):
                call.write_now(b"x" * 100_000)

        server = Server({"/t/some": some})
        sockets = local_sockets("127.0.0.1", 0)
        server.listen(sockets)
        channel = Channel("127.0.0.1", sockets[0].getsockname()[1])
        await channel.connect(2.0)
        call = channel.start("/t/some", timeout=0.5)
        for _ in range(5):
            await channel.ping(2.0)
        (connection,) = server.connections
        assert connection.transport.http.queued_bytes(call.stream_id) > 0
        while connection.transport.http.streams:
            await asyncio.sleep(0.02)
        server.close()

    run(work)


@pytest.mark.parametrize("text", ["5", "S", "-1S", "123456789S", "1e3S", "5x", "٣S", " 5S"])
def test_absurd_timeouts_name_the_header(text: str) -> None:
    with pytest.raises(ValueError, match="grpc-timeout"):
        parse_timeout(text)


def test_an_absurd_timeout_ends_the_call_with_a_clear_status() -> None:
    async def work() -> None:
        with serving() as (_, port):
            channel = Channel("127.0.0.1", port)
            await channel.connect(2.0)
            with pytest.raises(RpcError) as caught:
                await channel.unary("/t/echo", b"x", (("grpc-timeout", "soon"),))
            assert caught.value.status.code is Code.INVALID_ARGUMENT
            assert "grpc-timeout" in caught.value.status.message
            assert await channel.unary("/t/echo", b"x") == b"x"

    run(work)


@given(st.floats(1e-6, 1e7))
def test_timeouts_survive_the_way_there(seconds: float) -> None:
    back = parse_timeout(format_timeout(seconds).decode())
    assert back is not None and abs(back - seconds) <= max(1e-6, seconds * 1e-3)


def test_bad_base64_names_the_header() -> None:
    with pytest.raises(ValueError, match="x-some-bin"):
        Metadata.from_headers(((b"x-some-bin", b"!!!"),))


@pytest.mark.parametrize("item", [("Upper", "x"), ("x-line", "a\nb"), ("x-umlaut", "ä")])
def test_headers_that_cannot_be_sent(item: tuple[str, str]) -> None:
    with pytest.raises(ValueError, match="header"):
        to_headers((item,))


def test_messages_in_a_status_are_escaped() -> None:
    assert dict(status_headers(Status(Code.INTERNAL, "a\n%ü")))[b"grpc-message"] == b"a%0A%25%C3%BC"


MESSAGES = st.lists(st.binary(max_size=300), max_size=12)


@given(MESSAGES, st.lists(st.integers(1, 200), max_size=30), st.booleans())
@settings(deadline=None)
def test_messages_come_out_whole_wherever_they_were_cut(
    messages: list[bytes], cuts: list[int], packed: bool
) -> None:
    data = b"".join(compressed_message(m) if packed else message_prefix(m) + m for m in messages)
    reader, got, at = MessageReader(), [], 0
    reader.is_gzip = packed
    for size in [*cuts, len(data) + 1]:
        got += reader.feed(data[at : at + size])
        at += size
    assert got == messages and reader.buffered_bytes == 0


@given(st.binary(max_size=200))
def test_garbage_is_an_rpc_error_at_most(data: bytes) -> None:
    reader = MessageReader(1_000)
    reader.is_gzip = True
    try:
        reader.feed(data)
    except RpcError:
        return
    assert reader.buffered_bytes <= len(data)


def test_messages_that_are_too_large_or_unpack_to_too_much() -> None:
    with pytest.raises(RpcError, match="more than 1000"):
        MessageReader(1_000).feed(struct.pack(">BL", 0, 1_001))
    reader = MessageReader(1_000)
    reader.is_gzip = True
    bomb = gzip.compress(b"\0" * 100_000)
    with pytest.raises(RpcError, match="unpacks"):
        reader.feed(struct.pack(">BL", 1, len(bomb)) + bomb)
    with pytest.raises(RpcError, match="flag"):
        MessageReader().feed(struct.pack(">BL", 7, 0))


def test_connections_past_the_limit_are_turned_away() -> None:
    async def work() -> None:
        with serving(max_connections=1) as (_, port):
            first, second = Channel("127.0.0.1", port), Channel("127.0.0.1", port)
            await first.connect(2.0)
            assert await first.unary("/t/echo", b"x") == b"x"
            await second.connect(2.0)
            with pytest.raises(RpcError):
                await second.unary("/t/echo", b"x")
            assert await first.unary("/t/echo", b"x") == b"x"

    run(work)


def test_a_peer_that_speaks_something_else_costs_its_connection_only() -> None:
    async def work() -> None:
        with serving() as (_, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b"preface" in await reader.read()  # GOAWAY says why
            channel = Channel("127.0.0.1", port)
            await channel.connect(2.0)
            assert await channel.unary("/t/echo", b"x") == b"x"
            writer.close()

    run(work)
