"""The process ends: what comes in its last instants, and what it still owes."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from platform_world import ROWS, SETTINGS, Peer, World

from saffronlane.platform import managed_connection as endpoint
from saffronlane.platform import shutdown, stream
from saffronlane.platform.lifecycle import Phase
from saffronlane.platform.lifecycle.process import NEW_REQUEST_WINDOW, OutstandingWork

from .support import SyncClient, call, own_process, paged, play, rid, silent, slow_client


def answers(data: bytes) -> list[Any]:
    unpacker = msgspec.msgpack.Decoder()
    return [unpacker.decode(data)] if data else []


async def ended(built: World, seconds: float = 5.0) -> None:
    async with asyncio.timeout(seconds):
        await built.node.run()


def end_crossed_by(built: World, monkeypatch: pytest.MonkeyPatch, cross: Callable[[], None]) -> None:
    """Tell the process to end, with a crossing right before the look that decides it.

    The process's clock is held before its end until then, and past it at that look. Guards against a look
    between two readings of the clock, the process's and the test's, which ended it uncrossed.
    """
    process, loop, crossed = built.node.process, asyncio.get_running_loop(), []
    sleep, look = asyncio.sleep, process.advance

    async def last(seconds: float) -> None:
        await sleep(seconds)
        if seconds == shutdown.CHECK_INTERVAL and not crossed:
            crossed.append(True)
            cross()

    def decide(now: float, debts: OutstandingWork) -> Phase:
        return look(max(now, after + NEW_REQUEST_WINDOW) if crossed else min(now, before + 0.5), debts)

    monkeypatch.setattr(shutdown.asyncio, "sleep", last)
    monkeypatch.setattr(process, "advance", decide)
    before = loop.time()
    built.node.stop()
    after = loop.time()


@pytest.mark.parametrize("where", ["resting", "new", "both"])
def test_what_comes_in_the_last_instant_is_answered(where: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """On a connection that rested, and on one that waits to be accepted, there when the end is decided.

    Guards against what is read or accepted between the last look and the close.
    """

    async def work(built: World) -> None:
        port, late = built.node.downstream.port, []
        resting = SyncClient(port)
        await built.until(lambda: built.node.downstream.clients)

        def cross() -> None:
            late.extend([resting] if where != "new" else [])
            late.extend([SyncClient(port)] if where != "resting" else [])
            for n, client in enumerate(late, 1):
                client.send(call(1, rid=rid(n)))

        end_crossed_by(built, monkeypatch, cross)
        await ended(built)
        assert len(late) == (2 if where == "both" else 1)
        for client in late:
            data, reset = await client.rest()
            assert not reset and answers(data) == [[1, 1, None, [ROWS, {}]]]

    play(work)


def test_what_waits_outside_a_full_house_at_the_end_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections are full at the last look, and one waits in the system with its request: it was reset."""

    async def work(built: World) -> None:
        front, late = built.node.downstream, []
        front.max_clients = 2
        resting = await built.client()
        assert (await resting.answer(resting.call("ask", rid(1))))[0] is None  # too lately to make way

        def cross() -> None:
            late.append(SyncClient(front.port))  # the last that there is room for, and too new
            late.append(SyncClient(front.port))
            late[1].send(call(1, rid=rid(2)))

        end_crossed_by(built, monkeypatch, cross)
        await ended(built)
        data, reset = await late[1].rest()
        assert not reset and answers(data) == [[1, 1, None, [ROWS, {}]]]
        late[0].close()

    play(work)


def test_what_is_read_but_not_acted_on_yet_is_not_at_rest() -> None:
    """Between the socket's turn of the loop and the reader's the bytes are in neither."""

    async def work() -> None:
        ours, theirs = socket.socketpair()
        one = stream.Stream(ours, 1_000_000, 1_000_000)
        reading = one.read_bytes(100, partial=True)
        assert not one.has_undelivered_data
        theirs.send(b"x")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert one.has_undelivered_data and await reading == b"x"
        one.close()
        theirs.close()

    asyncio.run(work())


