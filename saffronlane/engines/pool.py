"""Connections to one engine, opened on demand and shared by as many calls as the engine allows."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..http2 import ConnectionLimits
from ..rpc import Channel
from .errors import ConnectFailed


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """The limits of the connections to one engine.

    Attributes:
        connect_timeout: The seconds within which a connection must be established.
        max_connections: The largest number of connections.
        idle_timeout: The seconds that a connection may be idle. Not enforced: `Pool.close_idle` closes idle
            connections whenever it is called.
    """

    connect_timeout: float = 1.0
    max_connections: int = 4
    idle_timeout: float = 60.0


class Pool:
    """Channels to one address. A channel that received GOAWAY or is broken gets no new calls.

    Args:
        host: The host of the engine.
        port: The port of the engine.
        limits: The limits of the pool.
        http_limits: The limits of each HTTP/2 connection, or None for the defaults.
    """

    def __init__(
        self, host: str, port: int, limits: PoolLimits, http_limits: ConnectionLimits | None = None
    ) -> None:
        self.host, self.port = host, port
        self._limits, self._http_limits = limits, http_limits
        self._channels: list[Channel] = []
        self._connecting: asyncio.Task[None] | None = None
        self._stream_available = asyncio.Event()
        self._waiter_count = 0

    async def channel(self) -> Channel:
        """Return a channel that accepts a new call now, and open one if necessary.

        The wait for a free stream is not bounded here; the caller must set a timeout.

        Raises:
            ConnectFailed: A new connection could not be established.
        """
        while True:
            self._prune()
            usable = [c for c in self._channels if c.usable]
            if usable:
                return min(usable, key=lambda c: len(c.calls))
            if len(self._channels) < self._limits.max_connections:
                await self._connect()
                continue
            self._stream_available.clear()
            self._waiter_count += 1
            try:
                await asyncio.wait_for(self._stream_available.wait(), self._limits.connect_timeout)
            except TimeoutError:
                continue  # a stream may have ended without a notification, so the channels are checked again
            finally:
                self._waiter_count -= 1

    async def _connect(self) -> None:
        """Open a connection. Concurrent callers share one connection attempt and its failure."""
        if self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._open())
        try:
            await asyncio.shield(self._connecting)
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(
                f"{self.host}:{self.port}: connection failed: {error or 'timed out'}"
            ) from None

    async def _open(self) -> None:
        # The new channel is registered before this task completes. A done callback would run too late:
        # awaiting a completed task does not yield to the event loop, so that the loop in `channel` would spin
        # forever.
        try:
            channel = Channel(self.host, self.port)
            channel.on_unavailable = self._stream_available.set
            await channel.connect(self._limits.connect_timeout, self._http_limits)
            self._channels.append(channel)
        finally:
            self._connecting = None

    def on_call_ended(self) -> None:
        """Wake the callers that wait for a free stream."""
        if self._waiter_count:
            self._stream_available.set()

    def _prune(self) -> None:
        for channel in [c for c in self._channels if c.closed or (c.is_draining and not c.calls)]:
            self._channels.remove(channel)
            channel.close()

    def close_idle(self) -> None:
        """Close the channels without calls."""
        for channel in [c for c in self._channels if not c.calls]:
            self._channels.remove(channel)
            channel.close()

    @property
    def is_idle(self) -> bool:
        """Whether no channel has a call and none is being opened."""
        return self._connecting is None and not any(c.calls for c in self._channels)

    def close(self) -> None:
        """Close all channels immediately."""
        if self._connecting is not None:
            self._connecting.cancel()
        for channel in self._channels:
            channel.close()
        self._channels.clear()
