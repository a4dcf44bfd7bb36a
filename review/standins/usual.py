"""The usual clients, in a process of their own: they ask at a steady rate, and note when each answer comes.

Started as `python -m standins.usual RECORD PORT SECONDS RATE BUDGET_MS PATIENCE_S [CLASS]`. A client never
has more than 32 requests open on a connection, and waits for PATIENCE_S after the budget, to see how late an
answer is.
"""

from __future__ import annotations

import asyncio
import itertools
import secrets
import sys
import time
from pathlib import Path

from .record import Record
from .wire import MessageReader, call

CONNECTIONS = 8
MAX_OPEN = 32
TICK = 0.05
TENANTS = ("jordan-valley", "irbid-north", "karak-south")


class Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.reader = MessageReader()
        self.open: dict[int, str] = {}
        self.ids = itertools.count(1)
        self.is_closed = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, method: str, fields: dict[str, str], body: bytes) -> int:
        """Send a request and return its number on this connection."""
        number = next(self.ids)
        self.open[number] = fields["rid"]
        self.transport.write(call(number, method, fields, body))
        self.record.add("asked", rid=fields["rid"], method=method, budget=fields["budget"], **_shown(fields))
        return number

    def data_received(self, data: bytes) -> None:
        """Note answers."""
        for _, number, error, result in self.reader.feed(data):
            rid = self.open.pop(number, "unknown")
            said = "served" if error is None else "refused" if error[0] == "Shed" else "failed"
            text = result[0].decode() if error is None and isinstance(result[0], bytes) else ""
            self.record.add("answered", rid=rid, said=said, text=text[:80])

    def connection_lost(self, exc: Exception | None) -> None:
        """Note what has no answer."""
        self.is_closed = True
        for rid in self.open.values():
            self.record.add("connection ended without answer", rid=rid, why=repr(exc))
        self.open.clear()


def _shown(fields: dict[str, str]) -> dict[str, str]:
    return {name: fields[name] for name in ("token", "obj") if name in fields}


def fields_of(budget_ms: int, number: int) -> dict[str, str]:
    """Return the fields of a new request."""
    return {
        "rid": secrets.token_hex(8),
        "budget": str(budget_ms),
        "acct": TENANTS[number % len(TENANTS)],
        "est": "100.0",
        "memory": "16",
    }


async def connect(port: int, record: Record) -> Connection:
    """Open a connection to the dispatcher."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(lambda: Connection(record), "127.0.0.1", port)
    return connection


async def _main(arguments: list[str]) -> None:
    record = Record(Path(arguments[0]), "usual client")
    port, seconds, rate = int(arguments[1]), float(arguments[2]), float(arguments[3])
    budget_ms, patience = int(arguments[4]), float(arguments[5])
    method = arguments[6] if len(arguments) > 6 else "lookup"
    connections = [await connect(port, record) for _ in range(CONNECTIONS)]
    started = time.monotonic()
    slowest_tick = 0.0
    sent = 0
    while (now := time.monotonic() - started) < seconds:
        while sent < rate * now:
            connection = connections[sent % CONNECTIONS]
            if connection.is_closed:
                try:
                    connection = connections[sent % CONNECTIONS] = await connect(port, record)
                except OSError:
                    record.add("dispatcher not reached")
                    sent += 1
                    continue
            if len(connection.open) < MAX_OPEN:
                body = b"select deck, learner, score from sales_%d.orders where id = %d" % (sent % 12, sent)
                connection.ask(method, fields_of(budget_ms, sent), body)
            sent += 1
        before = time.monotonic()
        await asyncio.sleep(TICK)
        slowest_tick = max(slowest_tick, time.monotonic() - before - TICK)
    await asyncio.sleep(budget_ms / 1000 + patience)
    record.add("client ends", late_by=round(slowest_tick, 3))


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1:]))
