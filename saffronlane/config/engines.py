"""The list of engines, as a file has it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..interface import EngineState
from .check import Problem, problems_of
from .errors import ConfigError
from .settings import Config


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """One engine. `started` is wall time, seconds since 1970; 0: long ago."""

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
    """Version and engines. ConfigError has every problem, and then nothing of the list counts."""
    problems = problems_of(value, "engines")
    if problems:
        raise ConfigError(source, problems)
    kinds = [kind.name for kind in config.settings.machine_types]
    zones = list(config.settings.zones)
    records: list[EngineRecord] = []
    seen: dict[str, int] = {}
    for index, raw in enumerate(value["engines"]):
        at = f"/engines/{index}"
        host, _, port = raw["address"].rpartition(":")
        if not 0 < int(port) < 65536:
            problems.append(Problem(f"{at}/address", f"{port} is no port"))
        if raw["id"] in seen:
            problems.append(Problem(f"{at}/id", f"{raw['id']!r} is the id of engine {seen[raw['id']]} too"))
        seen.setdefault(raw["id"], index)
        kind = _index(raw.get("kind"), kinds, f"{at}/kind", problems)
        zone = _index(raw.get("zone"), zones, f"{at}/zone", problems)
        state = EngineState[raw.get("state", "ready").upper()]
        rest = {name: raw[name] for name in ("cell", "started", "weight") if name in raw}
        host = host.strip("[]")
        records.append(EngineRecord(raw["id"], host, int(port), state, kind, zone, **rest))
    if problems:
        raise ConfigError(source, problems)
    return value.get("version", 0), tuple(records)


def _index(name: str | None, names: list[str], at: str, problems: list[Problem]) -> int:
    if name is None:
        return 0
    if name not in names:
        problems.append(
            Problem(at, f"{name!r} is none of {', '.join(names) or 'the settings (there are none)'}")
        )
        return 0
    return names.index(name)
