"""Clients of a day: the project's own, which sees every status, and the ADBC driver, which others wrote."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import Executor as Threads
from dataclasses import dataclass
from typing import Any

from ..proto import flight_pb2 as flight
from ..proto import flight_sql_pb2 as sql
from ..proto.commands import SERVICE, descriptor
from ..rpc import Channel, ClientCall, Code, RpcError, Status
from .audit import Event
from .up import GatewayProcess

Headers = tuple[tuple[str, str | bytes], ...]
REPEAT_GAP = 0.25  # seconds before a client asks again
PATIENCE = 1.0  # seconds past its time that a client still listens, to see answers that come too late


@dataclass(frozen=True, slots=True)
class Query:
    id: str
    text: str
    cls: str
    work: float
    order: str
    update: bool
    timeout: float
    cost: float
    driver: str
    gateway: int
    repeats: int = 0  # times that the client asks again where the gateway has gone


class _Recorder:
    def __init__(self, name: str, gateway: GatewayProcess, record: Callable[[Event], None]) -> None:
        self._name, self._gateway, self._record = name, gateway, record

    def _asked(self, query: Query, at: float) -> None:
        self._record(
            {
                "at": at,
                "kind": "asked",
                "query": query.id,
                "gateway": self._name,
                "cls": query.cls,
                "key": query.order,
                "work": query.work,
                "limit": at + query.timeout,
            }
        )

    def _unreachable(self, query: Query, at: float) -> None:
        self._record({"at": at, "kind": "unreachable", "query": query.id, "gateway": self._name})

    def _answered(self, query: Query, at: float, status: Status) -> None:
        wait = status.retry_after()
        self._record(
            {
                "at": at,
                "kind": "answer",
                "query": query.id,
                "gateway": self._name,
                "code": status.code.name,
                "promise": wait is not None,
                "retry_after": wait,
                "text": status.message[:200],
            }
        )


class Asker(_Recorder):
    """The project's own client: one connection to one gateway, opened anew when it breaks."""

    def __init__(self, name: str, gateway: GatewayProcess, record: Callable[[Event], None]) -> None:
        super().__init__(name, gateway, record)
        self._loop = asyncio.get_running_loop()
        self._channel: Channel | None = None
        self._connecting = asyncio.Lock()

    def close(self) -> None:
        if self._channel is not None:
            self._channel.close()

    async def _connected(self) -> Channel:
        async with self._connecting:
            if self._channel is None or not self._channel.usable:
                if self._channel is not None and not self._channel.calls:
                    self._channel.close()
                channel = Channel("127.0.0.1", self._gateway.port)
                await channel.connect(0.5)
                for _ in range(50):  # its SETTINGS tell how many calls it takes
                    if channel.usable:
                        break
                    await asyncio.sleep(0.01)
                self._channel = channel
            return self._channel

    async def ask(self, query: Query) -> None:
        """One query, asked again with the same key where its gateway has gone; all goes to the record."""
        for _ in range(query.repeats + 1):
            if await self._ask(query):
                return
            await asyncio.sleep(REPEAT_GAP)

    async def _ask(self, query: Query) -> bool:
        """Whether an answer came, or time ran out."""
        headers: Headers = (("x-lab-query", query.id), ("saffronlane-class", query.cls))
        headers += (("saffronlane-key", query.id),)
        if query.order:
            headers += (("saffronlane-order", query.order),)
        if query.cost:
            headers += (("saffronlane-cost", f"{query.cost:.4f}"),)
        asked = self._loop.time()
        try:
            channel = await self._connected()
            if query.update:
                command = sql.CommandStatementUpdate(query=query.text)
                first = flight.FlightData(flight_descriptor=descriptor(command))
                message, method = first.SerializeToString(), "DoPut"
            else:
                request = descriptor(sql.CommandStatementQuery(query=query.text)).SerializeToString()
                answer = await channel.unary(SERVICE + "GetFlightInfo", request, headers, 2.0)
                ticket = flight.FlightInfo.FromString(answer).endpoint[0].ticket
                message, method = ticket.SerializeToString(), "DoGet"
            asked = self._loop.time()
            call = channel.start(SERVICE + method, headers, query.timeout)
        except (OSError, TimeoutError, RpcError):
            self._asked(query, asked)
            self._unreachable(query, self._loop.time())
            return False
        call.write_now(message, end=True)
        self._asked(query, asked)
        status = await self._answer(call, query.timeout)
        at = self._loop.time()
        if status is None:
            return True  # nothing came: the audit sees that
        if call.ending is not None and call.ending.value in ("lost", "unprocessed", "reset"):
            self._unreachable(query, at)
            return False
        self._answered(query, at, status)
        return True

    @staticmethod
    async def _answer(call: ClientCall, timeout: float) -> Status | None:
        try:
            async with asyncio.timeout(timeout + PATIENCE):
                while await call.read() is not None:
                    pass
        except TimeoutError:
            call.cancel()
            return None
        return call.status


class AdbcClient(_Recorder):
    """`adbc_driver_flightsql` in threads: each query over a connection of its own thread."""

    def __init__(
        self, name: str, gateway: GatewayProcess, record: Callable[[Event], None], threads: Threads
    ) -> None:
        super().__init__(name, gateway, record)
        self._threads = threads
        self._loop = asyncio.get_running_loop()

    async def ask(self, query: Query) -> None:
        await self._loop.run_in_executor(self._threads, self._blocking, query)

    def _blocking(self, query: Query) -> None:
        import warnings

        import adbc_driver_flightsql.dbapi as adbc
        from adbc_driver_manager import Error

        prefix = "adbc.flight.sql.rpc.call_header."
        options: dict[str, Any] = {
            prefix + "x-lab-query": query.id,
            prefix + "saffronlane-class": query.cls,
            "adbc.flight.sql.rpc.timeout_seconds.fetch": str(query.timeout),
            "adbc.flight.sql.rpc.timeout_seconds.update": str(query.timeout),
        }
        options[prefix + "saffronlane-key"] = query.id
        if query.order:
            options[prefix + "saffronlane-order"] = query.order
        asked = time.monotonic()
        try:
            with warnings.catch_warnings():
                warnings.simplefilter("ignore")
                connection = adbc.connect(f"grpc://127.0.0.1:{self._gateway.port}", options, autocommit=True)
            with connection, connection.cursor() as cursor:
                asked = time.monotonic()
                self._call(self._asked, query, asked)
                cursor.execute(query.text)
                cursor.fetchall()
            self._call(self._answered, query, time.monotonic(), Status(Code.OK))
        except Error as error:
            text = str(error)
            code = next(
                (c for c in Code if c.name.replace("_", "") in text.upper().replace("_", "")), Code.UNKNOWN
            )
            status = Status(code, text)
            self._call(self._finish_adbc, query, asked, time.monotonic(), status)

    def _call(self, what: Callable[..., None], *values: object) -> None:
        self._loop.call_soon_threadsafe(what, *values)

    def _finish_adbc(self, query: Query, asked: float, at: float, status: Status) -> None:
        self._answered(query, at, status)
