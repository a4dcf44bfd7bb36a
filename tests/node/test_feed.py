"""The control feed: whatever its line does, the list is as it told."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from platform_world import (
    SETTINGS,
    FeedServer,
    Harness,
    answer_fetches,
    dispatcher_config,
    event_line,
    member,
)

from saffronlane.platform.config import load_config
from saffronlane.platform.reload import pending_restart

from .support import REQUEST_ID, request_id, run_with_harness


def test_the_feed_goes_on_from_the_last_event_after_a_break() -> None:
    async def scenario(harness: Harness) -> None:
        feed, fleet = harness.feed, harness.server.endpoints
        await harness.wait_until(lambda: feed.writers)
        assert feed.subscribed_sequences == [1]
        feed.send_event(2, [member("late", 9)])
        feed.send_event(2, [member("late", 9)])  # told twice
        await harness.wait_until(lambda: len(fleet) == 2)
        feed.send_line(event_line(3, [member("half", 9)])[:40])
        feed.writers[-1].close()
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 2)
        assert feed.subscribed_sequences == [1, 2] and len(fleet) == 2
        feed.send_event(3, [member("half", 9)])
        await harness.wait_until(lambda: len(fleet) == 3)
        feed.send_event(4, [member("half", 9, "removed"), member("late", 9, "removed")])
        await harness.wait_until(lambda: len(fleet) == 1)

    run_with_harness(scenario)


def test_silence_of_the_feed_is_a_break() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: len(harness.feed.subscribed_sequences) == 2, 4.0)

    run_with_harness(scenario)


def test_what_the_feed_says_wrong_is_not_fatal() -> None:
    async def scenario(harness: Harness) -> None:
        feed = harness.feed
        await harness.wait_until(lambda: feed.writers)
        feed.send_line(b"nonsense\n")
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 2)
        feed.send_line(b'{"n":2,"members":{"members":[{"id":7}]}}\n')
        feed.send_event(3, [member("x", 9, "asleep"), member("y", 9)])
        await harness.wait_until(lambda: len(harness.server.endpoints) == 2)
        feed.send_event(9, [member("z", 9)])  # events are missing
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 3)
        assert feed.subscribed_sequences[-1] == 3
        feed.send_line(b"5\n")  # so does a beat that is ahead
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 4)

    run_with_harness(scenario)


def test_a_whole_list_stands_for_the_events_that_are_no_longer_kept() -> None:
    """The feed keeps only its newest list: it was asked for what is gone, and the list stayed old."""

    async def scenario(harness: Harness) -> None:
        feed, node = harness.feed, harness.server
        await harness.wait_until(lambda: feed.writers)
        feed.send_event(9, [member("new", harness.compute_nodes[0].port)], complete=True)
        await harness.wait_until(lambda: node.discovery.last_sequence == 9)
        assert len(node.endpoints) == 1 and node.endpoints.address(b"new") is not None
        feed.send_event(11, [member("other", 9)])  # of what is missing between two others, nothing tells
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 2)
        assert feed.subscribed_sequences == [1, 9] and len(node.endpoints) == 1

    run_with_harness(scenario)


def test_a_new_address_goes_on_from_the_last_number(tmp_path: Path) -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        harness.feed.send_event(2, [member("x", 9)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        other = FeedServer()
        await other.start()
        path = tmp_path / "config.json"
        harness.server._path = path
        path.write_text("{ half")
        harness.server.reload()  # unreadable: nothing changes
        assert harness.server.discovery.address[1] == harness.feed.port
        path.write_text(json.dumps(dispatcher_config(harness.compute_nodes, other.port)))
        client = await harness.client()
        asked = [client.call("ask", request_id(n)) for n in range(5)]
        harness.server.reload()
        await harness.wait_until(lambda: other.subscribed_sequences)
        assert other.subscribed_sequences == [2]
        for msgid in asked:
            assert (await client.read_answer(msgid))[0] is None
        other.close()

    run_with_harness(scenario)


# --- a watch that dies, in every way ---

CURRENT = 4.0  # seconds in which what the feed tells has to be known, however it fell silent


async def moved_on(harness: Harness, n: int) -> None:
    """Asked anew, the feed tells that the node drains: in time nothing new goes there."""
    feed = harness.feed
    asked = len(feed.subscribed_sequences)
    await harness.wait_until(lambda: len(feed.subscribed_sequences) > asked, CURRENT)
    feed.send_event(n, [member("node-0", harness.compute_nodes[0].port, "draining")])
    await harness.wait_until(lambda: harness.server.discovery.last_sequence == n, CURRENT)
    before = len(harness.compute_nodes[0].commands(b"fetch"))
    client = await harness.client()
    assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
    assert len(harness.compute_nodes[0].commands(b"fetch")) == before and harness.compute_nodes[1].commands(
        b"fetch"
    )


def repeating(harness: Harness, line: bytes, every: float) -> None:
    """The connection that is open now goes on saying this and nothing else."""
    loop, writer = asyncio.get_running_loop(), harness.feed.writers[-1]

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

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        for n in (2, 3):
            harness.feed.send_event(n, [member("late", 9, "removed")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 3)
        repeating(harness, line, every)
        await moved_on(harness, 4)

    run_with_harness(scenario, answer_fetches, answer_fetches)


@pytest.mark.parametrize("line", [b"1\n", b'{"n":1}\n'], ids=["bare", "as an object"])
def test_the_last_number_each_second_is_word_of_now(line: bytes) -> None:
    """Guards against asking a feed anew that is well and has nothing to tell."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        repeating(harness, line, 0.5)
        await asyncio.sleep(2.5)
        assert len(harness.feed.subscribed_sequences) == 1

    run_with_harness(scenario)


