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
from ..proto.commands import SERVICE, pack_any
from ..rpc import Code, Handler, RpcError, ServerCall, Status
from ..rpc.status import rpc_error
from . import handles
from .errors import SqlError
from .identity import Identity, IdentityResolver
from .sessions import (
    OptionValue,
    Session,
    Sessions,
    basic_auth_user,
    clear_cookie_header,
    set_cookie_header,
)
from .sinks import CallSink, PolledResultSink
from .sql import Statement, StatementParser

log = structlog.get_logger()
TYPE_URL_PREFIX = "type.googleapis.com/"
FLIGHT_SQL_PACKAGE = "arrow.flight.protocol.sql."
MAX_PUT_BYTES = 16 * 1024 * 1024  # the data of a DoPut is held in memory until its statement has run
TRACE_HEADERS = ("traceparent", "tracestate", "baggage")
MAX_FORWARDED_HEADERS = 16
ACTION_DESCRIPTIONS = {
    "CreatePreparedStatement": "Prepare a statement.",
    "ClosePreparedStatement": "Forget a prepared statement.",
    "CancelFlightInfo": "Cancel the queries of a FlightInfo.",
    "SetSessionOptions": "Set class, tenant, key, order, cost, memory-mb or deadline-s for the session.",
    "GetSessionOptions": "Tell the session's options.",
    "CloseSession": "End the session.",
}


@dataclass(slots=True, eq=False)
class _PolledQuery:
    """A query that was started by PollFlightInfo.

    Attributes:
        request_number: The number of the request that runs the query.
        handle: The handle of the statement.
        sink: The sink that buffers the result.
        last_polled_at: The time of the last poll.
    """

    request_number: int
    handle: handles.Handle
    sink: PolledResultSink
    last_polled_at: float


