"""One small test for each failure that was found; each fails without its fix."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from conftest import LOOKUP, REPORT, Driver, engine_id, make_settings, one_class

from saffronlane import interface as api
from saffronlane.interface import EndpointListMode, EngineState, Outcome, ProgressKind
from saffronlane.policy.scheduling.concurrency_limit import CONGESTED_INFLATION

LOAD = replace(REPORT, name="load", threads=2, is_bulk_load=True)
NOTED = {"progress_interval": 1.0}
COLD_TIME = 14.0


def warmed(**changes: object) -> Driver:
    """A driver whose classes have learned 0.1 s of work and latency each."""
    driver = Driver(make_settings(**changes), engines=4)
    for cls in range(len(driver.gateway.step_context.settings.classes)):
        for _ in range(20):
            driver.end(driver.ask(cls=cls), Outcome.OK, work=0.1, elapsed=0.1)
    return driver


def test_a_long_queue_of_one_class_is_not_tried_engine_by_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    driver = warmed()
    driver.gateway.concurrency_limit.limit = 0.5
    driver.step(*(driver.arrival() for _ in range(300)))
    calls = []
    select = driver.gateway.engine_selector.select
    monkeypatch.setattr(
        driver.gateway.engine_selector, "select", lambda request: calls.append(request) or select(request)
    )
    driver.step()
    assert len(calls) <= 2


def test_timeouts_at_the_client_limit_do_not_eject_an_engine(driver: Driver) -> None:
    driver.list([api.EngineEntry(engine_id(0), EngineState.READY)])
    for _ in range(10):
        driver.end(driver.ask(), Outcome.TIMEOUT)
    assert not driver.gateway.engine_registry.engines[engine_id(0)].is_ejected


def test_errors_eject_an_engine_and_probe_requests_bring_it_back(driver: Driver) -> None:
    bad = driver.gateway.engine_selector.eligibility.rendezvous_order(0.0)[0]
    for _ in range(100):
        request = driver.ask(table_group=0.0)
        if driver.sends(request)[0].engine == bad.id:
            driver.end(request, Outcome.ERROR)
            driver.end(request, Outcome.OK, attempt=1, work=0.1)
        else:
            driver.end(request, Outcome.OK, work=0.1)
        if bad.is_ejected:
            break
    assert bad.is_ejected
    requests = [driver.ask(table_group=0.0) for _ in range(6)]
    assert bad.id not in {driver.sends(r)[0].engine for r in requests}
    for request in requests:
        driver.end(request, Outcome.OK, work=0.1)
    start = driver.now
    while bad.is_ejected and driver.now < start + 20.0:
        driver.pass_time(driver.now + 0.2)
        for _ in range(3):
            driver.end(driver.ask(table_group=0.0), Outcome.OK, work=0.1)
    assert driver.now - start < 10.0


def test_panic_mode_ignores_ejections_when_most_engines_are_ejected(driver: Driver) -> None:
    for engine in list(driver.gateway.engine_registry.engines.values())[:3]:
        driver.gateway.outlier_detector.eject(engine, "failing")
    driver.gateway.outlier_detector.update_panic_mode()
    used = {driver.sends(driver.ask(table_group=float(i)))[0].engine for i in range(12)}
    assert len(used) > 1


def test_unresponsive_engine_loses_its_attempts_and_one_response_brings_it_back() -> None:
    driver = warmed(**NOTED)
    request = driver.ask(table_group=1.0)
    silent = driver.gateway.engine_registry.engines[driver.sends(request)[0].engine]
    (late,) = silent.in_flight.values()
    other = next(
        r
        for r in (driver.ask(table_group=float(i), cls=1) for i in range(9))
        if driver.sends(r)[0].engine != silent.id
    )
    for _ in range(5):
        driver.pass_time(driver.now + 0.7)
        engine = driver.sends(other)[0].engine
        driver.step(api.ProgressReport(other, 0, engine, ProgressKind.PROGRESS, 0.9))
    assert silent.is_ejected and driver.of_kind(api.Cancel, request)
    driver.gateway.outlier_detector.record_outcome(late, Outcome.OK)
    assert not silent.is_ejected


def test_long_request_without_progress_reports_does_not_make_its_engine_unresponsive() -> None:
    driver = Driver(make_settings(classes=(LOOKUP, replace(REPORT, latency_objective=3.0))), engines=4)
    first = driver.gateway.engine_selector.eligibility.rendezvous_order(0.0)[0].id
    long = driver.ask(cls=1, table_group=0.0)
    assert driver.sends(long)[0].engine == first
    order = driver.gateway.engine_selector.eligibility.rendezvous_order
    others = [t for t in map(float, range(1, 40)) if first not in [e.id for e in order(t)[:2]]]
    for _ in range(20):
        requests = [driver.ask(table_group=tables) for tables in others[:4]]
        driver.pass_time(driver.now + 0.2)
        for request in requests:
            driver.end(request, Outcome.OK, work=0.1)
    assert len(driver.gateway.engine_registry.engines[first].in_flight) == 1
    assert not driver.gateway.engine_registry.engines[first].is_ejected


def test_bulk_load_avoids_an_engine_with_a_bulk_load_of_its_table_group() -> None:
    driver = Driver(make_settings(classes=(LOAD,)), engines=6)
    engines = [driver.sends(driver.ask(table_group=4.0))[0].engine for _ in range(6)]
    assert len(set(engines)) == 6


def test_memory_grants_stay_within_the_gateway_share_of_engine_memory() -> None:
    driver = Driver(make_settings(memory_grants_enabled=True, gateway_count=2), engines=1)
    for _ in range(10):
        driver.ask(cls=1, estimated_memory_mb=3000.0)
    size = driver.gateway.step_context.settings.machine_types[0].memory_mb
    assert len(driver.sends()) >= 2
    assert sum(terms.memory_mb for terms in driver.of_kind(api.SetResourceGrant)) <= size / 2


def test_long_requests_leave_concurrency_for_short_ones() -> None:
    driver = Driver(make_settings(), engines=4)
    for cls, seconds in ((0, 0.1), (1, 2.0)) * 20:
        driver.end(driver.ask(cls=cls), Outcome.OK, work=seconds, elapsed=seconds)
    driver.gateway.concurrency_limit.limit = 4.0
    first, second = driver.ask(cls=1), driver.ask(cls=1)
    assert driver.sends(first) and not driver.sends(second)
    assert driver.sends(driver.ask())


def slow_run(driver: Driver, request: int, attempt: int, seconds: float = 1.0) -> None:
    driver.now += seconds
    engine = driver.sends(request)[attempt].engine
    driver.step(api.ProgressReport(request, attempt, engine, ProgressKind.PROGRESS, 0.02))


def test_second_slow_run_is_given_up_at_once_when_it_cannot_end_in_time() -> None:
    driver = warmed(**NOTED)
    request = driver.ask(cls=1)
    slow_run(driver, request, 0)
    assert not driver.answers(request)
    driver.end(request, Outcome.CANCELLED, elapsed=1.0)
    slow_run(driver, request, 1)
    (answer,) = driver.answers(request)
    assert isinstance(answer, api.Reject) and answer.retry_after > 0.0
    assert driver.of_kind(api.Cancel, request)[-1] == api.Cancel(request, 1)


def test_lasting_congestion_still_counts_as_congestion() -> None:
    driver = Driver(make_settings(classes=one_class(late_priority_weight=0.5)), engines=1)
    for _ in range(40):
        driver.end(driver.ask(), Outcome.OK, work=0.1, elapsed=0.1)
    for _ in range(150):
        driver.end(driver.ask(), Outcome.OK, work=0.1, elapsed=0.6)
    assert driver.gateway.concurrency_limit.latency_inflation > CONGESTED_INFLATION


def test_engine_back_with_its_old_start_time_is_warming_up() -> None:
    guarantees = api.Guarantees(
        slow_start_overload_factor=3.0,
        slow_start_overload_window=1.5,
        slow_start_initial_ratio=0.35,
        slow_start_duration=COLD_TIME,
    )
    driver = Driver(make_settings(guarantees=guarantees), engines=2)
    driver.list([api.EngineEntry(engine_id(0), EngineState.REMOVED)], EndpointListMode.DELTA)
    driver.list([api.EngineEntry(engine_id(0), EngineState.READY)], EndpointListMode.DELTA)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    assert engine.warmup_remaining(driver.now, COLD_TIME) > 0.0


def test_attempt_that_was_not_sent_returns_its_own_budget_entry() -> None:
    guarantees = api.Guarantees(retry_budget_base=3.0, retry_budget_window=10.0)
    driver = Driver(
        make_settings(guarantees=guarantees, classes=one_class(late_priority_weight=0.5)), engines=4
    )
    driver.now += 11.0
    first, second = driver.ask(), driver.ask()
    driver.end(first, Outcome.REJECTED)
    driver.now += 0.5
    driver.end(second, Outcome.REJECTED)
    driver.end(first, Outcome.NOT_SENT, attempt=1)
    assert next(iter(driver.gateway.completion.retry_policy.budget.retries)) == 111.5


def test_failed_subscription_is_retried() -> None:
    driver = Driver(make_settings(subscribes_to_endpoints=True))
    driver.pass_time(101.0)
    assert len(driver.of_kind(api.Subscribe)) == 1
    driver.step(api.EndpointListUpdate(EndpointListMode.FAILED))
    driver.pass_time(102.0)
    assert len(driver.of_kind(api.Subscribe)) == 2


def test_ejected_engine_is_probed_also_where_the_short_class_is_unsafe() -> None:
    classes = (replace(LOOKUP, idempotency=api.Idempotency.UNSAFE), REPORT)
    driver = Driver(make_settings(classes=classes), engines=3)
    for _ in range(20):
        driver.end(driver.ask(), Outcome.OK, work=0.1, elapsed=0.1)
    bad = driver.gateway.engine_selector.eligibility.rendezvous_order(0.0)[0]
    driver.gateway.outlier_detector.eject(bad, "failing")
    driver.now += 5.0
    assert driver.sends(driver.ask(cls=0, table_group=0.0))[0].engine != bad.id
    assert driver.sends(driver.ask(cls=1, table_group=0.0))[0].engine == bad.id


def test_connection_loss_of_an_engine_that_kept_its_work_is_no_restart() -> None:
    guarantees = api.Guarantees(
        slow_start_overload_factor=3.0,
        slow_start_overload_window=1.5,
        slow_start_initial_ratio=0.35,
        slow_start_duration=COLD_TIME,
    )
    driver = Driver(make_settings(guarantees=guarantees), engines=1)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    kept, broken = driver.ask(), driver.ask()
    driver.now += 0.1
    driver.end(broken, Outcome.RESET)
    driver.end(broken, Outcome.CONNECT_FAILED, attempt=1)
    driver.now += 0.5
    driver.end(broken, Outcome.OK, attempt=2, work=0.1)
    assert engine.warmup_remaining(driver.now, COLD_TIME) > 0.0
    driver.end(kept, Outcome.OK, work=0.1)
    assert engine.warmup_remaining(driver.now, COLD_TIME) == 0.0


def test_congestion_does_not_become_the_baseline_with_frequent_responses():
    """Guards the best latency's drift: for each answer, a fleet's worth of traffic forgot it in seconds."""
    driver = Driver(make_settings(reports_work=True), engines=2)
    for _ in range(50):
        driver.end(driver.ask(), api.Outcome.OK, elapsed=0.05, work=0.05)
    for _ in range(1000):  # ten seconds of a jam, a hundred answers a second
        driver.now += 0.01
        driver.end(driver.ask(), api.Outcome.OK, elapsed=0.5, work=0.05)
    assert (
        driver.gateway.workload_estimates.estimators[0].baseline_inflation < 1.5
        and driver.gateway.concurrency_limit.latency_inflation > CONGESTED_INFLATION
    )


def test_slow_responses_of_an_engine_warming_up_are_no_congestion():
    """Guards a rolling deploy: the one limit over all engines fell because the newest one was still cold."""
    kept = api.Guarantees(
        slow_start_initial_ratio=0.25,
        slow_start_duration=10.0,
        slow_start_overload_factor=3.0,
        slow_start_overload_window=1.0,
    )
    driver = Driver(make_settings(reports_work=True, guarantees=kept), engines=0)
    driver.list([api.EngineEntry(engine_id(0), api.EngineState.READY, started_at=driver.now)])
    driver.gateway.step_context.started_at = -math.inf
    for _ in range(60):
        request = driver.ask()
        if driver.sends(request):
            driver.end(request, api.Outcome.OK, elapsed=0.2, work=0.05)  # a quarter of its speed
    assert driver.sends() and driver.gateway.concurrency_limit.latency_inflation < CONGESTED_INFLATION / 2.0


def test_engine_warming_up_is_preferred_only_while_within_its_share():
    """Guards queries that waited on a cold engine while warm ones were idle."""
    kept = api.Guarantees(
        slow_start_initial_ratio=0.25,
        slow_start_duration=100.0,
        slow_start_overload_factor=30.0,
        slow_start_overload_window=10.0,
    )
    driver = Driver(make_settings(guarantees=kept), engines=0)
    cold = api.EngineEntry(engine_id(0), api.EngineState.READY, started_at=driver.now - 50.0)
    driver.list([cold, *(api.EngineEntry(engine_id(n), api.EngineState.READY) for n in range(1, 4))])
    driver.gateway.step_context.started_at = -math.inf
    for _ in range(24):
        driver.ask()
    out = [len(e.in_flight) for e in driver.gateway.engine_registry.engines.values()]
    assert sum(out) == 24 and 0 < out[0] <= 8


def test_all_attempts_of_one_connection_count_as_one_connection_loss() -> None:
    """Guards against a reset connection that condemns a living engine, as each attempt tells of a break."""
    driver = Driver(make_settings(), engines=1)
    for _ in range(20):
        driver.end(driver.ask(), Outcome.OK, work=0.1)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    carried = [driver.ask() for _ in range(6)]
    driver.now += 0.05
    events = [api.AttemptEnded(r, 0, engine.id, Outcome.RESET, 0.05) for r in carried]
    driver.step(*events)
    assert not engine.is_ejected
    driver.now += 0.05
    driver.end(carried[0], Outcome.RESET, attempt=1)
    assert engine.is_ejected  # a second break soon after is another


def test_response_to_a_dispatch_right_after_a_connection_loss_is_no_restart() -> None:
    """Guards against taking a reset connection for a restart: the engine got a third of its load then."""
    guarantees = api.Guarantees(
        slow_start_overload_factor=3.0,
        slow_start_overload_window=1.5,
        slow_start_initial_ratio=0.35,
        slow_start_duration=COLD_TIME,
    )
    driver = Driver(make_settings(guarantees=guarantees), engines=1)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    first, second = driver.ask(), driver.ask()
    driver.now += 0.1
    driver.end(first, Outcome.RESET)
    driver.end(first, Outcome.OK, attempt=1, work=0.1)
    assert engine.warmup_remaining(driver.now, COLD_TIME) == 0.0
    driver.end(second, Outcome.RESET)  # and one sent so much later that a process may have come back
    driver.now += 0.5
    driver.end(driver.ask(), Outcome.OK, work=0.1)
    assert engine.warmup_remaining(driver.now, COLD_TIME) > 0.0


def test_requests_that_no_engine_can_run_eject_none() -> None:
    """Guards against a client that sends what every engine answers with an error: no engine is to blame."""
    driver = warmed()
    for _ in range(60):
        request = driver.ask()
        for attempt in range(4):
            if len(driver.sends(request)) > attempt:
                driver.end(request, Outcome.ERROR, attempt=attempt)
    assert not any(engine.is_ejected for engine in driver.gateway.engine_registry.engines.values())


def test_error_that_may_not_be_retried_counts_against_its_engine() -> None:
    driver = Driver(make_settings(classes=one_class(idempotency=api.Idempotency.UNSAFE)), engines=1)
    for _ in range(10):
        driver.end(driver.ask(), Outcome.ERROR)
    assert driver.gateway.engine_registry.engines[engine_id(0)].is_ejected
