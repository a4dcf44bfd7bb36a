"""How attempts end, and what is told of them."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec
import pytest
from platform_world import (
    ROWS,
    SETTINGS,
    Compute,
    Peer,
    Script,
    World,
    answer,
    member,
)

from saffronlane.interface import Outcome
from saffronlane.platform.upstream import connection as connection_module

from .support import RID, once, outcomes, own_descriptors, play, rid, silent


async def broke(peer: Peer, words: list[bytes]) -> None:
    peer.send(words[1], b"BROKE", b"-", b"")


async def past(peer: Peer, words: list[bytes]) -> None:
    peer.send(words[1], b"PAST", b"-", b"")


async def wait(peer: Peer, words: list[bytes]) -> None:
    peer.send(words[1], b"WAIT", b"-", b"")


async def cut(peer: Peer, words: list[bytes]) -> None:
    peer.cut()


async def noise(peer: Peer, words: list[bytes]) -> None:
    peer.raw(b"\x00\xff noise \r\n" * 3)


async def endless(peer: Peer, words: list[bytes]) -> None:
    peer.raw(b"*4\r\n$16\r\n" + words[1] + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3000000000\r\nxxxxxxx")


async def bad_rows(peer: Peer, words: list[bytes]) -> None:
    peer.done(words[1], b"only\ttwo\n")


async def bad_text(peer: Peer, words: list[bytes]) -> None:
    peer.done(words[1], b"a\t\xff\xfe\tc\n")


async def half_row(peer: Peer, words: list[bytes]) -> None:
    peer.done(words[1], b"a\tb\tc\na\tb")


async def odd_count(peer: Peer, words: list[bytes]) -> None:
    peer.send(words[1], b"DONE", b"sheets=-3", ROWS)


async def odd_word(peer: Peer, words: list[bytes]) -> None:
    peer.send(words[1], b"MAYBE", b"-", ROWS)


async def cut_in_pages(peer: Peer, words: list[bytes]) -> None:
    if words[0] == b"fetch":
        peer.done(words[1], ROWS, 3)
    else:
        peer.cut()


async def lost_page(peer: Peer, words: list[bytes]) -> None:
    if words[0] == b"fetch":
        peer.done(words[1], ROWS, 3)
    elif words[0] == b"more":
        peer.send(words[1], b"BROKE", b"-", b"")


async def too_many_pages(peer: Peer, words: list[bytes]) -> None:
    page = b"a\tb\t%b\n" % (b"c" * 5900)
    if words[0] == b"fetch":
        peer.done(words[1], page, 9)
    elif words[0] == b"more":
        peer.send(words[1], b"MORE", b"sheet=" + words[2], page)


async def stopped_short(peer: Peer, words: list[bytes]) -> None:
    peer.raw(b"*4\r\n$16\r\n" + words[1][:5])


ENDS = [
    (broke, Outcome.ERROR),
    (past, Outcome.REJECTED),
    (wait, Outcome.REJECTED),
    (cut, Outcome.RESET),
    (noise, Outcome.RESET),
    (endless, Outcome.RESET),
    (stopped_short, Outcome.RESET),
    (bad_rows, Outcome.ERROR),
    (bad_text, Outcome.ERROR),
    (half_row, Outcome.ERROR),
    (odd_count, Outcome.ERROR),
    (odd_word, Outcome.ERROR),
    (cut_in_pages, Outcome.RESET),
    (lost_page, Outcome.ERROR),
    (too_many_pages, Outcome.ERROR),
]


@pytest.mark.parametrize(("script", "outcome"), ENDS, ids=lambda x: getattr(x, "__name__", None))
def test_an_attempt_ends_exactly_and_another_serves(script: Script, outcome: Outcome) -> None:
    """What is spoilt ends the attempt, never the client: the module sends it again, and it is served."""

    async def work(built: World) -> None:
        told = outcomes(built)
        client = await built.client()
        assert await client.answer(client.call("ask", RID)) == (None, [ROWS, {}])
        assert told == [outcome, Outcome.OK]
        await built.until(lambda: not any(built.tables().values()))

    shared = once(script)
    play(work, shared, shared)


async def _unlistened(built: World, seconds: float = 5.0) -> tuple[list[Outcome], Any]:
    told = outcomes(built)
    client = await built.client()
    return told, await client.answer(client.call("frail", RID), seconds)


def test_a_refused_connection_proves_that_nothing_ran() -> None:
    async def work(built: World) -> None:
        built.computes[0].close()
        told, (error, _) = await _unlistened(built)
        assert set(told) == {Outcome.CONNECT_FAILED}
        assert error[0] == "Shed"  # an unsafe class may be refused only if it certainly never ran

    play(work)


def test_a_reset_of_an_unsafe_request_is_a_failure() -> None:
    async def work(built: World) -> None:
        told, (error, _) = await _unlistened(built)
        assert told == [Outcome.RESET] and error[0] == "Fault"

    play(work, cut)


def test_silence_ends_at_the_attempts_own_limit() -> None:
    async def work(built: World) -> None:
        told = outcomes(built)
        client = await built.client()
        error, _ = await client.answer(client.call("ask", RID, budget="600"))
        assert error[0] in ("Shed", "Fault")
        await built.until(lambda: built.computes[0].words(b"abort"))
        await built.until(lambda: told)
        assert told[0] in (Outcome.TIMEOUT, Outcome.CANCELLED)
        # It was silent all the while: nothing new goes there, and it closes.
        upstream = built.node.upstream
        assert not any(
            link.has_capacity(b"x", 32) for link in upstream.pool.connections_by_engine.get(b"node-0", ())
        )
        await built.until(lambda: not upstream.pool.connections_by_engine)

    play(work, silent)


def test_a_late_answer_to_an_abandoned_attempt_is_dropped() -> None:
    kept: list[tuple[Peer, bytes]] = []

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch" and not kept:
            kept.append((peer, words[1]))
        elif words[0] == b"abort":
            kept[0][0].done(words[1], b"late\t\t\n")
        elif words[0] == b"fetch":
            peer.done(words[1])

    async def work(built: World) -> None:
        client = await built.client()
        # Another answer in between keeps the connection in use.
        first = client.call("ask", rid(1))
        await built.until(lambda: kept)
        second = client.call("ask", rid(2))
        assert (await client.answer(second))[0] is None
        client.raw(msgspec.msgpack.encode([2, "forget", [first]]))
        await built.until(lambda: built.computes[0].words(b"abort"))
        third = client.call("ask", rid(3))
        assert await client.answer(third) == (None, [ROWS, {}])
        # The same request again is not sent where the late answer may come.
        fourth = client.call("ask", rid(1))
        assert await client.answer(fourth) == (None, [ROWS, {}])
        assert first not in client.answers
        assert len(built.computes[0].peers) == 2

    play(work, script)


def test_answers_under_unknown_ids_leave_the_connection_alive() -> None:
    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.done(b"ffffffffffffffff")
            peer.done(words[1])
            peer.done(words[1], b"a second copy\t\t\n")

    async def work(built: World) -> None:
        client = await built.client()
        for n in range(5):
            assert await client.answer(client.call("ask", rid(n))) == (None, [ROWS, {}])
        assert len(built.computes[0].peers) == 1

    play(work, script)


def test_a_spoilt_answer_ends_the_others_on_its_connection_at_once() -> None:
    """Guards against waiting for what will not come: the connection is of no use to the others either."""
    fetched: list[bytes] = []

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] != b"fetch":
            return
        fetched.append(words[1])
        if len(fetched) == 2:
            peer.done(words[1], b"no row")
        elif len(fetched) > 2:
            peer.done(words[1])

    async def work(built: World) -> None:
        told = outcomes(built)
        client = await built.client()
        ids = [client.call("ask", rid(n)) for n in range(2)]
        for msgid in ids:
            assert (await client.answer(msgid, 1.5))[0] is None
        assert sorted(told) == sorted([Outcome.ERROR, Outcome.RESET, Outcome.OK, Outcome.OK])

    play(work, script)


def test_what_has_not_left_for_a_node_that_drains_does_not_leave() -> None:
    """A drain is told while the attempt waits for its connection."""

    async def work(built: World) -> None:
        told = outcomes(built)
        await built.until(lambda: built.feed.writers)
        client = await built.client()
        upstream, real = built.node.upstream, connection_module.UpstreamConnection._run

        async def held(link: Any) -> None:
            await draining.wait()
            await real(link)

        draining = asyncio.Event()
        connection_module.UpstreamConnection._run = held  # type: ignore[method-assign]
        try:
            msgid = client.call("ask", RID)
            await built.until(lambda: upstream.pool.connections_by_engine)
            name = next(iter(upstream.pool.connections_by_engine)).decode()
            port = built.computes[int(name[-1])].port
            built.feed.event(2, [member(name, port, "draining")])
            await built.until(lambda: Outcome.NOT_SENT in told)
        finally:
            connection_module.UpstreamConnection._run = real  # type: ignore[method-assign]
            draining.set()
        assert (await client.answer(msgid))[0] is None
        assert not built.computes[int(name[-1])].words(b"fetch")

    play(work, answer, answer)


def test_a_connection_that_broke_unseen_takes_nothing_and_loses_no_answer() -> None:
    """Guards against the turn between a break and the reader's: an effect failed there."""

    async def work(built: World) -> None:
        told = outcomes(built)
        client = await built.client()
        assert (await client.answer(client.call("ask", rid(1))))[0] is None
        link = next(iter(built.node.upstream.pool.connections_by_engine.values()))[0]
        link.stream.close()
        assert not link.has_capacity(b"x", 32)
        assert await client.answer(client.call("ask", rid(2))) == (None, [ROWS, {}])
        assert told == [Outcome.OK, Outcome.OK]

    play(work)


