"""The interface through which the upstream side answers clients."""

from __future__ import annotations

from typing import Protocol

from ...engines.transport import Request


class ResponseSink(Protocol):
    """Receives the answer to one request."""

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether the client has sent data or disconnected, and this has not been processed yet."""

    def close_if_left(self) -> bool:
        """Close the client's connection if the client has closed it; return whether the client has left."""

    def on_request_removed(self) -> None:
        """Handle that nothing is kept for the request any more."""

    def send_result(self, body: bytes) -> None:
        """Answer with a complete result."""

    def send_rejection(self, retry_after: float) -> None:
        """Reject the request.

        Args:
            retry_after: The seconds after which the client should retry; 0 for no advice.
        """

    def send_failure(self, reason: str) -> None:
        """Answer with an error."""


def response_sink(request: Request) -> ResponseSink:
    """Return the sink of a request, which the executor handles as an opaque object, with its actual type."""
    sink: ResponseSink = request.sink
    return sink
