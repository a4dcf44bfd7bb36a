"""Simulates a fleet in virtual time: real dispatchers, a simulated network and stand-in nodes.

Makes runs of fleets that would need 1,000 machines reproducible for a given seed, and calculates the same
measures as for a run with processes. It does not replace such runs, because sockets, clocks and the CPU cost
of a step are not simulated.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ... import dispatch
from ... import interface as api
from ...simulator import settings as params
from ..model import EngineShape, Machine, Run
from .measures import IdleMonitor, Measures, measure
from .policies import PlacementPolicy
from .record import Record
from .schedule import Fault, Schedule
from .shape import (
    INITIAL_CAPACITY_RATIO,
    MEMORY_MB,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    SLOW_START_S,
    FleetShape,
    PlannedRequest,
    dispatcher_settings,
    draw_traffic,
)

MESSAGE_LATENCY_S, MESSAGE_LOSS_RATIO = 0.008, 0.01  # of the messages between dispatchers
# A node rejects queries beyond its slots. Above the knee, its throughput is divided by 1 plus the thrash
# factor times the threads per core above the knee.
QUERY_SLOTS_PER_CORE, KNEE_THREADS_PER_CORE, THRASH_FACTOR = 4, 1.6, 0.8
SAMPLE_INTERVAL_S = 0.05
LIST_DELAY_S = 1.0  # from a crash until the endpoint list reports it


@dataclass(eq=False, slots=True)
class _Attempt:
    """An attempt that has been sent to a node."""

    request: PlannedRequest
    dispatcher: int
    request_number: int
    attempt_number: int
    engine: bytes
    at: float


@dataclass(eq=False)
class VirtualNode:
    """One node with its machine and the attempts that run on it.

    Attributes:
        name: The id of the node.
        shape: The capacity of its machine.
        machine: The simulated machine.
        attempts: The attempt of each query on the machine.
        next_completion: The time at which the next query completes.
        fails_queries: Whether every new query fails.
        is_crashed: Whether connections to the node fail.
    """

    name: bytes
    shape: EngineShape
    machine: Machine
    attempts: dict[Run, _Attempt] = field(default_factory=dict)
    next_completion: float = math.inf
    fails_queries: bool = False
    is_crashed: bool = False


class VirtualFleet:
    """Runs one schedule.

    Args:
        shape: The size and traffic of the fleet.
        schedule: The faults of the run.
        policy: A simple policy that replaces the dispatchers, or None for the real dispatchers.
    """

    def __init__(self, shape: FleetShape, schedule: Schedule, policy: PlacementPolicy | None = None) -> None:
        self.shape, self.schedule, self.policy = shape, schedule, policy
        self.now, self.random = 0.0, Random(f"virtual {shape.seed}")
        self.record, self.idle_monitor = Record(clock=lambda: self.now), IdleMonitor(shape.cores)
        self.nodes: dict[bytes, VirtualNode] = {}
        self.deaf_dispatchers: set[int] = set()
        self.draining_nodes: set[bytes] = set()
        self.message_count = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._requests: dict[tuple[int, int], PlannedRequest] = {}
        self._timer_deadlines = [math.inf] * shape.dispatchers
        self._connections: set[tuple[int, bytes]] = set()
        positions = range(0 if policy else shape.dispatchers)
        parameters = [params.Params.from_object(dispatcher_settings(shape, n)) for n in positions]
        gateway_settings = map(params.read_settings, parameters)
        self.dispatchers = [
            dispatch.Dispatcher(settings, shape.seed * 1000 + n)
            for n, settings in enumerate(gateway_settings)
        ]

    # --- time ---

    def schedule_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a virtual time in seconds."""
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, callback))

    def run(self) -> Measures:
        """Runs the schedule and returns the measures."""
        entries = [self._add_node(f"s-{n:05d}".encode(), cold=False) for n in range(self.shape.nodes)]
        self.update_list(entries, api.EndpointListMode.FULL)
        for request in draw_traffic(self.shape, self.schedule.seconds):
            self.schedule_at(request.at, lambda request=request: self._submit(request))  # type: ignore[misc]
        for fault in self.schedule.faults:
            self.schedule_at(fault.at, lambda fault=fault: self._inject(fault))  # type: ignore[misc]
        self.schedule_at(SAMPLE_INTERVAL_S, self._sample_nodes)
        end = self.schedule.seconds + 30.0
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        return measure(
            self.record,
            self.shape,
            self.idle_monitor,
            self.schedule,
            self.message_count,
            len(self._connections),
        )

    def _sample_nodes(self) -> None:
        if self.now < self.schedule.seconds:
            thread_counts = [sum(run.threads for run in node.machine.running) for node in self.ready_nodes()]
            self.idle_monitor.add_sample(
                thread_counts, sum(dispatcher.queued_count for dispatcher in self.dispatchers)
            )
            self.schedule_at(self.now + SAMPLE_INTERVAL_S, self._sample_nodes)

    # --- dispatchers ---

    def ready_nodes(self) -> list[VirtualNode]:
        """Returns the nodes that are ready now, even if the endpoint list is not up to date."""
        return [n for n in self.nodes.values() if not n.is_crashed and n.name not in self.draining_nodes]

    def _step(self, position: int, *inputs: dispatch.Input) -> None:
        dispatcher = self.dispatchers[position]
        for effect in dispatcher.step(self.now, list(inputs)):
            self._apply_effect(position, effect)
        deadline = dispatcher.next_timer
        if deadline < self._timer_deadlines[position]:
            self._timer_deadlines[position] = deadline
            self.schedule_at(max(deadline, self.now), lambda: self._on_timer(position, deadline))

    def _on_timer(self, position: int, deadline: float) -> None:
        if self._timer_deadlines[position] == deadline:
            self._timer_deadlines[position] = math.inf
            self._step(position)

    def _submit(self, request: PlannedRequest) -> None:
        self.record.planned_requests[request.request_id] = request
        event_fields = {"query": request.request_id, "gateway": f"d{request.dispatcher}"}
        limit = self.now + request.query_class.deadline
        self.record.add(
            "asked",
            **event_fields,
            cls=request.query_class.name,
            key=request.key,
            limit=limit,
            work=request.work,
        )
        if self.policy is not None:
            engine = self.policy.choose_node(self.now, request, self.ready_nodes())
            if engine is not None:
                self._send(request, request.dispatcher, 0, 0, engine)
            return
        dispatcher = self.dispatchers[request.dispatcher]
        number = dispatcher.new_request()
        self._requests[request.dispatcher, number] = request
        class_index = self.shape.query_classes.index(request.query_class)
        estimated_cost = request.work * self.random.uniform(0.7, 1.4)
        ordering_key = int(request.key, 16) if request.key else 0
        self._step(
            request.dispatcher,
            dispatch.Submit(
                number,
                class_index,
                request.query_class.deadline,
                ordering_key=ordering_key,
                estimated_cost=estimated_cost,
                estimated_memory_mb=1.0,
                table_group=float(request.table_group),
            ),
        )

    def _apply_effect(self, position: int, effect: dispatch.Effect) -> None:
        if isinstance(effect, dispatch.StartAttempt):
            request = self._requests[position, effect.request]
            self._send(request, position, effect.request, effect.attempt, effect.engine)
        elif isinstance(effect, (dispatch.CancelAttempt, dispatch.DiscardAttempt, dispatch.WithdrawAttempt)):
            for node in self.nodes.values():
                for run, attempt in list(node.attempts.items()):
                    if (attempt.dispatcher, attempt.request_number, attempt.attempt_number) == (
                        position,
                        effect.request,
                        effect.attempt,
                    ):
                        self._end_attempt(node, run, api.Outcome.CANCELLED)
        elif isinstance(effect, (dispatch.CompleteRequest, dispatch.RejectRequest, dispatch.FailRequest)):
            codes = {
                dispatch.CompleteRequest: "OK",
                dispatch.RejectRequest: "UNAVAILABLE",
                dispatch.FailRequest: "ABORTED",
            }
            self._answer(self._requests[position, effect.request], codes[type(effect)])
        elif isinstance(effect, api.SendGossip):
            for receiver in range(len(self.dispatchers)):
                if (
                    receiver != position
                    and receiver not in self.deaf_dispatchers
                    and self.random.random() > MESSAGE_LOSS_RATIO
                ):
                    self.message_count += 1
                    message = api.PeerMessage(position, effect.data)
                    self.schedule_at(
                        self.now + MESSAGE_LATENCY_S,
                        lambda receiver=receiver, message=message: self._step(receiver, message),  # type: ignore[misc]
                    )

    def _answer(self, request: PlannedRequest, code: str) -> None:
        event_fields = {"query": request.request_id, "gateway": f"d{request.dispatcher}"}
        self.record.add("answer", **event_fields, code=code, promise=code == "UNAVAILABLE")

    # --- nodes ---

    def _add_node(self, name: bytes, cold: bool) -> api.EngineEntry:
        shape = EngineShape(
            self.shape.cores,
            MEMORY_MB,
            1.0,
            INITIAL_CAPACITY_RATIO,
            SLOW_START_S,
            OVERLOAD_FACTOR,
            OVERLOAD_WINDOW_S,
            KNEE_THREADS_PER_CORE,
            THRASH_FACTOR,
        )
        # A start in the distant past means a warm node.
        self.nodes[name] = VirtualNode(name, shape, Machine(shape, self.now if cold else -1e9))
        return api.EngineEntry(name, api.EngineState.READY, self.now if cold else 0.0)

    def update_list(
        self, entries: list[api.EngineEntry], mode: api.EndpointListMode = api.EndpointListMode.DELTA
    ) -> None:
        """Sends an endpoint list update to all dispatchers."""
        for position in range(len(self.dispatchers)):
            self._step(position, api.EndpointListUpdate(mode, 1, tuple(entries)))

    def _send(
        self, request: PlannedRequest, position: int, request_number: int, attempt_number: int, engine: bytes
    ) -> None:
        node = self.nodes[engine]
        self._connections.add((position, engine))
        self.record.add_attempt(request.request_id, engine.decode(), 0)
        attempt = _Attempt(request, position, request_number, attempt_number, engine, self.now)
        node.machine.advance(self.now)
        if node.is_crashed:
            self.schedule_at(self.now + 0.001, lambda: self._report_end(attempt, api.Outcome.CONNECT_FAILED))
        elif node.fails_queries:
            self.schedule_at(self.now + 0.001, lambda: self._report_end(attempt, api.Outcome.ERROR))
        elif len(node.machine.running) >= QUERY_SLOTS_PER_CORE * self.shape.cores:
            self.schedule_at(self.now + 0.001, lambda: self._report_end(attempt, api.Outcome.REJECTED))
        else:
            run = Run(request.work, float(request.query_class.threads), 1.0)
            node.attempts[run] = attempt
            if not node.machine.add(run, self.now):  # overloaded while cold
                self.record.add("fell", engine=engine.decode(), incarnation=0)
                node.machine.hung = True
            self._complete_and_reschedule(node)

    def _complete_and_reschedule(self, node: VirtualNode) -> None:
        node.machine.advance(self.now)
        for run in node.machine.collect():
            self._end_attempt(node, run, api.Outcome.OK)
        next_completion = node.machine.next_end(self.now)
        if next_completion < 1e9:
            node.next_completion = max(next_completion, self.now + 1e-6)
            self.schedule_at(
                node.next_completion,
                lambda due_time=node.next_completion: self._on_completion_due(node, due_time),  # type: ignore[misc]
            )

    def _on_completion_due(self, node: VirtualNode, due_time: float) -> None:
        if node.next_completion == due_time:
            self._complete_and_reschedule(node)

    def _end_attempt(self, node: VirtualNode, run: Run, outcome: api.Outcome) -> None:
        attempt = node.attempts.pop(run, None)
        if attempt is None:
            return
        if outcome is not api.Outcome.OK:
            node.machine.remove(run, self.now)
            self._complete_and_reschedule(node)
        self.schedule_at(self.now, lambda: self._report_end(attempt, outcome))

    def _report_end(self, attempt: _Attempt, outcome: api.Outcome) -> None:
        if self.policy is not None:
            self.policy.on_attempt_end(attempt.request, attempt.engine, outcome)
            self._answer(attempt.request, "OK" if outcome is api.Outcome.OK else "ABORTED")
            return
        elapsed, work = self.now - attempt.at, attempt.request.work if outcome is api.Outcome.OK else 0.0
        self._step(
            attempt.dispatcher,
            dispatch.AttemptDone(attempt.request_number, attempt.attempt_number, outcome, elapsed, work, 1.0),
        )

    # --- faults ---

    def _inject(self, fault: Fault) -> None:
        """Injects a fault. Kinds that need real processes or connections are ignored."""
        names = [f"s-{n:05d}".encode() for n in fault.targets]
        targets = [self.nodes[name] for name in names if name in self.nodes] if "node" in fault.kind else []
        end = self.now + fault.duration
        if fault.kind == "node slow":
            for node in targets:
                self._set_slowdown(node, 2.0 + 8.0 * fault.severity)
                self.schedule_at(end, lambda node=node: self._set_slowdown(node, 1.0))  # type: ignore[misc]
        elif fault.kind == "node hang":
            for node in targets:
                self._set_hung(node, True)
                self.schedule_at(end, lambda node=node: self._set_hung(node, False))  # type: ignore[misc]
        elif fault.kind == "node errors":
            for node in targets:
                node.fails_queries = True
                self.schedule_at(end, lambda node=node: setattr(node, "fails_queries", False))  # type: ignore[misc]
        elif fault.kind in ("node crash", "node late", "node replaced"):
            self._replace_nodes(targets, end, fault.kind == "node replaced")
        elif fault.kind == "peers deaf":
            self.deaf_dispatchers |= set(fault.targets)
            self.schedule_at(end, self.deaf_dispatchers.clear)

    def _set_slowdown(self, node: VirtualNode, slowdown: float) -> None:
        node.machine.advance(self.now)
        node.machine.slowdown = slowdown
        self._complete_and_reschedule(node)

    def _set_hung(self, node: VirtualNode, is_hung: bool) -> None:
        node.machine.advance(self.now)
        node.machine.hung = is_hung
        self._complete_and_reschedule(node)

    def _replace_nodes(self, targets: list[VirtualNode], end: float, is_graceful: bool) -> None:
        """Removes the nodes and adds cold ones with new ids.

        A graceful replacement adds the new nodes at once. The old nodes drain and leave the list at `end`.
        Otherwise the old nodes crash at once and the new ones are added at `end`.
        """
        removed_entries = [api.EngineEntry(node.name, api.EngineState.REMOVED) for node in targets]
        if is_graceful:
            self.draining_nodes |= {node.name for node in targets}
            self.update_list([api.EngineEntry(n.name, api.EngineState.DRAINING) for n in targets])
        else:
            self.schedule_at(self.now + LIST_DELAY_S, lambda: self.update_list(removed_entries))
        for node in targets:
            if not is_graceful:
                self._crash(node)
            new_name = b"n-" + node.name
            return_time = self.now if is_graceful else end
            self.schedule_at(
                return_time,
                lambda name=new_name: self.update_list([self._add_node(name, cold=True)]),  # type: ignore[misc]
            )
        if is_graceful:
            self.schedule_at(end, lambda: self.update_list(removed_entries))
        for node in targets if is_graceful else ():
            self.schedule_at(end + 1.0, lambda node=node: self._crash(node))  # type: ignore[misc]

    def _crash(self, node: VirtualNode) -> None:
        node.is_crashed = True
        for run in list(node.attempts):
            self._end_attempt(node, run, api.Outcome.RESET)
