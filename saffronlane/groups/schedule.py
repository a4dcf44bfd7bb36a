"""Windows of time that change weights and limits: cron starts with a zone, seasons, named days.

Times are aware datetimes given by the caller; nothing here reads a clock. Starts follow cron's own rules on
days whose clocks change (a start in the skipped hour comes right after it, one in the repeated hour comes
once; see cronsim); a window then lasts its seconds, whatever clocks on the wall do meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, fields, replace
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo

from cronsim import CronSim, CronSimError

from ..config.check import Problem
from .spec import GroupSpec, check_tree

Path = tuple[str, ...]
Changes = Mapping[Path, Mapping[str, float]]
CHANGEABLE = frozenset(f.name for f in fields(GroupSpec)) - {"name", "children", "each", "most"}
MOST_BACK = 1000  # starts looked back at: a window longer than so many periods is always on
MOST_AHEAD = 100_000


@dataclass(frozen=True, slots=True)
class Window:
    """One rule of a schedule. Of two that are on at once, the later in the list has the last word.

    Attributes:
        name: for people.
        cron: five fields; when it starts.
        seconds: how long it is on.
        zone: of its starts, season and days.
        season: first and last day of the year that a start may have, as (month, day); may span the new year.
        days: if any, a start counts only on these dates.
        changes: by the path of a group, fields of `GroupSpec` and their values meanwhile.
    """

    name: str
    cron: str
    seconds: float
    zone: str = "UTC"
    season: tuple[tuple[int, int], tuple[int, int]] | None = None
    days: frozenset[date] = frozenset()
    changes: tuple[tuple[Path, tuple[tuple[str, float], ...]], ...] = ()

    def _counts(self, start: datetime) -> bool:
        day = start.date()
        if self.days and day not in self.days:
            return False
        if self.season is None:
            return True
        first, last = self.season
        here = (day.month, day.day)
        return first <= here <= last if first <= last else here >= first or here <= last

    def _starts(self, when: datetime, back: bool) -> Iterator[datetime]:
        local = when.astimezone(ZoneInfo(self.zone))
        most = MOST_BACK if back else MOST_AHEAD
        try:
            for number, start in enumerate(CronSim(self.cron, local, reverse=back)):
                if number >= most:
                    return
                yield start
        except CronSimError:
            return  # no start in the next decades

    def on_until(self, when: datetime) -> datetime | None:
        """The end of the window that is on, in UTC; None: none is."""
        lasting = timedelta(seconds=self.seconds)
        moment = when.astimezone(UTC)
        for start in self._starts(when + timedelta(seconds=1), back=True):
            begun = start.astimezone(UTC)
            if begun + lasting <= moment:
                return None
            if begun <= moment and self._counts(start):
                return begun + lasting
        return None

    def next_start(self, when: datetime, most: datetime) -> datetime | None:
        """The first start after a moment and not after `most`, in UTC."""
        for start in self._starts(when, back=False):
            begun = start.astimezone(UTC)
            if begun > most:
                return None
            if self._counts(start):
                return begun
        return None


@dataclass(frozen=True, slots=True)
class Stretch:
    """A time in which the same windows are on, in UTC, their names in order, and who overrides whom."""

    begin: datetime
    end: datetime
    on: tuple[str, ...]
    conflicts: tuple[str, ...]


def changed(spec: GroupSpec, path: Path, values: Mapping[str, float]) -> GroupSpec:
    """The tree with some fields of one group replaced. KeyError names a group that is not there."""
    if not path:
        return replace(spec, **values)  # type: ignore[arg-type]
    names = [child.name for child in spec.children]
    if path[0] not in names:
        raise KeyError("/".join(path))
    children = tuple(changed(c, path[1:], values) if c.name == path[0] else c for c in spec.children)
    return replace(spec, children=children)


def effective(spec: GroupSpec, windows: Sequence[Window], when: datetime) -> GroupSpec:
    """The tree as it is at a moment."""
    for window in windows:
        if window.on_until(when) is not None:
            for path, values in window.changes:
                spec = changed(spec, path, dict(values))
    return spec


def next_change(windows: Sequence[Window], when: datetime, most: datetime) -> datetime:
    """When the tree may be another one, after `when`; `most` if not before."""
    times = [most.astimezone(UTC)]
    for window in windows:
        end = window.on_until(when)
        start = window.next_start(when, most)
        times += [t for t in (end, start) if t is not None and t > when]
    return min(times)


def plan(windows: Sequence[Window], when: datetime, days: float = 7.0) -> Iterator[Stretch]:
    """What the schedule does from a moment on, stretch by stretch."""
    most = when.astimezone(UTC) + timedelta(days=days)
    at = when.astimezone(UTC)
    while at < most:
        end = next_change(windows, at, most)
        on = [w for w in windows if w.on_until(at) is not None]
        yield Stretch(at, end, tuple(w.name for w in on), tuple(_conflicts(on)))
        at = end


def _conflicts(on: Sequence[Window]) -> Iterator[str]:
    last: dict[tuple[Path, str], str] = {}
    for window in on:
        for path, values in window.changes:
            for name, _ in values:
                before = last.get((path, name))
                if before is not None:
                    place = "/".join(path) or "/"
                    yield f"{name} of {place}: {window.name} overrides {before}"
                last[path, name] = window.name


def check_windows(spec: GroupSpec, windows: Sequence[Window], at: str = "/schedule") -> list[Problem]:
    """Everything that is wrong with a schedule, each with its JSON pointer."""
    problems = []
    names: dict[str, int] = {}
    for index, window in enumerate(windows):
        here = f"{at}/{index}"
        if window.name in names:
            problems.append(Problem(f"{here}/name", f"{window.name!r} is window {names[window.name]} too"))
        names.setdefault(window.name, index)
        if not window.seconds > 0.0:
            problems.append(Problem(f"{here}/seconds", "a window lasts more than 0 seconds"))
        try:
            ZoneInfo(window.zone)
        except (KeyError, ValueError, OSError):
            problems.append(Problem(f"{here}/zone", f"{window.zone!r} is no time zone"))
        try:
            CronSim(window.cron, datetime(2024, 1, 1, tzinfo=UTC))
        except CronSimError as error:
            problems.append(Problem(f"{here}/cron", f"{window.cron!r}: {error}"))
        problems += _check_changes(spec, window, here)
    return problems


def _check_changes(spec: GroupSpec, window: Window, here: str) -> Iterator[Problem]:
    for path, values in window.changes:
        place = f"{here}/changes/{'~1'.join(path)}"
        unknown = [name for name, _ in values if name not in CHANGEABLE]
        if unknown:
            yield Problem(place, f"{', '.join(unknown)} cannot be changed")
            continue
        try:
            alone = changed(spec, path, dict(values))
        except KeyError as error:
            yield Problem(place, f"there is no group {error.args[0]}")
            continue
        yield from (Problem(place, f"with it, {p.pointer}: {p.text}") for p in check_tree(alone))
