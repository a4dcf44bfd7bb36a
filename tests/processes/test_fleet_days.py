"""Days of a fleet: several processes of the real program, faults between them, rules audited from outside."""

from __future__ import annotations

import asyncio

import pytest

from saffronlane.lab.fleet.play import Played, play
from saffronlane.lab.fleet.schedule import Fault, Schedule, draw
from saffronlane.lab.fleet.shape import FleetShape

SECONDS = 8.0


def day(faults: tuple[Fault, ...], dispatchers: int = 8, nodes: int = 6, seed: int = 1) -> Played:
    shape = FleetShape(dispatchers, nodes, seed=seed)
    return asyncio.run(play(shape, Schedule(seed, SECONDS, faults)))


def assert_kept(played: Played) -> None:
    """No rule broke and no process ended. Guards what every day must hold, whatever struck it."""
    assert not played.findings, "\n".join(map(str, played.findings[:10])) + f"\n{played.schedule.json()!r}"
    assert played.measures.asked > 100


def test_a_day_without_faults_is_served() -> None:
    played = day(())
    assert_kept(played)
    assert played.measures.served > 0.98
    assert played.measures.messages > 0  # the relay stands between them


def test_most_dispatchers_killed_at_once_while_nodes_come_back_cold() -> None:
    played = day((Fault(2.0, 1.5, "node crash", (0, 1)), Fault(2.5, 1.0, "kill", (0, 1, 2, 3, 4))))
    assert_kept(played)
    assert sum(e["kind"] == "killed" for e in played.events) == 5


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_drawn_day_of_faults_in_pairs_keeps_the_rules(seed: int) -> None:
    shape = FleetShape(10, 6, seed=seed)
    assert_kept(asyncio.run(play(shape, draw(seed, SECONDS, 10, 6))))
