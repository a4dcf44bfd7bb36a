"""Commands that wait because their compute node does not read."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest
from platform_world import SETTINGS, Client, ComputeNode, ComputeNodeConnection, Harness

from saffronlane.platform.stream import Stream

from .support import request_id, run_with_harness, use_small_buffers

LONG_STATEMENT = b"SELECT '" + b"x" * 200_000 + b"'"
STATEMENT_COUNT = 8  # long statements, more than the system buffers for a node that does not read
KEY_TTL = 1.0  # seconds


class HangingNode:
    """A script for two compute nodes; the one that gets the first statement stops reading until `resume`.

    Attributes:
        resume: Lets the compute node read again.
        loads: The compute nodes that got a keyed load, in order. The first load is lost after it was read.
        hanging: The compute node that stops reading.
        timeouts: The timeouts of all statements in milliseconds, by request id.
    """

    def __init__(self) -> None:
        self.resume = asyncio.Event()
        self.loads: list[ComputeNode] = []
        self.timeouts: dict[bytes, int] = {}
        self.hanging: ComputeNode | None = None

    async def __call__(self, connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] != b"fetch":
            return
        fields = dict(part.split(b"=") for part in command[2].split(b","))
        self.timeouts[command[1]] = int(fields[b"w"])
        if fields[b"c"] == b"load":
            self.loads.append(connection.compute_node)
            if len(self.loads) == 1:
                connection.abort()
                return
        elif self.hanging in (None, connection.compute_node):
            self.hanging = connection.compute_node
            await self.resume.wait()
        connection.send_result(command[1])


def only_hanging_node_is_busy(harness: Harness) -> Callable[[], bool]:
    """Return a condition: commands wait for the node that does not read, and the other one has answered."""

    def is_met() -> bool:
        busy = [
            connection for connection in harness.server.upstream.pool.connections() if connection.attempts
        ]
        has_all = harness.server.downstream.request_count == STATEMENT_COUNT
        return has_all and len(busy) == 1 and busy[0].has_queued_output

    return is_met


async def fill_hanging_node(harness: Harness, monkeypatch: pytest.MonkeyPatch) -> tuple[Client, list[int]]:
    """Send long statements until some wait for a node that does not read; return the client and the calls."""
    use_small_buffers(harness, monkeypatch)
    client = await harness.client()
    calls = [
        client.call("ask", request_id(number), LONG_STATEMENT) for number in range(1, STATEMENT_COUNT + 1)
    ]
    await harness.wait_until(only_hanging_node_is_busy(harness))
    return client, calls


def settings_with_short_keys() -> dict[str, object]:
    services = [
        service | ({"keyTtl": KEY_TTL} if service["name"] == "load" else {})
        for service in SETTINGS["services"]
    ]
    return SETTINGS | {"services": services}


def test_a_retry_that_waits_for_a_node_is_not_sent_after_its_idempotency_key_expired(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a load that takes effect twice: its retry left the queue when the node read again."""
    script = HangingNode()

    async def scenario(harness: Harness) -> None:
        client, _ = await fill_hanging_node(harness, monkeypatch)
        load = client.call("load", request_id(99), token="t1")
        await asyncio.sleep(KEY_TTL + 0.3)
        script.resume.set()
        error, _ = await client.read_answer(load)
        await asyncio.sleep(0.3)  # until the node that was hanging has read all that was sent to it
        first, *retries = script.loads
        assert first is not script.hanging and not retries
        assert error == ["Fault", {}]  # it has run once, and its answer was lost

    run_with_harness(scenario, script, script, settings=settings_with_short_keys())


def test_a_statement_that_waited_for_a_node_is_sent_with_the_time_that_remains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a timeout that is encoded too early: the node runs on after the client has gone."""
    script = HangingNode()

    async def scenario(harness: Harness) -> None:
        client, calls = await fill_hanging_node(harness, monkeypatch)
        await asyncio.sleep(1.0)
        early = set(script.timeouts)
        script.resume.set()
        for call in calls:
            await client.read_answer(call)
        late = [timeout for number, timeout in script.timeouts.items() if number not in early]
        assert late and max(timeout for timeout in script.timeouts.values()) > 2_500
        assert min(late) <= 2_000

    run_with_harness(scenario, script, script)


def fill_kernel(stream: Stream) -> None:
    """Send until the kernel accepts nothing more."""
    while stream.send_now([b"x" * 10_000]) is not None:
        pass


async def read_all(peer: socket.socket) -> None:
    """Read what the kernel holds, and what is written meanwhile."""
    for _ in range(20):
        with contextlib.suppress(BlockingIOError):
            while peer.recv(100_000):
                pass
        await asyncio.sleep(0.005)


def test_a_stream_that_was_full_twice_reports_each_time_that_it_can_be_written() -> None:
    """Guards against commands that wait for ever: a write in between had replaced the callback."""

    async def scenario() -> None:
        near, far = socket.socketpair()
        far.setblocking(False)
        stream = Stream(near, 1_000_000, 10_000_000)
        called: list[int] = []
        fill_kernel(stream)
        stream.call_when_writable(lambda: called.append(1))
        far.recv(100_000)  # the kernel accepts bytes again, and the event loop has not reported it
        data = b"y" * 5_000_000
        sent_bytes = stream.send_now([data])
        assert sent_bytes is not None and 0 < sent_bytes < len(data)
        written = stream.write(memoryview(data)[sent_bytes:])
        while not written.done():
            await read_all(far)
        fill_kernel(stream)
        stream.call_when_writable(lambda: called.append(2))
        await read_all(far)
        assert called[-1:] == [2]
        stream.close()
        far.close()

    asyncio.run(scenario())
