"""Simulates the load that all dispatchers together send to cold nodes, and compares it with the budget.

Runs in virtual time with the real decisions of `policy.Gateway`. Traffic, answers and restarts are random.
The network protocol is not simulated, because only the times and targets of the attempts matter here.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from ... import interface as api
from ...policy import Gateway

CLASSES = (
    api.ClassSettings("small", latency_objective=0.75, deadline=4.0, priority_weight=1.0, threads=1),
    api.ClassSettings(
        "large",
        latency_objective=2.0,
        deadline=20.0,
        priority_weight=10.0,
        late_priority_weight=0.4,
        threads=3,
    ),
)
# For each class, the mean work of a query in core seconds and the class's weight in the traffic.
MEAN_WORK_BY_CLASS, TRAFFIC_SHARES = (0.13, 3.5), (15.0, 2.3)
MEAN_WORK = sum(work * share for work, share in zip(MEAN_WORK_BY_CLASS, TRAFFIC_SHARES, strict=True)) / sum(
    TRAFFIC_SHARES
)
# The constants of these names in `shape` have the same meaning, but other values.
OVERLOAD_FACTOR, OVERLOAD_WINDOW_S, INITIAL_CAPACITY_RATIO, SLOW_START_S, CORES = 4.0, 3.0, 0.25, 15.0, 8.0
LEARNING_PERIOD_S = 20.0  # traffic before the cold nodes are added
WORK_VARIATION = 1.2  # coefficient of variation of the work of a query
# Shares of the attempts that are rejected or reset, and of the peer messages that are lost.
REJECTED_RATIO, RESET_RATIO, MESSAGE_LOSS_RATIO = 0.03, 0.02, 0.01


@dataclass(frozen=True, slots=True)
class ColdNodeScenario:
    """One randomly generated run.

    Attributes:
        dispatchers: The number of dispatchers.
        nodes: The number of warm nodes.
        cold: The number of cold nodes that are added after the learning period.
        load: The requested share of the cores of the warm nodes.
        estimate_error: The largest factor between the estimated cost of a query and its work.
        restarted_share: The number of restarts of randomly chosen dispatchers, relative to the number of
            dispatchers. They occur within two overload windows after the cold nodes were added.
        failure_factor: A multiplier of the usual shares of rejected and reset attempts.
    """

    dispatchers: int
    nodes: int
    cold: int
    seed: int
    load: float = 0.7
    estimate_error: float = 3.0
    restarted_share: float = 0.1
    failure_factor: float = 1.0


@dataclass(slots=True)
class ColdNodeLoad:
    """The load of the cold nodes.

    If the budget allows N calls in an overload window, up to N + 2 sqrt(N) + 2 calls are attributed to
    chance. Each ratio compares the load in one window with this number, and is the largest over all nodes and
    windows.

    Attributes:
        call_ratio: The ratio of the number of calls.
        work_ratio: The ratio of the work, in units of the mean work of a call.
        calls_per_node: The mean number of calls that a node received while it was cold.
        work_per_node: The work of these calls in core seconds.
    """

    call_ratio: float = 0.0
    work_ratio: float = 0.0
    calls_per_node: float = 0.0
    work_per_node: float = 0.0


@dataclass(eq=False)
class _Dispatcher:
    """One dispatcher, replaced by a new instance when it restarts."""

    gateway: Gateway
    started_at: float
    attempt_counts: dict[int, int] = field(default_factory=dict)


class _Simulation:
    def __init__(self, scenario: ColdNodeScenario) -> None:
        self.scenario, self.random, self.now = scenario, Random(f"cold {scenario.seed}"), 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = self.request_count = 0
        self.request_work: dict[int, tuple[float, int]] = {}
        self.ended_attempts: set[tuple[int, int, int]] = set()
        self.sends: dict[bytes, list[tuple[float, float]]] = {}
        self.warm_entries = [self._entry(10, index, 0.0) for index in range(scenario.nodes)]
        self.cold_entries = [self._entry(11, index, LEARNING_PERIOD_S) for index in range(scenario.cold)]
        self.dispatchers = [self._new_dispatcher(index) for index in range(scenario.dispatchers)]

    @staticmethod
    def _entry(name_prefix: int, index: int, started: float) -> api.EngineEntry:
        """Returns the entry of a node. The first byte of its name is 10 for a warm and 11 for a cold node."""
        return api.EngineEntry(
            bytes([name_prefix, 0, index // 256, index % 256]), api.EngineState.READY, started
        )

    def _new_dispatcher(self, position: int) -> _Dispatcher:
        settings = api.Settings(
            classes=CLASSES,
            machine_types=(api.MachineType("std", CORES, 16384.0),),
            gateway_count=self.scenario.dispatchers,
            gateway_index=position,
            limits=api.Limits(
                can_cancel=True,
                hedged_requests_enabled=True,
                sends_retry_after=True,
                max_attempts=3,
                max_retry_after=0.5,
                gossip_enabled=True,
                connect_timeout=0.25,
                max_concurrent_streams=32,
            ),
            guarantees=api.Guarantees(
                response_slack=0.05,
                drain_grace_period=0.5,
                slow_start_overload_factor=OVERLOAD_FACTOR,
                slow_start_overload_window=OVERLOAD_WINDOW_S,
                slow_start_initial_ratio=INITIAL_CAPACITY_RATIO,
                slow_start_duration=SLOW_START_S,
                retry_budget_base=3.0,
                retry_budget_ratio=0.2,
                retry_budget_window=10.0,
            ),
            reports_work=True,
            memory_grants_enabled=True,
        )
        return _Dispatcher(Gateway(settings, self.random.randrange(2**32)), self.now)

    def schedule_at(self, time: float, callback: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (time, self.sequence, callback))

    def run(self) -> ColdNodeLoad:
        scenario, random = self.scenario, self.random
        for index in range(scenario.dispatchers):
            self.step(index, api.EndpointListUpdate(api.EndpointListMode.FULL, 1, tuple(self.warm_entries)))
        weights = [random.choice((1, 1, 1, 1, 3)) for _ in self.dispatchers]
        time, end = 0.0, LEARNING_PERIOD_S + SLOW_START_S
        while (time := time + random.expovariate(scenario.load * scenario.nodes * CORES / MEAN_WORK)) < end:
            dispatcher_index = random.choices(range(scenario.dispatchers), weights)[0]
            self.schedule_at(time, partial(self.submit_request, dispatcher_index))
        self.schedule_at(LEARNING_PERIOD_S, self.add_cold_nodes)
        for _ in range(round(scenario.restarted_share * scenario.dispatchers)):
            self.schedule_at(
                LEARNING_PERIOD_S + random.uniform(0.0, 2.0 * OVERLOAD_WINDOW_S),
                self.restart_random_dispatcher,
            )
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        return self.measure_load()

    def add_cold_nodes(self) -> None:
        for index in range(len(self.dispatchers)):
            self.step(index, api.EndpointListUpdate(api.EndpointListMode.DELTA, 2, tuple(self.cold_entries)))

    def restart_random_dispatcher(self) -> None:
        index = self.random.randrange(len(self.dispatchers))
        self.dispatchers[index] = self._new_dispatcher(index)
        self.step(
            index,
            api.EndpointListUpdate(api.EndpointListMode.FULL, 2, (*self.warm_entries, *self.cold_entries)),
        )

    def submit_request(self, index: int) -> None:
        random = self.random
        class_index = random.choices(range(len(CLASSES)), TRAFFIC_SHARES)[0]
        sigma = math.sqrt(math.log(1.0 + WORK_VARIATION**2))
        work = MEAN_WORK_BY_CLASS[class_index] * math.exp(random.gauss(-(sigma**2) / 2.0, sigma))
        estimate_error = math.log(self.scenario.estimate_error)
        cost = work * math.exp(random.uniform(-estimate_error, estimate_error))
        self.request_count += 1
        self.request_work[self.request_count] = work, class_index
        deadline, table_group = CLASSES[class_index].deadline, float(random.randrange(60))
        self.step(
            index,
            api.Arrival(
                self.request_count,
                class_index,
                deadline,
                estimated_cost=cost,
                estimated_memory_mb=100.0,
                table_group=table_group,
            ),
        )

    def step(self, index: int, event: api.Event) -> None:
        dispatcher = self.dispatchers[index]
        for action in dispatcher.gateway.step(self.now, [event]):
            if isinstance(action, api.SetTimer):
                timer_fired = api.TimerFired(action.token)
                self.schedule_at(
                    max(action.deadline, self.now),
                    partial(self.step_if_current, index, dispatcher, timer_fired),
                )
            elif isinstance(action, api.Dispatch):
                self.send(index, dispatcher, action)
            elif isinstance(action, api.Cancel):
                self.schedule_attempt_end(
                    index, dispatcher, action.request, action.attempt, b"", api.Outcome.CANCELLED, 0.0, 0.001
                )
            elif isinstance(action, api.SendGossip):
                self.broadcast(index, action.data)

    def step_if_current(self, index: int, dispatcher: _Dispatcher, event: api.Event) -> None:
        if self.dispatchers[index] is dispatcher:  # not restarted since the event was scheduled
            self.step(index, event)

    def broadcast(self, sender: int, data: bytes) -> None:
        message = api.PeerMessage(sender, data)
        for index in range(len(self.dispatchers)):
            if index != sender and self.random.random() > MESSAGE_LOSS_RATIO:
                self.schedule_at(self.now + 0.03, partial(self.step, index, message))

    def send(self, index: int, dispatcher: _Dispatcher, action: api.Dispatch) -> None:
        work, class_index = self.request_work[action.request]
        attempt = dispatcher.attempt_counts.get(action.request, 0)
        dispatcher.attempt_counts[action.request] = attempt + 1
        is_cold = action.engine[0] == 11
        if is_cold:
            self.sends.setdefault(action.engine, []).append((self.now, work))
        outcome_draw, failure_factor = self.random.random(), self.scenario.failure_factor
        duration_s = (
            work / CLASSES[class_index].threads * self.random.uniform(1.0, 2.0) * (3.0 if is_cold else 1.0)
        )
        if outcome_draw < REJECTED_RATIO * failure_factor:
            outcome, work, duration_s = api.Outcome.REJECTED, 0.0, 0.01
        elif outcome_draw < (REJECTED_RATIO + RESET_RATIO) * failure_factor:
            outcome, work, duration_s = api.Outcome.RESET, 0.0, 0.05
        else:
            outcome = api.Outcome.OK
        self.schedule_attempt_end(
            index, dispatcher, action.request, attempt, action.engine, outcome, work, duration_s
        )

    def schedule_attempt_end(
        self,
        index: int,
        dispatcher: _Dispatcher,
        request: int,
        attempt: int,
        engine: bytes,
        outcome: api.Outcome,
        work: float,
        duration_s: float,
    ) -> None:
        def on_end() -> None:
            if (index, request, attempt) not in self.ended_attempts:
                self.ended_attempts.add((index, request, attempt))
                is_final = outcome is api.Outcome.OK
                event = api.AttemptEnded(request, attempt, engine, outcome, duration_s, is_final, work)
                self.step_if_current(index, dispatcher, event)

        self.schedule_at(self.now + duration_s, on_end)

    def measure_load(self) -> ColdNodeLoad:
        load = ColdNodeLoad()
        for sends in self.sends.values():
            load.calls_per_node += len(sends) / len(self.cold_entries)
            load.work_per_node += sum(work for _, work in sends) / len(self.cold_entries)
            window_end, work_in_window = 0, 0.0
            for window_start, (time, work) in enumerate(sends):
                while window_end < len(sends) and sends[window_end][0] < time + OVERLOAD_WINDOW_S:
                    work_in_window += sends[window_end][1]
                    window_end += 1
                max_calls = allowed_calls(time - LEARNING_PERIOD_S)
                load.call_ratio = max(load.call_ratio, (window_end - window_start) / max_calls)
                load.work_ratio = max(load.work_ratio, work_in_window / MEAN_WORK / max_calls)
                work_in_window -= work
        return load


def allowed_calls(age: float) -> float:
    """Returns the number of calls that a node may receive in the overload window that starts at this age.

    The age is in seconds since the cold start. The number assumes calls of mean work, and includes the excess
    that is attributed to chance.
    """
    capacity_ratio = INITIAL_CAPACITY_RATIO + (1.0 - INITIAL_CAPACITY_RATIO) * min(1.0, age / SLOW_START_S)
    calls = OVERLOAD_FACTOR * CORES * capacity_ratio * OVERLOAD_WINDOW_S / MEAN_WORK
    return calls + 2.0 * math.sqrt(calls) + 2.0


def simulate(scenario: ColdNodeScenario) -> ColdNodeLoad:
    """Runs the scenario. The result depends only on the scenario and its seed."""
    return _Simulation(scenario).run()
