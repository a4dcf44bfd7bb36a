"""Whether new requests are accepted."""

from __future__ import annotations

from .. import interface as api
from .effects import RejectRequest


class RequestIntake:
    """Rejects new requests while the gateway drains or has too many.

    Args:
        limits: of the settings.
        max_pending: requests without an answer at once; each further one is rejected.
    """

    def __init__(self, limits: api.Limits, max_pending: int) -> None:
        self._limits = limits
        self._max_pending = max_pending
        self._drain_deadline: float | None = None  # set: no request is accepted any more

    def begin_drain(self, now: float, grace_period: float) -> None:
        """Accept nothing from now on; accepted requests have `grace_period` seconds to end."""
        if self._drain_deadline is None:
            self._drain_deadline = now + grace_period

    def finish_drain(self, now: float) -> None:
        """End the grace period at once."""
        self._drain_deadline = min(now, self._drain_deadline or now)

    def rejection(self, request_id: int, pending_count: int, now: float) -> RejectRequest | None:
        """Return the answer to a request that is not accepted, or None if it is.

        Args:
            request_id: the number of the new request.
            pending_count: requests without an answer, the new one included.
            now: seconds; a drain asks clients to retry after its end, when a successor takes over.
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
