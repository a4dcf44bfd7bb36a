"""Memory that clients make a server keep, and service to the other clients meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import msgspec
import pytest
from platform_world import ROWS, SETTINGS, Client, ComputeNodeConnection, Harness

from saffronlane.platform.downstream.client_connection import MAX_OPEN_REQUESTS
from saffronlane.platform.memory_budget import MemoryBudget, MemoryHolder
from saffronlane.platform.upstream.connection import UpstreamConnection

from .support import (
    ServerProcess,
    encode_call,
    never_answer,
    process_memory_mb,
    request_id,
    run_with_harness,
    server_process,
    use_small_buffers,
)

MEMORY_MB = 96
# So large that the policy rejects nothing for lack of cores.
SETTINGS_WITH_LARGE_NODES = SETTINGS | {"extra": SETTINGS["extra"] | {"kindCores": [1000]}}
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}
BAD_CLIENTS = 30
REQUESTS_EACH = 40
LONG_STATEMENT = b"SELECT '" + b"x" * 240_000 + b"'"
ROUNDS = 300  # in which 9,600 loads are taken back
MAX_GROWTH_MB = 3.0  # about 300 bytes for each of these loads


async def run_long_statements(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    """Script of a compute node that answers short statements at once, and long ones after a second."""
    if command[0] == b"fetch":
        delay = 0.0 if len(command[3]) < 1000 else 1.0
        asyncio.get_running_loop().call_later(delay, connection.send_result, command[1])


async def send_long_statements(server: ServerProcess, client_number: int) -> None:
    """Send many valid requests at once and read all answers, until the test ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    with contextlib.suppress(ConnectionError):
        for number in range(1, REQUESTS_EACH + 1):
            rid = request_id(1000 * client_number + number)
            writer.write(encode_call(number, body=LONG_STATEMENT, rid=rid))
        while await reader.read(65_536):
            pass


async def max_memory_while(server: ServerProcess, task: asyncio.Task[None]) -> float:
    """Return the highest memory of the server in MB until the task has ended."""
    highest = 0.0
    while not task.done():
        highest = max(highest, process_memory_mb(server.process.pid))
        await asyncio.sleep(0.01)
    return highest


async def ask_steadily(client: Client, count: int) -> None:
    """Send small requests one after another; each must be served."""
    for number in range(count):
        message_id = client.call("ask", request_id(900_000 + number), budget="4000")
        error, _ = await client.read_answer(message_id)
        assert error is None
        await asyncio.sleep(0.02)


def test_long_statements_of_many_clients_do_not_exceed_the_memory_limit(tmp_path: Path) -> None:
    """Guards against a process that is killed for memory: open requests were counted, not their bytes."""

    async def scenario() -> None:
        scripts = run_long_statements, run_long_statements
        changes = {"limits": LIMITS, "settings": SETTINGS_WITH_LARGE_NODES}
        async with server_process(tmp_path, *scripts, **changes) as server:
            usual_client = await server.client()
            await ask_steadily(usual_client, 5)
            bad_clients = [
                asyncio.create_task(send_long_statements(server, number))
                for number in range(1, BAD_CLIENTS + 1)
            ]
            steady = asyncio.create_task(ask_steadily(usual_client, 100))
            assert await max_memory_while(server, steady) < MEMORY_MB
            await steady
            for task in bad_clients:
                task.cancel()
            usual_client.close()

    asyncio.run(scenario())


SCARCE_MEMORY = {"cores": 1.0, "memory_mb": 0.5, "sockets": 256}  # 200 KB for what clients send


