"""What stands in where a deployment tells neither cost nor memory, and what clients cannot be told."""

from __future__ import annotations

from dataclasses import replace

from conftest import Driver, engine_id, make_settings

from saffronlane import interface as api
from saffronlane.interface import Outcome
from saffronlane.policy.routing.engine_selection import EngineSelector
from saffronlane.policy.scheduling.concurrency_limit import CONGESTED_INFLATION

REPORTING = {"report_columns": ("cpu", "active")}


def answer(driver: Driver, elapsed: float, active: float, **fields: object) -> None:
    driver.end(driver.ask(), Outcome.OK, elapsed=elapsed, load_report=(1.0, active), **fields)


def test_congestion_from_the_first_response_shows_in_load_reports() -> None:
    """Latency has nothing calm to be compared with: only the engines' own word tells of the jam."""
    driver = Driver(make_settings(**REPORTING), engines=2)
    for _ in range(40):
        answer(driver, elapsed=3.0, active=40.0)
        driver.now += 0.1
    assert driver.gateway.concurrency_limit.latency_inflation > CONGESTED_INFLATION
    sent = len(driver.sends())
    driver.step(*(driver.arrival(remaining=5.0) for _ in range(100)))
    assert 0 < len(driver.sends()) - sent < 50


def test_engines_reporting_low_load_are_not_congested_however_slow() -> None:
    driver = Driver(make_settings(**REPORTING), engines=2)
    for _ in range(40):
        answer(driver, elapsed=3.0, active=4.0)
        driver.now += 0.1
    assert driver.gateway.concurrency_limit.latency_inflation < CONGESTED_INFLATION / 2.0


def test_exec_time_is_bounded_by_uncontended_time_though_all_responses_are_late() -> None:
    """Mean latency of a jam, taken for what a query needs, would refuse all that follows."""
    driver = Driver(make_settings(**REPORTING), engines=2)
    for _ in range(100):
        answer(driver, elapsed=4.0, active=64.0)
    assert driver.gateway.workload_estimates.estimators[0].exec_time() <= 2.0


def test_absurd_reports_change_nothing() -> None:
    for active in (float("nan"), float("inf"), -float("inf"), -5.0, 0.0):
        driver, plain = Driver(make_settings(**REPORTING)), Driver(make_settings())
        for _ in range(20):
            answer(driver, elapsed=0.5, active=active)
            plain.end(plain.ask(), Outcome.OK, elapsed=0.5)
        assert (
            driver.gateway.concurrency_limit.latency_inflation
            == plain.gateway.concurrency_limit.latency_inflation
        )
        assert (
            driver.gateway.workload_estimates.estimators[0].exec_time()
            == plain.gateway.workload_estimates.estimators[0].exec_time()
        )


def test_no_retry_after_where_clients_do_not_receive_it() -> None:
    limits = api.Limits(can_cancel=True, max_attempts=4, max_retry_after=2.0, sends_retry_after=False)
    driver = Driver(make_settings(limits=limits), engines=0)
    request = driver.ask(remaining=0.5)
    driver.pass_time(101.0)
    assert driver.answers(request) == [api.Reject(request, 0.0)]
    told = Driver(make_settings(limits=replace(limits, sends_retry_after=True)), engines=0)
    request = told.ask(remaining=0.5)
    told.pass_time(101.0)
    assert told.of_kind(api.Reject, request)[0].retry_after > 0.0


def test_long_queue_of_retries_is_not_tried_one_by_one(monkeypatch) -> None:
    """A jam at full size was cut off: each release tried every held query that had been sent before."""
    driver = Driver(make_settings(), engines=4)
    requests = [driver.ask() for _ in range(60)]
    for request in requests:
        driver.gateway.concurrency_limit.limit = 0.0
        driver.end(request, Outcome.ERROR)
    assert len(driver.gateway.pending.queued) > 40
    tried: list[int] = []
    place = EngineSelector.select

    def counted(placement: EngineSelector, job: object) -> object:
        tried.append(1)
        return place(placement, job)

    monkeypatch.setattr(EngineSelector, "select", counted)
    driver.gateway.in_flight.threads_by_class[0], driver.gateway.concurrency_limit.limit = 100.0, 1.0
    driver.step(driver.arrival())
    assert 1 <= len(tried) <= 3


