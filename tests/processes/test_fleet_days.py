"""Fleets of real processes under injected faults, audited by the traffic outside the dispatchers."""

from __future__ import annotations

import asyncio

import pytest

from saffronlane.lab.fleet.play import RunResult, run_fleet
from saffronlane.lab.fleet.schedule import Fault, Schedule, draw_schedule
from saffronlane.lab.fleet.shape import FleetShape

DURATION_S = 8.0


def run_with_faults(
    faults: tuple[Fault, ...], dispatchers: int = 8, nodes: int = 6, seed: int = 1
) -> RunResult:
    shape = FleetShape(dispatchers, nodes, seed=seed)
    return asyncio.run(run_fleet(shape, Schedule(seed, DURATION_S, faults)))


def assert_no_findings(result: RunResult) -> None:
    """Asserts that no rule was violated and no process exited unexpectedly, whatever the faults."""
    assert not result.findings, "\n".join(map(str, result.findings[:10])) + f"\n{result.schedule.to_json()!r}"
    assert result.measures.request_count > 100


def test_fleet_without_faults_serves_nearly_all_requests() -> None:
    result = run_with_faults(())
    assert_no_findings(result)
    assert result.measures.served > 0.98
    assert result.measures.messages > 0  # forwarded by the relay


def test_fleet_keeps_the_rules_when_most_dispatchers_are_killed_while_nodes_restart_cold() -> None:
    result = run_with_faults(
        (Fault(2.0, 1.5, "node crash", (0, 1)), Fault(2.5, 1.0, "kill", (0, 1, 2, 3, 4)))
    )
    assert_no_findings(result)
    assert sum(event["kind"] == "killed" for event in result.events) == 5


@pytest.mark.parametrize("seed", range(1, 4))
def test_fleet_keeps_the_rules_under_random_overlapping_faults(seed: int) -> None:
    shape = FleetShape(10, 6, seed=seed)
    assert_no_findings(asyncio.run(run_fleet(shape, draw_schedule(seed, DURATION_S, 10, 6))))
