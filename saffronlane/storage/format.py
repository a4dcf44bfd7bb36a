"""The bytes of a store's files. No I/O; docs/knowledge.md has the same layout byte by byte.

Integers are big-endian. A file is a header and records; every record and the header carry a CRC32C (RFC 3720,
appendix B.4). A log file holds batches of changes, each with the sequence after the one before it. A snapshot
holds all entries as of one sequence, and ends with a record that counts them: without it, it is not whole.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

import google_crc32c
from rpds import HashTrieMap

from .errors import DamagedFileError

MAGIC = b"SFLKEEP\n"
FORMAT = 1

# Kinds of file.
LOG = 1
SNAPSHOT = 2

# Types of record.
BATCH = 1
ENTRIES = 2
END = 3

MAX_PAYLOAD = 16_777_216  # bytes; a greater length is damage
REMOVED = 0xFFFF_FFFF  # in place of a value's length: the key was removed

_HEADER = struct.Struct(">8sHHQI")  # magic, format, kind, sequence, CRC of what is before it
_RECORD = struct.Struct(">IIQHH")  # length of the payload, CRC, sequence, type, version of the record
_CHANGE = struct.Struct(">HHI")  # length of the key, version of the value, length of the value
HEADER_SIZE, RECORD_SIZE = _HEADER.size, _RECORD.size
_NAME = re.compile(r"(log|snap)-v(\d{1,5})-([0-9a-f]{16})")


class Entry(NamedTuple):
    """A value and the version of its layout, which the store carries and does not read."""

    version: int
    value: bytes


class Change(NamedTuple):
    """A key's new entry; None removes it."""

    key: bytes
    entry: Entry | None


StoredMap: TypeAlias = "HashTrieMap[bytes, Entry]"


@dataclass(frozen=True, slots=True)
class FileName:
    """A file's name: its kind, its format and its first or last sequence."""

    kind: int
    format: int
    sequence: int

    def __str__(self) -> str:
        return f"{'log' if self.kind == LOG else 'snap'}-v{self.format}-{self.sequence:016x}"

    @staticmethod
    def parse(text: str) -> FileName | None:
        found = _NAME.fullmatch(text)
        if found is None:
            return None
        return FileName(LOG if found[1] == "log" else SNAPSHOT, int(found[2]), int(found[3], 16))


@dataclass(frozen=True, slots=True)
class Record:
    """A record of a file."""

    sequence: int
    type: int
    version: int
    payload: bytes


@dataclass(slots=True)
class ParsedFile:
    """A file as far as it is good: its records, the bytes that they take, and why reading stopped."""

    format: int
    kind: int
    sequence: int
    records: list[Record] = field(default_factory=list)
    valid_bytes: int = 0
    problem: str = ""


def encode_header(kind: int, sequence: int) -> bytes:
    """Return the header of a file."""
    start = _HEADER.pack(MAGIC, FORMAT, kind, sequence, 0)[:-4]
    return start + struct.pack(">I", google_crc32c.value(start))


def _checksum(payload: bytes, sequence: int, type_: int, version: int) -> int:
    head = struct.pack(">IQHH", len(payload), sequence, type_, version)
    return int(google_crc32c.extend(google_crc32c.value(head), payload))


def encode_record(sequence: int, type_: int, payload: bytes, version: int = 1) -> bytes:
    """Return a record's bytes. Raises ValueError if the payload is longer than MOST_PAYLOAD."""
    if len(payload) > MAX_PAYLOAD:
        raise ValueError(f"{len(payload)} bytes in one record, {MAX_PAYLOAD} at most")
    crc = _checksum(payload, sequence, type_, version)
    return _RECORD.pack(len(payload), crc, sequence, type_, version) + payload


def parse_file(data: bytes) -> ParsedFile:
    """Read a file up to the first damaged byte. Raises DamagedFileError if the header is damaged."""
    if len(data) < HEADER_SIZE:
        raise DamagedFileError(f"{len(data)} bytes, fewer than a header has")
    magic, version, kind, sequence, crc = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise DamagedFileError("not a file of this store")
    if crc != google_crc32c.value(data[: HEADER_SIZE - 4]):
        raise DamagedFileError("the header's checksum is wrong")
    found = ParsedFile(version, kind, sequence, valid_bytes=HEADER_SIZE)
    if version > FORMAT:
        found.problem = f"format {version} is newer than {FORMAT}"
        return found
    at = HEADER_SIZE
    while at < len(data):
        if at + RECORD_SIZE > len(data):
            found.problem = f"byte {at}: a record's head breaks off"
            break
        length, crc, number, type_, layout = _RECORD.unpack_from(data, at)
        end = at + RECORD_SIZE + length
        if length > MAX_PAYLOAD or end > len(data):
            found.problem = f"byte {at}: a record of {length} bytes passes the end of the file"
            break
        payload = data[at + RECORD_SIZE : end]
        if crc != _checksum(payload, number, type_, layout):
            found.problem = f"byte {at}: a record's checksum is wrong"
            break
        found.records.append(Record(number, type_, layout, payload))
        at = found.valid_bytes = end
    return found


def pack_changes(changes: Iterable[Change]) -> bytes:
    """Return the payload of a BATCH or ENTRIES record. Raises ValueError for a bad key length."""
    parts: list[bytes] = []
    for key, entry in changes:
        if not 0 < len(key) < 65_536:
            raise ValueError(f"a key of {len(key)} bytes")
        version, length = (0, REMOVED) if entry is None else (entry.version, len(entry.value))
        parts += (_CHANGE.pack(len(key), version, length), key, b"" if entry is None else entry.value)
    return b"".join(parts)


def unpack_changes(payload: bytes) -> Iterator[Change]:
    """Decode a payload. Raises DamagedFileError where it breaks off, though its checksum was right."""
    at = 0
    while at < len(payload):
        if at + _CHANGE.size > len(payload):
            raise DamagedFileError(f"a change's head breaks off at byte {at} of its record")
        key_size, version, size = _CHANGE.unpack_from(payload, at)
        at += _CHANGE.size
        value_size = 0 if size == REMOVED else size
        end = at + key_size + value_size
        if end > len(payload):
            raise DamagedFileError(f"a change at byte {at} passes the end of its record")
        key = payload[at : at + key_size]
        yield Change(key, None if size == REMOVED else Entry(version, payload[at + key_size : end]))
        at = end


def apply_changes(state: StoredMap, changes: Iterable[Change]) -> StoredMap:
    """Return the map with changes applied."""
    for key, entry in changes:
        state = state.discard(key) if entry is None else state.insert(key, entry)
    return state
