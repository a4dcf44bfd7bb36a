"""Retry safety: whether the idempotency of a request's class allows another attempt."""

import math

from ...interface import Idempotency
from ...state import Request, StepContext
from .retry_budget import dispatch_delay

MIN_TTL_MARGIN = 0.25  # seconds before the expiry of an idempotency key in which no retry is dispatched


class RetrySafety:
    """Decides whether another attempt is safe although an earlier one may have been executed."""

    def __init__(self, step_context: StepContext) -> None:
        self.step_context = step_context
        self.ttl_margin = max(MIN_TTL_MARGIN, dispatch_delay(step_context))

    def is_retry_safe(self, request: Request) -> bool:
        """Return whether the request may be dispatched again in view of its earlier attempts."""
        if request.first_possible_execution() is None:
            return True
        match request.class_settings.idempotency:
            case Idempotency.SAFE:
                return True
            case Idempotency.KEYED:
                return self.ttl_margin <= self.send_timeout(request)
            case Idempotency.UNSAFE:
                return False

    def send_timeout(self, request: Request) -> float:
        """Return the seconds within which the next attempt must be sent: while its key is surely known."""
        first = request.first_possible_execution()
        if first is None or request.class_settings.idempotency is not Idempotency.KEYED:
            return math.inf
        return first.sent_at + request.class_settings.idempotency_ttl - self.step_context.now
