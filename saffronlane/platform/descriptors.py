"""Descriptors: how they are shared out, and what is said when the system gives none."""

from __future__ import annotations

import errno
import os
import resource
import time
from dataclasses import dataclass

import structlog

log = structlog.get_logger()
ENGINE_RATIO = 0.25  # of the descriptors, for compute nodes
RESERVED_DESCRIPTORS = 16  # for the feed, the peers' socket, and connections that linger while others begin
DEFAULT_OPEN_DESCRIPTORS = (
    8  # open at the start where the system does not tell: standard streams, the loop's own
)
LOG_INTERVAL = 5.0  # seconds for which one shortage is told but once
REMEDY = "Raise the limit on descriptors, or look who holds connections; service returns by itself."
_SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(frozen=True, slots=True)
class DescriptorAllocation:
    """How many connections may be open to clients and to compute nodes."""

    clients: int
    engines: int


def allocate_descriptors(configured_limit: int) -> DescriptorAllocation:
    """Share out the descriptors that the process may hold: as many as it was told, or the system's limit.

    What is open already counts as it is, so that the reserve is there when it is needed.
    """
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limit = configured_limit if soft == resource.RLIM_INFINITY else min(configured_limit, soft)
    nodes = int(limit * ENGINE_RATIO)
    return DescriptorAllocation(
        max(1, limit - nodes - RESERVED_DESCRIPTORS - _open_descriptor_count()), max(1, nodes)
    )


def _open_descriptor_count() -> int:
    try:
        return max(DEFAULT_OPEN_DESCRIPTORS, len(os.listdir("/proc/self/fd")))
    except OSError:
        return DEFAULT_OPEN_DESCRIPTORS


class DescriptorExhaustion:
    """Says once that the system gives no descriptor, not at each try."""

    def __init__(self) -> None:
        self.occurrence_count = 0
        self._logged_at = -LOG_INTERVAL

    def report_if_exhausted(self, error: OSError, where: str) -> bool:
        """Whether an error means that no descriptor, or no memory for one, is left."""
        if error.errno not in _SHORT:
            return False
        self.occurrence_count += 1
        now = time.monotonic()
        if now >= self._logged_at + LOG_INTERVAL:
            self._logged_at = now
            log.error(
                "no descriptor left", where=where, why=str(error), times=self.occurrence_count, remedy=REMEDY
            )
        return True
