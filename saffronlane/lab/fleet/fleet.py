"""Runs a fleet on this machine: dispatchers as processes, everything else as stand-ins in this process."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from ...errors import SaffronlaneError
from .addresses import (
    DISPATCHER_SUBNET,
    FEED_SUBNET,
    NODE_SUBNET,
    PEER_SUBNET,
    RELAY_SUBNET,
    LoopbackNetwork,
    format_address,
)
from .clients import Clients
from .feed import Entry, Feed, list_entry
from .launch import ChildProcess, dispatcher_process
from .nodes import Node
from .record import Record
from .relays import Relay
from .shape import FleetShape, dispatcher_settings

READY_TIMEOUT_S = 60.0  # generous, because the machine may have other load


class NotReady(SaffronlaneError):
    """A dispatcher did not become ready. The message contains the end of its log."""

    remedy = "Read the dispatcher's log lines in the message; use fewer dispatchers on a loaded machine."


class Fleet:
    """The processes and stand-ins of a fleet, as an asynchronous context manager.

    Inside the context all dispatchers are ready. On exit, every process is killed, even after an error.
    """

    def __init__(self, shape: FleetShape, settings_overrides: dict[str, Any] | None = None) -> None:
        self.shape, self._settings_overrides = shape, settings_overrides or {}
        self.record, self.random = Record(), Random(f"fleet {shape.seed}")
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="saffronlane-fleet-")
        self.folder, self.network = Path(self._temporary_directory.name), LoopbackNetwork()
        self.nodes: list[Node] = []
        self.feed = Feed(self.network.address(FEED_SUBNET, 0), self._on_published)
        positions = range(shape.dispatchers)
        self.relay = Relay(
            [self.network.address(RELAY_SUBNET, n) for n in positions],
            [self.network.address(PEER_SUBNET, n) for n in positions],
            self.network.address(RELAY_SUBNET, shape.dispatchers),
            self.random,
        )
        self.processes = [
            dispatcher_process(f"d{n}", self.folder / f"d{n}.json", self.folder) for n in positions
        ]
        self.clients = [
            Clients(f"d{n}", self.network.address(DISPATCHER_SUBNET, n), self.record) for n in positions
        ]
        self._next_node = 0

    async def __aenter__(self) -> Fleet:
        self.record.start_time = self.record.clock()
        try:
            first_entries = [await self.add_node() for _ in range(self.shape.nodes)]
            self.feed.events.append(first_entries)
            await self.feed.start()
            self.relay.start()
            for number in range(self.shape.dispatchers):
                self.start(number)
            await asyncio.gather(*map(self.wait_until_ready, range(self.shape.dispatchers)))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:  # first, so that an error below leaves no process running
            process.kill()
        for clients in self.clients:
            await clients.close()
        self.relay.close()
        await self.feed.close()
        for node in self.nodes:
            await node.close()
        self.network.close()
        self._temporary_directory.cleanup()

    # --- nodes ---

    async def add_node(self, cold: bool = False) -> Entry:
        """Starts a node and returns its list entry, which the caller publishes."""
        number, self._next_node = self._next_node, self._next_node + 1
        name = f"s-{number:05d}"
        node = Node(name, self.network.address(NODE_SUBNET, number), self.shape, self.record)
        await node.start(cold)
        self.nodes.append(node)
        return list_entry(name, node.address, "up", time.time() * 1000.0 if cold else 0.0)

    def publish(self, nodes: list[Node], phase: str, is_restart: bool = False) -> None:
        """Publishes the nodes with this phase. `is_restart` means that they have just been started."""
        started_at_ms = time.time() * 1000.0 if is_restart else 0.0
        self.feed.publish([list_entry(node.name, node.address, phase, started_at_ms) for node in nodes])

    def _on_published(self, entries: list[Entry]) -> None:
        states = {"up": "ready", "draining": "draining", "removed": "gone"}
        incarnations = {node.name: node.incarnation for node in self.nodes}
        for entry in entries:
            for number in range(self.shape.dispatchers):
                self.record.add(
                    "list",
                    gateway=f"d{number}",
                    engine=entry["id"],
                    state=states[entry["phase"]],
                    incarnation=incarnations.get(entry["id"], 0),
                )

    # --- dispatchers ---

    def _config(self, number: int) -> dict[str, Any]:
        return {
            "name": f"d{number}",
            "listen": format_address(self.network.address(DISPATCHER_SUBNET, number)),
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.shape.sockets},
            "peer_listen": format_address(self.relay.listen_addresses[number]),
            "peers": [format_address(address) for address in self.relay.listed_addresses],
            "peers_all": format_address(self.relay.broadcast_address),
            "feed": format_address(self.feed.address),
            "known": self.feed.to_config(),
            "settings": dispatcher_settings(self.shape, number) | self._settings_overrides,
        }

    def start(self, number: int) -> None:
        """Starts a dispatcher without earlier state; its configuration contains the feed's events so far."""
        path = self.folder / f"d{number}.json"
        path.write_text(json.dumps(self._config(number)))
        self.processes[number].start()
        self.record.add("started", gateway=f"d{number}")

    async def wait_until_ready(self, number: int) -> None:
        """Waits until the dispatcher is ready.

        Raises:
            NotReady: If the dispatcher does not become ready in time. The message has the end of its log.
        """
        try:
            await self.clients[number].wait_until_ready(READY_TIMEOUT_S)
        except TimeoutError:
            log_tail = self.processes[number].log_path.read_text("utf-8", "replace")[-400:]
            raise NotReady(
                f"dispatcher d{number} did not become ready: {log_tail}", place=f"d{number}"
            ) from None
        self.record.add("ready", gateway=f"d{number}")

    def kill(self, number: int) -> None:
        """Kills a dispatcher with SIGKILL."""
        self.processes[number].kill()
        self.record.add("killed", gateway=f"d{number}")

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Sends a signal to a dispatcher."""
        self.processes[number].send_signal(signal_number)

    async def wait_for_exit(self, process: ChildProcess, timeout_s: float) -> int:
        """Waits for a dispatcher that is shutting down and returns its exit code.

        Raises:
            TimeoutError: If the process still runs after the timeout.
        """
        async with asyncio.timeout(timeout_s):
            while process.is_running:
                await asyncio.sleep(0.02)
        assert process.popen is not None and process.popen.returncode is not None
        return process.popen.returncode
