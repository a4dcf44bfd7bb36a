"""The node's parts without sockets: settings in two forms, the table group, the configuration, the fleet."""

from __future__ import annotations

import json
from typing import Any

import pytest
from platform_world import SETTINGS, dispatcher_config, member
from test_benchlink import PARAMS

from saffronlane import interface as api
from saffronlane.platform.config import ConfigError, EndpointList, load_config, parse_config
from saffronlane.platform.discovery.endpoints import EndpointTable
from saffronlane.platform.sql_tables import table_group
from saffronlane.simulator import settings as params


def nested(lines: str) -> dict[str, Any]:
    """The nested form of path=value lines, as the platform writes it."""
    root: dict[str, Any] = {}
    for line in lines.splitlines():
        path, value = line.split("=", 1)
        *parents, name = path.split(".")
        at = root
        for parent in parents:
            at = at.setdefault(parent, {})
        at[name] = _typed(value)
    for name in ("services", "tenants"):
        if name in root:
            count = root[name].pop("count")
            root[name] = [root[name][str(n)] for n in range(count)]
    return root


def _typed(value: str) -> Any:
    if "," in value:
        return [_typed(part) for part in value.split(",")]
    if value in ("true", "false"):
        return value == "true"
    try:
        return json.loads(value)
    except ValueError:
        return value


def test_both_forms_of_the_settings_are_one() -> None:
    by_lines = params.read_settings(params.Params.from_lines(PARAMS))
    by_object = params.read_settings(params.Params.from_object(nested(PARAMS)))
    assert by_lines == by_object
    assert by_lines.classes[1].idempotency is api.Idempotency.KEYED


def test_each_key_of_the_nested_form_is_read_as_the_line_says_it() -> None:
    lines = params.Params.from_lines(PARAMS)._values
    flat = params.Params.from_object(nested(PARAMS))._values
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
def test_table_group(statement: str, group: float) -> None:
    assert table_group(statement.encode()) == group


def test_table_group_takes_linear_time() -> None:
    """Guards against statements made to be slow to look at: each would hold up all clients."""
    import time

    for odd in (b"'", b'"', b"/*", b"--", b"a.", b"*", b"a", b"''", b'""."'):
        began = time.process_time()
        table_group(odd * (200_000 // len(odd)))
        assert time.process_time() - began < 2.0, odd


def raw(**changes: Any) -> bytes:
    return json.dumps(dispatcher_config([], 9, **changes)).encode()


def test_a_configuration_is_read() -> None:
    config = parse_config(raw(peers=["10.0.0.1:1", "10.0.0.2:2"], peers_all="10.0.0.255:3"))
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
        (raw(listen=5), "/listen"),
        (raw(listen="nowhere"), "/listen"),
        (raw(feed="a:99999"), "/feed"),
        (raw(limits={"sockets": "many"}), "/limits/sockets"),
        (raw(limits={"sockets": 5}), "/limits/sockets"),
        (raw(peers=["a:1", "b"]), "/peers/1"),
        (raw(seed="xyz"), "/seed"),
        (
            raw(known={"n": 1, "events": [{"members": {"members": [{}]}}]}),
            "/known/events/0/members/members/0",
        ),
        (raw(settings={k: v for k, v in SETTINGS.items() if k != "kinds"}), "/settings/kinds"),
        (raw(settings=SETTINGS | {"services": [{"name": "x"}]}), "/settings/services/0/aim"),
        (raw(settings=SETTINGS | {"fleetSize": 0}), "/settings"),
    ],
)
def test_a_bad_configuration_is_one_line_with_its_place(data: bytes, pointer: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_config(data)
    assert str(caught.value).startswith(pointer + ":"), caught.value
    assert "\n" not in str(caught.value)


def test_a_file_that_is_not_there_is_an_error(tmp_path: Any) -> None:
    with pytest.raises(ConfigError, match="No such file"):
        load_config(tmp_path / "none.json")


def told(*members: dict[str, Any], complete: bool = False) -> EndpointList:
    import msgspec

    return msgspec.convert({"members": list(members), "revision": 3, "complete": complete}, EndpointList)


def fleet() -> EndpointTable:
    settings = params.read_settings(params.Params.from_object(SETTINGS))
    return EndpointTable(settings, lambda: 100.0, lambda: 1_000_000.0)


def test_removed_nodes_leave_nothing() -> None:
    one = fleet()
    one.apply(told(member("a", 1), member("b", 2), complete=True))
    update, gone = one.apply(told(member("a", 1, "removed")))
    assert gone == [b"a"] and one.address(b"a") is None and len(one) == 1
    assert update.mode is api.EndpointListMode.DELTA and update.entries[0].state is api.EngineState.REMOVED
    _, gone = one.apply(told(member("c", 1), complete=True))
    assert gone == [b"b"] and len(one) == 1


def test_a_new_node_at_a_known_address_is_a_new_node() -> None:
    one = fleet()
    one.apply(told(member("a", 1), complete=True))
    update, gone = one.apply(told(member("a", 1, "removed"), member("b", 1, up_since_ms=999_990_000.0)))
    assert gone == [b"a"] and one.address(b"b") == ("127.0.0.1", 1)
    assert update.entries[1].started_at == pytest.approx(90.0)


def test_a_start_is_converted_once() -> None:
    """Guards against a step of the wall clock, which would look like a restart of every node."""
    walls = iter([1_000_000.0, 2_000_000.0])
    settings = params.read_settings(params.Params.from_object(SETTINGS))
    one = EndpointTable(settings, lambda: 100.0, lambda: next(walls))
    first, _ = one.apply(told(member("a", 1, up_since_ms=999_990_000.0)))
    second, _ = one.apply(told(member("a", 1, "draining", up_since_ms=999_990_000.0)))
    assert first.entries[0].started_at == second.entries[0].started_at == pytest.approx(90.0)


def test_a_member_that_cannot_be_read_is_left_out_alone() -> None:
    one = fleet()
    odd = [member("a", 1, "asleep"), member("b", 1, flavor="none"), member("c", 0), member("d", 4)]
    update, _ = one.apply(told(*odd))
    assert [entry.engine for entry in update.entries] == [b"d"]
