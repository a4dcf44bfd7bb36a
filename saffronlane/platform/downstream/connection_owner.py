"""What a client connection needs of the server that owns it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from ... import msgpackrpc as rpc
from ..memory_budget import MemoryBudget
from .connection_eviction import EvictableConnection, EvictionOrder
from .input_scheduler import InputScheduler
from .reply_channel import ReplyChannel
from .request_decoder import DecodedRequest
from .submission import Submission

ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class ConnectionOwner(Protocol[ConnectionT]):
    """The owner of all client connections.

    Attributes:
        is_healthy: Returns whether the gateway is healthy, which is the reply to a health check.
        memory: The budget in which open requests and partial messages count.
        read_chunk_bytes: The bytes to read at once from a client.
        input_scheduler: Shares the time for handling messages between the connections.
        eviction: The order in which idle connections are evicted.
        open_request_ids: The ids of all open requests.
        invalid_message_count: The number of invalid messages on all connections.
        memory_rejection_count: The number of calls that were rejected for lack of memory.
        retry_after: Seconds after which the client of a rejected call may retry, or 0 to send no delay.
    """

    is_healthy: Callable[[], bool]
    memory: MemoryBudget
    read_chunk_bytes: int
    input_scheduler: InputScheduler
    eviction: EvictionOrder[ConnectionT]
    open_request_ids: set[bytes]
    invalid_message_count: int
    memory_rejection_count: int
    retry_after: float

    def decode(self, call: rpc.Call) -> DecodedRequest:
        """Decode a call; raise BadRequestError if it is invalid."""

    def add_request(self, request: DecodedRequest, client: ConnectionT, channel: ReplyChannel) -> Submission:
        """Add a request, which `submit` then submits to the dispatcher."""

    def submit(self, submission: Submission) -> None:
        """Submit a request. It may be answered, or its connection closed, before this returns."""

    def is_safe(self, request: DecodedRequest) -> bool:
        """Return whether a request may be executed more than once."""

    def cancel(self, number: int, request_id: bytes, may_come_again: bool) -> None:
        """Cancel a request whose client no longer waits for the reply."""

    def count_unread(self, change: int) -> None:
        """Count reply bytes that a client has not read."""

    def on_connection_closed(self, client: ConnectionT) -> None:
        """Remove a closed connection."""
