"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import pytest
from platform_world import (
    SETTINGS,
    ComputeNode,
    ComputeNodeConnection,
    Harness,
    Script,
    answer_fetches,
    dispatcher_config,
    member,
)

from saffronlane.interface import EngineState
from saffronlane.platform.config import EndpointList, ListedEngine, parse_config
from saffronlane.platform.discovery.endpoints import EndpointTable

from .support import delay_connections, never_answer, request_id, run_with_harness

CELL_CLASS = SETTINGS["services"][1] | {"group": "cell", "keyTtl": 30.0}
SETTINGS_WITH_CELLS = SETTINGS | {"services": [SETTINGS["services"][0], CELL_CLASS]}
OLD, NEW, OTHER = "node-0", "node-new", "node-1"


def executed_by(node: ComputeNode) -> list[bytes]:
    return [command[1] for command in node.commands(b"fetch")]


async def replace_process(node: ComputeNode, script: Script = answer_fetches) -> ComputeNode:
    """End a compute node's process, and start a new one at its address."""
    node.close()
    replacement = ComputeNode(script)
    replacement.port = node.port
    await replacement.start()
    return replacement


def listed_at(harness: Harness, port: int) -> Counter[bytes]:
    connections = harness.server.upstream.pool.connections()
    return Counter(c.engine for c in connections if c.address[1] == port and c.lifecycle.accepts_work)


