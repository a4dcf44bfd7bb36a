"""Tests of selectors and schedules: choices and their explanations, windows, and daylight saving time."""

from __future__ import annotations

import itertools
import re
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo

import pytest

from saffronlane.groups import GroupSpec
from saffronlane.groups.schedule import Window, check_windows, effective_spec, next_change, plan
from saffronlane.groups.select import Query, Selector, check_selectors, choose, expand_path, explain

TREE = GroupSpec(
    "root", children=(GroupSpec("museums", children=(GroupSpec("night"),)), GroupSpec("curators"))
)
SELECTORS = (
    Selector("curators", name="curators", user=re.compile("cur-.*"), cls="report"),
    Selector("teams/{team}", name="teams", team=re.compile("(?P<team>[a-z]+)")),
    Selector("rest", name="rest"),
)


@pytest.mark.parametrize(
    ("query", "index", "path"),
    [
        (Query(user="cur-1", team="x", cls="report"), 0, ("curators",)),
        (Query(user="cur-1", team="x", cls="lookup"), 1, ("teams", "x")),
        (Query(user="who", team="42"), 2, ("rest",)),
    ],
)
def test_first_matching_selector_is_chosen(query, index, path):
    choice = choose(SELECTORS, query)
    assert choice is not None and (choice.index, choice.path) == (index, path)


def test_explain_gives_the_reason_of_each_verdict():
    verdicts = explain(SELECTORS, Query(user="cur-1", team="x", cls="report"))
    assert [(verdict.is_match, verdict.is_chosen) for verdict in verdicts] == [
        (True, True),
        (True, False),
        (True, False),
    ]
    assert verdicts[1].reason == "an earlier selector matches; this one would choose teams/x"
    verdicts = explain(SELECTORS, Query(user="someone", team="x", cls="report"))
    assert verdicts[0].reason == "user 'someone' does not match 'cur-.*'" and verdicts[1].is_chosen


def test_options_tables_kind_and_text_are_matched():
    selector = Selector(
        "{app}/{what}",
        kind="read",
        tables=frozenset({"plays", "tours"}),
        text=re.compile(r"/\* (?P<what>\w+) \*/"),
        options=(("app", re.compile("(?P<app>.+)")),),
    )
    query = Query(
        kind="read", tables=frozenset({"tours"}), text="SELECT 1 /* audit */", options={"app": "kiosk"}
    )
    assert choose([selector], query).path == ("kiosk", "audit")  # type: ignore[union-attr]
    for other in (Query(kind="write"), Query(kind="read"), Query(kind="read", tables=frozenset({"tours"}))):
        assert choose([selector], other) is None


@pytest.mark.parametrize("team", ["../curators", "a/b", "", "...", "x" * 500, "na\u00efve", "a b\n"])
def test_captured_value_becomes_the_name_of_exactly_one_group(team):
    path = expand_path("teams/{team}", {"team": team})
    assert len(path) == 2 and path[0] == "teams" and 0 < len(path[1]) <= 64
    assert "/" not in path[1] and path[1].strip(".")


def test_unreachable_selectors_cause_warnings_and_problems_have_json_pointers():
    problems, warnings = check_selectors(
        [
            Selector("a", cls="x"),
            Selector("b", cls="x", user=re.compile("u")),
            Selector("teams/{team}", user=re.compile("(?P<user>.*)")),
            Selector("", kind="read"),
            Selector("rest"),
            Selector("never", cls="y"),
        ]
    )
    assert [p.pointer for p in problems] == ["/selectors/2/group", "/selectors/3/group"]
    assert "team" in problems[0].text
    assert [w.pointer for w in warnings] == ["/selectors/1", "/selectors/5"]


# --- schedules ---


def night_window(**changes: object) -> Window:
    values = {
        "name": "night",
        "cron": "0 18 * * FRI",
        "seconds": 6 * 3600.0,
        "zone": "Europe/Zagreb",
        "changes": ((("museums", "night"), (("weight", 8.0),)), (("curators",), (("threads", 4.0),))),
    }
    return Window(**(values | changes))  # type: ignore[arg-type]


def local_time(text: str, zone: str = "Europe/Zagreb") -> datetime:
    return datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone))


@pytest.mark.parametrize(
    ("when", "is_active"),
    [
        ("2026-12-04T17:59:59", False),
        ("2026-12-04T18:00:00", True),
        ("2026-12-04T23:59:59", True),
        ("2026-12-05T00:00:00", False),
        ("2026-12-03T20:00:00", False),
    ],
)
def test_window_is_active_from_its_start_to_its_end(when, is_active):
    tree = effective_spec(TREE, [night_window()], local_time(when))
    assert tree.children[0].children[0].weight == (8.0 if is_active else 1.0)
    assert tree.children[1].threads == (4.0 if is_active else float("inf"))
    assert TREE.children[0].children[0].weight == 1.0  # the configured tree is unchanged


