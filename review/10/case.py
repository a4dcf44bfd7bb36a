"""A dispatcher never hears of a drain while discovery answers 2.2 s late, and sends to the draining node."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import world  # noqa: E402

ANSWER_DELAY = 2.2  # seconds from a subscription to the first line that discovery writes for it
DRAIN_AFTER = 6.0  # seconds after the start of the traffic
SECONDS = 30.0
TOLD_WITHIN = 4.0  # seconds after which an event of a silent feed counts as told
GRACE_PERIOD = 0.5 + 0.05  # seconds; `stopSendingWithin`, and 50 ms on sockets


class SlowFeed(world.Feed):
    """A control feed that answers each subscription late, and is sound from then on."""

    async def before_answer(self) -> None:
        """Wait before the first line of a subscription."""
        if world.has_trouble():
            await asyncio.sleep(ANSWER_DELAY)


async def case(record: world.Record, folder: Path) -> int:
    """Drain one of three nodes, and count what is sent to it when the drain counts as told."""
    sends: list[tuple[float, str, str]] = []

    async def run(
        node: world.Node, connection: world.NodeConnection, rid: bytes, fields: dict[str, str], body: bytes
    ) -> None:
        sends.append((time.time(), node.name, rid.decode()))
        await asyncio.sleep(0.02)
        connection.serve(rid)

    feed = SlowFeed(record)
    await feed.start()
    nodes = [world.Node(f"node-{n}", record, run) for n in range(3)]
    for node in nodes:
        await node.start()
    feed.add([world.member(node) for node in nodes], complete=True)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    dispatcher = world.Dispatcher(record, folder, feed, world.settings(), limits)
    try:
        await dispatcher.start()
        client = world.Client(record, "usual", dispatcher.port)
        await client.connect()
        started_at = time.time()
        told_at = None
        number = 0
        while time.time() < started_at + SECONDS:
            if told_at is None and time.time() > started_at + DRAIN_AFTER:
                told_at = time.time() + TOLD_WITHIN
                feed.add([world.member(nodes[0], "draining")])
            number += 1
            rid = world.request_id(number)
            body = b"SELECT 1 FROM sales_%d.orders" % (number % 9)
            message = await client.ask("lookup", rid, body, budget="3500", acct="jordan-valley")
            await client.wait(message, 4.1)
            await asyncio.sleep(0.03)
        assert told_at is not None
        late = [send for send in sends if send[1] == "node-0" and send[0] > told_at + GRACE_PERIOD]
        for at, node_name, rid in late:
            record("late send", node=node_name, rid=rid, after_told=round(at - told_at, 3))
        record("end", sends=len(sends), late=len(late))
        return world.BROKEN if late else world.HELD
    finally:
        with contextlib.suppress(ProcessLookupError):
            await dispatcher.stop()
        feed.close()
        for node in nodes:
            node.close()


world.play(FOLDER, case)
