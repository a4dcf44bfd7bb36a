"""Requests, cancellations and health checks on one gateway in normal operation."""

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
        message_id = client.call("ask", REQUEST_ID, b"SELECT 1 FROM s_3.t", est="820.0", memory="96")
        assert await client.read_answer(message_id) == (None, [ROWS, {}])
        verb, fetched_id, fields, body = harness.compute_nodes[0].received_commands[0]
        assert (verb, fetched_id, body) == (b"fetch", REQUEST_ID.encode(), b"SELECT 1 FROM s_3.t")
        values = dict(part.split(b"=") for part in fields.split(b","))
        assert values[b"c"] == b"ask" and 0 < int(values[b"w"]) <= 3000 and b"i" not in values
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario)


def test_pages_are_joined_in_order_and_released() -> None:
    pages = [b"%d\tx\ty\n" % page_index for page_index in range(20)]

    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            node_connection.send_result(command[1], pages[0], 20)
        elif command[0] == b"more":
            page_index = int(command[2])
            node_connection.send(command[1], b"MORE", b"sheet=%d" % page_index, pages[page_index])
            node_connection.send(command[1], b"MORE", b"sheet=%d" % page_index, b"a second copy\t\t\n")

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        assert await client.read_answer(client.call("ask", REQUEST_ID)) == (None, [b"".join(pages), {}])
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"done"))
        assert len(harness.compute_nodes[0].commands(b"more")) == 19

    run_with_harness(scenario, script)


def test_a_lost_page_is_requested_again_without_a_second_execution() -> None:
    """Guards against a request that times out or runs again because one page was lost."""
    lost_pages: list[bytes] = []

    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            node_connection.send_result(command[1], ROWS, 4)
        elif command[0] == b"more" and command[2] == b"2" and len(lost_pages) < 2:
            lost_pages.append(command[2])
        elif command[0] == b"more":
            node_connection.send(command[1], b"MORE", b"sheet=" + command[2], ROWS)

    async def scenario(harness: Harness) -> None:
        outcomes = record_outcomes(harness)
        client = await harness.client()
        assert await client.read_answer(client.call("ask", REQUEST_ID)) == (None, [ROWS * 4, {}])
        assert outcomes == [Outcome.OK] and len(lost_pages) == 2
        assert len(harness.compute_nodes[0].commands(b"fetch")) == 1

    run_with_harness(scenario, script)


def test_results_may_arrive_in_any_order_and_keys_are_forwarded() -> None:
    held_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        held_fetches.append((node_connection, command[1]))
        if len(held_fetches) == 3:
            for held_connection, fetched_id in reversed(held_fetches):
                held_connection.send_result(fetched_id, fetched_id + b"\t\t\n")

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        message_ids = [client.call("ask", request_id(number)) for number in range(2)]
        message_ids.append(
            client.call("load", request_id(2), token="5c0f6e1a2b3d4c59", obj="7f3a9c21e0b4d655")
        )
        for number, message_id in enumerate(message_ids):
            assert await client.read_answer(message_id) == (
                None,
                [request_id(number).encode() + b"\t\t\n", {}],
            )
        assert b"i=5c0f6e1a2b3d4c59" in harness.compute_nodes[0].commands(b"fetch")[2][2]

    run_with_harness(scenario, script)


def test_requests_with_one_ordering_key_run_sequentially_over_two_connections() -> None:
    running_ids: list[bytes] = []
    started_ids: list[bytes] = []

    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        assert not running_ids, "two requests with one ordering key are running"
        running_ids.append(command[1])
        started_ids.append(command[1])
        await asyncio.sleep(0.02)
        running_ids.clear()
        node_connection.send_result(command[1])

    async def scenario(harness: Harness) -> None:
        first, second = await harness.client(), await harness.client()
        key = {"token": "5c0f6e1a2b3d4c59", "obj": "7f3a9c21e0b4d655"}
        calls = []
        for number in range(4):
            client = (first, second)[number % 2]
            calls.append((client, client.call("load", request_id(number), **key)))
            await harness.wait_until(
                lambda number=number: harness.server.downstream.request_count == number + 1
            )  # type: ignore[misc]
        for client, message_id in calls:
            assert (await client.read_answer(message_id))[0] is None
        assert started_ids == [request_id(number).encode() for number in range(4)]

    run_with_harness(scenario, script)


def test_a_gateway_is_healthy_until_it_stops() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send_raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.read_answer(1) == (None, [True, {}])
        harness.server.stop()
        client.send_raw(msgspec.msgpack.encode([0, 2, "isWell", [{}]]))
        assert await client.read_answer(2) == (None, [False, {}])

    run_with_harness(scenario)


def test_a_gateway_without_an_endpoint_list_is_not_healthy() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send_raw(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        assert await client.read_answer(1) == (None, [False, {}])

    run_with_harness(scenario, known={"n": 0, "events": []})


def test_forget_cancels_a_request() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        message_id = client.call("ask", REQUEST_ID)
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"fetch"))
        client.send_raw(msgspec.msgpack.encode([2, "forget", [message_id, 99]]))
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"abort"))
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))
        assert not client.answers

    run_with_harness(scenario, never_answer)


def test_a_rejection_has_a_retry_delay() -> None:
    async def script(node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        node_connection.send(command[1], b"WAIT", b"-", b"")

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        error, result = await client.read_answer(client.call("ask", REQUEST_ID))
        assert error[0] == "Shed" and 1 <= int(error[1]["backoff"]) <= 500 and result is None

    run_with_harness(scenario, script)
