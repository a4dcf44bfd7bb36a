"""Fleets in virtual time: recovery from faults, and the dispatchers compared with simple policies."""

from __future__ import annotations

import pytest

from saffronlane.lab.fleet.measures import Measures
from saffronlane.lab.fleet.policies import (
    DelayedTrueState,
    LocalTwoChoices,
    PlacementPolicy,
    RandomChoice,
    RendezvousHash,
)
from saffronlane.lab.fleet.schedule import Fault, Schedule
from saffronlane.lab.fleet.shape import HEAVY_QUERY_CLASSES, FleetShape
from saffronlane.lab.fleet.virtual import VirtualFleet


def run_virtual_fleet(
    seed: int, faults: tuple[Fault, ...] = (), policy: PlacementPolicy | None = None, load: float = 0.65
) -> tuple[Measures, VirtualFleet]:
    shape = FleetShape(40, 12, 8.0, load, table_group_count=40, seed=seed, query_classes=HEAVY_QUERY_CLASSES)
    fleet = VirtualFleet(shape, Schedule(seed, 24.0, faults), policy)
    return fleet.run(), fleet


@pytest.mark.parametrize("seed", [1, 2])
def test_fleet_recovers_soon_after_half_of_the_nodes_are_replaced(seed: int) -> None:
    """Guards against three faults that kept a backlog in the fleet long after its nodes were warm.

    They were: reported work that was forgotten while it still ran, herds at the first cold node, and a load
    limit past the knee of the throughput curve.
    """
    measures, fleet = run_virtual_fleet(seed, (Fault(6.0, 3.0, "node replaced", tuple(range(0, 12, 2))),))
    # Rule 4, the load limit of cold nodes, holds for all dispatchers together.
    assert not [event for event in fleet.record.events if event["kind"] == "fell"]
    assert measures.in_time_share > 0.9 and measures.refused < 0.02
    assert measures.recovery_times["0 node replaced"] < 6.0


def test_dispatchers_come_close_to_the_true_state_policy_and_beat_simple_ones() -> None:
    measures, _ = run_virtual_fleet(3)
    policy_shares = {
        type(policy).__name__: run_virtual_fleet(3, policy=policy)[0].in_time_share
        for policy in (RandomChoice(3), LocalTwoChoices(3), RendezvousHash(3), DelayedTrueState(3))
    }
    true_state_share = policy_shares.pop("DelayedTrueState")
    assert (
        true_state_share - measures.in_time_share
        <= (true_state_share - policy_shares["LocalTwoChoices"]) / 3.0
    )
    assert measures.in_time_share > max(policy_shares.values())


def test_run_is_reproducible_for_a_seed() -> None:
    assert run_virtual_fleet(4, load=0.3)[0] == run_virtual_fleet(4, load=0.3)[0]
