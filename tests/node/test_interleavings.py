"""Invariants of a whole gateway on real sockets under random interleavings of events."""

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
MAX_SEND_DELAY = 0.1  # seconds after a client's disconnection in which an attempt may still be sent
TRAFFIC_DURATION = 1.2  # seconds of traffic


class RandomEngines:
    """Engines with a random reaction to each fetch. Counts fetches and refused fetches by request id."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.fetch_counts: dict[bytes, int] = {}
        self.refused_counts: dict[bytes, int] = {}

    async def script(self, node_connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] != b"fetch":
            return
        fetched_id, event_loop = command[1], asyncio.get_running_loop()
        self.fetch_counts[fetched_id] = self.fetch_counts.get(fetched_id, 0) + 1
        done = encode_command(fetched_id, b"DONE", b"sheets=1,toil=5,room=7", ROWS)
        choice = self.random.random()
        if choice < 0.45:
            event_loop.call_later(
                self.random.choice((0.0, 0.0, 0.02, 0.3)), node_connection.send_result, fetched_id
            )
        elif choice < 0.6:
            self.refused_counts[fetched_id] = self.refused_counts.get(fetched_id, 0) + 1
            node_connection.send(fetched_id, b"WAIT", b"-", b"")
        elif choice < 0.68:
            node_connection.send(fetched_id, b"BROKE", b"-", b"")
        elif choice < 0.76:
            node_connection.send_raw(done + done)  # a duplicate response
        elif choice < 0.82:
            node_connection.send_raw(done[: self.random.randrange(1, len(done))])
            with contextlib.suppress(OSError):  # the gateway has closed the connection meanwhile
                node_connection.writer.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        elif choice < 0.88:
            node_connection.abort()
        elif choice < 0.92:
            node_connection.send_raw(done[:-5] + b"\xff\xff\xff\r\n")
        # else no response


class RandomClients:
    """Connections that send, cancel, pause within a message, close and reset at random times."""

    def __init__(self, harness: Harness, random: Random) -> None:
        self.harness, self.random, self.request_count = harness, random, 0
        self.ended_at: dict[bytes, float] = {}  # when the client disconnected or cancelled, by request id
        self.persistent_clients: list[tuple[Client, list[int]]] = []
        self.unsafe_request_ids: list[bytes] = []

    def _call(self, message_id: int) -> tuple[bytes, bytes]:
        self.request_count += 1
        id_text, query_class = request_id(self.request_count), self.random.choice(CLASSES)
        if query_class == "frail":
            self.unsafe_request_ids.append(id_text.encode())
        fields = {"token": f"t{self.request_count}"} if query_class == "load" else {}
        budget = str(self.random.choice((300, 900, 2000)))
        return id_text.encode(), encode_call(message_id, query_class, rid=id_text, budget=budget, **fields)

    async def run_client(self) -> None:
        event_loop, random = asyncio.get_running_loop(), self.random
        if random.random() < 0.3:  # a regular client that stays connected until the end
            client, message_ids = await self.harness.client(), []
            self.persistent_clients.append((client, message_ids))
            for _ in range(random.randrange(1, 4)):
                await asyncio.sleep(random.uniform(0.0, 0.2))
                encoded_id, data = self._call(len(message_ids) + 1)
                message_ids.append(len(message_ids) + 1)
                client.send_raw(data)
            return
        client = SyncClient(self.harness.server.downstream.port)
        calls = [self._call(message_id) for message_id in range(1, random.randrange(2, 5))]
        for message_id, (encoded_id, data) in enumerate(calls, 1):
            split_at = random.randrange(len(data))
            with contextlib.suppress(OSError):  # the gateway may have closed the connection
                client.send(data[:split_at])
                await asyncio.sleep(random.choice((0.0, 0.0, 0.02)))
                client.send(data[split_at:])
                await asyncio.sleep(random.choice((0.0, 0.0, 0.03, 0.2)))
                if random.random() < 0.4:
                    client.send(msgspec.msgpack.encode([2, "forget", [message_id]]))
                    # The time is taken after the send, when the cancellation has arrived.
                    self.ended_at[encoded_id] = event_loop.time()
        (client.reset if random.random() < 0.5 else client.close)()
        for encoded_id, _ in calls:
            self.ended_at.setdefault(encoded_id, event_loop.time())

    async def run(self) -> None:
        event_loop, tasks = asyncio.get_running_loop(), []
        end_at = event_loop.time() + TRAFFIC_DURATION
        while event_loop.time() < end_at:
            tasks.append(asyncio.create_task(self.run_client()))
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
        await asyncio.gather(*tasks)


async def change_endpoints(harness: Harness, random: Random) -> None:
    """Drain engines, remove them, list them as up, and break the feed connection, at random times."""
    await harness.wait_until(lambda: harness.feed.writers)
    for sequence in range(2, 8):
        await asyncio.sleep(random.uniform(0.05, 0.25))
        index = random.randrange(len(harness.compute_nodes))
        phase = random.choice(("up", "draining", "removed", "up"))
        harness.feed.send_event(sequence, [member(f"node-{index}", harness.compute_nodes[index].port, phase)])
        if random.random() < 0.2:
            subscription_count = len(harness.feed.subscribed_sequences)
            harness.feed.writers[-1].close()
            while len(harness.feed.subscribed_sequences) == subscription_count:
                await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", range(8))
def test_random_interleavings_keep_the_invariants(seed: int) -> None:
    """Each request gets one reply, no attempt follows a disconnection, and no state is left.

    Unsafe requests are not executed twice.
    """
    random = Random(f"interleavings {seed}")
    engines = RandomEngines(random)
    exceptions: list[Any] = []
    attempts: list[Any] = []

    async def scenario(harness: Harness) -> None:
        event_loop = asyncio.get_running_loop()
        event_loop.set_exception_handler(lambda _, context: exceptions.append(context))
        clients, upstream = RandomClients(harness, random), harness.server.upstream
        create_attempt = upstream.create_attempt

        def create_and_record(*arguments: Any) -> Any:
            attempts.append(create_attempt(*arguments))
            return attempts[-1]

        upstream.create_attempt = create_and_record  # type: ignore[method-assign]
        with structlog.testing.capture_logs() as logs:
            changes = asyncio.create_task(change_endpoints(harness, random))
            await clients.run()
            harness.server.stop()
            for client, message_ids in clients.persistent_clients:
                for message_id in message_ids:
                    await client.read_answer(message_id)  # raises an error for a second reply
            async with asyncio.timeout(6.0):
                await harness.server.run()
            changes.cancel()
            await asyncio.gather(changes, return_exceptions=True)
            await asyncio.sleep(0)
        assert not exceptions and not [entry for entry in logs if entry["log_level"] in ("error", "critical")]
        assert not any(harness.table_sizes().values()) and not harness.server.downstream.clients
        for attempt in attempts:  # compares the time of sending, because the stand-in engine may read late
            assert (
                attempt.sent_at
                <= clients.ended_at.get(attempt.statement.request_id, math.inf) + MAX_SEND_DELAY
            )
        for unsafe_id in clients.unsafe_request_ids:
            assert engines.fetch_counts.get(unsafe_id, 0) <= 1 + engines.refused_counts.get(unsafe_id, 0)

    run_with_harness(scenario, *[engines.script] * 3, settings=SETTINGS)


def test_the_settings_have_a_class_of_each_effect() -> None:
    """The interleavings cover a kind of effect only if one of the classes has it."""
    assert [service["effect"] for service in SETTINGS["services"]] == ["retryable", "dedup", "fragile"]
