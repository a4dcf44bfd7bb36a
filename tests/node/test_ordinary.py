"""A request on its way through one node."""

from __future__ import annotations

import asyncio

import msgspec
from platform_world import (
    ROWS,
    ComputeNodeConnection,
    Harness,
)

from saffronlane.interface import Outcome

from .support import REQUEST_ID, never_answer, record_outcomes, request_id, run_with_harness


def test_a_request_is_served() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        msgid = client.call("ask", REQUEST_ID, b"SELECT 1 FROM s_3.t", est="820.0", memory="96")
        assert await client.read_answer(msgid) == (None, [ROWS, {}])
        verb, name, fields, body = harness.compute_nodes[0].received_commands[0]
        assert (verb, name, body) == (b"fetch", REQUEST_ID.encode(), b"SELECT 1 FROM s_3.t")
        told = dict(part.split(b"=") for part in fields.split(b","))
        assert told[b"c"] == b"ask" and 0 < int(told[b"w"]) <= 3000 and b"i" not in told
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario)


def test_pages_are_joined_in_order_and_given_back() -> None:
    pages = [b"%d\tx\ty\n" % n for n in range(20)]

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.send_result(words[1], pages[0], 20)
        elif words[0] == b"more":
            n = int(words[2])
            peer.send(words[1], b"MORE", b"sheet=%d" % n, pages[n])
            peer.send(words[1], b"MORE", b"sheet=%d" % n, b"a second copy\t\t\n")

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        assert await client.read_answer(client.call("ask", REQUEST_ID)) == (None, [b"".join(pages), {}])
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"done"))
        assert len(harness.compute_nodes[0].commands(b"more")) == 19

    run_with_harness(scenario, script)


def test_a_lost_page_is_asked_for_again_and_nothing_runs_twice() -> None:
    """Guards against one page lost on a living connection: the request waited for its limit, or ran again."""
    lost: list[bytes] = []

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.send_result(words[1], ROWS, 4)
        elif words[0] == b"more" and words[2] == b"2" and len(lost) < 2:
            lost.append(words[2])
        elif words[0] == b"more":
            peer.send(words[1], b"MORE", b"sheet=" + words[2], ROWS)

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        client = await harness.client()
        assert await client.read_answer(client.call("ask", REQUEST_ID)) == (None, [ROWS * 4, {}])
        assert told == [Outcome.OK] and len(lost) == 2
        assert len(harness.compute_nodes[0].commands(b"fetch")) == 1

    run_with_harness(scenario, script)


def test_answers_come_in_any_order_and_keys_go_along() -> None:
    waiting: list[tuple[ComputeNodeConnection, bytes]] = []

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        waiting.append((peer, words[1]))
        if len(waiting) == 3:
            for one, name in reversed(waiting):
                one.send_result(name, name + b"\t\t\n")

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        ids = [client.call("ask", request_id(n)) for n in range(2)]
        ids.append(client.call("load", request_id(2), token="5c0f6e1a2b3d4c59", obj="7f3a9c21e0b4d655"))
        for n, msgid in enumerate(ids):
            assert await client.read_answer(msgid) == (None, [request_id(n).encode() + b"\t\t\n", {}])
        assert b"i=5c0f6e1a2b3d4c59" in harness.compute_nodes[0].commands(b"fetch")[2][2]

    run_with_harness(scenario, script)


def test_requests_of_one_key_run_one_after_the_other_over_two_connections() -> None:
    running: list[bytes] = []
    order: list[bytes] = []

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        assert not running, "two at once"
        running.append(words[1])
        order.append(words[1])
        await asyncio.sleep(0.02)
        running.clear()
        peer.send_result(words[1])

    async def scenario(harness: Harness) -> None:
        one, two = await harness.client(), await harness.client()
        key = {"token": "5c0f6e1a2b3d4c59", "obj": "7f3a9c21e0b4d655"}
        asked = []
        for n in range(4):
            client = (one, two)[n % 2]
            asked.append((client, client.call("load", request_id(n), **key)))
            await harness.wait_until(lambda n=n: harness.server.downstream.request_count == n + 1)  # type: ignore[misc]
        for client, msgid in asked:
            assert (await client.read_answer(msgid))[0] is None
        assert order == [request_id(n).encode() for n in range(4)]

    run_with_harness(scenario, script)


def test_is_well() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send_raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.read_answer(1) == (None, [True, {}])
        harness.server.stop()
        client.send_raw(msgspec.msgpack.encode([0, 2, "isWell", [{}]]))
        assert await client.read_answer(2) == (None, [False, {}])

    run_with_harness(scenario)


def test_without_a_list_it_is_not_well() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send_raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.read_answer(1) == (None, [False, {}])

    run_with_harness(scenario, known={"n": 0, "events": []})


def test_forget_takes_a_request_back() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        msgid = client.call("ask", REQUEST_ID)
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"fetch"))
        client.send_raw(msgspec.msgpack.encode([2, "forget", [msgid, 99]]))
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"abort"))
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))
        assert not client.answers

    run_with_harness(scenario, never_answer)


def test_a_refusal_says_when_to_come_back() -> None:
    async def full(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        peer.send(words[1], b"WAIT", b"-", b"")

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        error, result = await client.read_answer(client.call("ask", REQUEST_ID))
        assert error[0] == "Shed" and 1 <= int(error[1]["backoff"]) <= 500 and result is None

    run_with_harness(scenario, full)
