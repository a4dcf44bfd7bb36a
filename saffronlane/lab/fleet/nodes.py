"""Stand-in compute nodes behind real sockets: processor sharing, cold starts, and ways to fail."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass
from typing import Any

from ...resp import RespParser, encode_command
from ..model import EngineShape, Machine, Run
from .addresses import Address
from .record import Record
from .shape import COLD_SHARE, COLD_TIME, FALL_MULTIPLE, FALL_WINDOW, MEMORY_MB, FleetShape

ROWS = b"a\tb\tc\n"
SLOTS = 4  # queries a core; one more is turned away
_LINGER = struct.pack("ii", 1, 0)


@dataclass(eq=False, slots=True)
class _Query:
    link: _Link
    rid: bytes
    named: dict[str, Any]
    run: Run


@dataclass(eq=False, slots=True)
class _Link:
    writer: asyncio.StreamWriter
    dead: bool = False  # half open: nothing that comes is heard, nothing is said

    def say(self, *words: bytes) -> None:
        if not self.dead and not self.writer.is_closing():
            self.writer.write(encode_command(*words))

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
        self.writer.transport.abort()


class Node:
    """One compute node. Faults are switches, set and taken back by whoever plays the day."""

    def __init__(self, name: str, address: Address, shape: FleetShape, record: Record) -> None:
        self.name, self.address, self.record = name, address, record
        self._shape = EngineShape(
            shape.cores, MEMORY_MB, 1.0, COLD_SHARE, COLD_TIME, FALL_MULTIPLE, FALL_WINDOW
        )
        self._cores = shape.cores
        self.incarnation = 0
        self.machine = Machine(self._shape, -1e9)
        self.hung = self.errs = self.stalls = False
        self.connections = 0
        self.queries: dict[Run, _Query] = {}
        self.links: set[_Link] = set()
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def threads(self) -> float:
        return sum(run.threads for run in self.machine.running)

    # --- life ---

    async def start(self, cold: bool = False) -> None:
        """Listen; a cold one starts now."""
        now = self.record.now()
        self.incarnation += cold
        self.machine = Machine(self._shape, now if cold else -1e9)
        self.hung = self.errs = self.stalls = False
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=1024)
        if cold:
            about = {"capacity": self._cores, "share": COLD_SHARE, "warm_after": COLD_TIME}
            self.record.add(
                "cold",
                engine=self.name,
                incarnation=self.incarnation,
                **about,
                multiple=FALL_MULTIPLE,
                window=FALL_WINDOW,
            )

    def crash(self) -> None:
        """The process is gone: connections are reset, what ran is lost."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for link in list(self.links):
            link.reset()
        self._drop("lost", list(self.queries.values()))
        if self._timer is not None:
            self._timer.cancel()

    def reset(self) -> None:
        """Every connection breaks once; what ran on it stops."""
        for link in list(self.links):
            link.reset()

    def half_open(self) -> None:
        """Every connection that is open goes dead without a word; new ones are well."""
        for link in self.links:
            link.dead = True

    def slow(self, times: float) -> None:
        self.machine.advance(self.record.now())
        self.machine.slowdown = times
        self._plan()

    def hang(self, on: bool) -> None:
        """It takes connections and requests and says nothing; afterwards it goes on with what it has."""
        self.machine.advance(self.record.now())
        self.hung = self.machine.hung = on
        self._plan()

    # --- connections ---

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        link, parser = _Link(writer), RespParser(8, 1_000_000)
        self.links.add(link)
        self.connections += 1
        try:
            while data := await reader.read(65_536):
                found, error = parser.feed(data)
                if error is not None:
                    break
                for words in found if not link.dead else ():
                    self._on_command(link, words)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.links.discard(link)
            self._tasks.discard(task)
            self._drop("cut", [q for q in self.queries.values() if q.link is link])
            writer.close()

    def _drop(self, kind: str, queries: list[_Query]) -> None:
        for query in queries:
            self.machine.remove(query.run, self.record.now())
            self.queries.pop(query.run, None)
            self.record.add(kind, **query.named)
        if queries:
            self._plan()

    def _on_command(self, link: _Link, words: list[bytes]) -> None:
        if words[0] == b"fetch" and len(words) == 4:
            self._fetch(link, words[1], words[2])
        elif words[0] == b"abort":
            self._drop("stopped", [q for q in self.queries.values() if q.link is link and q.rid == words[1]])
        elif words[0] in (b"alive", b"stats") and not self.hung:
            link.say(words[1], b"FIT", b"-", b"")

    def _fetch(self, link: _Link, rid: bytes, fields: bytes) -> None:
        record, now = self.record, self.record.now()
        asking = record.askings.get(rid.decode("ascii", "replace"))
        named = record.sent(rid.decode("ascii", "replace"), self.name, self.incarnation)
        told = dict(part.partition(b"=")[::2] for part in fields.split(b","))
        if asking is None or self.errs:
            record.add("error", **named)
            link.say(rid, b"BROKE", b"-", b"")
            return
        self.machine.advance(now)
        if len(self.machine.running) >= SLOTS * self._cores:
            record.add("refused", **named)
            link.say(rid, b"WAIT", b"-", b"")
            return
        if token := told.get(b"i"):
            if token in record.keys:
                record.add("discarded", **named)
                link.say(rid, b"DONE", b"sheets=1,toil=0,room=1", ROWS)
                return
            record.keys[token] = now
        run = Run(asking.work, float(asking.sort.threads), 1.0)
        self.queries[run] = _Query(link, rid, named, run)
        record.add("ran", **named)
        if not self.machine.add(run, now):
            record.add("fell", engine=self.name, incarnation=self.incarnation)
            self.hang(True)
        self._plan()

    # --- time ---

    def _plan(self) -> None:
        """Answer what has ended, and look again when the next one does."""
        loop, now = asyncio.get_running_loop(), self.record.now()
        self.machine.advance(now)
        for run in self.machine.collect():
            query = self.queries.pop(run, None)
            if query is not None:
                self._answer(query)
        if self._timer is not None:
            self._timer.cancel()
        due = self.machine.next_end(now)
        self._timer = loop.call_later(max(0.001, due - now), self._plan) if due < 1e9 else None

    def _answer(self, query: _Query) -> None:
        named, link = query.named, query.link
        if link.dead or link.writer.is_closing():
            self.record.add("lost", **named)
            return
        fields = b"sheets=1,toil=%d,room=1" % round(1e3 * query.run.work)
        if self.stalls:  # half of an answer, and then nothing more on this connection
            whole = encode_command(query.rid, b"DONE", fields, ROWS)
            link.writer.write(whole[: len(whole) // 2])
            link.dead = True
            self.record.add("lost", **named)
            return
        self.record.add("answered", **named)
        link.say(query.rid, b"DONE", fields, ROWS)

    async def close(self) -> None:
        self.crash()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
