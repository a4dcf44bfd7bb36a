"""Engines and gateways on loopback, each gateway a process of its own."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from .engine import EngineConfig, StandIn

PLAIN: dict[str, Any] = {
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
    """Put a list in place in one step."""
    fresh = path.with_suffix(".new")
    fresh.write_text(json.dumps({"version": version, "engines": engines}))
    fresh.replace(path)


class GatewayProcess:
    """`saffronlane serve` as a child."""

    def __init__(self, config: Path, level: str = "info") -> None:
        self.config, self.level = config, level
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.lines: list[dict[str, Any]] = []
        self._reader: asyncio.Task[None] | None = None

    async def start(self, timeout: float = 15.0) -> None:
        """Wait until it listens. RuntimeError with its last words if it does not."""
        command = [sys.executable, "-m", "saffronlane", "--log-level", self.level, "serve", str(self.config)]
        self.process = await asyncio.create_subprocess_exec(*command, stderr=asyncio.subprocess.PIPE)
        listening: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._reader = asyncio.create_task(self._read(listening))
        self.port = await asyncio.wait_for(listening, timeout)

    async def _read(self, listening: asyncio.Future[int]) -> None:
        assert self.process is not None and self.process.stderr is not None
        last = ""
        async for line in self.process.stderr:
            last = line.decode("utf-8", "replace")
            try:
                told = json.loads(last)
            except ValueError:
                told = {"event": last.rstrip(), "level": "raw"}
            if len(self.lines) < 20_000:
                self.lines.append(told)
            if told.get("event") == "listening" and not listening.done():
                listening.set_result(told["port"])
        if not listening.done():
            listening.set_exception(RuntimeError(f"the gateway did not start: {last}"))

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> int:
        """Stop it, at once if it does not go by itself."""
        assert self.process is not None
        self.send(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(self.process.wait(), 15.0)
        except TimeoutError:
            self.process.kill()
            code = await self.process.wait()
        if self._reader is not None:
            await self._reader
        return code


async def until_signal() -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()


async def run_engine(config: EngineConfig) -> None:
    """One stand-in engine until a signal; its first line on standard output is JSON with its address."""
    engine = StandIn(config)
    engine.start()
    print(json.dumps({"id": config.id, "address": engine.address, "pid": os.getpid()}), flush=True)
    await until_signal()
    engine.crash()


async def run_up(engines: int, gateways: int) -> None:
    """All of it until a signal."""
    with tempfile.TemporaryDirectory(prefix="saffronlane-") as name:
        folder = Path(name)
        stand_ins = [StandIn(EngineConfig(f"engine-{n}", seed=n)) for n in range(engines)]
        for engine in stand_ins:
            engine.start()
        records = [{"id": e.config.id, "address": e.address} for e in stand_ins]
        write_list(folder / "engines.json", records, 1)
        processes = []
        for position in range(gateways):
            path = folder / f"gateway-{position}.json"
            place = {"count": gateways, "position": position}
            path.write_text(
                json.dumps(
                    PLAIN | {"listen": {"port": 0}, "engines": {"file": "engines.json"}, "gateway": place}
                )
            )
            processes.append(GatewayProcess(path))
        await asyncio.gather(*(p.start() for p in processes))
        told = {
            "flight_sql": f"grpc://127.0.0.1:{processes[0].port}",
            "gateways": [f"grpc://127.0.0.1:{p.port}" for p in processes],
            "engines": [e.address for e in stand_ins],
            "pid": {
                "lab": os.getpid(),
                **{f"gateway-{n}": p.process.pid for n, p in enumerate(processes) if p.process},
            },
        }
        print(json.dumps(told), flush=True)
        await until_signal()
        await asyncio.gather(*(p.end() for p in processes))
        for engine in stand_ins:
            engine.crash()
