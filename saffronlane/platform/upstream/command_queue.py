"""Commands that wait to be handed to a connection's stream, and can be withdrawn until then."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .attempt import UpstreamAttempt


class QueuedCommand(NamedTuple):
    """Bytes to send, and the attempt that they begin; None for any other command."""

    data: bytes
    attempt: UpstreamAttempt | None


class CommandQueue:
    """Commands in order; those of some attempts may be deferred until their clients' input is processed."""

    def __init__(self) -> None:
        self._ready: list[QueuedCommand] = []
        self._deferred: list[QueuedCommand] = []

    def __bool__(self) -> bool:
        """Whether any command waits, deferred ones among them."""
        return bool(self._ready or self._deferred)

    @property
    def has_ready(self) -> bool:
        """Whether a command may be sent now."""
        return bool(self._ready)

    def append(self, command: QueuedCommand) -> None:
        """Add a command at the end."""
        self._ready.append(command)

    def withdraw(self, attempt: UpstreamAttempt) -> None:
        """Drop the command of an attempt."""
        self._ready = [command for command in self._ready if command.attempt is not attempt]
        self._deferred = [command for command in self._deferred if command.attempt is not attempt]

    def defer(self, must_wait: Callable[[UpstreamAttempt], bool]) -> list[UpstreamAttempt]:
        """Set aside the commands of attempts that must wait; returns these attempts."""
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
        """Add the deferred commands at the end again."""
        self._ready += self._deferred
        self._deferred = []

    def take_batch(self, min_bytes: int) -> list[QueuedCommand]:
        """Remove the first commands, as many as reach a number of bytes."""
        size = 0
        count = 0
        while count < len(self._ready) and (not count or size < min_bytes):
            size += len(self._ready[count].data)
            count += 1
        batch = self._ready[:count]
        self._ready = self._ready[count:]
        return batch

    def clear(self) -> None:
        """Drop all commands."""
        self._ready.clear()
        self._deferred.clear()
