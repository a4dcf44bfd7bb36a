"""Checks the guarantees of the gateways against recorded traffic.

The audit uses only what engines and clients observed on their sockets, never what a gateway reports about
itself. It checks seven rules:

1. Every query gets exactly one final answer within the client's time limit, and is not dispatched afterwards.
2. A query that is not safe to repeat runs at most once. An unsafe query is retried only if it certainly did
   not run, and a keyed query only while its idempotency key is remembered. An unsafe query that ran is not
   rejected as safe to retry. Without hedged requests, attempts of one query never overlap.
3. Once the endpoint list has shown an engine as draining or removed, a gateway dispatches nothing more to it
   after a short grace period.
4. The work that all gateways together send to a cold engine stays below the amount at which the engine
   crashes from overload.
5. Queries with the same ordering key at one gateway run one at a time, in the order of their arrival.
6. Queries of a class that is restricted to zones or machine types are dispatched only to engines in these
   zones and of these machine types.
7. The retries of a gateway stay within its retry budget in every window.

The record is a list of events, each with a time (`at`, in seconds on one clock) and a `kind`:

- Events from the engines: `sent` (a query reached an engine), `refused` (rejected before it ran),
  `discarded` (a repeat of a keyed query that already ran), `ran` (it started to run, so its side effect
  counts), `stopped` (cancelled while it ran), `answered`, `lost` (it ran, but its answer was never sent),
  `cut` (the stream was reset in the middle of the result), `error` (it failed without having run). Each has
  engine, incarnation, gateway, request, attempt, key (the idempotency key), query and work. In addition,
  `fell` (a cold engine crashed from overload) has engine only.
- Events from the clients: `asked` (a client submitted a query; the event has query, gateway, cls, key, work
  and limit, where key is the ordering key and limit the time at which the client times out), `answer` (the
  event has query, gateway, code, promise and retry_after, where promise is true if the status has a retry
  delay, and retry_after is that delay), `unreachable` (the gateway was down).
- Events from the scenario: `list` (the endpoint list showed a gateway the state of an engine), `cold` (an
  engine started cold; the event has capacity, share, warm_after, multiple and window, which describe the
  engine as in `model.EngineShape`), `place` (zone and machine type of an engine), `killed` (a gateway process
  ended, by a kill or a regular stop).
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from .. import interface as api

Event = dict[str, Any]
CLOCK_SLACK = 0.05  # seconds; the two ends of a loopback connection observe an event at different times
REFUSAL_CODES = ("UNAVAILABLE", "RESOURCE_EXHAUSTED")
UNCERTAIN_ENDS = ("stopped", "lost", "cut")  # after these, the gateway cannot be certain of the outcome


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of one rule.

    Attributes:
        rule: Number of the rule, as in the list in the module's docstring.
        at: Time in the record, in seconds.
        text: Description of the violation.
    """

    rule: int
    at: float
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at:.3f} s: {self.text}"


@dataclass(slots=True)
class ClassRow:
    """Results of one query class.

    Attributes:
        name: Name of the query class.
        asked: Number of queries that clients submitted.
        in_time: Number of successful queries that met the latency objective.
        late: Number of successful queries that missed the latency objective.
        refused: Number of queries that were rejected with a retry delay.
        failed: Number of queries that ended with an error or whose gateway was unreachable.
        unanswered: Number of queries without any answer.
        attempts: Number of dispatches to engines.
        latencies: Latencies of the successful queries, in seconds.
    """

    name: str
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    attempts: int = 0
    latencies: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Report:
    """The result of an audit: all violations sorted by time, and the results of each query class."""

    violations: list[Violation]
    rows: list[ClassRow]

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not self.violations


