"""Stand-ins of a platform on loopback: control feed, compute nodes and clients, and one dispatcher process.

They follow the protocol page and do nothing that it does not allow, but for what a case injects itself. The
dispatcher is started with the command `run` of `deploy/balancer.toml`. Everything that is sent, answered and
run is written to `record.txt` of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ROWS = b"a\tb\tc\n"
READY_TIMEOUT = 30.0  # seconds; the page of the fleet grants a dispatcher as much
# Exit codes: the rule held, it was broken, the case could not run. `run.sh` makes 1 of the second, which an
# exception of Python would not give.
HELD, BROKEN, UNAVAILABLE = 0, 11, 2


def has_trouble() -> bool:
    """Return whether the case injects its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a case, with the time of each line in seconds since its start.

    Args:
        folder: The folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.time()

    def __call__(self, what: str, **fields: Any) -> float:
        """Write one line and return its time."""
        now = time.time()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now - self._started_at:9.4f} {what} {text}".rstrip() + "\n")
        self._file.flush()
        return now


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as finder:
        finder.bind((HOST, 0))
        port: int = finder.getsockname()[1]
        return port


def request_id(number: int) -> str:
    """Return a request id of 16 hex digits."""
    return f"{number:016x}"


# --- compute nodes ---


def encode_array(*elements: bytes) -> bytes:
    """Encode an array of bulk strings."""
    parts = [b"*%d\r\n" % len(elements)]
    parts += [b"$%d\r\n%b\r\n" % (len(element), element) for element in elements]
    return b"".join(parts)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one array of bulk strings."""
    header = await reader.readline()
    if not header:
        raise ConnectionResetError
    elements = []
    for _ in range(int(header[1:])):
        length = int((await reader.readline())[1:])
        elements.append((await reader.readexactly(length + 2))[:-2])
    return elements


def fields_of(text: bytes) -> dict[str, str]:
    """Decode the fields of a command."""
    if text == b"-":
        return {}
    return dict(part.split("=", 1) for part in text.decode().split(","))


class NodeConnection:
    """The compute node's side of one connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def answer(self, *elements: bytes) -> None:
        """Send one answer."""
        if not self.writer.is_closing():
            self.writer.write(encode_array(*elements))

    def serve(self, rid: bytes, page: bytes = ROWS) -> None:
        """Send a good answer of one page."""
        self.answer(rid, b"DONE", b"sheets=1,toil=5.0,room=7.0", page)

    def reset(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


Handler = Callable[["Node", NodeConnection, bytes, dict[str, str], bytes], Awaitable[None]]


class Node:
    """A compute node that runs each statement as a task of its own.

    Args:
        name: Its id in the list.
        record: The record of the case.
        run: Runs a statement: node, connection, request id, fields and statement.
    """

    def __init__(self, name: str, record: Record, run: Handler) -> None:
        self.name, self.record, self.run = name, record, run
        self.port = 0
        self.tasks: dict[bytes, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = NodeConnection(writer)
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                self._on_command(connection, await read_array(reader))
        self._writers.discard(writer)
        writer.close()

    def _on_command(self, connection: NodeConnection, command: list[bytes]) -> None:
        verb, rid = command[0], command[1]
        if verb == b"fetch":
            fields = fields_of(command[2])
            self.record("fetch", node=self.name, rid=rid.decode(), cls=fields["c"], bytes=len(command[3]))
            task = asyncio.ensure_future(self.run(self, connection, rid, fields, command[3]))
            self.tasks[rid] = task
            task.add_done_callback(lambda _: self.tasks.pop(rid, None))
        elif verb == b"abort":
            self.record("abort", node=self.name, rid=rid.decode())
            if rid in self.tasks:
                self.tasks[rid].cancel()
        elif verb == b"alive":
            connection.answer(rid, b"FIT", b"-", b"")
        elif verb == b"stats":
            connection.answer(rid, b"FIT", b"load=-", b"")

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()


# --- control feed ---


class Feed:
    """A control feed that tells every event to every connection, and the last number each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.events: list[dict[str, Any]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._task = asyncio.ensure_future(self._beat())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            line = await reader.readline()
            self.record("subscription", line=line.strip().decode())
            await self.before_answer()
            if line.startswith(b"SUB "):
                for event in self.events[int(line[4:]) :]:
                    writer.write(json.dumps(event).encode() + b"\n")
                writer.write(b"%d\n" % len(self.events))
                self._writers.add(writer)
            while await reader.read(100):
                pass
        self._writers.discard(writer)
        writer.close()

    async def before_answer(self) -> None:
        """Wait before the first line of a subscription; a sound feed does not."""

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in self._writers:
                writer.write(b"%d\n" % len(self.events))

    def add(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        """Add an event and tell it."""
        number = len(self.events) + 1
        body = {"revision": number, "complete": complete, "members": members}
        event = {"n": number, "members": body}
        self.events.append(event)
        self.record("told", event=json.dumps(event))
        for writer in self._writers:
            writer.write(json.dumps(event).encode() + b"\n")

    def known(self) -> dict[str, Any]:
        """Return the events of the start, as a configuration holds them."""
        return {"n": len(self.events), "events": list(self.events)}

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()


def member(node: Node, phase: str = "up", up_since_ms: int = 0) -> dict[str, Any]:
    """Return a compute node as the control feed lists it."""
    return {
        "id": node.name,
        "host_port": f"{HOST}:{node.port}",
        "locality": "dc1",
        "flavor": "std-8core",
        "cell": 0,
        "phase": phase,
        "size": 1,
        "up_since_ms": up_since_ms,
    }


# --- clients ---


class Client:
    """A client with one connection. Its message ids count up from 1."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self.port = record, name, port
        self.last_id = 0
        self.sent: dict[int, str] = {}
        self.answers: dict[int, tuple[float, str, bytes]] = {}  # time, error or "served", body
        self.is_closed = False
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    async def connect(self) -> None:
        """Connect to the dispatcher."""
        self._reader, self._writer = await asyncio.open_connection(HOST, self.port)
        self._task = asyncio.ensure_future(self._read())

    def encode(self, cls: str, rid: str, body: bytes, **fields: str) -> bytes:
        """Encode a request under the next message id."""
        self.last_id += 1
        self.sent[self.last_id] = rid
        return msgspec.msgpack.encode([0, self.last_id, cls, [{"rid": rid} | fields, body]])

    def write(self, data: bytes) -> None:
        """Hand bytes to the connection."""
        assert self._writer is not None
        self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the system has taken nearly all bytes."""
        assert self._writer is not None
        while self._writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.001)

    async def ask(self, cls: str, rid: str, body: bytes, **fields: str) -> int:
        """Send a request; return its message id once its last byte has been written."""
        data = self.encode(cls, rid, body, **fields)
        message_id = self.last_id
        self.write(data)
        await self.drain()
        self.record("asked", client=self.name, rid=rid, cls=cls, bytes=len(body), budget=fields["budget"])
        return message_id

    def forget(self, message_id: int) -> None:
        """Stop waiting for a request."""
        self.write(msgspec.msgpack.encode([2, "forget", [message_id]]))
        self.record("forget", client=self.name, rid=self.sent[message_id])

    async def _read(self) -> None:
        assert self._reader is not None
        buffer = b""
        try:
            while data := await self._reader.read(262_144):
                buffer += data
                buffer = self._take_answers(buffer)
        except ConnectionError as error:
            self.record("connection lost", client=self.name, error=repr(error))
        self.is_closed = True
        self.record("connection ended", client=self.name)
        self._changed.set()

    def _take_answers(self, buffer: bytes) -> bytes:
        while buffer:
            size = message_size(buffer)
            if size is None:
                return buffer
            _, message_id, error, result = msgspec.msgpack.decode(buffer[:size])
            buffer = buffer[size:]
            word = "served" if error is None else error[0]
            body = result[0] if error is None else b""
            if message_id in self.answers:
                self.record("second answer", client=self.name, message=message_id)
            rid = self.sent.get(message_id, "-")
            now = self.record("answered", client=self.name, message=message_id, rid=rid, word=word)
            self.answers[message_id] = (now, word, body)
            self._changed.set()
        return buffer

    async def wait(self, message_id: int, timeout: float) -> tuple[float, str, bytes] | None:
        """Return an answer; None if there is none in time or the connection has ended."""
        end = time.monotonic() + timeout
        while message_id not in self.answers and not self.is_closed and time.monotonic() < end:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), 0.05)
        return self.answers.get(message_id)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


def message_size(buffer: bytes) -> int | None:
    """Return the size of the first answer in a buffer; None if it is not complete."""

    def skip(position: int) -> int:
        tag = buffer[position]
        if tag <= 0x7F or tag >= 0xE0 or tag in (0xC0, 0xC2, 0xC3):
            return position + 1
        if tag <= 0x9F:
            count = 2 * (tag & 0x0F) if tag <= 0x8F else tag & 0x0F
            position += 1
            for _ in range(count):
                position = skip(position)
            return position
        if tag <= 0xBF:
            return position + 1 + (tag & 0x1F)
        if 0xCC <= tag <= 0xD3:
            return position + 1 + (1, 2, 4, 8)[(tag - 0xCC) % 4]
        width = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}[tag]
        length = int.from_bytes(buffer[position + 1 : position + 1 + width], "big")
        if len(buffer) < position + 1 + width:
            raise IndexError
        return position + 1 + width + length

    try:
        size = skip(0)
    except IndexError:
        return None
    return size if size <= len(buffer) else None


# --- the dispatcher ---


def command(name: str) -> str:
    """Return a command of the deploy file."""
    text: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name]
    return text


class Dispatcher:
    """One dispatcher process, started as the deploy page says.

    Args:
        record: The record of the case.
        folder: A temporary folder.
        feed: The control feed.
        settings: The settings.
        limits: Cores, memory and sockets.
    """

    def __init__(
        self, record: Record, folder: Path, feed: Feed, settings: dict[str, Any], limits: dict[str, float]
    ) -> None:
        self.record, self.folder, self.feed = record, folder, feed
        self.settings, self.limits = settings, limits
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.log = (folder / "dispatcher.log").open("wb")

    def write_config(self) -> Path:
        """Write the configuration file with what the control feed knows now."""
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "feed": f"{HOST}:{self.feed.port}",
            "known": self.feed.known(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        return path

    async def start(self) -> None:
        """Start the process and wait until it answers `isWell` with true."""
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        variables = {
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": f"{HOST}:{self.port}",
            "BALANCER_CONFIG": str(self.write_config()),
            "TMPDIR": str(scratch),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command("run"), cwd=ROOT, env=os.environ | variables,
            stdout=self.log, stderr=self.log,
        )  # fmt: skip
        end = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < end and self.process.returncode is None:
            if await self._is_well():
                self.record("dispatcher ready", pid=self.process.pid)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the dispatcher did not become ready")

    async def _is_well(self) -> bool:
        client = Client(self.record, "front", self.port)
        try:
            await client.connect()
        except OSError:
            return False
        client.last_id += 1
        client.write(msgspec.msgpack.encode([0, 1, "isWell", [{}]]))
        answer = await client.wait(1, 2.0)
        client.close()
        return answer is not None and answer[2] == True  # noqa: E712

    def terminate(self) -> None:
        """Send SIGTERM, as at a planned restart."""
        assert self.process is not None
        self.record("SIGTERM")
        self.process.send_signal(signal.SIGTERM)

    async def stop(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


async def start_bad_clients(
    record: Record, port: int, kind: str, count: int, seconds: float, rate: float | str | None = None
) -> asyncio.subprocess.Process:
    """Start bad clients in a process of their own."""
    record("bad clients start", kind=kind, count=count, seconds=seconds, rate=rate)
    program = str(Path(__file__).with_name("bad_clients.py"))
    arguments = [str(port), kind, str(count), str(seconds)] + ([str(rate)] if rate else [])
    return await asyncio.create_subprocess_exec(sys.executable, program, *arguments)


async def stop_process(process: asyncio.subprocess.Process | None) -> None:
    """End a process if it still runs."""
    if process is not None and process.returncode is None:
        process.kill()
        await process.wait()


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment: the classes, rules and limits of amman-east."""
    base: dict[str, Any] = {
        "fleetSize": 1,
        "position": 0,
        "kinds": ["std-8core"],
        "zones": ["dc1"],
        "zone": 0,
        "tick": 0.005,
        "membershipMode": "push",
        "extra": {
            "kindCores": [8],
            "sizeMb": [16384.0],
            "parallelism": [1, 3, 2],
            "costInAnswers": True,
            "grantsCount": True,
            "memoryShort": "shrink",
            "writesTables": ["false", "false", "true"],
        },
        "guarantees": {
            "answerSlack": 0.02,
            "stopSendingWithin": 0.5,
            "cold": 15.0,
            "coldFrom": 0.31,
            "fall": 3.0,
            "fallMultiple": 4.0,
            "orderSettle": 0.0,
            "extraFree": 3,
            "repeatRatio": 0.2,
            "lookBack": 10.0,
        },
        "limits": {
            "cancel": True,
            "secondCopies": True,
            "retryAfter": True,
            "probing": False,
            "peers": False,
            "sendCap": 3,
            "maxRetryAfter": 0.5,
            "connectTimeout": 0.25,
            "idleClose": 30.0,
            "maxStreams": 32,
        },
        "services": [
            service("lookup", 0.75, 4.0, 1.0, "retryable"),
            service("report", 2.0, 20.0, 10.0, "retryable"),
            service("log-load", 4.0, 25.0, 12.0, "dedup") | {"keyTtl": 25.0, "sequential": True},
        ],
        "tenants": [{"name": "jordan-valley", "allowancePerS": 1000.0, "share": 1.0}],
    }
    return base | changes


def service(name: str, aim: float, deadline: float, value: float, effect: str) -> dict[str, Any]:
    """Return the settings of one class."""
    return {
        "name": name, "aim": aim, "deadline": deadline, "value": value, "lateValue": 0.4, "aimStretch": 2.0,
        "effect": effect, "group": "all", "keyTtl": 5.0, "sequential": False, "stream": False,
    }  # fmt: skip


def play(folder: Path, case: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Run a case within 110 s in a temporary folder, and exit with its code."""

    async def run() -> int:
        record = Record(folder)
        with tempfile.TemporaryDirectory(prefix="review-") as name:
            try:
                async with asyncio.timeout(110.0):
                    code = await case(record, Path(name))
            except Exception as error:
                record("could not run", error=repr(error))
                code = UNAVAILABLE
            if (Path(name) / "dispatcher.log").exists():
                lines = (Path(name) / "dispatcher.log").read_text(errors="replace").splitlines()
                for line in lines[-40:]:
                    record("log", line=line)
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "could not run")
        record(verdict)
        print(verdict)
        return code

    sys.exit(asyncio.run(run()))
