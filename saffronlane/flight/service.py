"""The Flight SQL service (Apache Arrow, format/Flight.proto and format/FlightSql.proto)."""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeVar

import structlog
from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import DecodeError, Message

from .. import dispatch
from ..config import Config
from ..engines import Executor
from ..engines.flight import FlightStatement, FlightTransport
from ..proto import flight_pb2 as flight
from ..proto import flight_sql_pb2 as sql
from ..proto.commands import SERVICE, packed
from ..rpc import Code, Handler, RpcError, ServerCall, Status
from ..rpc.status import error
from . import handles
from .errors import SqlError
from .identity import Identifier, Identity
from .sessions import Option, Session, Sessions, clear_cookie, set_cookie, user_of
from .sinks import CallSink, KeptSink
from .sql import Reader, Statement

log = structlog.get_logger()
PREFIX = "type.googleapis.com/"
PACKAGE = "arrow.flight.protocol.sql."
MOST_PUT = 16 * 1024 * 1024  # bytes of one DoPut, which are kept until the statement has run
TRACES = ("traceparent", "tracestate", "baggage")
MOST_PASSED = 16
ACTIONS = {
    "CreatePreparedStatement": "Prepare a statement.",
    "ClosePreparedStatement": "Forget a prepared statement.",
    "CancelFlightInfo": "Cancel the queries of a FlightInfo.",
    "SetSessionOptions": "Set class, tenant, key, order, cost, memory-mb or deadline-s for the session.",
    "GetSessionOptions": "Tell the session's options.",
    "CloseSession": "End the session.",
}


@dataclass(slots=True, eq=False)
class _Poll:
    request: int
    handle: handles.Handle
    sink: KeptSink
    seen: float


