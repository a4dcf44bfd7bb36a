"""Several gateway processes that share one port."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import grpc
from gateways import running_harness, write_config
from test_flight import GrpcClient

from saffronlane.config import load_config
from saffronlane.lab.up import write_list
from saffronlane.supervisor import as_worker

ROOT = Path(__file__).parent.parent


def test_each_worker_has_its_own_gateway_index_and_seed(tmp_path: Path) -> None:
    config = load_config(write_config(tmp_path, gateway={"count": 6, "position": 2, "workers": 3, "seed": 9}))
    workers = [as_worker(config, n, 4000) for n in range(3)]
    assert [w.settings.gateway_index for w in workers] == [2, 3, 4]
    assert [w.seed for w in workers] == [9, 10, 11]
    assert {w.port for w in workers} == {4000}


def test_killed_worker_is_restarted_and_sigterm_stops_all_workers(tmp_path: Path) -> None:
    with running_harness(tmp_path, engines=1) as harness:
        supervisor_directory = tmp_path / "supervisor"
        supervisor_directory.mkdir()
        write_list(
            supervisor_directory / "engines.json",
            [{"id": "e0", "address": harness.engines["e0"].address}],
            1,
        )
        config = write_config(supervisor_directory, gateway={"count": 2, "workers": 2, "grace_s": 1})
        command = [sys.executable, "-m", "saffronlane", "serve", str(config)]
        supervisor = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
        assert supervisor.stderr is not None
        ports: list[int] = []

        def next_listening_port() -> int:
            """Return the port of the next worker that logs that it is listening."""
            assert supervisor.stderr is not None
            for line in supervisor.stderr:
                log_entry = json.loads(line)
                if log_entry["event"] == "listening":
                    ports.append(log_entry["port"])
                    return int(log_entry["port"])
            raise AssertionError("the supervisor has exited")

        assert next_listening_port() == next_listening_port()
        children = Path(f"/proc/{supervisor.pid}/task/{supervisor.pid}/children").read_text().split()
        assert len(children) == 2
        os.kill(int(children[0]), signal.SIGKILL)
        assert next_listening_port() == ports[0]  # the restarted worker uses the same port
        client = GrpcClient.__new__(GrpcClient)
        deadline = time.monotonic() + 10.0
        served_count = 0
        while served_count < 6 and time.monotonic() < deadline:
            options = [("grpc.use_local_subchannel_pool", 1)]  # a new connection for each query
            with grpc.insecure_channel(f"127.0.0.1:{ports[0]}", options) as channel:
                client.channel = channel
                served_count += len(client.call_stream("DoGet", client.get_ticket("SELECT 1"))) == 2
        assert served_count == 6
        supervisor.send_signal(signal.SIGTERM)
        assert supervisor.wait(15.0) == 0
        for child in children[1:]:
            assert not Path(f"/proc/{child}").exists()
