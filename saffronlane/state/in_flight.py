"""The gateway's own attempts in flight and the load that they cause."""

from __future__ import annotations

from ..interface import Outcome
from .engines import RecentDispatch
from .requests import Attempt
from .windows import DecayingRate


class InFlightWork:
    """The gateway's own attempts in flight, with totals over all engines.

    Attributes:
        attempts: Attempts without an outcome by request and attempt index, including those of ended requests.
        threads: Threads of all attempts in flight.
        threads_by_class: Threads of the attempts in flight by class index.
        recent_work: Work sent recently, as the mean number of threads that it occupies.
    """

    def __init__(self, class_count: int) -> None:
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.threads = 0.0
        self.threads_by_class = [0.0] * class_count
        self.recent_work = DecayingRate()

    def add(self, attempt: Attempt, work: float, horizon: float, retention: float) -> None:
        """Add an attempt that is sent now.

        Args:
            attempt: The attempt; its `sent_at` is the present time.
            work: Thread seconds that it is expected to use.
            horizon: Decay time of recent work in seconds.
            retention: Seconds for which it stays in the engine's recent dispatches.
        """
        request, engine, now = attempt.request, attempt.engine, attempt.sent_at
        request.attempts.append(attempt)
        request.in_flight_count += 1
        key = request.id, attempt.index
        self.attempts[key] = engine.in_flight[key] = attempt
        self._count(attempt, 1)
        engine.recent_work.add(now, work, horizon)
        self.recent_work.add(now, work, horizon)
        recent = engine.recent_dispatches
        while recent and recent[0].time <= now - retention:
            recent.popleft()
        recent.append(RecentDispatch(now, work))

    def complete(self, request: int, attempt_index: int, outcome: Outcome) -> Attempt | None:
        """Record an attempt's outcome and return the attempt; None if it is not in flight."""
        attempt = self.attempts.pop((request, attempt_index), None)
        if attempt is not None:
            del attempt.engine.in_flight[request, attempt_index]
            self._count(attempt, -1)
            attempt.outcome = outcome
            attempt.request.in_flight_count -= 1
        return attempt

    def _count(self, attempt: Attempt, sign: int) -> None:
        request = attempt.request
        if request.class_settings.is_bulk_load:
            attempt.engine.count_bulk_load(request.table_group, sign)
        attempt.engine.in_flight_threads += sign * attempt.threads
        attempt.engine.in_flight_memory_mb += sign * attempt.memory_grant_mb
        self.threads += sign * attempt.threads
        self.threads_by_class[request.class_index] += sign * attempt.threads
