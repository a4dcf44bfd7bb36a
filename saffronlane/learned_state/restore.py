"""Kept entries back into a gateway: each weighed by its age and by what has changed, on this run's clock.

Where a rule depends on what is recalled, `rebase` takes times on the side that keeps the rule.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from msgspec.structs import replace

from .. import interface as api
from ..policy import Gateway
from ..policy.estimation.run_time_estimator import SEED_ANSWERS, RunTimeEstimator
from ..state import Engine, PeerAttempt, RecentDispatch
from ..storage import Entry
from . import confidence as weigh
from . import export
from . import records as k
from .clock import Gap, Timestamp, between
from .errors import Newer, Unreadable
from .ledger import Ledger
from .rebase import Rebase

MOST_TAKEN = 100_000  # arrivals in a bin: more is no figure that this program wrote
SAME_START = 2.0  # seconds; an engine's start is told in wall time, which two runs read a little apart


@dataclass(frozen=True, slots=True)
class PersistedState:
    """The entries of a folder and the moment of the start that reads them."""

    entries: tuple[tuple[bytes, Entry], ...]
    now: Timestamp


@dataclass(slots=True)
class Summary:
    """What was made of a folder, for logs and `knowledge check`."""

    age: float = math.inf  # seconds since the last sign of the run before
    exact: bool = False
    classes: dict[str, float] = field(default_factory=dict)  # answers that each counts as
    engines: int = 0
    requests: int = 0
    orders: int = 0
    notes: list[str] = field(default_factory=list)


class StateRestorer:
    """What a folder says, read once. `begin` before the first event, `listed` with the first list."""

    def __init__(self, settings: api.Settings, memory: PersistedState) -> None:
        self.settings, self.now = settings, memory.now.monotonic_s
        self.summary = Summary()
        self.masses: dict[int, float] = {}  # by class, what it counted as when it was recalled
        self._engines: dict[bytes, k.EngineRecord] = {}
        self._classes: dict[str, k.ClassRecord] = {}
        self._sent: dict[bytes, k.IdempotencyRecord] = {}
        self._orders: dict[int, k.OrderingRecord] = {}
        self._budget: k.RetryBudgetRecord | None = None
        self._fleet: k.FleetRecord | None = None
        self._told: k.PeerLoadRecord | None = None
        self.newer: frozenset[bytes] = frozenset()  # keys that a later version wrote
        values: dict[bytes, k.Record] = {}
        for key, value in k.decode_all(memory.entries):
            if isinstance(value, Unreadable):
                self.summary.notes.append(str(value))
                if isinstance(value, Newer):
                    self.newer |= {key}
            else:
                values[key] = value
        run = values.pop(k.RUN, None)
        self._gap, self.trust = self._weigh(run if isinstance(run, k.RunRecord) else None, memory.now)
        rebase = Rebase(self._gap)
        self.rebased = {key: rebase(value) for key, value in values.items()}
        for key, value in self.rebased.items():
            self._sort(key, value)

    def _sort(self, key: bytes, value: k.Record) -> None:
        if isinstance(value, k.ClassRecord):
            self._classes[key[2:].decode("utf-8", "replace")] = value
        elif isinstance(value, k.EngineRecord):
            self._engines[key[2:]] = value
        elif isinstance(value, k.IdempotencyRecord):
            self._sent[key[2:]] = value
        elif isinstance(value, k.OrderingRecord):
            self._orders[int.from_bytes(key[2:], "big")] = value
        elif isinstance(value, k.RetryBudgetRecord):
            self._budget = value
        elif isinstance(value, k.FleetRecord):
            self._fleet = value
        elif isinstance(value, k.PeerLoadRecord):
            self._told = value

    def _weigh(self, run: k.RunRecord | None, now: Timestamp) -> tuple[Gap, weigh.Trust]:
        if run is None:
            nothing = Gap(0.0, math.inf, 0.0, False, False)
            return nothing, weigh.trust(nothing, False, False)
        gap = between(Timestamp(run.mono, run.wall, run.boot, run.place), now)
        here = (run.position, run.gateways) == (self.settings.gateway_index, self.settings.gateway_count)
        trust = weigh.trust(gap, run.clean, here)
        self.summary.age, self.summary.exact = gap.most, trust.exact
        if not gap.same_place:
            self.summary.notes.append("the folder was copied or restored, or is of another place")
        if not here:
            text = f"written as gateway {run.position} of {run.gateways}"
            self.summary.notes.append(
                f"{text}, read as {self.settings.gateway_index} of {self.settings.gateway_count}"
            )
        if not gap.most < math.inf:
            self.summary.notes.append("the clock stands before the last entry: ages are not known")
        return gap, trust

    def _age(self, time: float) -> float:
        """Seconds since, at the most."""
        return max(0.0, self.now - time) if time > k.NEVER / 2.0 else math.inf

    def _time(self, time: float) -> float:
        """For the gateway, which says never by infinity, and knows no future."""
        return min(self.now, time) if time > k.NEVER / 2.0 else -math.inf

    # --- into the gateway ---

    def begin(self, gateway: Gateway, ledger: Ledger) -> None:
        """Everything that needs no list of engines."""
        gateway.batch.now = gateway.batch.started_at = self.now
        if self.trust.exact and self._fleet is not None:
            gateway.batch.started_at = self._time(
                self._fleet.born
            )  # the ledgers below show what was sent since
        self._take_ledgers(gateway, ledger)
        if (fleet := self._fleet) is not None:
            age = self._age(fleet.at)
            gateway.concurrency_limit.limit = weigh.limit(fleet.limit, age)
            if gateway.concurrency_limit.limit < math.inf:
                gateway.concurrency_limit.latency_inflation = max(1.0, min(fleet.crowd, 100.0))
            gateway.in_flight.recent_work.value, gateway.in_flight.recent_work.updated_at = (
                fleet.lately,
                self._time(fleet.lately_at),
            )
        gateway.fleet.restore_engine = self._engine

    def attach(self, gateway: Gateway, ledger: Ledger) -> None:
        """Into a gateway that runs already: what rules stand on, and classes of which it knows nothing."""
        self._take_ledgers(gateway, ledger)
        self.listed(gateway, tuple(map(export.entry, gateway.fleet.engines.values())))

    def _take_ledgers(self, gateway: Gateway, ledger: Ledger) -> None:
        self._take_budget(gateway)
        settle = gateway.batch.guarantees.ordering_cooldown
        for key, one in self._orders.items():
            until = self.now + settle if one.open else min(one.until, self.now + settle)
            if until > self.now:
                gateway.pending.ordering.cooldowns[key] = max(
                    until, gateway.pending.ordering.cooldowns.get(key, -math.inf)
                )
                self.summary.orders += 1
        names = {c.name: c for c in self.settings.classes}
        for identity, sent in self._sent.items():
            cls = names.get(sent.cls)
            longest = cls.idempotency_ttl + weigh.REPEATS * cls.deadline if cls is not None else 0.0
            until = min(sent.until, self.now + longest)
            if until > self.now:
                ledger.recall(identity, replace(sent, until=until))
                self.summary.requests += 1

    def _take_budget(self, gateway: Gateway) -> None:
        if self._budget is None or gateway.batch.guarantees.retry_budget_base is None:
            return
        ration = gateway.completion.retry_policy.budget
        since = (
            self.now
            - gateway.batch.guarantees.retry_budget_window
            - 2.0 * gateway.batch.settings.min_step_interval
        )
        extras = [*ration.retries, *map(self._time, self._budget.extras)]
        taken = list(ration.served_arrivals)
        for start, count in self._budget.taken:
            taken += [self._time(start)] * min(count, MOST_TAKEN)
        for window, times in ((ration.retries, extras), (ration.served_arrivals, taken)):
            window.clear()
            window.extend(sorted(at for at in times if at > since))

    def listed(self, gateway: Gateway, entries: tuple[api.EngineEntry, ...]) -> None:
        """What classes have taught, weighed by how much of the fleet is the same. Before the list's step."""
        kinds = self.settings.machine_types
        listed = {e.engine: kinds[min(e.machine_type, len(kinds) - 1)].cores for e in entries}
        fleet = weigh.fleet_factor({name: e.cores for name, e in self._engines.items()}, listed)
        for index, known in enumerate(gateway.workload_estimates.estimators):
            one = self._classes.get(known.class_settings.name)
            if one is None or known.answer_count:
                continue
            if one.mark != k.class_mark(self.settings, known.class_settings):
                self.summary.notes.append(f"class {known.class_settings.name}: its settings have changed")
                continue
            mass = weigh.mass(one.mass, self._age(one.at), self.trust.factor * fleet)
            if mass >= 0.5 and teach(known, one, mass):
                self.masses[index] = mass
                self.summary.classes[known.class_settings.name] = round(mass, 2)
        self._share_counts(gateway)

    def _share_counts(self, gateway: Gateway) -> None:
        """The mix of classes, by counts: small enough that a new mix soon shows."""
        recalled = {
            i: self._classes[gateway.workload_estimates.estimators[i].class_settings.name].count
            for i in self.masses
        }
        whole = sum(recalled.values())
        for index, count in recalled.items():
            known = gateway.workload_estimates.estimators[index]
            known.answer_count = round(min(1.0, weigh.COUNT_MOST / max(1, whole)) * count)
            if self.masses[index] >= SEED_ANSWERS:  # enough is known to judge a query by
                known.answer_count = max(known.answer_count, int(SEED_ANSWERS))
            known.update_cost_rate()
            if not weigh.may_refuse(known.exec_time(), known.class_settings.deadline):
                known.answer_count = 0
                known.update_cost_rate()
            known.recalled_count = known.answer_count

    def _engine(self, engine: Engine) -> None:
        """An engine as it is first listed: what is known of this very process, if it still is that one."""
        one = self._engines.pop(engine.id, None)
        if one is None or one.cores != engine.cores:
            return
        if abs(one.started - engine.started_at) > SAME_START + (
            0.0 if self._gap.same_boot else self._gap.most
        ):
            return  # another process by now: nothing of it is known but its start, which the list tells
        self.summary.engines += 1
        engine.recent_dispatches = [RecentDispatch(self._time(at), work) for at, work in one.sent]
        engine.inferred_restart_at = self._time(one.reborn_at)
        engine.connection_lost_at = self._time(one.broke_at)
        engine.recent_work.value, engine.recent_work.updated_at = one.lately, self._time(one.lately_at)
        age = self._age(one.judged)
        engine.failure_ratio = weigh.health(one.fails, age)
        if engine.failure_ratio > 0.0:
            engine.last_outcome_at = self._time(one.judged)
            engine.is_ejected, engine.is_unresponsive = one.ill, one.ill and one.silent
            engine.probe_request_interval = one.trial_gap
            engine.next_probe_request_at = self.now  # its first trial soon tells whether this still holds
        engine.last_rejection_at = self._time(one.full)
        engine.reported_threads_per_core = one.reported
        engine.reported_at = self._time(one.reported_at)

    def class_named(self, name: str) -> k.ClassRecord | None:
        return self._classes.get(name)

    def tell(self, gateway: Gateway) -> None:
        """What other gateways told, once the engines are known."""
        for sender, number, until, name, threads, memory, loads in self._told.entries if self._told else ():
            engine, board = gateway.fleet.engines.get(name), gateway.load_gossip.peer_load
            if engine is not None and until > self.now and (sender, number) not in board.entries:
                board.insert((sender, number), PeerAttempt(until, engine, threads, memory, loads))
        self._told = None

    def unlisted(self) -> dict[bytes, k.EngineRecord]:
        """Engines that no list has named yet, on this run's clock; the old and the many are forgotten."""
        recent: dict[bytes, k.EngineRecord] = {}
        for name, one in sorted(self._engines.items(), key=lambda item: -item[1].seen):
            if self._age(one.seen) <= weigh.ENGINE_MOST and len(recent) < weigh.KNOWN_MOST:
                recent[name] = one
        return recent


