"""CPU and memory of one platform node at a steady rate, on loopback with stand-in compute nodes.

    python benchmarks/node.py [--rate 260] [--seconds 10] [--pages 4]

The node is a process of its own; clients and compute nodes run here. It prints one line: requests, CPU a
request, resident memory at the start and at the end, latency. Stand-ins answer at once: only the node's work
counts.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from platform_world import Client, ComputeNode, ComputeNodeConnection, FeedServer, dispatcher_config  # noqa: E402

PAGE = b"abcdefgh\t12345\txyz\n" * 250
NODES, CLIENTS = 5, 4


def process_cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096 / 1e6


def script(pages: int):  # type: ignore[no-untyped-def]
    async def answer(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.send_result(words[1], PAGE, pages)
        elif words[0] == b"more":
            peer.send(words[1], b"MORE", b"sheet=" + words[2], PAGE)

    return answer


async def run(rate: float, seconds: float, pages: int) -> None:
    computes = [ComputeNode(script(pages)) for _ in range(NODES)]
    feed = FeedServer()
    await feed.start()
    for compute in computes:
        await compute.start()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(dispatcher_config(computes, feed.port, listen=f"127.0.0.1:{port}")))
        command = [sys.executable, "-m", "saffronlane.platform"]
        environment = os.environ | {"BALANCER_CONFIG": str(path)}
        process = subprocess.Popen(  # noqa: ASYNC220 - nothing else runs on the loop yet
            command, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL
        )
        try:
            await _measure(process.pid, port, rate, seconds)
        finally:
            process.terminate()
            process.wait(10)
            for compute in computes:
                compute.close()
            feed.close()


async def _clients(port: int) -> list[Client]:
    for _ in range(200):
        try:
            return [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(CLIENTS)]
        except OSError:
            await asyncio.sleep(0.05)
    raise SystemExit("the node does not listen")


async def _ask(client: Client, number: int, spans: list[float]) -> None:
    began = time.monotonic()
    msgid = client.call("ask", f"{number:016x}", b"SELECT n FROM sales_%d.orders" % (number % 20))
    while msgid not in client.answers:
        await asyncio.sleep(0.001)
    assert client.answers.pop(msgid)[0] is None
    spans.append(time.monotonic() - began)


async def _pump(client: Client) -> None:
    while data := await client.reader.read(262_144):
        client._buffer += data
        client._parse_answers()


async def _measure(pid: int, port: int, rate: float, seconds: float) -> None:
    clients = await _clients(port)
    pumps = [asyncio.create_task(_pump(client)) for client in clients]
    cpu, memory = process_cpu(pid), resident_mb(pid)
    spans: list[float] = []
    began, number, tasks = time.monotonic(), 0, set()
    while (now := time.monotonic()) < began + seconds:
        while number < (now - began) * rate:
            task = asyncio.create_task(_ask(clients[number % CLIENTS], number, spans))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
        await asyncio.sleep(0.002)
    await asyncio.gather(*tasks)
    spent = process_cpu(pid) - cpu
    spans.sort()
    print(
        f"{number} requests at {rate:.0f}/s: {spent / number * 1e3:.2f} ms CPU each, "
        f"{memory:.0f} to {resident_mb(pid):.0f} MB, p50 {spans[len(spans) // 2] * 1e3:.1f} ms, "
        f"p99 {spans[int(len(spans) * 0.99)] * 1e3:.1f} ms"
    )
    for pump in pumps:
        pump.cancel()
    for client in clients:
        client.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=260.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--pages", type=int, default=4)
    options = parser.parse_args()
    asyncio.run(run(options.rate, options.seconds, options.pages))


if __name__ == "__main__":
    main()
