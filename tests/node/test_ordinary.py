"""A request on its way through one node."""

from __future__ import annotations

import asyncio

import msgspec
from platform_world import (
    ROWS,
    Peer,
    World,
)

from saffronlane.interface import Outcome

from .support import RID, outcomes, play, rid, silent


def test_a_request_is_served() -> None:
    async def work(built: World) -> None:
        client = await built.client()
        msgid = client.call("ask", RID, b"SELECT 1 FROM s_3.t", est="820.0", memory="96")
        assert await client.answer(msgid) == (None, [ROWS, {}])
        verb, name, fields, body = built.computes[0].heard[0]
        assert (verb, name, body) == (b"fetch", RID.encode(), b"SELECT 1 FROM s_3.t")
        told = dict(part.split(b"=") for part in fields.split(b","))
        assert told[b"c"] == b"ask" and 0 < int(told[b"w"]) <= 3000 and b"i" not in told
        await built.until(lambda: not any(built.tables().values()))

    play(work)


def test_pages_are_joined_in_order_and_given_back() -> None:
    pages = [b"%d\tx\ty\n" % n for n in range(20)]

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.done(words[1], pages[0], 20)
        elif words[0] == b"more":
            n = int(words[2])
            peer.send(words[1], b"MORE", b"sheet=%d" % n, pages[n])
            peer.send(words[1], b"MORE", b"sheet=%d" % n, b"a second copy\t\t\n")

    async def work(built: World) -> None:
        client = await built.client()
        assert await client.answer(client.call("ask", RID)) == (None, [b"".join(pages), {}])
        await built.until(lambda: built.computes[0].words(b"done"))
        assert len(built.computes[0].words(b"more")) == 19

    play(work, script)


def test_a_lost_page_is_asked_for_again_and_nothing_runs_twice() -> None:
    """Guards against one page lost on a living connection: the request waited for its limit, or ran again."""
    lost: list[bytes] = []

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.done(words[1], ROWS, 4)
        elif words[0] == b"more" and words[2] == b"2" and len(lost) < 2:
            lost.append(words[2])
        elif words[0] == b"more":
            peer.send(words[1], b"MORE", b"sheet=" + words[2], ROWS)

    async def work(built: World) -> None:
        told = outcomes(built)
        client = await built.client()
        assert await client.answer(client.call("ask", RID)) == (None, [ROWS * 4, {}])
        assert told == [Outcome.OK] and len(lost) == 2
        assert len(built.computes[0].words(b"fetch")) == 1

    play(work, script)


def test_answers_come_in_any_order_and_keys_go_along() -> None:
    waiting: list[tuple[Peer, bytes]] = []

    async def script(peer: Peer, words: list[bytes]) -> None:
        waiting.append((peer, words[1]))
        if len(waiting) == 3:
            for one, name in reversed(waiting):
                one.done(name, name + b"\t\t\n")

    async def work(built: World) -> None:
        client = await built.client()
        ids = [client.call("ask", rid(n)) for n in range(2)]
        ids.append(client.call("load", rid(2), token="5c0f6e1a2b3d4c59", obj="7f3a9c21e0b4d655"))
        for n, msgid in enumerate(ids):
            assert await client.answer(msgid) == (None, [rid(n).encode() + b"\t\t\n", {}])
        assert b"i=5c0f6e1a2b3d4c59" in built.computes[0].words(b"fetch")[2][2]

    play(work, script)


def test_requests_of_one_key_run_one_after_the_other_over_two_connections() -> None:
    running: list[bytes] = []
    order: list[bytes] = []

    async def script(peer: Peer, words: list[bytes]) -> None:
        assert not running, "two at once"
        running.append(words[1])
        order.append(words[1])
        await asyncio.sleep(0.02)
        running.clear()
        peer.done(words[1])

    async def work(built: World) -> None:
        one, two = await built.client(), await built.client()
        key = {"token": "5c0f6e1a2b3d4c59", "obj": "7f3a9c21e0b4d655"}
        asked = []
        for n in range(4):
            client = (one, two)[n % 2]
            asked.append((client, client.call("load", rid(n), **key)))
            await built.until(lambda n=n: built.node.downstream.request_count == n + 1)  # type: ignore[misc]
        for client, msgid in asked:
            assert (await client.answer(msgid))[0] is None
        assert order == [rid(n).encode() for n in range(4)]

    play(work, script)


def test_is_well() -> None:
    async def work(built: World) -> None:
        client = await built.client()
        client.raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.answer(1) == (None, [True, {}])
        built.node.stop()
        client.raw(msgspec.msgpack.encode([0, 2, "isWell", [{}]]))
        assert await client.answer(2) == (None, [False, {}])

    play(work)


def test_without_a_list_it_is_not_well() -> None:
    async def work(built: World) -> None:
        client = await built.client()
        client.raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.answer(1) == (None, [False, {}])

    play(work, known={"n": 0, "events": []})


def test_forget_takes_a_request_back() -> None:
    async def work(built: World) -> None:
        client = await built.client()
        msgid = client.call("ask", RID)
        await built.until(lambda: built.computes[0].words(b"fetch"))
        client.raw(msgspec.msgpack.encode([2, "forget", [msgid, 99]]))
        await built.until(lambda: built.computes[0].words(b"abort"))
        await built.until(lambda: not any(built.tables().values()))
        assert not client.answers

    play(work, silent)


def test_a_refusal_says_when_to_come_back() -> None:
    async def full(peer: Peer, words: list[bytes]) -> None:
        peer.send(words[1], b"WAIT", b"-", b"")

    async def work(built: World) -> None:
        client = await built.client()
        error, result = await client.answer(client.call("ask", RID))
        assert error[0] == "Shed" and 1 <= int(error[1]["backoff"]) <= 500 and result is None

    play(work, full)
