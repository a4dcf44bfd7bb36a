"""Tests of missing signals (reported work, cost, retry delays), and of load reports, zones and tenants."""

from __future__ import annotations

from dataclasses import replace

from conftest import Driver, engine_id, make_settings

from saffronlane import interface as api
from saffronlane.interface import Outcome
from saffronlane.policy.routing.engine_selection import EngineSelector
from saffronlane.policy.scheduling.concurrency_limit import CONGESTED_INFLATION

WITH_LOAD_REPORTS = {"report_columns": ("cpu", "active")}


def complete_request(driver: Driver, elapsed: float, active: float, **fields: object) -> None:
    driver.end_attempt(driver.submit(), Outcome.OK, elapsed=elapsed, load_report=(1.0, active), **fields)


def test_load_reports_reveal_congestion_that_began_before_the_first_response() -> None:
    """Without a response from before the congestion there is no baseline latency to compare with."""
    driver = Driver(make_settings(**WITH_LOAD_REPORTS), engines=2)
    for _ in range(40):
        complete_request(driver, elapsed=3.0, active=40.0)
        driver.now += 0.1
    assert driver.gateway.concurrency_limit.latency_inflation > CONGESTED_INFLATION
    previous_count = len(driver.dispatches())
    driver.step(*(driver.make_arrival(timeout=5.0) for _ in range(100)))
    assert 0 < len(driver.dispatches()) - previous_count < 50


def test_slow_responses_of_engines_that_report_low_load_are_not_congestion() -> None:
    driver = Driver(make_settings(**WITH_LOAD_REPORTS), engines=2)
    for _ in range(40):
        complete_request(driver, elapsed=3.0, active=4.0)
        driver.now += 0.1
    assert driver.gateway.concurrency_limit.latency_inflation < CONGESTED_INFLATION / 2.0


def test_exec_time_is_bounded_by_the_uncontended_time_if_all_responses_are_late() -> None:
    """An ExecTime learned from the mean latency under congestion would reject all later requests."""
    driver = Driver(make_settings(**WITH_LOAD_REPORTS), engines=2)
    for _ in range(100):
        complete_request(driver, elapsed=4.0, active=64.0)
    assert driver.gateway.workload_estimates.estimators[0].exec_time() <= 2.0


def test_invalid_load_reports_have_no_effect() -> None:
    for active in (float("nan"), float("inf"), -float("inf"), -5.0, 0.0):
        driver, reference = Driver(make_settings(**WITH_LOAD_REPORTS)), Driver(make_settings())
        for _ in range(20):
            complete_request(driver, elapsed=0.5, active=active)
            reference.end_attempt(reference.submit(), Outcome.OK, elapsed=0.5)
        assert (
            driver.gateway.concurrency_limit.latency_inflation
            == reference.gateway.concurrency_limit.latency_inflation
        )
        assert (
            driver.gateway.workload_estimates.estimators[0].exec_time()
            == reference.gateway.workload_estimates.estimators[0].exec_time()
        )


def test_rejection_has_a_retry_after_only_if_the_gateway_sends_it_to_clients() -> None:
    limits = api.Limits(can_cancel=True, max_attempts=4, max_retry_after=2.0, sends_retry_after=False)
    driver = Driver(make_settings(limits=limits), engines=0)
    request = driver.submit(timeout=0.5)
    driver.run_until(101.0)
    assert driver.final_answers(request) == [api.Reject(request, 0.0)]
    driver = Driver(make_settings(limits=replace(limits, sends_retry_after=True)), engines=0)
    request = driver.submit(timeout=0.5)
    driver.run_until(101.0)
    assert driver.actions_of_type(api.Reject, request)[0].retry_after > 0.0


def test_one_step_does_not_try_every_retry_of_a_long_queue(monkeypatch) -> None:
    """Guards against slow steps: under congestion, each release of capacity tried every queued retry."""
    driver = Driver(make_settings(), engines=4)
    requests = [driver.submit() for _ in range(60)]
    for request in requests:
        driver.gateway.concurrency_limit.limit = 0.0
        driver.end_attempt(request, Outcome.ERROR)
    assert len(driver.gateway.pending.queued) > 40
    calls: list[int] = []
    has_capacity = EngineSelector.has_capacity

    def counting_has_capacity(engine_selector: EngineSelector, request: object) -> object:
        calls.append(1)  # for each request that is tried, and for each class that is passed over as a whole
        return has_capacity(engine_selector, request)

    monkeypatch.setattr(EngineSelector, "has_capacity", counting_has_capacity)
    driver.gateway.in_flight.threads_by_class[0], driver.gateway.concurrency_limit.limit = 100.0, 1.0
    driver.step(driver.make_arrival())
    assert 1 <= len(calls) <= 3


