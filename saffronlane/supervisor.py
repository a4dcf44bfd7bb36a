"""Several gateway processes behind one port, each a gateway of its own to the decisions.

The parent holds the port, starts the workers and passes signals on. A worker that dies is started again,
after a wait that grows while it keeps dying; the others go on.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path

import structlog

from .config import Config, load_config

log = structlog.get_logger()
FIRST_WAIT, MOST_WAIT = 0.2, 10.0  # seconds until a dead worker is started again; doubled while it dies young
YOUNG = 30.0


def as_worker(config: Config, number: int, port: int) -> Config:
    """The settings of one worker: a place of its own among the gateways, and the shared port."""
    settings = replace(config.settings, gateway_index=config.settings.gateway_index + number)
    seed = None if config.seed is None else config.seed + number
    folder = None if config.knowledge is None else config.knowledge / f"worker-{number}"
    return replace(config, settings=settings, port=port, seed=seed, knowledge=folder)


class Supervisor:
    """Keeps the workers of one settings file running until it is told to stop."""

    def __init__(self, path: Path, config: Config, log_level: str) -> None:
        self._path, self._config, self._log_level = path, config, log_level
        self._children: dict[int, asyncio.subprocess.Process] = {}
        self._stopping = asyncio.Event()
        self._holder = socket.socket(socket.AF_INET6 if ":" in config.host else socket.AF_INET)
        self.port = config.port

    async def run(self) -> None:
        """OSError where the port cannot be had. Returns when all workers have ended after a stop."""
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._holder.bind((self._config.host, self._config.port))  # held, never listened on
        self.port = self._holder.getsockname()[1]
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        try:
            await asyncio.gather(*(self._keep(n) for n in range(self._config.workers)))
        finally:
            self._holder.close()

    def stop(self) -> None:
        """Each call is passed on: the first drains, the second ends at once."""
        self._stopping.set()
        for child in self._children.values():
            if child.returncode is None:
                child.send_signal(signal.SIGTERM)

    async def _keep(self, number: int) -> None:
        wait = FIRST_WAIT
        loop = asyncio.get_running_loop()
        while not self._stopping.is_set():
            began = loop.time()
            child = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "saffronlane", "--log-level", self._log_level),
                *("serve", str(self._path), "--worker", str(number), "--port", str(self.port)),
            )
            self._children[number] = child
            if self._stopping.is_set():  # told to stop while it was being started
                child.send_signal(signal.SIGTERM)
            code = await child.wait()
            if self._stopping.is_set():
                return
            wait = FIRST_WAIT if loop.time() - began > YOUNG else wait
            log.error("worker died", worker=number, code=code, again_in=wait)
            try:
                await asyncio.wait_for(self._stopping.wait(), wait)
            except TimeoutError:
                wait = min(MOST_WAIT, wait * 2.0)


async def supervise(path: Path, log_level: str) -> None:
    """Run all workers of a settings file until SIGTERM or SIGINT."""
    await Supervisor(path, load_config(path), log_level).run()
