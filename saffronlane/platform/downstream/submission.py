"""Submits the requests of clients to the dispatcher, once all that has to be known before is known."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from ... import dispatch
from ...engines import Executor
from ..stream import Stream
from .arrival_order import ArrivalOrder, RequestSource
from .reply_channel import ReplyChannel
from .request_decoder import DecodedRequest
from .table_group_queue import TableGroupQueue

MAX_HOLD_RATIO = 0.5  # fraction of its timeout after which a request is not submitted any more


class SubmittingClient(RequestSource, Protocol):
    """A connection whose requests are submitted.

    Attributes:
        stream: The stream of the connection's socket.
        loop: The event loop of the connection.
    """

    stream: Stream
    loop: asyncio.AbstractEventLoop

    def close_if_left(self) -> bool:
        """Close the connection if the client has closed it; return whether the client has left."""

    def submit_when_read(self, submission: Submission) -> None:
        """Submit a request once all input that has arrived was read."""


@dataclass(slots=True, eq=False)
class Submission:
    """A request that is added to the executor and not submitted to the dispatcher yet.

    Attributes:
        number: The dispatcher's number for the request.
        request: The request.
        client: The connection on which it was received.
        executor: The executor to which it is submitted.
        retry_after: Seconds after which the client may retry if it is rejected, or 0 to send no delay.
        received_at: The time of the event loop, in seconds, at which it was decoded.
        table_group: The number of the table group that its statement uses, 0 if none; None if not known yet.
    """

    number: int
    request: DecodedRequest
    client: SubmittingClient
    executor: Executor
    retry_after: float
    received_at: float
    table_group: float | None = None

    @property
    def latest_at(self) -> float:
        """The time of the event loop, in seconds, until which it may be submitted."""
        return self.received_at + MAX_HOLD_RATIO * self.request.timeout

    @property
    def is_ready(self) -> bool:
        """Whether its table group is known and all input of its connection was read."""
        return self.table_group is not None and not self.client.stream.has_unread_input

    @property
    def is_wanted(self) -> bool:
        """Whether its client still waits for the answer."""
        return self.executor.unanswered_request(self.number) is not None

    def submit(self) -> None:
        """Submit the request with the timeout that remains, unless its client has left."""
        if self.client.close_if_left():
            return
        request = self.request
        elapsed = self.client.loop.time() - self.received_at
        self.executor.feed(
            dispatch.Submit(
                self.number,
                request.class_index,
                request.timeout - elapsed,
                request.tenant_index,
                request.ordering_key,
                request.estimated_work,
                request.estimated_memory_mb,
                self.table_group or 0.0,
            )
        )

    def reject(self) -> None:
        """Reject the request, which never ran."""
        reason = "the request was not submitted in time"
        self.executor.reject_unsubmitted(self.number, self.retry_after, reason)


class RequestSubmitter:
    """Submits a request once its table group is found and all input of its connection was read.

    The end of the connection may be behind this input, and nothing is submitted for a client that has left.
    A request with an ordering key also waits for what arrived before it on other connections. If all this
    takes too long, the request is rejected.

    Args:
        executor: The executor to which requests are submitted.
        retry_after: Seconds after which the client of a rejected request may retry, or 0 to send no delay.
        find_unread: Returns the connections that have unread input now.
    """

    def __init__(
        self,
        executor: Executor,
        retry_after: float,
        find_unread: Callable[[], Iterable[RequestSource]],
    ) -> None:
        self.arrival_order = ArrivalOrder(find_unread)
        self._table_groups = TableGroupQueue()
        self._executor = executor
        self._retry_after = retry_after
        self._loop = asyncio.get_running_loop()

    def add(self, request: DecodedRequest, client: SubmittingClient, channel: ReplyChannel) -> Submission:
        """Add a request to the executor."""
        number = self._executor.add_request(request.statement, channel)
        return Submission(number, request, client, self._executor, self._retry_after, self._loop.time())

    def submit(self, submission: Submission) -> None:
        """Submit a request when it is ready. It may be answered, or its connection closed, before that."""
        if submission.request.ordering_key:
            self.arrival_order.hold(submission)
        self._table_groups.find(
            submission.request.statement.body,
            lambda: submission.is_wanted,
            functools.partial(self._on_table_group, submission),
        )

    def cancel(self, number: int) -> None:
        """Abandon a request whose client no longer waits for the answer."""
        self.arrival_order.discard(number)
        self._executor.disconnect_client(number)

    def _on_table_group(self, submission: Submission, table_group: float) -> None:
        """Submit a request whose table group was found; `arrival_order` submits it if it has a key."""
        submission.table_group = table_group
        if submission.request.ordering_key:
            return
        if self._loop.time() >= submission.latest_at:
            submission.reject()
        else:
            submission.client.submit_when_read(submission)
