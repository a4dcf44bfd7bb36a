"""What knowledge is worth after a restart: worth served in the first 5, 15 and 30 s, with and without it.

Everything runs in one process on a virtual clock: dispatchers as they are, engines that share their cores as
the laboratory's stand-ins do. All gateways of a fleet are killed at once, in a quiet time, in an overload and
amid a rolling deploy, and come back with nothing, with what they kept, with the same an hour, a day or a
month old, and with knowledge that is wrong: paces ten times too long or too short, half of the engines marked
ill. `- classes` and the like leave one kind out; `no kill` is the same fleet without any restart.
Runs of one seed see the same queries and the same engines; differences to `none` are within a seed.

    python benchmarks/restart.py [--seeds 6] [--jobs 8] [--json FILE]
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import math
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path

import numpy as np
from msgspec.structs import replace as with_fields

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.lab.model import EngineShape, Machine, Run
from saffronlane.learned_state import PersistedState, Timestamp
from saffronlane.learned_state import records as k
from saffronlane.storage import Entry

GATEWAYS, ENGINES, CORES = 3, 8, 4.0
KILL, GAP, AFTER = 25.0, 0.8, 30.0  # seconds: of warm-up, of the gap, and measured
NOTES = 0.3  # seconds between two notes of progress from an engine
SPANS = (5.0, 15.0, 30.0)
SETTINGS = api.Settings(
    classes=(
        api.ClassSettings("lookup", latency_objective=0.6, deadline=3.0, latency_objective_per_work=2.0),
        api.ClassSettings(
            "report",
            latency_objective=1.5,
            deadline=8.0,
            priority_weight=5.0,
            late_priority_weight=0.3,
            latency_objective_per_work=2.5,
            threads=2,
        ),
    ),
    machine_types=(api.MachineType("std", CORES, 4096.0),),
    gateway_count=GATEWAYS,
    guarantees=api.Guarantees(
        slow_start_overload_factor=3.0,
        slow_start_overload_window=2.0,
        slow_start_initial_ratio=0.4,
        slow_start_duration=8.0,
    ),
    limits=api.Limits(can_cancel=True, max_attempts=3, sends_retry_after=True, max_retry_after=2.0),
    progress_interval=NOTES,
    reports_work=True,
    report_columns=("active",),
)
WORKS = ((0.05, 0.6), (0.8, 0.7))  # mean work in seconds, and its deviation as a logarithm
REPORTS = 0.15
SITUATIONS = {"quiet": 0.35, "overload": 1.4, "rolling": 0.85}  # load, of what the engines can do
Folder = dict[bytes, Entry]


@dataclass(slots=True, eq=False)
class Running:
    gateway: int
    request: int
    attempt: int
    engine: int
    run: Run
    began: float
    ended: bool = False


@dataclass(slots=True)
class Engine:
    machine: Machine
    started: float = 0.0
    state: api.EngineState = api.EngineState.READY
    running: dict[int, Running] = field(default_factory=dict)  # by the run's identity


class Fleet:
    """Engines, gateways and clients on one clock."""

    def __init__(self, situation: str, seed: int) -> None:
        self.random = np.random.default_rng([seed, 1])
        shape = EngineShape(CORES, 4096.0, 1.0, 0.4, 8.0, 3.0, 2.0)
        self.engines = [Engine(Machine(shape, -1e6)) for _ in range(ENGINES)]
        self.engines[0].machine.slowdown = 2.5  # one engine is slow, another one breaks now and then
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.looks: dict[int, float] = {}
        self.folders: list[Folder] = [{} for _ in range(GATEWAYS)]
        self.cores: list[dispatch.Dispatcher | None] = [None] * GATEWAYS
        self.inputs: list[list[dispatch.Input]] = [[] for _ in range(GATEWAYS)]
        self.out: dict[tuple[int, int, int], Running] = {}
        self.asked: dict[tuple[int, int], tuple[float, int, float]] = {}  # when, class, work
        self.worth: list[tuple[float, float, float]] = []  # when asked, asked for, earned
        self.seed = seed
        for number in range(ENGINES):
            self.at(NOTES * number / ENGINES, lambda n=number: self.note(n))
        self._draw(situation, seed)
        if situation == "rolling":
            for number in range(ENGINES):
                self._replace(18.0 + 4.0 * number, number)

    def _draw(self, situation: str, seed: int) -> None:
        draw = np.random.default_rng([seed, 2])
        mean = (1.0 - REPORTS) * WORKS[0][0] + REPORTS * WORKS[1][0]
        rate = SITUATIONS[situation] * ENGINES * CORES / mean
        at = 0.5
        while (at := at + float(draw.exponential(1.0 / rate))) < KILL + GAP + AFTER:
            cls = int(draw.random() < REPORTS)
            middle, sigma = WORKS[cls]
            work = middle * float(draw.lognormal(-sigma * sigma / 2.0, sigma))
            tables = float(draw.integers(24))
            gateway = int(draw.integers(GATEWAYS))
            self.at(at, lambda c=cls, w=work, t=tables, g=gateway: self.ask(g, c, w, t))

    def at(self, time: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.events, (time, next(self.order), do))

    # --- engines ---

    def _replace(self, at: float, number: int) -> None:
        engine = self.engines[number]

        def drain() -> None:
            engine.state = api.EngineState.DRAINING
            self.tell_list()

        def gone() -> None:
            engine.state = api.EngineState.REMOVED
            for one in list(engine.running.values()):
                self.end(one, api.Outcome.RESET)
            self.tell_list()

        def back() -> None:
            engine.state, engine.started = api.EngineState.READY, self.now
            engine.machine = Machine(engine.machine.shape, self.now)
            self.tell_list()

        self.at(at, drain)
        self.at(at + 1.5, gone)
        self.at(at + 3.0, back)

    def entries(self) -> tuple[api.EngineEntry, ...]:
        return tuple(
            api.EngineEntry(b"e%d" % n, e.state, e.started)
            for n, e in enumerate(self.engines)
            if e.state is not api.EngineState.REMOVED
        )

    def tell_list(self) -> None:
        for inputs in self.inputs:
            inputs.append(api.EndpointListUpdate(api.EndpointListMode.FULL, 1, self.entries()))

    def look_at(self, number: int) -> None:
        """Ask again when the engine's next run ends."""
        engine = self.engines[number]
        engine.machine.advance(self.now)
        for run in engine.machine.collect():
            if (one := engine.running.get(id(run))) is not None:
                self.end(one, api.Outcome.OK)
        due = engine.machine.next_end(self.now)
        if due < math.inf:
            self.looks[number] = due
            self.at(max(due, self.now + 1e-6), lambda: self.looks.get(number) == due and self.look_at(number))

    def note(self, number: int) -> None:
        engine = self.engines[number]
        engine.machine.advance(self.now)
        for one in engine.running.values():
            note = dispatch.AttemptProgress(
                one.request, one.attempt, api.ProgressKind.PROGRESS, one.run.progress
            )
            self.inputs[one.gateway].append(note)
        self.look_at(number)
        self.at(self.now + NOTES, lambda: self.note(number))

    def end(self, one: Running, outcome: api.Outcome) -> None:
        if one.ended:
            return
        one.ended = True
        engine = self.engines[one.engine]
        engine.running.pop(id(one.run), None)
        self.out.pop((one.gateway, one.request, one.attempt), None)
        if outcome is not api.Outcome.OK:
            engine.machine.remove(one.run, self.now)
        told = one.run.work if outcome is api.Outcome.OK else 0.0
        report = (float(len(engine.machine.running)),)
        elapsed = self.now - one.began
        done = dispatch.AttemptDone(one.request, one.attempt, outcome, elapsed, told, 0.0, report)
        self.inputs[one.gateway].append(done)

    # --- gateways ---

    def start(self, number: int, folder: Folder, wall: float) -> None:
        memory = PersistedState(tuple(folder.items()), Timestamp(self.now, wall, "boot", "place"))
        settings = replace(SETTINGS, gateway_index=number)
        core = self.cores[number] = dispatch.Dispatcher(
            settings, self.seed, persisted_state=memory, is_persistent=True
        )
        self.folders[number] = folder
        self.write(number, core.first_changes)
        self.inputs[number] = [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, self.entries())]

    def write(self, number: int, changes: object) -> None:
        for change in changes:  # type: ignore[attr-defined]
            if change.entry is None:
                self.folders[number].pop(change.key, None)
            else:
                self.folders[number][change.key] = change.entry

    def sign(self, number: int) -> None:
        run = k.RunRecord(self.now, 1e9 + self.now, "boot", "place", "", number, GATEWAYS, False)
        self.write(number, [k.make_change(k.RUN, run)])

    def kill(self) -> None:
        for number in range(GATEWAYS):
            self.sign(number)
            self.cores[number], self.inputs[number] = None, []
        for one in list(self.out.values()):
            self.end(one, api.Outcome.RESET)
        self.inputs = [[] for _ in range(GATEWAYS)]

    def ask(self, gateway: int, cls: int, work: float, tables: float) -> None:
        settings = SETTINGS.classes[cls]
        core = self.cores[gateway]
        if core is None:
            return  # it is down for all conditions alike
        request = core.new_request()
        self.asked[gateway, request] = (self.now, cls, work)
        self.worth.append((self.now, settings.priority_weight, 0.0))
        self.inputs[gateway].append(dispatch.Submit(request, cls, settings.deadline, table_group=tables))

    def answer(self, gateway: int, request: int, served: bool) -> None:
        asked = self.asked.pop((gateway, request), None)
        if asked is None or not served:
            return
        at, cls, work = asked
        settings = SETTINGS.classes[cls]
        wanted = settings.latency_objective + settings.latency_objective_per_work * work / settings.threads
        share = 1.0 if self.now - at <= wanted else settings.late_priority_weight
        self.worth.append((at, 0.0, share * settings.priority_weight))

    def step(self, number: int) -> None:
        core = self.cores[number]
        if core is None:
            return
        inputs, self.inputs[number] = self.inputs[number], []
        for effect in core.step(self.now, inputs):
            if isinstance(effect, dispatch.StartAttempt):
                self.send(number, effect)
            elif isinstance(effect, dispatch.CancelAttempt):
                one = self.out.get((number, effect.request, effect.attempt))
                if one is not None:
                    self.end(one, api.Outcome.CANCELLED)
            elif isinstance(effect, dispatch.Persist):
                self.write(number, effect.changes)
            elif isinstance(effect, dispatch.CompleteRequest | dispatch.RejectRequest | dispatch.FailRequest):
                self.answer(number, effect.request, isinstance(effect, dispatch.CompleteRequest))

    def send(self, number: int, effect: dispatch.StartAttempt) -> None:
        target = int(effect.engine[1:])
        engine = self.engines[target]
        _, cls, work = self.asked.get((number, effect.request), (0.0, 0, 0.01))
        run = Run(work, float(SETTINGS.classes[cls].threads), 1.0)
        one = Running(number, effect.request, effect.attempt, target, run, self.now)
        self.out[number, effect.request, effect.attempt] = one
        broken = target == 1 and self.random.random() < 0.6
        if engine.state is api.EngineState.REMOVED or broken:
            one.ended = True
            del self.out[number, effect.request, effect.attempt]
            done = dispatch.AttemptDone(effect.request, effect.attempt, api.Outcome.RESET, 0.01)
            self.inputs[number].append(done)
            return
        engine.running[id(run)] = one
        if not engine.machine.add(run, self.now):
            for other in list(engine.running.values()):
                self.end(other, api.Outcome.RESET)
            engine.machine = Machine(engine.machine.shape, self.now + 1e6)
            engine.state = api.EngineState.REMOVED
            self.tell_list()
        self.at(self.now + effect.timeout, lambda: self.end(one, api.Outcome.TIMEOUT))
        self.look_at(target)

    def run(self, until: float) -> None:
        while True:
            wakes = [core.next_timer for core in self.cores if core is not None]
            pending = any(self.inputs[n] for n in range(GATEWAYS) if self.cores[n] is not None)
            due = min([*wakes, self.events[0][0] if self.events else math.inf])
            due = self.now if pending else max(self.now, due)
            if due > until:
                self.now = until
                return
            self.now = due
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for number, core in enumerate(self.cores):
                if core is not None and (self.inputs[number] or core.next_timer <= self.now):
                    self.step(number)


