"""A dispatcher goes over its memory limit when bad clients take hundreds of requests back at once."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import world  # noqa: E402

MEMORY_MB = 96.0  # counted as 1,048,576 bytes each, the milder reading
SOCKETS = 1024
BAD_CLIENTS = 600  # in all; each takes back 500 requests
BAD_CLIENTS_PER_SECOND = 15.0
SECONDS = 45.0


async def run(
    node: world.Node, connection: world.NodeConnection, rid: bytes, fields: dict[str, str], body: bytes
) -> None:
    """Run a statement for 20 ms."""
    await asyncio.sleep(0.02)
    connection.serve(rid)


def anonymous_mb(process_id: int) -> float:
    """Return the memory that a process holds, without files that are mapped into it."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def ask_steadily(record: world.Record, dispatcher: world.Dispatcher, until: float) -> int:
    """Ask like a usual client; return how many requests got no final answer."""
    client = world.Client(record, "usual", dispatcher.port)
    await client.connect()
    number = unanswered = 0
    while time.monotonic() < until and not client.is_closed:
        number += 1
        rid = world.request_id(number)
        message = await client.ask(
            "lookup", rid, b"SELECT 1 FROM sales_17.orders", budget="3500", acct="jordan-valley"
        )
        answer = await client.wait(message, 4.1)
        unanswered += answer is None
        await asyncio.sleep(0.2)
    return unanswered


async def case(record: world.Record, folder: Path) -> int:
    """Watch the memory of a dispatcher, and kill it when it is over its limit, as the platform does."""
    feed = world.Feed(record)
    await feed.start()
    nodes = [world.Node(f"node-{n}", record, run) for n in range(3)]
    for node in nodes:
        await node.start()
    feed.add([world.member(node) for node in nodes], complete=True)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    dispatcher = world.Dispatcher(record, folder, feed, world.settings(), limits)
    bad_clients = None
    try:
        await dispatcher.start()
        assert dispatcher.process is not None
        until = time.monotonic() + SECONDS
        usual = asyncio.ensure_future(ask_steadily(record, dispatcher, until))
        if world.has_trouble():
            bad_clients = await world.start_bad_clients(
                record, dispatcher.port, "loads-back", BAD_CLIENTS, SECONDS, BAD_CLIENTS_PER_SECOND
            )
        code = world.HELD
        highest = 0.0
        next_line = 0.0
        while time.monotonic() < until and code == world.HELD:
            if dispatcher.process.returncode is not None:
                record("the dispatcher has ended", code=dispatcher.process.returncode)
                code = world.BROKEN
                break
            held = anonymous_mb(dispatcher.process.pid)
            highest = max(highest, held)
            if time.monotonic() >= next_line:
                next_line = time.monotonic() + 1.0
                record("memory", anonymous_mb=round(held, 1), limit_mb=MEMORY_MB)
            if held > MEMORY_MB:
                record("over the limit: killed by the platform", anonymous_mb=round(held, 1))
                dispatcher.process.kill()
                code = world.BROKEN
            await asyncio.sleep(0.05)
        unanswered = await usual
        record("end", highest_mb=round(highest, 1), unanswered_usual_requests=unanswered)
        return code
    finally:
        await world.stop_process(bad_clients)
        await dispatcher.stop()
        feed.close()
        for node in nodes:
            node.close()


world.play(FOLDER, case)
