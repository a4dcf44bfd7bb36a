"""Addresses of its own for each party of a fleet, in 127.0.0.0/8."""

from __future__ import annotations

import os
import socket
from random import Random

from ...errors import SaffronlaneError

Address = tuple[str, int]
PORT, GUARD = 4100, 4099
DISPATCHERS, PEERS, RELAYS, NODES, FEED = 0, 32, 64, 96, 128  # third numbers of addresses, from
A_NUMBER = 250  # parties to a third number


class NoAddresses(SaffronlaneError):
    """Every network that was tried is in use by another fleet."""

    remedy = "End other fleets on this machine, or wait until they have ended."


class Net:
    """One network 127.N.0.0/16, held by a socket for as long as the fleet lives."""

    def __init__(self) -> None:
        draws = Random(os.urandom(8))
        for _ in range(100):
            self._guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.number = draws.randrange(20, 250)
            try:
                self._guard.bind((f"127.{self.number}.0.1", GUARD))
            except OSError:
                self._guard.close()
                continue
            return
        raise NoAddresses("no network of 127.0.0.0/8 is free")

    def address(self, kind: int, number: int, port: int = PORT) -> Address:
        """Of the party with that number among those of its kind."""
        return f"127.{self.number}.{kind + number // A_NUMBER}.{2 + number % A_NUMBER}", port

    def close(self) -> None:
        self._guard.close()


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
