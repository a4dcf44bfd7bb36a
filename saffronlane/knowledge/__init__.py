"""What a gateway keeps across restarts: how much it counts, what must be written when. Pure, without I/O."""

from . import kept, weigh
from .clock import Gap, Moment, between
from .forget import What
from .keeper import PATIENCE, Keeper
from .ledger import Ledger
from .recall import Memory, Recall, Summary

__all__ = [
    "PATIENCE",
    "Gap",
    "Keeper",
    "Ledger",
    "Memory",
    "Moment",
    "Recall",
    "Summary",
    "What",
    "between",
    "kept",
    "weigh",
]
