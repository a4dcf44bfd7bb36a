"""Outcomes show whether an attempt may have run. An unsafe request is retried only if none can have run."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest
from platform_world import ROWS, SETTINGS, ComputeNodeConnection, Harness, answer_fetches

from saffronlane.interface import Outcome
from saffronlane.platform.upstream.connection import UpstreamConnection

from .support import (
    delay_connections,
    hold_fetches,
    never_answer,
    record_outcomes,
    request_id,
    run_with_harness,
)


class SyncComputeNode:
    """A compute node whose sockets are used synchronously, in the middle of an event-loop iteration.

    Tests use it to force a race with what the server does in the same iteration.
    """

    def __init__(self, receive_buffer_bytes: int = 0) -> None:
        self.listener = socket.socket()
        if receive_buffer_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.port = self.listener.getsockname()[1]
        self.connection: socket.socket | None = None

    def accept(self) -> socket.socket:
        self.listener.settimeout(5.0)
        self.connection, _ = self.listener.accept()
        return self.connection

    def reset(self) -> None:
        assert self.connection is not None
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.connection.close()

    def close(self) -> None:
        self.listener.close()
        if self.connection is not None:
            self.connection.close()


async def connect_to(harness: Harness, node: SyncComputeNode) -> UpstreamConnection:
    """Make this compute node the only one in use, and return an established connection to it."""
    from platform_world import member

    await harness.wait_until(lambda: harness.feed.writers)
    harness.feed.send_event(
        2, [member("raw", node.port), member("node-0", harness.compute_nodes[0].port, "draining")]
    )
    await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
    connection = harness.server.upstream.pool.select(b"raw", b"first")
    assert connection is not None
    await harness.wait_until(lambda: connection.is_established)
    node.accept()
    return connection


def test_unsafe_request_is_retried_if_the_connection_is_reset_just_before_the_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel accepted no byte, so the request did not run.

    Guards against counting it as a request that may have run.
    """

    async def scenario(harness: Harness) -> None:
        node = SyncComputeNode()
        outcomes = record_outcomes(harness)
        await connect_to(harness, node)
        flush = UpstreamConnection.flush

        def reset_before_flush(connection: UpstreamConnection) -> None:
            if connection.engine == b"raw" and connection.has_queued_output:
                node.reset()
                node.listener.close()
                from platform_world import member

                harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port)])
            flush(connection)

        monkeypatch.setattr(UpstreamConnection, "flush", reset_before_flush)
        client = await harness.client()
        answer = await client.read_answer(client.call("frail", request_id(1)))
        assert set(outcomes[:-1]) == {Outcome.CONNECT_FAILED} and answer == (None, [ROWS, {}])
        node.close()

    run_with_harness(scenario)


def test_unsafe_request_is_retried_if_its_command_was_not_written_completely() -> None:
    """The connection is reset before the last bytes are written, so the command cannot have run."""

    async def scenario(harness: Harness) -> None:
        node = SyncComputeNode(receive_buffer_bytes=4096)
        outcomes = record_outcomes(harness)
        connection = await connect_to(harness, node)
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        client = await harness.client()
        body = b"SELECT 1 FROM s_3.t -- " + b"x" * 200_000
        message_id = client.call("frail", request_id(1), body)
        await harness.wait_until(lambda: connection.stream.writing())
        from platform_world import member

        harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 3)
        node.reset()
        answer = await client.read_answer(message_id)
        assert outcomes == [Outcome.CONNECT_FAILED, Outcome.OK] and answer == (None, [ROWS, {}])
        node.close()

    run_with_harness(scenario)


def test_attempt_queued_for_a_compute_node_that_does_not_read_can_be_withdrawn() -> None:
    """No command is passed to a stream with unwritten bytes, since the command's client may disconnect."""

    async def scenario(harness: Harness) -> None:
        node = SyncComputeNode(receive_buffer_bytes=4096)
        connection = await connect_to(harness, node)
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        first, second = await harness.client(), await harness.client()
        first.call("ask", request_id(1), b"SELECT 1 -- " + b"x" * 100_000)
        await harness.wait_until(lambda: connection.stream.writing())
        second.call("ask", request_id(2))
        await harness.wait_until(lambda: len(connection.attempts) == 2)
        second.close()
        await harness.wait_until(lambda: len(connection.attempts) == 1, 0.1)
        # The compute node resumes reading and receives only the first command.
        assert node.connection is not None
        node.connection.setblocking(False)
        loop, data = asyncio.get_running_loop(), b""
        async with asyncio.timeout(5.0):
            while not data.endswith(b"x\r\n"):
                data += await loop.sock_recv(node.connection, 65_536)
        await asyncio.sleep(0.05)
        with pytest.raises(BlockingIOError):
            node.connection.recv(1)
        assert request_id(2).encode() not in data
        node.close()

    run_with_harness(scenario)


