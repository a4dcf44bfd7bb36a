"""Schedules: time windows that change weights and limits, with cron starts, time zones, seasons and dates.

Callers pass times as aware datetimes. Nothing here reads a clock. On days on which the clocks change, starts
follow cron's own rules (see cronsim). If a start falls into the skipped hour, the window starts right after
that hour. If it falls into the repeated hour, the window starts only once. A window always lasts for its
duration in elapsed seconds, even if the clocks change in the meantime.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, fields, replace
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo

from cronsim import CronSim, CronSimError

from ..config.check import Problem
from .spec import GroupSpec, check_tree

GroupPath = tuple[str, ...]
Changes = Mapping[GroupPath, Mapping[str, float]]
CHANGEABLE_FIELDS = frozenset(f.name for f in fields(GroupSpec)) - {"name", "children", "each", "most"}
# The maximum numbers of starts that are examined before and after a moment. If the season and the days
# exclude all of the last MAX_PAST_STARTS starts, the window counts as inactive, even if an earlier start is
# still in effect.
MAX_PAST_STARTS = 1000
MAX_FUTURE_STARTS = 100_000


@dataclass(frozen=True, slots=True)
class Window:
    """A rule of a schedule that changes fields of groups for some time after each start.

    If two active windows change the same field of a group, the window that is later in the list applies.

    Attributes:
        name: A unique name, for display.
        cron: A cron expression of five fields that gives the starts of the window.
        seconds: The duration of the window in seconds.
        zone: The time zone of the starts, the season and the days.
        season: The first and the last day of the year on which the window may start, as (month, day). A
            season may span the new year. If it is None, the window may start on any day of the year.
        days: The only dates on which the window may start. If it is empty, dates are not restricted.
        changes: Pairs of the path of a group and the `GroupSpec` fields that the window changes there. Each
            field is a pair of its name and its new value.
    """

    name: str
    cron: str
    seconds: float
    zone: str = "UTC"
    season: tuple[tuple[int, int], tuple[int, int]] | None = None
    days: frozenset[date] = frozenset()
    changes: tuple[tuple[GroupPath, tuple[tuple[str, float], ...]], ...] = ()

    def _may_start(self, start: datetime) -> bool:
        day = start.date()
        if self.days and day not in self.days:
            return False
        if self.season is None:
            return True
        first, last = self.season
        month_day = (day.month, day.day)
        return first <= month_day <= last if first <= last else month_day >= first or month_day <= last

    def _starts(self, when: datetime, backward: bool) -> Iterator[datetime]:
        local = when.astimezone(ZoneInfo(self.zone))
        max_starts = MAX_PAST_STARTS if backward else MAX_FUTURE_STARTS
        try:
            for index, start in enumerate(CronSim(self.cron, local, reverse=backward)):
                if index >= max_starts:
                    return
                yield start
        except CronSimError:
            return  # the expression is invalid, or contains only dates that do not exist

    def active_until(self, when: datetime) -> datetime | None:
        """Returns the end of this window in UTC if the window is active at a moment, otherwise None."""
        duration = timedelta(seconds=self.seconds)
        when_utc = when.astimezone(UTC)
        # A backward iteration excludes its own origin. One second later includes a start at `when` itself.
        for start in self._starts(when + timedelta(seconds=1), backward=True):
            start_utc = start.astimezone(UTC)
            if start_utc + duration <= when_utc:
                return None
            if start_utc <= when_utc and self._may_start(start):
                return start_utc + duration
        return None

    def next_start(self, when: datetime, latest: datetime) -> datetime | None:
        """Returns the first start after `when` and not after `latest`, in UTC. None if there is none."""
        for start in self._starts(when, backward=False):
            start_utc = start.astimezone(UTC)
            if start_utc > latest:
                return None
            if self._may_start(start):
                return start_utc
        return None


@dataclass(frozen=True, slots=True)
class Interval:
    """A time interval within which the set of active windows does not change.

    Attributes:
        begin: The start of the interval in UTC.
        end: The end of the interval in UTC.
        active_windows: The names of the active windows, in the order of the schedule.
        conflicts: One text for each change of an active window that a later active window overrides.
    """

    begin: datetime
    end: datetime
    active_windows: tuple[str, ...]
    conflicts: tuple[str, ...]


def replace_fields(spec: GroupSpec, path: GroupPath, values: Mapping[str, float]) -> GroupSpec:
    """Returns the tree with some fields of one group replaced.

    Raises:
        KeyError: The tree has no group of this path. The argument of the error is the rest of the path, from
            the missing group on.
    """
    if not path:
        return replace(spec, **values)  # type: ignore[arg-type]
    names = [child.name for child in spec.children]
    if path[0] not in names:
        raise KeyError("/".join(path))
    children = tuple(replace_fields(c, path[1:], values) if c.name == path[0] else c for c in spec.children)
    return replace(spec, children=children)


def effective_spec(spec: GroupSpec, windows: Sequence[Window], when: datetime) -> GroupSpec:
    """Returns the tree with the changes of all windows that are active at a moment."""
    for window in windows:
        if window.active_until(when) is not None:
            for path, values in window.changes:
                spec = replace_fields(spec, path, dict(values))
    return spec


def next_change(windows: Sequence[Window], when: datetime, latest: datetime) -> datetime:
    """Returns the next time after `when` at which the tree may change, or `latest` if none is earlier."""
    times = [latest.astimezone(UTC)]
    for window in windows:
        end = window.active_until(when)
        start = window.next_start(when, latest)
        times += [t for t in (end, start) if t is not None and t > when]
    return min(times)


def plan(windows: Sequence[Window], when: datetime, days: float = 7.0) -> Iterator[Interval]:
    """Returns the intervals of the schedule, in order, for a number of days from a moment on."""
    plan_end = when.astimezone(UTC) + timedelta(days=days)
    begin = when.astimezone(UTC)
    while begin < plan_end:
        end = next_change(windows, begin, plan_end)
        active = [w for w in windows if w.active_until(begin) is not None]
        yield Interval(begin, end, tuple(w.name for w in active), tuple(_conflicts(active)))
        begin = end


def _conflicts(active: Sequence[Window]) -> Iterator[str]:
    last_window_names: dict[tuple[GroupPath, str], str] = {}
    for window in active:
        for path, values in window.changes:
            for name, _ in values:
                overridden = last_window_names.get((path, name))
                if overridden is not None:
                    group = "/".join(path) or "/"
                    yield f"{name} of {group}: {window.name} overrides {overridden}"
                last_window_names[path, name] = window.name


def check_windows(spec: GroupSpec, windows: Sequence[Window], pointer: str = "/schedule") -> list[Problem]:
    """Returns every problem of a schedule, each with its JSON pointer.

    Args:
        spec: The tree that the windows change.
        windows: The windows of the schedule.
        pointer: The JSON pointer of the schedule.
    """
    problems = []
    names: dict[str, int] = {}
    for index, window in enumerate(windows):
        window_pointer = f"{pointer}/{index}"
        if window.name in names:
            problems.append(
                Problem(
                    f"{window_pointer}/name",
                    f"{window.name!r} is already the name of window {names[window.name]}",
                )
            )
        names.setdefault(window.name, index)
        if not window.seconds > 0.0:
            problems.append(Problem(f"{window_pointer}/seconds", "expected a duration above 0 seconds"))
        try:
            ZoneInfo(window.zone)
        except (KeyError, ValueError, OSError):
            problems.append(Problem(f"{window_pointer}/zone", f"{window.zone!r} is not a known time zone"))
        try:
            CronSim(window.cron, datetime(2024, 1, 1, tzinfo=UTC))
        except CronSimError as error:
            problems.append(
                Problem(f"{window_pointer}/cron", f"invalid cron expression {window.cron!r}: {error}")
            )
        problems += _check_changes(spec, window, window_pointer)
    return problems


def _check_changes(spec: GroupSpec, window: Window, window_pointer: str) -> Iterator[Problem]:
    for path, values in window.changes:
        pointer = f"{window_pointer}/changes/{'~1'.join(path)}"
        unknown = [name for name, _ in values if name not in CHANGEABLE_FIELDS]
        if unknown:
            yield Problem(pointer, f"a window cannot change these fields: {', '.join(unknown)}")
            continue
        try:
            changed_spec = replace_fields(spec, path, dict(values))
        except KeyError as error:
            yield Problem(pointer, f"unknown group {error.args[0]}")
            continue
        yield from (
            Problem(pointer, f"the changed tree is invalid at {p.pointer}: {p.text}")
            for p in check_tree(changed_spec)
        )
