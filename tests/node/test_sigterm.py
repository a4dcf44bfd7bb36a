"""Graceful shutdown: late requests, pending answers, and the end of the process before SIGKILL."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from platform_world import ROWS, SETTINGS, ComputeNodeConnection, Harness

from saffronlane.platform import managed_connection, shutdown, stream
from saffronlane.platform.lifecycle import Phase
from saffronlane.platform.lifecycle.process import NEW_REQUEST_WINDOW, OutstandingWork

from .support import (
    SyncClient,
    encode_call,
    never_answer,
    paged_results,
    request_id,
    run_with_harness,
    server_process,
    slow_client,
)


def decode_answers(data: bytes) -> list[Any]:
    decoder = msgspec.msgpack.Decoder()
    return [decoder.decode(data)] if data else []


async def run_until_ended(harness: Harness, timeout: float = 5.0) -> None:
    async with asyncio.timeout(timeout):
        await harness.server.run()


def stop_with_race(
    harness: Harness, monkeypatch: pytest.MonkeyPatch, racing_action: Callable[[], None]
) -> None:
    """Request the shutdown, and call `racing_action` right before the check that ends the draining phase.

    The state machine is passed times before the end of the phase until `racing_action` has been called, and
    times after it from then on. With the real time, a check could end the phase before the call.
    """
    process, loop, action_calls = harness.server.process, asyncio.get_running_loop(), []
    real_sleep, real_advance = asyncio.sleep, process.advance

    async def sleep_and_run_action(seconds: float) -> None:
        await real_sleep(seconds)
        if seconds == shutdown.CHECK_INTERVAL and not action_calls:
            action_calls.append(True)
            racing_action()

    def advance(now: float, outstanding: OutstandingWork) -> Phase:
        time = max(now, after + NEW_REQUEST_WINDOW) if action_calls else min(now, before + 0.5)
        return real_advance(time, outstanding)

    monkeypatch.setattr(shutdown.asyncio, "sleep", sleep_and_run_action)
    monkeypatch.setattr(process, "advance", advance)
    before = loop.time()
    harness.server.stop()
    after = loop.time()


@pytest.mark.parametrize("sender", ["resting", "new", "both"])
def test_request_that_arrives_just_before_the_end_of_draining_is_answered(
    sender: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request arrives on an idle connection, or on one that waits to be accepted.

    Guards against input or connections that arrive between the last check and the close, and are lost.
    """

    async def scenario(harness: Harness) -> None:
        port, late_clients = harness.server.downstream.port, []
        idle_client = SyncClient(port)
        await harness.wait_until(lambda: harness.server.downstream.clients)

        def send_requests() -> None:
            late_clients.extend([idle_client] if sender != "new" else [])
            late_clients.extend([SyncClient(port)] if sender != "resting" else [])
            for n, client in enumerate(late_clients, 1):
                client.send(encode_call(1, rid=request_id(n)))

        stop_with_race(harness, monkeypatch, send_requests)
        await run_until_ended(harness)
        assert len(late_clients) == (2 if sender == "both" else 1)
        for client in late_clients:
            data, reset = await client.read_to_end()
            assert not reset and decode_answers(data) == [[1, 1, None, [ROWS, {}]]]

    run_with_harness(scenario)


def test_request_in_the_listen_backlog_at_the_end_of_draining_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At the last check, the maximum number of clients is connected, and another client waits to be accepted.

    Guards against a reset of the waiting connection.
    """

    async def scenario(harness: Harness) -> None:
        downstream, late_clients = harness.server.downstream, []
        downstream.max_clients = 2
        recent_client = await harness.client()
        # The client has been active too recently to be evicted.
        assert (await recent_client.read_answer(recent_client.call("ask", request_id(1))))[0] is None

        def connect_clients() -> None:
            # The first client reaches the maximum and is too new to be evicted.
            late_clients.append(SyncClient(downstream.port))
            late_clients.append(SyncClient(downstream.port))
            late_clients[1].send(encode_call(1, rid=request_id(2)))

        stop_with_race(harness, monkeypatch, connect_clients)
        await run_until_ended(harness)
        data, reset = await late_clients[1].read_to_end()
        assert not reset and decode_answers(data) == [[1, 1, None, [ROWS, {}]]]
        late_clients[0].close()

    run_with_harness(scenario)


def test_stream_has_undelivered_data_until_the_reader_task_resumes() -> None:
    """Between the read from the socket and the reader task's next run, neither of them holds the bytes."""

    async def scenario() -> None:
        local_socket, remote_socket = socket.socketpair()
        tested_stream = stream.Stream(local_socket, 1_000_000, 1_000_000)
        read_future = tested_stream.read_bytes(100, partial=True)
        assert not tested_stream.has_undelivered_data
        remote_socket.send(b"x")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert tested_stream.has_undelivered_data and await read_future == b"x"
        tested_stream.close()
        remote_socket.close()

    asyncio.run(scenario())


