"""One connection to a compute node."""

from __future__ import annotations

import asyncio
import functools
import socket
from typing import TYPE_CHECKING

import structlog

from ...interface import Outcome
from ...resp import Parser
from ..config import Address
from ..lifecycle import ConnectionLimits, ConnectionLifecycle, Event
from ..managed_connection import ManagedConnection
from ..stream import READ_CHUNK_BYTES, Stream
from .attempt import Sending
from .client import client_of

if TYPE_CHECKING:
    from .pool import UpstreamPool

log = structlog.get_logger()
MOST_WORD = 8_192  # bytes of a word: a page has 6,000 at most
MOST_UNREAD = MOST_UNWRITTEN = 1_048_576  # bytes
MOST_UNSENT = 262_144  # bytes that a node may leave unread before its connection takes nothing more
MOST_SPENT = 512  # requests whose attempts ended here without a result; past it, it is left for a new one
MOST_PUT_OFF = 3  # times that an attempt waits for its client to be read
STALL = 0.5  # seconds without a byte for an answer that has begun: nodes write one at once
TRICKLE = 1.0  # seconds for the whole of an answer that has begun, however it trickles
BOUNDS = ConnectionLimits(stall_timeout=0.5, linger_timeout=0.25)


class NodeConnection(ManagedConnection):
    """Writes commands and reads answers. What has not been handed over can still be taken back."""

    def __init__(self, owner: UpstreamPool, engine: bytes, address: Address) -> None:
        """OSError where the system gives no socket."""
        loop = asyncio.get_running_loop()
        stream = Stream(socket.socket(), MOST_UNREAD, MOST_UNWRITTEN)
        bounds = ConnectionLimits(owner.limits.connect_timeout, BOUNDS.stall_timeout, BOUNDS.linger_timeout)
        super().__init__(stream, ConnectionLifecycle(bounds, loop.time(), outgoing=True))
        self.owner, self.engine, self.address = owner, engine, address
        self.open: dict[bytes, Sending] = {}
        self.spent: set[bytes] = set()  # a late answer to one must not pass for another attempt's
        self.probes: dict[bytes, float] = {}
        self.came_up = False
        self.heard_at = self.idle_since = self.partial_since = self.byte_at = loop.time()
        self._out: list[tuple[Sending | None, bytes]] = []
        self._put_off: list[tuple[Sending | None, bytes]] = []  # until their clients have been read
        self._parser = Parser(4, MOST_WORD)

    @property
    def has_pending_work(self) -> bool:
        return bool(self.open or self.probes)

    def takes(self, request_id: bytes, most: int) -> bool:
        # The stream knows of a break before the reader's turn comes: its write buffer is gone by then.
        return (
            self.lifecycle.accepts_work
            and not self.stream.closed()
            and len(self.open) < most
            and request_id not in self.open
            and request_id not in self.spent
            and self.backlog <= MOST_UNSENT
        )

    # --- writing ---

    def write(self, data: bytes, sending: Sending | None = None) -> None:
        """Leaves at the end of this turn of the loop with all else that does, in one piece."""
        self._out.append((sending, data))
        self.schedule_flush()

    def take_back(self, sending: Sending) -> None:
        self._out = [(other, data) for other, data in self._out if other is not sending]
        self._put_off = [(other, data) for other, data in self._put_off if other is not sending]

    @property
    def has_queued_output(self) -> bool:
        return bool(self._out or self._put_off) and not self.stream.closed()

    def flush(self) -> None:
        """Hand over what waits, unless the node leaves unread what went before.

        Guards against attempts that a client takes back while the node does not read: what waits here can
        be taken back, what the stream has cannot; and against more at once than the stream may hold.
        """
        if not self.stream.writing():
            self._put_off_unheard()
        while self._out and not self.stream.writing():
            if self.stream.peek() == b"":
                # Guards against a fetch into a connection that its node has closed, of which only the loop
                # does not know yet: it would count as one that may have run.
                self.handle_event(Event.EOF, "it had closed")
                return
            size = count = 0
            while count < len(self._out) and (not count or size < READ_CHUNK_BYTES):
                size += len(self._out[count][1])
                count += 1
            out, self._out = self._out[:count], self._out[count:]
            if not self._hand_over_all(out):
                return

    def _put_off_unheard(self) -> None:
        """What its client may have taken back, or left, waits until that has been read.

        Guards against an attempt that begins after its client has gone because the loop was late to hear it.
        A client that never pauses puts its own attempts off by a few turns of the loop, no longer.
        """
        unheard = [sending for sending, _ in self._out if sending is not None and self._unheard_of(sending)]
        for sending in unheard:
            sending.put_off += 1
        if unheard:
            self._put_off += [one for one in self._out if one[0] in unheard]
            self._out = [one for one in self._out if one[0] not in unheard]
            # Read in the second turn, told to the decisions, and acted on by the fourth.
            self.call_after_pending_input(functools.partial(self.call_after_pending_input, self._on_heard))

    @staticmethod
    def _unheard_of(sending: Sending) -> bool:
        # Answered: its client's going is told, and the decisions are stepped later in this turn.
        gone = sending.request.answered
        return sending.put_off < MOST_PUT_OFF and (gone or client_of(sending.request).unread)

    def _on_heard(self) -> None:
        self._out, self._put_off = self._out + self._put_off, []
        self._flush_and_settle()

    def _hand_over_all(self, out: list[tuple[Sending | None, bytes]]) -> bool:
        """Some commands, in one write; false: the connection has broken."""
        before, now = self.stream.bytes_accepted, self.loop.time()
        for sending, data in out:
            before += len(data)
            if sending is not None and not sending.left_at:
                sending.left_at, sending.ends_at = now, before
        if self.write_to_stream(b"".join(data for _, data in out)) and not self.stream.closed():
            return True
        # It broke at this write, or unseen before it. What did not leave whole ends at once; answers that
        # came before the break are still the reader's to take.
        for sending, _ in out:
            if sending is not None and not sending.may_have_run:
                self.owner.ended(sending, Outcome.CONNECT_FAILED)
        return False

    # --- reading ---

    async def connect(self) -> None:
        coming = self.stream.connect(self.address)
        # Not `asyncio.timeout`: after a hold-up of the process, its timer and the connection are there in one
        # turn, and one that is up would count as refused.
        done, _ = await asyncio.wait({coming}, timeout=self.owner.limits.connect_timeout)
        if not done:
            raise TimeoutError("it does not come up")
        coming.result()
        self.stream.set_nodelay(True)
        self.came_up = True
        self.heard_at = self.loop.time()

    def receive(self, data: bytes) -> None:
        self.byte_at = now = self.loop.time()
        began = not self._parser.pending
        answers, error = self._parser.feed(data)
        if began or answers:
            self.partial_since = now
        for words in answers:
            if not self.lifecycle.processes_input:
                return
            self.heard_at = now
            self.owner.on_answer(self, words)
        if error is not None:
            self.handle_event(Event.BROKEN, str(error))

    def look(self, now: float, idle_most: float) -> None:
        """What only the absence of bytes can tell."""
        if not self.lifecycle.processes_input:
            return
        if self._parser.pending:
            # Guards against an answer that trickles: each byte would put its end off, and all others on
            # the connection wait behind it. Where the loop itself was late, its rest may be there.
            late = now > self.byte_at + STALL or now > self.partial_since + TRICKLE
            if late and not self.has_unprocessed_input:
                self.abort("an answer stopped short")
        elif not self.has_pending_work and now > self.idle_since + idle_most:
            self.drain("idle")

    # --- ending ---

    def release(self, sending: Sending) -> None:
        """An attempt has ended."""
        self.open.pop(sending.statement.id, None)
        self.rest()

    def rest(self) -> None:
        """Something has ended here; the last one may end the connection."""
        if not self.has_pending_work:
            self.idle_since = self.loop.time()
            self.settle()

    def on_closed(self, event: Event, why: str) -> None:
        """Tell of each attempt what its bytes prove."""
        if self.has_pending_work:
            name = self.engine.decode("utf-8", "replace")
            log.info("link broke", engine=name, open=len(self.open), why=why)
        self.owner.dropped(self)
        self._out.clear()
        self._put_off.clear()
        broken = event in (Event.BROKEN, Event.EOF)
        failed = Outcome.CONNECT_FAILED if broken else Outcome.NOT_SENT
        for sending in list(self.open.values()):
            if broken and self.came_up and not (sending.left_at or sending.relinked):
                # It closed while it rested, or with what had left before: a new one tells whether its node
                # is there. Guards against a verdict on a node that closes idle connections.
                del self.open[sending.statement.id]
                self.owner.relink(sending)
            else:
                self.owner.ended(sending, Outcome.RESET if sending.may_have_run else failed)
        probes, self.probes = self.probes, {}
        for tag, since in probes.items():
            self.owner.probed(self, tag, Outcome.RESET if self.came_up else failed, since)
