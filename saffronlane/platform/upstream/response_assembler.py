"""Answers of compute nodes: the pages of a result, and the words that end an attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...interface import Outcome
from ...resp import encode_command
from ..errors import InvalidResponse
from .attempt import MAX_RESULT_BYTES, UpstreamAttempt, parse_count, parse_fields
from .connection import UpstreamConnection

PAGE_TIMEOUT = 0.1  # seconds without a page until those missing are asked for again
MAX_PAGE_TIMEOUT = 0.8  # the same, doubled each time, at most


class ResponseAssembler:
    """Reads answers.

    Args:
        end: told an attempt's end.
    """

    def __init__(self, end: Callable[[UpstreamAttempt, Outcome], None]) -> None:
        self._end = end
        self._loop = asyncio.get_running_loop()

    def receive(self, link: UpstreamConnection, sending: UpstreamAttempt, words: list[bytes]) -> None:
        """One whole answer to an attempt that is out."""
        try:
            if len(words) != 4:
                raise InvalidResponse(f"an answer of {len(words)} words")
            self._on_word(sending, words[1], parse_fields(words[2]), words[3])
        except InvalidResponse as error:
            # Guards against a good answer's look-alike: what comes after it on this connection cannot be
            # trusted either, so that the others on it end now and not by their time-outs.
            sending.request.last_error = str(error)
            self._end(sending, Outcome.ERROR)
            link.abort(f"spoilt answer: {error}")

    def _on_word(self, sending: UpstreamAttempt, word: bytes, named: dict[bytes, bytes], body: bytes) -> None:
        if word == b"DONE":
            if not sending.page_count:
                sending.add_first_page(named, body)
                if sending.page_count > 1:
                    self._expect_pages(sending, PAGE_TIMEOUT)
                self._on_page(sending)
        elif word == b"MORE":
            if sending.add_page(parse_count(named.get(b"sheet"), MAX_RESULT_BYTES), body):
                self._on_page(sending)
        elif word in (b"WAIT", b"PAST"):
            self._end(sending, Outcome.ERROR if sending.page_count else Outcome.REJECTED)
        elif word == b"BROKE":
            self._end(sending, Outcome.ERROR)
        else:
            raise InvalidResponse(f"unknown word {word[:20]!r}")

    def _on_page(self, sending: UpstreamAttempt) -> None:
        """One more page is there: the result is whole, or further ones are asked for."""
        link, name = sending.connection, sending.statement.id
        assert link is not None
        if sending.is_complete:
            if sending.page_count > 1:
                link.enqueue(encode_command(b"done", name))
            self._end(sending, Outcome.OK)
            return
        while (number := sending.next_page_to_request()) is not None:
            link.enqueue(encode_command(b"more", name, b"%d" % number))

    def _expect_pages(self, sending: UpstreamAttempt, wait: float) -> None:
        sending.page_timer = self._loop.call_later(
            wait, self._on_pages_late, sending, len(sending.pages), wait
        )

    def _on_pages_late(self, sending: UpstreamAttempt, had: int, wait: float) -> None:
        """Ask again for pages that have not come: the result stands at its node, and nothing runs twice.

        Guards against a page that is lost while its connection lives: the attempt would wait for its own
        limit, or the whole request would run again.
        """
        if len(sending.pages) > max(had, 1):  # they come, only slowly
            self._expect_pages(sending, PAGE_TIMEOUT)
            return
        link = sending.connection
        assert link is not None
        for number in sending.missing_pages():
            link.enqueue(encode_command(b"more", sending.statement.id, b"%d" % number))
        self._expect_pages(sending, min(MAX_PAGE_TIMEOUT, 2.0 * wait))
