"""Service to usual clients beside clients that send much at once."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path

from platform_world import SETTINGS, Client, ComputeNodeConnection

from saffronlane.platform.downstream.client_connection import MAX_OPEN_REQUESTS

from .support import ServerProcess, encode_call, request_id, server_process

BURST_CLIENTS = 150
BUDGET = 1.0  # seconds
USUAL_REQUESTS = 30
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 512}
# So large that the policy starts all requests of a burst.
LARGE_NODES = {"kindCores": [1000], "sizeMb": [1_000_000]}
SETTINGS_WITH_LARGE_NODES = SETTINGS | {"extra": SETTINGS["extra"] | LARGE_NODES}


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
