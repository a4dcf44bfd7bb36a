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
BURST_SECONDS = 5.0  # so that there is one burst
USUAL_CLIENTS = 4
SECONDS = 15.0  # in which usual clients send
FIRST_NUMBERS = 10_000  # request numbers of each usual client
BUDGET = 1.0  # seconds; also the deadline of the class
MAX_LAG = 0.4  # seconds by which the stand-ins may be late; above it the case has no verdict
LOST_AFTER = 0.5 + 0.02 + 0.05  # seconds after the budget; with `answerSlack`, and 50 ms on sockets


async def ask_steadily(record: world.Record, client: world.Client, first: int) -> list[float]:
    """Send requests, one after another; return by how many seconds each answer came after its budget."""
    await client.connect()
    lates = []
    number = first
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        if client.is_closed:  # it was closed while no request was open
            client = world.Client(record, client.name, client.port)
            await client.connect()
        number += 1
        rid = world.request_id(number)
        message = await client.ask(
            "lookup", rid, b"SELECT 1 FROM sales_17.orders", budget=f"{1000.0 * BUDGET:.0f}",
            acct="jordan-valley",
        )  # fmt: skip
        sent_at = time.time()  # the last byte has been written
        answer = await client.wait(message, BUDGET + 20.0)
        late = (time.time() if answer is None else answer[0]) - sent_at - BUDGET
        lates.append(late)
        if late > 0.0:
            record("late", rid=rid, seconds=round(late, 3), answered=answer is not None)
        await asyncio.sleep(0.1)
    return lates


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
    """Run a statement for 20 ms, and report as much work, so that nothing looks congested."""
    await asyncio.sleep(0.02)
    connection.answer(rid, b"DONE", b"sheets=1,toil=20.0,room=7.0", world.ROWS)


async def case(record: world.Record, folder: Path) -> int:
    """Ask steadily beside the burst, and count the requests that are lost."""
    feed = world.Feed(record)
    await feed.start()
    nodes = [world.Node(f"node-{n}", record, run) for n in range(3)]
    for node in nodes:
        await node.start()
    feed.add([world.member(node) for node in nodes], complete=True)
    settings = world.settings()
    settings["services"][0] |= {"aim": 0.5, "deadline": BUDGET}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    dispatcher = world.Dispatcher(record, folder, feed, settings, limits)
    burst = None
    try:
        await dispatcher.start()
        lag = LoopLag()
        if world.has_trouble():
            burst = await world.start_bad_clients(
                record, dispatcher.port, "pipeline", BURST_CLIENTS, BURST_SECONDS, "burst"
            )
        usual = [world.Client(record, f"usual-{n}", dispatcher.port) for n in range(USUAL_CLIENTS)]
        lates = await asyncio.gather(
            *(ask_steadily(record, client, n * FIRST_NUMBERS) for n, client in enumerate(usual))
        )
        lag.task.cancel()
        record("highest lag of the stand-ins", seconds=round(lag.highest, 3))
        if lag.highest > MAX_LAG:
            return world.UNAVAILABLE
        all_lates = [late for client_lates in lates for late in client_lates]
        lost = sum(late > LOST_AFTER + lag.highest for late in all_lates)
        assert dispatcher.process is not None
        record("end", requests=len(all_lates), lost=lost, ended=dispatcher.process.returncode)
        return world.BROKEN if lost else world.HELD
    finally:
        await world.stop_process(burst)
        await dispatcher.stop()
        feed.close()
        for node in nodes:
            node.close()


world.play(FOLDER, case)
