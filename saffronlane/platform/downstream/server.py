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
from ..descriptors import Shortage
from .client_connection import ClientConnection, Reply
from .connection_eviction import Room
from .listener import Listener
from .request_decoder import Asked, Reader

MOST_PARTIAL = 8_388_608  # bytes of unfinished messages over all connections
UNREAD_SHARE = 0.25  # of the memory, for answers over all connections that their clients leave unread
EARLY = 0.9  # of the connections, from which on room is made before it is needed
LOOK_EVERY = 0.25
ROOM_AGAIN = 0.02  # seconds until room is looked for again


class Front:
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
        most_clients: int,
        well: Callable[[], bool],
        shortage: Shortage,
        memory: float,
    ) -> None:
        self.reader = Reader(settings)
        self.clients: dict[ClientConnection, None] = {}  # oldest first
        self.room = Room(most_clients)
        self.ids: set[bytes] = set()  # of open requests
        self.faults = 0
        self.taken = 0
        self.last_taken = 0.0
        self.accepted = self.displaced = 0
        self.well = well
        self.most_clients = most_clients
        self.listener = Listener(self._on_connection, shortage)
        self._executor, self._most_unread = executor, UNREAD_SHARE * memory
        self._loop = asyncio.get_running_loop()
        self._room_timer: asyncio.TimerHandle | None = None
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)

    def listen(self, address: Address) -> None:
        """OSError where the address cannot be had."""
        self.listener.listen(address)

    @property
    def port(self) -> int:
        return self.listener.port

    # --- room ---

    def _on_connection(self, connection: socket.socket) -> bool:
        self.accepted += 1
        client = ClientConnection(self, connection)
        self.clients[client] = None
        self.room.came(client)
        client.start()
        return self._room()

    def _room(self) -> bool:
        """Whether one more may come; where not, room is looked for until it may."""
        count = len(self.clients)
        if count < self.most_clients:
            if count > EARLY * self.most_clients:
                self._make_room_early()
            return True
        if self._room_timer is None:
            # What those that would make way have sent by now is to be read first.
            self._room_timer = self._loop.call_later(0.0, self._loop.call_soon, self._on_room_timer)
        return False

    def _on_room_timer(self) -> None:
        # First, and cancelled where there is room: a fault below must not leave the listener paused.
        self._room_timer = self._loop.call_later(ROOM_AGAIN, self._on_room_timer)
        if len(self.clients) < self.most_clients or self.make_room():
            self._room_timer.cancel()
            self._room_timer = None
            self.listener.resume()

    def _make_room_early(self) -> None:
        """While a few descriptors are left, the connection that is missed least gets a graceful close."""
        if self.room.closing >= (1.0 - EARLY) * self.most_clients:
            return
        client = self.room.to_displace(self._loop.time())
        if client is not None:
            client.call_after_pending_input(functools.partial(self._displace, client))

    def _displace(self, client: ClientConnection) -> None:
        if client.at_rest:
            client.drain("room for another")
            self.displaced += 1

    def make_room(self) -> bool:
        """Close the connection that is missed least at once; whether there was one."""
        client = self.room.to_abort(self._loop.time())
        if client is None:
            return False
        self.displaced += client.lifecycle.accepts_work
        client.abort("room for another")
        return True

    # --- requests ---

    def submit(self, asked: Asked, reply: Reply) -> int:
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
        self._executor.disconnect_client(number)

    def dropped(self, client: ClientConnection) -> None:
        """A connection is closed."""
        self.clients.pop(client, None)
        self.room.left(client)
        if len(self.clients) < self.most_clients:
            self.listener.resume()

    # --- time, and the end ---

    def _on_look(self) -> None:
        self._look = self._loop.call_later(LOOK_EVERY, self._on_look)  # first: no fault is its last
        now = self._loop.time()
        partial, unread = 0, 0.0
        for client in list(self.clients):
            client.run_isolated(functools.partial(client.check_timeouts, now))
            if not client.lifecycle.is_closed:
                partial += client.scanner.pending
                unread += client.backlog
                if partial > MOST_PARTIAL:
                    partial -= client.scanner.pending
                    client.abort("too much is unfinished")
        while unread > self._most_unread:
            slowest = max(self.clients, key=lambda client: client.backlog)
            unread -= slowest.backlog
            slowest.abort("too much is left unread by all")

    @property
    def owed(self) -> bool:
        """Whether an answer has not left."""
        return any(client.has_pending_work or client.has_pending_output for client in self.clients)

    def unread(self) -> bool:
        """Whether something waits to be accepted, or to be acted on. What can be accepted is."""
        waiting = self.listener.accept_waiting()
        return waiting or any(client.stream.has_undelivered_data for client in self.clients)

    def drain(self) -> None:
        """Listen no more, and end every connection gracefully."""
        self.listener.close()
        for client in list(self.clients):
            client.run_isolated(functools.partial(client.drain, "the process ends"))

    def close(self) -> None:
        """End at once."""
        self._look.cancel()
        if self._room_timer is not None:
            self._room_timer.cancel()
        self.listener.close()
        for client in list(self.clients):
            client.abort("closed")
