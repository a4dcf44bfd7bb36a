"""The normal case: deadlines, group EDF, rejections, rendezvous order, determinism and learned estimates."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from conftest import LONG_CLASS, SHORT_CLASS, Driver, engine_id, make_settings, one_class

from saffronlane import interface as api
from saffronlane.interface import Outcome
from saffronlane.policy.scheduling import concurrency_limit


@pytest.fixture(autouse=True)
def fixed_concurrency_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the concurrency limit at the value that a test sets."""
    monkeypatch.setattr(concurrency_limit, "LIMIT_INCREASE", 0.0)


def saturated_driver(**changes: object) -> Driver:
    """Return a driver with one engine and a concurrency limit of one thread, so that requests are queued."""
    driver = Driver(make_settings(**changes), engines=1)
    for _ in range(40):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1, elapsed=0.1)
    driver.gateway.concurrency_limit.limit = 1.0
    return driver


def test_deadline_of_a_new_class_is_ten_times_its_latency_objective(driver: Driver) -> None:
    request = driver.submit(class_index=1)
    assert driver.gateway.pending.requests[request].deadline == pytest.approx(
        100.0 + 10.0 * LONG_CLASS.latency_objective
    )


def test_shortest_request_of_a_group_is_dispatched_first() -> None:
    driver = saturated_driver(classes=(replace(SHORT_CLASS, late_priority_weight=0.5),))
    for _ in range(20):
        driver.end_attempt(driver.submit(estimated_cost=0.1), Outcome.OK, work=0.1, elapsed=0.1)
    blocker = driver.submit(estimated_cost=0.1)
    large, small = driver.make_arrival(estimated_cost=0.12), driver.make_arrival(estimated_cost=0.10)
    driver.step(large, small)
    driver.gateway.pending.requests[large.request].deadline = driver.now + 1.0
    driver.gateway.pending.requests[small.request].deadline = driver.now + 1.05  # in the same group
    driver.end_attempt(blocker, Outcome.OK, work=0.1, elapsed=0.1)
    assert driver.dispatches()[-1].request == small.request


def test_requests_of_one_step_compete_by_deadline() -> None:
    driver = saturated_driver(
        classes=(replace(SHORT_CLASS, late_priority_weight=0.5), replace(LONG_CLASS, threads=1))
    )
    for _ in range(20):
        driver.end_attempt(driver.submit(class_index=1), Outcome.OK, work=2.0, elapsed=2.0)
    long_request, short_request = driver.make_arrival(class_index=1), driver.make_arrival(class_index=0)
    driver.step(long_request, short_request)
    assert [dispatch.request for dispatch in driver.dispatches()][-1] == short_request.request


def test_earlier_group_is_dispatched_before_a_shorter_request_of_a_later_group() -> None:
    driver = saturated_driver(classes=(replace(SHORT_CLASS, late_priority_weight=0.5),))
    blocker = driver.submit()
    early = driver.submit()
    driver.gateway.pending.requests[early].deadline = driver.now + 0.5
    late = driver.submit(estimated_cost=0.01)
    driver.gateway.pending.requests[late].deadline = driver.now + 5.0
    driver.end_attempt(blocker, Outcome.OK, work=0.1, elapsed=0.1)
    assert driver.dispatches()[-1].request == early


def test_queued_request_is_rejected_with_a_retry_after_once_expired() -> None:
    driver = saturated_driver(classes=(replace(SHORT_CLASS, late_priority_weight=0.5),))
    driver.submit()
    queued = driver.submit()
    driver.run_until(driver.now + 0.5)
    assert not driver.final_answers(queued)
    driver.run_until(driver.now + 2.5)
    (answer,) = driver.final_answers(queued)
    assert isinstance(answer, api.Reject) and 0.0 < answer.retry_after <= 2.0
    assert not driver.dispatches(queued)


def test_class_with_low_late_weight_expires_at_its_objective_while_engines_are_full() -> None:
    high_weight_driver, low_weight_driver = (
        saturated_driver(classes=(replace(SHORT_CLASS, latency_objective=0.4, late_priority_weight=weight),))
        for weight in (0.9, 0.3)
    )
    for driver, answer_count in ((high_weight_driver, 0), (low_weight_driver, 1)):
        driver.submit()
        queued = driver.submit()
        driver.run_until(driver.now + 0.45)
        assert len(driver.final_answers(queued)) == answer_count


