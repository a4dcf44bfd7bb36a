"""Connections of clients that close in the instant in which something crosses."""

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
from saffronlane.platform import managed_connection as endpoint
from saffronlane.platform import stream
from saffronlane.platform.downstream import client_connection as connection
from saffronlane.platform.lifecycle import ConnectionLimits, Phase
from saffronlane.platform.upstream.connection import UpstreamConnection

from .support import (
    SyncClient,
    delay_connections,
    encode_call,
    never_answer,
    paged_results,
    request_id,
    run_with_harness,
    slow_client,
)

NOISE = b"\xc1" * 200  # no message begins so


def messages(data: bytes) -> list[Any]:
    found, error = Scanner(1_000_000, 10_000).feed(data)
    assert error is None
    return [msgspec.msgpack.decode(message) for message in found]


def test_a_request_before_noise_is_answered_whole_and_nothing_is_reset() -> None:
    """Guards against closing over unread bytes: the reset overtakes the answer that is on its way."""

    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream

        async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
            if words[0] == b"fetch":
                # The noise is there, and more of it, before the answer comes.
                await harness.wait_until(lambda: not any(c.lifecycle.accepts_work for c in front.clients))
                client.send(NOISE * 50)
                peer.send_result(words[1])

        harness.compute_nodes[0].script = script
        client = SyncClient(front.port)
        client.send(encode_call(1))
        await harness.wait_until(lambda: front.request_count == 1)
        client.send(NOISE)
        data, reset = await client.read_to_end()
        assert not reset
        assert messages(data) == [[1, 1, None, [ROWS, {}]]]
        await harness.wait_until(lambda: not front.clients)

    run_with_harness(scenario)


def test_too_many_faults_take_no_answer_away() -> None:
    async def scenario(harness: Harness) -> None:
        client = SyncClient(harness.server.downstream.port)
        client.send(
            encode_call(1) + b"".join(encode_call(n, "nothing", rid=request_id(n)) for n in range(2, 30))
        )
        data, reset = await client.read_to_end()
        answers = {told[1]: told[2] for told in messages(data)}
        assert not reset and answers[1] is None
        assert len(answers) == 1 + connection.MAX_INVALID_MESSAGES

    run_with_harness(scenario)


def test_a_request_that_crosses_an_idle_close_is_not_sent_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is read after the shutdown: no answer could be written, so nothing may be done for it."""
    monkeypatch.setattr(connection, "IDLE_TIMEOUT", 0.05)

    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        client = SyncClient(front.port)
        client.send(encode_call(1))
        await harness.wait_until(
            lambda: front.request_count == 1 and harness.compute_nodes[0].commands(b"fetch")
        )
        shut = stream.Stream.shutdown_write

        def cross(one: stream.Stream) -> None:
            client.send(encode_call(2, rid=request_id(2)))
            shut(one)

        monkeypatch.setattr(stream.Stream, "shutdown_write", cross)
        data, reset = await client.read_to_end()
        assert not reset and [told[1] for told in messages(data)] == [1]
        await harness.wait_until(lambda: not front.clients)
        assert front.request_count == 1 and len(harness.compute_nodes[0].commands(b"fetch")) == 1

    run_with_harness(scenario)


def test_a_request_that_is_there_already_puts_the_idle_close_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a close that crosses nothing: the request came before it, and only the loop was late."""

    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        client = SyncClient(front.port)
        client.send(encode_call(1))
        await harness.wait_until(lambda: front.request_count == 1 and not front.has_unsent_replies)
        (one,) = front.clients
        client.send(encode_call(2, rid=request_id(2)))
        one.check_timeouts(one.idle_since + connection.IDLE_TIMEOUT + 1.0)  # before the loop could read it
        one.idle_since -= 1.0
        monkeypatch.setattr(front, "max_clients", 1)
        assert not front._has_capacity()
        await harness.wait_until(lambda: front.request_count == 2 and not front.has_unsent_replies)
        client.close()

    run_with_harness(scenario)


