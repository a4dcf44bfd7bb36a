"""Stand-in compute nodes, all in one process. Each answers as the protocol page says.

Started as `python -m standins.nodes RECORD NODE_COUNT [NAME=VALUE ...]`. It prints the ports as a JSON list
and ends when its standard input ends. Lines on standard input are commands: `hang NUMBER`, `resume NUMBER`.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import deque
from pathlib import Path
from typing import NamedTuple

from .record import Record
from .wire import RespReader, resp


class _Query(NamedTuple):
    connection: _Connection
    rid: bytes
    work: float


class _Connection(asyncio.Protocol):
    """One connection of a dispatcher."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.reader = RespReader()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.node.connections.add(self)
        if self.node.is_hung:
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Take commands."""
        for words in self.reader.feed(data):
            self.node.command(self, words)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up all that is open on the connection."""
        self.node.connections.discard(self)
        self.node.give_up(self, None)

    def send(self, *words: bytes) -> None:
        """Send an answer."""
        if not self.transport.is_closing():
            self.transport.write(resp(*words))


class Node:
    """One compute node: `slots` queries run at a time, as many wait, and further ones are turned away."""

    def __init__(self, number: int, record: Record, options: dict[str, str]) -> None:
        self.number = number
        self.record = record
        self.slots = int(options.get("slots", "32"))
        self.work = {
            "lookup": float(options.get("lookup", "0.1")),
            "report": float(options.get("report", "1")),
        }
        self.work["log-load"] = float(options.get("load", "1"))
        self.is_hung = False
        self.connections: set[_Connection] = set()
        self._running: dict[tuple[_Connection, bytes], asyncio.TimerHandle] = {}
        self._waiting: deque[_Query] = deque()

    def command(self, connection: _Connection, words: list[bytes]) -> None:
        """Take one command."""
        match words[0]:
            case b"fetch":
                self._fetch(connection, words[1], words[2])
            case b"abort":
                self.give_up(connection, words[1])
            case b"alive" | b"stats":
                connection.send(words[1], b"FIT", b"-", b"")

    def _fetch(self, connection: _Connection, rid: bytes, fields: bytes) -> None:
        named = dict(part.partition(b"=")[::2] for part in fields.split(b","))
        query = _Query(connection, rid, self.work[named[b"c"].decode()])
        if len(self._waiting) >= self.slots:
            self.record.add("turned away", node=self.number, rid=rid.decode())
            connection.send(rid, b"WAIT", b"-", b"")
            return
        self._waiting.append(query)
        self._start()

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting and len(self._running) < self.slots:
            query = self._waiting.popleft()
            self.record.add("run", node=self.number, rid=query.rid.decode())
            self._running[query.connection, query.rid] = loop.call_later(query.work, self._end, query)

    def _end(self, query: _Query) -> None:
        del self._running[query.connection, query.rid]
        fields = b"sheets=1,toil=%d,room=1" % round(1000 * query.work)
        query.connection.send(query.rid, b"DONE", fields, b"%b\tnode %d\tok\n" % (query.rid, self.number))
        self._start()

    def give_up(self, connection: _Connection, rid: bytes | None) -> None:
        """End a query, or all queries of a connection."""
        self._waiting = deque(
            q for q in self._waiting if q.connection is not connection or rid not in (None, q.rid)
        )
        for key in [key for key in self._running if key[0] is connection and rid in (None, key[1])]:
            self._running.pop(key).cancel()
        self._start()

    def set_hung(self, is_hung: bool) -> None:
        """Stop reading, or read again."""
        self.is_hung = is_hung
        self.record.add("hangs" if is_hung else "resumes", node=self.number)
        for connection in self.connections:
            if is_hung:
                connection.transport.pause_reading()
            else:
                connection.transport.resume_reading()


async def _main(arguments: list[str]) -> None:
    loop = asyncio.get_running_loop()
    record = Record(Path(arguments[0]), "nodes")
    options = dict(argument.split("=", 1) for argument in arguments[2:])
    nodes = [Node(number, record, options) for number in range(int(arguments[1]))]
    ports = []
    for node in nodes:
        server = await loop.create_server(lambda node=node: _Connection(node), "127.0.0.1", 0, backlog=1024)
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps(ports), flush=True)
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        verb, number = line.split()
        nodes[int(number)].set_hung(verb == b"hang")


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1:]))
