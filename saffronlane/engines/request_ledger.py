"""The executor's table of requests and their attempts in flight."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .transport import Attempt, Request


class RequestLedger:
    """Requests by number. A request is removed once it is answered and all its attempts have ended.

    Args:
        on_removed: Called with each request that is removed.
    """

    def __init__(self, on_removed: Callable[[Request], None]) -> None:
        self._on_removed = on_removed
        self._requests: dict[int, Request] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __getitem__(self, number: int) -> Request:
        return self._requests[number]

    def add(self, number: int, statement: Any, sink: Any, idempotency_key: str) -> None:
        """Add an unanswered request."""
        self._requests[number] = Request(number, statement, sink, idempotency_key)

    def get(self, number: int) -> Request | None:
        """Return a request, answered or not, or None if it has ended."""
        return self._requests.get(number)

    def get_unanswered(self, number: int) -> Request | None:
        """Return a request, or None if it has been answered or is unknown."""
        request = self._requests.get(number)
        return None if request is None or request.is_answered else request

    def get_attempt(self, number: int, attempt_number: int) -> Attempt | None:
        """Return an attempt in flight, or None if it has ended."""
        request = self._requests.get(number)
        return None if request is None else request.attempts_in_flight.get(attempt_number)

    def mark_answered(self, request: Request) -> None:
        """Mark a request as answered, or as abandoned by its client."""
        request.is_answered = True

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an ended attempt, and its request if it is answered and has no other attempt in flight."""
        attempt.request.attempts_in_flight.pop(attempt.number, None)
        self.remove_if_ended(attempt.request)

    def remove_if_ended(self, request: Request) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if request.is_answered and not request.attempts_in_flight:
            removed = self._requests.pop(request.id, None)
            if removed is not None:
                self._on_removed(removed)
