"""Finds the table group that a statement reads or writes, in one lexical pass that can be made in parts."""

from __future__ import annotations

import re

BYTE_VALUES = 256


def _byte_class(characters: list[int]) -> bytes:
    """Return the content of a character class that matches these bytes, as Latin-1 characters."""
    return b"".join(re.escape(bytes([character])) for character in characters)


_WORD = _byte_class([code for code in range(BYTE_VALUES) if re.match(r"[\w$]", chr(code))])
_SPACE = _byte_class([code for code in range(BYTE_VALUES) if chr(code).isspace()])
_NAME = rb'(?:"(?:[^"]++|"")*+"|[A-Za-z_][%b]*+)' % _WORD
_TOKEN = re.compile(
    rb"(?P<skip>'(?:[^']++|'')*+(?:'|\Z)|--[^\n]*+|/\*(?:[^*]++|\*(?!/))*+(?:\*/|\Z))"
    rb"|(?P<path>%b(?:[%b]*+\.[%b]*+%b)++)"
    rb"|(?P<word>\"(?:[^\"]++|\"\")*+(?:\"|\Z)|[A-Za-z_][%b]*+)"
    rb"|(?P<other>[^%b])" % (_NAME, _SPACE, _SPACE, _NAME, _WORD, _SPACE)
)
_NAME_PATTERN = re.compile(_NAME)
_TABLE_KEYWORDS = frozenset((b"from", b"join", b"into", b"update", b"table", b"using"))
_MODIFIERS = frozenset((b"only", b"lateral", b"overwrite"))  # allowed between keyword and table name
STAGING_SCHEMA = b"staging"
MAX_GROUP_DIGITS = 12


def _schema_group(path: bytes) -> float | None:
    """Return the number after the last underscore of the schema in a dotted name, if it has one."""
    schema = _NAME_PATTERN.findall(path)[-2].strip(b'"')
    name, underscore, number = schema.rpartition(b"_")
    if not underscore or not name or name.lower() == STAGING_SCHEMA:
        return None
    if not number.isdigit():
        return None
    return float(number[:MAX_GROUP_DIGITS])


class TableGroupSearch:
    """The search for the table group of one statement.

    The first numbered schema directly after a table keyword decides. If there is none, the first numbered
    schema elsewhere decides, for example in a list after a comma. Thus a column written as `t_9.id` does not
    take precedence over a table.

    Args:
        statement: The statement.

    Attributes:
        group: The number of the table group; 0 if the statement names none. Valid once `advance` has
            returned True.
    """

    def __init__(self, statement: bytes) -> None:
        self.group = 0.0
        self._tokens = _TOKEN.finditer(statement)
        self._has_fallback = False
        self._expects_table = False

    def advance(self, max_tokens: int) -> bool:
        """Read up to `max_tokens` further tokens; return whether the search has ended."""
        for _ in range(max_tokens):
            token = next(self._tokens, None)
            if token is None or self._is_decided_by(token):
                return True
        return False

    def _is_decided_by(self, token: re.Match[bytes]) -> bool:
        kind = token.lastgroup
        if kind == "skip":
            return False
        if kind == "path":
            group = _schema_group(token.group())
            if group is not None and self._expects_table:
                self.group = group
                return True
            if group is not None and not self._has_fallback:
                self._has_fallback = True
                self.group = group
        if kind == "word":
            word = token.group().lower()
            is_modified = self._expects_table and word in _MODIFIERS
            self._expects_table = word in _TABLE_KEYWORDS or is_modified
        else:
            self._expects_table = False
        return False


def table_group(statement: bytes) -> float:
    """Return the number of the table group that a statement uses; 0 if it names none."""
    search = TableGroupSearch(statement)
    search.advance(len(statement) + 1)
    return search.group
