"""Long days, the process, and its end."""

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


def test_every_map_is_back_to_its_size_after_churn() -> None:
    """Nodes replaced under new ids at known addresses, clients ever new: nothing of them stays."""

    async def scenario(harness: Harness) -> None:
        feed, gateway = harness.feed, harness.server.dispatcher.gateway
        await harness.wait_until(lambda: feed.writers)
        number, name = 1, "node-0"
        port = harness.compute_nodes[0].port
        for turn in range(MAX_REMOVED_ENGINES + 20):
            client = await harness.client()
            assert (await client.read_answer(client.call("ask", request_id(turn))))[0] is None
            client.close()
            number += 1
            feed.send_event(number, [member(name, port, "draining"), member(f"new-{turn}", port)])
            feed.send_event(number + 1, [member(name, port, "removed")])
            number, name = number + 1, f"new-{turn}"
            await harness.wait_until(lambda last=number: harness.server.discovery.last_sequence == last)  # type: ignore[misc]
        await harness.wait_until(
            lambda: not any(harness.table_sizes().values()) and not harness.server.downstream.clients
        )
        node = harness.server
        assert len(node.endpoints) == len(node.dispatcher._engines) == 1
        assert len(node.upstream.pool.connections_by_engine) <= 1
        assert (
            len(gateway.engine_registry.engines)
            == len(gateway.engine_registry.engine_by_digest)
            <= MAX_REMOVED_ENGINES + 1
        )
        assert len(gateway.engine_selector.eligibility.rendezvous_order.cached_orders) <= 2

    run_with_harness(scenario)


def test_sigterm_gives_every_answer_and_ends() -> None:
    """Requests in each stage: held, on their way, in pages, and one that comes after the signal."""

    async def script(peer: ComputeNodeConnection, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            await asyncio.sleep(0.2)
            peer.send_result(words[1], ROWS, 2)
        elif words[0] == b"more":
            peer.send(words[1], b"MORE", b"sheet=1", ROWS)

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        ids = [client.call("ask", request_id(n)) for n in range(6)]
        await harness.wait_until(lambda: harness.compute_nodes[0].commands(b"fetch"))
        harness.server.stop()
        ids.append(client.call("ask", request_id(7)))
        late = await harness.client()
        msgid = late.call("ask", request_id(8))
        for one in ids:
            assert await client.read_answer(one) == (None, [ROWS + ROWS, {}])
        assert await late.read_answer(msgid) == (None, [ROWS + ROWS, {}])
        async with asyncio.timeout(5.0):
            await harness.server.run()

    run_with_harness(scenario, script)


def test_the_process_starts_light_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    """What `run` starts: no heavy library is loaded, a bad SIGHUP is no end, SIGTERM is one with exit 0."""

    async def scenario() -> None:
        async with server_process(tmp_path) as running, asyncio.timeout(20.0):
            client = await running.client()
            running.config_path.write_text("not json")
            running.process.send_signal(signal.SIGHUP)
            assert (await client.read_answer(client.call("ask", REQUEST_ID)))[0] is None
            running.process.send_signal(signal.SIGTERM)
            assert await running.process.wait() == 0

    asyncio.run(scenario())


def test_a_node_loads_nothing_heavy() -> None:
    code = (
        "import sys, saffronlane.platform.__main__\n"
        "heavy = {'pyarrow', 'grpc', 'google.protobuf', 'sqlglot', 'jsonschema', 'numpy', 'hpack'}\n"
        "pages = int(open('/proc/self/statm').read().split()[1])\n"
        "print(sorted(heavy & set(sys.modules)), pages * 4)\n"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded, kilobytes = done.stdout.rsplit(" ", 1)
    assert loaded == "[]"
    assert int(kilobytes) < 50_000


def test_a_bad_configuration_ends_at_once_with_its_place(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(dispatcher_config([], 9, listen="nowhere")))
    done = subprocess.run(
        [sys.executable, "-m", "saffronlane.platform"],
        check=False,
        env=os.environ | {"BALANCER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 2 and "/listen" in done.stderr and len(done.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ("page", "good"),
    [
        (b"", True),
        (b"\t\t\n", True),
        (b"a\tb\tc\nd\te\tf\n", True),
        (b"a\tb\tc", False),
        (b"a\tb\tc\nd", False),
        (b"a\tb\n", False),
        (b"a\tb\tc\td\n", False),
        (b"a\tb\tc\td\ne\tf\n", False),  # as many tabs and ends as two rows have
        (b"a\n\tb\tc", False),
        (b"\xc3\x28\t\t\n", False),
        (b"a\tb\t" + b"c" * 6000 + b"\n", False),
    ],
)
def test_a_page_is_whole_rows_of_three_columns(page: bytes, good: bool) -> None:
    try:
        paged_result.check_page(page)
    except InvalidResponse:
        assert not good
    else:
        assert good


def test_the_nodes_own_list_of_packages_agrees_with_the_whole_one() -> None:
    """`run` starts with these alone; what the tests bring besides is loaded by some of them at each start."""
    root = Path(__file__).parents[2]
    few, all_ = (
        {line for line in (root / name).read_text().splitlines() if line and not line.startswith("#")}
        for name in ("requirements-node.txt", "requirements.txt")
    )
    assert few < all_
    code = (
        "import sys\n"
        "class Only:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name in HIDDEN:\n"
        "            raise ModuleNotFoundError(name, name=name)\n"
        "HIDDEN = {'rich', 'better_exceptions', 'click', 'jsonschema', 'hpack', 'google.protobuf'}\n"
        "HIDDEN |= {'sqlglot', 'cronsim', 'numpy', 'pyarrow', 'grpc'}\n"
        "HIDDEN |= {'attr', 'typing_extensions', 'pygments'}\n"
        "sys.meta_path.insert(0, Only())\n"
        "import saffronlane.platform.__main__, saffronlane.simulator.adapter\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=root)
