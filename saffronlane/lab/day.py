"""A scripted bad day through real sockets: engines here, gateways as processes, and clients that give up.

Everything that the engines and the clients see on their sockets is recorded; `audit` judges the record.
"""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from ..config import Config, parse_config
from ..config.check import Problem, load_json, problems_of
from ..config.errors import ConfigError
from .audit import Audit, Event, Report
from .clients import AdbcClient, Asker, Query
from .engine import EngineConfig, Keys, StandIn
from .model import EngineShape
from .up import GatewayProcess, write_list

SETTLE = 0.3  # seconds before the first query: the lists have been read
POLL = 0.05  # seconds between the gateways' looks at the list
GONE_AFTER = 1.0  # seconds from the listing of a drain to the engine's end


@dataclass(frozen=True, slots=True)
class Day:
    """A checked day."""

    raw: dict[str, Any]
    config: Config  # of a gateway, without its place

    @property
    def duration(self) -> float:
        return float(self.raw["duration_s"])


def load_day(path: Path) -> Day:
    """ConfigError has every problem of the file, those of the gateways' settings with their place too."""
    raw = load_json(path)
    problems = problems_of(raw, "day")
    if problems:
        raise ConfigError(str(path), problems)
    try:
        config = parse_config(gateway_settings(raw, 0), str(path), path.parent)
    except ConfigError as error:
        nested = [Problem("/gateway" + p.pointer, p.text) for p in error.problems]
        raise ConfigError(str(path), nested) from None
    classes = [c.name for c in config.settings.classes]
    ids = [engine_id for engine_id, _ in expand(raw["engines"])]
    for index, stream in enumerate(raw["arrivals"]):
        if stream["class"] not in classes:
            text = f"{stream['class']!r} is none of {', '.join(classes)}"
            problems.append(Problem(f"/arrivals/{index}/class", text))
    for index, fault in enumerate(raw.get("faults", [])):
        at = f"/faults/{index}"
        if fault["fault"] in ("kill", "stop"):
            if not 0 <= fault.get("gateway", -1) < raw.get("gateways", 1):
                problems.append(Problem(at, "kill and stop need `gateway`, counted from 0"))
        elif fault["fault"] != "list-broken" and fault.get("engine") not in (*ids, "*"):
            problems.append(Problem(at + "/engine", f"{fault.get('engine')!r} is none of {', '.join(ids)}"))
    if problems:
        raise ConfigError(str(path), problems)
    return Day(raw, config)


def gateway_settings(raw: dict[str, Any], position: int) -> dict[str, Any]:
    """The settings of one gateway of a day."""
    place = {"count": raw.get("gateways", 1), "position": position, "seed": raw.get("seed", 0) + position}
    zones = raw["gateway"].get("zones", [])
    if zones:
        place["zone"] = zones[position % len(zones)]
    place["grace_s"] = raw.get("grace_s", 2.0)
    kept = raw["gateway"].get("knowledge")
    if kept is not None:
        kept = kept | {"folder": f"{kept['folder']}-{position}"}
    return {
        "listen": {"port": 0},
        "engines": {"file": "engines.json", "poll_s": POLL},
        "gateway": place,
        **raw["gateway"],
        **({"knowledge": kept} if kept is not None else {}),
    }


def expand(engines: list[dict[str, Any]]) -> list[tuple[str, dict[str, Any]]]:
    """Each engine by its id."""
    found = []
    for one in engines:
        count = one.get("count", 1)
        names = [one["id"]] if count == 1 else [f"{one['id']}{n}" for n in range(count)]
        found += [(name, one) for name in names]
    return found


