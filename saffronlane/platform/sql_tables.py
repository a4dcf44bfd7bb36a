"""Finds the table group that a statement reads or writes, in one lexical pass."""

from __future__ import annotations

import re

_NAME = r'(?:"(?:[^"]|"")*+"|[A-Za-z_][\w$]*+)'
_TOKEN = re.compile(
    r"(?P<skip>'(?:[^']|'')*+(?:'|\Z)|--[^\n]*+|/\*(?:[^*]|\*(?!/))*+(?:\*/|\Z))"
    rf"|(?P<path>{_NAME}(?:\s*+\.\s*+{_NAME})++)"
    r"|(?P<word>\"(?:[^\"]|\"\")*+(?:\"|\Z)|[A-Za-z_][\w$]*+)"
    r"|(?P<other>[^\s])"
)
_NAME_PATTERN = re.compile(_NAME)
_TABLE_KEYWORDS = frozenset(("from", "join", "into", "update", "table", "using"))  # followed by a table name
_MODIFIERS = frozenset(("only", "lateral", "overwrite"))  # allowed between keyword and table name
STAGING_SCHEMA = "staging"
MAX_GROUP_DIGITS = 12


def _schema_group(path: str) -> float | None:
    """Return the number after the last underscore of the schema in a dotted name, if it has one."""
    schema = _NAME_PATTERN.findall(path)[-2].strip('"')
    name, underscore, number = schema.rpartition("_")
    if not underscore or not name or name.lower() == STAGING_SCHEMA:
        return None
    if not (number.isascii() and number.isdigit()):
        return None
    return float(number[:MAX_GROUP_DIGITS])


def table_group(statement: bytes) -> float:
    """Return the number of the table group that a statement uses; 0 if it names none.

    The first numbered schema directly after a table keyword decides. If there is none, the first numbered
    schema elsewhere decides, for example in a list after a comma. Thus a column written as `t_9.id` does not
    take precedence over a table.
    """
    fallback_group: float | None = None
    expects_table = False
    for token in _TOKEN.finditer(statement.decode("latin-1")):
        kind = token.lastgroup
        if kind == "skip":
            continue
        if kind == "path":
            group = _schema_group(token.group())
            if group is not None and expects_table:
                return group
            if group is not None and fallback_group is None:
                fallback_group = group
        if kind == "word":
            word = token.group().lower()
            expects_table = word in _TABLE_KEYWORDS or (expects_table and word in _MODIFIERS)
        else:
            expects_table = False
    return fallback_group or 0.0
