"""Answers of compute nodes: the pages of a result, and the words that end an attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...interface import Outcome
from ...resp import command
from ..errors import Spoilt
from .attempt import MOST_RESULT, Sending, count, fields
from .connection import NodeConnection

PAGE_WAIT = 0.1  # seconds without a page until those missing are asked for again
PAGE_WAIT_MOST = 0.8  # the same, doubled each time, at most


class Answers:
    """Reads answers.

    Args:
        end: told an attempt's end.
    """

    def __init__(self, end: Callable[[Sending, Outcome], None]) -> None:
        self._end = end
        self._loop = asyncio.get_running_loop()

    def take(self, link: NodeConnection, sending: Sending, words: list[bytes]) -> None:
        """One whole answer to an attempt that is out."""
        try:
            if len(words) != 4:
                raise Spoilt(f"an answer of {len(words)} words")
            self._on_word(sending, words[1], fields(words[2]), words[3])
        except Spoilt as error:
            # Guards against a good answer's look-alike: what comes after it on this connection cannot be
            # trusted either, so that the others on it end now and not by their time-outs.
            sending.request.last_error = str(error)
            self._end(sending, Outcome.ERROR)
            link.abort(f"spoilt answer: {error}")

    def _on_word(self, sending: Sending, word: bytes, named: dict[bytes, bytes], body: bytes) -> None:
        if word == b"DONE":
            if not sending.sheets:
                sending.first(named, body)
                if sending.sheets > 1:
                    self._expect_pages(sending, PAGE_WAIT)
                self._on_page(sending)
        elif word == b"MORE":
            if sending.further(count(named.get(b"sheet"), MOST_RESULT), body):
                self._on_page(sending)
        elif word in (b"WAIT", b"PAST"):
            self._end(sending, Outcome.ERROR if sending.sheets else Outcome.REJECTED)
        elif word == b"BROKE":
            self._end(sending, Outcome.ERROR)
        else:
            raise Spoilt(f"unknown word {word[:20]!r}")

    def _on_page(self, sending: Sending) -> None:
        """One more page is there: the result is whole, or further ones are asked for."""
        link, name = sending.link, sending.statement.request_id
        assert link is not None
        if sending.whole:
            if sending.sheets > 1:
                link.write(command(b"done", name))
            self._end(sending, Outcome.OK)
            return
        while (number := sending.next_page()) is not None:
            link.write(command(b"more", name, b"%d" % number))

    def _expect_pages(self, sending: Sending, wait: float) -> None:
        sending.pages_timer = self._loop.call_later(
            wait, self._on_pages_late, sending, len(sending.pages), wait
        )

    def _on_pages_late(self, sending: Sending, had: int, wait: float) -> None:
        """Ask again for pages that have not come: the result stands at its node, and nothing runs twice.

        Guards against a page that is lost while its connection lives: the attempt would wait for its own
        limit, or the whole request would run again.
        """
        if len(sending.pages) > max(had, 1):  # they come, only slowly
            self._expect_pages(sending, PAGE_WAIT)
            return
        link = sending.link
        assert link is not None
        for number in sending.missing():
            link.write(command(b"more", sending.statement.request_id, b"%d" % number))
        self._expect_pages(sending, min(PAGE_WAIT_MOST, 2.0 * wait))