class FlightFront:
    """Turns calls into requests of an Executor. `handlers` is what an `rpc.Server` serves."""

    def __init__(self, config: Config, executor: Executor, transport: FlightTransport) -> None:
        self._config, self._executor, self._transport = config, executor, transport
        self._loop = asyncio.get_running_loop()
        self.sessions = Sessions(config.session_idle, config.sessions_most, self._loop.time)
        self._identifier = Identifier(config)
        self._reader = Reader(config.dialect, config.strict_sql, config.sql_cache)
        self._running: dict[bytes, set[int]] = {}  # requests by the nonce of their ticket
        self._polls: OrderedDict[bytes, _Poll] = OrderedDict()
        self._sweeper = self._loop.call_later(config.poll_keep / 4.0, self._sweep)
        names = ("Handshake", "GetFlightInfo", "PollFlightInfo", "DoGet", "DoPut", "DoAction", "ListActions")
        ours = (
            self.handshake,
            self.get_flight_info,
            self.poll_flight_info,
            self.do_get,
            self.do_put,
            self.do_action,
            self.list_actions,
        )
        self.handlers: dict[str, Handler] = {SERVICE + n: h for n, h in zip(names, ours, strict=True)}
        self._actions = {
            "CreatePreparedStatement": self._create_prepared,
            "ClosePreparedStatement": self._close_prepared,
            "CancelFlightInfo": self._cancel_flight_info,
            "SetSessionOptions": self._set_options,
            "GetSessionOptions": self._get_options,
            "CloseSession": self._close_session,
        }

    # --- sessions ---

    async def handshake(self, call: ServerCall) -> None:
        """Open a session for the user of a Basic header, and give its token."""
        await call.read()
        session = self.sessions.open(user_of(call.metadata))
        call.headers = (("authorization", f"Bearer {session.id}"),)
        await call.write(flight.HandshakeResponse(payload=session.id.encode()).SerializeToString())

    def _who(self, call: ServerCall) -> tuple[Session | None, str]:
        session = self.sessions.find(call.metadata)
        return session, session.user if session is not None else user_of(call.metadata)

    async def _set_options(self, call: ServerCall, body: bytes) -> bytes:
        request = _parse(flight.SetSessionOptionsRequest, body, "SetSessionOptions")
        result = flight.SetSessionOptionsResult()
        session = self.sessions.find(call.metadata)
        if session is None:
            session = self.sessions.open(user_of(call.metadata))
            call.headers = (set_cookie(session),)
        for name, raw in request.session_options.items():
            value = _option(raw)
            try:
                fault = "" if value is None else self._identifier.check_option(name, value)
            except KeyError:
                result.errors[name].value = flight.SetSessionOptionsResult.INVALID_NAME
                continue
            if fault:
                result.errors[name].value = flight.SetSessionOptionsResult.INVALID_VALUE
            elif value is None:
                session.options.pop(name, None)  # an empty value takes the option away
            else:
                session.options[name] = value
        return result.SerializeToString()

    async def _get_options(self, call: ServerCall, body: bytes) -> bytes:
        session = self.sessions.find(call.metadata)
        result = flight.GetSessionOptionsResult()
        for name, value in (session.options if session is not None else {}).items():
            result.session_options[name].CopyFrom(_option_message(value))
        return result.SerializeToString()

    async def _close_session(self, call: ServerCall, body: bytes) -> bytes:
        session = self.sessions.find(call.metadata)
        if session is not None:
            self.sessions.close(session)
            call.headers = (clear_cookie(),)
        return flight.CloseSessionResult(status=flight.CloseSessionResult.CLOSED).SerializeToString()

    # --- statements ---

    def _read(self, text: str) -> Statement:
        try:
            return self._reader.read(text)
        except SqlError as fault:
            raise error(Code.INVALID_ARGUMENT, str(fault), "SQL") from None

    def _identify(self, call: ServerCall, text: str) -> tuple[Statement, Identity, Session | None]:
        statement = self._read(text)
        session, user = self._who(call)
        return statement, self._identifier.identify(statement, session, call.metadata, user), session

    def _handle_of(self, command: AnyMessage, what: str) -> handles.Handle:
        """The statement of a query command."""
        name = _name(command)
        if name == "CommandStatementQuery":
            asked = _parse(sql.CommandStatementQuery, command.value, name)
            _no_transaction(asked.HasField("transaction_id"))
            return handles.make(asked.query)
        if name == "CommandPreparedStatementQuery":
            bound = _parse(sql.CommandPreparedStatementQuery, command.value, name)
            known = handles.unpack(bound.prepared_statement_handle, "prepared statement handle")
            return handles.make(known.query, known.batches, prepared=bool(known.batches))
        raise error(
            Code.UNIMPLEMENTED, f"{what}: command {name or command.type_url!r} is not served", "COMMAND"
        )

    async def get_flight_info(self, call: ServerCall) -> None:
        """Make a ticket. Nothing runs before its DoGet, which is when the request arrives."""
        descriptor = _parse(
            flight.FlightDescriptor, await call.read_single("GetFlightInfo"), "FlightDescriptor"
        )
        command = _command(descriptor.cmd, "FlightDescriptor.cmd")
        if _name(command) == "CommandGetSqlInfo":
            await call.write(_info(descriptor, descriptor.cmd).SerializeToString())
            return
        handle = self._handle_of(command, "GetFlightInfo")
        self._identify(call, handle.query)  # what is wrong is told now, not at DoGet
        await call.write(_info(descriptor, _ticket(handle)).SerializeToString())

    async def do_get(self, call: ServerCall) -> None:
        """Run the statement of a ticket and pass its result on."""
        ticket = _parse(flight.Ticket, await call.read_single("DoGet"), "Ticket")
        command = _command(ticket.ticket, "Ticket.ticket")
        name = _name(command)
        if name == "CommandGetSqlInfo":
            await self._sql_info(call, _parse(sql.CommandGetSqlInfo, command.value, name))
            return
        if name != "TicketStatementQuery":
            raise error(Code.NOT_FOUND, f"ticket of type {name or command.type_url!r} is not known", "TICKET")
        asked = _parse(sql.TicketStatementQuery, command.value, name)
        handle = handles.unpack(asked.statement_handle, "ticket")
        poll = self._polls.get(handle.nonce)
        if poll is not None:
            if poll.sink.taken:
                raise error(Code.FAILED_PRECONDITION, "the result of this query has been taken", "TAKEN")
            call.on_abandoned = lambda: self._end_poll(handle.nonce)
            call.finish(await poll.sink.pour(call))
            self._end_poll(handle.nonce)
            return
        statement, identity, session = self._identify(call, handle.query)
        await self._run(call, handle, statement, identity, session)

    async def _sql_info(self, call: ServerCall, asked: sql.CommandGetSqlInfo) -> None:
        try:
            from .arrow import sql_info

            messages = sql_info(list(asked.info))
        except ImportError:
            raise error(Code.UNIMPLEMENTED, "GetSqlInfo needs pyarrow at the gateway", "SQL_INFO") from None
        for message in messages:
            await call.write(message)

    def _submit(
        self,
        call: ServerCall,
        handle: handles.Handle,
        what: tuple[Statement, Identity],
        sink: CallSink | KeptSink,
    ) -> int:
        statement, identity = what
        remaining = identity.deadline
        if call.deadline is not None and isinstance(sink, CallSink):
            remaining = min(remaining, call.deadline - self._loop.time())
        update = isinstance(sink, CallSink) and call.path.endswith("DoPut")
        work = FlightStatement(handle.query, update, handle.batches, handle.prepared, _passed(call))
        return self._executor.submit(
            work,
            sink,
            lambda number: dispatch.Submit(
                number,
                identity.cls,
                remaining,
                identity.tenant,
                identity.order,
                identity.cost,
                identity.memory_mb,
                statement.group,
                is_write=statement.writes,
                idempotency_key=bytes.fromhex(identity.key),
            ),
            identity.key,
        )

    async def _run(
        self,
        call: ServerCall,
        handle: handles.Handle,
        statement: Statement,
        identity: Identity,
        session: Session | None,
    ) -> None:
        sink = CallSink(call)
        number = self._submit(call, handle, (statement, identity), sink)
        call.on_abandoned = lambda: self._executor.disconnect_client(number)
        log.debug("request", request=number, session=session.short if session else "", cls=identity.cls)
        self._running.setdefault(handle.nonce, set()).add(number)
        try:
            await sink.over
        finally:
            still = self._running.get(handle.nonce, set())
            still.discard(number)
            if not still:
                self._running.pop(handle.nonce, None)

    # --- polling ---

    async def poll_flight_info(self, call: ServerCall) -> None:
        """Start a query with the first poll; later polls tell its progress, and when there is a result."""
        descriptor = _parse(
            flight.FlightDescriptor, await call.read_single("PollFlightInfo"), "FlightDescriptor"
        )
        command = _command(descriptor.cmd, "FlightDescriptor.cmd")
        if _name(command) == "TicketStatementQuery":  # a descriptor that an earlier poll gave
            asked = _parse(sql.TicketStatementQuery, command.value, "TicketStatementQuery")
            handle = handles.unpack(asked.statement_handle, "poll descriptor")
            poll = self._polls.get(handle.nonce)
            if poll is None:
                raise error(Code.NOT_FOUND, "the query of this descriptor is over and forgotten", "POLL")
        else:
            handle = self._handle_of(command, "PollFlightInfo")
            statement, identity, _ = self._identify(call, handle.query)
            if len(self._polls) >= self._config.polls:
                raise error(Code.RESOURCE_EXHAUSTED, f"{self._config.polls} queries are polled for", "POLLS")
            sink = KeptSink(self._config.max_buffered_bytes)
            number = self._submit(call, handle, (statement, identity), sink)
            poll = self._polls[handle.nonce] = _Poll(number, handle, sink, self._loop.time())
        poll.seen = self._loop.time()
        self._polls.move_to_end(handle.nonce)
        wait = 0.2 if call.deadline is None else max(0.0, min(0.2, (call.deadline - poll.seen) / 2))
        with contextlib.suppress(
            TimeoutError
        ):  # a moment of waiting spares a fast query's client a second poll
            await asyncio.wait_for(poll.sink.ready.wait(), wait)
        status = poll.sink.status
        if status is not None and not status.ok:
            self._polls.pop(handle.nonce, None)
            raise RpcError(status)
        info = _info(descriptor, _ticket(handle))
        answer = flight.PollInfo(info=info, progress=poll.sink.progress)
        if not poll.sink.ready.is_set():
            again = flight.FlightDescriptor(type=flight.FlightDescriptor.CMD, cmd=_ticket(handle))
            answer.flight_descriptor.CopyFrom(again)
        await call.write(answer.SerializeToString())

    def _end_poll(self, nonce: bytes) -> None:
        poll = self._polls.pop(nonce, None)
        if poll is not None:
            poll.sink.drop()
            if poll.sink.status is None:
                self._executor.disconnect_client(poll.request)

    def _sweep(self) -> None:
        self._sweep_polls()
        self._sweeper = self._loop.call_later(self._config.poll_keep / 4.0, self._sweep)

    def close(self) -> None:
        self._sweeper.cancel()

    def _sweep_polls(self) -> None:
        """Results that nobody fetches are given up after a while."""
        limit = self._loop.time() - self._config.poll_keep
        for nonce, poll in list(self._polls.items()):
            if poll.seen > limit:
                break
            if not poll.sink.taken:
                self._end_poll(nonce)

    # --- updates and bound parameters ---

    async def do_put(self, call: ServerCall) -> None:
        first = _parse(flight.FlightData, await call.read_single("DoPut"), "FlightData")
        command = _command(first.flight_descriptor.cmd, "FlightData.flight_descriptor.cmd")
        name = _name(command)
        batches = await self._batches(call, first)
        if name == "CommandStatementUpdate":
            asked = _parse(sql.CommandStatementUpdate, command.value, name)
            _no_transaction(asked.HasField("transaction_id"))
            handle = handles.make(asked.query)
        elif name == "CommandPreparedStatementUpdate":
            bound = _parse(sql.CommandPreparedStatementUpdate, command.value, name)
            known = handles.unpack(bound.prepared_statement_handle, "prepared statement handle")
            handle = handles.make(known.query, batches or known.batches, prepared=True)
        elif name == "CommandPreparedStatementQuery":
            query = _parse(sql.CommandPreparedStatementQuery, command.value, name)
            known = handles.unpack(query.prepared_statement_handle, "prepared statement handle")
            if sum(map(len, batches)) > handles.MOST_BOUND:
                text = f"bound parameters pass {handles.MOST_BOUND} bytes"
                raise error(Code.RESOURCE_EXHAUSTED, text, "PARAMETERS")
            fresh = handles.pack(handles.make(known.query, batches, prepared=True))
            result = sql.DoPutPreparedStatementResult(prepared_statement_handle=fresh)
            await call.write(flight.PutResult(app_metadata=result.SerializeToString()).SerializeToString())
            return
        else:
            raise error(
                Code.UNIMPLEMENTED, f"DoPut: command {name or command.type_url!r} is not served", "COMMAND"
            )
        statement, identity, session = self._identify(call, handle.query)
        await self._run(call, handle, statement, identity, session)

    async def _batches(self, call: ServerCall, first: flight.FlightData) -> tuple[bytes, ...]:
        """The Arrow messages of a DoPut, without the descriptor; bounded."""
        batches: list[bytes] = []
        if first.data_header:
            rest = flight.FlightData(data_header=first.data_header, data_body=first.data_body)
            batches.append(rest.SerializeToString())
        size = sum(map(len, batches))
        while (message := await call.read()) is not None:
            size += len(message)
            if size > MOST_PUT:
                raise error(Code.RESOURCE_EXHAUSTED, f"DoPut of more than {MOST_PUT} bytes", "PARAMETERS")
            batches.append(message)
        return tuple(batches)

    # --- actions ---

    async def list_actions(self, call: ServerCall) -> None:
        await call.read()
        for name, text in ACTIONS.items():
            await call.write(flight.ActionType(type=name, description=text).SerializeToString())

    async def do_action(self, call: ServerCall) -> None:
        action = _parse(flight.Action, await call.read_single("DoAction"), "Action")
        doer = self._actions.get(action.type)
        if doer is None:
            raise error(Code.UNIMPLEMENTED, f"action {action.type!r} is not served", "ACTION")
        body = await doer(call, action.body)
        if body is not None:
            await call.write(flight.Result(body=body).SerializeToString())

    async def _create_prepared(self, call: ServerCall, body: bytes) -> bytes:
        asked = _unpack(sql.ActionCreatePreparedStatementRequest, body, "CreatePreparedStatement")
        _no_transaction(asked.HasField("transaction_id"))
        self._read(asked.query)
        handle = handles.pack(handles.make(asked.query))
        result = sql.ActionCreatePreparedStatementResult(prepared_statement_handle=handle)
        return packed(result).SerializeToString()

    async def _close_prepared(self, call: ServerCall, body: bytes) -> bytes | None:
        asked = _unpack(sql.ActionClosePreparedStatementRequest, body, "ClosePreparedStatement")
        handles.unpack(asked.prepared_statement_handle, "prepared statement handle")
        return None

    async def _cancel_flight_info(self, call: ServerCall, body: bytes) -> bytes:
        asked = _parse(flight.CancelFlightInfoRequest, body, "CancelFlightInfo")
        cancelled = False
        for endpoint in asked.info.endpoint:
            command = _command(endpoint.ticket.ticket, "FlightInfo.endpoint.ticket")
            ticket = _parse(sql.TicketStatementQuery, command.value, "TicketStatementQuery")
            nonce = handles.unpack(ticket.statement_handle, "ticket").nonce
            poll = self._polls.get(nonce)
            for number in list(self._running.get(nonce, ())) + ([poll.request] if poll is not None else []):
                cancelled = (
                    self._transport.cancel_request(number, Status(Code.CANCELLED, "cancelled")) or cancelled
                )
        status = flight.CANCEL_STATUS_CANCELLED if cancelled else flight.CANCEL_STATUS_NOT_CANCELLABLE
        return flight.CancelFlightInfoResult(status=status).SerializeToString()


