"""Plays a scenario of load and faults (a "day") over real sockets.

The engines and the clients run in this process, and each gateway runs in a process of its own. All that
engines and clients observe on their sockets is recorded, and `audit` checks the record against the
guarantees of the gateways.
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
from .clients import AdbcClient, Query, QueryClient
from .engine import EngineConfig, KeyedResults, StandInEngine
from .model import EngineShape
from .up import GatewayProcess, write_list

STARTUP_DELAY = 0.3  # seconds before the first query, in which the gateways read the endpoint list
LIST_POLL_INTERVAL = 0.05  # seconds between two reads of the endpoint list by a gateway
DRAIN_DURATION = 1.0  # seconds from listing an engine as draining until it stops


@dataclass(frozen=True, slots=True)
class Day:
    """A validated scenario.

    Attributes:
        raw: The content of the scenario file.
        config: Configuration of gateway 0. The other gateways differ only in index, seed, zone and state
            directory.
    """

    raw: dict[str, Any]
    config: Config

    @property
    def duration(self) -> float:
        """Time in which queries arrive, in seconds."""
        return float(self.raw["duration_s"])


def load_day(path: Path) -> Day:
    """Load and validate a scenario file.

    Raises:
        ConfigError: The file is invalid. The error lists all problems, including those in the settings of the
            gateways, each with a JSON pointer into the file.
    """
    raw = load_json(path)
    problems = problems_of(raw, "day")
    if problems:
        raise ConfigError(str(path), problems)
    try:
        config = parse_config(gateway_settings(raw, 0), str(path), path.parent)
    except ConfigError as error:
        gateway_problems = [Problem("/gateway" + p.pointer, p.text) for p in error.problems]
        raise ConfigError(str(path), gateway_problems) from None
    classes = [c.name for c in config.settings.classes]
    ids = [engine_id for engine_id, _ in expand_engines(raw["engines"])]
    for index, stream in enumerate(raw["arrivals"]):
        if stream["class"] not in classes:
            text = f"unknown class {stream['class']!r}; expected one of {', '.join(classes)}"
            problems.append(Problem(f"/arrivals/{index}/class", text))
    for index, fault in enumerate(raw.get("faults", [])):
        pointer = f"/faults/{index}"
        if fault["fault"] in ("kill", "stop"):
            if not 0 <= fault.get("gateway", -1) < raw.get("gateways", 1):
                problems.append(
                    Problem(pointer, "kill and stop need `gateway`, the index of a gateway (from 0)")
                )
        elif fault["fault"] != "list-broken" and fault.get("engine") not in (*ids, "*"):
            problems.append(
                Problem(
                    pointer + "/engine",
                    f"unknown engine {fault.get('engine')!r}; expected one of {', '.join(ids)}",
                )
            )
    if problems:
        raise ConfigError(str(path), problems)
    return Day(raw, config)


def gateway_settings(raw: dict[str, Any], position: int) -> dict[str, Any]:
    """Build the settings of one gateway.

    Args:
        raw: The content of the scenario file.
        position: Index of the gateway.
    """
    gateway = {"count": raw.get("gateways", 1), "position": position, "seed": raw.get("seed", 0) + position}
    zones = raw["gateway"].get("zones", [])
    if zones:
        gateway["zone"] = zones[position % len(zones)]
    gateway["grace_s"] = raw.get("grace_s", 2.0)
    knowledge = raw["gateway"].get("knowledge")
    if knowledge is not None:
        knowledge = knowledge | {"folder": f"{knowledge['folder']}-{position}"}
    return {
        "listen": {"port": 0},
        "engines": {"file": "engines.json", "poll_s": LIST_POLL_INTERVAL},
        "gateway": gateway,
        **raw["gateway"],
        **({"knowledge": knowledge} if knowledge is not None else {}),
    }


def expand_engines(engines: list[dict[str, Any]]) -> list[tuple[str, dict[str, Any]]]:
    """Return the id and the entry of each engine. An entry with a `count` describes several engines."""
    expanded = []
    for entry in engines:
        count = entry.get("count", 1)
        names = [entry["id"]] if count == 1 else [f"{entry['id']}{n}" for n in range(count)]
        expanded += [(name, entry) for name in names]
    return expanded


class Fleet:
    """The engines of a scenario, and the endpoint list that announces them to the gateways.

    Args:
        day: The scenario.
        folder: Directory of the endpoint list file.
        record_event: Called with every event of the engines and the endpoint list.

    Attributes:
        engines: The engines by id.
        placements: Machine type (`kind`) and zone of each engine.
        states: State of each engine: `ready`, `draining` or `gone`. The endpoint list omits engines that are
            `gone`.
    """

    def __init__(self, day: Day, folder: Path, record_event: Callable[[Event], None]) -> None:
        self._folder, self._record_event = folder, record_event
        self._loop = asyncio.get_running_loop()
        self._gateway_count = day.raw.get("gateways", 1)
        self._version = 0
        self._keyed_results: KeyedResults = {}  # All engines share the idempotency keys that they remember.
        self.engines: dict[str, StandInEngine] = {}
        self.placements: dict[str, dict[str, Any]] = {}
        self.states: dict[str, str] = {}
        for name, entry in expand_engines(day.raw["engines"]):
            shape = EngineShape(**{k: entry[k] for k in EngineShape.__dataclass_fields__ if k in entry})
            config_values = {k: entry[k] for k in ("key_ttl", "note_period") if k in entry}
            config = EngineConfig(name, shape, seed=day.raw.get("seed", 0), **config_values)
            self.engines[name] = StandInEngine(config, record_event, self._keyed_results)
            machine_type = entry.get("kind", day.config.settings.machine_types[0].name)
            zone = entry.get("zone", (day.config.settings.zones or ("",))[0])
            self.placements[name] = {"kind": machine_type, "zone": zone}
            self.states[name] = "ready"
            record_event({"at": self._loop.time(), "kind": "place", "engine": name, **self.placements[name]})

    def start(self) -> None:
        """Start all engines, and write the endpoint list."""
        for engine in self.engines.values():
            engine.start()
        self.publish()

    def publish(self) -> None:
        """Write the endpoint list, and record its content as events for each gateway."""
        self._version += 1
        records = []
        for name, state in self.states.items():
            if state == "gone":
                continue
            engine, placement = self.engines[name], self.placements[name]
            entry = {"id": name, "address": engine.address, "state": state, "kind": placement["kind"]}
            if placement["zone"]:
                entry["zone"] = placement["zone"]
            if engine.started_wall:
                entry["started"] = engine.started_wall
            records.append(entry)
        write_list(self._folder / "engines.json", records, self._version)
        now = self._loop.time()
        for gateway in range(self._gateway_count):
            for name, state in self.states.items():
                # A gateway reads the list at an unknown time within one poll interval. For an engine that is
                # no longer ready, the recorded time is the end of that interval, the latest possible one.
                told_at = now if state == "ready" else now + LIST_POLL_INTERVAL
                event = {
                    "at": told_at,
                    "kind": "list",
                    "gateway": str(gateway),
                    "engine": name,
                    "state": state,
                }
                self._record_event(event | {"incarnation": self.engines[name].incarnation})

    def truncate_list(self) -> None:
        """Replace the endpoint list with a truncated file, as after a write that was not atomic."""
        (self._folder / "engines.json").write_text('{"version": 9999, "engines": [{"id": "hal')

    def restart_cold(self, name: str) -> None:
        """Restart an engine cold, and list it as ready."""
        engine = self.engines[name]
        if engine.is_up:
            engine.crash()
        engine.start(cold=True)
        shape = engine.config.shape
        self._record_event(
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
        """Stop all engines."""
        for engine in self.engines.values():
            if engine.is_up:
                engine.crash()


class FaultInjector:
    """Injects the faults of a scenario at their times."""

    def __init__(
        self, day: Day, fleet: Fleet, gateways: list[GatewayProcess], record_event: Callable[[Event], None]
    ):
        self._day, self._fleet, self._gateways, self._record_event = day, fleet, gateways, record_event
        self._gateway_locks = [asyncio.Lock() for _ in gateways]
        self._loop = asyncio.get_running_loop()

    async def run(self, start: float) -> None:
        """Inject all faults. Returns when every fault has ended or is permanent.

        Args:
            start: Start of the scenario, as a time of the event loop.
        """
        await asyncio.gather(*(self._run_fault(fault, start) for fault in self._day.raw.get("faults", [])))

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._loop.time()))

    async def _run_fault(self, fault: dict[str, Any], start: float) -> None:
        at, kind = start + fault["at_s"], fault["fault"]
        end = at + fault["for_s"] if "for_s" in fault else None
        await self._sleep_until(at)
        if kind in ("kill", "stop"):
            # The lock delays this fault until the gateway has restarted after an earlier one.
            async with self._gateway_locks[fault["gateway"]]:
                await self._end_gateway(kind, fault["gateway"], end)
        elif kind == "list-broken":
            self._fleet.truncate_list()
            if end is not None:
                await self._sleep_until(end)
                self._fleet.publish()
        else:
            names = list(self._fleet.engines) if fault["engine"] == "*" else [fault["engine"]]
            value = fault.get("value", 1.0)
            await asyncio.gather(*(self._run_engine_fault(kind, name, value, end) for name in names))

    async def _run_engine_fault(self, kind: str, name: str, value: Any, end: float | None) -> None:
        fleet, engine = self._fleet, self._fleet.engines[name]
        if kind == "drain":
            fleet.states[name] = "draining"
            fleet.publish()
            await asyncio.sleep(DRAIN_DURATION / 2)
            engine.drain()
            await asyncio.sleep(DRAIN_DURATION / 2)
            fleet.states[name] = "gone"
            fleet.publish()
            engine.crash()
        elif kind == "crash":
            engine.crash()
        else:
            self._set_fault(engine, kind, value, enabled=True)
        if end is None:
            return
        await self._sleep_until(end)
        if kind in ("drain", "crash"):
            fleet.restart_cold(name)
        else:
            self._set_fault(engine, kind, value, enabled=False)

    @staticmethod
    def _set_fault(engine: StandInEngine, kind: str, value: Any, enabled: bool) -> None:
        if kind == "hang":
            engine.hang(enabled)
        elif kind == "slow":
            engine.slow(float(value) if enabled else 1.0)
        elif kind == "half-open":
            engine.faults.half_open = enabled
        elif kind == "report":
            engine.faults.report = str(value) if enabled else "true"
        else:
            setattr(engine.faults, kind, float(value) if enabled else 0.0)

    async def _end_gateway(self, kind: str, position: int, end: float | None) -> None:
        gateway = self._gateways[position]
        if kind == "kill":
            self._record_event({"at": self._loop.time(), "kind": "killed", "gateway": str(position)})
            gateway.send(signal.SIGKILL)
        else:
            gateway.send(signal.SIGTERM)
        assert gateway.process is not None
        exit_code = await gateway.process.wait()
        event = {"at": self._loop.time(), "kind": "ended", "gateway": str(position), "code": exit_code}
        self._record_event(event)
        if kind == "stop":
            self._record_event(event | {"kind": "killed"})
        if end is not None:
            await self._sleep_until(end)
            await gateway.start()


def draw_queries(day: Day) -> list[tuple[float, Query]]:
    """Generate all queries of a scenario with their arrival times, sorted by arrival.

    The result depends only on the scenario and its seed.
    """
    raw, settings = day.raw, day.config.settings
    random = np.random.default_rng(raw.get("seed", 0))
    queries: list[tuple[float, Query]] = []
    for index, stream in enumerate(raw["arrivals"]):
        query_class = next(c for c in settings.classes if c.name == stream["class"])
        at, end = stream.get("from_s", 0.0), min(day.duration, stream.get("to_s", day.duration))
        number = 0
        while (at := at + float(random.exponential(1.0 / stream["rate"]))) < end:
            sigma = stream.get("spread", 0.0)
            work = stream["work_s"] * float(random.lognormal(-sigma * sigma / 2.0, sigma))
            table = int(random.integers(stream.get("tables", 1)))
            ordering_key = f"k{random.integers(stream['keys'])}" if stream.get("keys") else ""
            options = f"work={work:.5f} threads={query_class.threads} memory={stream.get('memory_mb', 1.0)}"
            options += f" rows={stream.get('rows', 2)} batches={stream.get('batches', 1)}"
            template = "INSERT INTO {} VALUES (1)" if stream.get("update") else "SELECT * FROM {}"
            text = template.format(f"t{index}_{table}") + f" /* lab {options} */"
            query = Query(
                id=f"{index}.{number}",
                text=text,
                query_class=query_class.name,
                work=work,
                ordering_key=ordering_key,
                is_update=stream.get("update", False),
                timeout=stream.get("timeout_s", query_class.deadline),
                estimated_cost=work if stream.get("tells_cost") else 0.0,
                driver=stream.get("driver", "grpc"),
                gateway_index=int(random.integers(raw.get("gateways", 1))),
                max_retries=stream.get("repeats", 0),
            )
            queries.append((at, query))
            number += 1
    return sorted(queries, key=lambda pair: pair[0])


@dataclass(slots=True)
class Outcome:
    """The result of a scenario.

    Attributes:
        report: The audit's report.
        record: All recorded events, with times in seconds since the start of the scenario.
        exit_codes: Exit code of each gateway at the end of the scenario; 0 for one that a fault had ended.
        duration: Seconds from the start of the gateways to the end of the audit.
    """

    report: Report
    record: list[Event]
    exit_codes: list[int]
    duration: float


async def play(day: Day, folder: Path, level: str = "warning") -> Outcome:
    """Play a scenario, and audit its record.

    Args:
        day: The scenario.
        folder: Directory for the settings of the gateways and for the endpoint list.
        level: Not used; the gateways always log at level `info`.
    """
    loop = asyncio.get_running_loop()
    record: list[Event] = []
    fleet = Fleet(day, folder, record.append)
    fleet.start()
    gateways = []
    for position in range(day.raw.get("gateways", 1)):
        path = folder / f"gateway-{position}.json"
        path.write_text(json.dumps(gateway_settings(day.raw, position)))
        gateways.append(GatewayProcess(path, "info"))
    started_at = time.monotonic()
    thread_pool = ThreadPoolExecutor(16)
    try:
        await asyncio.gather(*(g.start() for g in gateways))
        grpc_clients = [QueryClient(str(n), g, record.append) for n, g in enumerate(gateways)]
        adbc_clients = [AdbcClient(str(n), g, record.append, thread_pool) for n, g in enumerate(gateways)]
        await asyncio.sleep(STARTUP_DELAY)
        start = loop.time()
        faults = asyncio.create_task(FaultInjector(day, fleet, gateways, record.append).run(start))
        submissions: list[asyncio.Task[None]] = []
        for at, query in draw_queries(day):
            await asyncio.sleep(max(0.0, start + at - loop.time()))
            clients = adbc_clients if query.driver == "adbc" else grpc_clients
            submissions.append(asyncio.create_task(clients[query.gateway_index].submit(query)))
        await asyncio.gather(*submissions)
        await faults
        exit_codes = [await g.end() if g.process and g.process.returncode is None else 0 for g in gateways]
        for client in grpc_clients:
            client.close()
    finally:
        for gateway in gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.kill()
        fleet.close()
        thread_pool.shutdown(wait=False, cancel_futures=True)
    record = [event | {"at": event["at"] - start} for event in record]
    for event in record:
        if "limit" in event:
            event["limit"] -= start
    report = Audit(record, day.config.settings, day.raw.get("lasting", False)).run()
    return Outcome(report, record, exit_codes, time.monotonic() - started_at)


def run_day(day: Day, report_dir: Path | None = None) -> Outcome:
    """Play a scenario in a temporary directory.

    Args:
        day: The scenario.
        report_dir: Directory for the record (`record.jsonl`) and the summary (`report.json`); None to write
            neither.
    """
    with tempfile.TemporaryDirectory(prefix="saffronlane-") as name:
        outcome = asyncio.run(play(day, Path(name)))
    if report_dir is not None:
        report_dir.mkdir(parents=True, exist_ok=True)
        lines = [json.dumps(event) for event in sorted(outcome.record, key=lambda e: e["at"])]
        (report_dir / "record.jsonl").write_text("\n".join(lines) + "\n")
        (report_dir / "report.json").write_text(json.dumps(summary(outcome), indent=2) + "\n")
    return outcome


def summary(outcome: Outcome) -> dict[str, Any]:
    """Return the violations and the results of each query class as JSON values."""
    rows = []
    for row in outcome.report.rows:
        latencies = sorted(row.latencies)
        values = {k: getattr(row, k) for k in row.__dataclass_fields__ if k != "latencies"}
        for name, quantile in (("p50_s", 0.5), ("p99_s", 0.99)):
            values[name] = round(latencies[int(quantile * (len(latencies) - 1))], 4) if latencies else None
        rows.append(values)
    return {"breaches": [str(v) for v in outcome.report.violations], "classes": rows}


def table(outcome: Outcome) -> str:
    """Return a text table with the results of each query class."""
    columns = ("class", "asked", "in time", "late", "refused", "failed", "attempts", "p50 ms", "p99 ms")
    lines = ["".join(f"{c:>10}" for c in columns)]
    for row in summary(outcome)["classes"]:
        p50, p99 = (f"{1000 * row[k]:.0f}" if row[k] is not None else "-" for k in ("p50_s", "p99_s"))
        values = [row["name"], row["asked"], row["in_time"], row["late"], row["refused"]]
        values += [row["failed"] + row["unanswered"], row["attempts"], p50, p99]
        lines.append("".join(f"{v!s:>10}" for v in values))
    return "\n".join(lines)
