"""Measures the memory of one gateway with 10,000 queued queries, and with a 1 GB result to a slow client.

python benchmarks/memory.py
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

from saffronlane.lab.engine import EngineConfig, StandInEngine
from saffronlane.lab.up import GatewayProcess, write_list
from saffronlane.proto import flight_pb2 as flight
from saffronlane.proto import flight_sql_pb2 as sql
from saffronlane.proto.commands import SERVICE, descriptor
from saffronlane.rpc import Channel, ClientCall

QUEUED_QUERIES = 10_000
MB = 1024 * 1024


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def gateway(folder: Path, engines: list[dict[str, str]], deadline: float) -> GatewayProcess:
    write_list(folder / "engines.json", engines, 1)
    settings = {
        "listen": {"port": 0},
        "engines": {"file": "engines.json"},
        "kinds": [{"name": "any", "cores": 8}],
        "classes": [{"name": "lookup", "aim_s": 1.0, "deadline_s": deadline}],
        "front": {"max_streams": 2 * QUEUED_QUERIES},
        "limits": {"max_retry_after_s": 5.0},
    }
    path = folder / "gateway.json"
    path.write_text(json.dumps(settings))
    process = GatewayProcess(path)
    await process.start()
    return process


async def ticket_for(channel: Channel, query: str) -> bytes:
    request = descriptor(sql.CommandStatementQuery(query=query)).SerializeToString()
    info = flight.FlightInfo.FromString(await channel.unary(SERVICE + "GetFlightInfo", request))
    return info.endpoint[0].ticket.SerializeToString()


def start_do_get(channel: Channel, ticket: bytes) -> ClientCall:
    """Starts a DoGet. A ticket may be used any number of times, and each use is a separate request."""
    call = channel.start(SERVICE + "DoGet")
    call.write_now(ticket, end=True)
    return call


async def read_to_end(call: ClientCall) -> str:
    while await call.read() is not None:
        pass
    return call.status.code.name if call.status is not None else "none"


async def measure_queued_queries(folder: Path) -> None:
    """Measures queries that stay queued until their deadline, because the gateway has no engines."""
    process = await gateway(folder, [], deadline=20.0)
    assert process.process is not None
    before_mb = resident_mb(process.process.pid)
    channel = Channel("127.0.0.1", process.port)
    await channel.connect(2.0)
    while not channel.usable:
        await asyncio.sleep(0.01)
    started_at = time.monotonic()
    ticket = await ticket_for(channel, "SELECT 1")
    calls = [start_do_get(channel, ticket) for _ in range(QUEUED_QUERIES)]
    while not await channel.ping(5.0):  # the response to the ping follows all of the requests
        pass
    send_seconds = time.monotonic() - started_at
    peak_mb = resident_mb(process.process.pid)
    end_times: list[float] = []

    async def end_code(call: ClientCall) -> str:
        code = await read_to_end(call)
        end_times.append(time.monotonic())
        return code

    codes = await asyncio.gather(*(end_code(call) for call in calls))
    print(
        f"{QUEUED_QUERIES} queued queries: {peak_mb - before_mb:.0f} MB over {before_mb:.0f} MB,"
        f" accepted in {send_seconds:.1f} s;",
        end=" ",
    )
    print(f"all rejected within {max(end_times) - min(end_times):.1f} s: {set(codes)}")
    process.send(signal.SIGKILL)
    channel.close()


async def measure_large_result(folder: Path) -> None:
    """Measures a result of 1 GB that the client reads at about 100 MB/s."""
    engine = StandInEngine(EngineConfig("e0"))
    engine.start()
    process = await gateway(folder, [{"id": "e0", "address": engine.address}], deadline=120.0)
    assert process.process is not None
    before_mb = peak_mb = resident_mb(process.process.pid)
    channel = Channel("127.0.0.1", process.port)
    await channel.connect(2.0)
    while not channel.usable:
        await asyncio.sleep(0.01)
    call = start_do_get(channel, await ticket_for(channel, "SELECT 1 /* lab rows=60000 batches=800 */"))
    size, started_at = 0, time.monotonic()
    while (message := await call.read()) is not None:
        size += len(message)
        peak_mb = max(peak_mb, resident_mb(process.process.pid))
        await asyncio.sleep(max(0.0, started_at + size / (100 * MB) - time.monotonic()))
    duration = time.monotonic() - started_at
    print(
        f"a result of {size / MB:.0f} MB to a slow client:"
        f" {peak_mb - before_mb:.0f} MB over {before_mb:.0f} MB,",
        end=" ",
    )
    print(f"{size / MB / duration:.0f} MB/s, {call.status}")
    process.send(signal.SIGKILL)
    channel.close()
    engine.crash()


async def main() -> None:
    for measure in (measure_queued_queries, measure_large_result):
        with tempfile.TemporaryDirectory() as folder:
            await measure(Path(folder))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
