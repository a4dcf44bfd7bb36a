"""Harness of a platform server on loopback: stand-in compute nodes and control feed, and clients."""

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
# Handles a command that has arrived on a connection of a stand-in compute node.
Script = Callable[["ComputeNodeConnection", list[bytes]], Awaitable[None]]


class ComputeNodeConnection:
    """The compute node's side of one connection."""

    def __init__(self, compute_node: ComputeNode, writer: asyncio.StreamWriter) -> None:
        self.compute_node, self.writer = compute_node, writer

    def send(self, *elements: bytes) -> None:
        self.writer.write(encode_command(*elements))

    def send_raw(self, data: bytes) -> None:
        self.writer.write(data)

    def send_result(self, request_id: bytes, page: bytes = ROWS, page_count: int = 1) -> None:
        """Send the first page of a result."""
        self.send(request_id, b"DONE", b"sheets=%d,toil=5,room=7" % page_count, page)

    def abort(self) -> None:
        self.writer.transport.abort()


async def answer_fetches(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    """Script of a healthy compute node."""
    if command[0] == b"fetch":
        connection.send_result(command[1])


class ComputeNode:
    """A stand-in compute node that records each command and runs a script for it."""

    def __init__(self, script: Script = answer_fetches) -> None:
        self.script = script
        self.received_commands: list[list[bytes]] = []
        self.connections: list[ComputeNodeConnection] = []
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ComputeNodeConnection(self, writer)
        self.connections.append(connection)
        parser = RespParser(8, 1_000_000)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65_536):
                commands, error = parser.feed(data)
                assert error is None, error
                for command in commands:
                    self.received_commands.append(command)
                    await self.script(connection, command)
        writer.close()

    def commands(self, verb: bytes) -> list[list[bytes]]:
        return [command for command in self.received_commands if command[0] == verb]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in self.connections:
            connection.writer.close()


class FeedServer:
    """A stand-in control feed that records the sequence number each connection subscribes from."""

    def __init__(self) -> None:
        self.subscribed_sequences: list[int] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.on_subscribe: Callable[[asyncio.StreamWriter], None] = lambda writer: None
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            line = await reader.readline()
            if line.startswith(b"SUB "):
                self.subscribed_sequences.append(int(line[4:]))
                self.writers.append(writer)
                self.on_subscribe(writer)
            while await reader.read(100):
                pass

    def send_line(self, line: bytes) -> None:
        """Send a line on the newest connection."""
        self.writers[-1].write(line)

    def send_event(self, sequence: int, members: list[dict[str, Any]], complete: bool = False) -> None:
        self.send_line(event_line(sequence, members, complete))

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


def event_line(sequence: int, members: list[dict[str, Any]], complete: bool = False) -> bytes:
    event = {"n": sequence, "members": {"revision": sequence, "complete": complete, "members": members}}
    return json.dumps(event).encode() + b"\n"


def member(name: str, port: int, phase: str = "up", **fields: Any) -> dict[str, Any]:
    """Return a compute node as the control feed lists it."""
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "here",
        "flavor": "std",
        "phase": phase,
    } | fields


