"""The daemon as a process and as an object: starts, stops, drains, and the same decisions as the library."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc
import pytest
from click.testing import CliRunner
from gateways import House, house, write_config
from test_flight import SERVICE, Raw, fails

from saffronlane.cli import main
from saffronlane.dispatch.recording import replay
from saffronlane.lab.up import write_list

ROOT = Path(__file__).parent.parent


class Process:
    """`saffronlane serve` as a user starts it."""

    def __init__(self, config: Path) -> None:
        self.child = subprocess.Popen(
            [sys.executable, "-m", "saffronlane", "serve", str(config)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.told = self.line("listening")

    def line(self, event: str) -> dict[str, Any]:
        assert self.child.stderr is not None
        for text in self.child.stderr:
            told: dict[str, Any] = json.loads(text)
            if told["event"] == event:
                return told
        raise AssertionError(f"ended without saying {event!r}")


def use(folder: Path, built: House, **changes: Any) -> Path:
    """Settings of a second gateway over the engines of a house."""
    records = [{"id": n, "address": e.address} for n, e in built.engines.items()]
    write_list(folder / "engines.json", records, 1)
    return write_config(folder, **changes)


def open_query(port: int, work: float) -> Any:
    channel = grpc.insecure_channel(f"127.0.0.1:{port}")
    raw = Raw.__new__(Raw)
    raw.channel = channel
    ticket = raw.ticket(f"SELECT 1 /* lab work={work} */")
    return raw, channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())


@pytest.fixture
def folders(tmp_path: Path) -> tuple[Path, Path]:
    inner, outer = tmp_path / "inner", tmp_path / "outer"
    inner.mkdir()
    outer.mkdir()
    return inner, outer


def test_a_term_signal_lets_what_runs_end_and_refuses_what_is_new(folders: tuple[Path, Path]) -> None:
    with house(folders[0]) as built:
        process = Process(use(folders[1], built, gateway={"grace_s": 5}))
        raw, call = open_query(process.told["port"], 0.6)
        ticket = raw.ticket("SELECT 2")
        built.until(lambda: bool(built.seen("ran")))
        process.child.send_signal(signal.SIGTERM)
        process.line("stopping")
        status = fails(grpc.StatusCode.UNAVAILABLE, "stopping", lambda: raw.many("DoGet", ticket))
        assert status.retry_after() is not None
        assert len(list(call)) == 2
        assert process.child.wait(10.0) == 0


def test_what_does_not_end_in_the_grace_gets_its_answer_all_the_same(folders: tuple[Path, Path]) -> None:
    with house(folders[0]) as built:
        process = Process(use(folders[1], built, gateway={"grace_s": 0.3}))
        _, call = open_query(process.told["port"], 60.0)
        built.until(lambda: bool(built.seen("ran")))
        began = time.monotonic()
        process.child.send_signal(signal.SIGTERM)
        status = fails(grpc.StatusCode.UNAVAILABLE, "", lambda: list(call))
        assert status.retry_after() is not None  # safe to repeat: the class is
        assert process.child.wait(10.0) == 0 and time.monotonic() - began < 3.0
        built.until(lambda: bool(built.seen("stopped")))


def test_a_second_term_signal_ends_at_once(folders: tuple[Path, Path]) -> None:
    with house(folders[0]) as built:
        process = Process(use(folders[1], built, gateway={"grace_s": 60}))
        _, call = open_query(process.told["port"], 60.0)
        built.until(lambda: bool(built.seen("ran")))
        process.child.send_signal(signal.SIGTERM)
        process.line("stopping")
        process.child.send_signal(signal.SIGTERM)
        assert process.child.wait(5.0) == 0
        with pytest.raises(grpc.RpcError):
            list(call)


def test_an_address_in_use_is_a_clear_error(folders: tuple[Path, Path]) -> None:
    with house(folders[0]) as built:
        config = use(folders[1], built, listen={"port": built.daemon.port})
        child = subprocess.run(
            [sys.executable, "-m", "saffronlane", "serve", str(config)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
        assert child.returncode == 2 and "/listen" in child.stderr and "Traceback" not in child.stderr


def test_a_gateway_without_a_list_refuses_and_goes_on_when_it_comes(folders: tuple[Path, Path]) -> None:
    with house(folders[0]) as built:
        config = write_config(
            folders[1], classes=[{"name": "lookup", "aim_s": 0.2, "deadline_s": 0.5}], matchers=[]
        )
        process = Process(config)
        raw = Raw.__new__(Raw)
        raw.channel = grpc.insecure_channel(f"127.0.0.1:{process.told['port']}")
        ticket = raw.ticket("SELECT 1")
        fails(grpc.StatusCode.UNAVAILABLE, "in time", lambda: raw.many("DoGet", ticket))
        use(folders[1], built, classes=[{"name": "lookup", "aim_s": 0.2, "deadline_s": 0.5}], matchers=[])
        process.line("engine list")
        assert len(raw.many("DoGet", ticket)) == 2
        process.child.send_signal(signal.SIGTERM)
        assert process.child.wait(10.0) == 0


def test_a_drained_engine_gets_nothing_new_and_a_new_one_does(tmp_path: Path) -> None:
    with house(tmp_path, engines=3) as built:
        raw = Raw(built)

        def ask(number: int) -> None:
            for n in range(number):
                raw.many("DoGet", raw.ticket(f"SELECT * FROM t{n}"))

        built.states["e2"] = "draining"
        built.call(built.publish)
        built.until(lambda: built.daemon.view.version == built.version)
        ask(20)
        assert {e["engine"] for e in built.seen("sent")} == {"e0", "e1"}
        built.states.update(e0="draining", e2="ready")
        built.call(built.publish)
        built.until(lambda: built.daemon.view.version == built.version)
        before = len(built.record)
        ask(20)
        assert {e["engine"] for e in built.record[before:] if e["kind"] == "sent"} in ({"e1", "e2"}, {"e2"})
        del built.states["e1"]
        built.call(built.publish)
        built.until(lambda: built.daemon.view.version == built.version)
        before = len(built.record)
        ask(5)
        assert {e["engine"] for e in built.record[before:] if e["kind"] == "sent"} == {"e2"}
        (tmp_path / "engines.json").write_text("")
        ask(5)


def test_the_library_makes_the_same_decisions_as_the_daemon(tmp_path: Path) -> None:
    """What a daemon fed its core is recorded and played through the library: the same effects, one by one."""
    with house(tmp_path, engines=3, note_period=0.05, record="core.record") as built:
        raw = Raw(built)
        built.call(lambda: setattr(built.engines["e0"].faults, "error", 0.5))
        built.call(lambda: setattr(built.engines["e1"].faults, "refuse", 0.5))
        for n in range(60):
            try:
                raw.many(
                    "DoGet", raw.ticket(f"SELECT * FROM t{n} /* lab work=0.0{n % 7 + 1} */"), timeout=5.0
                )
            except grpc.RpcError as error:
                assert error.code() is grpc.StatusCode.UNAVAILABLE
        built.states["e0"] = "draining"
        built.call(built.publish)
        raw.many("DoGet", raw.ticket("SELECT 1"))
    steps = list(replay(tmp_path / "core.record"))
    assert len(steps) > 100
    assert [step.recorded for step in steps] == [step.replayed for step in steps]
    text = "".join(effect for step in steps for effect in step.recorded)
    assert "Serve(" in text and "attempt=1" in text
    result = CliRunner().invoke(main, ["replay", str(tmp_path / "core.record")])
    assert result.exit_code == 0 and "all the same" in result.output
    data = bytearray((tmp_path / "core.record").read_bytes())
    at = data.rindex(b"engine=b'")  # an effect as it was recorded
    data[at + len(b"engine=b'")] ^= 1
    (tmp_path / "core.record").write_bytes(data)
    result = CliRunner().invoke(main, ["replay", str(tmp_path / "core.record")])
    assert result.exit_code == 1 and "differs" in result.output


def test_two_daemons_in_one_process_keep_apart(folders: tuple[Path, Path]) -> None:
    with house(folders[0], engines=1) as first, house(folders[1], engines=2) as second:
        for n in range(5):
            Raw(first).many("DoGet", Raw(first).ticket("SELECT 1"))
            Raw(second).many("DoGet", Raw(second).ticket(f"SELECT * FROM t{n}"))
        assert len(first.seen("ran")) == len(second.seen("ran")) == 5
        assert first.daemon.dispatcher.gateway is not second.daemon.dispatcher.gateway
        assert sum(k.answer_count for k in first.daemon.dispatcher.gateway.workload_estimates.estimators) == 5


def test_log_lines_tell_request_attempt_and_engine(folders: tuple[Path, Path]) -> None:
    with house(folders[0], engines=1) as built:
        config = use(folders[1], built)
        child = subprocess.Popen(
            [sys.executable, "-m", "saffronlane", "--log-level", "debug", "serve", str(config)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert child.stderr is not None
        lines: list[dict[str, Any]] = []
        for text in child.stderr:
            lines.append(json.loads(text))
            if lines[-1]["event"] == "listening":
                _, call = open_query(lines[-1]["port"], 0.01)
                assert len(list(call)) == 2
                child.send_signal(signal.SIGTERM)
        assert child.wait(10.0) == 0
        by_event = {line["event"]: line for line in lines}
        assert by_event["attempt ended"]["engine"] == "e0" and by_event["attempt ended"]["attempt"] == 0
        assert by_event["request answered"]["request"] == by_event["request"]["request"] == 1


def test_lab_up_says_where_it_is_and_ends_on_a_signal() -> None:
    child = subprocess.Popen(
        [sys.executable, "-m", "saffronlane", "lab", "up", "--engines", "2"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert child.stdout is not None
    told = json.loads(child.stdout.readline())
    assert re.fullmatch(r"grpc://127\.0\.0\.1:\d+", told["flight_sql"])
    assert len(told["engines"]) == 2 and told["pid"]["gateway-0"] != told["pid"]["lab"] == child.pid
    raw = Raw.__new__(Raw)
    raw.channel = grpc.insecure_channel(told["flight_sql"].removeprefix("grpc://"))
    assert len(raw.many("DoGet", raw.ticket("SELECT 1"))) == 2
    child.send_signal(signal.SIGINT)
    assert child.wait(20.0) == 0


def test_a_lab_engine_serves_alone(tmp_path: Path) -> None:
    path = tmp_path / "engine.json"
    path.write_text('{"id": "solo", "cores": 2}')
    child = subprocess.Popen(
        [sys.executable, "-m", "saffronlane", "lab", "engine", str(path)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert child.stdout is not None
    told = json.loads(child.stdout.readline())
    raw = Raw.__new__(Raw)
    raw.channel = grpc.insecure_channel(told["address"])
    assert told["id"] == "solo" and len(raw.many("DoGet", raw.ticket("SELECT 1"))) == 2
    child.send_signal(signal.SIGTERM)
    assert child.wait(10.0) == 0
    path.write_text('{"colour": 1}')
    result = CliRunner().invoke(main, ["lab", "engine", str(path)])
    assert result.exit_code == 2 and "/colour" in result.output


def test_the_lab_is_not_loaded_by_the_daemon() -> None:
    """The core installs without the lab's extras."""
    code = (
        "import sys, saffronlane.daemon, saffronlane.cli\n"
        "bad = [m for m in ('pyarrow', 'numpy', 'saffronlane.lab') if m in sys.modules]\n"
        "assert not bad, bad"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True, timeout=30)


