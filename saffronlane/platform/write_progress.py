"""Measures for how long a stream has written none of its pending bytes."""

from __future__ import annotations

from .stream import Stream


class WriteProgress:
    """Distinguishes a stalled peer from a slow one.

    Args:
        stream: The stream whose written bytes are observed.
        now: The current time on the caller's clock, in seconds.
    """

    def __init__(self, stream: Stream, now: float) -> None:
        self._stream = stream
        self._bytes_written = 0
        self._changed_at = now

    def has_progressed(self) -> bool:
        """Return whether bytes were written since the last call of `record`."""
        return self._stream.bytes_written != self._bytes_written

    def record(self, now: float) -> None:
        """Restart the measurement from the bytes written so far."""
        self._bytes_written = self._stream.bytes_written
        self._changed_at = now

    def stall_duration(self, now: float) -> float:
        """Return the seconds since the last call of `record`."""
        return now - self._changed_at
