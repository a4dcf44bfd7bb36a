"""Sends the outcome of a request to the client that submitted it."""

from __future__ import annotations

from typing import Protocol

from ... import msgpackrpc as rpc
from ..memory_budget import MemoryHolder

# Names in the client protocol.
REJECTED_ERROR = "Shed"
FAULT_ERROR = "Fault"
RETRY_AFTER_MS_FIELD = "backoff"

MS_PER_SECOND = 1000.0


def rejection(message_id: int, retry_after: float) -> rpc.Reply:
    """Return the reply that a request was rejected.

    Args:
        message_id: The id of the call.
        retry_after: Seconds after which the client may retry, or 0 to send no delay.
    """
    fields = {}
    if retry_after > 0.0:
        retry_after_ms = max(1, round(retry_after * MS_PER_SECOND))
        fields[RETRY_AFTER_MS_FIELD] = str(retry_after_ms)
    return rpc.Reply(message_id, REJECTED_ERROR, fields)


class ReplyWriter(Protocol):
    """A connection on which replies are written.

    Attributes:
        memory: The bytes that the connection holds.
    """

    memory: MemoryHolder

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether the client has sent bytes that have not been processed yet."""

    def close_if_left(self) -> bool:
        """Close the connection if the client has closed it; return whether the client has left."""

    def send_reply(self, channel: ReplyChannel, reply: rpc.Reply) -> None:
        """Write the reply to a request unless the request was cancelled."""


class ReplyChannel:
    """Writes the reply to one request on its client's connection.

    Args:
        client: The connection on which the request was received.
        message_id: The id of the call, which the reply repeats.
        request_id: The client's id for the request.
        held_bytes: The bytes that the request counts in the memory budget.
    """

    __slots__ = ("client", "held_bytes", "message_id", "request_id")

    def __init__(self, client: ReplyWriter, message_id: int, request_id: bytes, held_bytes: int) -> None:
        self.client = client
        self.message_id = message_id
        self.request_id = request_id
        self.held_bytes = held_bytes

    def on_request_removed(self) -> None:
        """Return the bytes of the request to the memory budget."""
        self.client.memory.add(-self.held_bytes)

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether the client has sent bytes that have not been processed yet."""
        return self.client.has_unprocessed_input

    def close_if_left(self) -> bool:
        """Close the connection if the client has closed it; return whether the client has left."""
        return self.client.close_if_left()

    def send_result(self, body: bytes) -> None:
        """Reply with a result."""
        self.client.send_reply(self, rpc.Reply(self.message_id, None, {}, body))

    def send_rejection(self, retry_after: float) -> None:
        """Reply that the request was rejected.

        Args:
            retry_after: Seconds after which the client may retry, or 0 to send no delay.
        """
        self.client.send_reply(self, rejection(self.message_id, retry_after))

    def send_failure(self, reason: str) -> None:
        """Reply that the request failed. The reply does not contain the reason."""
        self.client.send_reply(self, rpc.Reply(self.message_id, FAULT_ERROR, {}))
