"""Rejected loads whose clients come back: what was applied once is not applied again."""

from __future__ import annotations

import asyncio
import time

import pytest
from platform_world import SETTINGS, ComputeNodeConnection, Harness, member

from .support import request_id, run_with_harness

DEADLINE = 4.0  # seconds for which a client waits, over all its tries
FIRST_BUDGET = 1.0  # seconds for which it waits in its first try
NEW_NODE_AT = 3.2  # seconds after the first run, when a compute node is listed that may get the retry
MS_PER_SECOND = 1000.0


class DeduplicatingNodes:
    """A script for compute nodes that drop a repeat of a key for `key_ttl` seconds.

    The answer to the first run of a key is lost.

    Attributes:
        runs: The times at which each key was applied, in seconds.
    """

    def __init__(self, key_ttl: float) -> None:
        self.key_ttl = key_ttl
        self.runs: dict[bytes, list[float]] = {}

    async def __call__(self, connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] != b"fetch":
            return
        fields = dict(part.split(b"=") for part in command[2].split(b","))
        runs = self.runs.setdefault(fields[b"i"], [])
        now = time.monotonic()
        if not runs or now >= runs[-1] + self.key_ttl:
            runs.append(now)
            if len(runs) == 1:
                return
        connection.send_result(command[1])


async def list_new_node_later(harness: Harness, seconds: float) -> None:
    """Drain the only compute node, and list its address under a new name after some time."""
    port = harness.compute_nodes[0].port
    harness.feed.send_event(2, [member("node-0", port, phase="draining")])
    await asyncio.sleep(seconds)
    harness.feed.send_event(3, [member("node-1", port)])


def settings_with_key_ttl(key_ttl: float) -> dict[str, object]:
    services = [
        service
        | ({"deadline": DEADLINE, "keyTtl": key_ttl, "lateValue": 0.5} if service["name"] == "load" else {})
        for service in SETTINGS["services"]
    ]
    return SETTINGS | {"services": services}


@pytest.mark.parametrize(("key_ttl", "word"), [(3.0, "Fault"), (DEADLINE, "Shed")])
def test_a_load_is_applied_once_though_its_retry_waits_for_a_compute_node(key_ttl: float, word: str) -> None:
    """Guards against a load that is applied twice: refused, and its retry was queued past its key's end."""
    script = DeduplicatingNodes(key_ttl)

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        client = await harness.client()
        started_at = time.monotonic()
        first = client.call("load", request_id(1), token="t1", budget=f"{FIRST_BUDGET * MS_PER_SECOND:.0f}")
        error, _ = await client.read_answer(first)
        if error[0] == "Shed":  # as before the mend, also with the shorter time to live
            assert 0.0 < int(error[1]["backoff"]) <= SETTINGS["limits"]["maxRetryAfter"] * MS_PER_SECOND
            await asyncio.sleep(int(error[1]["backoff"]) / MS_PER_SECOND)
            elapsed = time.monotonic() - started_at
            listing = asyncio.ensure_future(list_new_node_later(harness, NEW_NODE_AT - elapsed))
            budget = f"{(DEADLINE - elapsed) * MS_PER_SECOND:.0f}"
            retry_error, _ = await client.read_answer(
                client.call("load", request_id(2), token="t1", budget=budget)
            )
            await listing
            assert retry_error is None
        assert [len(runs) for runs in script.runs.values()] == [1]
        assert error[0] == word

    run_with_harness(scenario, script, settings=settings_with_key_ttl(key_ttl))
