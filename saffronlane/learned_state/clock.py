"""How long ago something was, when clocks may have been set, machines restarted, or folders moved.

Times are kept as monotonic seconds of the boot they were taken in. Within one boot they stay comparable
across processes (clock_gettime(2), CLOCK_MONOTONIC). Across boots only wall time is left, which may lie.
"""

from __future__ import annotations

from dataclasses import dataclass

MONTH = 30 * 86_400.0
SLEEP_SLACK = 5.0  # seconds that two clocks of one boot may drift apart before a suspend or a step is assumed


@dataclass(frozen=True, slots=True)
class Timestamp:
    """One reading of all clocks, and of where it was taken.

    Attributes:
        mono: monotonic seconds.
        wall: seconds since 1970.
        boot: names this boot of this machine; empty: not known.
        place: names this folder, and no copy of it; empty: not known.
    """

    monotonic_s: float
    wall_s: float
    boot_id: str = ""
    directory_id: str = ""


@dataclass(frozen=True, slots=True)
class Gap:
    """What lies between the last sign of an earlier run and this moment.

    Attributes:
        least, most: bounds of the seconds between; `most` is infinite where nothing bounds it.
        shift: add it to a kept time to have it on this run's clock; the latest time that it may have been.
        same_boot: kept times are exact.
        same_place: the folder was not copied or restored, as far as can be told.
    """

    least: float
    most: float
    shift: float
    same_boot: bool
    same_place: bool

    @property
    def sure(self) -> bool:
        return self.same_boot and self.same_place


def between(last: Timestamp, now: Timestamp) -> Gap:
    """The gap from an earlier run's last sign to now.

    Rules must hold on the shortest gap that there may have been, and knowledge must be discounted by the
    longest. A wall clock that stands before the last sign was set back: then nothing bounds the gap.
    """
    place = bool(last.directory_id) and last.directory_id == now.directory_id
    walls = now.wall_s - last.wall_s
    if last.boot_id and last.boot_id == now.boot_id and now.monotonic_s >= last.monotonic_s:
        monos = now.monotonic_s - last.monotonic_s
        slept = walls > monos + SLEEP_SLACK  # a suspended machine, or a clock set forward
        return Gap(monos, walls if slept else monos, 0.0, True, place)
    if 0.0 <= walls < MONTH * 12.0:
        return Gap(0.0, walls, now.monotonic_s - last.monotonic_s, False, place)
    return Gap(0.0, float("inf"), now.monotonic_s - last.monotonic_s, False, place)