class Client:
    """A client with one connection. Its message ids count up from 1."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.last_message_id = 0
        self.answers: dict[int, tuple[Any, Any]] = {}
        self._buffer = bytearray()

    def call(self, cls: str, request_id: str, body: bytes = b"SELECT 1 FROM s_3.t", **fields: str) -> int:
        """Send a request and return its message id."""
        self.last_message_id += 1
        params = {"rid": request_id, "budget": "3000", "acct": "acme"} | fields
        self.send_raw(msgspec.msgpack.encode([0, self.last_message_id, cls, [params, body]]))
        return self.last_message_id

    def send_raw(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_answer(self, message_id: int, timeout: float = 5.0) -> tuple[Any, Any]:
        """Return the error and the result of an answer; raise ConnectionError if the connection closes."""
        async with asyncio.timeout(timeout):
            while message_id not in self.answers:
                data = await self.reader.read(65_536)
                if not data:
                    raise ConnectionResetError("the server closed the connection before it sent the answer")
                self._buffer += data
                self._parse_answers()
        return self.answers[message_id]

    def _parse_answers(self) -> None:
        from saffronlane.msgpackrpc import Scanner

        messages, error = Scanner(1_000_000, 10_000).feed(bytes(self._buffer))
        assert error is None, error
        for message in messages:
            del self._buffer[: len(message)]
            kind, message_id, fault, result = msgspec.msgpack.decode(message)
            assert kind == 1 and message_id not in self.answers, "a message id was answered twice"
            self.answers[message_id] = (fault, result)

    async def wait_closed(self, timeout: float = 5.0) -> bool:
        """Return True once the server has closed the connection; raise TimeoutError if it does not."""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(timeout):
                while await self.reader.read(65_536):
                    pass
        return True

    def close(self) -> None:
        self.writer.close()


class Harness:
    """A server with its stand-in compute nodes, its stand-in control feed and its clients."""

    def __init__(self, server: DispatcherServer, compute_nodes: list[ComputeNode], feed: FeedServer) -> None:
        self.server, self.compute_nodes, self.feed = server, compute_nodes, feed
        self._clients: list[Client] = []

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.server.downstream.port))
        self._clients.append(client)
        return client

    async def wait_until(self, condition: Callable[[], object], timeout: float = 8.0) -> None:
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.005)

    def table_sizes(self) -> dict[str, int]:
        """Return the size of every table of requests and attempts, and the bytes that are kept for them."""
        server, dispatcher = self.server, self.server.dispatcher
        gateway = dispatcher.gateway
        return {
            "executor_requests": len(server.executor._requests),
            "dispatcher_requests": len(dispatcher._requests),
            "pending_requests": len(gateway.pending.requests),
            "in_flight_attempts": len(gateway.in_flight.attempts),
            "queued_requests": len(gateway.pending.queued),
            "timers": dispatcher.timer_count,
            "open_request_ids": len(server.downstream.open_request_ids),
            "held_bytes": server.memory.held_bytes,
            "connection_attempts": sum(
                len(connection.attempts)
                for connections in server.upstream.pool.connections_by_engine.values()
                for connection in connections
            ),
        }

    def close(self) -> None:
        for client in self._clients:
            client.close()
        self.server.close()
        for compute_node in self.compute_nodes:
            compute_node.close()
        self.feed.close()


def dispatcher_config(compute_nodes: list[ComputeNode], feed_port: int, **changes: Any) -> dict[str, Any]:
    """Return the content of a configuration file that lists these compute nodes as known."""
    members = [member(f"node-{n}", compute_node.port) for n, compute_node in enumerate(compute_nodes)]
    endpoint_list = {"revision": 1, "complete": True, "members": members}
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "feed": f"127.0.0.1:{feed_port}",
        "known": {"n": 1, "events": [{"n": 1, "members": endpoint_list}]},
        "settings": SETTINGS,
    } | changes


@contextlib.asynccontextmanager
async def running_harness(*scripts: Script, **config_changes: Any) -> AsyncIterator[Harness]:
    """Run a server with one compute node per script, or with a single healthy one."""
    compute_nodes = [ComputeNode(script) for script in scripts or (answer_fetches,)]
    feed = FeedServer()
    await feed.start()
    for compute_node in compute_nodes:
        await compute_node.start()
    config_file = json.dumps(dispatcher_config(compute_nodes, feed.port, **config_changes))
    config = parse_config(config_file.encode())
    object.__setattr__(config, "listen", ("127.0.0.1", 0))
    server = DispatcherServer(config)
    server.start()
    harness = Harness(server, compute_nodes, feed)
    try:
        yield harness
    finally:
        harness.close()
        await asyncio.sleep(0)
