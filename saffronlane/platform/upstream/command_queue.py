"""A queue of commands that can be withdrawn until they are sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .attempt import UpstreamAttempt


class QueuedCommand(NamedTuple):
    """A command that has not been sent.

    Attributes:
        data: The encoded command; empty for an attempt, whose command is encoded when it is sent.
        attempt: The attempt that the command starts; None for any other command.
    """

    data: bytes
    attempt: UpstreamAttempt | None = None

    def encode(self, now: float) -> list[bytes]:
        """Return the parts of the bytes to send at `now`, a time of the event loop."""
        return [self.data] if self.attempt is None else self.attempt.encode(now)


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

    def expired(self, now: float) -> list[UpstreamAttempt]:
        """Return the attempts that are ready but must not be sent any more."""
        attempts = (command.attempt for command in self._ready)
        return [attempt for attempt in attempts if attempt is not None and attempt.send_deadline < now]

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

    def next_batch(self) -> list[QueuedCommand]:
        """Return the first command and those after it, up to the next one that starts an attempt.

        The command of an attempt is therefore always the first of its batch.
        """
        count = 1
        while count < len(self._ready) and self._ready[count].attempt is None:
            count += 1
        return self._ready[:count]

    def remove_first(self, count: int) -> None:
        """Remove the first commands, which have been sent."""
        del self._ready[:count]

    def clear(self) -> None:
        """Remove all commands."""
        self._ready.clear()
        self._deferred.clear()