# --- load reports ---


def learn_classes(driver: Driver) -> None:
    for cls, work, count in ((0, 0.2, 40), (1, 4.0, 5)):
        for _ in range(count):
            request = driver.ask(cls)
            driver.pass_time(driver.now + 0.05)
            driver.end(request, Outcome.OK, elapsed=work, work=work)
    driver.actions.clear()


def test_engine_reporting_high_load_is_passed_over_until_the_report_ages() -> None:
    """Own threads of one of many gateways tell nothing of an engine that the others fill."""
    driver = Driver(make_settings(gateway_count=100, **REPORTING), engines=3)
    for index in range(3):
        engine = driver.gateway.engine_registry.engines[engine_id(index)]
        driver.gateway.load_reports.record(engine, (1.0, 4.0 if index else 60.0))
    requests = [driver.ask(table_group=float(i)) for i in range(30)]
    assert engine_id(0) not in {driver.sends(r)[0].engine for r in requests}
    driver.now += 120.0
    requests = [driver.ask(table_group=float(i)) for i in range(30, 60)]
    assert engine_id(0) in {driver.sends(r)[0].engine for r in requests}


PROBING = api.Limits(can_cancel=True, max_attempts=4, load_probes_enabled=True, load_probe_price=0.01)


def test_heavy_request_probes_load_and_waits_briefly() -> None:
    driver = Driver(make_settings(limits=PROBING, gateway_count=100, **REPORTING), engines=6)
    learn_classes(driver)
    driver.pass_time(driver.now + 30.0)
    light = driver.ask(0)
    assert driver.sends(light) and not driver.of_kind(api.ProbeLoad)
    heavy = driver.ask(1, table_group=3.0)
    probed = [probe.engine for probe in driver.of_kind(api.ProbeLoad)]
    assert not driver.sends(heavy) and 2 <= len(set(probed)) == len(probed) < 6
    for engine in probed:
        active = 1.0 if engine == probed[-1] else 50.0
        driver.step(api.ProbeResult(engine, Outcome.OK, 0.001, (1.0, active)))
    driver.pass_time(driver.now + 0.1)
    assert [send.engine for send in driver.sends(heavy)] == [probed[-1]]


def test_heavy_request_leaves_without_probe_results() -> None:
    driver = Driver(make_settings(limits=PROBING, gateway_count=100, **REPORTING), engines=6)
    learn_classes(driver)
    driver.pass_time(driver.now + 30.0)
    heavy = driver.ask(1)
    driver.pass_time(driver.now + 0.1)
    assert len(driver.sends(heavy)) == 1


def test_no_probes_where_expensive_or_uninformative() -> None:
    for changes in ({"limits": replace(PROBING, load_probe_price=0.5), **REPORTING}, {"limits": PROBING}):
        driver = Driver(make_settings(gateway_count=100, **changes), engines=6)
        learn_classes(driver)
        driver.pass_time(driver.now + 30.0)
        driver.ask(1)
        assert driver.of_kind(api.ProbeLoad) == []


