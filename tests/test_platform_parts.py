"""The platform's parts without sockets: settings, table groups, the configuration, the endpoint table."""

from __future__ import annotations

import json
import re
from random import Random
from typing import Any

import pytest
from platform_world import SETTINGS, dispatcher_config, member
from test_benchlink import SETTINGS_LINES

from saffronlane import interface as api
from saffronlane.platform.config import ConfigError, EndpointList, load_config, parse_config
from saffronlane.platform.discovery.endpoints import EndpointTable
from saffronlane.platform.sql_tables import TableGroupSearch, table_group
from saffronlane.simulator import settings as simulator_settings


def nested_settings(lines: str) -> dict[str, Any]:
    """Convert the simulator's `path=value` settings to the nested form that the platform uses."""
    root: dict[str, Any] = {}
    for line in lines.splitlines():
        path, value = line.split("=", 1)
        *parents, name = path.split(".")
        mapping = root
        for parent in parents:
            mapping = mapping.setdefault(parent, {})
        mapping[name] = _parse_value(value)
    for name in ("services", "tenants"):
        if name in root:
            count = root[name].pop("count")
            root[name] = [root[name][str(n)] for n in range(count)]
    return root


def _parse_value(value: str) -> Any:
    if "," in value:
        return [_parse_value(part) for part in value.split(",")]
    if value in ("true", "false"):
        return value == "true"
    try:
        return json.loads(value)
    except ValueError:
        return value


def test_both_forms_of_the_settings_give_equal_settings() -> None:
    settings_from_lines = simulator_settings.read_settings(
        simulator_settings.Params.from_lines(SETTINGS_LINES)
    )
    settings_from_object = simulator_settings.read_settings(
        simulator_settings.Params.from_object(nested_settings(SETTINGS_LINES))
    )
    assert settings_from_lines == settings_from_object
    assert settings_from_lines.classes[1].idempotency is api.Idempotency.KEYED


def test_each_nested_key_has_the_value_of_its_line() -> None:
    lines = simulator_settings.Params.from_lines(SETTINGS_LINES)._values
    flat = simulator_settings.Params.from_object(nested_settings(SETTINGS_LINES))._values
    for path, value in lines.items():
        try:
            assert float(flat[path]) == float(value), path
        except ValueError:
            assert flat[path] == value, path


@pytest.mark.parametrize(
    ("statement", "group"),
    [
        ("SELECT * FROM sales_17.orders", 17),
        ("select a.id, 'from lake_0.decoy' as note\n from lake_3.events a where a.tag = 'x'", 3),
        ("SELECT id, n -- was: from mart_1.old\nFROM sales_5.stock WHERE tag = 'x' LIMIT 500", 5),
        ("WITH w AS (SELECT * FROM mart_5.orders) SELECT id FROM w GROUP BY id", 5),
        ("INSERT INTO mart_7.orders SELECT * FROM staging.batch WHERE tag = 'x'", 7),
        ("INSERT INTO mart_7.orders SELECT * FROM staging_4.batch", 7),
        ("SELECT * FROM staging_4.batch JOIN lake_2.t USING (id)", 2),
        ("SELECT t_9.id FROM sales_4.t AS t_9", 4),
        ("/* from a_1.b */ SELECT * FROM /* c_2.d */ sales_8.x", 8),
        ("/* * from a_1.b ** */ SELECT * FROM sales_8.x", 8),
        ('SELECT "from a_1.b" FROM "sales_6"."orders"', 6),
        ('SELECT 1 FROM "odd ""name""_3".orders', 3),
        ("SELECT 'it''s from a_1.b' FROM sales_2.t", 2),
        ("SELECT 1 FROM a JOIN b ON a.x = b.x, ops_12.lines", 12),
        ("SELECT 1 FROM warehouse.sales_9.orders", 9),
        ("SELECT 1 FROM sales_3 . orders", 3),
        ("UPDATE ops_11.lines SET n = 1", 11),
        ("UPDATE ONLY ops_11.lines SET n = 1", 11),
        ("MERGE INTO ops_2.lines USING staging.batch ON true", 2),
        ("SELECT 1", 0),
        ("SELECT 1 FROM orders_5", 0),
        ("SELECT 'an end that never comes from a_1.b", 0),
        ("SELECT 1 /* from a_1.b", 0),
        ("SELECT 1.5 FROM sales_0.x", 0),
        ("", 0),
    ],
)
def test_the_table_group_of_a_statement(statement: str, group: float) -> None:
    assert table_group(statement.encode()) == group


