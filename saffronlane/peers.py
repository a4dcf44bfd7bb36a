"""Messages between gateways: one UDP datagram each, lost ones stay lost. Senders are known by address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

Address = tuple[str, int]


class Peers(asyncio.DatagramProtocol):
    """The gateway's ear and mouth among its peers.

    Args:
        listen: where messages come in.
        addresses: of all gateways by position, this one among them.
        position: this gateway's own.
        on_message: told the sender's position and the bytes.
        to_all: one address that reaches every peer; None: each is written to.
    """

    MOST = 256

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
        self._transport: asyncio.DatagramTransport | None = None
        self._positions = {address: n for n, address in enumerate(self._addresses)}
        self._task: asyncio.Task[object] | None = None

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(loop.create_datagram_endpoint(lambda: self, local_addr=self._listen))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Address) -> None:
        sender = self._positions.get(addr)
        if sender is not None and sender != self._position and len(data) <= self.MOST:
            self._on_message(sender, data)

    def send(self, peer: int | None, data: bytes) -> None:
        if self._transport is None or len(data) > self.MOST:
            return
        if peer is None and self._to_all is not None:
            self._transport.sendto(data, self._to_all)
            return
        for position, address in enumerate(self._addresses):
            if position != self._position and peer in (None, position):
                self._transport.sendto(data, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
