"""Client connections that close while data is in flight in either direction."""

from __future__ import annotations

import asyncio
import itertools
import socket
from typing import Any

import msgspec
import pytest
import structlog
from platform_world import ROWS, SETTINGS, ComputeNodeConnection, Harness, answer_fetches, running_harness
from tornado.ioloop import IOLoop

from saffronlane.msgpackrpc import Scanner
from saffronlane.platform import managed_connection, stream
from saffronlane.platform.downstream import client_connection, client_timeouts, message_reader
from saffronlane.platform.lifecycle import ConnectionLimits, Phase
from saffronlane.platform.upstream.connection import UpstreamConnection

from .support import (
    SyncClient,
    delay_connections,
    encode_call,
    hold_fetches,
    never_answer,
    paged_results,
    request_id,
    run_with_harness,
    slow_client,
)

INVALID_INPUT = b"\xc1" * 200  # 0xc1 is reserved and begins no message


def decode_messages(data: bytes) -> list[Any]:
    complete_messages, error = Scanner(1_000_000, 10_000).feed(data)
    assert error is None
    return [msgspec.msgpack.decode(message) for message in complete_messages]


def test_a_request_before_invalid_input_is_answered_without_a_reset() -> None:
    """Guards against closing a socket with unread input: the reset overtakes the reply in flight."""

    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream

        async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
            if command[0] == b"fetch":
                # The invalid input has been read, and more of it is sent, before the reply.
                await harness.wait_until(
                    lambda: not any(c.lifecycle.accepts_work for c in downstream.clients)
                )
                client.send(INVALID_INPUT * 50)
                node_connection.send_result(command[1])

        harness.compute_nodes[0].script = script
        client = SyncClient(downstream.port)
        client.send(encode_call(1))
        await harness.wait_until(lambda: downstream.request_count == 1)
        client.send(INVALID_INPUT)
        data, reset = await client.read_to_end()
        assert not reset
        assert decode_messages(data) == [[1, 1, None, [ROWS, {}]]]
        await harness.wait_until(lambda: not downstream.clients)

    run_with_harness(scenario)


def test_too_many_invalid_messages_do_not_suppress_replies() -> None:
    async def scenario(harness: Harness) -> None:
        client = SyncClient(harness.server.downstream.port)
        client.send(
            encode_call(1)
            + b"".join(encode_call(number, "nothing", rid=request_id(number)) for number in range(2, 30))
        )
        data, reset = await client.read_to_end()
        errors_by_id = {reply[1]: reply[2] for reply in decode_messages(data)}
        assert not reset and errors_by_id[1] is None
        assert len(errors_by_id) == 1 + client_connection.MAX_INVALID_MESSAGES

    run_with_harness(scenario)


def test_a_request_received_after_an_idle_close_is_not_dispatched(monkeypatch: pytest.MonkeyPatch) -> None:
    """The request is read after the write side is shut down, so no reply is possible and it must not run."""
    monkeypatch.setattr(client_timeouts, "IDLE_TIMEOUT", 0.05)

    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        client = SyncClient(downstream.port)
        client.send(encode_call(1))
        await harness.wait_until(
            lambda: downstream.request_count == 1 and harness.compute_nodes[0].commands(b"fetch")
        )
        shutdown_write = stream.Stream.shutdown_write

        def send_and_shut_down(client_stream: stream.Stream) -> None:
            client.send(encode_call(2, rid=request_id(2)))
            shutdown_write(client_stream)

        monkeypatch.setattr(stream.Stream, "shutdown_write", send_and_shut_down)
        data, reset = await client.read_to_end()
        assert not reset and [reply[1] for reply in decode_messages(data)] == [1]
        await harness.wait_until(lambda: not downstream.clients)
        assert downstream.request_count == 1 and len(harness.compute_nodes[0].commands(b"fetch")) == 1

    run_with_harness(scenario)


