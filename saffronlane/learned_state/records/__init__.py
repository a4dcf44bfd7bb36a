"""Typed records of learned state, their keys in the store, and their encoding."""

from .codec import MIGRATIONS, VERSIONS, Record, decode, decode_all, encode, exported_fields, make_change
from .keys import (
    CLASS,
    ENGINE,
    FLEET,
    IDEMPOTENCY,
    ORDERING,
    PEER_LOAD,
    RETRY_BUDGET,
    RUN,
    key_suffix,
    kind_of,
    printable_key,
)
from .ledger_records import IdempotencyRecord, OrderingRecord, RetryBudgetRecord
from .settings_digest import class_settings_digest
from .state_records import (
    NEVER,
    ClassRecord,
    EngineRecord,
    FleetRecord,
    PeerLoadEntry,
    PeerLoadRecord,
    RunRecord,
)

__all__ = [
    "CLASS",
    "ENGINE",
    "FLEET",
    "IDEMPOTENCY",
    "MIGRATIONS",
    "NEVER",
    "ORDERING",
    "PEER_LOAD",
    "RETRY_BUDGET",
    "RUN",
    "VERSIONS",
    "ClassRecord",
    "EngineRecord",
    "FleetRecord",
    "IdempotencyRecord",
    "OrderingRecord",
    "PeerLoadEntry",
    "PeerLoadRecord",
    "Record",
    "RetryBudgetRecord",
    "RunRecord",
    "class_settings_digest",
    "decode",
    "decode_all",
    "encode",
    "exported_fields",
    "key_suffix",
    "kind_of",
    "make_change",
    "printable_key",
]
