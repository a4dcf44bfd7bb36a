"""Enumerations used in settings, events and actions."""

from __future__ import annotations

from enum import Enum, IntEnum


class Outcome(IntEnum):
    """How an attempt or a load probe ended."""

    OK = 1
    ERROR = 2
    REJECTED = 3  # by the engine, before execution
    TIMEOUT = 4
    CONNECT_FAILED = 5  # never executed
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8  # never executed


class EngineState(IntEnum):
    """State of an engine in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListMode(IntEnum):
    """Which entries an update of the endpoint list contains."""

    DELTA = 0  # the changed entries only
    FULL = 2  # all entries
    CACHED = 3  # all entries, possibly out of date
    FAILED = 4  # no entries: the list could not be read


class ProgressKind(IntEnum):
    """Kind of a progress report on a running attempt."""

    PROGRESS = 1  # amount: completed part of the work, 0 to 1
    SPILLING = 2  # the query writes intermediate results to disk
    WAITING = 3  # amount: at least 1 while the attempt waits for memory or a bulk load


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # repeated execution does no harm
    KEYED = "keyed"  # engines discard a duplicate with the same idempotency key
    UNSAFE = "unsafe"  # no retry after an attempt that may have been executed


class MemoryOvercommit(Enum):
    """How an engine handles a query whose memory grant does not fit into its free memory."""

    WAIT = "wait"  # the query is queued until enough memory is free
    SHRINK = "shrink"  # the query gets the memory that is left
    PAGE = "page"  # the query starts; all queries slow down once they use more memory than the engine has


class DeduplicationScope(Enum):
    """Which engines discard a duplicate of a request, by its idempotency key."""

    ALL = "all"
    ZONE = "zone"  # engines in the zone of the first attempt
    CELL = "cell"  # engines in the cell of the first attempt