def test_queued_commands_that_exceed_the_write_buffer_are_sent_in_batches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writing all commands that waited for a connection at once, which exceeds its buffer."""

    async def scenario(harness: Harness) -> None:
        may_connect = delay_connections(monkeypatch)
        outcomes = record_outcomes(harness)
        clients = [await harness.client() for _ in range(2)]
        body = b"SELECT 1 FROM s_3.t -- " + b"x" * 200_000
        calls = [
            (client, client.call("frail", request_id(10 * n + m), body))
            for n, client in enumerate(clients)
            for m in range(6)
        ]
        await harness.wait_until(lambda: harness.table_sizes()["connection_attempts"] == 12)
        may_connect.set()
        for client, message_id in calls:
            assert await client.read_answer(message_id) == (None, [ROWS, {}])
        assert outcomes == [Outcome.OK] * 12

    run_with_harness(scenario)


def test_result_that_arrived_before_a_reset_is_used_if_a_write_detects_the_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a failed write that closes the stream and loses responses that have arrived."""

    async def scenario(harness: Harness) -> None:
        node = SyncComputeNode()
        outcomes = record_outcomes(harness)
        connection = await connect_to(harness, node)
        client = await harness.client()
        first = client.call("frail", request_id(1))
        await harness.wait_until(
            lambda: (
                request_id(1).encode() in connection.attempts
                and connection.attempts[request_id(1).encode()].sent_at
            )
        )
        from platform_world import member

        from saffronlane.resp import encode_command

        flush = UpstreamConnection.flush

        def reset_before_flush(flushed_connection: UpstreamConnection) -> None:
            if flushed_connection is connection and connection.has_queued_output:
                response = encode_command(request_id(1).encode(), b"DONE", b"sheets=1,toil=5,room=7", ROWS)
                assert node.connection is not None
                node.connection.sendall(response)
                node.reset()
                node.listener.close()
                harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port)])
            flush(flushed_connection)

        monkeypatch.setattr(UpstreamConnection, "flush", reset_before_flush)
        second = client.call("frail", request_id(2))
        assert await client.read_answer(first) == (None, [ROWS, {}])
        assert await client.read_answer(second) == (None, [ROWS, {}])
        assert outcomes.count(Outcome.OK) == 2 and set(outcomes) == {Outcome.OK, Outcome.CONNECT_FAILED}
        node.close()

    run_with_harness(scenario)


