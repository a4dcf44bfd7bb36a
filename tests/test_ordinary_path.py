"""The design's ordinary path: deadlines, group EDF, refusals, hash order, spill; determinism; learning."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from conftest import LOOKUP, REPORT, Driver, engine_id, make_settings, one_class

from saffronlane import interface as api
from saffronlane.interface import Outcome
from saffronlane.policy.scheduling import concurrency_limit


@pytest.fixture(autouse=True)
def steady_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the limit where a test puts it."""
    monkeypatch.setattr(concurrency_limit, "LIMIT_INCREASE", 0.0)


def crowded_driver(**changes: object) -> Driver:
    """One engine and a limit that binds at one thread, so that queries are held."""
    driver = Driver(make_settings(**changes), engines=1)
    for _ in range(40):
        driver.end(driver.ask(), Outcome.OK, work=0.1, elapsed=0.1)
    driver.gateway.concurrency_limit.limit = 1.0
    return driver


def test_deadline_is_ten_times_the_exec_time_seeded_by_the_latency_objective(driver: Driver) -> None:
    request = driver.ask(cls=1)
    assert driver.gateway.pending.requests[request].deadline == pytest.approx(
        100.0 + 10.0 * REPORT.latency_objective
    )


def test_batch_competes_before_release_and_smallest_in_group_leaves_first() -> None:
    driver = crowded_driver(classes=(replace(LOOKUP, late_priority_weight=0.5),))
    for _ in range(20):
        driver.end(driver.ask(estimated_cost=0.1), Outcome.OK, work=0.1, elapsed=0.1)
    blocker = driver.ask(estimated_cost=0.1)
    large, small = driver.arrival(estimated_cost=0.12), driver.arrival(estimated_cost=0.10)
    driver.step(large, small)
    driver.gateway.pending.requests[large.request].deadline = driver.now + 1.0
    driver.gateway.pending.requests[small.request].deadline = (
        driver.now + 1.05
    )  # within Gr of the earlier one
    driver.end(blocker, Outcome.OK, work=0.1, elapsed=0.1)
    assert driver.sends()[-1].request == small.request


def test_queries_of_one_batch_compete_by_deadline() -> None:
    driver = crowded_driver(classes=(replace(LOOKUP, late_priority_weight=0.5), replace(REPORT, threads=1)))
    for _ in range(20):
        driver.end(driver.ask(cls=1), Outcome.OK, work=2.0, elapsed=2.0)
    long, short = driver.arrival(cls=1), driver.arrival(cls=0)
    driver.step(long, short)
    assert [send.request for send in driver.sends()][-1] == short.request


def test_earlier_group_leaves_before_a_smaller_query_of_a_later_group() -> None:
    driver = crowded_driver(classes=(replace(LOOKUP, late_priority_weight=0.5),))
    blocker = driver.ask()
    early = driver.ask()
    driver.gateway.pending.requests[early].deadline = driver.now + 0.5
    late = driver.ask(estimated_cost=0.01)
    driver.gateway.pending.requests[late].deadline = driver.now + 5.0
    driver.end(blocker, Outcome.OK, work=0.1, elapsed=0.1)
    assert driver.sends()[-1].request == early


def test_queued_request_is_rejected_with_a_retry_after_once_expired() -> None:
    driver = crowded_driver(classes=(replace(LOOKUP, late_priority_weight=0.5),))
    driver.ask()
    held = driver.ask()
    driver.pass_time(driver.now + 0.5)
    assert not driver.answers(held)
    driver.pass_time(driver.now + 2.5)
    (answer,) = driver.answers(held)
    assert isinstance(answer, api.Reject) and 0.0 < answer.retry_after <= 2.0
    assert not driver.sends(held)


