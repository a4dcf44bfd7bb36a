"""Measures how much restored learned state improves the service of a fleet after a restart.

The measure is the priority weight of served requests relative to that of all submitted requests, in the first
5, 15 and 30 s after the restart. A late response counts with the late priority weight of its class.
Everything runs in one process on a virtual clock: real dispatchers, and engines that share their cores like
the simulated engines of the lab. All gateways of a fleet are killed at the same time, during low load, during
an overload and during a rolling deployment. They restart without state, with the state that they stored, with
the same state at an age of an hour, a day or a month, and with wrong state: exec times ten times too long or
too short, and half of the engines ejected. Conditions such as `- classes` leave out one kind
of record. The condition `no kill` is the same fleet without a restart. All runs of one seed have the same
queries and the same engines, and differences to `none` are computed per seed.

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
from saffronlane.learned_state import PersistedState, Timestamp, records
from saffronlane.storage import Entry

GATEWAYS, ENGINES, CORES = 3, 8, 4.0
# In seconds: the time before the kill, the time without gateways, and the measured time after the restart.
KILL_AT, DOWNTIME, MEASURED_TIME = 25.0, 0.8, 30.0
PROGRESS_INTERVAL = 0.3  # seconds between two progress reports of an engine
MEASURED_SPANS = (5.0, 15.0, 30.0)
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
    progress_interval=PROGRESS_INTERVAL,
    reports_work=True,
    report_columns=("active",),
)
# The mean work in seconds and the standard deviation of its logarithm, by class.
CLASS_WORK = ((0.05, 0.6), (0.8, 0.7))
REPORT_SHARE = 0.15  # share of the requests that are of the class report
# The load relative to the capacity of the engines.
SITUATION_LOADS = {"quiet": 0.35, "overload": 1.4, "rolling": 0.85}
StoredEntries = dict[bytes, Entry]


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt that runs on an engine."""

    gateway: int
    request: int
    attempt: int
    engine: int
    run: Run
    started_at: float
    is_ended: bool = False


@dataclass(slots=True)
class Engine:
    """A simulated engine."""

    machine: Machine
    started_at: float = 0.0
    state: api.EngineState = api.EngineState.READY
    running: dict[int, RunningAttempt] = field(default_factory=dict)  # by the id() of the run


