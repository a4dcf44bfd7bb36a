"""The gateway process: start, drain, stop, engine lists, recording and gossip. Also the lab commands."""

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
from gateways import GatewayHarness, running_harness, write_config
from test_flight import SERVICE, GrpcClient, assert_fails

from saffronlane.cli import main
from saffronlane.dispatch.recording import replay
from saffronlane.lab.up import write_list

ROOT = Path(__file__).parent.parent


class GatewayProcess:
    """A gateway started by `saffronlane serve`. The constructor returns when the gateway listens."""

    def __init__(self, config: Path) -> None:
        self.child = subprocess.Popen(
            [sys.executable, "-m", "saffronlane", "serve", str(config)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.listening = self.wait_for_log("listening")

    def wait_for_log(self, event: str) -> dict[str, Any]:
        """Read the log up to an event, and return the event."""
        assert self.child.stderr is not None
        for line in self.child.stderr:
            record: dict[str, Any] = json.loads(line)
            if record["event"] == event:
                return record
        raise AssertionError(f"the gateway has ended without logging {event!r}")


def write_config_with_engines(directory: Path, harness: GatewayHarness, **changes: Any) -> Path:
    """Write settings and engine list of a gateway that uses the engines of a harness."""
    entries = [{"id": name, "address": engine.address} for name, engine in harness.engines.items()]
    write_list(directory / "engines.json", entries, 1)
    return write_config(directory, **changes)


def start_query(port: int, work: float) -> Any:
    """Start a query with an amount of work in seconds, and return the client and the call."""
    channel = grpc.insecure_channel(f"127.0.0.1:{port}")
    client = GrpcClient.__new__(GrpcClient)
    client.channel = channel
    ticket = client.get_ticket(f"SELECT 1 /* lab work={work} */")
    return client, channel.unary_stream(SERVICE + "DoGet")(ticket.SerializeToString())


@pytest.fixture
def directories(tmp_path: Path) -> tuple[Path, Path]:
    first, second = tmp_path / "first", tmp_path / "second"
    first.mkdir()
    second.mkdir()
    return first, second


def test_sigterm_rejects_new_queries_and_lets_running_ones_end(directories: tuple[Path, Path]) -> None:
    with running_harness(directories[0]) as harness:
        process = GatewayProcess(write_config_with_engines(directories[1], harness, gateway={"grace_s": 5}))
        client, call = start_query(process.listening["port"], 0.6)
        ticket = client.get_ticket("SELECT 2")
        harness.wait_until(lambda: bool(harness.events_of_kind("ran")))
        process.child.send_signal(signal.SIGTERM)
        process.wait_for_log("stopping")
        status = assert_fails(
            grpc.StatusCode.UNAVAILABLE, "stopping", lambda: client.call_stream("DoGet", ticket)
        )
        assert status.retry_after() is not None
        assert len(list(call)) == 2
        assert process.child.wait(10.0) == 0


def test_query_that_outlives_the_grace_period_is_answered_with_an_error(
    directories: tuple[Path, Path],
) -> None:
    with running_harness(directories[0]) as harness:
        process = GatewayProcess(write_config_with_engines(directories[1], harness, gateway={"grace_s": 0.3}))
        _, call = start_query(process.listening["port"], 60.0)
        harness.wait_until(lambda: bool(harness.events_of_kind("ran")))
        started_at = time.monotonic()
        process.child.send_signal(signal.SIGTERM)
        status = assert_fails(grpc.StatusCode.UNAVAILABLE, "", lambda: list(call))
        assert status.retry_after() is not None  # the query may be retried, because its class is safe
        assert process.child.wait(10.0) == 0 and time.monotonic() - started_at < 3.0
        harness.wait_until(lambda: bool(harness.events_of_kind("stopped")))


def test_second_sigterm_stops_the_gateway_at_once(directories: tuple[Path, Path]) -> None:
    with running_harness(directories[0]) as harness:
        process = GatewayProcess(write_config_with_engines(directories[1], harness, gateway={"grace_s": 60}))
        _, call = start_query(process.listening["port"], 60.0)
        harness.wait_until(lambda: bool(harness.events_of_kind("ran")))
        process.child.send_signal(signal.SIGTERM)
        process.wait_for_log("stopping")
        process.child.send_signal(signal.SIGTERM)
        assert process.child.wait(5.0) == 0
        with pytest.raises(grpc.RpcError):
            list(call)


def test_address_in_use_is_reported_without_a_traceback(directories: tuple[Path, Path]) -> None:
    with running_harness(directories[0]) as harness:
        config = write_config_with_engines(directories[1], harness, listen={"port": harness.daemon.port})
        child = subprocess.run(
            [sys.executable, "-m", "saffronlane", "serve", str(config)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
        assert child.returncode == 2 and "/listen" in child.stderr and "Traceback" not in child.stderr


def test_gateway_without_engine_list_rejects_queries_until_a_list_is_written(
    directories: tuple[Path, Path],
) -> None:
    with running_harness(directories[0]) as harness:
        config = write_config(
            directories[1], classes=[{"name": "lookup", "aim_s": 0.2, "deadline_s": 0.5}], matchers=[]
        )
        process = GatewayProcess(config)
        client = GrpcClient.__new__(GrpcClient)
        client.channel = grpc.insecure_channel(f"127.0.0.1:{process.listening['port']}")
        ticket = client.get_ticket("SELECT 1")
        assert_fails(grpc.StatusCode.UNAVAILABLE, "in time", lambda: client.call_stream("DoGet", ticket))
        write_config_with_engines(
            directories[1],
            harness,
            classes=[{"name": "lookup", "aim_s": 0.2, "deadline_s": 0.5}],
            matchers=[],
        )
        process.wait_for_log("engine list updated")
        assert len(client.call_stream("DoGet", ticket)) == 2
        process.child.send_signal(signal.SIGTERM)
        assert process.child.wait(10.0) == 0


def test_draining_and_removed_engines_get_no_new_queries_and_added_ones_do(tmp_path: Path) -> None:
    with running_harness(tmp_path, engines=3) as harness:
        client = GrpcClient(harness)

        def run_queries(count: int) -> None:
            for number in range(count):
                client.call_stream("DoGet", client.get_ticket(f"SELECT * FROM t{number}"))

        harness.engine_states["e2"] = "draining"
        harness.call_in_loop(harness.publish_list)
        harness.wait_until(lambda: harness.daemon.engine_list_view.version == harness.list_version)
        run_queries(20)
        assert {event["engine"] for event in harness.events_of_kind("sent")} == {"e0", "e1"}
        harness.engine_states.update(e0="draining", e2="ready")
        harness.call_in_loop(harness.publish_list)
        harness.wait_until(lambda: harness.daemon.engine_list_view.version == harness.list_version)
        event_count = len(harness.events)
        run_queries(20)
        assert {event["engine"] for event in harness.events[event_count:] if event["kind"] == "sent"} in (
            {"e1", "e2"},
            {"e2"},
        )
        del harness.engine_states["e1"]
        harness.call_in_loop(harness.publish_list)
        harness.wait_until(lambda: harness.daemon.engine_list_view.version == harness.list_version)
        event_count = len(harness.events)
        run_queries(5)
        assert {event["engine"] for event in harness.events[event_count:] if event["kind"] == "sent"} == {
            "e2"
        }
        # An invalid list is ignored, and the last valid list remains in use.
        (tmp_path / "engines.json").write_text("")
        run_queries(5)


def test_replay_of_a_recording_makes_the_same_decisions_as_the_gateway(tmp_path: Path) -> None:
    """The recorded inputs of a gateway's dispatcher are replayed, and all effects are compared."""
    with running_harness(tmp_path, engines=3, note_period=0.05, record="core.record") as harness:
        client = GrpcClient(harness)
        harness.call_in_loop(lambda: setattr(harness.engines["e0"].faults, "error", 0.5))
        harness.call_in_loop(lambda: setattr(harness.engines["e1"].faults, "refuse", 0.5))
        for number in range(60):
            try:
                client.call_stream(
                    "DoGet",
                    client.get_ticket(f"SELECT * FROM t{number} /* lab work=0.0{number % 7 + 1} */"),
                    timeout=5.0,
                )
            except grpc.RpcError as error:
                assert error.code() is grpc.StatusCode.UNAVAILABLE
        harness.engine_states["e0"] = "draining"
        harness.call_in_loop(harness.publish_list)
        client.call_stream("DoGet", client.get_ticket("SELECT 1"))
    steps = list(replay(tmp_path / "core.record"))
    assert len(steps) > 100
    assert [step.recorded for step in steps] == [step.replayed for step in steps]
    text = "".join(effect for step in steps for effect in step.recorded)
    assert "Serve(" in text and "attempt=1" in text
    result = CliRunner().invoke(main, ["replay", str(tmp_path / "core.record")])
    assert result.exit_code == 0 and "all the same" in result.output
    data = bytearray((tmp_path / "core.record").read_bytes())
    # The changed engine id in a recorded effect must be reported as a difference.
    offset = data.rindex(b"engine=b'")
    data[offset + len(b"engine=b'")] ^= 1
    (tmp_path / "core.record").write_bytes(data)
    result = CliRunner().invoke(main, ["replay", str(tmp_path / "core.record")])
    assert result.exit_code == 1 and "differs" in result.output


def test_two_gateways_in_one_process_share_no_state(directories: tuple[Path, Path]) -> None:
    with (
        running_harness(directories[0], engines=1) as first,
        running_harness(directories[1], engines=2) as second,
    ):
        for number in range(5):
            GrpcClient(first).call_stream("DoGet", GrpcClient(first).get_ticket("SELECT 1"))
            GrpcClient(second).call_stream("DoGet", GrpcClient(second).get_ticket(f"SELECT * FROM t{number}"))
        assert len(first.events_of_kind("ran")) == len(second.events_of_kind("ran")) == 5
        assert first.daemon.dispatcher.gateway is not second.daemon.dispatcher.gateway
        assert (
            sum(
                estimator.answer_count
                for estimator in first.daemon.dispatcher.gateway.workload_estimates.estimators
            )
            == 5
        )


def test_log_lines_name_request_attempt_and_engine(directories: tuple[Path, Path]) -> None:
    with running_harness(directories[0], engines=1) as harness:
        config = write_config_with_engines(directories[1], harness)
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
                _, call = start_query(lines[-1]["port"], 0.01)
                assert len(list(call)) == 2
                child.send_signal(signal.SIGTERM)
        assert child.wait(10.0) == 0
        by_event = {line["event"]: line for line in lines}
        assert by_event["attempt ended"]["engine"] == "e0" and by_event["attempt ended"]["attempt"] == 0
        assert by_event["request answered"]["request"] == by_event["request submitted"]["request"] == 1


def test_lab_up_prints_its_addresses_and_ends_on_a_signal() -> None:
    child = subprocess.Popen(
        [sys.executable, "-m", "saffronlane", "lab", "up", "--engines", "2"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert child.stdout is not None
    startup_report = json.loads(child.stdout.readline())
    assert re.fullmatch(r"grpc://127\.0\.0\.1:\d+", startup_report["flight_sql"])
    assert (
        len(startup_report["engines"]) == 2
        and startup_report["pid"]["gateway-0"] != startup_report["pid"]["lab"] == child.pid
    )
    client = GrpcClient.__new__(GrpcClient)
    client.channel = grpc.insecure_channel(startup_report["flight_sql"].removeprefix("grpc://"))
    assert len(client.call_stream("DoGet", client.get_ticket("SELECT 1"))) == 2
    child.send_signal(signal.SIGINT)
    assert child.wait(20.0) == 0


def test_lab_engine_serves_queries_without_a_gateway(tmp_path: Path) -> None:
    path = tmp_path / "engine.json"
    path.write_text('{"id": "solo", "cores": 2}')
    child = subprocess.Popen(
        [sys.executable, "-m", "saffronlane", "lab", "engine", str(path)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert child.stdout is not None
    startup_report = json.loads(child.stdout.readline())
    client = GrpcClient.__new__(GrpcClient)
    client.channel = grpc.insecure_channel(startup_report["address"])
    assert (
        startup_report["id"] == "solo"
        and len(client.call_stream("DoGet", client.get_ticket("SELECT 1"))) == 2
    )
    child.send_signal(signal.SIGTERM)
    assert child.wait(10.0) == 0
    path.write_text('{"colour": 1}')
    result = CliRunner().invoke(main, ["lab", "engine", str(path)])
    assert result.exit_code == 2 and "/colour" in result.output


def test_gateway_imports_neither_the_lab_nor_its_dependencies() -> None:
    """The gateway is installed without the optional dependencies of the lab."""
    code = (
        "import sys, saffronlane.daemon, saffronlane.cli\n"
        "loaded = [m for m in ('pyarrow', 'numpy', 'saffronlane.lab') if m in sys.modules]\n"
        "assert not loaded, loaded"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True, timeout=30)


def test_gossip_reaches_the_addressed_peers_only(tmp_path: Path) -> None:
    from saffronlane.config import parse_config
    from saffronlane.gossip_transport import GossipTransport
    from saffronlane.lab.up import DEFAULT_SETTINGS

    def free_port() -> int:
        import socket

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe_socket:
            probe_socket.bind(("127.0.0.1", 0))
            return int(probe_socket.getsockname()[1])

    addresses = [f"127.0.0.1:{free_port()}" for _ in range(3)]
    received: list[list[tuple[int, bytes]]] = [[], [], []]

    def make_transport(position: int) -> GossipTransport:
        settings = DEFAULT_SETTINGS | {
            "listen": {"port": 0},
            "engines": {"file": "e"},
            "gateway": {"count": 3, "position": position},
            "limits": {"peers": True},
            "peers": {"listen": addresses[position], "addresses": addresses},
        }
        config = parse_config(settings, "x", tmp_path)
        assert config.peer_listen is not None
        return GossipTransport(
            config.peer_listen,
            config.peer_addresses,
            position,
            lambda sender, data: received[position].append((sender, data)),
        )

    async def scenario() -> None:
        transports = [make_transport(position) for position in range(3)]
        for transport in transports:
            transport.start()
        await asyncio.sleep(0.05)
        transports[0].send(None, b"to all")
        transports[1].send(2, b"to one")
        transports[1].send(2, b"x" * 257)
        unknown_sender, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )
        host, port = addresses[2].rsplit(":", 1)
        unknown_sender.sendto(b"from nobody", (host, int(port)))
        await _wait_until(lambda: len(received[2]) == 2)
        await asyncio.sleep(0.02)
        unknown_sender.close()
        for transport in transports:
            transport.close()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))
    assert received == [[], [(0, b"to all")], [(0, b"to all"), (1, b"to one")]]


def test_many_gossip_messages_wake_the_gateway_once() -> None:
    """Guards against a wake-up per datagram. Hundreds of gateways send hundreds of datagrams per second."""
    import socket

    from saffronlane import gossip_transport

    async def scenario() -> None:
        received: list[bytes] = []
        counts_after_one_turn: list[int] = []
        loop = asyncio.get_running_loop()

        def on_message(sender: int, data: bytes) -> None:
            if not received:
                loop.call_soon(lambda: counts_after_one_turn.append(len(received)))
            received.append(data)

        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender_socket,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe_socket,
        ):
            sender_socket.bind(("127.0.0.1", 0))
            probe_socket.bind(("127.0.0.1", 0))
            listen = probe_socket.getsockname()
            probe_socket.close()
            transport = gossip_transport.GossipTransport(
                listen, (listen, sender_socket.getsockname()), 0, on_message
            )
            transport.start()
            for number in range(100):
                sender_socket.sendto(b"%d" % number, listen)
            await _wait_until(lambda: len(received) == 100)
            assert counts_after_one_turn == [100]
            sender_socket.sendto(b"more", listen)  # later datagrams are received too
            await _wait_until(lambda: len(received) == 101)
            transport.close()
            transport.close()  # a second close has no effect

    asyncio.run(asyncio.wait_for(scenario(), 10.0))


def test_gossip_address_in_use_is_retried_until_it_is_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a restart the address may be in use for a moment. The gateway starts without gossip meanwhile."""
    import socket

    from saffronlane import gossip_transport

    monkeypatch.setattr(gossip_transport, "LISTEN_RETRY_INTERVAL", 0.02)

    async def scenario() -> None:
        received: list[bytes] = []
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender_socket,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other_socket,
        ):
            sender_socket.bind(("127.0.0.1", 0))
            other_socket.bind(("127.0.0.1", 0))
            listen = other_socket.getsockname()
            addresses = (listen, sender_socket.getsockname())
            transport = gossip_transport.GossipTransport(
                listen, addresses, 0, lambda sender, data: received.append(data)
            )
            transport.start()
            transport.send(None, b"nobody")
            other_socket.close()
            await _wait_until(lambda: transport._socket is not None)
            sender_socket.sendto(b"now", listen)
            await _wait_until(lambda: received == [b"now"])
            transport.close()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))


def test_gossip_is_received_after_descriptor_exhaustion_and_after_a_failed_message(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two faults: a gateway that cannot start while no file descriptor is free, and a message
    handler whose exception stops the reception of later messages.
    """
    import errno
    import socket

    from saffronlane import gossip_transport

    monkeypatch.setattr(gossip_transport, "LISTEN_RETRY_INTERVAL", 0.02)
    real_socket, received, attempts = socket.socket, [], []

    def fail_to_open(*args: object) -> socket.socket:
        attempts.append(args)
        raise OSError(errno.EMFILE, "Too many open files")

    def on_message(sender: int, data: bytes) -> None:
        received.append(data)
        if data == b"bad":
            raise RuntimeError("message handler failed")

    async def scenario() -> None:
        with (
            real_socket(socket.AF_INET, socket.SOCK_DGRAM) as sender_socket,
            real_socket(socket.AF_INET, socket.SOCK_DGRAM) as probe_socket,
        ):
            sender_socket.bind(("127.0.0.1", 0))
            probe_socket.bind(("127.0.0.1", 0))
            listen = probe_socket.getsockname()
            probe_socket.close()
            transport = gossip_transport.GossipTransport(
                listen, (listen, sender_socket.getsockname()), 0, on_message
            )
            monkeypatch.setattr(socket, "socket", fail_to_open)
            transport.start()
            await _wait_until(lambda: len(attempts) > 1)
            monkeypatch.setattr(socket, "socket", real_socket)
            await _wait_until(lambda: transport._socket is not None)
            for data in (b"bad", b"good"):
                sender_socket.sendto(data, listen)
                await _wait_until(lambda data=data: data in received)  # type: ignore[misc]
            transport.close()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


def test_lab_command_without_its_dependencies_names_what_to_install() -> None:
    """Guards against a bare traceback of the failed import."""
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
