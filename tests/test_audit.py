"""Tests of the audit: for each rule, a record that violates it is reported, and a correct record passes.

The rules and their numbers are explained in `saffronlane.lab.audit`.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from conftest import make_settings

from saffronlane import interface as api
from saffronlane.interface import Idempotency
from saffronlane.lab.audit import Audit

Event = dict[str, Any]
CLASSES = (
    api.ClassSettings("safe", latency_objective=0.5, deadline=3.0),
    api.ClassSettings("keyed", 1.0, 6.0, idempotency=Idempotency.KEYED, idempotency_ttl=2.0),
    api.ClassSettings("unsafe", 1.0, 4.0, idempotency=Idempotency.UNSAFE, is_ordered=True),
    api.ClassSettings("bound", 1.0, 4.0, allowed_zones=(0,)),
)
SETTINGS = make_settings(
    classes=CLASSES,
    zones=("one", "two"),
    guarantees=api.Guarantees(
        response_slack=0.02,
        drain_grace_period=0.2,
        ordering_cooldown=0.3,
        retry_budget_base=2.0,
        retry_budget_ratio=0.1,
        retry_budget_window=5.0,
    ),
)


def submission(query: str, at: float, cls: str = "safe", key: str = "", timeout: float = 3.0) -> Event:
    event = {"at": at, "kind": "asked", "query": query, "gateway": "0", "cls": cls, "key": key}
    return event | {"work": 0.1, "limit": at + timeout}


def answer(query: str, at: float, code: str = "OK", has_retry_delay: bool = False) -> Event:
    event = {"at": at, "kind": "answer", "query": query, "gateway": "0", "code": code}
    return event | {"promise": has_retry_delay, "retry_after": 0.5 if has_retry_delay else None}


def engine_event(
    kind: str, query: str, at: float, attempt: int = 0, engine: str = "e0", work: float = 0.1
) -> Event:
    event = {"at": at, "kind": kind, "query": query, "engine": engine, "gateway": "0", "work": work}
    return event | {"attempt": str(attempt), "incarnation": 1, "key": ""}


def execution(
    query: str, at: float, duration: float = 0.1, attempt: int = 0, engine: str = "e0"
) -> list[Event]:
    return [
        engine_event("sent", query, at, attempt, engine),
        engine_event("ran", query, at, attempt, engine),
        engine_event("answered", query, at + duration, attempt, engine),
    ]


def violated_rules(record: list[Event], settings: api.Settings = SETTINGS) -> list[int]:
    return [violation.rule for violation in Audit(record, settings).run().violations]


def test_correct_record_passes_and_its_queries_are_counted_by_result() -> None:
    record = [submission("a", 0.0), *execution("a", 0.1), answer("a", 0.3)]
    record += [submission("b", 1.0), answer("b", 1.1, "UNAVAILABLE", has_retry_delay=True)]
    record += [submission("c", 2.0), *execution("c", 2.0, 0.9), answer("c", 3.0)]
    report = Audit(record, SETTINGS).run()
    assert report.passed
    row = report.rows[0]
    assert (row.asked, row.in_time, row.late, row.refused, row.attempts) == (3, 1, 1, 1, 2)


@pytest.mark.parametrize(
    "record",
    [
        [submission("a", 0.0)],
        [submission("a", 0.0), answer("a", 0.1), answer("a", 0.2)],
        [submission("a", 0.0), answer("a", 3.2, "ABORTED")],
        [submission("a", 0.0), answer("a", 0.1, "ABORTED"), *execution("a", 0.5)],
        execution("never-asked", 0.5),
    ],
    ids=["none", "two", "too late", "dispatched after the answer", "never submitted"],
)
def test_rule_1_reports_missing_repeated_and_late_answers_and_unexpected_dispatches(
    record: list[Event],
) -> None:
    assert violated_rules(record) == [1]


def test_rule_1_ignores_unanswered_queries_of_a_killed_gateway() -> None:
    killed = {"at": 0.5, "kind": "killed", "gateway": "0"}
    assert violated_rules([submission("a", 0.0), killed]) == []
    assert violated_rules([submission("a", 0.0), killed, submission("b", 1.0), answer("b", 1.1)]) == []


def test_rule_2_reports_a_keyed_query_that_ran_twice() -> None:
    record = [
        submission("a", 0.0, "keyed"),
        *execution("a", 0.1),
        *execution("a", 0.5, attempt=1),
        answer("a", 0.7),
    ]
    assert violated_rules(record) == [2]
    assert violated_rules([e for e in record if not (e["kind"] == "ran" and e["at"] > 0.2)]) == []


def test_rule_2_reports_a_retry_of_an_unsafe_query_unless_it_was_refused() -> None:
    retried = [
        engine_event("sent", "a", 0.1),
        engine_event("lost", "a", 0.2),
        engine_event("sent", "a", 0.9, 1),
    ]
    assert violated_rules([submission("a", 0.0, "unsafe"), *retried, answer("a", 1.0)]) == [2]
    refused = [
        engine_event("sent", "a", 0.1),
        engine_event("refused", "a", 0.1),
        *execution("a", 0.9, attempt=1),
    ]
    assert violated_rules([submission("a", 0.0, "unsafe"), *refused, answer("a", 1.1)]) == []


def test_rule_2_reports_an_unsafe_query_that_ran_but_was_rejected_as_retryable() -> None:
    record = [
        submission("a", 0.0, "unsafe"),
        *execution("a", 0.1),
        answer("a", 0.5, "UNAVAILABLE", has_retry_delay=True),
    ]
    assert violated_rules(record) == [2]
    assert violated_rules([*record[:-1], answer("a", 0.5, "ABORTED")]) == []


def test_rule_2_reports_a_retry_of_a_keyed_query_after_its_key_expired() -> None:
    record = [submission("a", 0.0, "keyed"), engine_event("sent", "a", 0.1), engine_event("lost", "a", 0.2)]
    record += [engine_event("sent", "a", 2.3, 1), engine_event("discarded", "a", 2.3, 1), answer("a", 2.4)]
    assert violated_rules(record) == [2]


def test_rule_2_reports_overlapping_attempts_unless_hedging_is_enabled() -> None:
    record = [
        submission("a", 0.0),
        *execution("a", 0.1, duration=1.0),
        *execution("a", 0.5, attempt=1, engine="e1"),
    ]
    record += [answer("a", 1.2)]
    assert violated_rules(record) == [2]
    hedging_settings = replace(SETTINGS, limits=replace(SETTINGS.limits, hedged_requests_enabled=True))
    assert violated_rules(record, hedging_settings) == []


def test_rule_3_reports_a_dispatch_to_a_draining_engine_after_the_grace_period() -> None:
    drain_listed = {"at": 1.0, "kind": "list", "gateway": "0", "engine": "e0", "state": "draining"}
    late = [submission("a", 1.4), *execution("a", 1.4), answer("a", 1.6)]
    assert violated_rules([drain_listed, *late]) == [3]
    assert violated_rules([drain_listed | {"gateway": "1"}, *late]) == []
    assert violated_rules([drain_listed, drain_listed | {"at": 1.3, "state": "ready"}, *late]) == []
    within_grace = [submission("a", 1.1), *execution("a", 1.1), answer("a", 1.3)]
    assert violated_rules([drain_listed, *within_grace]) == []


def cold_start(at: float) -> Event:
    shape = {"capacity": 4.0, "share": 0.25, "warm_after": 4.0, "multiple": 2.0, "window": 1.0}
    return {"at": at, "kind": "cold", "engine": "e0", "incarnation": 1, **shape}


def test_rule_4_reports_an_overloaded_cold_engine_if_the_gateway_was_told_of_the_start() -> None:
    start_listed = {
        "at": 1.0,
        "kind": "list",
        "gateway": "0",
        "engine": "e0",
        "state": "ready",
        "incarnation": 1,
    }
    record: list[Event] = [cold_start(1.0), start_listed]
    for n in range(3):  # 3 s of work; at the cold start, the limit is 2 x 4 x 0.25 x 1 s = 2 s
        sent = engine_event("sent", f"q{n}", 1.05 + n / 100, work=1.0)
        record += [submission(f"q{n}", 1.0), sent, answer(f"q{n}", 1.5)]
    assert violated_rules(record) == [4]
    assert violated_rules([e for e in record if e["kind"] != "list"]) == []  # no gateway was told
    sent_later = [e | ({"at": e["at"] + 5.0} if e["kind"] == "sent" else {}) for e in record]
    assert 4 not in violated_rules(sent_later)  # the engine is warm by then


def test_rule_5_reports_overlapping_or_reordered_queries_with_one_ordering_key() -> None:
    first, second = submission("a", 0.0, "unsafe", "k"), submission("b", 0.2, "unsafe", "k")
    answers = [answer("a", 0.7), answer("b", 0.8)]
    assert violated_rules([first, second, *execution("a", 0.1, 0.5), *execution("b", 0.4), *answers]) == [5]
    assert violated_rules([first, second, *execution("a", 0.1, 0.2), *execution("b", 0.4), *answers]) == []
    assert 5 in violated_rules([first, second, *execution("b", 0.25), *execution("a", 0.4), *answers])
    second_with_other_key = second | {"key": "another"}
    assert (
        violated_rules(
            [first, second_with_other_key, *execution("a", 0.1, 0.5), *execution("b", 0.4), *answers]
        )
        == []
    )


def test_rule_5_requires_a_cooldown_of_the_key_after_an_uncertain_outcome() -> None:
    record = [submission("a", 0.0, "unsafe", "k"), submission("b", 0.1, "unsafe", "k")]
    record += [
        engine_event("sent", "a", 0.1),
        engine_event("ran", "a", 0.1),
        engine_event("stopped", "a", 0.5),
    ]
    record += [answer("a", 0.5, "ABORTED"), answer("b", 1.0)]
    assert violated_rules([*record, *execution("b", 0.6)]) == [5]
    assert violated_rules([*record, *execution("b", 0.85)]) == []


def test_rule_6_reports_a_dispatch_outside_the_allowed_zones() -> None:
    placement = {"at": 0.0, "kind": "place", "engine": "e0", "zone": "two"}
    record = [placement, submission("a", 0.1, "bound"), *execution("a", 0.1), answer("a", 0.4)]
    assert violated_rules(record) == [6]
    record[0] = record[0] | {"zone": "one"}
    assert violated_rules(record) == []


def test_rule_7_reports_retries_beyond_the_retry_budget() -> None:
    record: list[Event] = []
    for n in range(3):
        record += [submission(f"q{n}", 1.0 + n), engine_event("sent", f"q{n}", 1.0 + n)]
        record += [
            engine_event("refused", f"q{n}", 1.0 + n),
            engine_event("sent", f"q{n}", 1.1 + n, attempt=1),
        ]
        record += [answer(f"q{n}", 1.5 + n)]
    assert violated_rules(record) == [7]
    assert (
        violated_rules([e for e in record if not (e.get("query") == "q0" and e.get("attempt") == "1")]) == []
    )
