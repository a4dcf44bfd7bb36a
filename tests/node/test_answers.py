"""Results that arrive slowly, never end, stop between pages, or come from a removed engine."""

from __future__ import annotations

import asyncio

from platform_world import ROWS, ComputeNodeConnection, Harness, member

from saffronlane.interface import Outcome
from saffronlane.resp import encode_command

from .support import hold_fetches, on_first_request, record_outcomes, request_id, run_with_harness


def trickle_result(interval: float) -> object:
    """Return a script that sends a result byte by byte, for longer than any client waits."""

    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] != b"fetch":
            return
        event_loop = asyncio.get_running_loop()
        data = b"*4\r\n$16\r\n" + command[1] + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$6000\r\n" + b"x" * 6000

        def send_next_byte(offset: int) -> None:
            if not node_connection.writer.is_closing():
                node_connection.send_raw(data[offset : offset + 1])
                event_loop.call_later(interval, send_next_byte, offset + 1)

        send_next_byte(0)

    return script


def test_requests_behind_a_trickling_result_are_retried_elsewhere() -> None:
    """Guards against a stall timeout that each received byte restarts.

    With it, all requests on the connection timed out.
    """
    script = on_first_request(trickle_result(0.05))  # type: ignore[arg-type]

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        loop = asyncio.get_running_loop()
        client = await harness.client()
        started_at = loop.time()
        message_ids = [client.call("ask", request_id(number), budget="3900") for number in range(3)]
        for message_id in message_ids:
            assert await client.read_answer(message_id) == (None, [ROWS, {}])
        assert loop.time() < started_at + 2.0
        assert Outcome.TIMEOUT not in outcomes

    run_with_harness(scenario, script, script)


def test_an_unsafe_request_with_a_trickling_result_fails_before_its_timeout() -> None:
    """The request may have been executed and is not retried, so it fails when the stall is detected."""

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        loop = asyncio.get_running_loop()
        client = await harness.client()
        started_at = loop.time()
        error, _ = await client.read_answer(client.call("frail", request_id(1), budget="3900"))
        assert error[0] == "Fault" and outcomes == [Outcome.RESET] and loop.time() < started_at + 2.0

    run_with_harness(scenario, trickle_result(0.05))  # type: ignore[arg-type]


def test_a_request_whose_pages_stop_arriving_fails_at_its_timeout() -> None:
    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            node_connection.send_result(command[1], ROWS, 3)

    async def scenario(harness: Harness) -> None:
        loop = asyncio.get_running_loop()
        client = await harness.client()
        started_at = loop.time()
        error, _ = await client.read_answer(client.call("frail", request_id(1), budget="700"))
        assert error[0] == "Fault" and loop.time() < started_at + 0.75
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario, script)


def test_a_removed_engine_may_still_complete_its_requests() -> None:
    held_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        message_id = client.call("frail", request_id(1))
        await harness.wait_until(lambda: held_fetches)
        harness.feed.send_event(2, [member("node-0", harness.compute_nodes[0].port, "removed")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        held_fetches[0][0].send_result(held_fetches[0][1])
        assert await client.read_answer(message_id) == (None, [ROWS, {}])
        await harness.wait_until(lambda: not harness.server.upstream.pool.connections_by_engine)

    run_with_harness(scenario, hold_fetches(held_fetches))


def test_a_silent_removed_engine_leaves_no_state_after_the_attempt_timeout() -> None:
    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        return None

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        message_id = client.call("frail", request_id(1), budget="800")
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"fetch"))
        harness.feed.send_event(2, [member("node-0", harness.compute_nodes[0].port, "removed")])
        assert (await client.read_answer(message_id))[0][0] == "Fault"
        await harness.wait_until(
            lambda: (
                not any(harness.table_sizes().values())
                and not harness.server.upstream.pool.connections_by_engine
            ),
            1.0,
        )

    run_with_harness(scenario, script)


def test_a_result_has_not_stalled_if_its_rest_has_arrived_but_is_unread() -> None:
    """After the process was suspended (by its machine or SIGSTOP), timeouts are checked before the read."""
    held_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        client = await harness.client()
        message_id = client.call("frail", request_id(1))
        await harness.wait_until(lambda: held_fetches)
        node_connection, fetched_id = held_fetches[0]
        data = encode_command(fetched_id, b"DONE", b"sheets=1,toil=5,room=7", ROWS)
        (connection,) = harness.server.upstream.pool.connections_by_engine[b"node-0"]
        node_connection.send_raw(data[:20])
        await harness.wait_until(lambda: connection._reader.has_partial_response)
        node_connection.send_raw(data[20:])  # sent at once, in this turn of the event loop
        connection.check_timeouts(connection.loop.time() + 1.5, 30.0)
        assert await client.read_answer(message_id) == (None, [ROWS, {}])
        assert outcomes == [Outcome.OK]
        connection._reader._parser.feed(b"*4")  # the rest of this result has not arrived, so it has stalled
        connection.check_timeouts(connection.loop.time() + 1.5, 30.0)
        assert connection.lifecycle.is_closed

    run_with_harness(scenario, hold_fetches(held_fetches))