@pytest.mark.parametrize("there", [True, False])
def test_a_write_to_a_connection_that_has_gone_never_ran(there: bool) -> None:
    """It begins once more on a new one: an answer where its node is there, and the proof where it is not."""

    async def work(built: World) -> None:
        told, compute = outcomes(built), built.computes[0]
        client = await built.client()
        assert (await client.answer(client.call("ask", rid(1))))[0] is None
        link = next(iter(built.node.upstream.pool.connections_by_engine.values()))[0]
        built.node.executor.transport.begin = lambda attempt, begin=built.node.upstream.begin: (  # type: ignore
            begin(attempt),
            link.stream.close(),
        )
        if not there:
            assert compute.server is not None
            compute.server.close()
        client.call("frail", rid(2))
        await built.until(lambda: len(told) > 1)
        assert told[1] is (Outcome.OK if there else Outcome.CONNECT_FAILED)
        assert len(compute.words(b"fetch")) == (2 if there else 1)

    play(work)


def test_a_connection_that_came_up_while_the_process_was_held_up_is_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its time and its coming up are met in one turn of the loop: it counted as refused, its node as ill."""
    real = connection_module.Stream.connect

    def connect(stream: connection_module.Stream, address: Any) -> Any:
        coming = real(stream, address)
        time.sleep(0.3)  # the loop is held up for longer than a connection may take
        return coming

    async def work(built: World) -> None:
        told = outcomes(built)
        monkeypatch.setattr(connection_module.Stream, "connect", connect)
        client = await built.client()
        assert await client.answer(client.call("frail", rid(1))) == (None, [ROWS, {}])
        assert told == [Outcome.OK]

    play(work)


def test_a_node_that_moves_is_reached_at_its_new_address_and_nowhere_else() -> None:
    """Guards against connections that nobody knows of: their entry went with the old address's last."""

    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        client = await built.client()
        assert (await client.answer(client.call("ask", rid(1))))[0] is None
        other = Compute()
        await other.start()
        built.computes.append(other)
        built.feed.event(2, [member("node-0", other.port)])
        await built.until(lambda: built.node.discovery.last_sequence == 2)
        for n in range(2, 5):
            assert (await client.answer(client.call("ask", rid(n))))[0] is None
        assert len(other.words(b"fetch")) == 3 and len(other.peers) == 1
        assert [link.address[1] for link in built.node.upstream.pool.connections_by_engine[b"node-0"]] == [
            other.port
        ]

    play(work)


