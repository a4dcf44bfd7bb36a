"""Messages between gateways: one UDP datagram each, lost ones stay lost. Senders are known by address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

import structlog

log = structlog.get_logger()
Address = tuple[str, int]
READ_DELAY = 0.05  # seconds in which messages gather: they are news for later decisions, and each wake costs
LISTEN_RETRY_INTERVAL = 1.0  # seconds until the next try to listen
MAX_READS_PER_TURN = (
    1024  # read in one turn of the loop; a flood of more waits in the socket or is lost there
)


class GossipTransport:
    """The gateway's ear and mouth among its peers.

    What hundreds of gateways tell wakes each of them once in GATHER, not once a message.

    Args:
        listen: where messages come in.
        addresses: of all gateways by position, this one among them.
        position: this gateway's own.
        on_message: told the sender's position and the bytes.
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
        self._listen, self._addresses, self._position = listen, tuple(addresses), position
        self._on_message, self._to_all = on_message, to_all
        self._socket: socket.socket | None = None
        self._positions = {address: n for n, address in enumerate(self._addresses)}
        self._timer: asyncio.TimerHandle | None = None  # the next read, or the next try to listen

    def start(self) -> None:
        """Listen; where the address cannot be had, say so and try again: it serves without peers too."""
        family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
        loop, bound = asyncio.get_running_loop(), None
        try:
            bound = socket.socket(family, socket.SOCK_DGRAM)  # no descriptor may be left for it, too
            bound.setblocking(False)
            bound.bind(self._listen)
        except OSError as error:
            if bound is not None:
                bound.close()
            log.error("peers are not heard", listen=self._listen, why=str(error))
            self._timer = loop.call_later(LISTEN_RETRY_INTERVAL, self.start)
            return
        self._socket = bound
        loop.add_reader(bound.fileno(), self._on_readable)  # a socket would be printed, at two calls

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
        finally:  # guards against a fault that ends the reading for good
            asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)

    def _read_all(self, bound: socket.socket) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, address = bound.recvfrom(self.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:  # an earlier message found nobody; what follows is still to be read
                continue
            sender = self._positions.get(address)
            if sender is not None and sender != self._position and len(data) <= self.MAX_DATAGRAM_BYTES:
                self._on_message(sender, data)

    def send(self, peer: int | None, data: bytes) -> None:
        if self._socket is None or len(data) > self.MAX_DATAGRAM_BYTES:
            return
        if peer is None and self._to_all is not None:
            self._write(self._socket, data, self._to_all)
            return
        for position, address in enumerate(self._addresses):
            if position != self._position and peer in (None, position):
                self._write(self._socket, data, address)

    @staticmethod
    def _write(to: socket.socket, data: bytes, address: Address) -> None:
        try:
            to.sendto(data, address)
        except OSError:  # no room, or nobody there: a message may be lost
            return

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
