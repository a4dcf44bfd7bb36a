"""The front: MessagePack-RPC clients, bounded in bytes, requests and descriptors. It decides nothing.

What is wrong with a message ends as an error to its sender, and with its connection where the bytes after it
cannot be read. Clients that send what is wrong are read more slowly, so that the others do not wait for them.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets

from .. import dispatch as d
from .. import msgpackrpc as rpc
from ..engines import Executor
from ..interface import ClassSettings, Effect, Settings
from .config import Address
from .errors import BadRequest
from .links import Statement
from .tables import table_group

log = structlog.get_logger()
CHUNK = 65_536
MOST_MESSAGE = 262_144  # bytes of a request: statements are texts of a person's or a tool's making
MOST_ITEMS = 256  # of a request: its fields are a dozen
MOST_OPEN = 32  # requests on one connection, as the protocol has it
MOST_PARTIAL = 8_388_608  # bytes of unfinished messages over all connections
MOST_UNREAD = 1_048_576  # bytes of answers that a client may leave unread
FIRST_WAIT = 2.0  # seconds for the first whole message, and for the rest of one that has begun
IDLE = 5.0  # seconds without an open request; clients close theirs after 4
FAULTS_MOST = 8  # messages that are wrong until the connection is closed
PENALTY = 0.25  # seconds that a connection is not read after one
FRESH = 0.05  # seconds that a new connection is safe from making room for others
LATELY = 0.1  # seconds for which an idle connection is safe from it: longer, and floods of them wait outside
LOOK_EVERY, ACCEPT_PAUSE = 0.25, 0.005
SHED, FAULT = "Shed", "Fault"
_ID = re.compile(r"[0-9a-f]{16}")
_TOKEN = re.compile(r"[\w.:-]{1,64}", re.ASCII)
_FIGURE = re.compile(r"\d{1,12}(?:\.\d{1,9})?", re.ASCII)
MOST_WORK_MS, MOST_MEMORY_MB, MOST_DEADLINES = 1e9, 1e8, 10.0


@dataclass(frozen=True, slots=True)
class Asked:
    """A request read: what goes to compute nodes, and what the dispatcher is told."""

    statement: Statement
    cls: int
    tenant: int
    remaining: float
    key: int
    cost: float
    memory_mb: float
    tables: float


class Reader:
    """Turns calls into requests by the settings' names. BadRequest names the field that is wrong."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name: n for n, c in enumerate(settings.classes)}
        self._tenants = {t.name: n for n, t in enumerate(settings.tenants)}
        self._settings = settings

    def read(self, call: rpc.Call) -> Asked:
        index = self._classes.get(call.method)
        if index is None:
            raise BadRequest(f"no such class: {call.method[:40]!r}")
        cls, fields = self._settings.classes[index], call.fields
        name = fields.get("rid", "")
        if not _ID.fullmatch(name):
            raise BadRequest(f"rid: {name[:40]!r}")
        if call.body is None or not call.body:
            raise BadRequest("no statement")
        try:
            call.body.decode()
        except UnicodeDecodeError:
            raise BadRequest("the statement is no text") from None
        most = MOST_DEADLINES * cls.deadline * 1000.0
        budget = _number(fields, "budget", most)
        if not budget:
            raise BadRequest("budget: none")
        return Asked(
            Statement(name.encode(), call.method.encode(), call.body, self._token(cls, fields)),
            index,
            self._tenant(fields),
            budget / 1000.0,
            self._key(cls, fields),
            _number(fields, "est", MOST_WORK_MS) / 1000.0,
            _number(fields, "memory", MOST_MEMORY_MB),
            table_group(call.body),
        )

    def _tenant(self, fields: dict[str, str]) -> int:
        if not self._tenants:
            return 0
        tenant = self._tenants.get(fields.get("acct", ""))
        if tenant is None:
            raise BadRequest(f"acct: {fields.get('acct', '')[:40]!r}")
        return tenant

    def _token(self, cls: ClassSettings, fields: dict[str, str]) -> bytes:
        token = fields.get("token", "")
        if cls.effect is not Effect.KEYED:
            return b""
        if not _TOKEN.fullmatch(token):
            raise BadRequest(f"token: {token[:40]!r}")
        return token.encode()

    def _key(self, cls: ClassSettings, fields: dict[str, str]) -> int:
        key = fields.get("obj", "")
        if not cls.ordered or not key:
            return 0
        if not _ID.fullmatch(key):
            raise BadRequest(f"obj: {key[:40]!r}")
        return int(key, 16)


