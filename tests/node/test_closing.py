"""Connections of clients that close in the instant in which something crosses."""

from __future__ import annotations

import asyncio
import itertools
import socket
from typing import Any

import msgspec
import pytest
import structlog
from platform_world import ROWS, SETTINGS, Peer, World, answer, world
from tornado.ioloop import IOLoop

from saffronlane.msgpackrpc import Scanner
from saffronlane.platform import managed_connection as endpoint
from saffronlane.platform import stream
from saffronlane.platform.downstream import client_connection as connection
from saffronlane.platform.lifecycle import ConnectionLimits, Phase
from saffronlane.platform.upstream.connection import UpstreamConnection

from .support import SyncClient, call, hold_connections, paged, play, rid, silent, slow_client

NOISE = b"\xc1" * 200  # no message begins so


def messages(data: bytes) -> list[Any]:
    found, error = Scanner(1_000_000, 10_000).feed(data)
    assert error is None
    return [msgspec.msgpack.decode(message) for message in found]


def test_a_request_before_noise_is_answered_whole_and_nothing_is_reset() -> None:
    """Guards against closing over unread bytes: the reset overtakes the answer that is on its way."""

    async def work(built: World) -> None:
        front = built.node.downstream

        async def script(peer: Peer, words: list[bytes]) -> None:
            if words[0] == b"fetch":
                # The noise is there, and more of it, before the answer comes.
                await built.until(lambda: not any(c.lifecycle.accepts_work for c in front.clients))
                client.send(NOISE * 50)
                peer.done(words[1])

        built.computes[0].script = script
        client = SyncClient(front.port)
        client.send(call(1))
        await built.until(lambda: front.request_count == 1)
        client.send(NOISE)
        data, reset = await client.rest()
        assert not reset
        assert messages(data) == [[1, 1, None, [ROWS, {}]]]
        await built.until(lambda: not front.clients)

    play(work)


def test_too_many_faults_take_no_answer_away() -> None:
    async def work(built: World) -> None:
        client = SyncClient(built.node.downstream.port)
        client.send(call(1) + b"".join(call(n, "nothing", rid=rid(n)) for n in range(2, 30)))
        data, reset = await client.rest()
        answers = {told[1]: told[2] for told in messages(data)}
        assert not reset and answers[1] is None
        assert len(answers) == 1 + connection.MAX_INVALID_MESSAGES

    play(work)


def test_a_request_that_crosses_an_idle_close_is_not_sent_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is read after the shutdown: no answer could be written, so nothing may be done for it."""
    monkeypatch.setattr(connection, "IDLE_TIMEOUT", 0.05)

    async def work(built: World) -> None:
        front = built.node.downstream
        client = SyncClient(front.port)
        client.send(call(1))
        await built.until(lambda: front.request_count == 1 and built.computes[0].words(b"fetch"))
        shut = stream.Stream.shutdown_write

        def cross(one: stream.Stream) -> None:
            client.send(call(2, rid=rid(2)))
            shut(one)

        monkeypatch.setattr(stream.Stream, "shutdown_write", cross)
        data, reset = await client.rest()
        assert not reset and [told[1] for told in messages(data)] == [1]
        await built.until(lambda: not front.clients)
        assert front.request_count == 1 and len(built.computes[0].words(b"fetch")) == 1

    play(work)


def test_a_request_that_is_there_already_puts_the_idle_close_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a close that crosses nothing: the request came before it, and only the loop was late."""

    async def work(built: World) -> None:
        front = built.node.downstream
        client = SyncClient(front.port)
        client.send(call(1))
        await built.until(lambda: front.request_count == 1 and not front.has_unsent_replies)
        (one,) = front.clients
        client.send(call(2, rid=rid(2)))
        one.check_timeouts(one.idle_since + connection.IDLE_TIMEOUT + 1.0)  # before the loop could read it
        one.idle_since -= 1.0
        monkeypatch.setattr(front, "max_clients", 1)
        assert not front._has_capacity()
        await built.until(lambda: front.request_count == 2 and not front.has_unsent_replies)
        client.close()

    play(work)