class FlightSqlService:
    """Handles the calls of Flight SQL clients, and submits their statements to an executor.

    Args:
        config: The configuration of the gateway.
        executor: The executor that runs the requests.
        transport: The executor's transport, which cancels requests.

    Attributes:
        sessions: The open sessions.
        handlers: The call handlers for an `rpc.Server`, by the full path of the gRPC method.
    """

    def __init__(self, config: Config, executor: Executor, transport: FlightTransport) -> None:
        self._config, self._executor, self._transport = config, executor, transport
        self._loop = asyncio.get_running_loop()
        self.sessions = Sessions(config.session_idle_timeout, config.max_sessions, self._loop.time)
        self._identity_resolver = IdentityResolver(config)
        self._parser = StatementParser(config.dialect, config.strict_sql, config.max_cached_statements)
        self._running_requests: dict[bytes, set[int]] = {}  # request numbers by the nonce of their ticket
        self._polled_queries: OrderedDict[bytes, _PolledQuery] = OrderedDict()  # by nonce, oldest poll first
        self._expiry_timer = self._loop.call_later(config.polled_result_ttl / 4.0, self._on_expiry_timer)
        method_names = (
            "Handshake",
            "GetFlightInfo",
            "PollFlightInfo",
            "DoGet",
            "DoPut",
            "DoAction",
            "ListActions",
        )
        methods = (
            self.handshake,
            self.get_flight_info,
            self.poll_flight_info,
            self.do_get,
            self.do_put,
            self.do_action,
            self.list_actions,
        )
        self.handlers: dict[str, Handler] = {
            SERVICE + name: method for name, method in zip(method_names, methods, strict=True)
        }
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
        """Open a session for the user of the Basic header, and return its bearer token."""
        await call.read()
        session = self.sessions.open(basic_auth_user(call.metadata))
        call.headers = (("authorization", f"Bearer {session.id}"),)
        await call.write(flight.HandshakeResponse(payload=session.id.encode()).SerializeToString())

    def _session_and_user(self, call: ServerCall) -> tuple[Session | None, str]:
        session = self.sessions.find(call.metadata)
        return session, session.user if session is not None else basic_auth_user(call.metadata)

    async def _set_options(self, call: ServerCall, body: bytes) -> bytes:
        request = _parse(flight.SetSessionOptionsRequest, body, "SetSessionOptions")
        result = flight.SetSessionOptionsResult()
        session = self.sessions.find(call.metadata)
        if session is None:
            session = self.sessions.open(basic_auth_user(call.metadata))
            call.headers = (set_cookie_header(session),)
        for name, raw in request.session_options.items():
            value = _option_value(raw)
            try:
                problem = "" if value is None else self._identity_resolver.check_option(name, value)
            except KeyError:
                result.errors[name].value = flight.SetSessionOptionsResult.INVALID_NAME
                continue
            if problem:
                result.errors[name].value = flight.SetSessionOptionsResult.INVALID_VALUE
            elif value is None:
                session.options.pop(name, None)  # an empty value removes the option
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
            call.headers = (clear_cookie_header(),)
        return flight.CloseSessionResult(status=flight.CloseSessionResult.CLOSED).SerializeToString()

    # --- statements ---

    def _parse_statement(self, text: str) -> Statement:
        try:
            return self._parser.parse(text)
        except SqlError as error:
            raise rpc_error(Code.INVALID_ARGUMENT, str(error), "SQL") from None

    def _identify(self, call: ServerCall, text: str) -> tuple[Statement, Identity, Session | None]:
        """Parse a statement, and return it with its identity and the session of the call."""
        statement = self._parse_statement(text)
        session, user = self._session_and_user(call)
        return statement, self._identity_resolver.identify(statement, session, call.metadata, user), session

    def _make_handle(self, command: AnyMessage, method: str) -> handles.Handle:
        """Create a handle of the statement in a query command.

        Args:
            command: The command of the client.
            method: The gRPC method that has received the command, for the error message.
        """
        name = _command_name(command)
        if name == "CommandStatementQuery":
            query = _parse(sql.CommandStatementQuery, command.value, name)
            _reject_transaction(query.HasField("transaction_id"))
            return handles.make(query.query)
        if name == "CommandPreparedStatementQuery":
            prepared_query = _parse(sql.CommandPreparedStatementQuery, command.value, name)
            prepared = handles.unpack(prepared_query.prepared_statement_handle, "prepared statement handle")
            return handles.make(prepared.query, prepared.batches, is_prepared=bool(prepared.batches))
        raise rpc_error(
            Code.UNIMPLEMENTED, f"{method}: command {name or command.type_url!r} is not supported", "COMMAND"
        )

    async def get_flight_info(self, call: ServerCall) -> None:
        """Return a ticket for a statement. The statement runs when the client calls DoGet with the ticket."""
        descriptor = _parse(
            flight.FlightDescriptor, await call.read_single("GetFlightInfo"), "FlightDescriptor"
        )
        command = _parse_any(descriptor.cmd, "FlightDescriptor.cmd")
        if _command_name(command) == "CommandGetSqlInfo":
            await call.write(_flight_info(descriptor, descriptor.cmd).SerializeToString())
            return
        handle = self._make_handle(command, "GetFlightInfo")
        self._identify(call, handle.query)  # an invalid statement is rejected now, not at DoGet
        await call.write(_flight_info(descriptor, _encode_ticket(handle)).SerializeToString())

    async def do_get(self, call: ServerCall) -> None:
        """Send the result of a ticket.

        The result of a polled query is sent from its buffer. For any other ticket, the statement is run now.
        """
        ticket = _parse(flight.Ticket, await call.read_single("DoGet"), "Ticket")
        command = _parse_any(ticket.ticket, "Ticket.ticket")
        name = _command_name(command)
        if name == "CommandGetSqlInfo":
            await self._send_sql_info(call, _parse(sql.CommandGetSqlInfo, command.value, name))
            return
        if name != "TicketStatementQuery":
            raise rpc_error(Code.NOT_FOUND, f"unknown ticket type {name or command.type_url!r}", "TICKET")
        statement_ticket = _parse(sql.TicketStatementQuery, command.value, name)
        handle = handles.unpack(statement_ticket.statement_handle, "ticket")
        polled_query = self._polled_queries.get(handle.nonce)
        if polled_query is not None:
            if polled_query.sink.is_claimed:
                raise rpc_error(
                    Code.FAILED_PRECONDITION,
                    "the result of this query is being fetched by another DoGet",
                    "TAKEN",
                )
            call.on_abandoned = lambda: self._remove_polled_query(handle.nonce)
            call.finish(await polled_query.sink.forward_to(call))
            self._remove_polled_query(handle.nonce)
            return
        statement, identity, session = self._identify(call, handle.query)
        await self._run(call, handle, statement, identity, session)

    async def _send_sql_info(self, call: ServerCall, request: sql.CommandGetSqlInfo) -> None:
        try:
            from .arrow import sql_info

            messages = sql_info(list(request.info))
        except ImportError:
            raise rpc_error(
                Code.UNIMPLEMENTED,
                "GetSqlInfo needs pyarrow, which is not installed at the gateway",
                "SQL_INFO",
            ) from None
        for message in messages:
            await call.write(message)

    def _submit(
        self,
        call: ServerCall,
        handle: handles.Handle,
        identified_statement: tuple[Statement, Identity],
        sink: CallSink | PolledResultSink,
    ) -> int:
        """Submit a request and return its number."""
        statement, identity = identified_statement
        timeout = identity.timeout
        # A polled query continues after the call that has started it, so the call's deadline does not apply.
        if call.deadline is not None and isinstance(sink, CallSink):
            timeout = min(timeout, call.deadline - self._loop.time())
        is_update = isinstance(sink, CallSink) and call.path.endswith("DoPut")
        flight_statement = FlightStatement(
            handle.query, is_update, handle.batches, handle.is_prepared, _forwarded_headers(call)
        )
        return self._executor.submit(
            flight_statement,
            sink,
            lambda number: dispatch.Submit(
                number,
                identity.class_index,
                timeout,
                identity.tenant_index,
                identity.ordering_key,
                identity.estimated_cost,
                identity.estimated_memory_mb,
                statement.table_group,
                is_write=statement.is_write,
                idempotency_key=bytes.fromhex(identity.idempotency_key),
            ),
            identity.idempotency_key,
        )

    async def _run(
        self,
        call: ServerCall,
        handle: handles.Handle,
        statement: Statement,
        identity: Identity,
        session: Session | None,
    ) -> None:
        """Submit a request whose answer is written to the call, and wait for the end of the answer."""
        sink = CallSink(call)
        number = self._submit(call, handle, (statement, identity), sink)
        call.on_abandoned = lambda: self._executor.disconnect_client(number)
        log.debug(
            "request submitted",
            request=number,
            session=session.log_id if session else "",
            cls=identity.class_index,
        )
        self._running_requests.setdefault(handle.nonce, set()).add(number)
        try:
            await sink.ended
        finally:
            numbers = self._running_requests.get(handle.nonce, set())
            numbers.discard(number)
            if not numbers:
                self._running_requests.pop(handle.nonce, None)

    # --- polling ---

    async def poll_flight_info(self, call: ServerCall) -> None:
        """Start a query at the first poll. Each poll reports its progress until DoGet can fetch a result."""
        descriptor = _parse(
            flight.FlightDescriptor, await call.read_single("PollFlightInfo"), "FlightDescriptor"
        )
        command = _parse_any(descriptor.cmd, "FlightDescriptor.cmd")
        if _command_name(command) == "TicketStatementQuery":  # the descriptor was returned by an earlier poll
            ticket = _parse(sql.TicketStatementQuery, command.value, "TicketStatementQuery")
            handle = handles.unpack(ticket.statement_handle, "poll descriptor")
            polled_query = self._polled_queries.get(handle.nonce)
            if polled_query is None:
                raise rpc_error(
                    Code.NOT_FOUND, "the query has ended and its result is no longer available", "POLL"
                )
        else:
            handle = self._make_handle(command, "PollFlightInfo")
            statement, identity, _ = self._identify(call, handle.query)
            if len(self._polled_queries) >= self._config.max_polled_queries:
                raise rpc_error(
                    Code.RESOURCE_EXHAUSTED,
                    f"the limit of {self._config.max_polled_queries} polled queries is reached",
                    "POLLS",
                )
            sink = PolledResultSink(self._config.max_buffered_bytes)
            number = self._submit(call, handle, (statement, identity), sink)
            polled_query = self._polled_queries[handle.nonce] = _PolledQuery(
                number, handle, sink, self._loop.time()
            )
        polled_query.last_polled_at = self._loop.time()
        self._polled_queries.move_to_end(handle.nonce)
        timeout = (
            0.2
            if call.deadline is None
            else max(0.0, min(0.2, (call.deadline - polled_query.last_polled_at) / 2))
        )
        with contextlib.suppress(TimeoutError):  # the short wait saves clients of fast queries a second poll
            await asyncio.wait_for(polled_query.sink.ready.wait(), timeout)
        status = polled_query.sink.status
        if status is not None and not status.ok:
            self._polled_queries.pop(handle.nonce, None)
            raise RpcError(status)
        info = _flight_info(descriptor, _encode_ticket(handle))
        answer = flight.PollInfo(info=info, progress=polled_query.sink.progress)
        if not polled_query.sink.ready.is_set():
            next_descriptor = flight.FlightDescriptor(
                type=flight.FlightDescriptor.CMD, cmd=_encode_ticket(handle)
            )
            answer.flight_descriptor.CopyFrom(next_descriptor)
        await call.write(answer.SerializeToString())

    def _remove_polled_query(self, nonce: bytes) -> None:
        """Discard the result of a polled query, and abandon its request if the request has not ended."""
        polled_query = self._polled_queries.pop(nonce, None)
        if polled_query is not None:
            polled_query.sink.discard()
            if polled_query.sink.status is None:
                self._executor.disconnect_client(polled_query.request_number)

    def _on_expiry_timer(self) -> None:
        self._remove_expired_polled_queries()
        self._expiry_timer = self._loop.call_later(
            self._config.polled_result_ttl / 4.0, self._on_expiry_timer
        )

    def close(self) -> None:
        """Stop the timer that discards expired results."""
        self._expiry_timer.cancel()

    def _remove_expired_polled_queries(self) -> None:
        """Discard results whose last poll is older than `polled_result_ttl`, unless a DoGet fetches them."""
        expiry_cutoff = self._loop.time() - self._config.polled_result_ttl
        for nonce, polled_query in list(self._polled_queries.items()):
            if polled_query.last_polled_at > expiry_cutoff:
                break
            if not polled_query.sink.is_claimed:
                self._remove_polled_query(nonce)

    # --- updates and bound parameters ---

    async def do_put(self, call: ServerCall) -> None:
        """Run an update, or bind parameters to a prepared statement."""
        first_message = _parse(flight.FlightData, await call.read_single("DoPut"), "FlightData")
        command = _parse_any(first_message.flight_descriptor.cmd, "FlightData.flight_descriptor.cmd")
        name = _command_name(command)
        batches = await self._read_batches(call, first_message)
        if name == "CommandStatementUpdate":
            update = _parse(sql.CommandStatementUpdate, command.value, name)
            _reject_transaction(update.HasField("transaction_id"))
            handle = handles.make(update.query)
        elif name == "CommandPreparedStatementUpdate":
            prepared_update = _parse(sql.CommandPreparedStatementUpdate, command.value, name)
            prepared = handles.unpack(prepared_update.prepared_statement_handle, "prepared statement handle")
            handle = handles.make(prepared.query, batches or prepared.batches, is_prepared=True)
        elif name == "CommandPreparedStatementQuery":
            prepared_query = _parse(sql.CommandPreparedStatementQuery, command.value, name)
            prepared = handles.unpack(prepared_query.prepared_statement_handle, "prepared statement handle")
            if sum(map(len, batches)) > handles.MAX_PARAMETER_BYTES:
                text = f"bound parameters exceed {handles.MAX_PARAMETER_BYTES} bytes"
                raise rpc_error(Code.RESOURCE_EXHAUSTED, text, "PARAMETERS")
            bound_handle = handles.pack(handles.make(prepared.query, batches, is_prepared=True))
            result = sql.DoPutPreparedStatementResult(prepared_statement_handle=bound_handle)
            await call.write(flight.PutResult(app_metadata=result.SerializeToString()).SerializeToString())
            return
        else:
            raise rpc_error(
                Code.UNIMPLEMENTED, f"DoPut: command {name or command.type_url!r} is not supported", "COMMAND"
            )
        statement, identity, session = self._identify(call, handle.query)
        await self._run(call, handle, statement, identity, session)

    async def _read_batches(self, call: ServerCall, first_message: flight.FlightData) -> tuple[bytes, ...]:
        """Return the serialized FlightData messages of a DoPut.

        The descriptor of the first message is removed. The first message is omitted if it has no data header.

        Raises:
            RpcError: RESOURCE_EXHAUSTED if the messages exceed `MAX_PUT_BYTES`.
        """
        batches: list[bytes] = []
        if first_message.data_header:
            data = flight.FlightData(data_header=first_message.data_header, data_body=first_message.data_body)
            batches.append(data.SerializeToString())
        size = sum(map(len, batches))
        while (message := await call.read()) is not None:
            size += len(message)
            if size > MAX_PUT_BYTES:
                raise rpc_error(
                    Code.RESOURCE_EXHAUSTED, f"the data of DoPut exceeds {MAX_PUT_BYTES} bytes", "PARAMETERS"
                )
            batches.append(message)
        return tuple(batches)

    # --- actions ---

    async def list_actions(self, call: ServerCall) -> None:
        """Return the name and description of each action."""
        await call.read()
        for name, description in ACTION_DESCRIPTIONS.items():
            await call.write(flight.ActionType(type=name, description=description).SerializeToString())

    async def do_action(self, call: ServerCall) -> None:
        """Run an action."""
        action = _parse(flight.Action, await call.read_single("DoAction"), "Action")
        handler = self._actions.get(action.type)
        if handler is None:
            raise rpc_error(Code.UNIMPLEMENTED, f"action {action.type!r} is not supported", "ACTION")
        body = await handler(call, action.body)
        if body is not None:
            await call.write(flight.Result(body=body).SerializeToString())

    async def _create_prepared(self, call: ServerCall, body: bytes) -> bytes:
        request = _unpack(sql.ActionCreatePreparedStatementRequest, body, "CreatePreparedStatement")
        _reject_transaction(request.HasField("transaction_id"))
        self._parse_statement(request.query)
        handle = handles.pack(handles.make(request.query))
        result = sql.ActionCreatePreparedStatementResult(prepared_statement_handle=handle)
        return pack_any(result).SerializeToString()

    async def _close_prepared(self, call: ServerCall, body: bytes) -> bytes | None:
        request = _unpack(sql.ActionClosePreparedStatementRequest, body, "ClosePreparedStatement")
        handles.unpack(request.prepared_statement_handle, "prepared statement handle")
        return None

    async def _cancel_flight_info(self, call: ServerCall, body: bytes) -> bytes:
        request = _parse(flight.CancelFlightInfoRequest, body, "CancelFlightInfo")
        is_cancelled = False
        for endpoint in request.info.endpoint:
            command = _parse_any(endpoint.ticket.ticket, "FlightInfo.endpoint.ticket")
            ticket = _parse(sql.TicketStatementQuery, command.value, "TicketStatementQuery")
            nonce = handles.unpack(ticket.statement_handle, "ticket").nonce
            polled_query = self._polled_queries.get(nonce)
            for number in list(self._running_requests.get(nonce, ())) + (
                [polled_query.request_number] if polled_query is not None else []
            ):
                is_cancelled = (
                    self._transport.cancel_request(number, Status(Code.CANCELLED, "cancelled"))
                    or is_cancelled
                )
        status = flight.CANCEL_STATUS_CANCELLED if is_cancelled else flight.CANCEL_STATUS_NOT_CANCELLABLE
        return flight.CancelFlightInfoResult(status=status).SerializeToString()


