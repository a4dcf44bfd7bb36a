"""Connections to one engine, opened as needed and shared by as many calls as the engine allows."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..http2 import ConnectionLimits
from ..rpc import Channel
from .errors import ConnectFailed


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Seconds and counts."""

    connect_timeout: float = 1.0
    max_connections: int = 4
    idle_time: float = 60.0


class Pool:
    """Channels to one address. A channel that says GOAWAY or breaks takes no new call."""

    def __init__(
        self, host: str, port: int, limits: PoolLimits, http: ConnectionLimits | None = None
    ) -> None:
        self.host, self.port = host, port
        self._limits, self._http = limits, http
        self._channels: list[Channel] = []
        self._connecting: asyncio.Task[None] | None = None
        self._freed = asyncio.Event()
        self._waiting = 0

    async def channel(self) -> Channel:
        """One that takes a call now. ConnectFailed; the caller bounds the wait for a free stream."""
        while True:
            self._prune()
            usable = [c for c in self._channels if c.usable]
            if usable:
                return min(usable, key=lambda c: len(c.calls))
            if len(self._channels) < self._limits.max_connections:
                await self._connect()
                continue
            self._freed.clear()
            self._waiting += 1
            try:
                await asyncio.wait_for(self._freed.wait(), self._limits.connect_timeout)
            except TimeoutError:
                continue  # a stream may have ended unseen: look again
            finally:
                self._waiting -= 1

    async def _connect(self) -> None:
        """All that wait share one attempt to connect, and its failure."""
        if self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._open())
        try:
            await asyncio.shield(self._connecting)
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{self.host}:{self.port}: {error or 'no connection in time'}") from None

    async def _open(self) -> None:
        # All bookkeeping happens before the task is done. In a callback of the task it could come too late:
        # awaiting a done task does not give way, and who looks for a channel again would spin for ever.
        try:
            channel = Channel(self.host, self.port)
            channel.on_closed = self._freed.set
            await channel.connect(self._limits.connect_timeout, self._http)
            self._channels.append(channel)
        finally:
            self._connecting = None

    def released(self) -> None:
        """A call has ended: whoever waits for a stream may look again."""
        if self._waiting:
            self._freed.set()

    def _prune(self) -> None:
        for channel in [c for c in self._channels if c.closed or (c.going and not c.calls)]:
            self._channels.remove(channel)
            channel.close()

    def close_idle(self) -> None:
        for channel in [c for c in self._channels if not c.calls]:
            self._channels.remove(channel)
            channel.close()

    @property
    def idle(self) -> bool:
        return self._connecting is None and not any(c.calls for c in self._channels)

    def close(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        for channel in self._channels:
            channel.close()
        self._channels.clear()
