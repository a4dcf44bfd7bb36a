"""What a statement's text tells: whether it writes, and which tables it names (read by sqlglot)."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b

import sqlglot
from sqlglot import exp
from sqlglot.errors import ParseError, TokenError

from .errors import SqlError

LONGEST_READ = 65_536  # characters; reading longer ones would hold up everybody else
WRITES = (
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
    text: str
    writes: bool
    tables: frozenset[str]
    group: float  # the table group: the same for the same set of tables

    @property
    def kind(self) -> str:
        return "write" if self.writes else "read"


def table_group(tables: frozenset[str]) -> float:
    """A number for a set of tables, exact as a float; 0: no table."""
    if not tables:
        return 0.0
    name = "\0".join(sorted(tables)).encode()
    return float(int.from_bytes(blake2b(name, digest_size=6).digest(), "big"))


class Reader:
    """Reads statements, and remembers the latest."""

    def __init__(self, dialect: str = "", strict: bool = True, remembered: int = 4096) -> None:
        self._dialect, self._strict, self._most = dialect or None, strict, remembered
        self._cache: OrderedDict[str, Statement] = OrderedDict()

    def read(self, text: str) -> Statement:
        """SqlError where it does not parse and must."""
        known = self._cache.get(text)
        if known is not None:
            self._cache.move_to_end(text)
            return known
        statement = self._parse(text)
        if len(text) <= LONGEST_READ:
            self._cache[text] = statement
            if len(self._cache) > self._most:
                self._cache.popitem(last=False)
        return statement

    def _parse(self, text: str) -> Statement:
        if not text.strip():
            raise SqlError("the statement is empty")
        if len(text) > LONGEST_READ:
            return self._opaque(text)
        try:
            trees = [t for t in sqlglot.parse(text, read=self._dialect) if t is not None]
        except ParseError as error:
            first = error.errors[0] if error.errors else {}
            place = f"line {first.get('line', '?')}, column {first.get('col', '?')}"
            return self._unread(text, f"{first.get('description', 'does not parse')} at {place}")
        except (TokenError, RecursionError, ValueError) as error:
            return self._unread(text, str(error).splitlines()[0] if str(error) else "nested too deeply")
        if not trees:
            raise SqlError("the statement is empty")
        writes = any(tree.find(*WRITES) is not None for tree in trees)
        aliases = {cte.alias for tree in trees for cte in tree.find_all(exp.CTE)}
        found = [table for tree in trees for table in tree.find_all(exp.Table)]
        names = frozenset(_name(t) for t in found if t.name and not (t.name in aliases and not t.db))
        return Statement(text, writes, names, table_group(names))

    def _unread(self, text: str, why: str) -> Statement:
        if self._strict:
            raise SqlError(f"the statement does not parse: {why}")
        return self._opaque(text)

    @staticmethod
    def _opaque(text: str) -> Statement:
        """Not read: taken for a write, which is the safe side, and a group of its own."""
        return Statement(text, True, frozenset(), table_group(frozenset((text,))))


def _name(table: exp.Table) -> str:
    return ".".join(part for part in (table.catalog, table.db, table.name) if part).lower()
