"""A stand-in engine: a Flight SQL server on the project's own stack, with faults on order.

What a query takes stands in its text: `/* lab work=0.2 threads=2 memory=100 rows=5 batches=1 */`:
seconds of one thread, threads, MB, rows and batches of the result.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from typing import Any

from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import Message

from ..engines import orca
from ..engines.outcomes import NEVER_RAN_REASON
from ..flight.arrow import flight_data
from ..http2 import ErrorCode
from ..http2.transport import local_sockets
from ..proto import flight_pb2 as flight
from ..proto import flight_sql_pb2 as sql
from ..proto.commands import SERVICE, packed
from ..proto.orca_pb2 import OrcaLoadReport
from ..rpc import Code, RpcError, Server, ServerCall, Status
from ..rpc.status import detailed_status
from .model import EngineShape, Machine, Run

_HINT = re.compile(r"/\*\s*lab\s+([^*]*)\*/")
Record = Callable[[dict[str, Any]], None]
Keys = dict[str, tuple[float, list[bytes]]]  # by key: until when it is remembered, and the answer


@dataclass(frozen=True, slots=True)
class Hints:
    """What a query's text says that it takes."""

    work: float = 0.002
    threads: float = 1.0
    memory: float = 1.0
    rows: float = 1.0
    batches: float = 1.0

    @classmethod
    def of(cls, text: str) -> Hints:
        found = _HINT.search(text)
        pairs = (part.split("=", 1) for part in (found.group(1).split() if found else ()) if "=" in part)
        return cls(**{k: float(v) for k, v in pairs if k in cls.__dataclass_fields__})


@dataclass(slots=True)
class Faults:
    """What is wrong with an engine now. Each is switched by name; numbers are chances or seconds."""

    refuse: float = 0.0  # chance that a query is turned away unseen
    error: float = 0.0  # chance of a quick error
    lose: float = 0.0  # chance that the answer of a query that ran goes missing
    cut: float = 0.0  # chance that the stream is reset in the middle
    half_open: bool = False  # takes connections and bytes, and never answers
    report: str = "true"  # true, none, absurd or stale


@dataclass(slots=True, eq=False)
class EngineConfig:
    id: str
    shape: EngineShape = field(default_factory=EngineShape)
    host: str = "127.0.0.1"
    port: int = 0
    key_ttl: float = 30.0
    note_period: float = 0.0
    seed: int = 0


