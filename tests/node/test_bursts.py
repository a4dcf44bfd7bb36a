"""Service to usual clients beside clients that send much at once."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from platform_world import Client, ComputeNodeConnection

from saffronlane.platform.downstream.client_connection import MAX_OPEN_REQUESTS

from .support import (
    SETTINGS_WITH_LARGE_NODES,
    ServerProcess,
    encode_call,
    process_memory_mb,
    request_id,
    server_process,
)

BURST_CLIENTS = 150
BUDGET = 1.0  # seconds
USUAL_REQUESTS = 30
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 512}


async def answer_after_20_ms(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    """Script of a healthy compute node."""
    if command[0] == b"fetch":
        asyncio.get_running_loop().call_later(0.02, connection.send_result, command[1])


async def send_burst(server: ServerProcess) -> list[asyncio.StreamWriter]:
    """Send as many requests as may be open on each of many connections, to be read at one moment."""
    streams = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(BURST_CLIENTS)]
    await asyncio.sleep(0.2)
    server.process.send_signal(signal.SIGSTOP)
    for client_number, (_, writer) in enumerate(streams):
        calls = [
            encode_call(number, rid=request_id(1_000 * client_number + number), budget="2000")
            for number in range(1, MAX_OPEN_REQUESTS + 1)
        ]
        writer.write(b"".join(calls))
        await writer.drain()
    server.process.send_signal(signal.SIGCONT)
    return [writer for _, writer in streams]


async def ask(client: Client, number: int) -> float:
    """Send a request and return the seconds until its answer."""
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    message_id = client.call("ask", request_id(900_000 + number), budget=f"{1000 * BUDGET:.0f}")
    await client.read_answer(message_id, timeout=30.0)
    return loop.time() - sent_at


def test_a_burst_of_pipelined_requests_does_not_make_other_clients_wait(tmp_path: Path) -> None:
    """Guards against a process that stands still while it starts the requests of a burst."""

    async def scenario() -> None:
        scripts = [answer_after_20_ms] * 3
        changes = {"limits": LIMITS, "settings": SETTINGS_WITH_LARGE_NODES}
        async with server_process(tmp_path, *scripts, **changes) as server:
            usual = await server.client()
            await ask(usual, 0)
            writers = await send_burst(server)
            latencies = [await ask(usual, number) for number in range(1, USUAL_REQUESTS)]
            # The protocol grants half a second more before an answer counts as lost.
            assert max(latencies) < BUDGET + 0.5
            usual.close()
            for writer in writers:
                with contextlib.suppress(ConnectionError):
                    writer.close()

    asyncio.run(scenario())


FLOOD_CONNECTIONS = 8
FLOOD_SECONDS = 3.0
CALLS_IN_BLOCK = 200
LONG_STATEMENT = b"SELECT " + b"a.b," * 60_000 + b"c FROM staging.t"
MAX_GROWTH_MB = 8.0  # of private memory during a flood
STATEMENTS_MB = FLOOD_CONNECTIONS * MAX_OPEN_REQUESTS * len(LONG_STATEMENT) / 1e6  # that may be open at once


def health_checks(first: int) -> bytes:
    return b"".join(msgspec.msgpack.encode([0, first + n, "isWell", [{}]]) for n in range(CALLS_IN_BLOCK))


def calls_taken_back(first: int) -> bytes:
    """Return calls that name ever new tables, keys and ids, each taken back at once."""
    parts = []
    for number in range(first, first + CALLS_IN_BLOCK):
        fields = {"rid": os.urandom(8).hex(), "token": os.urandom(16).hex(), "obj": os.urandom(8).hex()}
        parts.append(encode_call(number, "load", b"DELETE FROM s_%d.t" % number, **fields))
        parts.append(msgspec.msgpack.encode([2, "forget", [number]]))
    return b"".join(parts)


def unknown_notifications(first: int) -> bytes:
    numbers = range(first, first + CALLS_IN_BLOCK)
    return b"".join(msgspec.msgpack.encode([2, f"name-{number}", [number]]) for number in numbers)


def unknown_classes(first: int) -> bytes:
    numbers = range(first, first + CALLS_IN_BLOCK)
    return b"".join(encode_call(number, f"class-{number}", rid=os.urandom(8).hex()) for number in numbers)


def long_statements(first: int) -> bytes:
    return encode_call(first, body=LONG_STATEMENT, rid=os.urandom(8).hex())


def flood(port: int, make_block: Callable[[int], bytes]) -> None:
    """Send at full speed and read what is sent, on one connection at a time; runs in a thread."""
    until = time.monotonic() + FLOOD_SECONDS
    while time.monotonic() < until:
        first = 1
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)) as connection:
            connection.settimeout(0.01)
            while time.monotonic() < until:
                block = memoryview(make_block(first))
                first += CALLS_IN_BLOCK
                while block and time.monotonic() < until:
                    readable, writable, _ = select.select([connection], [connection], [], 0.1)
                    if readable and not connection.recv(65_536):
                        raise ConnectionResetError
                    if writable:
                        block = block[connection.send(block) :]


@pytest.mark.parametrize(
    "make_block",
    [health_checks, calls_taken_back, unknown_notifications, unknown_classes, long_statements],
)
def test_clients_at_full_speed_neither_delay_others_nor_raise_the_memory(
    tmp_path: Path, make_block: Callable[[int], bytes]
) -> None:
    """Guards against turns of the event loop, and against memory, that grow with what a client sends."""

    async def scenario() -> None:
        scripts = [answer_after_20_ms] * 2
        changes = {"limits": LIMITS, "settings": SETTINGS_WITH_LARGE_NODES}
        async with server_process(tmp_path, *scripts, **changes) as server:
            usual = await server.client()
            await ask(usual, 0)
            before = process_memory_mb(server.process.pid)
            floods = [
                asyncio.ensure_future(asyncio.to_thread(flood, server.port, make_block))
                for _ in range(FLOOD_CONNECTIONS)
            ]
            latencies = []
            memory = []
            while not all(task.done() for task in floods):
                latencies.append(await ask(usual, len(latencies) + 1))
                memory.append(process_memory_mb(server.process.pid))
            await asyncio.gather(*floods)
            assert max(latencies) < BUDGET
            assert max(memory) - before < MAX_GROWTH_MB + STATEMENTS_MB * (make_block is long_statements)
            usual.close()

    asyncio.run(scenario())
