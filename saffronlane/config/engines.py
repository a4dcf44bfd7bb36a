"""Parses the engine list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..interface import EngineState
from .check import Problem, problems_of
from .errors import ConfigError
from .settings import Config


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """One engine of the list.

    Attributes:
        id: The id of the engine, unique within the list.
        host: The host name or IP address.
        port: The port.
        state: The state that the list gives the engine.
        kind: The index of the machine type in the settings.
        zone: The index of the zone in the settings.
        cell: The number of the engine's cell, whose engines share one table of idempotency keys.
        started: The wall-clock time of the start in seconds since 1970, or 0 if it is unknown or long ago.
        weight: The relative share of the traffic that the engine should get.
    """

    id: str
    host: str
    port: int
    state: EngineState = EngineState.READY
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started: float = 0.0
    weight: float = 1.0


def parse_engines(value: Any, config: Config, source: str) -> tuple[int, tuple[EngineRecord, ...]]:
    """Return the version and the engines of a list.

    Args:
        value: The parsed JSON document.
        config: The configuration of the gateway, which defines the names of machine types and zones.
        source: The name of the list in error messages.

    Raises:
        ConfigError: The list is invalid. The exception contains all errors, and no part of the list is used.
    """
    problems = problems_of(value, "engines")
    if problems:
        raise ConfigError(source, problems)
    machine_types = [machine_type.name for machine_type in config.settings.machine_types]
    zones = list(config.settings.zones)
    records: list[EngineRecord] = []
    index_by_id: dict[str, int] = {}
    for index, entry in enumerate(value["engines"]):
        pointer = f"/engines/{index}"
        host, _, port = entry["address"].rpartition(":")
        if not 0 < int(port) < 65536:
            problems.append(Problem(f"{pointer}/address", f"{port} is not a port number"))
        if entry["id"] in index_by_id:
            problems.append(
                Problem(
                    f"{pointer}/id",
                    f"duplicate id {entry['id']!r}, also used by /engines/{index_by_id[entry['id']]}",
                )
            )
        index_by_id.setdefault(entry["id"], index)
        kind = _index(entry.get("kind"), machine_types, f"{pointer}/kind", problems)
        zone = _index(entry.get("zone"), zones, f"{pointer}/zone", problems)
        state = EngineState[entry.get("state", "ready").upper()]
        optional_fields = {name: entry[name] for name in ("cell", "started", "weight") if name in entry}
        host = host.strip("[]")
        records.append(EngineRecord(entry["id"], host, int(port), state, kind, zone, **optional_fields))
    if problems:
        raise ConfigError(source, problems)
    return value.get("version", 0), tuple(records)


def _index(name: str | None, names: list[str], pointer: str, problems: list[Problem]) -> int:
    """Return the index of a name, or 0 if there is no name. Adds a problem if the name is unknown."""
    if name is None:
        return 0
    if name not in names:
        problems.append(
            Problem(
                pointer, f"unknown name {name!r}; expected one of: {', '.join(names) or '(none are set)'}"
            )
        )
        return 0
    return names.index(name)
