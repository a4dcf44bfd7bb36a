"""Converts the simulator's settings into `interface.Settings`.

This module maps the names of the settings, for both the simulator's adapter and the platform.
Unknown settings are ignored.
"""

from __future__ import annotations

from enum import Enum
from typing import TypeVar

from .. import interface as api
from .params import Params, SettingsError

__all__ = ["Params", "SettingsError", "read_settings"]

IDEMPOTENCY_BY_EFFECT = {
    "retryable": api.Idempotency.SAFE,
    "dedup": api.Idempotency.KEYED,
    "fragile": api.Idempotency.UNSAFE,
}

EnumType = TypeVar("EnumType", bound=Enum)


def _names_to_indices(params: Params, path: str, names: list[str]) -> tuple[int, ...] | None:
    """Return the positions in `names` of the items of a list setting; None if the setting is missing.

    An item is a name or a position. Unknown names are ignored.
    """
    if path not in params:
        return None
    items = params.items(path)
    return tuple(
        int(item) if item.isdigit() and item not in names else names.index(item)
        for item in items
        if item in names or item.isdigit()
    )


def _class_settings(
    params: Params, index: int, zones: list[str], machine_types: list[str]
) -> api.ClassSettings:
    def value_of_class(path: str, default: str) -> str:
        values = params.items(path, "")
        return values[index] if index < len(values) else default

    prefix = f"services.{index}."
    effect = params.text(prefix + "effect", "retryable")
    if effect not in IDEMPOTENCY_BY_EFFECT:
        raise SettingsError(prefix + "effect", f"setting {prefix}effect has the unknown value {effect!r}")
    scope = params.text(prefix + "group", "all")
    if scope not in {member.value for member in api.DeduplicationScope}:
        raise SettingsError(prefix + "group", f"setting {prefix}group has the unknown value {scope!r}")
    threads = value_of_class("extra.parallelism", "1")
    if not threads.isdigit():
        raise SettingsError(
            "extra.parallelism", f"setting extra.parallelism: expected whole numbers, got {threads!r}"
        )
    return api.ClassSettings(
        name=params.text(prefix + "name"),
        latency_objective=params.number(prefix + "aim"),
        deadline=params.number(prefix + "deadline"),
        priority_weight=params.number(prefix + "value", 1.0),
        late_priority_weight=params.number(prefix + "lateValue", 0.0),
        latency_objective_per_work=params.number(prefix + "aimStretch", 0.0),
        threads=int(threads),
        idempotency=IDEMPOTENCY_BY_EFFECT[effect],
        deduplication_scope=api.DeduplicationScope(scope),
        idempotency_ttl=params.number(prefix + "keyTtl", 0.0),
        is_ordered=params.flag(prefix + "sequential"),
        is_streaming=params.flag(prefix + "stream"),
        is_bulk_load=value_of_class("extra.writesTables", "false") == "true",
        waits_for_bulk_loads=value_of_class("extra.yieldsToLoads", "false") == "true",
        allowed_zones=_names_to_indices(params, prefix + "zonesOpen", zones),
        allowed_machine_types=_names_to_indices(params, prefix + "kindsOnly", machine_types),
    )


def _machine_types(params: Params, machine_types: list[str]) -> tuple[api.MachineType, ...]:
    cores = params.items("extra.kindCores")
    memory = params.items("extra.sizeMb", "")
    if len(cores) < len(machine_types):
        raise SettingsError("extra.kindCores", "setting extra.kindCores has fewer values than setting kinds")
    try:
        return tuple(
            api.MachineType(name, float(cores[i]), float(memory[i]) if i < len(memory) else 0.0)
            for i, name in enumerate(machine_types)
        )
    except ValueError as error:
        raise SettingsError(
            "extra.kindCores", f"setting extra.kindCores or extra.sizeMb is invalid: {error}"
        ) from error


def _enum_member(params: Params, path: str, enum_type: type[EnumType], default: EnumType) -> EnumType:
    value = params.text(path, default.value)
    try:
        return enum_type(value)
    except ValueError as error:
        raise SettingsError(path, f"setting {path} has the unknown value {value!r}") from error


