"""One connection of a client."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import structlog

from ... import msgpackrpc as rpc
from ..errors import BadRequestError
from ..lifecycle import Bounds, Connection, Event
from ..managed_connection import Endpoint
from ..stream import Stream

if TYPE_CHECKING:
    from .server import DownstreamServer

log = structlog.get_logger()
MAX_MESSAGE_BYTES = 262_144  # bytes of a request: statements are texts of a person's or a tool's making
MAX_MESSAGE_ITEMS = 256  # of a request: its fields are a dozen
MAX_OPEN_REQUESTS = 32  # requests on one connection, as the protocol has it
MAX_REPLY_BYTES = 49_152  # bytes of an answer: a result has 48,000 at most
MAX_UNREAD_BYTES = (
    MAX_OPEN_REQUESTS * MAX_REPLY_BYTES
)  # bytes that a client may leave unread: all that it may ask for
RECEIVE_TIMEOUT = (
    2.0  # seconds without a byte, for the first whole message and for the rest of one that has begun
)
MESSAGE_TIMEOUT = 10.0  # seconds for the whole of a message, however it trickles
IDLE_TIMEOUT = 5.0  # seconds without an open request; clients close theirs after 4
MAX_FAULTS = 8  # messages that are wrong until the connection is closed
FAULT_REPLY_DELAY = (
    0.25  # seconds that the answer to one waits, so that its sender does not send the next at once
)
SHED, FAULT = "Shed", "Fault"
BOUNDS = Bounds(stall=IDLE_TIMEOUT)


class ReplyChannel:
    """Where the answer to one request goes."""

    __slots__ = ("client", "message_id", "request_id")

    def __init__(self, client: ClientConnection, msgid: int, rid: bytes) -> None:
        self.client, self.message_id, self.request_id = client, msgid, rid

    @property
    def unread(self) -> bool:
        return self.client.unheard

    def served(self, body: bytes) -> None:
        self.client.answer(self, rpc.Reply(self.message_id, None, {}, body))

    def refused(self, retry_after: float) -> None:
        fields = {"backoff": str(max(1, round(retry_after * 1000.0)))} if retry_after > 0.0 else {}
        self.client.answer(self, rpc.Reply(self.message_id, SHED, fields))

    def failed(self, why: str) -> None:
        self.client.answer(self, rpc.Reply(self.message_id, FAULT, {}))


class ClientConnection(Endpoint):
    """Reads a client's requests and writes its answers.

    It is read all the time, whatever else is the matter with it: only so its client's going, and what the
    client takes back, is known at once, and nothing is sent on for one that has gone.
    """

    def __init__(self, front: DownstreamServer, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        stream = Stream(connection, 2 * MAX_MESSAGE_BYTES, MAX_UNREAD_BYTES)
        stream.set_nodelay(True)
        super().__init__(stream, Connection(BOUNDS, loop.time()))
        self.server = front
        self.open_requests: dict[int, tuple[int, bytes]] = {}  # request and its id by message id
        self.opened_at = self.idle_since = self.message_started_at = self.last_received_at = loop.time()
        self.has_sent_message = False
        self.request_count = 0  # requests taken
        self.fault_count = 0
        self.scanner = rpc.Scanner(MAX_MESSAGE_BYTES, MAX_MESSAGE_ITEMS)
        self._is_readable = True  # bytes are where a message may begin
        self._output: list[bytes] = []
        self._delayed_faults: dict[
            asyncio.TimerHandle, bytes
        ] = {}  # answers to faults, until their penalty is over

    # --- reading ---

    def take(self, data: bytes) -> None:
        if not self._is_readable:
            return
        self.last_received_at = self.loop.time()
        began = not self.scanner.pending
        messages, error = self.scanner.feed(data)
        if began or messages:
            self.message_started_at = self.last_received_at
        for message in messages:
            if not self.life.acts:
                return
            try:
                self._on_message(message)
            except Exception:
                # Guards against a fault here that takes the connection's other requests with it.
                log.exception("message failed")
                self.drain("message failed")
        if error is not None:
            log.debug("unreadable client", why=str(error))
            self._is_readable = False
            self.drain("unreadable")

    def _on_message(self, message: bytes) -> None:
        try:
            called = rpc.read(message)
        except rpc.Malformed as error:
            self._on_fault(error.id, str(error))
            return
        if not self.has_sent_message:
            self.has_sent_message = True
            self._update_idle()
        if isinstance(called, rpc.Notice):
            for msgid in called.ids if called.method == "forget" else ():
                self._on_cancel(msgid)
        elif not self.life.takes:
            return  # it has sent too much that is wrong; what it has open is answered
        elif called.method == "isWell":
            self.write(rpc.reply(rpc.Reply(called.id, None, {}, self.server.is_healthy())))
            self._update_idle()
        else:
            self._on_call(called)

    def _on_call(self, call: rpc.Call) -> None:
        if call.id in self.open_requests:
            # Which of the two an answer would be for, nobody can tell: neither gets one.
            self.abort("two requests under one number")
            return
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            self._on_fault(call.id, f"more than {MAX_OPEN_REQUESTS} requests open")
            return
        try:
            asked = self.server.decoder.decode(call)
            if asked.statement.request_id in self.server.open_request_ids:
                raise BadRequestError("rid: it is open already")
        except BadRequestError as error:
            self._on_fault(call.id, str(error))
            return
        number = self.server.submit(asked, ReplyChannel(self, call.id, asked.statement.request_id))
        self.open_requests[call.id] = (number, asked.statement.request_id)
        self.request_count += 1
        self.server.eviction.mark_busy(self)

    def _on_cancel(self, msgid: int) -> None:
        number, rid = self.open_requests.pop(msgid, (0, b""))
        if number:
            self.server.cancel(number, rid)
            self._update_idle()

    def _on_fault(self, msgid: int | None, why: str) -> None:
        """Answer what is wrong, later than what is right; past a few, take no more."""
        self.fault_count += 1
        self.server.fault_count += 1
        log.debug("bad message", why=why)
        if msgid is not None:
            data = rpc.reply(rpc.Reply(msgid, FAULT, {}))
            timer = self.loop.call_later(FAULT_REPLY_DELAY, self._on_penalty_over)
            self._delayed_faults[timer] = data
            self.server.eviction.mark_busy(self)
        if self.fault_count >= MAX_FAULTS or msgid is None:
            self._flush_delayed_faults()
            self.drain("too much that is wrong")

    def _on_penalty_over(self) -> None:
        timer = next(iter(self._delayed_faults))  # they are as long as each other: the first is over first
        self.write(self._delayed_faults.pop(timer))
        self._update_idle()

    def _flush_delayed_faults(self) -> None:
        for timer, data in self._delayed_faults.items():
            timer.cancel()
            self.write(data)
        self._delayed_faults.clear()

    # --- answering ---

    @property
    def owed(self) -> bool:
        return bool(self.open_requests or self._delayed_faults)

    def answer(self, reply: ReplyChannel, answer: rpc.Reply) -> None:
        if self.open_requests.pop(reply.message_id, None) is not None:
            self.server.open_request_ids.discard(reply.request_id)
            self.write(rpc.reply(answer))
            self._update_idle()

    def _update_idle(self) -> None:
        if not self.owed:
            self.idle_since = self.loop.time()
            self.server.eviction.mark_idle(self)
        self.settle()

    def write(self, data: bytes) -> None:
        """Leaves at the end of this turn of the loop with all else that does, in one piece."""
        self._output.append(data)
        self.pour_soon()

    def pour(self) -> None:
        if self._output and not self.stream.closed():
            out, self._output = self._output, []
            self.hand_over(b"".join(out))

    @property
    def queued(self) -> bool:
        return bool(self._output) and not self.stream.closed()

    # --- ending ---

    def drain(self, why: str) -> None:
        self._flush_delayed_faults()
        super().drain(why)

    def move(self, event: Event, why: str) -> None:
        super().move(event, why)
        if not (self.life.takes or self.life.closed):
            self.server.eviction.mark_closing(self)

    @property
    def is_idle(self) -> bool:
        """Nothing is open, under way, unwritten or unheard."""
        under_way = self.owed or self.scanner.pending or self.unwritten or self.unheard
        return self.life.takes and not under_way

    def check_timeouts(self, now: float) -> None:
        """What only the absence of bytes can tell."""
        if self.unwritten:
            if self.unmoved() > BOUNDS.stall:
                self.abort("its answers are not read")
        elif not self.life.takes:
            return  # on its way out, within bounds of its own
        elif self.scanner.pending:
            if self._message_timed_out(now):
                self.once_read(self._drain_unfinished)
        elif not self.has_sent_message and not self.owed:
            if now > self.opened_at + RECEIVE_TIMEOUT:
                self.once_read(self._drain_idle)
        elif now > self.idle_since + IDLE_TIMEOUT:
            self.once_read(self._drain_idle)

    def _message_timed_out(self, now: float) -> bool:
        """Whether the rest of a message has had its time."""
        late = (
            now > self.last_received_at + RECEIVE_TIMEOUT or now > self.message_started_at + MESSAGE_TIMEOUT
        )
        return bool(self.scanner.pending) and late

    def _drain_unfinished(self) -> None:
        """A message whose rest does not come: what is open is answered, and nothing more is read."""
        if self._message_timed_out(self.loop.time()) and not self.unheard:
            self._is_readable = False
            self.drain("a message stopped short")

    def _drain_idle(self) -> None:
        if self.is_idle:
            self.drain("idle")

    def on_closed(self, event: Event, why: str) -> None:
        """Its client has gone, or is not wanted: nobody waits for what is open here."""
        for timer in self._delayed_faults:
            timer.cancel()
        self._delayed_faults.clear()
        for number, rid in self.open_requests.values():
            self.server.cancel(number, rid)
        self.open_requests.clear()
        self._output.clear()
        self.server.on_connection_closed(self)
