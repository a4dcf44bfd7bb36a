"""Open-loop clients: each request is sent at its planned time, regardless of the state of earlier ones."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import msgspec

from ...msgpackrpc import Scanner
from .addresses import Address
from .record import Record
from .shape import PlannedRequest

MAX_IN_FLIGHT_PER_CONNECTION = 32
READY_POLL_INTERVAL_S = 0.03


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, opened_at: float) -> None:
        self.writer, self._reader, self.opened_at = writer, reader, opened_at
        self.in_flight: dict[int, asyncio.Future[tuple[Any, Any]]] = {}
        self._ids = itertools.count(1)
        self._scanner = Scanner(1_048_576, 10_000)
        self.task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        try:
            while data := await self._reader.read(65_536):
                messages, scan_error = self._scanner.feed(data)
                for message in messages:
                    assert isinstance(message, bytes)  # nothing is discarded here
                    _, call_id, error, result = msgspec.msgpack.decode(message)
                    pending = self.in_flight.pop(call_id, None)
                    if pending is not None and not pending.done():
                        pending.set_result((error, result))
                if scan_error is not None:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        self.writer.close()
        for pending in self.in_flight.values():
            if not pending.done():
                pending.set_exception(ConnectionResetError("the dispatcher closed the connection"))
        self.in_flight.clear()

    def call(self, method: str, params: list[Any]) -> tuple[int, asyncio.Future[tuple[Any, Any]]]:
        call_id = next(self._ids)
        answer: asyncio.Future[tuple[Any, Any]] = asyncio.get_running_loop().create_future()
        self.in_flight[call_id] = answer
        self.writer.write(msgspec.msgpack.encode([0, call_id, method, params]))
        return call_id, answer


class Clients:
    """All clients of one dispatcher. Opens as many connections as the requests in flight need."""

    def __init__(self, name: str, address: Address, record: Record) -> None:
        self.name, self._address, self._record = name, address, record
        self._connections: list[_Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def _connection_with_capacity(self) -> _Connection:
        self._connections = [connection for connection in self._connections if not connection.task.done()]
        for connection in self._connections:
            if len(connection.in_flight) < MAX_IN_FLIGHT_PER_CONNECTION:
                return connection
        # Taken before the wait: the system may have established the connection long before this task resumes.
        opened_at = self._record.now()
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(*self._address)
        new_connection = _Connection(reader, writer, opened_at)
        self._connections.append(new_connection)
        return new_connection

    async def wait_until_ready(self, seconds: float) -> None:
        """Waits until the dispatcher reports that it is ready.

        Raises:
            TimeoutError: If it is not ready within this number of seconds.
        """
        async with asyncio.timeout(seconds):
            while True:
                try:
                    _, answer = (await self._connection_with_capacity()).call("isWell", [{}])
                    if (await answer)[1][0] is True:
                        return
                except (ConnectionError, OSError):
                    pass
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    def send_request(self, request: PlannedRequest) -> None:
        """Starts a task that sends the request and records its outcome."""
        task = asyncio.create_task(self._run_request(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_request(self, request: PlannedRequest) -> None:
        record, query_class = self._record, request.query_class
        try:
            connection = await self._connection_with_capacity()
        except (OSError, TimeoutError):
            return  # The dispatcher accepts no connection. A real front end would use another one.
        fields = {
            "rid": request.request_id,
            "budget": str(round(1000.0 * query_class.deadline)),
            "acct": "acme",
            "est": f"{1000.0 * request.work:.1f}",
            "memory": "1",
        }
        if query_class.has_idempotency_key:
            fields |= {"token": request.request_id * 2, "obj": request.key}
        body = f"SELECT * FROM s_{request.table_group}.t".encode()
        limit = record.now() + query_class.deadline
        event_fields = {"query": request.request_id, "gateway": self.name}
        record.add(
            "asked",
            **event_fields,
            cls=query_class.name,
            key=request.key,
            limit=limit,
            work=request.work,
            wanted=request.at,
            connected_at=connection.opened_at,
        )
        call_id, answer = connection.call(query_class.name, [fields, body])
        try:
            async with asyncio.timeout(request.cancel_after or query_class.deadline + 0.5):
                error, _ = await answer
        except TimeoutError:
            connection.in_flight.pop(call_id, None)
            if request.cancel_after:
                connection.writer.write(msgspec.msgpack.encode([2, "forget", [call_id]]))
                record.add("left", **event_fields)
            return
        except ConnectionError:
            record.add("unreachable", **event_fields)
            return
        code = "OK" if error is None else "UNAVAILABLE" if error[0] == "Shed" else "ABORTED"
        is_safe_to_retry = code == "UNAVAILABLE"
        record.add("answer", **event_fields, code=code, promise=is_safe_to_retry)

    async def wait_for_answers(self) -> None:
        """Waits until every request has been answered, cancelled, dropped or timed out."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        """Closes the connections and cancels the requests in flight."""
        for connection in self._connections:
            connection.task.cancel()
            connection.writer.close()
        for task in list(self._tasks):
            task.cancel()
        tasks = [connection.task for connection in self._connections]
        await asyncio.gather(*tasks, *self._tasks, return_exceptions=True)
