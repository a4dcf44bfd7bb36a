"""Audits a fleet by the traffic seen outside the dispatchers.

The audit applies the seven rules of `lab.audit` to the traffic of all dispatchers together. It also checks
that no attempt starts for a client that has cancelled its request, that the calls to a cold node stay within
the budget over the whole fleet, and that restarted processes become ready in time.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from typing import Any, NamedTuple

from ...simulator import settings as params
from ..audit import Audit
from .record import Record
from .shape import (
    INITIAL_CAPACITY_RATIO,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    SLOW_START_S,
    FleetShape,
    dispatcher_settings,
)

KILL_SLACK_S = 0.1  # from the end of a process until its clients notice it
# An attempt may still start within the slack after its client cancelled. Of the attempts that start later,
# this number is tolerated in a run, because a few can occur by chance.
CLIENT_LEFT_SLACK_S, MAX_LATE_SENDS = 0.1, 2
# A restarted process must become ready within the limit. One late start in ten restarts is tolerated.
READY_LIMIT_S, RESTARTS_PER_LATE_START = 10.0, 10


class Finding(NamedTuple):
    """A violation of a rule (1 to 7). Rule 0 means an unexpected process exit or a late start."""

    rule: int
    at: float
    text: str


def audit(record: Record, shape: FleetShape, unexpected_exits: list[str]) -> list[Finding]:
    """Returns all findings, ordered by time."""
    gateway_settings = params.read_settings(params.Params.from_object(dispatcher_settings(shape, 0)))
    findings = [Finding(0, 0.0, text) for text in unexpected_exits]
    cancelled_queries = {event["query"] for event in record.events if event["kind"] == "left"}
    # A client that has cancelled its request no longer expects an answer.
    awaited_events = [event for event in record.events if event.get("query") not in cancelled_queries]
    findings += [
        Finding(*_finding_fields(violation))
        for violation in Audit(awaited_events, gateway_settings).run().violations
    ]
    findings += (
        _unanswered_queries(awaited_events)
        + _sends_after_client_left(record.events)
        + _cold_node_overloads(record.events, shape)
        + _late_starts(record.events)
    )
    findings += [
        Finding(4, event["at"], f"node {event['engine']} was overloaded while cold")
        for event in record.events
        if event["kind"] == "fell"
    ]
    return sorted(findings, key=lambda finding: finding.at)


def _sends_after_client_left(events: list[dict[str, Any]]) -> list[Finding]:
    """Reports attempts that start after the slack, except for the first `MAX_LATE_SENDS`."""
    cancel_times = {event["query"]: event["at"] for event in events if event["kind"] == "left"}
    late_sends = [
        Finding(
            1,
            event["at"],
            f"query {event['query']} was sent {event['at'] - cancel_times[event['query']]:.3f} s"
            " after its client cancelled",
        )
        for event in events
        if event["kind"] == "sent"
        and event["at"] > cancel_times.get(event["query"], math.inf) + CLIENT_LEFT_SLACK_S
    ]
    return late_sends[MAX_LATE_SENDS:]


def _cold_node_overloads(events: list[dict[str, Any]], shape: FleetShape) -> list[Finding]:
    """Checks rule 4, the load limit of a cold node, by the number of calls.

    If the budget allows N calls in a window, up to N + 2 sqrt(N) + 2 calls are attributed to chance.
    """
    send_times: dict[tuple[str, int], list[float]] = defaultdict(list)
    for event in events:
        if event["kind"] == "sent":
            send_times[event["engine"], event["incarnation"]].append(event["at"])
    findings = []
    for event in events:
        if event["kind"] != "cold":
            continue
        cold_since, node_key = event["at"], (event["engine"], event["incarnation"])
        times = [at for at in send_times[node_key] if at < cold_since + SLOW_START_S]
        for index, at in enumerate(times):
            capacity_ratio = INITIAL_CAPACITY_RATIO + (1.0 - INITIAL_CAPACITY_RATIO) * min(
                1.0, (at + OVERLOAD_WINDOW_S - cold_since) / SLOW_START_S
            )
            expected_calls = (
                OVERLOAD_FACTOR * shape.cores * capacity_ratio * OVERLOAD_WINDOW_S / shape.mean_work
            )
            call_count = bisect_left(times, at + OVERLOAD_WINDOW_S) - index
            if call_count > expected_calls + 2.0 * math.sqrt(expected_calls) + 2.0:
                findings.append(
                    Finding(
                        4,
                        at,
                        f"node {node_key[0]} got {call_count} calls while cold, {expected_calls:.0f} allowed",
                    )
                )
                break
    return findings


def _late_starts(events: list[dict[str, Any]]) -> list[Finding]:
    """Checks that at least nine of ten restarted processes become ready in time."""
    start_times: dict[str, float] = {}
    start_durations: list[float] = []
    for event in events:
        if event["kind"] == "started":
            start_times[event["gateway"]] = event["at"]
        elif event["kind"] == "ready" and event["gateway"] in start_times:
            start_durations.append(event["at"] - start_times.pop(event["gateway"]))
    late_count = sum(duration > READY_LIMIT_S for duration in start_durations) + len(start_times)
    if RESTARTS_PER_LATE_START * late_count <= len(start_durations) + len(start_times):
        return []
    return [
        Finding(
            0,
            max(start_times.values(), default=0.0),
            f"{late_count} restarted processes were not ready in time",
        )
    ]


def _finding_fields(violation: Any) -> tuple[int, float, str]:
    return violation.rule, violation.at, violation.text


def _unanswered_queries(events: list[dict[str, Any]]) -> list[Finding]:
    """Checks rule 1, one final answer for each query, for fleets in which dispatchers are killed.

    Only queries that a killed process had in flight may stay unanswered.
    """
    kill_times: dict[str, list[float]] = defaultdict(list)

    def was_killed_between(event: dict[str, Any], since: float, until: float) -> bool:
        return any(since <= at <= until + KILL_SLACK_S for at in kill_times[event["gateway"]])

    requests: dict[str, dict[str, Any]] = {}
    answer_kinds: dict[str, str] = {}
    findings = []
    for event in events:
        kind = event["kind"]
        if kind == "killed":
            kill_times[event["gateway"]].append(event["at"])
        elif kind == "asked":
            requests[event["query"]] = event
        elif kind == "answer":
            answer_kinds[event["query"]] = kind
        elif kind == "unreachable":
            answer_kinds[event["query"]] = kind
            request = requests[event["query"]]
            # The client may notice only after it has asked that the process at the other end is gone.
            since = request.get("connected_at", request["at"] - KILL_SLACK_S)
            if not was_killed_between(event, since, event["at"]):
                text = f"query {event['query']} was dropped by {event['gateway']}, which was not killed"
                findings.append(Finding(1, event["at"], text))
    for query, event in requests.items():
        # The audit of `lab.audit` reports the queries of dispatchers that were never killed.
        is_accounted_for = query in answer_kinds or event["gateway"] not in kill_times
        if not is_accounted_for and not was_killed_between(event, event["at"] - KILL_SLACK_S, event["limit"]):
            findings.append(Finding(1, event["limit"], f"query {query} has no final answer"))
    return findings
