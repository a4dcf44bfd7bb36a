"""Finds the table groups of long statements in parts, in turns with all other work."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..sql_tables import TableGroupSearch

TOKENS_PER_PART = 500
MAX_SEARCH_TIME = 0.005  # seconds in one iteration of the event loop


class _QueuedSearch(NamedTuple):
    search: TableGroupSearch
    is_wanted: Callable[[], bool]
    on_found: Callable[[float], None]


class TableGroupQueue:
    """Searches that take turns, a part each, so that a short statement does not wait for a long one."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._searches: deque[_QueuedSearch] = deque()
        self._next_part: asyncio.Handle | None = None

    def find(
        self, statement: bytes, is_wanted: Callable[[], bool], on_found: Callable[[float], None]
    ) -> None:
        """Find the table group of a statement: at once if it is short, or else in later iterations.

        Args:
            statement: The statement.
            is_wanted: Returns whether the group is still needed.
            on_found: Called with the group, unless it is not needed any more.
        """
        search = TableGroupSearch(statement)
        if search.advance(TOKENS_PER_PART):
            on_found(search.group)
            return
        self._searches.append(_QueuedSearch(search, is_wanted, on_found))
        self._schedule()

    def _schedule(self) -> None:
        if self._searches and self._next_part is None:
            self._next_part = self._loop.call_soon(self._search)

    def _search(self) -> None:
        self._next_part = None
        deadline = self._loop.time() + MAX_SEARCH_TIME
        while self._searches and self._loop.time() < deadline:
            queued = self._searches.popleft()
            if not queued.is_wanted():
                continue
            if queued.search.advance(TOKENS_PER_PART):
                queued.on_found(queued.search.group)
            else:
                self._searches.append(queued)
        self._schedule()
