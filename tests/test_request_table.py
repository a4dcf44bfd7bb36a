"""The components of the dispatcher: request table, intake, engine table and timers."""

from __future__ import annotations

import math

import pytest

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.dispatch.engine_table import EngineTable
from saffronlane.dispatch.errors import DuplicateRequestError
from saffronlane.dispatch.intake import RequestIntake
from saffronlane.dispatch.requests import NO_GRANT, Request, RequestTable, ResourceGrant
from saffronlane.dispatch.timers import TimerQueue

LIMITS = api.Limits(sends_retry_after=True, max_retry_after=10.0)


def table_with_request(can_cancel: bool = True) -> tuple[RequestTable, Request, list[dispatch.Effect]]:
    effects: list[dispatch.Effect] = []
    table = RequestTable(effects, can_cancel)
    request = Request(1)
    table.add(request)
    return table, request, effects


def test_a_request_is_answered_once() -> None:
    table, request, effects = table_with_request()
    table.answer(request, dispatch.FailRequest(1, "first"))
    table.answer(request, dispatch.FailRequest(1, "second"))
    assert effects == [dispatch.FailRequest(1, "first")]
    assert table.pending_count == 0


def test_adding_a_request_with_a_used_number_raises_an_error() -> None:
    table, _, _ = table_with_request()
    with pytest.raises(DuplicateRequestError, match="request 1 was submitted before"):
        table.add(Request(1))
    assert len(table) == 1 and table.pending_count == 1


def test_a_commit_cancels_the_other_attempts() -> None:
    table, request, effects = table_with_request()
    first = request.add_attempt(b"a")
    second = request.add_attempt(b"b")
    table.commit(request, second)
    assert effects == [dispatch.Commit(1, 1), dispatch.CancelAttempt(1, 0)]
    table.cancel(request, first)
    assert len(effects) == 2, "an attempt is cancelled once"


def test_an_answered_request_stays_until_its_attempts_have_ended() -> None:
    table, request, effects = table_with_request(can_cancel=False)
    attempt = request.add_attempt(b"a")
    table.answer(request, None)
    table.release_answered()
    assert effects == [dispatch.DiscardAttempt(1, 0)]
    assert len(table) == 1 and table.in_flight_count == 1
    attempt.has_ended = True
    assert table.find_in_flight(1, 0) is None
    table.mark_releasable(request)
    table.release_answered()
    assert len(table) == 0 and table.in_flight_count == 0


@pytest.mark.parametrize("request_id, attempt_number", [(1, 1), (1, -1), (2, 0)])
def test_an_unknown_attempt_is_not_found(request_id: int, attempt_number: int) -> None:
    table, request, _ = table_with_request()
    request.add_attempt(b"a")
    assert table.find_in_flight(request_id, attempt_number) is None


def test_a_resource_grant_is_valid_for_one_attempt() -> None:
    request = Request(1, next_grant=ResourceGrant(64.0, 2))
    assert request.take_grant() == ResourceGrant(64.0, 2)
    assert request.take_grant() == NO_GRANT


def test_intake_rejects_requests_beyond_the_limit() -> None:
    intake = RequestIntake(LIMITS, max_pending=5)
    assert intake.rejection(1, pending_count=5, now=0.0) is None
    rejection = intake.rejection(1, pending_count=6, now=0.0)
    assert rejection == dispatch.RejectRequest(1, 10.0, "5 requests wait already")


def test_a_drain_sends_its_remaining_grace_period_as_retry_after() -> None:
    intake = RequestIntake(LIMITS, max_pending=5)
    intake.begin_drain(now=100.0, grace_period=4.0)
    intake.begin_drain(now=101.0, grace_period=60.0)  # ignored, since the drain has begun
    rejection = intake.rejection(1, pending_count=1, now=101.0)
    assert rejection is not None and rejection.retry_after == 3.0
    intake.finish_drain(now=102.0)
    rejection = intake.rejection(1, pending_count=1, now=102.0)
    assert rejection is not None and rejection.retry_after == 0.0


def test_engine_table_applies_full_and_partial_lists() -> None:
    table = EngineTable()
    ready = api.EngineEntry(b"a", api.EngineState.READY)
    draining = api.EngineEntry(b"b", api.EngineState.DRAINING)
    removed = api.EngineEntry(b"a", api.EngineState.REMOVED)
    table.apply(api.EndpointListUpdate(api.EndpointListMode.FULL, 1, (ready, draining)))
    assert table.is_ready(b"a") and not table.is_ready(b"b") and not table.is_ready(b"c")
    table.apply(api.EndpointListUpdate(api.EndpointListMode.DELTA, 2, (removed,)))
    assert table.ids == [b"b"]
    assert table.full_update() == api.EndpointListUpdate(api.EndpointListMode.FULL, 2, (draining,))


def test_timers_fire_in_the_order_of_their_deadlines() -> None:
    timers = TimerQueue()
    assert timers.next_deadline == math.inf
    for deadline, token in ((3.0, 7), (1.0, 9), (1.0, 8)):
        timers.schedule(deadline, token)
    assert timers.next_deadline == 1.0
    assert timers.pop_due(2.0) == [8, 9]
    assert timers.pop_due(3.0) == [7]
    timers.schedule(4.0, 1)
    timers.clear()
    assert timers.pop_due(9.0) == []
