"""Which waiting query is next: hierarchical fair sharing of engine work, under limits.

At each level, the group goes on that has had the least work for its weight. This is start-time fair queueing
(Goyal, Vin and Cheng, 1996) over a tree: each group has a start tag; the one with the least is served and its
tag grows by work / weight; one that comes back from idleness starts at its parent's virtual time, so that it
has no credit from before, while an overdraft stays. Of two siblings that wait all the time, work over weight
differs by at most the largest query of each over its weight.

Queries of one group leave by deadline, so that the design's group EDF finds them in its own order.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from .errors import Full
from .spec import OTHER, GroupSpec

Path = tuple[str, ...]


@dataclass(slots=True, eq=False)
class Item:
    """A query as groups see it. `work` is in thread seconds, estimated; what it was is told at its end."""

    id: int
    deadline: float
    work: float
    threads: float = 1.0
    memory_mb: float = 0.0
    since: float = 0.0  # when it came, on the caller's clock
    node: Node | None = field(default=None, repr=False)
    running: bool = False
    gone: bool = False


@dataclass(slots=True, eq=False)
class Node:
    """One group's state: what it has out, what waits below it, and its start tag."""

    spec: GroupSpec
    parent: Node | None
    order: int
    children: dict[str, Node] = field(default_factory=dict)
    start: float = 0.0  # tag, in seconds of work a unit of weight
    clock: float = 0.0  # virtual time of its children
    waiting: int = 0
    pending: float = 0.0  # work of what waits
    threads: float = 0.0
    memory: float = 0.0
    running: int = 0
    work: float = 0.0  # of all that it was charged with
    queue: list[tuple[float, int, Item]] = field(default_factory=list)  # heap, of a leaf
    ready: list[tuple[int, int, float, int, int, Node]] = field(default_factory=list)  # heap of children
    version: int = 0  # of its entry in the parent's heap
    held: list[Node] = field(default_factory=list)  # children whose next query finds no room here
    first: Node | None = None  # the first of them, and the work that may still pass it
    room: float = 0.0
    made: int = 0  # children made on demand
    on_demand: bool = False
    parked: bool = True  # not in the parent's heap: nothing waits, or a limit binds

    @property
    def path(self) -> Path:
        return (*self.parent.path, self.spec.name) if self.parent is not None else ()

    def line(self) -> Iterator[Node]:
        """This group and those above it, the root last."""
        node: Node | None = self
        while node is not None:
            yield node
            node = node.parent


