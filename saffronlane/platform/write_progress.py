"""For how long a stream has written nothing of what it holds."""

from __future__ import annotations

from .stream import Stream


class WriteProgress:
    """Tells a stalled peer from a slow one.

    Args:
        stream: whose written bytes are watched.
        now: seconds on the caller's clock.
    """

    def __init__(self, stream: Stream, now: float) -> None:
        self._stream = stream
        self._bytes_written = 0
        self._changed_at = now

    def has_progressed(self) -> bool:
        """Whether bytes were written since the last record."""
        return self._stream.bytes_written != self._bytes_written

    def record(self, now: float) -> None:
        """Count the time without progress from now on."""
        self._bytes_written = self._stream.bytes_written
        self._changed_at = now

    def stalled_for(self, now: float) -> float:
        """Seconds since the last record."""
        return now - self._changed_at
