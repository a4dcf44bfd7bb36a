"""Assigns each process and stand-in of a fleet its own loopback address in 127.0.0.0/8."""

from __future__ import annotations

import os
import socket
from random import Random

from ...errors import SaffronlaneError

Address = tuple[str, int]
PORT, GUARD_PORT = 4100, 4099
# The value of the third octet at which the addresses of each group of processes or stand-ins start.
DISPATCHER_SUBNET, PEER_SUBNET, RELAY_SUBNET, NODE_SUBNET, FEED_SUBNET = 0, 32, 64, 96, 128
SUBNET_SIZE = 250  # addresses per value of the third octet


class NoAddresses(SaffronlaneError):
    """No free 127.N.0.0/16 network was found. Every network that was tried is in use by another fleet."""

    remedy = "End other fleets on this machine, or wait until they have ended."


class LoopbackNetwork:
    """A 127.N.0.0/16 network, reserved by a bound socket until `close`.

    Raises:
        NoAddresses: If each of 100 randomly chosen networks is in use.
    """

    def __init__(self) -> None:
        random = Random(os.urandom(8))
        for _ in range(100):
            self._guard_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.network_number = random.randrange(20, 250)
            try:
                self._guard_socket.bind((f"127.{self.network_number}.0.1", GUARD_PORT))
            except OSError:
                self._guard_socket.close()
                continue
            return
        raise NoAddresses("no free 127.N.0.0/16 network found in 100 attempts")

    def address(self, subnet: int, number: int, port: int = PORT) -> Address:
        """Returns the address of the process or stand-in with this number in the subnet."""
        return (
            f"127.{self.network_number}.{subnet + number // SUBNET_SIZE}.{2 + number % SUBNET_SIZE}",
            port,
        )

    def close(self) -> None:
        """Releases the network."""
        self._guard_socket.close()


def format_address(address: Address) -> str:
    """Formats an address as `host:port`."""
    return f"{address[0]}:{address[1]}"
