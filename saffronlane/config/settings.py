"""Parses the settings file of a gateway."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .. import interface as api
from .check import Problem, load_json, problems_of, schema
from .errors import ConfigError


@dataclass(frozen=True, slots=True)
class Matcher:
    """Assigns a query class, a tenant or both to the queries that meet all of its conditions.

    Attributes:
        user: The user whose queries match. None matches every user.
        statement_kind: The kind of statement that matches: "read" or "write". None matches both.
        tables: A statement matches if it names at least one of these tables. Empty matches every statement.
        pattern: A statement matches if this regular expression is found in its text. None matches every
            statement.
        class_index: The index of the assigned query class, or None to assign none.
        tenant_index: The index of the assigned tenant, or None to assign none.
    """

    user: str | None = None
    statement_kind: str | None = None
    tables: frozenset[str] = frozenset()
    pattern: re.Pattern[str] | None = None
    class_index: int | None = None
    tenant_index: int | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """All settings of one gateway process. Times are in seconds, sizes are in bytes.

    Attributes:
        settings: The settings of the dispatcher.
        host: The address on which clients are accepted.
        port: The port on which clients are accepted. 0 selects any free port.
        engine_file: The path of the engine list.
        engine_list_poll_interval: The interval between checks of the engine list for changes.
        seed: The seed of random decisions, or None for a random seed.
        workers: The number of gateway processes that share the port.
        drain_grace_period: The time that a shutdown leaves running requests to end.
        matchers: The rules that assign query classes and tenants, in order of precedence.
        dialect: The sqlglot name of the SQL dialect. Empty for sqlglot's default dialect.
        strict_sql: Whether to reject statements that cannot be parsed.
        max_cached_statements: The maximum number of parsed statements in the cache.
        session_idle_timeout: The time without a call after which a client session ends.
        max_sessions: The maximum number of client sessions.
        max_connections: The maximum number of client connections.
        max_streams: The maximum number of concurrent calls on a client connection.
        max_message_bytes: The maximum size of a message from a client.
        keepalive_after: The time without received data after which a client's connection is probed.
        max_pending_requests: The maximum number of requests without a final answer.
        max_polled_queries: The maximum number of polled queries, which clients start by PollFlightInfo.
        polled_result_ttl: The time for which the result of a polled query is kept after its last poll.
        connect_timeout: The timeout of a connection attempt to an engine.
        connections_per_engine: The maximum number of connections to one engine.
        cancel_ack_timeout: The time to wait for an engine to acknowledge a cancel.
        max_buffered_bytes: The size up to which a result is buffered. A larger result is streamed once its
            request is committed to the attempt. Also the limit of the buffer of each polled query.
        peer_listen: Host and port on which messages of peers are received. None disables gossip.
        peer_addresses: Host and port of each gateway, in the order of their positions.
        recording_path: The file that records the dispatcher's inputs and effects, or None for no recording.
        state_directory_path: The directory of the learned state. None if it is not persisted.
        max_state_bytes: The maximum disk space of the state directory.
        raw: The settings as parsed JSON.
    """

    settings: api.Settings
    host: str
    port: int
    engine_file: Path
    engine_list_poll_interval: float = 0.1
    seed: int | None = None
    workers: int = 1
    drain_grace_period: float = 10.0
    matchers: tuple[Matcher, ...] = ()
    dialect: str = ""
    strict_sql: bool = True
    max_cached_statements: int = 4096
    session_idle_timeout: float = 1800.0
    max_sessions: int = 10_000
    max_connections: int = 1000
    max_streams: int = 1000
    max_message_bytes: int = 67_108_864
    keepalive_after: float = 20.0
    max_pending_requests: int = 20_000
    max_polled_queries: int = 1000
    polled_result_ttl: float = 60.0
    connect_timeout: float = 1.0
    connections_per_engine: int = 4
    cancel_ack_timeout: float = 1.0
    max_buffered_bytes: int = 262_144
    peer_listen: tuple[str, int] | None = None
    peer_addresses: tuple[tuple[str, int], ...] = ()
    recording_path: Path | None = None
    state_directory_path: Path | None = None
    max_state_bytes: int = 268_435_456
    raw: dict[str, Any] = field(default_factory=dict)


def schema_text() -> str:
    """Return the JSON Schema of the settings file as text."""
    return json.dumps(schema("gateway"), indent=2)


def load_config(path: Path) -> Config:
    """Load a settings file. Relative paths in it are resolved against its directory.

    Raises:
        ConfigError: The file cannot be read or is invalid. The exception contains all errors that were found.
    """
    return parse_config(load_json(path), str(path), path.parent)


def parse_config(value: Any, source: str, base: Path) -> Config:
    """Validate and convert a settings document.

    Args:
        value: The parsed JSON document.
        source: The name of the document in error messages.
        base: The directory against which relative paths are resolved.

    Raises:
        ConfigError: The document is invalid.
    """
    problems = problems_of(value, "gateway")
    if problems:
        raise ConfigError(source, problems)
    problems = _ReferenceChecker(value).check()
    if problems:
        raise ConfigError(source, problems)
    try:
        settings = _settings(value)
    except ValueError as error:
        raise ConfigError(source, [Problem("", str(error))]) from None
    engines, gateway = value["engines"], value.get("gateway", {})
    sql, sessions = value.get("sql", {}), value.get("sessions", {})
    front, connections = value.get("front", {}), value.get("connections", {})
    peers, state_directory = value.get("peers"), value.get("knowledge")
    return Config(
        settings=settings,
        host=value["listen"].get("host", "127.0.0.1"),
        port=value["listen"]["port"],
        engine_file=base / engines["file"],
        engine_list_poll_interval=engines.get("poll_s", 0.1),
        seed=gateway.get("seed"),
        workers=gateway.get("workers", 1),
        drain_grace_period=gateway.get("grace_s", 10.0),
        matchers=tuple(_matcher(matcher, settings) for matcher in value.get("matchers", [])),
        dialect=sql.get("dialect", ""),
        strict_sql=sql.get("strict", True),
        max_cached_statements=sql.get("cache", 4096),
        session_idle_timeout=sessions.get("idle_s", 1800.0),
        max_sessions=sessions.get("most", 10_000),
        max_connections=front.get("max_connections", 1000),
        max_streams=front.get("max_streams", 1000),
        max_message_bytes=front.get("max_message_bytes", 67_108_864),
        keepalive_after=front.get("keepalive_s", 20.0),
        max_pending_requests=front.get("max_requests", 20_000),
        max_polled_queries=front.get("polls", 1000),
        polled_result_ttl=front.get("poll_keep_s", 60.0),
        connect_timeout=connections.get("connect_timeout_s", 1.0),
        connections_per_engine=connections.get("per_engine", 4),
        cancel_ack_timeout=connections.get("cancel_wait_s", 1.0),
        max_buffered_bytes=connections.get("hold_back_bytes", 262_144),
        peer_listen=parse_address(peers["listen"]) if peers else None,
        peer_addresses=tuple(parse_address(address) for address in peers["addresses"]) if peers else (),
        recording_path=base / value["record"] if "record" in value else None,
        state_directory_path=base / state_directory["folder"] if state_directory is not None else None,
        max_state_bytes=int((state_directory or {}).get("most_mb", 256) * 1_048_576),
        raw=value,
    )


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of an address, without the brackets of an IPv6 address."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class _ReferenceChecker:
    """Checks the rules that the schema cannot express: references to names, and dependent values.

    Args:
        value: A settings document that conforms to the schema.

    Attributes:
        problems: The errors found so far.
    """

    def __init__(self, value: dict[str, Any]) -> None:
        self.value = value
        self.problems: list[Problem] = []
        self.zones: list[str] = value.get("zones", [])

    def check(self) -> list[Problem]:
        """Return all errors."""
        value = self.value
        machine_types = self.check_distinct("kinds")
        classes = self.check_distinct("classes")
        tenants = self.check_distinct("tenants")
        gateway = value.get("gateway", {})
        self.check_known(gateway.get("zone"), self.zones, "/gateway/zone")
        count, workers = gateway.get("count", 1), gateway.get("workers", 1)
        if gateway.get("position", 0) + workers > count:
            text = (
                f"position {gateway.get('position', 0)} plus {workers} worker(s) exceeds the count of {count}"
            )
            self.problems.append(Problem("/gateway/position", text))
        for index, cls in enumerate(value["classes"]):
            self.check_class(cls, f"/classes/{index}", machine_types)
        for index, matcher in enumerate(value.get("matchers", [])):
            pointer = f"/matchers/{index}"
            self.check_known(matcher.get("class"), classes, pointer + "/class")
            self.check_known(matcher.get("tenant"), tenants, pointer + "/tenant")
            if "class" not in matcher and "tenant" not in matcher:
                self.problems.append(Problem(pointer, "a matcher must assign `class` or `tenant`"))
        slow_start = value.get("rules", {}).get("cold", {})
        if slow_start.get("fall_multiple") and not (
            slow_start.get("fall_window_s") and slow_start.get("warm_after_s")
        ):
            text = "fall_multiple needs fall_window_s and warm_after_s above 0"
            self.problems.append(Problem("/rules/cold", text))
        self.check_peers()
        return self.problems

    def check_class(self, cls: dict[str, Any], pointer: str, machine_types: list[str]) -> None:
        """Check a query class."""
        for name in cls.get("zones_only", []):
            self.check_known(name, self.zones, pointer + "/zones_only")
        for name in cls.get("kinds_only", []):
            self.check_known(name, machine_types, pointer + "/kinds_only")
        if cls.get("effect") == "keyed" and not cls.get("key_ttl_s"):
            text = "a keyed class needs key_ttl_s above 0; without it no query of the class may be repeated"
            self.problems.append(Problem(pointer, text))
        if cls["aim_s"] > cls["deadline_s"]:
            text = f"the latency objective of {cls['aim_s']} s exceeds the deadline of {cls['deadline_s']} s"
            self.problems.append(Problem(pointer + "/aim_s", text))

    def check_peers(self) -> None:
        """Check the addresses of peers."""
        peers = self.value.get("peers")
        if peers is None:
            if self.value.get("limits", {}).get("peers"):
                self.problems.append(
                    Problem("/limits/peers", "messages to peers are enabled, but `peers` has no addresses")
                )
            return
        addresses = [("/peers/listen", peers["listen"])]
        addresses += [
            (f"/peers/addresses/{index}", address) for index, address in enumerate(peers["addresses"])
        ]
        for pointer, text in addresses:
            host, _, port = text.rpartition(":")
            if not host or not port.isdigit() or int(port) > 65535:
                self.problems.append(Problem(pointer, f"{text!r} is not host:port"))

    def check_distinct(self, name: str) -> list[str]:
        """Check that the names in a list of the document are distinct, and return them."""
        names = [item["name"] for item in self.value.get(name, [])]
        for index, item_name in enumerate(names):
            if item_name in names[:index]:
                self.problems.append(Problem(f"/{name}/{index}/name", f"duplicate name {item_name!r}"))
        return names

    def check_known(self, name: str | None, names: list[str], pointer: str) -> None:
        """Check that a name is defined in the document. None, an omitted name, is accepted."""
        if name is not None and name not in names:
            expected = ", ".join(names) or "(none are set)"
            self.problems.append(Problem(pointer, f"unknown name {name!r}; expected one of: {expected}"))


def _indices(selected: list[str] | None, names: list[str]) -> tuple[int, ...] | None:
    return None if selected is None else tuple(names.index(name) for name in selected)


def _class_settings(raw: dict[str, Any], zones: list[str], machine_types: list[str]) -> api.ClassSettings:
    return api.ClassSettings(
        name=raw["name"],
        latency_objective=raw["aim_s"],
        deadline=raw["deadline_s"],
        priority_weight=raw.get("value", 1.0),
        late_priority_weight=raw.get("late_value", 0.0),
        latency_objective_per_work=raw.get("aim_stretch", 0.0),
        threads=raw.get("threads", 1),
        idempotency=api.Idempotency(raw.get("effect", "safe")),
        deduplication_scope=api.DeduplicationScope(raw.get("group", "all")),
        idempotency_ttl=raw.get("key_ttl_s", 0.0),
        is_ordered=raw.get("ordered", False),
        is_streaming=raw.get("stream", False),
        is_bulk_load=raw.get("is_load", False),
        waits_for_bulk_loads=raw.get("waits_for_loads", False),
        allowed_zones=_indices(raw.get("zones_only"), zones),
        allowed_machine_types=_indices(raw.get("kinds_only"), machine_types),
    )


def _settings(value: dict[str, Any]) -> api.Settings:
    zones = value.get("zones", [])
    machine_types = [machine_type["name"] for machine_type in value["kinds"]]
    gateway, rules = value.get("gateway", {}), value.get("rules", {})
    limits, signals, prices = value.get("limits", {}), value.get("signals", {}), value.get("prices", {})
    slow_start, retry_budget = rules.get("cold", {}), rules.get("budget")
    return api.Settings(
        classes=tuple(_class_settings(raw, zones, machine_types) for raw in value["classes"]),
        machine_types=tuple(
            api.MachineType(raw["name"], float(raw["cores"]), float(raw.get("memory_mb", 0.0)))
            for raw in value["kinds"]
        ),
        gateway_count=gateway.get("count", 1),
        gateway_index=gateway.get("position", 0),
        zone=zones.index(gateway["zone"]) if "zone" in gateway else 0,
        zones=tuple(zones),
        tenants=tuple(
            api.TenantSettings(raw["name"], raw.get("allowance_per_s", 0.0), raw.get("share", 0.0))
            for raw in value.get("tenants", [])
        ),
        guarantees=api.Guarantees(
            response_slack=rules.get("answer_slack_s", 0.02),
            drain_grace_period=rules.get("drain_grace_s", 0.0),
            slow_start_overload_factor=slow_start.get("fall_multiple", 0.0),
            slow_start_overload_window=slow_start.get("fall_window_s", 0.0),
            slow_start_initial_ratio=slow_start.get("share", 1.0),
            slow_start_duration=slow_start.get("warm_after_s", 0.0),
            ordering_cooldown=rules.get("order_settle_s", 0.0),
            retry_budget_base=retry_budget["free"] if retry_budget else None,
            retry_budget_ratio=retry_budget["ratio"] if retry_budget else 0.0,
            retry_budget_window=retry_budget["window_s"] if retry_budget else 0.0,
            subscribe_deadline=rules.get("ask_within_s", 0.0),
        ),
        limits=api.Limits(
            can_cancel=limits.get("cancel", True),
            hedged_requests_enabled=limits.get("second_copies", False),
            load_probes_enabled=limits.get("probing", False),
            load_probe_price=limits.get("probe_price", 0.0),
            gossip_enabled=limits.get("peers", False),
            sends_retry_after=limits.get("retry_after", True),
            max_attempts=limits.get("max_attempts", 3),
            max_retry_after=limits.get("max_retry_after_s", 5.0),
            connect_timeout=value.get("connections", {}).get("connect_timeout_s", 1.0),
            max_concurrent_streams=value.get("front", {}).get("max_streams", 1000),
        ),
        memory_grants_enabled=signals.get("grants_heeded", False),
        priorities_enabled=signals.get("priorities_heeded", False),
        max_memory_grant_ratio=signals.get("largest_grant_share", 1.0),
        memory_overcommit=api.MemoryOvercommit(signals.get("memory_short", "wait")),
        progress_interval=signals.get("note_period_s", 0.0),
        reports_work=signals.get("work_told", False),
        over_quota_weight=prices.get("over_share_worth", 1.0),
        report_columns=tuple(signals.get("report_columns", [])),
        cross_zone_price=prices.get("zone_crossing", 0.0),
    )


def _matcher(raw: dict[str, Any], settings: api.Settings) -> Matcher:
    class_names = [c.name for c in settings.classes]
    tenant_names = [t.name for t in settings.tenants]
    return Matcher(
        user=raw.get("user"),
        statement_kind=raw.get("kind"),
        tables=frozenset(raw.get("tables", [])),
        pattern=re.compile(raw["pattern"]) if "pattern" in raw else None,
        class_index=class_names.index(raw["class"]) if "class" in raw else None,
        tenant_index=tenant_names.index(raw["tenant"]) if "tenant" in raw else None,
    )
