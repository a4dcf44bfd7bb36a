"""One connection of a client."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import structlog

from ... import msgpackrpc as rpc
from ..errors import BadRequest
from ..lifecycle import ConnectionLifecycle, ConnectionLimits, Event
from ..managed_connection import ManagedConnection
from ..stream import Stream

if TYPE_CHECKING:
    from .server import Front

log = structlog.get_logger()
MOST_MESSAGE = 262_144  # bytes of a request: statements are texts of a person's or a tool's making
MOST_ITEMS = 256  # of a request: its fields are a dozen
MOST_OPEN = 32  # requests on one connection, as the protocol has it
MOST_ANSWER = 49_152  # bytes of an answer: a result has 48,000 at most
MOST_UNREAD = MOST_OPEN * MOST_ANSWER  # bytes that a client may leave unread: all that it may ask for
FIRST_WAIT = 2.0  # seconds without a byte, for the first whole message and for the rest of one that has begun
MESSAGE_WAIT = 10.0  # seconds for the whole of a message, however it trickles
IDLE = 5.0  # seconds without an open request; clients close theirs after 4
FAULTS_MOST = 8  # messages that are wrong until the connection is closed
PENALTY = 0.25  # seconds that the answer to one waits, so that its sender does not send the next at once
SHED, FAULT = "Shed", "Fault"
BOUNDS = ConnectionLimits(stall_timeout=IDLE)


class Reply:
    """Where the answer to one request goes."""

    __slots__ = ("client", "msgid", "rid")

    def __init__(self, client: ClientConnection, msgid: int, rid: bytes) -> None:
        self.client, self.msgid, self.rid = client, msgid, rid

    @property
    def has_unprocessed_input(self) -> bool:
        return self.client.has_unprocessed_input

    def send_result(self, body: bytes) -> None:
        self.client.answer(self, rpc.Reply(self.msgid, None, {}, body))

    def send_rejection(self, retry_after: float) -> None:
        fields = {"backoff": str(max(1, round(retry_after * 1000.0)))} if retry_after > 0.0 else {}
        self.client.answer(self, rpc.Reply(self.msgid, SHED, fields))

    def send_failure(self, why: str) -> None:
        self.client.answer(self, rpc.Reply(self.msgid, FAULT, {}))


class ClientConnection(ManagedConnection):
    """Reads a client's requests and writes its answers.

    It is read all the time, whatever else is the matter with it: only so its client's going, and what the
    client takes back, is known at once, and nothing is sent on for one that has gone.
    """

    def __init__(self, front: Front, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        stream = Stream(connection, 2 * MOST_MESSAGE, MOST_UNREAD)
        stream.set_nodelay(True)
        super().__init__(stream, ConnectionLifecycle(BOUNDS, loop.time()))
        self.front = front
        self.open: dict[int, tuple[int, bytes]] = {}  # request and its id by message id
        self.since = self.quiet_since = self.partial_since = self.heard_at = loop.time()
        self.spoke = False
        self.asked = 0  # requests taken
        self.faults = 0
        self.scanner = rpc.Scanner(MOST_MESSAGE, MOST_ITEMS)
        self._readable = True  # bytes are where a message may begin
        self._out: list[bytes] = []
        self._late: dict[asyncio.TimerHandle, bytes] = {}  # answers to faults, until their penalty is over

    # --- reading ---

    def receive(self, data: bytes) -> None:
        if not self._readable:
            return
        self.heard_at = self.loop.time()
        began = not self.scanner.pending
        messages, error = self.scanner.feed(data)
        if began or messages:
            self.partial_since = self.heard_at
        for message in messages:
            if not self.lifecycle.processes_input:
                return
            try:
                self._on_message(message)
            except Exception:
                # Guards against a fault here that takes the connection's other requests with it.
                log.exception("message failed")
                self.drain("message failed")
        if error is not None:
            log.debug("unreadable client", why=str(error))
            self._readable = False
            self.drain("unreadable")

    def _on_message(self, message: bytes) -> None:
        try:
            called = rpc.read(message)
        except rpc.Malformed as error:
            self._fault(error.id, str(error))
            return
        if not self.spoke:
            self.spoke = True
            self._at_rest()
        if isinstance(called, rpc.Notice):
            for msgid in called.ids if called.method == "forget" else ():
                self._forget(msgid)
        elif not self.lifecycle.accepts_work:
            return  # it has sent too much that is wrong; what it has open is answered
        elif called.method == "isWell":
            self.write(rpc.reply(rpc.Reply(called.id, None, {}, self.front.well())))
            self._at_rest()
        else:
            self._on_call(called)

    def _on_call(self, call: rpc.Call) -> None:
        if call.id in self.open:
            # Which of the two an answer would be for, nobody can tell: neither gets one.
            self.abort("two requests under one number")
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
        number = self.front.submit(asked, Reply(self, call.id, asked.statement.id))
        self.open[call.id] = (number, asked.statement.id)
        self.asked += 1
        self.front.room.busy(self)

    def _forget(self, msgid: int) -> None:
        number, rid = self.open.pop(msgid, (0, b""))
        if number:
            self.front.gone(number, rid)
            self._at_rest()

    def _fault(self, msgid: int | None, why: str) -> None:
        """Answer what is wrong, later than what is right; past a few, take no more."""
        self.faults += 1
        self.front.faults += 1
        log.debug("bad message", why=why)
        if msgid is not None:
            data = rpc.reply(rpc.Reply(msgid, FAULT, {}))
            timer = self.loop.call_later(PENALTY, self._on_penalty_over)
            self._late[timer] = data
            self.front.room.busy(self)
        if self.faults >= FAULTS_MOST or msgid is None:
            self._end_penalties()
            self.drain("too much that is wrong")

    def _on_penalty_over(self) -> None:
        timer = next(iter(self._late))  # they are as long as each other: the first is over first
        self.write(self._late.pop(timer))
        self._at_rest()

    def _end_penalties(self) -> None:
        for timer, data in self._late.items():
            timer.cancel()
            self.write(data)
        self._late.clear()

    # --- answering ---

    @property
    def has_pending_work(self) -> bool:
        return bool(self.open or self._late)

    def answer(self, reply: Reply, answer: rpc.Reply) -> None:
        if self.open.pop(reply.msgid, None) is not None:
            self.front.ids.discard(reply.rid)
            self.write(rpc.reply(answer))
            self._at_rest()

    def _at_rest(self) -> None:
        if not self.has_pending_work:
            self.quiet_since = self.loop.time()
            self.front.room.rests(self)
        self.settle()

    def write(self, data: bytes) -> None:
        """Leaves at the end of this turn of the loop with all else that does, in one piece."""
        self._out.append(data)
        self.schedule_flush()

    def flush(self) -> None:
        if self._out and not self.stream.closed():
            out, self._out = self._out, []
            self.write_to_stream(b"".join(out))

    @property
    def has_queued_output(self) -> bool:
        return bool(self._out) and not self.stream.closed()

    # --- ending ---

    def drain(self, why: str) -> None:
        self._end_penalties()
        super().drain(why)

    def handle_event(self, event: Event, why: str) -> None:
        super().handle_event(event, why)
        if not (self.lifecycle.accepts_work or self.lifecycle.is_closed):
            self.front.room.closes(self)

    @property
    def at_rest(self) -> bool:
        """Nothing is open, under way, unwritten or unheard."""
        under_way = (
            self.has_pending_work
            or self.scanner.pending
            or self.has_pending_output
            or self.has_unprocessed_input
        )
        return self.lifecycle.accepts_work and not under_way

    def check_timeouts(self, now: float) -> None:
        """What only the absence of bytes can tell."""
        if self.has_pending_output:
            if self.stalled_for() > BOUNDS.stall_timeout:
                self.abort("its answers are not read")
        elif not self.lifecycle.accepts_work:
            return  # on its way out, within bounds of its own
        elif self.scanner.pending:
            if self._unfinished(now):
                self.call_after_pending_input(self._leave_unfinished)
        elif not self.spoke and not self.has_pending_work:
            if now > self.since + FIRST_WAIT:
                self.call_after_pending_input(self._leave_idle)
        elif now > self.quiet_since + IDLE:
            self.call_after_pending_input(self._leave_idle)

    def _unfinished(self, now: float) -> bool:
        """Whether the rest of a message has had its time."""
        late = now > self.heard_at + FIRST_WAIT or now > self.partial_since + MESSAGE_WAIT
        return bool(self.scanner.pending) and late

    def _leave_unfinished(self) -> None:
        """A message whose rest does not come: what is open is answered, and nothing more is read."""
        if self._unfinished(self.loop.time()) and not self.has_unprocessed_input:
            self._readable = False
            self.drain("a message stopped short")

    def _leave_idle(self) -> None:
        if self.at_rest:
            self.drain("idle")

    def on_closed(self, event: Event, why: str) -> None:
        """Its client has gone, or is not wanted: nobody waits for what is open here."""
        for timer in self._late:
            timer.cancel()
        self._late.clear()
        for number, rid in self.open.values():
            self.front.gone(number, rid)
        self.open.clear()
        self._out.clear()
        self.front.dropped(self)
