"""Settings, events, actions: see `saffronlane/interface.py`. This module makes every decision of a gateway.

The ordinary path is group EDF: a deadline is arrival + MULTIPLIER x ExecTime; while own work is under share,
the earliest deadline names a group and its smallest query leaves first, to the less loaded of the first two
engines in its table group's hash order. A held query whose time has lapsed is refused.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from hashlib import blake2b
from itertools import islice
from random import Random

from . import interface as api
from . import messages
from .interface import Effect, EngineState, Group, ListMode, NoteKind, Outcome
from .state import Attempt, Bucket, Engine, Job, Recent, ToldBoard, Turns, Window, sane

# --- the ordinary path ---
MULTIPLIER = 10.0  # deadline = arrival + this x ExecTime; the paper's value
GROUP_RANGE = 0.4  # Gr: how far past the earliest deadline a group reaches, in spans; the paper's value
HOMES, CROSSING = 4, 0.03  # of a group's first, the own zone's lead where crossing costs so many points
ORDERS_MOST = 4096  # hash orders remembered: table groups come from clients, and are without number
SPILL = 1.25  # an engine over this x mean load plus one query is passed by; the design's start value
SHARE_THREADS_PER_CORE = 1.3  # share under full pressure, over the gateway count; below any knee
SHARE_CHANCE = 1.5  # the share's slack in standard deviations: of few queries some are out together by chance
HORIZON = 10.0  # seconds that own sent work counts as load: where few queries are out, those tell nothing
LATE_WORTH = 0.4  # while engines are full the aim is the limit of classes whose late answers earn less
MEMORY_SHARE = 1.0  # of an engine's memory, over the gateway count, that own grants may fill
# --- learning ---
SEED_ANSWERS = 4.0  # the seed counts as this many answers: one odd first query must not set the estimate
DECAY = 0.97  # per answer, of what is learned: a handful of seconds of one class's traffic
BEST_DRIFT = 0.002  # how fast the best latency forgets: far slower than a jam, or a jam becomes the norm
BEST_RATE = 0.01  # the same for a second, where so many answers come that a jam would soon be the norm
EXEC_CAP = 3.0  # ExecTime is at most this x the uncrowded time: a bad spell must not refuse what follows
NEED_SEED, NEED_UP, NEED_DOWN = 1.25, 0.15, 0.02  # memory needed over told: a high quantile, a spill is dear
# --- pressure ---
PRESSED, RELAXED = 4.0, 2.5  # latency over the best: pressure, queries wait; and the limit grows again
PROBED, PROBE_GAP, PROBE_WAIT = 3, 0.1, 0.025  # engines asked, if not asked so lately; seconds for their word
PROBE_PRICE = 0.02  # points of service for a probe a query up to which asking for heavy queries pays
BUSY = 0.85  # share of busy cores at which an engine does what it can
REPORT_MOST, REPORT_MEMORY = 100.0, 15.0  # threads a core, more is absurd; seconds until it says little
PRESSED_THREADS = 2.0  # threads a core that engines report, read as PRESSED; the design's value for full
SHRINK, SHRINK_GAP, GROW = 0.85, 0.3, 0.5  # factor of a cut, seconds between cuts, threads of growth
FULL_MEMORY = 1.0  # seconds that an engine where a query had to wait is left out
TENANT_SLACK, TENANT_DEPTH, TENANT_SPAN = 1.3, 3.0, 2.0  # fronts are uneven; queries, seconds of a burst
# --- guards ---
COLD_MARGIN = 0.85  # use only this share of a cold engine's budget: a query's work is but estimated
COLD_CHANCE = 0.42  # the same where a part is less than a query: two turns' worth may fall into a window
COLD_LARGEST = 0.1  # largest query for a cold engine, of its budget: a few of them must not fill it by chance
END_MARGIN, TTL_MARGIN = 0.03, 0.25  # seconds before a client's, a key's time ends: what leaves must arrive
LAPSE_GAP = 0.05  # seconds between looks for lapsed queries; every batch would cost too much when many wait
HOUSEKEEPING = 0.15  # seconds between wakes while queries are held or the list is to be asked for
ASK_GAP = 0.5  # seconds before a failed subscription is tried again: the list service may be overloaded
RELINKED = 0.25  # seconds after a break in which no process comes back, unless a connection was refused
SURVIVED = 0.1  # seconds after a break at which an answer to earlier work is no longer one still on its way
# --- health ---
FAIL_STEP, HARD_FAIL_STEP = 0.2, 0.4  # least weight of an outcome; of a break or silence: two condemn
FAIL_MEMORY = 10.0  # seconds after which what was known of an engine weighs little against a new outcome
ILL, WELL = 0.5, 0.2  # failure share at which an engine is left alone, and under which it is back
ILL_SHARE = 0.5  # with more than this share of engines ill the verdict is distrusted: the cause is elsewhere
GONE_MOST = 1024  # engines gone that are remembered, the latest; one that comes back later counts as new
TRIAL_GAP, TRIAL_GAP_MOST = 0.4, 3.0  # seconds between trials of an ill engine; doubled while trials fail
TRIAL_SHARE, TRIAL_CREDIT = 0.2, 3.0  # trials per send, and at once: many ill engines must not take all
SILENT_NOTES = 1.1  # note periods without a word, and up to one more of calm run, until an attempt is lost
OVERDUE, SILENT_FLOOR = 5.0, 0.5  # without notes: this x its ExecTime, and at least this many seconds
BEHIND = 4.0  # cancel when the remainder would take this x a fresh run: far outside the usual scatter
HOPELESS = 1.5  # progress is rough: give up only if the remainder is this x the time that is left
# --- what gateways tell each other ---
TOLD_THREADS_PER_CORE = 2.0  # own and told threads past which heavy queries wait; the design's value
TOLD_MEMORY = 0.85  # of an engine's memory that own and told grants may fill; the rest is for untold queries
HEAVY = 2.0  # a query of more than this x the mean work is told: each message costs all gateways time
TOLD_MANY = 512  # told queries open at once past which the bar rises: each message costs all gateways time
TOLD_PATIENCE = 3.0  # what has no end told counts for this x its expected span: a message may be lost
SENDERS_MOST = 2  # senders up to this x the gateway count are known: it may be a little out of date
NEWS = (api.PeerMessage, api.Note, api.ProbeResult)  # held queries look for room at the next wake


class Learned:
    """What the answers of one class have taught. Where no estimates are told, each counts as 1."""

    def __init__(self, cls: api.ClassSettings) -> None:
        self.cls, self.count, self.recalled_count = cls, 0, 0
        self.estimates = self.told = 0.0  # decayed sum, as the next two, and mean told estimate
        self.latencies = cls.aim * SEED_ANSWERS  # their ratios to the estimates correct those
        self.works = cls.aim * cls.threads * SEED_ANSWERS  # seeded high, so that cold engines get little
        self.calm = self.works  # the same without what a reported crowd added; work that is told has none
        self.seed = (0.0, self.latencies, self.works, self.calm)  # the part of the sums that no answer gave
        self.best = 1.0  # uncrowded latency x threads / work, a low quantile
        self.pace, self.at = 0.0, -math.inf  # and the last answer
        self.need = 0.0  # memory needed over memory told, a high quantile

    def estimate(self, cost: float, told: bool) -> None:
        if not self.estimates:
            self.told, self.estimates = cost, cost * SEED_ANSWERS
            self.works = self.calm = self.estimates if told else self.works
            self.seed = (self.estimates, self.latencies, self.works, self.calm)
        self.told += (cost - self.told) * (1.0 - DECAY)
        self.set_pace()

    def answered(
        self, now: float, job: Job, elapsed: float, work: float, memory: float, threads: float
    ) -> float:
        """Learn from one answer of an engine with so many threads a core; returns how crowded it was."""
        self.count += 1
        drift, self.at = min(BEST_DRIFT, BEST_RATE * (now - self.at)), now
        calm = self.calm_time(job.cost)
        self.estimates = self.estimates * DECAY + job.cost
        self.latencies = self.latencies * DECAY + elapsed
        self.works = self.works * DECAY + (work or elapsed * self.cls.threads)
        self.calm = self.calm * DECAY + (work or elapsed * self.cls.threads / max(1.0, threads))
        if memory > 0.0:
            ratio = memory / (job.memory or 1.0)
            self.need = self.need or max(ratio, NEED_SEED if job.memory else 0.0)
            self.need += (NEED_UP if ratio > self.need else NEED_DOWN) * (ratio - self.need)
        crowd = elapsed / calm if self.count > SEED_ANSWERS and not threads else 1.0
        if work > 0.0:
            stretch = sane(elapsed * self.cls.threads / work, 0.05, 1000.0)
            step = 0.1 if stretch < self.best else drift
            self.best += step * (min(stretch, self.best * 2.0) - self.best)
            crowd = stretch / self.best
        self.set_pace()
        return crowd

    def cut_short(self, job: Job, elapsed: float) -> None:
        """A run ended early is longer than it got: left out, the mean would lie too low for rule 4."""
        missing = elapsed * self.cls.threads - self.work(job.cost)
        self.works += max(0.0, missing) if self.estimates else 0.0

    def work(self, cost: float = 0.0) -> float:
        if not self.estimates:
            return self.works / SEED_ANSWERS
        return (cost or self.told) * self.works / self.estimates

    def calm_time(self, cost: float) -> float:
        return max(1e-3, self.work(cost) / self.cls.threads * self.best * self.calm / self.works)

    def set_pace(self) -> None:
        pace = self.latencies
        if self.count >= SEED_ANSWERS:
            pace = min(pace, EXEC_CAP * self.calm * self.best / self.cls.threads)
        self.pace = pace / self.estimates if self.estimates else 0.0

    def exec_time(self, cost: float = 0.0) -> float:
        """The design's ExecTime: estimate x learned ratio, or the mean where no estimate is told."""
        return max(1e-3, (cost or self.told) * self.pace if self.pace else self.cls.aim)


