"""Encoding of records as msgpack arrays. Each kind of record has a version of its own."""

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
    name_of,
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
    """Upgrade a class record of version 1."""
    return [*fields, 0.0]


# By kind and version: upgrades the fields to the next version.
MIGRATIONS: dict[tuple[bytes, int], Callable[[list[Any]], list[Any]]] = {(CLASS, 1): _add_log_deviation}
_ENCODER = msgspec.msgpack.Encoder()


def make_change(key: bytes, value: Record | None) -> Change:
    """Encode a record as a change of the store; None removes it."""
    if value is None:
        return Change(key, None)
    return Change(key, encode(key, value))


def encode(key: bytes, value: Record) -> Entry:
    """Encode a record for the store."""
    kind = kind_of(key)
    assert kind is not None, key
    return Entry(VERSIONS[kind], _ENCODER.encode(value))


def decode(key: bytes, entry: Entry) -> Record:
    """Decode a record of this or an older version.

    Raises:
        NewerVersionError: a later version of the program wrote it.
        UnreadableRecordError: the bytes are no record of this kind.
    """
    kind = kind_of(key)
    if kind is None:
        raise NewerVersionError(f"{name_of(key)}: a kind that this version does not know")
    if entry.version > VERSIONS[kind]:
        raise NewerVersionError(f"{name_of(key)}: version {entry.version} is newer than {VERSIONS[kind]}")
    try:
        fields = msgspec.msgpack.decode(entry.value)
        for version in range(entry.version, VERSIONS[kind]):
            fields = MIGRATIONS[kind, version](fields)
        return msgspec.convert(fields, _TYPES[kind])
    except (msgspec.MsgspecError, KeyError, IndexError, TypeError, ValueError) as error:
        raise UnreadableRecordError(f"{name_of(key)}: {error}") from error


def decode_all(
    items: Iterable[tuple[bytes, Entry]],
) -> Iterator[tuple[bytes, Record | UnreadableRecordError]]:
    """Decode entries one by one; an unreadable one yields its error."""
    for key, entry in items:
        try:
            yield key, decode(key, entry)
        except UnreadableRecordError as error:
            yield key, error


def exported_fields(value: Record) -> dict[str, Any]:
    """Return a record's fields under the names that `saffronlane knowledge export` prints."""
    names = zip(value.__struct_fields__, value.__struct_encode_fields__, strict=True)
    return {exported: getattr(value, name) for name, exported in names}
