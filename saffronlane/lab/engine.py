"""A stand-in engine: a Flight SQL server on the project's own stack, with fault injection.

A comment in the query text sets the resources that the query uses and the size of its result:
`/* lab work=0.2 threads=2 memory=100 rows=5 batches=1 */`. Work is in seconds of one thread, memory in MB.
The result has `batches` record batches of `rows` rows each.

The engine stores no statements: its tickets and statement handles are the query texts themselves.
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
from ..proto.commands import SERVICE, pack_any
from ..proto.orca_pb2 import OrcaLoadReport
from ..rpc import Code, RpcError, Server, ServerCall, Status
from ..rpc.status import detailed_status
from .model import EngineShape, Machine, Run

_OPTIONS_COMMENT = re.compile(r"/\*\s*lab\s+([^*]*)\*/")
RecordEvent = Callable[[dict[str, Any]], None]
KeyedResults = dict[str, tuple[float, list[bytes]]]  # by idempotency key: time of expiry, result messages


@dataclass(frozen=True, slots=True)
class QueryOptions:
    """Resources and result size of a query, from the options comment in its text.

    Attributes:
        work: Work, in seconds of one thread.
        threads: Number of threads.
        memory: Memory in MB.
        rows: Rows of each record batch, or the record count of an update.
        batches: Number of record batches in the result.
    """

    work: float = 0.002
    threads: float = 1.0
    memory: float = 1.0
    rows: float = 1.0
    batches: float = 1.0

    @classmethod
    def parse(cls, text: str) -> QueryOptions:
        """Parse the options in a query text. Missing options have their default values."""
        match = _OPTIONS_COMMENT.search(text)
        pairs = (part.split("=", 1) for part in (match.group(1).split() if match else ()) if "=" in part)
        return cls(**{k: float(v) for k, v in pairs if k in cls.__dataclass_fields__})


@dataclass(slots=True)
class Faults:
    """The faults that are currently injected into an engine. Scenarios set them by name.

    Attributes:
        refuse: Probability that a query is rejected before it runs.
        error: Probability that a query fails at once.
        lose: Probability that a query runs, but its answer is never sent.
        cut: Probability that the stream is reset in the middle of the result.
        half_open: Whether the engine accepts connections and calls, but never answers.
        report: Content of the load reports: `true` for correct values, `none` for no report, `absurd` for
            invalid values, `stale` for an outdated number of active queries.
    """

    refuse: float = 0.0
    error: float = 0.0
    lose: float = 0.0
    cut: float = 0.0
    half_open: bool = False
    report: str = "true"


@dataclass(slots=True, eq=False)
class EngineConfig:
    """Configuration of one stand-in engine.

    Attributes:
        id: Engine id.
        shape: Capacity of the engine.
        host: Address on which the engine listens.
        port: Port on which the engine listens; 0 for any free port.
        key_ttl: Seconds for which the engine remembers an idempotency key.
        note_period: Seconds between the progress reports of a query; 0 if the engine sends none.
        seed: Random seed of the injected faults.
    """

    id: str
    shape: EngineShape = field(default_factory=EngineShape)
    host: str = "127.0.0.1"
    port: int = 0
    key_ttl: float = 30.0
    note_period: float = 0.0
    seed: int = 0


class StandInEngine:
    """One stand-in engine.

    Args:
        config: The engine's configuration.
        record_event: Called with an event for the arrival, the start and the end of every query, and with one
            event if the engine crashes from overload.
        keyed_results: Results of the idempotency keys that the engine remembers. Engines that share this
            dictionary recognize each other's keys.
    """

    def __init__(
        self,
        config: EngineConfig,
        record_event: RecordEvent | None = None,
        keyed_results: KeyedResults | None = None,
    ) -> None:
        import numpy as np

        self.config = config
        self.faults = Faults()
        self.incarnation = 0
        self.answered_count = 0
        self._random = np.random.default_rng([config.seed, *config.id.encode()])
        self._record_event = record_event or (lambda event: None)
        self._loop = asyncio.get_running_loop()
        self._keyed_results: KeyedResults = {} if keyed_results is None else keyed_results
        self._run_ends: dict[int, asyncio.Future[None]] = {}  # by id() of the run
        self._timer: asyncio.TimerHandle | None = None
        self._server: Server | None = None
        self._last_reported_active: float | None = None
        self.machine = Machine(config.shape, -1e9)
        self.port = config.port
        self.started_wall = 0.0  # Unix time of the last cold start; 0 if the engine started warm

    # --- lifecycle ---

    def start(self, cold: bool = False) -> None:
        """Start to listen. A cold engine starts with a part of its capacity and warms up."""
        import time

        self.incarnation += 1
        now = self._loop.time()
        # A warm engine is modelled as one that started long ago.
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
        """Stop at once: close all connections and abandon all queries."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for end in self._run_ends.values():
            end.cancel()
        self._run_ends.clear()
        if self._timer is not None:
            self._timer.cancel()

    def drain(self) -> None:
        """Send GOAWAY on every connection. Running queries may finish."""
        if self._server is not None:
            self._server.drain()

    def hang(self, enabled: bool) -> None:
        """Start or end a hang, in which no query makes progress."""
        self.machine.advance(self._loop.time())
        self.machine.hung = enabled
        self._schedule()

    def slow(self, factor: float) -> None:
        """Multiply all run times by a factor; 1 restores the normal speed."""
        self.machine.advance(self._loop.time())
        self.machine.slowdown = factor
        self._schedule()

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return f"{self.config.host}:{self.port}"

    @property
    def is_up(self) -> bool:
        """Whether the engine is listening."""
        return self._server is not None

    # --- calls ---

    async def _get_flight_info(self, call: ServerCall) -> None:
        await self._block_while_half_open(call)
        descriptor = flight.FlightDescriptor.FromString(await call.read_single("GetFlightInfo"))
        command = AnyMessage.FromString(descriptor.cmd)
        if _is_command(command, sql.CommandStatementQuery):
            text = sql.CommandStatementQuery.FromString(command.value).query
        elif _is_command(command, sql.CommandPreparedStatementQuery):
            text = sql.CommandPreparedStatementQuery.FromString(
                command.value
            ).prepared_statement_handle.decode()
        else:
            raise RpcError(Status(Code.UNIMPLEMENTED, f"{command.type_url} is not served"))
        statement = pack_any(sql.TicketStatementQuery(statement_handle=text.encode()))
        ticket = flight.Ticket(ticket=statement.SerializeToString())
        info = flight.FlightInfo(
            flight_descriptor=descriptor,
            endpoint=[flight.FlightEndpoint(ticket=ticket)],
            total_records=-1,
            total_bytes=-1,
        )
        await call.write(info.SerializeToString())

    async def _do_get(self, call: ServerCall) -> None:
        await self._block_while_half_open(call)
        ticket = flight.Ticket.FromString(await call.read_single("DoGet"))
        statement = AnyMessage.FromString(ticket.ticket)
        text = sql.TicketStatementQuery.FromString(statement.value).statement_handle.decode()
        options = QueryOptions.parse(text)
        await self._execute(call, text, options, lambda: result_of(int(options.rows), int(options.batches)))

    async def _do_put(self, call: ServerCall) -> None:
        await self._block_while_half_open(call)
        first_message = flight.FlightData.FromString(await call.read_single("DoPut"))
        command = AnyMessage.FromString(first_message.flight_descriptor.cmd)
        further_messages = 0
        while await call.read() is not None:
            further_messages += 1
        if _is_command(command, sql.CommandPreparedStatementQuery):
            handle = sql.CommandPreparedStatementQuery.FromString(command.value).prepared_statement_handle
            bind_result = sql.DoPutPreparedStatementResult(prepared_statement_handle=handle)
            await call.write(
                flight.PutResult(app_metadata=bind_result.SerializeToString()).SerializeToString()
            )
            return
        if _is_command(command, sql.CommandStatementUpdate):
            text = sql.CommandStatementUpdate.FromString(command.value).query
        else:
            prepared = sql.CommandPreparedStatementUpdate.FromString(command.value)
            text = prepared.prepared_statement_handle.decode()
        options = QueryOptions.parse(text)
        update_result = sql.DoPutUpdateResult(record_count=int(options.rows))
        messages = [flight.PutResult(app_metadata=update_result.SerializeToString()).SerializeToString()]
        await self._execute(call, text, options, lambda: messages)

    async def _do_action(self, call: ServerCall) -> None:
        await self._block_while_half_open(call)
        action = flight.Action.FromString(await call.read_single("DoAction"))
        if action.type != "CreatePreparedStatement":
            raise RpcError(Status(Code.UNIMPLEMENTED, f"action {action.type!r} is not served"))
        body = AnyMessage.FromString(action.body)
        request = sql.ActionCreatePreparedStatementRequest.FromString(body.value)
        result = sql.ActionCreatePreparedStatementResult(prepared_statement_handle=request.query.encode())
        packed_result = pack_any(result)
        await call.write(flight.Result(body=packed_result.SerializeToString()).SerializeToString())

    async def _list_actions(self, call: ServerCall) -> None:
        """Answer a probe request: an empty list of actions, and a load report in the trailers."""
        await self._block_while_half_open(call)
        call.trailers = ((orca.TRAILER, self._load_report(0.0, 0.0)),)

    async def _block_while_half_open(self, call: ServerCall) -> None:
        """Leave an accepted call unanswered while the half-open fault lasts."""
        while self.faults.half_open:
            await asyncio.sleep(0.05)

    def _occurs(self, probability: float) -> bool:
        return probability > 0.0 and float(self._random.random()) < probability

    async def _execute(
        self, call: ServerCall, text: str, options: QueryOptions, build_result: Callable[[], list[bytes]]
    ) -> None:
        attempt = {
            "engine": self.config.id,
            "incarnation": self.incarnation,
            "gateway": call.metadata.text("saffronlane-gateway"),
            "request": call.metadata.text("saffronlane-request"),
            "attempt": call.metadata.text("saffronlane-attempt"),
            "key": call.metadata.text("saffronlane-key"),
            "query": call.metadata.text("x-lab-query"),
            "work": options.work,
        }
        self._record_attempt("sent", attempt)
        faults = self.faults
        if self._occurs(faults.refuse):
            self._record_attempt("refused", attempt)
            raise RpcError(
                detailed_status(Code.UNAVAILABLE, "query rejected by fault injection", NEVER_RAN_REASON, None)
            )
        if self._occurs(faults.error):
            self._record_attempt("error", attempt)
            raise RpcError(Status(Code.INTERNAL, "injected fault of the engine"))
        key = str(attempt["key"])
        now = self._loop.time()
        for expired_key in [k for k, v in self._keyed_results.items() if v[0] <= now]:
            del self._keyed_results[expired_key]
        if key and key in self._keyed_results:
            self._record_attempt("discarded", attempt)  # A repeated keyed query does not run again.
            messages = self._keyed_results[key][1]
        else:
            messages = build_result()
            if key:
                self._keyed_results[key] = (now + self.config.key_ttl, messages)
            self._record_attempt("ran", attempt)
            try:
                await self._run_query(call, options)
            except asyncio.CancelledError:
                self._record_attempt("stopped", attempt)
                raise
        call.trailers = ((orca.TRAILER, self._load_report(options.work, options.memory)),)
        if self._occurs(faults.lose):
            self._record_attempt("lost", attempt)
            await asyncio.sleep(3600.0)
        is_cut = self._occurs(faults.cut)
        for index, message in enumerate(messages):
            if is_cut and index >= len(messages) // 2:
                self._record_attempt("cut", attempt)
                call.reset(ErrorCode.INTERNAL_ERROR)
                return
            await call.write(message)
        self.answered_count += 1
        self._record_attempt("answered", attempt)

    def _record_attempt(self, kind: str, attempt: dict[str, Any]) -> None:
        self._record_event({"at": self._loop.time(), "kind": kind, **attempt})

    def _load_report(self, work: float, memory: float) -> bytes:
        machine = self.machine
        if self.faults.report == "none":
            return b""
        if self.faults.report == "absurd":
            nan = float("nan")
            return OrcaLoadReport(
                named_metrics={"active": nan}, request_cost={"work": -1.0, "memory": float("inf")}
            ).SerializeToString()
        if self.faults.report != "stale" or self._last_reported_active is None:
            self._last_reported_active = float(len(machine.running) + len(machine.queue))
        # A stale report repeats the value of the last report before the fault.
        active = self._last_reported_active
        threads = sum(run.threads for run in machine.running)
        return OrcaLoadReport(
            cpu_utilization=min(1.0, threads / machine.shape.cores),
            named_metrics={"active": active, "queue": float(len(machine.queue))},
            request_cost={"work": work, "memory": memory},
        ).SerializeToString()

    # --- execution ---

    async def _run_query(self, call: ServerCall, options: QueryOptions) -> None:
        run = Run(options.work, min(options.threads, self.config.shape.cores), options.memory)
        end: asyncio.Future[None] = self._loop.create_future()
        self._run_ends[id(run)] = end
        if not self.machine.add(run, self._loop.time()):
            self._record_event({"at": self._loop.time(), "kind": "fell", "engine": self.config.id})
            self.crash()
            raise asyncio.CancelledError
        self._schedule()
        progress_reports = (
            asyncio.ensure_future(self._send_progress_reports(call, run)) if self.config.note_period else None
        )
        try:
            await end
        finally:
            self._run_ends.pop(id(run), None)
            self.machine.remove(run, self._loop.time())
            self._schedule()
            if progress_reports is not None:
                progress_reports.cancel()

    async def _send_progress_reports(self, call: ServerCall, run: Run) -> None:
        while True:
            await asyncio.sleep(self.config.note_period)
            self.machine.advance(self._loop.time())
            kind, amount = ("waiting", 1.0) if run.waiting else ("progress", run.progress)
            call.write_now(orca.encode_progress_report(kind, amount))

    def _schedule(self) -> None:
        """Resolve the futures of the finished queries, and set the timer for the next query to finish."""
        for run in self.machine.collect():
            end = self._run_ends.get(id(run))
            if end is not None and not end.done():
                end.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
        next_end = self.machine.next_end(self._loop.time())
        self._timer = self._loop.call_at(next_end, self._on_timer) if next_end < float("inf") else None

    def _on_timer(self) -> None:
        self.machine.advance(self._loop.time())
        self._schedule()


