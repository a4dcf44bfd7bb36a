"""Memory after churn, start and end of the process, the format of pages, and imported packages."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from platform_world import (
    ROWS,
    ComputeNodeConnection,
    Harness,
    dispatcher_config,
    member,
)

from saffronlane.platform.errors import InvalidResponse
from saffronlane.platform.upstream import paged_result
from saffronlane.policy.gateway import MAX_REMOVED_ENGINES

from .support import REQUEST_ID, request_id, run_with_harness, server_process


def test_tables_return_to_their_size_after_churn() -> None:
    """Compute nodes are replaced under new ids at the same address, and each request has a new client.

    Guards against entries of removed compute nodes and disconnected clients that are never deleted.
    """

    async def scenario(harness: Harness) -> None:
        feed, gateway = harness.feed, harness.server.dispatcher.gateway
        await harness.wait_until(lambda: feed.writers)
        sequence, name = 1, "node-0"
        port = harness.compute_nodes[0].port
        for round_number in range(MAX_REMOVED_ENGINES + 20):
            client = await harness.client()
            assert (await client.read_answer(client.call("ask", request_id(round_number))))[0] is None
            client.close()
            sequence += 1
            feed.send_event(sequence, [member(name, port, "draining"), member(f"new-{round_number}", port)])
            feed.send_event(sequence + 1, [member(name, port, "removed")])
            sequence, name = sequence + 1, f"new-{round_number}"
            await harness.wait_until(
                lambda expected=sequence: harness.server.discovery.last_sequence == expected  # type: ignore[misc]
            )
        await harness.wait_until(
            lambda: not any(harness.table_sizes().values()) and not harness.server.downstream.clients
        )
        server = harness.server
        assert len(server.endpoints) == len(server.dispatcher._engines) == 1
        assert len(server.upstream.pool.connections_by_engine) <= 1
        assert (
            len(gateway.engine_registry.engines)
            == len(gateway.engine_registry.engine_by_digest)
            <= MAX_REMOVED_ENGINES + 1
        )
        assert len(gateway.engine_selector.eligibility.rendezvous_order.cached_orders) <= 2

    run_with_harness(scenario)


def test_graceful_shutdown_answers_requests_in_every_stage() -> None:
    """Requests are queued, in flight or between result pages, or arrive after the shutdown has begun."""

    async def script(connection: ComputeNodeConnection, command: list[bytes]) -> None:
        if command[0] == b"fetch":
            await asyncio.sleep(0.2)
            connection.send_result(command[1], ROWS, 2)
        elif command[0] == b"more":
            connection.send(command[1], b"MORE", b"sheet=1", ROWS)

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        message_ids = [client.call("ask", request_id(n)) for n in range(6)]
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"fetch"))
        harness.server.stop()
        message_ids.append(client.call("ask", request_id(7)))
        late_client = await harness.client()
        late_message_id = late_client.call("ask", request_id(8))
        for message_id in message_ids:
            assert await client.read_answer(message_id) == (None, [ROWS + ROWS, {}])
        assert await late_client.read_answer(late_message_id) == (None, [ROWS + ROWS, {}])
        async with asyncio.timeout(5.0):
            await harness.server.run()

    run_with_harness(scenario, script)


def test_process_survives_invalid_reload_and_exits_on_sigterm(tmp_path: Path) -> None:
    """SIGHUP with an invalid configuration does not end the process; SIGTERM ends it with exit code 0."""

    async def scenario() -> None:
        async with server_process(tmp_path) as running, asyncio.timeout(20.0):
            client = await running.client()
            running.config_path.write_text("not json")
            running.process.send_signal(signal.SIGHUP)
            assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
            running.process.send_signal(signal.SIGTERM)
            assert await running.process.wait() == 0

    asyncio.run(scenario())


def test_platform_server_imports_no_large_libraries() -> None:
    code = (
        "import sys, saffronlane.platform.__main__\n"
        "large = {'pyarrow', 'grpc', 'google.protobuf', 'sqlglot', 'jsonschema', 'numpy', 'hpack'}\n"
        "pages = int(open('/proc/self/statm').read().split()[1])\n"
        "print(sorted(large & set(sys.modules)), pages * 4)\n"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded, kilobytes = completed.stdout.rsplit(" ", 1)
    assert loaded == "[]"
    assert int(kilobytes) < 50_000


def test_invalid_configuration_exits_with_its_json_pointer(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(dispatcher_config([], 9, listen="nowhere")))
    completed = subprocess.run(
        [sys.executable, "-m", "saffronlane.platform"],
        check=False,
        env=os.environ | {"BALANCER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert (
        completed.returncode == 2
        and "/listen" in completed.stderr
        and len(completed.stderr.splitlines()) == 1
    )


@pytest.mark.parametrize(
    ("page", "is_valid"),
    [
        (b"", True),
        (b"\t\t\n", True),
        (b"a\tb\tc\nd\te\tf\n", True),
        (b"a\tb\tc", False),
        (b"a\tb\tc\nd", False),
        (b"a\tb\n", False),
        (b"a\tb\tc\td\n", False),
        (b"a\tb\tc\td\ne\tf\n", False),  # has the tabs and line ends of two rows, in the wrong places
        (b"a\n\tb\tc", False),
        (b"\xc3\x28\t\t\n", False),
        (b"a\tb\t" + b"c" * 6000 + b"\n", False),
    ],
)
def test_page_is_valid_only_with_whole_rows_of_three_columns(page: bytes, is_valid: bool) -> None:
    try:
        paged_result.check_page(page)
    except InvalidResponse:
        assert not is_valid
    else:
        assert is_valid


def test_node_requirements_are_sufficient_and_part_of_all_requirements() -> None:
    """The server starts with the packages of requirements-node.txt alone.

    Packages that only the tests and the rest of the project need are hidden, since some of the server's
    packages import them if they are installed.
    """
    root = Path(__file__).parents[2]
    node_requirements, all_requirements = (
        {line for line in (root / name).read_text().splitlines() if line and not line.startswith("#")}
        for name in ("requirements-node.txt", "requirements.txt")
    )
    assert node_requirements < all_requirements
    code = (
        "import sys\n"
        "class HiddenPackageFinder:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name in HIDDEN:\n"
        "            raise ModuleNotFoundError(name, name=name)\n"
        "HIDDEN = {'rich', 'better_exceptions', 'click', 'jsonschema', 'hpack', 'google.protobuf'}\n"
        "HIDDEN |= {'sqlglot', 'cronsim', 'numpy', 'pyarrow', 'grpc'}\n"
        "HIDDEN |= {'attr', 'typing_extensions', 'pygments'}\n"
        "sys.meta_path.insert(0, HiddenPackageFinder())\n"
        "import saffronlane.platform.__main__, saffronlane.simulator.adapter\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=root)
