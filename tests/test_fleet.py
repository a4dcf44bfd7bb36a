"""A deployment in virtual time: 230 real dispatchers and 300 simulated engines, checked as a whole.

The rules must hold for the sum over all gateways. A class that each gateway rarely receives must
still be served although limits are divided by the number of gateways.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from saffronlane import dispatch
from saffronlane import interface as api
from saffronlane.interface import EndpointListMode, EngineState, Outcome

GATEWAY_COUNT, ENGINE_COUNT, CORES_PER_ENGINE = 230, 300, 8.0
SHORT, RARE = 0, 1  # indices of the classes
GUARANTEES = api.Guarantees(
    drain_grace_period=0.5,
    slow_start_overload_factor=4.0,
    slow_start_overload_window=3.0,
    slow_start_initial_ratio=0.31,
    slow_start_duration=13.0,
    retry_budget_base=3.0,
    retry_budget_ratio=0.2,
    retry_budget_window=10.0,
)
LIMITS = api.Limits(
    can_cancel=True,
    hedged_requests_enabled=True,
    gossip_enabled=True,
    sends_retry_after=True,
    max_attempts=3,
    max_retry_after=0.5,
    connect_timeout=0.25,
)
CLASSES = (
    api.ClassSettings("short", latency_objective=0.75, deadline=4.0, latency_objective_per_work=1.5),
    api.ClassSettings(
        "rare",
        latency_objective=2.0,
        deadline=20.0,
        priority_weight=10.0,
        late_priority_weight=0.4,
        latency_objective_per_work=2.5,
        threads=3,
    ),
)
MEAN_WORK = (0.13, 3.4)  # thread seconds, by class


def settings(gateway_index: int) -> api.Settings:
    machine_type = api.MachineType("kind", CORES_PER_ENGINE, 4096.0)
    return api.Settings(
        CLASSES,
        (machine_type,),
        GATEWAY_COUNT,
        gateway_index,
        guarantees=GUARANTEES,
        limits=LIMITS,
        reports_work=True,
        min_step_interval=0.005,
        memory_grants_enabled=True,
    )


def engine_id(index: int) -> bytes:
    return b"s-%05d" % index


@dataclass
class ClientRequest:
    """A request and the final answers that its client received.

    Attributes:
        class_index: Index of its class.
        arrived_at: Time of its arrival in seconds.
        expires_at: Time at which its client stops waiting, in seconds.
        answers: Type names of its final answers.
        attempts: Number of its attempts so far.
    """

    class_index: int
    arrived_at: float
    expires_at: float
    answers: list[str] = field(default_factory=list)
    attempts: int = 0


class SimulatedFleet:
    """Dispatchers, engines that share their cores among all attempts, and lossy gossip.

    Attributes:
        now: The present time in seconds.
        dispatchers: The dispatchers of all gateways.
        events: Heap of scheduled calls: time, sequence number and function.
        sequence: Sequence number of the last scheduled call.
        wake_times: Time of the next scheduled step of each dispatcher; infinite if there is none.
        requests: Requests by gateway and request number.
        in_flight: Threads of the attempts in flight by engine, then by gateway, request and attempt.
        states: Last listed state of each engine, and the time at which it was listed.
        start_times: Start time of each engine that was listed with one.
        dispatches: Time and work of the dispatches to each engine.
        retries: Times of the retries by gateway.
        arrivals: Times of the arrivals by gateway.
        work_by_request: Work in thread seconds by gateway and request.
        gossip_count: Number of gossip messages.
    """

    def __init__(self, seed: int, gateway_count: int = GATEWAY_COUNT) -> None:
        self.random, self.now = Random(seed), 0.0
        self.dispatchers = [dispatch.Dispatcher(settings(n), seed + n) for n in range(gateway_count)]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.wake_times = [math.inf] * gateway_count
        self.requests: dict[tuple[int, int], ClientRequest] = {}
        self.in_flight: dict[bytes, dict[tuple[int, int, int], float]] = defaultdict(dict)
        self.states: dict[bytes, tuple[EngineState, float]] = {}
        self.start_times: dict[bytes, float] = {}
        self.dispatches: dict[bytes, list[tuple[float, float]]] = defaultdict(list)
        self.retries: dict[int, list[float]] = defaultdict(list)
        self.arrivals: dict[int, list[float]] = defaultdict(list)
        self.work_by_request: dict[tuple[int, int], float] = {}
        self.gossip_count = 0

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (time, self.sequence, action))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def step(self, gateway: int, *inputs: dispatch.Input) -> None:
        dispatcher = self.dispatchers[gateway]
        for effect in dispatcher.step(self.now, list(inputs)):
            self.execute_effect(gateway, effect)
        due_at = dispatcher.next_timer
        if due_at < self.wake_times[gateway]:
            self.wake_times[gateway] = due_at
            self.schedule(max(due_at, self.now), lambda: self.wake(gateway, due_at))

    def wake(self, gateway: int, due_at: float) -> None:
        if self.wake_times[gateway] == due_at:
            self.wake_times[gateway] = math.inf
            self.step(gateway)

    def update_endpoints(self, entries: list[api.EngineEntry], mode: EndpointListMode) -> None:
        for entry in entries:
            self.states[entry.engine] = (entry.state, self.now)
            if entry.started_at:
                self.start_times[entry.engine] = entry.started_at
        for gateway in range(len(self.dispatchers)):
            self.step(gateway, api.EndpointListUpdate(mode, 1, tuple(entries)))

    def submit(self, gateway: int, class_index: int) -> None:
        dispatcher, work = (
            self.dispatchers[gateway],
            MEAN_WORK[class_index] * self.random.lognormvariate(-0.3, 0.77),
        )
        number, class_settings = dispatcher.new_request(), CLASSES[class_index]
        self.requests[gateway, number] = ClientRequest(
            class_index, self.now, self.now + class_settings.deadline
        )
        self.work_by_request[gateway, number] = work
        self.arrivals[gateway].append(self.now)
        cost = work * self.random.uniform(0.7, 1.4)
        table_group = float(min(self.random.randrange(600), self.random.randrange(600)))
        submission = dispatch.Submit(
            number,
            class_index,
            class_settings.deadline,
            estimated_cost=cost,
            estimated_memory_mb=60.0 * cost,
            table_group=table_group,
        )
        self.step(gateway, submission)

    # --- Effects of dispatchers ---

    def execute_effect(self, gateway: int, effect: dispatch.Effect) -> None:
        if isinstance(effect, dispatch.StartAttempt):
            self.start(gateway, effect)
        elif isinstance(effect, (dispatch.CancelAttempt, dispatch.DiscardAttempt)):
            self.cancel(gateway, effect.request, effect.attempt, Outcome.CANCELLED)
        elif isinstance(effect, (dispatch.CompleteRequest, dispatch.RejectRequest, dispatch.FailRequest)):
            self.requests[gateway, effect.request].answers.append(type(effect).__name__)
            assert self.now <= self.requests[gateway, effect.request].expires_at  # rule 1: answers in time
        elif isinstance(effect, api.SendGossip):
            self.gossip_count += 1
            for peer in range(len(self.dispatchers)):
                if peer != gateway and self.random.random() > 0.01:
                    message = api.PeerMessage(gateway, effect.data)
                    self.schedule(
                        self.now + 0.008, lambda peer=peer, message=message: self.step(peer, message)
                    )

    def start(self, gateway: int, effect: dispatch.StartAttempt) -> None:
        request, engine = self.requests[gateway, effect.request], effect.engine
        state, listed_at = self.states[engine]
        # Rule 3: draining and removed engines get no attempts after the grace period.
        assert state is EngineState.READY or self.now <= listed_at + GUARANTEES.drain_grace_period
        key, work = (gateway, effect.request, effect.attempt), self.work_by_request[gateway, effect.request]
        if request.attempts:
            self.retries[gateway].append(self.now)
        request.attempts += 1
        threads = float(CLASSES[request.class_index].threads)
        self.dispatches[engine].append((self.now, work))
        in_flight = self.in_flight[engine]
        busy_threads = sum(in_flight.values())
        if busy_threads >= 4.0 * CORES_PER_ENGINE:
            self.schedule(self.now + 0.001, lambda: self.end_attempt(key, engine, Outcome.REJECTED, 0.001))
            return
        in_flight[key] = threads
        warmup_remaining = max(
            0.0, 1.0 - (self.now - self.start_times.get(engine, -math.inf)) / GUARANTEES.slow_start_duration
        )
        effective_cores = CORES_PER_ENGINE * (
            1.0 - warmup_remaining * (1.0 - GUARANTEES.slow_start_initial_ratio)
        )
        elapsed = work / threads * max(1.0, (busy_threads + threads) / effective_cores)
        self.schedule(self.now + elapsed, lambda: self.end_attempt(key, engine, Outcome.OK, elapsed))

    def cancel(self, gateway: int, request: int, attempt: int, outcome: Outcome) -> None:
        attempt_done = dispatch.AttemptDone(request, attempt, outcome, 0.1)
        for in_flight in self.in_flight.values():
            if in_flight.pop((gateway, request, attempt), None) is not None:
                self.schedule(self.now, lambda: self.step(gateway, attempt_done))
                return

    def end_attempt(self, key: tuple[int, int, int], engine: bytes, outcome: Outcome, elapsed: float) -> None:
        was_cancelled = self.in_flight[engine].pop(key, None) is None
        if outcome is Outcome.OK and was_cancelled:
            return
        work = self.work_by_request[key[:2]]
        self.step(key[0], dispatch.AttemptDone(key[1], key[2], outcome, elapsed, work, 50.0 * work))

    # --- Checks over all gateways ---

    def check_rules(self) -> None:
        for gateway in range(len(self.dispatchers)):
            # Rule 7: retries stay within the retry budget.
            for window_end in self.retries[gateway]:
                retry_count = sum(
                    window_end - GUARANTEES.retry_budget_window < time <= window_end
                    for time in self.retries[gateway]
                )
                arrival_count = sum(
                    window_end - GUARANTEES.retry_budget_window < time <= window_end
                    for time in self.arrivals[gateway]
                )
                assert (
                    retry_count
                    <= GUARANTEES.retry_budget_base + GUARANTEES.retry_budget_ratio * arrival_count
                )
        # Rule 4: engines in slow start are not overloaded.
        for engine, started_at in self.start_times.items():
            warmup_dispatches = [
                (time, work)
                for time, work in self.dispatches[engine]
                if time < started_at + GUARANTEES.slow_start_duration
            ]
            for window_start, _ in warmup_dispatches:
                window_work = sum(
                    work
                    for time, work in warmup_dispatches
                    if window_start <= time < window_start + GUARANTEES.slow_start_overload_window
                )
                warmup_ratio = (window_start - started_at) / GUARANTEES.slow_start_duration
                effective_cores = CORES_PER_ENGINE * (
                    GUARANTEES.slow_start_initial_ratio
                    + (1.0 - GUARANTEES.slow_start_initial_ratio) * warmup_ratio
                )
                assert (
                    window_work
                    <= GUARANTEES.slow_start_overload_factor
                    * effective_cores
                    * GUARANTEES.slow_start_overload_window
                )
        assert all(len(request.answers) == 1 for request in self.requests.values())
        assert not any(
            dispatcher.in_flight_count or dispatcher.pending_count for dispatcher in self.dispatchers
        )

    def completed_ratio(self, class_index: int) -> float:
        answers = Counter(
            request.answers[0] for request in self.requests.values() if request.class_index == class_index
        )
        return answers["CompleteRequest"] / max(1, sum(answers.values()))


@pytest.mark.parametrize("seed", [1])
def test_rare_heavy_class_is_served_and_all_gateways_together_keep_the_rules(seed: int) -> None:
    """Engines are drained, removed and started under load.

    Guards against limits per gateway that starve a rare class, or that add up to more than the rules allow.
    The test fails if the slow start budget (rule 4) is removed.
    """
    fleet = SimulatedFleet(seed)
    fleet.update_endpoints(
        [api.EngineEntry(engine_id(n), EngineState.READY) for n in range(ENGINE_COUNT)], EndpointListMode.FULL
    )
    random = fleet.random
    # Requests per second at each gateway; the load is uneven.
    rates = [random.choice((0.5, 1.0, 1.0, 3.0)) for _ in range(GATEWAY_COUNT)]
    for gateway, rate in enumerate(rates):
        time = 0.1 + random.expovariate(rate)
        while time < 6.0:
            class_index = RARE if random.random() < 0.06 else SHORT
            fleet.schedule(
                time, lambda gateway=gateway, class_index=class_index: fleet.submit(gateway, class_index)
            )
            time += random.expovariate(rate)
    replaced_indices = range(0, ENGINE_COUNT, 10)
    draining_entries = [api.EngineEntry(engine_id(n), EngineState.DRAINING) for n in replaced_indices]
    new_entries = [
        api.EngineEntry(engine_id(n + 1000), EngineState.READY, started_at=2.0) for n in replaced_indices
    ]
    removed_entries = [api.EngineEntry(engine_id(n), EngineState.REMOVED) for n in replaced_indices]
    fleet.schedule(1.5, lambda: fleet.update_endpoints(draining_entries, EndpointListMode.DELTA))
    fleet.schedule(2.1, lambda: fleet.update_endpoints(new_entries, EndpointListMode.DELTA))
    fleet.schedule(4.0, lambda: fleet.update_endpoints(removed_entries, EndpointListMode.DELTA))
    fleet.run(40.0)
    fleet.check_rules()
    assert fleet.completed_ratio(SHORT) > 0.98 and fleet.completed_ratio(RARE) > 0.95
    used_engines = [engine for engine in fleet.start_times if fleet.dispatches[engine]]
    assert len(used_engines) > len(fleet.start_times) / 2  # most new engines are used in slow start
