"""Between the dispatchers: each one's listed address belongs to a relay, which knows who sent what.

A dispatcher writes to a peer's listed address, where the relay hears it; the relay writes on to where that
peer truly listens, from the sender's listed address, so that the peer knows the sender by it.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from .addresses import Address

MOST, KEPT = 2048, 4096  # bytes that are read of a datagram; datagrams remembered for playing again
AT_ONCE = 256


@dataclass(slots=True)
class Weather:
    """What happens to datagrams between some senders and some receivers; None: all of them."""

    senders: frozenset[int] | None = None
    receivers: frozenset[int] | None = None
    drop: float = 0.0  # shares of the datagrams
    duplicate: float = 0.0
    corrupt: float = 0.0
    delay: float = 0.0  # seconds
    jitter: float = 0.0  # seconds more at the most, drawn for each: what left later may come first

    def meets(self, sender: int, receiver: int) -> bool:
        return (self.senders is None or sender in self.senders) and (
            self.receivers is None or receiver in self.receivers
        )


@dataclass(frozen=True, slots=True)
class Datagram:
    at: float
    sender: int
    receiver: int
    data: bytes


@dataclass(eq=False)
class Relay:
    """Listens at every listed address. `close` ends it.

    Args:
        listed: addresses by position, as the dispatchers are told them.
        true: where each of them listens.
        to_all: the one address for all.
        on_pass: told of each datagram that is written on, with its time.
    """

    listed: list[Address]
    true: list[Address]
    to_all: Address
    random: Random
    on_pass: Callable[[Datagram], None] | None = None
    weather: list[Weather] = field(default_factory=list)
    passed: int = 0
    heard: int = 0
    remembered: deque[Datagram] = field(default_factory=lambda: deque(maxlen=KEPT))
    _sockets: list[socket.socket] = field(default_factory=list)
    _positions: dict[Address, int] = field(default_factory=dict)

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._positions = {address: n for n, address in enumerate(self.true)}
        for number, address in enumerate([*self.listed, self.to_all]):
            one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            one.setblocking(False)
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_194_304)
            one.bind(address)
            self._sockets.append(one)
            receiver = number if number < len(self.listed) else None
            loop.add_reader(one, self._on_readable, one, receiver)

    def _on_readable(self, one: socket.socket, receiver: int | None) -> None:
        for _ in range(AT_ONCE):
            try:
                data, address = one.recvfrom(MOST)
            except OSError:
                return
            sender = self._positions.get(address)
            if sender is None:
                continue
            self.heard += 1
            for to in range(len(self.true)) if receiver is None else (receiver,):
                if to != sender:
                    self._weigh(sender, to, data)

    def _weigh(self, sender: int, receiver: int, data: bytes) -> None:
        delay, copies = 0.0, 1
        for one in self.weather:
            if not one.meets(sender, receiver):
                continue
            if one.drop and self.random.random() < one.drop:
                return
            copies += one.duplicate > 0.0 and self.random.random() < one.duplicate
            delay += one.delay + (self.random.uniform(0.0, one.jitter) if one.jitter else 0.0)
            if one.corrupt and data and self.random.random() < one.corrupt:
                place = self.random.randrange(len(data))
                data = data[:place] + bytes([data[place] ^ 1 << self.random.randrange(8)]) + data[place + 1 :]
        for _ in range(copies):
            if delay:
                asyncio.get_running_loop().call_later(delay, self.write, sender, receiver, data)
            else:
                self.write(sender, receiver, data)

    def write(self, sender: int, receiver: int, data: bytes) -> None:
        """Now, whatever the weather: also for a datagram of long ago that is played again."""
        if not self._sockets:
            return
        self.passed += 1
        datagram = Datagram(asyncio.get_running_loop().time(), sender, receiver, data)
        self.remembered.append(datagram)
        if self.on_pass is not None:
            self.on_pass(datagram)
        try:
            self._sockets[sender].sendto(data, self.true[receiver])
        except OSError:
            return  # nobody there, or no room: it is lost

    def close(self) -> None:
        loop = asyncio.get_running_loop()
        sockets, self._sockets = self._sockets, []
        for one in sockets:
            loop.remove_reader(one)
            one.close()
