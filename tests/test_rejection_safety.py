"""Rejections: what is promised to the client, and for how long, if an attempt may have run."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from conftest import Driver, engine_id, make_settings, one_class
from hypothesis import given
from hypothesis import strategies as st

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.interface import DeduplicationScope, EngineState, Idempotency, Outcome
from saffronlane.simulator.adapter import read_settings

DEADLINE = 5.0  # seconds for which a client of the short class waits, over all its tries
START = 100.0  # seconds, the time of a driver's first step


def keyed_driver(ttl: float, engines: int = 4, **changes: object) -> Driver:
    """Return a driver with one keyed class; each of its requests has a single attempt."""
    fields = {"idempotency": Idempotency.KEYED, "idempotency_ttl": ttl, "late_priority_weight": 0.5} | changes
    settings = make_settings(classes=one_class(**fields))
    return Driver(replace(settings, limits=replace(settings.limits, max_attempts=1)), engines=engines)


def answer_after_reset(driver: Driver, seconds: float) -> api.Action:
    """Submit a request whose only attempt is reset after `seconds`, and return its final answer."""
    request = driver.submit()
    driver.now += seconds
    driver.end_attempt(request, Outcome.RESET)
    (answer,) = driver.final_answers(request)
    return answer


@pytest.mark.parametrize("seconds", [0.1, 2.0, 4.0])
@pytest.mark.parametrize("ttl", [1.0, 4.9])
def test_request_fails_if_its_key_may_be_forgotten_before_its_client_gives_up(
    ttl: float, seconds: float
) -> None:
    """Guards against a load that takes effect twice: rejected, then retried after its key was forgotten."""
    driver = keyed_driver(ttl)
    assert isinstance(answer_after_reset(driver, seconds), api.Fail)


@pytest.mark.parametrize("seconds", [0.1, 2.0, 2.7])
@pytest.mark.parametrize("ttl", [DEADLINE, 30.0])
def test_request_whose_key_outlives_its_client_is_rejected_with_the_usual_delay(
    ttl: float, seconds: float
) -> None:
    """Guards against a failure where a rejection is safe: its client would not retry."""
    safe_class = keyed_driver(ttl, idempotency=Idempotency.SAFE)
    answer = answer_after_reset(keyed_driver(ttl), seconds)
    assert answer == answer_after_reset(safe_class, seconds)
    assert isinstance(answer, api.Reject) and answer.retry_after > 0.0


def test_key_that_is_first_sent_late_outlives_the_client_with_a_shorter_ttl() -> None:
    """Guards against a lifetime that is counted from the arrival: the key is new when it is first sent."""
    driver = keyed_driver(DEADLINE - 1.0, engines=0)
    request = driver.submit()
    driver.now += 1.1
    driver.update_endpoints([api.EngineEntry(engine_id(0), EngineState.READY)])
    driver.end_attempt(request, Outcome.RESET)
    assert isinstance(driver.final_answers(request)[0], api.Reject)


def test_rejection_asks_for_no_delay_beyond_the_end_of_the_key() -> None:
    """Guards against a client that is told to come back when its key is forgotten already."""
    answer = answer_after_reset(keyed_driver(DEADLINE), 4.5)
    assert isinstance(answer, api.Reject) and answer.retry_after == pytest.approx(0.25)


def test_attempt_that_never_ran_does_not_start_the_lifetime_of_a_key() -> None:
    driver = keyed_driver(0.5)
    request = driver.submit()
    driver.now += 1.0
    driver.end_attempt(request, Outcome.CONNECT_FAILED)
    assert isinstance(driver.final_answers(request)[0], api.Reject)


@pytest.mark.parametrize(("ttl", "answer_type"), [(4.9, api.Fail), (DEADLINE, api.Reject)])
def test_shutdown_rejects_only_requests_whose_key_outlives_their_client(
    ttl: float, answer_type: type
) -> None:
    driver = keyed_driver(ttl)
    request = driver.submit()
    driver.now += 1.0
    driver.step(api.Shutdown())
    assert isinstance(driver.final_answers(request)[0], answer_type)


@pytest.mark.parametrize(("ttl", "answer_type"), [(4.9, api.Fail), (DEADLINE, api.Reject)])
def test_timeout_rejects_only_requests_whose_key_outlives_their_client(ttl: float, answer_type: type) -> None:
    driver = keyed_driver(ttl)
    request = driver.submit(timeout=3.0)
    driver.run_until(START + 3.0)
    assert isinstance(driver.final_answers(request)[0], answer_type)


@pytest.mark.parametrize("idempotency", [Idempotency.KEYED, Idempotency.UNSAFE])
@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL, DeduplicationScope.ALL])
def test_request_that_may_have_run_fails_unless_every_engine_knows_its_key(
    idempotency: Idempotency, scope: DeduplicationScope
) -> None:
    driver = keyed_driver(30.0, idempotency=idempotency, deduplication_scope=scope)
    is_safe = idempotency is Idempotency.KEYED and scope is DeduplicationScope.ALL
    assert isinstance(answer_after_reset(driver, 0.1), api.Reject if is_safe else api.Fail)


@pytest.mark.parametrize(
    ("ttl", "previous_age", "timeout", "answer_type"),
    [
        (DEADLINE, 2.0, 3.0, api.Reject),  # the client began at the previous attempt at the latest
        (4.9, 2.0, 3.0, api.Fail),
        (DEADLINE, 2.0, 4.0, api.Fail),  # this try lasts longer than a deadline after the previous attempt
        (30.0, 2.0, 5.0, api.Reject),
    ],
)
def test_previous_attempt_starts_the_lifetime_of_a_key(
    ttl: float, previous_age: float, timeout: float, answer_type: type
) -> None:
    """Guards against a lifetime that begins anew with a retry, as at a gateway that has restarted."""
    driver = keyed_driver(ttl, engines=0)
    previous = api.PreviousAttempt(engine_id(0), driver.now - previous_age)
    request = driver.submit(timeout=timeout, previous_attempt=previous)
    driver.now += 0.5
    driver.step(api.Shutdown())
    assert isinstance(driver.final_answers(request)[0], answer_type)


def run_until_answered(driver: Driver, request: int, until: float) -> None:
    """Fire timers in order until the request is answered or the time `until` has come."""
    while not driver.final_answers(request) and min(driver.timers)[0] <= until:
        driver.run_until(min(driver.timers)[0])
    if not driver.final_answers(request):
        driver.now = until


times = st.floats(0.0, 2.0 * DEADLINE)


@given(ttl=times, queued=times, running=times, timeout=times)
def test_no_send_before_the_client_gives_up_finds_the_key_of_a_rejected_request_forgotten(
    ttl: float, queued: float, running: float, timeout: float
) -> None:
    """A retry may be sent until its client gives up: another gateway may queue it, drain or restart."""
    driver = keyed_driver(ttl, engines=0)
    request = driver.submit(timeout=timeout)
    run_until_answered(driver, request, START + queued)
    if driver.final_answers(request):
        return  # it was never sent
    driver.update_endpoints([api.EngineEntry(engine_id(0), EngineState.READY)])
    sent_at = driver.now if driver.dispatches(request) else math.inf
    run_until_answered(driver, request, driver.now + running)
    if not driver.final_answers(request):
        driver.end_attempt(request, Outcome.RESET)
    (answer,) = driver.final_answers(request)
    key_expires_at = sent_at + ttl
    if isinstance(answer, api.Reject):
        assert key_expires_at >= START + DEADLINE
        assert driver.now + answer.retry_after <= key_expires_at
    else:
        assert key_expires_at < START + DEADLINE or driver.now > key_expires_at - 0.25


# --- requests that are not admitted, and the simulator ---


@pytest.mark.parametrize(
    ("idempotency", "ttl", "answer_type"),
    [
        (Idempotency.SAFE, 0.0, dispatch.RejectRequest),
        (Idempotency.KEYED, 4.9, dispatch.FailRequest),
        (Idempotency.KEYED, 30.0, dispatch.RejectRequest),
        (Idempotency.UNSAFE, 0.0, dispatch.FailRequest),
    ],
)
@pytest.mark.parametrize("is_draining", [True, False])
def test_request_that_is_not_admitted_is_rejected_only_if_a_retry_cannot_run_it_twice(
    idempotency: Idempotency, ttl: float, answer_type: type, is_draining: bool
) -> None:
    """Guards against a retry that is rejected by a draining or full gateway, and runs twice elsewhere."""
    classes = one_class(idempotency=idempotency, idempotency_ttl=ttl)
    dispatcher = dispatch.Dispatcher(make_settings(classes=classes), seed=1, max_pending=1)
    entry = api.EngineEntry(engine_id(0), EngineState.READY)
    dispatcher.step(START, [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, (entry,))])
    dispatcher.step(START, [dispatch.Submit(1, 0, DEADLINE, idempotency_key=b"key")])
    if is_draining:
        dispatcher.step(START + 0.5, [dispatch.BeginDrain(10.0)])
    effects = dispatcher.step(START + 1.0, [dispatch.Submit(2, 0, 1.0, idempotency_key=b"key")])
    (answer,) = (effect for effect in effects if isinstance(effect, answer_type))
    assert answer.request == 2
    effects = dispatcher.step(START + 1.0, [dispatch.Submit(3, 0, 1.0, idempotency_key=b"other")])
    assert isinstance(effects[0], dispatch.RejectRequest)  # surely never ran


SIMULATOR_SETTINGS = """domainType=queries
fleetSize=2
kinds=a
extra.kindCores=8
limits.sendCap=1
limits.retryAfter=true
limits.maxRetryAfter=2.0
services.count=1
services.0.name=load
services.0.aim=1.0
services.0.deadline=5.0
services.0.effect=dedup
services.0.group=all
"""


@pytest.mark.parametrize(("ttl", "answer_type"), [(4.9, api.Fail), (5.0, api.Reject)])
def test_simulator_settings_lead_to_the_same_answers(ttl: float, answer_type: type) -> None:
    driver = Driver(read_settings(f"{SIMULATOR_SETTINGS}services.0.keyTtl={ttl}\n"))
    request = driver.submit()
    driver.now += 1.0
    driver.end_attempt(request, Outcome.RESET)
    assert isinstance(driver.final_answers(request)[0], answer_type)
