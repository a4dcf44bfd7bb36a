"""Keys of records in the store."""

from __future__ import annotations

# Complete keys of the kinds of record that exist once.
RUN = b"run"
RETRY_BUDGET = b"budget"
FLEET = b"fleet"
PEER_LOAD = b"told"

# Key prefixes of the kinds of record that exist once per class, engine, idempotency key or ordering key.
CLASS = b"c/"
ENGINE = b"e/"
IDEMPOTENCY = b"s/"
ORDERING = b"o/"

_SINGLE_KEYS = (RUN, RETRY_BUDGET, FLEET, PEER_LOAD)
_PREFIXES = (CLASS, ENGINE, IDEMPOTENCY, ORDERING)
_PREFIX_LENGTH = 2  # bytes


def kind_of(key: bytes) -> bytes | None:
    """Return the constant (a complete key or a prefix) that stands for a key's kind of record, or None."""
    if key in _SINGLE_KEYS:
        return key
    prefix = key[:_PREFIX_LENGTH]
    return prefix if prefix in _PREFIXES and len(key) > _PREFIX_LENGTH else None


def key_suffix(key: bytes) -> bytes:
    """Return a key without its prefix: a class name, engine id, idempotency key or ordering key."""
    return key[_PREFIX_LENGTH:]


def printable_key(key: bytes) -> str:
    """Return a printable form of a key, with binary suffixes in hexadecimal."""
    prefix = key[:_PREFIX_LENGTH]
    if prefix in (CLASS, ENGINE):
        return key.decode("utf-8", "backslashreplace")
    if kind_of(key) == key:
        return key.decode("ascii")
    return f"{prefix.decode('ascii', 'replace')}{key_suffix(key).hex()}"