def test_a_slow_reader_gets_its_answers_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an idle close that cuts what the connection still has to write."""
    monkeypatch.setattr(connection, "IDLE_TIMEOUT", 0.3)
    page = (b"x" * 2990 + b"\ty\tz\n") * 2
    pages = 7

    async def scenario(harness: Harness) -> None:
        async with slow_client(harness, 10) as (client, one):
            assert one.has_pending_output
            loop, data = asyncio.get_running_loop(), b""
            began = loop.time()
            while len(data) < 10 * pages * len(page):
                if loop.time() < began + 1.0:  # a little at a time, for longer than idle may last
                    await asyncio.sleep(0.02)
                found = await loop.sock_recv(client, 2048 if loop.time() < began + 1.0 else 65_536)
                assert found, f"cut after {len(data)} bytes"
                data += found
            while len(messages(data)) < 10:
                data += await loop.sock_recv(client, 65_536)
        assert {told[1] for told in messages(data)} == set(range(1, 11))

    run_with_harness(scenario, paged_results(page, pages))


def test_all_that_a_slow_client_may_ask_for_fits() -> None:
    """32 whole results: past 1 MiB the connection was closed, and all of them were lost."""
    page = (b"x" * 2985 + b"\ty\tz\n") * 2

    async def scenario(harness: Harness) -> None:
        async with slow_client(harness, 32) as (client, one):
            assert one.backlog > 1_048_576
            loop, data = asyncio.get_running_loop(), b""
            while len(messages(data)) < 32:
                found = await loop.sock_recv(client, 1_000_000)
                assert found, f"cut after {len(data)} bytes"
                data += found
        assert all(told[2] is None for told in messages(data))

    run_with_harness(scenario, paged_results(page, 8))


def test_answers_that_all_leave_unread_are_bounded_by_the_memory() -> None:
    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        clients = [await harness.client() for _ in range(3)]
        await harness.wait_until(lambda: len(front.clients) == 3)
        for one, size in zip(front.clients, (10, 300_000, 20), strict=True):
            one.stream._total_write_index += size
        front._max_unread_bytes = 1000.0
        front._sweep_timer.cancel()
        front._on_sweep_due()
        assert len(front.clients) == 2 and all(one.backlog < 100 for one in front.clients)
        assert clients

    run_with_harness(scenario)


def test_a_fault_in_handling_one_message_takes_no_other_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        read = front.decoder.decode

        def fails(told: Any) -> Any:
            if told.id == 2:
                raise RuntimeError("a fault in the handling")
            return read(told)

        monkeypatch.setattr(front.decoder, "decode", fails)
        client = SyncClient(front.port)
        client.send(encode_call(1) + encode_call(2, rid=request_id(2)))
        data, reset = await client.read_to_end()
        assert not reset and messages(data) == [[1, 1, None, [ROWS, {}]]]

    run_with_harness(scenario)


def test_a_connection_that_is_asked_whether_it_is_well_is_not_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        client = await harness.client()
        await harness.wait_until(lambda: front.clients)
        (one,) = front.clients
        one.idle_since -= 100.0
        client.send_raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.read_answer(1) == (None, [True, {}])
        assert one.idle_since > one.loop.time() - 10.0

    run_with_harness(scenario)


def test_one_that_reads_nothing_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bounded: answers that nobody reads do not keep the connection, nor the process at its end."""
    monkeypatch.setattr(connection, "CONNECTION_LIMITS", connection.ConnectionLimits(stall_timeout=0.4))
    page = (b"x" * 2990 + b"\ty\tz\n") * 2

    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        async with slow_client(harness, 10):
            await harness.wait_until(lambda: not front.clients, 3.0)

    run_with_harness(scenario, paged_results(page, 7))


def test_a_flood_to_a_closing_connection_ends_it() -> None:
    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        client = SyncClient(front.port)
        client.socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client.socket, NOISE)
        await harness.wait_until(lambda: any(c.lifecycle.is_closing for c in front.clients))
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(5.0):
                while True:
                    await loop.sock_sendall(client.socket, NOISE * 300)
        assert not front.clients

    run_with_harness(scenario)


