"""An attempt's end says truly whether it may have run: `unsafe` work goes again only if it surely did not."""

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


class RawNode:
    """A compute node's socket, acted on in the middle of a turn of the loop."""

    def __init__(self, receive: int = 0) -> None:
        self.listener = socket.socket()
        if receive:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
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


async def one_link(harness: Harness, node: RawNode) -> UpstreamConnection:
    """Let the node's link come up at a raw node, and give it."""
    from platform_world import member

    await harness.wait_until(lambda: harness.feed.writers)
    harness.feed.send_event(
        2, [member("raw", node.port), member("node-0", harness.compute_nodes[0].port, "draining")]
    )
    await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
    link = harness.server.upstream.pool.select(b"raw", b"first")
    assert link is not None
    await harness.wait_until(lambda: link.is_established)
    node.accept()
    return link


def test_a_reset_in_the_instant_of_the_write_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    """The system took no byte: so an unsafe request may go again. It counted as one that may have run."""

    async def scenario(harness: Harness) -> None:
        node = RawNode()
        told = record_outcomes(harness)
        await one_link(harness, node)
        pour = UpstreamConnection.flush

        def crossed(link: UpstreamConnection) -> None:
            if link.engine == b"raw" and link.has_queued_output:
                node.reset()
                node.listener.close()
                from platform_world import member

                harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port)])
            pour(link)

        monkeypatch.setattr(UpstreamConnection, "flush", crossed)
        client = await harness.client()
        answered = await client.read_answer(client.call("frail", request_id(1)))
        assert set(told[:-1]) == {Outcome.CONNECT_FAILED} and answered == (None, [ROWS, {}])
        node.close()

    run_with_harness(scenario)


def test_what_the_node_cannot_have_whole_never_ran() -> None:
    """Its last bytes are still ours when the connection is reset: half of a command runs nowhere."""

    async def scenario(harness: Harness) -> None:
        node = RawNode(receive=4096)
        told = record_outcomes(harness)
        link = await one_link(harness, node)
        link.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        client = await harness.client()
        body = b"SELECT 1 FROM s_3.t -- " + b"x" * 200_000
        msgid = client.call("frail", request_id(1), body)
        await harness.wait_until(lambda: link.stream.writing())
        from platform_world import member

        harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 3)
        node.reset()
        answered = await client.read_answer(msgid)
        assert told == [Outcome.CONNECT_FAILED, Outcome.OK] and answered == (None, [ROWS, {}])
        node.close()

    run_with_harness(scenario)


def test_what_waits_behind_a_node_that_does_not_read_can_be_taken_back() -> None:
    """Nothing more is handed to a stream that does not get rid of what it has: its client may leave."""

    async def scenario(harness: Harness) -> None:
        node = RawNode(receive=4096)
        link = await one_link(harness, node)
        link.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        first, second = await harness.client(), await harness.client()
        first.call("ask", request_id(1), b"SELECT 1 -- " + b"x" * 100_000)
        await harness.wait_until(lambda: link.stream.writing())
        second.call("ask", request_id(2))
        await harness.wait_until(lambda: len(link.attempts) == 2)
        second.close()
        await harness.wait_until(lambda: len(link.attempts) == 1, 0.1)
        # The node reads on: what it gets is the first alone.
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


def test_more_than_a_stream_may_hold_leaves_piece_by_piece(monkeypatch: pytest.MonkeyPatch) -> None:
    """Statements that waited for one connection were written in one piece, which was too much for it."""

    async def scenario(harness: Harness) -> None:
        free = delay_connections(monkeypatch)
        told = record_outcomes(harness)
        clients = [await harness.client() for _ in range(2)]
        body = b"SELECT 1 FROM s_3.t -- " + b"x" * 200_000
        asked = [
            (one, one.call("frail", request_id(10 * n + m), body))
            for n, one in enumerate(clients)
            for m in range(6)
        ]
        await harness.wait_until(lambda: harness.table_sizes()["connection_attempts"] == 12)
        free.set()
        for one, msgid in asked:
            assert await one.read_answer(msgid) == (None, [ROWS, {}])
        assert told == [Outcome.OK] * 12

    run_with_harness(scenario)