def test_a_request_that_has_already_arrived_prevents_an_idle_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an idle close when a request has arrived that the event loop has not read yet."""

    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        client = SyncClient(downstream.port)
        client.send(encode_call(1))
        await harness.wait_until(lambda: downstream.request_count == 1 and not downstream.has_unsent_replies)
        (connection,) = downstream.clients
        client.send(encode_call(2, rid=request_id(2)))
        # The timeouts are checked before the event loop reads the request.
        connection.check_timeouts(connection.idle_since + client_timeouts.IDLE_TIMEOUT + 1.0)
        connection.idle_since -= 1.0
        monkeypatch.setattr(downstream, "max_clients", 1)
        assert not downstream._has_capacity()
        await harness.wait_until(lambda: downstream.request_count == 2 and not downstream.has_unsent_replies)
        client.close()

    run_with_harness(scenario)


def test_a_slow_reader_receives_complete_replies(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an idle close that cuts off replies which are not written yet."""
    monkeypatch.setattr(client_timeouts, "IDLE_TIMEOUT", 0.3)
    page = (b"x" * 2990 + b"\ty\tz\n") * 2
    pages = 7

    async def scenario(harness: Harness) -> None:
        async with slow_client(harness, 10) as (client, connection):
            assert connection.has_pending_output
            event_loop, data = asyncio.get_running_loop(), b""
            started_at = event_loop.time()
            while len(data) < 10 * pages * len(page):
                if event_loop.time() < started_at + 1.0:  # reads slowly, for longer than the idle timeout
                    await asyncio.sleep(0.02)
                received = await event_loop.sock_recv(
                    client, 2048 if event_loop.time() < started_at + 1.0 else 65_536
                )
                assert received, f"cut after {len(data)} bytes"
                data += received
            while len(decode_messages(data)) < 10:
                data += await event_loop.sock_recv(client, 65_536)
        assert {reply[1] for reply in decode_messages(data)} == set(range(1, 11))

    run_with_harness(scenario, paged_results(page, pages))


def test_a_slow_reader_receives_all_results_of_the_allowed_requests() -> None:
    """Guards against an output limit of 1 MiB, at which a connection was closed and 32 results were lost."""
    page = (b"x" * 2985 + b"\ty\tz\n") * 2

    async def scenario(harness: Harness) -> None:
        async with slow_client(harness, 32) as (client, connection):
            assert connection.backlog > 1_048_576
            event_loop, data = asyncio.get_running_loop(), b""
            while len(decode_messages(data)) < 32:
                received = await event_loop.sock_recv(client, 1_000_000)
                assert received, f"cut after {len(data)} bytes"
                data += received
        assert all(reply[2] is None for reply in decode_messages(data))

    run_with_harness(scenario, paged_results(page, 8))


def test_unread_replies_of_all_clients_together_are_limited() -> None:
    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        clients = [await harness.client() for _ in range(3)]
        await harness.wait_until(lambda: len(downstream.clients) == 3)
        for connection, size in zip(downstream.clients, (10, 300_000, 20), strict=True):
            connection.stream._total_write_index += size
        downstream._max_unread_bytes = 1000.0
        downstream._sweep_timer.cancel()
        downstream._on_sweep_due()
        assert len(downstream.clients) == 2 and all(
            connection.backlog < 100 for connection in downstream.clients
        )
        assert clients

    run_with_harness(scenario)


def test_an_exception_in_one_message_does_not_affect_other_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        decode = downstream.decoder.decode

        def fail_second(received_call: Any) -> Any:
            if received_call.id == 2:
                raise RuntimeError("injected failure")
            return decode(received_call)

        monkeypatch.setattr(downstream.decoder, "decode", fail_second)
        client = SyncClient(downstream.port)
        client.send(encode_call(1) + encode_call(2, rid=request_id(2)))
        data, reset = await client.read_to_end()
        assert not reset and decode_messages(data) == [[1, 1, None, [ROWS, {}]]]

    run_with_harness(scenario)


def test_a_health_check_restarts_the_idle_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        client = await harness.client()
        await harness.wait_until(lambda: downstream.clients)
        (connection,) = downstream.clients
        connection.idle_since -= 100.0
        client.send_raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.read_answer(1) == (None, [True, {}])
        assert connection.idle_since > connection.loop.time() - 10.0

    run_with_harness(scenario)


