"""gRPC: both sides against grpcio, framing, deadlines and cancellation."""

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


def run_with_timeout(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scenario(), 20.0)

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
def running_server(**options: object) -> Iterator[tuple[Server, int]]:
    server = Server(HANDLERS, **options)  # type: ignore[arg-type]
    sockets = local_sockets("127.0.0.1", 0)
    server.listen(sockets)
    try:
        yield server, sockets[0].getsockname()[1]
    finally:
        server.close()


def run_grpcio_client(scenario: Callable[[grpc.Channel], None]) -> None:
    async def serve_and_call() -> None:
        with running_server() as (_, port):

            def client() -> None:
                with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
                    scenario(channel)

            await asyncio.to_thread(client)

    run_with_timeout(serve_and_call)


def test_server_answers_grpcio_calls_of_all_four_kinds() -> None:
    def scenario(channel: grpc.Channel) -> None:
        big = b"x" * 3_000_000
        assert channel.unary_unary("/t/echo")(b"one") == b"one"
        assert list(channel.stream_stream("/t/echo")(iter([b"a", b"", big]))) == [b"a", b"", big]
        assert channel.stream_unary("/t/echo")(iter([b"only"])) == b"only"
        assert list(channel.unary_stream("/t/echo")(b"s")) == [b"s"]

    run_grpcio_client(scenario)


def test_grpcio_receives_status_details_and_metadata() -> None:
    def scenario(channel: grpc.Channel) -> None:
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

    run_grpcio_client(scenario)


def test_server_accepts_gzip_messages_from_grpcio() -> None:
    def scenario(channel: grpc.Channel) -> None:
        call = channel.unary_unary("/t/echo")
        assert call(b"z" * 100_000, compression=grpc.Compression.Gzip) == b"z" * 100_000

    run_grpcio_client(scenario)


