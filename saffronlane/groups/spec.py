"""Settings of resource groups. A tree is immutable, and is checked and replaced as a whole."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace

from ..config.check import Problem

MAX_DEPTH = 16
MAX_WEIGHT = 1e6
OTHER_GROUP = "(other)"  # the child group for queries whose path leads to no leaf


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """The settings of one group and of the groups below it.

    Attributes:
        name: The name of the group, unique among its siblings.
        weight: The weight of the group. Siblings that have waiting queries receive engine work in proportion
            to their weights.
        guaranteed: The guaranteed share of the tree's capacity in threads. While the group uses less, it is
            served before siblings of the same priority that use at least their guaranteed share.
        largest: The maximum share of the tree's capacity in threads that the group may use, even if engines
            are idle.
        threads: The maximum number of threads that the running queries of the group may use.
        memory_mb: The maximum memory that the running queries of the group may request, in MB.
        queued: The maximum number of queries that may wait in the group.
        queue_time: The maximum time that a query may wait in the group, in seconds.
        priority: The priority among siblings. A group of higher priority is served first, regardless of
            weights and guaranteed shares.
        children: The groups below this one. Queries wait only in groups without children.
        each: The template of groups that are created on demand below this one. Its name is not used. If it is
            None, no groups are created on demand.
        most: The maximum number of groups created on demand that exist at the same time. Queries for further
            groups share the child group `OTHER_GROUP`.
    """

    name: str
    weight: float = 1.0
    guaranteed: float = 0.0
    largest: float = 1.0
    threads: float = math.inf
    memory_mb: float = math.inf
    queued: float = math.inf
    queue_time: float = math.inf
    priority: int = 0
    children: tuple[GroupSpec, ...] = ()
    each: GroupSpec | None = None
    most: int = 1000


def check_tree(spec: GroupSpec, pointer: str = "/groups") -> list[Problem]:
    """Returns every problem of a tree, each with its JSON pointer.

    Args:
        spec: The root of the tree.
        pointer: The JSON pointer of the root.
    """
    return list(_find_problems(spec, pointer, 1, 1.0))


def _find_problems(spec: GroupSpec, pointer: str, depth: int, root_guarantee: float) -> Iterator[Problem]:
    if not spec.name or "/" in spec.name:
        yield Problem(
            f"{pointer}/name", f"{spec.name!r} is not a valid name: it is empty or contains a slash"
        )
    if not 0.0 < spec.weight <= MAX_WEIGHT:
        yield Problem(
            f"{pointer}/weight", f"expected a weight above 0 and at most {MAX_WEIGHT:g}, got {spec.weight:g}"
        )
    if not 0.0 < spec.largest <= 1.0:
        yield Problem(f"{pointer}/largest", f"expected a share above 0 and at most 1, got {spec.largest:g}")
    if not 0.0 <= spec.guaranteed <= spec.largest:
        text = (
            f"expected a share from 0 to the group's largest share {spec.largest:g}, got {spec.guaranteed:g}"
        )
        yield Problem(f"{pointer}/guaranteed", text)
    for name in ("threads", "memory_mb", "queued", "queue_time"):
        if not getattr(spec, name) > 0.0:
            yield Problem(
                f"{pointer}/{name}",
                f"expected a value above 0 so that queries can run, got {getattr(spec, name):g}",
            )
    if depth > MAX_DEPTH:
        yield Problem(pointer, f"the tree is deeper than {MAX_DEPTH} levels")
        return
    guaranteed_sum = sum(child.guaranteed for child in spec.children)
    available = spec.guaranteed if depth > 1 else root_guarantee
    if guaranteed_sum > available + 1e-9:
        text = (
            f"guaranteed shares of children add up to {guaranteed_sum:g}, above the available {available:g}"
        )
        yield Problem(f"{pointer}/children", text)
    if spec.each is not None:
        template = replace(spec.each, name="each")
        if template.guaranteed:
            yield Problem(
                f"{pointer}/each/guaranteed",
                "groups created on demand cannot have a guaranteed share: their number is not fixed",
            )
        yield from _find_problems(template, f"{pointer}/each", depth + 1, root_guarantee)
        if spec.most < 1:
            yield Problem(f"{pointer}/most", f"expected a number above 0, got {spec.most}")
    names: dict[str, int] = {}
    for index, child in enumerate(spec.children):
        if child.name in names:
            yield Problem(
                f"{pointer}/children/{index}/name",
                f"{child.name!r} is already the name of group {names[child.name]}",
            )
        names.setdefault(child.name, index)
        yield from _find_problems(child, f"{pointer}/children/{index}", depth + 1, root_guarantee)
