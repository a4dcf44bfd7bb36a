"""Assembles the result of an attempt from the responses of its compute node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...interface import Outcome
from ..errors import InvalidResponse
from . import protocol
from .attempt import UpstreamAttempt
from .connection import UpstreamConnection
from .paged_result import MAX_RESULT_BYTES
from .protocol import Response

PAGE_TIMEOUT = 0.1  # seconds without a page until missing ones are requested again
MAX_PAGE_TIMEOUT = 0.8  # seconds; the timeout doubles with each repetition up to this


class ResponseAssembler:
    """Handles the responses to attempts.

    Args:
        end_attempt: called with an attempt that has ended, and its outcome.
    """

    def __init__(self, end_attempt: Callable[[UpstreamAttempt, Outcome], None]) -> None:
        self._end_attempt = end_attempt
        self._loop = asyncio.get_running_loop()

    def receive(self, connection: UpstreamConnection, attempt: UpstreamAttempt, words: list[bytes]) -> None:
        """Handle one response to an attempt that was sent."""
        try:
            self._on_response(connection, attempt, Response.parse(words))
        except InvalidResponse as error:
            # Nothing after an invalid response on this connection can be trusted: its other attempts end
            # now and not by their timeouts.
            attempt.request.last_error = str(error)
            self._end_attempt(attempt, Outcome.ERROR)
            connection.abort(f"invalid response: {error}")

    def _on_response(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, response: Response
    ) -> None:
        match response.status:
            case protocol.COMPLETED:
                self._on_first_page(connection, attempt, response)
            case protocol.PAGE:
                number = protocol.parse_count(response.fields.get(protocol.PAGE_NUMBER), MAX_RESULT_BYTES)
                if attempt.result.add_page(number, response.body):
                    self._on_page_added(connection, attempt)
            case protocol.REJECTED | protocol.NOT_RUN:
                has_run = bool(attempt.result.page_count)
                self._end_attempt(attempt, Outcome.ERROR if has_run else Outcome.REJECTED)
            case protocol.FAILED:
                self._end_attempt(attempt, Outcome.ERROR)
            case unknown:
                raise InvalidResponse(f"expected a status, found {unknown[:20]!r}")

    def _on_first_page(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, response: Response
    ) -> None:
        result = attempt.result
        if result.page_count:
            return
        page_count = protocol.parse_count(response.fields.get(protocol.PAGE_COUNT, b"1"), MAX_RESULT_BYTES)
        result.add_first_page(page_count, response.body)
        attempt.work_s = protocol.parse_measurement(response.fields.get(protocol.WORK_MS)) / 1000.0
        attempt.memory_mb = protocol.parse_measurement(response.fields.get(protocol.MEMORY_MB))
        if page_count > 1:
            self._schedule_page_check(connection, attempt, PAGE_TIMEOUT)
        self._on_page_added(connection, attempt)

    def _on_page_added(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Finish a complete result, or request further pages."""
        result = attempt.result
        request_id = attempt.statement.request_id
        if result.is_complete:
            if result.page_count > 1:
                connection.enqueue(protocol.release_pages_command(request_id))
            self._end_attempt(attempt, Outcome.OK)
            return
        while (number := result.next_page_to_request()) is not None:
            connection.enqueue(protocol.fetch_page_command(request_id, number))

    def _schedule_page_check(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, timeout: float
    ) -> None:
        received = attempt.result.received_page_count
        attempt.page_timer = self._loop.call_later(
            timeout, self._check_pages, connection, attempt, received, timeout
        )

    def _check_pages(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, received_before: int, timeout: float
    ) -> None:
        """Request missing pages again: the result stays at its compute node, and nothing runs twice.

        Guards against a page that is lost while its connection lives: the attempt would wait for its own
        timeout, or the whole request would run again.
        """
        is_progressing = attempt.result.received_page_count > max(received_before, 1)
        if is_progressing:
            self._schedule_page_check(connection, attempt, PAGE_TIMEOUT)
            return
        for number in attempt.result.missing_pages():
            connection.enqueue(protocol.fetch_page_command(attempt.statement.request_id, number))
        self._schedule_page_check(connection, attempt, min(MAX_PAGE_TIMEOUT, 2.0 * timeout))
