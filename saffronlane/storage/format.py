"""The encoding of a store's files, without I/O. docs/knowledge.md specifies the layout byte by byte.

Integers are big-endian. A file consists of a header and records. The header and each record carry a CRC32C
(RFC 3720, appendix B.4). A log file contains batches of changes. Batches are numbered consecutively across
log files, and the number of a batch is called its sequence. A snapshot contains all entries as of one
sequence and ends with a record that has their count; without that record the snapshot is incomplete.
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
FORMAT_VERSION = 1

# Kinds of file.
LOG = 1
SNAPSHOT = 2

# Types of record.
BATCH = 1
ENTRIES = 2
END = 3

MAX_PAYLOAD_BYTES = 16_777_216  # a greater length is treated as damage
REMOVED_LENGTH = 0xFFFF_FFFF  # written as the length of the value if the key was removed

_HEADER = struct.Struct(">8sHHQI")  # magic, format version, kind, sequence, CRC of the preceding fields
_RECORD_HEADER = struct.Struct(">IIQHH")  # length of the payload, CRC, sequence, type, version of the record
_CHANGE_HEADER = struct.Struct(">HHI")  # length of the key, version of the value, length of the value
HEADER_SIZE, RECORD_HEADER_SIZE = _HEADER.size, _RECORD_HEADER.size
_FILE_NAME_PATTERN = re.compile(r"(log|snap)-v(\d{1,5})-([0-9a-f]{16})")


class Entry(NamedTuple):
    """A value and the version of its layout, both opaque to the store."""

    version: int
    value: bytes


class Change(NamedTuple):
    """A key and its new entry, or None to remove the key."""

    key: bytes
    entry: Entry | None


StoredMap: TypeAlias = "HashTrieMap[bytes, Entry]"


@dataclass(frozen=True, slots=True)
class FileName:
    """The parsed name of a file.

    Attributes:
        kind: LOG or SNAPSHOT.
        format_version: The version of the file format.
        sequence: The sequence of the first batch of a log file, or of the last batch in a snapshot.
    """

    kind: int
    format_version: int
    sequence: int

    def __str__(self) -> str:
        return f"{'log' if self.kind == LOG else 'snap'}-v{self.format_version}-{self.sequence:016x}"

    @staticmethod
    def parse(text: str) -> FileName | None:
        """Return the parsed name, or None if the text is not a name of a log file or snapshot."""
        name_match = _FILE_NAME_PATTERN.fullmatch(text)
        if name_match is None:
            return None
        return FileName(
            LOG if name_match[1] == "log" else SNAPSHOT, int(name_match[2]), int(name_match[3], 16)
        )


@dataclass(frozen=True, slots=True)
class Record:
    """A record of a file.

    Attributes:
        sequence: The sequence of a batch in a log file, or the position of the record in a snapshot.
        type: BATCH, ENTRIES or END.
        version: The version of the payload's layout.
        payload: The content, encoded by `pack_changes` except in an END record.
    """

    sequence: int
    type: int
    version: int
    payload: bytes


@dataclass(slots=True)
class ParsedFile:
    """The valid part of a file.

    Attributes:
        format_version: The version of the file format.
        kind: LOG or SNAPSHOT.
        sequence: The sequence of the first batch of a log file, or of the last batch in a snapshot.
        records: All records before the first damaged one.
        valid_bytes: The size of the header and these records.
        problem: Why reading stopped before the end of the file. Empty if the whole file was read.
    """

    format_version: int
    kind: int
    sequence: int
    records: list[Record] = field(default_factory=list)
    valid_bytes: int = 0
    problem: str = ""


def encode_header(kind: int, sequence: int) -> bytes:
    """Return the header of a file."""
    fields = _HEADER.pack(MAGIC, FORMAT_VERSION, kind, sequence, 0)[:-4]
    return fields + struct.pack(">I", google_crc32c.value(fields))


def _checksum(payload: bytes, sequence: int, type_: int, version: int) -> int:
    header_fields = struct.pack(">IQHH", len(payload), sequence, type_, version)
    return int(google_crc32c.extend(google_crc32c.value(header_fields), payload))


def encode_record(sequence: int, type_: int, payload: bytes, version: int = 1) -> bytes:
    """Return a record's bytes. Raises ValueError if the payload is longer than MAX_PAYLOAD_BYTES."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"record payload of {len(payload)} bytes exceeds the limit of {MAX_PAYLOAD_BYTES}")
    crc = _checksum(payload, sequence, type_, version)
    return _RECORD_HEADER.pack(len(payload), crc, sequence, type_, version) + payload


