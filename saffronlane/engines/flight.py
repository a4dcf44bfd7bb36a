"""The transport for Flight SQL: pooled channels to engines, streamed results, and gRPC answers to clients.

A result is buffered until the dispatcher commits the request to its attempt. From then on it is streamed as
fast as the client reads.
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

from .. import dispatch
from .. import interface as api
from ..http2 import ConnectionLimits
from ..proto import flight_pb2 as flight
from ..proto import flight_sql_pb2 as sql
from ..proto.commands import SERVICE, descriptor, pack_any
from ..rpc import Channel, ClientCall, Code, Ending, RpcError, Status
from ..rpc.status import detailed_status
from . import orca
from .errors import ConnectFailed, SendDeadlineExceeded
from .executor import Executor
from .outcomes import Verdict, classify
from .pool import Pool, PoolLimits
from .transport import Attempt, Request

log = structlog.get_logger()
MAX_ERROR_CHARACTERS = 300  # longer error messages of engines are truncated in answers to clients
Headers = tuple[tuple[str, str | bytes], ...]


@dataclass(frozen=True, slots=True)
class FlightTransportLimits:
    """The limits of the transport.

    Attributes:
        max_buffered_bytes: The size up to which a result is buffered before its attempt must be committed.
        cancel_ack_timeout: The seconds to wait for the engine to acknowledge a cancel.
        pool: The limits of the connections to each engine.
        http: The limits of each HTTP/2 connection, or None for the defaults.
    """

    max_buffered_bytes: int = 262_144
    cancel_ack_timeout: float = 1.0
    pool: PoolLimits = field(default_factory=PoolLimits)
    http: ConnectionLimits | None = None


@dataclass(frozen=True, slots=True)
class FlightStatement:
    """A statement to run: a query by GetFlightInfo and DoGet, or an update by DoPut.

    Attributes:
        query: The text of the statement.
        is_update: Whether the statement is an update.
        parameter_batches: FlightData messages with the parameters of the statement.
        is_prepared: Whether the statement is prepared at the engine before its parameters are bound.
        headers: gRPC headers that are sent along with every call.
    """

    query: str
    is_update: bool = False
    parameter_batches: tuple[bytes, ...] = ()
    is_prepared: bool = False
    headers: Headers = ()


class Sink(Protocol):
    """Receives the answer of one request. The Flight SQL front end creates one for each request."""

    async def write(self, message: bytes) -> None:
        """Send a part of the result. Waits while the client does not read."""

    def write_now(self, message: bytes) -> None:
        """Send a part of the result without waiting for the client."""
        ...

    def end(self, status: Status) -> None:
        """Send the final status. Called once."""

    def on_progress(self, kind: api.ProgressKind, amount: float) -> None:
        """Handle a progress report of the engine."""
        ...


@dataclass(slots=True, eq=False)
class _FlightAttempt(Attempt):
    """One attempt of this transport.

    Attributes:
        task: The task that runs the attempt.
        call: The latest call to the engine.
        channel: The channel of that call.
        was_sent: Whether a call of the attempt has been handed to a connection.
        earlier_call_processed: Whether the engine has answered an earlier call of the attempt.
        committed: Set once the request is committed to the result of the attempt.
        is_streaming: Whether the result is no longer buffered.
        is_cancelled: Whether the attempt has been cancelled, withdrawn or discarded.
        buffer: The messages of the result that have not been forwarded.
        buffered_bytes: The size of the messages that have been buffered.
        status: The status of the call that ended last.
    """

    task: asyncio.Task[None] | None = None
    call: ClientCall | None = None
    channel: Channel | None = None
    was_sent: bool = False
    earlier_call_processed: bool = False
    committed: asyncio.Event = field(default_factory=asyncio.Event)
    is_streaming: bool = False
    is_cancelled: bool = False
    buffer: deque[bytes] = field(default_factory=deque)
    buffered_bytes: int = 0
    status: Status = field(default_factory=lambda: Status(Code.OK))


class FlightTransport:
    """Runs attempts at engines by Flight SQL, and answers the calls of clients.

    Args:
        limits: The limits of connections and buffers.
        resolve_address: A function that returns host and port of an engine by its id, or None if the engine
            is not listed.
        gateway_name: The name of this gateway, which is sent to engines.
    """

    def __init__(
        self,
        limits: FlightTransportLimits,
        resolve_address: Callable[[bytes], tuple[str, int] | None],
        gateway_name: str = "0",
    ) -> None:
        self._limits, self._resolve_address, self._gateway_name = limits, resolve_address, gateway_name
        self._loop = asyncio.get_running_loop()
        self._executor: Executor
        self._pools: dict[bytes, Pool] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def bind(self, executor: Executor) -> None:
        """Set the executor that receives the ends of attempts and the results of probes."""
        self._executor = executor

    def cancel_request(self, number: int, status: Status) -> bool:
        """End a request that its client cancels by a separate call.

        Args:
            number: The number of the request.
            status: The final status of the request.

        Returns:
            Whether the request was unanswered.
        """
        request = self._executor.unanswered_request(number)
        if request is None:
            return False
        request.sink.end(status)
        self._executor.disconnect_client(number)
        return True

    # --- interface for the executor ---

    def create_attempt(self, request: Request, effect: dispatch.StartAttempt, started_at: float) -> Attempt:
        """Return a new attempt that does not run yet. `started_at` is the time of the event loop."""
        return _FlightAttempt(request, effect.attempt, effect.engine, effect, started_at)

    def begin(self, attempt: Attempt) -> None:
        """Start an attempt."""
        assert isinstance(attempt, _FlightAttempt)
        flight_attempt = attempt
        flight_attempt.task = self._spawn(self._run(flight_attempt))
        # A task that is cancelled before its first turn never runs its body, so this callback reports the end
        # of the attempt.
        flight_attempt.task.add_done_callback(
            lambda _: self._finish(flight_attempt, Verdict(api.Outcome.NOT_SENT))
        )

    def _spawn(self, coroutine: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self._loop.create_task(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at its engine."""
        assert isinstance(attempt, _FlightAttempt)
        if attempt.task is not None and not attempt.is_cancelled:
            attempt.is_cancelled = True
            attempt.task.cancel()

    def discard(self, attempt: Attempt) -> None:
        """Read the result of an attempt to its end and drop it, without cancelling the attempt."""
        assert isinstance(attempt, _FlightAttempt)
        # An attempt that still waits for a channel must not be sent any more: its result is not needed, for
        # example because the client has disconnected.
        self.withdraw(attempt)
        attempt.is_streaming = True  # the result is neither buffered nor forwarded
        attempt.buffer.clear()
        attempt.committed.set()
        attempt.is_cancelled = True

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt if it has not been sent yet."""
        assert isinstance(attempt, _FlightAttempt)
        if not attempt.was_sent and attempt.task is not None:
            attempt.is_cancelled = True
            attempt.task.cancel()

    def commit(self, attempt: Attempt) -> None:
        """Forward the result of this attempt to the client."""
        assert isinstance(attempt, _FlightAttempt)
        attempt.committed.set()

    def complete(self, request: Request, attempt: Attempt, is_query_fault: bool) -> None:
        """Answer with the result of an attempt, or with the engine's error if the query is at fault."""
        assert isinstance(attempt, _FlightAttempt)
        if is_query_fault:
            self._answer(request, attempt.status)
            return
        while attempt.buffer:
            request.sink.write_now(attempt.buffer.popleft())
        self._answer(request, Status(Code.OK))

    def reject(self, request: Request, retry_after: float, reason: str) -> None:
        """Answer that the request did not run and may be retried after `retry_after` seconds."""
        message = reason + (f" ({request.last_error})" if request.last_error else "")
        metadata = {"request": str(request.id)}
        self._answer(request, detailed_status(Code.UNAVAILABLE, message, "REFUSED", retry_after, metadata))

    def fail(self, request: Request, reason: str) -> None:
        """Answer that the request failed and may have run."""
        message = reason + (f" ({request.last_error})" if request.last_error else "")
        self._answer(
            request, detailed_status(Code.ABORTED, message, "FAILED", None, {"request": str(request.id)})
        )

    def _answer(self, request: Request, status: Status) -> None:
        log_event = log.info if status.code is Code.ABORTED else log.debug
        log_event("request answered", request=request.id, code=status.code.name, why=status.message)
        request.sink.end(status)

    def on_request_removed(self, request: Request) -> None:
        """Do nothing: what is kept for a request is dropped with it."""

    def probe(self, engine: bytes) -> None:
        """Request a load report from an engine. The result is passed to `Executor.feed`."""
        self._spawn(self._run_probe(engine))

    def close_idle(self, engine: bytes) -> None:
        """Close the idle connections to an engine."""
        if engine in self._pools:
            self._pools[engine].close_idle()

    def on_attempt_released(self, attempt: Attempt) -> None:
        """Close the idle connections to the engine of an ended attempt if it is not listed any more."""
        if (
            self._resolve_address(attempt.engine) is None
        ):  # the engine was removed from the list during the attempt
            self.remove_engine(attempt.engine)

    # --- attempts ---

    def _pool(self, engine: bytes) -> Pool | None:
        address = self._resolve_address(engine)
        pool = self._pools.get(engine)
        if pool is not None and address is not None and (pool.host, pool.port) != address:
            pool.close()  # the engine moved to another address, so its old connections are not used any more
            pool = None
        if pool is None and address is not None:
            pool = self._pools[engine] = Pool(*address, self._limits.pool, self._limits.http)
        return pool

    def remove_engine(self, engine: bytes) -> None:
        """Close the idle connections to an engine that is not listed any more.

        Its pool is removed if no call is in flight. Otherwise it is removed when the last attempt ends.
        """
        pool = self._pools.get(engine)
        if pool is not None:
            pool.close_idle()
            if pool.is_idle:
                del self._pools[engine]

    async def _run(self, attempt: _FlightAttempt) -> None:
        effect = attempt.effect
        deadline = attempt.started_at + effect.timeout
        verdict: Verdict
        try:
            async with asyncio.timeout_at(deadline):
                if not await attempt.wait_until_durable():
                    self._executor.non_durable_count += 1
                    log.warning(
                        "attempt sent before its write-ahead was durable",
                        request=attempt.request.id,
                        attempt=attempt.number,
                    )
                verdict = await self._execute(attempt)
        except TimeoutError:
            verdict = await self._stop_at_engine(attempt, api.Outcome.TIMEOUT)
        except asyncio.CancelledError:
            verdict = await self._stop_at_engine(attempt, api.Outcome.CANCELLED)
        except ConnectFailed as error:
            attempt.request.last_error = str(error)
            verdict = Verdict(api.Outcome.RESET if attempt.was_sent else api.Outcome.CONNECT_FAILED)
        except SendDeadlineExceeded as error:
            attempt.request.last_error = str(error)
            verdict = Verdict(api.Outcome.NOT_SENT)
        except (DecodeError, RpcError) as error:
            attempt.request.last_error = str(error)
            verdict = Verdict(api.Outcome.ERROR if attempt.was_sent else api.Outcome.NOT_SENT)
        except Exception as error:
            log.exception("attempt failed", request=attempt.request.id, attempt=attempt.number)
            attempt.request.last_error = repr(error)
            await self._stop_at_engine(attempt, api.Outcome.RESET)
            verdict = Verdict(api.Outcome.RESET if attempt.was_sent else api.Outcome.NOT_SENT)
        self._finish(attempt, verdict)

    def _finish(self, attempt: _FlightAttempt, verdict: Verdict) -> None:
        if attempt.has_ended:
            return
        request, call = attempt.request, attempt.call
        elapsed = self._loop.time() - attempt.started_at - attempt.durability_wait
        load_report = orca.LoadReport()
        if call is not None and call.ending is Ending.STATUS:
            load_report = orca.read_load_report(
                call.trailers, self._executor.dispatcher.settings.report_columns
            )
        if attempt.status.message and verdict.outcome is not api.Outcome.OK:
            engine_name = attempt.engine.decode("utf-8", "replace")
            message = attempt.status.message[:MAX_ERROR_CHARACTERS]
            request.last_error = f"engine {engine_name}: {attempt.status.code.name}: {message}"
        pool = self._pools.get(attempt.engine)
        if pool is not None:
            pool.on_call_ended()
        self._executor.finish_attempt(
            attempt,
            verdict.outcome,
            elapsed,
            load_report.work,
            load_report.memory_mb,
            load_report.column_values,
            verdict.is_query_fault,
        )

    async def _stop_at_engine(self, attempt: _FlightAttempt, outcome: api.Outcome) -> Verdict:
        """Cancel the attempt at its engine, and wait until the engine acknowledges the cancel or a timeout.

        A PING follows RST_STREAM on the same connection. Since frames are processed in order, the PING's
        acknowledgement proves that the engine has received the cancel. A retry at another engine therefore
        does not overlap with an attempt whose engine has not received the cancel.

        Returns:
            The given outcome, or NOT_SENT if nothing of the attempt was sent.
        """
        call, channel = attempt.call, attempt.channel
        if call is not None and call.ending is None:
            if not call.cancel() and not attempt.earlier_call_processed:
                attempt.was_sent = False
            elif channel is not None and not attempt.is_streaming:
                with contextlib.suppress(asyncio.CancelledError):  # a second cancel only ends the wait
                    await channel.ping(self._limits.cancel_ack_timeout)
        return Verdict(outcome if attempt.was_sent else api.Outcome.NOT_SENT)

    async def _execute(self, attempt: _FlightAttempt) -> Verdict:
        """Make all calls of an attempt to its engine, and stream the result."""
        statement = attempt.request.statement
        command: Message
        if statement.is_prepared:
            handle = await self._prepare_statement(attempt, statement)
            if isinstance(handle, Verdict):
                return handle
            if statement.is_update:
                command = sql.CommandPreparedStatementUpdate(prepared_statement_handle=handle)
            else:
                command = sql.CommandPreparedStatementQuery(prepared_statement_handle=handle)
        elif statement.is_update:
            command = sql.CommandStatementUpdate(query=statement.query)
        else:
            command = sql.CommandStatementQuery(query=statement.query)
        if statement.is_update:
            return await self._stream_result(
                attempt, await self._start_put(attempt, command, statement.parameter_batches)
            )
        answer = await self._call_unary(attempt, "GetFlightInfo", descriptor(command))
        if isinstance(answer, Verdict):
            return answer
        verdict = Verdict(api.Outcome.OK)  # for a FlightInfo without endpoints: the result is empty
        for endpoint in flight.FlightInfo.FromString(answer).endpoint:
            call = await self._start_call(attempt, "DoGet", has_send_deadline=False)
            call.write_now(endpoint.ticket.SerializeToString(), end=True)
            verdict = await self._stream_result(attempt, call)
            if verdict.outcome is not api.Outcome.OK:
                return verdict
        return verdict

    async def _call_unary(self, attempt: _FlightAttempt, method: str, request: Message) -> bytes | Verdict:
        """Make a call with one request message and one response message.

        Returns:
            The response, or the verdict that ends the attempt if the call failed.
        """
        call = await self._start_call(attempt, method)
        call.write_now(request.SerializeToString(), end=True)
        answer = await call.read()
        while answer is not None and await call.read() is not None:
            pass
        verdict = self._classify_end(attempt, call)
        if verdict.outcome is not api.Outcome.OK:
            return verdict
        attempt.earlier_call_processed = True
        return answer if answer is not None else b""

    async def _prepare_statement(
        self, attempt: _FlightAttempt, statement: FlightStatement
    ) -> bytes | Verdict:
        """Prepare the statement at the engine, and bind the parameters of a query.

        Returns:
            The engine's handle of the prepared statement, or the verdict that ends the attempt if a call
            failed.
        """
        request = pack_any(sql.ActionCreatePreparedStatementRequest(query=statement.query))
        action = flight.Action(type="CreatePreparedStatement", body=request.SerializeToString())
        answer = await self._call_unary(attempt, "DoAction", action)
        if isinstance(answer, Verdict):
            return answer
        envelope = AnyMessage.FromString(flight.Result.FromString(answer).body)
        prepared = sql.ActionCreatePreparedStatementResult.FromString(envelope.value)
        handle = prepared.prepared_statement_handle
        if statement.is_update or not statement.parameter_batches:
            return handle
        command = sql.CommandPreparedStatementQuery(prepared_statement_handle=handle)
        call = await self._start_put(attempt, command, statement.parameter_batches)
        put_metadata = b""
        while (message := await call.read()) is not None:
            put_metadata = put_metadata or flight.PutResult.FromString(message).app_metadata
        verdict = self._classify_end(attempt, call)
        if verdict.outcome is not api.Outcome.OK:
            return verdict
        put_result = sql.DoPutPreparedStatementResult.FromString(put_metadata)
        return put_result.prepared_statement_handle or handle

    async def _start_put(
        self, attempt: _FlightAttempt, command: Message, batches: tuple[bytes, ...]
    ) -> ClientCall:
        call = await self._start_call(attempt, "DoPut")
        # Concatenated protobuf messages merge on decoding, so the descriptor can precede the first batch.
        head = flight.FlightData(flight_descriptor=descriptor(command)).SerializeToString()
        messages = [head + batches[0], *batches[1:]] if batches else [head]
        for message in messages[:-1]:
            await call.write(message)
        await call.write(messages[-1], end=True)
        return call

    async def _channel_in_time(self, attempt: _FlightAttempt, pool: Pool) -> Channel:
        """Wait for a channel on which a call of the attempt leaves at once.

        Raises:
            SendDeadlineExceeded: There is none before the send deadline.
        """
        try:
            async with asyncio.timeout_at(attempt.send_deadline):
                channel = await pool.channel()
                await channel.wait_until_written()
        except TimeoutError:
            raise SendDeadlineExceeded(f"not sent within {attempt.effect.send_timeout:.3f} s") from None
        if self._loop.time() > attempt.send_deadline:  # without a wait above, its timeout does not expire
            raise SendDeadlineExceeded(f"not sent within {attempt.effect.send_timeout:.3f} s")
        return channel

    async def _start_call(
        self, attempt: _FlightAttempt, method: str, has_send_deadline: bool = True
    ) -> ClientCall:
        """Start a call of an attempt.

        Args:
            attempt: The attempt.
            method: The name of the method.
            has_send_deadline: Whether the send deadline of the attempt applies. It does not to a call that
                only fetches what an earlier call has run.

        Raises:
            ConnectFailed: The engine has no address or cannot be reached.
            SendDeadlineExceeded: The call could not be sent in time.
        """
        pool = self._pool(attempt.engine)
        if pool is None:
            raise ConnectFailed("no address: the engine is not in the endpoint list")
        effect = attempt.effect
        if has_send_deadline and attempt.send_deadline < math.inf:
            channel = await self._channel_in_time(attempt, pool)
        else:
            channel = await pool.channel()
        remaining = attempt.started_at + effect.timeout - self._loop.time()
        attempt_headers: list[tuple[str, str | bytes]] = [
            ("saffronlane-gateway", self._gateway_name),
            ("saffronlane-request", str(attempt.request.id)),
            ("saffronlane-attempt", str(attempt.number)),
        ]
        if attempt.request.idempotency_key:
            attempt_headers.append(("saffronlane-key", attempt.request.idempotency_key))
        if effect.grant_mb:
            attempt_headers.append(("saffronlane-grant-mb", f"{effect.grant_mb:.1f}"))
        if effect.priority is not None:
            attempt_headers.append(("saffronlane-priority", str(effect.priority)))
        # There is no await from here to the start of the call. A withdrawal during the wait for a channel has
        # cancelled this task, so that a withdrawn attempt is never sent.
        attempt.call = channel.start(
            SERVICE + method, attempt.request.statement.headers + tuple(attempt_headers), remaining
        )
        attempt.channel = channel
        attempt.was_sent = True
        return attempt.call

    def _classify_end(self, attempt: _FlightAttempt, call: ClientCall) -> Verdict:
        attempt.status = call.status or Status(Code.UNKNOWN, "no status")
        return classify(call.ending or Ending.RESET, attempt.status, attempt.earlier_call_processed)

    async def _stream_result(self, attempt: _FlightAttempt, call: ClientCall) -> Verdict:
        """Read the result of a call.

        The result is buffered up to a limit. A larger result is streamed to the client once the dispatcher
        has committed the request to this attempt.
        """
        request = attempt.request
        while (message := await call.read()) is not None:
            progress = orca.decode_progress_report(message)
            if progress is not None:
                self._executor.feed(dispatch.AttemptProgress(request.id, attempt.number, *progress))
                request.sink.on_progress(*progress)
                continue
            if attempt.is_cancelled:
                continue
            if attempt.is_streaming:
                await request.sink.write(message)
                continue
            attempt.buffer.append(message)
            attempt.buffered_bytes += len(message)
            if attempt.buffered_bytes > self._limits.max_buffered_bytes:
                self._executor.feed(dispatch.ResultReady(request.id, attempt.number))
                await attempt.committed.wait()
                attempt.is_streaming = True
                while attempt.buffer:
                    await request.sink.write(attempt.buffer.popleft())
        return self._classify_end(attempt, call)

    async def _run_probe(self, engine: bytes) -> None:
        """Request a load report by a ListActions call, whose trailers carry the report."""
        started_at = self._loop.time()
        outcome, load_report = api.Outcome.OK, orca.LoadReport()
        try:
            pool = self._pool(engine)
            if pool is None:
                raise ConnectFailed("no address: the engine is not in the endpoint list")
            async with asyncio.timeout(self._limits.pool.connect_timeout):
                channel = await pool.channel()
                call = channel.start(SERVICE + "ListActions", (("saffronlane-probe", "load"),))
                call.write_now(b"", end=True)
                while await call.read() is not None:
                    pass
            load_report = orca.read_load_report(
                call.trailers, self._executor.dispatcher.settings.report_columns
            )
            status = call.status or Status(Code.UNKNOWN)
            outcome = classify(call.ending or Ending.RESET, status, earlier_call_processed=False).outcome
        except (ConnectFailed, RpcError):
            outcome = api.Outcome.CONNECT_FAILED
        except TimeoutError:
            outcome = api.Outcome.TIMEOUT
        self._executor.feed(
            api.ProbeResult(engine, outcome, self._loop.time() - started_at, load_report.column_values)
        )

    def close(self) -> None:
        """Cancel all attempts and close all connections immediately."""
        for task in list(self._tasks):
            task.cancel()
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()