def test_attempt_moves_to_a_new_connection_if_the_compute_node_closed_the_idle_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of stream has arrived when the command is about to be sent, and the event loop has not read it.

    Guards against sending the command nevertheless. The attempt then counted as one that may have run, so an
    unsafe request failed, and the failure was attributed to its compute node.
    """

    async def scenario(harness: Harness) -> None:
        outcomes, flush, closed_connections = record_outcomes(harness), UpstreamConnection.flush, []
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        (connection,) = harness.server.upstream.pool.connections_by_engine[b"node-0"]

        def close_before_flush(flushed_connection: UpstreamConnection) -> None:
            if (
                flushed_connection is connection
                and flushed_connection.has_queued_output
                and not closed_connections
            ):
                closed_connections.append(flushed_connection)
                node_connection = harness.compute_nodes[0].connections[0]
                node_connection.writer.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
            flush(flushed_connection)

        monkeypatch.setattr(UpstreamConnection, "flush", close_before_flush)
        assert await client.read_answer(client.call("frail", request_id(2))) == (None, [ROWS, {}])
        assert closed_connections and outcomes == [Outcome.OK, Outcome.OK]
        assert not harness.server.dispatcher.gateway.engine_registry.engines[b"node-0"].failure_ratio

    run_with_harness(scenario)


def test_connection_drains_if_its_stream_closed_before_the_reader_noticed() -> None:
    """The compute node is removed after the stream has closed and before the reader task runs.

    Guards against a failure of the half-close, which needs an open stream.
    """

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        upstream = harness.server.upstream
        (connection,) = upstream.pool.connections_by_engine[b"node-0"]
        connection.stream.close()  # as if its end had been detected in this event-loop iteration
        upstream.remove_engine(b"node-0")
        assert await client.read_answer(client.call("ask", request_id(2))) == (None, [ROWS, {}])
        await harness.wait_until(
            lambda: (
                connection.lifecycle.is_closed
                and connection not in upstream.pool.connections_by_engine.get(b"node-0", ())
            )
        )

    run_with_harness(scenario)


def test_command_queued_when_the_server_aborts_the_connection_is_not_sent() -> None:
    """Guards against a flush just before the close, after which the attempt counted as possibly run."""

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        upstream = harness.server.upstream
        (connection,) = next(iter(upstream.pool.connections_by_engine.values()))
        begin = upstream.begin

        def begin_then_abort(attempt: Any) -> None:
            begin(attempt)
            if attempt.connection is connection:
                connection.abort("invalid response")

        upstream.begin = begin_then_abort  # type: ignore[method-assign]
        assert await client.read_answer(client.call("frail", request_id(2))) == (None, [ROWS, {}])
        assert outcomes == [Outcome.OK, Outcome.NOT_SENT, Outcome.OK]
        assert [command[1] for command in harness.compute_nodes[0].commands(b"fetch")] == [
            request_id(1).encode(),
            request_id(2).encode(),
        ]

    run_with_harness(scenario)


def test_second_response_to_an_attempt_is_not_used_for_the_next_attempt() -> None:
    """A compute node rejects a request, and sends rows with its id later, when the retry is in flight."""
    fetch_connections: list[ComputeNodeConnection] = []

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] != b"fetch":
            return
        fetch_connections.append(connection)
        if len(fetch_connections) == 1:
            connection.send(command[1], b"WAIT", b"-", b"")
        else:
            fetch_connections[0].send_result(
                command[1], b"late\t\t\n"
            )  # on the connection of the first attempt
            await asyncio.sleep(0)
            connection.send_result(command[1])

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        assert await client.read_answer(client.call("ask", request_id(1))) == (None, [ROWS, {}])
        assert len(fetch_connections) == 2

    run_with_harness(scenario, script)


def test_unsafe_request_never_has_two_attempts_in_flight() -> None:
    """The compute node answers only after the time at which a hedged request could be sent."""
    held_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        message_id = client.call("frail", request_id(1))
        await harness.wait_until(lambda: held_fetches)
        await asyncio.sleep(1.5)
        assert len(held_fetches) == 1
        held_fetches[0][0].send_result(held_fetches[0][1])
        assert await client.read_answer(message_id) == (None, [ROWS, {}])

    run_with_harness(scenario, hold_fetches(held_fetches), hold_fetches(held_fetches))


def test_no_retry_reaches_a_compute_node_after_the_idempotency_key_has_expired(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The key expires soon, and the connection for the retry takes almost the whole connect timeout."""
    services = [
        service | ({"keyTtl": 1.0} if service["name"] == "load" else {}) for service in SETTINGS["services"]
    ]
    limits = SETTINGS["limits"] | {"connectTimeout": 0.4}
    fetch_times: list[float] = []
    connect = UpstreamConnection.connect

    async def connect_slowly(connection: UpstreamConnection) -> None:
        if fetch_times:
            await asyncio.sleep(0.38)
        await connect(connection)

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            fetch_times.append(asyncio.get_running_loop().time())
            if len(fetch_times) == 1:
                asyncio.get_running_loop().call_later(0.7, connection.abort)
            else:
                connection.send_result(command[1])

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr(UpstreamConnection, "connect", connect_slowly)
        client = await harness.client()
        error, _ = await client.read_answer(client.call("load", request_id(1), token="t1", obj=request_id(1)))
        assert fetch_times and fetch_times[-1] - fetch_times[0] <= 1.0 + 0.05
        assert error == ["Fault", {}]  # it may have run, and its key has expired

    run_with_harness(scenario, script, script, settings=SETTINGS | {"services": services, "limits": limits})


def test_draining_connection_delivers_the_responses_to_its_attempts() -> None:
    """The compute node's address changes while an attempt is in flight on the old connection."""
    held_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        from platform_world import ComputeNode, member

        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        first = client.call("frail", request_id(1))
        await harness.wait_until(lambda: held_fetches)
        moved_node = ComputeNode(answer_fetches)
        await moved_node.start()
        harness.compute_nodes.append(moved_node)
        harness.feed.send_event(2, [member("node-0", moved_node.port)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        assert (await client.read_answer(client.call("ask", request_id(2))))[0] is None
        held_fetches[0][0].send_result(held_fetches[0][1])
        assert await client.read_answer(first) == (None, [ROWS, {}])
        await harness.wait_until(
            lambda: len(harness.server.upstream.pool.connections_by_engine[b"node-0"]) == 1
        )

    run_with_harness(scenario, hold_fetches(held_fetches))


def test_draining_connection_closes_when_its_last_probe_ends() -> None:
    """Guards against a connection that stays open until the idle timeout after its last probe has ended."""

    async def scenario(harness: Harness) -> None:
        upstream = harness.server.upstream
        upstream.probe(b"node-0")
        (connection,) = upstream.pool.connections_by_engine[b"node-0"]
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"alive"))
        connection.drain("engine removed")
        assert not connection.lifecycle.is_closing
        await harness.wait_until(lambda: not upstream.pool.connections_by_engine, 1.5)

    run_with_harness(scenario, never_answer)
