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

PAGE_TIMEOUT = 0.1  # seconds without a new page until missing pages are requested again
MAX_PAGE_TIMEOUT = 0.8  # seconds; the timeout doubles with each repeated request up to this


class ResponseAssembler:
    """Handles the responses to attempts.

    Args:
        on_attempt_ended: Called with an attempt that has ended, and its outcome.
    """

    def __init__(self, on_attempt_ended: Callable[[UpstreamAttempt, Outcome], None]) -> None:
        self._on_attempt_ended = on_attempt_ended
        self._loop = asyncio.get_running_loop()

    def receive(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, elements: list[bytes]
    ) -> None:
        """Handle one response to an attempt that was sent."""
        try:
            self._on_response(connection, attempt, Response.parse(elements))
        except InvalidResponse as error:
            # After an invalid response, nothing else on this connection can be trusted. Aborting it ends the
            # other attempts now rather than at their timeouts.
            attempt.request.last_error = str(error)
            self._on_attempt_ended(attempt, Outcome.ERROR)
            connection.abort(f"invalid response: {error}")

    def _on_response(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, response: Response
    ) -> None:
        match response.status:
            case protocol.COMPLETED:
                self._on_first_page(connection, attempt, response)
            case protocol.PAGE:
                page_number = protocol.parse_count(
                    response.fields.get(protocol.PAGE_NUMBER), MAX_RESULT_BYTES
                )
                if attempt.result.add_page(page_number, response.body):
                    self._on_page_added(connection, attempt)
            case protocol.REJECTED | protocol.NOT_RUN:
                has_run = bool(attempt.result.page_count)
                self._on_attempt_ended(attempt, Outcome.ERROR if has_run else Outcome.REJECTED)
            case protocol.FAILED:
                self._on_attempt_ended(attempt, Outcome.ERROR)
            case status:
                raise InvalidResponse(f"unknown response status: {status[:20]!r}")

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
        """End the attempt if its result is complete; otherwise request further pages."""
        result = attempt.result
        request_id = attempt.statement.request_id
        if result.is_complete:
            if result.page_count > 1:
                connection.enqueue(protocol.release_pages_command(request_id))
            self._on_attempt_ended(attempt, Outcome.OK)
            return
        while (page_number := result.next_page_to_request()) is not None:
            connection.enqueue(protocol.fetch_page_command(request_id, page_number))

    def _schedule_page_check(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, timeout: float
    ) -> None:
        received_count = attempt.result.received_page_count
        attempt.page_timer = self._loop.call_later(
            timeout, self._check_pages, connection, attempt, received_count, timeout
        )

    def _check_pages(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, received_before: int, timeout: float
    ) -> None:
        """Request missing pages again if no new page has arrived since the last check.

        The compute node keeps the result, so the statement is not executed again. Without this check, an
        attempt that lost a page on a live connection would wait for its timeout, or the whole request would
        run again.
        """
        is_progressing = attempt.result.received_page_count > max(received_before, 1)
        if is_progressing:
            self._schedule_page_check(connection, attempt, PAGE_TIMEOUT)
            return
        for page_number in attempt.result.missing_pages():
            connection.enqueue(protocol.fetch_page_command(attempt.statement.request_id, page_number))
        self._schedule_page_check(connection, attempt, min(MAX_PAGE_TIMEOUT, 2.0 * timeout))