# --- Load reports and load probes ---


def train_estimates(driver: Driver) -> None:
    """Complete requests of both classes, so that class 1 counts as heavy."""
    for class_index, work, count in ((0, 0.2, 40), (1, 4.0, 5)):
        for _ in range(count):
            request = driver.submit(class_index)
            driver.run_until(driver.now + 0.05)
            driver.end_attempt(request, Outcome.OK, elapsed=work, work=work)
    driver.actions.clear()


def test_engine_that_reports_high_load_is_avoided_until_the_report_is_old() -> None:
    """One of many gateways can't infer from its own attempts that other gateways load an engine."""
    driver = Driver(make_settings(gateway_count=100, **WITH_LOAD_REPORTS), engines=3)
    for index in range(3):
        engine = driver.gateway.engine_registry.engines[engine_id(index)]
        driver.gateway.load_reports.record(engine, (1.0, 4.0 if index else 60.0))
    requests = [driver.submit(table_group=float(i)) for i in range(30)]
    assert engine_id(0) not in {driver.dispatches(request)[0].engine for request in requests}
    driver.now += 120.0
    requests = [driver.submit(table_group=float(i)) for i in range(30, 60)]
    assert engine_id(0) in {driver.dispatches(request)[0].engine for request in requests}


PROBING_LIMITS = api.Limits(can_cancel=True, max_attempts=4, load_probes_enabled=True, load_probe_price=0.01)


def test_heavy_request_waits_for_load_probes_and_goes_to_the_least_loaded_engine() -> None:
    driver = Driver(make_settings(limits=PROBING_LIMITS, gateway_count=100, **WITH_LOAD_REPORTS), engines=6)
    train_estimates(driver)
    driver.run_until(driver.now + 30.0)
    light_request = driver.submit(0)
    assert driver.dispatches(light_request) and not driver.actions_of_type(api.ProbeLoad)
    heavy_request = driver.submit(1, table_group=3.0)
    probed_engines = [probe.engine for probe in driver.actions_of_type(api.ProbeLoad)]
    assert not driver.dispatches(heavy_request) and 2 <= len(set(probed_engines)) == len(probed_engines) < 6
    for engine in probed_engines:
        active = 1.0 if engine == probed_engines[-1] else 50.0
        driver.step(api.ProbeResult(engine, Outcome.OK, 0.001, (1.0, active)))
    driver.run_until(driver.now + 0.1)
    assert [dispatch.engine for dispatch in driver.dispatches(heavy_request)] == [probed_engines[-1]]


def test_heavy_request_is_dispatched_if_probe_results_do_not_arrive() -> None:
    driver = Driver(make_settings(limits=PROBING_LIMITS, gateway_count=100, **WITH_LOAD_REPORTS), engines=6)
    train_estimates(driver)
    driver.run_until(driver.now + 30.0)
    heavy_request = driver.submit(1)
    driver.run_until(driver.now + 0.1)
    assert len(driver.dispatches(heavy_request)) == 1


def test_no_load_probes_are_sent_if_they_are_expensive_or_report_no_load() -> None:
    for changes in (
        {"limits": replace(PROBING_LIMITS, load_probe_price=0.5), **WITH_LOAD_REPORTS},
        {"limits": PROBING_LIMITS},
    ):
        driver = Driver(make_settings(gateway_count=100, **changes), engines=6)
        train_estimates(driver)
        driver.run_until(driver.now + 30.0)
        driver.submit(1)
        assert driver.actions_of_type(api.ProbeLoad) == []


