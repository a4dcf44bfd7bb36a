"""A whole node on real sockets under drawn interleavings: what holds, whatever crosses what."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from random import Random
from typing import Any

import msgspec
import pytest
import structlog
from platform_world import ROWS, SETTINGS, Client, ComputeNodeConnection, Harness, member

from saffronlane.resp import encode_command

from .support import SyncClient, encode_call, request_id, run_with_harness

CLASSES = ("ask", "load", "frail")
GONE_WITHIN = 0.1  # seconds after its client's going in which an attempt may still leave
RUNNING = 1.2  # seconds of traffic


class Nodes:
    """What the compute nodes do, drawn for each fetch; how often each came, and surely did not run."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.fetched: dict[bytes, int] = {}
        self.turned_away: dict[bytes, int] = {}

    async def script(self, peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] != b"fetch":
            return
        name, loop = words[1], asyncio.get_running_loop()
        self.fetched[name] = self.fetched.get(name, 0) + 1
        done = encode_command(name, b"DONE", b"sheets=1,toil=5,room=7", ROWS)
        drawn = self.random.random()
        if drawn < 0.45:
            loop.call_later(self.random.choice((0.0, 0.0, 0.02, 0.3)), peer.send_result, name)
        elif drawn < 0.6:
            self.turned_away[name] = self.turned_away.get(name, 0) + 1
            peer.send(name, b"WAIT", b"-", b"")
        elif drawn < 0.68:
            peer.send(name, b"BROKE", b"-", b"")
        elif drawn < 0.76:
            peer.send_raw(done + done)  # a second one
        elif drawn < 0.82:
            peer.send_raw(done[: self.random.randrange(1, len(done))])
            with contextlib.suppress(OSError):  # it has gone meanwhile
                peer.writer.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        elif drawn < 0.88:
            peer.abort()
        elif drawn < 0.92:
            peer.send_raw(done[:-5] + b"\xff\xff\xff\r\n")
        # else it says nothing


class Clients:
    """Clients that ask, take back, stop in the middle, close and reset, at drawn moments."""

    def __init__(self, harness: Harness, random: Random) -> None:
        self.harness, self.random, self.asked = harness, random, 0
        self.left: dict[bytes, float] = {}  # when the client of a request had gone, by the request's id
        self.stayed: list[tuple[Client, list[int]]] = []
        self.unsafe: list[bytes] = []

    def _call(self, msgid: int) -> tuple[bytes, bytes]:
        self.asked += 1
        name, cls = request_id(self.asked), self.random.choice(CLASSES)
        if cls == "frail":
            self.unsafe.append(name.encode())
        more = {"token": f"t{self.asked}"} if cls == "load" else {}
        budget = str(self.random.choice((300, 900, 2000)))
        return name.encode(), encode_call(msgid, cls, rid=name, budget=budget, **more)

    async def one(self) -> None:
        loop, random = asyncio.get_running_loop(), self.random
        if random.random() < 0.3:  # a usual one, that stays until the end
            client, ids = await self.harness.client(), []
            self.stayed.append((client, ids))
            for _ in range(random.randrange(1, 4)):
                await asyncio.sleep(random.uniform(0.0, 0.2))
                name, data = self._call(len(ids) + 1)
                ids.append(len(ids) + 1)
                client.send_raw(data)
            return
        client = SyncClient(self.harness.server.downstream.port)
        calls = [self._call(n) for n in range(1, random.randrange(2, 5))]
        for n, (name, data) in enumerate(calls, 1):
            cut = random.randrange(len(data))
            with contextlib.suppress(OSError):  # the node may have ended it
                client.send(data[:cut])
                await asyncio.sleep(random.choice((0.0, 0.0, 0.02)))
                client.send(data[cut:])
                await asyncio.sleep(random.choice((0.0, 0.0, 0.03, 0.2)))
                if random.random() < 0.4:
                    client.send(msgspec.msgpack.encode([2, "forget", [n]]))
                    self.left[name] = loop.time()  # after the send: it is there
        (client.reset if random.random() < 0.5 else client.close)()
        for name, _ in calls:
            self.left.setdefault(name, loop.time())

    async def run(self) -> None:
        loop, running = asyncio.get_running_loop(), []
        until = loop.time() + RUNNING
        while loop.time() < until:
            running.append(asyncio.create_task(self.one()))
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
        await asyncio.gather(*running)


async def lists(harness: Harness, random: Random) -> None:
    """Nodes drain, go and come back; the feed breaks."""
    await harness.wait_until(lambda: harness.feed.writers)
    for n in range(2, 8):
        await asyncio.sleep(random.uniform(0.05, 0.25))
        which = random.randrange(len(harness.compute_nodes))
        phase = random.choice(("up", "draining", "removed", "up"))
        harness.feed.send_event(n, [member(f"node-{which}", harness.compute_nodes[which].port, phase)])
        if random.random() < 0.2:
            asked = len(harness.feed.subscribed_sequences)
            harness.feed.writers[-1].close()
            while len(harness.feed.subscribed_sequences) == asked:
                await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", range(8))
def test_whatever_crosses_what(seed: int) -> None:
    """One answer each, nothing for a client that has gone, nothing unsafe twice, nothing left behind."""
    random = Random(f"interleavings {seed}")
    nodes = Nodes(random)
    faults: list[Any] = []
    sent: list[Any] = []

    async def scenario(harness: Harness) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: faults.append(context))
        clients, upstream = Clients(harness, random), harness.server.upstream
        start = upstream.create_attempt

        def kept(*told: Any) -> Any:
            sent.append(start(*told))
            return sent[-1]

        upstream.create_attempt = kept  # type: ignore[method-assign]
        with structlog.testing.capture_logs() as logs:
            changing = asyncio.create_task(lists(harness, random))
            await clients.run()
            harness.server.stop()
            for client, ids in clients.stayed:
                for msgid in ids:
                    await client.read_answer(msgid)  # a second one fails there
            async with asyncio.timeout(6.0):
                await harness.server.run()
            changing.cancel()
            await asyncio.gather(changing, return_exceptions=True)
            await asyncio.sleep(0)
        assert not faults and not [one for one in logs if one["log_level"] in ("error", "critical")]
        assert not any(harness.table_sizes().values()) and not harness.server.downstream.clients
        for sending in sent:  # when it left, not when it came: what reads it here may be late
            assert sending.sent_at <= clients.left.get(sending.statement.request_id, math.inf) + GONE_WITHIN
        for name in clients.unsafe:
            assert nodes.fetched.get(name, 0) <= 1 + nodes.turned_away.get(name, 0)

    run_with_harness(scenario, *[nodes.script] * 3, settings=SETTINGS)


def test_the_settings_that_these_are_drawn_for() -> None:
    """Each kind of effect is among the classes, or the interleavings would show nothing of it."""
    assert [one["effect"] for one in SETTINGS["services"]] == ["retryable", "dedup", "fragile"]
