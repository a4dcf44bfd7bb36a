"""The control feed: whatever its line does, the list is as it told."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from platform_world import SETTINGS, FeedServer, World, answer, config_text, event_line, member

from saffronlane.platform.config import load_config
from saffronlane.platform.reload import pending_restart

from .support import RID, play, rid


def test_the_feed_goes_on_from_the_last_event_after_a_break() -> None:
    async def work(built: World) -> None:
        feed, fleet = built.feed, built.node.endpoints
        await built.until(lambda: feed.writers)
        assert feed.asked == [1]
        feed.event(2, [member("late", 9)])
        feed.event(2, [member("late", 9)])  # told twice
        await built.until(lambda: len(fleet) == 2)
        feed.say(event_line(3, [member("half", 9)])[:40])
        feed.writers[-1].close()
        await built.until(lambda: len(feed.asked) == 2)
        assert feed.asked == [1, 2] and len(fleet) == 2
        feed.event(3, [member("half", 9)])
        await built.until(lambda: len(fleet) == 3)
        feed.event(4, [member("half", 9, "removed"), member("late", 9, "removed")])
        await built.until(lambda: len(fleet) == 1)

    play(work)


def test_silence_of_the_feed_is_a_break() -> None:
    async def work(built: World) -> None:
        await built.until(lambda: len(built.feed.asked) == 2, 4.0)

    play(work)


def test_what_the_feed_says_wrong_is_not_fatal() -> None:
    async def work(built: World) -> None:
        feed = built.feed
        await built.until(lambda: feed.writers)
        feed.say(b"nonsense\n")
        await built.until(lambda: len(feed.asked) == 2)
        feed.say(b'{"n":2,"members":{"members":[{"id":7}]}}\n')
        feed.event(3, [member("x", 9, "asleep"), member("y", 9)])
        await built.until(lambda: len(built.node.endpoints) == 2)
        feed.event(9, [member("z", 9)])  # events are missing
        await built.until(lambda: len(feed.asked) == 3)
        assert feed.asked[-1] == 3
        feed.say(b"5\n")  # so does a beat that is ahead
        await built.until(lambda: len(feed.asked) == 4)

    play(work)


def test_a_whole_list_stands_for_the_events_that_are_no_longer_kept() -> None:
    """The feed keeps only its newest list: it was asked for what is gone, and the list stayed old."""

    async def work(built: World) -> None:
        feed, node = built.feed, built.node
        await built.until(lambda: feed.writers)
        feed.event(9, [member("new", built.computes[0].port)], complete=True)
        await built.until(lambda: node.discovery.last_sequence == 9)
        assert len(node.endpoints) == 1 and node.endpoints.address(b"new") is not None
        feed.event(11, [member("other", 9)])  # of what is missing between two others, nothing tells
        await built.until(lambda: len(feed.asked) == 2)
        assert feed.asked == [1, 9] and len(node.endpoints) == 1

    play(work)


def test_a_new_address_goes_on_from_the_last_number(tmp_path: Path) -> None:
    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        built.feed.event(2, [member("x", 9)])
        await built.until(lambda: built.node.discovery.last_sequence == 2)
        other = FeedServer()
        await other.start()
        path = tmp_path / "config.json"
        built.node._path = path
        path.write_text("{ half")
        built.node.reload()  # unreadable: nothing changes
        assert built.node.discovery.address[1] == built.feed.port
        path.write_text(json.dumps(config_text(built.computes, other.port)))
        client = await built.client()
        asked = [client.call("ask", rid(n)) for n in range(5)]
        built.node.reload()
        await built.until(lambda: other.asked)
        assert other.asked == [2]
        for msgid in asked:
            assert (await client.answer(msgid))[0] is None
        other.close()

    play(work)


# --- a watch that dies, in every way ---

CURRENT = 4.0  # seconds in which what the feed tells has to be known, however it fell silent


async def moved_on(built: World, n: int) -> None:
    """Asked anew, the feed tells that the node drains: in time nothing new goes there."""
    feed = built.feed
    asked = len(feed.asked)
    await built.until(lambda: len(feed.asked) > asked, CURRENT)
    feed.event(n, [member("node-0", built.computes[0].port, "draining")])
    await built.until(lambda: built.node.discovery.last_sequence == n, CURRENT)
    before = len(built.computes[0].words(b"fetch"))
    client = await built.client()
    assert (await client.answer(client.call("ask", RID)))[0] is None
    assert len(built.computes[0].words(b"fetch")) == before and built.computes[1].words(b"fetch")


def repeating(built: World, line: bytes, every: float) -> None:
    """The connection that is open now goes on saying this and nothing else."""
    loop, writer = asyncio.get_running_loop(), built.feed.writers[-1]

    def say() -> None:
        if not writer.is_closing():
            writer.write(line)
            loop.call_later(every, say)

    say()


@pytest.mark.parametrize(
    ("line", "every"),
    [
        (b"", 0.5),
        (b"2\n", 0.3),
        (b'{"n":2}\n', 0.3),
        (event_line(2, [member("late", 9)]), 0.3),
        (b'{"n":4', 0.2),
        (b"\n", 0.3),
        (b"4\n", 0.3),
        (b'{"n":4}\n', 0.3),
    ],
    ids=[
        "says nothing",
        "an old number",
        "an old number as an object",
        "an old event",
        "half a line",
        "empty lines",
        "a number ahead",
        "a number ahead as an object",
    ],
)
def test_a_watch_that_tells_nothing_new_is_not_taken_for_alive(line: bytes, every: float) -> None:
    """A feed that answered with old numbers or old events alone was followed for ever."""

    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        for n in (2, 3):
            built.feed.event(n, [member("late", 9, "removed")])
        await built.until(lambda: built.node.discovery.last_sequence == 3)
        repeating(built, line, every)
        await moved_on(built, 4)

    play(work, answer, answer)


@pytest.mark.parametrize("line", [b"1\n", b'{"n":1}\n'], ids=["bare", "as an object"])
def test_the_last_number_each_second_is_word_of_now(line: bytes) -> None:
    """Guards against asking a feed anew that is well and has nothing to tell."""

    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        repeating(built, line, 0.5)
        await asyncio.sleep(2.5)
        assert len(built.feed.asked) == 1

    play(work)


def test_an_event_whose_handling_fails_does_not_end_the_watch() -> None:
    """The task that follows the feed ended with it, and the list stayed as it was for good."""

    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        fleet, take = built.node.endpoints, built.node.endpoints.apply

        def fails(event: object) -> None:
            fleet.apply = take  # type: ignore[method-assign]
            raise RuntimeError("a fault in the handling")

        fleet.apply = fails  # type: ignore[method-assign, assignment]
        built.feed.event(2, [member("x", 9)])
        built.feed.event(3, [member("node-0", built.computes[0].port, "draining")])
        await built.until(lambda: built.node.discovery.last_sequence == 3, 1.0)
        client = await built.client()
        assert (await client.answer(client.call("ask", RID)))[0] is None
        assert not built.computes[0].words(b"fetch")

    play(work, answer, answer)


def test_a_fault_in_the_watch_itself_begins_another() -> None:
    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        feed, take = built.node.discovery, built.node.discovery._on_line

        def fails(line: bytes) -> bool:
            feed._on_line = take  # type: ignore[method-assign]
            raise RuntimeError("a fault in the watch")

        feed._on_line = fails  # type: ignore[method-assign]
        built.feed.say(b"1\n1\n")
        await moved_on(built, 2)

    play(work, answer, answer)


def test_a_figure_that_no_clock_has_leaves_out_its_member_alone() -> None:
    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        odd = member("odd", 9, up_since_ms=1e308) | {"size": 1.0}
        built.feed.event(2, [odd, member("node-0", built.computes[0].port, "draining")])
        await built.until(lambda: built.node.discovery.last_sequence == 2)
        entry = built.node.dispatcher._engines[b"node-0"]
        assert entry.state.name == "DRAINING"

    play(work, answer, answer)


def test_a_watch_that_breaks_after_each_event_loses_none() -> None:
    async def work(built: World) -> None:
        feed = built.feed
        for n in range(2, 12):
            await built.until(lambda n=n: len(feed.asked) == n - 1, 2.0)  # type: ignore[misc]
            assert feed.asked[-1] == n - 1
            feed.event(n, [member(f"late-{n}", 9)])
            await built.until(lambda n=n: built.node.discovery.last_sequence == n, 1.0)  # type: ignore[misc]
            feed.writers[-1].close()
        assert len(built.node.endpoints) == 11

    play(work)


def test_a_watch_that_breaks_at_once_is_not_asked_without_a_pause() -> None:
    """Guards against two hundred dispatchers that come back to a feed in trouble as fast as they can."""

    async def work(built: World) -> None:
        feed = built.feed
        feed.on_ask = lambda writer: writer.close()
        await built.until(lambda: feed.writers)
        feed.writers[-1].close()
        await asyncio.sleep(3.0)
        assert 3 <= len(feed.asked) <= 12

    play(work)


def test_all_nodes_drain_at_once_and_each_request_has_its_answer() -> None:
    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        gone = [member(f"node-{n}", compute.port, "draining") for n, compute in enumerate(built.computes)]
        built.feed.event(2, gone)
        await built.until(lambda: built.node.discovery.last_sequence == 2)
        client = await built.client()
        ids = [client.call(cls, rid(n), budget="900") for n, cls in enumerate(("ask", "frail"))]
        for msgid in ids:
            assert (await client.answer(msgid, 1.0))[0][0] == "Shed"  # nothing ran: it may come again
        assert not any(compute.words(b"fetch") for compute in built.computes)
        built.feed.event(3, [member("node-0", built.computes[0].port)])
        assert (await client.answer(client.call("ask", rid(9))))[0] is None

    play(work, answer, answer)


def test_the_feed_moves_while_the_old_one_is_silent(tmp_path: Path) -> None:
    """SIGHUP, and a drain told right after: nothing new goes to the node that drains."""

    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        other = FeedServer()
        await other.start()
        built.node._path = tmp_path / "config.json"
        built.node._path.write_text(json.dumps(config_text(built.computes, other.port)))
        loop = asyncio.get_running_loop()
        began = loop.time()
        built.node.reload()
        await built.until(lambda: other.asked, 0.5)
        other.event(2, [member("node-0", built.computes[0].port, "draining")])
        await built.until(lambda: built.node.discovery.last_sequence == 2, 0.5)
        assert loop.time() < began + 0.5
        client = await built.client()
        assert (await client.answer(client.call("ask", RID)))[0] is None
        assert not built.computes[0].words(b"fetch")
        other.close()

    play(work, answer, answer)


def test_anothers_configuration_is_not_taken(tmp_path: Path) -> None:
    """Guards against another customer's file in this place: its feed would drain or name a foreign fleet."""

    async def work(built: World) -> None:
        await built.until(lambda: built.feed.writers)
        other = FeedServer()
        await other.start()
        built.node._path = tmp_path / "config.json"
        built.node._path.write_text(json.dumps(config_text([], other.port, name="theirs")))
        built.node.reload()
        assert built.node.discovery.address[1] == built.feed.port
        changed = config_text(built.computes, built.feed.port, settings=SETTINGS | {"fleetSize": 7})
        built.node._path.write_text(json.dumps(changed))
        assert pending_restart(built.node.config, load_config(built.node._path)) == ["listen", "settings"]
        built.node.reload()
        assert built.node.dispatcher.settings.gateway_count == 1
        client = await built.client()
        assert (await client.answer(client.call("ask", RID)))[0] is None
        other.close()

    play(work)
