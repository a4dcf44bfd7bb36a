"""Loads of one key run in the wrong order while bad clients send hundreds of requests at once."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import world  # noqa: E402

BAD_CLIENTS = 80
BAD_SECONDS = 60.0
PAIRS = 12
MAX_SECONDS = 50.0
STATEMENT_BYTES = 250_000  # of the first load of each pair
SPACING = 0.07  # seconds between two loads of a key; the protocol promises 60 ms


async def connected(record: world.Record, client: world.Client) -> world.Client:
    """Return the client, or a new one in its place if its connection has ended."""
    if not client.is_closed:
        return client
    fresh = world.Client(record, client.name, client.port)
    await fresh.connect()
    await ask_lookup(fresh, 900_000 + client.last_id)
    return fresh


async def ask_lookup(client: world.Client, number: int) -> None:
    """Use a connection once, so that it is not new when a load is sent on it."""
    message = await client.ask(
        "lookup",
        world.request_id(number),
        b"SELECT 1 FROM sales_1.orders",
        budget="3500",
        acct="jordan-valley",
    )
    await client.wait(message, 4.1)


async def case(record: world.Record, folder: Path) -> int:
    """Send pairs of loads with one key, and compare the order in which they run."""
    order: list[str] = []

    async def run(
        node: world.Node, connection: world.NodeConnection, rid: bytes, fields: dict[str, str], body: bytes
    ) -> None:
        order.append(rid.decode())
        await asyncio.sleep(0.02)
        connection.serve(rid)

    feed = world.Feed(record)
    await feed.start()
    nodes = [world.Node(f"node-{n}", record, run) for n in range(3)]
    for node in nodes:
        await node.start()
    feed.add([world.member(node) for node in nodes], complete=True)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    dispatcher = world.Dispatcher(record, folder, feed, world.settings(), limits)
    bad_clients = None
    try:
        await dispatcher.start()
        clients = [world.Client(record, name, dispatcher.port) for name in ("first", "second")]
        for number, client in enumerate(clients):
            await client.connect()
            await ask_lookup(client, 900_000 - number)
        if world.has_trouble():
            bad_clients = await world.start_bad_clients(
                record, dispatcher.port, "hundreds", BAD_CLIENTS, BAD_SECONDS
            )
            await asyncio.sleep(2.0)
        wrong = pairs = 0
        until = time.monotonic() + MAX_SECONDS
        while pairs < PAIRS and time.monotonic() < until:
            pairs += 1
            clients = [await connected(record, client) for client in clients]
            rids = [world.request_id(1000 + 2 * pairs + n) for n in range(2)]
            bodies = (
                b"INSERT INTO sales_17.orders VALUES ('%s')" % (b"x" * STATEMENT_BYTES),
                b"DELETE FROM sales_17.orders",
            )
            messages = []
            for client, rid, body in zip(clients, rids, bodies, strict=True):
                messages.append(
                    await client.ask(
                        "log-load", rid, body, budget="20000", acct="jordan-valley",
                        token=rid * 2, obj=world.request_id(0x7F3A),
                    )
                )  # fmt: skip
                await asyncio.sleep(SPACING)
            for client, message in zip(clients, messages, strict=True):
                await client.wait(message, 20.5)
            ran = [rid for rid in order if rid in rids]
            if ran == rids[::-1]:
                wrong += 1
                record("ran in the wrong order", first=rids[0], second=rids[1], ran=ran)
        record("end", pairs=pairs, wrong=wrong)
        return world.BROKEN if wrong else world.HELD
    finally:
        await world.stop_process(bad_clients)
        await dispatcher.stop()
        feed.close()
        for node in nodes:
            node.close()


world.play(FOLDER, case)
