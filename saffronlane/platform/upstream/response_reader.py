"""Parses responses from received bytes and detects responses that are overdue."""

from __future__ import annotations

from ...resp import ParsedArrays, RespParser
from .protocol import ELEMENTS_PER_RESPONSE

MAX_ELEMENT_BYTES = 8_192  # pages have at most 6,000
RESPONSE_STALL_TIMEOUT = 0.5  # seconds without a byte; compute nodes write a response in one piece
RESPONSE_TIMEOUT = 1.0  # seconds from the first byte to the last


class ResponseReader:
    """Reads the responses of one connection.

    One timeout runs from the last byte of a partial response, another from its first. With the former
    alone, a compute node that sends a response byte by byte could extend it again and again, while all other
    responses on the connection wait.
    """

    def __init__(self, now: float) -> None:
        self._parser = RespParser(ELEMENTS_PER_RESPONSE, MAX_ELEMENT_BYTES)
        self._response_started_at = now
        self._last_byte_at = now

    @property
    def has_partial_response(self) -> bool:
        """Whether a response has started to arrive and is not complete."""
        return self._parser.has_partial_array

    def feed(self, data: bytes, now: float) -> ParsedArrays:
        """Add received bytes and return the responses that they complete."""
        begins_response = not self._parser.has_partial_array
        parsed = self._parser.feed(data)
        self._last_byte_at = now
        if begins_response or parsed.arrays:
            self._response_started_at = now
        return parsed

    def is_overdue(self, now: float) -> bool:
        """Return whether a partial response takes too long."""
        is_stalled = now > self._last_byte_at + RESPONSE_STALL_TIMEOUT
        is_late = now > self._response_started_at + RESPONSE_TIMEOUT
        return self.has_partial_response and (is_stalled or is_late)
