"""Learned state across restarts: selects what to persist and when, and weights it when restored. No I/O."""

from . import confidence, records
from .checkpointer import DURABILITY_TIMEOUT, Checkpointer
from .clock import Gap, Timestamp, gap_between
from .ledger import IdempotencyLedger
from .persisted_state import PersistedState, RestoreSummary
from .purge import PurgeCategory
from .restore import StateRestorer

__all__ = [
    "DURABILITY_TIMEOUT",
    "Checkpointer",
    "Gap",
    "IdempotencyLedger",
    "PersistedState",
    "PurgeCategory",
    "RestoreSummary",
    "StateRestorer",
    "Timestamp",
    "confidence",
    "gap_between",
    "records",
]
