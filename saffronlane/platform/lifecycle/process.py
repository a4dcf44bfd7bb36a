"""Graceful shutdown of the process: all requests are answered, and connections close without a reset.

The platform sets the times: new connections come for up to 0.4 s after SIGTERM, requests on open ones for
0.2 s more, and SIGKILL no sooner than 0.7 s after the longest deadline, which counts as 3 s where it is
longer. What ends by itself within that is waited for; the rest is answered while there is time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

NEW_REQUEST_WINDOW = 1.0  # seconds after SIGTERM in which requests may come, with a margin for a slow loop
QUIET_PERIOD = 0.3  # seconds without a new request until the end
MAX_DEADLINE = 3.0  # seconds that the longest deadline counts for at most
KILL_DELAY = 0.7  # seconds from the longest deadline to SIGKILL
ANSWER_MARGIN = 0.25  # seconds before SIGKILL in which the remaining answers have to arrive


def shutdown_grace_period(longest_deadline: float) -> float:
    """Seconds after SIGTERM for which answers are waited for."""
    return min(longest_deadline, MAX_DEADLINE) + KILL_DELAY - ANSWER_MARGIN


class Phase(Enum):
    """The phases of the process, in order."""

    SERVING = "serving"
    DRAINING = "draining"  # health checks fail; requests are still accepted, and all are answered
    CLOSING = "closing"  # nothing is pending, nobody listens; connections are half closed and linger
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class OutstandingWork:
    """What the driver sees.

    Attributes:
        last_request_at: when the last request came, in seconds.
        has_unanswered: whether requests have no answer, or answers are not written.
        has_unread: whether something waits to be accepted or read.
        connection_count: of clients, those that linger among them.
    """

    last_request_at: float
    has_unanswered: bool
    has_unread: bool
    connection_count: int


class ProcessLifecycle:
    """The phase of the process.

    Args:
        linger_timeout: seconds that connections may take to close.
        grace_period: seconds after SIGTERM for which answers are waited for.
    """

    def __init__(self, linger_timeout: float, grace_period: float) -> None:
        self._linger_timeout = linger_timeout
        self._grace_period = grace_period
        self._phase_started_at = -math.inf
        self.phase = Phase.SERVING
        # Terminated twice, or SIGKILL is near: pending requests are answered at once, no new ones awaited.
        self.is_expedited = False

    def terminate(self, now: float) -> None:
        """Handle SIGTERM or SIGINT."""
        if self.phase is Phase.SERVING:
            self._enter(Phase.DRAINING, now)
        else:
            self.is_expedited = True

    def advance(self, now: float, outstanding: OutstandingWork) -> Phase:
        """Enter the next phase where nothing holds it up; returns the phase after that."""
        is_overdue = now >= self._phase_started_at + self._phase_timeout()
        if self.phase is Phase.DRAINING:
            self.is_expedited = self.is_expedited or is_overdue
            if self._is_drained(now, outstanding):
                self._enter(Phase.CLOSING, now)
        elif self.phase is Phase.CLOSING and (is_overdue or not outstanding.connection_count):
            self.phase = Phase.ENDED
        return self.phase

    def _phase_timeout(self) -> float:
        return self._linger_timeout if self.phase is Phase.CLOSING else self._grace_period

    def _is_drained(self, now: float, outstanding: OutstandingWork) -> bool:
        if outstanding.has_unanswered or outstanding.has_unread:
            return False
        is_in_window = now < self._phase_started_at + NEW_REQUEST_WINDOW
        is_recent = now < outstanding.last_request_at + QUIET_PERIOD
        return self.is_expedited or not (is_in_window or is_recent)

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self._phase_started_at = now
