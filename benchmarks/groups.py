"""Cost of one decision of the tree of groups, by its size and by how much waits.

python benchmarks/groups.py
"""

from __future__ import annotations

import time
from random import Random

import numpy as np

from saffronlane.groups import GroupSpec, Item, Tree


def build(groups: int, fan: int) -> tuple[Tree, list[tuple[str, ...]]]:
    """A tree with so many last groups, `fan` below each other one."""
    level = [GroupSpec(f"g{n}", weight=1.0 + n % 7) for n in range(groups)]
    while len(level) > fan:
        parts = [tuple(level[n : n + fan]) for n in range(0, len(level), fan)]
        level = [GroupSpec(f"p{n}", weight=1.0 + n % 3, children=part) for n, part in enumerate(parts)]
    tree = Tree(GroupSpec("root", children=tuple(level)), 400.0)
    paths = [node.path for node in tree._all(tree.root) if not node.children]
    return tree, paths


def measure(groups: int, waiting: int, fan: int = 10, rounds: int = 20_000) -> tuple[float, float, float]:
    """Microseconds of a join, of a decision, and of an end, each the median."""
    tree, paths = build(groups, fan)
    draw = Random(1)
    number = 0

    def item() -> Item:
        nonlocal number
        number += 1
        return Item(
            number, draw.random() * 100.0, draw.lognormvariate(-2.0, 1.0), float(draw.randrange(1, 4))
        )

    for _ in range(waiting):
        tree.join(item(), paths[draw.randrange(len(paths))])
    running: list[Item] = []
    took: tuple[list[float], list[float], list[float]] = ([], [], [])
    for _ in range(rounds):
        fresh, path = item(), paths[draw.randrange(len(paths))]
        began = time.perf_counter()
        tree.join(fresh, path)
        joined = time.perf_counter()
        chosen = tree.next()
        decided = time.perf_counter()
        took[0].append(joined - began)
        took[1].append(decided - joined)
        if chosen is not None:
            running.append(chosen)
        if len(running) > 150:
            one = running.pop(draw.randrange(len(running)))
            began = time.perf_counter()
            tree.ended(one, one.work * draw.choice([0.1, 1.0, 5.0]))
            took[2].append(time.perf_counter() - began)
    return tuple(float(np.median(part)) * 1e6 for part in took)  # type: ignore[return-value]


def main() -> None:
    print(f"{'groups':>8}{'depth':>7}{'waiting':>9}{'join us':>9}{'decide us':>11}{'end us':>8}")
    for groups in (10, 1_000, 10_000):
        for waiting in (100, 10_000):
            depth = max(1, round(np.log10(groups)))
            joined, decided, ended = measure(groups, waiting)
            print(f"{groups:8}{depth:7}{waiting:9}{joined:9.1f}{decided:11.1f}{ended:8.1f}", flush=True)


if __name__ == "__main__":
    main()
