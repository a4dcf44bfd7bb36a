"""Selection of the group of a query: the first selector that matches determines the group.

A pattern of a selector may capture parts of the values that it matches, with named regular expression groups
such as `(?P<team>...)`. The path of the selector's resource group may refer to a captured value with a
placeholder such as `{team}`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..config.check import Problem

MAX_CAPTURED_LENGTH = 64  # characters of a captured value that become part of a group's name
_PLACEHOLDER = re.compile(r"\{([a-z_][a-z0-9_]*)\}")
_DISALLOWED_CHARACTER = re.compile(r"[^\w.@+-]")


@dataclass(frozen=True, slots=True)
class Query:
    """The properties of a query that selectors can match.

    Attributes:
        user: The user who sent the query.
        team: The team of the user.
        source: The source of the query.
        cls: The query class.
        kind: The kind of the query, such as `read` or `write`.
        tables: The tables that the query uses.
        text: The text of the query.
        options: The options of the query's session and the query's own headers, by name.
    """

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
    """A rule that assigns queries to a group. A query matches if it meets every condition that is set.

    Attributes:
        group: The path of the group, with placeholders for captured values.
        name: A name for display.
        user: A pattern that the whole user must match.
        team: A pattern that the whole team must match.
        source: A pattern that the whole source must match.
        text: A pattern that must match anywhere in the text of the query.
        cls: The required query class.
        kind: The required kind.
        tables: Tables of which the query must use at least one. If it is empty, tables are not restricted.
        options: Pairs of the name of an option and a pattern that the whole value of the option must match.
            The value of a missing option is the empty string.
    """

    group: str
    name: str = ""
    user: re.Pattern[str] | None = None
    team: re.Pattern[str] | None = None
    source: re.Pattern[str] | None = None
    text: re.Pattern[str] | None = None
    cls: str | None = None
    kind: str | None = None
    tables: frozenset[str] = frozenset()
    options: tuple[tuple[str, re.Pattern[str]], ...] = ()

    @property
    def patterns(self) -> list[re.Pattern[str]]:
        """All patterns that are set."""
        named = [self.user, self.team, self.source, self.text]
        return [p for p in named if p is not None] + [p for _, p in self.options]

    def match(self, query: Query) -> tuple[dict[str, str] | None, str]:
        """Matches a query.

        Returns:
            If the query matches, the captured values by name and an empty text. Otherwise None and a text
            that names a condition that the query does not meet.
        """
        captures: dict[str, str] = {}
        exact_checks = (("class", self.cls, query.cls), ("kind", self.kind, query.kind))
        for name, expected, actual in exact_checks:
            if expected is not None and expected != actual:
                return None, f"{name} is {actual!r}, not {expected!r}"
        if self.tables and not self.tables & query.tables:
            return None, f"the query uses none of the tables {', '.join(sorted(self.tables))}"
        pattern_checks = [("user", self.user, query.user), ("team", self.team, query.team)]
        pattern_checks += [("source", self.source, query.source)]
        pattern_checks += [(f"option {name}", p, query.options.get(name, "")) for name, p in self.options]
        for name, pattern, actual in pattern_checks:
            if pattern is None:
                continue
            match = pattern.fullmatch(actual)
            if match is None:
                return None, f"{name} {actual!r} does not match {pattern.pattern!r}"
            captures |= {k: v for k, v in match.groupdict().items() if v is not None}
        if self.text is not None:
            match = self.text.search(query.text)
            if match is None:
                return None, f"the text does not match {self.text.pattern!r}"
            captures |= {k: v for k, v in match.groupdict().items() if v is not None}
        return captures, ""


@dataclass(frozen=True, slots=True)
class Choice:
    """The selector that was chosen for a query.

    Attributes:
        index: The position of the selector in the list.
        path: The path of the group.
    """

    index: int
    path: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SelectorVerdict:
    """The result of matching one selector against a query.

    Attributes:
        index: The position of the selector in the list.
        name: The name of the selector.
        is_match: Whether the selector matches the query.
        is_chosen: Whether the selector is the first one that matches.
        reason: The path of the group if the selector is chosen, otherwise the reason why it is not.
    """

    index: int
    name: str
    is_match: bool
    is_chosen: bool
    reason: str


def expand_path(template: str, captures: Mapping[str, str]) -> tuple[str, ...]:
    """Returns the path of a group with the captured values in place of the placeholders.

    A captured value cannot lead to another part of the tree, because characters that are not allowed in names
    of groups, such as slashes, are replaced by `_`. A captured value that is empty or contains only dots
    becomes `_` as a whole.
    """

    def substitute(placeholder: re.Match[str]) -> str:
        text = _DISALLOWED_CHARACTER.sub("_", captures.get(placeholder[1], ""))[:MAX_CAPTURED_LENGTH]
        return text if text.strip(".") else "_"

    return tuple(_PLACEHOLDER.sub(substitute, part) for part in template.split("/") if part)


def choose(selectors: Sequence[Selector], query: Query) -> Choice | None:
    """Returns the first selector that matches a query, or None if no selector matches."""
    for index, selector in enumerate(selectors):
        captures, _ = selector.match(query)
        if captures is not None:
            return Choice(index, expand_path(selector.group, captures))
    return None


def explain(selectors: Sequence[Selector], query: Query) -> list[SelectorVerdict]:
    """Returns the verdict of every selector, in order, including the selectors after the chosen one."""
    verdicts, is_decided = [], False
    for index, selector in enumerate(selectors):
        captures, reason = selector.match(query)
        is_match = captures is not None
        if captures is not None:
            path = "/".join(expand_path(selector.group, captures))
            reason = f"an earlier selector matches; this one would choose {path}" if is_decided else path
        verdicts.append(SelectorVerdict(index, selector.name, is_match, is_match and not is_decided, reason))
        is_decided = is_decided or is_match
    return verdicts


def check_selectors(
    selectors: Sequence[Selector], pointer: str = "/selectors"
) -> tuple[list[Problem], list[Problem]]:
    """Returns the problems of a list of selectors, and warnings, each with its JSON pointer.

    A warning names a selector that can never be chosen, because an earlier selector matches the same queries
    under fewer conditions.

    Args:
        selectors: The selectors, in order.
        pointer: The JSON pointer of the list.
    """
    problems, warnings = [], []
    for index, selector in enumerate(selectors):
        placeholders = set(_PLACEHOLDER.findall(selector.group))
        missing = placeholders - {name for pattern in selector.patterns for name in pattern.groupindex}
        if missing:
            text = f"no pattern captures {', '.join(sorted(missing))}"
            problems.append(Problem(f"{pointer}/{index}/group", text))
        if not expand_path(selector.group, {}):
            problems.append(
                Problem(f"{pointer}/{index}/group", "expected the path of a group, got an empty path")
            )
        for earlier_index, earlier in enumerate(selectors[:index]):
            if _conditions(earlier) <= _conditions(selector):
                text = f"never chosen: selector {earlier_index} matches every query that this one matches"
                warnings.append(Problem(f"{pointer}/{index}", text))
                break
    return problems, warnings


def _conditions(selector: Selector) -> frozenset[tuple[str, object]]:
    """Returns the conditions of a selector as a set.

    A selector with a subset of the conditions matches at least the same queries. Two patterns are the same
    condition only if their text and flags are equal. A pattern `.*` for the user, the team, the source or the
    text is not a condition.
    """
    conditions: set[tuple[str, object]] = set()
    for name in ("user", "team", "source", "text"):
        pattern = getattr(selector, name)
        if pattern is not None and pattern.pattern not in (".*", "(?s).*"):
            conditions.add((name, (pattern.pattern, pattern.flags)))
    conditions |= {
        (name, value) for name in ("cls", "kind") if (value := getattr(selector, name)) is not None
    }
    if selector.tables:
        conditions.add(("tables", selector.tables))
    conditions |= {(f"option {name}", (p.pattern, p.flags)) for name, p in selector.options}
    return frozenset(conditions)
