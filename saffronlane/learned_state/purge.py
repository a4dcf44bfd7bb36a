"""Removal of learned state at an operator's request, from a running gateway or from a state directory.

The records that guarantees depend on (idempotency ledger, ordering keys, retry budget, dispatches during slow
start) are removed only by the category ALL, and only from a directory that no gateway uses.
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
    """A category of learned state to remove; the values are arguments of the command line."""

    CLASSES = "classes"  # run time estimates, and the concurrency limit derived from them
    ENGINES = "engines"  # engine health and load reports
    ALL = "all"  # every record, including those that guarantees depend on


def purge_gateway(gateway: Gateway, categories: Iterable[PurgeCategory]) -> None:
    """Reset these categories in a running gateway.

    Raises:
        ValueError: The category ALL is given, which applies to directories only.
    """
    for category in categories:
        match category:
            case PurgeCategory.CLASSES:
                _reset_estimates(gateway)
            case PurgeCategory.ENGINES:
                _reset_health(gateway)
            case PurgeCategory.ALL:
                raise ValueError(
                    "category 'all' cannot be purged in a running gateway, whose guarantees need its ledgers"
                )


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
    """Return the changes that remove these categories from the entries of a directory."""
    category_set = set(categories)
    changes = []
    for key, entry in entries:
        if _is_removed(key, category_set):
            changes.append(Change(key, None))
        elif PurgeCategory.ENGINES in category_set and records.kind_of(key) == records.ENGINE:
            reset_record = _without_health(key, entry)
            if reset_record is not None:
                changes.append(records.make_change(key, reset_record))
    return changes


def _is_removed(key: bytes, category_set: set[PurgeCategory]) -> bool:
    if PurgeCategory.ALL in category_set:
        return True
    return PurgeCategory.CLASSES in category_set and records.kind_of(key) in (records.CLASS, records.FLEET)


def _without_health(key: bytes, entry: Entry) -> records.EngineRecord | None:
    """Return an engine's record without its health and load reports, or None if it is unreadable."""
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
