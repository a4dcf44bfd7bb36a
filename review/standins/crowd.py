"""Bad clients, in a process of their own: each connects and sends many requests at once, at full speed.

Arguments: RECORD PORT CLIENTS REQUESTS STATEMENT_BYTES METHOD BUDGET_MS SECONDS. All of them connect
together, read what is sent to them, and go after SECONDS.
"""

from __future__ import annotations

import asyncio
import secrets
import sys
from collections import Counter
from pathlib import Path

from .record import Record
from .usual import TENANTS
from .wire import MessageReader, call


class _Client(asyncio.Protocol):
    def __init__(self, data: list[bytes], said: Counter[str]) -> None:
        self._data = data
        self._said = said
        self._reader = MessageReader()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send everything at once."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._said["connected"] += 1
        transport.writelines(self._data)
        self._data = []

    def data_received(self, data: bytes) -> None:
        """Read what is sent."""
        for _, _, error, _ in self._reader.feed(data):
            self._said["served" if error is None else str(error[0])] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the close."""
        self._said["closed"] += 1


def _statement(number: int, size: int) -> bytes:
    start = b"select deck, learner from sales_%d.orders where note = '" % (number % 12)
    return start + b"x" * max(0, size - len(start) - 1) + b"'"


def _requests(count: int, statement_bytes: int, method: str, budget_ms: int) -> list[bytes]:
    requests = []
    for number in range(1, count + 1):
        fields = {"rid": secrets.token_hex(8), "budget": str(budget_ms), "acct": TENANTS[0]}
        body = _statement(number, statement_bytes)
        requests.append(call(number, method, fields, body))
    return requests


async def _main(arguments: list[str]) -> None:
    record = Record(Path(arguments[0]), "bad clients")
    port, clients, count, size = (int(argument) for argument in arguments[1:5])
    method, budget_ms, seconds = arguments[5], int(arguments[6]), float(arguments[7])
    loop = asyncio.get_running_loop()
    said: Counter[str] = Counter()
    sets = [_requests(count, size, method, budget_ms) for _ in range(clients)]
    print("prepared", flush=True)
    sys.stdin.readline()
    record.add(
        "bad clients connect", clients=clients, requests_each=count, statement_bytes=size, method=method
    )
    calls = (
        loop.create_connection(lambda data=data: _Client(data, said), "127.0.0.1", port) for data in sets
    )
    results = await asyncio.gather(*calls, return_exceptions=True)
    await asyncio.sleep(seconds)
    for result in results:
        if not isinstance(result, BaseException):
            result[0].close()
    record.add("bad clients go", said=dict(said))


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1:]))