PACE_FIELDS = ("latency_per_cost", "work_per_cost", "uncontended_work_per_cost")


def wrong(folder: Folder, factor: float) -> Folder:
    """Paces so many times too long, and health the other way round for every second engine."""
    changed = dict(folder)
    for key, entry in folder.items():
        value = k.decode(key, entry)
        if isinstance(value, k.ClassRecord):
            times = {name: getattr(value, name) * factor for name in PACE_FIELDS}
            value = with_fields(value, **times)
        elif isinstance(value, k.EngineRecord) and int(key[3:]) % 2:
            value = with_fields(
                value,
                is_ejected=True,
                failure_ratio=1.0,
                last_outcome_at=value.last_listed_at,
                probe_request_interval=0.4,
            )
        changed[key] = k.make_change(key, value).entry or entry
    return changed


AGES = {"right": GAP, "1 h": 3600.0, "1 day": 86_400.0, "30 days": 2_592_000.0}
KINDS = {"- classes": k.CLASS, "- engines": k.ENGINE, "- fleet": k.FLEET}
CONDITIONS = ("none", *AGES, "10x long", "10x short", *KINDS, "no kill")


def play(situation: str, condition: str, seed: int) -> list[float]:
    """Worth earned over worth asked for in each span after the restart."""
    fleet = Fleet(situation, seed)
    for number in range(GATEWAYS):
        fleet.start(number, {}, 1e9)
    fleet.run(KILL)
    if condition != "no kill":
        fleet.kill()
    fleet.run(KILL + GAP)
    back = fleet.now
    for number in range(GATEWAYS) if condition != "no kill" else ():
        folder = fleet.folders[number]
        if condition == "none":
            folder = {}
        elif condition.startswith("10x"):
            folder = wrong(folder, 10.0 if condition == "10x long" else 0.1)
        elif condition in KINDS:
            folder = {key: entry for key, entry in folder.items() if k.kind_of(key) != KINDS[condition]}
        # An older folder is one of another boot, so that only wall time tells its age.
        age = AGES.get(condition, GAP)
        run = folder.get(k.RUN)
        if run is not None and age > GAP:
            old = k.decode(k.RUN, run)
            assert isinstance(old, k.RunRecord)
            made = k.make_change(k.RUN, with_fields(old, boot_id="older", wall_s=1e9 + back - age)).entry
            assert made is not None
            folder = folder | {k.RUN: made}
        fleet.start(number, folder, 1e9 + back)
    fleet.run(back + AFTER + 10.0)
    shares = []
    for span in SPANS:
        mine = [w for w in fleet.worth if back <= w[0] < back + span]
        shares.append(sum(w[2] for w in mine) / max(1e-9, sum(w[1] for w in mine)))
    return shares


