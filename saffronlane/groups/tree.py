"""The order in which waiting queries run: hierarchical fair sharing of engine work, under limits.

At each level of the tree, the group that has received the least work relative to its weight is served next.
The algorithm is start-time fair queueing (Goyal, Vin and Cheng, 1996). Each group has a start tag. The group
with the smallest tag is served, and its tag grows by work / weight. The tag of a group that becomes active
after an idle period is raised to the virtual time of its parent, unless it is larger already. So a group
gains no credit while it is idle, but work that it received beyond its share still counts. For any two
siblings that always have waiting queries, the ratios of received work to weight differ by at most
L1 / w1 + L2 / w2. Here w1 and w2 are the weights of the siblings, and L1 and L2 are the work of the largest
query of each.

Within a group, queries run in the order of their deadlines, as in group EDF.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from .errors import Full
from .spec import OTHER_GROUP, GroupSpec

GroupPath = tuple[str, ...]


@dataclass(slots=True, eq=False)
class Item:
    """A query in the tree.

    Attributes:
        id: A unique number. Queries of one group with equal deadlines run in the order of their ids.
        deadline: The deadline on the caller's clock. Queries of one group run in the order of their
            deadlines.
        work: The estimated work in thread seconds. `Tree.ended` is given the measured work.
        threads: The number of threads that the query uses while it runs.
        memory_mb: The memory that the query uses while it runs, in MB.
        enqueued_at: The time on the caller's clock at which the query joined the tree.
        node: The group in which the query waits or runs.
        running: Whether the query is running.
        gone: Whether the query has left the tree, either at its end or before it ran.
    """

    id: int
    deadline: float
    work: float
    threads: float = 1.0
    memory_mb: float = 0.0
    enqueued_at: float = 0.0
    node: Node | None = field(default=None, repr=False)
    running: bool = False
    gone: bool = False


@dataclass(slots=True, eq=False)
class Node:
    """The state of one group.

    Attributes:
        spec: The settings of the group.
        parent: The group above this one. None for the root.
        sequence_number: The order of creation, which is the last criterion of the order among siblings.
        children: The groups below this one, by name.
        start_tag: The start tag of fair queueing, in thread seconds of work per unit of weight.
        virtual_time: The virtual time of fair queueing among the children.
        waiting: The number of waiting queries in this group and below it.
        pending: The estimated work of the waiting queries in this group and below it, in thread seconds.
        threads: The threads of the running queries in this group and below it.
        memory: The memory of the running queries in this group and below it, in MB.
        running: The number of running queries in this group and below it.
        work: The total work that the group was charged with, in thread seconds.
        queue: The heap of waiting queries of a leaf, by deadline. It may contain queries that are gone.
        ready_heap: The heap of children that may have a query to run. An entry is ignored unless its
            version equals the child's `entry_version`.
        entry_version: The version of this group's current entry in the heap of the parent.
        blocked_children: Children whose next query does not fit into the limits of this group at present.
        first: The child that was blocked first, until it runs a query or has none waiting. None if there is
            no such child.
        bypass_allowance: The amount of work that other children may still run before the next query of
            `first`.
        on_demand_count: The number of children that were created on demand.
        is_on_demand: Whether this group was created on demand.
        is_parked: Whether the group has no entry in the heap of the parent, because it has no waiting queries
            or because a limit applies. If it is set when the group gets an entry again, the start tag is
            raised to the parent's virtual time.
    """

    spec: GroupSpec
    parent: Node | None
    sequence_number: int
    children: dict[str, Node] = field(default_factory=dict)
    start_tag: float = 0.0
    virtual_time: float = 0.0
    waiting: int = 0
    pending: float = 0.0
    threads: float = 0.0
    memory: float = 0.0
    running: int = 0
    work: float = 0.0
    queue: list[tuple[float, int, Item]] = field(default_factory=list)
    ready_heap: list[tuple[int, int, float, int, int, Node]] = field(default_factory=list)
    entry_version: int = 0
    blocked_children: list[Node] = field(default_factory=list)
    first: Node | None = None
    bypass_allowance: float = 0.0
    on_demand_count: int = 0
    is_on_demand: bool = False
    is_parked: bool = True

    @property
    def path(self) -> GroupPath:
        """The names of the groups on the way from the root to this one. The root itself is not included."""
        return (*self.parent.path, self.spec.name) if self.parent is not None else ()

    def line(self) -> Iterator[Node]:
        """Returns this group and its ancestors, the root last."""
        node: Node | None = self
        while node is not None:
            yield node
            node = node.parent


class Tree:
    """All groups of one gateway.

    Args:
        spec: The settings of the root.
        capacity: The number of threads that the gateway's running queries may use, over all engines.
    """

    def __init__(self, spec: GroupSpec, capacity: float) -> None:
        self.capacity = capacity
        self._sequence_numbers = itertools.count()
        self._entries = itertools.count()
        self.root = self._build(spec, None)
        self._items: dict[int, Item] = {}  # waiting and running queries, by id
        self._queue_expirations: list[tuple[float, int, Item]] = []  # heap by expiration time

    def _build(self, spec: GroupSpec, parent: Node | None) -> Node:
        node = Node(spec, parent, next(self._sequence_numbers))
        node.children = {child.name: self._build(child, node) for child in spec.children}
        return node

    def find(self, path: GroupPath) -> Node:
        """Returns the group of a path.

        Raises:
            KeyError: The tree has no such group.
        """
        node = self.root
        for name in path:
            node = node.children[name]
        return node

    def find_or_create_leaf(self, path: GroupPath) -> Node:
        """Returns the group in which a query with a given path waits, and creates it if necessary.

        A missing group on the path is created if its parent has a template for groups created on demand and
        has not reached its limit on them. Otherwise the search ends at the last existing group. If that group
        has children or a template, the query waits in its child `OTHER_GROUP`.
        """
        node = self.root
        for name in path:
            child = node.children.get(name) or self._create_on_demand(node, name)
            if child is None:
                break
            node = child
        while node.children or node.spec.each is not None:
            node = node.children.get(OTHER_GROUP) or self._add_child(node, GroupSpec(OTHER_GROUP))
        return node

    def _create_on_demand(self, node: Node, name: str) -> Node | None:
        template = node.spec.each
        if template is None:
            return None
        if node.on_demand_count >= node.spec.most:
            self._collect_idle(node)
        if node.on_demand_count >= node.spec.most:
            return None
        node.on_demand_count += 1
        child = self._add_child(node, replace(template, name=name))
        child.is_on_demand = True
        return child

    def _add_child(self, node: Node, spec: GroupSpec) -> Node:
        child = node.children[spec.name] = self._build(spec, node)
        child.start_tag = node.virtual_time
        return child

    @staticmethod
    def _collect_idle(node: Node) -> None:
        """Removes idle groups that were created on demand, unless they received more than their share.

        A new group of the same name would get the same start tag on its first query, so the removal changes
        no shares.
        """
        idle = [
            name
            for name, child in node.children.items()
            if child.is_on_demand
            and not child.waiting
            and not child.running
            and child.start_tag <= node.virtual_time
        ]
        for name in idle:
            node.children.pop(name).entry_version += 1
        node.on_demand_count -= len(idle)

    # --- arrival and end of queries ---

    def join(self, item: Item, path: GroupPath) -> None:
        """Adds a query to the queue of a group.

        Raises:
            Full: The queue of the group or of one of its ancestors is at its limit.
        """
        leaf = self.find_or_create_leaf(path)
        for node in leaf.line():
            if node.waiting + 1 > node.spec.queued:
                raise Full(
                    f"queue limit reached: {int(node.spec.queued)} queries wait in group"
                    f" {'/'.join(node.path) or '/'}"
                )
        item.node = leaf
        self._items[item.id] = item
        heapq.heappush(leaf.queue, (item.deadline, item.id, item))
        for node in leaf.line():
            node.waiting += 1
            node.pending += item.work
        self._track_queue_time(item, leaf)
        self._refresh_ancestors(leaf)

    def _track_queue_time(self, item: Item, leaf: Node) -> None:
        expires_at = item.enqueued_at + min(node.spec.queue_time for node in leaf.line())
        if expires_at < math.inf:
            heapq.heappush(self._queue_expirations, (expires_at, item.id, item))
            if len(self._queue_expirations) > 2 * self.root.waiting + 16:
                self._queue_expirations = [
                    entry for entry in self._queue_expirations if not entry[2].running and not entry[2].gone
                ]
                heapq.heapify(self._queue_expirations)

    def remove_overdue(self, now: float) -> list[Item]:
        """Removes and returns the queries that have waited longer than one of their groups allows."""
        overdue = []
        while self._queue_expirations and self._queue_expirations[0][0] <= now:
            item = heapq.heappop(self._queue_expirations)[2]
            if not item.running and not item.gone:
                self.leave(item)
                overdue.append(item)
        return overdue

    def leave(self, item: Item) -> None:
        """Removes a waiting query. A query that is running or gone is ignored."""
        if item.node is None or item.running or item.gone:
            return
        item.gone = True
        self._items.pop(item.id, None)
        for node in item.node.line():
            node.waiting -= 1
            node.pending = node.pending - item.work if node.waiting else 0.0
        self._compact_queue(item.node)
        self._refresh_ancestors(item.node)  # the next query of the group may fit into the limits

    def next(self) -> Item | None:
        """Returns the query to run next and charges its groups with its estimated work.

        Returns None if no waiting query may run at present. Limits may prevent this, or a blocked query that
        other queries may not bypass any further.
        """
        leaf = self._peek_leaf(self.root)
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
                node.parent.virtual_time = max(node.parent.virtual_time, node.start_tag)
            self._charge(node, item.work)
        for child, node in itertools.pairwise(leaf.line()):
            if child is node.first:
                node.first = None
            elif node.first is not None:
                node.bypass_allowance -= item.work
        self._compact_queue(leaf)
        self._refresh_ancestors(leaf)
        return item

    def ended(self, item: Item, work: float | None = None) -> None:
        """Records the end of a query that was running.

        Args:
            item: The query. Ignored unless it is running.
            work: The measured work in thread seconds, charged in place of the estimate. None if no engine ran
                the query, in which case nothing is charged.
        """
        if item.node is None or not item.running:
            return
        item.running, item.gone = False, True
        self._items.pop(item.id, None)
        correction = (work if work is not None else 0.0) - item.work
        for node in item.node.line():
            node.running -= 1
            # Limits are compared with these sums. They are reset to exactly 0 when no query runs, because
            # rounding errors could leave a remainder.
            node.threads = node.threads - item.threads if node.running else 0.0
            node.memory = node.memory - item.memory_mb if node.running else 0.0
            self._charge(node, correction)
        self._refresh_ancestors(item.node)

    def resize(self, capacity: float) -> None:
        """Sets the capacity after a change of the fleet.

        Running queries are not ended. They count against the new limits.
        """
        self.capacity = capacity
        for node in self._all(self.root):
            self._unblock_children(node)
            self._update_in_parent(node)

    def replace_spec(self, spec: GroupSpec, path_of: Callable[[Item], GroupPath]) -> None:
        """Replaces the settings of all groups. No query is ended, and groups keep the work charged to them.

        A running query counts in the group of its path, or in the nearest ancestor that still exists. A
        waiting query moves to the group that `path_of` returns, even if that exceeds the new limits on
        waiting queries. Work that a group received beyond its share still counts, even if its weight changes.

        Args:
            spec: The settings of the new root.
            path_of: Returns the new path of a waiting query.
        """
        old_root, items = self.root, sorted(self._items.values(), key=lambda i: i.id)
        self._queue_expirations = []
        self.root = self._build(spec, None)
        self._transfer_accounts(old_root, self.root)
        for item in items:
            assert item.node is not None
            if item.running:
                item.node = self._find_nearest(item.node.path)
                for node in item.node.line():
                    node.running += 1
                    node.threads += item.threads
                    node.memory += item.memory_mb
            else:
                item.node = leaf = self.find_or_create_leaf(path_of(item))
                heapq.heappush(leaf.queue, (item.deadline, item.id, item))
                for node in leaf.line():
                    node.waiting += 1
                    node.pending += item.work
                self._track_queue_time(item, leaf)
        for node in self._all(self.root):
            self._update_in_parent(node)

    def _find_nearest(self, path: GroupPath) -> Node:
        node = self.root
        for name in path:
            if name not in node.children:
                break
            node = node.children[name]
        return node

    def _transfer_accounts(self, old: Node, new: Node) -> None:
        """Copies the charged work, the virtual time and the start tag between groups of the same path.

        The start tag is adapted to the new weight, so that the same amount of excess work still counts.
        A group that was created on demand is created again if its new parent has a template. The child
        `OTHER_GROUP` is created again if its new parent has other children or a template.
        """
        new.virtual_time, new.work = old.virtual_time, old.work
        for name, old_child in old.children.items():
            child = new.children.get(name)
            if child is None and (old_child.is_on_demand and new.spec.each is not None):
                child = self._create_on_demand(new, name)
            elif child is None and name == OTHER_GROUP and (new.children or new.spec.each is not None):
                child = self._add_child(new, GroupSpec(OTHER_GROUP))
            if child is None:
                continue
            excess_work = max(0.0, old_child.start_tag - old.virtual_time) * old_child.spec.weight
            child.start_tag = new.virtual_time + excess_work / child.spec.weight
            self._transfer_accounts(old_child, child)
        for child in new.children.values():
            child.start_tag = max(child.start_tag, new.virtual_time)

    def drain_time(self, path: GroupPath, rate: float) -> float:
        """Returns the estimated seconds until the waiting queries of a group have run.

        At each level, the group's share is its weight relative to the siblings that now have queries.

        Args:
            path: The path of the group. If it does not exist, its nearest existing ancestor is used.
            rate: The thread seconds of work that the gateway completes per second.
        """
        node = self._find_nearest(path)
        share = 1.0
        for group in node.line():
            if group.parent is not None:
                siblings = [
                    c for c in group.parent.children.values() if c is not group and (c.waiting or c.running)
                ]
                share *= group.spec.weight / (group.spec.weight + sum(c.spec.weight for c in siblings))
        return node.pending / (rate * share) if rate > 0.0 else math.inf

    # --- internal ---

    def _all(self, node: Node) -> Iterator[Node]:
        yield node
        for child in node.children.values():
            yield from self._all(child)

    @staticmethod
    def _charge(node: Node, work: float) -> None:
        node.work += work
        node.start_tag += work / node.spec.weight

    def _fits(self, node: Node, item: Item) -> bool:
        """Returns whether the limits of a group allow a query to run.

        A query always fits into a group without running queries. Otherwise a query larger than a limit could
        never run.
        """
        if not node.running:
            return True
        spec = node.spec
        max_threads = min(spec.threads, spec.largest * self.capacity)
        return node.threads + item.threads <= max_threads and node.memory + item.memory_mb <= spec.memory_mb

    def _peek_leaf(self, node: Node) -> Node | None:
        """Returns the leaf in the subtree of a group that holds the next query to run, or None.

        Children that cannot run a query at present are removed from the heap of the group.
        """
        if not node.children:
            if not node.queue or not self._fits(node, node.queue[0][2]):
                return None
            return node
        while node.ready_heap:
            *_, version, child = node.ready_heap[0]
            leaf = self._peek_leaf(child) if version == child.entry_version and child.waiting else None
            if leaf is not None:
                item = leaf.queue[0][2]
                if self._fits(node, item):
                    return leaf if child is node.first or self._may_bypass(node, item) else None
                # The query is too large at present, but smaller queries of other children may fit.
                node.blocked_children.append(child)
                if node.first is None:
                    node.first, node.bypass_allowance = child, item.work
            heapq.heappop(node.ready_heap)
            child.is_parked = child.is_parked or version == child.entry_version
        return None

    @staticmethod
    def _may_bypass(node: Node, item: Item) -> bool:
        """Returns whether a query may run although another child of the group was blocked first.

        Other queries may bypass the blocked query until their work adds up to the work of the blocked query.
        Then they wait until the blocked query fits, so that it does not starve.
        """
        return node.first is None or item.work <= node.bypass_allowance

    def _refresh_ancestors(self, leaf: Node) -> None:
        """Unblocks the children of a leaf's ancestors and updates the heaps after a change in the leaf."""
        for node in leaf.line():
            self._unblock_children(node)
            self._update_in_parent(node)

    def _unblock_children(self, node: Node) -> None:
        """Adds the blocked children of a group to its heap again."""
        if node.first is not None and not node.first.waiting:
            node.first = None
        unblocked_children, node.blocked_children = node.blocked_children, []
        for child in unblocked_children:
            # A limit of this group blocked the child, not a limit of the child itself. So the child keeps its
            # start tag.
            child.is_parked = False
            self._update_in_parent(child)

    def _update_in_parent(self, node: Node) -> None:
        if node.parent is None or not node.waiting:
            node.entry_version += 1
            node.is_parked = True
            return
        node.entry_version += 1
        # The group gets no credit for the time in which it had no waiting query or was at a limit.
        if node.is_parked:
            node.start_tag = max(node.start_tag, node.parent.virtual_time)
            node.is_parked = False
        is_below_guarantee = node.threads < node.spec.guaranteed * self.capacity
        entry = (
            -node.spec.priority,
            not is_below_guarantee,
            node.start_tag,
            node.sequence_number,
            node.entry_version,
            node,
        )
        heapq.heappush(node.parent.ready_heap, entry)
        # Removes entries of old versions.
        if len(node.parent.ready_heap) > 4 * len(node.parent.children) + 16:
            current_entries = [e for e in node.parent.ready_heap if e[4] == e[5].entry_version]
            heapq.heapify(current_entries)
            node.parent.ready_heap = current_entries

    @staticmethod
    def _compact_queue(leaf: Node) -> None:
        while leaf.queue and leaf.queue[0][2].gone:
            heapq.heappop(leaf.queue)
        # Removes queries that are gone from behind the head of the queue.
        if len(leaf.queue) > 2 * leaf.waiting + 16:
            leaf.queue = [entry for entry in leaf.queue if not entry[2].gone]
            heapq.heapify(leaf.queue)
