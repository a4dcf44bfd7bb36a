"""Attempts that other gateways reported by gossip."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .. import gossip_messages as messages
from .engines import Engine


@dataclass(slots=True, eq=False)
class PeerAttempt:
    """An attempt that another gateway reported.

    Attributes:
        expires_at: Time after which it no longer counts if its end was not reported.
        engine: The engine on which it runs.
        threads: Threads that it uses.
        memory_mb: Memory that it uses.
        bulk_load_table_digest: Digest of the table group that it locks; None if it is no bulk load.
    """

    expires_at: float
    engine: Engine
    threads: float
    memory_mb: float
    bulk_load_table_digest: int | None


class PeerLoadTable:
    """The reported attempts of other gateways; keeps the totals of each engine up to date.

    Attributes:
        threads: Threads of all reported attempts.
        entries: Reported attempts by the sender's index and the sender's number for the attempt.
    """

    def __init__(self) -> None:
        self.threads = 0.0
        self.entries: dict[tuple[int, int], PeerAttempt] = {}
        self._expirations: list[tuple[float, tuple[int, int]]] = []  # heap of times and keys

    def add(
        self, key: tuple[int, int], expires_at: float, engine: Engine, message: messages.GossipMessage
    ) -> None:
        """Add the attempt that a message reports."""
        table_digest = message.table_digest if message.is_bulk_load else None
        memory_mb = message.memory_ratio * engine.memory_mb
        self.insert(key, PeerAttempt(expires_at, engine, message.threads, memory_mb, table_digest))

    def insert(self, key: tuple[int, int], attempt: PeerAttempt) -> None:
        """Add an attempt under a key that is not in use."""
        self.entries[key] = attempt
        self._count(attempt, 1)
        heapq.heappush(self._expirations, (attempt.expires_at, key))

    def remove(self, key: tuple[int, int]) -> None:
        """Remove an attempt if the table contains it."""
        if attempt := self.entries.pop(key, None):
            self._count(attempt, -1)

    def expire(self, now: float) -> None:
        """Remove the attempts whose end was not reported before they expired."""
        while self._expirations and self._expirations[0][0] <= now:
            expires_at, key = heapq.heappop(self._expirations)
            if key in self.entries and self.entries[key].expires_at <= expires_at:
                self.remove(key)

    def _count(self, attempt: PeerAttempt, sign: int) -> None:
        attempt.engine.peer_threads += sign * attempt.threads
        attempt.engine.peer_memory_mb += sign * attempt.memory_mb
        self.threads += sign * attempt.threads
        digest = attempt.bulk_load_table_digest
        if digest is not None:
            bulk_loads = attempt.engine.peer_bulk_loads
            bulk_loads[digest] = bulk_loads.get(digest, 0) + sign
            if not bulk_loads[digest]:
                del bulk_loads[digest]
