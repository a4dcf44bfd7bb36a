"""Clients of a scenario: the project's own client, which records the exact status, and the ADBC driver."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import Any

from ..proto import flight_pb2 as flight
from ..proto import flight_sql_pb2 as sql
from ..proto.commands import SERVICE, descriptor
from ..rpc import Channel, ClientCall, Code, RpcError, Status
from .audit import Event
from .up import GatewayProcess

Headers = tuple[tuple[str, str | bytes], ...]
RETRY_DELAY = 0.25  # seconds before a client submits a query again
LATE_ANSWER_WAIT = 1.0  # seconds past its timeout that a client keeps reading, to record late answers


@dataclass(frozen=True, slots=True)
class Query:
    """One query of a scenario.

    Attributes:
        id: Unique id, which is also the idempotency key.
        text: The SQL text with the stand-in engine's options.
        query_class: Name of the query class.
        work: Work on the engine, in seconds of one thread.
        ordering_key: Ordering key; empty if the query has none.
        is_update: Whether the query is an update.
        timeout: The client's timeout, in seconds.
        estimated_cost: Cost that the client states, in seconds of work; 0 if it states none.
        driver: The client to use: `grpc` for the project's own, `adbc` for the ADBC driver.
        gateway_index: Index of the gateway that receives the query.
        max_retries: How often the client submits the query again if the gateway is unreachable.
    """

    id: str
    text: str
    query_class: str
    work: float
    ordering_key: str
    is_update: bool
    timeout: float
    estimated_cost: float
    driver: str
    gateway_index: int
    max_retries: int = 0


class _RecordingClient:
    """Records what a client of one gateway observes."""

    def __init__(self, name: str, gateway: GatewayProcess, record_event: Callable[[Event], None]) -> None:
        self._name, self._gateway, self._record_event = name, gateway, record_event

    def _record_submission(self, query: Query, at: float) -> None:
        self._record_event(
            {
                "at": at,
                "kind": "asked",
                "query": query.id,
                "gateway": self._name,
                "cls": query.query_class,
                "key": query.ordering_key,
                "work": query.work,
                "limit": at + query.timeout,
            }
        )

    def _record_unreachable(self, query: Query, at: float) -> None:
        self._record_event({"at": at, "kind": "unreachable", "query": query.id, "gateway": self._name})

    def _record_answer(self, query: Query, at: float, status: Status) -> None:
        retry_delay = status.retry_after()
        self._record_event(
            {
                "at": at,
                "kind": "answer",
                "query": query.id,
                "gateway": self._name,
                "code": status.code.name,
                "promise": retry_delay is not None,
                "retry_after": retry_delay,
                "text": status.message[:200],
            }
        )


class QueryClient(_RecordingClient):
    """The project's own client. It has one connection to one gateway, and reconnects when it breaks."""

    def __init__(self, name: str, gateway: GatewayProcess, record_event: Callable[[Event], None]) -> None:
        super().__init__(name, gateway, record_event)
        self._loop = asyncio.get_running_loop()
        self._channel: Channel | None = None
        self._connecting = asyncio.Lock()

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()

    async def _usable_channel(self) -> Channel:
        async with self._connecting:
            if self._channel is None or not self._channel.usable:
                if self._channel is not None and not self._channel.calls:
                    self._channel.close()
                channel = Channel("127.0.0.1", self._gateway.port)
                await channel.connect(0.5)
                # The channel becomes usable with the gateway's SETTINGS frame, which sets the limit of
                # concurrent calls.
                for _ in range(50):
                    if channel.usable:
                        break
                    await asyncio.sleep(0.01)
                self._channel = channel
            return self._channel

    async def submit(self, query: Query) -> None:
        """Submit a query. Retry it with the same idempotency key if its gateway is unreachable."""
        for _ in range(query.max_retries + 1):
            if await self._submit_once(query):
                return
            await asyncio.sleep(RETRY_DELAY)

    async def _submit_once(self, query: Query) -> bool:
        """Submit a query once. Return False if the gateway was unreachable or the connection was lost."""
        headers: Headers = (("x-lab-query", query.id), ("saffronlane-class", query.query_class))
        headers += (("saffronlane-key", query.id),)
        if query.ordering_key:
            headers += (("saffronlane-order", query.ordering_key),)
        if query.estimated_cost:
            headers += (("saffronlane-cost", f"{query.estimated_cost:.4f}"),)
        submitted_at = self._loop.time()
        try:
            channel = await self._usable_channel()
            if query.is_update:
                command = sql.CommandStatementUpdate(query=query.text)
                first_message = flight.FlightData(flight_descriptor=descriptor(command))
                message, method = first_message.SerializeToString(), "DoPut"
            else:
                request = descriptor(sql.CommandStatementQuery(query=query.text)).SerializeToString()
                response = await channel.unary(SERVICE + "GetFlightInfo", request, headers, 2.0)
                ticket = flight.FlightInfo.FromString(response).endpoint[0].ticket
                message, method = ticket.SerializeToString(), "DoGet"
            submitted_at = self._loop.time()
            call = channel.start(SERVICE + method, headers, query.timeout)
        except (OSError, TimeoutError, RpcError):
            self._record_submission(query, submitted_at)
            self._record_unreachable(query, self._loop.time())
            return False
        call.write_now(message, end=True)
        self._record_submission(query, submitted_at)
        status = await self._read_status(call, query.timeout)
        at = self._loop.time()
        if status is None:
            return True  # No answer is recorded, which the audit reports as a violation.
        if call.ending is not None and call.ending.value in ("lost", "unprocessed", "reset"):
            self._record_unreachable(query, at)
            return False
        self._record_answer(query, at, status)
        return True

    @staticmethod
    async def _read_status(call: ClientCall, timeout: float) -> Status | None:
        """Read a call to its end. Return None if it has not ended `LATE_ANSWER_WAIT` after its timeout."""
        try:
            async with asyncio.timeout(timeout + LATE_ANSWER_WAIT):
                while await call.read() is not None:
                    pass
        except TimeoutError:
            call.cancel()
            return None
        return call.status