class Fleet:
    """Engines, gateways and clients on one virtual clock."""

    def __init__(self, situation: str, seed: int) -> None:
        self.failure_random = np.random.default_rng([seed, 1])
        shape = EngineShape(CORES, 4096.0, 1.0, 0.4, 8.0, 3.0, 2.0)
        self.engines = [Engine(Machine(shape, -1e6)) for _ in range(ENGINES)]
        # Engine 0 is slow. Engine 1 resets some attempts, see `start_attempt`.
        self.engines[0].machine.slowdown = 2.5
        self.now = 0.0
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_numbers = itertools.count()
        self.next_check_times: dict[int, float] = {}
        self.stored_entries: list[StoredEntries] = [{} for _ in range(GATEWAYS)]
        self.dispatchers: list[dispatch.Dispatcher | None] = [None] * GATEWAYS
        self.inputs: list[list[dispatch.Input]] = [[] for _ in range(GATEWAYS)]
        self.attempts_in_flight: dict[tuple[int, int, int], RunningAttempt] = {}
        # Submission time, class and work, by gateway and request.
        self.open_requests: dict[tuple[int, int], tuple[float, int, float]] = {}
        # Submission time, submitted priority weight and served priority weight.
        self.weight_records: list[tuple[float, float, float]] = []
        self.seed = seed
        for number in range(ENGINES):
            self.schedule(PROGRESS_INTERVAL * number / ENGINES, lambda n=number: self.report_progress(n))
        self._schedule_traffic(situation, seed)
        if situation == "rolling":
            for number in range(ENGINES):
                self._schedule_replacement(18.0 + 4.0 * number, number)

    def _schedule_traffic(self, situation: str, seed: int) -> None:
        random = np.random.default_rng([seed, 2])
        mean_work = (1.0 - REPORT_SHARE) * CLASS_WORK[0][0] + REPORT_SHARE * CLASS_WORK[1][0]
        rate = SITUATION_LOADS[situation] * ENGINES * CORES / mean_work
        submit_at = 0.5
        while (
            submit_at := submit_at + float(random.exponential(1.0 / rate))
        ) < KILL_AT + DOWNTIME + MEASURED_TIME:
            cls = int(random.random() < REPORT_SHARE)
            class_mean, sigma = CLASS_WORK[cls]
            work = class_mean * float(random.lognormal(-sigma * sigma / 2.0, sigma))
            table_group = float(random.integers(24))
            gateway = int(random.integers(GATEWAYS))
            self.schedule(
                submit_at, lambda c=cls, w=work, t=table_group, g=gateway: self.submit_request(g, c, w, t)
            )

    def schedule(self, time: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (time, next(self.timer_numbers), callback))

    # --- engines ---

    def _schedule_replacement(self, drain_at: float, number: int) -> None:
        engine = self.engines[number]

        def drain() -> None:
            engine.state = api.EngineState.DRAINING
            self.broadcast_endpoint_list()

        def remove() -> None:
            engine.state = api.EngineState.REMOVED
            for attempt in list(engine.running.values()):
                self.end_attempt(attempt, api.Outcome.RESET)
            self.broadcast_endpoint_list()

        def restart() -> None:
            engine.state, engine.started_at = api.EngineState.READY, self.now
            engine.machine = Machine(engine.machine.shape, self.now)
            self.broadcast_endpoint_list()

        self.schedule(drain_at, drain)
        self.schedule(drain_at + 1.5, remove)
        self.schedule(drain_at + 3.0, restart)

    def entries(self) -> tuple[api.EngineEntry, ...]:
        return tuple(
            api.EngineEntry(b"e%d" % n, engine.state, engine.started_at)
            for n, engine in enumerate(self.engines)
            if engine.state is not api.EngineState.REMOVED
        )

    def broadcast_endpoint_list(self) -> None:
        for inputs in self.inputs:
            inputs.append(api.EndpointListUpdate(api.EndpointListMode.FULL, 1, self.entries()))

    def check_engine(self, number: int) -> None:
        """Ends attempts whose runs have completed, and schedules a check at the next end of a run."""
        engine = self.engines[number]
        engine.machine.advance(self.now)
        for run in engine.machine.collect():
            if (attempt := engine.running.get(id(run))) is not None:
                self.end_attempt(attempt, api.Outcome.OK)
        due = engine.machine.next_end(self.now)
        if due < math.inf:
            self.next_check_times[number] = due
            self.schedule(
                max(due, self.now + 1e-6),
                lambda: self.next_check_times.get(number) == due and self.check_engine(number),
            )

    def report_progress(self, number: int) -> None:
        engine = self.engines[number]
        engine.machine.advance(self.now)
        for attempt in engine.running.values():
            progress = dispatch.AttemptProgress(
                attempt.request, attempt.attempt, api.ProgressKind.PROGRESS, attempt.run.progress
            )
            self.inputs[attempt.gateway].append(progress)
        self.check_engine(number)
        self.schedule(self.now + PROGRESS_INTERVAL, lambda: self.report_progress(number))

    def end_attempt(self, attempt: RunningAttempt, outcome: api.Outcome) -> None:
        if attempt.is_ended:
            return
        attempt.is_ended = True
        engine = self.engines[attempt.engine]
        engine.running.pop(id(attempt.run), None)
        self.attempts_in_flight.pop((attempt.gateway, attempt.request, attempt.attempt), None)
        if outcome is not api.Outcome.OK:
            engine.machine.remove(attempt.run, self.now)
        reported_work = attempt.run.work if outcome is api.Outcome.OK else 0.0
        report = (float(len(engine.machine.running)),)
        elapsed = self.now - attempt.started_at
        done = dispatch.AttemptDone(
            attempt.request, attempt.attempt, outcome, elapsed, reported_work, 0.0, report
        )
        self.inputs[attempt.gateway].append(done)

    # --- gateways ---

    def start_gateway(self, number: int, entries: StoredEntries, wall: float) -> None:
        state = PersistedState(tuple(entries.items()), Timestamp(self.now, wall, "boot", "place"))
        settings = replace(SETTINGS, gateway_index=number)
        dispatcher = self.dispatchers[number] = dispatch.Dispatcher(
            settings, self.seed, persisted_state=state, is_persistent=True
        )
        self.stored_entries[number] = entries
        self.apply_changes(number, dispatcher.first_changes)
        self.inputs[number] = [api.EndpointListUpdate(api.EndpointListMode.FULL, 1, self.entries())]

    def apply_changes(self, number: int, changes: object) -> None:
        for change in changes:  # type: ignore[attr-defined]
            if change.entry is None:
                self.stored_entries[number].pop(change.key, None)
            else:
                self.stored_entries[number][change.key] = change.entry

    def write_run_record(self, number: int) -> None:
        run = records.RunRecord(self.now, 1e9 + self.now, "boot", "place", "", number, GATEWAYS, False)
        self.apply_changes(number, [records.make_change(records.RUN, run)])

    def kill_gateways(self) -> None:
        for number in range(GATEWAYS):
            self.write_run_record(number)
            self.dispatchers[number], self.inputs[number] = None, []
        for attempt in list(self.attempts_in_flight.values()):
            self.end_attempt(attempt, api.Outcome.RESET)
        self.inputs = [[] for _ in range(GATEWAYS)]

    def submit_request(self, gateway: int, cls: int, work: float, table_group: float) -> None:
        settings = SETTINGS.classes[cls]
        dispatcher = self.dispatchers[gateway]
        if dispatcher is None:
            return  # not counted: the gateways are down under every condition with a restart
        request = dispatcher.new_request()
        self.open_requests[gateway, request] = (self.now, cls, work)
        self.weight_records.append((self.now, settings.priority_weight, 0.0))
        self.inputs[gateway].append(dispatch.Submit(request, cls, settings.deadline, table_group=table_group))

    def end_request(self, gateway: int, request: int, is_served: bool) -> None:
        open_request = self.open_requests.pop((gateway, request), None)
        if open_request is None or not is_served:
            return
        submitted_at, cls, work = open_request
        settings = SETTINGS.classes[cls]
        latency_objective = (
            settings.latency_objective + settings.latency_objective_per_work * work / settings.threads
        )
        weight_ratio = 1.0 if self.now - submitted_at <= latency_objective else settings.late_priority_weight
        self.weight_records.append((submitted_at, 0.0, weight_ratio * settings.priority_weight))

    def step_gateway(self, number: int) -> None:
        dispatcher = self.dispatchers[number]
        if dispatcher is None:
            return
        inputs, self.inputs[number] = self.inputs[number], []
        for effect in dispatcher.step(self.now, inputs):
            if isinstance(effect, dispatch.StartAttempt):
                self.start_attempt(number, effect)
            elif isinstance(effect, dispatch.CancelAttempt):
                attempt = self.attempts_in_flight.get((number, effect.request, effect.attempt))
                if attempt is not None:
                    self.end_attempt(attempt, api.Outcome.CANCELLED)
            elif isinstance(effect, dispatch.Persist):
                self.apply_changes(number, effect.changes)
            elif isinstance(effect, dispatch.CompleteRequest | dispatch.RejectRequest | dispatch.FailRequest):
                self.end_request(number, effect.request, isinstance(effect, dispatch.CompleteRequest))

    def start_attempt(self, number: int, effect: dispatch.StartAttempt) -> None:
        target = int(effect.engine[1:])
        engine = self.engines[target]
        _, cls, work = self.open_requests.get((number, effect.request), (0.0, 0, 0.01))
        run = Run(work, float(SETTINGS.classes[cls].threads), 1.0)
        attempt = RunningAttempt(number, effect.request, effect.attempt, target, run, self.now)
        self.attempts_in_flight[number, effect.request, effect.attempt] = attempt
        is_reset = target == 1 and self.failure_random.random() < 0.6
        if engine.state is api.EngineState.REMOVED or is_reset:
            attempt.is_ended = True
            del self.attempts_in_flight[number, effect.request, effect.attempt]
            done = dispatch.AttemptDone(effect.request, effect.attempt, api.Outcome.RESET, 0.01)
            self.inputs[number].append(done)
            return
        engine.running[id(run)] = attempt
        if not engine.machine.add(run, self.now):
            for other in list(engine.running.values()):
                self.end_attempt(other, api.Outcome.RESET)
            engine.machine = Machine(engine.machine.shape, self.now + 1e6)
            engine.state = api.EngineState.REMOVED
            self.broadcast_endpoint_list()
        self.schedule(self.now + effect.timeout, lambda: self.end_attempt(attempt, api.Outcome.TIMEOUT))
        self.check_engine(target)

    def run_until(self, end: float) -> None:
        while True:
            timer_times = [dispatcher.next_timer for dispatcher in self.dispatchers if dispatcher is not None]
            has_inputs = any(self.inputs[n] for n in range(GATEWAYS) if self.dispatchers[n] is not None)
            due = min([*timer_times, self.timers[0][0] if self.timers else math.inf])
            due = self.now if has_inputs else max(self.now, due)
            if due > end:
                self.now = end
                return
            self.now = due
            while self.timers and self.timers[0][0] <= self.now:
                heapq.heappop(self.timers)[2]()
            for number, dispatcher in enumerate(self.dispatchers):
                if dispatcher is not None and (self.inputs[number] or dispatcher.next_timer <= self.now):
                    self.step_gateway(number)


