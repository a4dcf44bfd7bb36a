"""A gateway and stand-in engines on an event loop in a separate thread, for tests with blocking clients."""

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


class GatewayHarness:
    """Runs a gateway and its engines in this process.

    Args:
        directory: The directory of the engine list and of relative paths in the settings.
        engines: The number of engines.
        changes: Top-level settings that replace those of `DEFAULT_SETTINGS`.
        note_period: The interval between progress reports of the engines in seconds, or 0 for none.
    """

    def __init__(self, directory: Path, engines: int, changes: dict[str, Any], note_period: float) -> None:
        self.directory = directory
        self.settings = (
            DEFAULT_SETTINGS
            | {"listen": {"port": 0}, "engines": {"file": "engines.json", "poll_s": 0.02}}
            | changes
        )
        self.events: list[dict[str, Any]] = []  # recorded by the engines
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.engine_states = {f"e{number}": "ready" for number in range(engines)}
        self.engines: dict[str, StandInEngine] = {}
        self.list_version = 0
        self.daemon = self.call_in_loop(lambda: self._start(note_period))

    def _start(self, note_period: float) -> Daemon:
        for number, name in enumerate(self.engine_states):
            config = EngineConfig(name, EngineShape(), note_period=note_period, seed=number)
            self.engines[name] = StandInEngine(config, self.events.append)
            self.engines[name].start()
        self.publish_list()
        daemon = Daemon(parse_config(self.settings, "test", self.directory))
        daemon.start()
        return daemon

    def publish_list(self) -> None:
        """Write the engine list with the states of `engine_states`."""
        self.list_version += 1
        entries = [
            {"id": name, "address": self.engines[name].address, "state": state}
            for name, state in self.engine_states.items()
        ]
        write_list(self.directory / "engines.json", entries, self.list_version)

    def call_in_loop(self, function: Callable[[], T]) -> T:
        """Call a function on the event loop's thread and return its result."""

        async def call() -> T:
            return function()

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(20.0)

    def run_coroutine(self, coroutine: Any, timeout: float = 20.0) -> Any:
        """Run a coroutine on the event loop's thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)

    def events_of_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return the events of one kind that the engines have recorded.

        The engines record "sent" when a query arrives, "ran" when it starts to run, "stopped" when it is
        cancelled while it runs, "lost" when a fault withholds its answer, and "answered" when its result has
        been sent.
        """
        return [event for event in self.events if event["kind"] == kind]

    def wait_until(self, condition: Callable[[], bool], timeout: float = 10.0) -> None:
        """Wait until a condition, which is evaluated on the event loop's thread, is true."""

        async def poll() -> None:
            async with asyncio.timeout(timeout):
                while not condition():
                    await asyncio.sleep(0.005)

        self.run_coroutine(poll(), timeout + 1.0)

    @property
    def url(self) -> str:
        """The URL of the gateway for Flight SQL clients."""
        return f"grpc://127.0.0.1:{self.daemon.port}"

    def close(self) -> None:
        """Stop the gateway, the engines and the event loop at once."""

        def stop() -> None:
            self.daemon._close()
            for engine in self.engines.values():
                engine.crash()

        self.call_in_loop(stop)

        async def cancel_tasks() -> None:
            other_tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in other_tasks:
                task.cancel()
            await asyncio.gather(*other_tasks, return_exceptions=True)

        self.run_coroutine(cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5.0)
        self.loop.close()


@contextmanager
def running_harness(
    directory: Path, engines: int = 2, note_period: float = 0.0, **changes: Any
) -> Iterator[GatewayHarness]:
    """Run a gateway with engines until the end of the `with` block."""
    harness = GatewayHarness(directory, engines, changes, note_period)
    try:
        yield harness
    finally:
        harness.close()


def write_config(directory: Path, **changes: Any) -> Path:
    """Write the default settings with changes, and return the path of the file."""
    settings = DEFAULT_SETTINGS | {"listen": {"port": 0}, "engines": {"file": "engines.json"}} | changes
    path = directory / "gateway.json"
    path.write_text(json.dumps(settings))
    return path
