"""Commands that are under way to a compute node that does not read, when they must not arrive any more."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest
from platform_world import SETTINGS, ComputeNode, ComputeNodeConnection, Harness

from saffronlane.platform.stream import Stream

from .support import SMALL_BUFFER_BYTES, request_id, run_with_harness, use_small_buffers

LONG_STATEMENT = b"INSERT INTO sales_17.orders VALUES ('" + b"x" * 200_000 + b"')"
KEY_TTL = 1.0  # seconds
LONG_KEY_TTL = 30.0  # seconds


class Nodes:
    """A script for compute nodes of which one can hang: it reads nothing, and its connections stay open.

    Attributes:
        loads: The compute nodes that got a whole load, in order.
        on_load: Called for each load, with its connection and its id.
    """

    def __init__(self, on_load: Callable[[ComputeNodeConnection, bytes], None]) -> None:
        self.loads: list[ComputeNode] = []
        self.on_load = on_load
        self.harness: Harness | None = None

    async def __call__(self, connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] != b"fetch":
            return
        if b"c=load" in command[2].split(b","):
            self.loads.append(connection.compute_node)
            self.on_load(connection, command[1])
        else:
            connection.send_result(command[1])


def set_reading(compute_node: ComputeNode, reads: bool) -> None:
    """Have a compute node read on all its connections, or on none."""
    for connection in compute_node.connections:
        transport = connection.writer.transport
        if not transport.is_closing():
            (transport.resume_reading if reads else transport.pause_reading)()


def use_small_receive_buffers(harness: Harness) -> None:
    """Have compute nodes buffer little, while this side's system takes whole commands."""
    for compute_node in harness.compute_nodes:
        assert compute_node.server is not None
        compute_node.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)


async def connect_all(harness: Harness) -> None:
    """Send lookups until each compute node has a connection."""
    client = await harness.client()
    number = 1_000
    while not all(compute_node.connections for compute_node in harness.compute_nodes):
        number += 1
        await client.read_answer(
            client.call("ask", request_id(number), b"SELECT 1 FROM sales_%d.t" % (number % 9))
        )


def settings_with_key_ttl(key_ttl: float) -> dict[str, object]:
    services = [
        service | ({"keyTtl": key_ttl, "lateValue": 0.5} if service["name"] == "load" else {})
        for service in SETTINGS["services"]
    ]
    return SETTINGS | {"services": services}


@pytest.mark.parametrize("is_send_buffer_small", [True, False])
def test_a_retry_that_has_not_arrived_whole_when_its_key_is_forgotten_is_taken_back(
    monkeypatch: pytest.MonkeyPatch, is_send_buffer_small: bool
) -> None:
    """Guards against a load that takes effect twice: its retry was begun in time, and arrived too late."""

    def lose_answer_and_hang_other(connection: ComputeNodeConnection, _: bytes) -> None:
        if len(script.loads) == 1:
            for compute_node in script.harness.compute_nodes:
                if compute_node is not connection.compute_node:
                    set_reading(compute_node, False)
            connection.abort()

    script = Nodes(lose_answer_and_hang_other)

    async def scenario(harness: Harness) -> None:
        script.harness = harness
        if is_send_buffer_small:
            use_small_buffers(harness, monkeypatch)
        else:
            use_small_receive_buffers(harness)
        await connect_all(harness)
        client = await harness.client()
        load = client.call("load", request_id(1), LONG_STATEMENT, token="t1")
        await harness.wait_until(lambda: script.loads)
        hanging = next(node for node in harness.compute_nodes if node is not script.loads[0])
        await asyncio.sleep(KEY_TTL + 0.3)
        set_reading(hanging, True)
        error, _ = await client.read_answer(load)
        await asyncio.sleep(0.3)  # until the node that was hanging has read all that was sent to it
        assert script.loads[1:] == []
        assert error == ["Fault", {}]
        assert harness.server.upstream.taken_back_count == 1

    run_with_harness(scenario, script, script, settings=settings_with_key_ttl(KEY_TTL))


@pytest.mark.parametrize("is_send_buffer_small", [True, False])
def test_a_load_that_was_answered_before_it_arrived_whole_is_taken_back(
    monkeypatch: pytest.MonkeyPatch, is_send_buffer_small: bool
) -> None:
    """Guards against a load that is rejected, and that its compute node gets whole afterwards."""
    script = Nodes(lambda connection, number: connection.send_result(number))

    async def scenario(harness: Harness) -> None:
        if is_send_buffer_small:
            use_small_buffers(harness, monkeypatch)
        else:
            use_small_receive_buffers(harness)
        await connect_all(harness)
        set_reading(harness.compute_nodes[0], False)
        client = await harness.client()
        error, _ = await client.read_answer(
            client.call("load", request_id(1), LONG_STATEMENT, token="t1", budget="1000")
        )
        set_reading(harness.compute_nodes[0], True)
        await asyncio.sleep(0.3)
        assert error is not None and error[0] == "Shed"
        assert script.loads == []
        assert harness.server.upstream.taken_back_count == 1

    run_with_harness(scenario, script, settings=settings_with_key_ttl(LONG_KEY_TTL))


def test_a_load_that_has_arrived_whole_may_run_for_longer_than_its_key_is_known() -> None:
    """Guards against a load that runs, and is cut off since its command is taken for one under way."""
    script = Nodes(
        lambda connection, number: asyncio.get_running_loop().call_later(
            KEY_TTL + 0.3, connection.send_result, number
        )
    )

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        error, _ = await client.read_answer(client.call("load", request_id(1), LONG_STATEMENT, token="t1"))
        assert error is None
        assert harness.server.upstream.taken_back_count == 0

    run_with_harness(scenario, script, settings=settings_with_key_ttl(KEY_TTL))


def test_a_lookup_that_times_out_before_it_has_arrived_resets_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the loss of the other requests on the connection, for one that may run twice anyway."""
    script = Nodes(lambda connection, number: None)

    async def scenario(harness: Harness) -> None:
        use_small_buffers(harness, monkeypatch)
        await connect_all(harness)
        set_reading(harness.compute_nodes[0], False)
        client = await harness.client()
        error, _ = await client.read_answer(client.call("ask", request_id(1), LONG_STATEMENT, budget="500"))
        assert error is not None and harness.server.upstream.taken_back_count == 0

    run_with_harness(scenario, script)


def test_a_stream_tells_what_has_arrived_and_drops_the_rest_when_it_is_reset() -> None:
    async def scenario() -> None:
        with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            stream = Stream(socket.create_connection(listener.getsockname()), 1_000_000, 10_000_000)
            peer, _ = listener.accept()
            sent_bytes = stream.send_now([b"x" * 100_000])
            assert sent_bytes is not None
            await asyncio.sleep(0.1)
            assert 0 < stream.bytes_acknowledged < stream.bytes_written == sent_bytes
            stream.discard_undelivered()
            stream.close()
            received_bytes = 0
            with contextlib.suppress(ConnectionResetError):
                while data := peer.recv(65_536):
                    received_bytes += len(data)
            assert received_bytes < sent_bytes
            peer.close()

    asyncio.run(scenario())
