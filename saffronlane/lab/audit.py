"""Verifies the seven rules from what was seen on the sockets, never from a gateway's own word.

The record is a list of events with a time (`at`, seconds on one clock) and a `kind`:

- at the engines: `sent` (a query reached an engine), `refused` (turned away unseen), `discarded` (a keyed
  repeat), `ran` (it began to run: its effect counts), `stopped`, `answered`, `lost`, `cut`, `error`; each
  with engine, incarnation, gateway, request, attempt, key, query and work;
- at the clients: `asked` (query, gateway, cls, key, limit: the time at which the client gives up), `answer`
  (query, gateway, code, retry_after), `unreachable` (the gateway was gone);
- of the day: `list` (gateway told that an engine has a state), `cold` (an engine has started cold, with
  capacity, share, warm_after, multiple and window), `fell`, `killed` (a gateway is gone).
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from .. import interface as api

Event = dict[str, Any]
CLOCK_SLACK = 0.05  # seconds: both ends of a loopback connection see one thing at slightly different times
REFUSALS = ("UNAVAILABLE", "RESOURCE_EXHAUSTED")
OPEN_ENDS = ("stopped", "lost", "cut")  # ends that leave a gateway without a sure outcome


@dataclass(frozen=True, slots=True)
class Breach:
    rule: int
    at: float
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at:.3f} s: {self.text}"


@dataclass(slots=True)
class ClassRow:
    """What came of one class: counts, worth, and latencies in seconds."""

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
    breaches: list[Breach]
    rows: list[ClassRow]

    @property
    def good(self) -> bool:
        return not self.breaches


class Audit:
    """Reads one record. `settings` are those of the gateways, alike but for their positions.

    `lasting`: gateways that come back are held to what they did before, as if they had never been gone.
    """

    def __init__(self, record: list[Event], settings: api.Settings, lasting: bool = False) -> None:
        self.lasting = lasting
        self.record = sorted(record, key=lambda e: e["at"])
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.breaches: list[Breach] = []
        self.asked: dict[str, Event] = {}
        self.answers: dict[str, list[Event]] = defaultdict(list)
        self.sends: dict[str, list[Event]] = defaultdict(list)
        self.runs: dict[str, list[Event]] = defaultdict(list)
        self.ends: dict[tuple[str, str, str], Event] = {}  # by query, attempt, engine
        self.turned_away: set[tuple[str, str, str]] = set()
        self.killed: dict[str, float] = {}
        for event in self.record:
            self._sort(event)

    def _sort(self, event: Event) -> None:
        kind, query = event["kind"], event.get("query", "")
        if kind == "asked":
            self.asked[query] = event
        elif kind in ("answer", "unreachable"):
            self.answers[query].append(event)
        elif kind == "sent" and query:
            self.sends[query].append(event)
        elif kind == "ran" and query:
            self.runs[query].append(event)
        elif kind == "killed":
            self.killed[event["gateway"]] = event["at"]
        elif kind in ("answered", "discarded", "error", "refused", *OPEN_ENDS) and query:
            self.ends[query, event["attempt"], event["engine"]] = event
            if kind == "refused":
                self.turned_away.add((query, event["attempt"], event["engine"]))

    def run(self) -> Report:
        """All breaches in the order of their time, and a row for each class."""
        for check in (
            self.one_answer,
            self.no_effect_twice,
            self.drains,
            self.cold_engines,
            self.order,
            self.placement,
            self.budget,
        ):
            check()
        return Report(sorted(self.breaches, key=lambda b: b.at), self.rows())

    def breach(self, rule: int, at: float, text: str) -> None:
        self.breaches.append(Breach(rule, at, text))

    def _class(self, query: str) -> api.ClassSettings | None:
        event = self.asked.get(query)
        return self.classes.get(event["cls"]) if event is not None else None

    # --- the rules ---

    def one_answer(self) -> None:
        """Rule 1: exactly one final answer, in the client's time, and nothing sent after it."""
        slack = self.settings.guarantees.response_slack + CLOCK_SLACK
        for query, asked in self.asked.items():
            answers = self.answers[query]
            finals = [a for a in answers if a["kind"] == "answer"]
            gone = asked["gateway"] in self.killed
            if len(finals) > 1:
                self.breach(1, finals[1]["at"], f"query {query} has {len(finals)} final answers")
            if not answers and not gone:
                self.breach(1, asked["limit"], f"query {query} has no final answer")
            for answer in finals[:1]:
                if answer["at"] > asked["limit"] + slack:
                    over = answer["at"] - asked["limit"]
                    self.breach(1, answer["at"], f"query {query} was answered {over:.3f} s too late")
                if answer["code"] == "DEADLINE_EXCEEDED" and answer.get("by") == "client":
                    self.breach(1, answer["at"], f"query {query}: the client's time ran out unanswered")
            for sent in self.sends[query]:
                if finals and sent["at"] > finals[0]["at"] + CLOCK_SLACK:
                    self.breach(1, sent["at"], f"query {query} was sent after its final answer")
        for query, sends in self.sends.items():
            if query not in self.asked:
                self.breach(1, sends[0]["at"], f"query {query} was sent, and nobody asked it")

    def no_effect_twice(self) -> None:
        """Rule 2: effects, refusals, and copies that overlap."""
        for query, asked in self.asked.items():
            cls, runs = self._class(query), self.runs[query]
            if cls is None:
                continue
            if cls.idempotency is not api.Idempotency.SAFE and len(runs) > 1:
                self.breach(
                    2, runs[1]["at"], f"query {query} ({cls.idempotency.value}) took effect {len(runs)} times"
                )
            refused = [a for a in self.answers[query] if a.get("code") in REFUSALS and a.get("promise")]
            if refused and runs and cls.idempotency is api.Idempotency.UNSAFE:
                self.breach(
                    2, refused[0]["at"], f"unsafe query {query} ran and was refused as safe to try again"
                )
            self._repeats(query, cls, asked)
        if not self.settings.limits.hedged_requests_enabled:
            for query in self.asked:
                self._overlaps(query)

    def _repeats(self, query: str, cls: api.ClassSettings, asked: Event) -> None:
        certain = True  # that no earlier attempt ran
        first: Event | None = None
        for sent in self.sends[query]:
            if not certain and cls.idempotency is api.Idempotency.UNSAFE:
                self.breach(2, sent["at"], f"unsafe query {query} was sent again, though it may have run")
            keyed = cls.idempotency is api.Idempotency.KEYED and first is not None
            if keyed and first is not None and sent["at"] - first["at"] > cls.idempotency_ttl:
                self.breach(2, sent["at"], f"keyed query {query} was sent again outside its window")
            if (query, sent["attempt"], sent["engine"]) not in self.turned_away:
                certain, first = False, first or sent

    def _overlaps(self, query: str) -> None:
        """An attempt begins only after the engine of the one before knows that it is over."""
        sends = self.sends[query]
        for before, after in itertools.pairwise(sends):
            if before["gateway"] != after["gateway"]:
                continue
            end = self.ends.get((query, before["attempt"], before["engine"]))
            if end is not None and end["at"] > after["at"] + CLOCK_SLACK and end["kind"] != "lost":
                text = f"query {query}: attempt {after['attempt']} began while {before['attempt']} ran"
                self.breach(2, after["at"], text)

    def drains(self) -> None:
        """Rule 3: nothing new after a gateway has been told, past the grace."""
        grace = self.settings.guarantees.drain_grace_period + CLOCK_SLACK
        since: dict[tuple[str, str], float] = {}
        for event in self.record:
            if event["kind"] == "list":
                place = (event["gateway"], event["engine"])
                if event["state"] == "ready":
                    since.pop(place, None)
                else:
                    since.setdefault(place, event["at"])
            elif event["kind"] == "sent" and event.get("query"):
                told = since.get((event["gateway"], event["engine"]))
                if told is not None and event["at"] > told + grace:
                    late = event["at"] - told
                    text = f"query {event['query']} to engine {event['engine']} {late:.3f} s after its drain"
                    self.breach(3, event["at"], text)

    def cold_engines(self) -> None:
        """Rule 4: what all gateways together send a cold engine stays under what makes it fall over."""
        cold: dict[str, Event] = {}
        sent: dict[str, list[tuple[float, float, bool]]] = defaultdict(list)
        broken: set[tuple[str, int]] = set()
        knows: dict[tuple[str, str], int] = {}  # which incarnation a gateway has been told of
        for event in self.record:
            kind = event["kind"]
            if kind == "cold":
                cold[event["engine"]] = event
                sent[event["engine"]].clear()
            elif kind == "list":
                knows[event["gateway"], event["engine"]] = event.get("incarnation", 0)
            elif kind == "sent" and event["engine"] in cold:
                start, engine = cold[event["engine"]], event["engine"]
                age = event["at"] - start["at"]
                if not start["multiple"] or age > start["warm_after"]:
                    continue
                share = start["share"] + (1.0 - start["share"]) * age / start["warm_after"]
                sent[engine] = [s for s in sent[engine] if s[0] >= event["at"] - start["window"]]
                aware = knows.get((event["gateway"], engine), 0) >= start["incarnation"]
                sent[engine].append((event["at"], event["work"], aware))
                limit = start["multiple"] * start["capacity"] * share * start["window"]
                total = sum(work for _, work, _ in sent[engine])
                # A gateway that was not told of the start cannot know: the rule asks two thirds from others.
                blamed = sum(work for _, work, aware in sent[engine] if aware) >= total * 2.0 / 3.0
                if total > limit and blamed and (engine, start["incarnation"]) not in broken:
                    broken.add((engine, start["incarnation"]))
                    text = (
                        f"engine {engine} was sent {total:.2f} s of work in a window that bears {limit:.2f}"
                    )
                    self.breach(4, event["at"], text)

    def order(self) -> None:
        """Rule 5: of queries with one key at one gateway, one at a time, in the order taken."""
        lines: dict[tuple[str, str], list[str]] = defaultdict(list)
        for query, asked in self.asked.items():
            cls = self._class(query)
            if cls is not None and cls.is_ordered and asked.get("key"):
                lines[asked["gateway"], asked["key"]].append(query)
        settle = self.settings.guarantees.ordering_cooldown
        for (_, key), queries in lines.items():
            queries.sort(key=lambda q: self.asked[q]["at"])
            for index, query in enumerate(queries):
                since = self.asked[query]["at"] - CLOCK_SLACK  # sends before it belong to an earlier asking
                for sent in self.sends[query]:
                    if sent["at"] < since:
                        continue
                    for earlier in queries[:index]:
                        self._in_order(key, earlier, query, sent["at"], settle)
                    if self.lasting:
                        before = [s for s in self.sends[query] if s["at"] < since]
                        self._at_rest(key, query, before, query, sent["at"], settle)

    def _in_order(self, key: str, earlier: str, query: str, at: float, settle: float) -> None:
        asked = self.asked[earlier]["at"]
        if abs(asked - self.asked[query]["at"]) < CLOCK_SLACK:
            return  # which of two came first at the gateway cannot be told from outside
        later = [s for s in self.sends[earlier] if s["at"] > at + CLOCK_SLACK]
        if later:
            self.breach(5, at, f"key {key}: query {query} was sent before {earlier}, which came first")
        self._at_rest(key, earlier, [s for s in self.sends[earlier] if s["at"] <= at], query, at, settle)

    def _at_rest(
        self, key: str, earlier: str, sends: list[Event], query: str, at: float, settle: float
    ) -> None:
        for sent in sends:
            end = self.ends.get((earlier, sent["attempt"], sent["engine"]))
            if end is None or end["kind"] == "lost":
                continue  # what its gateway saw of it is a time-out or cancel, which the answers show
            rest = settle if end["kind"] in OPEN_ENDS else 0.0
            if at < end["at"] + rest - CLOCK_SLACK:
                text = f"key {key}: query {query} was sent while {earlier} ran or rested"
                self.breach(5, at, text)

    def placement(self) -> None:
        """Rule 6: bound classes reach only their zones and kinds."""
        zones, kinds = list(self.settings.zones), [k.name for k in self.settings.machine_types]
        places = {e["engine"]: e for e in self.record if e["kind"] == "place"}
        for query in self.asked:
            cls = self._class(query)
            for sent in self.sends[query]:
                place = places.get(sent["engine"])
                if cls is None or place is None:
                    continue
                in_zone = cls.allowed_zones is None or place["zone"] in [zones[z] for z in cls.allowed_zones]
                in_kind = cls.allowed_machine_types is None or place["kind"] in [
                    kinds[k] for k in cls.allowed_machine_types
                ]
                if not (in_zone and in_kind):
                    self.breach(6, sent["at"], f"query {query} of {cls.name} went to engine {sent['engine']}")

    def budget(self) -> None:
        """Rule 7: further attempts of a gateway in any window."""
        rules = self.settings.guarantees
        if rules.retry_budget_base is None:
            return
        taken: dict[str, list[float]] = defaultdict(list)
        extras: dict[str, list[float]] = defaultdict(list)
        for event in self.record:
            if event["kind"] == "asked":
                taken[event["gateway"]].append(event["at"])
            elif event["kind"] == "sent" and event.get("query") and int(event["attempt"] or 0) > 0:
                extras[event["gateway"]].append(event["at"])
        for gateway, times in extras.items():
            born = float("-inf") if self.lasting else self.killed.get(gateway, float("-inf"))
            for at in times:
                since = at - rules.retry_budget_window
                if since < born < at:
                    since = born  # a new process counts from its start
                made = sum(since < t <= at for t in times)
                had = sum(since - CLOCK_SLACK < t <= at + CLOCK_SLACK for t in taken[gateway])
                allowed = rules.retry_budget_base + rules.retry_budget_ratio * had
                if made > allowed:
                    text = f"gateway {gateway} made {made} further attempts where {allowed:.1f} were allowed"
                    self.breach(7, at, text)

    # --- what came of it ---

    def rows(self) -> list[ClassRow]:
        rows = {name: ClassRow(name) for name in self.classes}
        for query, asked in self.asked.items():
            row = rows[asked["cls"]]
            row.asked += 1
            row.attempts += len(self.sends[query])
            answers = self.answers[query]
            if not answers:
                row.unanswered += 1
            elif answers[0]["kind"] == "unreachable":
                row.failed += 1
            elif answers[0]["code"] == "OK":
                took = answers[0]["at"] - asked["at"]
                row.latencies.append(took)
                cls = self.classes[asked["cls"]]
                wanted = (
                    cls.latency_objective
                    + cls.latency_objective_per_work * asked.get("work", 0.0) / cls.threads
                )
                row.in_time += took <= wanted
                row.late += took > wanted
            elif answers[0]["code"] in REFUSALS and answers[0].get("promise"):
                row.refused += 1
            else:
                row.failed += 1
        return list(rows.values())
