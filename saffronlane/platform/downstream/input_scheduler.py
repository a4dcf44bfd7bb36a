"""Shares the time for handling messages between the connections."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

MAX_HANDLING_TIME = 0.005  # seconds in one iteration of the event loop


class MessageHandler(Protocol):
    """A connection with messages to handle."""

    def handle_next_message(self) -> bool:
        """Handle the first message; return whether more of them wait."""


class InputScheduler:
    """Lets connections handle their messages, for at most `MAX_HANDLING_TIME` in an iteration of the loop.

    A connection whose messages find no time waits in a queue, in which each connection handles one message
    at a time. A client that sends many messages thus waits for itself, and delays others by one message.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[MessageHandler] = deque()
        self._is_waiting: set[MessageHandler] = set()
        self._used_time = 0.0  # seconds, in this iteration
        self._next_iteration: asyncio.Handle | None = None

    def handle(self, client: MessageHandler) -> None:
        """Handle the messages of a connection now if there is time, and otherwise when its turn has come."""
        if client not in self._is_waiting:
            self._is_waiting.add(client)
            self._waiting.append(client)
        self._handle_waiting()

    def _handle_waiting(self) -> None:
        started_at = self._loop.time()
        deadline = started_at + MAX_HANDLING_TIME - self._used_time
        now = started_at
        while self._waiting and now < deadline:
            client = self._waiting.popleft()
            if client.handle_next_message():
                self._waiting.append(client)
            else:
                self._is_waiting.discard(client)
            now = self._loop.time()
        self._used_time += now - started_at
        if self._next_iteration is None:
            self._next_iteration = self._loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._next_iteration = None
        self._used_time = 0.0
        if self._waiting:
            self._handle_waiting()
