"""What attempts at compute nodes need of the client's side."""

from __future__ import annotations

from typing import Protocol

from ...engines.transport import Request


class Client(Protocol):
    """Where an answer goes."""

    @property
    def unread(self) -> bool:
        """Whether it has sent something, or gone, and that has not been read yet."""

    def served(self, body: bytes) -> None: ...

    def refused(self, retry_after: float) -> None: ...

    def failed(self, why: str) -> None: ...


def client_of(request: Request) -> Client:
    client: Client = request.sink
    return client
