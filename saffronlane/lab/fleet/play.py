"""One day of a fleet: traffic, faults, the answers to the last request, the audit and the measures."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .audit import Finding, audit
from .faults import Striker
from .fleet import Fleet
from .measures import Measures, Sampler, measure
from .schedule import Schedule
from .shape import FleetShape, draw_traffic

SLACK = 0.25  # seconds that this process may be late at most for the day to tell of the program


@dataclass(slots=True)
class Played:
    """What came of a day."""

    schedule: Schedule
    findings: list[Finding]
    measures: Measures
    late: float  # seconds: how late this process was at most
    machine_share: float  # of the machine's cores that were in use
    events: list[dict[str, Any]] = field(repr=False, default_factory=list)
    logs: dict[str, list[dict[str, Any]]] = field(repr=False, default_factory=dict)

    @property
    def machine_was_the_limit(self) -> bool:
        """Then figures of time and load tell of the machine. Rules that were kept are kept all the same."""
        return self.late > SLACK or self.machine_share > 0.9


class _Lag:
    """How late this process does what is due."""

    def __init__(self) -> None:
        self.most = 0.0
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.05
            await asyncio.sleep(0.05)
            self.most = max(self.most, loop.time() - due)

    def end(self) -> None:
        self._task.cancel()


def _busy_seconds() -> tuple[float, float]:
    """Of all cores of the machine: in use, and in all."""
    with Path("/proc/stat").open() as source:
        figures = [float(word) for word in source.readline().split()[1:9]]
    return sum(figures) - figures[3] - figures[4], sum(figures)


async def play(shape: FleetShape, schedule: Schedule, changes: dict[str, Any] | None = None) -> Played:
    """Play a day to its last answer. Errors: `fleet.NotReady`, `addresses.NoAddresses`, OSError."""
    async with Fleet(shape, changes) as fleet:
        record = fleet.record
        record.began = record.clock()
        record.events = [e for e in record.events if e["kind"] in ("list", "cold")]
        for event in record.events:
            event["at"] = 0.0
        busy, whole = _busy_seconds()
        striker, lag, sampler = Striker(fleet), _Lag(), Sampler(fleet)
        faults = asyncio.create_task(striker.play(schedule.faults))
        for asking in draw_traffic(shape, schedule.seconds):
            if (wait := asking.at - record.now()) > 0.0:
                await asyncio.sleep(wait)
            record.askings[asking.rid] = asking
            fleet.clients[asking.dispatcher].ask(asking)
        await faults
        for clients in fleet.clients:
            await clients.finish()
        sampler.end()
        lag.end()
        busy, whole = _busy_seconds()[0] - busy, _busy_seconds()[1] - whole
        ended = [
            f"{child.name} has ended with {child.process.returncode if child.process else None}"
            for child in fleet.children
            if not child.running
        ]
        logs = {child.name: child.lines() for child in fleet.children}
        findings = audit(record, shape, [*ended, *striker.crashed])
        connections = sum(node.connections for node in fleet.nodes)
        measures = measure(record, shape, sampler.watch, schedule, fleet.relay.passed, connections)
        share = busy / max(1e-9, whole)
        return Played(schedule, findings, measures, lag.most, share, record.events, logs)
