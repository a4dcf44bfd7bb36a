"""Settings belong to one instance: two nodes with unlike ones in a process share nothing."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from platform_world import ROWS, SETTINGS, ComputeNodeConnection, Harness, running_harness

from .support import request_id

OURS = SETTINGS["services"]
THEIRS: list[dict[str, Any]] = [
    {"name": "weigh", "aim": 0.1, "deadline": 0.6, "effect": "fragile"},
    {"name": "ask", "aim": 4.0, "deadline": 30.0, "effect": "dedup", "keyTtl": 0.5},
]
CUSTOMER = SETTINGS | {
    "services": THEIRS,
    "tenants": [{"name": "granite", "allowancePerS": 5.0, "share": 1.0}],
    "limits": SETTINGS["limits"] | {"cancel": False, "sendCap": 1, "maxStreams": 2, "connectTimeout": 0.4},
    "extra": SETTINGS["extra"] | {"parallelism": [1, 4]},
}


async def reset_once(peer: ComputeNodeConnection, words: list[bytes]) -> None:
    if words[0] == b"fetch":
        peer.abort()


def test_two_customers_in_one_process_share_nothing() -> None:
    """The same class name, with another effect, deadline and window; each holds to its own."""

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch" and not peer.compute_node.commands(b"fetch")[1:]:
            peer.abort()
        elif words[0] == b"fetch":
            peer.send_result(words[1])

    async def scenario() -> None:
        async with running_harness(script) as ours, running_harness(reset_once, settings=CUSTOMER) as theirs:
            client, other = await ours.client(), await theirs.client()
            safe = client.call("ask", request_id(1))
            keyed = other.call("ask", request_id(1), acct="granite", token="5c0f6e1a2b3d4c59")
            foreign = client.call("weigh", request_id(2))
            tenant = other.call("ask", request_id(3), token="5c0f6e1a2b3d4c58")  # acct: acme, unknown there
            assert await client.read_answer(safe) == (None, [ROWS, {}])  # ours may be repeated
            assert (await other.read_answer(keyed))[0] is not None  # theirs had its one attempt
            assert (await client.read_answer(foreign))[0][0] == "Fault"
            assert (await other.read_answer(tenant))[0][0] == "Fault"
            first, second = ours.server, theirs.server
            assert first.upstream.pool.limits != second.upstream.pool.limits
            assert first.dispatcher.settings.classes != second.dispatcher.settings.classes
            assert not any(theirs.table_sizes().values())
            assert len(second.dispatcher.gateway.workload_estimates.estimators) == 2
            assert second.dispatcher.gateway.workload_estimates.estimators[1].answer_count == 0
            assert first.dispatcher.gateway.workload_estimates.estimators[0].answer_count == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("deadline", [0.2, 1.0, 30.0])
@pytest.mark.parametrize("effect", ["retryable", "dedup", "fragile"])
def test_any_deadline_and_effect_has_its_answer_in_time(deadline: float, effect: str) -> None:
    """A node that says nothing: the answer comes by the client's time, whatever the class is."""
    services = [{"name": "x", "aim": deadline / 4, "deadline": deadline, "effect": effect, "keyTtl": 0.1}]
    budget = min(deadline, 1.2)

    async def silent(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        return None

    async def scenario(harness: Harness) -> None:
        loop = asyncio.get_running_loop()
        client = await harness.client()
        began = loop.time()
        fields = {"token": "5c0f6e1a2b3d4c59"} if effect == "dedup" else {}
        msgid = client.call("x", request_id(1), budget=str(round(budget * 1000)), **fields)
        error, _ = await client.read_answer(msgid, budget + 1.0)
        assert error[0] in ("Shed", "Fault") and loop.time() - began < budget + 0.05
        fetched = len(harness.compute_nodes[0].commands(b"fetch"))
        assert fetched <= (1 if effect == "fragile" else 3)
        if effect == "fragile":
            assert error[0] == "Fault"

    async def run() -> None:
        async with running_harness(silent, settings=SETTINGS | {"services": services}) as harness:
            await scenario(harness)

    asyncio.run(run())
