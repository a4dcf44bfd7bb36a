"""The time between two runs, allowing for clock steps, machine reboots and copied directories.

Persisted times are monotonic seconds of the boot in which they were taken. They are comparable across the
processes of one boot (clock_gettime(2), CLOCK_MONOTONIC). Across boots only wall-clock time is comparable,
and the wall clock may have been stepped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_WALL_CLOCK_GAP = 360 * 86_400.0  # seconds
MAX_CLOCK_DRIFT = 5.0  # seconds; a larger drift of the wall clock within a boot means a suspend or clock step


@dataclass(frozen=True, slots=True)
class Timestamp:
    """One reading of all clocks, with the boot and the state directory for which it was taken.

    Attributes:
        monotonic_s: Monotonic time in seconds.
        wall_s: Wall-clock time in seconds since 1970.
        boot_id: Identifier of the machine's current boot; empty if unknown.
        directory_id: Identifier of the state directory, which differs in a copy; empty if unknown.
    """

    monotonic_s: float
    wall_s: float
    boot_id: str = ""
    directory_id: str = ""


@dataclass(frozen=True, slots=True)
class Gap:
    """The time between the last heartbeat of an earlier run and now.

    Attributes:
        min_seconds: Lower bound of the gap.
        max_seconds: Upper bound of the gap; infinite if it is unbounded.
        clock_offset: Seconds to add to a persisted time. The sum is the latest time on this run's clock that
            the persisted time may correspond to.
        is_same_boot: Whether both runs share one boot, so that persisted times are exact.
        is_same_directory: Whether the directory is the one that the earlier run wrote, rather than a copy
            or a restored backup.
    """

    min_seconds: float
    max_seconds: float
    clock_offset: float
    is_same_boot: bool
    is_same_directory: bool

    @property
    def is_certain(self) -> bool:
        """Whether the gap is exact and the directory is the original one."""
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

    Guarantees must hold for the shortest possible gap, and estimates are discounted by the longest. A wall
    clock that reads earlier than the last heartbeat was stepped back, which leaves the gap unbounded.

    Args:
        last: Clock readings of the earlier run's last heartbeat.
        now: Clock readings of this run.
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