M = TypeVar("M", bound=Message)


def _passed(call: ServerCall) -> tuple[tuple[str, str | bytes], ...]:
    """Headers of the client's that engines see too: traces, and what it names x-..."""
    chosen = [(n, v) for n, v in call.metadata.items if n in TRACES or n.startswith("x-")]
    # What cannot be sent on as a header is left out: it must not fail the client's own query.
    fit = [(n, v) for n, v in chosen if isinstance(v, bytes) or (v.isascii() and v.isprintable())]
    return tuple(fit[:MOST_PASSED])


def _parse(kind: type[M], data: bytes, what: str) -> M:
    try:
        return kind.FromString(data)
    except DecodeError:
        raise error(Code.INVALID_ARGUMENT, f"{what} does not decode", "PROTOBUF") from None


def _unpack(kind: type[M], data: bytes, what: str) -> M:
    """A message inside an Any; the Any's type must fit."""
    command = _command(data, what)
    if _name(command) != kind.DESCRIPTOR.name:
        raise error(Code.INVALID_ARGUMENT, f"{what} holds {command.type_url!r}", "PROTOBUF")
    return _parse(kind, command.value, what)


def _command(data: bytes, what: str) -> AnyMessage:
    return _parse(AnyMessage, data, what)


def _name(command: AnyMessage) -> str:
    """The name of a Flight SQL message; empty: it is something else."""
    whole = PREFIX + PACKAGE
    return command.type_url.removeprefix(whole) if command.type_url.startswith(whole) else ""