def test_class_with_low_late_weight_expires_at_its_objective_while_engines_are_full() -> None:
    kept, cut = (
        crowded_driver(classes=(replace(LOOKUP, latency_objective=0.4, late_priority_weight=v),))
        for v in (0.9, 0.3)
    )
    for driver, answers in ((kept, 0), (cut, 1)):
        driver.ask()
        held = driver.ask()
        driver.pass_time(driver.now + 0.45)
        assert len(driver.answers(held)) == answers


def test_hash_order_is_the_same_at_every_gateway_and_differs_by_table_group() -> None:
    first, second = (Driver(make_settings(gateway_index=p), engines=6, seed=p) for p in (0, 1))
    orders = []
    for tables in range(20):
        order = [e.id for e in first.gateway.engine_selector.eligibility.rendezvous_order(float(tables))]
        assert order == [
            e.id for e in second.gateway.engine_selector.eligibility.rendezvous_order(float(tables))
        ]
        orders.append(order[0])
    assert len(set(orders)) > 2


def test_a_table_group_stays_on_its_first_two_engines_and_spills_past_the_limit() -> None:
    driver = Driver(make_settings(), engines=6)
    home = [e.id for e in driver.gateway.engine_selector.eligibility.rendezvous_order(3.0)[:2]]
    few = [driver.sends(driver.ask(table_group=3.0))[0].engine for _ in range(3)]
    assert set(few) <= set(home)
    many = [driver.sends(driver.ask(table_group=3.0))[0].engine for _ in range(30)]
    assert set(many) - set(home)


def test_same_events_give_the_same_actions() -> None:
    def run() -> list[api.Action]:
        driver = Driver(make_settings(), engines=5)
        for i in range(60):
            request = driver.ask(cls=i % 2, table_group=float(i % 7))
            outcome = Outcome.OK if i % 3 else Outcome.ERROR
            if driver.sends(request):
                driver.end(request, outcome, work=0.2, elapsed=0.2)
            driver.pass_time(driver.now + 0.03)
        return driver.actions

    assert run() == run()


def test_rate_learned_under_congestion_does_not_reject_later_requests() -> None:
    driver = Driver(make_settings(classes=(REPORT,)), engines=2)
    for _ in range(60):
        driver.end(driver.ask(estimated_cost=1.0), Outcome.OK, work=1.0, elapsed=0.3)
    for _ in range(60):
        driver.end(driver.ask(estimated_cost=1.0), Outcome.OK, work=1.0, elapsed=30.0)
    driver.now += 1.0
    request = driver.ask(estimated_cost=1.0)
    assert driver.sends(request) and not driver.answers(request)


def test_restarted_gateway_rejects_nothing_by_its_initial_estimates() -> None:
    driver = Driver(make_settings())
    driver.now += 1.0
    request = driver.ask(remaining=0.5)  # less than the aim that seeds ExecTime
    assert driver.sends(request)


@pytest.mark.parametrize("value", [math.nan, math.inf, -5.0, 0.0, 1e300])
def test_invalid_measurements_neither_raise_nor_corrupt_estimates(value: float) -> None:
    driver = Driver(make_settings(progress_interval=1.0, classes=one_class(late_priority_weight=0.5)))
    driver.list([api.EngineEntry(engine_id(i), api.EngineState.READY, started_at=value) for i in range(4)])
    for _ in range(30):
        request = driver.ask(estimated_cost=value, estimated_memory_mb=value, table_group=0.0)
        if driver.sends(request):
            engine = driver.sends(request)[0].engine
            driver.step(api.ProgressReport(request, 0, engine, api.ProgressKind.PROGRESS, value))
            driver.end(request, Outcome.OK, work=value, memory_mb=value, elapsed=value)
    driver.ask(remaining=value)
    for _ in range(60):
        driver.end(driver.ask(), Outcome.OK, work=0.1, elapsed=0.1)
    request = driver.ask()
    assert driver.sends(request) and not driver.answers(request)
    assert all(math.isfinite(a.timeout) and a.timeout > 0.0 for a in driver.sends())
    assert all(math.isfinite(a.deadline) for a in driver.of_kind(api.SetTimer))