def test_request_that_arrives_after_the_end_of_draining_is_not_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It arrives between the last check and the half-close, so its client can safely send it elsewhere."""

    async def scenario(harness: Harness) -> None:
        server = harness.server
        client = SyncClient(server.downstream.port)
        client.send(encode_call(1, rid=request_id(1)))
        await harness.wait_until(
            lambda: server.downstream.request_count == 1 and not server.downstream.has_unsent_replies
        )
        drain = server.downstream.drain

        def send_then_drain() -> None:
            client.send(encode_call(2, rid=request_id(2)))
            drain()

        monkeypatch.setattr(server.downstream, "drain", send_then_drain)
        server.stop()
        data, reset = await client.read_to_end()
        await run_until_ended(harness)
        assert not reset and decode_answers(data) == [[1, 1, None, [ROWS, {}]]]
        assert [command[1] for command in harness.compute_nodes[0].commands(b"fetch")] == [
            request_id(1).encode()
        ]

    run_with_harness(scenario)


def test_idle_clients_and_incomplete_requests_end_without_a_reset() -> None:
    async def scenario(harness: Harness) -> None:
        server = harness.server
        idle_client, partial_sender = SyncClient(server.downstream.port), SyncClient(server.downstream.port)
        partial_sender.send(encode_call(1)[:30])
        await harness.wait_until(lambda: len(server.downstream.clients) == 2)
        server.stop()
        await asyncio.sleep(0.9)
        partial_sender.send(encode_call(1)[30:40])  # the client is still sending the request
        for client in (idle_client, partial_sender):
            assert await client.read_to_end() == (b"", False)
        await run_until_ended(harness)

    run_with_harness(scenario)


def test_requests_are_answered_by_their_deadlines_if_no_compute_node_responds() -> None:
    """The process ends soon after the last answer, although the compute nodes never respond."""
    services = [SETTINGS["services"][0] | {"deadline": 16.0}, *SETTINGS["services"][1:]]

    async def scenario(harness: Harness) -> None:
        server, loop = harness.server, asyncio.get_running_loop()
        client = await harness.client()
        budget_by_message_id = {
            client.call("ask", request_id(n), budget=str(900 + 200 * n)): 0.9 + 0.2 * n for n in range(4)
        }
        await harness.wait_until(lambda: server.downstream.request_count == 4)
        stopped_at = loop.time()
        server.stop()
        for message_id, budget_s in budget_by_message_id.items():
            error, _ = await client.read_answer(message_id)
            assert error[0] in ("Shed", "Fault") and loop.time() < stopped_at + budget_s + 0.05
        last_answer_at = loop.time()
        client.close()
        await run_until_ended(harness)
        assert loop.time() < last_answer_at + 0.7

    run_with_harness(scenario, never_answer, never_answer, settings=SETTINGS | {"services": services})


def test_requests_with_long_deadlines_are_answered_before_sigkill() -> None:
    """SIGKILL may follow 3.7 s after SIGTERM, however long the deadlines are.

    Guards against unanswered requests: no compute node responds, and the deadline is 16 s.
    """
    services = [service | {"deadline": 16.0} for service in SETTINGS["services"]]

    async def scenario(harness: Harness) -> None:
        server, loop = harness.server, asyncio.get_running_loop()
        client = await harness.client()
        message_ids = [
            client.call(cls, request_id(n), budget="16000") for n, cls in enumerate(("ask", "frail"))
        ]
        await harness.wait_until(
            lambda: sum(len(compute_node.commands(b"fetch")) for compute_node in harness.compute_nodes) >= 2
        )
        stopped_at = loop.time()
        server.stop()
        await asyncio.sleep(0.5)
        message_ids.append(client.call("ask", request_id(9), budget="16000"))
        fault_names = [(await client.read_answer(message_id))[0][0] for message_id in message_ids]
        assert fault_names == ["Shed", "Fault", "Shed"] and 3.0 < loop.time() - stopped_at < 3.6
        client.close()
        await run_until_ended(harness)
        assert loop.time() - stopped_at < 3.7

    run_with_harness(scenario, never_answer, never_answer, settings=SETTINGS | {"services": services})


def test_second_stop_answers_all_requests_immediately() -> None:
    """A request that did not run or is safe to repeat is rejected; an unsafe one that may have run fails."""

    async def scenario(harness: Harness) -> None:
        server, loop = harness.server, asyncio.get_running_loop()
        client = await harness.client()
        safe, unsafe = client.call("ask", request_id(1)), client.call("frail", request_id(2))
        await harness.wait_until(lambda: len(harness.compute_nodes[0].commands(b"fetch")) == 2)
        stopped_at = loop.time()
        server.stop()
        server.stop()
        assert (await client.read_answer(safe))[0][0] == "Shed"
        assert (await client.read_answer(unsafe))[0][0] == "Fault"
        client.close()
        await run_until_ended(harness)
        assert loop.time() < stopped_at + 1.0

    run_with_harness(scenario, never_answer)


def test_shutdown_waits_until_a_slow_client_has_read_its_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    page = (b"x" * 2990 + b"\ty\tz\n") * 2

    async def scenario(harness: Harness) -> None:
        server, loop = harness.server, asyncio.get_running_loop()
        async with slow_client(harness, 10) as (client, _):
            server.stop()
            await asyncio.sleep(1.5)
            assert server.process.phase is Phase.DRAINING
            byte_count = 0
            while data := await loop.sock_recv(client, 65_536):
                byte_count += len(data)
            assert byte_count > 10 * 7 * len(page)
        await run_until_ended(harness)

    run_with_harness(scenario, paged_results(page, 7))


@pytest.mark.parametrize("answer_delay", [0.0, 0.3])
def test_process_answers_all_requests_and_exits_after_sigterm(answer_delay: float, tmp_path: Path) -> None:
    """SIGTERM arrives while attempts are in flight; later requests are still accepted for some time."""

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            asyncio.get_running_loop().call_later(answer_delay, connection.send_result, command[1])

    async def scenario() -> None:
        async with server_process(tmp_path, script) as running, asyncio.timeout(20.0):
            process, client = running.process, await running.client()
            message_ids = [client.call("ask", request_id(n)) for n in range(5)]
            await client.read_answer(message_ids[0]) if not answer_delay else None
            process.send_signal(signal.SIGTERM)
            await running.wait_for_log(b"shutdown requested")
            message_ids += [client.call("ask", request_id(n)) for n in range(5, 10)]
            new_client = await running.client()
            last_message_id = new_client.call("ask", request_id(10))
            for message_id in message_ids:
                assert (await client.read_answer(message_id))[0] is None
            assert (await new_client.read_answer(last_message_id))[0] is None
            assert await client.reader.read() == b""
            client.close()
            new_client.close()
            assert await process.wait() == 0

    asyncio.run(scenario())


def test_process_without_responding_compute_nodes_answers_and_exits_before_sigkill(tmp_path: Path) -> None:
    """Deadlines are 16 s, and SIGKILL may follow 3.7 s after SIGTERM. The signals reach a real process."""
    services = [service | {"deadline": 16.0} for service in SETTINGS["services"]]

    async def scenario() -> None:
        config_changes = {"settings": SETTINGS | {"services": services}}
        async with (
            server_process(tmp_path, never_answer, never_answer, **config_changes) as running,
            asyncio.timeout(20.0),
        ):
            loop, client = asyncio.get_running_loop(), await running.client()
            idle_client = await running.client()  # stays idle until the process closes it
            message_ids = [
                client.call(cls, request_id(n), budget="16000") for n, cls in enumerate(("ask", "frail"))
            ]
            while sum(len(compute_node.commands(b"fetch")) for compute_node in running.compute_nodes) < 2:
                await asyncio.sleep(0.01)
            stopped_at = loop.time()
            running.process.send_signal(signal.SIGTERM)
            await running.wait_for_log(b"shutdown requested")
            message_ids.append(client.call("ask", request_id(9), budget="16000"))
            assert [(await client.read_answer(message_id))[0][0] for message_id in message_ids] == [
                "Shed",
                "Fault",
                "Shed",
            ]
            assert loop.time() - stopped_at < 3.7
            assert await idle_client.reader.read() == b"" and await client.reader.read() == b""
            client.close()
            idle_client.close()
            assert await running.process.wait() == 0

    asyncio.run(scenario())


def test_closing_the_server_closes_every_connection_and_ends_its_work() -> None:
    """The connections are in different states when the server is closed."""

    async def scenario(harness: Harness) -> None:
        started_connections: list[managed_connection.ManagedConnection] = []
        real_start = managed_connection.ManagedConnection.start

        def record_and_start(connection: managed_connection.ManagedConnection) -> None:
            started_connections.append(connection)
            real_start(connection)

        managed_connection.ManagedConnection.start = record_and_start  # type: ignore[method-assign]
        try:
            clients = [await harness.client() for _ in range(6)]
            for n, client in enumerate(clients):
                client.call("ask", request_id(n))
            clients[0].send_raw(b"\xc1" * 10)
            await harness.wait_until(lambda: harness.table_sizes()["connection_attempts"])
            harness.server.close()
        finally:
            managed_connection.ManagedConnection.start = real_start  # type: ignore[method-assign]
        assert started_connections and all(
            connection.lifecycle.is_closed and not connection.has_pending_work
            for connection in started_connections
        )

    run_with_harness(scenario, never_answer)
