"""A world of one platform node on loopback: scripted stand-in compute nodes, a control feed, clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec

from saffronlane.platform.config import parse_config
from saffronlane.platform.server import DispatcherServer
from saffronlane.resp import RespParser, encode_command

ROWS = b"a\tb\tc\n"
SETTINGS: dict[str, Any] = {
    "fleetSize": 1,
    "position": 0,
    "kinds": ["std"],
    "zones": ["here"],
    "extra": {"kindCores": [8], "sizeMb": [1024], "parallelism": [1, 1], "costInAnswers": True},
    "guarantees": {"answerSlack": 0.05, "stopSendingWithin": 0.5},
    "limits": {
        "cancel": True,
        "secondCopies": False,
        "retryAfter": True,
        "sendCap": 3,
        "maxRetryAfter": 0.5,
        "connectTimeout": 0.2,
        "idleClose": 30.0,
        "maxStreams": 32,
    },
    "services": [
        {"name": "ask", "aim": 0.5, "deadline": 4.0, "effect": "retryable"},
        {"name": "load", "aim": 0.5, "deadline": 4.0, "effect": "dedup", "keyTtl": 30.0, "sequential": True},
        {"name": "frail", "aim": 0.5, "deadline": 4.0, "effect": "fragile"},
    ],
    "tenants": [{"name": "acme", "allowancePerS": 1000.0, "share": 1.0}],
}
Script = Callable[["Peer", list[bytes]], Awaitable[None]]


class Peer:
    """One connection at a stand-in compute node."""

    def __init__(self, node: Compute, writer: asyncio.StreamWriter) -> None:
        self.node, self.writer = node, writer

    def send(self, *words: bytes) -> None:
        self.writer.write(encode_command(*words))

    def raw(self, data: bytes) -> None:
        self.writer.write(data)

    def done(self, name: bytes, body: bytes = ROWS, sheets: int = 1) -> None:
        self.send(name, b"DONE", b"sheets=%d,toil=5,room=7" % sheets, body)

    def cut(self) -> None:
        self.writer.transport.abort()


async def answer(peer: Peer, words: list[bytes]) -> None:
    """A node that is well."""
    if words[0] == b"fetch":
        peer.done(words[1])


class Compute:
    """A stand-in compute node: each command is kept, and a script answers."""

    def __init__(self, script: Script = answer) -> None:
        self.script = script
        self.heard: list[list[bytes]] = []
        self.peers: list[Peer] = []
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(self, writer)
        self.peers.append(peer)
        parser = RespParser(8, 1_000_000)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65_536):
                found, error = parser.feed(data)
                assert error is None, error
                for words in found:
                    self.heard.append(words)
                    await self.script(peer, words)
        writer.close()

    def words(self, verb: bytes) -> list[list[bytes]]:
        return [words for words in self.heard if words[0] == verb]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for peer in self.peers:
            peer.writer.close()


class FeedServer:
    """A stand-in control feed: connections with the number that each asked from."""

    def __init__(self) -> None:
        self.asked: list[int] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.on_ask: Callable[[asyncio.StreamWriter], None] = lambda writer: None
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            line = await reader.readline()
            if line.startswith(b"SUB "):
                self.asked.append(int(line[4:]))
                self.writers.append(writer)
                self.on_ask(writer)
            while await reader.read(100):
                pass

    def say(self, line: bytes) -> None:
        self.writers[-1].write(line)

    def event(self, n: int, members: list[dict[str, Any]], complete: bool = False) -> None:
        self.say(event_line(n, members, complete))

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


def event_line(n: int, members: list[dict[str, Any]], complete: bool = False) -> bytes:
    told = {"n": n, "members": {"revision": n, "complete": complete, "members": members}}
    return json.dumps(told).encode() + b"\n"


def member(name: str, port: int, phase: str = "up", **more: Any) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "here",
        "flavor": "std",
        "phase": phase,
    } | more


class Client:
    """A client's connection. Message ids count up from 1."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.next = 0
        self.answers: dict[int, tuple[Any, Any]] = {}
        self._buffer = bytearray()

    def call(self, cls: str, rid: str, body: bytes = b"SELECT 1 FROM s_3.t", **fields: str) -> int:
        self.next += 1
        told = {"rid": rid, "budget": "3000", "acct": "acme"} | fields
        self.raw(msgspec.msgpack.encode([0, self.next, cls, [told, body]]))
        return self.next

    def raw(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self, msgid: int, seconds: float = 5.0) -> tuple[Any, Any]:
        """The error and the result that came under a number. ConnectionError where the connection closed."""
        async with asyncio.timeout(seconds):
            while msgid not in self.answers:
                data = await self.reader.read(65_536)
                if not data:
                    raise ConnectionResetError("closed")
                self._buffer += data
                self._cut()
        return self.answers[msgid]

    def _cut(self) -> None:
        from saffronlane.msgpackrpc import Scanner

        found, error = Scanner(1_000_000, 10_000).feed(bytes(self._buffer))
        assert error is None, error
        for message in found:
            del self._buffer[: len(message)]
            kind, msgid, problem, result = msgspec.msgpack.decode(message)
            assert kind == 1 and msgid not in self.answers, "a second answer"
            self.answers[msgid] = (problem, result)

    async def closed(self, seconds: float = 5.0) -> bool:
        """Whether the other side closes in time."""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(seconds):
                while await self.reader.read(65_536):
                    pass
        return True

    def close(self) -> None:
        self.writer.close()


