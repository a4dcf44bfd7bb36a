"""Relays the datagrams between dispatchers and applies network faults to them.

The address of a dispatcher that is listed in the configuration of its peers belongs to the relay. The relay
forwards a datagram to the address at which the receiver really listens, with the sender's listed address as
the source, so that the receiver can identify the sender.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from .addresses import Address

# RECENT_DATAGRAM_COUNT is the number of forwarded datagrams that are kept for a replay.
MAX_DATAGRAM_BYTES, RECENT_DATAGRAM_COUNT = 2048, 4096
MAX_READS_PER_WAKEUP = 256  # bounds the time that one socket occupies the event loop


@dataclass(slots=True)
class NetworkConditions:
    """Faults of the datagrams between some senders and some receivers.

    Attributes:
        senders: The positions of the senders, or None for all of them.
        receivers: The positions of the receivers, or None for all of them.
        drop: The share of the datagrams that are dropped.
        duplicate: The share of the datagrams that are sent twice.
        corrupt: The share of the datagrams in which one bit is inverted.
        delay: A constant delay in seconds.
        jitter: The upper bound of an additional random delay in seconds, which can reorder datagrams.
    """

    senders: frozenset[int] | None = None
    receivers: frozenset[int] | None = None
    drop: float = 0.0
    duplicate: float = 0.0
    corrupt: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0

    def applies_to(self, sender: int, receiver: int) -> bool:
        """Whether the faults apply to datagrams from this sender to this receiver."""
        return (self.senders is None or sender in self.senders) and (
            self.receivers is None or receiver in self.receivers
        )


@dataclass(frozen=True, slots=True)
class Datagram:
    """A forwarded datagram with its time and the positions of its sender and receiver."""

    at: float
    sender: int
    receiver: int
    data: bytes


@dataclass(eq=False)
class Relay:
    """Forwards datagrams from the listed addresses to the dispatchers until `close`.

    Attributes:
        listed_addresses: The address of each dispatcher in the configuration of its peers, by position.
        listen_addresses: The address at which each dispatcher really listens.
        broadcast_address: An address whose datagrams the relay forwards to all dispatchers but the sender.
        random: The source of random numbers for the faults.
        on_forward: Called with each forwarded datagram.
        conditions: The faults that currently apply.
        forwarded_count: The number of forwarded datagrams.
        received_count: The number of datagrams received from dispatchers.
        recent_datagrams: The last forwarded datagrams, which can be replayed.
    """

    listed_addresses: list[Address]
    listen_addresses: list[Address]
    broadcast_address: Address
    random: Random
    on_forward: Callable[[Datagram], None] | None = None
    conditions: list[NetworkConditions] = field(default_factory=list)
    forwarded_count: int = 0
    received_count: int = 0
    recent_datagrams: deque[Datagram] = field(default_factory=lambda: deque(maxlen=RECENT_DATAGRAM_COUNT))
    _sockets: list[socket.socket] = field(default_factory=list)
    _positions: dict[Address, int] = field(default_factory=dict)

    def start(self) -> None:
        """Binds all sockets and starts to forward."""
        loop = asyncio.get_running_loop()
        self._positions = {address: n for n, address in enumerate(self.listen_addresses)}
        for number, address in enumerate([*self.listed_addresses, self.broadcast_address]):
            relay_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            relay_socket.setblocking(False)
            relay_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_194_304)
            relay_socket.bind(address)
            self._sockets.append(relay_socket)
            receiver = number if number < len(self.listed_addresses) else None
            loop.add_reader(relay_socket, self._on_readable, relay_socket, receiver)

    def _on_readable(self, relay_socket: socket.socket, receiver: int | None) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data, address = relay_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            sender = self._positions.get(address)
            if sender is None:
                continue
            self.received_count += 1
            for target in range(len(self.listen_addresses)) if receiver is None else (receiver,):
                if target != sender:
                    self._apply_conditions(sender, target, data)

    def _apply_conditions(self, sender: int, receiver: int, data: bytes) -> None:
        delay, copies = 0.0, 1
        for condition in self.conditions:
            if not condition.applies_to(sender, receiver):
                continue
            if condition.drop and self.random.random() < condition.drop:
                return
            copies += condition.duplicate > 0.0 and self.random.random() < condition.duplicate
            delay += condition.delay + (
                self.random.uniform(0.0, condition.jitter) if condition.jitter else 0.0
            )
            if condition.corrupt and data and self.random.random() < condition.corrupt:
                index = self.random.randrange(len(data))
                data = data[:index] + bytes([data[index] ^ 1 << self.random.randrange(8)]) + data[index + 1 :]
        for _ in range(copies):
            if delay:
                asyncio.get_running_loop().call_later(delay, self.write, sender, receiver, data)
            else:
                self.write(sender, receiver, data)

    def write(self, sender: int, receiver: int, data: bytes) -> None:
        """Forwards a datagram at once, regardless of the conditions. Also used to replay old datagrams."""
        if not self._sockets:
            return
        self.forwarded_count += 1
        datagram = Datagram(asyncio.get_running_loop().time(), sender, receiver, data)
        self.recent_datagrams.append(datagram)
        if self.on_forward is not None:
            self.on_forward(datagram)
        try:
            self._sockets[sender].sendto(data, self.listen_addresses[receiver])
        except OSError:
            return  # the receiver does not listen or a buffer is full: the datagram is lost

    def close(self) -> None:
        """Closes all sockets."""
        loop = asyncio.get_running_loop()
        sockets, self._sockets = self._sockets, []
        for relay_socket in sockets:
            loop.remove_reader(relay_socket)
            relay_socket.close()
