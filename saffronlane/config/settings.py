"""The settings of a gateway, typed. `interface.Settings` is what the decisions see of them."""

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
    """What a query is if all that is set here holds for it."""

    user: str | None = None
    kind: str | None = None
    tables: frozenset[str] = frozenset()
    pattern: re.Pattern[str] | None = None
    cls: int | None = None
    tenant: int | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """All settings of one gateway process; seconds and bytes."""

    settings: api.Settings
    host: str
    port: int
    engine_file: Path
    poll: float = 0.1
    seed: int | None = None
    workers: int = 1
    grace: float = 10.0
    matchers: tuple[Matcher, ...] = ()
    dialect: str = ""
    strict_sql: bool = True
    sql_cache: int = 4096
    session_idle: float = 1800.0
    sessions_most: int = 10_000
    max_connections: int = 1000
    max_streams: int = 1000
    max_message: int = 67_108_864
    keepalive: float = 20.0
    most_owed: int = 20_000
    polls: int = 1000
    poll_keep: float = 60.0
    connect_timeout: float = 1.0
    per_engine: int = 4
    cancel_ack_timeout: float = 1.0
    max_buffered_bytes: int = 262_144
    peer_listen: tuple[str, int] | None = None
    peer_addresses: tuple[tuple[str, int], ...] = ()
    record: Path | None = None
    knowledge: Path | None = None
    knowledge_most: int = 268_435_456
    raw: dict[str, Any] = field(default_factory=dict)


def schema_text() -> str:
    return json.dumps(schema("gateway"), indent=2)


def load_config(path: Path) -> Config:
    """ConfigError has every problem of the file."""
    return parse_config(load_json(path), str(path), path.parent)


def parse_config(value: Any, source: str, base: Path) -> Config:
    """Check and type a document; relative paths are from `base`."""
    problems = problems_of(value, "gateway")
    if problems:
        raise ConfigError(source, problems)
    problems = _Names(value).check()
    if problems:
        raise ConfigError(source, problems)
    try:
        settings = _settings(value)
    except ValueError as error:
        raise ConfigError(source, [Problem("", str(error))]) from None
    engines, gateway = value["engines"], value.get("gateway", {})
    sql, sessions = value.get("sql", {}), value.get("sessions", {})
    front, links = value.get("front", {}), value.get("connections", {})
    peers, kept = value.get("peers"), value.get("knowledge")
    return Config(
        settings=settings,
        host=value["listen"].get("host", "127.0.0.1"),
        port=value["listen"]["port"],
        engine_file=base / engines["file"],
        poll=engines.get("poll_s", 0.1),
        seed=gateway.get("seed"),
        workers=gateway.get("workers", 1),
        grace=gateway.get("grace_s", 10.0),
        matchers=tuple(_matcher(m, settings) for m in value.get("matchers", [])),
        dialect=sql.get("dialect", ""),
        strict_sql=sql.get("strict", True),
        sql_cache=sql.get("cache", 4096),
        session_idle=sessions.get("idle_s", 1800.0),
        sessions_most=sessions.get("most", 10_000),
        max_connections=front.get("max_connections", 1000),
        max_streams=front.get("max_streams", 1000),
        max_message=front.get("max_message_bytes", 67_108_864),
        keepalive=front.get("keepalive_s", 20.0),
        most_owed=front.get("max_requests", 20_000),
        polls=front.get("polls", 1000),
        poll_keep=front.get("poll_keep_s", 60.0),
        connect_timeout=links.get("connect_timeout_s", 1.0),
        per_engine=links.get("per_engine", 4),
        cancel_ack_timeout=links.get("cancel_wait_s", 1.0),
        max_buffered_bytes=links.get("hold_back_bytes", 262_144),
        peer_listen=address_of(peers["listen"]) if peers else None,
        peer_addresses=tuple(address_of(a) for a in peers["addresses"]) if peers else (),
        record=base / value["record"] if "record" in value else None,
        knowledge=base / kept["folder"] if kept is not None else None,
        knowledge_most=int((kept or {}).get("most_mb", 256) * 1_048_576),
        raw=value,
    )


