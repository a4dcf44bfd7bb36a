"""Selectors and schedules: first match wins and is explained; windows are right when clocks change."""

from __future__ import annotations

import itertools
import re
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo

import pytest

from saffronlane.groups import GroupSpec
from saffronlane.groups.schedule import Window, check_windows, effective, next_change, plan
from saffronlane.groups.select import Query, Selector, check_selectors, choose, explain, path_of

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
def test_the_first_selector_that_matches_wins(query, index, path):
    choice = choose(SELECTORS, query)
    assert choice is not None and (choice.index, choice.path) == (index, path)


def test_explain_tells_why_each_did_or_did_not_win():
    lines = explain(SELECTORS, Query(user="cur-1", team="x", cls="report"))
    assert [(line.matched, line.won) for line in lines] == [(True, True), (True, False), (True, False)]
    assert lines[1].why == "an earlier one has won; would be teams/x"
    lines = explain(SELECTORS, Query(user="someone", team="x", cls="report"))
    assert lines[0].why == "user 'someone' does not match 'cur-.*'" and lines[1].won


def test_options_tables_kind_and_text_select_too():
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
def test_what_is_captured_names_one_group_and_no_other_place(team):
    path = path_of("teams/{team}", {"team": team})
    assert len(path) == 2 and path[0] == "teams" and 0 < len(path[1]) <= 64
    assert "/" not in path[1] and path[1].strip(".")


def test_selectors_that_cannot_win_are_warned_of_and_faults_have_their_place():
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


def night(**changes: object) -> Window:
    values = {
        "name": "night",
        "cron": "0 18 * * FRI",
        "seconds": 6 * 3600.0,
        "zone": "Europe/Zagreb",
        "changes": ((("museums", "night"), (("weight", 8.0),)), (("curators",), (("threads", 4.0),))),
    }
    return Window(**(values | changes))  # type: ignore[arg-type]


def local(text: str, zone: str = "Europe/Zagreb") -> datetime:
    return datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone))


@pytest.mark.parametrize(
    ("when", "on"),
    [
        ("2026-12-04T17:59:59", False),
        ("2026-12-04T18:00:00", True),
        ("2026-12-04T23:59:59", True),
        ("2026-12-05T00:00:00", False),
        ("2026-12-03T20:00:00", False),
    ],
)
def test_a_window_is_on_from_its_start_to_its_end(when, on):
    tree = effective(TREE, [night()], local(when))
    assert tree.children[0].children[0].weight == (8.0 if on else 1.0)
    assert tree.children[1].threads == (4.0 if on else float("inf"))
    assert TREE.children[0].children[0].weight == 1.0  # the tree itself is not touched


def test_of_two_windows_the_later_in_the_list_has_the_last_word_and_the_plan_says_so():
    windows = [
        night(),
        night(name="gala", cron="0 20 4 12 *", changes=((("museums", "night"), (("weight", 20.0),)),)),
    ]
    at = local("2026-12-04T21:00:00")
    assert effective(TREE, windows, at).children[0].children[0].weight == 20.0
    assert effective(TREE, windows, at).children[1].threads == 4.0
    assert effective(TREE, windows[::-1], at).children[0].children[0].weight == 8.0
    stretches = list(plan(windows, local("2026-12-04T12:00:00"), days=1.0))
    assert [s.on for s in stretches] == [(), ("night",), ("night", "gala"), ("gala",), ()]
    assert stretches[2].conflicts == ("weight of museums/night: gala overrides night",)
    for before, after in itertools.pairwise(stretches):
        assert before.end == after.begin


def test_seasons_may_span_the_new_year_and_named_days_stand_alone():
    winter = night(cron="0 9 * * *", season=((12, 20), (1, 6)))
    days = {
        d: winter.on_until(local(f"{d}T10:00:00")) is not None
        for d in ("2026-12-19", "2026-12-20", "2027-01-06")
    }
    assert days == {"2026-12-19": False, "2026-12-20": True, "2027-01-06": True}
    assert winter.on_until(local("2027-01-07T10:00:00")) is None
    free = night(cron="0 18 * * *", days=frozenset({date(2026, 12, 9)}))
    assert free.on_until(local("2026-12-09T19:00:00")) is not None
    assert free.on_until(local("2026-12-10T19:00:00")) is None
    assert free.next_start(local("2026-12-01T00:00:00"), local("2027-01-01T00:00:00")) == local(
        "2026-12-09T18:00:00"
    )


def test_clocks_that_go_forward_and_back():
    """29 March 2026: 02:00 to 03:00 is not there. 25 October 2026: 02:00 to 03:00 comes twice."""
    early = night(cron="30 2 * * *", seconds=3600.0)
    spring = [s for s in plan([early], local("2026-03-29T00:00:00"), days=0.9) if s.on]
    assert len(spring) == 1 and spring[0].begin == local("2026-03-29T03:00:00")
    assert spring[0].end - spring[0].begin == timedelta(hours=1)
    autumn = [s for s in plan([early], local("2026-10-25T00:00:00"), days=0.9) if s.on]
    assert len(autumn) == 1 and autumn[0].end - autumn[0].begin == timedelta(hours=1)
    # A window over the repeated hour lasts its seconds, not what the clock on the wall shows.
    over = night(cron="0 1 * * *", seconds=3 * 3600.0)
    (long,) = [s for s in plan([over], local("2026-10-25T00:00:00"), days=0.9) if s.on]
    assert long.end.astimezone(ZoneInfo("Europe/Zagreb")).hour == 3


def test_the_plan_agrees_with_every_moment():
    """At no minute of two weeks around a change of clocks does a stretch say other than the moment itself."""
    windows = [
        night(),
        night(name="early", cron="30 2 * * *", seconds=5400.0),
        night(name="often", cron="*/7 9 * * *", seconds=60.0),
    ]
    start = local("2026-03-25T00:00:00").astimezone(UTC)
    stretches = list(plan(windows, start, days=6.0))
    assert stretches[0].begin == start and stretches[-1].end == start + timedelta(days=6)
    for stretch in stretches:
        for at in (
            stretch.begin,
            stretch.begin + (stretch.end - stretch.begin) / 2,
            stretch.end - timedelta(seconds=1),
        ):
            assert tuple(w.name for w in windows if w.on_until(at) is not None) == stretch.on, at
    assert next_change(windows, start, start + timedelta(days=6)) == stretches[0].end


def test_every_fault_of_a_schedule_has_its_place():
    windows = [
        night(cron="every day", zone="Europe/Nowhere", seconds=0.0),
        night(changes=((("museums", "gone"), (("weight", 2.0),)), (("curators",), (("name", 1.0),)))),
        night(name="third", changes=((("curators",), (("weight", 0.0),)),)),
        night(name="never", cron="0 0 30 2 *"),
    ]
    found = {p.pointer for p in check_windows(TREE, windows)}
    assert found == {
        "/schedule/0/seconds",
        "/schedule/0/zone",
        "/schedule/0/cron",
        "/schedule/1/name",
        "/schedule/1/changes/museums~1gone",
        "/schedule/1/changes/curators",
        "/schedule/2/changes/curators",
        "/schedule/3/cron",
    }