class World:
    """One node with its stand-ins."""

    def __init__(self, node: DispatcherServer, computes: list[Compute], feed: FeedServer) -> None:
        self.node, self.computes, self.feed = node, computes, feed
        self._clients: list[Client] = []

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.node.downstream.port))
        self._clients.append(client)
        return client

    async def until(self, true: Callable[[], object], seconds: float = 8.0) -> None:
        async with asyncio.timeout(seconds):
            while not true():
                await asyncio.sleep(0.005)

    def tables(self) -> dict[str, int]:
        """The size of every map that a request, a client or a node leaves something in."""
        node, core = self.node, self.node.dispatcher
        gateway = core.gateway
        return {
            "requests": len(node.executor._requests),
            "core": len(core._requests),
            "jobs": len(gateway.pending.requests),
            "attempts": len(gateway.in_flight.attempts),
            "held": len(gateway.pending.queued),
            "ids": len(node.downstream.open_request_ids),
            "open": sum(
                len(link.attempts)
                for links in node.upstream.pool.connections_by_engine.values()
                for link in links
            ),
        }

    def close(self) -> None:
        for client in self._clients:
            client.close()
        self.node.close()
        for compute in self.computes:
            compute.close()
        self.feed.close()


def config_text(computes: list[Compute], feed_port: int, **changes: Any) -> dict[str, Any]:
    members = [member(f"node-{n}", compute.port) for n, compute in enumerate(computes)]
    told = {"revision": 1, "complete": True, "members": members}
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "feed": f"127.0.0.1:{feed_port}",
        "known": {"n": 1, "events": [{"n": 1, "members": told}]},
        "settings": SETTINGS,
    } | changes


@contextlib.asynccontextmanager
async def world(*scripts: Script, **changes: Any) -> AsyncIterator[World]:
    computes = [Compute(script) for script in scripts or (answer,)]
    feed = FeedServer()
    await feed.start()
    for compute in computes:
        await compute.start()
    config = parse_config(json.dumps(config_text(computes, feed.port, **changes)).encode())
    object.__setattr__(config, "listen", ("127.0.0.1", 0))
    node = DispatcherServer(config)
    node.start()
    built = World(node, computes, feed)
    try:
        yield built
    finally:
        built.close()
        await asyncio.sleep(0)
