"""Measures the time until platform nodes are ready when many of them start at the same time on shared cores.

    python benchmarks/ready.py [--starting 70] [--resting 30] [--python PATH]

First, `--resting` nodes start one after the other and keep running. Then `--starting` nodes start at the same
time. A node is ready when it has logged `listening`. Prints the seconds of the fastest single start, and the
median, the 90th percentile and the maximum of the simultaneous starts.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

SETTINGS = {
    "fleetSize": 100,
    "position": 0,
    "kinds": ["std"],
    "zones": ["here"],
    "extra": {"kindCores": [8], "sizeMb": [1024], "parallelism": [1]},
    "guarantees": {"answerSlack": 0.05, "stopSendingWithin": 0.5},
    "limits": {"cancel": True, "retryAfter": True, "sendCap": 3, "maxRetryAfter": 0.5},
    "services": [{"name": "ask", "aim": 0.5, "deadline": 4.0, "effect": "retryable"}],
}


def write_config(folder: Path, number: int, nodes: int) -> Path:
    """Writes a configuration with a number of compute nodes and a feed, none of which exist."""
    members = [{"id": f"n{i}", "host_port": f"127.0.0.1:{2 + i}", "flavor": "std"} for i in range(nodes)]
    endpoint_list = {"revision": 1, "complete": True, "members": members}
    path = folder / f"{number}.json"
    path.write_text(
        json.dumps(
            {
                "name": f"n{number}",
                "listen": f"127.1.{number // 250}.{number % 250 + 1}:4100",
                "feed": "127.0.0.1:1",
                "known": {"n": 1, "events": [{"n": 1, "members": endpoint_list}]},
                "settings": SETTINGS,
            }
        )
    )
    return path


async def start(python: str, path: Path, processes: list[asyncio.subprocess.Process]) -> float:
    """Starts a node, adds it to `processes` at once, and returns the seconds until it is ready."""
    started_at = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        python,
        "-m",
        "saffronlane.platform",
        env=os.environ | {"BALANCER_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    processes.append(process)
    assert process.stderr is not None
    while line := await process.stderr.readline():
        if b"listening" in line:
            return time.monotonic() - started_at
    raise SystemExit(f"a node exited before it was ready, with status {await process.wait()}")


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--starting", type=int, default=70)
    parser.add_argument("--resting", type=int, default=30)
    parser.add_argument("--nodes", type=int, default=80)
    parser.add_argument("--python", default=sys.executable)
    options = parser.parse_args()
    processes: list[asyncio.subprocess.Process] = []
    with tempfile.TemporaryDirectory() as folder:
        paths = [
            write_config(Path(folder), n, options.nodes) for n in range(options.starting + options.resting)
        ]
        try:
            single_start = min(
                [await start(options.python, path, processes) for path in paths[: options.resting]],
                default=0.0,
            )
            starts = (start(options.python, path, processes) for path in paths[options.resting :])
            durations = sorted(await asyncio.gather(*starts))
        finally:  # ends all nodes, also after a failure
            for process in processes:
                if process.returncode is None:
                    process.kill()
            await asyncio.gather(*(process.wait() for process in processes))
    p90 = durations[max(0, -(-9 * len(durations) // 10) - 1)]
    print(
        f"single start {single_start:.2f} s; {options.starting} simultaneous starts beside"
        f" {options.resting} running nodes on {os.cpu_count()} cores:"
        f" median {durations[len(durations) // 2]:.2f}, p90 {p90:.2f}, max {durations[-1]:.2f} s"
    )


if __name__ == "__main__":
    asyncio.run(main())
