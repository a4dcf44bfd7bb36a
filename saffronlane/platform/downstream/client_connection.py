"""A connection of a client: handles its messages, and answers its requests."""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple

import structlog

from ... import msgpackrpc as rpc
from ..errors import BadRequestError
from ..lifecycle import ConnectionLifecycle, Event
from ..memory_budget import MemoryHolder
from ..stream import Stream
from . import client_timeouts
from .client_input import CANCEL_METHOD, ClientInput, WaitingSubmissions
from .client_output import ClientOutput
from .client_timeouts import ClientActivity, Overdue, find_overdue
from .connection_owner import ConnectionOwner
from .message_backlog import Message
from .message_reader import MAX_MESSAGE_BYTES
from .reply_channel import FAULT_ERROR, ReplyChannel, rejection
from .submission import Submission

log = structlog.get_logger()

HEALTH_CHECK_METHOD = "isWell"  # in the client protocol; not the name of a query class
MAX_OPEN_REQUESTS = 32  # the protocol's limit for each connection
REQUEST_OVERHEAD_BYTES = 4_096  # kept for each open request besides its statement
MAX_REPLY_BYTES = 49_152
MAX_UNREAD_BYTES = MAX_OPEN_REQUESTS * MAX_REPLY_BYTES  # reply bytes that a client may leave unread
MAX_INVALID_MESSAGES = 8  # number of invalid messages after which a connection is closed


class OpenRequest(NamedTuple):
    """A request that has no reply yet.

    Attributes:
        number: The dispatcher's number for the request.
        request_id: The client's id for the request.
        is_safe: Whether the request may be executed more than once.
    """

    number: int
    request_id: bytes
    is_safe: bool


