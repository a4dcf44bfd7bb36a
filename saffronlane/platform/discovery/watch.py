"""The control feed: numbered events over TCP, from the last one that is known, whatever the line does."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from random import Random

import msgspec
import structlog
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ...errors import told
from ..config import Address, FeedEvent, Members
from ..descriptors import DescriptorExhaustion
from ..errors import DiscoveryError

log = structlog.get_logger()
MAX_LINE_BYTES = 1_048_576  # bytes; a whole list of a thousand nodes is a fifth of it
READ_TIMEOUT = 1.8  # seconds: the feed writes a line each second, so that this is a break
MAX_HEARTBEAT_BYTES = 40  # bytes of a line that holds only the last number
CONNECT_TIMEOUT = 0.7  # seconds; with SILENCE it stays under the time in which news counts as told
BACKOFF, BACKOFF_MOST = 0.05, 0.8  # seconds between tries, doubled while they fail, each with jitter
EXPECTED_ERRORS = (OSError, TimeoutError, StreamClosedError, UnsatisfiableReadError, DiscoveryError)
_EVENT = msgspec.json.Decoder(FeedEvent)


def _heartbeat_sequence(line: bytes) -> int | None:
    """The last number, where a line holds only that: bare, or as an object with nothing else.

    Guards against taking it for an event without members, which would pass over the one of that number.
    """
    if line.isdigit() and len(line) < 16:
        return int(line)
    if len(line) > MAX_HEARTBEAT_BYTES or not line.startswith(b"{"):
        return None
    try:
        told = msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    number = told.get("n")
    return number if len(told) == 1 and isinstance(number, int) else None


class DiscoveryWatch:
    """Follows the feed until it is closed.

    Args:
        address: where it listens.
        last: number of the last event that is known.
        on_members: told each later event's list, once and in order.
        random: of the jitter between tries.
        shortage: told where the system gives no descriptor.
    """

    def __init__(
        self,
        address: Address,
        last: int,
        on_members: Callable[[Members], None],
        random: Random,
        shortage: DescriptorExhaustion,
    ) -> None:
        self.address, self.last_sequence = address, last
        self._on_members, self._random, self._shortage = on_members, random, shortage
        self._stream: IOStream | None = None
        self._task: asyncio.Task[None] | None = None
        self._address_changed = asyncio.Event()  # the address is another one now

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def change_address(self, address: Address) -> None:
        """Go on at another address from the last event."""
        if address != self.address:
            self.address = address
            self._address_changed.set()
            if self._stream is not None:
                self._stream.close()

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()

    async def _follow(self) -> None:
        """Only `close` ends this: whatever a session ends by, another follows."""
        wait = BACKOFF
        while True:
            self._address_changed.clear()
            before, began = self.last_sequence, time.monotonic()
            try:
                await self._watch_once()
            except Exception as error:
                self._log_failure(error)
            finally:
                if self._stream is not None:
                    self._stream.close()
                    self._stream = None
            useful = self.last_sequence != before or time.monotonic() > began + CONNECT_TIMEOUT + READ_TIMEOUT
            wait = BACKOFF if useful else min(BACKOFF_MOST, wait * 2.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait * self._random.uniform(0.5, 1.0)):
                    await self._address_changed.wait()

    def _log_failure(self, error: Exception) -> None:
        if isinstance(error, OSError) and self._shortage.report_if_exhausted(error, "control feed"):
            return
        if isinstance(error, EXPECTED_ERRORS):
            log.warning("control feed broke", address=self.address, last=self.last_sequence, **told(error))
        else:
            # Guards against a fault here: without the feed, the list would stay as it is for good.
            log.error("control feed failed", address=self.address, last=self.last_sequence, exc_info=error)

    async def _watch_once(self) -> None:
        """One connection, until it breaks, which raises."""
        stream = self._stream = IOStream(
            socket.socket(), max_buffer_size=2 * MAX_LINE_BYTES, read_chunk_size=65_536
        )
        async with asyncio.timeout(CONNECT_TIMEOUT):
            await stream.connect(self.address)
        stream.write(b"SUB %d\n" % self.last_sequence)
        while True:
            async with asyncio.timeout(READ_TIMEOUT):
                # Guards against a watch that looks alive and tells nothing: only what shows that it is as
                # far as we are counts as word from it.
                while not self._on_line((await stream.read_until(b"\n", max_bytes=MAX_LINE_BYTES)).strip()):
                    pass

    def _on_line(self, line: bytes) -> bool:
        """One whole line; whether it is word of now, not what was told before.

        FeedBroken where the stream of events is not what it should be.
        """
        number = _heartbeat_sequence(line)
        if number is not None:
            if number > self.last_sequence:  # something was told that did not come
                raise DiscoveryError(f"{number} events told, {self.last_sequence} came")
            return number == self.last_sequence
        try:
            event = _EVENT.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._skip_invalid(line, str(error))
            return True
        if event.n <= self.last_sequence:
            return False  # told before
        whole = event.members is not None and event.members.complete
        if event.n != self.last_sequence + 1 and not whole:
            # A whole list stands for all that came before it. Guards against a feed that keeps no more than
            # that: it would be asked for what is gone, again and again, and the list stay as it was.
            raise DiscoveryError(f"event {event.n} after {self.last_sequence}")
        self.last_sequence = event.n
        if event.members is not None:
            try:
                self._on_members(event.members)
            except Exception:
                # It would come again and fail again: what follows must not wait for it.
                log.exception("event left out", n=event.n)
        return True

    def _skip_invalid(self, line: bytes, why: str) -> None:
        """A line that is no event: a numbered one is bad at its source, and would come again."""
        with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError):
            event = msgspec.json.decode(line)
            number = event.get("n") if isinstance(event, dict) else None
            if number == self.last_sequence + 1:
                log.error("event left out", n=number, why=why)
                self.last_sequence = int(number)
                return
        raise DiscoveryError(f"no event: {why}")
