"""Helpers of the tests of one platform node on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
import struct
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pytest
from platform_world import Client, Compute, FeedServer, Peer, Script, World, answer, config_text, world

from saffronlane.interface import Outcome
from saffronlane.platform import descriptors as descriptors_module
from saffronlane.platform.downstream.client_connection import ClientConnection
from saffronlane.platform.upstream.connection import UpstreamConnection

RID = "9b1f03aa5c7e2d41"


def rid(n: int) -> str:
    return f"{n:016x}"


def play(work: Callable[[World], Awaitable[None]], *scripts: Script, **changes: Any) -> None:
    async def run() -> None:
        async with world(*scripts, **changes) as built:
            await work(built)

    asyncio.run(run())


def once(first: Script, then: Script = answer) -> Script:
    """A script for the first fetch, and another for the rest."""
    seen: list[bytes] = []

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch" and not seen:
            seen.append(words[1])
            await first(peer, words)
        elif words[0] != b"fetch" and seen and words[1:2] == seen[:1] and first is not answer:
            await first(peer, words)
        else:
            await then(peer, words)

    return script


def holding(held: list[tuple[Peer, bytes]]) -> Script:
    """A node that answers no fetch by itself; each is kept with its connection, for the test to answer."""

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            held.append((peer, words[1]))

    return script


async def silent(peer: Peer, words: list[bytes]) -> None:
    return None


def outcomes(built: World) -> list[Outcome]:
    """Collects the outcomes that the dispatcher is told from now on."""
    told: list[Outcome] = []
    done = built.node.executor.finish_attempt

    def spy(attempt: Any, outcome: Outcome, *rest: Any) -> None:
        if not attempt.has_ended:
            told.append(outcome)
        done(attempt, outcome, *rest)

    built.node.executor.finish_attempt = spy  # type: ignore[method-assign]
    return told


def call(msgid: int, cls: object = "ask", body: object = b"SELECT 1", **fields: object) -> bytes:
    told = {"rid": RID, "budget": "3000", "acct": "acme"} | fields
    return msgspec.msgpack.encode([0, msgid, cls, [{k: v for k, v in told.items() if v is not None}, body]])


class SyncClient:
    """A client whose bytes leave at once, in the middle of a turn of the loop: so a crossing is forced."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def close(self) -> None:
        self.socket.close()

    async def rest(self) -> tuple[bytes, bool]:
        """All bytes until the other side ends, and whether that was a reset."""
        self.socket.setblocking(False)
        loop, found = asyncio.get_running_loop(), b""
        try:
            async with asyncio.timeout(5.0):
                while data := await loop.sock_recv(self.socket, 65_536):
                    found += data
        except ConnectionResetError:
            return found, True
        finally:
            self.socket.close()
        return found, False


def hold_connections(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """No connection to a compute node comes up until the event is set."""
    free = asyncio.Event()
    real = UpstreamConnection.connect

    async def connect(link: UpstreamConnection) -> None:
        await free.wait()
        await real(link)

    monkeypatch.setattr(UpstreamConnection, "connect", connect)
    return free


def own_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    """The node counts what a process of its own would have open, not what the tests hold beside it."""
    monkeypatch.setattr(descriptors_module, "_open", lambda: descriptors_module.USUAL)


def paged(page: bytes, pages: int) -> Script:
    """A node whose every result is so many of these pages."""

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            peer.done(words[1], page, pages)
        elif words[0] == b"more":
            peer.send(words[1], b"MORE", b"sheet=" + words[2], page)

    return script


@dataclass
class Running:
    """A node in a process of its own, that is ready."""

    process: asyncio.subprocess.Process
    path: Path  # of its configuration
    port: int
    computes: list[Compute]
    feed: FeedServer

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def logged(self) -> bytes:
        assert self.process.stderr is not None
        return await self.process.stderr.readline()

    async def until_logged(self, event: bytes) -> None:
        while event not in await self.logged():
            pass


@contextlib.asynccontextmanager
async def own_process(
    tmp_path: Path, *scripts: Script, descriptors: int = 0, **changes: Any
) -> AsyncIterator[Running]:
    """A node as `run` starts it; it is ended by its number, whatever becomes of the test."""

    def limit() -> None:
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    computes, feed = [Compute(script) for script in scripts or (answer,)], FeedServer()
    for compute in computes:
        await compute.start()
    await feed.start()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_text(computes, feed.port, listen=f"127.0.0.1:{port}", **changes)))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "saffronlane.platform",
        env=os.environ | {"BALANCER_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit,
        limit=1_000_000,
    )
    running = Running(process, path, port, computes, feed)
    try:
        async with asyncio.timeout(20.0):
            await running.until_logged(b"listening")
        yield running
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for compute in computes:
            compute.close()
        feed.close()


@contextlib.asynccontextmanager
async def slow_client(built: World, asked: int) -> AsyncIterator[tuple[socket.socket, ClientConnection]]:
    """A client that has asked so much and read nothing, through small buffers; all has been answered."""
    front = built.node.front
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", front.port))
        await built.until(lambda: front.clients)
        (one,) = front.clients
        one.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        client.sendall(b"".join(call(n, rid=rid(n)) for n in range(1, asked + 1)))
        await built.until(lambda: front.taken == asked and not one.open)
        client.setblocking(False)
        yield client, one
