"""Sends gossip between gateways as UDP datagrams.

Lost datagrams are not resent. The sender of a datagram is identified by its source address.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

import structlog

log = structlog.get_logger()
Address = tuple[str, int]
READ_DELAY = 0.05  # seconds from the first datagram until all datagrams received by then are read
LISTEN_RETRY_INTERVAL = 1.0  # seconds
MAX_READS_PER_TURN = 1024  # datagrams read in one turn of the event loop


class GossipTransport:
    """Sends datagrams to the other gateways and receives theirs.

    Received datagrams wake the process at most once per `READ_DELAY`, not once per datagram.

    Args:
        listen_address: The local address on which datagrams are received.
        addresses: The addresses of all gateways by position, including this gateway's own.
        position: The position of this gateway in `addresses`.
        on_message: Called with the sender's position and the bytes of the datagram.
        broadcast_address: An address that reaches every peer. If it is None, a message to all peers is sent
            to each peer's own address.
    """

    MAX_DATAGRAM_BYTES = 256

    def __init__(
        self,
        listen_address: Address,
        addresses: Sequence[Address],
        position: int,
        on_message: Callable[[int, bytes], None],
        broadcast_address: Address | None = None,
    ) -> None:
        self._listen_address = listen_address
        self._addresses = tuple(addresses)
        self._position = position
        self._on_message = on_message
        self._broadcast_address = broadcast_address
        self._socket: socket.socket | None = None
        self._position_by_address = {address: index for index, address in enumerate(self._addresses)}
        self._timer: asyncio.TimerHandle | None = None  # the next read, or the next attempt to listen

    def start(self) -> None:
        """Start to receive datagrams.

        If the address cannot be bound, the error is logged and the bind is retried every
        `LISTEN_RETRY_INTERVAL`. The gateway serves requests without gossip in the meantime.
        """
        loop = asyncio.get_running_loop()
        try:
            self._socket = self._bind_socket()
        except OSError as error:
            log.error("gossip listen failed", listen=self._listen_address, error=str(error))
            self._timer = loop.call_later(LISTEN_RETRY_INTERVAL, self.start)
            return
        # The descriptor is passed because asyncio would compute the repr of a socket object, which costs two
        # system calls.
        loop.add_reader(self._socket.fileno(), self._on_readable)

    def _bind_socket(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._listen_address[0] else socket.AF_INET
        udp_socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            udp_socket.setblocking(False)
            udp_socket.bind(self._listen_address)
        except OSError:
            udp_socket.close()
            raise
        return udp_socket

    def _on_readable(self) -> None:
        loop = asyncio.get_running_loop()
        if self._socket is not None:
            loop.remove_reader(self._socket.fileno())
        self._timer = loop.call_later(READ_DELAY, self._on_read_due)

    def _on_read_due(self) -> None:
        if self._socket is None:
            return
        try:
            self._read_datagrams(self._socket)
        finally:  # reading continues after an exception
            asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)

    def _read_datagrams(self, udp_socket: socket.socket) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, address = udp_socket.recvfrom(self.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:  # the system reports here that a datagram sent earlier was refused
                continue
            sender = self._position_by_address.get(address)
            if sender is None or sender == self._position:
                continue
            if len(data) <= self.MAX_DATAGRAM_BYTES:
                self._on_message(sender, data)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to one peer or to all peers.

        Args:
            peer: The position of the peer. If it is None, the datagram is sent to all peers.
            data: The bytes of the datagram. A datagram of more than `MAX_DATAGRAM_BYTES` is not sent.
        """
        if self._socket is None or len(data) > self.MAX_DATAGRAM_BYTES:
            return
        if peer is None and self._broadcast_address is not None:
            self._send_datagram(self._socket, data, self._broadcast_address)
            return
        for position, address in enumerate(self._addresses):
            if position != self._position and peer in (None, position):
                self._send_datagram(self._socket, data, address)

    @staticmethod
    def _send_datagram(udp_socket: socket.socket, data: bytes, address: Address) -> None:
        try:
            udp_socket.sendto(data, address)
        except OSError:  # no buffer space or no receiver; gossip tolerates lost datagrams
            return

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