Sums = tuple[float, float, float, float]  # estimates, latencies, works, calm works, as in `Learned`


def seed_sums(cls: api.ClassSettings, cost: float, answers: float) -> Sums:
    """What so many seed answers come to."""
    work = answers * cls.latency_objective * cls.threads
    return answers * cost, answers * cls.latency_objective, work, work


def recalled_sums(one: k.ClassRecord, mass: float) -> Sums:
    """What so many answers of recalled knowledge come to."""
    whole = mass * one.cost
    return whole, whole * one.latency, whole * one.work, whole * one.calm


def teach(known: RunTimeEstimator, one: k.ClassRecord, mass: float) -> bool:
    """Put so many answers' worth of knowledge in the place of as many seeds. False if it makes no sense."""
    figures = (one.cost, one.latency, one.work, one.calm, one.best)
    if not all(math.isfinite(f) and 0.0 < f < 1e9 for f in figures) or not 0.0 <= one.need < 1e9:
        return False
    known.prior = seed_sums(known.class_settings, one.cost, weigh.seeds(mass))
    known.mean_estimated_cost = one.cost
    sums = [seed + own for seed, own in zip(known.prior, recalled_sums(one, mass), strict=True)]
    known.estimated_costs, known.latency_total, known.work_total, known.uncontended_work_total = sums
    share = mass / (mass + SEED_ANSWERS)
    known.baseline_inflation = 1.0 + share * (one.best - 1.0)
    known.memory_requirement = one.need if mass >= 1.0 else 0.0
    return True


def unteach(known: RunTimeEstimator, cost: float, recalled: Sums, answers: int) -> None:
    """Take recalled sums out again, as far as they still count, and seeds back in; new answers stay."""
    part, seeds = weigh.left(1.0, answers), seed_sums(known.class_settings, cost, SEED_ANSWERS)
    now = (known.estimated_costs, known.latency_total, known.work_total, known.uncontended_work_total)
    fresh = [
        max(1e-9, sums - part * (old + was)) + part * seed
        for sums, old, was, seed in zip(now, recalled, known.prior, seeds, strict=True)
    ]
    known.estimated_costs, known.latency_total, known.work_total, known.uncontended_work_total = fresh
    known.prior = seeds
    known.baseline_inflation, known.memory_requirement = 1.0, 0.0
    known.answer_count -= known.recalled_count
    known.recalled_count = 0
    known.update_cost_rate()
