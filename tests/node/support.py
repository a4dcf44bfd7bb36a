"""Helpers for the tests of a platform server on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
import struct
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pytest
from platform_world import (
    SETTINGS,
    Client,
    ComputeNode,
    ComputeNodeConnection,
    FeedServer,
    Harness,
    Script,
    answer_fetches,
    dispatcher_config,
    running_harness,
)

from saffronlane.interface import Outcome
from saffronlane.platform import descriptors as descriptors_module
from saffronlane.platform.downstream.client_connection import ClientConnection
from saffronlane.platform.upstream.connection import UpstreamConnection

REQUEST_ID = "9b1f03aa5c7e2d41"
SMALL_BUFFER_BYTES = 8_192
KIB = 1.024  # KB
KB_PER_MB = 1000.0
# Compute nodes so large that the policy rejects nothing for lack of cores or memory.
SETTINGS_WITH_LARGE_NODES = SETTINGS | {
    "extra": SETTINGS["extra"] | {"kindCores": [1000], "sizeMb": [1_000_000]}
}


def request_id(n: int) -> str:
    return f"{n:016x}"


def process_memory_mb(process_id: int, figure: str = "RssAnon") -> float:
    """Return the memory of a process in MB, as the system counts it.

    Args:
        process_id: The id of the process.
        figure: RssAnon, the memory without the files that it maps, or VmHWM, its highest resident memory.
    """
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    (size,) = (line.split()[1] for line in lines if line.startswith(f"{figure}:"))
    return int(size) * KIB / KB_PER_MB


def run_with_harness(
    scenario: Callable[[Harness], Awaitable[None]], *scripts: Script, **config_changes: Any
) -> None:
    """Run a scenario against a server with one compute node per script, or with a single healthy one."""

    async def run() -> None:
        async with running_harness(*scripts, **config_changes) as harness:
            await scenario(harness)

    asyncio.run(run())


def on_first_request(first_script: Script, default_script: Script = answer_fetches) -> Script:
    """Return a script that runs `first_script` for the first request and `default_script` for all others.

    Compute nodes may share the returned script; the first request is then the one that arrives first at any
    of them. Its commands other than fetch are also handled by `first_script`, but a second fetch of it is a
    retry and is handled by `default_script`.
    """
    first_request_ids: list[bytes] = []

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch" and not first_request_ids:
            first_request_ids.append(command[1])
            await first_script(connection, command)
        elif (
            command[0] != b"fetch"
            and first_request_ids
            and command[1:2] == first_request_ids[:1]
            and first_script is not answer_fetches
        ):
            await first_script(connection, command)
        else:
            await default_script(connection, command)

    return script


def hold_fetches(held_fetches: list[tuple[ComputeNodeConnection, bytes]]) -> Script:
    """Return a script that answers no fetch.

    Each fetch is recorded as its connection and request id, so that the test can answer it.
    """

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            held_fetches.append((connection, command[1]))

    return script


async def never_answer(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    """Script of a compute node that accepts connections and commands but sends nothing."""
    return


def record_outcomes(harness: Harness) -> list[Outcome]:
    """Return a list that collects the outcomes of all attempts that end from now on."""
    outcomes: list[Outcome] = []
    finish_attempt = harness.server.executor.finish_attempt

    def record(attempt: Any, outcome: Outcome, *measurements: Any) -> None:
        if not attempt.has_ended:
            outcomes.append(outcome)
        finish_attempt(attempt, outcome, *measurements)

    harness.server.executor.finish_attempt = record  # type: ignore[method-assign]
    return outcomes


def encode_call(message_id: int, cls: object = "ask", body: object = b"SELECT 1", **fields: object) -> bytes:
    """Encode a request; a field that is None is omitted."""
    params = {"rid": REQUEST_ID, "budget": "3000", "acct": "acme"} | fields
    params = {key: value for key, value in params.items() if value is not None}
    return msgspec.msgpack.encode([0, message_id, cls, [params, body]])


class SyncClient:
    """A client whose data is sent synchronously, in the middle of an event-loop iteration.

    Tests use it to force a race with what the server does in the same iteration.
    """

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def close(self) -> None:
        self.socket.close()

    async def read_to_end(self) -> tuple[bytes, bool]:
        """Return all data until the server ends the connection, and whether it ended with a reset."""
        self.socket.setblocking(False)
        loop, received = asyncio.get_running_loop(), b""
        try:
            async with asyncio.timeout(5.0):
                while data := await loop.sock_recv(self.socket, 65_536):
                    received += data
        except ConnectionResetError:
            return received, True
        finally:
            self.socket.close()
        return received, False


def delay_connections(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Delay the establishment of connections to compute nodes until the returned event is set."""
    may_connect = asyncio.Event()
    real_connect = UpstreamConnection.connect

    async def connect(connection: UpstreamConnection) -> None:
        await may_connect.wait()
        await real_connect(connection)

    monkeypatch.setattr(UpstreamConnection, "connect", connect)
    return may_connect


