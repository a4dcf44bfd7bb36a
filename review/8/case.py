"""A dispatcher hangs when 300 sound clients pipeline 32 requests each at once; answers come seconds late."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import world  # noqa: E402

BURST_CLIENTS = 300  # each sends 32 requests at once, as many as may be open on a connection
BURST_SECONDS = 20.0
USUAL_CLIENTS = 4
SECONDS = 22.0  # in which usual clients send
FIRST_NUMBERS = 10_000  # request numbers of each usual client
BUDGET = 1.5  # seconds; also the deadline of the class
MAX_LAG = 0.4  # seconds by which the stand-ins themselves may be late; above it the case has no verdict
LOST_AFTER = (
    0.5 + 0.02 + 0.05 + MAX_LAG
)  # seconds after the budget; with `answerSlack`, 50 ms on sockets, and the lag of the stand-ins


async def ask_steadily(record: world.Record, client: world.Client, first: int, counts: list[int]) -> int:
    """Send requests, one after another; return how many were lost."""
    await client.connect()
    lost = 0
    number = first
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        if client.is_closed:  # it was closed while no request was open
            client = world.Client(record, client.name, client.port)
            await client.connect()
        number += 1
        counts[0] += 1
        rid = world.request_id(number)
        sent_at = record("sends", client=client.name, rid=rid)
        message = await client.ask(
            "lookup", rid, b"SELECT 1 FROM sales_17.orders", budget=f"{1000.0 * BUDGET:.0f}",
            acct="jordan-valley",
        )  # fmt: skip
        answer = await client.wait(message, BUDGET + 20.0)
        late = None if answer is None else answer[0] - sent_at - BUDGET
        if late is None or late > LOST_AFTER:
            lost += 1
            record("lost", rid=rid, late=late and round(late, 3))
        await asyncio.sleep(0.1)
    return lost


class LoopLag:
    """Measures how late the event loop of the stand-ins themselves is."""

    def __init__(self) -> None:
        self.highest = 0.0
        self.task = asyncio.ensure_future(self._measure())

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + 0.01
            await asyncio.sleep(0.01)
            self.highest = max(self.highest, loop.time() - due_at)


async def run(
    node: world.Node, connection: world.NodeConnection, rid: bytes, fields: dict[str, str], body: bytes
) -> None:
    """Run a statement for 20 ms."""
    await asyncio.sleep(0.02)
    connection.serve(rid)


async def case(record: world.Record, folder: Path) -> int:
    """Ask steadily beside the burst, and count the requests that are lost."""
    feed = world.Feed(record)
    await feed.start()
    nodes = [world.Node(f"node-{n}", record, run) for n in range(3)]
    for node in nodes:
        await node.start()
    feed.add([world.member(node) for node in nodes], complete=True)
    settings = world.settings()
    settings["services"][0] |= {"aim": 0.25, "deadline": BUDGET}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    dispatcher = world.Dispatcher(record, folder, feed, settings, limits)
    burst = None
    try:
        await dispatcher.start()
        lag = LoopLag()
        if world.has_trouble():
            burst = await world.start_bad_clients(
                record, dispatcher.port, "pipeline", BURST_CLIENTS, BURST_SECONDS
            )
        usual = [world.Client(record, f"usual-{n}", dispatcher.port) for n in range(USUAL_CLIENTS)]
        counts = [0]
        lost = sum(
            await asyncio.gather(
                *(ask_steadily(record, client, n * FIRST_NUMBERS, counts) for n, client in enumerate(usual))
            )
        )
        lag.task.cancel()
        record("highest lag of the stand-ins", seconds=round(lag.highest, 3))
        if lag.highest > MAX_LAG:
            return world.UNAVAILABLE
        assert dispatcher.process is not None
        record("end", requests=counts[0], lost=lost, ended=dispatcher.process.returncode)
        return world.BROKEN if lost else world.HELD
    finally:
        await world.stop_process(burst)
        await dispatcher.stop()
        feed.close()
        for node in nodes:
            node.close()


world.play(FOLDER, case)
