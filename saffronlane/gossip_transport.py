"""Datagrams between gateways over UDP. Losses are not repaired; senders are known by their address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

import structlog

log = structlog.get_logger()
Address = tuple[str, int]
READ_DELAY = 0.05  # seconds from the first datagram to the read, which takes all that came meanwhile
LISTEN_RETRY_INTERVAL = 1.0  # seconds
MAX_READS_PER_TURN = 1024  # datagrams read in one turn of the event loop


class GossipTransport:
    """Sends datagrams to the other gateways and receives theirs.

    Receiving wakes the process once in `READ_DELAY`, not once a datagram.

    Args:
        listen: where datagrams come in.
        addresses: of all gateways by position, this one among them.
        position: this gateway's own.
        on_message: called with the sender's position and the bytes.
        to_all: one address that reaches every peer; None: each is written to.
    """

    MAX_DATAGRAM_BYTES = 256

    def __init__(
        self,
        listen: Address,
        addresses: Sequence[Address],
        position: int,
        on_message: Callable[[int, bytes], None],
        to_all: Address | None = None,
    ) -> None:
        self._listen = listen
        self._addresses = tuple(addresses)
        self._position = position
        self._on_message = on_message
        self._to_all = to_all
        self._socket: socket.socket | None = None
        self._position_by_address = {address: index for index, address in enumerate(self._addresses)}
        self._timer: asyncio.TimerHandle | None = None  # the next read, or the next attempt to listen

    def start(self) -> None:
        """Listen; where the address cannot be bound, log it and try again: service goes on without peers."""
        loop = asyncio.get_running_loop()
        try:
            self._socket = self._bound_socket()
        except OSError as error:
            log.error("gossip listen failed", listen=self._listen, error=str(error))
            self._timer = loop.call_later(LISTEN_RETRY_INTERVAL, self.start)
            return
        # The descriptor, not the socket: asyncio would format a socket, at the cost of two system calls.
        loop.add_reader(self._socket.fileno(), self._on_readable)

    def _bound_socket(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
        bound = socket.socket(family, socket.SOCK_DGRAM)
        try:
            bound.setblocking(False)
            bound.bind(self._listen)
        except OSError:
            bound.close()
            raise
        return bound

    def _on_readable(self) -> None:
        loop = asyncio.get_running_loop()
        if self._socket is not None:
            loop.remove_reader(self._socket.fileno())
        self._timer = loop.call_later(READ_DELAY, self._read)

    def _read(self) -> None:
        if self._socket is None:
            return
        try:
            self._read_all(self._socket)
        finally:  # an exception must not end the reading
            asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)

    def _read_all(self, bound: socket.socket) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, address = bound.recvfrom(self.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:  # an earlier datagram was refused by its receiver
                continue
            sender = self._position_by_address.get(address)
            if sender is None or sender == self._position:
                continue
            if len(data) <= self.MAX_DATAGRAM_BYTES:
                self._on_message(sender, data)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to the peer at a position, or to all where it is None."""
        if self._socket is None or len(data) > self.MAX_DATAGRAM_BYTES:
            return
        if peer is None and self._to_all is not None:
            self._write(self._socket, data, self._to_all)
            return
        for position, address in enumerate(self._addresses):
            if position != self._position and peer in (None, position):
                self._write(self._socket, data, address)

    @staticmethod
    def _write(bound: socket.socket, data: bytes, address: Address) -> None:
        try:
            bound.sendto(data, address)
        except OSError:  # no buffer space, or no receiver: a datagram may be lost
            return

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
