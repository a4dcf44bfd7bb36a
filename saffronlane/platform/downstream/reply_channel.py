"""Sends the outcome of a request to the client that submitted it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ... import msgpackrpc as rpc

if TYPE_CHECKING:
    from .client_connection import ClientConnection

# Names in the client protocol.
REJECTED_ERROR = "Shed"
FAULT_ERROR = "Fault"
RETRY_AFTER_MS_FIELD = "backoff"

MS_PER_SECOND = 1000.0


class ReplyChannel:
    """Writes the reply to one request on its client's connection.

    Args:
        client: The connection on which the request was received.
        message_id: The id of the call, which the reply repeats.
        request_id: The client's id for the request.
    """

    __slots__ = ("client", "message_id", "request_id")

    def __init__(self, client: ClientConnection, message_id: int, request_id: bytes) -> None:
        self.client = client
        self.message_id = message_id
        self.request_id = request_id

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether the client has sent bytes that have not been processed yet."""
        return self.client.has_unprocessed_input

    def send_result(self, body: bytes) -> None:
        """Reply with a result."""
        self.client.send_reply(self, rpc.Reply(self.message_id, None, {}, body))

    def send_rejection(self, retry_after: float) -> None:
        """Reply that the request was rejected.

        Args:
            retry_after: Seconds after which the client may retry, or 0 to send no delay.
        """
        fields = {}
        if retry_after > 0.0:
            retry_after_ms = max(1, round(retry_after * MS_PER_SECOND))
            fields[RETRY_AFTER_MS_FIELD] = str(retry_after_ms)
        self.client.send_reply(self, rpc.Reply(self.message_id, REJECTED_ERROR, fields))

    def send_failure(self, reason: str) -> None:
        """Reply that the request failed. The reply does not contain the reason."""
        self.client.send_reply(self, rpc.Reply(self.message_id, FAULT_ERROR, {}))
