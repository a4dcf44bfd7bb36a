"""Measures how evenly dispatchers place queries, compared with four simple policies for the same traffic.

    python benchmarks/even.py --dispatchers 10,40,200 --nodes 24 --load 0.65 --fault "node replaced" --seeds 5

Runs in virtual time. Prints one row for each number of dispatchers and policy, with the mean over the seeds
and half the width of its 95% confidence interval (normal distribution). The number of dispatchers affects a
simple policy only through the state that each dispatcher learns by itself.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from saffronlane.lab.fleet.measures import Measures
from saffronlane.lab.fleet.policies import (
    DelayedTrueState,
    LocalTwoChoices,
    PlacementPolicy,
    RandomChoice,
    RendezvousHash,
)
from saffronlane.lab.fleet.schedule import Fault, Schedule
from saffronlane.lab.fleet.shape import HEAVY_QUERY_CLASSES, FleetShape
from saffronlane.lab.fleet.virtual import VirtualFleet

POLICIES: dict[str, Callable[[int], PlacementPolicy | None]] = {
    "dispatchers": lambda seed: None,
    "true state, late": DelayedTrueState,
    "two choices": LocalTwoChoices,
    "hash order": RendezvousHash,
    "random": RandomChoice,
}
REPORTED_MEASURES = (
    "worth_in_time",
    "refused",
    "idle_share",
    "imbalance_p99",
    "herd_p999",
    "messages",
    "connections",
)


def faults(kind: str, nodes: int, dispatchers: int, seconds: float) -> tuple[Fault, ...]:
    """Returns a fault of this kind at half of the nodes. It begins after a quarter of the run.

    For the kind `deaf`, no dispatcher receives messages of its peers, and a fifth of the nodes crashes.
    """
    start, duration = 0.25 * seconds, 0.15 * seconds
    if kind == "none":
        return ()
    if kind == "deaf":
        crashes = Fault(start, duration, "node crash", tuple(range(0, nodes, 5)), 0.5)
        return Fault(start, 1.5 * duration, "peers deaf", tuple(range(dispatchers))), crashes
    return (Fault(start, duration, kind, tuple(range(0, nodes, 2)), 0.5),)


def confidence_interval(values: list[float]) -> tuple[float, float]:
    """Returns the mean and half the width of its 95% confidence interval."""
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return statistics.fmean(values), 1.96 * deviation / math.sqrt(len(values))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--dispatchers", default="10,40", help="numbers of dispatchers, separated by commas")
    parser.add_argument("--nodes", type=int, default=24)
    parser.add_argument("--load", type=float, default=0.65)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--fault", default="none", help="none, deaf, or a kind of fault in lab/fleet/schedule.py"
    )
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    for count in map(int, options.dispatchers.split(",")):
        schedule_faults = faults(options.fault, options.nodes, count, options.seconds)
        for name, make_policy in POLICIES.items():
            results: list[Measures] = []
            for seed in range(1, options.seeds + 1):
                shape = FleetShape(
                    count,
                    options.nodes,
                    8.0,
                    options.load,
                    3 * options.nodes,
                    seed,
                    query_classes=HEAVY_QUERY_CLASSES,
                )
                results.append(
                    VirtualFleet(
                        shape, Schedule(seed, options.seconds, schedule_faults), make_policy(seed)
                    ).run()
                )
            measures = [msgspec.to_builtins(result) for result in results]
            intervals = {
                key: [round(x, 4) for x in confidence_interval([run[key] for run in measures])]
                for key in REPORTED_MEASURES
            }
            row = {"dispatchers": count, "policy": name, "fault": options.fault} | intervals
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
