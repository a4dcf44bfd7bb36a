"""Descriptors run out: at accept, at connect, and while discovery is down."""

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


def test_the_shares_leave_a_reserve_of_what_is_really_open() -> None:
    shares = descriptors.allocate_descriptors(256)
    held = len(os.listdir("/proc/self/fd"))
    assert shares.engines == 64
    assert (
        shares.clients + shares.engines + descriptors.RESERVED_DESCRIPTORS + held <= 256 + 2
    )  # the listing has one open
    assert descriptors.allocate_descriptors(64).clients >= 1


def test_the_systems_own_limit_binds_where_it_is_less(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (128, 4096))
    assert descriptors.allocate_descriptors(1024).engines == 32
    monkeypatch.setattr(resource, "getrlimit", lambda which: (resource.RLIM_INFINITY,) * 2)
    assert descriptors.allocate_descriptors(1024).engines == 256


class Starved:
    """A listening socket whose `accept` fails as where no descriptor is left."""

    def __init__(self, real: socket.socket) -> None:
        self.real, self.tries, self.left = real, 0, True

    def fileno(self) -> int:
        return self.real.fileno()

    def accept(self) -> tuple[socket.socket, Any]:
        self.tries += 1
        if self.left:
            raise OSError(errno.EMFILE, "Too many open files")
        return self.real.accept()

    def getsockname(self) -> Any:
        return self.real.getsockname()

    def close(self) -> None:
        self.real.close()


def test_no_descriptor_at_accept_is_met_once_and_without_a_busy_loop() -> None:
    async def scenario(harness: Harness) -> None:
        listener = harness.server.downstream.listener
        starved = Starved(listener._sockets[0])
        listener.pause()
        listener._sockets[0] = starved  # type: ignore[call-overload]
        listener.resume()
        with structlog.testing.capture_logs() as logs:
            client = SyncClient(harness.server.downstream.port)
            client.send(encode_call(1))
            await harness.wait_until(lambda: starved.tries > 1)
            loop = asyncio.get_running_loop()
            since, before = loop.time(), starved.tries
            await asyncio.sleep(0.5)
            assert starved.tries - before <= (loop.time() - since) / 0.05 + 1
            starved.left = False  # one is free again: service returns by itself
            await harness.wait_until(lambda: harness.server.downstream.request_count == 1, 1.0)
        said = [one for one in logs if one["event"] == "descriptors exhausted"]
        assert len(said) == 1 and said[0]["operation"] == "accept" and said[0]["remedy"]
        client.close()

    run_with_harness(scenario)


def test_no_descriptor_at_connect_is_met_once_and_service_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: Harness) -> None:
        real, tries = connection_module.socket.socket, []

        def none(*args: Any) -> socket.socket:
            tries.append(args)
            raise OSError(errno.EMFILE, "Too many open files")

        with structlog.testing.capture_logs() as logs:
            client = await harness.client()
            monkeypatch.setattr(connection_module.socket, "socket", none)
            msgid = client.call("ask", REQUEST_ID)
            await harness.wait_until(lambda: tries)
            monkeypatch.setattr(connection_module.socket, "socket", real)
            error, _ = await client.read_answer(msgid)
            assert error is None or error[0] == "Shed"
            assert (await client.read_answer(client.call("ask", request_id(2))))[0] is None
        said = [one for one in logs if one["event"] == "descriptors exhausted"]
        assert len(said) == 1 and said[0]["operation"] == "connect"
        assert not any("effect failed" in one["event"] for one in logs)

    run_with_harness(scenario)


def test_idle_connections_to_nodes_make_way_where_the_system_gives_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: Harness) -> None:
        upstream = harness.server.upstream
        upstream.probe(b"node-0")
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"alive"))
        harness.compute_nodes[0].connections[0].send(b"p1", b"FIT", b"-", b"")
        (link,) = upstream.pool.connections_by_engine[b"node-0"]
        await harness.wait_until(lambda: not link.has_pending_work)
        real, tries = connection_module.socket.socket, []

        def once(*args: Any) -> socket.socket:
            tries.append(args)
            if len(tries) == 1:
                raise OSError(errno.EMFILE, "Too many open files")
            return real(*args)

        monkeypatch.setattr(connection_module.socket, "socket", once)
        assert upstream.pool.select(b"node-1", b"x") is not None and not link.lifecycle.accepts_work
        monkeypatch.setattr(connection_module.socket, "socket", real)

    run_with_harness(scenario, answer_fetches, answer_fetches)


@pytest.mark.parametrize("told", [96, 1024], ids=["as the limit is", "the system's limit is less"])
def test_idle_clients_fill_the_descriptors_while_discovery_is_down(told: int, tmp_path: Path) -> None:
    """The feed's return, a new node and usual clients all find a descriptor."""

    async def scenario() -> None:
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": told}
        idle: list[SyncClient] = []
        later = ComputeNode()
        await later.start()
        async with (
            server_process(tmp_path, descriptor_limit=96, limits=limits) as running,
            asyncio.timeout(40.0),
        ):
            running.feed.close()  # and nobody listens there: discovery is down
            for _ in range(200):
                idle.append(SyncClient(running.port))
                await asyncio.sleep(0)
            logged: list[bytes] = []
            while sum(b"discovery watch interrupted" in line for line in logged) < 3:
                logged.append(await running.read_log_line())
            again = FeedServer()
            again.port = running.feed.port
            await again.start()
            while not again.subscribed_sequences:
                await asyncio.sleep(0.01)
            (first,) = running.compute_nodes
            again.send_event(2, [member("node-1", later.port), member("node-0", first.port, "removed")])
            while not any(b'"node-1 up' in line for line in logged):
                logged.append(await running.read_log_line())
            client = await running.client()
            assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
            assert later.commands(b"fetch") and not first.commands(b"fetch")
            client.close()
            again.close()
            said = [line for line in logged if b"descriptors exhausted" in line]
            assert len(said) <= 1 and not any(b"Traceback" in line for line in logged)
        for one in idle:
            one.close()
        later.close()

    asyncio.run(scenario())
