"""Stand-ins for one dispatcher's surroundings: feed, compute nodes, clients; and the dispatcher.

Everything that is sent, answered and run goes into `record.txt`. Written from the platform's protocol page.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import mp

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ROWS = b"a\tb\tc\n"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes lines to `record.txt`, each with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, what: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.4f} {what} {text}\n".rstrip() + "\n")
        self._file.flush()


# --- compute nodes ---


def encode_array(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class NodeConnection:
    """One connection of the dispatcher at a compute node."""

    def __init__(self, node: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.node, self.reader, self.writer = node, reader, writer
        self.running: dict[bytes, asyncio.Task[None]] = {}

    def send(self, *words: bytes) -> None:
        """Send both requests and record their answers."""
        if not self.writer.is_closing():
            self.writer.write(encode_array(*words))

    async def read_command(self) -> list[bytes]:
        """Read one command."""
        count = int((await self.reader.readuntil(b"\r\n"))[1:-2])
        words = []
        for _ in range(count):
            size = int((await self.reader.readuntil(b"\r\n"))[1:-2])
            words.append((await self.reader.readexactly(size + 2))[:-2])
        return words


class Node:
    """A sound compute node: runs each request for its work time and answers with one page.

    Args:
        name: Its id in the list.
        record: The record.
        work: Returns the seconds that a request runs; None if it shall not be answered.
    """

    def __init__(self, name: str, record: Record, work: Callable[[bytes, bytes], float | None]) -> None:
        self.name, self.record, self.work = name, record, work
        self.port = 0
        self.server: asyncio.Server | None = None
        self.connections: set[NodeConnection] = set()
        self.fetches: list[tuple[float, bytes]] = []  # time and id of each request that has arrived whole
        self.is_quiet = False  # whether fetches are left out of the record
        self.on_fetch: Callable[[NodeConnection, list[bytes]], Awaitable[bool]] | None = None

    async def start(self) -> None:
        """Start it."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = NodeConnection(self, reader, writer)
        self.connections.add(connection)
        try:
            while True:
                await self._on_command(connection, await connection.read_command())
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            for task in connection.running.values():
                task.cancel()
            writer.close()

    async def _on_command(self, connection: NodeConnection, words: list[bytes]) -> None:
        match words[0]:
            case b"fetch":
                self.fetches.append((self.record.now(), words[1]))
                if not self.is_quiet:
                    self.record.add("fetch", node=self.name, id=words[1].decode(), fields=words[2].decode())
                if self.on_fetch is not None and await self.on_fetch(connection, words):
                    return
                seconds = self.work(words[1], words[3])
                if seconds is not None:
                    run = asyncio.create_task(self._run(connection, words[1], seconds))
                    connection.running[words[1]] = run
            case b"abort":
                if not self.is_quiet:
                    self.record.add("abort", node=self.name, id=words[1].decode())
                task = connection.running.pop(words[1], None)
                if task is not None:
                    task.cancel()
            case b"alive" | b"stats":
                connection.send(words[1], b"FIT", b"-", b"")

    async def _run(self, connection: NodeConnection, request_id: bytes, seconds: float) -> None:
        await asyncio.sleep(seconds)
        connection.running.pop(request_id, None)
        connection.send(request_id, b"DONE", b"sheets=1,toil=%d,room=4" % max(1, int(seconds * 1000)), ROWS)
        if not self.is_quiet:
            self.record.add("done", node=self.name, id=request_id.decode())

    async def stop(self) -> None:
        """Ends like a process: refuses new connections and resets the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def entry(self, phase: str = "up", **fields: Any) -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "dc1",
            "flavor": "std-8core",
            "cell": 0,
            "phase": phase,
            "size": 1,
            "up_since_ms": 0,
        } | fields


# --- control feed ---


class Feed:
    """A control feed: numbered events and, each second, a line with the last number."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.subscribers: dict[asyncio.StreamWriter, int] = {}
        self.subscriptions = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start it."""
        self.server = await asyncio.start_server(self._serve, HOST, 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self._task = asyncio.create_task(self._beat())

    def known(self) -> dict[str, Any]:
        """Return the events so far, as a configuration holds them."""
        return {"n": len(self.events), "events": self.events[:]}

    def publish(self, entries: list[dict[str, Any]]) -> int:
        """Add an event and tell it; return its number."""
        number = len(self.events) + 1
        listed = {"revision": number, "complete": number == 1, "members": entries}
        self.events.append({"n": number, "members": listed})
        text = ",".join(f"{entry['id']}:{entry['phase']}" for entry in entries)
        self.record.add("feed event", n=number, entries=text[:200])
        for writer in list(self.subscribers):
            self._tell(writer)
        return number

    def _tell(self, writer: asyncio.StreamWriter) -> None:
        for event in self.events[self.subscribers[writer] :]:
            writer.write(json.dumps(event, separators=(",", ":")).encode() + b"\n")
        self.subscribers[writer] = len(self.events)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            if line.startswith(b"SUB "):
                self.subscriptions += 1
                self.record.add("feed SUB", line=line.decode().strip())
                self.subscribers[writer] = int(line[4:])
                self._tell(writer)
                while await reader.read(100):
                    pass
        except ConnectionError:
            pass
        finally:
            self.subscribers.pop(writer, None)
            writer.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in list(self.subscribers):
                writer.write(b"%d\n" % len(self.events))


# --- clients ---


class Client:
    """A sound client on one connection. Message ids start at 1 and count up."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.last_id = 0
        self.answers: dict[int, asyncio.Future[tuple[Any, Any]]] = {}
        self.closed_at: float | None = None
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Connect to the dispatcher."""
        return cls(*await asyncio.open_connection(HOST, port))

    def call(
        self, method: str, params: list[Any], encode: Callable[[Any], bytes] = mp.pack
    ) -> asyncio.Future[Any]:
        """Send a call; the future gets the error and the result."""
        self.last_id += 1
        self.answers[self.last_id] = asyncio.get_running_loop().create_future()
        self.writer.write(encode([0, self.last_id, method, params]))
        return self.answers[self.last_id]

    def forget(self, message_id: int) -> None:
        """Take a request back."""
        self.writer.write(mp.pack([2, "forget", [message_id]]))

    async def _read(self) -> None:
        data = bytearray()
        try:
            while part := await self.reader.read(65_536):
                data += part
                self._parse(data)
        except ConnectionError:
            pass
        finally:
            self.closed_at = time.monotonic()
            for answer in self.answers.values():
                if not answer.done():
                    answer.set_exception(ConnectionResetError("closed without an answer"))
                    answer.exception()
            self.writer.close()

    def _parse(self, data: bytearray) -> None:
        while data:
            try:
                message, end = mp.unpack(bytes(data))
            except mp.Incomplete:
                return
            del data[:end]
            answer = self.answers.get(message[1])
            if answer is not None and not answer.done():
                answer.set_result((message[2], message[3]))

    @property
    def open_count(self) -> int:
        """The number of calls without an answer."""
        return sum(not answer.done() for answer in self.answers.values())

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self.writer.close()


def new_id() -> str:
    """Return a new request id."""
    return secrets.token_hex(8)


def fields(budget_ms: int, **more: str) -> dict[str, str]:
    """Return the fields of a request."""
    return {"rid": new_id(), "budget": str(budget_ms), "acct": "acme", "est": "20.0", "memory": "4"} | more


# --- the dispatcher ---

SETTINGS: dict[str, Any] = {
    "fleetSize": 1,
    "position": 0,
    "kinds": ["std-8core"],
    "zones": ["dc1"],
    "zone": 0,
    "tick": 0.005,
    "membershipMode": "push",
    "extra": {
        "kindCores": [8],
        "sizeMb": [16384],
        "parallelism": [1, 3, 2],
        "costInAnswers": True,
        "grantsCount": True,
        "largestShare": 0.4,
        "memoryShort": "shrink",
    },
    "guarantees": {
        "answerSlack": 0.05,
        "stopSendingWithin": 0.5,
        "fallMultiple": 4.0,
        "fall": 3.0,
        "coldFrom": 0.31,
        "cold": 15.0,
        "orderSettle": 1.0,
        "lookBack": 10.0,
        "extraFree": 3,
        "repeatRatio": 0.2,
    },
    "limits": {
        "cancel": True,
        "secondCopies": True,
        "retryAfter": True,
        "sendCap": 3,
        "maxRetryAfter": 2.0,
        "connectTimeout": 0.25,
        "idleClose": 15.0,
        "maxStreams": 32,
    },
    "services": [
        {
            "name": "lookup",
            "aim": 0.75,
            "aimStretch": 1.5,
            "deadline": 4.0,
            "effect": "retryable",
            "value": 1.0,
        },
        {
            "name": "report",
            "aim": 2.0,
            "aimStretch": 2.5,
            "deadline": 20.0,
            "effect": "retryable",
            "value": 10.0,
        },
        {
            "name": "log-load",
            "aim": 4.0,
            "aimStretch": 3.0,
            "deadline": 25.0,
            "effect": "dedup",
            "group": "all",
            "keyTtl": 25.0,
            "sequential": True,
            "value": 12.0,
        },
    ],
    "tenants": [{"name": "acme", "allowancePerS": 1000.0, "share": 1.0}],
}


class Dispatcher:
    """The dispatcher as a process of its own, started by the line `run` of the deploy file."""

    def __init__(self, folder: Path, feed: Feed, settings: dict[str, Any], **limits: Any) -> None:
        self.folder = folder
        self.config_path = folder / "config.json"
        self.port = free_port()
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits,
            "feed": f"{HOST}:{feed.port}",
            "known": feed.known(),
            "settings": settings,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Write the configuration file, in one step."""
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    async def start(self) -> None:
        """Start it."""
        self.write_config()
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir()
        environment = os.environ | {
            "BALANCER_CONFIG": str(self.config_path),
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": self.config["listen"],
            "TMPDIR": str(scratch),
        }
        with (self.folder / "dispatcher.log").open("wb") as log:
            self.process = subprocess.Popen(  # noqa: ASYNC220 - it takes no time worth counting
                ["/bin/sh", "-c", line],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        limit = time.monotonic() + 30.0
        while time.monotonic() < limit:
            if not self.is_running:
                raise CannotRun("the dispatcher ended at its start: " + self.log_tail())
            try:
                client = await Client.connect(self.port)
                _, result = await asyncio.wait_for(client.call("isWell", [{}]), 2.0)
                client.close()
                if result and result[0] is True:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the dispatcher was not ready within 30 s: " + self.log_tail())

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def log_tail(self) -> str:
        """Return the end of the dispatcher's log."""
        return (self.folder / "dispatcher.log").read_text(errors="replace")[-600:]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_port() -> int:
    """Return a port that is free."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Lag:
    """Measures how late this process's own event loop is."""

    def __init__(self) -> None:
        self.worst = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(0.05)
            self.worst = max(self.worst, time.monotonic() - started_at - 0.05)


def run_case(main: Callable[[Record, Path], Awaitable[int]], case_folder: Path, limit: float = 110.0) -> None:
    """Run a case and exit with its verdict."""
    record = Record(case_folder)
    work = Path(tempfile.mkdtemp(prefix="review-"))
    verdict = COULD_NOT_RUN

    async def bounded() -> int:
        async with asyncio.timeout(limit):
            return await main(record, work)

    try:
        verdict = asyncio.run(bounded())
    except CannotRun as error:
        record.add("could not run", why=str(error))
    except TimeoutError:
        record.add("could not run", why="time limit of the case")
    except Exception as error:  # the stand-ins failed, not the program
        record.add("could not run", why=repr(error))
        raise
    finally:
        if verdict == COULD_NOT_RUN and (work / "dispatcher.log").exists():
            record.add(
                "end of the dispatcher's log", text=repr((work / "dispatcher.log").read_text()[-2000:])
            )
        shutil.rmtree(work, ignore_errors=True)
        record.add("verdict", exit=verdict, trouble=TROUBLE)
    print({HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "could not run"}[verdict], flush=True)
    os._exit(verdict)  # without the interpreter's complaints about sockets that are still open
