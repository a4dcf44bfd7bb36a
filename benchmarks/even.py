"""How evenly many dispatchers place, in virtual time, beside four plain policies on the same traffic.

    python benchmarks/even.py --dispatchers 10,40,200 --nodes 24 --load 0.65 --fault "node replaced" --seeds 5

One row for each count and policy: the mean over the seeds and half the width of its 95% interval (normal).
Plain policies see no difference between counts but by what each dispatcher knows of its own.
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
from saffronlane.lab.fleet.policies import Chooser, HashOrder, RandomChoice, TrueStateLate, TwoByOwnNews
from saffronlane.lab.fleet.schedule import Fault, Schedule
from saffronlane.lab.fleet.shape import HEAVY_SORTS, FleetShape
from saffronlane.lab.fleet.virtual import VirtualFleet

POLICIES: dict[str, Callable[[int], Chooser | None]] = {
    "dispatchers": lambda seed: None,
    "true state, late": TrueStateLate,
    "two choices": TwoByOwnNews,
    "hash order": HashOrder,
    "random": RandomChoice,
}
SHOWN = (
    "worth_in_time",
    "refused",
    "idle_share",
    "imbalance_p99",
    "herd_p999",
    "messages",
    "connections",
)


def faults(kind: str, nodes: int, dispatchers: int, seconds: float) -> tuple[Fault, ...]:
    """Half of the nodes struck in the second quarter; `deaf`: no peer is heard, a fifth of the nodes goes."""
    at, length = 0.25 * seconds, 0.15 * seconds
    if kind == "none":
        return ()
    if kind == "deaf":
        lost = Fault(at, length, "node crash", tuple(range(0, nodes, 5)), 0.5)
        return Fault(at, 1.5 * length, "peers deaf", tuple(range(dispatchers))), lost
    return (Fault(at, length, kind, tuple(range(0, nodes, 2)), 0.5),)


def interval(values: list[float]) -> tuple[float, float]:
    spread = statistics.stdev(values) if len(values) > 1 else 0.0
    return statistics.fmean(values), 1.96 * spread / math.sqrt(len(values))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--dispatchers", default="10,40", help="counts, with commas between")
    parser.add_argument("--nodes", type=int, default=24)
    parser.add_argument("--load", type=float, default=0.65)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--fault", default="none", help="none, deaf, or a kind of lab/fleet/schedule.py")
    parser.add_argument("--seeds", type=int, default=5)
    given = parser.parse_args()
    for count in map(int, given.dispatchers.split(",")):
        struck = faults(given.fault, given.nodes, count, given.seconds)
        for name, make in POLICIES.items():
            found: list[Measures] = []
            for seed in range(1, given.seeds + 1):
                shape = FleetShape(
                    count, given.nodes, 8.0, given.load, 3 * given.nodes, seed, sorts=HEAVY_SORTS
                )
                found.append(VirtualFleet(shape, Schedule(seed, given.seconds, struck), make(seed)).play())
            plain = [msgspec.to_builtins(one) for one in found]
            figures = {key: [round(x, 4) for x in interval([one[key] for one in plain])] for key in SHOWN}
            row = {"dispatchers": count, "policy": name, "fault": given.fault} | figures
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
