"""Runs a fleet of real processes on this machine under a schedule of faults and prints its measures.

    python benchmarks/fleet.py --dispatchers 200 --nodes 80 --seed 1 --json

The exit status is 1 if the fleet violated a rule. The machine needs about 25 MB of free memory per
dispatcher, and enough cores for the load.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from saffronlane.lab.fleet.play import run_fleet
from saffronlane.lab.fleet.schedule import Schedule, draw_schedule, shrink
from saffronlane.lab.fleet.shape import FleetShape


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--dispatchers", type=int, default=10)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--cores", type=float, default=4.0, help="cores of each node")
    parser.add_argument("--load", type=float, default=0.5, help="requested share of all cores")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=int, default=4)
    parser.add_argument("--schedule", type=Path, help="run this schedule (JSON) instead of a random one")
    parser.add_argument(
        "--shrink", action="store_true", help="after a violation, find a minimal schedule that causes it"
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    shape = FleetShape(options.dispatchers, options.nodes, options.cores, options.load, seed=options.seed)
    if options.schedule is not None:
        schedule = Schedule.from_json(options.schedule.read_bytes())
    else:
        schedule = draw_schedule(
            options.seed, options.seconds, options.dispatchers, options.nodes, options.faults
        )
    result = asyncio.run(run_fleet(shape, schedule))
    figures = {
        "dispatchers": options.dispatchers,
        "nodes": options.nodes,
        "seed": options.seed,
        "machine_was_the_limit": result.was_machine_overloaded,
        "late_s": round(result.max_lag, 3),
        "machine_share": round(result.machine_share, 3),
        "findings": [
            f"rule {finding.rule} at {finding.at:.2f} s: {finding.text}" for finding in result.findings[:20]
        ],
        "faults": [
            f"{fault.kind} at {fault.at} s for {fault.duration} s: {len(fault.targets)}"
            for fault in schedule.faults
        ],
        **msgspec.to_builtins(result.measures),
    }
    if options.json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:22} {value}")
    if result.findings and options.shrink:

        async def fails(candidate: Schedule) -> bool:
            return bool((await run_fleet(shape, candidate)).findings)

        print(asyncio.run(shrink(schedule, fails)).to_json().decode())
    return 1 if result.findings else 0


if __name__ == "__main__":
    sys.exit(main())
