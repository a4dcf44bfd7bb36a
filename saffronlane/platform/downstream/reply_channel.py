"""Where the outcome of one request is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ... import msgpackrpc as rpc

if TYPE_CHECKING:
    from .client_connection import ClientConnection

# Words on the wire.
REJECTED_ERROR = "Shed"
FAULT_ERROR = "Fault"
RETRY_AFTER_MS_FIELD = "backoff"

MS_PER_SECOND = 1000.0


class ReplyChannel:
    """Writes the reply to one request on its client's connection.

    Args:
        client: the connection.
        message_id: of the call.
        request_id: of the request.
    """

    __slots__ = ("client", "message_id", "request_id")

    def __init__(self, client: ClientConnection, message_id: int, request_id: bytes) -> None:
        self.client = client
        self.message_id = message_id
        self.request_id = request_id

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether the client has sent something that was not acted on."""
        return self.client.has_unprocessed_input

    def send_result(self, body: bytes) -> None:
        """Reply with a result."""
        self.client.answer(self, rpc.Reply(self.message_id, None, {}, body))

    def send_rejection(self, retry_after: float) -> None:
        """Reply that the request was rejected; `retry_after`: seconds, 0 where there is no advice."""
        fields = {}
        if retry_after > 0.0:
            retry_after_ms = max(1, round(retry_after * MS_PER_SECOND))
            fields[RETRY_AFTER_MS_FIELD] = str(retry_after_ms)
        self.client.answer(self, rpc.Reply(self.message_id, REJECTED_ERROR, fields))

    def send_failure(self, why: str) -> None:
        """Reply that the request failed."""
        self.client.answer(self, rpc.Reply(self.message_id, FAULT_ERROR, {}))