class Tree:
    """All groups of one gateway. `capacity` is the threads that it may have out, over all engines."""

    def __init__(self, spec: GroupSpec, capacity: float) -> None:
        self.capacity = capacity
        self._orders = itertools.count()
        self._entries = itertools.count()
        self.root = self._make(spec, None)
        self._items: dict[int, Item] = {}  # that wait or run
        self._ends: list[tuple[float, int, Item]] = []  # heap of the times at which queue times are over

    def _make(self, spec: GroupSpec, parent: Node | None) -> Node:
        node = Node(spec, parent, next(self._orders))
        node.children = {child.name: self._make(child, node) for child in spec.children}
        return node

    def find(self, path: Path) -> Node:
        """KeyError where there is no such group."""
        node = self.root
        for name in path:
            node = node.children[name]
        return node

    def place(self, path: Path) -> Node:
        """The group for a query: made where a shape says so, else as far down as there is one.

        Where the way ends in a group with others below it, queries wait in its group OTHER.
        """
        node = self.root
        for name in path:
            child = node.children.get(name) or self._on_demand(node, name)
            if child is None:
                break
            node = child
        while node.children or node.spec.each is not None:
            node = node.children.get(OTHER) or self._add(node, GroupSpec(OTHER))
        return node

    def _on_demand(self, node: Node, name: str) -> Node | None:
        shape = node.spec.each
        if shape is None:
            return None
        if node.made >= node.spec.most:
            self._collect(node)
        if node.made >= node.spec.most:
            return None
        node.made += 1
        child = self._add(node, replace(shape, name=name))
        child.on_demand = True
        return child

    def _add(self, node: Node, spec: GroupSpec) -> Node:
        child = node.children[spec.name] = self._make(spec, node)
        child.start = node.clock
        return child

    @staticmethod
    def _collect(node: Node) -> None:
        """Forget groups made on demand that are idle and owe nothing: a new one would be just the same."""
        idle = [
            name
            for name, one in node.children.items()
            if one.on_demand and not one.waiting and not one.running and one.start <= node.clock
        ]
        for name in idle:
            node.children.pop(name).version += 1
        node.made -= len(idle)

    # --- queries come and go ---

    def join(self, item: Item, path: Path) -> None:
        """Let a query wait in a group. Full where that or one above it takes no more."""
        leaf = self.place(path)
        for node in leaf.line():
            if node.waiting + 1 > node.spec.queued:
                raise Full(f"{int(node.spec.queued)} queries wait in group {'/'.join(node.path) or '/'}")
        item.node = leaf
        self._items[item.id] = item
        heapq.heappush(leaf.queue, (item.deadline, item.id, item))
        for node in leaf.line():
            node.waiting += 1
            node.pending += item.work
        self._limit_wait(item, leaf)
        self._wake(leaf)

    def _limit_wait(self, item: Item, leaf: Node) -> None:
        end = item.since + min(node.spec.queue_time for node in leaf.line())
        if end < math.inf:
            heapq.heappush(self._ends, (end, item.id, item))
            if len(self._ends) > 2 * self.root.waiting + 16:
                self._ends = [e for e in self._ends if not e[2].running and not e[2].gone]
                heapq.heapify(self._ends)

    def overdue(self, now: float) -> list[Item]:
        """Queries that have waited longer than one of their groups allows; they are given up here."""
        found = []
        while self._ends and self._ends[0][0] <= now:
            item = heapq.heappop(self._ends)[2]
            if not item.running and not item.gone:
                self.leave(item)
                found.append(item)
        return found

    def leave(self, item: Item) -> None:
        """A query that waits is given up."""
        if item.node is None or item.running or item.gone:
            return
        item.gone = True
        self._items.pop(item.id, None)
        for node in item.node.line():
            node.waiting -= 1
            node.pending = node.pending - item.work if node.waiting else 0.0
        self._tidy(item.node)
        self._wake(item.node)  # the one behind it may fit where it did not

    def next(self) -> Item | None:
        """The query whose turn it is, charged to its groups; None: nothing waits that limits let run."""
        leaf = self._peek(self.root)
        if leaf is None:
            return None
        _, _, item = heapq.heappop(leaf.queue)
        item.running = True
        for node in leaf.line():
            node.waiting -= 1
            node.pending = node.pending - item.work if node.waiting else 0.0
            node.running += 1
            node.threads += item.threads
            node.memory += item.memory_mb
            if node.parent is not None:
                node.parent.clock = max(node.parent.clock, node.start)
            self._charge(node, item.work)
        for child, node in itertools.pairwise(leaf.line()):
            if child is node.first:
                node.first = None
            elif node.first is not None:
                node.room -= item.work
        self._tidy(leaf)
        self._wake(leaf)
        return item

    def ended(self, item: Item, work: float | None = None) -> None:
        """A query that ran is over. `work` is what it took; None: it never ran, and costs nothing."""
        if item.node is None or not item.running:
            return
        item.running, item.gone = False, True
        self._items.pop(item.id, None)
        correction = (work if work is not None else 0.0) - item.work
        for node in item.node.line():
            node.running -= 1
            # Sums of many floats never come back to nothing by themselves, and limits look at them.
            node.threads = node.threads - item.threads if node.running else 0.0
            node.memory = node.memory - item.memory_mb if node.running else 0.0
            self._charge(node, correction)
        self._wake(item.node)

    def resize(self, capacity: float) -> None:
        """The fleet has grown or shrunk: shares of it are others now, for what runs too."""
        self.capacity = capacity
        for node in self._all(self.root):
            self._free(node)
            self._push(node)

    def swap(self, spec: GroupSpec, where: Callable[[Item], Path]) -> None:
        """Go on with another tree: nothing is killed, and no account is forgiven.

        What runs counts in the group of its path, or in the nearest one above that is still there. What waits
        goes where `where` says, whatever the new limits on waiting are. A group keeps what it owes beside its
        siblings, in work, whatever its weight was and is.
        """
        old, items = self.root, sorted(self._items.values(), key=lambda i: i.id)
        self._ends = []
        self.root = self._make(spec, None)
        self._inherit(old, self.root)
        for item in items:
            assert item.node is not None
            if item.running:
                item.node = self._nearest(item.node.path)
                for node in item.node.line():
                    node.running += 1
                    node.threads += item.threads
                    node.memory += item.memory_mb
            else:
                item.node = leaf = self.place(where(item))
                heapq.heappush(leaf.queue, (item.deadline, item.id, item))
                for node in leaf.line():
                    node.waiting += 1
                    node.pending += item.work
                self._limit_wait(item, leaf)
        for node in self._all(self.root):
            self._push(node)

    def _nearest(self, path: Path) -> Node:
        node = self.root
        for name in path:
            if name not in node.children:
                break
            node = node.children[name]
        return node

    def _inherit(self, old: Node, new: Node) -> None:
        """Accounts by path; groups made on demand live on where their shape does."""
        new.clock, new.work = old.clock, old.work
        for name, before in old.children.items():
            child = new.children.get(name)
            if child is None and (before.on_demand and new.spec.each is not None):
                child = self._on_demand(new, name)
            elif child is None and name == OTHER and (new.children or new.spec.each is not None):
                child = self._add(new, GroupSpec(OTHER))
            if child is None:
                continue
            owed = max(0.0, before.start - old.clock) * before.spec.weight
            child.start = new.clock + owed / child.spec.weight
            self._inherit(before, child)
        for child in new.children.values():
            child.start = max(child.start, new.clock)

    def drain_time(self, path: Path, rate: float) -> float:
        """Seconds in which what waits in a group would have run, at the share that weights give it now.

        `rate` is the thread seconds that the gateway gets done in a second.
        """
        node = self._nearest(path)
        share = 1.0
        for one in node.line():
            if one.parent is not None:
                others = [
                    c for c in one.parent.children.values() if c is not one and (c.waiting or c.running)
                ]
                share *= one.spec.weight / (one.spec.weight + sum(c.spec.weight for c in others))
        return node.pending / (rate * share) if rate > 0.0 else math.inf

    # --- inside ---

    def _all(self, node: Node) -> Iterator[Node]:
        yield node
        for child in node.children.values():
            yield from self._all(child)

    @staticmethod
    def _charge(node: Node, work: float) -> None:
        node.work += work
        node.start += work / node.spec.weight

    def _fits(self, node: Node, item: Item) -> bool:
        """Whether limits let it run. One alone always may: else what is larger than a limit never could."""
        if not node.running:
            return True
        spec = node.spec
        most = min(spec.threads, spec.largest * self.capacity)
        return node.threads + item.threads <= most and node.memory + item.memory_mb <= spec.memory_mb

    def _peek(self, node: Node) -> Node | None:
        """The group whose first query is next below a node; children that a limit binds are parked."""
        if not node.children:
            if not node.queue or not self._fits(node, node.queue[0][2]):
                return None
            return node
        while node.ready:
            *_, version, child = node.ready[0]
            leaf = self._peek(child) if version == child.version and child.waiting else None
            if leaf is not None:
                head = leaf.queue[0][2]
                if self._fits(node, head):
                    return leaf if child is node.first or self._may_pass(node, head) else None
                node.held.append(child)  # too large for what is left here: smaller ones may go meanwhile
                if node.first is None:
                    node.first, node.room = child, head.work
            heapq.heappop(node.ready)
            child.parked = child.parked or version == child.version
        return None

    @staticmethod
    def _may_pass(node: Node, item: Item) -> bool:
        """Others pass a query that finds no room by as much work as its own: then it is let in first."""
        return node.first is None or item.work <= node.room

    def _wake(self, leaf: Node) -> None:
        """Something changed on this line: what was parked there is looked at again, with its new place."""
        for node in leaf.line():
            self._free(node)
            self._push(node)

    def _free(self, node: Node) -> None:
        """Look again at the children that found no room here."""
        if node.first is not None and not node.first.waiting:
            node.first = None
        held, node.held = node.held, []
        for child in held:
            child.parked = False  # it keeps its place: not its own limit held it
            self._push(child)

    def _push(self, node: Node) -> None:
        if node.parent is None or not node.waiting:
            node.version += 1
            node.parked = True
            return
        node.version += 1
        if node.parked:  # a limit held it, or nothing waited: no credit for what it could not have used
            node.start = max(node.start, node.parent.clock)
            node.parked = False
        short = node.threads < node.spec.guaranteed * self.capacity
        entry = (-node.spec.priority, not short, node.start, node.order, node.version, node)
        heapq.heappush(node.parent.ready, entry)
        if len(node.parent.ready) > 4 * len(node.parent.children) + 16:  # entries of old versions
            valid = [e for e in node.parent.ready if e[4] == e[5].version]
            heapq.heapify(valid)
            node.parent.ready = valid

    @staticmethod
    def _tidy(leaf: Node) -> None:
        while leaf.queue and leaf.queue[0][2].gone:
            heapq.heappop(leaf.queue)
        if len(leaf.queue) > 2 * leaf.waiting + 16:  # given up further behind
            leaf.queue = [entry for entry in leaf.queue if not entry[2].gone]
            heapq.heapify(leaf.queue)