class AdbcClient(_RecordingClient):
    """Runs `adbc_driver_flightsql` in a thread pool, with a new connection for each query."""

    def __init__(
        self,
        name: str,
        gateway: GatewayProcess,
        record_event: Callable[[Event], None],
        thread_pool: Executor,
    ) -> None:
        super().__init__(name, gateway, record_event)
        self._thread_pool = thread_pool
        self._loop = asyncio.get_running_loop()

    async def submit(self, query: Query) -> None:
        """Submit a query once, and record its answer."""
        await self._loop.run_in_executor(self._thread_pool, self._submit_blocking, query)

    def _submit_blocking(self, query: Query) -> None:
        import warnings

        import adbc_driver_flightsql.dbapi as adbc
        from adbc_driver_manager import Error

        prefix = "adbc.flight.sql.rpc.call_header."
        options: dict[str, Any] = {
            prefix + "x-lab-query": query.id,
            prefix + "saffronlane-class": query.query_class,
            "adbc.flight.sql.rpc.timeout_seconds.fetch": str(query.timeout),
            "adbc.flight.sql.rpc.timeout_seconds.update": str(query.timeout),
        }
        options[prefix + "saffronlane-key"] = query.id
        if query.ordering_key:
            options[prefix + "saffronlane-order"] = query.ordering_key
        submitted_at = time.monotonic()
        try:
            with warnings.catch_warnings():
                warnings.simplefilter("ignore")
                connection = adbc.connect(f"grpc://127.0.0.1:{self._gateway.port}", options, autocommit=True)
            with connection, connection.cursor() as cursor:
                submitted_at = time.monotonic()
                self._call_on_loop(self._record_submission, query, submitted_at)
                cursor.execute(query.text)
                cursor.fetchall()
            self._call_on_loop(self._record_answer, query, time.monotonic(), Status(Code.OK))
        except Error as error:
            text = str(error)
            # The status code is read from the name that the driver puts into the text of its error.
            code = next(
                (c for c in Code if c.name.replace("_", "") in text.upper().replace("_", "")), Code.UNKNOWN
            )
            status = Status(code, text)
            self._call_on_loop(self._record_error, query, submitted_at, time.monotonic(), status)

    def _call_on_loop(self, function: Callable[..., None], *arguments: object) -> None:
        self._loop.call_soon_threadsafe(function, *arguments)

    def _record_error(self, query: Query, submitted_at: float, at: float, status: Status) -> None:
        self._record_answer(query, at, status)
