"""Settings apply to one server: two servers with different settings in one process share no state."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from platform_world import ROWS, SETTINGS, ComputeNodeConnection, Harness, running_harness

from .support import request_id

OTHER_CLASSES: list[dict[str, Any]] = [
    {"name": "weigh", "aim": 0.1, "deadline": 0.6, "effect": "fragile"},
    {"name": "ask", "aim": 4.0, "deadline": 30.0, "effect": "dedup", "keyTtl": 0.5},
]
OTHER_SETTINGS = SETTINGS | {
    "services": OTHER_CLASSES,
    "tenants": [{"name": "granite", "allowancePerS": 5.0, "share": 1.0}],
    "limits": SETTINGS["limits"] | {"cancel": False, "sendCap": 1, "maxStreams": 2, "connectTimeout": 0.4},
    "extra": SETTINGS["extra"] | {"parallelism": [1, 4]},
}


async def abort_on_fetch(connection: ComputeNodeConnection, command: list[bytes]) -> None:
    if command[0] == b"fetch":
        connection.abort()


def test_servers_with_different_settings_in_one_process_share_no_state() -> None:
    """Both have a query class of the same name, with a different effect and deadline."""

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch" and not connection.compute_node.commands(b"fetch")[1:]:
            connection.abort()
        elif command[0] == b"fetch":
            connection.send_result(command[1])

    async def scenario() -> None:
        async with (
            running_harness(script) as harness,
            running_harness(abort_on_fetch, settings=OTHER_SETTINGS) as other_harness,
        ):
            client, other_client = await harness.client(), await other_harness.client()
            retryable_call = client.call("ask", request_id(1))
            keyed_call = other_client.call("ask", request_id(1), acct="granite", token="5c0f6e1a2b3d4c59")
            unknown_class_call = client.call("weigh", request_id(2))
            # The client sends the tenant "acme", which the other server does not know.
            unknown_tenant_call = other_client.call("ask", request_id(3), token="5c0f6e1a2b3d4c58")
            assert await client.read_answer(retryable_call) == (None, [ROWS, {}])  # retried after the reset
            # The settings of the other server allow one attempt, which was reset.
            assert (await other_client.read_answer(keyed_call))[0] is not None
            assert (await client.read_answer(unknown_class_call))[0][0] == "Fault"
            assert (await other_client.read_answer(unknown_tenant_call))[0][0] == "Fault"
            server, other_server = harness.server, other_harness.server
            assert server.upstream.pool.limits != other_server.upstream.pool.limits
            assert server.dispatcher.settings.classes != other_server.dispatcher.settings.classes
            assert not any(other_harness.table_sizes().values())
            assert len(other_server.dispatcher.gateway.workload_estimates.estimators) == 2
            assert other_server.dispatcher.gateway.workload_estimates.estimators[1].answer_count == 0
            assert server.dispatcher.gateway.workload_estimates.estimators[0].answer_count == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("deadline", [0.2, 1.0, 30.0])
@pytest.mark.parametrize("effect", ["retryable", "dedup", "fragile"])
def test_request_is_answered_by_its_deadline_if_the_compute_node_never_responds(
    deadline: float, effect: str
) -> None:
    """This applies to every deadline and effect of a query class."""
    services = [{"name": "x", "aim": deadline / 4, "deadline": deadline, "effect": effect, "keyTtl": 0.1}]
    budget = min(deadline, 1.2)

    async def never_answer(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        return None

    async def scenario(harness: Harness) -> None:
        loop = asyncio.get_running_loop()
        client = await harness.client()
        started_at = loop.time()
        fields = {"token": "5c0f6e1a2b3d4c59"} if effect == "dedup" else {}
        message_id = client.call("x", request_id(1), budget=str(round(budget * 1000)), **fields)
        error, _ = await client.read_answer(message_id, budget + 1.0)
        assert error[0] in ("Shed", "Fault") and loop.time() - started_at < budget + 0.05
        fetch_count = len(harness.compute_nodes[0].commands(b"fetch"))
        assert fetch_count <= (1 if effect == "fragile" else 3)
        if effect == "fragile":
            assert error[0] == "Fault"

    async def run() -> None:
        async with running_harness(never_answer, settings=SETTINGS | {"services": services}) as harness:
            await scenario(harness)

    asyncio.run(run())
