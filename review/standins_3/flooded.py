"""The usual clients of a dispatcher to which bad clients come: each request must get its final answer."""

from __future__ import annotations

import asyncio
import copy
import sys
from pathlib import Path
from typing import NamedTuple

from platform_3 import (
    BROKEN,
    HELD,
    ROOT,
    SETTINGS,
    TROUBLE,
    CannotRun,
    Client,
    Dispatcher,
    Feed,
    Lag,
    Node,
    Record,
    fields,
)

SLACK = 0.5 + 0.05  # seconds after its time until a request is lost, and 50 ms for sockets
MAX_OWN_LAG = 0.2  # seconds; with more, the stand-ins themselves are too slow to judge
GAP = 0.1  # seconds between two requests of the usual clients
AFTER = 4.0  # seconds for which the usual clients go on when the bad ones have gone


class Flood(NamedTuple):
    """Bad clients: how many, the requests that each sends at once, the size of a statement, the duration."""

    clients: int
    requests: int
    body_bytes: int
    seconds: int

    async def start(self, port: int) -> asyncio.subprocess.Process:
        """Start it."""
        program = ROOT / "review" / "standins_3" / "flood.py"
        return await asyncio.create_subprocess_exec(sys.executable, str(program), *map(str, (port, *self)))


def run_time(request_id: bytes, body: bytes) -> float:
    """Return for how long a request runs: a look-up of the usual clients, or a report of the bad ones."""
    return 0.02 if body.startswith(b"SELECT") else 1.2


async def end_process(process: asyncio.subprocess.Process | None) -> None:
    """End a process that still runs."""
    if process is not None and process.returncode is None:
        process.kill()
        await process.wait()


class UsualClients:
    """Sends one request after the other, on connections that it uses again, and notes how each ends."""

    def __init__(self, port: int, record: Record, deadline: float) -> None:
        self.port, self.record, self.deadline = port, record, deadline
        self.outcomes: list[str] = []
        self._clients: list[Client] = []

    async def ask(self) -> None:
        """Send one request and record how it ends."""
        try:
            result, seconds = await self._ask()
        except OSError as error:
            result, seconds = f"not-taken-{type(error).__name__}", 0.0
        self.record.add("ended", result=result, after=round(seconds, 3))
        self.outcomes.append(result)

    async def _connection(self) -> Client:
        client = next((c for c in self._clients if c.closed_at is None and c.open_count < 8), None)
        if client is None:
            client = await Client.connect(self.port)
            self._clients.append(client)
        return client

    async def _ask(self) -> tuple[str, float]:
        loop = asyncio.get_running_loop()
        client = await self._connection()
        request = fields(round(self.deadline * 1000))
        answer = client.call("lookup", [request, b"SELECT a FROM sales_17.orders"])
        message_id = client.last_id
        await client.writer.drain()
        sent_at = loop.time()
        self.record.add("request", id=request["rid"], budget=request["budget"])
        try:
            error, _ = await asyncio.wait_for(asyncio.shield(answer), self.deadline + SLACK)
            result = "served" if error is None else error[0]
        except TimeoutError:
            result = "LOST-no-answer"
            client.forget(message_id)
        except ConnectionError:
            result = "LOST-connection-closed"
        return result, loop.time() - sent_at


async def play(record: Record, folder: Path, flood: Flood, deadline: float, calm: float = 4.0) -> int:
    """Play a calm time, the flood and a calm time; return the verdict."""
    settings = copy.deepcopy(SETTINGS)
    settings["services"][0]["deadline"] = deadline
    feed = Feed(record)
    nodes = [Node(f"s-{number}", record, run_time) for number in range(6)]
    for node in nodes:
        await node.start()
        node.is_quiet = True
    await feed.start()
    feed.publish([node.entry() for node in nodes])
    dispatcher = Dispatcher(folder, feed, settings)
    lag, bad = Lag(), None
    try:
        await dispatcher.start()
        usual = UsualClients(dispatcher.port, record, deadline)
        tasks = []
        start = record.now()
        while record.now() < start + calm + flood.seconds + AFTER:
            if TROUBLE and bad is None and record.now() > start + calm:
                record.add("bad clients begin", **flood._asdict())
                bad = await flood.start(dispatcher.port)
            tasks.append(asyncio.create_task(usual.ask()))
            await asyncio.sleep(GAP)
        await asyncio.gather(*tasks)
        if not dispatcher.is_running:
            usual.outcomes.append("LOST-the-dispatcher-ended")
    finally:
        await end_process(bad)
        dispatcher.end()
    counts = {result: usual.outcomes.count(result) for result in sorted(set(usual.outcomes))}
    record.add("outcomes", **counts, own_lag=round(lag.worst, 3))
    print(counts, f"own lag {lag.worst:.3f} s")
    if lag.worst > MAX_OWN_LAG:
        raise CannotRun("the stand-ins were late themselves")
    return BROKEN if any(result.startswith("LOST") for result in usual.outcomes) else HELD
