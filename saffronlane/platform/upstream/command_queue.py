"""A queue of commands that can be withdrawn until they are handed to the connection's stream."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .attempt import UpstreamAttempt


class QueuedCommand(NamedTuple):
    """The bytes of a command and the attempt that it starts; the attempt is None for any other command."""

    data: bytes
    attempt: UpstreamAttempt | None


class CommandQueue:
    """Commands in sending order.

    The command of an attempt can be deferred until the input of the attempt's client has been processed.
    """

    def __init__(self) -> None:
        self._ready: list[QueuedCommand] = []
        self._deferred: list[QueuedCommand] = []

    def __bool__(self) -> bool:
        """Whether any command is queued, including deferred ones."""
        return bool(self._ready or self._deferred)

    @property
    def has_ready(self) -> bool:
        """Whether a command can be sent now."""
        return bool(self._ready)

    def append(self, command: QueuedCommand) -> None:
        """Append a command."""
        self._ready.append(command)

    def withdraw(self, attempt: UpstreamAttempt) -> None:
        """Remove the command of an attempt."""
        self._ready = [command for command in self._ready if command.attempt is not attempt]
        self._deferred = [command for command in self._deferred if command.attempt is not attempt]

    def defer(self, must_wait: Callable[[UpstreamAttempt], bool]) -> list[UpstreamAttempt]:
        """Defer the commands of attempts that must wait, and return these attempts."""
        waiting = [
            command.attempt
            for command in self._ready
            if command.attempt is not None and must_wait(command.attempt)
        ]
        if waiting:
            self._deferred += [command for command in self._ready if command.attempt in waiting]
            self._ready = [command for command in self._ready if command.attempt not in waiting]
        return waiting

    def requeue_deferred(self) -> None:
        """Move the deferred commands to the end of the queue."""
        self._ready += self._deferred
        self._deferred = []

    def take_batch(self, min_bytes: int) -> list[QueuedCommand]:
        """Remove and return the first commands with at least `min_bytes` bytes in total, or all commands."""
        size = 0
        count = 0
        while count < len(self._ready) and (not count or size < min_bytes):
            size += len(self._ready[count].data)
            count += 1
        batch = self._ready[:count]
        self._ready = self._ready[count:]
        return batch

    def clear(self) -> None:
        """Remove all commands."""
        self._ready.clear()
        self._deferred.clear()
