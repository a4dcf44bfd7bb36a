"""The end of the process: requests may still come, answers are owed, connections close without a reset.

The times are the platform's: new connections come for up to 0.4 s after SIGTERM, requests on open ones for
0.2 s more, and SIGKILL no sooner than 0.7 s after the longest deadline, which counts as 3 s where it is
longer. What ends by its own time within that is waited for; the rest is answered while it still can be.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

NEW_REQUEST_WINDOW = 1.0  # seconds after SIGTERM in which requests may come, with a margin for a slow loop
QUIET_PERIOD = 0.3  # seconds without a new one until the end
MAX_DEADLINE = 3.0  # seconds that the longest deadline counts for, as the platform has it
KILL_AFTER = 0.7  # seconds from then to SIGKILL
ANSWER_MARGIN = 0.25  # seconds before SIGKILL in which what is still owed is answered, and has to arrive


def shutdown_grace_period(longest_deadline: float) -> float:
    """Seconds after SIGTERM for which answers are waited for."""
    return min(longest_deadline, MAX_DEADLINE) + KILL_AFTER - ANSWER_MARGIN


class Phase(Enum):
    SERVING = "serving"
    DRAINING = "draining"  # not well any more; what still comes is taken, every answer is given
    CLOSING = "closing"  # nothing is owed, nobody listens; connections are half closed and linger
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class OutstandingWork:
    """What the driver sees.

    Attributes:
        last_taken: when the last request came, in seconds.
        owed: requests without an answer, or answers that have not left.
        unread: something waits to be accepted or read.
        connections: of clients, those that linger among them.
    """

    last_request_at: float
    has_unanswered: bool
    has_unread: bool
    connection_count: int


class ProcessLifecycle:
    """Where the process is.

    Args:
        linger: seconds that connections may take to close.
        patience: seconds after SIGTERM for which answers are waited for.
    """

    def __init__(self, linger_timeout: float, grace_period: float) -> None:
        self._linger, self._patience = linger_timeout, grace_period
        self.phase = Phase.SERVING
        # Asked twice, or SIGKILL is near: what is owed is answered at once, nothing more is waited for.
        self.is_expedited = False
        self._since = -math.inf

    def terminate(self, now: float) -> None:
        """SIGTERM or SIGINT."""
        if self.phase is Phase.SERVING:
            self.phase, self._since = Phase.DRAINING, now
        else:
            self.is_expedited = True

    def advance(self, now: float, outstanding: OutstandingWork) -> Phase:
        """The phase now that this is so."""
        if self.phase is Phase.DRAINING and now >= self._since + self._patience:
            self.is_expedited = True
        if self.phase is Phase.DRAINING and not (outstanding.has_unanswered or outstanding.has_unread):
            coming = (
                now < self._since + NEW_REQUEST_WINDOW or now < outstanding.last_request_at + QUIET_PERIOD
            )
            if self.is_expedited or not coming:
                self.phase, self._since = Phase.CLOSING, now
        elif self.phase is Phase.CLOSING and (
            not outstanding.connection_count or now >= self._since + self._linger
        ):
            self.phase = Phase.ENDED
        return self.phase
