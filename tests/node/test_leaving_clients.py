"""Clients that close their connection with much unread, and requests that come again under the same id."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from pathlib import Path

import msgspec
import pytest
from platform_world import ComputeNodeConnection, Harness, answer_fetches

from saffronlane.platform.downstream import submission
from saffronlane.platform.downstream.cancelled_requests import MAX_IDS, CancelledRequestIds
from saffronlane.platform.downstream.client_connection import MAX_OPEN_REQUESTS
from saffronlane.platform.stream import Stream

from .support import (
    SETTINGS_WITH_LARGE_NODES,
    SyncClient,
    encode_call,
    hold_fetches,
    never_answer,
    request_id,
    run_with_harness,
    server_process,
)

SMALL_CHUNK_BYTES = 4_096
BODY = b"SELECT '" + b"x" * 20_000 + b"'"
CLIENTS = 60
# An attempt that begins later than this after its client has left breaks a rule; 50 ms longer on sockets.
LATEST_BEGIN = 0.1 + 0.05


def calls(first: int, body: bytes = BODY, method: str = "ask") -> bytes:
    parts = []
    for number in range(1, MAX_OPEN_REQUESTS + 1):
        rid = request_id(first + number)
        parts.append(encode_call(number, method, body, rid=rid, token=rid * 2))
    return b"".join(parts)


def executed(harness: Harness) -> list[bytes]:
    return [command[1] for command in harness.compute_nodes[0].commands(b"fetch")]


@pytest.mark.parametrize("shows_close", [True, False])
@pytest.mark.parametrize("is_reset", [False, True])
def test_no_request_is_sent_for_a_client_that_has_left_with_much_unread(
    monkeypatch: pytest.MonkeyPatch, is_reset: bool, shows_close: bool
) -> None:
    """Guards against requests that are sent long after their client has closed: they were unread until then.

    Where the system does not show a close behind unread input, it is found by reading on.
    """

    async def scenario(harness: Harness) -> None:
        if not shows_close:
            monkeypatch.setattr(Stream, "has_peer_closed", property(Stream.closed))
        harness.server.downstream.read_chunk_bytes = SMALL_CHUNK_BYTES
        clients = [SyncClient(harness.server.downstream.port) for _ in range(5)]
        await harness.wait_until(lambda: len(harness.server.downstream.clients) == 5)
        for number, client in enumerate(clients):
            client.send(calls(100 * number, b"SELECT '" + b"x" * 3_000 + b"'"))
            if is_reset:
                client.reset()
            else:
                client.close()
        await harness.wait_until(lambda: not harness.server.downstream.clients)
        await asyncio.sleep(0.1)
        assert not executed(harness)
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario)


@pytest.mark.parametrize("method", ["ask", "frail", "load"])
def test_a_request_does_not_run_again_when_its_id_comes_again_after_its_client_has_left(method: str) -> None:
    """Guards against an id that runs twice, since it was forgotten when its client left."""
    held_fetches: list[tuple[ComputeNodeConnection, bytes]] = []

    async def scenario(harness: Harness) -> None:
        rid = request_id(1)
        first = await harness.client()
        first.call(method, rid, token=rid * 2)
        await harness.wait_until(lambda: held_fetches)
        first.close()
        await harness.wait_until(lambda: not harness.server.dispatcher.in_flight_count)
        second = await harness.client()
        message_id = second.call(method, rid, token=rid * 2)
        assert (await second.read_answer(message_id))[0] == ["Fault", {}]
        other = second.call(method, request_id(2), token=rid * 2)
        await harness.wait_until(lambda: len(held_fetches) == 2)
        held_fetches[1][0].send_result(held_fetches[1][1])
        assert (await second.read_answer(other))[0] is None
        assert Counter(executed(harness))[rid.encode()] == 1

    run_with_harness(scenario, hold_fetches(held_fetches))


@pytest.mark.parametrize(("method", "is_refused"), [("ask", False), ("frail", True), ("load", True)])
def test_a_request_that_was_taken_back_comes_again_only_if_it_may_be_repeated(
    method: str, is_refused: bool
) -> None:
    async def scenario(harness: Harness) -> None:
        rid = request_id(1)
        client = await harness.client()
        first = client.call(method, rid, token=rid * 2)
        await harness.wait_until(lambda: executed(harness))
        client.send_raw(msgspec.msgpack.encode([2, "forget", [first]]))
        await harness.wait_until(lambda: not harness.server.dispatcher.in_flight_count)
        second = client.call(method, rid, token=rid * 2, budget="500")
        error, _ = await client.read_answer(second)
        assert (error == ["Fault", {}]) is is_refused
        assert Counter(executed(harness))[rid.encode()] == (1 if is_refused else 2)

    run_with_harness(scenario, never_answer)


def test_a_client_that_pipelines_more_than_is_read_at_once_is_served() -> None:
    """Requests wait until what follows them on their connection is read."""

    async def scenario(harness: Harness) -> None:
        harness.server.downstream.read_chunk_bytes = SMALL_CHUNK_BYTES
        client = await harness.client()
        await harness.wait_until(lambda: harness.server.downstream.clients)
        message_ids = [client.call("ask", request_id(n), BODY) for n in range(1, MAX_OPEN_REQUESTS + 1)]
        for message_id in message_ids:
            assert (await client.read_answer(message_id))[0] is None

    run_with_harness(scenario)


def test_a_client_that_leaves_more_than_the_open_requests_unread_is_read_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: Harness) -> None:
        client = SyncClient(harness.server.downstream.port)
        for first in range(0, 1_000, 100):
            client.send(calls(first, b"SELECT 1"))
        client.close()
        await harness.wait_until(lambda: not harness.server.downstream.clients)
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario, never_answer)


def test_cancelled_ids_are_kept_for_a_limited_time_and_number() -> None:
    ids = CancelledRequestIds(max_age=5.0)
    ids.add(b"one", 10.0)
    ids.add(b"two", 12.0)
    assert ids.contains(b"one", 14.9)
    assert not ids.contains(b"one", 15.1)
    assert ids.contains(b"two", 15.1)
    for number in range(2 * MAX_IDS):
        ids.add(b"%d" % number, 16.0)
    assert len(ids) == MAX_IDS


def test_attempts_do_not_begin_long_after_many_clients_have_left(tmp_path: Path) -> None:
    """Guards against the same by a process of its own, beside many such clients."""
    closed_at: dict[bytes, float] = {}
    late: list[float] = []

    async def note_late(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            late.append(time.monotonic() - closed_at[command[1]])
        await answer_fetches(connection, command)

    async def scenario() -> None:
        changes = {"settings": SETTINGS_WITH_LARGE_NODES, "limits": {"memory_mb": 192, "sockets": 512}}
        async with server_process(tmp_path, note_late, **changes) as server:
            clients = [SyncClient(server.port) for _ in range(CLIENTS)]
            await asyncio.sleep(0.2)
            for number, client in enumerate(clients):
                client.socket.settimeout(5.0)
                with contextlib.suppress(OSError):
                    await asyncio.to_thread(client.send, calls(100 * number))
                client.close()
                now = time.monotonic()
                closed_at.update(
                    (request_id(100 * number + n).encode(), now) for n in range(1, MAX_OPEN_REQUESTS + 1)
                )
            await asyncio.sleep(2.0)
        assert not [delay for delay in late if delay > LATEST_BEGIN]

    asyncio.run(scenario())


@pytest.mark.parametrize("ending", ["reject", "close"])
def test_a_request_that_ends_while_it_is_submitted_is_answered_or_dropped(
    monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    """Guards against a request that is never answered, since it ended before its connection knew it."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        await harness.wait_until(lambda: harness.server.downstream.clients)
        (connection,) = harness.server.downstream.clients
        if ending == "reject":
            monkeypatch.setattr(submission, "MAX_HOLD_RATIO", 0.0)
        else:
            monkeypatch.setattr(Stream, "has_unread_input", False)
            monkeypatch.setattr(Stream, "has_peer_closed", True)
        message_id = client.call("ask", request_id(1))
        if ending == "reject":
            assert (await client.read_answer(message_id))[0] == ["Shed", {"backoff": "500"}]
        else:
            assert await client.wait_closed()
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))
        assert not connection.open_requests

    run_with_harness(scenario)
