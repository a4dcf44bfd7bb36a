"""Plays the shipped scenarios ("days") over real sockets.

All scenarios run at the same time, each in its own process, because a scenario mostly waits.
"""

from __future__ import annotations

import json
import math
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from saffronlane.config import ConfigError
from saffronlane.lab.day import draw_queries, load_day
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
# Exit code, output, content of report.json, events of record.jsonl.
Result = tuple[int, str, dict[str, object], list[dict[str, object]]]


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Result]]:
    folder = tmp_path_factory.mktemp("days")
    processes = {}
    stateless = json.loads(shipped("restarts").read_text())
    del stateless["gateway"]["knowledge"]
    stateless["gateway"]["rules"]["order_settle_s"] = 4.0  # cooldowns outlast every restart
    (folder / "stateless.json").write_text(json.dumps(stateless))
    for day in (*DAYS, str(folder / "stateless.json")):
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
    results_by_name: dict[str, Result] = {}
    for name, process in processes.items():
        output, _ = process.communicate(timeout=90)
        report = json.loads((folder / name / "report.json").read_text())
        lines = (folder / name / "record.jsonl").read_text().splitlines()
        results_by_name[name] = (process.returncode, output, report, [json.loads(line) for line in lines])
    yield results_by_name


@pytest.mark.parametrize("name", DAYS)
def test_shipped_scenario_violates_no_rule(name: str, results: dict[str, Result]) -> None:
    exit_code, output, report, _ = results[name]
    assert report["breaches"] == [] and exit_code == 0, output


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
def test_scenario_records_the_events_that_it_is_meant_to_cause(
    name: str, kinds: set[str], results: dict[str, Result]
) -> None:
    """Guards against a scenario that violates no rule only because its faults never happened."""
    assert kinds <= {str(e["kind"]) for e in results[name][3]}


def test_gateways_that_restart_without_learned_state_violate_rules(results: dict[str, Result]) -> None:
    """Plays `restarts` without a state directory.

    Guards against a scenario that violates no rule whether or not the gateways keep their learned state.
    """
    assert results["stateless"][2]["breaches"]


def test_queries_are_retried_and_at_least_80_percent_are_answered_in_time(results: dict[str, Result]) -> None:
    rows = {r["name"]: r for r in results["lost-answers"][2]["classes"]}  # type: ignore[attr-defined]
    retries = [e for e in results["lost-answers"][3] if e["kind"] == "sent" and e["attempt"] == "1"]
    assert retries
    for row in rows.values():
        assert row["in_time"] >= 0.8 * row["asked"]


def test_rejections_under_overload_have_a_retry_delay_and_spare_the_cheap_class(
    results: dict[str, Result],
) -> None:
    refused = [e for e in results["overload"][3] if e["kind"] == "answer" and e["code"] == "UNAVAILABLE"]
    assert refused and all(e["promise"] and float(str(e["retry_after"])) > 0.0 for e in refused)
    rows = {r["name"]: r for r in results["overload"][2]["classes"]}  # type: ignore[attr-defined]
    lookup, report = rows["lookup"], rows["report"]
    assert lookup["refused"] / lookup["asked"] < report["refused"] / report["asked"]


def test_killed_gateway_ends_by_signal_9_and_stopped_gateway_exits_with_status_0(
    results: dict[str, Result],
) -> None:
    ended = [e for e in results["gateway-kill"][3] if e["kind"] == "ended"]
    assert {e["gateway"]: e["code"] for e in ended} == {"0": -9, "1": 0}


def test_this_file_plays_all_shipped_scenarios() -> None:
    assert names() == DAYS


def test_same_seed_generates_the_same_queries() -> None:
    day = load_day(shipped("whole-path"))
    first, second = draw_queries(day), draw_queries(day)
    assert first == second
    day.raw["seed"] = 99
    assert draw_queries(day) != first


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
def test_error_for_an_invalid_scenario_points_to_the_invalid_value(
    change: dict[str, object], pointer: str, tmp_path: Path
) -> None:
    raw = json.loads(shipped("whole-path").read_text()) | change
    path = tmp_path / "day.json"
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError) as raised:
        load_day(path)
    assert pointer in [p.pointer for p in raised.value.problems]


def test_query_that_finishes_while_another_starts_is_collected() -> None:
    """Guards against a finished query that is never collected.

    The stand-in engine would then never answer it, although no fault was injected.
    """
    machine = Machine(EngineShape(cores=4.0), started=-1e6)
    first, second = Run(0.1, 1.0), Run(0.1, 1.0)
    machine.add(first, 0.0)
    machine.add(second, 1.0)
    assert machine.collect() == [first]
    machine.remove(second, 1.05)
    assert machine.collect() == [] and machine.next_end(1.05) == math.inf


def test_threads_share_the_cores_and_queries_queue_for_memory() -> None:
    machine = Machine(EngineShape(cores=2.0, memory_mb=100.0), started=-1e6)
    runs = [Run(1.0, 2.0, 40.0), Run(1.0, 2.0, 40.0), Run(1.0, 1.0, 40.0)]
    for run in runs:
        machine.add(run, 0.0)
    assert runs[2].waiting
    machine.advance(0.5)
    assert [r.progress for r in runs] == [0.5, 0.5, 0.0]
    machine.advance(1.0)
    assert machine.collect() == runs[:2] and not runs[2].waiting


def test_cold_engine_crashes_when_it_is_sent_too_much_work() -> None:
    shape = EngineShape(cores=4.0, cold_share=0.25, warm_after=10.0, fall_multiple=2.0, fall_window=1.0)
    machine = Machine(shape, started=0.0)
    assert machine.add(Run(1.9, 1.0), 0.0)
    assert not machine.add(Run(0.5, 1.0), 0.1)
    assert Machine(shape, started=0.0).add(Run(100.0, 1.0), 11.0)
