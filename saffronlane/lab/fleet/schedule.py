"""Schedules of faults: generated from a seed, stored as JSON, and shrunk to a minimal failing schedule."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import msgspec

# For each kind of fault, its targets and the maximum share of them that it affects.
FAULT_KINDS: dict[str, tuple[str, float]] = {
    "node crash": ("nodes", 0.35),  # restarts cold
    "node hang": ("nodes", 0.2),
    "node slow": ("nodes", 0.35),
    "node errors": ("nodes", 0.2),
    "node stall": ("nodes", 0.2),  # results stop half written
    "node reset": ("nodes", 0.5),  # connections with running requests are reset
    "node half open": ("nodes", 0.35),
    "node late": ("nodes", 0.35),  # currently the same as a crash
    "node replaced": ("nodes", 0.35),  # drains and is removed; a cold node with a new id replaces it
    "kill": ("dispatchers", 0.7),  # SIGKILL, then an immediate restart
    "pause": ("dispatchers", 0.4),  # SIGSTOP, then SIGCONT
    "roll": ("dispatchers", 0.4),  # rolling restart with SIGTERM
    "feed silent": ("", 0.0),  # connections stay open but carry no data
    "feed cut": ("", 0.0),  # connections are aborted
    "peers drop": ("dispatchers", 0.5),
    "peers late": ("dispatchers", 0.5),
    "peers deaf": ("dispatchers", 0.4),  # receive no peer messages but can send them
    "peers mute": ("dispatchers", 0.4),  # receive peer messages but cannot send them
    "peers twice": ("dispatchers", 1.0),
    "peers corrupt": ("dispatchers", 1.0),
    "peers replay": ("dispatchers", 1.0),  # old datagrams are replayed
}


class Fault(msgspec.Struct, frozen=True, rename={"duration": "length", "targets": "who", "severity": "size"}):
    """One fault.

    Attributes:
        at: The start time in seconds.
        duration: The duration in seconds.
        kind: A key of `FAULT_KINDS`.
        targets: The positions of the affected nodes or dispatchers.
        severity: The strength of the fault from 0 to 1, for kinds that have one.
    """

    at: float
    duration: float
    kind: str
    targets: tuple[int, ...] = ()
    severity: float = 0.0


class Schedule(msgspec.Struct, frozen=True):
    """The faults of one run, which can be repeated from its JSON."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]

    def to_json(self) -> bytes:
        """Returns the schedule as indented JSON."""
        return msgspec.json.format(msgspec.json.encode(self))

    @staticmethod
    def from_json(data: bytes) -> Schedule:
        """Reads a schedule from JSON.

        Raises:
            msgspec.ValidationError: If a field is missing or invalid. The message names the field.
        """
        return msgspec.json.decode(data, type=Schedule)


def draw_schedule(
    seed: int, seconds: float, dispatchers: int, nodes: int, count: int = 4, kinds: tuple[str, ...] = ()
) -> Schedule:
    """Generates `count` faults, mostly in overlapping pairs.

    A node is chosen for another node fault only after every node has been chosen once.
    """
    random = Random(f"faults {seed}")
    faults: list[Fault] = []
    busy: dict[str, set[int]] = {"nodes": set(), "dispatchers": set(), "": set()}
    at = seconds * 0.15
    while len(faults) < count:
        kind = random.choice(kinds or tuple(FAULT_KINDS))
        target_kind, max_share = FAULT_KINDS[kind]
        target_count = {"nodes": nodes, "dispatchers": dispatchers, "": 0}[target_kind]
        available_targets = [
            n for n in range(target_count) if n not in busy[target_kind] or not kind.startswith("node")
        ]
        sample_size = (
            min(len(available_targets), max(1, int(random.uniform(0.3, 1.0) * max_share * target_count)))
            if target_count
            else 0
        )
        targets = tuple(sorted(random.sample(available_targets, sample_size)))
        if kind.startswith("node"):
            busy["nodes"].update(targets)
            if len(busy["nodes"]) > 0.6 * nodes and len(targets) > 1:
                targets = targets[: len(targets) // 2]
        if targets or not target_count:
            duration = random.uniform(0.1, 0.25) * seconds
            faults.append(Fault(round(at, 2), round(duration, 2), kind, targets, round(random.random(), 2)))
        if len(faults) % 2 == 0:  # the next pair can overlap with the last fault of this pair
            at = min(at + random.uniform(0.15, 0.3) * seconds, 0.6 * seconds)
        else:
            at += random.uniform(0.0, 0.08) * seconds
        if len(busy["nodes"]) >= nodes:
            busy["nodes"].clear()
    return Schedule(seed, seconds, tuple(faults))


async def shrink(schedule: Schedule, fails: Callable[[Schedule], Awaitable[bool]]) -> Schedule:
    """Reduces the faults to a minimal list that still fails, by delta debugging without its subset step.

    `fails` must return True for the schedule itself. Each call runs the fleet once.
    """
    faults = list(schedule.faults)
    chunk_size = max(1, len(faults) // 2)
    while faults:
        for start in range(0, len(faults), chunk_size):
            remaining = faults[:start] + faults[start + chunk_size :]
            if await fails(Schedule(schedule.seed, schedule.seconds, tuple(remaining))):
                faults = remaining
                break
        else:
            if chunk_size == 1:
                break
            chunk_size //= 2
    return Schedule(schedule.seed, schedule.seconds, tuple(faults))
