"""Stand-in compute nodes with real sockets. They simulate processor sharing, slow start and faults."""

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
from .shape import (
    INITIAL_CAPACITY_RATIO,
    MEMORY_MB,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    SLOW_START_S,
    FleetShape,
)

ROWS = b"a\tb\tc\n"
QUERY_SLOTS_PER_CORE = 4  # further queries are rejected
_LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close sends RST


@dataclass(eq=False, slots=True)
class _Query:
    connection: _Connection
    request_id: bytes
    event_fields: dict[str, Any]
    run: Run


@dataclass(eq=False, slots=True)
class _Connection:
    writer: asyncio.StreamWriter
    is_unresponsive: bool = False  # input is ignored and nothing is sent

    def send(self, *words: bytes) -> None:
        if not self.is_unresponsive and not self.writer.is_closing():
            self.writer.write(encode_command(*words))

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.writer.transport.abort()


class Node:
    """One compute node. The fault injector switches its faults on and off."""

    def __init__(self, name: str, address: Address, shape: FleetShape, record: Record) -> None:
        self.name, self.address, self.record = name, address, record
        self._shape = EngineShape(
            shape.cores,
            MEMORY_MB,
            1.0,
            INITIAL_CAPACITY_RATIO,
            SLOW_START_S,
            OVERLOAD_FACTOR,
            OVERLOAD_WINDOW_S,
        )
        self._cores = shape.cores
        self.incarnation = 0
        self.machine = Machine(self._shape, -1e9)  # a start in the distant past means a warm node
        self.is_hung = self.fails_queries = self.stalls_results = False
        self.connection_count = 0
        self.queries: dict[Run, _Query] = {}
        self.open_connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def threads(self) -> float:
        """The number of running threads."""
        return sum(run.threads for run in self.machine.running)

    # --- lifecycle and faults ---

    async def start(self, cold: bool = False) -> None:
        """Starts to listen. A cold node begins its slow start and a new incarnation."""
        now = self.record.now()
        self.incarnation += cold
        self.machine = Machine(self._shape, now if cold else -1e9)
        self.is_hung = self.fails_queries = self.stalls_results = False
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=1024)
        if cold:
            slow_start = {
                "capacity": self._cores,
                "share": INITIAL_CAPACITY_RATIO,
                "warm_after": SLOW_START_S,
            }
            self.record.add(
                "cold",
                engine=self.name,
                incarnation=self.incarnation,
                **slow_start,
                multiple=OVERLOAD_FACTOR,
                window=OVERLOAD_WINDOW_S,
            )

    def crash(self) -> None:
        """Simulates a crash: stops listening, resets the connections and loses the running queries."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.open_connections):
            connection.reset()
        self._remove_queries("lost", list(self.queries.values()))
        if self._timer is not None:
            self._timer.cancel()

    def reset_connections(self) -> None:
        """Resets every connection, which stops the queries that run on it."""
        for connection in list(self.open_connections):
            connection.reset()

    def make_half_open(self) -> None:
        """Makes every open connection half open without notice. New connections work."""
        for connection in self.open_connections:
            connection.is_unresponsive = True

    def set_slowdown(self, slowdown: float) -> None:
        """Divides the speed of the node by this factor."""
        self.machine.advance(self.record.now())
        self.machine.slowdown = slowdown
        self._complete_and_reschedule()

    def set_hung(self, is_hung: bool) -> None:
        """Suspends all progress and replies, or resumes them. Connections and requests are still accepted."""
        self.machine.advance(self.record.now())
        self.is_hung = self.machine.hung = is_hung
        self._complete_and_reschedule()

    # --- connections ---

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection, parser = _Connection(writer), RespParser(8, 1_000_000)
        self.open_connections.add(connection)
        self.connection_count += 1
        try:
            while data := await reader.read(65_536):
                commands, error = parser.feed(data)
                if error is not None:
                    break
                for words in commands if not connection.is_unresponsive else ():
                    self._on_command(connection, words)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open_connections.discard(connection)
            self._tasks.discard(task)
            self._remove_queries(
                "cut", [query for query in self.queries.values() if query.connection is connection]
            )
            writer.close()

    def _remove_queries(self, kind: str, queries: list[_Query]) -> None:
        for query in queries:
            self.machine.remove(query.run, self.record.now())
            self.queries.pop(query.run, None)
            self.record.add(kind, **query.event_fields)
        if queries:
            self._complete_and_reschedule()

    def _on_command(self, connection: _Connection, words: list[bytes]) -> None:
        if words[0] == b"fetch" and len(words) == 4:
            self._fetch(connection, words[1], words[2])
        elif words[0] == b"abort":
            self._remove_queries(
                "stopped",
                [
                    query
                    for query in self.queries.values()
                    if query.connection is connection and query.request_id == words[1]
                ],
            )
        elif words[0] in (b"alive", b"stats") and not self.is_hung:
            connection.send(words[1], b"FIT", b"-", b"")

    def _fetch(self, connection: _Connection, request_id: bytes, fields: bytes) -> None:
        record, now = self.record, self.record.now()
        request = record.planned_requests.get(request_id.decode("ascii", "replace"))
        event_fields = record.add_attempt(request_id.decode("ascii", "replace"), self.name, self.incarnation)
        request_fields = dict(part.partition(b"=")[::2] for part in fields.split(b","))
        if request is None or self.fails_queries:
            record.add("error", **event_fields)
            connection.send(request_id, b"BROKE", b"-", b"")
            return
        self.machine.advance(now)
        if len(self.machine.running) >= QUERY_SLOTS_PER_CORE * self._cores:
            record.add("refused", **event_fields)
            connection.send(request_id, b"WAIT", b"-", b"")
            return
        if token := request_fields.get(b"i"):
            if token in record.executed_keys:
                record.add("discarded", **event_fields)
                connection.send(request_id, b"DONE", b"sheets=1,toil=0,room=1", ROWS)
                return
            record.executed_keys[token] = now
        run = Run(request.work, float(request.query_class.threads), 1.0)
        self.queries[run] = _Query(connection, request_id, event_fields, run)
        record.add("ran", **event_fields)
        if not self.machine.add(run, now):  # overloaded while cold
            record.add("fell", engine=self.name, incarnation=self.incarnation)
            self.set_hung(True)
        self._complete_and_reschedule()

    # --- completion of queries ---

    def _complete_and_reschedule(self) -> None:
        """Sends the results of completed queries and sets a timer for the next completion."""
        loop, now = asyncio.get_running_loop(), self.record.now()
        self.machine.advance(now)
        for run in self.machine.collect():
            query = self.queries.pop(run, None)
            if query is not None:
                self._send_result(query)
        if self._timer is not None:
            self._timer.cancel()
        next_completion = self.machine.next_end(now)
        self._timer = (
            loop.call_later(max(0.001, next_completion - now), self._complete_and_reschedule)
            if next_completion < 1e9
            else None
        )

    def _send_result(self, query: _Query) -> None:
        event_fields, connection = query.event_fields, query.connection
        if connection.is_unresponsive or connection.writer.is_closing():
            self.record.add("lost", **event_fields)
            return
        fields = b"sheets=1,toil=%d,room=1" % round(1e3 * query.run.work)
        if self.stalls_results:  # sends half of a result and then nothing more on this connection
            reply = encode_command(query.request_id, b"DONE", fields, ROWS)
            connection.writer.write(reply[: len(reply) // 2])
            connection.is_unresponsive = True
            self.record.add("lost", **event_fields)
            return
        self.record.add("answered", **event_fields)
        connection.send(query.request_id, b"DONE", fields, ROWS)

    async def close(self) -> None:
        """Stops the node and its connections."""
        self.crash()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
