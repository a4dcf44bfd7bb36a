"""Plays a case and turns its result into an exit code: 1 broken, 0 held, 2 could not run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .world import CannotRun, World

SLACK = 0.05  # seconds by which the protocol page widens each time limit
LATE = 0.5  # seconds after its time in which an answer only earns nothing; later it is lost
MAX_CLIENT_DELAY = 0.3  # seconds; with more, the clients' own times are not exact enough to judge by

Play = Callable[[World, bool], Awaitable[None]]
Judge = Callable[[list[dict[str, Any]], World], int]


def lost_requests(events: list[dict[str, Any]]) -> int:
    """Count the usual clients' requests without a final answer half a second after their time, and print it.

    Raises:
        CannotRun: The clients could not keep their own times.
    """
    answered = {event["rid"]: event for event in events if event["event"] == "answered"}
    asked = [event for event in events if event["event"] == "asked"]
    ends = [event for event in events if event["event"] == "client ends"]
    if not asked or not ends or ends[0]["late_by"] > MAX_CLIENT_DELAY:
        raise CannotRun("the usual clients could not keep their rate")
    lost, worst = 0, 0.0
    said: dict[str, int] = {}
    for ask in asked:
        answer = answered.get(ask["rid"])
        if answer is None:
            lost += 1
            continue
        took = answer["at"] - ask["at"]
        worst = max(worst, took)
        lost += took > int(ask["budget"]) / 1000 + LATE + SLACK
        said[answer["said"]] = said.get(answer["said"], 0) + 1
    print(f"asked {len(asked)}, answers {said}, longest {worst:.2f} s, lost {lost}")
    return lost


def run(case: Path, play: Play, judge: Judge) -> None:
    """Play, end all processes, write `record.txt`, judge, and exit."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world = World(case)
    code = 2
    try:
        try:
            asyncio.run(_played(play, world))
        finally:
            events = world.close()
        code = judge(events, world)
    except CannotRun as error:
        print(f"the case could not run: {error}")
    except Exception:
        traceback.print_exc()
    sys.exit(code)


async def _played(play: Play, world: World) -> None:
    await play(world, os.environ.get("TROUBLE", "1") != "0")
