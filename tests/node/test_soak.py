"""A soak of one server: drawn faults of compute nodes and clients, and the rules that hold all the same.

It runs for `SOAK_SECONDS` (45) with the seed `SOAK_SEED` (4). A long run is started by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections import defaultdict
from random import Random
from typing import Any

import pytest
from platform_world import SETTINGS, Client, ComputeNodeConnection, Harness, member

from saffronlane.platform.upstream.attempt import UpstreamAttempt

from .support import encode_call, request_id, run_with_harness, use_small_buffers

SECONDS = float(os.environ.get("SOAK_SECONDS", "45"))
SEED = int(os.environ.get("SOAK_SEED", "4"))
KEY_TTL = 1.0  # seconds
SLACK = 0.05  # seconds by which each time limit of the rules is longer on sockets
DRAIN_GRACE_PERIOD = 0.5  # seconds, as in SETTINGS
ANSWER_TIMEOUT = 15.0  # seconds after which a request counts as lost
NODES = 3
CLIENTS = 8
BAD_CLIENTS = 6
REQUESTS_OF_A_BAD_CLIENT = 32
LIMITS = {"cores": 1.0, "memory_mb": 16, "sockets": 256}
STATEMENT_SIZES = (20, 200, 5_000, 60_000, 200_000)  # bytes


class World:
    """The compute nodes with their drawn faults, and what was sent to and run by them."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.now = asyncio.get_running_loop().time
        self.is_reading = [asyncio.Event() for _ in range(NODES)]
        self.loses_answers = [False] * NODES
        self.sequence = 1  # of the last event of the control feed
        self.draining_since: dict[bytes, float] = {}
        self.sends: dict[bytes, list[tuple[float, bytes]]] = defaultdict(list)  # time and engine, by id
        self.runs: dict[bytes, list[bytes]] = defaultdict(list)  # engines by id, in order
        self.problems: list[str] = []
        for event in self.is_reading:
            event.set()

    async def run_statement(self, node: int, connection: ComputeNodeConnection, command: list[bytes]) -> None:
        """Script of a compute node."""
        if command[0] != b"fetch":
            return
        self.runs[command[1]].append(b"node-%d" % node)
        await self.is_reading[node].wait()
        if self.loses_answers[node]:
            connection.abort()
        elif self.random.random() < 0.05:
            connection.send(command[1], b"BROKE", b"-", b"")
        else:
            connection.send_result(command[1])

    def on_attempt_sent(self, attempt: UpstreamAttempt) -> None:
        """Record a send, and check that its compute node was not draining for too long."""
        now = self.now()
        self.sends[attempt.statement.request_id].append((now, attempt.engine))
        since = self.draining_since.get(attempt.engine, now)
        if now > since + DRAIN_GRACE_PERIOD + SLACK:
            self.problems.append(f"sent to a draining node after {now - since:.2f} s")

    async def draw_faults(self, harness: Harness) -> None:
        """Let nodes hang, lose answers and drain, until the task is cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            node = self.random.randrange(NODES)
            fault = self.random.choice(("hang", "hang", "lose", "drain"))
            if fault == "drain":
                self._list(harness, node, "draining")
                await asyncio.sleep(self.random.uniform(0.5, 1.5))
                self._list(harness, node, "up")
                continue
            self.loses_answers[node] = fault == "lose"
            if fault == "hang":
                self.is_reading[node].clear()
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
            self.loses_answers[node] = False
            self.is_reading[node].set()

    async def send_heartbeats(self, harness: Harness) -> None:
        """Send the last sequence number at intervals, as the control feed does, until it is cancelled."""
        while True:
            harness.feed.send_line(b'{"n":%d}\n' % self.sequence)
            await asyncio.sleep(0.5)

    def _list(self, harness: Harness, node: int, phase: str) -> None:
        name = f"node-{node}"
        self.sequence += 1
        harness.feed.send_event(self.sequence, [member(name, harness.compute_nodes[node].port, phase=phase)])
        if phase == "up":
            self.draining_since.pop(name.encode(), None)
        else:
            self.draining_since[name.encode()] = self.now()

    def check_runs(self, unsafe_ids: set[bytes], keyed_ids: set[bytes]) -> None:
        """Check that unsafe statements ran once, and keyed ones were sent again only within their window."""
        for statement_id in unsafe_ids:
            if len(self.runs[statement_id]) > 1:
                self.problems.append(f"unsafe statement ran {len(self.runs[statement_id])} times")
        for statement_id in keyed_ids:
            run_by = self.runs[statement_id]
            sends = self.sends[statement_id]
            first_run_at = min((at for at, engine in sends if engine in run_by), default=None)
            if first_run_at is not None and sends[-1][0] > first_run_at + KEY_TTL + SLACK:
                late = sends[-1][0] - first_run_at
                self.problems.append(f"keyed statement sent again {late:.2f} s after it may have run")


class SoakClient:
    """A sound client: it asks, pauses in the middle of messages, cancels and leaves."""

    def __init__(self, world: World, harness: Harness, number: int) -> None:
        self.world, self.harness, self.number = world, harness, number
        self.random = Random(f"{SEED} {number}")
        self.asked = self.answered = 0
        self.ids: dict[str, set[bytes]] = {"ask": set(), "load": set(), "frail": set()}

    async def run(self, until: float) -> None:
        """Ask until the given time."""
        while self.world.now() < until:
            client = await self.harness.client()
            calls = [await self._call(client, n) for n in range(1, self.random.randrange(2, 8))]
            if self.random.random() < 0.1:
                client.close()  # it does not wait for its answers
                continue
            for message_id in calls:
                await self._expect_answer(client, message_id)
            client.close()

    async def _call(self, client: Client, message_id: int) -> int:
        method = self.random.choice(("ask", "ask", "load", "frail"))
        self.asked += 1
        rid = request_id(self.number * 1_000_000 + self.asked)
        self.ids[method].add(rid.encode())
        body = b"SELECT '" + b"x" * self.random.choice(STATEMENT_SIZES) + b"'"
        fields = {"budget": str(self.random.randrange(800, 3500)), "rid": rid}
        if method == "load":
            fields["token"] = rid
        data = encode_call(message_id, method, body, **fields)
        split = self.random.randrange(len(data))
        client.send_raw(data[:split])
        if self.random.random() < 0.2:
            await asyncio.sleep(self.random.uniform(0.0, 1.5))
        client.send_raw(data[split:])
        return message_id

    async def _expect_answer(self, client: Client, message_id: int) -> None:
        try:
            await client.read_answer(message_id, ANSWER_TIMEOUT)
            self.answered += 1
        except (ConnectionError, TimeoutError) as error:
            self.world.problems.append(f"client {self.number}: request {message_id} lost: {error!r}")


async def send_floods(world: World, harness: Harness) -> None:
    """Let bad clients send many long statements at once, again and again, until the task is cancelled."""
    flood = 0
    while True:
        await asyncio.sleep(world.random.uniform(1.0, 4.0))
        clients = [await harness.client() for _ in range(BAD_CLIENTS)]
        for client in clients:
            for number in range(1, REQUESTS_OF_A_BAD_CLIENT + 1):
                flood += 1
                rid = request_id(900_000_000 + flood)
                client.send_raw(encode_call(number, body=b"SELECT '" + b"x" * 200_000 + b"'", rid=rid))
        await asyncio.sleep(world.random.uniform(0.1, 1.0))
        for client in clients:
            client.close()


async def watch_memory(harness: Harness) -> None:
    """Check that the counted bytes stay within the budget, but for statements that are being written."""
    memory = harness.server.memory
    while True:
        assert memory.held_bytes <= memory.limit_bytes
        await asyncio.sleep(0.005)


def soak_settings() -> dict[str, Any]:
    services = [
        service | ({"keyTtl": KEY_TTL, "sequential": False} if service["name"] == "load" else {})
        for service in SETTINGS["services"]
    ]
    return SETTINGS | {"services": services}


@pytest.mark.timeout(SECONDS + 120.0)
def test_rules_hold_under_drawn_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the faults of the review, in orders of events that no other test names."""
    world: list[World] = []

    def script(node: int) -> Any:
        async def run_statement(connection: ComputeNodeConnection, command: list[bytes]) -> None:
            await world[0].run_statement(node, connection, command)

        return run_statement

    async def scenario(harness: Harness) -> None:
        world.append(World(Random(SEED)))
        use_small_buffers(harness, monkeypatch)
        monkeypatch.setattr(harness.server.upstream, "on_attempt_sent", world[0].on_attempt_sent)
        await harness.wait_until(lambda: harness.feed.writers)
        disturbances = [
            asyncio.create_task(task)
            for task in (
                world[0].draw_faults(harness),
                world[0].send_heartbeats(harness),
                send_floods(world[0], harness),
                watch_memory(harness),
            )
        ]
        clients = [SoakClient(world[0], harness, number) for number in range(1, CLIENTS + 1)]
        until = world[0].now() + SECONDS
        await asyncio.gather(*(client.run(until) for client in clients))
        for task in disturbances:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for is_reading in world[0].is_reading:
            is_reading.set()
        for client in clients:
            world[0].check_runs(client.ids["frail"], client.ids["load"])
        assert world[0].problems == []
        assert sum(client.answered for client in clients) > SECONDS
        assert harness.server.dispatcher.fault_count == 0
        assert len(harness.feed.subscribed_sequences) == 1  # no event was missed
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(
        scenario, *(script(node) for node in range(NODES)), limits=LIMITS, settings=soak_settings()
    )
