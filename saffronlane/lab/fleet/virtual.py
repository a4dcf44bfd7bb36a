"""A fleet in virtual time: true dispatchers on a simulated wire, stand-in nodes, the measures of processes.

What takes 1,000 machines is played here, alike for a seed. Nothing of it stands in for the processes:
sockets, clocks and the cost of a step are theirs to show.
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
from .measures import Measures, Watch, measure
from .policies import Chooser
from .record import Record
from .schedule import Fault, Schedule
from .shape import (
    COLD_SHARE,
    COLD_TIME,
    FALL_MULTIPLE,
    FALL_WINDOW,
    MEMORY_MB,
    Asking,
    FleetShape,
    draw_traffic,
    settings,
)

LATENCY, LOSS = 0.008, 0.01  # seconds that a message takes; share of messages that are lost
SLOTS, KNEE, THRASH = 4, 1.6, 0.8
LOOK = 0.05
LATE_LIST = 1.0  # seconds until the list tells of a change


@dataclass(eq=False, slots=True)
class _Out:
    """One attempt at a node."""

    asking: Asking
    place: int
    request: int
    attempt: int
    engine: bytes
    at: float


@dataclass(eq=False)
class VirtualNode:
    """One node's machine, and who waits for what runs there."""

    name: bytes
    shape: EngineShape
    machine: Machine
    out: dict[Run, _Out] = field(default_factory=dict)
    due: float = math.inf
    errs: bool = False
    gone: bool = False


