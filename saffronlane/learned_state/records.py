"""What is kept, typed, and its bytes. Values are msgpack arrays; each kind has a version of its own.

Times are monotonic seconds of the boot in which they were written, on which `clock` has more. Nothing here
decides what a value is worth: see `weigh` and `recall`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b
from typing import Any, TypeAlias, TypeVar

import msgspec

from .. import interface as api
from ..storage import Change, Entry
from .errors import Newer, Unreadable

Times: TypeAlias = list[float]
NEVER = -1e12  # a time that was never: long before any clock's start, and finite, as files want it


class RunRecord(msgspec.Struct, array_like=True, frozen=True):
    """The last sign of life of the run that wrote the folder. `clean`: it ended of its own will."""

    mono: float
    wall: float
    boot: str
    place: str
    program: str
    position: int
    gateways: int
    clean: bool


class ClassRecord(msgspec.Struct, array_like=True, frozen=True):
    """What answers of one class have taught: means per unit of cost, and how many answers they stand for."""

    mark: str  # of the settings that the figures hold for
    at: float  # of the last answer
    mass: float  # answers that count, the seed apart
    count: int
    cost: float
    latency: float
    work: float
    calm: float
    best: float
    need: float
    scatter: float  # standard deviation of the logarithm of one answer; 0: not known


class EngineRecord(msgspec.Struct, array_like=True, frozen=True):
    """One engine: what it is, how it fares, and what it was sent while cold."""

    cores: float
    zone: int
    kind: int
    cell: int
    started: float  # as listed; 0: long ago
    reborn_at: float
    broke_at: float
    judged: float
    fails: float
    ill: bool
    silent: bool
    trial_gap: float
    full: float
    reported: float
    reported_at: float
    lately: float  # threads that own work of late keeps busy, as of the next time
    lately_at: float
    seen: float  # last in a list
    sent: list[tuple[float, float]]  # (time, work)


class RetryBudgetRecord(msgspec.Struct, array_like=True, frozen=True):
    """Rule 7's window: further attempts, and arrivals in bins (start, count)."""

    extras: Times
    taken: list[tuple[float, int]]


class IdempotencyRecord(msgspec.Struct, array_like=True, frozen=True):
    """A request, known by its key, of which an attempt may have run."""

    cls: str
    at: float  # of the first such attempt
    engine: bytes
    zone: int
    kind: int
    cell: int
    until: float  # after this it is forgotten


class OrderingRecord(msgspec.Struct, array_like=True, frozen=True):
    """An ordering key: an attempt of it is out, or it rests until a time."""

    open: bool
    until: float


class FleetRecord(msgspec.Struct, array_like=True, frozen=True):
    """The limit on own threads, how crowded engines are, and recent own work.

    `born`: before this time sends to cold engines are not known of, for all that the ledgers show.
    """

    at: float
    born: float
    limit: float  # 0: none
    crowd: float
    lately: float
    lately_at: float
    mean_reported: float


class PeerLoadRecord(msgspec.Struct, array_like=True, frozen=True):
    """Attempts that other gateways told of: (sender, number, until, engine, threads, memory, load's mark)."""

    entries: list[tuple[int, int, float, bytes, float, float, int | None]]


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
K = TypeVar("K", bound=Record)

RUN, BUDGET, FLEET, TOLD = b"run", b"budget", b"fleet", b"told"
CLASS, ENGINE, SENT, ORDER = b"c/", b"e/", b"s/", b"o/"

_TYPES: dict[bytes, type[Record]] = {
    RUN: RunRecord,
    BUDGET: RetryBudgetRecord,
    FLEET: FleetRecord,
    TOLD: PeerLoadRecord,
    CLASS: ClassRecord,
    ENGINE: EngineRecord,
    SENT: IdempotencyRecord,
    ORDER: OrderingRecord,
}
VERSIONS: dict[bytes, int] = dict.fromkeys(_TYPES, 1) | {CLASS: 2}
# (kind, version) to what makes the fields of the next version of them. They stay for good.
MIGRATIONS: dict[tuple[bytes, int], Callable[[list[Any]], list[Any]]] = {
    (CLASS, 1): lambda fields: [*fields, 0.0],  # version 2 has `scatter`
}
_ENCODER = msgspec.msgpack.Encoder()


def kind_of(key: bytes) -> bytes | None:
    """The kind of value that a key holds; None: not one of ours."""
    if key in (RUN, BUDGET, FLEET, TOLD):
        return key
    return key[:2] if key[:2] in (CLASS, ENGINE, SENT, ORDER) and len(key) > 2 else None


def name_of(key: bytes) -> str:
    """A key for people."""
    kind, rest = key[:2], key[2:]
    if kind in (CLASS, ENGINE):
        return key.decode("utf-8", "backslashreplace")
    return key.decode("ascii") if kind_of(key) == key else f"{kind.decode('ascii', 'replace')}{rest.hex()}"


def change(key: bytes, value: Record | None) -> Change:
    if value is None:
        return Change(key, None)
    kind = kind_of(key)
    assert kind is not None, key
    return Change(key, Entry(VERSIONS[kind], _ENCODER.encode(value)))


def decode(key: bytes, entry: Entry) -> Record:
    """Read a value of this or an older version. Unreadable, Newer."""
    kind = kind_of(key)
    if kind is None:
        raise Newer(f"{name_of(key)}: a kind that this version does not know")
    if entry.version > VERSIONS[kind]:
        raise Newer(f"{name_of(key)}: version {entry.version} is newer than {VERSIONS[kind]}")
    try:
        fields = msgspec.msgpack.decode(entry.value)
        for version in range(entry.version, VERSIONS[kind]):
            fields = MIGRATIONS[kind, version](fields)
        return msgspec.convert(fields, _TYPES[kind])
    except (msgspec.MsgspecError, KeyError, IndexError, TypeError, ValueError) as error:
        raise Unreadable(f"{name_of(key)}: {error}") from None


def decode_all(items: Iterable[tuple[bytes, Entry]]) -> Iterator[tuple[bytes, Record | Unreadable]]:
    for key, entry in items:
        try:
            yield key, decode(key, entry)
        except Unreadable as error:
            yield key, error


def plain(value: Record) -> dict[str, Any]:
    """For people and other programs: the fields by name."""
    return {name: getattr(value, name) for name in value.__struct_fields__}


def class_mark(settings: api.Settings, cls: api.ClassSettings) -> str:
    """Names the settings under which a class's figures were learned: others make them say nothing."""
    kinds = sorted({(kind.cores, kind.memory_mb) for kind in settings.machine_types})
    text = repr((cls.name, cls.threads, cls.is_bulk_load, cls.is_streaming, settings.reports_work, kinds))
    return blake2b(text.encode(), digest_size=8).hexdigest()