def test_a_client_that_reads_nothing_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Unread replies must not keep the connection open, nor delay the end of the process."""
    monkeypatch.setattr(
        client_timeouts, "CONNECTION_LIMITS", client_timeouts.ConnectionLimits(stall_timeout=0.4)
    )
    page = (b"x" * 2990 + b"\ty\tz\n") * 2

    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        async with slow_client(harness, 10):
            await harness.wait_until(lambda: not downstream.clients, 3.0)

    run_with_harness(scenario, paged_results(page, 7))


def test_a_flood_of_input_aborts_a_closing_connection() -> None:
    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        client = SyncClient(downstream.port)
        client.socket.setblocking(False)
        event_loop = asyncio.get_running_loop()
        await event_loop.sock_sendall(client.socket, INVALID_INPUT)
        await harness.wait_until(lambda: any(c.lifecycle.is_closing for c in downstream.clients))
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(5.0):
                while True:
                    await event_loop.sock_sendall(client.socket, INVALID_INPUT * 300)
        assert not downstream.clients

    run_with_harness(scenario)


# --- disconnected clients ---

CAN_CANCEL_VALUES = [True, False]


def settings_with_cancel(can_cancel: bool) -> dict[str, Any]:
    return SETTINGS | {"limits": SETTINGS["limits"] | {"cancel": can_cancel, "connectTimeout": 2.0}}


async def check_nothing_dispatched(
    harness: Harness, may_connect: asyncio.Event, timeout: float = 0.1
) -> None:
    """Check that no state of the requests remains after the timeout, and that none of them is dispatched."""
    await harness.wait_until(lambda: not any(harness.table_sizes().values()), timeout)
    may_connect.set()
    probe_client = await harness.client()
    assert (await probe_client.read_answer(probe_client.call("ask", "f" * 16)))[0] is None
    fetched_ids = [
        command[1] for compute_node in harness.compute_nodes for command in compute_node.commands(b"fetch")
    ]
    assert fetched_ids == [b"f" * 16]


@pytest.mark.parametrize("can_cancel", CAN_CANCEL_VALUES)
@pytest.mark.parametrize("ending", ["close", "reset", "forget"])
def test_a_request_waiting_for_a_connection_is_dropped_when_its_client_disconnects(
    ending: str, can_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against dispatching the request on the established connection if cancels are forbidden."""

    async def scenario(harness: Harness) -> None:
        may_connect = delay_connections(monkeypatch)
        client = SyncClient(harness.server.downstream.port)
        client.send(encode_call(1))
        await harness.wait_until(lambda: harness.table_sizes()["connection_attempts"])
        if ending == "forget":
            client.send(msgspec.msgpack.encode([2, "forget", [1]]))
        else:
            client.reset() if ending == "reset" else client.close()
        await check_nothing_dispatched(harness, may_connect)

    run_with_harness(scenario, settings=settings_with_cancel(can_cancel))


