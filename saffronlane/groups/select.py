"""Which group a query belongs to. The first selector that matches wins; nothing is scored.

A selector may capture parts of what it matches, `(?P<team>...)`; its group's path may name them, `{team}`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..config.check import Problem

MOST_NAME = 64  # characters of a captured name that become part of a group's
_PLACE = re.compile(r"\{([a-z_][a-z0-9_]*)\}")
_UNFIT = re.compile(r"[^\w.@+-]")


@dataclass(frozen=True, slots=True)
class Query:
    """What selectors see of a query. `options` are those of its session and its own headers."""

    user: str = ""
    team: str = ""
    source: str = ""
    cls: str = ""
    kind: str = ""
    tables: frozenset[str] = frozenset()
    text: str = ""
    options: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Selector:
    """All that is set must hold. Patterns must match as a whole, but for `text`, which may match anywhere."""

    group: str
    name: str = ""
    user: re.Pattern[str] | None = None
    team: re.Pattern[str] | None = None
    source: re.Pattern[str] | None = None
    text: re.Pattern[str] | None = None
    cls: str | None = None
    kind: str | None = None
    tables: frozenset[str] = frozenset()  # one of them is enough
    options: tuple[tuple[str, re.Pattern[str]], ...] = ()

    @property
    def patterns(self) -> list[re.Pattern[str]]:
        named = [self.user, self.team, self.source, self.text]
        return [p for p in named if p is not None] + [p for _, p in self.options]

    def match(self, query: Query) -> tuple[dict[str, str] | None, str]:
        """What it captured, or None and what did not hold."""
        found: dict[str, str] = {}
        plain = (("class", self.cls, query.cls), ("kind", self.kind, query.kind))
        for name, wanted, given in plain:
            if wanted is not None and wanted != given:
                return None, f"{name} is {given!r}, not {wanted!r}"
        if self.tables and not self.tables & query.tables:
            return None, f"no table of {', '.join(sorted(self.tables))}"
        checks = [("user", self.user, query.user), ("team", self.team, query.team)]
        checks += [("source", self.source, query.source)]
        checks += [(f"option {name}", p, query.options.get(name, "")) for name, p in self.options]
        for name, pattern, given in checks:
            if pattern is None:
                continue
            hit = pattern.fullmatch(given)
            if hit is None:
                return None, f"{name} {given!r} does not match {pattern.pattern!r}"
            found |= {k: v for k, v in hit.groupdict().items() if v is not None}
        if self.text is not None:
            hit = self.text.search(query.text)
            if hit is None:
                return None, f"the text does not match {self.text.pattern!r}"
            found |= {k: v for k, v in hit.groupdict().items() if v is not None}
        return found, ""


@dataclass(frozen=True, slots=True)
class Choice:
    """The selector that won, by its place, and the group's path."""

    index: int
    path: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Line:
    """One selector's verdict on a query, for `groups explain`."""

    index: int
    name: str
    matched: bool
    won: bool
    why: str


def path_of(template: str, captured: Mapping[str, str]) -> tuple[str, ...]:
    """A group's path. What was captured cannot name another place in the tree: unfit signs become `_`."""

    def put(place: re.Match[str]) -> str:
        text = _UNFIT.sub("_", captured.get(place[1], ""))[:MOST_NAME]
        return text if text.strip(".") else "_"

    return tuple(_PLACE.sub(put, part) for part in template.split("/") if part)


def choose(selectors: Sequence[Selector], query: Query) -> Choice | None:
    """The first selector that matches; None: none does."""
    for index, selector in enumerate(selectors):
        captured, _ = selector.match(query)
        if captured is not None:
            return Choice(index, path_of(selector.group, captured))
    return None


def explain(selectors: Sequence[Selector], query: Query) -> list[Line]:
    """Every selector's verdict, in order; those behind the winner are told too."""
    lines, won = [], False
    for index, selector in enumerate(selectors):
        captured, why = selector.match(query)
        matched = captured is not None
        if captured is not None:
            path = "/".join(path_of(selector.group, captured))
            why = f"an earlier one has won; would be {path}" if won else path
        lines.append(Line(index, selector.name, matched, matched and not won, why))
        won = won or matched
    return lines


def check_selectors(
    selectors: Sequence[Selector], at: str = "/selectors"
) -> tuple[list[Problem], list[Problem]]:
    """Problems, and warnings of selectors that can never win because an earlier one asks for less."""
    problems, warnings = [], []
    for index, selector in enumerate(selectors):
        places = set(_PLACE.findall(selector.group))
        missing = places - {name for pattern in selector.patterns for name in pattern.groupindex}
        if missing:
            text = f"nothing captures {', '.join(sorted(missing))}"
            problems.append(Problem(f"{at}/{index}/group", text))
        if not path_of(selector.group, {}):
            problems.append(Problem(f"{at}/{index}/group", "names no group"))
        for before, earlier in enumerate(selectors[:index]):
            if _asks(earlier) <= _asks(selector):
                text = f"never wins: selector {before} matches all that it does"
                warnings.append(Problem(f"{at}/{index}", text))
                break
    return problems, warnings


def _asks(selector: Selector) -> frozenset[tuple[str, object]]:
    """What must hold, as a set: fewer demands match more. Patterns are told apart by their text only."""
    demands: set[tuple[str, object]] = set()
    for name in ("user", "team", "source", "text"):
        pattern = getattr(selector, name)
        if pattern is not None and pattern.pattern not in (".*", "(?s).*"):
            demands.add((name, (pattern.pattern, pattern.flags)))
    demands |= {(name, value) for name in ("cls", "kind") if (value := getattr(selector, name)) is not None}
    if selector.tables:
        demands.add(("tables", selector.tables))
    demands |= {(f"option {name}", (p.pattern, p.flags)) for name, p in selector.options}
    return frozenset(demands)
