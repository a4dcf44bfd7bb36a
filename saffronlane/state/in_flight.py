"""Own attempts in flight, and the work that they put on engines."""

from __future__ import annotations

from ..interface import Outcome
from .engines import RecentDispatch
from .requests import Attempt
from .windows import DecayingRate


class InFlightWork:
    """Own attempts in flight, their threads in all and by class, and own work sent recently.

    Attributes:
        attempts: without an outcome, also those of ended requests, by request and index.
        threads: of all of them.
        threads_by_class: by index of the class.
        recent_work: own work sent, as the threads that it keeps busy.
    """

    def __init__(self, class_count: int) -> None:
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.threads = 0.0
        self.threads_by_class = [0.0] * class_count
        self.recent_work = DecayingRate()

    def add(self, attempt: Attempt, work: float, horizon: float, retention: float) -> None:
        """Add an attempt that is sent now.

        Args:
            attempt: whose `sent_at` is now.
            work: seconds of one thread that it is expected to use.
            horizon: seconds over which it counts as recent work.
            retention: seconds for which its engine keeps it among the recent dispatches.
        """
        request, engine, now = attempt.request, attempt.engine, attempt.sent_at
        request.attempts.append(attempt)
        request.in_flight_count += 1
        key = request.id, attempt.index
        self.attempts[key] = engine.in_flight[key] = attempt
        self._count(attempt, 1.0)
        engine.recent_work.add(now, work, horizon)
        self.recent_work.add(now, work, horizon)
        kept = [dispatch for dispatch in engine.recent_dispatches if dispatch.time > now - retention]
        engine.recent_dispatches = [*kept, RecentDispatch(now, work)]

    def complete(self, request: int, attempt_index: int, outcome: Outcome) -> Attempt | None:
        """Note an attempt's outcome; None: it is not known, or has had one before."""
        attempt = self.attempts.pop((request, attempt_index), None)
        if attempt is not None:
            del attempt.engine.in_flight[request, attempt_index]
            self._count(attempt, -1.0)
            attempt.outcome = outcome
            attempt.request.in_flight_count -= 1
        return attempt

    def _count(self, attempt: Attempt, sign: float) -> None:
        attempt.engine.in_flight_threads += sign * attempt.threads
        attempt.engine.in_flight_memory_mb += sign * attempt.memory_grant_mb
        self.threads += sign * attempt.threads
        self.threads_by_class[attempt.request.class_index] += sign * attempt.threads