def _play(job: tuple[str, str, int]) -> list[float]:
    return play(*job)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--situation", choices=list(SITUATIONS))
    parser.add_argument("--json")
    options = parser.parse_args()
    situations = [options.situation] if options.situation else list(SITUATIONS)
    jobs = [(s, c, n) for s in situations for c in CONDITIONS for n in range(1, options.seeds + 1)]
    with ProcessPoolExecutor(options.jobs) as pool:
        results = dict(zip(jobs, pool.map(_play, jobs), strict=True))
    print(
        "worth earned over worth asked; in brackets the difference to `none`, mean and deviation over seeds"
    )
    print(f"{'':22}" + "".join(f"{f'first {s:g} s':>26}" for s in SPANS))
    for situation in situations:
        for condition in CONDITIONS:
            cells = []
            for index in range(len(SPANS)):
                mine = [results[situation, condition, n][index] for n in range(1, options.seeds + 1)]
                none = [results[situation, "none", n][index] for n in range(1, options.seeds + 1)]
                apart = np.subtract(mine, none)
                spread = apart.std(ddof=1) if len(apart) > 1 else 0.0
                cells.append(f"{np.mean(mine):8.3f} ({apart.mean():+.3f} ± {spread:.3f})")
            print(f"{situation:>10} {condition:>10} " + "".join(f"{c:>26}" for c in cells))
    if options.json:
        with Path(options.json).open("w") as sink:
            json.dump([[*job, *result] for job, result in results.items()], sink)


if __name__ == "__main__":
    main()