class Fleet:
    """The day's engines, and the list that tells of them."""

    def __init__(self, day: Day, folder: Path, record: Callable[[Event], None]) -> None:
        self._folder, self._record = folder, record
        self._loop = asyncio.get_running_loop()
        self._gateways = day.raw.get("gateways", 1)
        self._version = 0
        self._keys: Keys = {}  # what engines remember is shared, as the group `all` has it
        self.engines: dict[str, StandIn] = {}
        self.places: dict[str, dict[str, Any]] = {}
        self.states: dict[str, str] = {}
        for name, one in expand(day.raw["engines"]):
            shape = EngineShape(**{k: one[k] for k in EngineShape.__dataclass_fields__ if k in one})
            rest = {k: one[k] for k in ("key_ttl", "note_period") if k in one}
            config = EngineConfig(name, shape, seed=day.raw.get("seed", 0), **rest)
            self.engines[name] = StandIn(config, record, self._keys)
            kind = one.get("kind", day.config.settings.machine_types[0].name)
            zone = one.get("zone", (day.config.settings.zones or ("",))[0])
            self.places[name] = {"kind": kind, "zone": zone}
            self.states[name] = "ready"
            record({"at": self._loop.time(), "kind": "place", "engine": name, **self.places[name]})

    def start(self) -> None:
        for engine in self.engines.values():
            engine.start()
        self.publish()

    def publish(self) -> None:
        """Write the list; the gateways have read it one look later."""
        self._version += 1
        records = []
        for name, state in self.states.items():
            if state == "gone":
                continue
            engine, place = self.engines[name], self.places[name]
            entry = {"id": name, "address": engine.address, "state": state, "kind": place["kind"]}
            if place["zone"]:
                entry["zone"] = place["zone"]
            if engine.started_wall:
                entry["started"] = engine.started_wall
            records.append(entry)
        write_list(self._folder / "engines.json", records, self._version)
        now = self._loop.time()
        for gateway in range(self._gateways):
            for name, state in self.states.items():
                # Between a write and the next look nobody outside knows: the gateway has the benefit of it.
                told = now if state == "ready" else now + POLL
                event = {"at": told, "kind": "list", "gateway": str(gateway), "engine": name, "state": state}
                self._record(event | {"incarnation": self.engines[name].incarnation})

    def break_list(self) -> None:
        """Leave half a file behind, as a writer without care does."""
        (self._folder / "engines.json").write_text('{"version": 9999, "engines": [{"id": "hal')

    def back(self, name: str) -> None:
        """Start an engine again, cold."""
        engine = self.engines[name]
        if engine.up:
            engine.crash()
        engine.start(cold=True)
        shape = engine.config.shape
        self._record(
            {
                "at": self._loop.time(),
                "kind": "cold",
                "engine": name,
                "incarnation": engine.incarnation,
                "capacity": shape.cores * shape.speed,
                "share": shape.cold_share,
                "warm_after": shape.warm_after,
                "multiple": shape.fall_multiple,
                "window": shape.fall_window,
            }
        )
        self.states[name] = "ready"
        self.publish()

    def close(self) -> None:
        for engine in self.engines.values():
            if engine.up:
                engine.crash()


