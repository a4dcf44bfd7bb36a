"""Tests of the tree of groups: shares of work, limits, bounded memory, progress and accounting."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from saffronlane.groups import Full, GroupSpec, Item, Tree, check_tree
from saffronlane.groups.tree import Node


def make_tree(*groups: GroupSpec, capacity: float = 100.0, **root: float) -> Tree:
    spec = GroupSpec("root", children=groups, **root)  # type: ignore[arg-type]
    assert check_tree(spec) == []
    return Tree(spec, capacity)


class TreeDriver:
    """Adds queries to a tree and runs them, and records the work that each group received."""

    def __init__(self, tree: Tree, seed: int = 1) -> None:
        self.tree, self.random = tree, random.Random(seed)
        self.last_id = 0
        self.work_by_path: dict[tuple[str, ...], float] = {}
        self.largest_work: dict[tuple[str, ...], float] = {}

    def join(self, path: tuple[str, ...], work: float, **fields: float) -> Item:
        self.last_id += 1
        item = Item(self.last_id, fields.pop("deadline", float(self.last_id)), work, **fields)
        self.tree.join(item, path)
        self.largest_work[path] = max(self.largest_work.get(path, 0.0), work)
        return item

    def run_next(self, count: int, end: bool = True) -> list[Item]:
        started = []
        for _ in range(count):
            item = self.tree.next()
            if item is None:
                break
            assert item.node is not None
            path = item.node.path
            self.work_by_path[path] = self.work_by_path.get(path, 0.0) + item.work
            started.append(item)
            if end:
                self.tree.ended(item, item.work)
        return started


@pytest.mark.parametrize("weights", [(1.0, 1.0), (1.0, 3.0, 6.0), (1.0, 10_000.0), (0.5, 2.0, 2.0, 100.0)])
def test_backlogged_siblings_receive_work_by_weight_within_the_documented_bound(weights):
    """|W/w - V/v| <= L/w + M/v at all times, for any sizes of queries.

    W and V are the work that two groups received, w and v are their weights, and L and M are the work of the
    largest query of each.
    """
    names = [f"g{n}" for n in range(len(weights))]
    driver = TreeDriver(make_tree(*(GroupSpec(n, weight=w) for n, w in zip(names, weights, strict=True))))
    waiting = dict.fromkeys(names, 0)
    for _ in range(3000):
        for name in names:
            while waiting[name] < 3:
                driver.join((name,), driver.random.lognormvariate(-2.0, 1.5))
                waiting[name] += 1
        (item,) = driver.run_next(1)
        assert item.node is not None
        waiting[item.node.spec.name] -= 1
        for a, w in zip(names, weights, strict=True):
            for b, v in zip(names, weights, strict=True):
                lag = driver.work_by_path.get((a,), 0.0) / w - driver.work_by_path.get((b,), 0.0) / v
                assert lag <= driver.largest_work[(a,)] / w + driver.largest_work[(b,)] / v + 1e-9


def test_shares_hold_at_each_level_of_the_tree():
    teams = GroupSpec("teams", weight=3.0, children=(GroupSpec("a"), GroupSpec("b", weight=2.0)))
    driver = TreeDriver(make_tree(teams, GroupSpec("night")))
    for _ in range(6000):
        for path in (("teams", "a"), ("teams", "b"), ("night",)):
            driver.join(path, 0.1)
    driver.run_next(4000)
    total = sum(driver.work_by_path.values())
    shares = {path: work / total for path, work in driver.work_by_path.items()}
    assert shares[("night",)] == pytest.approx(0.25, abs=0.01)
    assert shares[("teams", "a")] == pytest.approx(0.25, abs=0.01)
    assert shares[("teams", "b")] == pytest.approx(0.5, abs=0.01)


def test_unused_share_goes_to_siblings_and_idle_time_gives_no_credit():
    """Guards against compensating a group for its idle period with a burst of work."""
    driver = TreeDriver(make_tree(GroupSpec("a"), GroupSpec("b")))
    for _ in range(1000):
        driver.join(("a",), 1.0)
    driver.run_next(500)
    assert driver.work_by_path == {("a",): 500.0}
    for _ in range(200):
        driver.join(("b",), 1.0)
    driver.work_by_path.clear()
    driver.run_next(100)
    assert abs(driver.work_by_path[("a",)] - driver.work_by_path[("b",)]) <= 2.0


def test_time_at_a_limit_gives_no_credit():
    driver = TreeDriver(make_tree(GroupSpec("a", threads=1.0), GroupSpec("b")))
    for _ in range(600):
        driver.join(("a",), 1.0)
        driver.join(("b",), 1.0)
    running = driver.run_next(1, end=False)
    assert running[0].node is not None and running[0].node.spec.name == "a"
    driver.run_next(300)
    assert driver.work_by_path[("b",)] == 300.0
    driver.tree.ended(running[0], 1.0)
    driver.work_by_path.clear()
    driver.run_next(100)
    assert abs(driver.work_by_path[("a",)] - driver.work_by_path[("b",)]) <= 2.0


def test_measured_work_replaces_an_estimate_that_is_20_times_too_low():
    driver = TreeDriver(make_tree(GroupSpec("a"), GroupSpec("b")))
    for _ in range(400):
        driver.join(("a",), 0.1)
        driver.join(("b",), 2.0)
    used = {"a": 0.0, "b": 0.0}
    for _ in range(200):
        item = driver.tree.next()
        assert item is not None and item.node is not None
        used[item.node.spec.name] += 2.0  # independent of the estimate
        driver.tree.ended(item, 2.0)
    assert abs(used["a"] - used["b"]) <= 6.0


def test_query_that_no_engine_ran_is_not_charged():
    driver = TreeDriver(make_tree(GroupSpec("a"), GroupSpec("b")))
    for _ in range(10):
        driver.join(("a",), 1.0)
    initial_start_tag = driver.tree.find(("a",)).start_tag
    item = driver.tree.next()
    assert item is not None
    driver.tree.ended(item)
    node = driver.tree.find(("a",))
    assert (node.start_tag, node.work, node.threads, node.running) == (initial_start_tag, 0.0, 0.0, 0)
    driver.tree.ended(item)  # a second report of the end is ignored
    assert node.work == 0.0


def test_query_larger_than_the_limit_of_its_group_runs_alone():
    driver = TreeDriver(make_tree(GroupSpec("a", threads=4.0), GroupSpec("b")))
    small = driver.join(("a",), 1.0, deadline=1.0)
    huge = driver.join(("a",), 50.0, deadline=2.0, threads=40.0)
    driver.join(("b",), 1.0)
    first = driver.run_next(5, end=False)
    assert small in first and huge not in first and len(first) == 2
    driver.tree.ended(small, 1.0)
    assert driver.run_next(5, end=False) == [huge]
    driver.join(("b",), 1.0)
    assert len(driver.run_next(5, end=False)) == 1  # the sibling group is not blocked meanwhile


def test_blocked_query_runs_after_others_have_run_as_much_work_as_its_own():
    """Guards against idle engines while a large query does not fit, and against starvation of that query."""
    driver = TreeDriver(make_tree(GroupSpec("a"), GroupSpec("b"), capacity=10.0))
    small = [driver.join(("b",), 1.0, threads=2.0) for _ in range(40)]
    running = driver.run_next(4, end=False)
    huge = driver.join(("a",), 8.0, threads=9.0)
    bypass_count = 0
    while not huge.running:
        item = driver.tree.next()
        if item is None:
            driver.tree.ended(running.pop(0), 1.0)
        else:
            running.append(item)
            bypass_count += item is not huge
        assert bypass_count <= 8
    assert bypass_count == 8 and huge.running and sum(i.running for i in small) == 0


def test_parent_at_its_limit_blocks_only_its_own_children():
    parent = GroupSpec("p", threads=2.0, children=(GroupSpec("x"), GroupSpec("y")))
    driver = TreeDriver(make_tree(parent, GroupSpec("q")))
    for _ in range(5):
        for path in (("p", "x"), ("p", "y"), ("q",)):
            driver.join(path, 1.0)
    started = driver.run_next(20, end=False)
    paths = [i.node.path for i in started if i.node is not None]
    assert paths.count(("q",)) == 5 and len(paths) == 7


def test_priority_precedes_guarantee_and_guarantee_precedes_shares():
    groups = (
        GroupSpec("low", weight=100.0),
        GroupSpec("sure", guaranteed=0.02),
        GroupSpec("top", priority=1),
    )
    driver = TreeDriver(make_tree(*groups))
    for name in ("low", "sure", "top"):
        for _ in range(10):
            driver.join((name,), 1.0)
    order = [i.node.spec.name for i in driver.run_next(30, end=False) if i.node is not None]
    assert order[:10] == ["top"] * 10
    # 2 of the 100 threads are guaranteed to the group "sure".
    assert order[10:12] == ["sure", "sure"] and order[12:22] == ["low"] * 10


def test_running_queries_count_against_a_smaller_capacity_and_are_not_ended():
    driver = TreeDriver(make_tree(GroupSpec("a", largest=0.5), GroupSpec("b"), capacity=30.0))
    for _ in range(40):
        driver.join(("a",), 1.0)
    running = driver.run_next(40, end=False)
    assert len(running) == 15
    driver.tree.resize(10.0)
    assert driver.run_next(5) == []
    for item in running[:11]:
        driver.tree.ended(item, 1.0)
    assert len(driver.run_next(5, end=False)) == 1


def test_queries_run_by_deadline_and_withdrawn_queries_block_nothing():
    driver = TreeDriver(make_tree(GroupSpec("a", threads=2.0, queued=6.0)))
    items = [driver.join(("a",), 1.0, deadline=d) for d in (5.0, 1.0, 3.0, 2.0)]
    big = driver.join(("a",), 1.0, deadline=0.5, threads=3.0)
    driver.run_next(1, end=False)
    assert driver.run_next(3) == []  # the large query runs alone
    driver.tree.ended(big, 1.0)
    driver.tree.leave(items[1])
    assert [i.deadline for i in driver.run_next(5)] == [2.0, 3.0, 5.0]


def test_query_is_removed_after_the_queue_time_of_its_groups():
    short_queue_time = GroupSpec(
        "p", queue_time=2.0, threads=1.0, children=(GroupSpec("x", queue_time=5.0), GroupSpec("y"))
    )
    driver = TreeDriver(make_tree(short_queue_time, GroupSpec("q")))
    for enqueued_at in (0.0, 1.0):
        for path in (("p", "x"), ("p", "y"), ("q",)):
            driver.join(path, 1.0, enqueued_at=enqueued_at)
    running = driver.run_next(3, end=False)
    assert [i.node.path[0] for i in running if i.node is not None] == ["p", "q", "q"]
    assert [i.enqueued_at for i in driver.tree.remove_overdue(2.5)] == [0.0]
    driver.tree.replace_spec(
        GroupSpec("root", children=(replace(short_queue_time, queue_time=9.0),)), lambda i: ("p", "y")
    )
    assert driver.tree.remove_overdue(4.0) == [] and len(driver.tree.remove_overdue(10.0)) == 2
    assert driver.tree.root.waiting == 0
    for n in range(3000):
        driver.tree.leave(driver.join(("p", "x"), 1.0, enqueued_at=float(n)))
    assert len(driver.tree._queue_expirations) <= 18


def test_full_group_is_named_in_the_error():
    driver = TreeDriver(make_tree(GroupSpec("p", queued=2.0, children=(GroupSpec("x"), GroupSpec("y")))))
    withdrawn = driver.join(("p", "x"), 1.0)
    driver.join(("p", "y"), 1.0)
    with pytest.raises(Full, match="queue limit reached: 2 queries wait in group p"):
        driver.join(("p", "x"), 1.0)
    driver.tree.leave(withdrawn)
    driver.join(("p", "x"), 1.0)
    driver.tree.leave(driver.tree._items[2])
    driver.join(("p",), 1.0)  # the path ends above the leaves
    assert driver.tree.find(("p", "(other)")).waiting == 1


def test_memory_of_withdrawn_queries_is_bounded():
    driver = TreeDriver(make_tree(GroupSpec("a", threads=1.0)))
    driver.join(("a",), 1.0, deadline=0.0)
    driver.run_next(1, end=False)
    for n in range(5000):
        driver.tree.leave(driver.join(("a",), 1.0, deadline=float(n)))
    node = driver.tree.find(("a",))
    assert len(node.queue) <= 16 and len(driver.tree.root.ready_heap) <= 20 and node.waiting == 0


def test_every_problem_of_a_tree_has_its_json_pointer():
    spec = GroupSpec(
        "root",
        children=(
            GroupSpec("a", weight=0.0, guaranteed=0.7),
            GroupSpec("a", guaranteed=0.6, largest=0.5),
            GroupSpec("p", guaranteed=0.1, children=(GroupSpec("x/y", guaranteed=0.2, threads=0.0),)),
        ),
    )
    pointers = {p.pointer for p in check_tree(spec)}
    assert pointers == {
        "/groups/children",
        "/groups/children/0/weight",
        "/groups/children/1/guaranteed",
        "/groups/children/1/name",
        "/groups/children/2/children",
        "/groups/children/2/children/0/name",
        "/groups/children/2/children/0/threads",
    }
    deep = GroupSpec("leaf")
    for n in range(20):
        deep = GroupSpec(f"g{n}", children=(deep,))
    assert any("deeper" in p.text for p in check_tree(deep))


def test_groups_created_on_demand_are_limited_and_removed_unless_they_received_excess_work():
    teams = GroupSpec("teams", each=GroupSpec("", weight=2.0), most=3)
    driver = TreeDriver(make_tree(teams))
    for name in "abc":
        driver.join(("teams", name), 1.0)
    driver.join(("teams", "d"), 1.0)  # all three groups that `most` allows are in use
    node = driver.tree.find(("teams",))
    assert set(node.children) == {"a", "b", "c", "(other)"} and node.children["a"].spec.weight == 2.0
    driver.run_next(20)
    assert driver.tree.root.waiting == 0
    for _ in range(10):
        driver.join(("teams", "a"), 1.0)
        driver.run_next(1)
    has_excess_work = node.children["a"].start_tag > node.virtual_time
    driver.join(("teams", "e"), 1.0)
    assert "e" in node.children and ("a" in node.children) is has_excess_work and len(node.children) <= 4


def test_memory_of_thousands_of_idle_groups_is_bounded():
    driver = TreeDriver(make_tree(GroupSpec("teams", each=GroupSpec(""), most=5000)))
    for n in range(20_000):
        driver.join(("teams", f"t{n}"), 0.5)
        driver.run_next(1)
    node = driver.tree.find(("teams",))
    assert len(node.children) <= 5001 and len(node.ready_heap) <= 4 * 5001 + 16


def test_new_tree_keeps_accounts_and_running_queries():
    driver = TreeDriver(make_tree(GroupSpec("a"), GroupSpec("b"), GroupSpec("old")))
    for _ in range(40):
        driver.join(("a",), 1.0)
    driver.join(("old",), 1.0)
    running = driver.run_next(11, end=False)
    orphan = next(i for i in running if i.node is not None and i.node.spec.name == "old")
    excess_work = driver.tree.find(("a",)).start_tag - driver.tree.root.virtual_time
    for _ in range(40):
        driver.join(("b",), 1.0)
    new_spec = GroupSpec("root", children=(GroupSpec("a", weight=4.0), GroupSpec("b"), GroupSpec("new")))
    driver.tree.replace_spec(new_spec, lambda item: item.node.path if item.node else ("new",))
    node = driver.tree.find(("a",))
    assert (node.running, node.threads, driver.tree.root.running) == (10, 10.0, 11)
    assert node.start_tag - driver.tree.root.virtual_time == pytest.approx(excess_work / 4.0)
    # The group of this query no longer exists, so the query counts in the parent.
    assert orphan.node is driver.tree.root
    for item in running:
        driver.tree.ended(item, 1.0)
    assert driver.tree.root.running == 0 and driver.tree.root.threads == 0.0
    driver.work_by_path.clear()
    driver.run_next(30)
    assert driver.work_by_path[("a",)] == pytest.approx(4.0 * driver.work_by_path[("b",)], abs=6.0)


def test_repeated_weight_changes_let_no_group_burst_or_starve():
    driver = TreeDriver(make_tree(GroupSpec("a"), GroupSpec("b")))
    for _ in range(2000):
        driver.join(("a",), 1.0)
        driver.join(("b",), 1.0)
    equal_weights, heavy_a = (
        driver.tree.root.spec,
        GroupSpec("root", children=(GroupSpec("a", weight=1000.0), GroupSpec("b"))),
    )
    for _ in range(50):
        driver.tree.replace_spec(heavy_a, lambda item: item.node.path if item.node else ())
        driver.tree.replace_spec(equal_weights, lambda item: item.node.path if item.node else ())
        driver.run_next(10)
    assert (
        abs(driver.work_by_path[("a",)] - driver.work_by_path[("b",)]) <= 60.0
        and min(driver.work_by_path.values()) > 200.0
    )


def test_drain_time_follows_the_share():
    driver = TreeDriver(make_tree(GroupSpec("a"), GroupSpec("b", weight=3.0)))
    for _ in range(10):
        driver.join(("a",), 1.0)
    assert driver.tree.drain_time(("a",), 5.0) == pytest.approx(
        2.0
    )  # the only active group has the whole rate
    driver.join(("b",), 1.0)
    assert driver.tree.drain_time(("a",), 5.0) == pytest.approx(8.0)
    assert driver.tree.drain_time(("a",), 0.0) == float("inf")


class Machine(RuleBasedStateMachine):
    """Any sequence of events: accounts balance, limits hold, and nothing waits that could run."""

    @initialize(seed=st.integers(0, 10_000))
    def build(self, seed: int) -> None:
        draw = random.Random(seed)

        def group(name: str, depth: int) -> GroupSpec:
            count = draw.randrange(4) if depth else 0
            return GroupSpec(
                name,
                weight=draw.choice([0.1, 1.0, 1.0, 50.0]),
                largest=draw.choice([0.2, 0.6, 1.0]),
                threads=draw.choice([2.0, 5.0, float("inf")]),
                memory_mb=draw.choice([30.0, float("inf")]),
                priority=draw.choice([0, 0, 1]),
                children=tuple(group(f"{name}{n}", depth - 1) for n in range(count)),
            )

        children = tuple(replace(group(f"g{n}", 2), guaranteed=0.0) for n in range(3))
        self.tree = Tree(GroupSpec("root", children=children), 12.0)
        self.paths = [n.path for n in self.nodes() if not n.children]
        self.items: list[Item] = []
        self.charged = 0.0
        self.alone: set[int] = set()

    def nodes(self) -> list[Node]:
        return list(self.tree._all(self.tree.root))

    @rule(at=st.integers(0, 99), work=st.floats(0.01, 5.0), threads=st.integers(1, 8), late=st.integers(0, 9))
    def join(self, at: int, work: float, threads: int, late: int) -> None:
        item = Item(len(self.items), float(late), work, float(threads), 10.0)
        self.tree.join(item, self.paths[at % len(self.paths)])
        self.items.append(item)

    @rule()
    def next(self) -> None:
        item = self.tree.next()
        if item is not None:
            assert item.running and not item.gone
            self.charged += item.work
            return
        for one in self.items:
            if not one.running and not one.gone and one.node is not None and one.node.queue[0][2] is one:
                line = list(one.node.line())
                held = any(node.first is not None for node in line)  # a larger one is to be let in first
                assert held or any(not self.tree._fits(node, one) for node in line), one

    @precondition(lambda self: any(i.running for i in self.items))
    @rule(at=st.integers(0, 99), factor=st.sampled_from([None, 0.05, 1.0, 20.0]))
    def end(self, at: int, factor: float | None) -> None:
        running = [i for i in self.items if i.running]
        item = running[at % len(running)]
        work = None if factor is None else item.work * factor
        self.charged += (work or 0.0) - item.work
        self.tree.ended(item, work)

    @precondition(lambda self: bool(self.items))
    @rule(at=st.integers(0, 99))
    def leave(self, at: int) -> None:
        self.tree.leave(self.items[at % len(self.items)])

    @rule(capacity=st.sampled_from([4.0, 12.0, 40.0]))
    def resize(self, capacity: float) -> None:
        self.tree.resize(capacity)

    @invariant()
    def accounts_balance(self) -> None:
        if not hasattr(self, "tree"):
            return
        for node in self.nodes():
            mine = [i for i in self.items if i.node is not None and node in i.node.line()]
            running = [i for i in mine if i.running]
            assert node.running == len(running)
            assert node.threads == pytest.approx(sum(i.threads for i in running), abs=1e-6)
            assert node.memory == pytest.approx(sum(i.memory_mb for i in running), abs=1e-6)
            waiting = [i for i in mine if not i.running and not i.gone]
            assert node.waiting == len(waiting)
            assert node.pending == pytest.approx(sum(i.work for i in waiting), abs=1e-6)
            if node.running > 1:
                assert node.threads <= node.spec.threads and node.memory <= node.spec.memory_mb
        assert self.tree.root.work == pytest.approx(self.charged, abs=1e-6)


Machine.TestCase.settings = hypothesis_settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
)
TestMachine = Machine.TestCase
