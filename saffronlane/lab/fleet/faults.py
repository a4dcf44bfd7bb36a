"""Strikes a fleet with the faults of a schedule, and takes them back."""

from __future__ import annotations

import asyncio
import signal

from .fleet import Fleet
from .relays import Weather
from .schedule import Fault

STEP = 0.2  # seconds between dispatchers of a rolling restart
OLD = 5.0  # seconds: what is played again is older than this, where there is any
REPLAYED = 40  # datagrams played again to one dispatcher


class Striker:
    """Runs faults, each as a task of its own; `finish` waits until the last is taken back."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ends: list[tuple[float, Fault]] = []  # when each was taken back
        self.crashed: list[str] = []  # dispatchers that ended though nobody asked them to

    async def play(self, faults: tuple[Fault, ...]) -> None:
        await asyncio.gather(*map(self._one, faults))

    async def _one(self, fault: Fault) -> None:
        record = self.fleet.record
        await asyncio.sleep(max(0.0, fault.at - record.now()))
        record.add("fault", fault=fault.kind, who=fault.who, on=True)
        kind, _, what = fault.kind.partition(" ")
        if kind == "node":
            await self._node(what, fault)
        elif kind == "peers":
            await self._peers(what, fault)
        elif kind == "feed":
            await self._feed(what, fault)
        else:
            await self._process(kind, fault)
        record.add("fault", fault=fault.kind, who=fault.who, on=False)
        self.ends.append((record.now(), fault))

    # --- compute nodes ---

    async def _node(self, what: str, fault: Fault) -> None:
        nodes = [self.fleet.nodes[n] for n in fault.who]
        if what == "replaced":
            await self._replace(fault)
            return
        for node in nodes:
            if what in ("crash", "late"):
                node.crash()
            elif what == "reset":
                node.reset()
            elif what == "half open":
                node.half_open()
            elif what == "hang":
                node.hang(True)
            elif what == "slow":
                node.slow(2.0 + 8.0 * fault.size)
            else:
                node.errs, node.stalls = what == "errors", what == "stall"
        await asyncio.sleep(fault.length)
        for node in nodes:
            if what in ("crash", "late"):
                await node.start(cold=True)
            elif what == "hang":
                node.hang(False)
            elif what == "slow":
                node.slow(1.0)
            node.errs = node.stalls = False
        if what in ("crash", "late"):  # the list does not know that it was gone, only when it came back
            self.fleet.tell(nodes, "up", fresh=True)

    async def _replace(self, fault: Fault) -> None:
        fleet, old = self.fleet, [self.fleet.nodes[n] for n in fault.who]
        fleet.tell(old, "draining")
        fresh = [await fleet.add_node(cold=True) for _ in old]
        await asyncio.sleep(0.3 * fault.length)
        fleet.feed.tell(fresh)
        await asyncio.sleep(0.7 * fault.length)
        fleet.tell(old, "removed")
        await asyncio.sleep(1.0)
        for node in old:
            node.crash()

    # --- peers and feed ---

    async def _peers(self, what: str, fault: Fault) -> None:
        relay, who = self.fleet.relay, frozenset(fault.who)
        if what == "replay":
            await asyncio.sleep(fault.length)
            now = asyncio.get_running_loop().time()
            old = [one for one in relay.remembered if one.at < now - OLD] or list(relay.remembered)
            for receiver in fault.who:
                for one in old[:REPLAYED]:
                    if one.receiver == receiver:
                        relay.write(one.sender, receiver, one.data)
            return
        weather = {
            "drop": Weather(who, None, drop=0.3 + 0.6 * fault.size),
            "late": Weather(who, None, delay=0.5 * fault.size, jitter=0.5),
            "deaf": Weather(None, who, drop=1.0),
            "mute": Weather(who, None, drop=1.0),
            "twice": Weather(who, None, duplicate=0.8, jitter=0.1),
            "corrupt": Weather(who, None, corrupt=0.5),
        }[what]
        relay.weather.append(weather)
        await asyncio.sleep(fault.length)
        relay.weather.remove(weather)

    async def _feed(self, what: str, fault: Fault) -> None:
        if what == "cut":
            self.fleet.feed.cut()
            return
        self.fleet.feed.hush(True)
        await asyncio.sleep(fault.length)
        self.fleet.feed.hush(False)

    # --- dispatchers ---

    async def _process(self, kind: str, fault: Fault) -> None:
        fleet = self.fleet
        if kind == "pause":
            for number in fault.who:
                fleet.signal(number, signal.SIGSTOP)
            await asyncio.sleep(min(fault.length, 3.0))
            for number in fault.who:
                fleet.signal(number, signal.SIGCONT)
            return
        if kind == "kill":
            for number in fault.who:
                fleet.kill(number)
            for number in fault.who:
                fleet.start(number)
            await asyncio.gather(*map(fleet.ready, fault.who))
            return
        for number in fault.who:  # roll
            fleet.signal(number, signal.SIGTERM)
            code = await fleet.ended(fleet.children[number], 20.0)
            if code != 0:
                self.crashed.append(f"d{number}: exit code {code} after SIGTERM")
            fleet.start(number)
            await fleet.ready(number)
            await asyncio.sleep(STEP)
