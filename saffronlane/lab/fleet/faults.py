"""Injects the faults of a schedule into a fleet and ends each after its duration."""

from __future__ import annotations

import asyncio
import signal

from .fleet import Fleet
from .relays import NetworkConditions
from .schedule import Fault

ROLLING_RESTART_PAUSE_S = 0.2  # between two dispatchers of a rolling restart
MIN_REPLAY_AGE_S = 5.0  # age of replayed datagrams; newer ones are replayed only if there are no older ones
MAX_REPLAYED_DATAGRAMS = 40  # only the oldest candidates are replayed, each to its original receiver


class FaultInjector:
    """Runs each fault as a separate task. `inject` returns when all faults have ended."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ended_faults: list[tuple[float, Fault]] = []  # with the time at which each fault ended
        self.unexpected_exits: list[str] = []  # dispatchers with a non-zero exit code after SIGTERM

    async def inject(self, faults: tuple[Fault, ...]) -> None:
        """Injects all faults at their times and waits until the last has ended."""
        await asyncio.gather(*map(self._inject, faults))

    async def _inject(self, fault: Fault) -> None:
        record = self.fleet.record
        await asyncio.sleep(max(0.0, fault.at - record.now()))
        record.add("fault", fault=fault.kind, who=fault.targets, on=True)
        kind, _, action = fault.kind.partition(" ")
        if kind == "node":
            await self._inject_node_fault(action, fault)
        elif kind == "peers":
            await self._inject_peer_fault(action, fault)
        elif kind == "feed":
            await self._inject_feed_fault(action, fault)
        else:
            await self._inject_dispatcher_fault(kind, fault)
        record.add("fault", fault=fault.kind, who=fault.targets, on=False)
        self.ended_faults.append((record.now(), fault))

    # --- compute nodes ---

    async def _inject_node_fault(self, action: str, fault: Fault) -> None:
        nodes = [self.fleet.nodes[n] for n in fault.targets]
        if action == "replaced":
            await self._replace_nodes(fault)
            return
        for node in nodes:
            if action in ("crash", "late"):
                node.crash()
            elif action == "reset":
                node.reset_connections()
            elif action == "half open":
                node.make_half_open()
            elif action == "hang":
                node.set_hung(True)
            elif action == "slow":
                node.set_slowdown(2.0 + 8.0 * fault.severity)
            else:
                node.fails_queries, node.stalls_results = action == "errors", action == "stall"
        await asyncio.sleep(fault.duration)
        for node in nodes:
            if action in ("crash", "late"):
                await node.start(cold=True)
            elif action == "hang":
                node.set_hung(False)
            elif action == "slow":
                node.set_slowdown(1.0)
            node.fails_queries = node.stalls_results = False
        if action in ("crash", "late"):  # the endpoint list reports the restart, not the crash
            self.fleet.publish(nodes, "up", is_restart=True)

    async def _replace_nodes(self, fault: Fault) -> None:
        fleet, old_nodes = self.fleet, [self.fleet.nodes[n] for n in fault.targets]
        fleet.publish(old_nodes, "draining")
        new_entries = [await fleet.add_node(cold=True) for _ in old_nodes]
        await asyncio.sleep(0.3 * fault.duration)
        fleet.feed.publish(new_entries)
        await asyncio.sleep(0.7 * fault.duration)
        fleet.publish(old_nodes, "removed")
        await asyncio.sleep(1.0)
        for node in old_nodes:
            node.crash()

    # --- peers and feed ---

    async def _inject_peer_fault(self, action: str, fault: Fault) -> None:
        relay, targets = self.fleet.relay, frozenset(fault.targets)
        if action == "replay":
            await asyncio.sleep(fault.duration)
            now = asyncio.get_running_loop().time()
            candidates = [
                datagram for datagram in relay.recent_datagrams if datagram.at < now - MIN_REPLAY_AGE_S
            ] or list(relay.recent_datagrams)
            for receiver in fault.targets:
                for datagram in candidates[:MAX_REPLAYED_DATAGRAMS]:
                    if datagram.receiver == receiver:
                        relay.write(datagram.sender, receiver, datagram.data)
            return
        conditions = {
            "drop": NetworkConditions(targets, None, drop=0.3 + 0.6 * fault.severity),
            "late": NetworkConditions(targets, None, delay=0.5 * fault.severity, jitter=0.5),
            "deaf": NetworkConditions(None, targets, drop=1.0),
            "mute": NetworkConditions(targets, None, drop=1.0),
            "twice": NetworkConditions(targets, None, duplicate=0.8, jitter=0.1),
            "corrupt": NetworkConditions(targets, None, corrupt=0.5),
        }[action]
        relay.conditions.append(conditions)
        await asyncio.sleep(fault.duration)
        relay.conditions.remove(conditions)

    async def _inject_feed_fault(self, action: str, fault: Fault) -> None:
        if action == "cut":
            self.fleet.feed.abort_connections()
            return
        self.fleet.feed.set_silent(True)
        await asyncio.sleep(fault.duration)
        self.fleet.feed.set_silent(False)

    # --- dispatchers ---

    async def _inject_dispatcher_fault(self, kind: str, fault: Fault) -> None:
        fleet = self.fleet
        if kind == "pause":
            for number in fault.targets:
                fleet.send_signal(number, signal.SIGSTOP)
            await asyncio.sleep(min(fault.duration, 3.0))
            for number in fault.targets:
                fleet.send_signal(number, signal.SIGCONT)
            return
        if kind == "kill":
            for number in fault.targets:
                fleet.kill(number)
            for number in fault.targets:
                fleet.start(number)
            await asyncio.gather(*map(fleet.wait_until_ready, fault.targets))
            return
        for number in fault.targets:  # rolling restart
            fleet.send_signal(number, signal.SIGTERM)
            code = await fleet.wait_for_exit(fleet.processes[number], 20.0)
            if code != 0:
                self.unexpected_exits.append(f"d{number}: exit code {code} after SIGTERM")
            fleet.start(number)
            await fleet.wait_until_ready(number)
            await asyncio.sleep(ROLLING_RESTART_PAUSE_S)
