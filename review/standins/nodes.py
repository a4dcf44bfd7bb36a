"""Stand-in compute nodes, all in one process. Each answers as the protocol page says.

Arguments: RECORD NODE_COUNT [NAME=VALUE ...]. It prints the ports as a JSON list and ends when its standard
input ends. Lines on standard input are commands: `hang NUMBER` (the node reads and answers nothing), `resume
NUMBER`, `lose NUMBER` (its answers are lost: its connections are reset once a query has ended) and `keep
NUMBER`. All nodes know each other's keys (the group `all`) and drop a repeat for `ttl` seconds.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import sys
import time
from collections import deque
from pathlib import Path
from typing import NamedTuple

from .record import Record
from .wire import RespReader, resp


class _Query(NamedTuple):
    connection: _Connection
    rid: bytes
    key: bytes
    work: float


class _Connection(asyncio.Protocol):
    """One connection of a dispatcher."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.reader = RespReader()
        self.peer = 0  # the dispatcher's port
        self.bytes_read = 0
        self.bytes_taken = 0  # up to the end of the last command
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.peer = transport.get_extra_info("peername")[1]
        self.node.connections.add(self)
        if self.node.is_hung:
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Take commands."""
        self.bytes_read += len(data)
        for words in self.reader.feed(data):
            starts_at = self.bytes_taken
            self.bytes_taken += len(resp(*words))
            self.node.command(self, words, starts_at)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up all that is open on the connection."""
        self.node.connections.discard(self)
        self.node.give_up(self, None)

    def send(self, *words: bytes) -> None:
        """Send an answer."""
        if not self.transport.is_closing():
            self.transport.write(resp(*words))


RECEIVE_BUFFER = 65_536  # bytes that the system takes in for a node that does not read
_KEYS: dict[bytes, float] = {}  # when a key was last run, at any node


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
        self.ttl = float(options.get("ttl", "25"))
        self.is_hung = False
        self.loses_answers = False
        self.connections: set[_Connection] = set()
        self._running: dict[tuple[_Connection, bytes], asyncio.TimerHandle] = {}
        self._waiting: deque[_Query] = deque()

    def command(self, connection: _Connection, words: list[bytes], starts_at: int) -> None:
        """Take one command, which starts at this byte of its connection."""
        match words[0]:
            case b"fetch":
                self._fetch(connection, words[1], words[2], starts_at)
            case b"abort":
                self.give_up(connection, words[1])
            case b"alive" | b"stats":
                connection.send(words[1], b"FIT", b"-", b"")

    def _fetch(self, connection: _Connection, rid: bytes, fields: bytes, starts_at: int) -> None:
        named = dict(part.partition(b"=")[::2] for part in fields.split(b","))
        key = named.get(b"i", b"")
        place = {"node": self.number, "peer": connection.peer, "starts_at": starts_at}
        self.record.add("arrived", rid=rid.decode(), key=key.decode(), **place)
        if key and time.time() < _KEYS.get(key, 0.0) + self.ttl:
            self.record.add("repeat dropped", node=self.number, rid=rid.decode(), key=key.decode())
            connection.send(rid, b"DONE", b"sheets=1,toil=1,room=1", b"%b\trepeat\tok\n" % rid)
            return
        query = _Query(connection, rid, key, self.work[named[b"c"].decode()])
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
            if query.key:
                _KEYS[query.key] = time.time()
            self.record.add("run", node=self.number, rid=query.rid.decode(), key=query.key.decode())
            self._running[query.connection, query.rid] = loop.call_later(query.work, self._end, query)

    def _end(self, query: _Query) -> None:
        del self._running[query.connection, query.rid]
        self.record.add("done", node=self.number, rid=query.rid.decode(), key=query.key.decode())
        if self.loses_answers:
            asyncio.get_running_loop().call_later(0.05, self._reset)
            return
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
        read = {connection.peer: connection.bytes_read for connection in self.connections}
        self.record.add("hangs" if is_hung else "resumes", node=self.number, read=read)
        for connection in self.connections:
            if is_hung:
                connection.transport.pause_reading()
            else:
                connection.transport.resume_reading()

    def _reset(self) -> None:
        self.record.add("resets its connections", node=self.number)
        for connection in list(self.connections):
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.transport.abort()


async def _main(arguments: list[str]) -> None:
    loop = asyncio.get_running_loop()
    record = Record(Path(arguments[0]), "nodes")
    options = dict(argument.split("=", 1) for argument in arguments[2:])
    nodes = [Node(number, record, options) for number in range(int(arguments[1]))]
    ports = []
    for node in nodes:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listener.bind(("127.0.0.1", 0))
        await loop.create_server(lambda node=node: _Connection(node), sock=listener, backlog=1024)
        ports.append(listener.getsockname()[1])
    print(json.dumps(ports), flush=True)
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        verb, number = line.split()
        if verb in (b"lose", b"keep"):
            nodes[int(number)].loses_answers = verb == b"lose"
        else:
            nodes[int(number)].set_hung(verb == b"hang")


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1:]))
