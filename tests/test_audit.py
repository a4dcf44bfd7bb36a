"""The audit itself: for each rule a forged record that breaks it is caught, and an honest one passes."""

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


def asked(query: str, at: float, cls: str = "safe", key: str = "", limit: float = 3.0) -> Event:
    event = {"at": at, "kind": "asked", "query": query, "gateway": "0", "cls": cls, "key": key}
    return event | {"work": 0.1, "limit": at + limit}


def answer(query: str, at: float, code: str = "OK", promise: bool = False) -> Event:
    event = {"at": at, "kind": "answer", "query": query, "gateway": "0", "code": code}
    return event | {"promise": promise, "retry_after": 0.5 if promise else None}


def at_engine(
    kind: str, query: str, at: float, attempt: int = 0, engine: str = "e0", work: float = 0.1
) -> Event:
    event = {"at": at, "kind": kind, "query": query, "engine": engine, "gateway": "0", "work": work}
    return event | {"attempt": str(attempt), "incarnation": 1, "key": ""}


def run_of(query: str, at: float, took: float = 0.1, attempt: int = 0, engine: str = "e0") -> list[Event]:
    return [
        at_engine("sent", query, at, attempt, engine),
        at_engine("ran", query, at, attempt, engine),
        at_engine("answered", query, at + took, attempt, engine),
    ]


def rules_broken(record: list[Event], settings: api.Settings = SETTINGS) -> list[int]:
    return [b.rule for b in Audit(record, settings).run().breaches]


def test_an_honest_record_passes_and_is_counted() -> None:
    record = [asked("a", 0.0), *run_of("a", 0.1), answer("a", 0.3)]
    record += [asked("b", 1.0), answer("b", 1.1, "UNAVAILABLE", promise=True)]
    record += [asked("c", 2.0), *run_of("c", 2.0, 0.9), answer("c", 3.0)]
    report = Audit(record, SETTINGS).run()
    assert report.good
    row = report.rows[0]
    assert (row.asked, row.in_time, row.late, row.refused, row.attempts) == (3, 1, 1, 1, 2)


@pytest.mark.parametrize(
    "record",
    [
        [asked("a", 0.0)],
        [asked("a", 0.0), answer("a", 0.1), answer("a", 0.2)],
        [asked("a", 0.0), answer("a", 3.2, "ABORTED")],
        [asked("a", 0.0), answer("a", 0.1, "ABORTED"), *run_of("a", 0.5)],
        run_of("never-asked", 0.5),
    ],
    ids=["none", "two", "too late", "sent after the answer", "sent unasked"],
)
def test_rule_1(record: list[Event]) -> None:
    assert rules_broken(record) == [1]


def test_rule_1_lets_a_killed_gateways_queries_be() -> None:
    killed = {"at": 0.5, "kind": "killed", "gateway": "0"}
    assert rules_broken([asked("a", 0.0), killed]) == []
    assert rules_broken([asked("a", 0.0), killed, asked("b", 1.0), answer("b", 1.1)]) == []


def test_rule_2_effects_twice() -> None:
    record = [asked("a", 0.0, "keyed"), *run_of("a", 0.1), *run_of("a", 0.5, attempt=1), answer("a", 0.7)]
    assert rules_broken(record) == [2]
    assert rules_broken([e for e in record if not (e["kind"] == "ran" and e["at"] > 0.2)]) == []


def test_rule_2_an_unsafe_query_sent_again() -> None:
    again = [at_engine("sent", "a", 0.1), at_engine("lost", "a", 0.2), at_engine("sent", "a", 0.9, 1)]
    assert rules_broken([asked("a", 0.0, "unsafe"), *again, answer("a", 1.0)]) == [2]
    turned_away = [at_engine("sent", "a", 0.1), at_engine("refused", "a", 0.1), *run_of("a", 0.9, attempt=1)]
    assert rules_broken([asked("a", 0.0, "unsafe"), *turned_away, answer("a", 1.1)]) == []


def test_rule_2_an_unsafe_query_that_ran_and_was_refused() -> None:
    record = [asked("a", 0.0, "unsafe"), *run_of("a", 0.1), answer("a", 0.5, "UNAVAILABLE", promise=True)]
    assert rules_broken(record) == [2]
    assert rules_broken([*record[:-1], answer("a", 0.5, "ABORTED")]) == []


def test_rule_2_a_keyed_query_outside_its_window() -> None:
    record = [asked("a", 0.0, "keyed"), at_engine("sent", "a", 0.1), at_engine("lost", "a", 0.2)]
    record += [at_engine("sent", "a", 2.3, 1), at_engine("discarded", "a", 2.3, 1), answer("a", 2.4)]
    assert rules_broken(record) == [2]