def test_peers_tell_each_other(tmp_path: Path) -> None:
    from saffronlane.config import parse_config
    from saffronlane.gossip_transport import GossipTransport
    from saffronlane.lab.up import DEFAULT_SETTINGS

    def free() -> int:
        import socket

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            return int(probe.getsockname()[1])

    addresses = [f"127.0.0.1:{free()}" for _ in range(3)]
    heard: list[list[tuple[int, bytes]]] = [[], [], []]

    def peers(position: int) -> GossipTransport:
        raw = DEFAULT_SETTINGS | {
            "listen": {"port": 0},
            "engines": {"file": "e"},
            "gateway": {"count": 3, "position": position},
            "limits": {"peers": True},
            "peers": {"listen": addresses[position], "addresses": addresses},
        }
        config = parse_config(raw, "x", tmp_path)
        assert config.peer_listen is not None
        return GossipTransport(
            config.peer_listen,
            config.peer_addresses,
            position,
            lambda sender, data: heard[position].append((sender, data)),
        )

    async def work() -> None:
        three = [peers(n) for n in range(3)]
        for one in three:
            one.start()
        await asyncio.sleep(0.05)
        three[0].send(None, b"to all")
        three[1].send(2, b"to one")
        three[1].send(2, b"x" * 257)
        stranger, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )
        host, port = addresses[2].rsplit(":", 1)
        stranger.sendto(b"from nobody", (host, int(port)))
        await _until(lambda: len(heard[2]) == 2)
        await asyncio.sleep(0.02)
        stranger.close()
        for one in three:
            one.close()

    asyncio.run(asyncio.wait_for(work(), 10.0))
    assert heard == [[], [(0, b"to all")], [(0, b"to all"), (1, b"to one")]]


