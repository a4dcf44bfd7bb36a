"""Settings and engine lists: every error at once, each with its place; and what good ones turn into."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from gateways import write_config

from saffronlane import interface as api
from saffronlane.cli import main
from saffronlane.config import Config, ConfigError, load_config, parse_config, parse_engines
from saffronlane.config.check import read_json, schema
from saffronlane.members import FileSource, View

FULL: dict[str, Any] = {
    "listen": {"host": "127.0.0.1", "port": 0},
    "engines": {"file": "engines.json", "poll_s": 0.5},
    "gateway": {"count": 5, "position": 2, "zone": "b", "seed": 7, "workers": 2, "grace_s": 3},
    "zones": ["a", "b"],
    "kinds": [{"name": "small", "cores": 8, "memory_mb": 1000}, {"name": "large", "cores": 16}],
    "classes": [
        {"name": "lookup", "aim_s": 0.5, "deadline_s": 3},
        {
            "name": "load",
            "aim_s": 1,
            "deadline_s": 9,
            "value": 4,
            "late_value": 0.2,
            "aim_stretch": 2.5,
            "threads": 2,
            "effect": "keyed",
            "group": "zone",
            "key_ttl_s": 20,
            "ordered": True,
            "stream": True,
            "is_load": True,
            "waits_for_loads": True,
            "zones_only": ["b"],
            "kinds_only": ["large"],
        },
    ],
    "tenants": [{"name": "museum", "allowance_per_s": 4, "share": 0.5}],
    "rules": {
        "answer_slack_s": 0.1,
        "drain_grace_s": 0.25,
        "cold": {"share": 0.4, "warm_after_s": 9, "fall_multiple": 3, "fall_window_s": 2},
        "order_settle_s": 0.7,
        "budget": {"free": 3, "ratio": 0.2, "window_s": 10},
        "ask_within_s": 5,
    },
    "limits": {
        "cancel": True,
        "second_copies": True,
        "probing": True,
        "probe_price": 0.01,
        "peers": True,
        "retry_after": True,
        "max_attempts": 6,
        "max_retry_after_s": 9,
    },
    "signals": {
        "grants_heeded": True,
        "priorities_heeded": True,
        "largest_grant_share": 0.5,
        "memory_short": "page",
        "note_period_s": 1,
        "work_told": True,
        "report_columns": ["active", "cpu"],
    },
    "prices": {"zone_crossing": 0.02, "over_share_worth": 0.05},
    "matchers": [{"user": "u", "kind": "read", "tables": ["t"], "pattern": "^SELECT", "tenant": "museum"}],
    "connections": {"connect_timeout_s": 0.5},
    "front": {"max_streams": 50},
    "peers": {"listen": "127.0.0.1:0", "addresses": ["127.0.0.1:5", "[::1]:6"]},
}
LIST: dict[str, Any] = {
    "version": 3,
    "engines": [
        {
            "id": "x",
            "address": "127.0.0.1:9",
            "kind": "large",
            "zone": "b",
            "cell": 2,
            "started": 5,
            "weight": 2,
        },
        {"id": "y", "address": "[::1]:10", "state": "draining"},
    ],
}


def full() -> Config:
    return parse_config(FULL, "here", Path("/x"))


def test_everything_maps_onto_the_settings_of_the_decisions() -> None:
    """No field of interface.Settings stays at its default, or the map has a hole."""
    settings = full().settings
    for part, default in (
        (settings, api.Settings(settings.classes, settings.machine_types)),
        (settings.classes[1], api.ClassSettings("", 0.0, 0.0)),
        (settings.guarantees, api.Guarantees()),
        (settings.limits, api.Limits()),
        (settings.tenants[0], api.TenantSettings("")),
        (settings.machine_types[0], api.MachineType("", 0.0)),
    ):
        for name in part.__dataclass_fields__:
            # The dispatcher steps at once, so there is no tick; a file is told unasked.
            if name not in ("classes", "machine_types", "min_step_interval", "subscribes_to_endpoints"):
                assert getattr(part, name) != getattr(default, name), name
    assert settings.classes[1].allowed_zones == (1,) and settings.classes[1].allowed_machine_types == (1,)
    assert full().engine_file == Path("/x/engines.json")


def set_at(value: Any, pointer: str, new: Any) -> Any:
    value = json.loads(json.dumps(value))
    *path, last = pointer.strip("/").split("/")
    at = value
    for part in path:
        at = at[int(part)] if isinstance(at, list) else at.setdefault(part, {})
    at[int(last) if isinstance(at, list) else last] = new
    return value


@pytest.mark.parametrize(
    ("pointer", "new", "named"),
    [
        ("/listen/port", 99999, "/listen/port"),
        ("/listen/port", "80", "/listen/port"),
        ("/unknown", 1, ""),
        ("/classes/0/colour", 1, "/classes/0"),
        ("/classes", [], "/classes"),
        ("/classes/1/name", "lookup", "/classes/1/name"),
        ("/classes/1/zones_only", ["c"], "/classes/1/zones_only"),
        ("/classes/1/kinds_only", ["c"], "/classes/1/kinds_only"),
        ("/classes/1/effect", "maybe", "/classes/1/effect"),
        ("/classes/1/key_ttl_s", 0, "/classes/1"),
        ("/classes/0/aim_s", 5, "/classes/0/aim_s"),
        ("/kinds/0/cores", 0, "/kinds/0/cores"),
        ("/gateway/zone", "c", "/gateway/zone"),
        ("/gateway/position", 4, "/gateway/position"),
        ("/rules/cold/fall_window_s", 0, "/rules/cold"),
        ("/rules/budget", {"free": 1}, "/rules/budget"),
        ("/matchers/0/pattern", "(", "/matchers/0/pattern"),
        ("/matchers/0/tenant", "nobody", "/matchers/0/tenant"),
        ("/matchers/0", {"user": "u"}, "/matchers/0"),
        ("/peers/addresses", ["nowhere"], "/peers/addresses/0"),
        ("/limits/max_attempts", 0, "/limits/max_attempts"),
    ],
)
def test_each_error_names_its_place(pointer: str, new: Any, named: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_config(set_at(FULL, pointer, new), "here", Path())
    assert named in [p.pointer for p in caught.value.problems]


def test_all_errors_are_told_at_once() -> None:
    wrong = set_at(set_at(FULL, "/listen/port", -1), "/kinds/1/cores", "many")
    with pytest.raises(ConfigError) as caught:
        parse_config(wrong, "here", Path())
    assert [p.pointer for p in caught.value.problems] == ["/kinds/1/cores", "/listen/port"]


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ("", "line 1, column 1"),
        ('{"a": 1,}', "line 1"),
        ('{"a": 1, "a": 2}', "duplicate key 'a'"),
        ('{"a": NaN}', "NaN"),
        ("[" * 100_000, "not JSON"),
        ("\xff\xfe", "not JSON"),
    ],
)
def test_what_is_no_json(text: str, what: str) -> None:
    with pytest.raises(ConfigError, match=what):
        read_json(text.encode("latin-1"), "here")


def test_the_command_line_checks_a_file(tmp_path: Path) -> None:
    good = write_config(tmp_path)
    assert CliRunner().invoke(main, ["config", "check", str(good)]).exit_code == 0
    (tmp_path / "engines.json").write_text('{"engines": [{"id": "x"}]}')
    result = CliRunner().invoke(main, ["config", "check", str(good)])
    assert result.exit_code == 2 and "/engines/0" in result.output
    (tmp_path / "engines.json").unlink()
    bad = write_config(tmp_path, listen={"port": -1}, kinds=[])
    result = CliRunner().invoke(main, ["config", "check", str(bad)])
    assert result.exit_code == 2
    assert "/listen/port" in result.output and "/kinds" in result.output
    result = CliRunner().invoke(main, ["serve", str(tmp_path / "missing.json")])
    assert result.exit_code == 2 and "cannot be read" in result.output


def test_the_schema_is_printed_and_names_its_draft() -> None:
    result = CliRunner().invoke(main, ["config", "schema"])
    assert json.loads(result.output) == schema("gateway")
    assert schema("gateway")["$schema"] == "https://json-schema.org/draft/2020-12/schema"


def test_the_example_for_a_museum_fleet_is_good() -> None:
    example = Path(__file__).parent.parent / "deploy" / "museum"
    config = load_config(example / "gateway.json")
    _, records = parse_engines(json.loads((example / "engines.json").read_text()), config, "here")
    assert len(records) >= 6


# --- the engine list ---


def test_a_list_is_typed() -> None:
    version, (first, second) = parse_engines(LIST, full(), "here")
    assert version == 3
    assert (first.host, first.port, first.kind, first.zone, first.cell) == ("127.0.0.1", 9, 1, 1, 2)
    assert (second.host, second.state) == ("::1", api.EngineState.DRAINING)


@pytest.mark.parametrize(
    ("pointer", "new", "named"),
    [
        ("/engines/0/address", "nowhere", "/engines/0/address"),
        ("/engines/0/address", "x:0", "/engines/0/address"),
        ("/engines/1/id", "x", "/engines/1/id"),
        ("/engines/0/kind", "huge", "/engines/0/kind"),
        ("/engines/0/state", "asleep", "/engines/0/state"),
        ("/engines/0/started", -1, "/engines/0/started"),
    ],
)
def test_each_error_of_a_list_names_its_place(pointer: str, new: Any, named: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_engines(set_at(LIST, pointer, new), full(), "here")
    assert named in [p.pointer for p in caught.value.problems]


def source(tmp_path: Path) -> tuple[FileSource, Path, list[tuple[int, int]]]:
    told: list[tuple[int, int]] = []
    config = parse_config(FULL, "here", tmp_path)
    return FileSource(config, lambda v, r: told.append((v, len(r)))), tmp_path / "engines.json", told


def test_a_list_that_cannot_be_read_changes_nothing(tmp_path: Path) -> None:
    """Missing, empty, half written, wrong: the last good one stays, and the next good one counts."""
    look, path, told = source(tmp_path)
    assert not look.reload_if_changed()
    path.write_text(json.dumps(LIST))
    assert look.reload_if_changed() and not look.reload_if_changed()
    for text in ("", json.dumps(LIST)[:40], '{"engines": 3}', "\0"):
        path.write_text(text)
        assert not look.reload_if_changed()
    path.unlink()
    assert not look.reload_if_changed()
    path.write_text(json.dumps(LIST | {"version": 4, "engines": []}))
    assert look.reload_if_changed()
    assert told == [(3, 2), (4, 0)]


def test_a_start_is_converted_once_so_that_a_step_of_the_clock_is_no_restart() -> None:
    clock, wall = [1000.0], [50_000.0]
    view = View(lambda: clock[0], lambda: wall[0])
    _, records = parse_engines(set_at(LIST, "/engines/0/started", 49_990.0), full(), "here")
    first = view.replace(1, records).entries[0]
    assert first.started_at == 990.0
    clock[0], wall[0] = 1001.0, 90_000.0
    assert view.replace(2, records).entries[0].started_at == 990.0
    _, again = parse_engines(set_at(LIST, "/engines/0/started", 89_999.0), full(), "here")
    assert view.replace(3, again).entries[0].started_at == 1000.0
    _, future = parse_engines(set_at(LIST, "/engines/0/started", 99_999.0), full(), "here")
    assert view.replace(4, future).entries[0].started_at == 1001.0


def test_a_snapshot_in_hand_does_not_change() -> None:
    view = View(lambda: 0.0, lambda: 0.0)
    version, records = parse_engines(LIST, full(), "here")
    view.replace(version, records)
    held = view.snapshot
    view.replace(version + 1, ())
    assert set(held) == {b"x", b"y"} and not list(view.snapshot)
    assert view.address(b"x") is None