@pytest.mark.parametrize("can_cancel", CAN_CANCEL_VALUES)
@pytest.mark.parametrize("ending", ["close", "forget"])
def test_a_disconnection_after_an_invalid_message_is_detected_at_once(
    ending: str, can_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a read pause of 0.25 s after an invalid message. Requests were dispatched during it."""

    async def scenario(harness: Harness) -> None:
        may_connect = delay_connections(monkeypatch)
        client = SyncClient(harness.server.downstream.port)
        client.send(encode_call(1) + encode_call(2, "nothing", rid=request_id(2)))
        await harness.wait_until(
            lambda: (
                harness.server.downstream.invalid_message_count == 1
                and harness.table_sizes()["connection_attempts"]
            )
        )
        client.send(msgspec.msgpack.encode([2, "forget", [1]])) if ending == "forget" else client.close()
        await check_nothing_dispatched(harness, may_connect)

    run_with_harness(scenario, settings=settings_with_cancel(can_cancel))


@pytest.mark.parametrize("can_cancel", CAN_CANCEL_VALUES)
def test_requests_are_dropped_when_a_thousand_clients_disconnect_at_once(
    can_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(harness: Harness) -> None:
        may_connect = delay_connections(monkeypatch)
        downstream = harness.server.downstream
        clients = []
        for number in range(1000):
            clients.append(SyncClient(downstream.port))
            clients[-1].send(encode_call(1, rid=request_id(number)))
            if number % 50 == 49:
                await harness.wait_until(lambda number=number: downstream.request_count == number + 1)  # type: ignore[misc]
        await harness.wait_until(lambda: harness.table_sizes()["connection_attempts"])
        for client in clients:
            client.close()
        await check_nothing_dispatched(harness, may_connect, 5.0)

    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4096}
    run_with_harness(scenario, settings=settings_with_cancel(can_cancel), limits=limits)


def test_a_request_that_arrives_together_with_a_disconnection_is_not_dispatched() -> None:
    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        for number in range(20):
            client = SyncClient(downstream.port)
            client.send(encode_call(1, rid=request_id(number)))
            client.close()  # the request and the end arrive before the next turn of the event loop
        await harness.wait_until(lambda: downstream.accepted_count == 20 and not downstream.clients)
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))
        assert not harness.compute_nodes[0].commands(b"fetch")

    run_with_harness(scenario)


def test_a_request_is_not_retried_after_its_client_disconnects() -> None:
    """The first attempt fails in the turn of the event loop in which its client disconnects."""

    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream

        async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
            if command[0] == b"fetch":
                client.close()
                node_connection.send(command[1], b"BROKE", b"-", b"")

        for compute_node in harness.compute_nodes:
            compute_node.script = script
        client = SyncClient(downstream.port)
        client.send(encode_call(1))
        await harness.wait_until(lambda: downstream.request_count == 1 and not downstream.clients)
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))
        assert sum(len(compute_node.commands(b"fetch")) for compute_node in harness.compute_nodes) == 1

    run_with_harness(scenario, answer_fetches, answer_fetches)


@pytest.mark.parametrize(
    "ending", ["close", "reset", "forget", "forget, read", "forget, told", "close, late"]
)
def test_a_cancellation_just_before_the_flush_prevents_the_dispatch(
    ending: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client disconnects or cancels after its attempt was queued and before the attempt is sent.

    Guards against an event loop that sends queued attempts before it reads the input of their clients, even
    if this input arrived long before because the loop runs late.
    """

    async def scenario(harness: Harness) -> None:
        flush, flushed_connections = UpstreamConnection.flush, []
        client = SyncClient(harness.server.downstream.port)
        if ending.startswith("forget"):
            client.send(encode_call(9, rid=request_id(9)))
            await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"fetch"))

        def end_and_flush(upstream_connection: UpstreamConnection) -> None:
            if request_id(1).encode() in upstream_connection.attempts and not flushed_connections:
                flushed_connections.append(upstream_connection)
                if ending == "close":
                    client.close()
                elif ending == "close, late":  # a few turns later, while the input sent above is being read
                    client.send(encode_call(2, rid=request_id(3))[:20])
                    event_loop = asyncio.get_running_loop()
                    event_loop.call_soon(event_loop.call_soon, event_loop.call_soon, client.close)
                elif ending == "reset":
                    client.reset()
                elif ending != "forget, told":
                    client.send(msgspec.msgpack.encode([2, "forget", [1]]))
                (connection,) = harness.server.downstream.clients
                if "told" in ending:  # already processed; the dispatcher runs later in this turn
                    connection.receive(msgspec.msgpack.encode([2, "forget", [1]]))
                if "read" in ending:  # read from the socket, but not processed yet
                    connection.stream._handle_events(connection.stream.fileno(), IOLoop.READ)
            flush(upstream_connection)

        monkeypatch.setattr(UpstreamConnection, "flush", end_and_flush)
        client.send(encode_call(1, rid=request_id(1)))
        await harness.wait_until(
            lambda: flushed_connections and not harness.table_sizes()["connection_attempts"]
        )
        other_client = await harness.client()
        assert (await other_client.read_answer(other_client.call("ask", request_id(2))))[0] is None
        assert request_id(1).encode() not in [
            command[1] for command in harness.compute_nodes[0].commands(b"fetch")
        ]
        assert not any(harness.table_sizes().values())

    run_with_harness(scenario)


