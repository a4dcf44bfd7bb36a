"""Restoring the records that guarantees depend on: retry budget, ordering keys and the idempotency ledger."""

from __future__ import annotations

import math

from msgspec.structs import replace

from .. import interface as api
from ..policy import Gateway
from . import confidence
from .ledger import IdempotencyLedger
from .persisted_state import RestoredRecords

MAX_ARRIVALS_PER_BIN = 100_000  # no bin that this program wrote has more


def restore_ledgers(
    restored: RestoredRecords, settings: api.Settings, gateway: Gateway, ledger: IdempotencyLedger
) -> None:
    """Restore what guarantees depend on, beside what the gateway has recorded itself."""
    _restore_retry_budget(restored, gateway)
    _restore_ordering(restored, gateway)
    _restore_idempotency(restored, settings, ledger)


def _restore_retry_budget(restored: RestoredRecords, gateway: Gateway) -> None:
    record = restored.retry_budget
    step = gateway.step_context
    if record is None or step.guarantees.retry_budget_base is None:
        return
    budget = gateway.completion.retry_policy.budget
    window_start = restored.now - step.guarantees.retry_budget_window - 2.0 * step.settings.min_step_interval
    retries = [*budget.retries, *map(restored.past_time, record.retries)]
    arrivals = list(budget.served_arrivals)
    for start, count in record.arrival_bins:
        arrivals += [restored.past_time(start)] * min(count, MAX_ARRIVALS_PER_BIN)
    for window, times in ((budget.retries, retries), (budget.served_arrivals, arrivals)):
        window.clear()
        window.extend(sorted(time for time in times if time > window_start))


def _restore_ordering(restored: RestoredRecords, gateway: Gateway) -> None:
    cooldowns = gateway.pending.ordering.cooldowns
    latest = restored.now + gateway.step_context.guarantees.ordering_cooldown
    for ordering_key, record in restored.ordering.items():
        until = latest if record.is_in_flight else min(record.cooldown_until, latest)
        if until > restored.now:
            cooldowns[ordering_key] = max(until, cooldowns.get(ordering_key, -math.inf))
            restored.summary.orders += 1


def _restore_idempotency(
    restored: RestoredRecords, settings: api.Settings, ledger: IdempotencyLedger
) -> None:
    class_settings_by_name = {class_settings.name: class_settings for class_settings in settings.classes}
    for identity, record in restored.idempotency.items():
        class_settings = class_settings_by_name.get(record.query_class)
        retention = _retention(class_settings) if class_settings is not None else 0.0
        expires_at = min(record.expires_at, restored.now + retention)
        if expires_at > restored.now:
            ledger.restore(identity, replace(record, expires_at=expires_at))
            restored.summary.requests += 1


def _retention(class_settings: api.ClassSettings) -> float:
    """Return the seconds for which a client may still repeat a request of a class."""
    return class_settings.idempotency_ttl + confidence.CLIENT_RETRY_DEADLINES * class_settings.deadline
