"""Faults of a day: drawn from a seed, written as JSON, shrunk to the fewest that still fail."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import msgspec

# Each kind of fault: what it strikes, and the most of it as a share of those there are.
KINDS: dict[str, tuple[str, float]] = {
    "node crash": ("nodes", 0.35),  # and back, cold
    "node hang": ("nodes", 0.2),
    "node slow": ("nodes", 0.35),
    "node errors": ("nodes", 0.2),
    "node stall": ("nodes", 0.2),  # answers stop half written
    "node reset": ("nodes", 0.5),  # connections break under requests
    "node half open": ("nodes", 0.35),
    "node late": ("nodes", 0.35),  # connections come up late
    "node replaced": ("nodes", 0.35),  # drains, goes; another under a new id starts cold
    "kill": ("dispatchers", 0.7),  # SIGKILL at once, started again
    "pause": ("dispatchers", 0.4),  # SIGSTOP, SIGCONT
    "roll": ("dispatchers", 0.4),  # SIGTERM one after another, started again
    "feed silent": ("", 0.0),
    "feed cut": ("", 0.0),
    "peers drop": ("dispatchers", 0.5),
    "peers late": ("dispatchers", 0.5),
    "peers deaf": ("dispatchers", 0.4),  # hear nobody, and are heard
    "peers mute": ("dispatchers", 0.4),
    "peers twice": ("dispatchers", 1.0),
    "peers corrupt": ("dispatchers", 1.0),
    "peers replay": ("dispatchers", 1.0),  # old datagrams played again
}


class Fault(msgspec.Struct, frozen=True):
    """One fault: from when, how long (seconds), of what, and whom it strikes."""

    at: float
    length: float
    kind: str
    who: tuple[int, ...] = ()
    size: float = 0.0


class Schedule(msgspec.Struct, frozen=True):
    """A day of faults, replayable from its JSON."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]

    def json(self) -> bytes:
        return msgspec.json.format(msgspec.json.encode(self))

    @staticmethod
    def read(data: bytes) -> Schedule:
        """msgspec.ValidationError names what is wrong in it."""
        return msgspec.json.decode(data, type=Schedule)


def draw(
    seed: int, seconds: float, dispatchers: int, nodes: int, count: int = 4, kinds: tuple[str, ...] = ()
) -> Schedule:
    """So many faults, most in pairs that overlap. A node is struck by one fault at a time."""
    random = Random(f"faults {seed}")
    faults: list[Fault] = []
    busy: dict[str, set[int]] = {"nodes": set(), "dispatchers": set(), "": set()}
    at = seconds * 0.15
    while len(faults) < count:
        kind = random.choice(kinds or tuple(KINDS))
        place, most = KINDS[kind]
        there = {"nodes": nodes, "dispatchers": dispatchers, "": 0}[place]
        free = [n for n in range(there) if n not in busy[place] or not kind.startswith("node")]
        size = min(len(free), max(1, int(random.uniform(0.3, 1.0) * most * there))) if there else 0
        who = tuple(sorted(random.sample(free, size)))
        if kind.startswith("node"):
            busy["nodes"].update(who)
            if len(busy["nodes"]) > 0.6 * nodes and len(who) > 1:
                who = who[: len(who) // 2]
        if who or not there:
            length = random.uniform(0.1, 0.25) * seconds
            faults.append(Fault(round(at, 2), round(length, 2), kind, who, round(random.random(), 2)))
        if len(faults) % 2 == 0:  # the next pair comes while the last of this one may still last
            at = min(at + random.uniform(0.15, 0.3) * seconds, 0.6 * seconds)
        else:
            at += random.uniform(0.0, 0.08) * seconds
        if len(busy["nodes"]) >= nodes:
            busy["nodes"].clear()
    return Schedule(seed, seconds, tuple(faults))


async def shrink(schedule: Schedule, fails: Callable[[Schedule], Awaitable[bool]]) -> Schedule:
    """The fewest of its faults with which it still fails: one after another is left out (ddmin's last step).

    `fails` must be true of the schedule itself. Each try plays a day.
    """
    faults = list(schedule.faults)
    size = max(1, len(faults) // 2)
    while faults:
        for start in range(0, len(faults), size):
            fewer = faults[:start] + faults[start + size :]
            if await fails(Schedule(schedule.seed, schedule.seconds, tuple(fewer))):
                faults = fewer
                break
        else:
            if size == 1:
                break
            size //= 2
    return Schedule(schedule.seed, schedule.seconds, tuple(faults))
