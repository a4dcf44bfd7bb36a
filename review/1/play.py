"""Case 1: a keyed load whose answer was lost is tried again at a node that hangs; is it applied twice?"""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins.case import run
from standins.usual import Connection, connect, fields_of
from standins.world import CannotRun, World, bytes_not_read, member, settings

KEY_TTL = 3.0  # seconds for which the nodes drop a repeat of a key
SLACK = 0.05
WORK = 1.0  # seconds of a load
BUDGET_MS = 25_000
QUIET_SECONDS = 14.0  # before the trouble; a load every quarter of a second
HANG_SECONDS = 12.0
STATEMENT_BYTES = 240_000
LOADS_IN_A_BURST = 50  # half of them go to each node
SMALL_LOADS = 6
CONNECTIONS = 10


def _load(connection: Connection, number: int, group: int, size: int) -> None:
    fields = fields_of(BUDGET_MS, number) | {"token": secrets.token_hex(16), "obj": secrets.token_hex(8)}
    start = b"insert into sales_%d.rows values ('" % group
    connection.ask("log-load", fields, start + b"x" * (size - len(start) - 2) + b"')")


async def play(world: World, has_trouble: bool) -> None:
    """Play the case."""
    await world.feed.start()
    nodes, ports = world.start_nodes(2, load=WORK, ttl=KEY_TTL)
    assert nodes.stdin is not None

    def tell(line: str) -> None:
        nodes.stdin.write(line.encode() + b"\n")
        nodes.stdin.flush()

    world.feed.add([member(f"s-{number}", port) for number, port in enumerate(ports)])
    changes = {"log-load": {"keyTtl": KEY_TTL}}
    world.start_dispatcher(settings(**changes))
    await world.wait_until_ready()
    record = world.new_record("usual client")
    connections = [await connect(world.port, record) for _ in range(4)]
    for number in range(int(QUIET_SECONDS * 4)):
        _load(connections[number % 4], number, number % 12, 1000)
        await asyncio.sleep(0.25)
    await asyncio.sleep(2 * WORK)
    connections = [await connect(world.port, record) for _ in range(CONNECTIONS)]
    if has_trouble:
        tell("hang 0")
    hung_at = time.monotonic()
    for number in range(LOADS_IN_A_BURST):
        _load(connections[number % CONNECTIONS], number, number % 12, STATEMENT_BYTES)
    await asyncio.sleep(WORK + 0.5)
    if has_trouble:
        tell("lose 1")
    for number in range(SMALL_LOADS):
        _load(connections[number], number, 20 + number, 1000)
    await asyncio.sleep(KEY_TTL + 2 * SLACK)
    # All attempts of these loads that may still be sent have been: the nodes' window has ended.
    world.record.add(
        "the window ends", held={str(peer): size for peer, size in bytes_not_read(ports[0]).items()}
    )
    if has_trouble:
        tell("keep 1")
        await asyncio.sleep(HANG_SECONDS - (time.monotonic() - hung_at))
        tell("resume 0")
    for _ in range(BUDGET_MS // 100):
        await asyncio.sleep(0.1)
        if not any(connection.open for connection in connections):
            return


def judge(events: list[dict[str, Any]], world: World) -> int:
    """Return 1 if a key was run twice, the second time by an attempt that was sent after the window; else 0.

    An attempt counts as sent once its first byte is handed to the system, though the node has not read it.
    """
    read = {
        peer: size for event in events if event["event"] == "hangs" for peer, size in event["read"].items()
    }
    if not world.was_running:
        raise CannotRun("the dispatcher has ended")
    looked = next(event for event in events if event["event"] == "the window ends")
    sent: dict[str, list[dict[str, Any]]] = {}
    done: dict[str, list[dict[str, Any]]] = {}
    for event in events:
        if event["event"] == "arrived" and event["key"]:
            sent.setdefault(event["key"], []).append(event)
        if event["event"] == "done" and event["key"]:
            done.setdefault(event["key"], []).append(event)
    twice = [key for key, ends in done.items() if len(ends) > 1]
    for key in twice:
        times = [f"{event['at'] - sent[key][0]['at']:.2f} s at node {event['node']}" for event in sent[key]]
        print(f"key {key[:8]}: arrived after {', '.join(times)}; run {len(done[key])} times")
    late = []
    for key in twice:
        last = sent[key][-1]
        handed_over = read.get(str(last["peer"]), 0) + looked["held"].get(str(last["peer"]), 0)
        print(
            f"key {key[:8]}: starts at byte {last['starts_at']}, at the window's end {handed_over} were sent"
        )
        window_had_ended = looked["at"] >= sent[key][0]["at"] + KEY_TTL + SLACK
        if window_had_ended and last["starts_at"] >= handed_over:
            late.append(key)
    print(f"loads run {len(done)}, run twice {len(twice)}, of these sent again after the window {len(late)}")
    return 1 if late else 0


if __name__ == "__main__":
    run(Path(__file__).parent, play, judge)