def address_of(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class _Names:
    """What no schema can say: names that must be known, and figures that must go together."""

    def __init__(self, value: dict[str, Any]) -> None:
        self.value = value
        self.problems: list[Problem] = []
        self.zones: list[str] = value.get("zones", [])

    def check(self) -> list[Problem]:
        value = self.value
        kinds = self.distinct("kinds")
        classes = self.distinct("classes")
        tenants = self.distinct("tenants")
        gateway = value.get("gateway", {})
        self.known(gateway.get("zone"), self.zones, "/gateway/zone")
        count, workers = gateway.get("count", 1), gateway.get("workers", 1)
        if gateway.get("position", 0) + workers > count:
            text = f"position {gateway.get('position', 0)} and {workers} worker(s) pass the count of {count}"
            self.problems.append(Problem("/gateway/position", text))
        for index, cls in enumerate(value["classes"]):
            self.check_class(cls, f"/classes/{index}", kinds)
        for index, matcher in enumerate(value.get("matchers", [])):
            at = f"/matchers/{index}"
            self.known(matcher.get("class"), classes, at + "/class")
            self.known(matcher.get("tenant"), tenants, at + "/tenant")
            if "class" not in matcher and "tenant" not in matcher:
                self.problems.append(Problem(at, "a matcher needs `class` or `tenant`, or it says nothing"))
        cold = value.get("rules", {}).get("cold", {})
        if cold.get("fall_multiple") and not (cold.get("fall_window_s") and cold.get("warm_after_s")):
            text = "fall_multiple needs fall_window_s and warm_after_s above 0"
            self.problems.append(Problem("/rules/cold", text))
        self.check_peers()
        return self.problems

    def check_class(self, cls: dict[str, Any], at: str, kinds: list[str]) -> None:
        for name in cls.get("zones_only", []):
            self.known(name, self.zones, at + "/zones_only")
        for name in cls.get("kinds_only", []):
            self.known(name, kinds, at + "/kinds_only")
        if cls.get("effect") == "keyed" and not cls.get("key_ttl_s"):
            text = "a keyed class needs key_ttl_s above 0, or no query of it may be repeated"
            self.problems.append(Problem(at, text))
        if cls["aim_s"] > cls["deadline_s"]:
            text = f"the wanted time of {cls['aim_s']} s lies past the deadline of {cls['deadline_s']} s"
            self.problems.append(Problem(at + "/aim_s", text))

    def check_peers(self) -> None:
        peers = self.value.get("peers")
        if peers is None:
            if self.value.get("limits", {}).get("peers"):
                self.problems.append(
                    Problem("/limits/peers", "peers may be told, but `peers` does not say where")
                )
            return
        places = [("/peers/listen", peers["listen"])]
        places += [(f"/peers/addresses/{i}", a) for i, a in enumerate(peers["addresses"])]
        for at, text in places:
            host, _, port = text.rpartition(":")
            if not host or not port.isdigit() or int(port) > 65535:
                self.problems.append(Problem(at, f"{text!r} is not host:port"))

    def distinct(self, name: str) -> list[str]:
        names = [item["name"] for item in self.value.get(name, [])]
        for index, one in enumerate(names):
            if one in names[:index]:
                self.problems.append(Problem(f"/{name}/{index}/name", f"{one!r} stands there twice"))
        return names

    def known(self, name: str | None, names: list[str], at: str) -> None:
        if name is not None and name not in names:
            listed = ", ".join(names) or "nothing (none are set)"
            self.problems.append(Problem(at, f"{name!r} is not known; expected one of: {listed}"))


def _indices(chosen: list[str] | None, names: list[str]) -> tuple[int, ...] | None:
    return None if chosen is None else tuple(names.index(name) for name in chosen)


def _class(raw: dict[str, Any], zones: list[str], kinds: list[str]) -> api.ClassSettings:
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
        allowed_machine_types=_indices(raw.get("kinds_only"), kinds),
    )


def _settings(value: dict[str, Any]) -> api.Settings:
    zones = value.get("zones", [])
    kinds = [kind["name"] for kind in value["kinds"]]
    gateway, rules = value.get("gateway", {}), value.get("rules", {})
    limits, signals, prices = value.get("limits", {}), value.get("signals", {}), value.get("prices", {})
    cold, budget = rules.get("cold", {}), rules.get("budget")
    return api.Settings(
        classes=tuple(_class(raw, zones, kinds) for raw in value["classes"]),
        machine_types=tuple(
            api.MachineType(k["name"], float(k["cores"]), float(k.get("memory_mb", 0.0)))
            for k in value["kinds"]
        ),
        gateway_count=gateway.get("count", 1),
        gateway_index=gateway.get("position", 0),
        zone=zones.index(gateway["zone"]) if "zone" in gateway else 0,
        zones=tuple(zones),
        tenants=tuple(
            api.TenantSettings(t["name"], t.get("allowance_per_s", 0.0), t.get("share", 0.0))
            for t in value.get("tenants", [])
        ),
        guarantees=api.Guarantees(
            response_slack=rules.get("answer_slack_s", 0.02),
            drain_grace_period=rules.get("drain_grace_s", 0.0),
            slow_start_overload_factor=cold.get("fall_multiple", 0.0),
            slow_start_overload_window=cold.get("fall_window_s", 0.0),
            slow_start_initial_ratio=cold.get("share", 1.0),
            slow_start_duration=cold.get("warm_after_s", 0.0),
            ordering_cooldown=rules.get("order_settle_s", 0.0),
            retry_budget_base=budget["free"] if budget else None,
            retry_budget_ratio=budget["ratio"] if budget else 0.0,
            retry_budget_window=budget["window_s"] if budget else 0.0,
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
    classes = [c.name for c in settings.classes]
    tenants = [t.name for t in settings.tenants]
    return Matcher(
        user=raw.get("user"),
        kind=raw.get("kind"),
        tables=frozenset(raw.get("tables", [])),
        pattern=re.compile(raw["pattern"]) if "pattern" in raw else None,
        cls=classes.index(raw["class"]) if "class" in raw else None,
        tenant=tenants.index(raw["tenant"]) if "tenant" in raw else None,
    )
