"""What operators say of groups: immutable, checked as a whole, swapped as a whole."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace

from ..config.check import Problem

MOST_DEPTH = 16
MOST_WEIGHT = 1e6
OTHER = "(other)"  # where queries go that no group of their own is for


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """One group and those below it.

    Attributes:
        name: among its siblings.
        weight: of its share of engine work beside its siblings that have work.
        guaranteed: share of the fleet's threads under which it goes before siblings of its priority.
        largest: share of the fleet's threads that it may have out at most, also where engines idle.
        threads: that it may have out at most.
        memory_mb: that its running queries may ask for at most.
        queued: queries that may wait in it at most.
        queue_time: seconds that a query may wait in it at most.
        priority: among siblings; a higher one goes first whatever the shares.
        children: queries wait only in groups without children.
        each: the shape of groups made on demand below this one; its name is not used. None: none are made.
        most: groups made on demand at once; past them queries share the group OTHER.
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


def check_tree(spec: GroupSpec, at: str = "/groups") -> list[Problem]:
    """Everything that is wrong with a tree, each with its JSON pointer."""
    return list(_problems(spec, at, 1, 1.0))


def _problems(spec: GroupSpec, at: str, depth: int, most: float) -> Iterator[Problem]:
    if not spec.name or "/" in spec.name:
        yield Problem(f"{at}/name", f"{spec.name!r} is no name: it needs a letter, and no slash")
    if not 0.0 < spec.weight <= MOST_WEIGHT:
        yield Problem(f"{at}/weight", f"{spec.weight:g} does not lie between 0 and {MOST_WEIGHT:g}")
    if not 0.0 < spec.largest <= 1.0:
        yield Problem(f"{at}/largest", f"{spec.largest:g} does not lie between 0 and 1")
    if not 0.0 <= spec.guaranteed <= spec.largest:
        text = f"{spec.guaranteed:g} does not lie between 0 and its largest share of {spec.largest:g}"
        yield Problem(f"{at}/guaranteed", text)
    for name in ("threads", "memory_mb", "queued", "queue_time"):
        if not getattr(spec, name) > 0.0:
            yield Problem(f"{at}/{name}", f"{getattr(spec, name):g} is not above 0: nothing could ever run")
    if depth > MOST_DEPTH:
        yield Problem(at, f"deeper than {MOST_DEPTH} groups")
        return
    part = sum(child.guaranteed for child in spec.children)
    room = spec.guaranteed if depth > 1 else most
    if part > room + 1e-9:
        text = f"guarantees add up to {part:g}, and {room:g} is there to be given"
        yield Problem(f"{at}/children", text)
    if spec.each is not None:
        shape = replace(spec.each, name="each")
        if shape.guaranteed:
            yield Problem(
                f"{at}/each/guaranteed", "groups made on demand are without number: none is guaranteed"
            )
        yield from _problems(shape, f"{at}/each", depth + 1, most)
        if spec.most < 1:
            yield Problem(f"{at}/most", f"{spec.most} is not above 0")
    names: dict[str, int] = {}
    for index, child in enumerate(spec.children):
        if child.name in names:
            yield Problem(f"{at}/children/{index}/name", f"{child.name!r} is group {names[child.name]} too")
        names.setdefault(child.name, index)
        yield from _problems(child, f"{at}/children/{index}", depth + 1, most)