def _report_columns(params: Params) -> tuple[str, ...]:
    if params.text("report.via", "none") == "none":
        return ()
    return tuple(params.items("report.columns", ""))


def _tenants(params: Params) -> tuple[api.TenantSettings, ...]:
    return tuple(
        api.TenantSettings(
            name=params.text(f"tenants.{i}.name"),
            rate_limit=params.number(f"tenants.{i}.allowancePerS", 0.0),
            quota=params.number(f"tenants.{i}.share", 0.0),
        )
        for i in range(int(params.number("tenants.count", 0)))
    )


def _guarantees(params: Params) -> api.Guarantees:
    has_retry_budget = "guarantees.lookBack" in params
    return api.Guarantees(
        response_slack=params.number("guarantees.answerSlack", 0.0),
        drain_grace_period=params.number("guarantees.stopSendingWithin", 0.0),
        slow_start_overload_factor=params.number("guarantees.fallMultiple", 0.0),
        slow_start_overload_window=params.number("guarantees.fall", 0.0),
        slow_start_initial_ratio=params.number("guarantees.coldFrom", 1.0),
        slow_start_duration=params.number("guarantees.cold", 0.0),
        ordering_cooldown=params.number("guarantees.orderSettle", 0.0),
        retry_budget_base=params.number("guarantees.extraFree", 0.0) if has_retry_budget else None,
        retry_budget_ratio=params.number("guarantees.repeatRatio", 0.0),
        retry_budget_window=params.number("guarantees.lookBack", 0.0),
        subscribe_deadline=params.number("guarantees.askWithin", 0.0),
    )


def _limits(params: Params) -> api.Limits:
    return api.Limits(
        can_cancel=params.flag("limits.cancel"),
        hedged_requests_enabled=params.flag("limits.secondCopies"),
        load_probes_enabled=params.flag("limits.probing"),
        load_probe_price=params.number("prices.probe", 0.0),
        gossip_enabled=params.flag("limits.peers"),
        sends_retry_after=params.flag("limits.retryAfter"),
        max_attempts=int(params.number("limits.sendCap", 1)),
        max_retry_after=params.number("limits.maxRetryAfter", 0.0),
        connect_timeout=params.number("limits.connectTimeout", 0.0),
        max_concurrent_streams=int(params.number("limits.maxStreams", 0)),
    )


def read_settings(params: Params) -> api.Settings:
    """Convert the values into settings.

    Raises:
        SettingsError: A setting is missing or invalid. The error text names the setting.
    """
    zones = params.items("zones", "")
    machine_types = params.items("kinds")
    class_count = int(params.number("services.count"))
    return api.Settings(
        classes=tuple(_class_settings(params, index, zones, machine_types) for index in range(class_count)),
        machine_types=_machine_types(params, machine_types),
        gateway_count=int(params.number("fleetSize")),
        gateway_index=int(params.number("position", 0)),
        zone=int(params.number("zone", 0)),
        zones=tuple(zones),
        tenants=_tenants(params),
        guarantees=_guarantees(params),
        limits=_limits(params),
        memory_grants_enabled=params.flag("extra.grantsCount"),
        priorities_enabled=params.flag("extra.ranksHeeded"),
        max_memory_grant_ratio=params.number("extra.largestShare", 1.0),
        memory_overcommit=_enum_member(
            params, "extra.memoryShort", api.MemoryOvercommit, api.MemoryOvercommit.WAIT
        ),
        progress_interval=params.number("extra.notePeriod", 0.0),
        reports_work=params.flag("extra.costInAnswers"),
        over_quota_weight=params.number("overShareWorth", 1.0),
        subscribes_to_endpoints=params.text("membershipMode", "push") == "ask",
        report_columns=_report_columns(params),
        cross_zone_price=params.number("prices.crossZone", 0.0),
        min_step_interval=params.number("tick", 0.0),
    )
