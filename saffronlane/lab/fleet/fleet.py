"""A whole fleet on this machine: dispatchers as processes, everything else as stand-ins in this one."""

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
from .addresses import DISPATCHERS, FEED, NODES, PEERS, RELAYS, Net, text
from .clients import Clients
from .feed import Entry, Feed, entry
from .launch import Child, dispatcher
from .nodes import Node
from .record import Record
from .relays import Relay
from .shape import FleetShape, settings

READY_WAIT = 60.0  # seconds for all dispatchers to be ready, on a machine that does other things too


class NotReady(SaffronlaneError):
    """A dispatcher did not come up; the text has its last words."""

    remedy = "Read the last words of the dispatcher in the text; a loaded machine needs fewer dispatchers."


class Fleet:
    """`async with Fleet(shape) as fleet`: all is up; at the end every process is gone, whatever happened."""

    def __init__(self, shape: FleetShape, changes: dict[str, Any] | None = None) -> None:
        self.shape, self._changes = shape, changes or {}
        self.record, self.random = Record(), Random(f"fleet {shape.seed}")
        self._home = tempfile.TemporaryDirectory(prefix="saffronlane-fleet-")
        self.folder, self.net = Path(self._home.name), Net()
        self.nodes: list[Node] = []
        self.feed = Feed(self.net.address(FEED, 0), self._on_told)
        count = range(shape.dispatchers)
        self.relay = Relay(
            [self.net.address(RELAYS, n) for n in count],
            [self.net.address(PEERS, n) for n in count],
            self.net.address(RELAYS, shape.dispatchers),
            self.random,
        )
        self.children = [dispatcher(f"d{n}", self.folder / f"d{n}.json", self.folder) for n in count]
        self.clients = [Clients(f"d{n}", self.net.address(DISPATCHERS, n), self.record) for n in count]
        self._next_node = 0

    async def __aenter__(self) -> Fleet:
        self.record.began = self.record.clock()
        try:
            first = [await self.add_node() for _ in range(self.shape.nodes)]
            self.feed.events.append(first)
            await self.feed.start()
            self.relay.start()
            for number in range(self.shape.dispatchers):
                self.start(number)
            await asyncio.gather(*map(self.ready, range(self.shape.dispatchers)))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for child in self.children:  # first of all: nothing below may leave one running
            child.kill()
        for clients in self.clients:
            await clients.close()
        self.relay.close()
        await self.feed.close()
        for node in self.nodes:
            await node.close()
        self.net.close()
        self._home.cleanup()

    # --- nodes ---

    async def add_node(self, cold: bool = False) -> Entry:
        """One more, listening; returns its entry for the list, which is yet to be told."""
        number, self._next_node = self._next_node, self._next_node + 1
        name = f"s-{number:05d}"
        node = Node(name, self.net.address(NODES, number), self.shape, self.record)
        await node.start(cold)
        self.nodes.append(node)
        return entry(name, node.address, "up", time.time() * 1000.0 if cold else 0.0)

    def tell(self, nodes: list[Node], phase: str, fresh: bool = False) -> None:
        """A change of the list; fresh: they have started just now."""
        since = time.time() * 1000.0 if fresh else 0.0
        self.feed.tell([entry(node.name, node.address, phase, since) for node in nodes])

    def _on_told(self, entries: list[Entry]) -> None:
        states = {"up": "ready", "draining": "draining", "removed": "gone"}
        numbers = {node.name: node.incarnation for node in self.nodes}
        for one in entries:
            for number in range(self.shape.dispatchers):
                self.record.add(
                    "list",
                    gateway=f"d{number}",
                    engine=one["id"],
                    state=states[one["phase"]],
                    incarnation=numbers.get(one["id"], 0),
                )

    # --- dispatchers ---

    def _config(self, number: int) -> dict[str, Any]:
        return {
            "name": f"d{number}",
            "listen": text(self.net.address(DISPATCHERS, number)),
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.shape.sockets},
            "peer_listen": text(self.relay.true[number]),
            "peers": [text(address) for address in self.relay.listed],
            "peers_all": text(self.relay.to_all),
            "feed": text(self.feed.address),
            "known": self.feed.known(),
            "settings": settings(self.shape, number) | self._changes,
        }

    def start(self, number: int) -> None:
        """From nothing, with what the feed has told up to now."""
        path = self.folder / f"d{number}.json"
        path.write_text(json.dumps(self._config(number)))
        self.children[number].start()
        self.record.add("started", gateway=f"d{number}")

    async def ready(self, number: int) -> None:
        """Wait until it may be used. NotReady with its last words if it ends or takes too long."""
        try:
            await self.clients[number].well(READY_WAIT)
        except TimeoutError:
            said = self.children[number].log.read_text("utf-8", "replace")[-400:]
            raise NotReady(f"dispatcher d{number}: {said}", place=f"d{number}") from None
        self.record.add("ready", gateway=f"d{number}")

    def kill(self, number: int) -> None:
        self.children[number].kill()
        self.record.add("killed", gateway=f"d{number}")

    def signal(self, number: int, what: signal.Signals) -> None:
        self.children[number].send(what)

    async def ended(self, child: Child, seconds: float) -> int:
        """Wait for a dispatcher that was asked to end; returns its exit code. TimeoutError if it does not."""
        async with asyncio.timeout(seconds):
            while child.running:
                await asyncio.sleep(0.02)
        assert child.process is not None and child.process.returncode is not None
        return child.process.returncode
