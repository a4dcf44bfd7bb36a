"""The control feed: the endpoint list is correct whatever happens to the connection."""

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


def test_the_watch_resumes_after_the_last_event_when_the_connection_breaks() -> None:
    async def scenario(harness: Harness) -> None:
        feed, endpoints = harness.feed, harness.server.endpoints
        await harness.wait_until(lambda: feed.writers)
        assert feed.subscribed_sequences == [1]
        feed.send_event(2, [member("late", 9)])
        feed.send_event(2, [member("late", 9)])  # a duplicate
        await harness.wait_until(lambda: len(endpoints) == 2)
        feed.send_line(event_line(3, [member("half", 8)])[:40])
        feed.writers[-1].close()
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 2)
        assert feed.subscribed_sequences == [1, 2] and len(endpoints) == 2
        feed.send_event(3, [member("half", 8)])
        await harness.wait_until(lambda: len(endpoints) == 3)
        feed.send_event(4, [member("half", 8, "removed"), member("late", 9, "removed")])
        await harness.wait_until(lambda: len(endpoints) == 1)

    run_with_harness(scenario)


def test_the_watch_reconnects_when_the_feed_is_silent() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: len(harness.feed.subscribed_sequences) == 2, 4.0)

    run_with_harness(scenario)


def test_the_watch_continues_after_invalid_lines() -> None:
    async def scenario(harness: Harness) -> None:
        feed = harness.feed
        await harness.wait_until(lambda: feed.writers)
        feed.send_line(b"nonsense\n")
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 2)
        feed.send_line(b'{"n":2,"members":{"members":[{"id":7}]}}\n')
        feed.send_event(3, [member("x", 9, "asleep"), member("y", 9)])
        await harness.wait_until(lambda: len(harness.server.endpoints) == 2)
        feed.send_event(9, [member("z", 9)])  # events 4 to 8 are missing
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 3)
        assert feed.subscribed_sequences[-1] == 3
        feed.send_line(b"5\n")  # a heartbeat with the number 5: events 4 and 5 are missing
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 4)

    run_with_harness(scenario)


def test_a_complete_list_replaces_events_that_the_feed_no_longer_has() -> None:
    """The feed retains only its newest list.

    Guards against requesting events that the feed no longer has, while the endpoint list stays outdated.
    """

    async def scenario(harness: Harness) -> None:
        feed, server = harness.feed, harness.server
        await harness.wait_until(lambda: feed.writers)
        feed.send_event(9, [member("new", harness.compute_nodes[0].port)], complete=True)
        await harness.wait_until(lambda: server.discovery.last_sequence == 9)
        assert len(server.endpoints) == 1 and server.endpoints.address(b"new") is not None
        feed.send_event(11, [member("other", 9)])  # an incomplete list does not replace the missing event 10
        await harness.wait_until(lambda: len(feed.subscribed_sequences) == 2)
        assert feed.subscribed_sequences == [1, 9] and len(server.endpoints) == 1

    run_with_harness(scenario)


