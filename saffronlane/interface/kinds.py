"""Enumerations that settings, events and actions share."""

from __future__ import annotations

from enum import Enum, IntEnum


class Outcome(IntEnum):
    """How an attempt or a load probe ended."""

    OK = 1
    ERROR = 2
    REJECTED = 3  # by the engine, before it ran
    TIMEOUT = 4
    CONNECT_FAILED = 5  # never ran
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8  # never ran


class EngineState(IntEnum):
    """State of an engine in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListMode(IntEnum):
    """What an update of the endpoint list holds."""

    DELTA = 0  # changed entries only
    FULL = 2
    CACHED = 3  # all entries, perhaps out of date
    FAILED = 4  # none: the list could not be read


class ProgressKind(IntEnum):
    """What a progress report tells of a running attempt."""

    PROGRESS = 1  # amount: share done, 0 to 1
    SPILLING = 2
    WAITING = 3  # amount: 1 or more while it waits for memory or a bulk load


class Idempotency(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"  # engines discard a repeat with the same idempotency key
    UNSAFE = "unsafe"


class MemoryOvercommit(Enum):
    """What an engine does when memory grants exceed its memory."""

    WAIT = "wait"  # the query is queued
    SHRINK = "shrink"  # the query gets what is left
    PAGE = "page"  # the query is admitted; all slow down once memory in use exceeds the engine's memory


class DeduplicationScope(Enum):
    """Which engines discard a repeat with the same idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
