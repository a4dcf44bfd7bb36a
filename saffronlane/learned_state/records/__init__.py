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
    identity_of,
    kind_of,
    name_of,
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
    "ClassRecord",
    "ENGINE",
    "EngineRecord",
    "FLEET",
    "FleetRecord",
    "IDEMPOTENCY",
    "IdempotencyRecord",
    "MIGRATIONS",
    "NEVER",
    "ORDERING",
    "OrderingRecord",
    "PEER_LOAD",
    "PeerLoadEntry",
    "PeerLoadRecord",
    "RETRY_BUDGET",
    "RUN",
    "Record",
    "RetryBudgetRecord",
    "RunRecord",
    "VERSIONS",
    "class_settings_digest",
    "decode",
    "decode_all",
    "encode",
    "exported_fields",
    "identity_of",
    "kind_of",
    "make_change",
    "name_of",
]
