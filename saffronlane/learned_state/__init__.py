"""What a gateway keeps across restarts: how much it counts, what must be written when. Pure, without I/O."""

from . import confidence as weigh
from . import records as kept
from .checkpointer import DURABILITY_TIMEOUT, Checkpointer
from .clock import Gap, Timestamp, between
from .ledger import Ledger
from .purge import PurgeCategory
from .restore import PersistedState, StateRestorer, Summary

__all__ = [
    "DURABILITY_TIMEOUT",
    "Gap",
    "Checkpointer",
    "Ledger",
    "PersistedState",
    "Timestamp",
    "StateRestorer",
    "Summary",
    "PurgeCategory",
    "between",
    "kept",
    "weigh",
]
