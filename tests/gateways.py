"""A daemon and stand-in engines on a loop of their own thread, for clients that block."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TypeVar

from saffronlane.config import parse_config
from saffronlane.daemon import Daemon
from saffronlane.lab.engine import EngineConfig, StandInEngine
from saffronlane.lab.model import EngineShape
from saffronlane.lab.up import DEFAULT_SETTINGS, write_list

T = TypeVar("T")


class House:
    """Everything between a client and its engines, in one process."""

    def __init__(self, folder: Path, engines: int, changes: dict[str, Any], note_period: float) -> None:
        self.folder = folder
        self.raw = (
            DEFAULT_SETTINGS
            | {"listen": {"port": 0}, "engines": {"file": "engines.json", "poll_s": 0.02}}
            | changes
        )
        self.record: list[dict[str, Any]] = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.states = {f"e{n}": "ready" for n in range(engines)}
        self.engines: dict[str, StandInEngine] = {}
        self.version = 0
        self.daemon = self.call(lambda: self._start(note_period))

    def _start(self, note_period: float) -> Daemon:
        for number, name in enumerate(self.states):
            config = EngineConfig(name, EngineShape(), note_period=note_period, seed=number)
            self.engines[name] = StandInEngine(config, self.record.append)
            self.engines[name].start()
        self.publish()
        daemon = Daemon(parse_config(self.raw, "test", self.folder))
        daemon.start()
        return daemon

    def publish(self) -> None:
        self.version += 1
        records = [
            {"id": name, "address": self.engines[name].address, "state": state}
            for name, state in self.states.items()
        ]
        write_list(self.folder / "engines.json", records, self.version)

    def call(self, work: Callable[[], T]) -> T:
        """Run something on the loop's thread."""

        async def inside() -> T:
            return work()

        return asyncio.run_coroutine_threadsafe(inside(), self.loop).result(20.0)

    def wait(self, work: Any, timeout: float = 20.0) -> Any:
        """Run a coroutine on the loop's thread."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(timeout)

    def seen(self, kind: str) -> list[dict[str, Any]]:
        return [e for e in self.record if e["kind"] == kind]

    def until(self, true: Callable[[], bool], timeout: float = 10.0) -> None:
        """Wait for something to become true on the loop's thread."""

        async def watch() -> None:
            async with asyncio.timeout(timeout):
                while not true():
                    await asyncio.sleep(0.005)

        self.wait(watch(), timeout + 1.0)

    @property
    def url(self) -> str:
        return f"grpc://127.0.0.1:{self.daemon.port}"

    def close(self) -> None:
        def end() -> None:
            self.daemon._close()
            for engine in self.engines.values():
                engine.crash()

        self.call(end)

        async def rest() -> None:
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

        self.wait(rest())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5.0)
        self.loop.close()


@contextmanager
def house(folder: Path, engines: int = 2, note_period: float = 0.0, **changes: Any) -> Iterator[House]:
    built = House(folder, engines, changes, note_period)
    try:
        yield built
    finally:
        built.close()


def write_config(folder: Path, **changes: Any) -> Path:
    raw = DEFAULT_SETTINGS | {"listen": {"port": 0}, "engines": {"file": "engines.json"}} | changes
    path = folder / "gateway.json"
    path.write_text(json.dumps(raw))
    return path