@pytest.mark.parametrize(
    ("path", "code"),
    [
        ("/t/nothing", grpc.StatusCode.UNIMPLEMENTED),
        ("/t/broken", grpc.StatusCode.INTERNAL),
    ],
)
def test_failed_call_ends_with_a_status_code_and_the_connection_stays_usable(
    path: str, code: grpc.StatusCode
) -> None:
    def scenario(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as caught:
            channel.unary_unary(path)(b"")
        assert caught.value.code() is code
        assert channel.unary_unary("/t/echo")(b"still there") == b"still there"

    run_grpcio_client(scenario)


def test_call_past_its_deadline_ends_with_deadline_exceeded() -> None:
    def scenario(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as caught:
            channel.unary_unary("/t/slow")(b"", timeout=0.1)
        assert caught.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED

    run_grpcio_client(scenario)


def test_client_calls_a_grpcio_server() -> None:
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

    async def scenario() -> None:
        channel = Channel("127.0.0.1", port)
        await channel.connect(2.0)
        call = channel.start("/g/echo", (("x-a", "b"),), 5.0)
        await call.write(b"a" * 500_000)
        await call.write(b"b", end=True)
        assert [len(m) async for m in read_all(call)] == [500_000, 1]
        assert call.ending is Ending.STATUS and call.status is not None and call.status.ok
        with pytest.raises(RpcError) as caught:
            await channel.unary("/g/fail", b"")
        assert caught.value.status == Status(Code.NOT_FOUND, "no such thing")
        assert await channel.ping(2.0)
        channel.close()

    try:
        run_with_timeout(scenario)
    finally:
        server.stop(None)


async def read_all(call: object):
    while (message := await call.read()) is not None:  # type: ignore[attr-defined]
        yield message


def test_server_handles_a_cancel_before_it_acknowledges_a_later_ping() -> None:
    """The dispatcher takes the acknowledgement of the PING as proof that the engine received the cancel."""

    async def scenario() -> None:
        notifications: list[str] = []

        async def wait(call: ServerCall) -> None:
            call.on_abandoned = lambda: notifications.append("gone")
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
        assert notifications == ["gone"]
        server.close()

    run_with_timeout(scenario)


def test_call_cancelled_before_its_headers_are_sent_is_unprocessed() -> None:
    async def scenario() -> None:
        with running_server() as (_, port):
            channel = Channel("127.0.0.1", port)
            await channel.connect(2.0)
            call = channel.start("/t/slow")
            assert not call.cancel() and call.ending is Ending.UNPROCESSED
            assert await channel.ping(2.0)

    run_with_timeout(scenario)


def test_lost_connection_ends_its_calls() -> None:
    async def scenario() -> None:
        with running_server() as (server, port):
            channel = Channel("127.0.0.1", port)
            await channel.connect(2.0)
            call = channel.start("/t/slow")
            await channel.ping(2.0)
            server.close()
            assert await call.read() is None
            assert call.ending is Ending.LOST
            assert not channel.usable

    run_with_timeout(scenario)


def test_writer_is_blocked_while_the_client_does_not_read() -> None:
    """Without back-pressure, the memory of the server would grow with the size of the result."""

    async def scenario() -> None:
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
        written_before_reading = written
        assert written_before_reading < 30  # 3 MB of the 100 MB
        for _ in range(50):
            assert await call.read() is not None
        for _ in range(20):
            await channel.ping(2.0)
        assert written_before_reading < written < written_before_reading + 60
        call.cancel()
        server.close()

    run_with_timeout(scenario)


def test_unread_response_is_dropped_at_the_deadline() -> None:
    """Otherwise an unread response would stay in memory until the connection is closed."""

    async def scenario() -> None:
        async def respond(call: ServerCall) -> None:
            for _ in range(20):
                call.write_now(b"x" * 100_000)

        server = Server({"/t/respond": respond})
        sockets = local_sockets("127.0.0.1", 0)
        server.listen(sockets)
        channel = Channel("127.0.0.1", sockets[0].getsockname()[1])
        await channel.connect(2.0)
        call = channel.start("/t/respond", timeout=0.5)
        for _ in range(5):
            await channel.ping(2.0)
        (connection,) = server.connections
        assert connection.transport.http.queued_bytes(call.stream_id) > 0
        while connection.transport.http.streams:
            await asyncio.sleep(0.02)
        server.close()

    run_with_timeout(scenario)


@pytest.mark.parametrize("text", ["5", "S", "-1S", "123456789S", "1e3S", "5x", "٣S", " 5S"])
def test_error_for_a_malformed_timeout_names_the_header(text: str) -> None:
    with pytest.raises(ValueError, match="grpc-timeout"):
        parse_timeout(text)


def test_malformed_timeout_ends_the_call_with_invalid_argument() -> None:
    async def scenario() -> None:
        with running_server() as (_, port):
            channel = Channel("127.0.0.1", port)
            await channel.connect(2.0)
            with pytest.raises(RpcError) as caught:
                await channel.unary("/t/echo", b"x", (("grpc-timeout", "soon"),))
            assert caught.value.status.code is Code.INVALID_ARGUMENT
            assert "grpc-timeout" in caught.value.status.message
            assert await channel.unary("/t/echo", b"x") == b"x"

    run_with_timeout(scenario)


@given(st.floats(1e-6, 1e7))
def test_formatted_timeout_parses_to_the_same_duration(seconds: float) -> None:
    parsed = parse_timeout(format_timeout(seconds).decode())
    assert parsed is not None and abs(parsed - seconds) <= max(1e-6, seconds * 1e-3)


def test_error_for_invalid_base64_names_the_header() -> None:
    with pytest.raises(ValueError, match="x-some-bin"):
        Metadata.from_headers(((b"x-some-bin", b"!!!"),))


@pytest.mark.parametrize("item", [("Upper", "x"), ("x-line", "a\nb"), ("x-umlaut", "ä")])
def test_metadata_that_cannot_be_sent_is_rejected(item: tuple[str, str]) -> None:
    with pytest.raises(ValueError, match="header"):
        to_headers((item,))


def test_status_message_is_percent_encoded() -> None:
    assert dict(status_headers(Status(Code.INTERNAL, "a\n%ü")))[b"grpc-message"] == b"a%0A%25%C3%BC"


MESSAGES = st.lists(st.binary(max_size=300), max_size=12)


@given(MESSAGES, st.lists(st.integers(1, 200), max_size=30), st.booleans())
@settings(deadline=None)
def test_messages_are_reassembled_from_any_chunks(
    messages: list[bytes], chunk_sizes: list[int], is_compressed: bool
) -> None:
    data = b"".join(compressed_message(m) if is_compressed else message_prefix(m) + m for m in messages)
    reader, received, offset = MessageReader(), [], 0
    reader.is_gzip = is_compressed
    for size in [*chunk_sizes, len(data) + 1]:
        received += reader.feed(data[offset : offset + size])
        offset += size
    assert received == messages and reader.buffered_bytes == 0


@given(st.binary(max_size=200))
def test_random_bytes_raise_nothing_but_rpc_error(data: bytes) -> None:
    reader = MessageReader(1_000)
    reader.is_gzip = True
    try:
        reader.feed(data)
    except RpcError:
        return
    assert reader.buffered_bytes <= len(data)


def test_oversized_and_malformed_messages_are_rejected() -> None:
    with pytest.raises(RpcError, match="more than 1000"):
        MessageReader(1_000).feed(struct.pack(">BL", 0, 1_001))
    reader = MessageReader(1_000)
    reader.is_gzip = True
    bomb = gzip.compress(b"\0" * 100_000)
    with pytest.raises(RpcError, match="decompresses"):
        reader.feed(struct.pack(">BL", 1, len(bomb)) + bomb)
    with pytest.raises(RpcError, match="flag"):
        MessageReader().feed(struct.pack(">BL", 7, 0))


def test_connections_beyond_the_limit_are_rejected() -> None:
    async def scenario() -> None:
        with running_server(max_connections=1) as (_, port):
            first, second = Channel("127.0.0.1", port), Channel("127.0.0.1", port)
            await first.connect(2.0)
            assert await first.unary("/t/echo", b"x") == b"x"
            await second.connect(2.0)
            with pytest.raises(RpcError):
                await second.unary("/t/echo", b"x")
            assert await first.unary("/t/echo", b"x") == b"x"

    run_with_timeout(scenario)


def test_peer_without_http2_loses_only_its_own_connection() -> None:
    async def scenario() -> None:
        with running_server() as (_, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b"preface" in await reader.read()  # the GOAWAY frame contains the reason
            channel = Channel("127.0.0.1", port)
            await channel.connect(2.0)
            assert await channel.unary("/t/echo", b"x") == b"x"
            writer.close()

    run_with_timeout(scenario)
