"""What a connection to a compute node reports to its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ...interface import Outcome
from .attempt import UpstreamAttempt

if TYPE_CHECKING:
    from .connection import UpstreamConnection


class ConnectionListener(Protocol):
    """What a connection reports to its owner."""

    def on_response(self, connection: UpstreamConnection, words: list[bytes]) -> None:
        """A whole response has arrived."""

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        """The end of the connection has ended an attempt."""

    def on_attempt_unsent(self, attempt: UpstreamAttempt) -> None:
        """The connection closed before the attempt was sent, which proves nothing about its compute node."""

    def on_probe_ended(self, engine: bytes, outcome: Outcome, started_at: float) -> None:
        """The end of the connection has ended a probe."""

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """The connection is closed."""
