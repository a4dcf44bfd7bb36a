"""How evenly load lies, how soon a fleet is itself again, and what that costs; defined once, here.

- idle share: node-seconds with nothing to do while queries wait at a dispatcher or some node has over two
  threads a core, over all node-seconds;
- imbalance: work that reaches a node in a second over its even part, p99 and largest;
- herd index: arrivals at a node in 250 ms from different dispatchers over what chance would bring, p99.9;
- worth in time: worth answered inside the aim over worth asked for;
- recovery: seconds from the end of a fault until worth in time is 0.95 of that before the first fault.
"""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from typing import TYPE_CHECKING, Any

import msgspec

from .record import Record
from .schedule import Schedule
from .shape import FleetShape

if TYPE_CHECKING:
    from .fleet import Fleet

SAMPLE, SECOND, HERD = 0.05, 1.0, 0.25  # seconds
CROWDED = 2.0  # threads a core
WELL = 0.95
LOOK = 2.0  # seconds of requests by which worth in time is judged, around a moment


class Measures(msgspec.Struct):
    """Figures of one day; shares are 0 to 1, times in seconds."""

    asked: int
    worth_in_time: float
    served: float
    refused: float
    idle_share: float
    imbalance_p99: float
    imbalance_most: float
    herd_p999: float
    recoveries: dict[str, float]  # by fault; infinity: not within the day
    messages: int
    connections: int
    attempts: float  # a request


class Watch:
    """Adds up what each look at the nodes shows."""

    def __init__(self, cores: float) -> None:
        self.cores = cores
        self.idle = self.looks = 0

    def look(self, threads: list[float], held: int) -> None:
        """Threads at each node, and queries that wait at dispatchers, as far as they are known."""
        crowded = held or any(one > CROWDED * self.cores for one in threads)
        self.looks += len(threads)
        self.idle += sum(not one for one in threads) if crowded else 0

    @property
    def idle_share(self) -> float:
        return self.idle / max(1, self.looks)


class Sampler:
    """Looks at the nodes of a fleet of processes again and again. What dispatchers hold is not seen."""

    def __init__(self, fleet: Fleet) -> None:
        self.watch = Watch(fleet.shape.cores)
        self._fleet = fleet
        self._task = asyncio.create_task(self._look())

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE)
            self.watch.look([node.threads for node in self._fleet.nodes], 0)

    def end(self) -> None:
        self._task.cancel()


def quantile(values: list[float], share: float) -> float:
    """The value that so large a share does not pass; 0 of nothing."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def imbalance(sends: list[dict[str, Any]], nodes: int, seconds: float) -> tuple[float, float]:
    """p99 and largest of the work that reaches a node in a second over its even part of that second."""
    work: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for sent in sends:
        work[int(sent["at"] / SECOND)][sent["engine"]] += sent["work"]
    ratios: list[float] = []
    for second in range(int(seconds / SECOND)):
        whole = sum(work[second].values())
        if whole > 0.0:
            parts = list(work[second].values()) + [0.0] * (nodes - len(work[second]))
            ratios += [part * nodes / whole for part in parts]
    return quantile(ratios, 0.99), max(ratios, default=0.0)


def herd(sends: list[dict[str, Any]], nodes: int) -> float:
    """p99.9 of the different dispatchers that reach a node within 250 ms, over what chance would bring."""
    seen: dict[tuple[int, str], set[str]] = defaultdict(set)
    all_of: dict[int, int] = defaultdict(int)
    for sent in sends:
        slot = int(sent["at"] / HERD)
        seen[slot, sent["engine"]].add(sent["gateway"])
        all_of[slot] += 1
    ratios = []
    for (slot, _), gateways in seen.items():
        chance = all_of[slot] / nodes
        ratios.append(len(gateways) / (chance + 3.0 * math.sqrt(chance) + 1.0))
    return quantile(ratios, 0.999)


def measure(
    record: Record, shape: FleetShape, watch: Watch, schedule: Schedule, messages: int, connections: int
) -> Measures:
    """All figures of a day from its record."""
    sorts = {sort.name: sort for sort in shape.sorts}
    asked = {e["query"]: e for e in record.events if e["kind"] == "asked"}
    answers = {e["query"]: e for e in record.events if e["kind"] == "answer"}
    sends = [e for e in record.events if e["kind"] == "sent"]
    worths: list[tuple[float, float, float]] = []  # when asked, worth, worth in time
    for query, event in asked.items():
        sort, answer = sorts[event["cls"]], answers.get(query)
        good = answer is not None and answer["code"] == "OK"
        wanted = sort.aim + sort.stretch * event["work"] / sort.threads
        in_time = good and answer is not None and answer["at"] - event["at"] <= wanted
        worths.append((event["at"], sort.worth, sort.worth * in_time))
    p99, most = imbalance(sends, shape.nodes, schedule.seconds)
    codes = [answers[query]["code"] for query in asked if query in answers]
    count = max(1, len(asked))
    return Measures(
        asked=len(asked),
        worth_in_time=share_in_time(worths),
        served=codes.count("OK") / count,
        refused=codes.count("UNAVAILABLE") / count,
        idle_share=watch.idle_share,
        imbalance_p99=p99,
        imbalance_most=most,
        herd_p999=herd(sends, shape.nodes),
        recoveries=recoveries(worths, schedule),
        messages=messages,
        connections=connections,
        attempts=len(sends) / count,
    )


def share_in_time(worths: list[tuple[float, float, float]]) -> float:
    return sum(w[2] for w in worths) / max(1e-9, sum(w[1] for w in worths))


def recoveries(worths: list[tuple[float, float, float]], schedule: Schedule) -> dict[str, float]:
    """For each fault, the time from its end until worth in time is as before the first one, or nearly."""
    first = min((fault.at for fault in schedule.faults), default=0.0)
    usual = WELL * share_in_time([w for w in worths if w[0] < first])
    found = {}
    for number, fault in enumerate(schedule.faults):
        end = at = fault.at + fault.length
        while at < schedule.seconds:
            near = [w for w in worths if at <= w[0] < at + LOOK]
            if near and share_in_time(near) >= usual:
                break
            at += 0.25
        found[f"{number} {fault.kind}"] = round(at - end, 2) if at < schedule.seconds else math.inf
    return found