def test_connections_close_before_the_node_would() -> None:
    limits = SETTINGS["limits"] | {"idleClose": 0.3}

    async def work(built: World) -> None:
        client = await built.client()
        await client.answer(client.call("ask", RID))
        await built.until(lambda: not built.node.upstream.pool.connections_by_engine)

    play(work, settings=SETTINGS | {"limits": limits})


def test_more_nodes_than_connections_are_all_reached(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an attempt that ends as if its node had no address, for idle connections fill up."""

    async def work(built: World) -> None:
        told = outcomes(built)
        client = await built.client()
        for n in range(60):
            msgid = client.call("ask", rid(n), b"SELECT 1 FROM s_%d.t" % n)
            assert await client.answer(msgid) == (None, [ROWS, {}])
        upstream = built.node.upstream
        assert sum(bool(compute.heard) for compute in built.computes) > upstream.pool.limits.max_connections
        assert upstream.pool.connections_in_use <= upstream.pool.limits.max_connections
        assert told == [Outcome.OK] * 60

    own_descriptors(monkeypatch)
    play(work, *[answer] * 24, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})


def test_elapsed_runs_from_the_write_to_the_last_byte() -> None:
    """Guards against taking our own wait for a connection for a slow node."""
    spans: list[float] = []

    async def work(built: World) -> None:
        real = connection_module.UpstreamConnection._run

        async def slow(link: Any) -> None:
            await asyncio.sleep(0.15)
            await real(link)

        done = built.node.executor.finish_attempt

        def spy(attempt: Any, outcome: Outcome, elapsed: float, *rest: Any) -> None:
            spans.append(elapsed)
            done(attempt, outcome, elapsed, *rest)

        built.node.executor.finish_attempt = spy  # type: ignore[method-assign]
        connection_module.UpstreamConnection._run = slow  # type: ignore[method-assign]
        try:
            client = await built.client()
            await client.answer(client.call("ask", RID))
        finally:
            connection_module.UpstreamConnection._run = real  # type: ignore[method-assign]
        assert spans[0] < 0.15

    play(work)
