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
from platform_world import ROWS, SETTINGS, ComputeNodeConnection, Harness

from saffronlane.platform import managed_connection as endpoint
from saffronlane.platform import shutdown, stream
from saffronlane.platform.lifecycle import Phase
from saffronlane.platform.lifecycle.process import NEW_REQUEST_WINDOW, OutstandingWork

from .support import (
    SyncClient,
    encode_call,
    never_answer,
    paged_results,
    request_id,
    run_with_harness,
    server_process,
    slow_client,
)


def answers(data: bytes) -> list[Any]:
    unpacker = msgspec.msgpack.Decoder()
    return [unpacker.decode(data)] if data else []


async def ended(harness: Harness, seconds: float = 5.0) -> None:
    async with asyncio.timeout(seconds):
        await harness.server.run()


def end_crossed_by(harness: Harness, monkeypatch: pytest.MonkeyPatch, cross: Callable[[], None]) -> None:
    """Tell the process to end, with a crossing right before the look that decides it.

    The process's clock is held before its end until then, and past it at that look. Guards against a look
    between two readings of the clock, the process's and the test's, which ended it uncrossed.
    """
    process, loop, crossed = harness.server.process, asyncio.get_running_loop(), []
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
    harness.server.stop()
    after = loop.time()


@pytest.mark.parametrize("where", ["resting", "new", "both"])
def test_what_comes_in_the_last_instant_is_answered(where: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """On a connection that rested, and on one that waits to be accepted, there when the end is decided.

    Guards against what is read or accepted between the last look and the close.
    """

    async def scenario(harness: Harness) -> None:
        port, late = harness.server.downstream.port, []
        resting = SyncClient(port)
        await harness.wait_until(lambda: harness.server.downstream.clients)

        def cross() -> None:
            late.extend([resting] if where != "new" else [])
            late.extend([SyncClient(port)] if where != "resting" else [])
            for n, client in enumerate(late, 1):
                client.send(encode_call(1, rid=request_id(n)))

        end_crossed_by(harness, monkeypatch, cross)
        await ended(harness)
        assert len(late) == (2 if where == "both" else 1)
        for client in late:
            data, reset = await client.read_to_end()
            assert not reset and answers(data) == [[1, 1, None, [ROWS, {}]]]

    run_with_harness(scenario)


def test_what_waits_outside_a_full_house_at_the_end_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections are full at the last look, and one waits in the system with its request: it was reset."""

    async def scenario(harness: Harness) -> None:
        front, late = harness.server.downstream, []
        front.max_clients = 2
        resting = await harness.client()
        assert (await resting.read_answer(resting.call("ask", request_id(1))))[
            0
        ] is None  # too lately to make way

        def cross() -> None:
            late.append(SyncClient(front.port))  # the last that there is room for, and too new
            late.append(SyncClient(front.port))
            late[1].send(encode_call(1, rid=request_id(2)))

        end_crossed_by(harness, monkeypatch, cross)
        await ended(harness)
        data, reset = await late[1].read_to_end()
        assert not reset and answers(data) == [[1, 1, None, [ROWS, {}]]]
        late[0].close()

    run_with_harness(scenario)


def test_what_is_read_but_not_acted_on_yet_is_not_at_rest() -> None:
    """Between the socket's turn of the loop and the reader's the bytes are in neither."""

    async def scenario() -> None:
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

    asyncio.run(scenario())


def test_a_request_that_crosses_the_end_is_not_sent_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes after the last look and before the shutdown: its client sends it elsewhere, unharmed."""

    async def scenario(harness: Harness) -> None:
        node = harness.server
        client = SyncClient(node.downstream.port)
        client.send(encode_call(1, rid=request_id(1)))
        await harness.wait_until(
            lambda: node.downstream.request_count == 1 and not node.downstream.has_unsent_replies
        )
        drain = node.downstream.drain

        def crossed() -> None:
            client.send(encode_call(2, rid=request_id(2)))
            drain()

        monkeypatch.setattr(node.downstream, "drain", crossed)
        node.stop()
        data, reset = await client.read_to_end()
        await ended(harness)
        assert not reset and answers(data) == [[1, 1, None, [ROWS, {}]]]
        assert [words[1] for words in harness.compute_nodes[0].commands(b"fetch")] == [request_id(1).encode()]

    run_with_harness(scenario)


def test_clients_that_rest_and_half_a_request_end_without_a_reset() -> None:
    async def scenario(harness: Harness) -> None:
        node = harness.server
        resting, half = SyncClient(node.downstream.port), SyncClient(node.downstream.port)
        half.send(encode_call(1)[:30])
        await harness.wait_until(lambda: len(node.downstream.clients) == 2)
        node.stop()
        await asyncio.sleep(0.9)
        half.send(encode_call(1)[30:40])  # it is still being written
        for client in (resting, half):
            assert await client.read_to_end() == (b"", False)
        await ended(harness)

    run_with_harness(scenario)


def test_every_node_hangs_and_each_request_has_its_answer_in_time() -> None:
    """The process ends soon after the last debt, though its attempts never end."""
    longer = [SETTINGS["services"][0] | {"deadline": 16.0}, *SETTINGS["services"][1:]]

    async def scenario(harness: Harness) -> None:
        node, loop = harness.server, asyncio.get_running_loop()
        client = await harness.client()
        ids = {client.call("ask", request_id(n), budget=str(900 + 200 * n)): 0.9 + 0.2 * n for n in range(4)}
        await harness.wait_until(lambda: node.downstream.request_count == 4)
        began = loop.time()
        node.stop()
        for msgid, seconds in ids.items():
            error, _ = await client.read_answer(msgid)
            assert error[0] in ("Shed", "Fault") and loop.time() < began + seconds + 0.05
        owed_until = loop.time()
        client.close()
        await ended(harness)
        assert loop.time() < owed_until + 0.7

    run_with_harness(scenario, never_answer, never_answer, settings=SETTINGS | {"services": longer})


def test_deadlines_past_the_kill_are_answered_before_it() -> None:
    """SIGKILL comes 3.7 s after SIGTERM at the earliest, however long the deadlines are.

    Guards against requests that nobody answers: every node hangs, and the deadline is 16 s.
    """
    longer = [one | {"deadline": 16.0} for one in SETTINGS["services"]]

    async def scenario(harness: Harness) -> None:
        node, loop = harness.server, asyncio.get_running_loop()
        client = await harness.client()
        ids = [client.call(cls, request_id(n), budget="16000") for n, cls in enumerate(("ask", "frail"))]
        await harness.wait_until(lambda: sum(len(c.commands(b"fetch")) for c in harness.compute_nodes) >= 2)
        began = loop.time()
        node.stop()
        await asyncio.sleep(0.5)
        ids.append(client.call("ask", request_id(9), budget="16000"))
        words = [(await client.read_answer(msgid))[0][0] for msgid in ids]
        assert words == ["Shed", "Fault", "Shed"] and 3.0 < loop.time() - began < 3.6
        client.close()
        await ended(harness)
        assert loop.time() - began < 3.7

    run_with_harness(scenario, never_answer, never_answer, settings=SETTINGS | {"services": longer})


def test_asked_twice_it_answers_all_at_once() -> None:
    """A request that surely never ran, and one that may be repeated, is refused; one that may not fails."""

    async def scenario(harness: Harness) -> None:
        node, loop = harness.server, asyncio.get_running_loop()
        client = await harness.client()
        safe, unsafe = client.call("ask", request_id(1)), client.call("frail", request_id(2))
        await harness.wait_until(lambda: len(harness.compute_nodes[0].commands(b"fetch")) == 2)
        began = loop.time()
        node.stop()
        node.stop()
        assert (await client.read_answer(safe))[0][0] == "Shed"
        assert (await client.read_answer(unsafe))[0][0] == "Fault"
        client.close()
        await ended(harness)
        assert loop.time() < began + 1.0

    run_with_harness(scenario, never_answer)


def test_the_end_waits_for_what_a_slow_client_has_still_to_read(monkeypatch: pytest.MonkeyPatch) -> None:
    page = (b"x" * 2990 + b"\ty\tz\n") * 2

    async def scenario(harness: Harness) -> None:
        node, loop = harness.server, asyncio.get_running_loop()
        async with slow_client(harness, 10) as (client, _):
            node.stop()
            await asyncio.sleep(1.5)
            assert node.process.phase is Phase.DRAINING
            total = 0
            while data := await loop.sock_recv(client, 65_536):
                total += len(data)
            assert total > 10 * 7 * len(page)
        await ended(harness)

    run_with_harness(scenario, paged_results(page, 7))


@pytest.mark.parametrize("wait", [0.0, 0.3])
def test_the_process_ends_by_itself_and_owes_nothing(wait: float, tmp_path: Path) -> None:
    """SIGTERM while attempts run, more requests within the time in which they may come, exit 0."""

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            asyncio.get_running_loop().call_later(wait, peer.send_result, words[1])

    async def scenario() -> None:
        async with server_process(tmp_path, script) as running, asyncio.timeout(20.0):
            process, client = running.process, await running.client()
            ids = [client.call("ask", request_id(n)) for n in range(5)]
            await client.read_answer(ids[0]) if not wait else None
            process.send_signal(signal.SIGTERM)
            await running.wait_for_log(b"shutdown requested")
            ids += [client.call("ask", request_id(n)) for n in range(5, 10)]
            new = await running.client()
            asked = new.call("ask", request_id(10))
            for msgid in ids:
                assert (await client.read_answer(msgid))[0] is None
            assert (await new.read_answer(asked))[0] is None
            assert await client.reader.read() == b""
            client.close()
            new.close()
            assert await process.wait() == 0

    asyncio.run(scenario())


def test_a_process_whose_nodes_all_hang_answers_before_it_is_killed_and_ends(tmp_path: Path) -> None:
    """Deadlines of 16 s, SIGKILL 3.7 s after SIGTERM at the earliest: the whole process, with its signals."""
    longer = [one | {"deadline": 16.0} for one in SETTINGS["services"]]

    async def scenario() -> None:
        changes = {"settings": SETTINGS | {"services": longer}}
        async with (
            server_process(tmp_path, never_answer, never_answer, **changes) as running,
            asyncio.timeout(20.0),
        ):
            loop, client = asyncio.get_running_loop(), await running.client()
            resting = await running.client()  # it rests until the process ends it
            ids = [client.call(cls, request_id(n), budget="16000") for n, cls in enumerate(("ask", "frail"))]
            while sum(len(compute.commands(b"fetch")) for compute in running.compute_nodes) < 2:
                await asyncio.sleep(0.01)
            began = loop.time()
            running.process.send_signal(signal.SIGTERM)
            await running.wait_for_log(b"shutdown requested")
            ids.append(client.call("ask", request_id(9), budget="16000"))
            assert [(await client.read_answer(msgid))[0][0] for msgid in ids] == ["Shed", "Fault", "Shed"]
            assert loop.time() - began < 3.7
            assert await resting.reader.read() == b"" and await client.reader.read() == b""
            client.close()
            resting.close()
            assert await running.process.wait() == 0

    asyncio.run(scenario())


def test_every_endpoint_ends_closed_with_nothing_open() -> None:
    """Whatever its last state was, nothing of a connection stays once the node has been closed."""

    async def scenario(harness: Harness) -> None:
        made: list[endpoint.ManagedConnection] = []
        start = endpoint.ManagedConnection.start

        def kept(one: endpoint.ManagedConnection) -> None:
            made.append(one)
            start(one)

        endpoint.ManagedConnection.start = kept  # type: ignore[method-assign]
        try:
            clients = [await harness.client() for _ in range(6)]
            for n, client in enumerate(clients):
                client.call("ask", request_id(n))
            clients[0].send_raw(b"\xc1" * 10)
            await harness.wait_until(lambda: harness.table_sizes()["connection_attempts"])
            harness.server.close()
        finally:
            endpoint.ManagedConnection.start = start  # type: ignore[method-assign]
        assert made and all(one.lifecycle.is_closed and not one.has_pending_work for one in made)

    run_with_harness(scenario, never_answer)
