"""Encoding of records as msgpack arrays. Each kind of record has its own format version."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from ...storage import Change, Entry
from ..errors import NewerVersionError, UnreadableRecordError
from .keys import (
    CLASS,
    ENGINE,
    FLEET,
    IDEMPOTENCY,
    ORDERING,
    PEER_LOAD,
    RETRY_BUDGET,
    RUN,
    kind_of,
    printable_key,
)
from .ledger_records import IdempotencyRecord, OrderingRecord, RetryBudgetRecord
from .state_records import ClassRecord, EngineRecord, FleetRecord, PeerLoadRecord, RunRecord

Record = (
    RunRecord
    | ClassRecord
    | EngineRecord
    | RetryBudgetRecord
    | IdempotencyRecord
    | OrderingRecord
    | FleetRecord
    | PeerLoadRecord
)

_TYPES: dict[bytes, type[Record]] = {
    RUN: RunRecord,
    RETRY_BUDGET: RetryBudgetRecord,
    FLEET: FleetRecord,
    PEER_LOAD: PeerLoadRecord,
    CLASS: ClassRecord,
    ENGINE: EngineRecord,
    IDEMPOTENCY: IdempotencyRecord,
    ORDERING: OrderingRecord,
}
VERSIONS: dict[bytes, int] = dict.fromkeys(_TYPES, 1) | {CLASS: 2}


def _add_log_deviation(fields: list[Any]) -> list[Any]:
    """Upgrade a class record from version 1 to version 2."""
    return [*fields, 0.0]


# Functions that upgrade the fields of a record to the next version, by kind and version of the record.
MIGRATIONS: dict[tuple[bytes, int], Callable[[list[Any]], list[Any]]] = {(CLASS, 1): _add_log_deviation}
_ENCODER = msgspec.msgpack.Encoder()


def make_change(key: bytes, value: Record | None) -> Change:
    """Return the change that stores a record under a key, or that removes the key if the record is None."""
    if value is None:
        return Change(key, None)
    return Change(key, encode(key, value))


def encode(key: bytes, value: Record) -> Entry:
    """Encode a record for the store."""
    kind = kind_of(key)
    assert kind is not None, key
    return Entry(VERSIONS[kind], _ENCODER.encode(value))


def decode(key: bytes, entry: Entry) -> Record:
    """Decode a record of the current or an older version.

    Raises:
        NewerVersionError: A newer version of the program wrote the record.
        UnreadableRecordError: The bytes are not a record of the kind that the key determines.
    """
    kind = kind_of(key)
    if kind is None:
        raise NewerVersionError(
            f"record {printable_key(key)}: its kind is unknown to this version of the program"
        )
    if entry.version > VERSIONS[kind]:
        raise NewerVersionError(
            f"record {printable_key(key)}: format version {entry.version} is newer than "
            f"the supported version {VERSIONS[kind]}"
        )
    try:
        fields = msgspec.msgpack.decode(entry.value)
        for version in range(entry.version, VERSIONS[kind]):
            fields = MIGRATIONS[kind, version](fields)
        return msgspec.convert(fields, _TYPES[kind])
    except (msgspec.MsgspecError, KeyError, IndexError, TypeError, ValueError) as error:
        raise UnreadableRecordError(f"record {printable_key(key)}: cannot be decoded: {error}") from error


def decode_all(
    items: Iterable[tuple[bytes, Entry]],
) -> Iterator[tuple[bytes, Record | UnreadableRecordError]]:
    """Yield each key with its decoded record, or with the error if the record is unreadable."""
    for key, entry in items:
        try:
            yield key, decode(key, entry)
        except UnreadableRecordError as error:
            yield key, error


def exported_fields(value: Record) -> dict[str, Any]:
    """Return a record's fields under the names that `saffronlane knowledge export` prints."""
    name_pairs = zip(value.__struct_fields__, value.__struct_encode_fields__, strict=True)
    return {exported_name: getattr(value, name) for name, exported_name in name_pairs}
