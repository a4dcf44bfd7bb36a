"""The control feed: numbered events over TCP, from the last one that is known, whatever the line does."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from random import Random

import msgspec
import structlog
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..errors import told
from .config import Address, FeedEvent, Members
from .errors import FeedBroken

log = structlog.get_logger()
MOST_LINE = 1_048_576  # bytes; a whole list of a thousand nodes is a fifth of it
SILENCE = 1.8  # seconds: the feed writes a line each second, so that this is a break
CONNECT_WAIT = 0.7  # seconds; with SILENCE it stays under the time in which news counts as told
BACKOFF, BACKOFF_MOST = 0.05, 0.8  # seconds between tries, doubled while they fail, each with jitter
_EVENT = msgspec.json.Decoder(FeedEvent)


class Feed:
    """Follows the feed until it is closed.

    Args:
        address: where it listens.
        last: number of the last event that is known.
        on_members: told each later event's list, once and in order.
    """

    def __init__(
        self, address: Address, last: int, on_members: Callable[[Members], None], random: Random
    ) -> None:
        self.address, self.last = address, last
        self._on_members, self._random = on_members, random
        self._stream: IOStream | None = None
        self._task: asyncio.Task[None] | None = None
        self._hurry = asyncio.Event()  # the address is another one now

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def move(self, address: Address) -> None:
        """Go on at another address from the last event."""
        if address != self.address:
            self.address = address
            self._hurry.set()
            if self._stream is not None:
                self._stream.close()

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()

    async def _follow(self) -> None:
        wait = BACKOFF
        while True:
            self._hurry.clear()
            before = self.last
            heard = False
            try:
                heard = await self._session()
            except (OSError, TimeoutError, StreamClosedError, UnsatisfiableReadError, FeedBroken) as error:
                log.warning("control feed broke", address=self.address, last=self.last, **told(error))
            finally:
                if self._stream is not None:
                    self._stream.close()
                    self._stream = None
            wait = BACKOFF if heard or self.last != before else min(BACKOFF_MOST, wait * 2.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait * self._random.uniform(0.5, 1.0)):
                    await self._hurry.wait()

    async def _session(self) -> bool:
        """One connection, until it breaks, which raises."""
        stream = self._stream = IOStream(
            socket.socket(), max_buffer_size=2 * MOST_LINE, read_chunk_size=65_536
        )
        async with asyncio.timeout(CONNECT_WAIT):
            await stream.connect(self.address)
        stream.write(b"SUB %d\n" % self.last)
        while True:
            async with asyncio.timeout(SILENCE):
                line = await stream.read_until(b"\n", max_bytes=MOST_LINE)
            self._take(line.strip())

    def _take(self, line: bytes) -> None:
        """One whole line; FeedBroken where the stream of events is not what it should be."""
        if line.isdigit() and len(line) < 16:
            if int(line) > self.last:  # something was told that did not come
                raise FeedBroken(f"{int(line)} events told, {self.last} came")
            return
        try:
            event = _EVENT.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._skip(line, str(error))
            return
        if event.n <= self.last:
            return  # told before
        if event.n != self.last + 1:
            raise FeedBroken(f"event {event.n} after {self.last}")
        self.last = event.n
        if event.members is not None:
            self._on_members(event.members)

    def _skip(self, line: bytes, why: str) -> None:
        """A line that is no event: a numbered one is bad at its source, and would come again."""
        with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError):
            event = msgspec.json.decode(line)
            number = event.get("n") if isinstance(event, dict) else None
            if number == self.last + 1:
                log.error("event left out", n=number, why=why)
                self.last = int(number)
                return
        raise FeedBroken(f"no event: {why}")
