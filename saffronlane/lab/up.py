"""Runs stand-in engines and gateways on the loopback interface, each gateway in its own process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from .engine import EngineConfig, StandInEngine

DEFAULT_SETTINGS: dict[str, Any] = {
    "kinds": [{"name": "stand-in", "cores": 4, "memory_mb": 4096}],
    "classes": [
        {"name": "lookup", "aim_s": 1.0, "deadline_s": 5.0},
        {"name": "report", "aim_s": 4.0, "deadline_s": 20.0, "value": 5.0, "threads": 2},
        {"name": "change", "aim_s": 2.0, "deadline_s": 10.0, "effect": "unsafe"},
    ],
    "matchers": [{"kind": "write", "class": "change"}],
    "signals": {"work_told": True, "report_columns": ["active"]},
}


def write_list(path: Path, engines: list[dict[str, Any]], version: int) -> None:
    """Replace an endpoint list file atomically."""
    new_path = path.with_suffix(".new")
    new_path.write_text(json.dumps({"version": version, "engines": engines}))
    new_path.replace(path)


class GatewayProcess:
    """Runs `saffronlane serve` as a child process.

    Attributes:
        config: The gateway's settings file.
        level: The gateway's log level.
        process: The child process; None before the first start.
        port: The port on which the gateway listens; 0 before the first start.
        log_events: The first 20,000 lines of the gateway's log, decoded from JSON.
    """

    def __init__(self, config: Path, level: str = "info") -> None:
        self.config, self.level = config, level
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.log_events: list[dict[str, Any]] = []
        self._reader: asyncio.Task[None] | None = None

    async def start(self, timeout: float = 15.0) -> None:
        """Start the process, and wait until it listens.

        Raises:
            RuntimeError: The process ended before it listened. The message has its last log line.
            TimeoutError: The process did not listen within `timeout` seconds.
        """
        command = [sys.executable, "-m", "saffronlane", "--log-level", self.level, "serve", str(self.config)]
        self.process = await asyncio.create_subprocess_exec(*command, stderr=asyncio.subprocess.PIPE)
        listening_port: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._reader = asyncio.create_task(self._read_log(listening_port))
        self.port = await asyncio.wait_for(listening_port, timeout)

    async def _read_log(self, listening_port: asyncio.Future[int]) -> None:
        assert self.process is not None and self.process.stderr is not None
        last_line = ""
        async for line in self.process.stderr:
            last_line = line.decode("utf-8", "replace")
            try:
                log_event = json.loads(last_line)
            except ValueError:
                log_event = {"event": last_line.rstrip(), "level": "raw"}
            if len(self.log_events) < 20_000:
                self.log_events.append(log_event)
            if log_event.get("event") == "listening" and not listening_port.done():
                listening_port.set_result(log_event["port"])
        if not listening_port.done():
            listening_port.set_exception(
                RuntimeError(f"the gateway process ended before it listened; last log line: {last_line}")
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def end(self) -> int:
        """Stop the process with SIGTERM, or with SIGKILL after 15 seconds. Return its exit code."""
        assert self.process is not None
        self.send(signal.SIGTERM)
        try:
            exit_code = await asyncio.wait_for(self.process.wait(), 15.0)
        except TimeoutError:
            self.process.kill()
            exit_code = await self.process.wait()
        if self._reader is not None:
            await self._reader
        return exit_code


async def until_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    await stop.wait()


async def run_engine(config: EngineConfig) -> None:
    """Run one stand-in engine until SIGTERM or SIGINT.

    The first line on standard output is JSON with the engine's id, address and process id.
    """
    engine = StandInEngine(config)
    engine.start()
    print(json.dumps({"id": config.id, "address": engine.address, "pid": os.getpid()}), flush=True)
    await until_signal()
    engine.crash()


async def run_up(engines: int, gateways: int) -> None:
    """Run stand-in engines and gateways until SIGTERM or SIGINT.

    The first line on standard output is JSON with the addresses of all engines and gateways and the
    ids of all processes.
    """
    with tempfile.TemporaryDirectory(prefix="saffronlane-") as name:
        folder = Path(name)
        stand_ins = [StandInEngine(EngineConfig(f"engine-{n}", seed=n)) for n in range(engines)]
        for engine in stand_ins:
            engine.start()
        records = [{"id": e.config.id, "address": e.address} for e in stand_ins]
        write_list(folder / "engines.json", records, 1)
        processes = []
        for position in range(gateways):
            path = folder / f"gateway-{position}.json"
            gateway = {"count": gateways, "position": position}
            path.write_text(
                json.dumps(
                    DEFAULT_SETTINGS
                    | {"listen": {"port": 0}, "engines": {"file": "engines.json"}, "gateway": gateway}
                )
            )
            processes.append(GatewayProcess(path))
        await asyncio.gather(*(p.start() for p in processes))
        addresses = {
            "flight_sql": f"grpc://127.0.0.1:{processes[0].port}",
            "gateways": [f"grpc://127.0.0.1:{p.port}" for p in processes],
            "engines": [e.address for e in stand_ins],
            "pid": {
                "lab": os.getpid(),
                **{f"gateway-{n}": p.process.pid for n, p in enumerate(processes) if p.process},
            },
        }
        print(json.dumps(addresses), flush=True)
        await until_signal()
        await asyncio.gather(*(p.end() for p in processes))
        for engine in stand_ins:
            engine.crash()