def _number(fields: dict[str, str], name: str, most: float) -> float:
    text = fields.get(name)
    if text is None:
        return 0.0
    if not _FIGURE.fullmatch(text) or float(text) > most:
        raise BadRequest(f"{name}: {text[:40]!r}")
    return float(text)


class _Reply:
    """Where the answer to one request goes."""

    __slots__ = ("client", "msgid", "rid")

    def __init__(self, client: _Client, msgid: int, rid: bytes) -> None:
        self.client, self.msgid, self.rid = client, msgid, rid

    def served(self, body: bytes) -> None:
        self.client.answer(self, rpc.Reply(self.msgid, None, {}, body))

    def refused(self, retry_after: float) -> None:
        fields = {"backoff": str(max(1, round(retry_after * 1000.0)))} if retry_after > 0.0 else {}
        self.client.answer(self, rpc.Reply(self.msgid, SHED, fields))

    def failed(self, why: str) -> None:
        self.client.answer(self, rpc.Reply(self.msgid, FAULT, {}))


class _Client:
    """One connection of a client."""

    def __init__(self, front: Front, stream: IOStream) -> None:
        self.front, self.stream = front, stream
        self.loop = asyncio.get_running_loop()
        self.open: dict[int, tuple[int, bytes]] = {}  # request and its id by message id
        self.since = self.quiet_since = self.partial_since = self.loop.time()
        self.spoke = self.closed = False
        self.faults = 0
        self.scanner = rpc.Scanner(MOST_MESSAGE, MOST_ITEMS)
        self._out: list[bytes] = []
        self._flushing = False
        self._task = self.loop.create_task(self._run())

    async def _run(self) -> None:
        try:
            while not self.closed:
                data = await self.stream.read_bytes(CHUNK, partial=True)
                faults = self.faults
                self._take(data)
                if self.faults != faults and not self.closed:
                    await asyncio.sleep(PENALTY)
        except (StreamClosedError, OSError):
            self.close()
        except Exception:
            log.exception("client connection failed")
            self.close()

    def _take(self, data: bytes) -> None:
        began = not self.scanner.pending
        messages, error = self.scanner.feed(data)
        if began or messages:
            self.partial_since = self.loop.time()
        for message in messages:
            if self.closed:
                return
            self._on_message(message)
        if error is not None:
            log.debug("unreadable client", why=str(error))
            self.close()

    def _on_message(self, message: bytes) -> None:
        try:
            called = rpc.read(message)
        except rpc.Malformed as error:
            self._fault(error.id, str(error))
            return
        self.spoke = True
        if isinstance(called, rpc.Notice):
            for msgid in called.ids if called.method == "forget" else ():
                self._forget(msgid)
        elif called.method == "isWell":
            self.write(rpc.reply(rpc.Reply(called.id, None, {}, self.front.well())))
        else:
            self._on_call(called)

    def _on_call(self, call: rpc.Call) -> None:
        if call.id in self.open:
            # Which of the two an answer would be for, nobody can tell: neither gets one.
            self.close()
            return
        if len(self.open) >= MOST_OPEN:
            self._fault(call.id, f"more than {MOST_OPEN} requests open")
            return
        try:
            asked = self.front.reader.read(call)
            if asked.statement.id in self.front.ids:
                raise BadRequest("rid: it is open already")
        except BadRequest as error:
            self._fault(call.id, str(error))
            return
        number = self.front.submit(asked, _Reply(self, call.id, asked.statement.id))
        self.open[call.id] = (number, asked.statement.id)

    def _forget(self, msgid: int) -> None:
        number, rid = self.open.pop(msgid, (0, b""))
        if number:
            self.front.gone(number, rid)
            self._at_rest()

    def _fault(self, msgid: int | None, why: str) -> None:
        self.faults += 1
        self.front.faults += 1
        log.debug("bad message", why=why)
        if msgid is not None:
            self.write(rpc.reply(rpc.Reply(msgid, FAULT, {})))
        if self.faults >= FAULTS_MOST or msgid is None:
            self.close()

    def answer(self, reply: _Reply, answer: rpc.Reply) -> None:
        if self.open.pop(reply.msgid, None) is not None:
            self.front.ids.discard(reply.rid)
            self.write(rpc.reply(answer))
            self._at_rest()

    def _at_rest(self) -> None:
        if not self.open:
            self.quiet_since = self.loop.time()

    def write(self, data: bytes) -> None:
        """Leaves at the end of this turn of the loop with all else that does, in one piece."""
        self._out.append(data)
        if not self._flushing:
            self._flushing = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        out, self._out = self._out, []
        if self.stream.closed() or not out:
            return
        try:
            self.stream.write(b"".join(out))
        except (StreamClosedError, StreamBufferFullError):
            self.close()

    @property
    def unwritten(self) -> bool:
        return bool(self._out or self.stream._write_buffer)

    def look(self, now: float) -> bool:
        """Whether the connection has had its time."""
        if not self.spoke:
            return now > self.since + FIRST_WAIT
        if self.scanner.pending and now > self.partial_since + FIRST_WAIT:
            return True
        return not self.open and not self.scanner.pending and now > self.quiet_since + IDLE

    def close(self) -> None:
        """Its client has gone, or is not wanted: nobody waits for what is open here."""
        if self.closed:
            return
        self.closed = True
        self._flush()
        for number, rid in self.open.values():
            self.front.gone(number, rid)
        self.open.clear()
        self.stream.close()
        self.front.clients.pop(self, None)
        if asyncio.current_task() is not self._task:
            self._task.cancel()


