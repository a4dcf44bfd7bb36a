"""Retry safety: whether a class's idempotency allows another attempt, by this gateway or by the client."""

import math

from ...interface import DeduplicationScope, Idempotency
from ...state import Request, StepContext
from .retry_budget import dispatch_delay

MIN_TTL_MARGIN = 0.25  # seconds before the expiry of an idempotency key in which no retry is dispatched


class RetrySafety:
    """Decides whether another attempt is safe although an earlier one may have been executed.

    Attributes:
        short_key_failures: Number of requests that were failed rather than rejected, since their key may be
            forgotten before their client gives up.
        min_key_margin: Shortest time in seconds by which a key outlives the client of a rejected request.
    """

    def __init__(self, step_context: StepContext) -> None:
        self.step_context = step_context
        self.short_key_failures = 0
        self.min_key_margin = math.inf
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

    def arrival_timeout(self, request: Request) -> float:
        """Return the seconds within which the whole of the next attempt must arrive: while its key is known.

        The first attempt has such a limit as well: a later one may run before it has arrived.
        """
        settings = request.class_settings
        if settings.idempotency is not Idempotency.KEYED:
            return math.inf
        return min(settings.idempotency_ttl, self.send_timeout(request))

    def max_retry_after(self, request: Request) -> float | None:
        """Return the longest delay that a rejection may ask for, or None if a rejection is not safe.

        A rejection promises that the client's retry has no effect beyond the first execution. The gateway
        that gets the retry knows nothing of the attempts here. It may queue the retry, drain or restart, and
        may send it at any time until the client gives up. So the engines have to know the key until then.
        """
        if not self.is_retry_safe(request):
            return None
        first = request.first_possible_execution()
        settings = request.class_settings
        if first is None or settings.idempotency is Idempotency.SAFE:
            return math.inf
        # The retry may reach an engine outside a scope that is limited.
        is_known_to_all_engines = settings.deduplication_scope is DeduplicationScope.ALL
        if not is_known_to_all_engines:
            return None
        key_expires_at = first.sent_at + settings.idempotency_ttl
        key_margin = key_expires_at - request.client_gives_up_at()
        if key_margin < 0.0:
            self.short_key_failures += 1
            return None
        self.min_key_margin = min(self.min_key_margin, key_margin)
        return key_expires_at - self.ttl_margin - self.step_context.now