def test_an_answer_before_a_reset_that_a_write_meets_is_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a failed write that closes the stream over answers which are there."""

    async def scenario(harness: Harness) -> None:
        node = RawNode()
        told = record_outcomes(harness)
        link = await one_link(harness, node)
        client = await harness.client()
        first = client.call("frail", request_id(1))
        await harness.wait_until(
            lambda: request_id(1).encode() in link.attempts and link.attempts[request_id(1).encode()].sent_at
        )
        from platform_world import member

        from saffronlane.resp import encode_command

        pour = UpstreamConnection.flush

        def crossed(one: UpstreamConnection) -> None:
            if one is link and link.has_queued_output:
                done = encode_command(request_id(1).encode(), b"DONE", b"sheets=1,toil=5,room=7", ROWS)
                assert node.connection is not None
                node.connection.sendall(done)
                node.reset()
                node.listener.close()
                harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port)])
            pour(one)

        monkeypatch.setattr(UpstreamConnection, "flush", crossed)
        second = client.call("frail", request_id(2))
        assert await client.read_answer(first) == (None, [ROWS, {}])
        assert await client.read_answer(second) == (None, [ROWS, {}])
        assert told.count(Outcome.OK) == 2 and set(told) == {Outcome.OK, Outcome.CONNECT_FAILED}
        node.close()

    run_with_harness(scenario)


def test_a_connection_that_its_node_closes_at_rest_is_no_attempts_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end is there when the fetch is to leave, and only the loop has not read it yet.

    It left, and counted as one that may have run: an unsafe request failed, and its node was blamed.
    """

    async def scenario(harness: Harness) -> None:
        told, pour, crossed = record_outcomes(harness), UpstreamConnection.flush, []
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        (link,) = harness.server.upstream.pool.connections_by_engine[b"node-0"]

        def cross(one: UpstreamConnection) -> None:
            if one is link and one.has_queued_output and not crossed:
                crossed.append(one)
                peer = harness.compute_nodes[0].connections[0]
                peer.writer.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
            pour(one)

        monkeypatch.setattr(UpstreamConnection, "flush", cross)
        assert await client.read_answer(client.call("frail", request_id(2))) == (None, [ROWS, {}])
        assert crossed and told == [Outcome.OK, Outcome.OK]
        assert not harness.server.dispatcher.gateway.engine_registry.engines[b"node-0"].failure_ratio

    run_with_harness(scenario)


