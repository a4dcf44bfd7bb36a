"""Several gateway processes behind one port."""

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


def test_each_worker_is_a_gateway_of_its_own(tmp_path: Path) -> None:
    config = load_config(write_config(tmp_path, gateway={"count": 6, "position": 2, "workers": 3, "seed": 9}))
    workers = [as_worker(config, n, 4000) for n in range(3)]
    assert [w.settings.gateway_index for w in workers] == [2, 3, 4]
    assert [w.seed for w in workers] == [9, 10, 11]
    assert {w.port for w in workers} == {4000}


def test_a_dead_worker_is_started_again_and_a_stop_ends_all(tmp_path: Path) -> None:
    with running_harness(tmp_path, engines=1) as built:
        outer = tmp_path / "outer"
        outer.mkdir()
        write_list(outer / "engines.json", [{"id": "e0", "address": built.engines["e0"].address}], 1)
        config = write_config(outer, gateway={"count": 2, "workers": 2, "grace_s": 1})
        command = [sys.executable, "-m", "saffronlane", "serve", str(config)]
        parent = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
        assert parent.stderr is not None
        ports: list[int] = []

        def listening() -> int:
            """The port of the next worker that says that it listens."""
            assert parent.stderr is not None
            for line in parent.stderr:
                told = json.loads(line)
                if told["event"] == "listening":
                    ports.append(told["port"])
                    return int(told["port"])
            raise AssertionError("the parent ended")

        assert listening() == listening()
        children = Path(f"/proc/{parent.pid}/task/{parent.pid}/children").read_text().split()
        assert len(children) == 2
        os.kill(int(children[0]), signal.SIGKILL)
        assert listening() == ports[0]  # on the same port
        raw = GrpcClient.__new__(GrpcClient)
        end = time.monotonic() + 10.0
        served = 0
        while served < 6 and time.monotonic() < end:
            options = [("grpc.use_local_subchannel_pool", 1)]  # a connection of its own each time
            with grpc.insecure_channel(f"127.0.0.1:{ports[0]}", options) as channel:
                raw.channel = channel
                served += len(raw.call_stream("DoGet", raw.get_ticket("SELECT 1"))) == 2
        assert served == 6
        parent.send_signal(signal.SIGTERM)
        assert parent.wait(15.0) == 0
        for child in children[1:]:
            assert not Path(f"/proc/{child}").exists()
