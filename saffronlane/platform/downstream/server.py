"""All clients' connections, within the bounds of descriptors and bytes."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Callable

from ... import dispatch as d
from ...engines import Executor
from ...interface import Settings
from ..config import Address
from ..descriptors import DescriptorExhaustion
from .client_connection import ClientConnection, ReplyChannel
from .connection_eviction import EvictionOrder
from .listener import Listener
from .request_decoder import DecodedRequest, RequestDecoder

MAX_PARTIAL_BYTES = 8_388_608  # bytes of unfinished messages over all connections
MAX_UNREAD_RATIO = 0.25  # of the memory, for answers over all connections that their clients leave unread
EARLY_EVICTION_RATIO = 0.9  # of the connections, from which on room is made before it is needed
SWEEP_INTERVAL = 0.25
EVICTION_RETRY_INTERVAL = 0.02  # seconds until room is looked for again


class DownstreamServer:
    """Listens, and keeps the clients' connections within bounds.

    Args:
        executor: takes the requests.
        settings: the names of classes and tenants.
        most_clients: connections at once, those that linger among them.
        well: whether the node may be used.
        shortage: told where the system gives no descriptor.
        memory: bytes that the process may use.
    """

    def __init__(
        self,
        executor: Executor,
        settings: Settings,
        max_clients: int,
        is_healthy: Callable[[], bool],
        shortage: DescriptorExhaustion,
        memory_bytes: float,
    ) -> None:
        self.decoder = RequestDecoder(settings)
        self.clients: dict[ClientConnection, None] = {}  # oldest first
        self.eviction = EvictionOrder(max_clients)
        self.open_request_ids: set[bytes] = set()  # of open requests
        self.fault_count = 0
        self.request_count = 0
        self.last_request_at = 0.0
        self.accepted_count = self.evicted_count = 0
        self.is_healthy = is_healthy
        self.max_clients = max_clients
        self.listener = Listener(self._on_connection, shortage)
        self._executor, self._max_unread_bytes = executor, MAX_UNREAD_RATIO * memory_bytes
        self._loop = asyncio.get_running_loop()
        self._eviction_timer: asyncio.TimerHandle | None = None
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL, self._on_sweep_due)

    def listen(self, address: Address) -> None:
        """OSError where the address cannot be had."""
        self.listener.listen(address)

    @property
    def port(self) -> int:
        return self.listener.port

    # --- room ---

    def _on_connection(self, connection: socket.socket) -> bool:
        self.accepted_count += 1
        client = ClientConnection(self, connection)
        self.clients[client] = None
        self.eviction.add(client)
        client.start()
        return self._has_capacity()

    def _has_capacity(self) -> bool:
        """Whether one more may come; where not, room is looked for until it may."""
        count = len(self.clients)
        if count < self.max_clients:
            if count > EARLY_EVICTION_RATIO * self.max_clients:
                self._evict_early()
            return True
        if self._eviction_timer is None:
            # What those that would make way have sent by now is to be read first.
            self._eviction_timer = self._loop.call_later(0.0, self._loop.call_soon, self._on_eviction_due)
        return False

    def _on_eviction_due(self) -> None:
        # First, and cancelled where there is room: a fault below must not leave the listener paused.
        self._eviction_timer = self._loop.call_later(EVICTION_RETRY_INTERVAL, self._on_eviction_due)
        if len(self.clients) < self.max_clients or self.evict_now():
            self._eviction_timer.cancel()
            self._eviction_timer = None
            self.listener.resume()

    def _evict_early(self) -> None:
        """While a few descriptors are left, the connection that is missed least gets a graceful close."""
        if self.eviction.closing_count >= (1.0 - EARLY_EVICTION_RATIO) * self.max_clients:
            return
        client = self.eviction.graceful_candidate(self._loop.time())
        if client is not None:
            client.once_read(functools.partial(self._evict_if_idle, client))

    def _evict_if_idle(self, client: ClientConnection) -> None:
        if client.is_idle:
            client.drain("room for another")
            self.evicted_count += 1

    def evict_now(self) -> bool:
        """Close the connection that is missed least at once; whether there was one."""
        client = self.eviction.abort_candidate(self._loop.time())
        if client is None:
            return False
        self.evicted_count += client.life.takes
        client.abort("room for another")
        return True

    # --- requests ---

    def submit(self, asked: DecodedRequest, reply: ReplyChannel) -> int:
        self.request_count += 1
        self.last_request_at = self._loop.time()
        self.open_request_ids.add(asked.statement.request_id)
        return self._executor.submit(
            asked.statement,
            reply,
            lambda number: d.Submit(
                number,
                asked.class_index,
                asked.timeout,
                asked.tenant_index,
                asked.ordering_key,
                asked.estimated_work,
                asked.memory_mb,
                asked.table_group,
            ),
        )

    def cancel(self, number: int, rid: bytes) -> None:
        self.open_request_ids.discard(rid)
        self._executor.client_gone(number)

    def on_connection_closed(self, client: ClientConnection) -> None:
        """A connection is closed."""
        self.clients.pop(client, None)
        self.eviction.remove(client)
        if len(self.clients) < self.max_clients:
            self.listener.resume()

    # --- time, and the end ---

    def _on_sweep_due(self) -> None:
        self._sweep_timer = self._loop.call_later(
            SWEEP_INTERVAL, self._on_sweep_due
        )  # first: no fault is its last
        now = self._loop.time()
        partial, unread = 0, 0.0
        for client in list(self.clients):
            client.guarded(functools.partial(client.check_timeouts, now))
            if not client.life.closed:
                partial += client.scanner.pending
                unread += client.backlog
                if partial > MAX_PARTIAL_BYTES:
                    partial -= client.scanner.pending
                    client.abort("too much is unfinished")
        while unread > self._max_unread_bytes:
            slowest = max(self.clients, key=lambda client: client.backlog)
            unread -= slowest.backlog
            slowest.abort("too much is left unread by all")

    @property
    def has_unsent_replies(self) -> bool:
        """Whether an answer has not left."""
        return any(client.owed or client.unwritten for client in self.clients)

    def has_unread_input(self) -> bool:
        """Whether something waits to be accepted, or to be acted on. What can be accepted is."""
        waiting = self.listener.accept_waiting()
        return waiting or any(client.stream.handed_over for client in self.clients)

    def drain(self) -> None:
        """Listen no more, and end every connection gracefully."""
        self.listener.close()
        for client in list(self.clients):
            client.guarded(functools.partial(client.drain, "the process ends"))

    def close(self) -> None:
        """End at once."""
        self._sweep_timer.cancel()
        if self._eviction_timer is not None:
            self._eviction_timer.cancel()
        self.listener.close()
        for client in list(self.clients):
            client.abort("closed")
