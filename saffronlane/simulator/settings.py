"""The simulator's settings, as lines or as nested JSON, turned into `interface.Settings`.

The adapter of the simulator's wire and the platform node read the same names and units here. What is not
known is never looked at.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import TypeVar

from .. import interface as api
from ..errors import SaffronlaneError

EFFECTS = {
    "retryable": api.Idempotency.SAFE,
    "dedup": api.Idempotency.KEYED,
    "fragile": api.Idempotency.UNSAFE,
}

C = TypeVar("C", bound=Enum)


class SettingsError(SaffronlaneError):
    """A setting is missing or odd; `path` names it, with dots."""

    remedy = "Correct the setting that the text names."

    def __init__(self, path: str, text: str) -> None:
        super().__init__(text, place=path)
        self.path = path


class Params:
    """Values as text by their dotted paths."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    @classmethod
    def of_lines(cls, text: str) -> Params:
        """From path=value lines."""
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    @classmethod
    def of_object(cls, settings: Mapping[str, object]) -> Params:
        """From nested JSON."""
        return cls(dict(_flat("", settings)))

    def __contains__(self, path: str) -> bool:
        return path in self._values

    def text(self, path: str, default: str | None = None) -> str:
        value = self._values.get(path, default)
        if value is None:
            raise SettingsError(path, f"missing setting {path}")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        value = self.text(path, None if default is None else repr(default))
        try:
            return float(value)
        except ValueError:
            raise SettingsError(path, f"setting {path} is not a number: {value!r}") from None

    def flag(self, path: str) -> bool:
        return self.text(path, "false") == "true"

    def items(self, path: str, default: str | None = None) -> list[str]:
        value = self.text(path, default)
        return value.split(",") if value else []


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else "" if value is None else str(value)


def _flat(path: str, value: object) -> Iterator[tuple[str, str]]:
    """The lines that say the same; a list of objects has its count beside its items."""
    if isinstance(value, Mapping):
        for name, item in value.items():
            yield from _flat(f"{path}.{name}" if path else str(name), item)
    elif isinstance(value, list) and (not value or isinstance(value[0], Mapping)):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from _flat(f"{path}.{number}", item)
        if not value:
            yield path, ""
    elif isinstance(value, list):
        yield path, ",".join(map(_plain, value))
    else:
        yield path, _plain(value)


def _names_to_indices(params: Params, path: str, names: list[str]) -> tuple[int, ...] | None:
    if path not in params:
        return None
    chosen = params.items(path)
    return tuple(
        int(item) if item.isdigit() and item not in names else names.index(item)
        for item in chosen
        if item in names or item.isdigit()
    )


def _class_settings(params: Params, index: int, zones: list[str], kinds: list[str]) -> api.ClassSettings:
    def of_class(path: str, default: str) -> str:
        values = params.items(path, "")
        return values[index] if index < len(values) else default

    base = f"services.{index}."
    effect = params.text(base + "effect", "retryable")
    if effect not in EFFECTS:
        raise SettingsError(base + "effect", f"setting {base}effect is unknown: {effect!r}")
    group = params.text(base + "group", "all")
    if group not in {member.value for member in api.DeduplicationScope}:
        raise SettingsError(base + "group", f"setting {base}group is unknown: {group!r}")
    threads = of_class("extra.parallelism", "1")
    if not threads.isdigit():
        raise SettingsError(
            "extra.parallelism", f"setting extra.parallelism is not a list of numbers: {threads!r}"
        )
    return api.ClassSettings(
        name=params.text(base + "name"),
        latency_objective=params.number(base + "aim"),
        deadline=params.number(base + "deadline"),
        priority_weight=params.number(base + "value", 1.0),
        late_priority_weight=params.number(base + "lateValue", 0.0),
        latency_objective_per_work=params.number(base + "aimStretch", 0.0),
        threads=int(threads),
        idempotency=EFFECTS[effect],
        deduplication_scope=api.DeduplicationScope(group),
        idempotency_ttl=params.number(base + "keyTtl", 0.0),
        is_ordered=params.flag(base + "sequential"),
        is_streaming=params.flag(base + "stream"),
        is_bulk_load=of_class("extra.writesTables", "false") == "true",
        waits_for_bulk_loads=of_class("extra.yieldsToLoads", "false") == "true",
        allowed_zones=_names_to_indices(params, base + "zonesOpen", zones),
        allowed_machine_types=_names_to_indices(params, base + "kindsOnly", kinds),
    )