def _ticket(handle: handles.Handle) -> bytes:
    return packed(sql.TicketStatementQuery(statement_handle=handles.pack(handle))).SerializeToString()


def _info(descriptor: flight.FlightDescriptor, ticket: bytes) -> flight.FlightInfo:
    return flight.FlightInfo(
        flight_descriptor=descriptor,
        endpoint=[flight.FlightEndpoint(ticket=flight.Ticket(ticket=ticket))],
        total_records=-1,
        total_bytes=-1,
    )


def _no_transaction(told: bool) -> None:
    if told:
        raise error(Code.UNIMPLEMENTED, "transactions are not served", "TRANSACTION")


def _option(raw: flight.SessionOptionValue) -> Option | None:
    which = raw.WhichOneof("option_value")
    if which is None:
        return None
    if which == "string_list_value":
        return tuple(raw.string_list_value.values)
    value: Option = getattr(raw, which)
    return value


def _option_message(value: Option) -> flight.SessionOptionValue:
    if isinstance(value, bool):
        return flight.SessionOptionValue(bool_value=value)
    if isinstance(value, int):
        return flight.SessionOptionValue(int64_value=value)
    if isinstance(value, float):
        return flight.SessionOptionValue(double_value=value)
    if isinstance(value, tuple):
        wrapped = flight.SessionOptionValue.StringListValue(values=value)
        return flight.SessionOptionValue(string_list_value=wrapped)
    return flight.SessionOptionValue(string_value=value)
