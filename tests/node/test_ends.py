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
    Peer,
    World,
    config_text,
    member,
)

from saffronlane.platform.errors import InvalidResponse
from saffronlane.platform.upstream import paged_result
from saffronlane.policy.gateway import MAX_REMOVED_ENGINES

from .support import RID, own_process, play, rid


def test_every_map_is_back_to_its_size_after_churn() -> None:
    """Nodes replaced under new ids at known addresses, clients ever new: nothing of them stays."""

    async def work(built: World) -> None:
        feed, gateway = built.feed, built.node.dispatcher.gateway
        await built.until(lambda: feed.writers)
        number, name = 1, "node-0"
        port = built.computes[0].port
        for turn in range(MAX_REMOVED_ENGINES + 20):
            client = await built.client()
            assert (await client.answer(client.call("ask", rid(turn))))[0] is None
            client.close()
            number += 1
            feed.event(number, [member(name, port, "draining"), member(f"new-{turn}", port)])
            feed.event(number + 1, [member(name, port, "removed")])
            number, name = number + 1, f"new-{turn}"
            await built.until(lambda last=number: built.node.discovery.last_sequence == last)  # type: ignore[misc]
        await built.until(lambda: not any(built.tables().values()) and not built.node.downstream.clients)
        node = built.node
        assert len(node.endpoints) == len(node.dispatcher._engines) == 1
        assert len(node.upstream.pool.connections_by_engine) <= 1
        assert (
            len(gateway.engine_registry.engines)
            == len(gateway.engine_registry.engine_by_digest)
            <= MAX_REMOVED_ENGINES + 1
        )
        assert len(gateway.engine_selector.eligibility.rendezvous_order.cached_orders) <= 2

    play(work)


def test_sigterm_gives_every_answer_and_ends() -> None:
    """Requests in each stage: held, on their way, in pages, and one that comes after the signal."""

    async def script(peer: Peer, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            await asyncio.sleep(0.2)
            peer.done(words[1], ROWS, 2)
        elif words[0] == b"more":
            peer.send(words[1], b"MORE", b"sheet=1", ROWS)

    async def work(built: World) -> None:
        client = await built.client()
        ids = [client.call("ask", rid(n)) for n in range(6)]
        await built.until(lambda: built.computes[0].words(b"fetch"))
        built.node.stop()
        ids.append(client.call("ask", rid(7)))
        late = await built.client()
        msgid = late.call("ask", rid(8))
        for one in ids:
            assert await client.answer(one) == (None, [ROWS + ROWS, {}])
        assert await late.answer(msgid) == (None, [ROWS + ROWS, {}])
        async with asyncio.timeout(5.0):
            await built.node.run()

    play(work, script)


def test_the_process_starts_light_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    """What `run` starts: no heavy library is loaded, a bad SIGHUP is no end, SIGTERM is one with exit 0."""

    async def work() -> None:
        async with own_process(tmp_path) as running, asyncio.timeout(20.0):
            client = await running.client()
            running.path.write_text("not json")
            running.process.send_signal(signal.SIGHUP)
            assert (await client.answer(client.call("ask", RID)))[0] is None
            running.process.send_signal(signal.SIGTERM)
            assert await running.process.wait() == 0

    asyncio.run(work())


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
    path.write_text(json.dumps(config_text([], 9, listen="nowhere")))
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
