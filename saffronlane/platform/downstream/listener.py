"""Accepts connections while there is room for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import structlog
from tornado.netutil import bind_sockets

from ..config import Address
from ..descriptors import DescriptorExhaustion

log = structlog.get_logger()
ACCEPT_BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 128  # accepted in one turn of the loop: those that are served are to have their turns
ACCEPT_RETRY_INTERVAL = 0.05  # seconds until the next try where the system gave no descriptor


class Listener:
    """A listening socket that can pause.

    Args:
        on_connection: told each connection that was accepted; false: no room for another.
        shortage: told where the system gives no descriptor.
    """

    def __init__(
        self, on_connection: Callable[[socket.socket], bool], shortage: DescriptorExhaustion
    ) -> None:
        self._on_connection, self._shortage = on_connection, shortage
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []
        self._accepting = False
        self._retry: asyncio.TimerHandle | None = None
        self.pause_count = 0

    def listen(self, address: Address) -> None:
        """OSError where the address cannot be had."""
        self._sockets = bind_sockets(address[1], address[0], backlog=ACCEPT_BACKLOG)
        self.resume()

    @property
    def port(self) -> int:
        port: int = self._sockets[0].getsockname()[1]
        return port

    def resume(self) -> None:
        """There is room: accept what waits in the system, and what comes."""
        if self._accepting:
            return
        self._accepting = True
        for one in self._sockets:
            self._loop.add_reader(one.fileno(), self._accept, one)  # a socket would be printed, at two calls

    @property
    def is_paused(self) -> bool:
        """Those that come wait in the system: how many, it does not tell."""
        return bool(self._sockets) and not self._accepting

    def pause(self) -> None:
        """No descriptor is left for a client: those that come wait in the system until one is."""
        if self._accepting:
            self._accepting = False
            self.pause_count += 1
            for one in self._sockets:
                self._loop.remove_reader(one.fileno())

    def _accept(self, one: socket.socket) -> int:
        """Accept what waits, as far as there is room; how many that were."""
        for count in range(MAX_ACCEPTS_PER_TURN):
            if not self._accepting:
                return count
            try:
                connection, _ = one.accept()
            except BlockingIOError:
                return count
            except ConnectionAbortedError:  # it went while it waited
                continue
            except OSError as error:
                if not self._shortage.report_if_exhausted(error, "accept"):
                    log.error("cannot accept", why=str(error))
                # Guards against a busy loop: the socket stays readable while nothing can be accepted.
                self.pause()
                self._retry = self._loop.call_later(ACCEPT_RETRY_INTERVAL, self.resume)
                return count
            if not self._on_connection(connection):
                self.pause()
        return MAX_ACCEPTS_PER_TURN

    def accept_waiting(self) -> bool:
        """Take what the system has accepted already; whether there was any."""
        return any([self._accept(one) > 0 for one in self._sockets])

    def close(self) -> None:
        self.pause()
        if self._retry is not None:
            self._retry.cancel()
        for one in self._sockets:
            one.close()
        self._sockets = []
