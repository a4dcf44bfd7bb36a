"""Settings files and engine lists: all errors are reported with their positions, valid values are parsed."""

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
from saffronlane.members import EngineListView, FileSource

COMPLETE_SETTINGS: dict[str, Any] = {
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
ENGINE_LIST: dict[str, Any] = {
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


def parse_complete_settings() -> Config:
    return parse_config(COMPLETE_SETTINGS, "here", Path("/x"))


def test_every_setting_is_mapped_to_the_policy_settings() -> None:
    """Guards against an unmapped setting: every value in COMPLETE_SETTINGS differs from the default."""
    settings = parse_complete_settings().settings
    for part, default in (
        (settings, api.Settings(settings.classes, settings.machine_types)),
        (settings.classes[1], api.ClassSettings("", 0.0, 0.0)),
        (settings.guarantees, api.Guarantees()),
        (settings.limits, api.Limits()),
        (settings.tenants[0], api.TenantSettings("")),
        (settings.machine_types[0], api.MachineType("", 0.0)),
    ):
        for name in part.__dataclass_fields__:
            # The excluded fields are not configurable: the dispatcher steps without a minimum interval, and a
            # list in a file needs no subscription.
            if name not in ("classes", "machine_types", "min_step_interval", "subscribes_to_endpoints"):
                assert getattr(part, name) != getattr(default, name), name
    assert settings.classes[1].allowed_zones == (1,) and settings.classes[1].allowed_machine_types == (1,)
    assert parse_complete_settings().engine_file == Path("/x/engines.json")


def with_value_at(value: Any, pointer: str, new: Any) -> Any:
    value = json.loads(json.dumps(value))
    *parents, last_key = pointer.strip("/").split("/")
    node = value
    for part in parents:
        node = node[int(part)] if isinstance(node, list) else node.setdefault(part, {})
    node[int(last_key) if isinstance(node, list) else last_key] = new
    return value


@pytest.mark.parametrize(
    ("pointer", "new", "expected_pointer"),
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
def test_each_error_reports_its_json_pointer(pointer: str, new: Any, expected_pointer: str) -> None:
    with pytest.raises(ConfigError) as error_info:
        parse_config(with_value_at(COMPLETE_SETTINGS, pointer, new), "here", Path())
    assert expected_pointer in [p.pointer for p in error_info.value.problems]


def test_all_errors_are_reported_together() -> None:
    wrong = with_value_at(with_value_at(COMPLETE_SETTINGS, "/listen/port", -1), "/kinds/1/cores", "many")
    with pytest.raises(ConfigError) as error_info:
        parse_config(wrong, "here", Path())
    assert [p.pointer for p in error_info.value.problems] == ["/kinds/1/cores", "/listen/port"]


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        ("", "line 1, column 1"),
        ('{"a": 1,}', "line 1"),
        ('{"a": 1, "a": 2}', "duplicate key 'a'"),
        ('{"a": NaN}', "NaN"),
        ("[" * 100_000, "not JSON"),
        ("\xff\xfe", "not JSON"),
    ],
)
def test_invalid_json_is_rejected(text: str, expected_message: str) -> None:
    with pytest.raises(ConfigError, match=expected_message):
        read_json(text.encode("latin-1"), "here")


def test_config_check_reports_errors_in_settings_and_engine_list(tmp_path: Path) -> None:
    valid = write_config(tmp_path)
    assert CliRunner().invoke(main, ["config", "check", str(valid)]).exit_code == 0
    (tmp_path / "engines.json").write_text('{"engines": [{"id": "x"}]}')
    result = CliRunner().invoke(main, ["config", "check", str(valid)])
    assert result.exit_code == 2 and "/engines/0" in result.output
    (tmp_path / "engines.json").unlink()
    invalid = write_config(tmp_path, listen={"port": -1}, kinds=[])
    result = CliRunner().invoke(main, ["config", "check", str(invalid)])
    assert result.exit_code == 2
    assert "/listen/port" in result.output and "/kinds" in result.output
    result = CliRunner().invoke(main, ["serve", str(tmp_path / "missing.json")])
    assert result.exit_code == 2 and "cannot be read" in result.output


def test_schema_command_prints_the_schema_with_its_draft() -> None:
    result = CliRunner().invoke(main, ["config", "schema"])
    assert json.loads(result.output) == schema("gateway")
    assert schema("gateway")["$schema"] == "https://json-schema.org/draft/2020-12/schema"


def test_museum_example_is_valid() -> None:
    example = Path(__file__).parent.parent / "deploy" / "museum"
    config = load_config(example / "gateway.json")
    _, records = parse_engines(json.loads((example / "engines.json").read_text()), config, "here")
    assert len(records) >= 6


# --- the engine list ---


def test_engine_list_is_parsed_into_typed_records() -> None:
    version, (first, second) = parse_engines(ENGINE_LIST, parse_complete_settings(), "here")
    assert version == 3
    assert (first.host, first.port, first.kind, first.zone, first.cell) == ("127.0.0.1", 9, 1, 1, 2)
    assert (second.host, second.state) == ("::1", api.EngineState.DRAINING)


@pytest.mark.parametrize(
    ("pointer", "new", "expected_pointer"),
    [
        ("/engines/0/address", "nowhere", "/engines/0/address"),
        ("/engines/0/address", "x:0", "/engines/0/address"),
        ("/engines/1/id", "x", "/engines/1/id"),
        ("/engines/0/kind", "huge", "/engines/0/kind"),
        ("/engines/0/state", "asleep", "/engines/0/state"),
        ("/engines/0/started", -1, "/engines/0/started"),
    ],
)
def test_each_engine_list_error_reports_its_json_pointer(
    pointer: str, new: Any, expected_pointer: str
) -> None:
    with pytest.raises(ConfigError) as error_info:
        parse_engines(with_value_at(ENGINE_LIST, pointer, new), parse_complete_settings(), "here")
    assert expected_pointer in [p.pointer for p in error_info.value.problems]


def make_source(tmp_path: Path) -> tuple[FileSource, Path, list[tuple[int, int]]]:
    received_lists: list[tuple[int, int]] = []
    config = parse_config(COMPLETE_SETTINGS, "here", tmp_path)
    return (
        FileSource(config, lambda version, records: received_lists.append((version, len(records)))),
        tmp_path / "engines.json",
        received_lists,
    )


def test_unreadable_or_invalid_engine_list_is_ignored(tmp_path: Path) -> None:
    """While the file is missing, empty, truncated or invalid, the last valid list stays in use."""
    file_source, path, received_lists = make_source(tmp_path)
    assert not file_source.reload_if_changed()
    path.write_text(json.dumps(ENGINE_LIST))
    assert file_source.reload_if_changed() and not file_source.reload_if_changed()
    for text in ("", json.dumps(ENGINE_LIST)[:40], '{"engines": 3}', "\0"):
        path.write_text(text)
        assert not file_source.reload_if_changed()
    path.unlink()
    assert not file_source.reload_if_changed()
    path.write_text(json.dumps(ENGINE_LIST | {"version": 4, "engines": []}))
    assert file_source.reload_if_changed()
    assert received_lists == [(3, 2), (4, 0)]


def test_start_time_is_converted_once_so_that_a_clock_step_is_no_restart() -> None:
    clock, wall = [1000.0], [50_000.0]
    view = EngineListView(lambda: clock[0], lambda: wall[0])
    _, records = parse_engines(
        with_value_at(ENGINE_LIST, "/engines/0/started", 49_990.0), parse_complete_settings(), "here"
    )
    first_entry = view.replace(1, records).entries[0]
    assert first_entry.started_at == 990.0
    clock[0], wall[0] = 1001.0, 90_000.0
    assert view.replace(2, records).entries[0].started_at == 990.0
    _, restarted = parse_engines(
        with_value_at(ENGINE_LIST, "/engines/0/started", 89_999.0), parse_complete_settings(), "here"
    )
    assert view.replace(3, restarted).entries[0].started_at == 1000.0
    _, future = parse_engines(
        with_value_at(ENGINE_LIST, "/engines/0/started", 99_999.0), parse_complete_settings(), "here"
    )
    assert view.replace(4, future).entries[0].started_at == 1001.0


def test_replaced_list_does_not_change_an_earlier_snapshot() -> None:
    view = EngineListView(lambda: 0.0, lambda: 0.0)
    version, records = parse_engines(ENGINE_LIST, parse_complete_settings(), "here")
    view.replace(version, records)
    snapshot = view.snapshot
    view.replace(version + 1, ())
    assert set(snapshot) == {b"x", b"y"} and not list(view.snapshot)
    assert view.address(b"x") is None