def test_rule_2_attempts_that_overlap() -> None:
    record = [asked("a", 0.0), *run_of("a", 0.1, took=1.0), *run_of("a", 0.5, attempt=1, engine="e1")]
    record += [answer("a", 1.2)]
    assert rules_broken(record) == [2]
    copies = replace(SETTINGS, limits=replace(SETTINGS.limits, hedged_requests_enabled=True))
    assert rules_broken(record, copies) == []


def test_rule_3() -> None:
    told = {"at": 1.0, "kind": "list", "gateway": "0", "engine": "e0", "state": "draining"}
    late = [asked("a", 1.4), *run_of("a", 1.4), answer("a", 1.6)]
    assert rules_broken([told, *late]) == [3]
    assert rules_broken([told | {"gateway": "1"}, *late]) == []
    assert rules_broken([told, told | {"at": 1.3, "state": "ready"}, *late]) == []
    soon = [asked("a", 1.1), *run_of("a", 1.1), answer("a", 1.3)]
    assert rules_broken([told, *soon]) == []


def cold(at: float) -> Event:
    shape = {"capacity": 4.0, "share": 0.25, "warm_after": 4.0, "multiple": 2.0, "window": 1.0}
    return {"at": at, "kind": "cold", "engine": "e0", "incarnation": 1, **shape}


def test_rule_4() -> None:
    told = {"at": 1.0, "kind": "list", "gateway": "0", "engine": "e0", "state": "ready", "incarnation": 1}
    record: list[Event] = [cold(1.0), told]
    for n in range(3):  # 3 s of work where 2 x 4 x 0.25 x 1 s are borne
        sent = at_engine("sent", f"q{n}", 1.05 + n / 100, work=1.0)
        record += [asked(f"q{n}", 1.0), sent, answer(f"q{n}", 1.5)]
    assert rules_broken(record) == [4]
    assert rules_broken([e for e in record if e["kind"] != "list"]) == []  # nobody had been told
    spread = [e | ({"at": e["at"] + 5.0} if e["kind"] == "sent" else {}) for e in record]
    assert 4 not in rules_broken(spread)  # warm by then


def test_rule_5() -> None:
    first, second = asked("a", 0.0, "unsafe", "k"), asked("b", 0.2, "unsafe", "k")
    ends = [answer("a", 0.7), answer("b", 0.8)]
    assert rules_broken([first, second, *run_of("a", 0.1, 0.5), *run_of("b", 0.4), *ends]) == [5]
    assert rules_broken([first, second, *run_of("a", 0.1, 0.2), *run_of("b", 0.4), *ends]) == []
    assert 5 in rules_broken([first, second, *run_of("b", 0.25), *run_of("a", 0.4), *ends])
    other = second | {"key": "another"}
    assert rules_broken([first, other, *run_of("a", 0.1, 0.5), *run_of("b", 0.4), *ends]) == []


def test_rule_5_a_key_rests_after_an_open_end() -> None:
    record = [asked("a", 0.0, "unsafe", "k"), asked("b", 0.1, "unsafe", "k")]
    record += [at_engine("sent", "a", 0.1), at_engine("ran", "a", 0.1), at_engine("stopped", "a", 0.5)]
    record += [answer("a", 0.5, "ABORTED"), answer("b", 1.0)]
    assert rules_broken([*record, *run_of("b", 0.6)]) == [5]
    assert rules_broken([*record, *run_of("b", 0.85)]) == []


def test_rule_6() -> None:
    place = {"at": 0.0, "kind": "place", "engine": "e0", "zone": "two"}
    record = [place, asked("a", 0.1, "bound"), *run_of("a", 0.1), answer("a", 0.4)]
    assert rules_broken(record) == [6]
    record[0] = record[0] | {"zone": "one"}
    assert rules_broken(record) == []


def test_rule_7() -> None:
    record: list[Event] = []
    for n in range(3):
        record += [asked(f"q{n}", 1.0 + n), at_engine("sent", f"q{n}", 1.0 + n)]
        record += [at_engine("refused", f"q{n}", 1.0 + n), at_engine("sent", f"q{n}", 1.1 + n, attempt=1)]
        record += [answer(f"q{n}", 1.5 + n)]
    assert rules_broken(record) == [7]
    assert rules_broken([e for e in record if not (e.get("query") == "q0" and e.get("attempt") == "1")]) == []