EXEC_TIME_FIELDS = ("latency_per_cost", "work_per_cost", "uncontended_work_per_cost")


def corrupt(entries: StoredEntries, factor: float) -> StoredEntries:
    """Returns entries with exec times multiplied by a factor, and with every second engine ejected."""
    corrupted = dict(entries)
    for key, entry in entries.items():
        value = records.decode(key, entry)
        if isinstance(value, records.ClassRecord):
            exec_times = {name: getattr(value, name) * factor for name in EXEC_TIME_FIELDS}
            value = with_fields(value, **exec_times)
        elif isinstance(value, records.EngineRecord) and int(key[3:]) % 2:
            value = with_fields(
                value,
                is_ejected=True,
                failure_ratio=1.0,
                last_outcome_at=value.last_listed_at,
                probe_request_interval=0.4,
            )
        corrupted[key] = records.make_change(key, value).entry or entry
    return corrupted


STATE_AGES = {"right": DOWNTIME, "1 h": 3600.0, "1 day": 86_400.0, "30 days": 2_592_000.0}
OMITTED_KINDS = {"- classes": records.CLASS, "- engines": records.ENGINE, "- fleet": records.FLEET}
CONDITIONS = ("none", *STATE_AGES, "10x long", "10x short", *OMITTED_KINDS, "no kill")


