"""Measures the cost of one decision in the tree of groups, by the number of groups and of waiting queries.

python benchmarks/groups.py
"""

from __future__ import annotations

import time
from random import Random

import numpy as np

from saffronlane.groups import GroupSpec, Item, Tree


def build(groups: int, fan_out: int) -> tuple[Tree, list[tuple[str, ...]]]:
    """Builds a tree with a number of leaf groups and at most `fan_out` groups below each other group."""
    level = [GroupSpec(f"g{n}", weight=1.0 + n % 7) for n in range(groups)]
    while len(level) > fan_out:
        parts = [tuple(level[n : n + fan_out]) for n in range(0, len(level), fan_out)]
        level = [GroupSpec(f"p{n}", weight=1.0 + n % 3, children=part) for n, part in enumerate(parts)]
    tree = Tree(GroupSpec("root", children=tuple(level)), 400.0)
    paths = [node.path for node in tree._all(tree.root) if not node.children]
    return tree, paths


def measure(groups: int, waiting: int, fan_out: int = 10, rounds: int = 20_000) -> tuple[float, float, float]:
    """Returns the median microseconds of a join, of a decision and of an end."""
    tree, paths = build(groups, fan_out)
    random = Random(1)
    last_id = 0

    def make_item() -> Item:
        nonlocal last_id
        last_id += 1
        return Item(
            last_id, random.random() * 100.0, random.lognormvariate(-2.0, 1.0), float(random.randrange(1, 4))
        )

    for _ in range(waiting):
        tree.join(make_item(), paths[random.randrange(len(paths))])
    running: list[Item] = []
    durations: tuple[list[float], list[float], list[float]] = ([], [], [])
    for _ in range(rounds):
        item, path = make_item(), paths[random.randrange(len(paths))]
        started_at = time.perf_counter()
        tree.join(item, path)
        joined_at = time.perf_counter()
        next_item = tree.next()
        decided_at = time.perf_counter()
        durations[0].append(joined_at - started_at)
        durations[1].append(decided_at - joined_at)
        if next_item is not None:
            running.append(next_item)
        if len(running) > 150:
            finished_item = running.pop(random.randrange(len(running)))
            started_at = time.perf_counter()
            tree.ended(finished_item, finished_item.work * random.choice([0.1, 1.0, 5.0]))
            durations[2].append(time.perf_counter() - started_at)
    return tuple(float(np.median(samples)) * 1e6 for samples in durations)  # type: ignore[return-value]


def main() -> None:
    print(f"{'groups':>8}{'depth':>7}{'waiting':>9}{'join us':>9}{'decide us':>11}{'end us':>8}")
    for groups in (10, 1_000, 10_000):
        for waiting in (100, 10_000):
            depth = max(1, round(np.log10(groups)))
            join_us, decide_us, end_us = measure(groups, waiting)
            print(f"{groups:8}{depth:7}{waiting:9}{join_us:9.1f}{decide_us:11.1f}{end_us:8.1f}", flush=True)


if __name__ == "__main__":
    main()