class VirtualFleet:
    """Plays one schedule. `chooser`: a plain policy in the place of the dispatchers; None: the real ones."""

    def __init__(self, shape: FleetShape, schedule: Schedule, chooser: Chooser | None = None) -> None:
        self.shape, self.schedule, self.chooser = shape, schedule, chooser
        self.now, self.random = 0.0, Random(f"virtual {shape.seed}")
        self.record, self.watch = Record(clock=lambda: self.now), Watch(shape.cores)
        self.nodes: dict[bytes, VirtualNode] = {}
        self.deaf: set[int] = set()
        self.drained: set[bytes] = set()
        self.messages = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._askings: dict[tuple[int, int], Asking] = {}
        self._wakes = [math.inf] * shape.dispatchers
        self._met: set[tuple[int, bytes]] = set()
        count = range(0 if chooser else shape.dispatchers)
        given = [params.Params.from_object(settings(shape, n)) for n in count]
        read = map(params.read_settings, given)
        self.cores = [dispatch.Dispatcher(one, shape.seed * 1000 + n) for n, one in enumerate(read)]

    # --- time ---

    def at(self, time: float, what: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, what))

    def play(self) -> Measures:
        """The whole day, and what came of it."""
        entries = [self._add(f"s-{n:05d}".encode(), cold=False) for n in range(self.shape.nodes)]
        self.tell_list(entries, api.EndpointListMode.FULL)
        for asking in draw_traffic(self.shape, self.schedule.seconds):
            self.at(asking.at, lambda asking=asking: self._ask(asking))  # type: ignore[misc]
        for fault in self.schedule.faults:
            self.at(fault.at, lambda fault=fault: self._strike(fault))  # type: ignore[misc]
        self.at(LOOK, self._look)
        end = self.schedule.seconds + 30.0
        while self._events and self._events[0][0] <= end:
            self.now, _, what = heapq.heappop(self._events)
            what()
        return measure(self.record, self.shape, self.watch, self.schedule, self.messages, len(self._met))

    def _look(self) -> None:
        if self.now < self.schedule.seconds:
            nodes = [sum(run.threads for run in node.machine.running) for node in self.ready()]
            self.watch.look(nodes, sum(core.queued_count for core in self.cores))
            self.at(self.now + LOOK, self._look)

    # --- dispatchers ---

    def ready(self) -> list[VirtualNode]:
        """Those that a list that is never late would call ready."""
        return [n for n in self.nodes.values() if not n.gone and n.name not in self.drained]

    def _step(self, place: int, *inputs: dispatch.Input) -> None:
        core = self.cores[place]
        for effect in core.step(self.now, list(inputs)):
            self._do(place, effect)
        wake = core.next_timer
        if wake < self._wakes[place]:
            self._wakes[place] = wake
            self.at(max(wake, self.now), lambda: self._wake(place, wake))

    def _wake(self, place: int, due: float) -> None:
        if self._wakes[place] == due:
            self._wakes[place] = math.inf
            self._step(place)

    def _ask(self, asking: Asking) -> None:
        self.record.askings[asking.rid] = asking
        named = {"query": asking.rid, "gateway": f"d{asking.dispatcher}"}
        limit = self.now + asking.sort.deadline
        self.record.add("asked", **named, cls=asking.sort.name, key=asking.key, limit=limit, work=asking.work)
        if self.chooser is not None:
            engine = self.chooser.choose(self.now, asking, self.ready())
            if engine is not None:
                self._send(asking, asking.dispatcher, 0, 0, engine)
            return
        core = self.cores[asking.dispatcher]
        number = core.new_request()
        self._askings[asking.dispatcher, number] = asking
        index = self.shape.sorts.index(asking.sort)
        cost = asking.work * self.random.uniform(0.7, 1.4)
        key = int(asking.key, 16) if asking.key else 0
        self._step(
            asking.dispatcher,
            dispatch.Submit(
                number,
                index,
                asking.sort.deadline,
                ordering_key=key,
                estimated_cost=cost,
                estimated_memory_mb=1.0,
                table_group=float(asking.tables),
            ),
        )

    def _do(self, place: int, effect: dispatch.Effect) -> None:
        if isinstance(effect, dispatch.StartAttempt):
            asking = self._askings[place, effect.request]
            self._send(asking, place, effect.request, effect.attempt, effect.engine)
        elif isinstance(effect, (dispatch.CancelAttempt, dispatch.DiscardAttempt, dispatch.WithdrawAttempt)):
            for node in self.nodes.values():
                for run, out in list(node.out.items()):
                    if (out.place, out.request, out.attempt) == (place, effect.request, effect.attempt):
                        self._end(node, run, api.Outcome.CANCELLED)
        elif isinstance(effect, (dispatch.CompleteRequest, dispatch.RejectRequest, dispatch.FailRequest)):
            codes = {
                dispatch.CompleteRequest: "OK",
                dispatch.RejectRequest: "UNAVAILABLE",
                dispatch.FailRequest: "ABORTED",
            }
            self._answer(self._askings[place, effect.request], codes[type(effect)])
        elif isinstance(effect, api.SendGossip):
            for other in range(len(self.cores)):
                if other != place and other not in self.deaf and self.random.random() > LOSS:
                    self.messages += 1
                    told = api.PeerMessage(place, effect.data)
                    self.at(self.now + LATENCY, lambda o=other, t=told: self._step(o, t))  # type: ignore[misc]

    def _answer(self, asking: Asking, code: str) -> None:
        named = {"query": asking.rid, "gateway": f"d{asking.dispatcher}"}
        self.record.add("answer", **named, code=code, promise=code == "UNAVAILABLE")

    # --- nodes ---

    def _add(self, name: bytes, cold: bool) -> api.EngineEntry:
        shape = EngineShape(
            self.shape.cores, MEMORY_MB, 1.0, COLD_SHARE, COLD_TIME, FALL_MULTIPLE, FALL_WINDOW, KNEE, THRASH
        )
        self.nodes[name] = VirtualNode(name, shape, Machine(shape, self.now if cold else -1e9))
        return api.EngineEntry(name, api.EngineState.READY, self.now if cold else 0.0)

    def tell_list(
        self, entries: list[api.EngineEntry], mode: api.EndpointListMode = api.EndpointListMode.DELTA
    ) -> None:
        for place in range(len(self.cores)):
            self._step(place, api.EndpointListUpdate(mode, 1, tuple(entries)))

    def _send(self, asking: Asking, place: int, request: int, attempt: int, engine: bytes) -> None:
        node = self.nodes[engine]
        self._met.add((place, engine))
        self.record.sent(asking.rid, engine.decode(), 0)
        out = _Out(asking, place, request, attempt, engine, self.now)
        node.machine.advance(self.now)
        if node.gone:
            self.at(self.now + 0.001, lambda: self._tell_end(out, api.Outcome.CONNECT_FAILED))
        elif node.errs:
            self.at(self.now + 0.001, lambda: self._tell_end(out, api.Outcome.ERROR))
        elif len(node.machine.running) >= SLOTS * self.shape.cores:
            self.at(self.now + 0.001, lambda: self._tell_end(out, api.Outcome.REJECTED))
        else:
            run = Run(asking.work, float(asking.sort.threads), 1.0)
            node.out[run] = out
            if not node.machine.add(run, self.now):
                self.record.add("fell", engine=engine.decode(), incarnation=0)
                node.machine.hung = True
            self._plan(node)

    def _plan(self, node: VirtualNode) -> None:
        node.machine.advance(self.now)
        for run in node.machine.collect():
            self._end(node, run, api.Outcome.OK)
        due = node.machine.next_end(self.now)
        if due < 1e9:
            node.due = max(due, self.now + 1e-6)
            self.at(node.due, lambda when=node.due: self._due(node, when))  # type: ignore[misc]

    def _due(self, node: VirtualNode, when: float) -> None:
        if node.due == when:
            self._plan(node)

    def _end(self, node: VirtualNode, run: Run, outcome: api.Outcome) -> None:
        out = node.out.pop(run, None)
        if out is None:
            return
        if outcome is not api.Outcome.OK:
            node.machine.remove(run, self.now)
            self._plan(node)
        self.at(self.now, lambda: self._tell_end(out, outcome))

    def _tell_end(self, out: _Out, outcome: api.Outcome) -> None:
        if self.chooser is not None:
            self.chooser.ended(out.asking, out.engine, outcome)
            self._answer(out.asking, "OK" if outcome is api.Outcome.OK else "ABORTED")
            return
        took, work = self.now - out.at, out.asking.work if outcome is api.Outcome.OK else 0.0
        self._step(out.place, dispatch.AttemptDone(out.request, out.attempt, outcome, took, work, 1.0))

    # --- faults ---

    def _strike(self, fault: Fault) -> None:
        """Those of the kinds that have a meaning here; the others are the processes' to show."""
        names = [f"s-{n:05d}".encode() for n in fault.who]
        struck = [self.nodes[name] for name in names if name in self.nodes] if "node" in fault.kind else []
        end = self.now + fault.length
        if fault.kind == "node slow":
            for node in struck:
                self._pace(node, 2.0 + 8.0 * fault.size)
                self.at(end, lambda node=node: self._pace(node, 1.0))  # type: ignore[misc]
        elif fault.kind == "node hang":
            for node in struck:
                self._hang(node, True)
                self.at(end, lambda node=node: self._hang(node, False))  # type: ignore[misc]
        elif fault.kind == "node errors":
            for node in struck:
                node.errs = True
                self.at(end, lambda node=node: setattr(node, "errs", False))  # type: ignore[misc]
        elif fault.kind in ("node crash", "node late", "node replaced"):
            self._lose(struck, end, fault.kind == "node replaced")
        elif fault.kind == "peers deaf":
            self.deaf |= set(fault.who)
            self.at(end, self.deaf.clear)

    def _pace(self, node: VirtualNode, slow: float) -> None:
        node.machine.advance(self.now)
        node.machine.slowdown = slow
        self._plan(node)

    def _hang(self, node: VirtualNode, on: bool) -> None:
        node.machine.advance(self.now)
        node.machine.hung = on
        self._plan(node)

    def _lose(self, struck: list[VirtualNode], end: float, drained: bool) -> None:
        """They go, and come back cold under ids that are new; drained: each as its successor comes."""
        gone = [api.EngineEntry(node.name, api.EngineState.REMOVED) for node in struck]
        if drained:
            self.drained |= {node.name for node in struck}
            self.tell_list([api.EngineEntry(n.name, api.EngineState.DRAINING) for n in struck])
        else:
            self.at(self.now + LATE_LIST, lambda: self.tell_list(gone))
        for node in struck:
            if not drained:
                self._break(node)
            fresh = b"n-" + node.name
            back = self.now if drained else end
            self.at(back, lambda fresh=fresh: self.tell_list([self._add(fresh, cold=True)]))  # type: ignore[misc]
        if drained:
            self.at(end, lambda: self.tell_list(gone))
        for node in struck if drained else ():
            self.at(end + 1.0, lambda node=node: self._break(node))  # type: ignore[misc]

    def _break(self, node: VirtualNode) -> None:
        node.gone = True
        for run in list(node.out):
            self._end(node, run, api.Outcome.RESET)
