"""The stand-in control feed: numbered events to every dispatcher, and ways to keep them from some."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

from .addresses import Address, text

BEAT = 1.0  # seconds between lines that hold only the last number

Entry = dict[str, Any]


def entry(name: str, address: Address, phase: str, since_ms: float = 0.0) -> Entry:
    return {
        "id": name,
        "host_port": text(address),
        "locality": "here",
        "flavor": "std",
        "phase": phase,
        "up_since_ms": since_ms,
    }


class Feed:
    """One server; a dispatcher says from which event on it wants them.

    Args:
        address: where it listens.
        on_told: told each event's entries once, when it first goes out: then it counts as told to all.
    """

    def __init__(self, address: Address, on_told: Callable[[list[Entry]], None]) -> None:
        self.address, self._on_told = address, on_told
        self.events: list[list[Entry]] = []
        self.silent = False  # stays open and says nothing
        self._told = 0  # the last event that went out
        self._writers: dict[asyncio.StreamWriter, int] = {}  # and the last event written
        self._server: asyncio.Server | None = None
        self._beats: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=1024)
        self._beat()

    def known(self) -> dict[str, Any]:
        """The events so far, as a configuration holds them."""
        return {
            "n": len(self.events),
            "events": [{"n": n, "members": self._members(n)} for n in range(1, len(self.events) + 1)],
        }

    def _members(self, number: int) -> dict[str, Any]:
        return {"revision": number, "complete": number == 1, "members": self.events[number - 1]}

    def tell(self, entries: list[Entry]) -> None:
        """One more event, to all that are connected and hear."""
        self.events.append(entries)
        self._flush()

    def hush(self, on: bool) -> None:
        self.silent = on
        self._flush()

    def cut(self) -> None:
        """Every connection breaks."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            line = await reader.readline()
            if line.startswith(b"SUB ") and line[4:].strip().isdigit():
                self._writers[writer] = int(line[4:])
                self._flush()
                while await reader.read(100):
                    pass
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.pop(writer, None)
            writer.close()

    def _flush(self) -> None:
        for writer, last in list(self._writers.items()):
            if self.silent or writer.is_closing():
                continue
            for number in range(last + 1, len(self.events) + 1):
                writer.write(json.dumps({"n": number, "members": self._members(number)}).encode() + b"\n")
                if number > self._told:
                    self._told = number
                    self._on_told(self.events[number - 1])
            self._writers[writer] = len(self.events)

    def _beat(self) -> None:
        for writer in list(self._writers):
            if not self.silent and not writer.is_closing():
                writer.write(json.dumps({"n": len(self.events)}).encode() + b"\n")
        self._beats = asyncio.get_running_loop().call_later(BEAT, self._beat)

    async def close(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        with contextlib.suppress(RuntimeError):
            self.cut()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
