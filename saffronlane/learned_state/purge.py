"""What an operator may want forgotten, in a running gateway or in what is kept.

Ledgers that rules stand on (requests by key, ordering keys, the budget's window, what cold engines were sent)
go only with ALL, and only from a folder that no gateway uses.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from msgspec.structs import replace

from ..policy import Gateway
from ..policy.estimation.run_time_estimator import RunTimeEstimator
from ..storage import Change, Entry
from . import records as k
from .errors import Unreadable


class PurgeCategory(Enum):
    CLASSES = "classes"  # times, ratios, needs, and the limit that came of them
    ENGINES = "engines"  # health, reports
    ALL = "all"


def in_gateway(gateway: Gateway, what: Iterable[PurgeCategory]) -> None:
    """Begin anew with these, while it runs. ALL is not for a running gateway: ValueError."""
    for one in what:
        if one is PurgeCategory.CLASSES:
            gateway.workload_estimates.estimators[:] = [
                RunTimeEstimator(cls) for cls in gateway.batch.settings.classes
            ]
            gateway.concurrency_limit.limit, gateway.concurrency_limit.latency_inflation = float("inf"), 1.0
        elif one is PurgeCategory.ENGINES:
            for engine in gateway.fleet.engines.values():
                engine.failure_ratio, engine.last_outcome_at, engine.last_rejection_at = (
                    0.0,
                    float("-inf"),
                    float("-inf"),
                )
                engine.is_ejected = engine.is_unresponsive = False
            gateway.outlier_detector.update_panic_mode()
        else:
            raise ValueError("the ledgers of a running gateway are not forgotten")


def in_entries(entries: Iterable[tuple[bytes, Entry]], what: Iterable[PurgeCategory]) -> list[Change]:
    """The changes that make kept entries forget these."""
    chosen, found = set(what), []
    for key, entry in entries:
        kind = k.kind_of(key)
        if PurgeCategory.ALL in chosen or (PurgeCategory.CLASSES in chosen and kind in (k.CLASS, k.FLEET)):
            found.append(Change(key, None))
        elif PurgeCategory.ENGINES in chosen and kind == k.ENGINE:
            try:
                engine = k.decode(key, entry)
            except Unreadable:
                continue
            if isinstance(engine, k.EngineRecord):
                well = replace(
                    engine,
                    fails=0.0,
                    ill=False,
                    silent=False,
                    judged=k.NEVER,
                    full=k.NEVER,
                    reported_at=k.NEVER,
                )
                found.append(k.change(key, well))
    return found
