"""Measures CPU time and memory of one platform node at a constant rate, with simulated compute nodes.

    python benchmarks/node.py [--rate 260] [--seconds 10] [--pages 4]

The node runs in its own process. Clients and compute nodes run in this process and connect over loopback.
Prints one line: the number of requests, the CPU time per request, the resident memory at the start and at the
end, and the latency. The simulated compute nodes answer immediately, so that only the work of the node is
measured.
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
COMPUTE_NODES, CLIENTS = 5, 4


def process_cpu(pid: int) -> float:
    """Returns the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096 / 1e6


def answer_script(pages: int):  # type: ignore[no-untyped-def]
    async def answer(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.send_result(words[1], PAGE, pages)
        elif words[0] == b"more":
            peer.send(words[1], b"MORE", b"sheet=" + words[2], PAGE)

    return answer


async def run(rate: float, seconds: float, pages: int) -> None:
    compute_nodes = [ComputeNode(answer_script(pages)) for _ in range(COMPUTE_NODES)]
    feed = FeedServer()
    await feed.start()
    for compute_node in compute_nodes:
        await compute_node.start()
    with socket.socket() as port_probe:
        port_probe.bind(("127.0.0.1", 0))
        port = port_probe.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(dispatcher_config(compute_nodes, feed.port, listen=f"127.0.0.1:{port}")))
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
            for compute_node in compute_nodes:
                compute_node.close()
            feed.close()


async def _connect_clients(port: int) -> list[Client]:
    for _ in range(200):
        try:
            return [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(CLIENTS)]
        except OSError:
            await asyncio.sleep(0.05)
    raise SystemExit("the node did not accept connections within 10 s")


async def _send_request(client: Client, number: int, latencies: list[float]) -> None:
    started_at = time.monotonic()
    message_id = client.call("ask", f"{number:016x}", b"SELECT n FROM sales_%d.orders" % (number % 20))
    while message_id not in client.answers:
        await asyncio.sleep(0.001)
    assert client.answers.pop(message_id)[0] is None
    latencies.append(time.monotonic() - started_at)


async def _read_answers(client: Client) -> None:
    while data := await client.reader.read(262_144):
        client._buffer += data
        client._parse_answers()


async def _measure(pid: int, port: int, rate: float, seconds: float) -> None:
    clients = await _connect_clients(port)
    reader_tasks = [asyncio.create_task(_read_answers(client)) for client in clients]
    cpu_before, memory_before = process_cpu(pid), resident_mb(pid)
    latencies: list[float] = []
    started_at, number, tasks = time.monotonic(), 0, set()
    while (now := time.monotonic()) < started_at + seconds:
        while number < (now - started_at) * rate:
            task = asyncio.create_task(_send_request(clients[number % CLIENTS], number, latencies))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
        await asyncio.sleep(0.002)
    await asyncio.gather(*tasks)
    cpu_seconds = process_cpu(pid) - cpu_before
    latencies.sort()
    print(
        f"{number} requests at {rate:.0f}/s: {cpu_seconds / number * 1e3:.2f} ms CPU each, "
        f"{memory_before:.0f} to {resident_mb(pid):.0f} MB, "
        f"p50 {latencies[len(latencies) // 2] * 1e3:.1f} ms, "
        f"p99 {latencies[int(len(latencies) * 0.99)] * 1e3:.1f} ms"
    )
    for task in reader_tasks:
        task.cancel()
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
