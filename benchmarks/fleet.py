"""Plays a day of faults with many processes of the real program on this machine, and prints its figures.

    python benchmarks/fleet.py --dispatchers 200 --nodes 80 --seed 1 --json

Exit status 1 if a rule broke. The machine must have room: about 25 MB a dispatcher, and cores for the load.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from saffronlane.lab.fleet.play import play
from saffronlane.lab.fleet.schedule import Schedule, draw, shrink
from saffronlane.lab.fleet.shape import FleetShape


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--dispatchers", type=int, default=10)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--cores", type=float, default=4.0, help="of each node")
    parser.add_argument("--load", type=float, default=0.5, help="part of all cores that is asked for")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=int, default=4)
    parser.add_argument("--schedule", type=Path, help="play this schedule (JSON) instead of a drawn one")
    parser.add_argument("--shrink", action="store_true", help="if a rule broke, find the fewest faults")
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    shape = FleetShape(given.dispatchers, given.nodes, given.cores, given.load, seed=given.seed)
    if given.schedule is not None:
        schedule = Schedule.read(given.schedule.read_bytes())
    else:
        schedule = draw(given.seed, given.seconds, given.dispatchers, given.nodes, given.faults)
    played = asyncio.run(play(shape, schedule))
    figures = {
        "dispatchers": given.dispatchers,
        "nodes": given.nodes,
        "seed": given.seed,
        "machine_was_the_limit": played.machine_was_the_limit,
        "late_s": round(played.late, 3),
        "machine_share": round(played.machine_share, 3),
        "findings": [f"rule {f.rule} at {f.at:.2f} s: {f.text}" for f in played.findings[:20]],
        "faults": [f"{f.kind} at {f.at} s for {f.length} s: {len(f.who)}" for f in schedule.faults],
        **msgspec.to_builtins(played.measures),
    }
    if given.json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:22} {value}")
    if played.findings and given.shrink:

        async def fails(fewer: Schedule) -> bool:
            return bool((await play(shape, fewer)).findings)

        print(asyncio.run(shrink(schedule, fails)).json().decode())
    return 1 if played.findings else 0


if __name__ == "__main__":
    sys.exit(main())