def test_what_many_peers_tell_wakes_a_gateway_once_in_a_while() -> None:
    """Guards against a wake for each message: hundreds of gateways tell hundreds of them a second."""
    import socket

    from saffronlane import gossip_transport as peers

    async def work() -> None:
        heard: list[bytes] = []
        after_one_turn: list[int] = []
        loop = asyncio.get_running_loop()

        def on_message(sender: int, data: bytes) -> None:
            if not heard:
                loop.call_soon(lambda: after_one_turn.append(len(heard)))
            heard.append(data)

        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as told,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe,
        ):
            told.bind(("127.0.0.1", 0))
            probe.bind(("127.0.0.1", 0))
            listen = probe.getsockname()
            probe.close()
            one = peers.GossipTransport(listen, (listen, told.getsockname()), 0, on_message)
            one.start()
            for n in range(100):
                told.sendto(b"%d" % n, listen)
            await _until(lambda: len(heard) == 100)
            assert after_one_turn == [100]
            told.sendto(b"more", listen)  # and it goes on listening
            await _until(lambda: len(heard) == 101)
            one.close()
            one.close()

    asyncio.run(asyncio.wait_for(work(), 10.0))


def test_an_address_for_peers_that_is_taken_does_not_end_the_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A gateway that starts anew may find it taken for a moment; it serves, and listens when it can."""
    import socket

    from saffronlane import gossip_transport as peers

    monkeypatch.setattr(peers, "LISTEN_RETRY_INTERVAL", 0.02)

    async def work() -> None:
        heard: list[bytes] = []
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as told,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder,
        ):
            told.bind(("127.0.0.1", 0))
            holder.bind(("127.0.0.1", 0))
            listen = holder.getsockname()
            addresses = (listen, told.getsockname())
            one = peers.GossipTransport(listen, addresses, 0, lambda sender, data: heard.append(data))
            one.start()
            one.send(None, b"nobody")
            holder.close()
            await _until(lambda: one._socket is not None)
            told.sendto(b"now", listen)
            await _until(lambda: heard == [b"now"])
            one.close()

    asyncio.run(asyncio.wait_for(work(), 10.0))


def test_peers_are_heard_again_after_no_descriptor_was_left_or_a_message_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without a descriptor the start failed, and a fault in one message ended the reading for good."""
    import errno
    import socket

    from saffronlane import gossip_transport as peers

    monkeypatch.setattr(peers, "LISTEN_RETRY_INTERVAL", 0.02)
    real, heard, tries = socket.socket, [], []

    def none(*args: object) -> socket.socket:
        tries.append(args)
        raise OSError(errno.EMFILE, "Too many open files")

    def on_message(sender: int, data: bytes) -> None:
        heard.append(data)
        if data == b"bad":
            raise RuntimeError("a fault")

    async def work() -> None:
        with real(socket.AF_INET, socket.SOCK_DGRAM) as told, real(socket.AF_INET, socket.SOCK_DGRAM) as free:
            told.bind(("127.0.0.1", 0))
            free.bind(("127.0.0.1", 0))
            listen = free.getsockname()
            free.close()
            one = peers.GossipTransport(listen, (listen, told.getsockname()), 0, on_message)
            monkeypatch.setattr(socket, "socket", none)
            one.start()
            await _until(lambda: len(tries) > 1)
            monkeypatch.setattr(socket, "socket", real)
            await _until(lambda: one._socket is not None)
            for data in (b"bad", b"good"):
                told.sendto(data, listen)
                await _until(lambda data=data: data in heard)  # type: ignore[misc]
            one.close()

    asyncio.run(asyncio.wait_for(work(), 10.0))


async def _until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0.005)


def test_without_the_labs_extra_the_lab_says_what_is_missing() -> None:
    """It was a bare traceback."""
    code = (
        "import sys\n"
        "sys.modules['numpy'] = None\n"
        "sys.argv = ['saffronlane', 'lab', 'day', 'whole-path']\n"
        "from saffronlane.cli import main\n"
        "main()"
    )
    child = subprocess.run(
        [sys.executable, "-c", code], check=False, cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    assert child.returncode == 2 and "saffronlane[lab]" in child.stderr
    assert "Traceback" not in child.stderr
