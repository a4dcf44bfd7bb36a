"""The interface through which a connection to a compute node notifies its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ...interface import Outcome
from .attempt import UpstreamAttempt

if TYPE_CHECKING:
    from .connection import UpstreamConnection


class ConnectionListener(Protocol):
    """Receives the notifications of a connection to a compute node."""

    def on_response(self, connection: UpstreamConnection, elements: list[bytes]) -> None:
        """Handle a complete response."""

    def on_attempt_sent(self, attempt: UpstreamAttempt) -> None:
        """Handle an attempt of which the kernel has accepted the first byte."""

    def on_attempt_expired(self, attempt: UpstreamAttempt) -> None:
        """Handle an attempt that was withdrawn since its send deadline has passed."""

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        """Handle an attempt that ended because the connection closed or broke."""

    def on_attempt_unsent(self, attempt: UpstreamAttempt) -> None:
        """Handle an attempt whose connection closed before the attempt was sent.

        This alone does not show that the compute node has failed.
        """

    def on_probe_ended(self, engine: bytes, outcome: Outcome, started_at: float) -> None:
        """Handle a probe that ended because the connection closed or broke."""

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Handle the close of the connection."""