def parse_file(data: bytes) -> ParsedFile:
    """Parse a file up to the first damaged record. Raises DamagedFileError if the header is damaged.

    Only the header of a file of a newer format version is parsed.
    """
    if len(data) < HEADER_SIZE:
        raise DamagedFileError(f"file of {len(data)} bytes is shorter than its header of {HEADER_SIZE} bytes")
    magic, format_version, kind, sequence, crc = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise DamagedFileError("file does not start with the magic bytes of a store")
    if crc != google_crc32c.value(data[: HEADER_SIZE - 4]):
        raise DamagedFileError("checksum mismatch in the file header")
    parsed = ParsedFile(format_version, kind, sequence, valid_bytes=HEADER_SIZE)
    if format_version > FORMAT_VERSION:
        parsed.problem = f"format version {format_version} is newer than {FORMAT_VERSION}"
        return parsed
    offset = HEADER_SIZE
    while offset < len(data):
        if offset + RECORD_HEADER_SIZE > len(data):
            parsed.problem = f"byte {offset}: record header is truncated"
            break
        length, crc, record_sequence, type_, record_version = _RECORD_HEADER.unpack_from(data, offset)
        end = offset + RECORD_HEADER_SIZE + length
        if length > MAX_PAYLOAD_BYTES or end > len(data):
            parsed.problem = f"byte {offset}: record of {length} bytes exceeds the file or the size limit"
            break
        payload = data[offset + RECORD_HEADER_SIZE : end]
        if crc != _checksum(payload, record_sequence, type_, record_version):
            parsed.problem = f"byte {offset}: checksum mismatch in a record"
            break
        parsed.records.append(Record(record_sequence, type_, record_version, payload))
        offset = parsed.valid_bytes = end
    return parsed


def pack_changes(changes: Iterable[Change]) -> bytes:
    """Return the payload of a BATCH or ENTRIES record. Raises ValueError for an invalid key length."""
    parts: list[bytes] = []
    for key, entry in changes:
        if not 0 < len(key) < 65_536:
            raise ValueError(f"key of {len(key)} bytes, expected 1 to 65535")
        version, length = (0, REMOVED_LENGTH) if entry is None else (entry.version, len(entry.value))
        parts += (_CHANGE_HEADER.pack(len(key), version, length), key, b"" if entry is None else entry.value)
    return b"".join(parts)


def unpack_changes(payload: bytes) -> Iterator[Change]:
    """Decode a payload. Raises DamagedFileError if it is malformed although its checksum is correct."""
    offset = 0
    while offset < len(payload):
        if offset + _CHANGE_HEADER.size > len(payload):
            raise DamagedFileError(f"change header is truncated at byte {offset} of its record")
        key_size, version, length = _CHANGE_HEADER.unpack_from(payload, offset)
        offset += _CHANGE_HEADER.size
        value_size = 0 if length == REMOVED_LENGTH else length
        end = offset + key_size + value_size
        if end > len(payload):
            raise DamagedFileError(f"change at byte {offset} exceeds its record")
        key = payload[offset : offset + key_size]
        yield Change(
            key, None if length == REMOVED_LENGTH else Entry(version, payload[offset + key_size : end])
        )
        offset = end


def apply_changes(state: StoredMap, changes: Iterable[Change]) -> StoredMap:
    """Return the map with the changes applied."""
    for key, entry in changes:
        state = state.discard(key) if entry is None else state.insert(key, entry)
    return state
