"""One connection to a compute node."""

from __future__ import annotations

import asyncio
import functools
import socket
from typing import TYPE_CHECKING

import structlog

from ...interface import Outcome
from ...resp import RespParser
from ..config import Address
from ..lifecycle import ConnectionLifecycle, ConnectionLimits, Event
from ..managed_connection import ManagedConnection
from ..stream import READ_CHUNK_BYTES, Stream
from .attempt import UpstreamAttempt
from .client import response_sink

if TYPE_CHECKING:
    from .pool import UpstreamPool

log = structlog.get_logger()
MAX_WORD_BYTES = 8_192  # bytes of a word: a page has 6,000 at most
MAX_UNREAD_BYTES = MAX_UNWRITTEN_BYTES = 1_048_576  # bytes
MAX_BACKLOG_BYTES = 262_144  # bytes that a node may leave unread before its connection takes nothing more
MAX_RETIRED_IDS = (
    512  # requests whose attempts ended here without a result; past it, it is left for a new one
)
MAX_DEFERRALS = 3  # times that an attempt waits for its client to be read
RESPONSE_STALL_TIMEOUT = 0.5  # seconds without a byte for an answer that has begun: nodes write one at once
RESPONSE_TIMEOUT = 1.0  # seconds for the whole of an answer that has begun, however it trickles
LIMITS = ConnectionLimits(stall_timeout=0.5, linger_timeout=0.25)


