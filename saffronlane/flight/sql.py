"""Parses statements with sqlglot to find out whether they write and which tables they name."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b

import sqlglot
from sqlglot import exp
from sqlglot.errors import ParseError, TokenError

from .errors import SqlError

MAX_PARSED_CHARACTERS = 65_536  # parsing a longer statement would block the event loop for too long
WRITE_EXPRESSIONS = (
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Merge,
    exp.Create,
    exp.Drop,
    exp.Alter,
    exp.Command,
    exp.Copy,
)


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement and its properties.

    Attributes:
        text: The SQL text.
        is_write: Whether the statement writes.
        tables: The names of the tables that the statement uses.
        table_group: The number of the table group, the same for all statements with the same tables.
    """

    text: str
    is_write: bool
    tables: frozenset[str]
    table_group: float

    @property
    def kind(self) -> str:
        """The kind of the statement as matchers in the settings name it: "write" or "read"."""
        return "write" if self.is_write else "read"


def table_group(tables: frozenset[str]) -> float:
    """Return the number of a set of tables, or 0 for the empty set. The number is an integer below 2**48."""
    if not tables:
        return 0.0
    name = "\0".join(sorted(tables)).encode()
    return float(int.from_bytes(blake2b(name, digest_size=6).digest(), "big"))


class StatementParser:
    """Parses statements and caches the most recently used ones.

    Args:
        dialect: The sqlglot name of the SQL dialect. Empty for sqlglot's default dialect.
        strict: Whether to reject statements that cannot be parsed. If not, they are treated as writes.
        max_cached: The maximum number of cached statements.
    """

    def __init__(self, dialect: str = "", strict: bool = True, max_cached: int = 4096) -> None:
        self._dialect, self._strict, self._max_cached = dialect or None, strict, max_cached
        self._cache: OrderedDict[str, Statement] = OrderedDict()

    def parse(self, text: str) -> Statement:
        """Return the properties of a statement.

        Raises:
            SqlError: The statement is empty, or it cannot be parsed and the parser is strict.
        """
        cached = self._cache.get(text)
        if cached is not None:
            self._cache.move_to_end(text)
            return cached
        statement = self._parse_uncached(text)
        if len(text) <= MAX_PARSED_CHARACTERS:
            self._cache[text] = statement
            if len(self._cache) > self._max_cached:
                self._cache.popitem(last=False)
        return statement

    def _parse_uncached(self, text: str) -> Statement:
        if not text.strip():
            raise SqlError("the statement is empty")
        if len(text) > MAX_PARSED_CHARACTERS:
            return self._unparsed(text)
        try:
            trees = [tree for tree in sqlglot.parse(text, read=self._dialect) if tree is not None]
        except ParseError as error:
            first_error = error.errors[0] if error.errors else {}
            position = f"line {first_error.get('line', '?')}, column {first_error.get('col', '?')}"
            return self._handle_parse_failure(
                text, f"{first_error.get('description', 'does not parse')} at {position}"
            )
        except (TokenError, RecursionError, ValueError) as error:
            return self._handle_parse_failure(
                text, str(error).splitlines()[0] if str(error) else "nested too deeply"
            )
        if not trees:
            raise SqlError("the statement is empty")
        is_write = any(tree.find(*WRITE_EXPRESSIONS) is not None for tree in trees)
        aliases = {cte.alias for tree in trees for cte in tree.find_all(exp.CTE)}
        tables = [table for tree in trees for table in tree.find_all(exp.Table)]
        names = frozenset(
            _qualified_name(table)
            for table in tables
            if table.name and not (table.name in aliases and not table.db)
        )
        return Statement(text, is_write, names, table_group(names))

    def _handle_parse_failure(self, text: str, reason: str) -> Statement:
        if self._strict:
            raise SqlError(f"the statement does not parse: {reason}")
        return self._unparsed(text)

    @staticmethod
    def _unparsed(text: str) -> Statement:
        """Return a statement that was not parsed.

        It is treated as a write, because it may be one. Its table group is derived from its text.
        """
        return Statement(text, True, frozenset(), table_group(frozenset((text,))))


def _qualified_name(table: exp.Table) -> str:
    return ".".join(part for part in (table.catalog, table.db, table.name) if part).lower()
