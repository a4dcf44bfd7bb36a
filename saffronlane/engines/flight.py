"""The transport by Flight SQL: pooled channels to engines, results that flow batch by batch, gRPC answers.

Results are held back until the dispatcher allows them to leave; then they flow as fast as the client reads.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import structlog
from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import DecodeError, Message

from .. import dispatch
from .. import interface as api
from ..http2 import ConnectionLimits
from ..proto import flight_pb2 as flight
from ..proto import flight_sql_pb2 as sql
from ..proto.commands import SERVICE, descriptor, packed
from ..rpc import Channel, ClientCall, Code, Ending, RpcError, Status
from ..rpc.status import detailed
from . import orca
from .errors import ConnectFailed
from .executor import Executor
from .outcomes import Verdict, classify
from .pool import Pool, PoolLimits
from .transport import Attempt, Request

log = structlog.get_logger()
MOST_ERROR = 300  # characters of an engine's words in our own answer
Headers = tuple[tuple[str, str | bytes], ...]


@dataclass(frozen=True, slots=True)
class ExecutorLimits:
    """Bytes and seconds."""

    hold_back: int = 262_144  # of a result, until it is passed on for good
    cancel_wait: float = 1.0  # for the engine's sign that it has taken a cancel in
    pool: PoolLimits = field(default_factory=PoolLimits)
    http: ConnectionLimits | None = None


@dataclass(frozen=True, slots=True)
class Work:
    """A statement as an attempt runs it: a query by GetFlightInfo and DoGet, an update by DoPut.

    A `prepared` one is prepared at the engine first, and its `batches` (FlightData messages) are bound there.
    """

    query: str
    update: bool = False
    batches: tuple[bytes, ...] = ()
    prepared: bool = False
    headers: Headers = ()


class Sink(Protocol):
    """Where an answer goes; the front makes one for each request."""

    async def write(self, message: bytes) -> None:
        """Pass a part of the result on; waits while the client does not read."""

    def write_now(self, message: bytes) -> None: ...

    def end(self, status: Status) -> None:
        """The final answer. Called once."""

    def note(self, kind: api.ProgressKind, amount: float) -> None: ...


@dataclass(slots=True, eq=False)
class _Running(Attempt):
    """One attempt under way."""

    task: asyncio.Task[None] | None = None
    call: ClientCall | None = None
    channel: Channel | None = None
    left: bool = False  # something of it has been handed to a connection
    heard: bool = False  # the engine has answered an earlier call of it
    committed: asyncio.Event = field(default_factory=asyncio.Event)
    passing: bool = False
    cancelled: bool = False
    held: deque[bytes] = field(default_factory=deque)
    held_size: int = 0
    status: Status = field(default_factory=lambda: Status(Code.OK))


class FlightLinks:
    """Runs attempts at engines that speak Flight SQL, and ends the calls of their clients.

    Args:
        limits: of connections and of what is held back.
        address: host and port of an engine by its id; None: not known (any more).
        name: of this gateway, told to the engines.
    """

    def __init__(
        self,
        limits: ExecutorLimits,
        address: Callable[[bytes], tuple[str, int] | None],
        name: str = "0",
    ) -> None:
        self._limits, self._address, self._name = limits, address, name
        self._loop = asyncio.get_running_loop()
        self._executor: Executor
        self._pools: dict[bytes, Pool] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def bind(self, executor: Executor) -> None:
        self._executor = executor

    def cancel_request(self, number: int, status: Status) -> bool:
        """The client takes a request back by another call: it ends with this status. Whether it was open."""
        request = self._executor.open_request(number)
        if request is None:
            return False
        request.sink.end(status)
        self._executor.disconnect_client(number)
        return True

    # --- what the executor asks for ---

    def create_attempt(self, request: Request, effect: dispatch.StartAttempt, started_at: float) -> Attempt:
        return _Running(request, effect.attempt, effect.engine, effect, started_at)

    def begin(self, attempt: Attempt) -> None:
        assert isinstance(attempt, _Running)
        running = attempt
        running.task = self._spawn(self._run(running))
        # Guards against a cancel before the task's first turn: its body never runs then, and tells nothing.
        running.task.add_done_callback(lambda _: self._done(running, Verdict(api.Outcome.NOT_SENT)))

    def _spawn(self, work: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self._loop.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self, attempt: Attempt) -> None:
        assert isinstance(attempt, _Running)
        if attempt.task is not None and not attempt.cancelled:
            attempt.cancelled = True
            attempt.task.cancel()

    def discard(self, attempt: Attempt) -> None:
        assert isinstance(attempt, _Running)
        # Guards against an attempt that waits for its channel and is sent after its client has gone.
        self.withdraw(attempt)
        attempt.passing = True  # read on to the end, into nothing
        attempt.held.clear()
        attempt.committed.set()
        attempt.cancelled = True

    def withdraw(self, attempt: Attempt) -> None:
        assert isinstance(attempt, _Running)
        if not attempt.left and attempt.task is not None:
            attempt.cancelled = True
            attempt.task.cancel()

    def commit(self, attempt: Attempt) -> None:
        assert isinstance(attempt, _Running)
        attempt.committed.set()

    def complete(self, request: Request, attempt: Attempt, is_query_fault: bool) -> None:
        assert isinstance(attempt, _Running)
        if is_query_fault:
            self._answer(request, attempt.status)
            return
        while attempt.held:
            request.sink.write_now(attempt.held.popleft())
        self._answer(request, Status(Code.OK))

    def reject(self, request: Request, retry_after: float, reason: str) -> None:
        text = reason + (f" ({request.last_error})" if request.last_error else "")
        about = {"request": str(request.id)}
        self._answer(request, detailed(Code.UNAVAILABLE, text, "REFUSED", retry_after, about))

    def fail(self, request: Request, reason: str) -> None:
        text = reason + (f" ({request.last_error})" if request.last_error else "")
        self._answer(request, detailed(Code.ABORTED, text, "FAILED", None, {"request": str(request.id)}))

    def _answer(self, request: Request, status: Status) -> None:
        tell = log.info if status.code is Code.ABORTED else log.debug
        tell("answered", request=request.id, code=status.code.name, why=status.message)
        request.sink.end(status)

    def probe(self, engine: bytes) -> None:
        self._spawn(self._run_probe(engine))

    def close_idle(self, engine: bytes) -> None:
        if engine in self._pools:
            self._pools[engine].close_idle()

    def on_attempt_released(self, attempt: Attempt) -> None:
        if self._address(attempt.engine) is None:  # it went from the list while this ran
            self.forget_engine(attempt.engine)

    # --- attempts ---

    def _pool(self, engine: bytes) -> Pool | None:
        address = self._address(engine)
        pool = self._pools.get(engine)
        if pool is not None and address is not None and (pool.host, pool.port) != address:
            pool.close()  # the name moved to another address: nothing of the old one is used
            pool = None
        if pool is None and address is not None:
            pool = self._pools[engine] = Pool(*address, self._limits.pool, self._limits.http)
        return pool

    def forget_engine(self, engine: bytes) -> None:
        """Close what is idle of an engine that has gone from the list."""
        pool = self._pools.get(engine)
        if pool is not None:
            pool.close_idle()
            if pool.idle:
                del self._pools[engine]

    async def _run(self, running: _Running) -> None:
        effect = running.effect
        ending = running.started_at + effect.timeout
        verdict: Verdict
        try:
            async with asyncio.timeout_at(ending):
                if not await running.wait_until_durable():
                    self._executor.non_durable_count += 1
                    log.warning("attempt leaves unsaved", request=running.request.id, attempt=running.number)
                verdict = await self._talk(running)
        except TimeoutError:
            verdict = await self._stopped(running, api.Outcome.TIMEOUT)
        except asyncio.CancelledError:
            verdict = await self._stopped(running, api.Outcome.CANCELLED)
        except ConnectFailed as error:
            running.request.last_error = str(error)
            verdict = Verdict(api.Outcome.RESET if running.left else api.Outcome.CONNECT_FAILED)
        except (DecodeError, RpcError) as error:
            running.request.last_error = str(error)
            verdict = Verdict(api.Outcome.ERROR if running.left else api.Outcome.NOT_SENT)
        except Exception as error:
            log.exception("attempt failed", request=running.request.id, attempt=running.number)
            running.request.last_error = repr(error)
            await self._stopped(running, api.Outcome.RESET)
            verdict = Verdict(api.Outcome.RESET if running.left else api.Outcome.NOT_SENT)
        self._done(running, verdict)

    def _done(self, running: _Running, verdict: Verdict) -> None:
        if running.has_ended:
            return
        request, call = running.request, running.call
        elapsed = self._loop.time() - running.started_at - running.durability_wait
        told = orca.Told()
        if call is not None and call.ending is Ending.STATUS:
            told = orca.read(call.trailers, self._executor.dispatcher.settings.report_columns)
        if running.status.message and verdict.outcome is not api.Outcome.OK:
            name = running.engine.decode("utf-8", "replace")
            text = running.status.message[:MOST_ERROR]
            request.last_error = f"engine {name}: {running.status.code.name}: {text}"
        pool = self._pools.get(running.engine)
        if pool is not None:
            pool.released()
        self._executor.finish_attempt(
            running, verdict.outcome, elapsed, told.work, told.memory_mb, told.report, verdict.is_query_fault
        )

    async def _stopped(self, running: _Running, outcome: api.Outcome) -> Verdict:
        """Stop the attempt at its engine; told only once the engine has taken that in, or the wait is over.

        A PING follows the reset on the same connection: frames are taken in order, so its acknowledgement
        proves that the engine knows of the cancel, and a repeat elsewhere cannot overlap unknown to it.
        """
        call, channel = running.call, running.channel
        if call is not None and call.ending is None:
            if not call.cancel() and not running.heard:
                running.left = False
            elif channel is not None and not running.passing:
                with contextlib.suppress(asyncio.CancelledError):  # cancelled once more: it stays as it is
                    await channel.ping(self._limits.cancel_wait)
        return Verdict(outcome if running.left else api.Outcome.NOT_SENT)

    async def _talk(self, running: _Running) -> Verdict:
        """The whole exchange of an attempt with its engine."""
        work = running.request.work
        command: Message
        if work.prepared:
            handle = await self._prepare(running, work)
            if isinstance(handle, Verdict):
                return handle
            if work.update:
                command = sql.CommandPreparedStatementUpdate(prepared_statement_handle=handle)
            else:
                command = sql.CommandPreparedStatementQuery(prepared_statement_handle=handle)
        elif work.update:
            command = sql.CommandStatementUpdate(query=work.query)
        else:
            command = sql.CommandStatementQuery(query=work.query)
        if work.update:
            return await self._pass_on(running, await self._put(running, command, work.batches))
        answer = await self._ask(running, "GetFlightInfo", descriptor(command))
        if isinstance(answer, Verdict):
            return answer
        verdict = Verdict(api.Outcome.OK)  # of a result without endpoints, which is empty
        for endpoint in flight.FlightInfo.FromString(answer).endpoint:
            call = await self._call(running, "DoGet")
            call.write_now(endpoint.ticket.SerializeToString(), end=True)
            verdict = await self._pass_on(running, call)
            if verdict.outcome is not api.Outcome.OK:
                return verdict
        return verdict

    async def _ask(self, running: _Running, method: str, request: Message) -> bytes | Verdict:
        """One message there and one back; a Verdict where the attempt ends with it."""
        call = await self._call(running, method)
        call.write_now(request.SerializeToString(), end=True)
        answer = await call.read()
        while answer is not None and await call.read() is not None:
            pass
        verdict = self._ended(running, call)
        if verdict.outcome is not api.Outcome.OK:
            return verdict
        running.heard = True
        return answer if answer is not None else b""

    async def _prepare(self, running: _Running, work: Work) -> bytes | Verdict:
        """Prepare at the engine and bind what was bound here; the engine's handle."""
        request = packed(sql.ActionCreatePreparedStatementRequest(query=work.query))
        action = flight.Action(type="CreatePreparedStatement", body=request.SerializeToString())
        answer = await self._ask(running, "DoAction", action)
        if isinstance(answer, Verdict):
            return answer
        box = AnyMessage.FromString(flight.Result.FromString(answer).body)
        made = sql.ActionCreatePreparedStatementResult.FromString(box.value)
        handle = made.prepared_statement_handle
        if work.update or not work.batches:
            return handle
        command = sql.CommandPreparedStatementQuery(prepared_statement_handle=handle)
        call = await self._put(running, command, work.batches)
        bound = b""
        while (message := await call.read()) is not None:
            bound = bound or flight.PutResult.FromString(message).app_metadata
        verdict = self._ended(running, call)
        if verdict.outcome is not api.Outcome.OK:
            return verdict
        fresh = sql.DoPutPreparedStatementResult.FromString(bound)
        return fresh.prepared_statement_handle or handle

    async def _put(self, running: _Running, command: Message, batches: tuple[bytes, ...]) -> ClientCall:
        call = await self._call(running, "DoPut")
        # Joined messages are merged by protobuf, so the descriptor goes with the first batch as it is.
        first = flight.FlightData(flight_descriptor=descriptor(command)).SerializeToString()
        parts = [first + batches[0], *batches[1:]] if batches else [first]
        for part in parts[:-1]:
            await call.write(part)
        await call.write(parts[-1], end=True)
        return call

    async def _call(self, running: _Running, method: str) -> ClientCall:
        pool = self._pool(running.engine)
        if pool is None:
            raise ConnectFailed("the engine has no address")
        effect = running.effect
        channel = await pool.channel()
        left = running.started_at + effect.timeout - self._loop.time()
        extra: list[tuple[str, str | bytes]] = [
            ("saffronlane-gateway", self._name),
            ("saffronlane-request", str(running.request.id)),
            ("saffronlane-attempt", str(running.number)),
        ]
        if running.request.idempotency_key:
            extra.append(("saffronlane-key", running.request.idempotency_key))
        if effect.grant_mb:
            extra.append(("saffronlane-grant-mb", f"{effect.grant_mb:.1f}"))
        if effect.priority is not None:
            extra.append(("saffronlane-priority", str(effect.priority)))
        # No await between here and the call: a drain told meanwhile has recalled the attempt already.
        running.call = channel.start(SERVICE + method, running.request.work.headers + tuple(extra), left)
        running.channel = channel
        running.left = True
        return running.call

    def _ended(self, running: _Running, call: ClientCall) -> Verdict:
        running.status = call.status or Status(Code.UNKNOWN, "no status")
        return classify(call.ending or Ending.RESET, running.status, running.heard)

    async def _pass_on(self, running: _Running, call: ClientCall) -> Verdict:
        """Hold the result back up to the limit; past it, pass it on once the dispatcher allows."""
        request = running.request
        while (message := await call.read()) is not None:
            note = orca.read_note(message)
            if note is not None:
                self._executor.feed(dispatch.AttemptProgress(request.id, running.number, *note))
                request.sink.note(*note)
                continue
            if running.cancelled:
                continue
            if running.passing:
                await request.sink.write(message)
                continue
            running.held.append(message)
            running.held_size += len(message)
            if running.held_size > self._limits.hold_back:
                self._executor.feed(dispatch.ResultReady(request.id, running.number))
                await running.committed.wait()
                running.passing = True
                while running.held:
                    await request.sink.write(running.held.popleft())
        return self._ended(running, call)

    async def _run_probe(self, engine: bytes) -> None:
        """Ask an engine for its load: an action whose answer's trailers carry the report."""
        started = self._loop.time()
        outcome, told = api.Outcome.OK, orca.Told()
        try:
            pool = self._pool(engine)
            if pool is None:
                raise ConnectFailed("the engine has no address")
            async with asyncio.timeout(self._limits.pool.connect_timeout):
                channel = await pool.channel()
                call = channel.start(SERVICE + "ListActions", (("saffronlane-probe", "load"),))
                call.write_now(b"", end=True)
                while await call.read() is not None:
                    pass
            told = orca.read(call.trailers, self._executor.dispatcher.settings.report_columns)
            status = call.status or Status(Code.UNKNOWN)
            outcome = classify(call.ending or Ending.RESET, status, earlier_call_processed=False).outcome
        except (ConnectFailed, RpcError):
            outcome = api.Outcome.CONNECT_FAILED
        except TimeoutError:
            outcome = api.Outcome.TIMEOUT
        self._executor.feed(api.ProbeResult(engine, outcome, self._loop.time() - started, told.report))

    def close(self) -> None:
        """End at once."""
        for task in list(self._tasks):
            task.cancel()
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()