def test_a_reloaded_feed_address_is_watched_from_the_last_event(tmp_path: Path) -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        harness.feed.send_event(2, [member("x", 9)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        other_feed = FeedServer()
        await other_feed.start()
        path = tmp_path / "config.json"
        harness.server._path = path
        path.write_text("{ half")
        harness.server.reload()  # the file cannot be parsed, so nothing changes
        assert harness.server.discovery.address[1] == harness.feed.port
        path.write_text(json.dumps(dispatcher_config(harness.compute_nodes, other_feed.port)))
        client = await harness.client()
        message_ids = [client.call("ask", request_id(number)) for number in range(5)]
        harness.server.reload()
        await harness.wait_until(lambda: other_feed.subscribed_sequences)
        assert other_feed.subscribed_sequences == [2]
        for message_id in message_ids:
            assert (await client.read_answer(message_id))[0] is None
        other_feed.close()

    run_with_harness(scenario)


# --- a watch whose connection fails or stalls ---

MAX_DETECTION_DELAY = 4.0  # seconds within which an event must be received after the connection stalls


async def check_watch_recovers(harness: Harness, sequence: int) -> None:
    """Check that the watch reconnects in time and that a draining engine then gets no new requests."""
    feed = harness.feed
    subscription_count = len(feed.subscribed_sequences)
    await harness.wait_until(lambda: len(feed.subscribed_sequences) > subscription_count, MAX_DETECTION_DELAY)
    feed.send_event(sequence, [member("node-0", harness.compute_nodes[0].port, "draining")])
    await harness.wait_until(lambda: harness.server.discovery.last_sequence == sequence, MAX_DETECTION_DELAY)
    fetch_count = len(harness.compute_nodes[0].commands(b"fetch"))
    client = await harness.client()
    assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
    assert len(harness.compute_nodes[0].commands(b"fetch")) == fetch_count and harness.compute_nodes[
        1
    ].commands(b"fetch")


def write_repeatedly(harness: Harness, line: bytes, interval: float) -> None:
    """Write this line repeatedly on the feed connection that is open now."""
    event_loop, writer = asyncio.get_running_loop(), harness.feed.writers[-1]

    def write_line() -> None:
        if not writer.is_closing():
            writer.write(line)
            event_loop.call_later(interval, write_line)

    write_line()


@pytest.mark.parametrize(
    ("line", "interval"),
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
        "no lines",
        "an old number",
        "an old number as an object",
        "an old event",
        "half a line",
        "empty lines",
        "a number ahead",
        "a number ahead as an object",
    ],
)
def test_the_watch_reconnects_when_the_feed_sends_no_current_line(line: bytes, interval: float) -> None:
    """Guards against staying connected to a feed that sends only old numbers or old events."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        for sequence in (2, 3):
            harness.feed.send_event(sequence, [member("late", 9, "removed")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 3)
        write_repeatedly(harness, line, interval)
        await check_watch_recovers(harness, 4)

    run_with_harness(scenario, answer_fetches, answer_fetches)


@pytest.mark.parametrize("line", [b"1\n", b'{"n":1}\n'], ids=["bare", "as an object"])
def test_heartbeats_with_the_last_number_keep_the_connection(line: bytes) -> None:
    """Guards against reconnecting to a healthy feed that has no new events."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        write_repeatedly(harness, line, 0.5)
        await asyncio.sleep(2.5)
        assert len(harness.feed.subscribed_sequences) == 1

    run_with_harness(scenario)


def write_late(harness: Harness, delay: float) -> None:
    """Have the feed write everything late: the events that each connection lacks, then heartbeats."""
    event_loop, feed = asyncio.get_running_loop(), harness.feed
    draining = event_line(2, [member("node-0", harness.compute_nodes[0].port, "draining")])

    def write(writer: asyncio.StreamWriter, line: bytes) -> None:
        if not writer.is_closing():
            writer.write(line)
            event_loop.call_later(1.0, write, writer, b"2\n")

    def on_subscribe(writer: asyncio.StreamWriter) -> None:
        event_loop.call_later(
            delay, write, writer, draining if feed.subscribed_sequences[-1] == 1 else b"2\n"
        )

    feed.on_subscribe = on_subscribe


@pytest.mark.parametrize("delay", [2.2, 2.5, 3.5])
def test_a_drain_is_heard_of_though_the_feed_is_slow_on_each_connection(delay: float) -> None:
    """Guards against a watch that gives up each connection before its first line."""

    async def scenario(harness: Harness) -> None:
        write_late(harness, delay)
        await harness.wait_until(lambda: harness.feed.writers)
        if len(harness.feed.writers) == 1:  # it was opened before the feed was slow, and stays silent
            await harness.wait_until(lambda: len(harness.feed.writers) == 2)
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2, delay + 0.5)
        connection_count = len(harness.feed.writers)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
        assert not harness.compute_nodes[0].commands(b"fetch")
        await asyncio.sleep(2.5)
        assert len(harness.feed.writers) == connection_count  # the slow connection is kept

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_an_exception_in_handling_an_event_does_not_end_the_watch() -> None:
    """Guards against an end of the watch task, after which the endpoint list never changed again."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        endpoints, apply = harness.server.endpoints, harness.server.endpoints.apply

        def fail_once(event: object) -> None:
            endpoints.apply = apply  # type: ignore[method-assign]
            raise RuntimeError("injected failure")

        endpoints.apply = fail_once  # type: ignore[method-assign, assignment]
        harness.feed.send_event(2, [member("x", 9)])
        harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port, "draining")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 3, 1.0)
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
        assert not harness.compute_nodes[0].commands(b"fetch")

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_the_watch_reconnects_after_an_exception_of_its_own() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        discovery, on_line = harness.server.discovery, harness.server.discovery.on_line

        def fail_once(line: bytes) -> bool:
            discovery.on_line = on_line  # type: ignore[method-assign]
            raise RuntimeError("injected failure")

        discovery.on_line = fail_once  # type: ignore[method-assign]
        harness.feed.send_line(b"1\n1\n")
        await check_watch_recovers(harness, 2)

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_a_member_with_an_out_of_range_start_time_does_not_affect_other_members() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        invalid_member = member("odd", 9, up_since_ms=1e308) | {"size": 1.0}
        harness.feed.send_event(
            2, [invalid_member, member("node-0", harness.compute_nodes[0].port, "draining")]
        )
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        entry = harness.server.dispatcher._engines[b"node-0"]
        assert entry.state.name == "DRAINING"

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_no_event_is_lost_when_the_connection_breaks_after_each_event() -> None:
    async def scenario(harness: Harness) -> None:
        feed = harness.feed
        for sequence in range(2, 12):
            await harness.wait_until(
                lambda sequence=sequence: len(feed.subscribed_sequences) == sequence - 1, 2.0
            )  # type: ignore[misc]
            assert feed.subscribed_sequences[-1] == sequence - 1
            feed.send_event(sequence, [member(f"late-{sequence}", 9 + sequence)])
            await harness.wait_until(
                lambda sequence=sequence: harness.server.discovery.last_sequence == sequence, 1.0
            )  # type: ignore[misc]
            feed.writers[-1].close()
        assert len(harness.server.endpoints) == 11

    run_with_harness(scenario)


def test_reconnects_to_a_feed_that_closes_at_once_are_delayed() -> None:
    """Guards against two hundred gateways that reconnect to an overloaded feed without a pause."""

    async def scenario(harness: Harness) -> None:
        feed = harness.feed
        feed.on_subscribe = lambda writer: writer.close()
        await harness.wait_until(lambda: feed.writers)
        feed.writers[-1].close()
        await asyncio.sleep(3.0)
        assert 3 <= len(feed.subscribed_sequences) <= 12

    run_with_harness(scenario)


def test_requests_are_rejected_while_all_engines_drain() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        draining = [
            member(f"node-{number}", compute_node.port, "draining")
            for number, compute_node in enumerate(harness.compute_nodes)
        ]
        harness.feed.send_event(2, draining)
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        client = await harness.client()
        message_ids = [
            client.call(query_class, request_id(number), budget="900")
            for number, query_class in enumerate(("ask", "frail"))
        ]
        for message_id in message_ids:
            # No attempt was made, so the client may retry.
            assert (await client.read_answer(message_id, 1.0))[0][0] == "Shed"
        assert not any(compute_node.commands(b"fetch") for compute_node in harness.compute_nodes)
        harness.feed.send_event(3, [member("node-0", harness.compute_nodes[0].port)])
        assert (await client.read_answer(client.call("ask", request_id(9))))[0] is None

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_a_reload_changes_the_feed_while_the_old_one_is_silent(tmp_path: Path) -> None:
    """A drain that the new feed reports just after SIGHUP takes effect: the engine gets no new requests."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        other_feed = FeedServer()
        await other_feed.start()
        harness.server._path = tmp_path / "config.json"
        harness.server._path.write_text(json.dumps(dispatcher_config(harness.compute_nodes, other_feed.port)))
        event_loop = asyncio.get_running_loop()
        started_at = event_loop.time()
        harness.server.reload()
        await harness.wait_until(lambda: other_feed.subscribed_sequences, 0.5)
        other_feed.send_event(2, [member("node-0", harness.compute_nodes[0].port, "draining")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2, 0.5)
        assert event_loop.time() < started_at + 0.5
        client = await harness.client()
        assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
        assert not harness.compute_nodes[0].commands(b"fetch")
        other_feed.close()

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_the_configuration_of_another_gateway_is_not_applied(tmp_path: Path) -> None:
    """Guards against another customer's file at this path, whose feed lists and drains other engines."""

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        other_feed = FeedServer()
        await other_feed.start()
        harness.server._path = tmp_path / "config.json"
        harness.server._path.write_text(json.dumps(dispatcher_config([], other_feed.port, name="theirs")))
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
        other_feed.close()

    run_with_harness(scenario)