def test_a_slow_reader_gets_its_answers_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an idle close that cuts what the connection still has to write."""
    monkeypatch.setattr(connection, "IDLE_TIMEOUT", 0.3)
    page = (b"x" * 2990 + b"\ty\tz\n") * 2
    pages = 7

    async def work(built: World) -> None:
        async with slow_client(built, 10) as (client, one):
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

    play(work, paged(page, pages))


def test_all_that_a_slow_client_may_ask_for_fits() -> None:
    """32 whole results: past 1 MiB the connection was closed, and all of them were lost."""
    page = (b"x" * 2985 + b"\ty\tz\n") * 2

    async def work(built: World) -> None:
        async with slow_client(built, 32) as (client, one):
            assert one.backlog > 1_048_576
            loop, data = asyncio.get_running_loop(), b""
            while len(messages(data)) < 32:
                found = await loop.sock_recv(client, 1_000_000)
                assert found, f"cut after {len(data)} bytes"
                data += found
        assert all(told[2] is None for told in messages(data))

    play(work, paged(page, 8))


def test_answers_that_all_leave_unread_are_bounded_by_the_memory() -> None:
    async def work(built: World) -> None:
        front = built.node.downstream
        clients = [await built.client() for _ in range(3)]
        await built.until(lambda: len(front.clients) == 3)
        for one, size in zip(front.clients, (10, 300_000, 20), strict=True):
            one.stream._total_write_index += size
        front._max_unread_bytes = 1000.0
        front._sweep_timer.cancel()
        front._on_sweep_due()
        assert len(front.clients) == 2 and all(one.backlog < 100 for one in front.clients)
        assert clients

    play(work)


def test_a_fault_in_handling_one_message_takes_no_other_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(built: World) -> None:
        front = built.node.downstream
        read = front.decoder.decode

        def fails(told: Any) -> Any:
            if told.id == 2:
                raise RuntimeError("a fault in the handling")
            return read(told)

        monkeypatch.setattr(front.decoder, "decode", fails)
        client = SyncClient(front.port)
        client.send(call(1) + call(2, rid=rid(2)))
        data, reset = await client.rest()
        assert not reset and messages(data) == [[1, 1, None, [ROWS, {}]]]

    play(work)


def test_a_connection_that_is_asked_whether_it_is_well_is_not_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(built: World) -> None:
        front = built.node.downstream
        client = await built.client()
        await built.until(lambda: front.clients)
        (one,) = front.clients
        one.idle_since -= 100.0
        client.raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.answer(1) == (None, [True, {}])
        assert one.idle_since > one.loop.time() - 10.0

    play(work)


def test_one_that_reads_nothing_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bounded: answers that nobody reads do not keep the connection, nor the process at its end."""
    monkeypatch.setattr(connection, "CONNECTION_LIMITS", connection.ConnectionLimits(stall_timeout=0.4))
    page = (b"x" * 2990 + b"\ty\tz\n") * 2

    async def work(built: World) -> None:
        front = built.node.downstream
        async with slow_client(built, 10):
            await built.until(lambda: not front.clients, 3.0)

    play(work, paged(page, 7))


def test_a_flood_to_a_closing_connection_ends_it() -> None:
    async def work(built: World) -> None:
        front = built.node.downstream
        client = SyncClient(front.port)
        client.socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client.socket, NOISE)
        await built.until(lambda: any(c.lifecycle.is_closing for c in front.clients))
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(5.0):
                while True:
                    await loop.sock_sendall(client.socket, NOISE * 300)
        assert not front.clients

    play(work)


# --- the client has gone ---

MAY_CANCEL = [True, False]


def may(cancel: bool) -> dict[str, Any]:
    return SETTINGS | {"limits": SETTINGS["limits"] | {"cancel": cancel, "connectTimeout": 2.0}}


async def gone(built: World, free: asyncio.Event, within: float = 0.1) -> None:
    """In time nothing of the requests is left that could still leave; and nothing leaves."""
    await built.until(lambda: not any(built.tables().values()), within)
    free.set()
    probe = await built.client()
    assert (await probe.answer(probe.call("ask", "f" * 16)))[0] is None
    fetched = [words[1] for compute in built.computes for words in compute.words(b"fetch")]
    assert fetched == [b"f" * 16]