class UpstreamConnection(ManagedConnection):
    """Writes commands and reads answers. What has not been handed over can still be taken back."""

    def __init__(self, owner: UpstreamPool, engine: bytes, address: Address) -> None:
        """OSError where the system gives no socket."""
        loop = asyncio.get_running_loop()
        stream = Stream(socket.socket(), MAX_UNREAD_BYTES, MAX_UNWRITTEN_BYTES)
        bounds = ConnectionLimits(owner.limits.connect_timeout, LIMITS.stall_timeout, LIMITS.linger_timeout)
        super().__init__(stream, ConnectionLifecycle(bounds, loop.time(), outgoing=True))
        self.pool, self.engine, self.address = owner, engine, address
        self.attempts: dict[bytes, UpstreamAttempt] = {}
        self.retired_ids: set[bytes] = set()  # a late answer to one must not pass for another attempt's
        self.probes: dict[bytes, float] = {}
        self.is_established = False
        self.last_response_at = self.idle_since = self.response_started_at = self.last_byte_at = loop.time()
        self._outgoing: list[tuple[UpstreamAttempt | None, bytes]] = []
        self._deferred: list[tuple[UpstreamAttempt | None, bytes]] = []  # until their clients have been read
        self._parser = RespParser(4, MAX_WORD_BYTES)

    @property
    def has_pending_work(self) -> bool:
        return bool(self.attempts or self.probes)

    def has_capacity(self, request_id: bytes, most: int) -> bool:
        # The stream knows of a break before the reader's turn comes: its write buffer is gone by then.
        return (
            self.lifecycle.accepts_work
            and not self.stream.closed()
            and len(self.attempts) < most
            and request_id not in self.attempts
            and request_id not in self.retired_ids
            and self.backlog <= MAX_BACKLOG_BYTES
        )

    # --- writing ---

    def enqueue(self, data: bytes, sending: UpstreamAttempt | None = None) -> None:
        """Leaves at the end of this turn of the loop with all else that does, in one piece."""
        self._outgoing.append((sending, data))
        self.schedule_flush()

    def withdraw(self, sending: UpstreamAttempt) -> None:
        self._outgoing = [(other, data) for other, data in self._outgoing if other is not sending]
        self._deferred = [(other, data) for other, data in self._deferred if other is not sending]

    @property
    def has_queued_output(self) -> bool:
        return bool(self._outgoing or self._deferred) and not self.stream.closed()

    def flush(self) -> None:
        """Hand over what waits, unless the node leaves unread what went before.

        Guards against attempts that a client takes back while the node does not read: what waits here can
        be taken back, what the stream has cannot; and against more at once than the stream may hold.
        """
        if not self.stream.writing():
            self._defer_withdrawable()
        while self._outgoing and not self.stream.writing():
            if self.stream.peek() == b"":
                # Guards against a fetch into a connection that its node has closed, of which only the loop
                # does not know yet: it would count as one that may have run.
                self.handle_event(Event.EOF, "it had closed")
                return
            size = count = 0
            while count < len(self._outgoing) and (not count or size < READ_CHUNK_BYTES):
                size += len(self._outgoing[count][1])
                count += 1
            out, self._outgoing = self._outgoing[:count], self._outgoing[count:]
            if not self._send_batch(out):
                return

    def _defer_withdrawable(self) -> None:
        """What its client may have taken back, or left, waits until that has been read.

        Guards against an attempt that begins after its client has gone because the loop was late to hear it.
        A client that never pauses puts its own attempts off by a few turns of the loop, no longer.
        """
        unheard = [
            sending
            for sending, _ in self._outgoing
            if sending is not None and self._may_be_withdrawn(sending)
        ]
        for sending in unheard:
            sending.deferral_count += 1
        if unheard:
            self._deferred += [one for one in self._outgoing if one[0] in unheard]
            self._outgoing = [one for one in self._outgoing if one[0] not in unheard]
            # Read in the second turn, told to the decisions, and acted on by the fourth.
            self.call_after_pending_input(
                functools.partial(self.call_after_pending_input, self._requeue_deferred)
            )

    @staticmethod
    def _may_be_withdrawn(sending: UpstreamAttempt) -> bool:
        # Answered: its client's going is told, and the decisions are stepped later in this turn.
        gone = sending.request.answered
        return sending.deferral_count < MAX_DEFERRALS and (
            gone or response_sink(sending.request).has_unprocessed_input
        )

    def _requeue_deferred(self) -> None:
        self._outgoing, self._deferred = self._outgoing + self._deferred, []
        self._flush_and_settle()

    def _send_batch(self, out: list[tuple[UpstreamAttempt | None, bytes]]) -> bool:
        """Some commands, in one write; false: the connection has broken."""
        before, now = self.stream.bytes_accepted, self.loop.time()
        for sending, data in out:
            before += len(data)
            if sending is not None and not sending.sent_at:
                sending.sent_at, sending.end_offset = now, before
        if self.write_to_stream(b"".join(data for _, data in out)) and not self.stream.closed():
            return True
        # It broke at this write, or unseen before it. What did not leave whole ends at once; answers that
        # came before the break are still the reader's to take.
        for sending, _ in out:
            if sending is not None and not sending.may_have_run:
                self.pool.end_attempt(sending, Outcome.CONNECT_FAILED)
        return False

    # --- reading ---

    async def connect(self) -> None:
        coming = self.stream.connect(self.address)
        # Not `asyncio.timeout`: after a hold-up of the process, its timer and the connection are there in one
        # turn, and one that is up would count as refused.
        done, _ = await asyncio.wait({coming}, timeout=self.pool.limits.connect_timeout)
        if not done:
            raise TimeoutError("it does not come up")
        coming.result()
        self.stream.set_nodelay(True)
        self.is_established = True
        self.last_response_at = self.loop.time()

    def receive(self, data: bytes) -> None:
        self.last_byte_at = now = self.loop.time()
        began = not self._parser.has_partial_array
        answers, error = self._parser.feed(data)
        if began or answers:
            self.response_started_at = now
        for words in answers:
            if not self.lifecycle.processes_input:
                return
            self.last_response_at = now
            self.pool.on_response(self, words)
        if error is not None:
            self.handle_event(Event.BROKEN, str(error))

    def check_timeouts(self, now: float, idle_most: float) -> None:
        """What only the absence of bytes can tell."""
        if not self.lifecycle.processes_input:
            return
        if self._parser.has_partial_array:
            # Guards against an answer that trickles: each byte would put its end off, and all others on
            # the connection wait behind it. Where the loop itself was late, its rest may be there.
            late = (
                now > self.last_byte_at + RESPONSE_STALL_TIMEOUT
                or now > self.response_started_at + RESPONSE_TIMEOUT
            )
            if late and not self.has_unprocessed_input:
                self.abort("an answer stopped short")
        elif not self.has_pending_work and now > self.idle_since + idle_most:
            self.drain("idle")

    # --- ending ---

    def release(self, sending: UpstreamAttempt) -> None:
        """An attempt has ended."""
        self.attempts.pop(sending.statement.id, None)
        self.release_if_idle()

    def release_if_idle(self) -> None:
        """Something has ended here; the last one may end the connection."""
        if not self.has_pending_work:
            self.idle_since = self.loop.time()
            self.settle()

    def on_closed(self, event: Event, why: str) -> None:
        """Tell of each attempt what its bytes prove."""
        if self.has_pending_work:
            name = self.engine.decode("utf-8", "replace")
            log.info("link broke", engine=name, open=len(self.attempts), why=why)
        self.pool.remove_connection(self)
        self._outgoing.clear()
        self._deferred.clear()
        broken = event in (Event.BROKEN, Event.EOF)
        failed = Outcome.CONNECT_FAILED if broken else Outcome.NOT_SENT
        for sending in list(self.attempts.values()):
            if broken and self.is_established and not (sending.sent_at or sending.was_reassigned):
                # It closed while it rested, or with what had left before: a new one tells whether its node
                # is there. Guards against a verdict on a node that closes idle connections.
                del self.attempts[sending.statement.id]
                self.pool.reassign(sending)
            else:
                self.pool.end_attempt(sending, Outcome.RESET if sending.may_have_run else failed)
        probes, self.probes = self.probes, {}
        for tag, since in probes.items():
            self.pool.probed(self, tag, Outcome.RESET if self.is_established else failed, since)