# --- the client has gone ---

MAY_CANCEL = [True, False]


def may(cancel: bool) -> dict[str, Any]:
    return SETTINGS | {"limits": SETTINGS["limits"] | {"cancel": cancel, "connectTimeout": 2.0}}


async def gone(harness: Harness, free: asyncio.Event, within: float = 0.1) -> None:
    """In time nothing of the requests is left that could still leave; and nothing leaves."""
    await harness.wait_until(lambda: not any(harness.table_sizes().values()), within)
    free.set()
    probe = await harness.client()
    assert (await probe.read_answer(probe.call("ask", "f" * 16)))[0] is None
    fetched = [words[1] for compute in harness.compute_nodes for words in compute.commands(b"fetch")]
    assert fetched == [b"f" * 16]


@pytest.mark.parametrize("cancel", MAY_CANCEL)
@pytest.mark.parametrize("how", ["close", "reset", "forget"])
def test_what_waits_for_a_connection_does_not_leave_for_a_client_that_has_gone(
    how: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where the settings forbid cancelling, what waited was sent when its connection came up."""

    async def scenario(harness: Harness) -> None:
        free = delay_connections(monkeypatch)
        client = SyncClient(harness.server.downstream.port)
        client.send(encode_call(1))
        await harness.wait_until(lambda: harness.table_sizes()["connection_attempts"])
        if how == "forget":
            client.send(msgspec.msgpack.encode([2, "forget", [1]]))
        else:
            client.reset() if how == "reset" else client.close()
        await gone(harness, free)

    run_with_harness(scenario, settings=may(cancel))


@pytest.mark.parametrize("cancel", MAY_CANCEL)
@pytest.mark.parametrize("how", ["close", "forget"])
def test_a_client_that_has_sent_what_is_wrong_is_still_seen_to_go(
    how: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was not read for a quarter of a second after a fault, and its requests were sent meanwhile."""

    async def scenario(harness: Harness) -> None:
        free = delay_connections(monkeypatch)
        client = SyncClient(harness.server.downstream.port)
        client.send(encode_call(1) + encode_call(2, "nothing", rid=request_id(2)))
        await harness.wait_until(
            lambda: (
                harness.server.downstream.invalid_message_count == 1
                and harness.table_sizes()["connection_attempts"]
            )
        )
        client.send(msgspec.msgpack.encode([2, "forget", [1]])) if how == "forget" else client.close()
        await gone(harness, free)

    run_with_harness(scenario, settings=may(cancel))


@pytest.mark.parametrize("cancel", MAY_CANCEL)
def test_a_thousand_clients_leave_at_once(cancel: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: Harness) -> None:
        free = delay_connections(monkeypatch)
        front = harness.server.downstream
        clients = []
        for number in range(1000):
            clients.append(SyncClient(front.port))
            clients[-1].send(encode_call(1, rid=request_id(number)))
            if number % 50 == 49:
                await harness.wait_until(lambda n=number: front.request_count == n + 1)  # type: ignore[misc]
        await harness.wait_until(lambda: harness.table_sizes()["connection_attempts"])
        for client in clients:
            client.close()
        await gone(harness, free, 5.0)

    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4096}
    run_with_harness(scenario, settings=may(cancel), limits=limits)


def test_a_request_that_comes_with_its_connections_end_is_not_sent_on() -> None:
    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        for number in range(20):
            client = SyncClient(front.port)
            client.send(encode_call(1, rid=request_id(number)))
            client.close()  # both are there before the loop's turn
        await harness.wait_until(lambda: front.accepted_count == 20 and not front.clients)
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))
        assert not harness.compute_nodes[0].commands(b"fetch")

    run_with_harness(scenario)


