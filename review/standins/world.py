"""Starts a dispatcher by the deploy file's `run`, with a feed, nodes and clients in other processes."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from .record import Record, merge
from .wire import MessageReader, call

ROOT = Path(__file__).parents[2]
TENANTS = (("jordan-valley", 0.41), ("irbid-north", 0.33), ("karak-south", 0.26))
READY_SECONDS = 30.0
ESTABLISHED = "01"  # in /proc/net/tcp


class CannotRun(Exception):
    """The case could not be played."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of amman-east with one dispatcher; `changes` are put over the classes."""
    classes = [
        {"name": "lookup", "aim": 0.75, "aimStretch": 1.5, "deadline": 4.0, "value": 1.0, "lateValue": 0.0},
        {"name": "report", "aim": 2.0, "aimStretch": 2.5, "deadline": 20.0, "value": 10.0, "lateValue": 0.4},
        {
            "name": "log-load",
            "aim": 4.0,
            "aimStretch": 3.0,
            "deadline": 25.0,
            "value": 12.0,
            "lateValue": 0.5,
        },
    ]
    for entry in classes:
        entry |= {"effect": "retryable", "group": "all", "keyTtl": 25.0, "stream": False}
    classes[2] |= {"effect": "dedup", "sequential": True}
    for entry in classes:
        entry.update(changes.get(str(entry["name"]), {}))
    return {
        "fleetSize": 1,
        "position": 0,
        "kinds": ["std-8core"],
        "zones": ["amman-dc1"],
        "zone": 0,
        "tick": 0.005,
        "membershipMode": "push",
        "weightKind": "none",
        "overShareWorth": 0.05,
        "worthBy": "request",
        "report": {"via": "none", "columns": []},
        "prices": {"crossZone": 0.0, "waste": 0.03, "probe": 0.01, "peer": 0.01, "lateFail": 0.03},
        "extra": {
            "kindCores": [8],
            "sizeMb": [16384.0],
            "parallelism": [1, 3, 2],
            "writesTables": [False, False, True],
            "yieldsToLoads": [False, False, False],
            "costInAnswers": True,
            "grantsCount": True,
            "ranksHeeded": False,
            "largestShare": 0.4,
            "memoryShort": "shrink",
            "notePeriod": 0.0,
        },
        "guarantees": {
            "answerSlack": 0.02,
            "stopSendingWithin": 0.5,
            "fallMultiple": 4.0,
            "fall": 3.0,
            "coldFrom": 0.31,
            "cold": 15.0,
            "lookBack": 10.0,
            "extraFree": 3.0,
            "repeatRatio": 0.2,
        },
        "limits": {
            "cancel": True,
            "secondCopies": True,
            "retryAfter": True,
            "peers": False,
            "probing": False,
            "sendCap": 3,
            "maxOpen": 20000,
            "maxRetryAfter": 0.5,
            "connectTimeout": 0.25,
            "idleClose": 30.0,
            "maxStreams": 32,
        },
        "services": classes,
        "tenants": [{"name": name, "share": share, "allowancePerS": 400.0} for name, share in TENANTS],
    }


class Feed:
    """The control feed: it tells each subscriber all later events, and the last number once a second."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._events: list[dict[str, Any]] = []
        self._told: dict[asyncio.StreamWriter, int] = {}
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self._beat()

    def add(self, members: list[dict[str, Any]]) -> None:
        """Add an event; the first one holds the whole list."""
        number = len(self._events) + 1
        members_event = {"revision": number, "complete": number == 1, "members": members}
        self._events.append({"n": number, "members": members_event})
        self._record.add("listed", n=number, members=members)
        self._tell()

    def known(self) -> dict[str, Any]:
        """Return all events so far, in the form of the configuration."""
        return {"n": len(self._events), "events": list(self._events)}

    def _tell(self) -> None:
        for writer, told in self._told.items():
            for event in self._events[told:]:
                writer.write(json.dumps(event).encode() + b"\n")
            self._told[writer] = len(self._events)

    def _beat(self) -> None:
        for writer in self._told:
            writer.write(b'{"n":%d}\n' % len(self._events))
        asyncio.get_running_loop().call_later(1.0, self._beat)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            self._told[writer] = int(line.split()[1])
            self._tell()
            while await reader.read(100):
                pass
        except (ConnectionError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._told.pop(writer, None)
            writer.close()


def member(name: str, port: int, phase: str = "up") -> dict[str, Any]:
    """Return the feed's entry of a node."""
    place = {"locality": "amman-dc1", "flavor": "std-8core", "cell": 0}
    return {"id": name, "host_port": f"127.0.0.1:{port}", "phase": phase, "size": 1, "up_since_ms": 0} | place


def _memory_mb(process: int) -> float:
    """Return the private memory of a process, without the files that it maps, in units of 1,048,576 bytes.

    The pages do not say which megabyte they mean; the larger one is the milder check.
    """
    text = Path(f"/proc/{process}/status").read_text()
    lines = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    return int(lines.get("RssAnon", "0 kB").split()[0]) / 1024


def bytes_not_read(port: int) -> dict[int, int]:
    """Return what the system holds for a server of this port that has not read it, by the client's port.

    These are the bytes that the client's program has handed over; what it holds itself is not among them.
    """
    held: dict[int, int] = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        local, remote = (int(words[place].rpartition(":")[2], 16) for place in (1, 2))
        to_send, to_read = (int(number, 16) for number in words[4].split(":"))
        if words[3] != ESTABLISHED:
            continue
        if local == port:
            held[remote] = held.get(remote, 0) + to_read
        if remote == port:
            held[local] = held.get(local, 0) + to_send
    return held


