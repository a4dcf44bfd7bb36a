"""Admission of new requests into the gateway."""

from __future__ import annotations

from .. import interface as api
from .effects import RejectRequest


class RequestIntake:
    """Rejects new requests while the gateway drains or has too many unanswered requests.

    Args:
        limits: The limits in the settings.
        max_pending: The largest number of unanswered requests. Requests beyond it are rejected.
    """

    def __init__(self, limits: api.Limits, max_pending: int) -> None:
        self._limits = limits
        self._max_pending = max_pending
        self._drain_deadline: float | None = None  # while set, all new requests are rejected

    def begin_drain(self, now: float, grace_period: float) -> None:
        """Reject all new requests from now on. Accepted requests have `grace_period` seconds to end."""
        if self._drain_deadline is None:
            self._drain_deadline = now + grace_period

    def finish_drain(self, now: float) -> None:
        """End the grace period immediately."""
        self._drain_deadline = min(now, self._drain_deadline or now)

    def rejection(self, request_id: int, pending_count: int, now: float) -> RejectRequest | None:
        """Return the rejection of a new request, or None if the request is accepted.

        During a drain, clients are asked to retry after its end, when another process has taken over.

        Args:
            request_id: The number of the new request.
            pending_count: The number of unanswered requests, including the new one.
            now: The current time in seconds.
        """
        limits = self._limits
        if self._drain_deadline is not None:
            remaining = max(0.0, self._drain_deadline - now)
            retry_after = min(remaining, limits.max_retry_after)
            return RejectRequest(request_id, retry_after, "the gateway is stopping")
        if pending_count > self._max_pending:
            retry_after = limits.max_retry_after if limits.sends_retry_after else 0.0
            return RejectRequest(request_id, retry_after, f"{self._max_pending} requests wait already")
        return None
