"""Graceful shutdown of the process: all requests are answered, and connections close without a reset.

The platform defines the times. New connections may arrive for up to 0.4 s after SIGTERM, and requests on open
connections for another 0.2 s. SIGKILL follows at least 0.7 s after the longest deadline; a deadline of more
than 3 s counts as 3 s. Requests that end within that time are awaited. All others are answered shortly before
SIGKILL.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

NEW_REQUEST_WINDOW = 1.0  # seconds after SIGTERM in which requests may arrive, with a margin for a slow loop
QUIET_PERIOD = 0.3  # seconds without a new request before connections are closed
MAX_DEADLINE = 3.0  # seconds; a longer deadline counts as this
KILL_DELAY = 0.7  # seconds from the longest deadline to SIGKILL
ANSWER_MARGIN = 0.25  # seconds before SIGKILL that are left for the remaining answers


def shutdown_grace_period(longest_deadline: float) -> float:
    """Return the seconds after SIGTERM for which answers are awaited."""
    return min(longest_deadline, MAX_DEADLINE) + KILL_DELAY - ANSWER_MARGIN


class Phase(Enum):
    """The phases of the process, in order."""

    SERVING = "serving"
    DRAINING = "draining"  # health checks fail; requests are still accepted, and all are answered
    CLOSING = "closing"  # no request is pending, nothing listens; connections are half-closed and linger
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class OutstandingWork:
    """The work that must be completed before the process ends, as observed by `GracefulShutdown`.

    Attributes:
        last_request_at: The time at which the last request arrived, in seconds.
        has_unanswered: Whether a request has no answer, or an answer is not written completely.
        has_unread: Whether connections wait to be accepted, or input waits to be read.
        connection_count: The number of client connections, including lingering ones.
    """

    last_request_at: float
    has_unanswered: bool
    has_unread: bool
    connection_count: int


class ProcessLifecycle:
    """The phase of the process.

    Args:
        linger_timeout: The seconds that connections may take to close.
        grace_period: The seconds after SIGTERM for which answers are awaited.
    """

    def __init__(self, linger_timeout: float, grace_period: float) -> None:
        self._linger_timeout = linger_timeout
        self._grace_period = grace_period
        self._phase_started_at = -math.inf
        self.phase = Phase.SERVING
        # Set by a second signal, or when SIGKILL is near: pending requests are answered immediately, and new
        # ones are no longer awaited.
        self.is_expedited = False

    def terminate(self, now: float) -> None:
        """Handle SIGTERM or SIGINT; a second signal expedites the shutdown."""
        if self.phase is Phase.SERVING:
            self._enter(Phase.DRAINING, now)
        else:
            self.is_expedited = True

    def advance(self, now: float, outstanding: OutstandingWork) -> Phase:
        """Enter the next phase if nothing prevents it; return the resulting phase."""
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