class StandIn:
    """One engine. Every query's start and end goes to `record`, as seen on its sockets."""

    def __init__(self, config: EngineConfig, record: Record | None = None, keys: Keys | None = None) -> None:
        import numpy as np

        self.config = config
        self.faults = Faults()
        self.incarnation = 0
        self.queries = 0
        self._random = np.random.default_rng([config.seed, *config.id.encode()])
        self._record = record or (lambda event: None)
        self._loop = asyncio.get_running_loop()
        self._keys: Keys = {} if keys is None else keys
        self._ends: dict[int, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._server: Server | None = None
        self._active: float | None = None  # last reported
        self.machine = Machine(config.shape, -1e9)
        self.port = config.port
        self.started_wall = 0.0

    # --- life ---

    def start(self, cold: bool = False) -> None:
        """Listen; a cold one has a part of its capacity at first."""
        import time

        self.incarnation += 1
        now = self._loop.time()
        self.machine = Machine(self.config.shape, now if cold else now - 1e6)
        self.started_wall = time.time() if cold else 0.0
        handlers = {
            "GetFlightInfo": self._get_flight_info,
            "DoGet": self._do_get,
            "DoPut": self._do_put,
            "DoAction": self._do_action,
            "ListActions": self._list_actions,
        }
        self._server = Server({SERVICE + name: handler for name, handler in handlers.items()})
        sockets = local_sockets(self.config.host, self.port)
        self.port = sockets[0].getsockname()[1]
        self._server.listen(sockets)

    def crash(self) -> None:
        """Gone at once, with all that it was doing."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for end in self._ends.values():
            end.cancel()
        self._ends.clear()
        if self._timer is not None:
            self._timer.cancel()

    def drain(self) -> None:
        """GOAWAY on every connection; what runs may end."""
        if self._server is not None:
            self._server.drain()

    def hang(self, on: bool) -> None:
        self.machine.advance(self._loop.time())
        self.machine.hung = on
        self._schedule()

    def slow(self, factor: float) -> None:
        self.machine.advance(self._loop.time())
        self.machine.slow = factor
        self._schedule()

    @property
    def address(self) -> str:
        return f"{self.config.host}:{self.port}"

    @property
    def up(self) -> bool:
        return self._server is not None

    # --- calls ---

    async def _get_flight_info(self, call: ServerCall) -> None:
        await self._still(call)
        descriptor = flight.FlightDescriptor.FromString(await call.read_single("GetFlightInfo"))
        command = AnyMessage.FromString(descriptor.cmd)
        if _is(command, sql.CommandStatementQuery):
            text = sql.CommandStatementQuery.FromString(command.value).query
        elif _is(command, sql.CommandPreparedStatementQuery):
            text = sql.CommandPreparedStatementQuery.FromString(
                command.value
            ).prepared_statement_handle.decode()
        else:
            raise RpcError(Status(Code.UNIMPLEMENTED, f"{command.type_url} is not served"))
        held = packed(sql.TicketStatementQuery(statement_handle=text.encode()))
        ticket = flight.Ticket(ticket=held.SerializeToString())
        info = flight.FlightInfo(
            flight_descriptor=descriptor,
            endpoint=[flight.FlightEndpoint(ticket=ticket)],
            total_records=-1,
            total_bytes=-1,
        )
        await call.write(info.SerializeToString())

    async def _do_get(self, call: ServerCall) -> None:
        await self._still(call)
        ticket = flight.Ticket.FromString(await call.read_single("DoGet"))
        box = AnyMessage.FromString(ticket.ticket)
        text = sql.TicketStatementQuery.FromString(box.value).statement_handle.decode()
        hints = Hints.of(text)
        await self._execute(call, text, hints, lambda: result_of(int(hints.rows), int(hints.batches)))

    async def _do_put(self, call: ServerCall) -> None:
        await self._still(call)
        first = flight.FlightData.FromString(await call.read_single("DoPut"))
        command = AnyMessage.FromString(first.flight_descriptor.cmd)
        rows = 0
        while await call.read() is not None:
            rows += 1
        if _is(command, sql.CommandPreparedStatementQuery):
            handle = sql.CommandPreparedStatementQuery.FromString(command.value).prepared_statement_handle
            bound = sql.DoPutPreparedStatementResult(prepared_statement_handle=handle)
            await call.write(flight.PutResult(app_metadata=bound.SerializeToString()).SerializeToString())
            return
        if _is(command, sql.CommandStatementUpdate):
            text = sql.CommandStatementUpdate.FromString(command.value).query
        else:
            prepared = sql.CommandPreparedStatementUpdate.FromString(command.value)
            text = prepared.prepared_statement_handle.decode()
        hints = Hints.of(text)
        counted = sql.DoPutUpdateResult(record_count=int(hints.rows))
        answer = [flight.PutResult(app_metadata=counted.SerializeToString()).SerializeToString()]
        await self._execute(call, text, hints, lambda: answer)

    async def _do_action(self, call: ServerCall) -> None:
        await self._still(call)
        action = flight.Action.FromString(await call.read_single("DoAction"))
        if action.type != "CreatePreparedStatement":
            raise RpcError(Status(Code.UNIMPLEMENTED, f"action {action.type!r}"))
        box = AnyMessage.FromString(action.body)
        asked = sql.ActionCreatePreparedStatementRequest.FromString(box.value)
        made = sql.ActionCreatePreparedStatementResult(prepared_statement_handle=asked.query.encode())
        answer = packed(made)
        await call.write(flight.Result(body=answer.SerializeToString()).SerializeToString())

    async def _list_actions(self, call: ServerCall) -> None:
        await self._still(call)
        call.trailers = ((orca.TRAILER, self._report(0.0, 0.0)),)

    async def _still(self, call: ServerCall) -> None:
        """An engine that hangs half open takes the call, and that is all."""
        while self.faults.half_open:
            await asyncio.sleep(0.05)

    def _drawn(self, chance: float) -> bool:
        return chance > 0.0 and float(self._random.random()) < chance

    async def _execute(
        self, call: ServerCall, text: str, hints: Hints, result: Callable[[], list[bytes]]
    ) -> None:
        told = {
            "engine": self.config.id,
            "incarnation": self.incarnation,
            "gateway": call.metadata.text("saffronlane-gateway"),
            "request": call.metadata.text("saffronlane-request"),
            "attempt": call.metadata.text("saffronlane-attempt"),
            "key": call.metadata.text("saffronlane-key"),
            "query": call.metadata.text("x-lab-query"),
            "work": hints.work,
        }
        self._tell("sent", told)
        faults = self.faults
        if self._drawn(faults.refuse):
            self._tell("refused", told)
            raise RpcError(detailed_status(Code.UNAVAILABLE, "turned away", NEVER_RAN_REASON, None))
        if self._drawn(faults.error):
            self._tell("error", told)
            raise RpcError(Status(Code.INTERNAL, "a fault of the engine"))
        key = str(told["key"])
        now = self._loop.time()
        for old in [k for k, v in self._keys.items() if v[0] <= now]:
            del self._keys[old]
        if key and key in self._keys:
            self._tell("discarded", told)  # the repeat of a keyed query has no effect of its own
            messages = self._keys[key][1]
        else:
            messages = result()
            if key:
                self._keys[key] = (now + self.config.key_ttl, messages)
            self._tell("ran", told)
            try:
                await self._run(call, hints)
            except asyncio.CancelledError:
                self._tell("stopped", told)
                raise
        call.trailers = ((orca.TRAILER, self._report(hints.work, hints.memory)),)
        if self._drawn(faults.lose):
            self._tell("lost", told)
            await asyncio.sleep(3600.0)
        cut = self._drawn(faults.cut)
        for index, message in enumerate(messages):
            if cut and index >= len(messages) // 2:
                self._tell("cut", told)
                call.reset(ErrorCode.INTERNAL_ERROR)
                return
            await call.write(message)
        self.queries += 1
        self._tell("answered", told)

    def _tell(self, kind: str, told: dict[str, Any]) -> None:
        self._record({"at": self._loop.time(), "kind": kind, **told})

    def _report(self, work: float, memory: float) -> bytes:
        machine = self.machine
        if self.faults.report == "none":
            return b""
        if self.faults.report == "absurd":
            nan = float("nan")
            return OrcaLoadReport(
                named_metrics={"active": nan}, request_cost={"work": -1.0, "memory": float("inf")}
            ).SerializeToString()
        if self.faults.report != "stale" or self._active is None:
            self._active = float(len(machine.running) + len(machine.line))
        active = self._active  # a stale report says what was true when the fault began
        threads = sum(run.threads for run in machine.running)
        return OrcaLoadReport(
            cpu_utilization=min(1.0, threads / machine.shape.cores),
            named_metrics={"active": active, "queue": float(len(machine.line))},
            request_cost={"work": work, "memory": memory},
        ).SerializeToString()

    # --- time ---

    async def _run(self, call: ServerCall, hints: Hints) -> None:
        run = Run(hints.work, min(hints.threads, self.config.shape.cores), hints.memory)
        end: asyncio.Future[None] = self._loop.create_future()
        self._ends[id(run)] = end
        if not self.machine.add(run, self._loop.time()):
            self._record({"at": self._loop.time(), "kind": "fell", "engine": self.config.id})
            self.crash()
            raise asyncio.CancelledError
        self._schedule()
        notes = asyncio.ensure_future(self._notes(call, run)) if self.config.note_period else None
        try:
            await end
        finally:
            self._ends.pop(id(run), None)
            self.machine.remove(run, self._loop.time())
            self._schedule()
            if notes is not None:
                notes.cancel()

    async def _notes(self, call: ServerCall, run: Run) -> None:
        while True:
            await asyncio.sleep(self.config.note_period)
            self.machine.advance(self._loop.time())
            kind, amount = ("waiting", 1.0) if run.waiting else ("progress", run.progress)
            call.write_now(orca.encode_progress_report(kind, amount))

    def _schedule(self) -> None:
        """Tell what has ended, and look again when the next run will."""
        for run in self.machine.collect():
            end = self._ends.get(id(run))
            if end is not None and not end.done():
                end.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
        at = self.machine.next_end(self._loop.time())
        self._timer = self._loop.call_at(at, self._tick) if at < float("inf") else None

    def _tick(self) -> None:
        self.machine.advance(self._loop.time())
        self._schedule()


def _is(command: AnyMessage, kind: type[Message]) -> bool:
    return command.type_url.endswith("." + kind.DESCRIPTOR.name)


@cache
def result_of(rows: int, batches: int) -> list[bytes]:
    """A result of so many batches of so many rows, as FlightData messages."""
    import pyarrow as pa

    schema = pa.schema([("id", pa.int64()), ("name", pa.string())])
    names = pa.array([f"row {n}" for n in range(rows)])
    batch = pa.record_batch([pa.array(range(rows), pa.int64()), names], schema=schema)
    return flight_data(schema, [batch] * batches)


def read_engine_config(value: dict[str, Any], fallback_id: str = "engine") -> EngineConfig:
    """ValueError names the key that is unknown or of the wrong type."""
    known = {"id", "host", "port", "key_ttl", "note_period", "seed"}
    shape_keys = set(EngineShape.__dataclass_fields__)
    unknown = set(value) - known - shape_keys
    if unknown:
        raise ValueError(
            f"/{min(unknown)}: not known; expected some of {', '.join(sorted(known | shape_keys))}"
        )
    shape = EngineShape(**{k: float(v) for k, v in value.items() if k in shape_keys})
    rest = {k: v for k, v in value.items() if k in known}
    return EngineConfig(rest.pop("id", fallback_id), shape, **rest)
