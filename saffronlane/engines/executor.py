"""Carries out the dispatcher's effects on real engines, and tells it what came of them.

One Executor binds one `dispatch.Dispatcher` to a loop. What happens within one turn of the loop reaches the
dispatcher as one step, so that queries that arrive together compete by deadline. Results are held back until
the dispatcher allows them to leave; then they flow batch by batch, as fast as the client reads.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import structlog
from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import DecodeError, Message

from .. import dispatch as d
from .. import interface as api
from ..http2 import ConnectionLimits
from ..proto import flight_pb2 as flight
from ..proto import flight_sql_pb2 as sql
from ..proto.commands import SERVICE, descriptor, packed
from ..rpc import Channel, ClientCall, Code, Ending, RpcError, Status
from ..rpc.status import detailed
from ..storage import Change
from . import orca
from .outcomes import Verdict, classify
from .pool import ConnectFailed, Pool, PoolLimits

log = structlog.get_logger()
MOST_ERROR = 300  # characters of an engine's words in our own answer
Headers = tuple[tuple[str, str | bytes], ...]
Keep = Callable[[tuple[Change, ...], bool], "asyncio.Future[bool] | None"]


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

    def note(self, kind: api.NoteKind, amount: float) -> None: ...


@dataclass(slots=True, eq=False)
class _Request:
    id: int
    work: Work
    sink: Sink
    key: str  # that engines know the request by
    running: dict[int, _Running] = field(default_factory=dict)
    last_error: str = ""
    answered: bool = False


@dataclass(slots=True, eq=False)
class _Running:
    """One attempt under way."""

    request: _Request
    n: int
    engine: bytes
    effect: d.StartAttempt
    started: float
    task: asyncio.Task[None] | None = None
    call: ClientCall | None = None
    channel: Channel | None = None
    left: bool = False  # something of it has been handed to a connection
    heard: bool = False  # the engine has answered an earlier call of it
    committed: asyncio.Event = field(default_factory=asyncio.Event)
    passing: bool = False
    cancelled: bool = False
    told: bool = False  # its end
    saved: asyncio.Future[bool] | None = None  # what must be on disk before it leaves
    waited: float = 0.0  # seconds for that
    held: deque[bytes] = field(default_factory=deque)
    held_size: int = 0
    status: Status = field(default_factory=lambda: Status(Code.OK))


class Executor:
    """Runs requests through a dispatcher on engines.

    Args:
        dispatcher: decides; this object alone steps it.
        limits: of connections and of what is held back.
        address: host and port of an engine by its id; None: not known (any more).
        send_peer: carries a message to a peer gateway, or to all.
        name: of this gateway, told to the engines.
        keep: writes changes of what is known; asked to write ahead, it gives what tells when that is durable,
            and whether.
    """

    def __init__(
        self,
        dispatcher: d.Dispatcher,
        limits: ExecutorLimits,
        address: Callable[[bytes], tuple[str, int] | None],
        send_peer: Callable[[int | None, bytes], None] | None = None,
        name: str = "0",
        keep: Keep | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self._limits, self._address = limits, address
        self._send_peer = send_peer
        self._name = name
        self._keep = keep
        self._saving: asyncio.Future[bool] | None = None  # of this step
        self.unsaved = 0  # attempts that left though what must be on disk before them was not
        self._loop = asyncio.get_running_loop()
        self._inputs: list[d.Input] = []
        self._soon: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self._requests: dict[int, _Request] = {}
        self._pools: dict[bytes, Pool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._doers: dict[type, Callable[..., None]] = {
            d.StartAttempt: self._start,
            d.Keep: self._write,
            d.CancelAttempt: self._cancel,
            d.DiscardAttempt: self._discard,
            d.RecallAttempt: self._recall,
            d.Commit: self._commit,
            d.Serve: self._serve,
            d.RefuseRequest: self._refuse,
            d.FailRequest: self._fail,
            api.Probe: self._probe,
            api.CloseIdle: self._close_idle,
            api.Tell: self._tell,
            api.Log: self._say,
        }

    # --- the front's side ---

    def submit(self, work: Work, sink: Sink, arrival: Callable[[int], d.Submit], key: str = "") -> int:
        """Take a request; its answer comes by `sink`. Returns its number."""
        number = self.dispatcher.new_request()
        self._requests[number] = _Request(number, work, sink, key)
        self.feed(arrival(number))
        return number

    def client_gone(self, number: int) -> None:
        """The client does not want the answer any more."""
        request = self._requests.get(number)
        if request is not None and not request.answered:
            request.answered = True
            self.feed(d.ClientLeft(number))
            self._forget(request)

    def cancel_request(self, number: int, status: Status) -> bool:
        """The client takes a request back by another call: it ends with this status. Whether it was open."""
        request = self._requests.get(number)
        if request is None or request.answered:
            return False
        request.sink.end(status)
        self.client_gone(number)
        return True

    # --- stepping ---

    def feed(self, event: d.Input) -> None:
        """Tell the dispatcher something; it is stepped at the end of this turn of the loop."""
        self._inputs.append(event)
        if self._soon is None:
            self._soon = self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._soon = None
        inputs, self._inputs = self._inputs, []
        self._saving = None
        try:
            for effect in self.dispatcher.step(self._loop.time(), inputs):
                self._do(effect)
        finally:  # whatever went wrong, the next timer is not lost
            self._set_timer()

    def _do(self, effect: d.Effect) -> None:
        """Carry out one effect; one that fails takes no other with it."""
        doer = self._doers.get(type(effect))
        if doer is None:
            return
        try:
            doer(effect)
        except Exception:
            log.exception("effect failed", effect=repr(effect))
            if isinstance(effect, d.StartAttempt):
                self.feed(d.AttemptDone(effect.request, effect.attempt, api.Outcome.MOOT, 0.0))

    def _set_timer(self) -> None:
        at = self.dispatcher.next_wake
        if at == self._timer_at and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at = at
        if at < math.inf:
            self._timer = self._loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._soon is None:
            self._soon = self._loop.call_soon(self._step)

    # --- effects ---

    def _find(
        self, effect: d.CancelAttempt | d.DiscardAttempt | d.RecallAttempt | d.Commit | d.Serve
    ) -> _Running | None:
        request = self._requests.get(effect.request)
        return request.running.get(effect.attempt) if request is not None else None

    def _start(self, effect: d.StartAttempt) -> None:
        request = self._requests.get(effect.request)
        if request is None:  # its client has left in this very turn
            self.feed(d.AttemptDone(effect.request, effect.attempt, api.Outcome.MOOT, 0.0))
            return
        running = _Running(request, effect.attempt, effect.engine, effect, self._loop.time())
        running.saved = self._saving if effect.ahead else None
        request.running[effect.attempt] = running
        running.task = self._spawn(self._run(running))
        # Guards against a cancel before the task's first turn: its body never runs then, and tells nothing.
        running.task.add_done_callback(lambda _: self._done(running, Verdict(api.Outcome.MOOT)))

    def _write(self, effect: d.Keep) -> None:
        if self._keep is not None:
            saving = self._keep(effect.changes, effect.ahead)
            self._saving = saving if effect.ahead else self._saving

    async def _until_saved(self, running: _Running) -> None:
        """Wait for what a later run must know of it. A disk that hangs holds nothing up for long."""
        if running.saved is None:
            return
        began = self._loop.time()
        done, _ = await asyncio.wait({running.saved}, timeout=running.effect.ahead)
        running.waited = self._loop.time() - began
        if not done or not running.saved.result():
            self.unsaved += 1
            log.warning("attempt leaves unsaved", request=running.request.id, attempt=running.n)

    def _spawn(self, work: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self._loop.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _cancel(self, effect: d.CancelAttempt) -> None:
        running = self._find(effect)
        if running is not None and running.task is not None and not running.cancelled:
            running.cancelled = True
            running.task.cancel()

    def _discard(self, effect: d.DiscardAttempt) -> None:
        running = self._find(effect)
        if running is not None:
            running.passing = True  # read on to the end, into nothing
            running.held.clear()
            running.committed.set()
            running.cancelled = True

    def _recall(self, effect: d.RecallAttempt) -> None:
        running = self._find(effect)
        if running is not None and not running.left and running.task is not None:
            running.cancelled = True
            running.task.cancel()

    def _commit(self, effect: d.Commit) -> None:
        running = self._find(effect)
        if running is not None:
            running.committed.set()

    def _serve(self, effect: d.Serve) -> None:
        request = self._requests.get(effect.request)
        running = self._find(effect)
        if request is None or running is None:
            return
        if effect.fault:
            self._answer(request, running.status)
            return
        while running.held:
            request.sink.write_now(running.held.popleft())
        self._answer(request, Status(Code.OK))

    def _refuse(self, effect: d.RefuseRequest) -> None:
        request = self._requests.get(effect.request)
        if request is not None:
            text = effect.why + (f" ({request.last_error})" if request.last_error else "")
            about = {"request": str(request.id)}
            self._answer(request, detailed(Code.UNAVAILABLE, text, "REFUSED", effect.retry_after, about))

    def _fail(self, effect: d.FailRequest) -> None:
        request = self._requests.get(effect.request)
        if request is not None:
            text = effect.why + (f" ({request.last_error})" if request.last_error else "")
            self._answer(request, detailed(Code.ABORTED, text, "FAILED", None, {"request": str(request.id)}))

    def _answer(self, request: _Request, status: Status) -> None:
        if not request.answered:
            request.answered = True
            tell = log.info if status.code is Code.ABORTED else log.debug
            tell("answered", request=request.id, code=status.code.name, why=status.message)
            request.sink.end(status)
        self._forget(request)

    def _forget(self, request: _Request) -> None:
        if request.answered and not request.running:
            self._requests.pop(request.id, None)

    def _probe(self, effect: api.Probe) -> None:
        self._spawn(self._run_probe(effect.engine))

    def _close_idle(self, effect: api.CloseIdle) -> None:
        if effect.engine in self._pools:
            self._pools[effect.engine].close_idle()

    def _tell(self, effect: api.Tell) -> None:
        if self._send_peer is not None:
            self._send_peer(effect.peer, effect.data)

    def _say(self, effect: api.Log) -> None:
        text = effect.text
        for engine in self._pools:  # the module knows engines by the bytes of their names
            text = text.replace(engine.hex(), engine.decode("utf-8", "replace"))
        log.info("decision", text=text)

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
        ending = running.started + effect.timeout
        verdict: Verdict
        try:
            async with asyncio.timeout_at(ending):
                await self._until_saved(running)
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
            verdict = Verdict(api.Outcome.ERROR if running.left else api.Outcome.MOOT)
        except Exception as error:
            log.exception("attempt failed", request=running.request.id, attempt=running.n)
            running.request.last_error = repr(error)
            await self._stopped(running, api.Outcome.RESET)
            verdict = Verdict(api.Outcome.RESET if running.left else api.Outcome.MOOT)
        self._done(running, verdict)

    def _done(self, running: _Running, verdict: Verdict) -> None:
        if running.told:
            return
        running.told = True
        request, call = running.request, running.call
        elapsed = self._loop.time() - running.started - running.waited
        told = orca.Told()
        if call is not None and call.ending is Ending.STATUS:
            told = orca.read(call.trailers, self.dispatcher.settings.report_columns)
        if running.status.message and verdict.outcome is not api.Outcome.OK:
            name = running.engine.decode("utf-8", "replace")
            text = running.status.message[:MOST_ERROR]
            request.last_error = f"engine {name}: {running.status.code.name}: {text}"
        log.debug(
            "attempt ended",
            request=request.id,
            attempt=running.n,
            engine=running.engine.decode("utf-8", "replace"),
            outcome=verdict.outcome.name,
            elapsed=round(elapsed, 4),
        )
        pool = self._pools.get(running.engine)
        if pool is not None:
            pool.released()
        self.feed(
            d.AttemptDone(
                request.id,
                running.n,
                verdict.outcome,
                elapsed,
                told.work,
                told.memory_mb,
                told.report,
                verdict.fault,
            )
        )
        # The dispatcher answers in this turn's step; what is held must live until then.
        self._loop.call_soon(self._drop, running)

    def _drop(self, running: _Running) -> None:
        running.request.running.pop(running.n, None)
        self._forget(running.request)
        if self._address(running.engine) is None:  # it went from the list while this ran
            self.forget_engine(running.engine)

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
        return Verdict(outcome if running.left else api.Outcome.MOOT)

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
        left = running.started + effect.timeout - self._loop.time()
        extra: list[tuple[str, str | bytes]] = [
            ("saffronlane-gateway", self._name),
            ("saffronlane-request", str(running.request.id)),
            ("saffronlane-attempt", str(running.n)),
        ]
        if running.request.key:
            extra.append(("saffronlane-key", running.request.key))
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
                self.feed(d.AttemptNote(request.id, running.n, *note))
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
                self.feed(d.ResultReady(request.id, running.n))
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
            told = orca.read(call.trailers, self.dispatcher.settings.report_columns)
            status = call.status or Status(Code.UNKNOWN)
            outcome = classify(call.ending or Ending.RESET, status, heard=False).outcome
        except (ConnectFailed, RpcError):
            outcome = api.Outcome.CONNECT_FAILED
        except TimeoutError:
            outcome = api.Outcome.TIMEOUT
        self.feed(api.ProbeResult(engine, outcome, self._loop.time() - started, told.report))

    # --- the end ---

    async def finished(self) -> None:
        """Wait until nothing is owed and no attempt runs."""
        while self._requests or self._inputs:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """End at once."""
        for task in list(self._tasks):
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()