def test_a_reply_queued_just_before_a_timeout_check_is_not_stalled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stall time that counts from before the reply was queued. A connection older than the
    stall timeout was then closed at its first reply, with all its open requests."""

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr(client_timeouts, "CONNECTION_LIMITS", ConnectionLimits(stall_timeout=0.2))
        had_pending_output, client = [], await harness.client()
        waiting_id = client.call("ask", request_id(2))
        await harness.wait_until(lambda: held_fetches)
        (connection,) = harness.server.downstream.clients
        await harness.wait_until(lambda: connection.loop.time() > connection.opened_at + 0.3)
        write = connection.write

        def write_and_check(data: bytes) -> None:
            write(data)
            had_pending_output.append(connection.has_pending_output)
            connection.check_timeouts(connection.loop.time())

        monkeypatch.setattr(connection, "write", write_and_check)
        message_id = client.call("ask", request_id(3))
        assert await client.read_answer(message_id) == (None, [ROWS, {}])
        held_fetches[0][0].send_result(held_fetches[0][1])
        assert await client.read_answer(waiting_id) == (None, [ROWS, {}])
        assert had_pending_output == [True, True]

    held_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[:2] == [b"fetch", request_id(2).encode()]:
            held_fetches.append((node_connection, command[1]))
        elif command[0] == b"fetch":
            node_connection.send_result(command[1])

    run_with_harness(scenario, script)


def reset_before_read(connection: client_connection.ClientConnection, client: SyncClient) -> None:
    """Reset a connection from the client. Its stream is closed, but its reader has not been called yet."""
    client.reset()
    connection.stream._handle_events(connection.stream.fileno(), IOLoop.READ)
    assert connection.stream.closed() and not connection.lifecycle.is_closed


def test_a_reset_that_is_not_processed_at_shutdown_does_not_affect_other_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a half-close that fails while the process ends, so that other connections are reset."""

    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        reset_client, idle_client = SyncClient(downstream.port), SyncClient(downstream.port)
        for number, client in enumerate((reset_client, idle_client)):
            client.send(encode_call(1, rid=request_id(number)))
        await harness.wait_until(lambda: downstream.request_count == 2 and not downstream.has_unsent_replies)
        drain, reset_address = downstream.drain, reset_client.socket.getsockname()

        def reset_and_drain() -> None:
            (connection,) = (c for c in downstream.clients if c.stream.socket.getpeername() == reset_address)
            reset_before_read(connection, reset_client)
            # The request arrives during the close. Unread input must not reset the reply.
            idle_client.send(encode_call(2, rid=request_id(9)))
            drain()

        monkeypatch.setattr(downstream, "drain", reset_and_drain)
        with structlog.testing.capture_logs() as logs:
            harness.server.stop()
            data, reset = await idle_client.read_to_end()
            async with asyncio.timeout(5.0):
                await harness.server.run()
        assert not reset and decode_messages(data) == [[1, 1, None, [ROWS, {}]]]
        assert not [entry for entry in logs if entry["log_level"] == "error"]

    run_with_harness(scenario)


def test_an_exception_in_draining_one_connection_does_not_affect_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: Harness) -> None:
        downstream = harness.server.downstream
        clients = [SyncClient(downstream.port) for _ in range(3)]
        await harness.wait_until(lambda: len(downstream.clients) == 3)
        first, real_drain = next(iter(downstream.clients)), client_connection.ClientConnection.drain

        def drain(connection: client_connection.ClientConnection, reason: str) -> None:
            if connection is first:
                raise RuntimeError("injected failure")
            real_drain(connection, reason)

        monkeypatch.setattr(client_connection.ClientConnection, "drain", drain)
        harness.server.stop()
        ends = [await client.read_to_end() for client in clients]
        async with asyncio.timeout(5.0):
            await harness.server.run()
        assert [reset for _, reset in ends].count(False) >= 2
        assert harness.server.process.phase is Phase.ENDED

    run_with_harness(scenario)