def test_later_window_overrides_earlier_one_and_plan_lists_the_conflict():
    windows = [
        night_window(),
        night_window(name="gala", cron="0 20 4 12 *", changes=((("museums", "night"), (("weight", 20.0),)),)),
    ]
    moment = local_time("2026-12-04T21:00:00")
    assert effective_spec(TREE, windows, moment).children[0].children[0].weight == 20.0
    assert effective_spec(TREE, windows, moment).children[1].threads == 4.0
    assert effective_spec(TREE, windows[::-1], moment).children[0].children[0].weight == 8.0
    intervals = list(plan(windows, local_time("2026-12-04T12:00:00"), days=1.0))
    assert [interval.active_windows for interval in intervals] == [
        (),
        ("night",),
        ("night", "gala"),
        ("gala",),
        (),
    ]
    assert intervals[2].conflicts == ("weight of museums/night: gala overrides night",)
    for interval, next_interval in itertools.pairwise(intervals):
        assert interval.end == next_interval.begin


def test_season_may_span_the_new_year_and_days_restrict_starts_to_dates():
    winter_window = night_window(cron="0 9 * * *", season=((12, 20), (1, 6)))
    days = {
        d: winter_window.active_until(local_time(f"{d}T10:00:00")) is not None
        for d in ("2026-12-19", "2026-12-20", "2027-01-06")
    }
    assert days == {"2026-12-19": False, "2026-12-20": True, "2027-01-06": True}
    assert winter_window.active_until(local_time("2027-01-07T10:00:00")) is None
    single_day = night_window(cron="0 18 * * *", days=frozenset({date(2026, 12, 9)}))
    assert single_day.active_until(local_time("2026-12-09T19:00:00")) is not None
    assert single_day.active_until(local_time("2026-12-10T19:00:00")) is None
    assert single_day.next_start(
        local_time("2026-12-01T00:00:00"), local_time("2027-01-01T00:00:00")
    ) == local_time("2026-12-09T18:00:00")


def test_windows_last_their_duration_when_clocks_go_forward_or_back():
    """02:00 to 03:00 is skipped on 29 March 2026, and comes twice on 25 October 2026."""
    early_window = night_window(cron="30 2 * * *", seconds=3600.0)
    spring = [
        interval
        for interval in plan([early_window], local_time("2026-03-29T00:00:00"), days=0.9)
        if interval.active_windows
    ]
    assert len(spring) == 1 and spring[0].begin == local_time("2026-03-29T03:00:00")
    assert spring[0].end - spring[0].begin == timedelta(hours=1)
    autumn = [
        interval
        for interval in plan([early_window], local_time("2026-10-25T00:00:00"), days=0.9)
        if interval.active_windows
    ]
    assert len(autumn) == 1 and autumn[0].end - autumn[0].begin == timedelta(hours=1)
    # A window that contains the repeated hour lasts for its duration in elapsed seconds, not in local time.
    over_repeated_hour = night_window(cron="0 1 * * *", seconds=3 * 3600.0)
    (long_interval,) = [
        interval
        for interval in plan([over_repeated_hour], local_time("2026-10-25T00:00:00"), days=0.9)
        if interval.active_windows
    ]
    assert long_interval.end.astimezone(ZoneInfo("Europe/Zagreb")).hour == 3


def test_plan_agrees_with_the_windows_at_any_moment():
    """Checks the begin, the middle and the end of each interval around a change of the clocks."""
    windows = [
        night_window(),
        night_window(name="early", cron="30 2 * * *", seconds=5400.0),
        night_window(name="often", cron="*/7 9 * * *", seconds=60.0),
    ]
    start = local_time("2026-03-25T00:00:00").astimezone(UTC)
    intervals = list(plan(windows, start, days=6.0))
    assert intervals[0].begin == start and intervals[-1].end == start + timedelta(days=6)
    for interval in intervals:
        for moment in (
            interval.begin,
            interval.begin + (interval.end - interval.begin) / 2,
            interval.end - timedelta(seconds=1),
        ):
            assert (
                tuple(w.name for w in windows if w.active_until(moment) is not None)
                == interval.active_windows
            ), moment
    assert next_change(windows, start, start + timedelta(days=6)) == intervals[0].end


def test_every_problem_of_a_schedule_has_its_json_pointer():
    windows = [
        night_window(cron="every day", zone="Europe/Nowhere", seconds=0.0),
        night_window(changes=((("museums", "gone"), (("weight", 2.0),)), (("curators",), (("name", 1.0),)))),
        night_window(name="third", changes=((("curators",), (("weight", 0.0),)),)),
        night_window(name="never", cron="0 0 30 2 *"),
    ]
    pointers = {p.pointer for p in check_windows(TREE, windows)}
    assert pointers == {
        "/schedule/0/seconds",
        "/schedule/0/zone",
        "/schedule/0/cron",
        "/schedule/1/name",
        "/schedule/1/changes/museums~1gone",
        "/schedule/1/changes/curators",
        "/schedule/2/changes/curators",
        "/schedule/3/cron",
    }