def test_the_table_group_is_found_in_linear_time() -> None:
    """Guards against statements that are crafted to be slow to parse and would delay all clients."""
    import time

    for pattern in (b"'", b'"', b"/*", b"--", b"a.", b"*", b"a", b"''", b'""."'):
        started_at = time.process_time()
        table_group(pattern * (200_000 // len(pattern)))
        assert time.process_time() - started_at < 2.0, pattern


def config_json(**changes: Any) -> bytes:
    return json.dumps(dispatcher_config([], 9, **changes)).encode()


def test_a_valid_configuration_is_parsed() -> None:
    config = parse_config(config_json(peers=["10.0.0.1:1", "10.0.0.2:2"], peers_all="10.0.0.255:3"))
    assert (
        config.last_sequence == 1
        and config.peers[1] == ("10.0.0.2", 2)
        and config.broadcast_address == ("10.0.0.255", 3)
    )
    assert (
        config.engine_idle_timeout == 30.0
        and config.settings.classes[2].idempotency is api.Idempotency.UNSAFE
    )


@pytest.mark.parametrize(
    ("data", "pointer"),
    [
        (b"{", "/"),
        (b"\xff", "/"),
        (config_json(listen=5), "/listen"),
        (config_json(listen="nowhere"), "/listen"),
        (config_json(feed="a:99999"), "/feed"),
        (config_json(limits={"sockets": "many"}), "/limits/sockets"),
        (config_json(limits={"sockets": 5}), "/limits/sockets"),
        (config_json(peers=["a:1", "b"]), "/peers/1"),
        (config_json(seed="xyz"), "/seed"),
        (
            config_json(known={"n": 1, "events": [{"members": {"members": [{}]}}]}),
            "/known/events/0/members/members/0",
        ),
        (config_json(settings={k: v for k, v in SETTINGS.items() if k != "kinds"}), "/settings/kinds"),
        (config_json(settings=SETTINGS | {"services": [{"name": "x"}]}), "/settings/services/0/aim"),
        (config_json(settings=SETTINGS | {"fleetSize": 0}), "/settings"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line_with_its_pointer(data: bytes, pointer: str) -> None:
    with pytest.raises(ConfigError) as raised:
        parse_config(data)
    assert str(raised.value).startswith(pointer + ":"), raised.value
    assert "\n" not in str(raised.value)


def test_a_missing_configuration_file_is_an_error(tmp_path: Any) -> None:
    with pytest.raises(ConfigError, match="No such file"):
        load_config(tmp_path / "none.json")


def endpoint_list(*members: dict[str, Any], complete: bool = False) -> EndpointList:
    import msgspec

    return msgspec.convert({"members": list(members), "revision": 3, "complete": complete}, EndpointList)


def endpoint_table() -> EndpointTable:
    settings = simulator_settings.read_settings(simulator_settings.Params.from_object(SETTINGS))
    return EndpointTable(settings, lambda: 100.0, lambda: 1_000_000.0)


def test_removed_engines_leave_no_entry() -> None:
    table = endpoint_table()
    table.apply(endpoint_list(member("a", 1), member("b", 2), complete=True))
    update, removed = table.apply(endpoint_list(member("a", 1, "removed")))
    assert removed == [b"a"] and table.address(b"a") is None and len(table) == 1
    assert update.mode is api.EndpointListMode.DELTA and update.entries[0].state is api.EngineState.REMOVED
    _, removed = table.apply(endpoint_list(member("c", 1), complete=True))
    assert removed == [b"b"] and len(table) == 1


def test_a_new_engine_at_a_known_address_has_its_own_entry() -> None:
    table = endpoint_table()
    table.apply(endpoint_list(member("a", 1), complete=True))
    update, removed = table.apply(
        endpoint_list(member("a", 1, "removed"), member("b", 1, up_since_ms=999_990_000.0))
    )
    assert removed == [b"a"] and table.address(b"b") == ("127.0.0.1", 1)
    assert update.entries[1].started_at == pytest.approx(90.0)


def test_a_start_time_is_converted_to_monotonic_time_once() -> None:
    """Guards against a step of the wall clock, which would look like a restart of every engine."""
    wall_times = iter([1_000_000.0, 2_000_000.0])
    settings = simulator_settings.read_settings(simulator_settings.Params.from_object(SETTINGS))
    table = EndpointTable(settings, lambda: 100.0, lambda: next(wall_times))
    first, _ = table.apply(endpoint_list(member("a", 1, up_since_ms=999_990_000.0)))
    second, _ = table.apply(endpoint_list(member("a", 1, "draining", up_since_ms=999_990_000.0)))
    assert first.entries[0].started_at == second.entries[0].started_at == pytest.approx(90.0)


def test_only_invalid_members_are_ignored() -> None:
    table = endpoint_table()
    members = [member("a", 1, "asleep"), member("b", 1, flavor="none"), member("c", 0), member("d", 4)]
    update, _ = table.apply(endpoint_list(*members))
    assert [entry.engine for entry in update.entries] == [b"d"]


class PlainTableGroup:
    """The search for the table group in its plain form, on text and in one pass, as a reference."""

    NAME = r'(?:"(?:[^"]|"")*+"|[A-Za-z_][\w$]*+)'
    TOKEN = re.compile(
        r"(?P<skip>'(?:[^']|'')*+(?:'|\Z)|--[^\n]*+|/\*(?:[^*]|\*(?!/))*+(?:\*/|\Z))"
        rf"|(?P<path>{NAME}(?:\s*+\.\s*+{NAME})++)"
        r"|(?P<word>\"(?:[^\"]|\"\")*+(?:\"|\Z)|[A-Za-z_][\w$]*+)"
        r"|(?P<other>[^\s])"
    )
    KEYWORDS = ("from", "join", "into", "update", "table", "using")
    MODIFIERS = ("only", "lateral", "overwrite")

    @classmethod
    def find(cls, statement: bytes) -> float:
        fallback_group: float | None = None
        expects_table = False
        for token in cls.TOKEN.finditer(statement.decode("latin-1")):
            kind = token.lastgroup
            if kind == "skip":
                continue
            if kind == "path":
                group = cls.schema_group(token.group())
                if group is not None and expects_table:
                    return group
                if group is not None and fallback_group is None:
                    fallback_group = group
            if kind == "word":
                word = token.group().lower()
                expects_table = word in cls.KEYWORDS or (expects_table and word in cls.MODIFIERS)
            else:
                expects_table = False
        return fallback_group or 0.0

    @classmethod
    def schema_group(cls, path: str) -> float | None:
        schema = re.findall(cls.NAME, path)[-2].strip('"')
        name, underscore, number = schema.rpartition("_")
        if not underscore or not name or name.lower() == "staging":
            return None
        return float(number[:12]) if number.isascii() and number.isdigit() else None


STATEMENT_PARTS = (
    *("select ", "from", " join ", "into ", "update ", "FROM\u00a0s_8.t", "only ", "table overwrite b_7.c"),
    *("sales_17.orders", "s_3.t", "staging.x", "staging_4.x", "a.b", '"q_5"."t"', "x\u00a0.\u0085y_3.z"),
    *("é_4.t", "'text'", "'", '"', "--c\n", "/* x */", "/*", "*/", "**/", "''", " . ", "_9", ", ", "(", "$"),
    *("\n", "x_²3.t"),
)


@pytest.mark.parametrize("seed", range(20))
def test_table_group_of_a_drawn_statement_is_that_of_the_plain_form_also_in_parts(seed: int) -> None:
    random = Random(seed)
    for _ in range(300):
        text = "".join(random.choice(STATEMENT_PARTS) for _ in range(random.randrange(1, 12)))
        statement = text.encode(random.choice(("utf-8", "latin-1")))
        expected = PlainTableGroup.find(statement)
        assert table_group(statement) == expected, statement
        search = TableGroupSearch(statement)
        while not search.advance(random.randrange(1, 4)):
            pass
        assert search.group == expected, statement