MessageT = TypeVar("MessageT", bound=Message)


def _forwarded_headers(call: ServerCall) -> tuple[tuple[str, str | bytes], ...]:
    """Return the client's headers that are forwarded to engines: the trace context and x-* headers."""
    selected = [
        (name, value) for name, value in call.metadata.items if name in TRACE_HEADERS or name.startswith("x-")
    ]
    # Values that are invalid in a header are omitted, so that they do not fail the client's query.
    valid = [
        (name, value)
        for name, value in selected
        if isinstance(value, bytes) or (value.isascii() and value.isprintable())
    ]
    return tuple(valid[:MAX_FORWARDED_HEADERS])


def _parse(message_type: type[MessageT], data: bytes, source: str) -> MessageT:
    """Decode a message. `source` names the decoded field in the error message."""
    try:
        return message_type.FromString(data)
    except DecodeError:
        raise rpc_error(Code.INVALID_ARGUMENT, f"{source} cannot be decoded", "PROTOBUF") from None


def _unpack(message_type: type[MessageT], data: bytes, source: str) -> MessageT:
    """Decode a message that is wrapped in an Any.

    Raises:
        RpcError: INVALID_ARGUMENT if the Any holds another type or cannot be decoded.
    """
    command = _parse_any(data, source)
    if _command_name(command) != message_type.DESCRIPTOR.name:
        raise rpc_error(
            Code.INVALID_ARGUMENT, f"{source} has unexpected type {command.type_url!r}", "PROTOBUF"
        )
    return _parse(message_type, command.value, source)