class Audit:
    """Audits one record.

    Args:
        record: The events, in any order.
        settings: Settings of any one gateway. The settings that the rules use are the same for all gateways.
        state_persists: Whether gateways keep their learned state across restarts. If so, what a gateway did
            before a restart counts in rules 5 and 7 as if it had not restarted.
    """

    def __init__(self, record: list[Event], settings: api.Settings, state_persists: bool = False) -> None:
        self.state_persists = state_persists
        self.record = sorted(record, key=lambda e: e["at"])
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.violations: list[Violation] = []
        self.submissions: dict[str, Event] = {}
        self.answers: dict[str, list[Event]] = defaultdict(list)
        self.dispatches: dict[str, list[Event]] = defaultdict(list)
        self.executions: dict[str, list[Event]] = defaultdict(list)
        self.attempt_ends: dict[tuple[str, str, str], Event] = {}  # by (query, attempt, engine)
        self.refused_attempts: set[tuple[str, str, str]] = set()
        self.kill_times: dict[str, float] = {}
        for event in self.record:
            self._index(event)

    def _index(self, event: Event) -> None:
        kind, query = event["kind"], event.get("query", "")
        if kind == "asked":
            self.submissions[query] = event
        elif kind in ("answer", "unreachable"):
            self.answers[query].append(event)
        elif kind == "sent" and query:
            self.dispatches[query].append(event)
        elif kind == "ran" and query:
            self.executions[query].append(event)
        elif kind == "killed":
            self.kill_times[event["gateway"]] = event["at"]
        elif kind in ("answered", "discarded", "error", "refused", *UNCERTAIN_ENDS) and query:
            self.attempt_ends[query, event["attempt"], event["engine"]] = event
            if kind == "refused":
                self.refused_attempts.add((query, event["attempt"], event["engine"]))

    def run(self) -> Report:
        """Check all rules, and return the violations and the results of each query class."""
        for check in (
            self.check_single_answer,
            self.check_side_effects,
            self.check_drains,
            self.check_cold_engines,
            self.check_ordering,
            self.check_placement,
            self.check_retry_budget,
        ):
            check()
        return Report(sorted(self.violations, key=lambda v: v.at), self.rows())

    def add_violation(self, rule: int, at: float, text: str) -> None:
        """Add a violation of a rule to the result."""
        self.violations.append(Violation(rule, at, text))

    def _class_settings(self, query: str) -> api.ClassSettings | None:
        event = self.submissions.get(query)
        return self.classes.get(event["cls"]) if event is not None else None

    # --- the rules ---

    def check_single_answer(self) -> None:
        """Rule 1: every query gets one final answer within its time limit, and no dispatch follows it."""
        slack = self.settings.guarantees.response_slack + CLOCK_SLACK
        for query, submission in self.submissions.items():
            answers = self.answers[query]
            finals = [a for a in answers if a["kind"] == "answer"]
            gateway_killed = submission["gateway"] in self.kill_times
            if len(finals) > 1:
                self.add_violation(1, finals[1]["at"], f"query {query} has {len(finals)} final answers")
            if not answers and not gateway_killed:
                self.add_violation(1, submission["limit"], f"query {query} has no final answer")
            for answer in finals[:1]:
                if answer["at"] > submission["limit"] + slack:
                    excess = answer["at"] - submission["limit"]
                    self.add_violation(
                        1, answer["at"], f"query {query} was answered {excess:.3f} s after its time limit"
                    )
                if answer["code"] == "DEADLINE_EXCEEDED" and answer.get("by") == "client":
                    self.add_violation(
                        1, answer["at"], f"query {query}: the client timed out without an answer"
                    )
            for dispatch in self.dispatches[query]:
                if finals and dispatch["at"] > finals[0]["at"] + CLOCK_SLACK:
                    self.add_violation(
                        1, dispatch["at"], f"query {query} was dispatched after its final answer"
                    )
        for query, dispatches in self.dispatches.items():
            if query not in self.submissions:
                self.add_violation(
                    1, dispatches[0]["at"], f"query {query} was dispatched, but no client submitted it"
                )

    def check_side_effects(self) -> None:
        """Rule 2: no repeated side effects, no retryable rejection after an unsafe query ran, no overlaps."""
        for query, submission in self.submissions.items():
            query_class, executions = self._class_settings(query), self.executions[query]
            if query_class is None:
                continue
            if query_class.idempotency is not api.Idempotency.SAFE and len(executions) > 1:
                self.add_violation(
                    2,
                    executions[1]["at"],
                    f"query {query} ({query_class.idempotency.value}) ran {len(executions)} times",
                )
            refusals = [a for a in self.answers[query] if a.get("code") in REFUSAL_CODES and a.get("promise")]
            if refusals and executions and query_class.idempotency is api.Idempotency.UNSAFE:
                self.add_violation(
                    2, refusals[0]["at"], f"unsafe query {query} ran, but was rejected as safe to retry"
                )
            self._check_retries(query, query_class, submission)
        if not self.settings.limits.hedged_requests_enabled:
            for query in self.submissions:
                self._check_overlaps(query)

    def _check_retries(self, query: str, query_class: api.ClassSettings, submission: Event) -> None:
        certainly_not_run = True
        first_possible_run: Event | None = None
        for dispatch in self.dispatches[query]:
            if not certainly_not_run and query_class.idempotency is api.Idempotency.UNSAFE:
                self.add_violation(
                    2, dispatch["at"], f"unsafe query {query} was retried although it may have run"
                )
            is_keyed_retry = (
                query_class.idempotency is api.Idempotency.KEYED and first_possible_run is not None
            )
            if (
                is_keyed_retry
                and first_possible_run is not None
                and dispatch["at"] - first_possible_run["at"] > query_class.idempotency_ttl
            ):
                self.add_violation(
                    2,
                    dispatch["at"],
                    f"keyed query {query} was retried after its idempotency key had expired",
                )
            if (query, dispatch["attempt"], dispatch["engine"]) not in self.refused_attempts:
                certainly_not_run, first_possible_run = False, first_possible_run or dispatch

    def _check_overlaps(self, query: str) -> None:
        """Check that an attempt starts only after the previous attempt has ended on its engine."""
        dispatches = self.dispatches[query]
        for previous, following in itertools.pairwise(dispatches):
            if previous["gateway"] != following["gateway"]:
                continue
            end = self.attempt_ends.get((query, previous["attempt"], previous["engine"]))
            if end is not None and end["at"] > following["at"] + CLOCK_SLACK and end["kind"] != "lost":
                text = (
                    f"query {query}: attempt {following['attempt']} started while attempt"
                    f" {previous['attempt']} was running"
                )
                self.add_violation(2, following["at"], text)

    def check_drains(self) -> None:
        """Rule 3: no dispatch to a draining or removed engine after the grace period."""
        grace = self.settings.guarantees.drain_grace_period + CLOCK_SLACK
        drain_times: dict[tuple[str, str], float] = {}  # by (gateway, engine)
        for event in self.record:
            if event["kind"] == "list":
                pair = (event["gateway"], event["engine"])
                if event["state"] == "ready":
                    drain_times.pop(pair, None)
                else:
                    drain_times.setdefault(pair, event["at"])
            elif event["kind"] == "sent" and event.get("query"):
                drained_at = drain_times.get((event["gateway"], event["engine"]))
                if drained_at is not None and event["at"] > drained_at + grace:
                    delay = event["at"] - drained_at
                    text = (
                        f"query {event['query']} was dispatched to engine {event['engine']} {delay:.3f} s"
                        " after the endpoint list showed the engine as draining or removed"
                    )
                    self.add_violation(3, event["at"], text)

    def check_cold_engines(self) -> None:
        """Rule 4: all gateways together send a cold engine less work than would overload it."""
        cold_starts: dict[str, Event] = {}
        # By engine: (time, work, whether the gateway was told of the cold start).
        sends: dict[str, list[tuple[float, float, bool]]] = defaultdict(list)
        violated: set[tuple[str, int]] = set()  # (engine, incarnation)
        known_incarnations: dict[tuple[str, str], int] = {}  # by (gateway, engine)
        for event in self.record:
            kind = event["kind"]
            if kind == "cold":
                cold_starts[event["engine"]] = event
                sends[event["engine"]].clear()
            elif kind == "list":
                known_incarnations[event["gateway"], event["engine"]] = event.get("incarnation", 0)
            elif kind == "sent" and event["engine"] in cold_starts:
                start, engine = cold_starts[event["engine"]], event["engine"]
                age = event["at"] - start["at"]
                if not start["multiple"] or age > start["warm_after"]:
                    continue
                share = start["share"] + (1.0 - start["share"]) * age / start["warm_after"]
                sends[engine] = [s for s in sends[engine] if s[0] >= event["at"] - start["window"]]
                was_told = known_incarnations.get((event["gateway"], engine), 0) >= start["incarnation"]
                sends[engine].append((event["at"], event["work"], was_told))
                limit = start["multiple"] * start["capacity"] * share * start["window"]
                total = sum(work for _, work, _ in sends[engine])
                # A gateway that was not told of the cold start cannot limit the work that it sends. The
                # rule counts as violated only if at least two thirds of the work came from gateways that
                # were told.
                gateways_at_fault = (
                    sum(work for _, work, was_told in sends[engine] if was_told) >= total * 2.0 / 3.0
                )
                if total > limit and gateways_at_fault and (engine, start["incarnation"]) not in violated:
                    violated.add((engine, start["incarnation"]))
                    text = (
                        f"cold engine {engine} was sent {total:.2f} s of work in a window that allows"
                        f" {limit:.2f} s"
                    )
                    self.add_violation(4, event["at"], text)

    def check_ordering(self) -> None:
        """Rule 5: queries with one ordering key at one gateway run one at a time, in order of arrival."""
        ordered_queries: dict[tuple[str, str], list[str]] = defaultdict(list)  # by (gateway, ordering key)
        for query, submission in self.submissions.items():
            query_class = self._class_settings(query)
            if query_class is not None and query_class.is_ordered and submission.get("key"):
                ordered_queries[submission["gateway"], submission["key"]].append(query)
        cooldown = self.settings.guarantees.ordering_cooldown
        for (_, key), queries in ordered_queries.items():
            queries.sort(key=lambda q: self.submissions[q]["at"])
            for index, query in enumerate(queries):
                # Dispatches before this time belong to an earlier submission of the same query.
                since = self.submissions[query]["at"] - CLOCK_SLACK
                for dispatch in self.dispatches[query]:
                    if dispatch["at"] < since:
                        continue
                    for earlier in queries[:index]:
                        self._check_pair_order(key, earlier, query, dispatch["at"], cooldown)
                    if self.state_persists:
                        earlier_dispatches = [d for d in self.dispatches[query] if d["at"] < since]
                        self._check_key_idle(key, query, earlier_dispatches, query, dispatch["at"], cooldown)

    def _check_pair_order(self, key: str, earlier: str, query: str, at: float, cooldown: float) -> None:
        earlier_submitted_at = self.submissions[earlier]["at"]
        if abs(earlier_submitted_at - self.submissions[query]["at"]) < CLOCK_SLACK:
            return  # The record does not show which of two almost simultaneous queries arrived first.
        later_dispatches = [d for d in self.dispatches[earlier] if d["at"] > at + CLOCK_SLACK]
        if later_dispatches:
            self.add_violation(
                5, at, f"key {key}: query {query} was dispatched before {earlier}, which arrived first"
            )
        self._check_key_idle(
            key, earlier, [d for d in self.dispatches[earlier] if d["at"] <= at], query, at, cooldown
        )

    def _check_key_idle(
        self, key: str, earlier: str, dispatches: list[Event], query: str, at: float, cooldown: float
    ) -> None:
        """Check that no earlier attempt was running or in its cooldown when a query was dispatched.

        Args:
            key: The ordering key of both queries.
            earlier: The earlier query.
            dispatches: The dispatches of the earlier query.
            query: The query that was dispatched.
            at: Time of its dispatch.
            cooldown: Time for which the key stays blocked after an attempt with an uncertain outcome.
        """
        for dispatch in dispatches:
            end = self.attempt_ends.get((earlier, dispatch["attempt"], dispatch["engine"]))
            if end is None or end["kind"] == "lost":
                # The gateway ended this attempt by a timeout or a cancellation. Only the answers to the
                # clients show when.
                continue
            required_gap = cooldown if end["kind"] in UNCERTAIN_ENDS else 0.0
            if at < end["at"] + required_gap - CLOCK_SLACK:
                text = (
                    f"key {key}: query {query} was dispatched while {earlier} was running or in its cooldown"
                )
                self.add_violation(5, at, text)

    def check_placement(self) -> None:
        """Rule 6: queries of restricted classes reach only their zones and machine types."""
        zones, machine_types = list(self.settings.zones), [m.name for m in self.settings.machine_types]
        placements = {e["engine"]: e for e in self.record if e["kind"] == "place"}
        for query in self.submissions:
            query_class = self._class_settings(query)
            for dispatch in self.dispatches[query]:
                placement = placements.get(dispatch["engine"])
                if query_class is None or placement is None:
                    continue
                zone_allowed = query_class.allowed_zones is None or placement["zone"] in [
                    zones[z] for z in query_class.allowed_zones
                ]
                machine_type_allowed = query_class.allowed_machine_types is None or placement["kind"] in [
                    machine_types[m] for m in query_class.allowed_machine_types
                ]
                if not (zone_allowed and machine_type_allowed):
                    self.add_violation(
                        6,
                        dispatch["at"],
                        f"query {query} of class {query_class.name} was dispatched to engine"
                        f" {dispatch['engine']}, which the class does not allow",
                    )

    def check_retry_budget(self) -> None:
        """Rule 7: the retries of a gateway stay within its retry budget in every window."""
        guarantees = self.settings.guarantees
        if guarantees.retry_budget_base is None:
            return
        submission_times: dict[str, list[float]] = defaultdict(list)
        retry_times: dict[str, list[float]] = defaultdict(list)
        for event in self.record:
            if event["kind"] == "asked":
                submission_times[event["gateway"]].append(event["at"])
            elif event["kind"] == "sent" and event.get("query") and int(event["attempt"] or 0) > 0:
                retry_times[event["gateway"]].append(event["at"])
        for gateway, times in retry_times.items():
            last_kill = float("-inf") if self.state_persists else self.kill_times.get(gateway, float("-inf"))
            for at in times:
                since = at - guarantees.retry_budget_window
                if since < last_kill < at:
                    since = last_kill  # Without its learned state, a gateway counts only since its restart.
                retries = sum(since < t <= at for t in times)
                submissions = sum(
                    since - CLOCK_SLACK < t <= at + CLOCK_SLACK for t in submission_times[gateway]
                )
                allowed = guarantees.retry_budget_base + guarantees.retry_budget_ratio * submissions
                if retries > allowed:
                    text = f"gateway {gateway} made {retries} retries in a window that allows {allowed:.1f}"
                    self.add_violation(7, at, text)

    # --- results of the query classes ---

    def rows(self) -> list[ClassRow]:
        """Return the results of each query class, in the order of the settings."""
        rows = {name: ClassRow(name) for name in self.classes}
        for query, submission in self.submissions.items():
            row = rows[submission["cls"]]
            row.asked += 1
            row.attempts += len(self.dispatches[query])
            answers = self.answers[query]
            if not answers:
                row.unanswered += 1
            elif answers[0]["kind"] == "unreachable":
                row.failed += 1
            elif answers[0]["code"] == "OK":
                latency = answers[0]["at"] - submission["at"]
                row.latencies.append(latency)
                query_class = self.classes[submission["cls"]]
                objective = (
                    query_class.latency_objective
                    + query_class.latency_objective_per_work
                    * submission.get("work", 0.0)
                    / query_class.threads
                )
                row.in_time += latency <= objective
                row.late += latency > objective
            elif answers[0]["code"] in REFUSAL_CODES and answers[0].get("promise"):
                row.refused += 1
            else:
                row.failed += 1
        return list(rows.values())
