"""Answers that trickle, never end, stop between pages, or come from a node that has gone."""

from __future__ import annotations

import asyncio

from platform_world import ROWS, ComputeNodeConnection, Harness, member

from saffronlane.interface import Outcome
from saffronlane.resp import encode_command

from .support import hold_fetches, on_first_request, record_outcomes, request_id, run_with_harness


def trickling(every: float) -> object:
    """An answer whose bytes come one by one, for longer than any client waits."""

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] != b"fetch":
            return
        loop = asyncio.get_running_loop()
        data = b"*4\r\n$16\r\n" + words[1] + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$6000\r\n" + b"x" * 6000

        def more(at: int) -> None:
            if not peer.writer.is_closing():
                peer.send_raw(data[at : at + 1])
                loop.call_later(every, more, at + 1)

        more(0)

    return script


def test_an_answer_that_trickles_is_left_and_the_others_go_elsewhere() -> None:
    """Each byte put its end off, so that all requests on the connection waited for their own limits."""
    shared = on_first_request(trickling(0.05))  # type: ignore[arg-type]

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        loop = asyncio.get_running_loop()
        client = await harness.client()
        began = loop.time()
        ids = [client.call("ask", request_id(n), budget="3900") for n in range(3)]
        for msgid in ids:
            assert await client.read_answer(msgid) == (None, [ROWS, {}])
        assert loop.time() < began + 2.0
        assert Outcome.TIMEOUT not in told

    run_with_harness(scenario, shared, shared)


def test_an_unsafe_request_does_not_wait_behind_one_that_trickles() -> None:
    """It may have run and is not repeated: nothing is gained by its waiting for its limit."""

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        loop = asyncio.get_running_loop()
        client = await harness.client()
        began = loop.time()
        error, _ = await client.read_answer(client.call("frail", request_id(1), budget="3900"))
        assert error[0] == "Fault" and told == [Outcome.RESET] and loop.time() < began + 2.0

    run_with_harness(scenario, trickling(0.05))  # type: ignore[arg-type]


def test_a_node_that_stops_between_pages_is_bounded_by_the_attempt() -> None:
    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.send_result(words[1], ROWS, 3)

    async def scenario(harness: Harness) -> None:
        loop = asyncio.get_running_loop()
        client = await harness.client()
        began = loop.time()
        error, _ = await client.read_answer(client.call("frail", request_id(1), budget="700"))
        assert error[0] == "Fault" and loop.time() < began + 0.75
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario, script)


def test_a_node_that_has_gone_may_still_answer_what_it_was_sent() -> None:
    held: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        msgid = client.call("frail", request_id(1))
        await harness.wait_until(lambda: held)
        harness.feed.send_event(2, [member("node-0", harness.compute_nodes[0].port, "removed")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        held[0][0].send_result(held[0][1])
        assert await client.read_answer(msgid) == (None, [ROWS, {}])
        await harness.wait_until(lambda: not harness.server.upstream.pool.connections_by_engine)

    run_with_harness(scenario, hold_fetches(held))


def test_a_silent_node_that_has_gone_leaves_nothing_after_the_attempts_limit() -> None:
    async def nothing(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        return None

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        msgid = client.call("frail", request_id(1), budget="800")
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"fetch"))
        harness.feed.send_event(2, [member("node-0", harness.compute_nodes[0].port, "removed")])
        assert (await client.read_answer(msgid))[0][0] == "Fault"
        await harness.wait_until(
            lambda: (
                not any(harness.table_sizes().values())
                and not harness.server.upstream.pool.connections_by_engine
            ),
            1.0,
        )

    run_with_harness(scenario, nothing)


def test_an_answer_whose_rest_is_there_when_the_loop_looks_late_has_not_stopped() -> None:
    """The process was held up for a second (its machine, SIGSTOP): its looks are due before it reads."""
    held: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        told = record_outcomes(harness)
        client = await harness.client()
        msgid = client.call("frail", request_id(1))
        await harness.wait_until(lambda: held)
        peer, name = held[0]
        data = encode_command(name, b"DONE", b"sheets=1,toil=5,room=7", ROWS)
        (link,) = harness.server.upstream.pool.connections_by_engine[b"node-0"]
        peer.send_raw(data[:20])
        await harness.wait_until(lambda: link._reader.has_partial_response)
        peer.send_raw(data[20:])  # leaves at once, in this turn of the loop
        link.check_timeouts(link.loop.time() + 1.5, 30.0)
        assert await client.read_answer(msgid) == (None, [ROWS, {}])
        assert told == [Outcome.OK]
        link._reader._parser.feed(b"*4")  # and one whose rest is not there has
        link.check_timeouts(link.loop.time() + 1.5, 30.0)
        assert link.lifecycle.is_closed

    run_with_harness(scenario, hold_fetches(held))
