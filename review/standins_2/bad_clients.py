"""Many clients in a process of their own: bad ones, as the page of the days describes them, and sound bursts.

    python bad_clients.py PORT KIND COUNT SECONDS [RATE | burst]

`COUNT` clients send at full speed, read what is sent to them, and send the same again as soon as they are
turned away. With `RATE`, that many new clients come each second instead, `COUNT` in all, and each of them
sends once and leaves after a second. With `burst`, `COUNT` clients connect, all send at the same moment, read
for some seconds and leave, and so again until the time is over. The process ends by itself after `SECONDS`,
and prints how often its clients connected.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time

import msgspec

HOST = "127.0.0.1"
CHUNK_BYTES = 262_144
HUGE_BYTES = 60_000_000  # the 60 MB bodies of the page
HUNDREDS = 500  # the page's "hundreds of requests at once"
MAX_OPEN = 32  # requests on one connection
MAX_CONNECTIONS = 20_000
VISIT_SECONDS = 1.0
SETTLE_SECONDS = 0.3  # from the last connection to the burst
BURST_SECONDS = 6.0  # from a burst until its clients leave


def call(message_id: int, cls: str, body: bytes, **fields: str) -> bytes:
    """Encode a request."""
    params = {"rid": os.urandom(8).hex(), "budget": "3000", "acct": "jordan-valley"} | fields
    return msgspec.msgpack.encode([0, message_id, cls, [params, body]])


def huge_body() -> list[bytes]:
    """Return the pieces of a request with a body of 60 MB."""
    head = call(1, "lookup", b"")[:-2]  # without the empty body
    pieces = [head + b"\xc6" + HUGE_BYTES.to_bytes(4, "big")]
    return pieces + [b"x" * CHUNK_BYTES] * (HUGE_BYTES // CHUNK_BYTES)


def hundreds_at_once() -> list[bytes]:
    """Return hundreds of requests of a class that does not exist."""
    return [b"".join(call(n, "no-such-class", b"SELECT 1") for n in range(1, HUNDREDS + 1))]


def hundreds_taken_back() -> list[bytes]:
    """Return hundreds of requests, each of them taken back at once."""
    pieces = []
    for n in range(1, HUNDREDS + 1):
        pieces.append(call(n, "lookup", b"SELECT a FROM sales_17.orders"))
        pieces.append(msgspec.msgpack.encode([2, "forget", [n]]))
    return [b"".join(pieces)]


def loads_taken_back() -> list[bytes]:
    """Return hundreds of loads, each of them taken back at once."""
    pieces = []
    for n in range(1, HUNDREDS + 1):
        token = os.urandom(16).hex()
        pieces.append(call(n, "log-load", b"INSERT INTO sales_17.orders", token=token, budget="25000"))
        pieces.append(msgspec.msgpack.encode([2, "forget", [n]]))
    return [b"".join(pieces)]


def pipelined() -> list[bytes]:
    """Return as many sound requests as may be open on one connection."""
    body = b"SELECT a FROM sales_17.orders"
    return [b"".join(call(n, "lookup", body, budget="1500") for n in range(1, MAX_OPEN + 1))]


KINDS = {
    "pipeline": pipelined,
    "huge": huge_body,
    "hundreds": hundreds_at_once,
    "back": hundreds_taken_back,
    "loads-back": loads_taken_back,
}


async def discard(reader: asyncio.StreamReader) -> None:
    """Read what is sent until the connection ends."""
    with contextlib.suppress(ConnectionError):
        while await reader.read(65_536):
            pass


async def attack(port: int, pieces: list[bytes], until: float, counts: list[int]) -> None:
    """Send the same again and again until the given time."""
    while time.monotonic() < until and counts[0] < MAX_CONNECTIONS:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        counts[0] += 1
        reading = asyncio.ensure_future(discard(reader))
        try:
            for piece in pieces:
                if reading.done() or time.monotonic() > until:
                    break
                writer.write(piece)
                await writer.drain()
            while not reading.done() and time.monotonic() < until:
                await asyncio.wait({reading}, timeout=0.1)
        except ConnectionError:
            pass
        reading.cancel()
        writer.close()


async def visit(port: int, kind: str, counts: list[int]) -> None:
    """Send once, read for a second and leave."""
    until = time.monotonic() + VISIT_SECONDS
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(HOST, port)
        counts[0] += 1
        reading = asyncio.ensure_future(discard(reader))
        for piece in KINDS[kind]():
            writer.write(piece)
            await writer.drain()
        await asyncio.wait({reading}, timeout=max(0.0, until - time.monotonic()))
        reading.cancel()
        writer.close()


async def come_and_go(port: int, kind: str, count: int, rate: float, until: float, counts: list[int]) -> None:
    """Let new clients come at a rate."""
    visits = set()
    while time.monotonic() < until and len(visits) < count:
        visits.add(asyncio.ensure_future(visit(port, kind, counts)))
        await asyncio.sleep(1.0 / rate)
    await asyncio.wait(visits, timeout=2.0)


async def burst(port: int, kind: str, count: int, counts: list[int]) -> None:
    """Connect all clients, send on all connections at the same moment, read and leave."""
    sent = [b"".join(KINDS[kind]()) for _ in range(count)]
    streams = []
    with contextlib.suppress(OSError):
        for _ in range(count):
            streams.append(await asyncio.open_connection(HOST, port))
            counts[0] += 1
    await asyncio.sleep(SETTLE_SECONDS)
    readings = {asyncio.ensure_future(discard(reader)) for reader, _ in streams}
    for (_, writer), data in zip(streams, sent, strict=False):
        writer.write(data)
    if readings:
        await asyncio.wait(readings, timeout=BURST_SECONDS)
    for reading in readings:
        reading.cancel()
    for _, writer in streams:
        writer.close()


async def main() -> None:
    """Run the clients."""
    port, kind, count, seconds = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    until = time.monotonic() + min(seconds, 100.0)
    counts = [0]
    if sys.argv[5:] == ["burst"]:
        while time.monotonic() < until:
            await burst(port, kind, count, counts)
    elif len(sys.argv) > 5:
        await come_and_go(port, kind, count, float(sys.argv[5]), until, counts)
    else:
        sent = [KINDS[kind]() for _ in range(1 if kind == "huge" else count)]
        await asyncio.gather(*(attack(port, sent[n % len(sent)], until, counts) for n in range(count)))
    print(f"{count} clients of kind {kind} connected {counts[0]} times")


if __name__ == "__main__":
    asyncio.run(main())
