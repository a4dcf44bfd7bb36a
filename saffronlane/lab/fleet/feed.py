"""A stand-in control feed that streams numbered membership events to the dispatchers.

For fault injection, it can be silenced and its connections can be aborted.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

from .addresses import Address, format_address

HEARTBEAT_INTERVAL_S = 1.0  # between lines that contain only the number of the last event

Entry = dict[str, Any]


def list_entry(name: str, address: Address, phase: str, started_at_ms: float = 0.0) -> Entry:
    """Returns the list entry of a node; `started_at_ms` is a Unix time, or 0 for a node that is not cold."""
    return {
        "id": name,
        "host_port": format_address(address),
        "locality": "here",
        "flavor": "std",
        "phase": phase,
        "up_since_ms": started_at_ms,
    }


class Feed:
    """The feed server. A dispatcher subscribes with the number of the last event that it has.

    Args:
        address: The address on which the server listens.
        on_published: Called once per event with its entries when the event is first sent to any dispatcher.
            From then on, the audit treats the event as received by all dispatchers.
    """

    def __init__(self, address: Address, on_published: Callable[[list[Entry]], None]) -> None:
        self.address, self._on_published = address, on_published
        self.events: list[list[Entry]] = []
        self.is_silent = False  # keeps connections open but sends nothing
        self._published_count = 0  # number of the last event sent to any dispatcher
        self._subscribers: dict[asyncio.StreamWriter, int] = {}  # number of the last event sent to each
        self._server: asyncio.Server | None = None
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts the server and its heartbeats."""
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=1024)
        self._send_heartbeats()

    def to_config(self) -> dict[str, Any]:
        """Returns all events so far in the form of a dispatcher's configuration."""
        return {
            "n": len(self.events),
            "events": [{"n": n, "members": self._members(n)} for n in range(1, len(self.events) + 1)],
        }

    def _members(self, number: int) -> dict[str, Any]:
        return {"revision": number, "complete": number == 1, "members": self.events[number - 1]}

    def publish(self, entries: list[Entry]) -> None:
        """Adds an event and sends it to the connected dispatchers, unless the feed is silent."""
        self.events.append(entries)
        self._send_pending()

    def set_silent(self, is_silent: bool) -> None:
        """Suspends all output, or resumes it with the events added meanwhile."""
        self.is_silent = is_silent
        self._send_pending()

    def abort_connections(self) -> None:
        """Aborts every connection."""
        for writer in list(self._subscribers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            line = await reader.readline()
            if line.startswith(b"SUB ") and line[4:].strip().isdigit():
                self._subscribers[writer] = int(line[4:])
                self._send_pending()
                while await reader.read(100):
                    pass
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._subscribers.pop(writer, None)
            writer.close()

    def _send_pending(self) -> None:
        for writer, last_sent in list(self._subscribers.items()):
            if self.is_silent or writer.is_closing():
                continue
            for number in range(last_sent + 1, len(self.events) + 1):
                writer.write(json.dumps({"n": number, "members": self._members(number)}).encode() + b"\n")
                if number > self._published_count:
                    self._published_count = number
                    self._on_published(self.events[number - 1])
            self._subscribers[writer] = len(self.events)

    def _send_heartbeats(self) -> None:
        for writer in list(self._subscribers):
            if not self.is_silent and not writer.is_closing():
                writer.write(json.dumps({"n": len(self.events)}).encode() + b"\n")
        self._heartbeat_timer = asyncio.get_running_loop().call_later(
            HEARTBEAT_INTERVAL_S, self._send_heartbeats
        )

    async def close(self) -> None:
        """Stops the server and closes all connections."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if self._server is not None:
            self._server.close()
        with contextlib.suppress(RuntimeError):
            self.abort_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
