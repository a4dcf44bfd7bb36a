"""What a flood of idle connections costs a platform node, and what its usual clients feel of it.

    python benchmarks/flood.py [--flood 3000] [--silent 0.0] [--usual 20] [--sockets 256]

The node is a process of its own. A flood of connections comes as fast as it is accepted, asks once and
stays, or says nothing; beside it, usual clients ask on connections of their own twice a second, and connect
anew where theirs was closed. Prints one line: processor time for each that came, how many requests of
the usual clients were answered, how often they had to connect anew, and how long their answers took.
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

from node import ROOT, process_cpu  # which also finds the stand-ins of the tests
from platform_world import Client, ComputeNode, FeedServer, dispatcher_config

EVERY = 0.5  # seconds between the requests of a usual client: longer than idle connections are safe


class Usual:
    """One usual client."""

    def __init__(self, port: int, number: int) -> None:
        self.port, self.number, self.anew = port, number, 0
        self.took: list[float] = []

    async def run(self) -> None:
        client: Client | None = None
        for asked in range(1_000_000):
            began = time.monotonic()
            for _ in range(20):
                try:
                    if client is None:
                        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
                    await client.read_answer(client.call("ask", f"{self.number:08x}{asked:08x}"))
                    break
                except ConnectionError:
                    client, self.anew = None, self.anew + 1
            self.took.append(time.monotonic() - began)
            await asyncio.sleep(EVERY)


async def flood(port: int, count: int, silent: float) -> None:
    held: list[socket.socket] = []
    loop = asyncio.get_running_loop()
    for number in range(count):
        one = socket.socket()
        one.setblocking(False)
        held.append(one)
        await loop.sock_connect(one, ("127.0.0.1", port))
        if number * silent % 1.0 >= silent:
            asking = Client(*await asyncio.open_connection(sock=one))
            with contextlib.suppress(ConnectionError):
                asking.call("ask", f"ffff{number:012x}")
    await asyncio.sleep(0.5)
    for one in held:
        one.close()


async def main() -> None:
    reader = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    reader.add_argument("--flood", type=int, default=3000)
    reader.add_argument("--silent", type=float, default=0.0, help="share of them that say nothing")
    reader.add_argument("--usual", type=int, default=20)
    reader.add_argument("--sockets", type=int, default=256)
    asked = reader.parse_args()
    compute, feed = ComputeNode(), FeedServer()
    await compute.start()
    await feed.start()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": asked.sockets}
    text = dispatcher_config([compute], feed.port, listen=f"127.0.0.1:{port}", limits=limits)
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "config.json"
        path.write_text(json.dumps(text))
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
            usual = [Usual(port, n) for n in range(asked.usual)]
            running = [asyncio.create_task(one.run()) for one in usual]
            await asyncio.sleep(3.0 * EVERY)  # each has asked more than once
            before = process_cpu(process.pid)
            await flood(port, asked.flood, asked.silent)
            spent = process_cpu(process.pid) - before
            for task in running:
                task.cancel()
        finally:
            process.kill()
            await process.wait()
            compute.close()
            feed.close()
    took = sorted(span for one in usual for span in one.took)
    print(
        f"{asked.flood} came at {1000.0 * spent / asked.flood:.2f} ms of processor time each; usual clients:"
        f" {len(took)} answered, {sum(one.anew for one in usual)} connected anew,"
        f" median {1000.0 * took[len(took) // 2]:.1f} ms, 99th {1000.0 * took[len(took) * 99 // 100]:.1f} ms"
    )


if __name__ == "__main__":
    asyncio.run(main())