def test_an_exception_in_one_timeout_check_does_not_end_the_checks(monkeypatch: pytest.MonkeyPatch) -> None:
    """The checks of one client and one engine connection fail. The other connections are still closed."""

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr(client_timeouts, "FIRST_MESSAGE_TIMEOUT", 0.3)
        downstream, upstream = harness.server.downstream, harness.server.upstream
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        (upstream_connection,) = upstream.pool.connections_by_engine[b"node-0"]
        first = SyncClient(downstream.port)
        await harness.wait_until(lambda: len(downstream.clients) == 2)
        failing = [list(downstream.clients)[1], upstream_connection]
        for connection_type, method in (
            (client_connection.ClientConnection, "check_timeouts"),
            (UpstreamConnection, "check_timeouts"),
        ):
            real_check = getattr(connection_type, method)

            def check_or_fail(connection: Any, *arguments: Any, real_check: Any = real_check) -> None:
                if connection in failing:
                    raise RuntimeError("injected failure")
                real_check(connection, *arguments)

            monkeypatch.setattr(connection_type, method, check_or_fail)
        second = SyncClient(downstream.port)
        assert (await first.read_to_end(), await second.read_to_end()) == ((b"", False), (b"", False))
        await harness.wait_until(lambda: upstream_connection.lifecycle.is_closed)
        assert await client.read_answer(client.call("ask", request_id(2))) == (None, [ROWS, {}])
        third = SyncClient(downstream.port)
        assert await third.read_to_end() == (b"", False)

    run_with_harness(scenario)


def test_a_connection_with_an_unprocessed_reset_or_request_is_not_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing such a connection before its input is processed."""

    async def scenario(harness: Harness) -> None:
        downstream, now = harness.server.downstream, harness.server._loop.time
        reset_client, requesting_client = SyncClient(downstream.port), SyncClient(downstream.port)
        for number, client in enumerate((reset_client, requesting_client)):
            client.send(encode_call(1, rid=request_id(number)))
        await harness.wait_until(lambda: downstream.request_count == 2 and not downstream.has_unsent_replies)
        await harness.wait_until(lambda: all(now() > c.idle_since + 0.15 for c in downstream.clients))
        reset_address = reset_client.socket.getsockname()
        (connection,) = (c for c in downstream.clients if c.stream.socket.getpeername() == reset_address)
        # The event loop does not run between these lines and the eviction checks.
        reset_before_read(connection, reset_client)
        requesting_client.send(encode_call(2, rid=request_id(3)))
        assert not downstream.evict_now() and downstream.eviction.graceful_candidate(now()) is None
        for client in list(downstream.clients):
            downstream._evict_if_idle(client)
            client._drain_idle()
        requesting_client.socket.settimeout(5.0)
        await harness.wait_until(lambda: downstream.request_count == 3 and not downstream.has_unsent_replies)
        requesting_client.socket.shutdown(socket.SHUT_WR)
        data, reset = await requesting_client.read_to_end()
        assert not reset and [message[1] for message in decode_messages(data)] == [1, 2]

    run_with_harness(scenario)


def test_a_silent_connection_with_an_unprocessed_request_is_not_evicted() -> None:
    async def scenario(harness: Harness) -> None:
        downstream, now = harness.server.downstream, harness.server._loop.time
        client = SyncClient(downstream.port)
        await harness.wait_until(lambda: downstream.clients)
        await harness.wait_until(lambda: all(now() > c.opened_at + 0.1 for c in downstream.clients))
        client.send(encode_call(1, rid=request_id(1)))
        assert not downstream.evict_now() and downstream.eviction.graceful_candidate(now()) is None
        await harness.wait_until(lambda: downstream.request_count == 1 and not downstream.has_unsent_replies)
        client.close()

    run_with_harness(scenario)


def test_a_client_that_sends_continuously_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """A command waits until its client's input has been read, but is sent even if more always arrives."""

    async def scenario(harness: Harness) -> None:
        client, sent_ids = SyncClient(harness.server.downstream.port), [1]
        flush = UpstreamConnection.flush

        def send_and_flush(upstream_connection: UpstreamConnection) -> None:
            if upstream_connection.has_queued_output and sent_ids[-1] < 20:
                sent_ids.append(sent_ids[-1] + 1)
                client.send(encode_call(sent_ids[-1], rid=request_id(sent_ids[-1])))
            flush(upstream_connection)

        monkeypatch.setattr(UpstreamConnection, "flush", send_and_flush)
        client.send(encode_call(1, rid=request_id(1)))
        await harness.wait_until(
            lambda: harness.server.downstream.request_count == 20 and not any(harness.table_sizes().values())
        )
        client.socket.shutdown(socket.SHUT_WR)
        data, reset = await client.read_to_end()
        assert not reset and sorted(reply[1] for reply in decode_messages(data)) == sent_ids
        assert all(reply[2:] == [None, [ROWS, {}]] for reply in decode_messages(data))

    run_with_harness(scenario)