class Front:
    """Listens, and keeps the clients' connections within bounds.

    Args:
        executor: takes the requests.
        settings: the names of classes and tenants.
        most_clients: connections at once.
        well: whether the node may be used.
    """

    def __init__(
        self, executor: Executor, settings: Settings, most_clients: int, well: Callable[[], bool]
    ) -> None:
        self.reader = Reader(settings)
        self.clients: dict[_Client, None] = {}  # oldest first
        self.ids: set[bytes] = set()  # of open requests
        self.faults = 0
        self.taken = 0
        self.last_taken = 0.0
        self.accepted = self.displaced = self.pauses = 0
        self.well = well
        self._executor, self._most_clients = executor, most_clients
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[Callable[[], None]] = []
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)

    def listen(self, address: Address) -> None:
        """OSError where the address cannot be had."""
        self._sockets = bind_sockets(address[1], address[0], backlog=1024)
        self._accept()

    @property
    def port(self) -> int:
        port: int = self._sockets[0].getsockname()[1]
        return port

    def _accept(self) -> None:
        if not self._stop_accepting:
            self._stop_accepting = [add_accept_handler(s, self._on_connection) for s in self._sockets]

    def _pause(self) -> None:
        """No descriptor is left for a client: those that come wait in the kernel until one is."""
        self.pauses += 1
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting = []
        self._loop.call_later(ACCEPT_PAUSE, self._accept_if_room)

    def _accept_if_room(self) -> None:
        if not self._sockets or self._stop_accepting:
            return
        if len(self.clients) < self._most_clients or self._make_room():
            self._accept()
        else:
            self._loop.call_later(ACCEPT_PAUSE, self._accept_if_room)

    def _on_connection(self, connection: socket.socket, _: object) -> None:
        stream = IOStream(
            connection,
            max_buffer_size=2 * MOST_MESSAGE,
            read_chunk_size=CHUNK,
            max_write_buffer_size=MOST_UNREAD,
        )
        stream.set_nodelay(True)
        self.accepted += 1
        self.clients[_Client(self, stream)] = None
        if len(self.clients) >= self._most_clients and not self._make_room():
            self._pause()

    def _make_room(self) -> bool:
        """Close the connection that is missed least: one that has never spoken, else the longest idle.

        Not one that is new, whose first request may be on its way, nor one idle for but a moment.
        """
        now = self._loop.time()
        for client in self.clients:
            if not client.spoke and client.since < now - FRESH:
                client.close()
                self.displaced += 1
                return True
        idle = [c for c in self.clients if c.spoke and not c.open and not c.unwritten]
        longest = min(idle, key=lambda c: c.quiet_since, default=None)
        if longest is None or longest.quiet_since > now - LATELY:
            return False
        longest.close()
        self.displaced += 1
        return True

    def submit(self, asked: Asked, reply: _Reply) -> int:
        self.taken += 1
        self.last_taken = self._loop.time()
        self.ids.add(asked.statement.id)
        return self._executor.submit(
            asked.statement,
            reply,
            lambda number: d.Submit(
                number,
                asked.cls,
                asked.remaining,
                asked.tenant,
                asked.key,
                asked.cost,
                asked.memory_mb,
                asked.tables,
            ),
        )

    def gone(self, number: int, rid: bytes) -> None:
        self.ids.discard(rid)
        self._executor.client_gone(number)

    @property
    def unwritten(self) -> bool:
        return any(client.unwritten for client in self.clients)

    def _on_look(self) -> None:
        now = self._loop.time()
        partial = 0
        for client in list(self.clients):
            partial += client.scanner.pending
            if client.look(now) or partial > MOST_PARTIAL:
                partial -= client.scanner.pending
                client.close()
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)

    def close(self) -> None:
        self._look.cancel()
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting = []
        for one in self._sockets:
            one.close()
        self._sockets = []
        for client in list(self.clients):
            client.close()