def use_small_buffers(harness: Harness, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the system buffer little between the server and its compute nodes."""
    connect = UpstreamConnection.connect

    async def connect_with_small_buffer(connection: UpstreamConnection) -> None:
        await connect(connection)
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)

    monkeypatch.setattr(UpstreamConnection, "connect", connect_with_small_buffer)
    for compute_node in harness.compute_nodes:
        assert compute_node.server is not None
        compute_node.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)


def assume_default_open_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the server ignore the open descriptors of the test process and assume the default number."""
    monkeypatch.setattr(
        descriptors_module, "_open_descriptor_count", lambda: descriptors_module.DEFAULT_OPEN_DESCRIPTORS
    )


def paged_results(page: bytes, page_count: int) -> Script:
    """Return a script that answers each fetch with a result of `page_count` identical pages."""

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            connection.send_result(command[1], page, page_count)
        elif command[0] == b"more":
            connection.send(command[1], b"MORE", b"sheet=" + command[2], page)

    return script


@dataclass
class ServerProcess:
    """A server that is listening in a process of its own."""

    process: asyncio.subprocess.Process
    config_path: Path
    port: int
    compute_nodes: list[ComputeNode]
    feed: FeedServer

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def read_log_line(self) -> bytes:
        assert self.process.stderr is not None
        return await self.process.stderr.readline()

    async def wait_for_log(self, text: bytes) -> None:
        while text not in await self.read_log_line():
            pass


@contextlib.asynccontextmanager
async def server_process(
    tmp_path: Path, *scripts: Script, descriptor_limit: int = 0, **config_changes: Any
) -> AsyncIterator[ServerProcess]:
    """Start a server as the `run` script does, and kill its process when the test has passed or failed."""

    def set_descriptor_limit() -> None:
        if descriptor_limit:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))

    compute_nodes, feed = [ComputeNode(script) for script in scripts or (answer_fetches,)], FeedServer()
    for compute_node in compute_nodes:
        await compute_node.start()
    await feed.start()
    with socket.socket() as port_finder:
        port_finder.bind(("127.0.0.1", 0))
        port = port_finder.getsockname()[1]
    config_path = tmp_path / "config.json"
    config = dispatcher_config(compute_nodes, feed.port, listen=f"127.0.0.1:{port}", **config_changes)
    config_path.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "saffronlane.platform",
        env=os.environ | {"BALANCER_CONFIG": str(config_path)},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=set_descriptor_limit,
        limit=1_000_000,
    )
    running = ServerProcess(process, config_path, port, compute_nodes, feed)
    try:
        async with asyncio.timeout(20.0):
            await running.wait_for_log(b"listening")
        yield running
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for compute_node in compute_nodes:
            compute_node.close()
        feed.close()


@contextlib.asynccontextmanager
async def slow_client(
    harness: Harness, request_count: int
) -> AsyncIterator[tuple[socket.socket, ClientConnection]]:
    """Yield a client that has sent requests and read no answer, and the server's side of its connection.

    All requests have been answered, and both sides have small buffers.
    """
    downstream = harness.server.downstream
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", downstream.port))
        await harness.wait_until(lambda: downstream.clients)
        (connection,) = downstream.clients
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        client.sendall(b"".join(encode_call(n, rid=request_id(n)) for n in range(1, request_count + 1)))
        await harness.wait_until(
            lambda: downstream.request_count == request_count and not connection.open_requests
        )
        client.setblocking(False)
        yield client, connection
