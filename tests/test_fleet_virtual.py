"""Fleets in virtual time: what a fault leaves behind, and the true dispatchers beside plain policies."""

from __future__ import annotations

import pytest

from saffronlane.lab.fleet.measures import Measures
from saffronlane.lab.fleet.policies import Chooser, HashOrder, RandomChoice, TrueStateLate, TwoByOwnNews
from saffronlane.lab.fleet.schedule import Fault, Schedule
from saffronlane.lab.fleet.shape import HEAVY_SORTS, FleetShape
from saffronlane.lab.fleet.virtual import VirtualFleet


def play(
    seed: int, faults: tuple[Fault, ...] = (), chooser: Chooser | None = None, load: float = 0.65
) -> tuple[Measures, VirtualFleet]:
    shape = FleetShape(40, 12, 8.0, load, groups=40, seed=seed, sorts=HEAVY_SORTS)
    fleet = VirtualFleet(shape, Schedule(seed, 24.0, faults), chooser)
    return fleet.play(), fleet


@pytest.mark.parametrize("seed", [1, 2])
def test_a_jam_does_not_outlive_the_replacement_of_half_of_the_nodes(seed: int) -> None:
    """Guards against told work forgotten while it runs, herds at the first cold node, a bar past the knee.

    Each of them held a fleet in a jam long after its nodes were warm.
    """
    measures, fleet = play(seed, (Fault(6.0, 3.0, "node replaced", tuple(range(0, 12, 2))),))
    assert not [e for e in fleet.record.events if e["kind"] == "fell"]  # rule 4 over the sum of all
    assert measures.worth_in_time > 0.9 and measures.refused < 0.02
    assert measures.recoveries["0 node replaced"] < 6.0


def test_the_dispatchers_stand_near_the_true_state_and_far_above_plain_policies() -> None:
    ours, _ = play(3)
    others = {
        type(one).__name__: play(3, chooser=one)[0].worth_in_time
        for one in (RandomChoice(3), TwoByOwnNews(3), HashOrder(3), TrueStateLate(3))
    }
    true = others.pop("TrueStateLate")
    assert true - ours.worth_in_time <= (true - others["TwoByOwnNews"]) / 3.0
    assert ours.worth_in_time > max(others.values())


def test_a_day_is_alike_for_a_seed() -> None:
    assert play(4, load=0.3)[0] == play(4, load=0.3)[0]
