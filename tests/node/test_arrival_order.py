"""Requests with one ordering key run in the order in which they arrived, however late they are read."""

from __future__ import annotations

import asyncio

import pytest
from platform_world import Harness

from saffronlane.platform.downstream import input_scheduler, submission
from saffronlane.platform.stream import READ_CHUNK_BYTES

from .support import SyncClient, encode_call, never_answer, request_id, run_with_harness

KEY = request_id(0x7F3A)
STATEMENT = b"INSERT INTO s_3.t VALUES ('" + b"x" * 200_000 + b"')"
SMALL_CHUNK_BYTES = 4_096
LOADS = 6


def load(number: int, body: bytes = b"DELETE FROM s_3.t", key: str = KEY, message_id: int = 1) -> bytes:
    rid = request_id(number)
    return encode_call(message_id, "load", body, rid=rid, token=rid * 2, obj=key)


def executed(harness: Harness) -> list[bytes]:
    return [command[1] for command in harness.compute_nodes[0].commands(b"fetch")]


def ids(*numbers: int) -> list[bytes]:
    return [request_id(number).encode() for number in numbers]


async def open_connections(harness: Harness, count: int) -> list[SyncClient]:
    clients = [SyncClient(harness.server.downstream.port) for _ in range(count)]
    await harness.wait_until(lambda: len(harness.server.downstream.clients) == count)
    return clients


async def wait_until_executed(harness: Harness, count: int) -> None:
    await harness.wait_until(lambda: len(executed(harness)) == count)


def use_small_chunks(harness: Harness) -> None:
    harness.server.downstream.read_chunk_bytes = SMALL_CHUNK_BYTES


def test_a_long_load_precedes_a_short_one_that_arrived_after_it_on_another_connection() -> None:
    """Guards against loads of one key that run in the order of reading: the long one was read for longer."""

    async def scenario(harness: Harness) -> None:
        use_small_chunks(harness)
        clients = await open_connections(harness, 2)
        for pair in range(LOADS):
            clients[0].send(load(2 * pair + 1, STATEMENT, message_id=pair + 1))
            clients[1].send(load(2 * pair + 2, message_id=pair + 1))
            await wait_until_executed(harness, 2 * pair + 2)
        assert executed(harness) == ids(*range(1, 2 * LOADS + 1))
        for client in clients:
            client.close()

    run_with_harness(scenario)


def test_a_load_on_a_new_connection_precedes_one_that_arrived_after_it_on_an_old_one() -> None:
    """Guards against a load that is overtaken while its new connection waits to be accepted and read."""

    async def scenario(harness: Harness) -> None:
        use_small_chunks(harness)
        (old,) = await open_connections(harness, 1)
        new = SyncClient(harness.server.downstream.port)
        new.send(load(1, STATEMENT))
        old.send(load(2))
        await wait_until_executed(harness, 2)
        assert executed(harness) == ids(1, 2)
        old.close()
        new.close()

    run_with_harness(scenario)