def measure_served_ratios(situation: str, condition: str, seed: int) -> list[float]:
    """Returns, for each span after the restart, the ratio of served to submitted priority weight."""
    fleet = Fleet(situation, seed)
    for number in range(GATEWAYS):
        fleet.start_gateway(number, {}, 1e9)
    fleet.run_until(KILL_AT)
    if condition != "no kill":
        fleet.kill_gateways()
    fleet.run_until(KILL_AT + DOWNTIME)
    restarted_at = fleet.now
    for number in range(GATEWAYS) if condition != "no kill" else ():
        entries = fleet.stored_entries[number]
        if condition == "none":
            entries = {}
        elif condition.startswith("10x"):
            entries = corrupt(entries, 10.0 if condition == "10x long" else 0.1)
        elif condition in OMITTED_KINDS:
            entries = {
                key: entry
                for key, entry in entries.items()
                if records.kind_of(key) != OMITTED_KINDS[condition]
            }
        # Older state has another boot id, so that its age is computed from the wall clock.
        age = STATE_AGES.get(condition, DOWNTIME)
        run_entry = entries.get(records.RUN)
        if run_entry is not None and age > DOWNTIME:
            run_record = records.decode(records.RUN, run_entry)
            assert isinstance(run_record, records.RunRecord)
            aged_entry = records.make_change(
                records.RUN, with_fields(run_record, boot_id="older", wall_s=1e9 + restarted_at - age)
            ).entry
            assert aged_entry is not None
            entries = entries | {records.RUN: aged_entry}
        fleet.start_gateway(number, entries, 1e9 + restarted_at)
    fleet.run_until(restarted_at + MEASURED_TIME + 10.0)
    served_ratios = []
    for span in MEASURED_SPANS:
        span_records = [w for w in fleet.weight_records if restarted_at <= w[0] < restarted_at + span]
        served_ratios.append(sum(w[2] for w in span_records) / max(1e-9, sum(w[1] for w in span_records)))
    return served_ratios


def _run_job(job: tuple[str, str, int]) -> list[float]:
    return measure_served_ratios(*job)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--situation", choices=list(SITUATION_LOADS))
    parser.add_argument("--json")
    options = parser.parse_args()
    situations = [options.situation] if options.situation else list(SITUATION_LOADS)
    jobs = [(s, c, n) for s in situations for c in CONDITIONS for n in range(1, options.seeds + 1)]
    with ProcessPoolExecutor(options.jobs) as pool:
        results = dict(zip(jobs, pool.map(_run_job, jobs), strict=True))
    print("served / submitted priority weight (difference to `none`: mean and deviation over seeds)")
    print(f"{'':22}" + "".join(f"{f'first {s:g} s':>26}" for s in MEASURED_SPANS))
    for situation in situations:
        for condition in CONDITIONS:
            cells = []
            for index in range(len(MEASURED_SPANS)):
                ratios = [results[situation, condition, n][index] for n in range(1, options.seeds + 1)]
                baseline_ratios = [results[situation, "none", n][index] for n in range(1, options.seeds + 1)]
                differences = np.subtract(ratios, baseline_ratios)
                deviation = differences.std(ddof=1) if len(differences) > 1 else 0.0
                cells.append(f"{np.mean(ratios):8.3f} ({differences.mean():+.3f} ± {deviation:.3f})")
            print(f"{situation:>10} {condition:>10} " + "".join(f"{c:>26}" for c in cells))
    if options.json:
        with Path(options.json).open("w") as output:
            json.dump([[*job, *result] for job, result in results.items()], output)


if __name__ == "__main__":
    main()