def test_a_message_for_which_there_is_no_memory_is_rejected_and_the_next_one_is_served() -> None:
    """Guards against a client that loses its connection, and its open requests, to one long message."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        message_id = client.call("ask", request_id(1), b"SELECT '" + b"x" * 150_000 + b"'")
        assert await client.read_answer(message_id) == (["Shed", {"backoff": "500"}], None)
        assert await client.read_answer(client.call("ask", request_id(2))) == (None, [ROWS, {}])
        assert len(harness.compute_nodes[0].commands(b"fetch")) == 1
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario, limits=SCARCE_MEMORY)


def test_requests_of_one_client_leave_memory_for_another_one() -> None:
    async def scenario(harness: Harness) -> None:
        greedy, modest = await harness.client(), await harness.client()
        statement = b"SELECT '" + b"x" * 40_000 + b"'"
        calls = [greedy.call("ask", request_id(number), statement) for number in range(1, 9)]
        error, _ = await greedy.read_answer(calls[-1])
        assert error == ["Shed", {"backoff": "500"}]
        modest.call("ask", request_id(99), b"SELECT '" + b"x" * 20_000 + b"'")
        await harness.wait_until(
            lambda: request_id(99).encode() in [c[1] for c in harness.compute_nodes[0].commands(b"fetch")]
        )

    run_with_harness(scenario, never_answer, limits=SCARCE_MEMORY)


async def send_statement_in_part(
    harness: Harness, monkeypatch: pytest.MonkeyPatch, method: str
) -> tuple[Client, UpstreamConnection]:
    """Send statements until one of them is written in part; return the client and the connection."""
    use_small_buffers(harness, monkeypatch)
    client = await harness.client()
    for number in range(1, 5):
        client.call(method, request_id(number), LONG_STATEMENT)
    await harness.wait_until(lambda: harness.server.dispatcher.in_flight_count == 4)
    (connection,) = harness.server.upstream.pool.connections()
    await harness.wait_until(lambda: harness.compute_nodes[0].received_commands)
    await harness.wait_until(connection.stream.writing)
    return client, connection


def test_a_statement_that_was_sent_in_part_counts_until_it_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against statements of requests that have ended and are kept for a node that does not read."""
    resume = asyncio.Event()

    async def hang(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        await resume.wait()

    async def scenario(harness: Harness) -> None:
        client, _ = await send_statement_in_part(harness, monkeypatch, "ask")
        client.close()
        await harness.wait_until(lambda: not harness.server.dispatcher.in_flight_count)
        assert harness.server.memory.held_bytes == len(LONG_STATEMENT)
        resume.set()
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario, hang)


def test_a_statement_that_was_sent_in_part_does_not_count_after_its_connection_has_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a budget that shrinks with each connection that breaks during a write."""

    async def scenario(harness: Harness) -> None:
        client, connection = await send_statement_in_part(harness, monkeypatch, "frail")
        connection.abort("test")
        client.close()
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario, hang_for_good)


async def hang_for_good(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    """Script of a compute node that reads nothing after its first command."""
    await asyncio.Event().wait()


def test_greedy_holders_leave_a_part_of_the_budget_free() -> None:
    budget = MemoryBudget(1000.0)
    greedy = [MemoryHolder(budget) for _ in range(9)]
    for holder in greedy * 200:
        if holder.admits(1):
            holder.add(1)
    assert budget.free_bytes >= 1000.0 / 10
    assert MemoryHolder(budget).admits(90)


def cancel_call(message_id: int) -> bytes:
    return msgspec.msgpack.encode([2, "forget", [message_id]])


async def take_loads_back(client: Client) -> None:
    """Send as many loads as may be open, and take them back once they have been read."""
    message_ids = [client.last_message_id + 1 + n for n in range(MAX_OPEN_REQUESTS)]
    for message_id in message_ids:
        rid = request_id(message_id)
        client.call("load", rid, token=rid * 2)
    await client.writer.drain()
    await asyncio.sleep(0.02)
    client.send_raw(b"".join(map(cancel_call, message_ids)))


def test_loads_that_were_taken_back_are_not_kept_until_they_would_expire(tmp_path: Path) -> None:
    """Guards against memory that grows with requests that have ended."""

    async def scenario() -> None:
        services = [entry | {"deadline": 60.0} for entry in SETTINGS["services"]]
        async with server_process(
            tmp_path, never_answer, settings=SETTINGS | {"services": services}
        ) as server:
            client = await server.client()
            for _ in range(20):
                await take_loads_back(client)
            before = process_memory_mb(server.process.pid)
            for _ in range(ROUNDS):
                await take_loads_back(client)
            await asyncio.sleep(0.2)
            assert process_memory_mb(server.process.pid) < before + MAX_GROWTH_MB
            client.close()

    asyncio.run(scenario())
