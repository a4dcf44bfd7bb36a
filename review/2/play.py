"""Case 2: forty bad clients send requests with long statements; does the dispatcher keep its memory limit?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins.case import lost_requests, run
from standins.world import World, member, settings

NODES = 6
MEMORY_MB = 192  # the largest limit that the pages name
RATE = 40.0  # requests a second of the usual clients
SECONDS = 20.0
BUDGET_MS = 1500
PATIENCE = 10.0
BAD_CLIENTS = 40
REQUESTS_EACH = 100
STATEMENT_BYTES = 240_000


async def play(world: World, has_trouble: bool) -> None:
    """Play the case."""
    await world.feed.start()
    _, ports = world.start_nodes(NODES, lookup=0.1, report=2.0)
    world.feed.add([member(f"s-{number}", port) for number, port in enumerate(ports)])
    world.start_dispatcher(settings(), memory_mb=MEMORY_MB)
    await world.wait_until_ready()
    memory = asyncio.create_task(world.watch_memory(MEMORY_MB))
    crowd = await world.start_crowd(
        BAD_CLIENTS, REQUESTS_EACH, statement_bytes=STATEMENT_BYTES, method="report", budget_ms=20_000
    )
    usual = world.start_usual(SECONDS, RATE, BUDGET_MS, PATIENCE)
    await asyncio.sleep(5.0)
    if has_trouble:
        world.release(crowd)
    while usual.poll() is None:
        await asyncio.sleep(0.1)
    memory.cancel()


def judge(events: list[dict[str, Any]], world: World) -> int:
    """Return 1 if the dispatcher went over its memory limit or has ended, else 0."""
    lost = lost_requests(events)
    unreached = sum(event["event"] == "dispatcher not reached" for event in events)
    cut = sum(event["event"] == "connection ended without answer" for event in events)
    print(
        f"killed for memory: {world.was_killed}, runs {world.was_running}, peak {world.peak_memory_mb:.0f} MB"
    )
    print(f"requests cut off without an answer {cut}, not answered in time {lost}, not taken {unreached}")
    return 1 if world.was_killed or not world.was_running else 0


if __name__ == "__main__":
    run(Path(__file__).parent, play, judge)
