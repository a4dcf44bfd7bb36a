"""Metadata, time-outs and status in headers (gRPC over HTTP/2, "Requests" and "Responses")."""

from __future__ import annotations

import base64
import binascii
import re
from functools import lru_cache
from urllib.parse import quote, unquote

from ..http2.events import Header, Headers
from .status import OK, Code, Status

UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
MOST_DIGITS = 8
MOST_MESSAGE, MOST_DETAILS = 1024, 4096  # bytes; clients turn away trailers of 8 KB, and see no status then
RESERVED = frozenset(("te", "content-type", "user-agent", "grpc-encoding", "grpc-accept-encoding"))
_NAME = re.compile(r"[0-9a-z_.\-]+\Z")


class Metadata:
    """Names and values in their order; text values, or bytes for names that end in -bin."""

    __slots__ = ("items",)

    def __init__(self, items: tuple[tuple[str, str | bytes], ...] = ()) -> None:
        self.items = items

    @classmethod
    @lru_cache(512)  # metadata is never changed, and clients ask the same way again
    def from_headers(cls, headers: Headers) -> Metadata:
        """ValueError names the header whose value does not decode."""
        items: list[tuple[str, str | bytes]] = []
        for raw, value in headers:
            if raw[:1] == b":":
                continue
            name = raw.decode("latin-1")
            if name.endswith("-bin"):
                items += [(name, part) for part in _decode_binary(name, value)]
            else:
                items.append((name, value.decode("latin-1")))
        return cls(tuple(items))

    def text(self, name: str, default: str = "") -> str:
        for key, value in self.items:
            if key == name and isinstance(value, str):
                return value
        return default

    def binary(self, name: str) -> bytes | None:
        for key, value in self.items:
            if key == name and isinstance(value, bytes):
                return value
        return None

    def all(self, name: str) -> list[str]:
        return [value for key, value in self.items if key == name and isinstance(value, str)]


def _decode_binary(name: str, value: bytes) -> list[bytes]:
    parts = []
    for item in value.split(b","):  # values of one name may be joined by commas
        part = item.strip()
        try:
            parts.append(base64.b64decode(part + b"=" * (-len(part) % 4), validate=True))
        except binascii.Error as error:
            raise ValueError(f"header {name} is not base64: {error}") from None
    return parts


def to_headers(items: tuple[tuple[str, str | bytes], ...]) -> list[Header]:
    """ValueError names what cannot be sent as a header."""
    headers: list[Header] = []
    for name, value in items:
        if not _NAME.match(name):
            raise ValueError(f"header name {name!r} is not allowed")
        if isinstance(value, bytes):
            headers.append((name.encode(), base64.b64encode(value).rstrip(b"=")))
        else:
            raw = value.encode("latin-1")
            if any(byte < 0x20 or byte > 0x7E for byte in raw):
                raise ValueError(f"value of header {name!r} is not printable ASCII")
            headers.append((name.encode(), raw))
    return headers


def read_timeout(text: str) -> float | None:
    """Seconds of a `grpc-timeout`; None: none told. ValueError names what is absurd."""
    if not text:
        return None
    digits, unit = text[:-1], text[-1]
    if unit not in UNITS or not digits.isascii() or not digits.isdigit() or len(digits) > MOST_DIGITS:
        raise ValueError(f"header grpc-timeout {text!r} is not up to 8 digits and one of H, M, S, m, u, n")
    return int(digits) * UNITS[unit]


def write_timeout(seconds: float) -> bytes:
    micros = max(1, int(seconds * 1e6))
    if micros < 10**MOST_DIGITS:
        return b"%du" % micros
    millis = micros // 1000
    return b"%dm" % millis if millis < 10**MOST_DIGITS else b"%dS" % min(10**MOST_DIGITS - 1, millis // 1000)


def status_headers(status: Status) -> list[Header]:
    headers: list[Header] = [(b"grpc-status", b"%d" % status.code)]
    if status.message:
        message = status.message.encode("utf-8", "replace")[:MOST_MESSAGE]
        text = quote(message, safe=" !\"#$&'()*+,/:;<=>?@[\\]^`{|}~")
        headers.append((b"grpc-message", text.encode()))
    if status.details and len(status.details) <= MOST_DETAILS:
        headers.append((b"grpc-status-details-bin", base64.b64encode(status.details).rstrip(b"=")))
    return headers


def read_status(metadata: Metadata) -> Status:
    """The status that trailers tell; UNKNOWN where they tell none or one that does not exist."""
    text = metadata.text("grpc-status")
    if text == "0":
        return OK
    message = unquote(metadata.text("grpc-message"), errors="replace")
    if not text.isdigit() or int(text) > Code.UNAUTHENTICATED:
        return Status(Code.UNKNOWN, message or f"peer ended with status {text!r}")
    return Status(Code(int(text)), message, metadata.binary("grpc-status-details-bin") or b"")


def status_of_http(code: str) -> Status:
    """Return the gRPC status for an HTTP status that comes without one, as gRPC defines it."""
    codes = {"400": Code.INTERNAL, "401": Code.UNAUTHENTICATED, "403": Code.PERMISSION_DENIED}
    codes |= {"404": Code.UNIMPLEMENTED, "429": Code.UNAVAILABLE, "502": Code.UNAVAILABLE}
    codes |= {"503": Code.UNAVAILABLE, "504": Code.UNAVAILABLE}
    return Status(codes.get(code, Code.UNKNOWN), f"peer answered with HTTP status {code}")
