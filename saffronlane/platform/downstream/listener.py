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
    """A listening socket that can pause.

    Args:
        on_connection: called with each accepted connection; returns whether there is capacity for another.
        exhaustion: reports errors for lack of descriptors.
    """

    def __init__(
        self, on_connection: Callable[[socket.socket], bool], exhaustion: DescriptorExhaustion
    ) -> None:
        self._on_connection = on_connection
        self._exhaustion = exhaustion
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []
        self._accepting = False
        self._retry: asyncio.TimerHandle | None = None
        self.pause_count = 0

    def listen(self, address: Address) -> None:
        """Bind and accept connections.

        Raises:
            OSError: the address cannot be bound.
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
        if self._accepting:
            return
        self._accepting = True
        for listening in self._sockets:
            # The descriptor, not the socket: asyncio would format a socket, at the cost of two system calls.
            self._loop.add_reader(listening.fileno(), self._accept, listening)

    @property
    def is_paused(self) -> bool:
        """Whether new connections wait in the system's backlog, the length of which is unknown."""
        return bool(self._sockets) and not self._accepting

    def pause(self) -> None:
        """Leave new connections in the system's backlog until `resume`."""
        if self._accepting:
            self._accepting = False
            self.pause_count += 1
            for listening in self._sockets:
                self._loop.remove_reader(listening.fileno())

    def _accept(self, listening: socket.socket) -> int:
        """Accept pending connections while there is capacity; return how many were tried."""
        for count in range(MAX_ACCEPTS_PER_TURN):
            if not self._accepting:
                return count
            try:
                connection, _ = listening.accept()
            except BlockingIOError:
                return count
            except ConnectionAbortedError:  # closed by the peer while it was in the backlog
                continue
            except OSError as error:
                self._on_accept_error(error)
                return count
            if not self._on_connection(connection):
                self.pause()
        return MAX_ACCEPTS_PER_TURN

    def _on_accept_error(self, error: OSError) -> None:
        """Pause for a while: the socket stays readable, and the loop would be busy with failing accepts."""
        if not self._exhaustion.report_if_exhausted(error, "accept"):
            log.error("accept failed", error=str(error))
        self.pause()
        self._retry = self._loop.call_later(ACCEPT_RETRY_INTERVAL, self.resume)

    def accept_pending(self) -> bool:
        """Accept connections from the system's backlog; return whether there were any."""
        return any([self._accept(listening) > 0 for listening in self._sockets])

    def close(self) -> None:
        """Close the listening sockets."""
        self.pause()
        if self._retry is not None:
            self._retry.cancel()
        for listening in self._sockets:
            listening.close()
        self._sockets = []
