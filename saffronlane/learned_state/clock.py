"""The time between two runs, when clocks may have been set, machines restarted, or directories moved.

Times are persisted as monotonic seconds of the boot in which they were taken. Within one boot they stay
comparable across processes (clock_gettime(2), CLOCK_MONOTONIC). Across boots only wall time is left, which
may have been set.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_WALL_CLOCK_GAP = 360 * 86_400.0  # seconds
MAX_CLOCK_DRIFT = 5.0  # seconds between two clocks of one boot, before a suspend or a clock step is assumed


@dataclass(frozen=True, slots=True)
class Timestamp:
    """One reading of all clocks, and where it was taken.

    Attributes:
        monotonic_s: monotonic seconds.
        wall_s: seconds since 1970.
        boot_id: names this boot of this machine; empty if unknown.
        directory_id: names this state directory, and no copy of it; empty if unknown.
    """

    monotonic_s: float
    wall_s: float
    boot_id: str = ""
    directory_id: str = ""


@dataclass(frozen=True, slots=True)
class Gap:
    """The time between the last heartbeat of an earlier run and now.

    Attributes:
        min_seconds: lower bound.
        max_seconds: upper bound; infinite if nothing bounds it.
        clock_offset: added to a persisted time, gives the latest time that it may be on this run's clock.
        is_same_boot: persisted times are exact.
        is_same_directory: as far as is known, the directory was neither copied nor restored.
    """

    min_seconds: float
    max_seconds: float
    clock_offset: float
    is_same_boot: bool
    is_same_directory: bool

    @property
    def is_certain(self) -> bool:
        """Whether the gap is exact and the directory the original one."""
        return self.is_same_boot and self.is_same_directory


UNKNOWN_GAP = Gap(
    min_seconds=0.0,
    max_seconds=math.inf,
    clock_offset=0.0,
    is_same_boot=False,
    is_same_directory=False,
)


def gap_between(last: Timestamp, now: Timestamp) -> Gap:
    """Return the gap from an earlier run's last heartbeat to now.

    Guarantees must hold on the shortest possible gap, and estimates are discounted by the longest. A wall
    clock that stands before the last heartbeat was set back: then nothing bounds the gap.
    """
    is_same_directory = bool(last.directory_id) and last.directory_id == now.directory_id
    wall_gap = now.wall_s - last.wall_s
    monotonic_gap = now.monotonic_s - last.monotonic_s
    if last.boot_id and last.boot_id == now.boot_id and now.monotonic_s >= last.monotonic_s:
        was_suspended = wall_gap > monotonic_gap + MAX_CLOCK_DRIFT
        return Gap(
            min_seconds=monotonic_gap,
            max_seconds=wall_gap if was_suspended else monotonic_gap,
            clock_offset=0.0,
            is_same_boot=True,
            is_same_directory=is_same_directory,
        )
    is_plausible = 0.0 <= wall_gap < MAX_WALL_CLOCK_GAP
    return Gap(
        min_seconds=0.0,
        max_seconds=wall_gap if is_plausible else math.inf,
        clock_offset=monotonic_gap,
        is_same_boot=False,
        is_same_directory=is_same_directory,
    )
