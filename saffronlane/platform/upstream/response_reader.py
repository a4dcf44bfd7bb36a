"""Reads responses from bytes, and tells when one that has begun takes too long."""

from __future__ import annotations

from ...resp import ParsedArrays, RespParser
from .protocol import WORDS_PER_RESPONSE

MAX_WORD_BYTES = 8_192  # a page has 6,000 at most
RESPONSE_STALL_TIMEOUT = 0.5  # seconds without a byte; compute nodes write a response at once
RESPONSE_TIMEOUT = 1.0  # seconds from the first byte to the last


class ResponseReader:
    """Reads the responses of one connection.

    Two timeouts guard against a response that trickles: each byte would extend a timeout since the last one,
    and all other responses on the connection wait behind it.
    """

    def __init__(self, now: float) -> None:
        self._parser = RespParser(WORDS_PER_RESPONSE, MAX_WORD_BYTES)
        self._response_started_at = now
        self._last_byte_at = now

    @property
    def has_partial_response(self) -> bool:
        """Whether a response has begun and is not complete."""
        return self._parser.has_partial_array

    def feed(self, data: bytes, now: float) -> ParsedArrays:
        """Add bytes; returns the responses that they complete."""
        begins_response = not self._parser.has_partial_array
        parsed = self._parser.feed(data)
        self._last_byte_at = now
        if begins_response or parsed.arrays:
            self._response_started_at = now
        return parsed

    def is_overdue(self, now: float) -> bool:
        """Whether a response has begun and has taken too long."""
        is_stalled = now > self._last_byte_at + RESPONSE_STALL_TIMEOUT
        is_late = now > self._response_started_at + RESPONSE_TIMEOUT
        return self.has_partial_response and (is_stalled or is_late)