def _parse_any(data: bytes, source: str) -> AnyMessage:
    return _parse(AnyMessage, data, source)


def _command_name(command: AnyMessage) -> str:
    """Return the name of a Flight SQL message type, or an empty string for any other type."""
    prefix = TYPE_URL_PREFIX + FLIGHT_SQL_PACKAGE
    return command.type_url.removeprefix(prefix) if command.type_url.startswith(prefix) else ""


def _encode_ticket(handle: handles.Handle) -> bytes:
    return pack_any(sql.TicketStatementQuery(statement_handle=handles.pack(handle))).SerializeToString()


def _flight_info(descriptor: flight.FlightDescriptor, ticket: bytes) -> flight.FlightInfo:
    return flight.FlightInfo(
        flight_descriptor=descriptor,
        endpoint=[flight.FlightEndpoint(ticket=flight.Ticket(ticket=ticket))],
        total_records=-1,
        total_bytes=-1,
    )


def _reject_transaction(has_transaction: bool) -> None:
    if has_transaction:
        raise rpc_error(Code.UNIMPLEMENTED, "transactions are not supported", "TRANSACTION")


def _option_value(raw: flight.SessionOptionValue) -> OptionValue | None:
    """Return the value of a session option, or None if it is empty."""
    field_name = raw.WhichOneof("option_value")
    if field_name is None:
        return None
    if field_name == "string_list_value":
        return tuple(raw.string_list_value.values)
    value: OptionValue = getattr(raw, field_name)
    return value


def _option_message(value: OptionValue) -> flight.SessionOptionValue:
    if isinstance(value, bool):
        return flight.SessionOptionValue(bool_value=value)
    if isinstance(value, int):
        return flight.SessionOptionValue(int64_value=value)
    if isinstance(value, float):
        return flight.SessionOptionValue(double_value=value)
    if isinstance(value, tuple):
        string_list = flight.SessionOptionValue.StringListValue(values=value)
        return flight.SessionOptionValue(string_list_value=string_list)
    return flight.SessionOptionValue(string_value=value)
