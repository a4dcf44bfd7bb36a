"""File descriptors: their allocation to clients and engines, and the detection of their exhaustion."""

from __future__ import annotations

import errno
import os
import resource
import time
from dataclasses import dataclass

import structlog

log = structlog.get_logger()
ENGINE_DESCRIPTOR_RATIO = 0.25
RESERVED_DESCRIPTORS = 16  # for discovery, gossip, and connections that close while others open
DEFAULT_OPEN_DESCRIPTORS = 8  # the minimum that is assumed: the standard streams and the event loop
LOG_INTERVAL = 5.0  # seconds between log events of exhaustion
REMEDY = (
    "Raise the descriptor limit, or find out which clients or engines hold connections; service resumes by "
    "itself."
)
_EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(frozen=True, slots=True)
class DescriptorAllocation:
    """The maximum number of open connections to clients and to engines."""

    clients: int
    engines: int


def allocate_descriptors(configured_limit: int) -> DescriptorAllocation:
    """Divide the descriptors that the process may use between clients and engines.

    Descriptors that are already open are subtracted, so that the reserve is available when it is needed.

    Args:
        configured_limit: The configured limit, which applies unless the system's limit is lower.
    """
    system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    is_unlimited = system_limit == resource.RLIM_INFINITY
    limit = configured_limit if is_unlimited else min(configured_limit, system_limit)
    engines = int(limit * ENGINE_DESCRIPTOR_RATIO)
    clients = limit - engines - RESERVED_DESCRIPTORS - _open_descriptor_count()
    return DescriptorAllocation(clients=max(1, clients), engines=max(1, engines))


def _open_descriptor_count() -> int:
    try:
        return max(DEFAULT_OPEN_DESCRIPTORS, len(os.listdir("/proc/self/fd")))
    except OSError:
        return DEFAULT_OPEN_DESCRIPTORS


class DescriptorExhaustion:
    """Detects a lack of descriptors, and logs it at most once per `LOG_INTERVAL`."""

    def __init__(self) -> None:
        self.occurrence_count = 0
        self._logged_at = -LOG_INTERVAL

    def report_if_exhausted(self, error: OSError, operation: str) -> bool:
        """Return whether an error means that no descriptor, or no memory for one, is left; log it if so."""
        if error.errno not in _EXHAUSTION_ERRORS:
            return False
        self.occurrence_count += 1
        now = time.monotonic()
        if now >= self._logged_at + LOG_INTERVAL:
            self._logged_at = now
            log.error(
                "descriptors exhausted",
                operation=operation,
                error=str(error),
                occurrences=self.occurrence_count,
                remedy=REMEDY,
            )
        return True
