"""Parsing and encoding of the metadata, the timeout and the status of a call in HTTP/2 headers.

The sections "Requests" and "Responses" of the specification "gRPC over HTTP/2" define the headers.
"""

from __future__ import annotations

import base64
import binascii
import re
from functools import lru_cache
from urllib.parse import quote, unquote

from ..http2.events import Header, Headers
from .status import OK, Code, Status

TIMEOUT_UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
MAX_TIMEOUT_DIGITS = 8
# Clients reject trailers of 8 KB, and such a call ends without its status.
MAX_STATUS_MESSAGE_BYTES, MAX_STATUS_DETAILS_BYTES = 1024, 4096
RESERVED_NAMES = frozenset(("te", "content-type", "user-agent", "grpc-encoding", "grpc-accept-encoding"))
_NAME_PATTERN = re.compile(r"[0-9a-z_.\-]+\Z")


class Metadata:
    """The metadata of a call.

    Attributes:
        items: Pairs of name and value in their order. The values of names that end in `-bin` are bytes, all
            others are text.
    """

    __slots__ = ("items",)

    def __init__(self, items: tuple[tuple[str, str | bytes], ...] = ()) -> None:
        self.items = items

    @classmethod
    @lru_cache(512)  # metadata is immutable, and clients repeat calls with the same headers
    def from_headers(cls, headers: Headers) -> Metadata:
        """Decode the metadata of a header list.

        Raises:
            ValueError: A header has an invalid value. The message names the header.
        """
        items: list[tuple[str, str | bytes]] = []
        for raw_name, value in headers:
            if raw_name[:1] == b":":
                continue
            name = raw_name.decode("latin-1")
            if name.endswith("-bin"):
                items += [(name, part) for part in _decode_binary(name, value)]
            else:
                items.append((name, value.decode("latin-1")))
        return cls(tuple(items))

    def text(self, name: str, default: str = "") -> str:
        """Return the first text value of a name."""
        for key, value in self.items:
            if key == name and isinstance(value, str):
                return value
        return default

    def binary(self, name: str) -> bytes | None:
        """Return the first binary value of a name."""
        for key, value in self.items:
            if key == name and isinstance(value, bytes):
                return value
        return None

    def all(self, name: str) -> list[str]:
        """Return all text values of a name."""
        return [value for key, value in self.items if key == name and isinstance(value, str)]


def _decode_binary(name: str, value: bytes) -> list[bytes]:
    parts = []
    for item in value.split(b","):  # several values of a name may be joined by commas
        part = item.strip()
        try:
            parts.append(base64.b64decode(part + b"=" * (-len(part) % 4), validate=True))
        except binascii.Error as error:
            raise ValueError(f"header {name!r}: the value is not base64: {error}") from None
    return parts


def to_headers(items: tuple[tuple[str, str | bytes], ...]) -> list[Header]:
    """Encode metadata as headers.

    Raises:
        ValueError: A name or value cannot be sent. The message names the header.
    """
    headers: list[Header] = []
    for name, value in items:
        if not _NAME_PATTERN.match(name):
            raise ValueError(f"header name {name!r} is not allowed")
        if isinstance(value, bytes):
            headers.append((name.encode(), base64.b64encode(value).rstrip(b"=")))
        else:
            raw = value.encode("latin-1")
            if any(byte < 0x20 or byte > 0x7E for byte in raw):
                raise ValueError(f"value of header {name!r} is not printable ASCII")
            headers.append((name.encode(), raw))
    return headers


def parse_timeout(text: str) -> float | None:
    """Parse the value of the header `grpc-timeout`.

    Args:
        text: The value, or an empty string if the header is missing.

    Returns:
        The timeout in seconds, or None if the header is missing.

    Raises:
        ValueError: The value is malformed.
    """
    if not text:
        return None
    digits, unit = text[:-1], text[-1]
    if (
        unit not in TIMEOUT_UNITS
        or not digits.isascii()
        or not digits.isdigit()
        or len(digits) > MAX_TIMEOUT_DIGITS
    ):
        raise ValueError(
            f"header grpc-timeout: expected at most 8 digits and one of H, M, S, m, u, n, got {text!r}"
        )
    return int(digits) * TIMEOUT_UNITS[unit]


def format_timeout(seconds: float) -> bytes:
    """Format a value of the header `grpc-timeout`.

    The unit is the finest of microseconds, milliseconds and seconds in which the value has at most
    `MAX_TIMEOUT_DIGITS` digits. A value outside the range of the header is limited to it.
    """
    micros = max(1, int(seconds * 1e6))
    if micros < 10**MAX_TIMEOUT_DIGITS:
        return b"%du" % micros
    millis = micros // 1000
    return (
        b"%dm" % millis
        if millis < 10**MAX_TIMEOUT_DIGITS
        else b"%dS" % min(10**MAX_TIMEOUT_DIGITS - 1, millis // 1000)
    )


def status_headers(status: Status) -> list[Header]:
    """Encode a status as trailers. A long message is cut, and details that are too large are left out."""
    headers: list[Header] = [(b"grpc-status", b"%d" % status.code)]
    if status.message:
        message = status.message.encode("utf-8", "replace")[:MAX_STATUS_MESSAGE_BYTES]
        text = quote(message, safe=" !\"#$&'()*+,/:;<=>?@[\\]^`{|}~")
        headers.append((b"grpc-message", text.encode()))
    if status.details and len(status.details) <= MAX_STATUS_DETAILS_BYTES:
        headers.append((b"grpc-status-details-bin", base64.b64encode(status.details).rstrip(b"=")))
    return headers


def parse_status(metadata: Metadata) -> Status:
    """Return the status in the trailers, or UNKNOWN if they have no valid status code."""
    text = metadata.text("grpc-status")
    if text == "0":
        return OK
    message = unquote(metadata.text("grpc-message"), errors="replace")
    if not text.isdigit() or int(text) > Code.UNAUTHENTICATED:
        return Status(Code.UNKNOWN, message or f"peer ended with status {text!r}")
    return Status(Code(int(text)), message, metadata.binary("grpc-status-details-bin") or b"")


def status_from_http(code: str) -> Status:
    """Return the status that gRPC defines for a response with an HTTP status but no gRPC status."""
    codes = {"400": Code.INTERNAL, "401": Code.UNAUTHENTICATED, "403": Code.PERMISSION_DENIED}
    codes |= {"404": Code.UNIMPLEMENTED, "429": Code.UNAVAILABLE, "502": Code.UNAVAILABLE}
    codes |= {"503": Code.UNAVAILABLE, "504": Code.UNAVAILABLE}
    return Status(codes.get(code, Code.UNKNOWN), f"the peer responded with HTTP status {code}")
