"""The seven rules over the sum of all dispatchers, from traffic seen outside them, and what else is promised.

Nothing is sent on for a client that has left, a cold node's calls stay within their budget over the whole
fleet, and restarted processes are soon ready.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from typing import Any, NamedTuple

from ...simulator import settings as params
from ..audit import Audit
from .record import Record
from .shape import COLD_SHARE, COLD_TIME, FALL_MULTIPLE, FALL_WINDOW, FleetShape, settings

KILL_SLACK = 0.1  # seconds between a process' end and what its client sees of it
LEFT_SLACK, LEFT_MOST = (
    0.1,
    2,
)  # seconds after a client has left; attempts later than that which chance explains
READY_WITHIN, LATE_ONE_IN = 10.0, 10  # seconds; of so many restarted processes one may take longer


class Finding(NamedTuple):
    """A broken rule (1 to 7), or 0: a process that ended though nobody asked, or was not ready in time."""

    rule: int
    at: float
    text: str


def audit(record: Record, shape: FleetShape, ended: list[str]) -> list[Finding]:
    """All findings in the order of their time."""
    given = params.read_settings(params.Params.from_object(settings(shape, 0)))
    findings = [Finding(0, 0.0, text) for text in ended]
    left = {event["query"] for event in record.events if event["kind"] == "left"}
    waiting = [
        event for event in record.events if event.get("query") not in left
    ]  # the others are owed nothing
    findings += [Finding(*_plain(breach)) for breach in Audit(waiting, given).run().violations]
    findings += (
        _lost(waiting) + _left(record.events) + _cold_sum(record.events, shape) + _ready(record.events)
    )
    findings += [
        Finding(4, event["at"], f"node {event['engine']} was pushed over while cold")
        for event in record.events
        if event["kind"] == "fell"
    ]
    return sorted(findings, key=lambda finding: finding.at)


def _left(events: list[dict[str, Any]]) -> list[Finding]:
    """Attempts that begin for clients that have left. From the third on they are no chance."""
    left = {event["query"]: event["at"] for event in events if event["kind"] == "left"}
    late = [
        Finding(
            1, event["at"], f"query {event['query']} was sent {event['at'] - left[event['query']]:.3f} s late"
        )
        for event in events
        if event["kind"] == "sent" and event["at"] > left.get(event["query"], math.inf) + LEFT_SLACK
    ]
    return late[LEFT_MOST:]


def _cold_sum(events: list[dict[str, Any]], shape: FleetShape) -> list[Finding]:
    """Rule 4 by the number of calls: past N only 2 root N + 2 in a window are put down to chance."""
    sends: dict[tuple[str, int], list[float]] = defaultdict(list)
    for event in events:
        if event["kind"] == "sent":
            sends[event["engine"], event["incarnation"]].append(event["at"])
    findings = []
    for event in events:
        if event["kind"] != "cold":
            continue
        since, name = event["at"], (event["engine"], event["incarnation"])
        times = [at for at in sends[name] if at < since + COLD_TIME]
        for first, at in enumerate(times):
            warm = COLD_SHARE + (1.0 - COLD_SHARE) * min(1.0, (at + FALL_WINDOW - since) / COLD_TIME)
            calls = FALL_MULTIPLE * shape.cores * warm * FALL_WINDOW / shape.mean_work
            got = bisect_left(times, at + FALL_WINDOW) - first
            if got > calls + 2.0 * math.sqrt(calls) + 2.0:
                findings.append(Finding(4, at, f"node {name[0]} got {got} calls while cold, for {calls:.0f}"))
                break
    return findings


def _ready(events: list[dict[str, Any]]) -> list[Finding]:
    """Nine in ten of the processes that were restarted are ready in time."""
    started: dict[str, float] = {}
    spans: list[float] = []
    for event in events:
        if event["kind"] == "started":
            started[event["gateway"]] = event["at"]
        elif event["kind"] == "ready" and event["gateway"] in started:
            spans.append(event["at"] - started.pop(event["gateway"]))
    late = sum(span > READY_WITHIN for span in spans) + len(started)
    if LATE_ONE_IN * late <= len(spans) + len(started):
        return []
    return [
        Finding(0, max(started.values(), default=0.0), f"{late} restarted processes were not ready in time")
    ]


def _plain(breach: Any) -> tuple[int, float, str]:
    return breach.rule, breach.at, breach.text


def _lost(events: list[dict[str, Any]]) -> list[Finding]:
    """Rule 1 where dispatchers are killed: only what a killed process held may go unanswered."""
    killed: dict[str, list[float]] = defaultdict(list)

    def killed_between(event: dict[str, Any], since: float, until: float) -> bool:
        return any(since - KILL_SLACK <= at <= until + KILL_SLACK for at in killed[event["gateway"]])

    asked: dict[str, dict[str, Any]] = {}
    answered: dict[str, str] = {}
    findings = []
    for event in events:
        kind = event["kind"]
        if kind == "killed":
            killed[event["gateway"]].append(event["at"])
        elif kind == "asked":
            asked[event["query"]] = event
        elif kind == "answer":
            answered[event["query"]] = kind
        elif kind == "unreachable":
            answered[event["query"]] = kind
            if not killed_between(event, asked[event["query"]]["at"], event["at"]):
                text = f"query {event['query']} was dropped by {event['gateway']}, which lives"
                findings.append(Finding(1, event["at"], text))
    for query, event in asked.items():
        known = query in answered or event["gateway"] not in killed  # the plain audit finds the others
        if not known and not killed_between(event, event["at"], event["limit"]):
            findings.append(Finding(1, event["limit"], f"query {query} has no final answer"))
    return findings
