"""Restores the records that guarantees depend on: retry budget, ordering keys and the idempotency ledger."""

from __future__ import annotations

import math

from msgspec.structs import replace

from .. import interface as api
from ..policy import Gateway
from . import confidence
from .ledger import IdempotencyLedger
from .persisted_state import RestoredRecords

MAX_ARRIVALS_PER_BIN = 100_000  # no bin written by this program contains more


def restore_ledgers(
    restored_records: RestoredRecords, settings: api.Settings, gateway: Gateway, ledger: IdempotencyLedger
) -> None:
    """Add the persisted records that guarantees depend on to those that the gateway has made itself."""
    _restore_retry_budget(restored_records, gateway)
    _restore_ordering(restored_records, gateway)
    _restore_idempotency(restored_records, settings, ledger)


def _restore_retry_budget(restored_records: RestoredRecords, gateway: Gateway) -> None:
    record = restored_records.retry_budget
    step_context = gateway.step_context
    if record is None or step_context.guarantees.retry_budget_base is None:
        return
    budget = gateway.completion.retry_policy.budget
    window_start = (
        restored_records.now
        - step_context.guarantees.retry_budget_window
        - 2.0 * step_context.settings.min_step_interval
    )
    retries = [*budget.retries, *map(restored_records.past_time, record.retries)]
    arrivals = list(budget.served_arrivals)
    for start, count in record.arrival_bins:
        arrivals += [restored_records.past_time(start)] * min(count, MAX_ARRIVALS_PER_BIN)
    for window, times in ((budget.retries, retries), (budget.served_arrivals, arrivals)):
        window.clear()
        window.extend(sorted(time for time in times if time > window_start))


def _restore_ordering(restored_records: RestoredRecords, gateway: Gateway) -> None:
    cooldowns = gateway.pending.ordering.cooldowns
    max_cooldown_until = restored_records.now + gateway.step_context.guarantees.ordering_cooldown
    for ordering_key, record in restored_records.ordering.items():
        cooldown_until = (
            max_cooldown_until if record.is_in_flight else min(record.cooldown_until, max_cooldown_until)
        )
        if cooldown_until > restored_records.now:
            cooldowns[ordering_key] = max(cooldown_until, cooldowns.get(ordering_key, -math.inf))
            restored_records.summary.ordering_keys += 1


def _restore_idempotency(
    restored_records: RestoredRecords, settings: api.Settings, ledger: IdempotencyLedger
) -> None:
    class_settings_by_name = {class_settings.name: class_settings for class_settings in settings.classes}
    for idempotency_key, record in restored_records.idempotency.items():
        class_settings = class_settings_by_name.get(record.query_class)
        retention = _retention(class_settings) if class_settings is not None else 0.0
        expires_at = min(record.expires_at, restored_records.now + retention)
        if expires_at > restored_records.now:
            ledger.restore(idempotency_key, replace(record, expires_at=expires_at))
            restored_records.summary.idempotency_keys += 1


def _retention(class_settings: api.ClassSettings) -> float:
    """Return the seconds for which a client may repeat a request of the class after its first attempt."""
    return class_settings.idempotency_ttl + confidence.CLIENT_RETRY_DEADLINES * class_settings.deadline