def test_a_load_that_waits_to_be_handled_precedes_one_that_arrived_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a load that is overtaken while its connection handles earlier messages."""

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr(input_scheduler, "MAX_HANDLING_TIME", 1e-6)  # one message in each iteration
        clients = await open_connections(harness, 2)
        calls = b"".join(encode_call(n, "ask", rid=request_id(100 + n)) for n in range(1, 20))
        clients[0].send(calls + load(1, message_id=20))
        clients[1].send(load(2))
        await wait_until_executed(harness, 21)
        assert [rid for rid in executed(harness) if rid in ids(1, 2)] == ids(1, 2)
        for client in clients:
            client.close()

    run_with_harness(scenario)


def test_a_load_does_not_wait_for_one_that_has_begun_and_is_not_complete() -> None:
    """The incomplete one is received after it. A client that stops half way must not delay the others."""

    async def scenario(harness: Harness) -> None:
        slow, fast = await open_connections(harness, 2)
        data = load(1, STATEMENT)
        slow.send(data[:100_000])
        await asyncio.sleep(0.05)
        fast.send(load(2))
        await wait_until_executed(harness, 1)
        slow.send(data[100_000:])
        await wait_until_executed(harness, 2)
        assert executed(harness) == ids(2, 1)
        slow.close()
        fast.close()

    run_with_harness(scenario)


def test_loads_of_one_connection_keep_their_order_while_it_is_behind() -> None:
    async def scenario(harness: Harness) -> None:
        use_small_chunks(harness)
        clients = await open_connections(harness, 2)
        first = [load(n, b"x" * 20_000, message_id=n) for n in range(1, 9)]
        clients[0].send(b"".join(first))
        clients[1].send(load(9))
        await wait_until_executed(harness, 9)
        assert executed(harness) == ids(*range(1, 10))
        for client in clients:
            client.close()

    run_with_harness(scenario)


def test_a_client_that_sends_without_a_pause_delays_a_load_for_a_limited_time() -> None:
    async def scenario(harness: Harness) -> None:
        endless, sound = await harness.client(), await harness.client()
        is_over = asyncio.Event()

        async def send_endlessly() -> None:
            while not is_over.is_set():
                endless.send_raw(encode_call(1, "no-such-class", b"x" * READ_CHUNK_BYTES) * 4)
                await endless.writer.drain()

        sending = asyncio.create_task(send_endlessly())
        await asyncio.sleep(0.05)
        rid = request_id(1)
        message_id = sound.call("load", rid, token=rid * 2, obj=KEY)
        error, _ = await sound.read_answer(message_id, timeout=2.0)
        assert error is None
        is_over.set()
        sending.cancel()

    run_with_harness(scenario)


def test_a_load_that_is_held_too_long_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """It never ran, and nothing is kept for it afterwards."""

    async def scenario(harness: Harness) -> None:
        use_small_chunks(harness)
        monkeypatch.setattr(submission, "MAX_HOLD_RATIO", 0.0)
        (long_client,) = await open_connections(harness, 1)
        client = await harness.client()
        await harness.wait_until(lambda: len(harness.server.downstream.clients) == 2)
        long_client.send(load(1, STATEMENT))
        rid = request_id(2)
        message_id = client.call("load", rid, token=rid * 2, obj=KEY)
        assert await client.read_answer(message_id) == (["Shed", {"backoff": "500"}], None)
        long_client.close()
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))
        assert rid.encode() not in executed(harness)

    run_with_harness(scenario)


def test_a_held_load_whose_client_takes_it_back_does_not_run() -> None:
    async def scenario(harness: Harness) -> None:
        use_small_chunks(harness)
        clients = await open_connections(harness, 3)
        clients[0].send(load(1, STATEMENT))
        clients[1].send(load(2))
        clients[1].close()
        clients[2].send(load(3))
        await wait_until_executed(harness, 2)
        assert executed(harness) == ids(1, 3)
        assert not len(harness.server.downstream.submitter.arrival_order)
        for client in clients:
            client.close()

    run_with_harness(scenario)


def test_cancellations_apply_to_calls_that_wait_to_be_handled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an attempt that begins after its client has cancelled it in the same input."""

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr(input_scheduler, "MAX_HANDLING_TIME", 1e-6)
        (client,) = await open_connections(harness, 1)
        calls = [encode_call(n, "ask", rid=request_id(n)) for n in range(1, 21)]
        cancellations = [b"\x93\x02\xa6forget\x91" + bytes([n]) for n in range(1, 20)]
        client.send(b"".join(calls + cancellations))
        await wait_until_executed(harness, 1)
        await asyncio.sleep(0.1)
        assert executed(harness) == ids(20)
        await harness.wait_until(lambda: harness.server.memory.held_bytes <= 5_000)
        client.close()
        await harness.wait_until(lambda: not any(harness.table_sizes().values()))

    run_with_harness(scenario, never_answer)