def test_a_request_that_crosses_the_end_is_not_sent_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes after the last look and before the shutdown: its client sends it elsewhere, unharmed."""

    async def work(built: World) -> None:
        node = built.node
        client = SyncClient(node.downstream.port)
        client.send(call(1, rid=rid(1)))
        await built.until(
            lambda: node.downstream.request_count == 1 and not node.downstream.has_unsent_replies
        )
        drain = node.downstream.drain

        def crossed() -> None:
            client.send(call(2, rid=rid(2)))
            drain()

        monkeypatch.setattr(node.downstream, "drain", crossed)
        node.stop()
        data, reset = await client.rest()
        await ended(built)
        assert not reset and answers(data) == [[1, 1, None, [ROWS, {}]]]
        assert [words[1] for words in built.computes[0].words(b"fetch")] == [rid(1).encode()]

    play(work)


def test_clients_that_rest_and_half_a_request_end_without_a_reset() -> None:
    async def work(built: World) -> None:
        node = built.node
        resting, half = SyncClient(node.downstream.port), SyncClient(node.downstream.port)
        half.send(call(1)[:30])
        await built.until(lambda: len(node.downstream.clients) == 2)
        node.stop()
        await asyncio.sleep(0.9)
        half.send(call(1)[30:40])  # it is still being written
        for client in (resting, half):
            assert await client.rest() == (b"", False)
        await ended(built)

    play(work)


def test_every_node_hangs_and_each_request_has_its_answer_in_time() -> None:
    """The process ends soon after the last debt, though its attempts never end."""
    longer = [SETTINGS["services"][0] | {"deadline": 16.0}, *SETTINGS["services"][1:]]

    async def work(built: World) -> None:
        node, loop = built.node, asyncio.get_running_loop()
        client = await built.client()
        ids = {client.call("ask", rid(n), budget=str(900 + 200 * n)): 0.9 + 0.2 * n for n in range(4)}
        await built.until(lambda: node.downstream.request_count == 4)
        began = loop.time()
        node.stop()
        for msgid, seconds in ids.items():
            error, _ = await client.answer(msgid)
            assert error[0] in ("Shed", "Fault") and loop.time() < began + seconds + 0.05
        owed_until = loop.time()
        client.close()
        await ended(built)
        assert loop.time() < owed_until + 0.7

    play(work, silent, silent, settings=SETTINGS | {"services": longer})


def test_deadlines_past_the_kill_are_answered_before_it() -> None:
    """SIGKILL comes 3.7 s after SIGTERM at the earliest, however long the deadlines are.

    Guards against requests that nobody answers: every node hangs, and the deadline is 16 s.
    """
    longer = [one | {"deadline": 16.0} for one in SETTINGS["services"]]

    async def work(built: World) -> None:
        node, loop = built.node, asyncio.get_running_loop()
        client = await built.client()
        ids = [client.call(cls, rid(n), budget="16000") for n, cls in enumerate(("ask", "frail"))]
        await built.until(lambda: sum(len(c.words(b"fetch")) for c in built.computes) >= 2)
        began = loop.time()
        node.stop()
        await asyncio.sleep(0.5)
        ids.append(client.call("ask", rid(9), budget="16000"))
        words = [(await client.answer(msgid))[0][0] for msgid in ids]
        assert words == ["Shed", "Fault", "Shed"] and 3.0 < loop.time() - began < 3.6
        client.close()
        await ended(built)
        assert loop.time() - began < 3.7

    play(work, silent, silent, settings=SETTINGS | {"services": longer})


def test_asked_twice_it_answers_all_at_once() -> None:
    """A request that surely never ran, and one that may be repeated, is refused; one that may not fails."""

    async def work(built: World) -> None:
        node, loop = built.node, asyncio.get_running_loop()
        client = await built.client()
        safe, unsafe = client.call("ask", rid(1)), client.call("frail", rid(2))
        await built.until(lambda: len(built.computes[0].words(b"fetch")) == 2)
        began = loop.time()
        node.stop()
        node.stop()
        assert (await client.answer(safe))[0][0] == "Shed"
        assert (await client.answer(unsafe))[0][0] == "Fault"
        client.close()
        await ended(built)
        assert loop.time() < began + 1.0

    play(work, silent)


def test_the_end_waits_for_what_a_slow_client_has_still_to_read(monkeypatch: pytest.MonkeyPatch) -> None:
    page = (b"x" * 2990 + b"\ty\tz\n") * 2

    async def work(built: World) -> None:
        node, loop = built.node, asyncio.get_running_loop()
        async with slow_client(built, 10) as (client, _):
            node.stop()
            await asyncio.sleep(1.5)
            assert node.process.phase is Phase.DRAINING
            total = 0
            while data := await loop.sock_recv(client, 65_536):
                total += len(data)
            assert total > 10 * 7 * len(page)
        await ended(built)

    play(work, paged(page, 7))


@pytest.mark.parametrize("wait", [0.0, 0.3])
def test_the_process_ends_by_itself_and_owes_nothing(wait: float, tmp_path: Path) -> None:
    """SIGTERM while attempts run, more requests within the time in which they may come, exit 0."""

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            asyncio.get_running_loop().call_later(wait, peer.done, words[1])

    async def work() -> None:
        async with own_process(tmp_path, script) as running, asyncio.timeout(20.0):
            process, client = running.process, await running.client()
            ids = [client.call("ask", rid(n)) for n in range(5)]
            await client.answer(ids[0]) if not wait else None
            process.send_signal(signal.SIGTERM)
            await running.until_logged(b"shutdown requested")
            ids += [client.call("ask", rid(n)) for n in range(5, 10)]
            new = await running.client()
            asked = new.call("ask", rid(10))
            for msgid in ids:
                assert (await client.answer(msgid))[0] is None
            assert (await new.answer(asked))[0] is None
            assert await client.reader.read() == b""
            client.close()
            new.close()
            assert await process.wait() == 0

    asyncio.run(work())


def test_a_process_whose_nodes_all_hang_answers_before_it_is_killed_and_ends(tmp_path: Path) -> None:
    """Deadlines of 16 s, SIGKILL 3.7 s after SIGTERM at the earliest: the whole process, with its signals."""
    longer = [one | {"deadline": 16.0} for one in SETTINGS["services"]]

    async def work() -> None:
        changes = {"settings": SETTINGS | {"services": longer}}
        async with own_process(tmp_path, silent, silent, **changes) as running, asyncio.timeout(20.0):
            loop, client = asyncio.get_running_loop(), await running.client()
            resting = await running.client()  # it rests until the process ends it
            ids = [client.call(cls, rid(n), budget="16000") for n, cls in enumerate(("ask", "frail"))]
            while sum(len(compute.words(b"fetch")) for compute in running.computes) < 2:
                await asyncio.sleep(0.01)
            began = loop.time()
            running.process.send_signal(signal.SIGTERM)
            await running.until_logged(b"shutdown requested")
            ids.append(client.call("ask", rid(9), budget="16000"))
            assert [(await client.answer(msgid))[0][0] for msgid in ids] == ["Shed", "Fault", "Shed"]
            assert loop.time() - began < 3.7
            assert await resting.reader.read() == b"" and await client.reader.read() == b""
            client.close()
            resting.close()
            assert await running.process.wait() == 0

    asyncio.run(work())


def test_every_endpoint_ends_closed_with_nothing_open() -> None:
    """Whatever its last state was, nothing of a connection stays once the node has been closed."""

    async def work(built: World) -> None:
        made: list[endpoint.ManagedConnection] = []
        start = endpoint.ManagedConnection.start

        def kept(one: endpoint.ManagedConnection) -> None:
            made.append(one)
            start(one)

        endpoint.ManagedConnection.start = kept  # type: ignore[method-assign]
        try:
            clients = [await built.client() for _ in range(6)]
            for n, client in enumerate(clients):
                client.call("ask", rid(n))
            clients[0].raw(b"\xc1" * 10)
            await built.until(lambda: built.tables()["open"])
            built.node.close()
        finally:
            endpoint.ManagedConnection.start = start  # type: ignore[method-assign]
        assert made and all(one.lifecycle.is_closed and not one.has_pending_work for one in made)

    play(work, silent)
