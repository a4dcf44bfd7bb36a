"""Allocation of descriptors, and their exhaustion at accept, at connect and while discovery is down."""

from __future__ import annotations

import asyncio
import errno
import os
import resource
import socket
from pathlib import Path
from typing import Any

import pytest
import structlog
from platform_world import ComputeNode, FeedServer, Harness, answer_fetches, member

from saffronlane.platform import descriptors
from saffronlane.platform.upstream import connection as connection_module

from .support import REQUEST_ID, SyncClient, encode_call, request_id, run_with_harness, server_process


def test_allocation_leaves_a_reserve_besides_the_open_descriptors() -> None:
    allocation = descriptors.allocate_descriptors(256)
    open_count = len(os.listdir("/proc/self/fd"))
    assert allocation.engines == 64
    assert (
        allocation.clients + allocation.engines + descriptors.RESERVED_DESCRIPTORS + open_count <= 256 + 2
    )  # listing the directory opens a descriptor
    assert descriptors.allocate_descriptors(64).clients >= 1


def test_system_limit_applies_if_it_is_lower_than_the_configured_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (128, 4096))
    assert descriptors.allocate_descriptors(1024).engines == 32
    monkeypatch.setattr(resource, "getrlimit", lambda which: (resource.RLIM_INFINITY,) * 2)
    assert descriptors.allocate_descriptors(1024).engines == 256


class ExhaustedListener:
    """A listening socket whose `accept` fails with EMFILE while `is_exhausted` is set."""

    def __init__(self, real: socket.socket) -> None:
        self.real, self.accept_count, self.is_exhausted = real, 0, True

    def fileno(self) -> int:
        return self.real.fileno()

    def accept(self) -> tuple[socket.socket, Any]:
        self.accept_count += 1
        if self.is_exhausted:
            raise OSError(errno.EMFILE, "Too many open files")
        return self.real.accept()

    def getsockname(self) -> Any:
        return self.real.getsockname()

    def close(self) -> None:
        self.real.close()


def test_exhaustion_at_accept_is_logged_once_and_causes_no_busy_loop() -> None:
    async def scenario(harness: Harness) -> None:
        listener = harness.server.downstream.listener
        exhausted = ExhaustedListener(listener._sockets[0])
        listener.pause()
        listener._sockets[0] = exhausted  # type: ignore[call-overload]
        listener.resume()
        with structlog.testing.capture_logs() as logs:
            client = SyncClient(harness.server.downstream.port)
            client.send(encode_call(1))
            await harness.wait_until(lambda: exhausted.accept_count > 1)
            loop = asyncio.get_running_loop()
            started_at, count_before = loop.time(), exhausted.accept_count
            await asyncio.sleep(0.5)
            assert exhausted.accept_count - count_before <= (loop.time() - started_at) / 0.05 + 1
            exhausted.is_exhausted = False  # a descriptor is free again: accepting resumes by itself
            await harness.wait_until(lambda: harness.server.downstream.request_count == 1, 1.0)
        events = [event for event in logs if event["event"] == "descriptors exhausted"]
        assert len(events) == 1 and events[0]["operation"] == "accept" and events[0]["remedy"]
        client.close()

    run_with_harness(scenario)


def test_exhaustion_at_connect_is_logged_once_and_service_resumes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: Harness) -> None:
        real_socket, calls = connection_module.socket.socket, []

        def fail(*args: Any) -> socket.socket:
            calls.append(args)
            raise OSError(errno.EMFILE, "Too many open files")

        with structlog.testing.capture_logs() as logs:
            client = await harness.client()
            monkeypatch.setattr(connection_module.socket, "socket", fail)
            message_id = client.call("ask", REQUEST_ID)
            await harness.wait_until(lambda: calls)
            monkeypatch.setattr(connection_module.socket, "socket", real_socket)
            error, _ = await client.read_answer(message_id)
            assert error is None or error[0] == "Shed"
            assert (await client.read_answer(client.call("ask", request_id(2))))[0] is None
        events = [event for event in logs if event["event"] == "descriptors exhausted"]
        assert len(events) == 1 and events[0]["operation"] == "connect"
        assert not any("effect failed" in event["event"] for event in logs)

    run_with_harness(scenario)


def test_idle_upstream_connection_is_evicted_if_no_descriptor_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: Harness) -> None:
        upstream = harness.server.upstream
        upstream.probe(b"node-0")
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"alive"))
        harness.compute_nodes[0].connections[0].send(b"p1", b"FIT", b"-", b"")
        (connection,) = upstream.pool.connections_by_engine[b"node-0"]
        await harness.wait_until(lambda: not connection.has_pending_work)
        real_socket, calls = connection_module.socket.socket, []

        def fail_once(*args: Any) -> socket.socket:
            calls.append(args)
            if len(calls) == 1:
                raise OSError(errno.EMFILE, "Too many open files")
            return real_socket(*args)

        monkeypatch.setattr(connection_module.socket, "socket", fail_once)
        assert upstream.pool.select(b"node-1", b"x") is not None and not connection.lifecycle.accepts_work
        monkeypatch.setattr(connection_module.socket, "socket", real_socket)

    run_with_harness(scenario, answer_fetches, answer_fetches)


@pytest.mark.parametrize(
    "configured_limit", [96, 1024], ids=["system limit is equal", "system limit is lower"]
)
def test_service_continues_if_idle_clients_use_all_descriptors_while_discovery_is_down(
    configured_limit: int, tmp_path: Path
) -> None:
    """Descriptors are left for a connection to the feed, a new compute node and active clients."""

    async def scenario() -> None:
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": configured_limit}
        idle_clients: list[SyncClient] = []
        new_node = ComputeNode()
        await new_node.start()
        async with (
            server_process(tmp_path, descriptor_limit=96, limits=limits) as running,
            asyncio.timeout(40.0),
        ):
            running.feed.close()  # nothing listens at the feed's address: discovery is down
            for _ in range(200):
                idle_clients.append(SyncClient(running.port))
                await asyncio.sleep(0)
            log_lines: list[bytes] = []
            while sum(b"discovery watch interrupted" in line for line in log_lines) < 3:
                log_lines.append(await running.read_log_line())
            restarted_feed = FeedServer()
            restarted_feed.port = running.feed.port
            await restarted_feed.start()
            while not restarted_feed.subscribed_sequences:
                await asyncio.sleep(0.01)
            (old_node,) = running.compute_nodes
            restarted_feed.send_event(
                2, [member("node-1", new_node.port), member("node-0", old_node.port, "removed")]
            )
            while not any(b'"node-1 up' in line for line in log_lines):
                log_lines.append(await running.read_log_line())
            client = await running.client()
            assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
            assert new_node.commands(b"fetch") and not old_node.commands(b"fetch")
            client.close()
            restarted_feed.close()
            exhaustion_lines = [line for line in log_lines if b"descriptors exhausted" in line]
            assert len(exhaustion_lines) <= 1 and not any(b"Traceback" in line for line in log_lines)
        for idle_client in idle_clients:
            idle_client.close()
        new_node.close()

    asyncio.run(scenario())