def test_a_retry_does_not_begin_for_a_client_that_has_gone() -> None:
    """The first attempt fails in the turn in which its client leaves."""

    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream

        async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
            if words[0] == b"fetch":
                client.close()
                peer.send(words[1], b"BROKE", b"-", b"")

        for compute in harness.compute_nodes:
            compute.script = script
        client = SyncClient(front.port)
        client.send(encode_call(1))
        await harness.wait_until(lambda: front.request_count == 1 and not front.clients)
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))
        assert sum(len(compute.commands(b"fetch")) for compute in harness.compute_nodes) == 1

    run_with_harness(scenario, answer_fetches, answer_fetches)


@pytest.mark.parametrize("way", ["close", "reset", "forget", "forget, read", "forget, told", "close, late"])
def test_what_a_client_sends_while_the_loop_is_late_is_read_before_its_attempt_leaves(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It goes, or takes its request back, while the decisions take their time: nothing begins after that.

    The loop heard of it only after it had written what those decisions asked for, however late it was.
    """

    async def scenario(harness: Harness) -> None:
        pour, crossed = UpstreamConnection.flush, []
        client = SyncClient(harness.server.downstream.port)
        if way.startswith("forget"):
            client.send(encode_call(9, rid=request_id(9)))
            await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"fetch"))

        def cross(link: UpstreamConnection) -> None:
            if request_id(1).encode() in link.attempts and not crossed:
                crossed.append(link)
                if way == "close":
                    client.close()
                elif way == "close, late":  # in the turns in which what came before it is read
                    client.send(encode_call(2, rid=request_id(3))[:20])
                    loop = asyncio.get_running_loop()
                    loop.call_soon(loop.call_soon, loop.call_soon, client.close)
                elif way == "reset":
                    client.reset()
                elif way != "forget, told":
                    client.send(msgspec.msgpack.encode([2, "forget", [1]]))
                (one,) = harness.server.downstream.clients
                if "told" in way:  # to the front, and the decisions are stepped later in this turn
                    one.receive(msgspec.msgpack.encode([2, "forget", [1]]))
                if "read" in way:  # and not acted on yet
                    one.stream._handle_events(one.stream.fileno(), IOLoop.READ)
            pour(link)

        monkeypatch.setattr(UpstreamConnection, "flush", cross)
        client.send(encode_call(1, rid=request_id(1)))
        await harness.wait_until(lambda: crossed and not harness.table_sizes()["connection_attempts"])
        other = await harness.client()
        assert (await other.read_answer(other.call("ask", request_id(2))))[0] is None
        assert request_id(1).encode() not in [
            words[1] for words in harness.compute_nodes[0].commands(b"fetch")
        ]
        assert not any(harness.table_sizes().values())

    run_with_harness(scenario)


def test_an_answer_that_is_queued_in_the_instant_of_a_look_is_not_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection was older than a reader may take when its first answer came: that counted as unread for
    so long, and the connection was closed over it and all that was open there."""

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr(connection, "CONNECTION_LIMITS", ConnectionLimits(stall_timeout=0.2))
        looked, client = [], await harness.client()
        waiting = client.call("ask", request_id(2))
        await harness.wait_until(lambda: held)
        (one,) = harness.server.downstream.clients
        await harness.wait_until(lambda: one.loop.time() > one.opened_at + 0.3)
        write = one.write

        def crossed(data: bytes) -> None:
            write(data)
            looked.append(one.has_pending_output)
            one.check_timeouts(one.loop.time())

        monkeypatch.setattr(one, "write", crossed)
        asked = client.call("ask", request_id(3))
        assert await client.read_answer(asked) == (None, [ROWS, {}])
        held[0][0].send_result(held[0][1])
        assert await client.read_answer(waiting) == (None, [ROWS, {}])
        assert looked == [True, True]

    held: list[tuple[ComputeNodeConnection, bytes]] = []

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[:2] == [b"fetch", request_id(2).encode()]:
            held.append((peer, words[1]))
        elif words[0] == b"fetch":
            peer.send_result(words[1])

    run_with_harness(scenario, script)


def unseen_end(one: connection.ClientConnection, client: SyncClient) -> None:
    """Its client resets it; the system has told the stream, and the reader's turn is yet to come."""
    client.reset()
    one.stream._handle_events(one.stream.fileno(), IOLoop.READ)
    assert one.stream.closed() and not one.lifecycle.is_closed


def test_an_end_that_its_reader_has_not_seen_takes_no_other_connection_with_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process ends in that instant: the half-close failed, and all others were reset."""

    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        gone, rests = SyncClient(front.port), SyncClient(front.port)
        for n, client in enumerate((gone, rests)):
            client.send(encode_call(1, rid=request_id(n)))
        await harness.wait_until(lambda: front.request_count == 2 and not front.has_unsent_replies)
        drain, name = front.drain, gone.socket.getsockname()

        def crossed() -> None:
            (one,) = (c for c in front.clients if c.stream.socket.getpeername() == name)
            unseen_end(one, gone)
            rests.send(
                encode_call(2, rid=request_id(9))
            )  # it crosses the close: unread bytes must not reset the answer
            drain()

        monkeypatch.setattr(front, "drain", crossed)
        with structlog.testing.capture_logs() as logs:
            harness.server.stop()
            data, reset = await rests.read_to_end()
            async with asyncio.timeout(5.0):
                await harness.server.run()
        assert not reset and messages(data) == [[1, 1, None, [ROWS, {}]]]
        assert not [one for one in logs if one["log_level"] == "error"]

    run_with_harness(scenario)


def test_a_fault_at_one_connection_at_the_end_takes_no_other_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: Harness) -> None:
        front = harness.server.downstream
        clients = [SyncClient(front.port) for _ in range(3)]
        await harness.wait_until(lambda: len(front.clients) == 3)
        first, real = next(iter(front.clients)), connection.ClientConnection.drain

        def drain(one: connection.ClientConnection, reason: str) -> None:
            if one is first:
                raise RuntimeError("a fault")
            real(one, reason)

        monkeypatch.setattr(connection.ClientConnection, "drain", drain)
        harness.server.stop()
        ends = [await client.read_to_end() for client in clients]
        async with asyncio.timeout(5.0):
            await harness.server.run()
        assert [reset for _, reset in ends].count(False) >= 2
        assert harness.server.process.phase is Phase.ENDED

    run_with_harness(scenario)


def test_a_fault_at_one_look_does_not_end_the_looks(monkeypatch: pytest.MonkeyPatch) -> None:
    """At a client's connection and at a node's: all others would be kept for good, whatever they do."""

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr(connection, "RECEIVE_TIMEOUT", 0.3)
        front, upstream = harness.server.downstream, harness.server.upstream
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        (link,) = upstream.pool.connections_by_engine[b"node-0"]
        first = SyncClient(front.port)
        await harness.wait_until(lambda: len(front.clients) == 2)
        struck = [list(front.clients)[1], link]
        for kind, name in (
            (connection.ClientConnection, "check_timeouts"),
            (UpstreamConnection, "check_timeouts"),
        ):
            real = getattr(kind, name)

            def look(one: Any, *told: Any, real: Any = real) -> None:
                if one in struck:
                    raise RuntimeError("a fault")
                real(one, *told)

            monkeypatch.setattr(kind, name, look)
        second = SyncClient(front.port)
        assert (await first.read_to_end(), await second.read_to_end()) == ((b"", False), (b"", False))
        await harness.wait_until(lambda: link.lifecycle.is_closed)
        assert await client.read_answer(client.call("ask", request_id(2))) == (None, [ROWS, {}])
        third = SyncClient(front.port)
        assert await third.read_to_end() == (b"", False)

    run_with_harness(scenario)


def test_one_with_an_unseen_end_or_an_unread_request_makes_no_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """What it has sent is acted on first; it was half closed, or reset over its request."""

    async def scenario(harness: Harness) -> None:
        front, now = harness.server.downstream, harness.server._loop.time
        gone, asks = SyncClient(front.port), SyncClient(front.port)
        for n, client in enumerate((gone, asks)):
            client.send(encode_call(1, rid=request_id(n)))
        await harness.wait_until(lambda: front.request_count == 2 and not front.has_unsent_replies)
        await harness.wait_until(lambda: all(now() > c.idle_since + 0.15 for c in front.clients))
        name = gone.socket.getsockname()
        (one,) = (c for c in front.clients if c.stream.socket.getpeername() == name)
        # Nothing runs between this and the looks for room but these lines.
        unseen_end(one, gone)
        asks.send(encode_call(2, rid=request_id(3)))
        assert not front.evict_now() and front.eviction.graceful_candidate(now()) is None
        for client in list(front.clients):
            front._evict_if_idle(client)
            client._drain_idle()
        asks.socket.settimeout(5.0)
        await harness.wait_until(lambda: front.request_count == 3 and not front.has_unsent_replies)
        asks.socket.shutdown(socket.SHUT_WR)
        data, reset = await asks.read_to_end()
        assert not reset and [m[1] for m in messages(data)] == [1, 2]

    run_with_harness(scenario)


def test_a_silent_connection_with_an_unread_request_makes_no_room() -> None:
    async def scenario(harness: Harness) -> None:
        front, now = harness.server.downstream, harness.server._loop.time
        client = SyncClient(front.port)
        await harness.wait_until(lambda: front.clients)
        await harness.wait_until(lambda: all(now() > c.opened_at + 0.1 for c in front.clients))
        client.send(encode_call(1, rid=request_id(1)))
        assert not front.evict_now() and front.eviction.graceful_candidate(now()) is None
        await harness.wait_until(lambda: front.request_count == 1 and not front.has_unsent_replies)
        client.close()

    run_with_harness(scenario)


def test_a_client_that_sends_on_is_served_all_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is put off until its client has been read leaves then, also where there is always more to read."""

    async def scenario(harness: Harness) -> None:
        client, sent = SyncClient(harness.server.downstream.port), [1]
        pour = UpstreamConnection.flush

        def cross(link: UpstreamConnection) -> None:
            if link.has_queued_output and sent[-1] < 20:
                sent.append(sent[-1] + 1)
                client.send(encode_call(sent[-1], rid=request_id(sent[-1])))
            pour(link)

        monkeypatch.setattr(UpstreamConnection, "flush", cross)
        client.send(encode_call(1, rid=request_id(1)))
        await harness.wait_until(
            lambda: harness.server.downstream.request_count == 20 and not any(harness.table_sizes().values())
        )
        client.socket.shutdown(socket.SHUT_WR)
        data, reset = await client.read_to_end()
        assert not reset and sorted(one[1] for one in messages(data)) == sent
        assert all(one[2:] == [None, [ROWS, {}]] for one in messages(data))

    run_with_harness(scenario)


def test_a_peer_that_never_pauses_does_not_hold_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reading what is there at once, again and again, while nobody else has a turn."""

    async def scenario() -> None:
        async with running_harness(never_answer) as harness:
            front = harness.server.downstream
            flood = SyncClient(front.port)
            await harness.wait_until(lambda: front.clients)
            (one,) = front.clients
            turns: list[int] = []
            data = msgspec.msgpack.encode([0, 1, "isWell", [{}]])

            def more(self: endpoint.ManagedConnection, found: bytes) -> None:
                if len(turns) < 200:
                    flood.send(data)  # the next bytes are there before these are done with
                turns.append(len(turns))

            monkeypatch.setattr(type(one), "receive", more)
            others: list[int] = []

            def other() -> None:
                others.append(len(turns))
                if len(turns) < 200:
                    asyncio.get_running_loop().call_soon(other)

            other()
            flood.send(data)
            await harness.wait_until(lambda: len(turns) > 200)
            assert max(b - a for a, b in itertools.pairwise(others)) <= 3
            flood.close()

    asyncio.run(scenario())
