"""Accepts client connections within limits on descriptors and bytes, and submits their requests."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Callable

from ... import msgpackrpc as rpc
from ...engines import Executor
from ...interface import Idempotency, Settings
from ..config import Address
from ..descriptors import DescriptorExhaustion
from ..errors import BadRequestError
from ..memory_budget import MemoryBudget
from ..memory_plan import MemoryPlan
from ..stream import READ_CHUNK_BYTES
from .cancelled_requests import CancelledRequestIds
from .client_connection import ClientConnection
from .connection_eviction import EvictionOrder
from .input_scheduler import InputScheduler
from .listener import Listener
from .reply_channel import ReplyChannel
from .request_decoder import REQUEST_ID_FIELD, DecodedRequest, RequestDecoder
from .submission import RequestSubmitter, Submission

MIN_READ_CHUNK_BYTES = 4_096
EARLY_EVICTION_RATIO = 0.9  # fraction of the connection limit above which idle connections are evicted early
SWEEP_INTERVAL = 0.25  # seconds
EVICTION_RETRY_INTERVAL = 0.02  # seconds


def _read_chunk_bytes(read_buffer_bytes: float, max_clients: int) -> int:
    """Return the bytes to read at once from a client, so that all of them together need little memory."""
    chunk_bytes = int(read_buffer_bytes / max_clients)
    return max(MIN_READ_CHUNK_BYTES, min(chunk_bytes, READ_CHUNK_BYTES))


class DownstreamServer:
    """Listens for clients and enforces the limits on their connections.

    Args:
        executor: The executor to which requests are submitted.
        settings: The settings with the names of query classes and tenants.
        max_clients: Limit on the number of connections, including those that are closing.
        is_healthy: Returns whether the gateway is healthy, which is the reply to a health check.
        exhaustion: Reports errors that are caused by a lack of file descriptors.
        plan: The memory that clients may use.
        memory: The budget in which open requests and partial messages count.
    """

    def __init__(
        self,
        executor: Executor,
        settings: Settings,
        max_clients: int,
        is_healthy: Callable[[], bool],
        exhaustion: DescriptorExhaustion,
        plan: MemoryPlan,
        memory: MemoryBudget,
    ) -> None:
        max_clients = min(max_clients, plan.max_clients)
        self.decoder = RequestDecoder(settings)
        self.clients: dict[ClientConnection, None] = {}  # oldest first
        self.eviction: EvictionOrder[ClientConnection] = EvictionOrder(max_clients)
        self.open_request_ids: set[bytes] = set()
        max_deadline = max((query_class.deadline for query_class in settings.classes), default=0.0)
        self.cancelled_request_ids = CancelledRequestIds(max_age=max_deadline)
        self.input_scheduler = InputScheduler()
        self.invalid_message_count = 0
        self.memory_rejection_count = 0
        self.request_count = 0
        self.last_request_at = 0.0
        self.accepted_count = 0
        self.evicted_count = 0
        self.is_healthy = is_healthy
        self.max_clients = max_clients
        self.memory = memory
        self.read_chunk_bytes = _read_chunk_bytes(plan.read_buffer_bytes, max_clients)
        limits = settings.limits
        self.retry_after = limits.max_retry_after if limits.sends_retry_after else 0.0
        self.submitter = RequestSubmitter(executor, self.retry_after, self._unread_clients)
        self.listener = Listener(self._on_connection, exhaustion)
        self._settings = settings
        self._max_unread_bytes = plan.unread_bytes
        self._loop = asyncio.get_running_loop()
        self._eviction_timer: asyncio.TimerHandle | None = None
        self._relief: asyncio.Handle | None = None  # of memory that unread replies use
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL, self._on_sweep_due)

    def listen(self, address: Address) -> None:
        """Bind the address and accept connections.

        Raises:
            OSError: The address cannot be bound.
        """
        self.listener.listen(address)

    @property
    def port(self) -> int:
        """The bound port."""
        return self.listener.port

    # --- capacity ---

    def _on_connection(self, connection: socket.socket) -> bool:
        self.accepted_count += 1
        client = ClientConnection(self, connection)
        self.clients[client] = None
        self.eviction.add(client)
        client.start()
        return self._has_capacity()

    def _has_capacity(self) -> bool:
        """Return whether another connection may be accepted; start to evict connections if not."""
        count = len(self.clients)
        if count < self.max_clients:
            if count > EARLY_EVICTION_RATIO * self.max_clients:
                self._evict_early()
            return True
        if self._eviction_timer is None:
            # Input that the candidates have already sent is read before one of them is evicted.
            self._eviction_timer = self._loop.call_later(0.0, self._loop.call_soon, self._on_eviction_due)
        return False

    def _on_eviction_due(self) -> None:
        # The retry is scheduled first and cancelled on success, so that an exception below does not leave the
        # listener paused.
        self._eviction_timer = self._loop.call_later(EVICTION_RETRY_INTERVAL, self._on_eviction_due)
        if len(self.clients) < self.max_clients or self.evict_now():
            self._eviction_timer.cancel()
            self._eviction_timer = None
            self.listener.resume()

    def _evict_early(self) -> None:
        """Close one idle connection gracefully before the connection limit is reached."""
        if self.eviction.closing_count >= (1.0 - EARLY_EVICTION_RATIO) * self.max_clients:
            return
        client = self.eviction.graceful_candidate(self._loop.time())
        if client is not None:
            client.call_after_pending_input(functools.partial(self._evict_if_idle, client))

    def _evict_if_idle(self, client: ClientConnection) -> None:
        if client.is_idle:
            client.drain("evicted")
            self.evicted_count += 1

    def evict_now(self) -> bool:
        """Close the first connection in eviction order at once; return whether one was closed."""
        client = self.eviction.abort_candidate(self._loop.time())
        if client is None:
            return False
        self.evicted_count += client.lifecycle.accepts_work
        client.abort("evicted")
        return True

    # --- requests ---

    def decode(self, call: rpc.Call) -> DecodedRequest:
        """Decode a call.

        Raises:
            BadRequestError: A field is invalid, or a request with the same id is open or was cancelled.
        """
        request = self.decoder.decode(call)
        request_id = request.statement.request_id
        if request_id in self.open_request_ids:
            raise BadRequestError(f"field '{REQUEST_ID_FIELD}': a request with this id is already open")
        if self.cancelled_request_ids.contains(request_id, self._loop.time()):
            raise BadRequestError(f"field '{REQUEST_ID_FIELD}': a request with this id was cancelled")
        return request

    def add_request(
        self, request: DecodedRequest, client: ClientConnection, channel: ReplyChannel
    ) -> Submission:
        """Add a request, which `submit` then submits to the dispatcher."""
        self.request_count += 1
        self.last_request_at = self._loop.time()
        self.open_request_ids.add(request.statement.request_id)
        return self.submitter.add(request, client, channel)

    def submit(self, submission: Submission) -> None:
        """Submit a request. It may be answered, or its connection closed, before this returns."""
        self.submitter.submit(submission)

    def _unread_clients(self) -> list[ClientConnection]:
        """Return the connections whose input has not been read, including those that wait to be accepted."""
        self.listener.accept_pending()
        return [client for client in self.clients if client.may_have_unread_requests]

    def is_safe(self, request: DecodedRequest) -> bool:
        """Return whether a request may be executed more than once."""
        return self._settings.classes[request.class_index].idempotency is Idempotency.SAFE

    def cancel(self, number: int, request_id: bytes, may_come_again: bool) -> None:
        """Cancel a request whose client no longer waits for the reply.

        Args:
            number: The dispatcher's number for the request.
            request_id: The client's id for the request.
            may_come_again: Whether a request with this id may be submitted again.
        """
        self.open_request_ids.discard(request_id)
        if not may_come_again:
            self.cancelled_request_ids.add(request_id, self._loop.time())
        self.submitter.cancel(number)

    def on_connection_closed(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
        self.clients.pop(client, None)
        self.eviction.remove(client)
        if len(self.clients) < self.max_clients:
            self.listener.resume()

    # --- periodic sweep ---

    def _on_sweep_due(self) -> None:
        # The next sweep is scheduled first, so that an exception below does not end the sweeps.
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL, self._on_sweep_due)
        now = self._loop.time()
        for client in list(self.clients):
            client.run_isolated(functools.partial(client.check_timeouts, now))
            if not client.lifecycle.is_closed:
                client.count_unread()
        self._abort_slowest_readers()

    # --- unread replies ---

    def count_unread(self, change: int) -> None:
        """Count reply bytes that a client has not read; abort the slowest readers if they are too many."""
        self.memory.unread_reply_bytes += change
        if change > 0 and self.memory.unread_reply_bytes > self._max_unread_bytes and not self._relief:
            self._relief = self._loop.call_soon(self._abort_slowest_readers)

    def _abort_slowest_readers(self) -> None:
        """Abort the connections with the most unread replies while all of them exceed the limit together."""
        self._relief = None
        while self.memory.unread_reply_bytes > self._max_unread_bytes:
            slowest = max(self.clients, key=lambda client: client.unread_bytes)
            slowest.abort("unread replies exceed the limit over all connections")

    # --- shutdown ---

    @property
    def has_unsent_replies(self) -> bool:
        """Whether a request is open or a reply has not been sent completely."""
        return any(client.has_pending_work or client.has_pending_output for client in self.clients)

    def has_unread_input(self) -> bool:
        """Accept pending connections; return whether there were any, or whether any input is unprocessed."""
        has_accepted = self.listener.accept_pending()
        return has_accepted or any(client.has_unhandled_input for client in self.clients)

    def drain(self) -> None:
        """Stop listening and close every connection gracefully."""
        self.listener.close()
        for client in list(self.clients):
            client.run_isolated(functools.partial(client.drain, "process ends"))

    def close(self) -> None:
        """Stop listening and close all connections at once."""
        self._sweep_timer.cancel()
        if self._eviction_timer is not None:
            self._eviction_timer.cancel()
        self.listener.close()
        for client in list(self.clients):
            client.abort("closed")