def test_a_connection_with_continuous_input_does_not_block_the_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reading a connection repeatedly without a turn for other callbacks."""

    async def scenario() -> None:
        async with running_harness(never_answer) as harness:
            downstream = harness.server.downstream
            flood = SyncClient(downstream.port)
            await harness.wait_until(lambda: downstream.clients)
            (connection,) = downstream.clients
            inputs: list[int] = []
            data = msgspec.msgpack.encode([0, 1, "isWell", [{}]])

            def receive_and_resend(self: managed_connection.ManagedConnection, received: bytes) -> None:
                if len(inputs) < 200:
                    flood.send(data)  # the next input arrives before this input is processed
                inputs.append(len(inputs))

            monkeypatch.setattr(type(connection), "receive", receive_and_resend)
            input_counts: list[int] = []

            def record_input_count() -> None:
                input_counts.append(len(inputs))
                if len(inputs) < 200:
                    asyncio.get_running_loop().call_soon(record_input_count)

            record_input_count()
            flood.send(data)
            await harness.wait_until(lambda: len(inputs) > 200)
            assert max(later - earlier for earlier, later in itertools.pairwise(input_counts)) <= 3
            flood.close()

    asyncio.run(scenario())


def test_a_message_that_pauses_while_a_request_is_open_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that is swallowed: its second half was dropped until the first one's reply."""
    monkeypatch.setattr(message_reader, "RECEIVE_TIMEOUT", 0.2)
    held_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send_raw(encode_call(1, rid=request_id(1)))
        await harness.wait_until(lambda: held_fetches)
        later_call = encode_call(2, rid=request_id(2))
        client.send_raw(later_call[:40])
        await asyncio.sleep(1.0)
        client.send_raw(later_call[40:])
        await harness.wait_until(lambda: len(held_fetches) == 2)
        for connection, held_id in held_fetches:
            connection.send_result(held_id)
        assert await client.read_answer(1) == (None, [ROWS, {}])
        assert await client.read_answer(2) == (None, [ROWS, {}])

    run_with_harness(scenario, hold_fetches(held_fetches), hold_fetches(held_fetches))


def test_a_message_that_pauses_after_the_last_reply_ends_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time for the rest of the message begins with the reply; then the connection says that it ends."""
    monkeypatch.setattr(message_reader, "RECEIVE_TIMEOUT", 0.5)

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send_raw(encode_call(1, rid=request_id(1)) + encode_call(2, rid=request_id(2))[:40])
        assert await client.read_answer(1) == (None, [ROWS, {}])
        replied_at = asyncio.get_running_loop().time()
        await client.wait_closed()
        assert asyncio.get_running_loop().time() >= replied_at + 0.4

    run_with_harness(scenario)
