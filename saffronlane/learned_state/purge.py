"""Removal of learned state at an operator's request, from a running gateway or from its directory.

The records that guarantees depend on (idempotency ledger, ordering keys, retry budget, dispatches during slow
start) are removed only with ALL, and only from a directory that no gateway uses.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum

from msgspec.structs import replace

from ..policy import Gateway
from ..policy.estimation.run_time_estimator import RunTimeEstimator
from ..storage import Change, Entry
from . import records
from .errors import UnreadableRecordError


class PurgeCategory(Enum):
    """What to remove; the values are the words of the command line."""

    CLASSES = "classes"  # estimates, and the concurrency limit that came of them
    ENGINES = "engines"  # health, load reports
    ALL = "all"


def purge_gateway(gateway: Gateway, categories: Iterable[PurgeCategory]) -> None:
    """Reset these in a running gateway.

    Raises:
        ValueError: ALL is for directories only.
    """
    for category in categories:
        match category:
            case PurgeCategory.CLASSES:
                _reset_estimates(gateway)
            case PurgeCategory.ENGINES:
                _reset_health(gateway)
            case PurgeCategory.ALL:
                raise ValueError("the ledgers of a running gateway are not forgotten")


def _reset_estimates(gateway: Gateway) -> None:
    gateway.workload_estimates.estimators[:] = [
        RunTimeEstimator(class_settings) for class_settings in gateway.step_context.settings.classes
    ]
    gateway.concurrency_limit.limit = math.inf
    gateway.concurrency_limit.latency_inflation = 1.0


def _reset_health(gateway: Gateway) -> None:
    for engine in gateway.engine_registry.engines.values():
        engine.reset_health()
    gateway.outlier_detector.update_panic_mode()


def purge_entries(
    entries: Iterable[tuple[bytes, Entry]], categories: Iterable[PurgeCategory]
) -> list[Change]:
    """Return the changes that remove these from the entries of a directory."""
    chosen = set(categories)
    changes = []
    for key, entry in entries:
        if _is_removed(key, chosen):
            changes.append(Change(key, None))
        elif PurgeCategory.ENGINES in chosen and records.kind_of(key) == records.ENGINE:
            healthy = _without_health(key, entry)
            if healthy is not None:
                changes.append(records.make_change(key, healthy))
    return changes


def _is_removed(key: bytes, chosen: set[PurgeCategory]) -> bool:
    if PurgeCategory.ALL in chosen:
        return True
    return PurgeCategory.CLASSES in chosen and records.kind_of(key) in (records.CLASS, records.FLEET)


def _without_health(key: bytes, entry: Entry) -> records.EngineRecord | None:
    """Return an engine's record without health and load reports; None if it is unreadable."""
    try:
        engine = records.decode(key, entry)
    except UnreadableRecordError:
        return None
    if not isinstance(engine, records.EngineRecord):
        return None
    return replace(
        engine,
        failure_ratio=0.0,
        is_ejected=False,
        is_unresponsive=False,
        last_outcome_at=records.NEVER,
        last_rejection_at=records.NEVER,
        reported_at=records.NEVER,
    )
