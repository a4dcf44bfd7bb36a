"""Measures the CPU cost of a flood of idle connections on a platform node, and its effect on regular clients.

    python benchmarks/flood.py [--flood 3000] [--silent 0.0] [--usual 20] [--sockets 256]

The node runs in its own process. The connections of the flood are opened as fast as the node accepts them.
Each of them sends one request and stays open, or sends nothing. `--silent` is the share that sends nothing.
Meanwhile, `--usual` regular clients send two requests per second on connections of their own, and reconnect
if the node closes a connection. Prints one line: the CPU time for each connection of the flood, the number of
answered requests of the regular clients, the number of their reconnections, and the latency of their
requests.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import sys
import tempfile
import time
from pathlib import Path

from node import ROOT, process_cpu  # importing node also adds tests/ to sys.path
from platform_world import Client, ComputeNode, FeedServer, dispatcher_config

# Seconds between two requests of a regular client. The node may already close an idle connection after a
# shorter time, in which case the client reconnects.
REQUEST_INTERVAL = 0.5


class RegularClient:
    """A client that sends requests at regular intervals and reconnects if necessary."""

    def __init__(self, port: int, number: int) -> None:
        self.port, self.number, self.reconnections = port, number, 0
        self.latencies: list[float] = []

    async def run(self) -> None:
        client: Client | None = None
        for request_number in range(1_000_000):
            started_at = time.monotonic()
            for _ in range(20):
                try:
                    if client is None:
                        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
                    await client.read_answer(client.call("ask", f"{self.number:08x}{request_number:08x}"))
                    break
                except ConnectionError:
                    client, self.reconnections = None, self.reconnections + 1
            self.latencies.append(time.monotonic() - started_at)
            await asyncio.sleep(REQUEST_INTERVAL)


async def flood(port: int, count: int, silent_share: float) -> None:
    connections: list[socket.socket] = []
    loop = asyncio.get_running_loop()
    for number in range(count):
        connection = socket.socket()
        connection.setblocking(False)
        connections.append(connection)
        await loop.sock_connect(connection, ("127.0.0.1", port))
        if number * silent_share % 1.0 >= silent_share:
            client = Client(*await asyncio.open_connection(sock=connection))
            with contextlib.suppress(ConnectionError):
                client.call("ask", f"ffff{number:012x}")
    await asyncio.sleep(0.5)
    for connection in connections:
        connection.close()


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--flood", type=int, default=3000)
    parser.add_argument("--silent", type=float, default=0.0, help="share of the flood that sends no request")
    parser.add_argument("--usual", type=int, default=20)
    parser.add_argument("--sockets", type=int, default=256)
    options = parser.parse_args()
    compute_node, feed = ComputeNode(), FeedServer()
    await compute_node.start()
    await feed.start()
    with socket.socket() as port_probe:
        port_probe.bind(("127.0.0.1", 0))
        port = port_probe.getsockname()[1]
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": options.sockets}
    config = dispatcher_config([compute_node], feed.port, listen=f"127.0.0.1:{port}", limits=limits)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "saffronlane.platform",
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(path), "SAFFRONLANE_LOG": "error"},
        )
        try:
            while True:
                with contextlib.suppress(ConnectionError):
                    (await asyncio.open_connection("127.0.0.1", port))[1].close()
                    break
                await asyncio.sleep(0.05)
            regular_clients = [RegularClient(port, n) for n in range(options.usual)]
            client_tasks = [asyncio.create_task(client.run()) for client in regular_clients]
            await asyncio.sleep(3.0 * REQUEST_INTERVAL)  # every regular client has sent several requests
            cpu_before = process_cpu(process.pid)
            await flood(port, options.flood, options.silent)
            cpu_seconds = process_cpu(process.pid) - cpu_before
            for task in client_tasks:
                task.cancel()
        finally:
            process.kill()
            await process.wait()
            compute_node.close()
            feed.close()
    latencies = sorted(latency for client in regular_clients for latency in client.latencies)
    print(
        f"{options.flood} connections cost {1000.0 * cpu_seconds / options.flood:.2f} ms of processor time"
        f" each; regular clients: {len(latencies)} answered,"
        f" {sum(client.reconnections for client in regular_clients)} reconnections,"
        f" median {1000.0 * latencies[len(latencies) // 2]:.1f} ms,"
        f" p99 {1000.0 * latencies[len(latencies) * 99 // 100]:.1f} ms"
    )


if __name__ == "__main__":
    asyncio.run(main())
