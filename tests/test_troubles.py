"""Regression tests, one for each failure that was found. Each fails without its fix."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from conftest import LONG_CLASS, SHORT_CLASS, Driver, engine_id, make_settings, one_class

from saffronlane import interface as api
from saffronlane.interface import EndpointListMode, EngineState, Outcome, ProgressKind
from saffronlane.policy.scheduling.concurrency_limit import CONGESTED_INFLATION

BULK_LOAD_CLASS = replace(LONG_CLASS, name="load", threads=2, is_bulk_load=True)
WITH_PROGRESS_REPORTS = {"progress_interval": 1.0}
SLOW_START_DURATION = 14.0


def trained_driver(**changes: object) -> Driver:
    """Return a driver with learned estimates of 0.1 s for the work and latency of each class."""
    driver = Driver(make_settings(**changes), engines=4)
    for class_index in range(len(driver.gateway.step_context.settings.classes)):
        for _ in range(20):
            driver.end_attempt(driver.submit(class_index=class_index), Outcome.OK, work=0.1, elapsed=0.1)
    return driver


def test_long_queue_of_one_class_is_not_tried_request_by_request(monkeypatch: pytest.MonkeyPatch) -> None:
    driver = trained_driver()
    driver.gateway.concurrency_limit.limit = 0.5
    driver.step(*(driver.make_arrival() for _ in range(300)))
    calls = []
    select = driver.gateway.engine_selector.select
    monkeypatch.setattr(
        driver.gateway.engine_selector, "select", lambda request: calls.append(request) or select(request)
    )
    driver.step()
    assert len(calls) <= 2


def test_client_timeouts_do_not_eject_an_engine(driver: Driver) -> None:
    driver.update_endpoints([api.EngineEntry(engine_id(0), EngineState.READY)])
    for _ in range(10):
        driver.end_attempt(driver.submit(), Outcome.TIMEOUT)
    assert not driver.gateway.engine_registry.engines[engine_id(0)].is_ejected


def test_errors_eject_an_engine_and_probe_requests_readmit_it(driver: Driver) -> None:
    failing_engine = driver.gateway.engine_selector.eligibility.rendezvous_order(0.0)[0]
    for _ in range(100):
        request = driver.submit(table_group=0.0)
        if driver.dispatches(request)[0].engine == failing_engine.id:
            driver.end_attempt(request, Outcome.ERROR)
            driver.end_attempt(request, Outcome.OK, attempt=1, work=0.1)
        else:
            driver.end_attempt(request, Outcome.OK, work=0.1)
        if failing_engine.is_ejected:
            break
    assert failing_engine.is_ejected
    requests = [driver.submit(table_group=0.0) for _ in range(6)]
    assert failing_engine.id not in {driver.dispatches(request)[0].engine for request in requests}
    for request in requests:
        driver.end_attempt(request, Outcome.OK, work=0.1)
    start = driver.now
    while failing_engine.is_ejected and driver.now < start + 20.0:
        driver.run_until(driver.now + 0.2)
        for _ in range(3):
            driver.end_attempt(driver.submit(table_group=0.0), Outcome.OK, work=0.1)
    assert driver.now - start < 10.0


def test_panic_mode_ignores_ejections_when_most_engines_are_ejected(driver: Driver) -> None:
    for engine in list(driver.gateway.engine_registry.engines.values())[:3]:
        driver.gateway.outlier_detector.eject(engine, "failing")
    driver.gateway.outlier_detector.update_panic_mode()
    used_engines = {driver.dispatches(driver.submit(table_group=float(i)))[0].engine for i in range(12)}
    assert len(used_engines) > 1


def test_unresponsive_engine_is_ejected_and_one_response_readmits_it() -> None:
    driver = trained_driver(**WITH_PROGRESS_REPORTS)
    request = driver.submit(table_group=1.0)
    unresponsive_engine = driver.gateway.engine_registry.engines[driver.dispatches(request)[0].engine]
    (late_attempt,) = unresponsive_engine.in_flight.values()
    other_request = next(
        request
        for request in (driver.submit(table_group=float(i), class_index=1) for i in range(9))
        if driver.dispatches(request)[0].engine != unresponsive_engine.id
    )
    for _ in range(5):
        driver.run_until(driver.now + 0.7)
        engine = driver.dispatches(other_request)[0].engine
        driver.step(api.ProgressReport(other_request, 0, engine, ProgressKind.PROGRESS, 0.9))
    assert unresponsive_engine.is_ejected and driver.actions_of_type(api.Cancel, request)
    driver.gateway.outlier_detector.record_outcome(late_attempt, Outcome.OK)
    assert not unresponsive_engine.is_ejected


def test_long_request_without_progress_reports_does_not_make_its_engine_unresponsive() -> None:
    driver = Driver(
        make_settings(classes=(SHORT_CLASS, replace(LONG_CLASS, latency_objective=3.0))), engines=4
    )
    first_engine = driver.gateway.engine_selector.eligibility.rendezvous_order(0.0)[0].id
    long_request = driver.submit(class_index=1, table_group=0.0)
    assert driver.dispatches(long_request)[0].engine == first_engine
    order = driver.gateway.engine_selector.eligibility.rendezvous_order
    other_groups = [t for t in map(float, range(1, 40)) if first_engine not in [e.id for e in order(t)[:2]]]
    for _ in range(20):
        requests = [driver.submit(table_group=table_group) for table_group in other_groups[:4]]
        driver.run_until(driver.now + 0.2)
        for request in requests:
            driver.end_attempt(request, Outcome.OK, work=0.1)
    assert len(driver.gateway.engine_registry.engines[first_engine].in_flight) == 1
    assert not driver.gateway.engine_registry.engines[first_engine].is_ejected


def test_bulk_load_avoids_an_engine_with_a_bulk_load_of_its_table_group() -> None:
    driver = Driver(make_settings(classes=(BULK_LOAD_CLASS,)), engines=6)
    engines = [driver.dispatches(driver.submit(table_group=4.0))[0].engine for _ in range(6)]
    assert len(set(engines)) == 6


def test_memory_grants_stay_within_the_gateway_share_of_engine_memory() -> None:
    driver = Driver(make_settings(memory_grants_enabled=True, gateway_count=2), engines=1)
    for _ in range(10):
        driver.submit(class_index=1, estimated_memory_mb=3000.0)
    engine_memory_mb = driver.gateway.step_context.settings.machine_types[0].memory_mb
    assert len(driver.dispatches()) >= 2
    assert (
        sum(grant.memory_mb for grant in driver.actions_of_type(api.SetResourceGrant)) <= engine_memory_mb / 2
    )


def test_long_requests_leave_concurrency_for_short_ones() -> None:
    driver = Driver(make_settings(), engines=4)
    for class_index, work in ((0, 0.1), (1, 2.0)) * 20:
        driver.end_attempt(driver.submit(class_index=class_index), Outcome.OK, work=work, elapsed=work)
    driver.gateway.concurrency_limit.limit = 4.0
    first, second = driver.submit(class_index=1), driver.submit(class_index=1)
    assert driver.dispatches(first) and not driver.dispatches(second)
    assert driver.dispatches(driver.submit())


def report_slow_progress(driver: Driver, request: int, attempt: int, elapsed: float = 1.0) -> None:
    """Report that an attempt has completed only 2% of its work after the elapsed seconds."""
    driver.now += elapsed
    engine = driver.dispatches(request)[attempt].engine
    driver.step(api.ProgressReport(request, attempt, engine, ProgressKind.PROGRESS, 0.02))


def test_request_is_rejected_if_its_second_attempt_is_also_too_slow_to_complete_in_time() -> None:
    driver = trained_driver(**WITH_PROGRESS_REPORTS)
    request = driver.submit(class_index=1)
    report_slow_progress(driver, request, 0)
    assert not driver.final_answers(request)
    driver.end_attempt(request, Outcome.CANCELLED, elapsed=1.0)
    report_slow_progress(driver, request, 1)
    (answer,) = driver.final_answers(request)
    assert isinstance(answer, api.Reject) and answer.retry_after > 0.0
    assert driver.actions_of_type(api.Cancel, request)[-1] == api.Cancel(request, 1)


def test_congestion_is_still_detected_after_many_slow_responses() -> None:
    driver = Driver(make_settings(classes=one_class(late_priority_weight=0.5)), engines=1)
    for _ in range(40):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1, elapsed=0.1)
    for _ in range(150):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1, elapsed=0.6)
    assert driver.gateway.concurrency_limit.latency_inflation > CONGESTED_INFLATION


def test_engine_listed_again_with_its_old_start_time_is_in_slow_start() -> None:
    guarantees = api.Guarantees(
        slow_start_overload_factor=3.0,
        slow_start_overload_window=1.5,
        slow_start_initial_ratio=0.35,
        slow_start_duration=SLOW_START_DURATION,
    )
    driver = Driver(make_settings(guarantees=guarantees), engines=2)
    driver.update_endpoints([api.EngineEntry(engine_id(0), EngineState.REMOVED)], EndpointListMode.DELTA)
    driver.update_endpoints([api.EngineEntry(engine_id(0), EngineState.READY)], EndpointListMode.DELTA)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    assert engine.warmup_remaining(driver.now, SLOW_START_DURATION) > 0.0


def test_unsent_retry_removes_its_own_entry_from_the_retry_budget() -> None:
    guarantees = api.Guarantees(retry_budget_base=3.0, retry_budget_window=10.0)
    driver = Driver(
        make_settings(guarantees=guarantees, classes=one_class(late_priority_weight=0.5)), engines=4
    )
    driver.now += 11.0
    first, second = driver.submit(), driver.submit()
    driver.end_attempt(first, Outcome.REJECTED)
    driver.now += 0.5
    driver.end_attempt(second, Outcome.REJECTED)
    driver.end_attempt(first, Outcome.NOT_SENT, attempt=1)
    assert next(iter(driver.gateway.completion.retry_policy.budget.retries)) == 111.5


def test_failed_subscription_is_retried() -> None:
    driver = Driver(make_settings(subscribes_to_endpoints=True))
    driver.run_until(101.0)
    assert len(driver.actions_of_type(api.Subscribe)) == 1
    driver.step(api.EndpointListUpdate(EndpointListMode.FAILED))
    driver.run_until(102.0)
    assert len(driver.actions_of_type(api.Subscribe)) == 2


def test_ejected_engine_gets_probe_requests_if_the_short_class_is_unsafe() -> None:
    classes = (replace(SHORT_CLASS, idempotency=api.Idempotency.UNSAFE), LONG_CLASS)
    driver = Driver(make_settings(classes=classes), engines=3)
    for _ in range(20):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1, elapsed=0.1)
    ejected_engine = driver.gateway.engine_selector.eligibility.rendezvous_order(0.0)[0]
    driver.gateway.outlier_detector.eject(ejected_engine, "failing")
    driver.now += 5.0
    assert driver.dispatches(driver.submit(class_index=0, table_group=0.0))[0].engine != ejected_engine.id
    assert driver.dispatches(driver.submit(class_index=1, table_group=0.0))[0].engine == ejected_engine.id


def test_engine_that_completes_earlier_work_after_a_connection_loss_has_not_restarted() -> None:
    guarantees = api.Guarantees(
        slow_start_overload_factor=3.0,
        slow_start_overload_window=1.5,
        slow_start_initial_ratio=0.35,
        slow_start_duration=SLOW_START_DURATION,
    )
    driver = Driver(make_settings(guarantees=guarantees), engines=1)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    surviving_request, reset_request = driver.submit(), driver.submit()
    driver.now += 0.1
    driver.end_attempt(reset_request, Outcome.RESET)
    driver.end_attempt(reset_request, Outcome.CONNECT_FAILED, attempt=1)
    driver.now += 0.5
    driver.end_attempt(reset_request, Outcome.OK, attempt=2, work=0.1)
    assert engine.warmup_remaining(driver.now, SLOW_START_DURATION) > 0.0
    driver.end_attempt(surviving_request, Outcome.OK, work=0.1)
    assert engine.warmup_remaining(driver.now, SLOW_START_DURATION) == 0.0


def test_congestion_does_not_become_the_baseline_with_frequent_responses():
    """Guards against a baseline that grows per response: frequent responses raised it within seconds."""
    driver = Driver(make_settings(reports_work=True), engines=2)
    for _ in range(50):
        driver.end_attempt(driver.submit(), api.Outcome.OK, elapsed=0.05, work=0.05)
    for _ in range(1000):  # 10 s of congestion, 100 responses per second
        driver.now += 0.01
        driver.end_attempt(driver.submit(), api.Outcome.OK, elapsed=0.5, work=0.05)
    assert (
        driver.gateway.workload_estimates.estimators[0].baseline_inflation < 1.5
        and driver.gateway.concurrency_limit.latency_inflation > CONGESTED_INFLATION
    )


def test_slow_responses_of_an_engine_in_slow_start_are_not_congestion():
    """During rolling deployments, slow responses of a new engine lowered the limit over all engines."""
    guarantees = api.Guarantees(
        slow_start_initial_ratio=0.25,
        slow_start_duration=10.0,
        slow_start_overload_factor=3.0,
        slow_start_overload_window=1.0,
    )
    driver = Driver(make_settings(reports_work=True, guarantees=guarantees), engines=0)
    driver.update_endpoints([api.EngineEntry(engine_id(0), api.EngineState.READY, started_at=driver.now)])
    driver.gateway.step_context.started_at = -math.inf
    for _ in range(60):
        request = driver.submit()
        if driver.dispatches(request):
            driver.end_attempt(request, api.Outcome.OK, elapsed=0.2, work=0.05)  # a quarter of the full speed
    assert (
        driver.dispatches() and driver.gateway.concurrency_limit.latency_inflation < CONGESTED_INFLATION / 2.0
    )


def test_engine_in_slow_start_is_preferred_only_within_its_share_of_the_load():
    """Guards against requests that wait on an engine in slow start while others are idle."""
    guarantees = api.Guarantees(
        slow_start_initial_ratio=0.25,
        slow_start_duration=100.0,
        slow_start_overload_factor=30.0,
        slow_start_overload_window=10.0,
    )
    driver = Driver(make_settings(guarantees=guarantees), engines=0)
    warming_up_entry = api.EngineEntry(engine_id(0), api.EngineState.READY, started_at=driver.now - 50.0)
    driver.update_endpoints(
        [warming_up_entry, *(api.EngineEntry(engine_id(n), api.EngineState.READY) for n in range(1, 4))]
    )
    driver.gateway.step_context.started_at = -math.inf
    for _ in range(24):
        driver.submit()
    in_flight_counts = [len(e.in_flight) for e in driver.gateway.engine_registry.engines.values()]
    assert sum(in_flight_counts) == 24 and 0 < in_flight_counts[0] <= 8


def test_all_attempts_of_one_connection_count_as_one_connection_loss() -> None:
    """Guards against ejecting a healthy engine after one reset connection, which ends many attempts."""
    driver = Driver(make_settings(), engines=1)
    for _ in range(20):
        driver.end_attempt(driver.submit(), Outcome.OK, work=0.1)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    requests = [driver.submit() for _ in range(6)]
    driver.now += 0.05
    events = [api.AttemptEnded(r, 0, engine.id, Outcome.RESET, 0.05) for r in requests]
    driver.step(*events)
    assert not engine.is_ejected
    driver.now += 0.05
    driver.end_attempt(requests[0], Outcome.RESET, attempt=1)
    assert engine.is_ejected  # a second connection loss counts again


def test_response_to_a_dispatch_right_after_a_connection_loss_implies_no_restart() -> None:
    """Guards against inferring a restart from a reset connection.

    The slow start that followed cut the load of the engine to a third.
    """
    guarantees = api.Guarantees(
        slow_start_overload_factor=3.0,
        slow_start_overload_window=1.5,
        slow_start_initial_ratio=0.35,
        slow_start_duration=SLOW_START_DURATION,
    )
    driver = Driver(make_settings(guarantees=guarantees), engines=1)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    first, second = driver.submit(), driver.submit()
    driver.now += 0.1
    driver.end_attempt(first, Outcome.RESET)
    driver.end_attempt(first, Outcome.OK, attempt=1, work=0.1)
    assert engine.warmup_remaining(driver.now, SLOW_START_DURATION) == 0.0
    driver.end_attempt(second, Outcome.RESET)  # the next response may come from a new process
    driver.now += 0.5
    driver.end_attempt(driver.submit(), Outcome.OK, work=0.1)
    assert engine.warmup_remaining(driver.now, SLOW_START_DURATION) > 0.0


def test_requests_that_fail_on_every_engine_eject_no_engine() -> None:
    """Guards against ejecting healthy engines because of a client whose requests fail on every engine."""
    driver = trained_driver()
    for _ in range(60):
        request = driver.submit()
        for attempt in range(4):
            if len(driver.dispatches(request)) > attempt:
                driver.end_attempt(request, Outcome.ERROR, attempt=attempt)
    assert not any(engine.is_ejected for engine in driver.gateway.engine_registry.engines.values())


def test_error_of_a_request_without_retries_counts_as_a_failure_of_its_engine() -> None:
    driver = Driver(make_settings(classes=one_class(idempotency=api.Idempotency.UNSAFE)), engines=1)
    for _ in range(10):
        driver.end_attempt(driver.submit(), Outcome.ERROR)
    assert driver.gateway.engine_registry.engines[engine_id(0)].is_ejected