def test_requests_are_not_sent_to_the_old_engine_once_a_new_one_is_listed_at_its_address() -> None:
    """Guards against work for a process that has gone, which came to the new one at its address."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        for number in range(1, 9):
            await client.read_answer(client.call("ask", request_id(number), b"SELECT 1 FROM s_%d.t" % number))
        replacement = await replace_process(harness.compute_nodes[0])
        harness.feed.send_event(2, [member(NEW, replacement.port)])
        await harness.wait_until(lambda: harness.server.endpoints.address(NEW.encode()))
        for number in range(10, 40):
            await client.read_answer(client.call("ask", request_id(number), b"SELECT 1 FROM s_%d.t" % number))
        assert executed_by(replacement)
        assert listed_at(harness, replacement.port).keys() == {NEW.encode()}
        assert harness.server.endpoints.address(OLD.encode()) is None
        harness.feed.send_event(3, [member(OLD, replacement.port, "removed")])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 3)
        assert harness.server.endpoints.address(NEW.encode()) is not None
        replacement.close()

    run_with_harness(scenario, answer_fetches, answer_fetches)


def test_a_load_that_may_have_run_is_not_repeated_by_a_new_process_of_another_cell() -> None:
    """Guards against a load that runs twice: the new process does not know the old one's keys."""
    fetches: list[ComputeNodeConnection] = []

    async def hold_loads(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch" and command[3].startswith(b"DELETE"):
            fetches.append(connection)
        else:
            await answer_fetches(connection, command)

    async def scenario(harness: Harness) -> None:
        await harness.wait_until(lambda: harness.feed.writers)
        harness.feed.send_event(2, [member(OLD, harness.compute_nodes[0].port, cell=1)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        client = await harness.client()
        for number in range(10, 30):  # the engine is in good health
            await client.read_answer(client.call("ask", request_id(number)))
        rid = request_id(1)
        message_id = client.call("load", rid, b"DELETE FROM s_3.t", token=rid * 2)
        await harness.wait_until(lambda: fetches)
        port = harness.compute_nodes[0].port
        harness.feed.send_event(3, [member(NEW, port, cell=2)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 3)
        replacement = await replace_process(harness.compute_nodes[0])
        for connection in fetches:
            connection.abort()
        assert (await client.read_answer(message_id))[0] == ["Fault", {}]
        assert not executed_by(replacement)
        replacement.close()

    run_with_harness(scenario, hold_loads, settings=SETTINGS_WITH_CELLS)


def test_attempts_that_wait_for_a_connection_follow_their_engine_to_its_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an attempt that is sent to whatever listens at the former address."""
    may_connect = delay_connections(monkeypatch)

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        message_id = client.call("ask", request_id(1))
        await harness.wait_until(harness.server.upstream.pool.connections)
        await harness.wait_until(lambda: harness.feed.writers)
        moved = ComputeNode()
        await moved.start()
        harness.feed.send_event(2, [member(OLD, moved.port)])
        await harness.wait_until(lambda: harness.server.discovery.last_sequence == 2)
        may_connect.set()
        assert (await client.read_answer(message_id))[0] is None
        assert executed_by(moved) == [request_id(1).encode()]
        assert not executed_by(harness.compute_nodes[0])
        moved.close()

    run_with_harness(scenario, never_answer)


def table() -> EndpointTable:
    config = parse_config(json.dumps(dispatcher_config([], 1)).encode())
    return EndpointTable(config.settings, lambda: 100.0, lambda: 1_000.0)


def event(*members: dict[str, Any], complete: bool = False) -> EndpointList:
    listed = [
        ListedEngine(
            fields["id"],
            fields["host_port"],
            fields["locality"],
            fields["flavor"],
            fields.get("cell", 0),
            fields["phase"],
            started_at_ms=fields.get("up_since_ms", 0.0),
        )
        for fields in members
    ]
    return EndpointList(listed, 1, complete)


def states(endpoints: EndpointTable, listed: EndpointList) -> list[tuple[bytes, EngineState]]:
    return [(entry.engine, entry.state) for entry in endpoints.apply(listed).update.entries]


@pytest.mark.parametrize("is_complete", [False, True])
def test_an_address_belongs_to_the_process_that_started_there_last(is_complete: bool) -> None:
    endpoints = table()
    old = member(OLD, 7)
    new = member(NEW, 7, up_since_ms=900_000.0)
    endpoints.apply(event(old, complete=True))
    update = endpoints.apply(event(new, complete=is_complete))
    assert update.removed_engines == [OLD.encode()]
    assert endpoints.address(NEW.encode()) == ("127.0.0.1", 7)
    # What is told of the old one afterwards does not touch the new one.
    for phase in ("up", "draining", "removed"):
        assert states(endpoints, event(member(OLD, 7, phase))) == [(OLD.encode(), EngineState.REMOVED)]
        assert endpoints.address(NEW.encode()) == ("127.0.0.1", 7)
    # A list that names both, in either order, means the new one.
    for listed in ((old, new), (new, old)):
        endpoints.apply(event(*listed, complete=True))
        assert endpoints.address(OLD.encode()) is None
        assert endpoints.address(NEW.encode()) == ("127.0.0.1", 7)


def test_an_engine_that_returns_to_its_address_is_listed_again() -> None:
    endpoints = table()
    endpoints.apply(event(member(OLD, 7), complete=True))
    endpoints.apply(event(member(NEW, 7, up_since_ms=900_000.0)))
    endpoints.apply(event(member(NEW, 7, "removed")))
    assert states(endpoints, event(member(OLD, 7, up_since_ms=950_000.0))) == [
        (OLD.encode(), EngineState.READY)
    ]
    assert endpoints.address(OLD.encode()) == ("127.0.0.1", 7)


def test_a_removal_keeps_the_cell_that_was_listed() -> None:
    """Guards against a retry in the wrong cell: a removal that names no cell stood for cell 0."""
    endpoints = table()
    endpoints.apply(event(member(OLD, 7, cell=5), complete=True))
    (entry,) = endpoints.apply(event(member(OLD, 7, "removed"))).update.entries
    assert (entry.state, entry.cell) == (EngineState.REMOVED, 5)


def test_a_former_address_of_an_engine_is_free_for_another_one() -> None:
    endpoints = table()
    endpoints.apply(event(member(OLD, 7), member(OTHER, 8), complete=True))
    endpoints.apply(event(member(OLD, 9)))
    assert endpoints.apply(event(member(NEW, 7))).removed_engines == []
    assert len(endpoints) == 3
