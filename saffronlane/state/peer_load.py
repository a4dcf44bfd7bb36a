"""Others' attempts, as far as they told."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .. import gossip_messages as messages
from .engines import Engine


@dataclass(slots=True, eq=False)
class PeerAttempt:
    """Another gateway's attempt, as it told."""

    expires_at: float
    engine: Engine
    threads: float
    memory_mb: float
    bulk_load_table_digest: int | None  # mark of the table group that a load holds


class PeerLoadTable:
    """Others' attempts by sender and number, and their sums at each engine."""

    def __init__(self) -> None:
        self.threads = 0.0
        self.entries: dict[tuple[int, int], PeerAttempt] = {}
        self.expirations: list[tuple[float, tuple[int, int]]] = []  # heap

    def add(
        self, key: tuple[int, int], expires_at: float, engine: Engine, message: messages.GossipMessage
    ) -> None:
        loads = message.table_digest if message.is_bulk_load else None
        memory = message.memory_ratio * engine.memory_mb
        self.insert(key, PeerAttempt(expires_at, engine, message.threads, memory, loads))

    def insert(self, key: tuple[int, int], attempt: PeerAttempt) -> None:
        self.entries[key] = attempt
        self._count(attempt, 1)
        heapq.heappush(self.expirations, (attempt.expires_at, key))

    def remove(self, key: tuple[int, int]) -> None:
        if told := self.entries.pop(key, None):
            self._count(told, -1)

    def expire(self, now: float) -> None:
        """Forget what has no end told by now."""
        while self.expirations and self.expirations[0][0] <= now:
            until, name = heapq.heappop(self.expirations)
            if name in self.entries and self.entries[name].expires_at <= until:
                self.remove(name)

    def _count(self, attempt: PeerAttempt, sign: int) -> None:
        attempt.engine.peer_threads += sign * attempt.threads
        attempt.engine.peer_memory_mb += sign * attempt.memory_mb
        self.threads += sign * attempt.threads
        if attempt.bulk_load_table_digest is not None:
            loads = attempt.engine.peer_bulk_loads
            loads[attempt.bulk_load_table_digest] = loads.get(attempt.bulk_load_table_digest, 0) + sign
            if not loads[attempt.bulk_load_table_digest]:
                del loads[attempt.bulk_load_table_digest]