class ClientConnection(ClientOutput):
    """Reads a client's requests and writes its replies.

    The connection is read ahead of the handling of its messages, for which `InputScheduler` allots the time.
    Cancellations are applied as soon as they are received, also to calls that have not been handled. No
    request is submitted or sent for a client that has closed its connection, however much of its input is
    unread.

    Args:
        server: The server that owns the connection.
        connection: The accepted socket.
    """

    def __init__(self, server: ConnectionOwner[ClientConnection], connection: socket.socket) -> None:
        now = asyncio.get_running_loop().time()
        stream = Stream(connection, 2 * MAX_MESSAGE_BYTES, MAX_UNREAD_BYTES, server.read_chunk_bytes)
        stream.set_nodelay(True)
        lifecycle = ConnectionLifecycle(client_timeouts.CONNECTION_LIMITS, now)
        super().__init__(stream, lifecycle, server.count_unread)
        self.server = server
        self.open_requests: dict[int, OpenRequest] = {}  # by message id
        self.memory = MemoryHolder(server.memory)  # of open requests and of a message that has begun
        self.opened_at = now
        self.idle_since = now
        self.has_sent_message = False
        self.request_count = 0
        self.invalid_message_count = 0
        self._input = ClientInput(self.memory, now)
        self._waiting_submissions = WaitingSubmissions()

    # --- reading ---

    def receive(self, data: bytes) -> None:
        """Parse received bytes and have the messages that they complete handled."""
        if not self._input.receive(data, self.loop.time(), self._on_cancel):
            return
        if self._input.has_messages:
            self.server.input_scheduler.handle(self)
        else:
            self._finish_input()

    def submit_when_read(self, submission: Submission) -> None:
        """Submit a request once all input that has arrived was read."""
        if self.stream.has_unread_input:
            self._waiting_submissions.add(submission)
        else:
            submission.submit()

    def on_input_read(self) -> None:
        """Submit the requests that waited for this."""
        self._waiting_submissions.submit_all()

    def handle_next_message(self) -> bool:
        """Handle the first message that waits; return whether more of them wait."""
        if not self.lifecycle.processes_input:
            self._input.clear()
        if self._input.has_messages:
            self._handle(self._input.pop())
        self._input.resume_reading()
        if self._input.has_messages:
            return True
        self._finish_input()
        return False

    def _handle(self, message: Message | None) -> None:
        try:
            if message is None:  # a call that was cancelled before it was handled, and needs no answer
                self._mark_used()
            else:
                self._on_message(message)
        except Exception:
            # The other open requests of the connection are still answered.
            log.exception("message handling failed")
            self.drain("message handling failed")

    def _finish_input(self) -> None:
        """Read on, now that all messages are handled, unless the bytes after them cannot be parsed."""
        self._input.resume_reading()
        error = self._input.take_error()
        if error is not None and self.lifecycle.processes_input:
            log.debug("client input cannot be parsed", error=str(error))
            self.drain("input unreadable")

    async def wait_until_handled(self) -> None:
        """Wait until further input may be read."""
        await self._input.wait_until_handled()

    @property
    def received_bytes(self) -> int:
        """The number of bytes that were received."""
        return self._input.received_bytes

    @property
    def is_within_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""
        return self._input.reader.is_within_message

    def close_if_left(self) -> bool:
        """Close the connection if its client has closed it, also if earlier input is unread.

        Returns:
            Whether the client has left. Its open requests are cancelled then.
        """
        if not self.lifecycle.is_closed and self.stream.has_peer_closed:
            self.handle_event(Event.EOF, "closed by the client")
        return self.lifecycle.is_closed

    @property
    def has_unhandled_input(self) -> bool:
        """Whether input was read that is not handled yet."""
        return self._input.has_messages or self.stream.has_undelivered_data

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether messages wait to be handled, or input has arrived that is not processed yet."""
        return self._input.has_messages or super().has_unprocessed_input

    @property
    def may_have_unread_requests(self) -> bool:
        """Whether input that may contain requests is not processed yet."""
        return self.lifecycle.accepts_work and self.has_unprocessed_input

    def _on_message(self, data: Message) -> None:
        if isinstance(data, rpc.DiscardedMessage):
            self._on_discarded_message(data)
            return
        try:
            message = rpc.decode_message(data)
        except rpc.InvalidMessageError as error:
            self._on_invalid_message(error.id, str(error))
            return
        self._mark_used()
        if isinstance(message, rpc.Notification):
            self._on_notification(message)
        elif not self.lifecycle.accepts_work:
            return  # while the connection closes, only requests that are already open are answered
        elif message.method == HEALTH_CHECK_METHOD:
            self._reply_at_once(rpc.Reply(message.id, None, {}, self.server.is_healthy()))
        else:
            self._on_call(message)

    def _mark_used(self) -> None:
        """Record that the client has sent a message."""
        if not self.has_sent_message:
            self.has_sent_message = True
            self._update_idle()

    def _on_notification(self, notification: rpc.Notification) -> None:
        if notification.method == CANCEL_METHOD:
            for message_id in notification.ids:
                self._on_cancel(message_id)

    def _on_call(self, call: rpc.Call) -> None:
        if call.id in self.open_requests:
            # The client could not attribute a reply to one of the two calls, so neither is answered.
            self.abort("duplicate message id")
            return
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            self._on_invalid_message(call.id, f"more than {MAX_OPEN_REQUESTS} requests open")
            return
        held_bytes = len(call.body or b"") + REQUEST_OVERHEAD_BYTES
        if not self.memory.admits(held_bytes):
            self._reject_for_memory(call.id)
            return
        try:
            request = self.server.decode(call)
        except BadRequestError as error:
            self._on_invalid_message(call.id, str(error))
            return
        request_id = request.statement.request_id
        self.memory.add(held_bytes)
        channel = ReplyChannel(self, call.id, request_id, held_bytes)
        submission = self.server.add_request(request, self, channel)
        is_safe = self.server.is_safe(request)
        self.open_requests[call.id] = OpenRequest(submission.number, request_id, is_safe)
        self.request_count += 1
        self.server.eviction.mark_busy(self)
        self.server.submit(submission)

    def _on_discarded_message(self, message: rpc.DiscardedMessage) -> None:
        """Reject a call whose bytes were not kept."""
        message_id = rpc.read_call_id(message.head)
        if message_id is None:
            self._on_invalid_message(None, "a message that is no call exceeds the memory that is left")
        elif message_id in self.open_requests:
            self.abort("duplicate message id")
        elif self.lifecycle.accepts_work:
            self._reject_for_memory(message_id)

    def _reject_for_memory(self, message_id: int) -> None:
        """Reject a call for which there is no memory. It never ran, so that the client may retry."""
        self.server.memory_rejection_count += 1
        self._reply_at_once(rejection(message_id, self.server.retry_after))

    def _reply_at_once(self, reply: rpc.Reply) -> None:
        """Reply to a call that is not submitted."""
        self.has_sent_message = True
        self.write(rpc.encode_reply(reply))
        self._update_idle()

    def _on_cancel(self, message_id: int) -> None:
        request = self.open_requests.pop(message_id, None)
        if request is not None:
            self.server.cancel(request.number, request.request_id, may_come_again=request.is_safe)
            self._update_idle()

    def _on_invalid_message(self, message_id: int | None, reason: str) -> None:
        """Count an invalid message and schedule an error reply if the message has a readable id.

        The connection is drained if the message has no readable id, or if the client has sent
        `MAX_INVALID_MESSAGES` invalid messages.
        """
        self.invalid_message_count += 1
        self.server.invalid_message_count += 1
        log.debug("invalid message received", reason=reason)
        if message_id is not None:
            reply = rpc.Reply(message_id, FAULT_ERROR, {})
            self.fault_replies.add(rpc.encode_reply(reply), self._write_last)
            self.server.eviction.mark_busy(self)
        if self.invalid_message_count >= MAX_INVALID_MESSAGES or message_id is None:
            self.drain("too many invalid messages")

    # --- writing ---

    @property
    def has_pending_work(self) -> bool:
        """Whether a request or a delayed reply is pending."""
        return bool(self.open_requests or self.fault_replies)

    def send_reply(self, channel: ReplyChannel, reply: rpc.Reply) -> None:
        """Write the reply to a request unless the request was cancelled."""
        if self.open_requests.pop(channel.message_id, None) is not None:
            self.server.open_request_ids.discard(channel.request_id)
            self.write(rpc.encode_reply(reply))
            self._update_idle()

    def _update_idle(self) -> None:
        if not self.has_pending_work:
            self.idle_since = self.loop.time()
            self.server.eviction.mark_idle(self)
        self.settle()

    def _write_last(self, data: bytes) -> None:
        """Queue a delayed reply, after which the connection may be idle."""
        self.write(data)
        self._update_idle()

    # --- timeouts and closing ---

    def drain(self, reason: str) -> None:
        """Accept no more requests, answer the open ones, and close the connection."""
        self.write_fault_replies()
        super().drain(reason)

    def handle_event(self, event: Event, reason: str) -> None:
        """Apply a lifecycle event."""
        super().handle_event(event, reason)
        if not (self.lifecycle.accepts_work or self.lifecycle.is_closed):
            self.server.eviction.mark_closing(self)

    @property
    def is_idle(self) -> bool:
        """Whether the connection has no open request, partial message, unsent reply or unprocessed input."""
        is_busy = (
            self.has_pending_work
            or self.is_within_message
            or self.has_pending_output
            or self.has_unprocessed_input
        )
        return self.lifecycle.accepts_work and not is_busy

    def check_timeouts(self, now: float) -> None:
        """Close the connection if the client is idle, or too slow to read replies or to send a message."""
        self._waiting_submissions.reject_late(now)
        match find_overdue(self._activity(now), now):
            case Overdue.READING:
                self.abort("replies not read")
            case Overdue.MESSAGE:
                self.call_after_pending_input(self._drain_unfinished)
            case Overdue.REQUEST:
                self.call_after_pending_input(self._drain_idle)

    def _activity(self, now: float) -> ClientActivity:
        return ClientActivity(
            accepts_work=self.lifecycle.accepts_work,
            stall_duration=self.update_stall() if self.has_pending_output else None,
            is_within_message=self.is_within_message,
            is_message_overdue=self._message_timed_out(now),
            has_sent_message=self.has_sent_message,
            has_pending_work=self.has_pending_work,
            opened_at=self.opened_at,
            idle_since=self.idle_since,
        )

    def _message_timed_out(self, now: float) -> bool:
        """Return whether a message has started and its rest is overdue.

        While a request is open, nothing is overdue: the connection could not tell the client that it drops
        the rest of the message before that request is answered.
        """
        return not self.has_pending_work and self._input.reader.is_overdue(now, self.idle_since)

    def _drain_unfinished(self) -> None:
        if self._message_timed_out(self.loop.time()) and not self.has_unprocessed_input:
            self._input.stop_parsing()
            self.drain("message incomplete")

    def _drain_idle(self) -> None:
        if self.is_idle:
            self.drain("idle")

    def on_closed(self, event: Event, reason: str) -> None:
        """Cancel the open requests of a client whose connection has closed."""
        self._input.close()
        self._waiting_submissions.clear()
        for request in self.open_requests.values():
            self.server.cancel(request.number, request.request_id, may_come_again=False)
        self.open_requests.clear()
        self.discard_output()
        self.server.on_connection_closed(self)