class Script:
    """Carries out the day's faults at their times."""

    def __init__(
        self, day: Day, fleet: Fleet, gateways: list[GatewayProcess], record: Callable[[Event], None]
    ):
        self._day, self._fleet, self._gateways, self._record = day, fleet, gateways, record
        self._busy = [asyncio.Lock() for _ in gateways]
        self._loop = asyncio.get_running_loop()

    async def run(self, start: float) -> None:
        """All faults; returns when the last one is over or for good."""
        await asyncio.gather(*(self._one(fault, start) for fault in self._day.raw.get("faults", [])))

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._loop.time()))

    async def _one(self, fault: dict[str, Any], start: float) -> None:
        at, kind = start + fault["at_s"], fault["fault"]
        end = at + fault["for_s"] if "for_s" in fault else None
        await self._until(at)
        if kind in ("kill", "stop"):
            async with self._busy[fault["gateway"]]:  # one that is still starting is not ended yet
                await self._gateway(kind, fault["gateway"], end)
        elif kind == "list-broken":
            self._fleet.break_list()
            if end is not None:
                await self._until(end)
                self._fleet.publish()
        else:
            names = list(self._fleet.engines) if fault["engine"] == "*" else [fault["engine"]]
            value = fault.get("value", 1.0)
            await asyncio.gather(*(self._engine(kind, name, value, end) for name in names))

    async def _engine(self, kind: str, name: str, value: Any, end: float | None) -> None:
        fleet, engine = self._fleet, self._fleet.engines[name]
        if kind == "drain":
            fleet.states[name] = "draining"
            fleet.publish()
            await asyncio.sleep(GONE_AFTER / 2)
            engine.drain()
            await asyncio.sleep(GONE_AFTER / 2)
            fleet.states[name] = "gone"
            fleet.publish()
            engine.crash()
        elif kind == "crash":
            engine.crash()
        else:
            self._switch(engine, kind, value, on=True)
        if end is None:
            return
        await self._until(end)
        if kind in ("drain", "crash"):
            fleet.back(name)
        else:
            self._switch(engine, kind, value, on=False)

    @staticmethod
    def _switch(engine: StandIn, kind: str, value: Any, on: bool) -> None:
        if kind == "hang":
            engine.hang(on)
        elif kind == "slow":
            engine.slow(float(value) if on else 1.0)
        elif kind == "half-open":
            engine.faults.half_open = on
        elif kind == "report":
            engine.faults.report = str(value) if on else "true"
        else:
            setattr(engine.faults, kind, float(value) if on else 0.0)

    async def _gateway(self, kind: str, position: int, end: float | None) -> None:
        gateway = self._gateways[position]
        if kind == "kill":
            self._record({"at": self._loop.time(), "kind": "killed", "gateway": str(position)})
            gateway.send(signal.SIGKILL)
        else:
            gateway.send(signal.SIGTERM)
        assert gateway.process is not None
        code = await gateway.process.wait()
        event = {"at": self._loop.time(), "kind": "ended", "gateway": str(position), "code": code}
        self._record(event)
        if kind == "stop":
            self._record(event | {"kind": "killed"})
        if end is not None:
            await self._until(end)
            await gateway.start()


def draw(day: Day) -> list[tuple[float, Query]]:
    """All queries of the day with their times, in order; the same for the same seed."""
    raw, settings = day.raw, day.config.settings
    random = np.random.default_rng(raw.get("seed", 0))
    found: list[tuple[float, Query]] = []
    for index, stream in enumerate(raw["arrivals"]):
        cls = next(c for c in settings.classes if c.name == stream["class"])
        at, to = stream.get("from_s", 0.0), min(day.duration, stream.get("to_s", day.duration))
        number = 0
        while (at := at + float(random.exponential(1.0 / stream["rate"]))) < to:
            sigma = stream.get("spread", 0.0)
            work = stream["work_s"] * float(random.lognormal(-sigma * sigma / 2.0, sigma))
            table = int(random.integers(stream.get("tables", 1)))
            order = f"k{random.integers(stream['keys'])}" if stream.get("keys") else ""
            hints = f"work={work:.5f} threads={cls.threads} memory={stream.get('memory_mb', 1.0)}"
            hints += f" rows={stream.get('rows', 2)} batches={stream.get('batches', 1)}"
            verb = "INSERT INTO {} VALUES (1)" if stream.get("update") else "SELECT * FROM {}"
            text = verb.format(f"t{index}_{table}") + f" /* lab {hints} */"
            query = Query(
                id=f"{index}.{number}",
                text=text,
                cls=cls.name,
                work=work,
                order=order,
                update=stream.get("update", False),
                timeout=stream.get("timeout_s", cls.deadline),
                cost=work if stream.get("tells_cost") else 0.0,
                driver=stream.get("driver", "grpc"),
                gateway=int(random.integers(raw.get("gateways", 1))),
                repeats=stream.get("repeats", 0),
            )
            found.append((at, query))
            number += 1
    return sorted(found, key=lambda pair: pair[0])


