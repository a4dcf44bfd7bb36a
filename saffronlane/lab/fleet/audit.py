"""The seven rules over the sum of all dispatchers, from traffic seen outside them."""

from __future__ import annotations

from collections import defaultdict
from typing import Any, NamedTuple

from ... import params
from ..audit import Audit
from .record import Record
from .shape import FleetShape, settings

KILL_SLACK = 0.1  # seconds between a process' end and what its client sees of it


class Finding(NamedTuple):
    """A broken rule (1 to 7), or 0: a process that ended though nobody asked."""

    rule: int
    at: float
    text: str


def audit(record: Record, shape: FleetShape, ended: list[str]) -> list[Finding]:
    """All findings in the order of their time."""
    given = params.read_settings(params.Params.of_object(settings(shape, 0)))
    findings = [Finding(0, 0.0, text) for text in ended]
    findings += [Finding(*_plain(breach)) for breach in Audit(record.events, given).run().breaches]
    findings += _lost(record.events)
    findings += [
        Finding(4, event["at"], f"node {event['engine']} was pushed over while cold")
        for event in record.events
        if event["kind"] == "fell"
    ]
    return sorted(findings, key=lambda finding: finding.at)


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
