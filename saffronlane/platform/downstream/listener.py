"""Accepts client connections while there is capacity for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import structlog
from tornado.netutil import bind_sockets

from ..config import Address
from ..descriptors import DescriptorExhaustion

log = structlog.get_logger()
ACCEPT_BACKLOG = 1024  # connections
MAX_ACCEPTS_PER_TURN = 128  # connections accepted in one turn of the event loop
ACCEPT_RETRY_INTERVAL = 0.05  # seconds until the next accept after a system error


class Listener:
    """Listens on an address and can pause accepting connections.

    Args:
        on_connection: Called with each accepted socket. Returns whether there is capacity for another
            connection.
        exhaustion: Reports errors that are caused by a lack of file descriptors.
    """

    def __init__(
        self, on_connection: Callable[[socket.socket], bool], exhaustion: DescriptorExhaustion
    ) -> None:
        self._on_connection = on_connection
        self._exhaustion = exhaustion
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []
        self._is_accepting = False
        self._retry_timer: asyncio.TimerHandle | None = None
        self.pause_count = 0

    def listen(self, address: Address) -> None:
        """Bind the address and accept connections.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = address
        self._sockets = bind_sockets(port, host, backlog=ACCEPT_BACKLOG)
        self.resume()

    @property
    def port(self) -> int:
        """The bound port."""
        port: int = self._sockets[0].getsockname()[1]
        return port

    def resume(self) -> None:
        """Accept pending and new connections."""
        if self._is_accepting:
            return
        self._is_accepting = True
        for listening_socket in self._sockets:
            # The descriptor is passed because asyncio would compute the repr of a socket object, which costs
            # two system calls.
            self._loop.add_reader(listening_socket.fileno(), self._accept, listening_socket)

    @property
    def is_paused(self) -> bool:
        """Whether new connections wait in the system's backlog; their number is unknown."""
        return bool(self._sockets) and not self._is_accepting

    def pause(self) -> None:
        """Leave new connections in the system's backlog until `resume`."""
        if self._is_accepting:
            self._is_accepting = False
            self.pause_count += 1
            for listening_socket in self._sockets:
                self._loop.remove_reader(listening_socket.fileno())

    def _accept(self, listening_socket: socket.socket) -> int:
        """Accept pending connections while there is capacity; return the number of accept attempts."""
        for count in range(MAX_ACCEPTS_PER_TURN):
            if not self._is_accepting:
                return count
            try:
                connection, _ = listening_socket.accept()
            except BlockingIOError:
                return count
            except ConnectionAbortedError:  # the client closed the connection while it was in the backlog
                continue
            except OSError as error:
                self._on_accept_error(error)
                return count
            if not self._on_connection(connection):
                self.pause()
        return MAX_ACCEPTS_PER_TURN

    def _on_accept_error(self, error: OSError) -> None:
        """Pause for `ACCEPT_RETRY_INTERVAL`.

        The socket stays readable, so without a pause the event loop would be busy with failing accepts.
        """
        if not self._exhaustion.report_if_exhausted(error, "accept"):
            log.error("accept failed", error=str(error))
        self.pause()
        self._retry_timer = self._loop.call_later(ACCEPT_RETRY_INTERVAL, self.resume)

    def accept_pending(self) -> bool:
        """Accept connections from the system's backlog; return whether there were any."""
        return any([self._accept(listening_socket) > 0 for listening_socket in self._sockets])

    def close(self) -> None:
        """Close the listening sockets."""
        self.pause()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        for listening_socket in self._sockets:
            listening_socket.close()
        self._sockets = []
