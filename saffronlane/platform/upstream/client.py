"""What attempts at compute nodes need of the client's side."""

from __future__ import annotations

from typing import Protocol

from ...engines.transport import Request


class ResponseSink(Protocol):
    """Where the answer to a request goes."""

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether its client has sent something, or gone, and that has not been processed yet."""

    def send_result(self, body: bytes) -> None:
        """Answer with a whole result."""

    def send_rejection(self, retry_after: float) -> None:
        """Reject; the client should stay away for some seconds, or 0."""

    def send_failure(self, why: str) -> None:
        """Answer with an error."""


def response_sink(request: Request) -> ResponseSink:
    """Where the answer to a request goes, by its type."""
    sink: ResponseSink = request.sink
    return sink