def test_an_event_whose_handling_fails_does_not_end_the_watch() -> None:
    """The task that follows the feed ended with it, and the list stayed as it was for good."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        fleet, take = harness.server.endpoints, harness.server.endpoints.apply

        def fails(event: object) -> None:
            fleet.apply = take  # type: ignore[method-assign]
            raise RuntimeError("a fault in the handling")

        fleet.apply = fails  # type: ignore[method-assign, assignment]
        harness.feed.send_event(2, [member("x", 9)])
        harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port, "draining")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 3, 1.0)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
        assert not harness.compute_nodes[0].commands(b"fetch")

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_a_fault_in_the_watch_itself_begins_another() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        feed, take = harness.server.discovery, harness.server.discovery._on_line

        def fails(line: bytes) -> bool:
            feed._on_line = take  # type: ignore[method-assign]
            raise RuntimeError("a fault in the watch")

        feed._on_line = fails  # type: ignore[method-assign]
        harness.feed.send_line(b"1\n1\n")
        await moved_on(harness, 2)

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_a_figure_that_no_clock_has_leaves_out_its_member_alone() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        odd = member("odd", 9, up_since_ms=1e308) | {"size": 1.0}
        harness.feed.send_event(2, [odd, member("node-0", harness.compute_nodes[0].port, "draining")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        entry = harness.server.dispatcher._engines[b"node-0"]
        assert entry.state.name == "DRAINING"

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_a_watch_that_breaks_after_each_event_loses_none() -> None:
    async def scenario(harness: Harness) -> None:
        feed = harness.feed
        for n in range(2, 12):
            await harness.wait_until(lambda n=n: len(feed.subscribed_sequences) == n - 1, 2.0)  # type: ignore[misc]
            assert feed.subscribed_sequences[-1] == n - 1
            feed.send_event(n, [member(f"late-{n}", 9)])
            await harness.wait_until(lambda n=n: harness.server.discovery.last_sequence == n, 1.0)  # type: ignore[misc]
            feed.writers[-1].close()
        assert len(harness.server.endpoints) == 11

    run_with_harness(scenario)


def test_a_watch_that_breaks_at_once_is_not_asked_without_a_pause() -> None:
    """Guards against two hundred dispatchers that come back to a feed in trouble as fast as they can."""

    async def scenario(harness: Harness) -> None:
        feed = harness.feed
        feed.on_subscribe = lambda writer: writer.close()
        await harness.wait_until(lambda: feed.writers)
        feed.writers[-1].close()
        await asyncio.sleep(3.0)
        assert 3 <= len(feed.subscribed_sequences) <= 12

    run_with_harness(scenario)


def test_all_nodes_drain_at_once_and_each_request_has_its_answer() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        gone = [
            member(f"node-{n}", compute.port, "draining") for n, compute in enumerate(harness.compute_nodes)
        ]
        harness.feed.send_event(2, gone)
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        client = await harness.client()
        ids = [client.call(cls, request_id(n), budget="900") for n, cls in enumerate(("ask", "frail"))]
        for msgid in ids:
            assert (await client.read_answer(msgid, 1.0))[0][0] == "Shed"  # nothing ran: it may come again
        assert not any(compute.commands(b"fetch") for compute in harness.compute_nodes)
        harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port)])
        assert (await client.read_answer(client.call("ask", request_id(9))))[0] is None

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_the_feed_moves_while_the_old_one_is_silent(tmp_path: Path) -> None:
    """SIGHUP, and a drain told right after: nothing new goes to the node that drains."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        other = FeedServer()
        await other.start()
        harness.server._path = tmp_path / "config.json"
        harness.server._path.write_text(json.dumps(dispatcher_config(harness.compute_nodes, other.port)))
        loop = asyncio.get_running_loop()
        began = loop.time()
        harness.server.reload()
        await harness.wait_until(lambda: other.subscribed_sequences, 0.5)
        other.send_event(2, [member("node-0", harness.compute_nodes[0].port, "draining")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2, 0.5)
        assert loop.time() < began + 0.5
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
        assert not harness.compute_nodes[0].commands(b"fetch")
        other.close()

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_anothers_configuration_is_not_taken(tmp_path: Path) -> None:
    """Guards against another customer's file in this place: its feed would drain or name a foreign fleet."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        other = FeedServer()
        await other.start()
        harness.server._path = tmp_path / "config.json"
        harness.server._path.write_text(json.dumps(dispatcher_config([], other.port, name="theirs")))
        harness.server.reload()
        assert harness.server.discovery.address[1] == harness.feed.port
        changed = dispatcher_config(
            harness.compute_nodes, harness.feed.port, settings=SETTINGS | {"fleetSize": 7}
        )
        harness.server._path.write_text(json.dumps(changed))
        assert pending_restart(harness.server.config, load_config(harness.server._path)) == [
            "listen",
            "settings",
        ]
        harness.server.reload()
        assert harness.server.dispatcher.settings.gateway_count == 1
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
        other.close()

    run_with_harness(scenario)
