"""Finds the group of tables that a statement reads or writes, lexically in one pass."""

from __future__ import annotations

import re

_NAME = r'(?:"(?:[^"]|"")*+"|[A-Za-z_][\w$]*+)'
_TOKEN = re.compile(
    r"(?P<skip>'(?:[^']|'')*+(?:'|\Z)|--[^\n]*+|/\*(?:[^*]|\*(?!/))*+(?:\*/|\Z))"
    rf"|(?P<path>{_NAME}(?:\s*+\.\s*+{_NAME})++)"
    r"|(?P<word>\"(?:[^\"]|\"\")*+(?:\"|\Z)|[A-Za-z_][\w$]*+)"
    r"|(?P<other>[^\s])"
)
_PART = re.compile(_NAME)
_TABLE_KEYWORDS = frozenset(("from", "join", "into", "update", "table", "using"))  # a table's name follows
_MODIFIERS = frozenset(("only", "lateral", "overwrite"))  # may stand between keyword and name
STAGING_SCHEMA = "staging"
MAX_GROUP_DIGITS = 12


def _schema_group(path: str) -> float | None:
    """Return the number after the last underscore of the schema in a dotted name, if it has one."""
    schema = _PART.findall(path)[-2].strip('"')
    name, underscore, number = schema.rpartition("_")
    if not underscore or not name or name.lower() == STAGING_SCHEMA:
        return None
    if not (number.isascii() and number.isdigit()):
        return None
    return float(number[:MAX_GROUP_DIGITS])


def table_group(statement: bytes) -> float:
    """Return the number of the group of tables that a statement uses; 0 where it names none.

    The first numbered name at a table's place counts. Only where there is none does one elsewhere count (in a
    list after a comma, say), so that a column written `t_9.id` does not stand for a table.
    """
    group_elsewhere: float | None = None
    expects_table = False
    for token in _TOKEN.finditer(statement.decode("latin-1")):
        kind = token.lastgroup
        if kind == "skip":
            continue
        if kind == "path":
            group = _schema_group(token.group())
            if group is not None and expects_table:
                return group
            if group is not None and group_elsewhere is None:
                group_elsewhere = group
        if kind == "word":
            word = token.group().lower()
            expects_table = word in _TABLE_KEYWORDS or (expects_table and word in _MODIFIERS)
        else:
            expects_table = False
    return group_elsewhere or 0.0