def test_odd_probe_results_are_harmless() -> None:
    driver = Driver(make_settings(limits=PROBING, **REPORTING), engines=2)
    known = driver.gateway.engine_registry.engines[engine_id(0)]
    for report in ((), (1.0,), (float("nan"), float("nan")), (1.0, -3.0), (1.0, float("inf")), (0.0,) * 4):
        driver.step(api.ProbeResult(engine_id(0), Outcome.OK, 0.001, report))
    assert known.reported_threads_per_core == 0.0
    driver.step(api.ProbeResult(engine_id(99), Outcome.OK, 0.001, (1.0, 5.0)))
    for outcome in Outcome:
        driver.step(api.ProbeResult(engine_id(0), outcome, 0.25))
    driver.list([api.EngineEntry(engine_id(1), api.EngineState.READY)])
    driver.step(api.ProbeResult(engine_id(0), Outcome.OK, 0.001, (1.0, 5.0)))
    learn_classes(driver)
    assert driver.sends(driver.ask())[0].engine == engine_id(1)


def test_a_new_engine_counts_as_empty_not_as_loaded_like_the_mean() -> None:
    driver = Driver(make_settings(gateway_count=100, **REPORTING), engines=3)
    for index in range(3):
        driver.gateway.load_reports.record(
            driver.gateway.engine_registry.engines[engine_id(index)], (1.0, 20.0)
        )
    entry = api.EngineEntry(engine_id(7), api.EngineState.READY, started_at=driver.now)
    driver.list([entry], api.EndpointListMode.DELTA)
    fresh, *others = (driver.gateway.engine_registry.engines[engine_id(i)] for i in (7, 0, 1, 2))
    assert (
        driver.gateway.engine_selector.load(fresh)
        < min(map(driver.gateway.engine_selector.load, others)) / 4.0
    )


# --- zones and tenants ---


def test_local_zone_leads_among_the_home_engines_where_crossing_is_costly() -> None:
    crossed = {}
    for price in (0.0, 0.04):
        driver = Driver(make_settings(zones=("a", "b", "c"), zone=1, cross_zone_price=price), engines=0)
        driver.list([api.EngineEntry(engine_id(i), api.EngineState.READY, zone=i % 3) for i in range(12)])
        for i in range(200):
            driver.end(driver.ask(table_group=float(i)), Outcome.OK)
            driver.now += 1.0
        crossed[price] = sum(send.engine[3] % 3 != 1 for send in driver.sends())
    assert crossed[0.04] < 0.9 * crossed[0.0], crossed


TENANTS = (api.TenantSettings("steady", 40.0, 0.8), api.TenantSettings("surging", 10.0, 0.2))


def tenant_driver(**changes: object) -> Driver:
    driver = Driver(make_settings(tenants=TENANTS, **changes), engines=1)
    for _ in range(6):
        driver.end(driver.ask(), Outcome.OK, elapsed=0.2, work=0.2)
    return driver


def test_tenant_over_quota_yields_while_engines_are_full() -> None:
    """One tenant's surge must not take the others' service; what is within its allowance stays."""
    driver = tenant_driver()
    driver.gateway.concurrency_limit.limit = 4.0
    surge = [driver.arrival(tenant=1) for _ in range(80)]
    steady = [driver.arrival(tenant=0) for _ in range(10)]
    driver.step(*surge)
    driver.step(*steady)
    for _ in range(10):
        out = [a.request.id for a in driver.gateway.in_flight.attempts.values()]
        for request in out:
            driver.end(request, Outcome.OK, elapsed=0.2, work=0.2)
        driver.now += 0.06
    served = {send.request for send in driver.sends()}
    assert {event.request for event in steady} <= served
    assert 10 < sum(event.request in served for event in surge) < 60


def test_surge_is_served_while_there_is_capacity() -> None:
    driver = tenant_driver()
    requests = [driver.ask(tenant=1) for _ in range(60)]
    assert all(driver.sends(r) for r in requests)


def test_tenants_out_of_range_or_without_quota_are_not_limited() -> None:
    for tenants in ((), (api.TenantSettings("none"),), (api.TenantSettings("odd", float("nan")),)):
        driver = Driver(make_settings(tenants=tenants), engines=2)
        requests = [driver.ask(tenant=tenant) for tenant in (0, 1, 99, 2**31)]
        assert all(driver.sends(r) for r in requests)
