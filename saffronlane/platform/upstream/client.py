"""What attempts at compute nodes need of the client's side."""

from __future__ import annotations

from typing import Protocol

from ...engines.executor import Request


class ResponseSink(Protocol):
    """Where an answer goes."""

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether it has sent something, or gone, and that has not been read yet."""

    def send_result(self, body: bytes) -> None: ...

    def send_rejection(self, retry_after: float) -> None: ...

    def send_failure(self, why: str) -> None: ...


def response_sink(request: Request) -> ResponseSink:
    client: ResponseSink = request.sink
    return client
