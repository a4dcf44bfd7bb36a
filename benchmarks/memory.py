"""Memory of one gateway: 10,000 held queries, and a 1 GB result to a client that reads slowly.

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

HELD = 10_000
MB = 1024 * 1024


def memory(pid: int) -> float:
    """Resident memory of a process, MB."""
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
        "front": {"max_streams": 2 * HELD},
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


def start(channel: Channel, ticket: bytes) -> ClientCall:
    """A ticket may be used any number of times: each use is a request of its own."""
    call = channel.start(SERVICE + "DoGet")
    call.write_now(ticket, end=True)
    return call


async def ended(call: ClientCall) -> str:
    while await call.read() is not None:
        pass
    return call.status.code.name if call.status is not None else "none"


async def held(folder: Path) -> None:
    """No engine at all: every query is held until its client's time is over, and all end at once."""
    process = await gateway(folder, [], deadline=20.0)
    assert process.process is not None
    before = memory(process.process.pid)
    channel = Channel("127.0.0.1", process.port)
    await channel.connect(2.0)
    while not channel.usable:
        await asyncio.sleep(0.01)
    began = time.monotonic()
    ticket = await ticket_for(channel, "SELECT 1")
    calls = [start(channel, ticket) for _ in range(HELD)]
    while not await channel.ping(5.0):  # answered behind all of them
        pass
    asked = time.monotonic() - began
    most = memory(process.process.pid)
    times: list[float] = []

    async def one(call: ClientCall) -> str:
        code = await ended(call)
        times.append(time.monotonic())
        return code

    codes = await asyncio.gather(*(one(c) for c in calls))
    print(
        f"{HELD} held queries: {most - before:.0f} MB over {before:.0f} MB, taken in {asked:.1f} s;", end=" "
    )
    print(f"all refused within {max(times) - min(times):.1f} s: {set(codes)}")
    process.send(signal.SIGKILL)
    channel.close()


async def large(folder: Path) -> None:
    """A result of 1 GB, read at about 100 MB/s."""
    engine = StandInEngine(EngineConfig("e0"))
    engine.start()
    process = await gateway(folder, [{"id": "e0", "address": engine.address}], deadline=120.0)
    assert process.process is not None
    before = most = memory(process.process.pid)
    channel = Channel("127.0.0.1", process.port)
    await channel.connect(2.0)
    while not channel.usable:
        await asyncio.sleep(0.01)
    call = start(channel, await ticket_for(channel, "SELECT 1 /* lab rows=60000 batches=800 */"))
    size, began = 0, time.monotonic()
    while (message := await call.read()) is not None:
        size += len(message)
        most = max(most, memory(process.process.pid))
        await asyncio.sleep(max(0.0, began + size / (100 * MB) - time.monotonic()))
    took = time.monotonic() - began
    print(
        f"a result of {size / MB:.0f} MB to a slow client: {most - before:.0f} MB over {before:.0f} MB,",
        end=" ",
    )
    print(f"{size / MB / took:.0f} MB/s, {call.status}")
    process.send(signal.SIGKILL)
    channel.close()
    engine.crash()


async def main() -> None:
    for part in (held, large):
        with tempfile.TemporaryDirectory() as name:
            await part(Path(name))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
