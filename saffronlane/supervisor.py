"""Runs several gateway processes that share one port.

Each process is a separate gateway with its own position. The parent reserves the port, starts the workers and
forwards signals. A worker that exits is restarted with exponential backoff, while the other workers keep
running.
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
INITIAL_RESTART_DELAY, MAX_RESTART_DELAY = 0.2, 10.0  # seconds
STABLE_RUNTIME = 30.0  # seconds of running after which the restart delay of a worker is reset


def as_worker(config: Config, number: int, port: int) -> Config:
    """Return the configuration of one worker, with its own position, seed and state directory.

    Args:
        config: The configuration of all workers.
        number: The number of the worker, from 0.
        port: The port that the workers share.
    """
    settings = replace(config.settings, gateway_index=config.settings.gateway_index + number)
    seed = None if config.seed is None else config.seed + number
    state_directory_path = (
        None if config.state_directory_path is None else config.state_directory_path / f"worker-{number}"
    )
    return replace(config, settings=settings, port=port, seed=seed, state_directory_path=state_directory_path)


class Supervisor:
    """Starts and restarts the workers of one settings file until it is stopped.

    Args:
        path: The path of the settings file.
        config: The loaded settings.
        log_level: The log level of the workers.

    Attributes:
        port: The port that the workers share.
    """

    def __init__(self, path: Path, config: Config, log_level: str) -> None:
        self._path, self._config, self._log_level = path, config, log_level
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._stopping = asyncio.Event()
        self._port_reservation = socket.socket(socket.AF_INET6 if ":" in config.host else socket.AF_INET)
        self.port = config.port

    async def run(self) -> None:
        """Run the workers until `stop` is called, and return when all of them have exited.

        Raises:
            OSError: The port is not available.
        """
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # The socket never listens; it only reserves the port.
        self._port_reservation.bind((self._config.host, self._config.port))
        self.port = self._port_reservation.getsockname()[1]
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop)
        try:
            await asyncio.gather(*(self._run_worker(number) for number in range(self._config.workers)))
        finally:
            self._port_reservation.close()

    def stop(self) -> None:
        """Send SIGTERM to the workers. The first call drains them, the second one stops them at once."""
        self._stopping.set()
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)

    async def _run_worker(self, number: int) -> None:
        delay = INITIAL_RESTART_DELAY
        loop = asyncio.get_running_loop()
        while not self._stopping.is_set():
            started_at = loop.time()
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "saffronlane", "--log-level", self._log_level),
                *("serve", str(self._path), "--worker", str(number), "--port", str(self.port)),
            )
            self._processes[number] = process
            if self._stopping.is_set():  # the supervisor was stopped while the worker started
                process.send_signal(signal.SIGTERM)
            code = await process.wait()
            if self._stopping.is_set():
                return
            delay = INITIAL_RESTART_DELAY if loop.time() - started_at > STABLE_RUNTIME else delay
            log.error("worker exited unexpectedly", worker=number, code=code, again_in=delay)
            try:
                await asyncio.wait_for(self._stopping.wait(), delay)
            except TimeoutError:
                delay = min(MAX_RESTART_DELAY, delay * 2.0)


async def supervise(path: Path, log_level: str) -> None:
    """Run all workers of a settings file until SIGTERM or SIGINT."""
    await Supervisor(path, load_config(path), log_level).run()
