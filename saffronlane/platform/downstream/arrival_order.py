"""The order in which requests with an ordering key count as received.

A request is received once its last byte has arrived at this machine, but connections are read in turns: a
long request on one connection is read after a short one that arrived later on another. A request with an
ordering key is therefore held until everything that had arrived before it has been read. The requests with
the same key that this brings to light precede it.
"""

from __future__ import annotations

import asyncio
import bisect
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from .message_reader import MAX_MESSAGE_BYTES
from .request_decoder import DecodedRequest

# A connection that never runs out of input has been read far enough after these bytes: the message in which
# its input ended, and as much before it.
MAX_CATCH_UP_BYTES = 2 * MAX_MESSAGE_BYTES


class RequestSource(Protocol):
    """A connection on which requests are received."""

    @property
    def received_bytes(self) -> int:
        """The number of bytes that were read from it."""

    @property
    def may_have_unread_requests(self) -> bool:
        """Whether input that may contain requests is not processed yet."""


class OrderedSubmission(Protocol):
    """A request that can be held before it is submitted."""

    @property
    def number(self) -> int:
        """The dispatcher's number for the request."""

    @property
    def request(self) -> DecodedRequest:
        """The request."""

    @property
    def client(self) -> RequestSource:
        """The connection on which it was received."""

    @property
    def received_at(self) -> float:
        """The time of the event loop, in seconds, at which it was decoded."""

    @property
    def latest_at(self) -> float:
        """The time of the event loop, in seconds, until which it may be submitted."""

    @property
    def is_ready(self) -> bool:
        """Whether all that has to be known before it is submitted is known."""

    def submit(self) -> None:
        """Submit the request."""

    def reject(self) -> None:
        """Reject the request."""


class _HeldRequest(NamedTuple):
    """A request that waits for what arrived before it.

    Attributes:
        submission: The request.
        scan: The number of the scan whose connections have to be read first.
        position: Sorts the held requests of a key.
    """

    submission: OrderedSubmission
    scan: int
    position: tuple[int, int, int]


class ArrivalOrder:
    """Holds requests with an ordering key until the input that arrived before them has been read.

    In each iteration of the event loop with new requests, a scan finds the connections with unread input.
    The requests are released once each of these connections was found without unread input, or was read by
    `MAX_CATCH_UP_BYTES`, or accepts no more requests.

    Args:
        find_unread: Returns the connections that have unread input now.
    """

    def __init__(self, find_unread: Callable[[], Iterable[RequestSource]]) -> None:
        self._find_unread = find_unread
        self._loop = asyncio.get_running_loop()
        self._held: dict[int, _HeldRequest] = {}  # by the dispatcher's number
        self._by_key: dict[int, list[_HeldRequest]] = {}  # sorted by position
        self._scan_count = 0
        self._needs_scan = False
        # For each connection that is behind: the scans that found unread input, and its offset at that time.
        self._behind: dict[RequestSource, deque[tuple[int, int]]] = {}
        self._next_check: asyncio.Handle | None = None
        self.max_delay = 0.0  # seconds for which a request was held, since the last report

    def __len__(self) -> int:
        """The number of requests that are held."""
        return len(self._held)

    def hold(self, submission: OrderedSubmission) -> None:
        """Hold a new request."""
        self._needs_scan = True
        same_key = self._by_key.setdefault(submission.request.ordering_key, [])
        request = _HeldRequest(submission, self._scan_count + 1, self._position(submission, same_key))
        self._held[submission.number] = request
        bisect.insort(same_key, request, key=lambda held: held.position)
        if self._next_check is None:
            self._next_check = self._loop.call_soon(self._check)

    def _position(self, submission: OrderedSubmission, same_key: list[_HeldRequest]) -> tuple[int, int, int]:
        """Return a new request's position among the held requests of its key.

        A request from a connection that is behind may have arrived before the requests that wait for this
        connection, so it precedes them. Requests of one connection keep their order.
        """
        client = submission.client
        scans = self._behind.get(client)
        scan, precedence = (scans[0][0], 0) if scans else (self._scan_count + 1, 1)
        same_connection = [held.position[:2] for held in same_key if held.submission.client is client]
        scan, precedence = max([(scan, precedence), *same_connection[-1:]])
        return scan, precedence, submission.number

    def discard(self, number: int) -> None:
        """Hold a request no longer, since its client does not wait for it."""
        request = self._held.get(number)
        if request is not None:
            self._remove(request)

    def _remove(self, request: _HeldRequest) -> None:
        submission = request.submission
        del self._held[submission.number]
        self.max_delay = max(self.max_delay, self._loop.time() - submission.received_at)
        ordering_key = submission.request.ordering_key
        self._by_key[ordering_key].remove(request)
        if not self._by_key[ordering_key]:
            del self._by_key[ordering_key]

    def _check(self) -> None:
        """Scan if there are new requests, and release those that have nothing to wait for."""
        self._next_check = None
        self._update_behind()
        if self._needs_scan:
            self._scan()
        self._release(min((scans[0][0] for scans in self._behind.values()), default=self._scan_count + 1))
        if self._held:
            self._next_check = self._loop.call_soon(self._check)
        else:
            self._behind.clear()

    def _scan(self) -> None:
        self._needs_scan = False
        self._scan_count += 1
        for client in self._find_unread():
            entry = (self._scan_count, client.received_bytes)
            self._behind.setdefault(client, deque()).append(entry)

    def _update_behind(self) -> None:
        """Remove the connections that have been read far enough."""
        for client, scans in list(self._behind.items()):
            while scans and client.received_bytes >= scans[0][1] + MAX_CATCH_UP_BYTES:
                scans.popleft()
            if not (scans and client.may_have_unread_requests):
                del self._behind[client]

    def _release(self, first_open_scan: int) -> None:
        """Submit the requests of the scans before the given one, and reject those that waited too long."""
        now = self._loop.time()
        for same_key in list(self._by_key.values()):
            while same_key and same_key[0].scan < first_open_scan and same_key[0].submission.is_ready:
                request = same_key[0]
                self._remove(request)
                request.submission.submit()
            for request in [held for held in same_key if now >= held.submission.latest_at]:
                self._remove(request)
                request.submission.reject()
