"""Which engines a query may go to, and which have room for it."""

from collections.abc import Iterator

from ...interface import Effect, Group
from ...state import Engine, Job
from ..health.verdicts import Health
from ..learning.classes import Classes
from .cold import cold_room
from .order import Order

FULL_MEMORY = 1.0  # seconds that an engine where a query had to wait is left out
TOLD_THREADS_PER_CORE = 2.0  # own and told threads past which heavy queries wait; the design's value
TOLD_MEMORY = 0.85  # of an engine's memory that own and told grants may fill; the rest is for untold queries


class Rooms:
    def __init__(self, classes: Classes, health: Health) -> None:
        self.batch, self.classes, self.health = health.batch, classes, health
        self.order = Order(health.batch, health.fleet)

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

    def fits(self, engine: Engine, job: Job) -> bool:
        """Whether the engine has room; past its memory a query spills and does its work several times."""
        told, classes = self.batch.limits.peers, self.classes
        threads = engine.threads + engine.told_threads + job.cls.threads / 2.0
        if told and threads > engine.cores * TOLD_THREADS_PER_CORE and classes.heavy(job):
            return False
        if engine.memory_size and (told or engine.memory):  # untold, a part of the memory is ours
            room = engine.memory_size * (TOLD_MEMORY if told else 1.0 / self.batch.settings.gateways)
            # One of many gateways never sees an engine empty: half of the room is enough for the largest.
            need = min(classes.terms(job)[0], room / 2.0) if told else classes.terms(job)[0]
            if need > room - engine.memory - engine.told_memory:
                return False
        return cold_room(self.batch, classes, engine, job)

    def usable(self, job: Job, strict: bool, among: list[Engine] | None = None) -> Iterator[Engine]:
        """Engines in hash order that may be used; strict passes over those that had better be left out."""
        # A second load of a group would stand still: each gateway has its own hash order for loads.
        apart, salt = job.cls.is_load or job.cls.waits_for_loads, self.batch.settings.position + 1
        for engine in among or self.order(job.tables, salt if job.cls.is_load else 0):
            if strict and (engine.full > self.batch.now - FULL_MEMORY or engine.id in job.avoid):
                continue
            if strict and apart and engine.loading(job.tables):
                continue
            if any(a.engine is engine and a.outcome is None for a in job.attempts):
                continue
            if self.allowed(engine, job) and self.health.admits(engine, job) and self.fits(engine, job):
                yield engine
