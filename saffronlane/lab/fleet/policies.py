"""Plain policies beside the dispatchers in one run: each places a request once, and repeats nothing."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, Protocol

from ...interface import Outcome
from .shape import Asking

if TYPE_CHECKING:
    from .virtual import VirtualNode

LATE = 0.1  # seconds by which the policy that sees everything sees it late


class Chooser(Protocol):
    def choose(self, now: float, asking: Asking, nodes: list[VirtualNode]) -> bytes | None: ...

    def ended(self, asking: Asking, engine: bytes, outcome: Outcome) -> None: ...


class RandomChoice:
    """Any node."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)

    def choose(self, now: float, asking: Asking, nodes: list[VirtualNode]) -> bytes | None:
        return self.random.choice(nodes).name if nodes else None

    def ended(self, asking: Asking, engine: bytes, outcome: Outcome) -> None:
        return


class TwoByOwnNews(RandomChoice):
    """The less loaded of two, by what its own dispatcher has out there."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.out: dict[int, Counter[bytes]] = defaultdict(Counter)

    def choose(self, now: float, asking: Asking, nodes: list[VirtualNode]) -> bytes | None:
        own = self.out[asking.dispatcher]
        two = self.random.sample(nodes, min(2, len(nodes)))
        best = min(two, key=lambda node: own[node.name], default=None)
        if best is not None:
            own[best.name] += asking.sort.threads
        return best.name if best is not None else None

    def ended(self, asking: Asking, engine: bytes, outcome: Outcome) -> None:
        self.out[asking.dispatcher][engine] -= asking.sort.threads


class HashOrder(RandomChoice):
    """The first of the table group's rendezvous order."""

    def choose(self, now: float, asking: Asking, nodes: list[VirtualNode]) -> bytes | None:
        tables = b"%d " % asking.tables
        first = min(nodes, key=lambda n: blake2b(tables + n.name, digest_size=8).digest(), default=None)
        return first.name if first is not None else None


class TrueStateLate(RandomChoice):
    """The node with the least threads for what it can do now, as everything stood a moment ago."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.seen: deque[tuple[float, dict[bytes, float]]] = deque()

    def choose(self, now: float, asking: Asking, nodes: list[VirtualNode]) -> bytes | None:
        loads = {
            node.name: sum(run.threads for run in node.machine.running) / node.machine.capacity(now)
            for node in nodes
            if not node.errs and not node.machine.hung
        }
        self.seen.append((now, loads))
        while len(self.seen) > 1 and self.seen[1][0] <= now - LATE:
            self.seen.popleft()
        known = self.seen[0][1]
        able = [name for name in loads if name in known] or list(loads)
        # Of some drawn anew: else all would choose the same one until it is seen.
        two = self.random.sample(able, min(max(2, len(able) // 8), len(able)))
        return min(two, key=lambda name: known.get(name, 0.0), default=None)
