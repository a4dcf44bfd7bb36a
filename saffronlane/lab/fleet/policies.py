"""Simple placement policies to compare the dispatchers with. They send each request once, without retries."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, Protocol

from ...interface import Outcome
from .shape import PlannedRequest

if TYPE_CHECKING:
    from .virtual import VirtualNode

STATE_DELAY_S = 0.1  # age of the state that `DelayedTrueState` uses


class PlacementPolicy(Protocol):
    """Chooses a node for each request."""

    def choose_node(self, now: float, request: PlannedRequest, nodes: list[VirtualNode]) -> bytes | None:
        """Returns the name of the chosen node, or None if there is none."""
        ...

    def on_attempt_end(self, request: PlannedRequest, engine: bytes, outcome: Outcome) -> None:
        """Called when an attempt on a chosen node has ended."""
        ...


class RandomChoice:
    """Chooses a node at random."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)

    def choose_node(self, now: float, request: PlannedRequest, nodes: list[VirtualNode]) -> bytes | None:
        """Returns the name of the chosen node, or None if there is none."""
        return self.random.choice(nodes).name if nodes else None

    def on_attempt_end(self, request: PlannedRequest, engine: bytes, outcome: Outcome) -> None:
        """Does nothing, as this policy has no state."""
        return


class LocalTwoChoices(RandomChoice):
    """Chooses the less loaded of two random nodes, by the threads that the same dispatcher has in flight."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.threads_in_flight: dict[int, Counter[bytes]] = defaultdict(Counter)

    def choose_node(self, now: float, request: PlannedRequest, nodes: list[VirtualNode]) -> bytes | None:
        """Returns the name of the chosen node, or None if there is none."""
        own_threads = self.threads_in_flight[request.dispatcher]
        candidates = self.random.sample(nodes, min(2, len(nodes)))
        best = min(candidates, key=lambda node: own_threads[node.name], default=None)
        if best is not None:
            own_threads[best.name] += request.query_class.threads
        return best.name if best is not None else None

    def on_attempt_end(self, request: PlannedRequest, engine: bytes, outcome: Outcome) -> None:
        """Removes the attempt's threads from those in flight."""
        self.threads_in_flight[request.dispatcher][engine] -= request.query_class.threads


class RendezvousHash(RandomChoice):
    """Chooses the first node in the rendezvous order of the table group."""

    def choose_node(self, now: float, request: PlannedRequest, nodes: list[VirtualNode]) -> bytes | None:
        """Returns the name of the chosen node, or None if there is none."""
        table_group = b"%d " % request.table_group
        first = min(
            nodes, key=lambda node: blake2b(table_group + node.name, digest_size=8).digest(), default=None
        )
        return first.name if first is not None else None


class DelayedTrueState(RandomChoice):
    """Chooses the node with the fewest threads per capacity in a random sample of the nodes.

    It uses the true state of all nodes, as it was `STATE_DELAY_S` ago.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.snapshots: deque[tuple[float, dict[bytes, float]]] = deque()

    def choose_node(self, now: float, request: PlannedRequest, nodes: list[VirtualNode]) -> bytes | None:
        """Returns the name of the chosen node, or None if there is none."""
        loads = {
            node.name: sum(run.threads for run in node.machine.running) / node.machine.capacity(now)
            for node in nodes
            if not node.fails_queries and not node.machine.hung
        }
        self.snapshots.append((now, loads))
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now - STATE_DELAY_S:
            self.snapshots.popleft()
        delayed_loads = self.snapshots[0][1]
        available = [name for name in loads if name in delayed_loads] or list(loads)
        # Choosing among all nodes would send every request to the same node until its load becomes visible.
        candidates = self.random.sample(available, min(max(2, len(available) // 8), len(available)))
        return min(candidates, key=lambda name: delayed_loads.get(name, 0.0), default=None)
