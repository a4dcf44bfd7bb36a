"""Runs a fleet under a schedule of faults, audits it and calculates its measures."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .audit import Finding, audit
from .faults import FaultInjector
from .fleet import Fleet
from .measures import Measures, Sampler, measure
from .schedule import Schedule
from .shape import FleetShape, draw_traffic

MAX_LAG_S = 0.25  # a larger timer lag means that the machine, not the program, limits the measures


@dataclass(slots=True)
class RunResult:
    """The result of one run.

    Attributes:
        schedule: The faults of the run.
        findings: The violations that the audit found.
        measures: The measures of the run.
        max_lag: The largest delay of a timer of this process in seconds.
        machine_share: The share of the machine's cores that was in use.
        events: The recorded events.
        logs: The log records of each dispatcher.
    """

    schedule: Schedule
    findings: list[Finding]
    measures: Measures
    max_lag: float
    machine_share: float
    events: list[dict[str, Any]] = field(repr=False, default_factory=list)
    logs: dict[str, list[dict[str, Any]]] = field(repr=False, default_factory=dict)

    @property
    def was_machine_overloaded(self) -> bool:
        """Whether the measures reflect the limits of the machine. The findings are valid in either case."""
        return self.max_lag > MAX_LAG_S or self.machine_share > 0.9


class _LagMonitor:
    """Measures the largest delay of a timer of this process."""

    def __init__(self) -> None:
        self.max_lag = 0.0
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.05
            await asyncio.sleep(0.05)
            self.max_lag = max(self.max_lag, loop.time() - due)

    def stop(self) -> None:
        self._task.cancel()


def _cpu_ticks() -> tuple[float, float]:
    """Returns the ticks in use and the total ticks of all cores of the machine."""
    with Path("/proc/stat").open() as stat_file:
        ticks = [float(word) for word in stat_file.readline().split()[1:9]]
    return sum(ticks) - ticks[3] - ticks[4], sum(ticks)


async def run_fleet(
    shape: FleetShape, schedule: Schedule, settings_overrides: dict[str, Any] | None = None
) -> RunResult:
    """Runs a fleet until every request has ended.

    Raises:
        NotReady: If a dispatcher does not become ready.
        NoAddresses: If no loopback network is free.
        OSError: If a process or a socket cannot be started.
    """
    async with Fleet(shape, settings_overrides) as fleet:
        record = fleet.record
        record.start_time = record.clock()
        record.events = [event for event in record.events if event["kind"] in ("list", "cold")]
        for event in record.events:  # the initial state of the nodes, valid from the start of the run
            event["at"] = 0.0
        busy, total = _cpu_ticks()
        injector, lag_monitor, sampler = FaultInjector(fleet), _LagMonitor(), Sampler(fleet)
        fault_task = asyncio.create_task(injector.inject(schedule.faults))
        for request in draw_traffic(shape, schedule.seconds):
            if (delay := request.at - record.now()) > 0.0:
                await asyncio.sleep(delay)
            record.planned_requests[request.request_id] = request
            fleet.clients[request.dispatcher].send_request(request)
        await fault_task
        for clients in fleet.clients:
            await clients.wait_for_answers()
        sampler.stop()
        lag_monitor.stop()
        busy, total = _cpu_ticks()[0] - busy, _cpu_ticks()[1] - total
        unexpected_exits = [
            f"{process.name} exited unexpectedly with code"
            f" {process.popen.returncode if process.popen else None}"
            for process in fleet.processes
            if not process.is_running
        ]
        logs = {process.name: process.log_records() for process in fleet.processes}
        findings = audit(record, shape, [*unexpected_exits, *injector.unexpected_exits])
        connection_count = sum(node.connection_count for node in fleet.nodes)
        measures = measure(
            record, shape, sampler.idle_monitor, schedule, fleet.relay.forwarded_count, connection_count
        )
        machine_share = busy / max(1e-9, total)
        return RunResult(
            schedule, findings, measures, lag_monitor.max_lag, machine_share, record.events, logs
        )
