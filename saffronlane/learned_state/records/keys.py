"""Keys of records in the store."""

from __future__ import annotations

# Keys of the records that exist once.
RUN = b"run"
RETRY_BUDGET = b"budget"
FLEET = b"fleet"
PEER_LOAD = b"told"

# Key prefixes of the records that exist once for each class, engine, idempotency key and ordering key.
CLASS = b"c/"
ENGINE = b"e/"
IDEMPOTENCY = b"s/"
ORDERING = b"o/"

_SINGLE_KEYS = (RUN, RETRY_BUDGET, FLEET, PEER_LOAD)
_PREFIXES = (CLASS, ENGINE, IDEMPOTENCY, ORDERING)
_PREFIX_LENGTH = 2  # bytes


def kind_of(key: bytes) -> bytes | None:
    """Return the kind of record that a key holds, or None for a kind that this version does not know."""
    if key in _SINGLE_KEYS:
        return key
    prefix = key[:_PREFIX_LENGTH]
    return prefix if prefix in _PREFIXES and len(key) > _PREFIX_LENGTH else None


def identity_of(key: bytes) -> bytes:
    """Return what follows the prefix of a key."""
    return key[_PREFIX_LENGTH:]


def name_of(key: bytes) -> str:
    """Return a printable form of a key."""
    prefix = key[:_PREFIX_LENGTH]
    if prefix in (CLASS, ENGINE):
        return key.decode("utf-8", "backslashreplace")
    if kind_of(key) == key:
        return key.decode("ascii")
    return f"{prefix.decode('ascii', 'replace')}{identity_of(key).hex()}"
