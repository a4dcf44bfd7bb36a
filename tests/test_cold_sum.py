"""The budget of a cold node limits the load of all dispatchers together, for any number of dispatchers."""

from __future__ import annotations

import pytest

from saffronlane.lab.fleet.cold import ColdNodeScenario, allowed_calls, simulate


@pytest.mark.parametrize(("dispatchers", "nodes", "cold"), [(1, 8, 1), (5, 10, 2), (20, 12, 3), (30, 12, 2)])
@pytest.mark.parametrize("seed", [1, 2])
def test_load_of_a_cold_node_stays_within_the_budget_for_any_number_of_dispatchers(
    dispatchers: int, nodes: int, cold: int, seed: int
) -> None:
    """Guards against a budget that counts only work.

    With such a budget and 20 or more dispatchers, many small queries added up to 1.2 times the allowed
    calls.
    """
    load = simulate(ColdNodeScenario(dispatchers, nodes, cold, seed))
    assert 0.2 < load.call_ratio <= 1.0, (
        "a cold node is not used" if load.call_ratio < 0.5 else "too many calls"
    )
    assert load.work_ratio <= 1.0
    assert load.work_per_node > 15.0  # core seconds in 15 s: the node gets a fair share of the load


def test_allowed_calls_follow_from_the_overload_factor_and_the_capacity() -> None:
    expected_calls = 4.0 * 8.0 * 0.25 * 3.0 / ((0.13 * 15.0 + 3.5 * 2.3) / 17.3)
    assert allowed_calls(0.0) == pytest.approx(expected_calls + 2.0 * expected_calls**0.5 + 2.0)
    assert allowed_calls(15.0) > 3.0 * allowed_calls(0.0)