def test_invalid_probe_results_do_not_prevent_dispatches() -> None:
    driver = Driver(make_settings(limits=PROBING_LIMITS, **WITH_LOAD_REPORTS), engines=2)
    engine = driver.gateway.engine_registry.engines[engine_id(0)]
    for report in ((), (1.0,), (float("nan"), float("nan")), (1.0, -3.0), (1.0, float("inf")), (0.0,) * 4):
        driver.step(api.ProbeResult(engine_id(0), Outcome.OK, 0.001, report))
    assert engine.reported_threads_per_core == 0.0
    driver.step(api.ProbeResult(engine_id(99), Outcome.OK, 0.001, (1.0, 5.0)))
    for outcome in Outcome:
        driver.step(api.ProbeResult(engine_id(0), outcome, 0.25))
    driver.update_endpoints([api.EngineEntry(engine_id(1), api.EngineState.READY)])
    driver.step(api.ProbeResult(engine_id(0), Outcome.OK, 0.001, (1.0, 5.0)))
    train_estimates(driver)
    assert driver.dispatches(driver.submit())[0].engine == engine_id(1)


def test_new_engine_counts_as_idle_instead_of_having_the_mean_load() -> None:
    driver = Driver(make_settings(gateway_count=100, **WITH_LOAD_REPORTS), engines=3)
    for index in range(3):
        driver.gateway.load_reports.record(
            driver.gateway.engine_registry.engines[engine_id(index)], (1.0, 20.0)
        )
    entry = api.EngineEntry(engine_id(7), api.EngineState.READY, started_at=driver.now)
    driver.update_endpoints([entry], api.EndpointListMode.DELTA)
    new_engine, *other_engines = (driver.gateway.engine_registry.engines[engine_id(i)] for i in (7, 0, 1, 2))
    assert (
        driver.gateway.engine_selector.load(new_engine)
        < min(map(driver.gateway.engine_selector.load, other_engines)) / 4.0
    )


# --- Zones and tenants ---


def test_home_engines_in_the_zone_of_the_gateway_come_first_if_crossing_zones_is_costly() -> None:
    crossing_counts = {}
    for price in (0.0, 0.04):
        driver = Driver(make_settings(zones=("a", "b", "c"), zone=1, cross_zone_price=price), engines=0)
        driver.update_endpoints(
            [api.EngineEntry(engine_id(i), api.EngineState.READY, zone=i % 3) for i in range(12)]
        )
        for i in range(200):
            driver.end_attempt(driver.submit(table_group=float(i)), Outcome.OK)
            driver.now += 1.0
        crossing_counts[price] = sum(dispatch.engine[3] % 3 != 1 for dispatch in driver.dispatches())
    assert crossing_counts[0.04] < 0.9 * crossing_counts[0.0], crossing_counts


TENANTS = (api.TenantSettings("steady", 40.0, 0.8), api.TenantSettings("surging", 10.0, 0.2))


def tenant_driver(**changes: object) -> Driver:
    driver = Driver(make_settings(tenants=TENANTS, **changes), engines=1)
    for _ in range(6):
        driver.end_attempt(driver.submit(), Outcome.OK, elapsed=0.2, work=0.2)
    return driver


def test_tenant_over_its_rate_limit_yields_while_engines_are_full() -> None:
    """A burst of one tenant must not displace the others; its requests within the rate limit are served."""
    driver = tenant_driver()
    driver.gateway.concurrency_limit.limit = 4.0
    surging_arrivals = [driver.make_arrival(tenant=1) for _ in range(80)]
    steady_arrivals = [driver.make_arrival(tenant=0) for _ in range(10)]
    driver.step(*surging_arrivals)
    driver.step(*steady_arrivals)
    for _ in range(10):
        in_flight = [attempt.request.id for attempt in driver.gateway.in_flight.attempts.values()]
        for request in in_flight:
            driver.end_attempt(request, Outcome.OK, elapsed=0.2, work=0.2)
        driver.now += 0.06
    dispatched = {dispatch.request for dispatch in driver.dispatches()}
    assert {arrival.request for arrival in steady_arrivals} <= dispatched
    assert 10 < sum(arrival.request in dispatched for arrival in surging_arrivals) < 60


def test_tenant_over_its_rate_limit_is_served_while_engines_have_capacity() -> None:
    driver = tenant_driver()
    requests = [driver.submit(tenant=1) for _ in range(60)]
    assert all(driver.dispatches(request) for request in requests)


def test_tenants_out_of_range_or_without_a_rate_limit_are_not_limited() -> None:
    for tenants in ((), (api.TenantSettings("none"),), (api.TenantSettings("odd", float("nan")),)):
        driver = Driver(make_settings(tenants=tenants), engines=2)
        requests = [driver.submit(tenant=tenant) for tenant in (0, 1, 99, 2**31)]
        assert all(driver.dispatches(request) for request in requests)
