"""The executor's table of requests and their attempts in flight."""

from __future__ import annotations

from typing import Any

from .transport import Attempt, Request


class RequestLedger:
    """Requests by number, until they are answered and all their attempts have ended."""

    def __init__(self) -> None:
        self._requests: dict[int, Request] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __getitem__(self, number: int) -> Request:
        return self._requests[number]

    def open(self, number: int, work: Any, sink: Any, idempotency_key: str) -> None:
        """Add a request that is to be answered."""
        self._requests[number] = Request(number, work, sink, idempotency_key)

    def get(self, number: int) -> Request | None:
        """Return a request, answered or not, or None if it is over."""
        return self._requests.get(number)

    def unanswered(self, number: int) -> Request | None:
        """Return a request that has no answer yet, or None."""
        request = self._requests.get(number)
        return None if request is None or request.is_answered else request

    def attempt(self, number: int, attempt_number: int) -> Attempt | None:
        """Return an attempt in flight, or None if it has ended."""
        request = self._requests.get(number)
        return None if request is None else request.attempts_in_flight.get(attempt_number)

    def close_request(self, request: Request) -> None:
        """Note that a request needs no answer any more."""
        request.is_answered = True

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an ended attempt, and its request if nothing else keeps it."""
        attempt.request.attempts_in_flight.pop(attempt.number, None)
        self.remove_if_over(attempt.request)

    def remove_if_over(self, request: Request) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if request.is_answered and not request.attempts_in_flight:
            self._requests.pop(request.id, None)