def test_rendezvous_order_is_the_same_at_every_gateway_and_differs_by_table_group() -> None:
    first, second = (Driver(make_settings(gateway_index=index), engines=6, seed=index) for index in (0, 1))
    first_engines = []
    for table_group in range(20):
        order = [e.id for e in first.gateway.engine_selector.eligibility.rendezvous_order(float(table_group))]
        assert order == [
            e.id for e in second.gateway.engine_selector.eligibility.rendezvous_order(float(table_group))
        ]
        first_engines.append(order[0])
    assert len(set(first_engines)) > 2


def test_table_group_stays_on_its_first_two_engines_until_they_are_overloaded() -> None:
    driver = Driver(make_settings(), engines=6)
    home_engines = [e.id for e in driver.gateway.engine_selector.eligibility.rendezvous_order(3.0)[:2]]
    light_load_engines = [driver.dispatches(driver.submit(table_group=3.0))[0].engine for _ in range(3)]
    assert set(light_load_engines) <= set(home_engines)
    high_load_engines = [driver.dispatches(driver.submit(table_group=3.0))[0].engine for _ in range(30)]
    assert set(high_load_engines) - set(home_engines)


def test_same_events_give_the_same_actions() -> None:
    def run() -> list[api.Action]:
        driver = Driver(make_settings(), engines=5)
        for i in range(60):
            request = driver.submit(class_index=i % 2, table_group=float(i % 7))
            outcome = Outcome.OK if i % 3 else Outcome.ERROR
            if driver.dispatches(request):
                driver.end_attempt(request, outcome, work=0.2, elapsed=0.2)
            driver.run_until(driver.now + 0.03)
        return driver.actions

    assert run() == run()


def test_exec_time_learned_under_congestion_does_not_reject_later_requests() -> None:
    driver = Driver(make_settings(classes=(LONG_CLASS,)), engines=2)
    for _ in range(60):
        driver.end_attempt(driver.submit(estimated_cost=1.0), Outcome.OK, work=1.0, elapsed=0.3)
    for _ in range(60):
        driver.end_attempt(driver.submit(estimated_cost=1.0), Outcome.OK, work=1.0, elapsed=30.0)
    driver.now += 1.0
    request = driver.submit(estimated_cost=1.0)
    assert driver.dispatches(request) and not driver.final_answers(request)


def test_initial_estimates_of_a_new_gateway_do_not_reject_requests() -> None:
    driver = Driver(make_settings())
    driver.now += 1.0
    request = driver.submit(timeout=0.5)  # less than the initial ExecTime, which is the latency objective
    assert driver.dispatches(request)


@pytest.mark.parametrize("value", [math.nan, math.inf, -5.0, 0.0, 1e300])
def test_invalid_measurements_neither_raise_nor_corrupt_estimates(value: float) -> None:
    driver = Driver(make_settings(progress_interval=1.0, classes=one_class(late_priority_weight=0.5)))
    driver.update_endpoints(
        [api.EngineEntry(engine_id(i), api.EngineState.READY, started_at=value) for i in range(4)]
    )
    for _ in range(30):
        request = driver.submit(estimated_cost=value, estimated_memory_mb=value, table_group=0.0)
        if driver.dispatches(request):
            engine = driver.dispatches(request)[0].engine
            driver.step(api.ProgressReport(request, 0, engine, api.ProgressKind.PROGRESS, value))
            driver.end_attempt(request, Outcome.OK, work=value, memory_mb=value, elapsed=value)
    driver.submit(timeout=value)
    for _ in range(60):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1, elapsed=0.1)
    request = driver.submit()
    assert driver.dispatches(request) and not driver.final_answers(request)
    assert all(math.isfinite(a.timeout) and a.timeout > 0.0 for a in driver.dispatches())
    assert all(math.isfinite(a.deadline) for a in driver.actions_of_type(api.SetTimer))