@dataclass(slots=True)
class Outcome:
    report: Report
    record: list[Event]
    exit_codes: list[int]
    took: float


async def play(day: Day, folder: Path, level: str = "warning") -> Outcome:
    """Play a day; the folder holds the gateways' settings and the list."""
    loop = asyncio.get_running_loop()
    record: list[Event] = []
    fleet = Fleet(day, folder, record.append)
    fleet.start()
    gateways = []
    for position in range(day.raw.get("gateways", 1)):
        path = folder / f"gateway-{position}.json"
        path.write_text(json.dumps(gateway_settings(day.raw, position)))
        gateways.append(GatewayProcess(path, "info"))
    began = time.monotonic()
    threads = ThreadPoolExecutor(16)
    try:
        await asyncio.gather(*(g.start() for g in gateways))
        askers = [Asker(str(n), g, record.append) for n, g in enumerate(gateways)]
        drivers = [AdbcClient(str(n), g, record.append, threads) for n, g in enumerate(gateways)]
        await asyncio.sleep(SETTLE)
        start = loop.time()
        script = asyncio.create_task(Script(day, fleet, gateways, record.append).run(start))
        asks: list[asyncio.Task[None]] = []
        for at, query in draw(day):
            await asyncio.sleep(max(0.0, start + at - loop.time()))
            who = drivers if query.driver == "adbc" else askers
            asks.append(asyncio.create_task(who[query.gateway].ask(query)))
        await asyncio.gather(*asks)
        await script
        codes = [await g.end() if g.process and g.process.returncode is None else 0 for g in gateways]
        for asker in askers:
            asker.close()
    finally:
        for gateway in gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.kill()
        fleet.close()
        threads.shutdown(wait=False, cancel_futures=True)
    record = [event | {"at": event["at"] - start} for event in record]
    for event in record:
        if "limit" in event:
            event["limit"] -= start
    report = Audit(record, day.config.settings, day.raw.get("lasting", False)).run()
    return Outcome(report, record, codes, time.monotonic() - began)


def run_day(day: Day, report_dir: Path | None = None) -> Outcome:
    """Play a day in a folder of its own; with `report_dir`, leave record and result there."""
    with tempfile.TemporaryDirectory(prefix="saffronlane-") as name:
        outcome = asyncio.run(play(day, Path(name)))
    if report_dir is not None:
        report_dir.mkdir(parents=True, exist_ok=True)
        lines = [json.dumps(event) for event in sorted(outcome.record, key=lambda e: e["at"])]
        (report_dir / "record.jsonl").write_text("\n".join(lines) + "\n")
        (report_dir / "report.json").write_text(json.dumps(summary(outcome), indent=2) + "\n")
    return outcome


def summary(outcome: Outcome) -> dict[str, Any]:
    rows = []
    for row in outcome.report.rows:
        latencies = sorted(row.latencies)
        told = {k: getattr(row, k) for k in row.__dataclass_fields__ if k != "latencies"}
        for name, part in (("p50_s", 0.5), ("p99_s", 0.99)):
            told[name] = round(latencies[int(part * (len(latencies) - 1))], 4) if latencies else None
        rows.append(told)
    return {"breaches": [str(b) for b in outcome.report.breaches], "classes": rows}


def table(outcome: Outcome) -> str:
    """What came of each class, for people."""
    columns = ("class", "asked", "in time", "late", "refused", "failed", "attempts", "p50 ms", "p99 ms")
    lines = ["".join(f"{c:>10}" for c in columns)]
    for row in summary(outcome)["classes"]:
        fifty, most = (f"{1000 * row[k]:.0f}" if row[k] is not None else "-" for k in ("p50_s", "p99_s"))
        values = [row["name"], row["asked"], row["in_time"], row["late"], row["refused"]]
        values += [row["failed"] + row["unanswered"], row["attempts"], fifty, most]
        lines.append("".join(f"{v!s:>10}" for v in values))
    return "\n".join(lines)
