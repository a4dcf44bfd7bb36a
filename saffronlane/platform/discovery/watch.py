"""Watches the control feed, a stream of numbered events over TCP.

After any failure, the watch reconnects and resumes after the last event that it received. A silent connection
stays open while others are tried: the feed may be slow to write its first line on each.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from random import Random

import msgspec
import structlog
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from ...errors import error_fields
from ..config import Address, EndpointList, WatchEvent
from ..descriptors import DescriptorExhaustion
from ..errors import DiscoveryError
from .feed_connection import CONNECT_TIMEOUT, READ_TIMEOUT, FeedConnection

log = structlog.get_logger()

SEQUENCE_FIELD = "n"  # name in the feed's protocol
MAX_HEARTBEAT_BYTES = 40
MAX_SEQUENCE_DIGITS = 15
MAX_CONNECTIONS = 3  # the newest and silent ones; more of them outlast a slower first line
MIN_BACKOFF = 0.05  # seconds between connection attempts; doubled after each failure and jittered
MAX_BACKOFF = 0.8  # seconds
MIN_JITTER = 0.5  # lower bound of the random factor of the backoff; the upper bound is 1
EXPECTED_ERRORS = (OSError, TimeoutError, StreamClosedError, UnsatisfiableReadError, DiscoveryError)
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError)
_EVENT_DECODER = msgspec.json.Decoder(WatchEvent)


def _heartbeat_sequence(line: bytes) -> int | None:
    """Return the sequence number of a heartbeat, or None if the line is not a heartbeat.

    A heartbeat is a bare number or an object that contains only the number. It must not be mistaken for an
    event without endpoints, because the real event with that number would then be skipped.
    """
    if line.isdigit() and len(line) <= MAX_SEQUENCE_DIGITS:
        return int(line)
    if len(line) > MAX_HEARTBEAT_BYTES or not line.startswith(b"{"):
        return None
    try:
        fields = msgspec.json.decode(line)
    except _DECODE_ERRORS:
        return None
    sequence = fields.get(SEQUENCE_FIELD)
    return sequence if len(fields) == 1 and isinstance(sequence, int) else None


class DiscoveryWatch:
    """Watches the feed until `close` is called.

    Args:
        address: The address of the feed.
        last_sequence: The number of the last event that is already known.
        on_endpoints: Called with the endpoint list of each later event, once per event and in order.
        random: The random number generator for the jitter between connection attempts.
        exhaustion: Reports errors that are caused by a lack of file descriptors.
    """

    def __init__(
        self,
        address: Address,
        last_sequence: int,
        on_endpoints: Callable[[EndpointList], None],
        random: Random,
        exhaustion: DescriptorExhaustion,
    ) -> None:
        self.address = address
        self.last_sequence = last_sequence
        self._on_endpoints = on_endpoints
        self._random = random
        self._exhaustion = exhaustion
        self._connections: list[FeedConnection] = []  # in the order in which they were opened
        self._has_changed = asyncio.Event()  # a connection reported a change
        self._task: asyncio.Task[None] | None = None
        self._address_changed = asyncio.Event()

    def start(self) -> None:
        """Start to watch the feed."""
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def change_address(self, address: Address) -> None:
        """Reconnect to another address and resume after the last event."""
        if address != self.address:
            self.address = address
            self._address_changed.set()
            self._close_connections()

    def close(self) -> None:
        """Stop watching and close the connection."""
        if self._task is not None:
            self._task.cancel()
        self._close_connections()

    def _close_connections(self) -> None:
        for connection in list(self._connections):
            connection.close()

    async def _follow(self) -> None:
        """Watch the feed until `close`, and reconnect after any failure with exponential backoff."""
        backoff = MIN_BACKOFF
        while True:
            self._address_changed.clear()
            sequence_before = self.last_sequence
            started_at = time.monotonic()
            try:
                await self._watch_once()
            except Exception as error:
                self._log_failure(error)
            has_progressed = self.last_sequence != sequence_before
            has_lasted = time.monotonic() > started_at + CONNECT_TIMEOUT + READ_TIMEOUT
            backoff = MIN_BACKOFF if has_progressed or has_lasted else min(MAX_BACKOFF, backoff * 2.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(backoff * self._random.uniform(MIN_JITTER, 1.0)):
                    await self._address_changed.wait()

    def _log_failure(self, error: Exception) -> None:
        if isinstance(error, OSError) and self._exhaustion.report_if_exhausted(error, "discovery"):
            return
        if isinstance(error, EXPECTED_ERRORS):
            log.warning(
                "discovery watch interrupted",
                address=self.address,
                last_sequence=self.last_sequence,
                **error_fields(error),
            )
        else:
            log.error(
                "discovery watch failed",
                address=self.address,
                last_sequence=self.last_sequence,
                exc_info=error,
            )

    async def _watch_once(self) -> None:
        """Watch a connection until it fails or is silent, which raises an exception.

        This is a new connection, or an earlier one on which the feed has turned out to be up to date.
        """
        watched = self._current_connection() or self._open_connection()
        while True:
            self._has_changed.clear()
            watched = self._current_connection() or watched
            if watched.error is not None:
                raise watched.error
            async with asyncio.timeout_at(watched.silent_at):
                await self._has_changed.wait()

    def _current_connection(self) -> FeedConnection | None:
        """Return a connection on which the feed is up to date, or None."""
        for connection in self._connections:
            if connection.is_current and not connection.is_silent:
                return connection
        return None

    def _open_connection(self) -> FeedConnection:
        """Open a connection, and close the oldest one if there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self._connections[0].close()
        connection = FeedConnection(self.address, self)
        self._connections.append(connection)
        return connection

    def on_change(self, connection: FeedConnection) -> None:
        """Keep only a connection on which the feed is up to date, and drop one that has ended."""
        self._has_changed.set()
        if connection.error is not None:
            self._connections = [other for other in self._connections if other is not connection]
        elif connection.is_current:
            for other in list(self._connections):
                if other is not connection:
                    other.close()

    def on_line(self, line: bytes) -> bool:
        """Handle a line of any connection and return whether it shows that the feed is up to date.

        Raises:
            DiscoveryError: Events are missing or the line is invalid.
        """
        sequence = _heartbeat_sequence(line)
        if sequence is not None:
            return self._on_heartbeat(sequence)
        try:
            event = _EVENT_DECODER.decode(line)
        except _DECODE_ERRORS as error:
            self._skip_invalid_event(line, error)
            return True
        return self._on_event(event)

    def _on_heartbeat(self, sequence: int) -> bool:
        if sequence > self.last_sequence:
            raise DiscoveryError(
                f"events missing: heartbeat reports event {sequence}, last received is {self.last_sequence}"
            )
        return sequence == self.last_sequence

    def _on_event(self, event: WatchEvent) -> bool:
        if event.sequence <= self.last_sequence:
            return False  # a duplicate
        endpoints = event.endpoint_list
        is_complete = endpoints is not None and endpoints.is_complete
        # A complete list replaces all earlier events, which the feed may no longer have.
        if event.sequence != self.last_sequence + 1 and not is_complete:
            raise DiscoveryError(
                f"events missing: received event {event.sequence} after event {self.last_sequence}"
            )
        self.last_sequence = event.sequence
        if endpoints is not None:
            try:
                self._on_endpoints(endpoints)
            except Exception:
                # The event is not requested again: it would fail again and block later events.
                log.exception("discovery event skipped: handler failed", sequence=event.sequence)
        return True

    def _skip_invalid_event(self, line: bytes, decode_error: Exception) -> None:
        """Skip an invalid event if its number is readable and follows the last received number.

        Raises:
            DiscoveryError: The line has no number, or its number does not follow the last received number.
        """
        with contextlib.suppress(*_DECODE_ERRORS):
            event = msgspec.json.decode(line)
            sequence = event.get(SEQUENCE_FIELD) if isinstance(event, dict) else None
            if sequence == self.last_sequence + 1:
                log.error(
                    "discovery event skipped: invalid format", sequence=sequence, error=str(decode_error)
                )
                self.last_sequence = int(sequence)
                return
        raise DiscoveryError(f"invalid event: {decode_error}") from decode_error