@pytest.mark.parametrize("cancel", MAY_CANCEL)
@pytest.mark.parametrize("how", ["close", "reset", "forget"])
def test_what_waits_for_a_connection_does_not_leave_for_a_client_that_has_gone(
    how: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where the settings forbid cancelling, what waited was sent when its connection came up."""

    async def work(built: World) -> None:
        free = hold_connections(monkeypatch)
        client = SyncClient(built.node.downstream.port)
        client.send(call(1))
        await built.until(lambda: built.tables()["open"])
        if how == "forget":
            client.send(msgspec.msgpack.encode([2, "forget", [1]]))
        else:
            client.reset() if how == "reset" else client.close()
        await gone(built, free)

    play(work, settings=may(cancel))


@pytest.mark.parametrize("cancel", MAY_CANCEL)
@pytest.mark.parametrize("how", ["close", "forget"])
def test_a_client_that_has_sent_what_is_wrong_is_still_seen_to_go(
    how: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was not read for a quarter of a second after a fault, and its requests were sent meanwhile."""

    async def work(built: World) -> None:
        free = hold_connections(monkeypatch)
        client = SyncClient(built.node.downstream.port)
        client.send(call(1) + call(2, "nothing", rid=rid(2)))
        await built.until(lambda: built.node.downstream.invalid_message_count == 1 and built.tables()["open"])
        client.send(msgspec.msgpack.encode([2, "forget", [1]])) if how == "forget" else client.close()
        await gone(built, free)

    play(work, settings=may(cancel))


@pytest.mark.parametrize("cancel", MAY_CANCEL)
def test_a_thousand_clients_leave_at_once(cancel: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(built: World) -> None:
        free = hold_connections(monkeypatch)
        front = built.node.downstream
        clients = []
        for number in range(1000):
            clients.append(SyncClient(front.port))
            clients[-1].send(call(1, rid=rid(number)))
            if number % 50 == 49:
                await built.until(lambda n=number: front.request_count == n + 1)  # type: ignore[misc]
        await built.until(lambda: built.tables()["open"])
        for client in clients:
            client.close()
        await gone(built, free, 5.0)

    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4096}
    play(work, settings=may(cancel), limits=limits)


def test_a_request_that_comes_with_its_connections_end_is_not_sent_on() -> None:
    async def work(built: World) -> None:
        front = built.node.downstream
        for number in range(20):
            client = SyncClient(front.port)
            client.send(call(1, rid=rid(number)))
            client.close()  # both are there before the loop's turn
        await built.until(lambda: front.accepted_count == 20 and not front.clients)
        await built.until(lambda: not any(built.tables().values()))
        assert not built.computes[0].words(b"fetch")

    play(work)


def test_a_retry_does_not_begin_for_a_client_that_has_gone() -> None:
    """The first attempt fails in the turn in which its client leaves."""

    async def work(built: World) -> None:
        front = built.node.downstream

        async def script(peer: Peer, words: list[bytes]) -> None:
            if words[0] == b"fetch":
                client.close()
                peer.send(words[1], b"BROKE", b"-", b"")

        for compute in built.computes:
            compute.script = script
        client = SyncClient(front.port)
        client.send(call(1))
        await built.until(lambda: front.request_count == 1 and not front.clients)
        await built.until(lambda: not any(built.tables().values()))
        assert sum(len(compute.words(b"fetch")) for compute in built.computes) == 1

    play(work, answer, answer)


@pytest.mark.parametrize("way", ["close", "reset", "forget", "forget, read", "forget, told", "close, late"])
def test_what_a_client_sends_while_the_loop_is_late_is_read_before_its_attempt_leaves(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It goes, or takes its request back, while the decisions take their time: nothing begins after that.

    The loop heard of it only after it had written what those decisions asked for, however late it was.
    """

    async def work(built: World) -> None:
        pour, crossed = UpstreamConnection.flush, []
        client = SyncClient(built.node.downstream.port)
        if way.startswith("forget"):
            client.send(call(9, rid=rid(9)))
            await built.until(lambda: built.computes[0].words(b"fetch"))

        def cross(link: UpstreamConnection) -> None:
            if rid(1).encode() in link.attempts and not crossed:
                crossed.append(link)
                if way == "close":
                    client.close()
                elif way == "close, late":  # in the turns in which what came before it is read
                    client.send(call(2, rid=rid(3))[:20])
                    loop = asyncio.get_running_loop()
                    loop.call_soon(loop.call_soon, loop.call_soon, client.close)
                elif way == "reset":
                    client.reset()
                elif way != "forget, told":
                    client.send(msgspec.msgpack.encode([2, "forget", [1]]))
                (one,) = built.node.downstream.clients
                if "told" in way:  # to the front, and the decisions are stepped later in this turn
                    one.receive(msgspec.msgpack.encode([2, "forget", [1]]))
                if "read" in way:  # and not acted on yet
                    one.stream._handle_events(one.stream.fileno(), IOLoop.READ)
            pour(link)

        monkeypatch.setattr(UpstreamConnection, "flush", cross)
        client.send(call(1, rid=rid(1)))
        await built.until(lambda: crossed and not built.tables()["open"])
        other = await built.client()
        assert (await other.answer(other.call("ask", rid(2))))[0] is None
        assert rid(1).encode() not in [words[1] for words in built.computes[0].words(b"fetch")]
        assert not any(built.tables().values())

    play(work)


def test_an_answer_that_is_queued_in_the_instant_of_a_look_is_not_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection was older than a reader may take when its first answer came: that counted as unread for
    so long, and the connection was closed over it and all that was open there."""

    async def work(built: World) -> None:
        monkeypatch.setattr(connection, "CONNECTION_LIMITS", ConnectionLimits(stall_timeout=0.2))
        looked, client = [], await built.client()
        waiting = client.call("ask", rid(2))
        await built.until(lambda: held)
        (one,) = built.node.downstream.clients
        await built.until(lambda: one.loop.time() > one.opened_at + 0.3)
        write = one.write

        def crossed(data: bytes) -> None:
            write(data)
            looked.append(one.has_pending_output)
            one.check_timeouts(one.loop.time())

        monkeypatch.setattr(one, "write", crossed)
        asked = client.call("ask", rid(3))
        assert await client.answer(asked) == (None, [ROWS, {}])
        held[0][0].done(held[0][1])
        assert await client.answer(waiting) == (None, [ROWS, {}])
        assert looked == [True, True]

    held: list[tuple[Peer, bytes]] = []

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[:2] == [b"fetch", rid(2).encode()]:
            held.append((peer, words[1]))
        elif words[0] == b"fetch":
            peer.done(words[1])

    play(work, script)


def unseen_end(one: connection.ClientConnection, client: SyncClient) -> None:
    """Its client resets it; the system has told the stream, and the reader's turn is yet to come."""
    client.reset()
    one.stream._handle_events(one.stream.fileno(), IOLoop.READ)
    assert one.stream.closed() and not one.lifecycle.is_closed


def test_an_end_that_its_reader_has_not_seen_takes_no_other_connection_with_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process ends in that instant: the half-close failed, and all others were reset."""

    async def work(built: World) -> None:
        front = built.node.downstream
        gone, rests = SyncClient(front.port), SyncClient(front.port)
        for n, client in enumerate((gone, rests)):
            client.send(call(1, rid=rid(n)))
        await built.until(lambda: front.request_count == 2 and not front.has_unsent_replies)
        drain, name = front.drain, gone.socket.getsockname()

        def crossed() -> None:
            (one,) = (c for c in front.clients if c.stream.socket.getpeername() == name)
            unseen_end(one, gone)
            rests.send(call(2, rid=rid(9)))  # it crosses the close: unread bytes must not reset the answer
            drain()

        monkeypatch.setattr(front, "drain", crossed)
        with structlog.testing.capture_logs() as logs:
            built.node.stop()
            data, reset = await rests.rest()
            async with asyncio.timeout(5.0):
                await built.node.run()
        assert not reset and messages(data) == [[1, 1, None, [ROWS, {}]]]
        assert not [one for one in logs if one["log_level"] == "error"]

    play(work)


def test_a_fault_at_one_connection_at_the_end_takes_no_other_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(built: World) -> None:
        front = built.node.downstream
        clients = [SyncClient(front.port) for _ in range(3)]
        await built.until(lambda: len(front.clients) == 3)
        first, real = next(iter(front.clients)), connection.ClientConnection.drain

        def drain(one: connection.ClientConnection, reason: str) -> None:
            if one is first:
                raise RuntimeError("a fault")
            real(one, reason)

        monkeypatch.setattr(connection.ClientConnection, "drain", drain)
        built.node.stop()
        ends = [await client.rest() for client in clients]
        async with asyncio.timeout(5.0):
            await built.node.run()
        assert [reset for _, reset in ends].count(False) >= 2
        assert built.node.process.phase is Phase.ENDED

    play(work)


def test_a_fault_at_one_look_does_not_end_the_looks(monkeypatch: pytest.MonkeyPatch) -> None:
    """At a client's connection and at a node's: all others would be kept for good, whatever they do."""

    async def work(built: World) -> None:
        monkeypatch.setattr(connection, "RECEIVE_TIMEOUT", 0.3)
        front, upstream = built.node.downstream, built.node.upstream
        client = await built.client()
        assert (await client.answer(client.call("ask", rid(1))))[0] is None
        (link,) = upstream.pool.connections_by_engine[b"node-0"]
        first = SyncClient(front.port)
        await built.until(lambda: len(front.clients) == 2)
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
        assert (await first.rest(), await second.rest()) == ((b"", False), (b"", False))
        await built.until(lambda: link.lifecycle.is_closed)
        assert await client.answer(client.call("ask", rid(2))) == (None, [ROWS, {}])
        third = SyncClient(front.port)
        assert await third.rest() == (b"", False)

    play(work)


def test_one_with_an_unseen_end_or_an_unread_request_makes_no_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """What it has sent is acted on first; it was half closed, or reset over its request."""

    async def work(built: World) -> None:
        front, now = built.node.downstream, built.node._loop.time
        gone, asks = SyncClient(front.port), SyncClient(front.port)
        for n, client in enumerate((gone, asks)):
            client.send(call(1, rid=rid(n)))
        await built.until(lambda: front.request_count == 2 and not front.has_unsent_replies)
        await built.until(lambda: all(now() > c.idle_since + 0.15 for c in front.clients))
        name = gone.socket.getsockname()
        (one,) = (c for c in front.clients if c.stream.socket.getpeername() == name)
        # Nothing runs between this and the looks for room but these lines.
        unseen_end(one, gone)
        asks.send(call(2, rid=rid(3)))
        assert not front.evict_now() and front.eviction.graceful_candidate(now()) is None
        for client in list(front.clients):
            front._evict_if_idle(client)
            client._drain_idle()
        asks.socket.settimeout(5.0)
        await built.until(lambda: front.request_count == 3 and not front.has_unsent_replies)
        asks.socket.shutdown(socket.SHUT_WR)
        data, reset = await asks.rest()
        assert not reset and [m[1] for m in messages(data)] == [1, 2]

    play(work)


def test_a_silent_connection_with_an_unread_request_makes_no_room() -> None:
    async def work(built: World) -> None:
        front, now = built.node.downstream, built.node._loop.time
        client = SyncClient(front.port)
        await built.until(lambda: front.clients)
        await built.until(lambda: all(now() > c.opened_at + 0.1 for c in front.clients))
        client.send(call(1, rid=rid(1)))
        assert not front.evict_now() and front.eviction.graceful_candidate(now()) is None
        await built.until(lambda: front.request_count == 1 and not front.has_unsent_replies)
        client.close()

    play(work)


def test_a_client_that_sends_on_is_served_all_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is put off until its client has been read leaves then, also where there is always more to read."""

    async def work(built: World) -> None:
        client, sent = SyncClient(built.node.downstream.port), [1]
        pour = UpstreamConnection.flush

        def cross(link: UpstreamConnection) -> None:
            if link.has_queued_output and sent[-1] < 20:
                sent.append(sent[-1] + 1)
                client.send(call(sent[-1], rid=rid(sent[-1])))
            pour(link)

        monkeypatch.setattr(UpstreamConnection, "flush", cross)
        client.send(call(1, rid=rid(1)))
        await built.until(
            lambda: built.node.downstream.request_count == 20 and not any(built.tables().values())
        )
        client.socket.shutdown(socket.SHUT_WR)
        data, reset = await client.rest()
        assert not reset and sorted(one[1] for one in messages(data)) == sent
        assert all(one[2:] == [None, [ROWS, {}]] for one in messages(data))

    play(work)


def test_a_peer_that_never_pauses_does_not_hold_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reading what is there at once, again and again, while nobody else has a turn."""

    async def work() -> None:
        async with world(silent) as built:
            front = built.node.downstream
            flood = SyncClient(front.port)
            await built.until(lambda: front.clients)
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
            await built.until(lambda: len(turns) > 200)
            assert max(b - a for a, b in itertools.pairwise(others)) <= 3
            flood.close()

    asyncio.run(work())