def _is_command(command: AnyMessage, message_type: type[Message]) -> bool:
    return command.type_url.endswith("." + message_type.DESCRIPTOR.name)


@cache
def result_of(rows: int, batches: int) -> list[bytes]:
    """Build a result as FlightData messages.

    Args:
        rows: Rows of each record batch.
        batches: Number of record batches.
    """
    import pyarrow as pa

    schema = pa.schema([("id", pa.int64()), ("name", pa.string())])
    names = pa.array([f"row {n}" for n in range(rows)])
    batch = pa.record_batch([pa.array(range(rows), pa.int64()), names], schema=schema)
    return flight_data(schema, [batch] * batches)


def read_engine_config(value: dict[str, Any], fallback_id: str = "engine") -> EngineConfig:
    """Read an engine's configuration from a JSON object.

    Args:
        value: The JSON object.
        fallback_id: Engine id if the object has none.

    Raises:
        ValueError: A key is unknown, or a value of the engine's shape is a string that is not a number.
        TypeError: A value of the engine's shape is neither a number nor a string.
    """
    own_keys = {"id", "host", "port", "key_ttl", "note_period", "seed"}
    shape_keys = set(EngineShape.__dataclass_fields__)
    unknown = set(value) - own_keys - shape_keys
    if unknown:
        raise ValueError(
            f"/{min(unknown)}: unknown key; expected one of {', '.join(sorted(own_keys | shape_keys))}"
        )
    shape = EngineShape(**{k: float(v) for k, v in value.items() if k in shape_keys})
    own_values = {k: v for k, v in value.items() if k in own_keys}
    return EngineConfig(own_values.pop("id", fallback_id), shape, **own_values)