def test_a_link_whose_end_its_reader_has_not_seen_is_left_like_any_other() -> None:
    """Its node is removed, or the link is idle, in that instant: the half-close failed there."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        upstream = harness.server.upstream
        (link,) = upstream.pool.connections_by_engine[b"node-0"]
        link.stream.close()  # as where the system told of the node's end in this turn of the loop
        upstream.remove_engine(b"node-0")
        assert await client.read_answer(client.call("ask", request_id(2))) == (None, [ROWS, {}])
        await harness.wait_until(
            lambda: (
                link.lifecycle.is_closed
                and link not in upstream.pool.connections_by_engine.get(b"node-0", ())
            )
        )

    run_with_harness(scenario)


def test_what_is_queued_when_we_close_never_leaves() -> None:
    """It was flushed just before the close, and ended as one that may have run."""

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        upstream = harness.server.upstream
        (link,) = next(iter(upstream.pool.connections_by_engine.values()))
        begin = upstream.begin

        def crossed(attempt: Any) -> None:
            begin(attempt)
            if attempt.connection is link:
                link.abort("spoilt answer")

        upstream.begin = crossed  # type: ignore[method-assign]
        assert await client.read_answer(client.call("frail", request_id(2))) == (None, [ROWS, {}])
        assert told == [Outcome.OK, Outcome.NOT_SENT, Outcome.OK]
        assert [words[1] for words in harness.compute_nodes[0].commands(b"fetch")] == [
            request_id(1).encode(),
            request_id(2).encode(),
        ]

    run_with_harness(scenario)


def test_a_second_answer_does_not_pass_for_the_next_attempts() -> None:
    """`WAIT`, and some time later rows under the same id: when they come, the request is out again there."""
    fetched: list[ComputeNodeConnection] = []

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] != b"fetch":
            return
        fetched.append(peer)
        if len(fetched) == 1:
            peer.send(words[1], b"WAIT", b"-", b"")
        else:
            fetched[0].send_result(words[1], b"late\t\t\n")  # on the connection of the first
            await asyncio.sleep(0)
            peer.send_result(words[1])

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        assert await client.read_answer(client.call("ask", request_id(1))) == (None, [ROWS, {}])
        assert len(fetched) == 2

    run_with_harness(scenario, script)


def test_an_unsafe_request_never_has_two_attempts_out() -> None:
    """Its node says nothing for longer than the decisions' patience, and then answers."""
    held: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        msgid = client.call("frail", request_id(1))
        await harness.wait_until(lambda: held)
        await asyncio.sleep(1.5)
        assert len(held) == 1
        held[0][0].send_result(held[0][1])
        assert await client.read_answer(msgid) == (None, [ROWS, {}])

    run_with_harness(scenario, hold_fetches(held), hold_fetches(held))


def test_no_repeat_reaches_a_node_after_its_keys_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its second connection takes as long to come up as the settings allow, and its key is short."""
    services = [one | ({"keyTtl": 1.0} if one["name"] == "load" else {}) for one in SETTINGS["services"]]
    limits = SETTINGS["limits"] | {"connectTimeout": 0.4}
    arrived: list[float] = []
    connect = UpstreamConnection.connect

    async def late(link: UpstreamConnection) -> None:
        if arrived:
            await asyncio.sleep(0.38)
        await connect(link)

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            arrived.append(asyncio.get_running_loop().time())
            if len(arrived) == 1:
                asyncio.get_running_loop().call_later(0.7, peer.abort)
            else:
                peer.send_result(words[1])

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr(UpstreamConnection, "connect", late)
        client = await harness.client()
        error, _ = await client.read_answer(client.call("load", request_id(1), token="t1", obj=request_id(1)))
        assert arrived and arrived[-1] - arrived[0] <= 1.0 + 0.05
        assert error == ["Fault", {}]  # it may have run, and nobody knows its key any more

    run_with_harness(scenario, script, script, settings=SETTINGS | {"services": services, "limits": limits})


def test_a_retired_connection_still_brings_what_it_owes() -> None:
    """Its node moves; the answer to what is out comes on the old connection."""
    held: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        from platform_world import ComputeNode, member

        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        first = client.call("frail", request_id(1))
        await harness.wait_until(lambda: held)
        other = ComputeNode(answer_fetches)
        await other.start()
        harness.compute_nodes.append(other)
        harness.feed.send_event(2, [member("node-0", other.port)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        assert (await client.read_answer(client.call("ask", request_id(2))))[0] is None
        held[0][0].send_result(held[0][1])
        assert await client.read_answer(first) == (None, [ROWS, {}])
        await harness.wait_until(
            lambda: len(harness.server.upstream.pool.connections_by_engine[b"node-0"]) == 1
        )

    run_with_harness(scenario, hold_fetches(held))


def test_a_probe_that_ends_last_closes_a_retired_connection() -> None:
    """It stayed open until it had been idle for long: nobody looked when a probe ended."""

    async def scenario(harness: Harness) -> None:
        upstream = harness.server.upstream
        upstream.probe(b"node-0")
        (link,) = upstream.pool.connections_by_engine[b"node-0"]
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"alive"))
        link.drain("its node has gone")
        assert not link.lifecycle.is_closing
        await harness.wait_until(lambda: not upstream.pool.connections_by_engine, 1.5)

    run_with_harness(scenario, never_answer)