class World:
    """One case: its processes, their records, and the platform's check of the dispatcher's memory."""

    def __init__(self, case: Path) -> None:
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.paths: list[Path] = []
        self.record = self.new_record("platform")
        self.feed = Feed(self.record)
        self.port = free_port()
        self.dispatcher: subprocess.Popen[bytes] | None = None
        self.peak_memory_mb = 0.0
        self.was_killed = False
        self.was_running = False  # at the end of the play
        self._processes: list[subprocess.Popen[bytes]] = []

    def new_path(self, who: str) -> Path:
        """Return the path of another record."""
        path = self.folder / f"{who}.jsonl"
        self.paths.append(path)
        return path

    def new_record(self, who: str) -> Record:
        """Return another record."""
        return Record(self.new_path(who), who)

    def start_role(self, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a stand-in as a process of its own."""
        process = subprocess.Popen(
            [sys.executable, "-m", f"standins.{module}", *arguments],
            cwd=ROOT / "review",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
        )
        self._processes.append(process)
        return process

    def start_nodes(self, count: int, **options: float) -> tuple[subprocess.Popen[bytes], list[int]]:
        """Start compute nodes, and return their process and ports."""
        words = [f"{name}={value}" for name, value in options.items()]
        process = self.start_role("nodes", str(self.new_path("nodes")), str(count), *words)
        assert process.stdout is not None
        return process, json.loads(process.stdout.readline())

    def start_usual(
        self, seconds: float, rate: float, budget_ms: int, patience: float
    ) -> subprocess.Popen[bytes]:
        """Start the usual clients."""
        words = [str(word) for word in (self.port, seconds, rate, budget_ms, patience)]
        return self.start_role("usual", str(self.new_path("usual")), *words)

    async def start_crowd(
        self,
        clients: int,
        requests_each: int,
        statement_bytes: int,
        method: str,
        budget_ms: int,
    ) -> subprocess.Popen[bytes]:
        """Start bad clients, which connect on `release` and go 20 s later."""
        sizes = (self.port, clients, requests_each, statement_bytes, method, budget_ms, 20)
        words = [str(word) for word in sizes]
        process = self.start_role("crowd", str(self.new_path("crowd")), *words)
        assert process.stdout is not None
        await asyncio.to_thread(process.stdout.readline)  # it has prepared its requests
        return process

    @staticmethod
    def release(process: subprocess.Popen[bytes]) -> None:
        """Let bad clients connect."""
        assert process.stdin is not None
        process.stdin.write(b"go\n")
        process.stdin.flush()

    def start_dispatcher(self, configured: dict[str, Any], memory_mb: int = 192, sockets: int = 1024) -> None:
        """Start the dispatcher as the deploy file says."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "peer_listen": f"127.0.0.1:{free_port()}",
            "peers": [],
            "feed": f"127.0.0.1:{self.feed.port}",
            "known": self.feed.known(),
            "settings": configured,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        scratch = self.folder / "scratch"
        scratch.mkdir()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        names = {"BALANCER_CONFIG": str(path), "BALANCER_NAME": "n0", "BALANCER_LISTEN": config["listen"]}
        with (self.folder / "dispatcher.log").open("ab") as log:
            self.dispatcher = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=os.environ | names | {"TMPDIR": str(scratch)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._processes.append(self.dispatcher)
        self.record.add("dispatcher started", memory_mb=memory_mb, sockets=sockets)

    async def wait_until_ready(self) -> None:
        """Wait until the dispatcher answers `isWell` with true."""
        try:
            async with asyncio.timeout(READY_SECONDS):
                while not await self._is_well():
                    await asyncio.sleep(0.1)
        except TimeoutError as error:
            raise CannotRun("the dispatcher is not ready") from error
        self.record.add("dispatcher ready")

    async def _is_well(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(call(1, "isWell", {}))
            messages = MessageReader()
            while data := await reader.read(4096):
                for message in messages.feed(data):
                    return message[2] is None and message[3][0] is True
        except ConnectionError:
            pass
        finally:
            writer.close()
        return False

    async def watch_memory(self, memory_mb: float) -> None:
        """Do what the platform does: kill the dispatcher once it holds more memory than its limit."""
        assert self.dispatcher is not None
        while self.dispatcher.poll() is None:
            used = _memory_mb(self.dispatcher.pid)
            self.peak_memory_mb = max(self.peak_memory_mb, used)
            if used > memory_mb:
                self.record.add("dispatcher killed for memory", used_mb=round(used), limit_mb=memory_mb)
                self.was_killed = True
                self.dispatcher.send_signal(signal.SIGKILL)
                self.dispatcher.wait()
                return
            await asyncio.sleep(0.02)

    def is_running(self) -> bool:
        """Return whether the dispatcher still runs."""
        return self.dispatcher is not None and self.dispatcher.poll() is None

    def close(self) -> list[dict[str, Any]]:
        """End all processes, write `record.txt`, and return the events."""
        self.was_running = self.is_running()
        if self.dispatcher is not None:
            self.record.add("end", running=self.was_running, peak_memory_mb=round(self.peak_memory_mb, 1))
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        events = merge(self.paths, self.case / "record.txt")
        log = self.folder / "dispatcher.log"
        lines = log.read_text(errors="replace").splitlines() if log.exists() else []
        with (self.case / "record.txt").open("a") as target:
            target.writelines(f"dispatcher: {line}\n" for line in lines[-200:])
        shutil.rmtree(self.folder, ignore_errors=True)
        return events
