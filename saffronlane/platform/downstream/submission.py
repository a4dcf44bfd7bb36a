"""Submits the requests of clients to the dispatcher, once all that has to be known before is known."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ... import dispatch
from ...engines import Executor
from .arrival_order import ArrivalOrder, HeldRequest
from .client_connection import ClientConnection, WaitingSubmission
from .reply_channel import ReplyChannel
from .request_decoder import DecodedRequest
from .table_group_queue import TableGroupQueue

MAX_HOLD_RATIO = 0.5  # fraction of its timeout after which a request is not submitted any more


@dataclass(slots=True, eq=False)
class Submission:
    """A request that is added to the executor and not submitted to the dispatcher yet.

    Attributes:
        number: The dispatcher's number for the request.
        request: The request.
        client: The connection on which it was received.
        received_at: The time of the event loop, in seconds, at which it was decoded.
        table_group: The number of the table group that its statement uses, 0 if none; None if not known yet.
    """

    number: int
    request: DecodedRequest
    client: ClientConnection
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
        find_unread: Callable[[], Iterable[ClientConnection]],
    ) -> None:
        self.arrival_order = ArrivalOrder(find_unread)
        self._table_groups = TableGroupQueue()
        self._executor = executor
        self._retry_after = retry_after
        self._loop = asyncio.get_running_loop()

    def add(self, request: DecodedRequest, channel: ReplyChannel) -> Submission:
        """Add a request to the executor."""
        number = self._executor.add_request(request.statement, channel)
        return Submission(number, request, channel.client, self._loop.time())

    def submit(self, submission: Submission) -> None:
        """Submit a request when it is ready. It may be answered, or its connection closed, before that."""
        request = submission.request
        if request.ordering_key:
            self.arrival_order.hold(self._held_request(submission))
        self._table_groups.find(
            request.statement.body,
            functools.partial(self._is_unanswered, submission.number),
            functools.partial(self._on_table_group, submission),
        )

    def cancel(self, number: int) -> None:
        """Abandon a request whose client no longer waits for the answer."""
        self.arrival_order.discard(number)
        self._executor.disconnect_client(number)

    def _held_request(self, submission: Submission) -> HeldRequest:
        return HeldRequest(
            submission.number,
            submission.request.ordering_key,
            submission.client,
            submission.latest_at,
            lambda: submission.is_ready,
            functools.partial(self._submit_now, submission),
            functools.partial(self._reject, submission),
        )

    def _is_unanswered(self, number: int) -> bool:
        return self._executor.unanswered_request(number) is not None

    def _on_table_group(self, submission: Submission, table_group: float) -> None:
        """Submit a request whose table group was found; `arrival_order` submits it if it has a key."""
        submission.table_group = table_group
        if submission.request.ordering_key:
            return
        if self._loop.time() >= submission.latest_at:
            self._reject(submission)
            return
        submit = functools.partial(self._submit_now, submission)
        reject = functools.partial(self._reject, submission)
        submission.client.submit_when_read(WaitingSubmission(submission.latest_at, submit, reject))

    def _reject(self, submission: Submission) -> None:
        reason = "the request was not submitted in time"
        self._executor.reject_unsubmitted(submission.number, self._retry_after, reason)

    def _submit_now(self, submission: Submission) -> None:
        """Submit a request with the timeout that remains, unless its client has left."""
        if submission.client.close_if_left():
            return
        request = submission.request
        elapsed = self._loop.time() - submission.received_at
        self._executor.feed(
            dispatch.Submit(
                submission.number,
                request.class_index,
                request.timeout - elapsed,
                request.tenant_index,
                request.ordering_key,
                request.estimated_work,
                request.estimated_memory_mb,
                submission.table_group or 0.0,
            )
        )
