"""The choice among engines that have room."""

from ...state import Engine, InFlightWork, PeerLoadTable, Request
from ..estimation.load_reports import LoadReports
from ..health.outlier_detection import OutlierDetector
from ..scheduling.concurrency_limit import AdaptiveConcurrencyLimit
from .eligibility import EngineEligibility

OVERLOAD_FACTOR = (
    1.25  # an engine over this x mean load plus one query is passed by; the design's start value
)
RECENT_WORK_HORIZON = (
    10.0  # seconds that own sent work counts as load: where few queries are out, those tell nothing
)


class EngineSelector:
    def __init__(self, reports: LoadReports, health: OutlierDetector, told: PeerLoadTable) -> None:
        self.load_reports, self.step_context, self.engine_registry, self.peer_load = (
            reports,
            reports.step_context,
            reports.engine_registry,
            told,
        )
        self.in_flight = InFlightWork(len(self.step_context.settings.classes))
        self.concurrency_limit = AdaptiveConcurrencyLimit(self.in_flight, reports)
        self.eligibility = EngineEligibility(reports.workload_estimates, health, self.concurrency_limit)

    def on_engines_changed(self) -> None:
        """Drop what depends on the set of ready engines."""
        self.eligibility.rendezvous_order.clear()

    def load(self, engine: Engine) -> float:
        """Threads per core: own ones that are out or were lately kept busy, others' as told or reported."""
        own = engine.in_flight_threads + engine.recent_work.read(self.step_context.now, RECENT_WORK_HORIZON)
        load = own + engine.peer_threads + self.load_reports.threads_per_core(engine) * engine.cores
        load /= engine.effective_cores(self.step_context.now, self.step_context.guarantees)
        away = (
            self.eligibility.rendezvous_order.crossing_costs
            and engine.zone != self.step_context.settings.zone
        )
        return load * OVERLOAD_FACTOR if away else load

    def select(self, job: Request) -> Engine | None:
        """The less loaded of the first two in hash order, moving on past SPILL; None: all are full."""
        now, rules, fleet, usable = (
            self.step_context.now,
            self.step_context.guarantees,
            self.engine_registry,
            self.eligibility.eligible_engines,
        )
        if not fleet.ready_cores or not self.concurrency_limit.admits(job):
            return None
        threads, lately = (
            self.in_flight.threads + self.peer_load.threads,
            self.in_flight.recent_work.read(now, RECENT_WORK_HORIZON),
        )
        apart = (
            self.step_context.settings.gateway_index + 1
        )  # turns are short; in one order, all would crowd its first
        for engine in (
            self.eligibility.rendezvous_order(job.table_group, apart) if now < fleet.warmups_end_at else ()
        ):
            if engine.is_warming_up(now, rules.slow_start_duration):
                room = (
                    OVERLOAD_FACTOR * engine.effective_cores(now, rules) / fleet.ready_cores * threads
                    + job.class_settings.threads
                )
                spare = engine.in_flight_threads + engine.peer_threads <= room  # else it would jam
                if spare and next(usable(job, True, [engine]), None):
                    return engine
        query = self.eligibility.workload_estimates.work(job) / RECENT_WORK_HORIZON
        for strict in (True, False):
            last = least = None
            for engine in usable(job, strict):
                best = engine if last is None else min(last, engine, key=self.load)
                part = OVERLOAD_FACTOR * best.effective_cores(now, rules) / fleet.ready_cores
                spare = (
                    best.in_flight_threads + best.peer_threads <= part * threads + job.class_settings.threads
                )
                most = OVERLOAD_FACTOR * fleet.mean_reported_threads + job.class_settings.threads / best.cores
                spare = spare and self.load_reports.threads_per_core(best) <= most
                if (
                    last
                    and spare
                    and best.recent_work.read(now, RECENT_WORK_HORIZON) <= part * lately + query
                ):
                    return best
                least = best if least is None else min(least, best, key=self.load)
                last = engine
            if least is not None:
                return least
        return None