def _kind_settings(params: Params, kinds: list[str]) -> tuple[api.MachineType, ...]:
    cores = params.items("extra.kindCores")
    memory = params.items("extra.sizeMb", "")
    if len(cores) < len(kinds):
        raise SettingsError("extra.kindCores", "setting extra.kindCores has fewer values than kinds")
    try:
        return tuple(
            api.MachineType(name, float(cores[i]), float(memory[i]) if i < len(memory) else 0.0)
            for i, name in enumerate(kinds)
        )
    except ValueError as error:
        raise SettingsError("extra.kindCores", f"setting extra.kindCores or extra.sizeMb: {error}") from None


def _choice(params: Params, path: str, kind: type[C], default: C) -> C:
    value = params.text(path, default.value)
    try:
        return kind(value)
    except ValueError:
        raise SettingsError(path, f"setting {path} is unknown: {value!r}") from None


def _columns(params: Params) -> tuple[str, ...]:
    return tuple(params.items("report.columns", ""))


def read_settings(params: Params) -> api.Settings:
    """Turn values into Settings; SettingsError names what is missing or odd."""
    zones, kinds = params.items("zones", ""), params.items("kinds")
    has_budget = "guarantees.lookBack" in params
    return api.Settings(
        classes=tuple(
            _class_settings(params, i, zones, kinds) for i in range(int(params.number("services.count")))
        ),
        machine_types=_kind_settings(params, kinds),
        gateway_count=int(params.number("fleetSize")),
        gateway_index=int(params.number("position", 0)),
        zone=int(params.number("zone", 0)),
        zones=tuple(zones),
        tenants=tuple(
            api.TenantSettings(
                name=params.text(f"tenants.{i}.name"),
                rate_limit=params.number(f"tenants.{i}.allowancePerS", 0.0),
                quota=params.number(f"tenants.{i}.share", 0.0),
            )
            for i in range(int(params.number("tenants.count", 0)))
        ),
        guarantees=api.Guarantees(
            response_slack=params.number("guarantees.answerSlack", 0.0),
            drain_grace_period=params.number("guarantees.stopSendingWithin", 0.0),
            slow_start_overload_factor=params.number("guarantees.fallMultiple", 0.0),
            slow_start_overload_window=params.number("guarantees.fall", 0.0),
            slow_start_initial_ratio=params.number("guarantees.coldFrom", 1.0),
            slow_start_duration=params.number("guarantees.cold", 0.0),
            ordering_cooldown=params.number("guarantees.orderSettle", 0.0),
            retry_budget_base=params.number("guarantees.extraFree", 0.0) if has_budget else None,
            retry_budget_ratio=params.number("guarantees.repeatRatio", 0.0),
            retry_budget_window=params.number("guarantees.lookBack", 0.0),
            subscribe_deadline=params.number("guarantees.askWithin", 0.0),
        ),
        limits=api.Limits(
            can_cancel=params.flag("limits.cancel"),
            hedged_requests=params.flag("limits.secondCopies"),
            load_probes=params.flag("limits.probing"),
            load_probe_price=params.number("prices.probe", 0.0),
            gossip=params.flag("limits.peers"),
            sends_retry_after=params.flag("limits.retryAfter"),
            max_attempts=int(params.number("limits.sendCap", 1)),
            max_retry_after=params.number("limits.maxRetryAfter", 0.0),
            connect_timeout=params.number("limits.connectTimeout", 0.0),
            max_concurrent_streams=int(params.number("limits.maxStreams", 0)),
        ),
        memory_grants_enabled=params.flag("extra.grantsCount"),
        priorities_enabled=params.flag("extra.ranksHeeded"),
        max_memory_grant_ratio=params.number("extra.largestShare", 1.0),
        memory_overcommit=_choice(
            params, "extra.memoryShort", api.MemoryOvercommit, api.MemoryOvercommit.WAIT
        ),
        progress_interval=params.number("extra.notePeriod", 0.0),
        reports_work=params.flag("extra.costInAnswers"),
        over_quota_weight=params.number("overShareWorth", 1.0),
        subscribes_to_endpoints=params.text("membershipMode", "push") == "ask",
        report_columns=() if params.text("report.via", "none") == "none" else _columns(params),
        cross_zone_price=params.number("prices.crossZone", 0.0),
        min_step_interval=params.number("tick", 0.0),
    )
