"""The shipped days through real sockets. All at once, each a process: a day is mostly waiting."""

from __future__ import annotations

import json
import math
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from saffronlane.config import ConfigError
from saffronlane.lab.day import draw, load_day
from saffronlane.lab.days import names, shipped
from saffronlane.lab.model import EngineShape, Machine, Run

ROOT = Path(__file__).parent.parent
DAYS = [
    "cold-restart",
    "demo",
    "gateway-kill",
    "lost-answers",
    "overload",
    "restarts",
    "rolling-drain",
    "unsafe-and-ordered",
    "whole-path",
]
Result = tuple[int, str, dict[str, object], list[dict[str, object]]]


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Result]]:
    folder = tmp_path_factory.mktemp("days")
    processes = {}
    careless = json.loads(shipped("restarts").read_text())
    del careless["gateway"]["knowledge"]
    careless["gateway"]["rules"]["order_settle_s"] = 4.0  # longer than any restart here takes
    (folder / "careless.json").write_text(json.dumps(careless))
    for day in (*DAYS, str(folder / "careless.json")):
        name = Path(day).stem
        command = [
            sys.executable,
            "-m",
            "saffronlane",
            "lab",
            "day",
            day,
            "--report",
            str(folder / Path(name).stem),
        ]
        processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
        )
    results: dict[str, Result] = {}
    for name, process in processes.items():
        out, _ = process.communicate(timeout=90)
        report = json.loads((folder / name / "report.json").read_text())
        lines = (folder / name / "record.jsonl").read_text().splitlines()
        results[name] = (process.returncode, out, report, [json.loads(line) for line in lines])
    yield results


@pytest.mark.parametrize("name", DAYS)
def test_a_shipped_day_breaks_no_rule(name: str, played: dict[str, Result]) -> None:
    code, out, report, _ = played[name]
    assert report["breaches"] == [] and code == 0, out


@pytest.mark.parametrize(
    ("name", "kinds"),
    [
        ("whole-path", {"lost", "cut", "refused"}),
        ("lost-answers", {"lost", "stopped"}),
        ("rolling-drain", {"cold"}),
        ("cold-restart", {"cold"}),
        ("gateway-kill", {"killed", "ended"}),
        ("unsafe-and-ordered", {"lost", "refused", "error"}),
        ("restarts", {"killed", "ended", "cold", "error", "unreachable"}),
    ],
)
def test_a_day_has_the_troubles_that_it_is_for(name: str, kinds: set[str], played: dict[str, Result]) -> None:
    """Else a day that breaks no rule would prove nothing."""
    assert kinds <= {str(e["kind"]) for e in played[name][3]}


def test_gateways_that_forget_break_rules_when_they_come_back(played: dict[str, Result]) -> None:
    """The day of the restarts without the folder: else that it breaks no rule with it would prove nothing."""
    assert played["careless"][2]["breaches"]


def test_repeats_happen_and_most_are_served_all_the_same(played: dict[str, Result]) -> None:
    rows = {r["name"]: r for r in played["lost-answers"][2]["classes"]}  # type: ignore[attr-defined]
    again = [e for e in played["lost-answers"][3] if e["kind"] == "sent" and e["attempt"] == "1"]
    assert again
    for row in rows.values():
        assert row["in_time"] >= 0.8 * row["asked"]


def test_overload_is_refused_with_a_time_to_come_back(played: dict[str, Result]) -> None:
    refused = [e for e in played["overload"][3] if e["kind"] == "answer" and e["code"] == "UNAVAILABLE"]
    assert refused and all(e["promise"] and float(str(e["retry_after"])) > 0.0 for e in refused)
    rows = {r["name"]: r for r in played["overload"][2]["classes"]}  # type: ignore[attr-defined]
    lookup, report = rows["lookup"], rows["report"]
    assert lookup["refused"] / lookup["asked"] < report["refused"] / report["asked"]


def test_a_stopped_gateway_ends_with_code_0(played: dict[str, Result]) -> None:
    ended = [e for e in played["gateway-kill"][3] if e["kind"] == "ended"]
    assert {e["gateway"]: e["code"] for e in ended} == {"0": -9, "1": 0}


def test_all_shipped_days_are_played_here() -> None:
    assert names() == DAYS


def test_a_day_is_drawn_alike_for_a_seed() -> None:
    day = load_day(shipped("whole-path"))
    first, second = draw(day), draw(day)
    assert first == second
    day.raw["seed"] = 99
    assert draw(day) != first


@pytest.mark.parametrize(
    ("change", "pointer"),
    [
        ({"duration_s": -1}, "/duration_s"),
        ({"arrivals": [{"class": "nothing", "rate": 1, "work_s": 1}]}, "/arrivals/0/class"),
        ({"faults": [{"at_s": 1, "fault": "hang", "engine": "e99"}]}, "/faults/0/engine"),
        ({"faults": [{"at_s": 1, "fault": "kill", "gateway": 7}]}, "/faults/0"),
        ({"faults": [{"at_s": 1, "fault": "unheard-of"}]}, "/faults/0/fault"),
        ({"gateway": {"kinds": [], "classes": []}}, "/gateway/classes"),
    ],
)
def test_a_wrong_day_names_the_place(change: dict[str, object], pointer: str, tmp_path: Path) -> None:
    raw = json.loads(shipped("whole-path").read_text()) | change
    path = tmp_path / "day.json"
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError) as caught:
        load_day(path)
    assert pointer in [p.pointer for p in caught.value.problems]


def test_a_run_that_ends_while_another_begins_is_not_forgotten() -> None:
    """It was: the stand-in then looked like an engine whose answer goes missing, on a day without fault."""
    machine = Machine(EngineShape(cores=4.0), started=-1e6)
    first, second = Run(0.1, 1.0), Run(0.1, 1.0)
    machine.add(first, 0.0)
    machine.add(second, 1.0)
    assert machine.collect() == [first]
    machine.remove(second, 1.05)
    assert machine.collect() == [] and machine.next_end(1.05) == math.inf


def test_threads_share_the_cores_and_memory_makes_a_line() -> None:
    machine = Machine(EngineShape(cores=2.0, memory_mb=100.0), started=-1e6)
    runs = [Run(1.0, 2.0, 40.0), Run(1.0, 2.0, 40.0), Run(1.0, 1.0, 40.0)]
    for run in runs:
        machine.add(run, 0.0)
    assert runs[2].waiting
    machine.advance(0.5)
    assert [r.progress for r in runs] == [0.5, 0.5, 0.0]
    machine.advance(1.0)
    assert machine.collect() == runs[:2] and not runs[2].waiting


def test_a_cold_machine_falls_over_when_too_much_is_sent() -> None:
    shape = EngineShape(cores=4.0, cold_share=0.25, warm_after=10.0, fall_multiple=2.0, fall_window=1.0)
    machine = Machine(shape, started=0.0)
    assert machine.add(Run(1.9, 1.0), 0.0)
    assert not machine.add(Run(0.5, 1.0), 0.1)
    assert Machine(shape, started=0.0).add(Run(100.0, 1.0), 11.0)
