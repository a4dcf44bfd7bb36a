"""Defines the measures of a fleet: balance of the load, recovery from faults, and cost.

- Idle share: the share of node-seconds in which a node is idle although queries wait at a dispatcher or some
  node runs more than two threads per core.
- Imbalance: the work that reaches a node in one second, relative to an even distribution; 99th percentile and
  maximum.
- Herd index: the number of different dispatchers that reach a node within 250 ms, relative to the number
  that chance explains; 99.9th percentile.
- In-time share: the priority weight of the requests that were answered within their latency objective,
  relative to that of all requests.
- Recovery time: seconds from the end of a fault until the in-time share reaches 0.95 of its value before the
  first fault.
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

SAMPLE_INTERVAL_S, IMBALANCE_WINDOW_S, HERD_WINDOW_S = 0.05, 1.0, 0.25  # seconds
OVERLOADED_THREADS_PER_CORE = 2.0
RECOVERED_RATIO = 0.95
RECOVERY_WINDOW_S = 2.0  # window of request times over which the in-time share is measured after a fault


class Measures(
    msgspec.Struct,
    rename={
        "request_count": "asked",
        "in_time_share": "worth_in_time",
        "imbalance_max": "imbalance_most",
        "recovery_times": "recoveries",
        "attempts_per_request": "attempts",
    },
):
    """The measures of one run.

    Attributes:
        request_count: The number of requests.
        in_time_share: The in-time share over all requests.
        served: The share of the requests that were answered with a result.
        refused: The share of the requests that were rejected.
        idle_share: The idle share.
        imbalance_p99: The 99th percentile of the imbalance.
        imbalance_max: The largest imbalance.
        herd_p999: The 99.9th percentile of the herd index.
        recovery_times: The recovery time of each fault in seconds, or infinity if the fleet did not recover
            within the run.
        messages: The number of messages between dispatchers.
        connections: The number of connections to nodes.
        attempts_per_request: The mean number of attempts per request.
    """

    request_count: int
    in_time_share: float
    served: float
    refused: float
    idle_share: float
    imbalance_p99: float
    imbalance_max: float
    herd_p999: float
    recovery_times: dict[str, float]
    messages: int
    connections: int
    attempts_per_request: float


class IdleMonitor:
    """Accumulates samples of the nodes for the idle share."""

    def __init__(self, cores: float) -> None:
        self.cores = cores
        self.idle_samples = self.node_samples = 0

    def add_sample(self, thread_counts: list[float], queued_count: int) -> None:
        """Adds the number of running threads of each node and the number of queries queued at dispatchers."""
        is_fleet_busy = queued_count or any(
            threads > OVERLOADED_THREADS_PER_CORE * self.cores for threads in thread_counts
        )
        self.node_samples += len(thread_counts)
        self.idle_samples += sum(not threads for threads in thread_counts) if is_fleet_busy else 0

    @property
    def idle_share(self) -> float:
        """The share of the samples of single nodes in which the node was idle while the fleet was busy."""
        return self.idle_samples / max(1, self.node_samples)


class Sampler:
    """Periodically samples the nodes of a fleet of processes.

    The queues of dispatchers are not visible from outside and count as empty.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.idle_monitor = IdleMonitor(fleet.shape.cores)
        self._fleet = fleet
        self._task = asyncio.create_task(self._sample_nodes())

    async def _sample_nodes(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.idle_monitor.add_sample([node.threads for node in self._fleet.nodes], 0)

    def stop(self) -> None:
        """Stops sampling."""
        self._task.cancel()


def quantile(values: list[float], share: float) -> float:
    """Returns the quantile of the values for this share, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def imbalance(attempts: list[dict[str, Any]], nodes: int, seconds: float) -> tuple[float, float]:
    """Returns the 99th percentile and the maximum of the imbalance over all nodes and seconds."""
    work_by_second: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for attempt in attempts:
        work_by_second[int(attempt["at"] / IMBALANCE_WINDOW_S)][attempt["engine"]] += attempt["work"]
    ratios: list[float] = []
    for second in range(int(seconds / IMBALANCE_WINDOW_S)):
        total = sum(work_by_second[second].values())
        if total > 0.0:
            work_by_node = list(work_by_second[second].values()) + [0.0] * (
                nodes - len(work_by_second[second])
            )
            ratios += [node_work * nodes / total for node_work in work_by_node]
    return quantile(ratios, 0.99), max(ratios, default=0.0)


def herd_index(attempts: list[dict[str, Any]], nodes: int) -> float:
    """Returns the 99.9th percentile of the herd index over all nodes and windows of 250 ms."""
    gateways_by_slot: dict[tuple[int, str], set[str]] = defaultdict(set)
    attempts_by_slot: dict[int, int] = defaultdict(int)
    for attempt in attempts:
        slot = int(attempt["at"] / HERD_WINDOW_S)
        gateways_by_slot[slot, attempt["engine"]].add(attempt["gateway"])
        attempts_by_slot[slot] += 1
    ratios = []
    for (slot, _), gateways in gateways_by_slot.items():
        expected = attempts_by_slot[slot] / nodes
        ratios.append(len(gateways) / (expected + 3.0 * math.sqrt(expected) + 1.0))
    return quantile(ratios, 0.999)


def measure(
    record: Record,
    shape: FleetShape,
    idle_monitor: IdleMonitor,
    schedule: Schedule,
    messages: int,
    connections: int,
) -> Measures:
    """Calculates all measures of a run from its record."""
    query_classes = {query_class.name: query_class for query_class in shape.query_classes}
    requests = {event["query"]: event for event in record.events if event["kind"] == "asked"}
    answers = {event["query"]: event for event in record.events if event["kind"] == "answer"}
    attempts = [event for event in record.events if event["kind"] == "sent"]
    outcomes: list[tuple[float, float, float]] = []  # request time, weight, weight if in time
    for query, event in requests.items():
        query_class, answer = query_classes[event["cls"]], answers.get(query)
        is_ok = answer is not None and answer["code"] == "OK"
        objective = (
            query_class.latency_objective
            + query_class.latency_objective_per_work * event["work"] / query_class.threads
        )
        is_in_time = is_ok and answer is not None and answer["at"] - event["at"] <= objective
        outcomes.append((event["at"], query_class.priority_weight, query_class.priority_weight * is_in_time))
    imbalance_p99, imbalance_max = imbalance(attempts, shape.nodes, schedule.seconds)
    codes = [answers[query]["code"] for query in requests if query in answers]
    count = max(1, len(requests))
    return Measures(
        request_count=len(requests),
        in_time_share=in_time_share(outcomes),
        served=codes.count("OK") / count,
        refused=codes.count("UNAVAILABLE") / count,
        idle_share=idle_monitor.idle_share,
        imbalance_p99=imbalance_p99,
        imbalance_max=imbalance_max,
        herd_p999=herd_index(attempts, shape.nodes),
        recovery_times=recovery_times(outcomes, schedule),
        messages=messages,
        connections=connections,
        attempts_per_request=len(attempts) / count,
    )


def in_time_share(outcomes: list[tuple[float, float, float]]) -> float:
    """Returns the weight of the requests answered in time relative to that of all requests."""
    return sum(outcome[2] for outcome in outcomes) / max(1e-9, sum(outcome[1] for outcome in outcomes))


def recovery_times(outcomes: list[tuple[float, float, float]], schedule: Schedule) -> dict[str, float]:
    """Returns the recovery time of each fault in seconds. A key is its position and kind: `0 node crash`."""
    first_fault_at = min((fault.at for fault in schedule.faults), default=0.0)
    recovered_share = RECOVERED_RATIO * in_time_share(
        [outcome for outcome in outcomes if outcome[0] < first_fault_at]
    )
    times = {}
    for number, fault in enumerate(schedule.faults):
        end = at = fault.at + fault.duration
        while at < schedule.seconds:
            window_outcomes = [outcome for outcome in outcomes if at <= outcome[0] < at + RECOVERY_WINDOW_S]
            if window_outcomes and in_time_share(window_outcomes) >= recovered_share:
                break
            at += 0.25
        times[f"{number} {fault.kind}"] = round(at - end, 2) if at < schedule.seconds else math.inf
    return times
