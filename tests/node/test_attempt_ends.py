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
    ComputeNode,
    ComputeNodeConnection,
    Harness,
    Script,
    answer_fetches,
    member,
)

from saffronlane.interface import Outcome
from saffronlane.platform.upstream import connection as connection_module

from .support import (
    REQUEST_ID,
    assume_default_open_descriptors,
    never_answer,
    on_first_request,
    record_outcomes,
    request_id,
    run_with_harness,
)


async def broke(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send(words[1], b"BROKE", b"-", b"")


async def past(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send(words[1], b"PAST", b"-", b"")


async def wait(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send(words[1], b"WAIT", b"-", b"")


async def cut(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.abort()


async def noise(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send_raw(b"\x00\xff noise \r\n" * 3)


async def endless(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send_raw(b"*4\r\n$16\r\n" + words[1] + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3000000000\r\nxxxxxxx")


async def bad_rows(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send_result(words[1], b"only\ttwo\n")


async def bad_text(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send_result(words[1], b"a\t\xff\xfe\tc\n")


async def half_row(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send_result(words[1], b"a\tb\tc\na\tb")


async def odd_count(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send(words[1], b"DONE", b"sheets=-3", ROWS)


async def odd_word(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send(words[1], b"MAYBE", b"-", ROWS)


async def cut_in_pages(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    if words[0] == b"fetch":
        peer.send_result(words[1], ROWS, 3)
    else:
        peer.abort()


async def lost_page(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    if words[0] == b"fetch":
        peer.send_result(words[1], ROWS, 3)
    elif words[0] == b"more":
        peer.send(words[1], b"BROKE", b"-", b"")


async def too_many_pages(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    page = b"a\tb\t%b\n" % (b"c" * 5900)
    if words[0] == b"fetch":
        peer.send_result(words[1], page, 9)
    elif words[0] == b"more":
        peer.send(words[1], b"MORE", b"sheet=" + words[2], page)


async def stopped_short(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    peer.send_raw(b"*4\r\n$16\r\n" + words[1][:5])


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

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        client = await harness.client()
        assert await client.read_answer(client.call("ask", REQUEST_ID)) == (None, [ROWS, {}])
        assert told == [outcome, Outcome.OK]
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    shared = on_first_request(script)
    run_with_harness(scenario, shared, shared)


async def _unlistened(harness: Harness, seconds: float = 5.0) -> tuple[list[Outcome], Any]:
    told = record_outcomes(harness)
    client = await harness.client()
    return told, await client.read_answer(client.call("frail", REQUEST_ID), seconds)


def test_a_refused_connection_proves_that_nothing_ran() -> None:
    async def scenario(harness: Harness) -> None:
        harness.compute_nodes[0].close()
        told, (error, _) = await _unlistened(harness)
        assert set(told) == {Outcome.CONNECT_FAILED}
        assert error[0] == "Shed"  # an unsafe class may be refused only if it certainly never ran

    run_with_harness(scenario)


def test_a_reset_of_an_unsafe_request_is_a_failure() -> None:
    async def scenario(harness: Harness) -> None:
        told, (error, _) = await _unlistened(harness)
        assert told == [Outcome.RESET] and error[0] == "Fault"

    run_with_harness(scenario, cut)


def test_silence_ends_at_the_attempts_own_limit() -> None:
    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        client = await harness.client()
        error, _ = await client.read_answer(client.call("ask", REQUEST_ID, budget="600"))
        assert error[0] in ("Shed", "Fault")
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"abort"))
        await harness.wait_until(lambda: told)
        assert told[0] in (Outcome.TIMEOUT, Outcome.CANCELLED)
        # It was silent all the while: nothing new goes there, and it closes.
        upstream = harness.server.upstream
        assert not any(
            link.has_capacity(b"x", 32) for link in upstream.pool.connections_by_engine.get(b"node-0", ())
        )
        await harness.wait_until(lambda: not upstream.pool.connections_by_engine)

    run_with_harness(scenario, never_answer)


def test_a_late_answer_to_an_abandoned_attempt_is_dropped() -> None:
    kept: list[tuple[ComputeNodeConnection, bytes]] = []

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch" and not kept:
            kept.append((peer, words[1]))
        elif words[0] == b"abort":
            kept[0][0].send_result(words[1], b"late\t\t\n")
        elif words[0] == b"fetch":
            peer.send_result(words[1])

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        # Another answer in between keeps the connection in use.
        first = client.call("ask", request_id(1))
        await harness.wait_until(lambda: kept)
        second = client.call("ask", request_id(2))
        assert (await client.read_answer(second))[0] is None
        client.send_raw(msgspec.msgpack.encode([2, "forget", [first]]))
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"abort"))
        third = client.call("ask", request_id(3))
        assert await client.read_answer(third) == (None, [ROWS, {}])
        # The same request again is not sent where the late answer may come.
        fourth = client.call("ask", request_id(1))
        assert await client.read_answer(fourth) == (None, [ROWS, {}])
        assert first not in client.answers
        assert len(harness.compute_nodes[0].connections) == 2

    run_with_harness(scenario, script)


def test_answers_under_unknown_ids_leave_the_connection_alive() -> None:
    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.send_result(b"ffffffffffffffff")
            peer.send_result(words[1])
            peer.send_result(words[1], b"a second copy\t\t\n")

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        for n in range(5):
            assert await client.read_answer(client.call("ask", request_id(n))) == (None, [ROWS, {}])
        assert len(harness.compute_nodes[0].connections) == 1

    run_with_harness(scenario, script)


def test_a_spoilt_answer_ends_the_others_on_its_connection_at_once() -> None:
    """Guards against waiting for what will not come: the connection is of no use to the others either."""
    fetched: list[bytes] = []

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] != b"fetch":
            return
        fetched.append(words[1])
        if len(fetched) == 2:
            peer.send_result(words[1], b"no row")
        elif len(fetched) > 2:
            peer.send_result(words[1])

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        client = await harness.client()
        ids = [client.call("ask", request_id(n)) for n in range(2)]
        for msgid in ids:
            assert (await client.read_answer(msgid, 1.5))[0] is None
        assert sorted(told) == sorted([Outcome.ERROR, Outcome.RESET, Outcome.OK, Outcome.OK])

    run_with_harness(scenario, script)


def test_what_has_not_left_for_a_node_that_drains_does_not_leave() -> None:
    """A drain is told while the attempt waits for its connection."""

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        upstream, real = harness.server.upstream, connection_module.UpstreamConnection._run

        async def held(link: Any) -> None:
            await draining.wait()
            await real(link)

        draining = asyncio.Event()
        connection_module.UpstreamConnection._run = held  # type: ignore[method-assign]
        try:
            msgid = client.call("ask", REQUEST_ID)
            await harness.wait_until(lambda: upstream.pool.connections_by_engine)
            name = next(iter(upstream.pool.connections_by_engine)).decode()
            port = harness.compute_nodes[int(name[-1])].port
            harness.feed.send_event(2, [member(name, port, "draining")])
            await harness.wait_until(lambda: Outcome.NOT_SENT in told)
        finally:
            connection_module.UpstreamConnection._run = real  # type: ignore[method-assign]
            draining.set()
        assert (await client.read_answer(msgid))[0] is None
        assert not harness.compute_nodes[int(name[-1])].commands(b"fetch")

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_a_connection_that_broke_unseen_takes_nothing_and_loses_no_answer() -> None:
    """Guards against the turn between a break and the reader's: an effect failed there."""

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        link = next(iter(harness.server.upstream.pool.connections_by_engine.values()))[0]
        link.stream.close()
        assert not link.has_capacity(b"x", 32)
        assert await client.read_answer(client.call("ask", request_id(2))) == (None, [ROWS, {}])
        assert told == [Outcome.OK, Outcome.OK]

    run_with_harness(scenario)


@pytest.mark.parametrize("there", [True, False])
def test_a_write_to_a_connection_that_has_gone_never_ran(there: bool) -> None:
    """It begins once more on a new one: an answer where its node is there, and the proof where it is not."""

    async def scenario(harness: Harness) -> None:
        told, compute = record_outcomes(harness), harness.compute_nodes[0]
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        link = next(iter(harness.server.upstream.pool.connections_by_engine.values()))[0]
        harness.server.executor.transport.begin = lambda attempt, begin=harness.server.upstream.begin: (  # type: ignore
            begin(attempt),
            link.stream.close(),
        )
        if not there:
            assert compute.server is not None
            compute.server.close()
        client.call("frail", request_id(2))
        await harness.wait_until(lambda: len(told) > 1)
        assert told[1] is (Outcome.OK if there else Outcome.CONNECT_FAILED)
        assert len(compute.commands(b"fetch")) == (2 if there else 1)

    run_with_harness(scenario)


def test_a_connection_that_came_up_while_the_process_was_held_up_is_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its time and its coming up are met in one turn of the loop: it counted as refused, its node as ill."""
    real = connection_module.Stream.connect

    def connect(stream: connection_module.Stream, address: Any) -> Any:
        coming = real(stream, address)
        time.sleep(0.3)  # the loop is held up for longer than a connection may take
        return coming

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        monkeypatch.setattr(connection_module.Stream, "connect", connect)
        client = await harness.client()
        assert await client.read_answer(client.call("frail", request_id(1))) == (None, [ROWS, {}])
        assert told == [Outcome.OK]

    run_with_harness(scenario)


def test_a_node_that_moves_is_reached_at_its_new_address_and_nowhere_else() -> None:
    """Guards against connections that nobody knows of: their entry went with the old address's last."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", request_id(1))))[0] is None
        other = ComputeNode()
        await other.start()
        harness.compute_nodes.append(other)
        harness.feed.send_event(2, [member("node-0", other.port)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        for n in range(2, 5):
            assert (await client.read_answer(client.call("ask", request_id(n))))[0] is None
        assert len(other.commands(b"fetch")) == 3 and len(other.connections) == 1
        assert [
            link.address[1] for link in harness.server.upstream.pool.connections_by_engine[b"node-0"]
        ] == [other.port]

    run_with_harness(scenario)


def test_connections_close_before_the_node_would() -> None:
    limits = SETTINGS["limits"] | {"idleClose": 0.3}

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        await client.read_answer(client.call("ask", REQUEST_ID))
        await harness.wait_until(lambda: not harness.server.upstream.pool.connections_by_engine)

    run_with_harness(scenario, settings=SETTINGS | {"limits": limits})


def test_more_nodes_than_connections_are_all_reached(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an attempt that ends as if its node had no address, for idle connections fill up."""

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        client = await harness.client()
        for n in range(60):
            msgid = client.call("ask", request_id(n), b"SELECT 1 FROM s_%d.t" % n)
            assert await client.read_answer(msgid) == (None, [ROWS, {}])
        upstream = harness.server.upstream
        assert (
            sum(bool(compute.received_commands) for compute in harness.compute_nodes)
            > upstream.pool.limits.max_connections
        )
        assert upstream.pool.connections_in_use <= upstream.pool.limits.max_connections
        assert told == [Outcome.OK] * 60

    assume_default_open_descriptors(monkeypatch)
    run_with_harness(scenario, *[answer_fetches] * 24, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})


def test_elapsed_runs_from_the_write_to_the_last_byte() -> None:
    """Guards against taking our own wait for a connection for a slow node."""
    spans: list[float] = []

    async def scenario(harness: Harness) -> None:
        real = connection_module.UpstreamConnection._run

        async def slow(link: Any) -> None:
            await asyncio.sleep(0.15)
            await real(link)

        done = harness.server.executor.finish_attempt

        def spy(attempt: Any, outcome: Outcome, elapsed: float, *rest: Any) -> None:
            spans.append(elapsed)
            done(attempt, outcome, elapsed, *rest)

        harness.server.executor.finish_attempt = spy  # type: ignore[method-assign]
        connection_module.UpstreamConnection._run = slow  # type: ignore[method-assign]
        try:
            client = await harness.client()
            await client.read_answer(client.call("ask", REQUEST_ID))
        finally:
            connection_module.UpstreamConnection._run = real  # type: ignore[method-assign]
        assert spans[0] < 0.15

    run_with_harness(scenario)
