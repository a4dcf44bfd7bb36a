"""Divides the memory that a process may use beyond what it holds when it starts."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

# Of the limit; applies where the process holds nearly all of it at its start.
MIN_AVAILABLE_RATIO = 0.1
# Of the available memory; the rest is for attempts, results and the allocator's own losses.
KEPT_RATIO = 0.4  # statements of open requests, and messages that have begun
UNREAD_RATIO = 0.25  # replies that clients have not read, which use the same memory as what is kept
CONNECTIONS_RATIO = 0.25
READ_BUFFER_RATIO = 0.0625  # what all connections together read at once
CONNECTION_BYTES = 8_192  # of a client's connection without buffers

# Parameters of glibc's mallopt.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
LARGE_BUFFER_BYTES = 16_384  # from this size on, freed buffers are given back to the system at once
TRIM_THRESHOLD_BYTES = 131_072


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The memory for each purpose.

    Attributes:
        kept_bytes: The bytes that may be kept of what clients sent.
        unread_bytes: The bytes of replies that clients may leave unread.
        read_buffer_bytes: The bytes that all connections together may read at once.
        max_clients: The number of connections to clients.
    """

    kept_bytes: float
    unread_bytes: float
    read_buffer_bytes: float
    max_clients: int


def plan_memory(limit_bytes: float, resident_bytes: float) -> MemoryPlan:
    """Divide the memory of a process.

    Args:
        limit_bytes: The memory that the process may use.
        resident_bytes: The memory that it uses before it serves clients.
    """
    available = max(limit_bytes - resident_bytes, MIN_AVAILABLE_RATIO * limit_bytes)
    return MemoryPlan(
        kept_bytes=KEPT_RATIO * available,
        unread_bytes=UNREAD_RATIO * available,
        read_buffer_bytes=READ_BUFFER_RATIO * available,
        max_clients=max(1, int(CONNECTIONS_RATIO * available / CONNECTION_BYTES)),
    )


def resident_bytes() -> int:
    """Return the resident memory of this process, with the files that it maps; 0 if it is not known."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()


def return_freed_buffers() -> bool:
    """Have the C library give large buffers back to the system as soon as they are freed.

    By default, glibc raises the size from which it does so with the buffers that it sees. The heap then keeps
    the memory of the largest flood of messages for good, in pieces.

    Returns:
        Whether the C library supports this.
    """
    try:
        import ctypes  # where the system forbids what it needs, the process runs without it

        mallopt = ctypes.CDLL(None).mallopt
    except (ImportError, OSError, AttributeError, MemoryError):
        return False
    is_set = mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES)
    return bool(is_set and mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES))