class Gateway:
    """The decisions of one gateway. Feed `step` every batch of events; carry out what it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.guarantees, settings.limits
        self.random = Random(seed)
        self.now, self.born = 0.0, math.inf
        self.actions: list[api.Action] = []
        self.learned = [Learned(cls) for cls in settings.classes]
        safe = [i for i, cls in enumerate(settings.classes) if cls.effect is Effect.SAFE]
        self.trial_classes = safe or list(range(len(settings.classes)))  # may try an ill engine
        self.engines: dict[bytes, Engine] = {}
        self.marks: dict[bytes, Engine] = {}  # by the mark that others tell of them
        self.remembered: Callable[[Engine], None] = lambda engine: None  # what an earlier run knew of one
        self.ready: list[Engine] = []
        self.orders: dict[tuple[float, int], list[Engine]] = {}  # hash orders of ready engines
        self.cores = self.threads = 0.0  # of ready engines; own threads that are out
        self.class_threads = [0.0] * len(settings.classes)
        self.recent = Recent()
        self.crowd = 1.0  # smoothed latency over the best, over all engines
        self.buckets = [Bucket() for _ in settings.tenants]
        self.crossing_costs = settings.zone_price >= CROSSING
        columns = settings.report_columns
        self.active_column = columns.index("active") if "active" in columns else None
        self.mean_reported = 0.0  # threads a core, over the engines that have reported
        cheap = self.limits.probing and self.limits.probe_price <= PROBE_PRICE
        self.probing = cheap and self.active_column is not None
        self.limit, self.last_cut = math.inf, -math.inf  # own threads allowed; under pressure, the share
        self.told, self.next_told = ToldBoard(), 0  # others' work
        self.jobs: dict[int, Job] = {}  # owed a final answer
        self.attempts: dict[tuple[int, int], Attempt] = {}  # without an outcome, also of ended requests
        self.held: dict[int, Job] = {}
        self.backlog: float | None = None  # thread seconds held; summed once a batch, when first asked for
        self.turns = Turns()  # rule 5
        self.taken, self.extras = Window(), Window()  # rule 7: arrivals of the served, further attempts
        self.distrust = self.asked = False
        self.trial_credit, self.blocked = TRIAL_CREDIT, False  # the last release found no room for a query
        self.next_lapse = self.next_ask = self.cold_until = -math.inf
        self.handlers = {
            api.ListUpdate: self.on_list, api.Arrival: self.on_arrival, api.AttemptEnded: self.on_ended,
            api.Note: self.on_note, api.TimerFired: self.on_timer, api.PeerMessage: self.on_peer,
            api.ClientGone: self.on_gone, api.StreamStarted: self.on_stream, api.ProbeResult: self.on_probe,
            api.Stop: self.on_stop,
        }  # fmt: skip
        self.timers: dict[int, Job | Attempt | None] = {}  # None: housekeeping
        self.next_token, self.wake = 1, -math.inf

    def timer(self, at: float, whom: Job | Attempt | None) -> None:
        token, self.next_token = self.next_token, self.next_token + 1
        self.timers[token] = whom
        self.actions.append(api.SetTimer(token, at))

    def exec_time(self, job: Job) -> float:
        return self.learned[job.index].exec_time(job.cost)

    def work(self, job: Job) -> float:
        return max(self.learned[job.index].work(), self.learned[job.index].work(job.cost))

    # --- the engine list (rules 3 and 4) ---

    def on_list(self, event: api.ListUpdate) -> None:
        if event.mode is ListMode.FAILED:
            self.asked, self.next_ask = False, self.now + ASK_GAP
            return
        for entry in event.entries:
            self.on_entry(entry)
        if event.mode is not ListMode.DELTA:
            named = {entry.engine for entry in event.entries}
            for engine in self.engines.values():
                if engine.id not in named:
                    engine.state = EngineState.GONE
        gone = [e for e in self.engines.values() if e.state is EngineState.GONE and not e.out]
        for engine in gone[:-GONE_MOST]:  # where engines are ever new, the old must not stay
            del self.engines[engine.id]
            self.marks.pop(messages.engine_mark(engine.id), None)
        self.orders.clear()
        self.ready = [e for e in self.engines.values() if e.state is EngineState.READY]
        self.cores = sum(e.cores for e in self.ready)
        self.cold_until = max(map(self.cold_start, self.ready), default=-math.inf) + self.rules.cold_time
        self.trust()

    def on_entry(self, entry: api.EngineEntry) -> None:
        engine = self.engines.get(entry.engine)
        if engine is None:
            kind = self.settings.kinds[min(entry.kind, len(self.settings.kinds) - 1)]
            engine = self.engines[entry.engine] = Engine(entry, kind)
            self.marks[messages.engine_mark(entry.engine)] = engine
            self.remembered(engine)
            return
        restarted = entry.started != engine.started and entry.started > 0.0
        back = engine.state is EngineState.GONE and entry.state is EngineState.READY
        engine.update(entry)
        if restarted:
            engine.restart(self.now)
        elif back:  # it may have restarted unseen: nothing tells when, so it counts as cold from now
            engine.reborn_at = self.now

    def cold_start(self, engine: Engine) -> float:
        return max(min(engine.started, self.now) if engine.started > 0.0 else -math.inf, engine.reborn_at)

    def coldness(self, engine: Engine) -> float:
        if self.rules.cold_time <= 0.0:
            return 0.0
        return sane(1.0 - (self.now - self.cold_start(engine)) / self.rules.cold_time, 0.0, 1.0)

    def cold_room(self, engine: Engine, job: Job) -> bool:
        """Rule 4: our part of a cold engine's budget, whatever becomes of the work sent.

        Where a part is less than a query, whole ones leave in turns of one window, spread by position: all
        whose turns meet a window fit it, whoever saved up or restarted. Harmful where work is mislearned.
        """
        rules, work, now = self.rules, self.work(job), self.now
        if not rules.fall_multiple or not self.coldness(engine):
            return True
        window, gateways = rules.fall_window, self.settings.gateways
        start = self.cold_start(engine)
        if start < self.born and now < self.born + window:  # sends before a restart are not remembered
            return False
        budget = BUSY * rules.fall_multiple * rules.cold_share * engine.cores * window
        part = COLD_MARGIN * budget / gateways
        if work <= part:
            since = now - window - self.settings.tick
            return work + sum(other for at, other in engine.sent if at >= since) <= part
        pace = gateways * window / (COLD_CHANCE * budget)  # seconds between turns, for each second of work
        turn = (now - start) / (pace * work) - engine.luck - self.settings.position / gateways
        last, before = engine.sent[-1] if engine.sent else (-math.inf, 0.0)
        rested = now >= last + pace * before - window
        return rested and work <= COLD_LARGEST * budget and turn % 1.0 * pace * work < window

    # --- placement ---

    def order(self, tables: float, salt: int = 0) -> list[Engine]:
        """Rendezvous hash order of ready engines for a table group; the same at every gateway."""
        order = self.orders.get((tables, salt))
        if order is None:
            name = repr((float(tables), salt)).encode()
            order = sorted(self.ready, key=lambda e: blake2b(name + e.id, digest_size=8).digest())
            if self.crossing_costs:  # of the first few, those of the own zone lead
                order[:HOMES] = sorted(order[:HOMES], key=lambda e: e.zone != self.settings.zone)
            if len(self.orders) >= ORDERS_MOST:
                self.orders.clear()
            self.orders[tables, salt] = order
        return order

    def allowed(self, engine: Engine, job: Job) -> bool:
        """Rules 2 and 6: where this request may go at all."""
        cls = job.cls
        in_zone = cls.zones_only is None or engine.zone in cls.zones_only
        in_kind = cls.kinds_only is None or engine.kind in cls.kinds_only
        first = job.first_maybe() if cls.effect is Effect.KEYED and cls.group is not Group.ALL else None
        if first is None or not (in_zone and in_kind):
            return in_zone and in_kind
        zone, cell = engine.zone == first.engine.zone, engine.cell == first.engine.cell
        return zone if cls.group is Group.ZONE else cell

    def healthy(self, engine: Engine, job: Job) -> bool:
        """An ill engine gets one short query at a time as a trial; distrusted verdicts bind nobody."""
        if not engine.ill or (self.distrust and not engine.silent):
            return True
        if engine.out or self.now < engine.next_trial or job.index not in self.trial_classes:
            return False
        short = self.exec_time(job) <= 2.0 * min(self.learned[i].exec_time() for i in self.trial_classes)
        return short and self.trial_credit >= 1.0 and not job.attempts

    def under_limit(self, job: Job) -> bool:  # to half a query; none counts longer ones: a lane for the short
        own, classes = self.learned[job.index].exec_time(), zip(self.class_threads, self.learned, strict=True)
        out = sum(threads for threads, known in classes if threads and known.exec_time() <= own)
        return not out or out + job.cls.threads / 2.0 <= self.limit

    def warm_cores(self, engine: Engine) -> float:
        return engine.cores * (1.0 - self.coldness(engine) * (1.0 - self.rules.cold_share))

    def load(self, engine: Engine) -> float:
        """Threads per core: own ones that are out or were lately kept busy, others' as told or reported."""
        own = engine.threads + engine.recent.read(self.now, HORIZON)
        load = (own + engine.told_threads + self.reported(engine) * engine.cores) / self.warm_cores(engine)
        return load * SPILL if self.crossing_costs and engine.zone != self.settings.zone else load

    def reported(self, engine: Engine) -> float:
        """Threads a core by the engine's last report, drawn to the fleet's mean as it ages."""
        fresh = math.exp(min(0.0, engine.reported_at - self.now) / REPORT_MEMORY)
        return self.mean_reported + fresh * (engine.reported - self.mean_reported)

    def heavy(self, job: Job) -> bool:
        return job.cls.is_load or 0.0 < HEAVY * self.usual()[0] < self.work(job)

    def usual(self) -> tuple[float, float]:  # work and worth of the mean query
        count = max(1, sum(k.count for k in self.learned))
        work = sum(k.count * k.work() for k in self.learned) / count
        return work, sum(k.count * k.cls.value for k in self.learned) / count

    def fits(self, engine: Engine, job: Job) -> bool:
        """Whether the engine has room; past its memory a query spills and does its work several times."""
        told, room = self.limits.peers, engine.cores * TOLD_THREADS_PER_CORE
        if told and engine.threads + engine.told_threads + job.cls.threads / 2.0 > room and self.heavy(job):
            return False
        if engine.memory_size and (told or engine.memory):
            room = engine.memory_size * (TOLD_MEMORY if told else MEMORY_SHARE / self.settings.gateways)
            # One of many gateways never sees an engine empty: half of the room is enough for the largest.
            need = min(self.terms(job)[0], room / 2.0) if told else self.terms(job)[0]
            if need > room - engine.memory - engine.told_memory:
                return False
        return self.cold_room(engine, job)

    def usable(self, job: Job, strict: bool, among: list[Engine] | None = None) -> Iterator[Engine]:
        """Engines in hash order that may be used; strict passes over those that had better be left out."""
        # A second load of a group would stand still: each gateway has its own hash order for loads.
        apart = job.cls.is_load or job.cls.waits_for_loads
        for engine in among or self.order(job.tables, self.settings.position + 1 if job.cls.is_load else 0):
            if strict and (engine.full > self.now - FULL_MEMORY or engine.id in job.avoid):
                continue
            if strict and apart and engine.loading(job.tables):
                continue
            if any(a.engine is engine and a.outcome is None for a in job.attempts):
                continue
            if self.allowed(engine, job) and self.healthy(engine, job) and self.fits(engine, job):
                yield engine

    def place(self, job: Job) -> Engine | None:
        """The less loaded of the first two in hash order, moving on past SPILL; None: all are full."""
        if not self.cores or not self.under_limit(job):
            return None
        threads, lately = self.threads + self.told.threads, self.recent.read(self.now, HORIZON)
        for engine in self.ready if self.now < self.cold_until else ():  # turns are short
            room = SPILL * self.warm_cores(engine) / self.cores * threads + job.cls.threads
            cold = self.coldness(engine) and engine.threads <= room  # what it may be sent would still jam it
            if cold and next(self.usable(job, True, [engine]), None):
                return engine
        query = self.work(job) / HORIZON
        for strict in (True, False):
            last = least = None
            for engine in self.usable(job, strict):
                best = engine if last is None else min(last, engine, key=self.load)
                part = SPILL * self.warm_cores(best) / self.cores
                spare = best.threads + best.told_threads <= part * threads + job.cls.threads
                most = SPILL * self.mean_reported + job.cls.threads / best.cores
                spare = spare and self.reported(best) <= most
                if last and spare and best.recent.read(self.now, HORIZON) <= part * lately + query:
                    return best
                least = best if least is None else min(least, best, key=self.load)
                last = engine
            if least is not None:
                return least
        return None

    # --- what gateways tell each other ---

    def tell(self, attempt: Attempt) -> None:
        job, engine = attempt.job, attempt.engine
        bar = len(self.told.entries) / TOLD_MANY * HEAVY * self.usual()[0]
        light = self.work(job) < bar and not job.cls.is_load
        if light or not self.limits.peers or not self.heavy(job):
            return
        self.next_told = attempt.told = (self.next_told + 1) % 256
        span = TOLD_PATIENCE * self.work(job) / job.cls.threads * self.learned[job.index].best
        share = attempt.grant / engine.memory_size if engine.memory_size else 0.0
        what = (max(1, round(attempt.threads)), job.cls.is_load, messages.tables_mark(job.tables))
        start = messages.Message(attempt.told, *what, span, share, messages.engine_mark(engine.id))
        self.actions.append(api.Tell(None, messages.encode(start)))

    def tell_full(self, engine: Engine) -> None:
        """Spare the others a rejection each. Guards against herds of all at an engine that is full."""
        if self.limits.peers:
            full = messages.Message(0, span=FULL_MEMORY, engine=messages.engine_mark(engine.id))
            self.actions.append(api.Tell(None, messages.encode(full)))

    def on_peer(self, event: api.PeerMessage) -> None:
        message, sender = messages.decode(event.data), event.sender
        if message is None or not 0 <= sender < SENDERS_MOST * self.settings.gateways:
            return
        engine = self.marks.get(message.engine)
        if message.tells_full:
            if engine is not None:  # all come back, each at a time of its own
                engine.full = max(engine.full, self.now + self.random.random() * FULL_MEMORY)
            return
        self.told.forget((sender, message.number))  # ended, or the sender counts anew after a restart
        if message.span and engine is not None and sender != self.settings.position:
            self.told.add((sender, message.number), self.now + message.span, engine, message)

    # --- release and refusal ---

    def extra_allowed(self, job: Job) -> bool:
        """Rule 7: a sliding window over served requests and further attempts, checked at each of the latter.

        Only what was served widens it: of all else nothing tells that a usual client sent it. An attempt may
        wait for its connection, so it counts from when it left until it may have come at the latest. What is
        free may have been used before a restart that forgot it.
        """
        rules, slack = self.rules, self.settings.tick + self.limits.connect_timeout
        if len(job.attempts) <= job.earlier or rules.budget_free is None:
            return True
        taken = self.taken.count_since(self.now - rules.budget_window + slack)
        extras = self.extras.count_since(self.now - rules.budget_window - slack)
        free = rules.budget_free if self.now >= self.born + rules.budget_window + slack else 0.0
        return extras + 1 <= free + rules.budget_ratio * taken

    def open(self, job: Job) -> bool:
        """Rule 2: whether the request may go out again, as far as its earlier attempts are concerned."""
        first = job.first_maybe()
        if first is None or job.cls.effect is Effect.SAFE:
            return True
        return job.cls.effect is Effect.KEYED and self.now <= first.sent + job.cls.key_ttl - TTL_MARGIN

    def expired(self, job: Job) -> bool:
        tries = len(job.attempts) - job.earlier
        return tries >= max(1, self.limits.max_attempts) or not self.open(job)

    def lapsed(self, job: Job) -> bool:
        """The design's refusal: now + ExecTime passes the query's, the class's or the client's limit."""
        known = self.learned[job.index]
        limit = min(job.deadline, job.limit - END_MARGIN)
        if self.blocked and job.over:
            return True
        if self.blocked and job.cls.late_value < LATE_WORTH:
            stretch = job.cls.aim_stretch * known.work(job.cost) / job.cls.threads
            limit = min(limit, job.arrival + job.cls.aim + stretch)
        return self.now + (known.exec_time(job.cost) if known.count >= SEED_ANSWERS else 0.0) > limit

    def release(self) -> None:
        """Group EDF over the held queries, until none can be placed."""
        if self.now >= self.next_lapse:
            self.next_lapse = self.now + LAPSE_GAP
            for job in [j for j in self.held.values() if self.expired(j) or self.lapsed(j)]:
                if job.out:  # a second copy that finds no room: the first may still answer
                    del self.held[job.id]
                else:
                    self.finish(job)
        self.blocked = False
        self.told.forget_until(self.now)
        self.turns.forget_until(self.now)
        waiting = [j for j in self.held.values() if j.looks_until <= self.now + 1e-6]
        waiting = [j for j in waiting if self.turns.has(j, self.now) and self.extra_allowed(j)]
        waiting.sort(key=lambda j: (j.over, j.deadline, j.id))
        while waiting:
            first = waiting[0]
            end = first.deadline + GROUP_RANGE * (first.deadline - first.arrival)
            group = [j for j in waiting if j.over == first.over and j.deadline <= end]
            job = min(group, key=lambda j: (self.exec_time(j), j.deadline, j.id))
            waiting.remove(job)
            engine = self.place(job)
            if engine is None:
                self.blocked = True
                # No room for others of its class: trying each costs too much; further tries go to no more.
                waiting = [j for j in waiting if j.index != job.index or (job.attempts and not j.attempts)]
            elif self.extra_allowed(job):
                self.send(job, engine)

    def terms(self, job: Job) -> tuple[float, int]:
        """Memory from learned need; priority by worth per second of work against the usual mix."""
        known, settings = self.learned[job.index], self.settings
        grant = (known.need or NEED_SEED) * job.memory if job.memory else known.need * 1.1
        if settings.largest_grant:
            grant = min(grant, settings.largest_grant)
        work, worth = self.usual()
        if not settings.priorities_heeded or not work or not worth:
            return grant, 1
        density = job.cls.value / max(1e-3, known.work(job.cost) * known.best) / (worth / work)
        return grant, 3 if density >= 2.0 else 2 if density >= 1.0 else 1 if density >= 0.4 else 0

    def send(self, job: Job, engine: Engine) -> None:
        now, work = self.now, self.work(job)
        grant, priority = self.terms(job)
        if self.settings.grants_heeded or self.settings.priorities_heeded:
            self.actions.append(api.SetTerms(job.id, grant if self.settings.grants_heeded else 0.0, priority))
        threads = min(job.cls.threads, engine.cores)
        attempt = Attempt(job, len(job.attempts) - job.earlier, engine, now, threads, grant, heard=now)
        if attempt.n:
            self.extras.append(now)
        self.trial_credit = min(TRIAL_CREDIT, self.trial_credit + TRIAL_SHARE)
        if engine.ill:
            self.put_off_trial(engine)
            self.trial_credit -= 1.0
        job.attempts.append(attempt)
        job.out += 1
        self.let_go(job)
        self.attempts[job.id, attempt.n] = engine.out[job.id, attempt.n] = attempt
        self.count(attempt, 1.0)
        engine.recent.add(now, work, HORIZON)
        self.recent.add(now, work, HORIZON)
        engine.sent = [sent for sent in engine.sent if sent[0] > now - self.rules.cold_time]
        engine.sent.append((now, work))
        self.timer(now + self.patience(job), attempt)
        self.actions.append(api.Send(job.id, engine.id, max(1e-3, job.limit - END_MARGIN - now)))
        self.tell(attempt)

    def count(self, attempt: Attempt, sign: float) -> None:
        attempt.engine.threads += sign * attempt.threads
        attempt.engine.memory += sign * attempt.grant
        self.threads += sign * attempt.threads
        self.class_threads[attempt.job.index] += sign * attempt.threads

    def finish(self, job: Job, answer: bool = True) -> None:
        """End a request at once: refused where the rules let the client try again, failed otherwise."""
        if job.ended:
            return
        job.ended = True
        self.jobs.pop(job.id, None)
        self.let_go(job)
        if answer:
            alone = job.cls.effect is not Effect.SAFE and job.cls.group is not Group.ALL
            if self.open(job) and not (alone and job.first_maybe()):
                self.actions.append(api.Refuse(job.id, self.retry_after(job)))
            else:
                self.actions.append(api.Fail(job.id))
        for attempt in job.attempts:
            if attempt.outcome is None:
                self.cancel(attempt)
        self.turns.leave(job)

    def let_go(self, job: Job) -> None:
        if self.held.pop(job.id, None) and self.backlog is not None:
            self.backlog -= self.exec_time(job) * job.cls.threads

    def retry_after(self, job: Job) -> float:
        """The time in which the work held here would drain, within what clients honour; 0 where none do.

        Summed once a batch: thousands refused at once, each with its own sum, would all be answered late.
        """
        if self.backlog is None:
            self.backlog = sum(self.exec_time(j) * j.cls.threads for j in self.held.values())
        wait = max(0.0, self.backlog) * self.settings.gateways / self.cores if self.cores else math.inf
        most = self.limits.max_retry_after if self.limits.retry_after else 0.0
        return min(most, max(wait, self.exec_time(job)))

    def cancel(self, attempt: Attempt) -> None:
        if self.limits.cancel and not attempt.cancelled and not attempt.job.streaming:
            attempt.cancelled = True
            self.actions.append(api.Cancel(attempt.job.id, attempt.n))

    # --- requests and outcomes ---

    def on_arrival(self, event: api.Arrival) -> None:
        index = min(event.cls, len(self.learned) - 1)
        job = Job(event, index, self.settings.classes[index], self.now)
        self.learned[index].estimate(job.cost, told=event.cost > 0.0)
        job.deadline = self.now + MULTIPLIER * self.exec_time(job)
        job.over = self.over_allowance(event.tenant)
        if event.earlier is not None:
            job.attempts.append(self.earlier(job, event.earlier))
        self.jobs[job.id] = job
        self.turns.join(job)
        self.timer(job.limit - END_MARGIN, job)
        self.held[job.id] = job
        if job.earlier and self.expired(job):
            self.finish(job)
        elif self.probing and self.heavy(job):
            self.ask_around(job)

    def earlier(self, job: Job, told: api.Earlier) -> Attempt:
        """An attempt from before the request arrived here, of which only that it may have run is known."""
        kind = self.settings.kinds[min(told.kind, len(self.settings.kinds) - 1)]
        place = api.EngineEntry(told.engine, EngineState.GONE, 0.0, told.zone, told.kind, told.cell)
        job.earlier, engine = 1, Engine(place, kind)
        return Attempt(job, -1, engine, told.sent, 0.0, 0.0, told.sent, outcome=Outcome.CANCELLED)

    def over_allowance(self, tenant: int) -> bool:
        """Whether a tenant sends more than its allowance here: such queries yield while engines are full."""
        tenants = self.settings.tenants
        if not 0 <= tenant < len(tenants) or not tenants[tenant].allowance > 0.0:
            return False
        rate = TENANT_SLACK * tenants[tenant].allowance / self.settings.gateways
        return self.buckets[tenant].passes(self.now, rate, TENANT_DEPTH + TENANT_SPAN * rate)

    def ask_around(self, job: Job) -> None:
        """Ask the first engines in a heavy query's order what they hold; it waits a moment for their word."""
        order = islice(self.usable(job, strict=True), PROBED)
        asked = [e for e in order if max(e.asked_at, e.reported_at) < self.now - PROBE_GAP]
        for engine in asked:
            engine.asked_at = self.now
            self.actions.append(api.Probe(engine.id))
        if asked:
            job.looks_until = self.now + PROBE_WAIT
            self.timer(job.looks_until, None)

    def on_probe(self, event: api.ProbeResult) -> None:
        engine = self.engines.get(event.engine)
        if engine is not None and event.outcome is Outcome.OK:
            self.take_report(engine, event.report)
        elif engine is not None and event.outcome is not Outcome.REJECTED:
            engine.full = self.now

    def on_ended(self, event: api.AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        job, engine, outcome = attempt.job, attempt.engine, event.outcome
        del engine.out[event.request, event.attempt]
        self.count(attempt, -1.0)
        if attempt.told is not None:
            self.actions.append(api.Tell(None, messages.encode(messages.Message(attempt.told))))
        attempt.outcome = outcome
        job.out -= 1
        if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.turns.rest(job, self.now + self.rules.order_settle)
        if outcome is Outcome.MOOT and attempt.n and attempt.sent in self.extras:
            self.extras.remove(attempt.sent)
        suspected = max(engine.broke_at, engine.reborn_at)
        if outcome is Outcome.OK and attempt.sent < suspected < self.now - SURVIVED:
            engine.broke_at = engine.reborn_at = -math.inf  # it kept what it had: a link broke, no process
        self.judge(engine, outcome, attempt.sent)
        self.blame(job, attempt)
        threads = self.take_report(engine, event.report)
        if outcome is Outcome.OK:
            elapsed = sane(event.elapsed, 1e-4, 1e4)
            known = self.learned[job.index]
            crowd = known.answered(self.now, job, elapsed, sane(event.work), sane(event.memory_mb), threads)
            crowd = crowd if not threads or event.work > 0.0 else threads * PRESSED / PRESSED_THREADS
            self.feel(crowd * self.warm_cores(engine) / engine.cores)  # a cold engine is slow, not crowded
        elif not self.settings.work_told and outcome in (Outcome.CANCELLED, Outcome.TIMEOUT):
            self.learned[job.index].cut_short(job, sane(event.elapsed))
        if outcome in (Outcome.REJECTED, Outcome.TIMEOUT):
            self.feel(PRESSED * 2.0)
            if outcome is Outcome.REJECTED and engine.full <= self.now - FULL_MEMORY / 2.0:
                self.tell_full(engine)
            engine.full = self.now
        if job.ended:
            self.turns.leave(job)
        elif event.final or outcome is Outcome.OK:
            if outcome is Outcome.OK:
                self.taken.put(job.arrival)
                self.taken.count_since(self.now - self.rules.budget_window)
            self.finish(job, answer=False)
        elif not job.out:
            if outcome is not Outcome.CANCELLED and engine.id not in job.avoid:
                job.avoid.append(engine.id)
            if self.expired(job) or job.streaming:
                self.finish(job)
            else:
                job.deadline = max(job.deadline, self.now + MULTIPLIER * self.exec_time(job))
                self.held[job.id] = job

    def take_report(self, engine: Engine, report: tuple[float, ...]) -> float:
        """Threads a core that an engine says it runs, by the usual threads of a query; 0: not told."""
        column = self.active_column
        if column is None or column >= len(report) or not 0.0 < report[column] < math.inf:
            return 0.0
        spans = [max(1, known.count) * known.exec_time() for known in self.learned]
        threads = sum(s * k.cls.threads for s, k in zip(spans, self.learned, strict=True)) / sum(spans)
        engine.reported = min(report[column] * threads / engine.cores, REPORT_MOST)
        engine.reported_at = self.now
        known = [e.reported for e in self.ready if e.reported_at > -math.inf]
        self.mean_reported = sum(known) / max(1, len(known))
        return engine.reported

    def feel(self, crowd: float) -> None:
        """One limit over all engines falls towards the share while answers are late, and grows after."""
        self.crowd += FAIL_STEP * (min(crowd, PRESSED * 2.0) - self.crowd)
        if self.crowd > PRESSED and self.now >= self.last_cut + SHRINK_GAP:
            part = self.cores * SHARE_THREADS_PER_CORE / self.settings.gateways  # what ready engines run well
            floor = part + SHARE_CHANCE * math.sqrt(part) if self.active_column is None else 1.0
            self.limit = max(floor, min(self.limit, self.threads + 1.0) * SHRINK)
            self.last_cut = self.now
        elif self.crowd < RELAXED and self.threads >= self.limit / 2.0:
            self.limit += GROW

    # --- health ---

    def judge(self, engine: Engine, outcome: Outcome, sent: float) -> None:
        """Keep the engine's failure share; condemn and acquit with hysteresis."""
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            engine.heard = self.now
            relinked = sent <= engine.broke_at + RELINKED and not engine.refused
            if engine.broke_at > -math.inf and not relinked:  # it answers again: it may have restarted unseen
                engine.reborn_at = engine.broke_at
            engine.broke_at, engine.refused = -math.inf, False
        if outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
            if engine.broke_at < self.now:  # all that one connection carried breaks at once: it is one break
                self.weigh(engine, HARD_FAIL_STEP, 1.0)
            engine.broke_at, engine.refused = self.now, engine.refused or outcome is Outcome.CONNECT_FAILED
        elif outcome is Outcome.OK:  # one answer disproves silence; a share of failures has to wear off
            self.weigh(engine, 1.0 if engine.silent else FAIL_STEP, 0.0)
        if not engine.ill and engine.fails > ILL:
            self.condemn(engine, "failing")
        elif engine.ill and outcome is Outcome.OK and engine.fails < WELL:
            engine.ill, engine.silent, engine.trial_gap = False, False, TRIAL_GAP
            self.actions.append(api.Log(f"engine {engine.id.hex()} answers again, back in use"))
            self.trust()
        elif engine.ill and outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.MOOT):
            engine.trial_gap = min(engine.trial_gap * 2.0, TRIAL_GAP_MOST)
            self.put_off_trial(engine)

    def blame(self, job: Job, attempt: Attempt) -> None:
        """An error is its engine's once another serves the request, or if none may; else maybe the request's.

        Guards against requests that no engine can run: a flood of them would condemn the whole fleet. Harmful
        where an engine errs on all that it gets and no request is tried again.
        """
        guilty = [a.engine for a in job.attempts if a.outcome is Outcome.ERROR]
        alone = attempt.outcome is Outcome.ERROR and len(job.attempts) == 1 and self.expired(job)
        for engine in guilty if attempt.outcome is Outcome.OK or alone else ():
            self.weigh(engine, FAIL_STEP, 1.0)
            if not engine.ill and engine.fails > ILL:
                self.condemn(engine, "failing")

    def weigh(self, engine: Engine, least: float, failed: float) -> None:
        """An outcome weighs more the longer nothing was known: one of many gateways hears seldom."""
        fresh = 1.0 - math.exp(max(engine.judged - self.now, -1e3) / FAIL_MEMORY)
        engine.fails += max(least, fresh) * (failed - engine.fails)
        engine.judged = self.now

    def condemn(self, engine: Engine, why: str) -> None:
        engine.ill, engine.fails, engine.silent = True, 1.0, why == "silent"
        engine.trial_gap = TRIAL_GAP
        self.put_off_trial(engine)
        self.actions.append(api.Log(f"engine {engine.id.hex()} {why}, left alone but for trials"))
        self.trust()

    def put_off_trial(self, engine: Engine) -> None:
        engine.next_trial = self.now + engine.trial_gap * self.random.uniform(0.8, 1.2)

    def trust(self) -> None:
        before, ill = self.distrust, sum(e.ill and not e.silent for e in self.ready)
        self.distrust = distrust = ill > ILL_SHARE * len(self.ready)
        if distrust != before:
            text = "most engines look ill, verdicts ignored" if distrust else "verdicts hold again"
            self.actions.append(api.Log(text))

    def patience(self, job: Job) -> float:
        if period := self.settings.note_period:
            return SILENT_NOTES * period + min(period, self.learned[job.index].calm_time(job.cost))
        return max(SILENT_FLOOR, OVERDUE * self.exec_time(job)) * (1.0 if self.limits.second_copies else 2.0)

    def look_after(self, attempt: Attempt) -> None:
        """Try elsewhere what has no word for long: lost answers, hangs, cut links, unseen deaths.

        Without notes a long query is silent too: a second copy leaves the first its chance. Not in a jam.
        """
        job, engine, noted = attempt.job, attempt.engine, self.settings.note_period > 0.0
        if attempt.outcome is not None or attempt.cancelled or job.ended or job.streaming:
            return
        due = attempt.heard + self.patience(job)
        if due > self.now + 1e-6:
            self.timer(due, attempt)
            return
        engine.full = self.now
        if noted and engine.heard < attempt.sent and not engine.ill:
            self.weigh(engine, HARD_FAIL_STEP, 1.0)
            if engine.fails > ILL:
                self.condemn(engine, "silent")
                for other in engine.out.values():  # what has had no word there will hardly get one
                    if other.heard <= other.sent and self.may_repeat(other.job):
                        self.cancel(other)
        if not self.may_repeat(job) or self.now + self.exec_time(job) > job.limit:
            return
        if noted or not self.limits.second_copies:
            self.cancel(attempt)
        elif self.crowd < PRESSED and job.out < 2:
            self.held[job.id] = job

    def may_repeat(self, job: Job) -> bool:
        return not (job.ended or job.streaming or self.expired(job)) and self.extra_allowed(job)

    def on_note(self, event: api.Note) -> None:
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        attempt.heard = attempt.engine.heard = self.now
        if event.kind is NoteKind.PROGRESS:
            self.check_plan(attempt, sane(event.amount, 0.0, 1.0))
        elif event.kind is NoteKind.WAITING and event.amount >= 1.0:
            self.move_on(attempt)

    def move_on(self, attempt: Attempt) -> None:
        """It waits, for memory or a load: try elsewhere. Harmful if its place is far up: once an engine."""
        job, engine = attempt.job, attempt.engine
        engine.full = self.now
        if not attempt.cancelled and self.may_repeat(job):
            job.avoid.append(engine.id)
            if next(self.usable(job, strict=True), None) is not None:
                self.cancel(attempt)

    def check_plan(self, attempt: Attempt, done: float) -> None:
        """Bad plan, or stuck on a slow engine: a fresh run is expected to end much sooner.

        If a second run is as slow, the query is long: given up when it cannot end in time or others wait.
        """
        job, spent = attempt.job, self.now - attempt.sent
        fresh, remainder = self.exec_time(job), spent * (1.0 - done) / max(done, 1e-3)
        if attempt.cancelled or job.ended or job.streaming or remainder <= BEHIND * fresh:
            return
        hopeless = remainder > HOPELESS * (job.limit - self.now)
        if not job.rerun and self.may_repeat(job) and self.now + fresh < job.limit:
            job.rerun = True
            self.cancel(attempt)
        elif job.cls.effect is Effect.SAFE and (self.blocked or hopeless):
            self.finish(job)

    # --- the batch ---

    def on_timer(self, event: api.TimerFired) -> None:
        whom = self.timers.pop(event.token, None)
        if isinstance(whom, Attempt):
            self.look_after(whom)
        elif whom is not None and not whom.streaming:
            self.finish(whom)

    def keep_house(self) -> None:
        asking = self.settings.ask_for_list and not self.asked
        if asking and self.now >= self.next_ask:
            self.asked, asking = True, False
            self.actions.append(api.Subscribe(True))
        if (self.held or asking) and self.wake <= self.now:
            self.wake = self.now + HOUSEKEEPING
            self.timer(self.wake, None)

    def on_gone(self, event: api.ClientGone) -> None:
        if event.request in self.jobs:
            self.finish(self.jobs[event.request], answer=False)

    def on_stop(self, event: api.Stop) -> None:
        for job in list(self.jobs.values()):
            self.finish(job)

    def on_stream(self, event: api.StreamStarted) -> None:
        if event.request in self.jobs:
            self.jobs[event.request].streaming = True

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take in a whole batch, then release once, so that queries arriving together compete by deadline."""
        self.now, self.born = now, min(self.born, now)
        self.actions, self.backlog = [], None
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        if self.held and any(type(event) not in NEWS for event in events):
            self.release()
        self.keep_house()
        return self.actions
