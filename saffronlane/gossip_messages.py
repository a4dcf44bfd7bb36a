"""The wire format of gossip messages between gateways.

A message that reports a started query or a full engine has 9 bytes; one that reports an ended query has 2.
`policy/` decides when a message is sent and how a received message is used.
"""

from __future__ import annotations

import struct
from hashlib import blake2b
from typing import NamedTuple

VERSION = 1
DURATION_UNIT = 0.2  # seconds
NUMBER_MODULUS = 256
MAX_BYTE = 255
MAX_THREADS = 15
VERSION_SHIFT = 5
BULK_LOAD_SHIFT = 4
_START = struct.Struct(">BBHBB3s")  # header, number, table digest, duration, memory ratio, engine digest
_END = struct.Struct(">BB")  # header, number


class GossipMessage(NamedTuple):
    """Reports that the sender started a query, that one of its queries ended, or that an engine is full.

    A message without a duration reports an ended query. A message with a duration but without threads
    reports a full engine.

    Attributes:
        number: The sender's number for the query, modulo `NUMBER_MODULUS`.
        threads: Number of threads that the query uses.
        is_bulk_load: Whether the query is a bulk load.
        table_digest: Digest of the query's table group.
        duration: Seconds for which receivers count the query unless its end is reported earlier. If the
            message reports a full engine, the seconds for which receivers treat the engine as full.
        memory_ratio: Fraction of the engine's memory that the query uses.
        engine_digest: Digest of the engine's id.
    """

    number: int
    threads: int = 0
    is_bulk_load: bool = False
    table_digest: int = 0
    duration: float = 0.0
    memory_ratio: float = 0.0
    engine_digest: bytes = b""

    @property
    def reports_full(self) -> bool:
        """Whether the message reports that the engine is full."""
        return not self.threads and self.duration > 0.0


def engine_digest(engine: bytes) -> bytes:
    """Return a short digest of an engine's id."""
    return blake2b(engine, digest_size=3).digest()


def table_group_digest(table_group: float) -> int:
    """Return a short digest of a table group."""
    return int.from_bytes(blake2b(repr(float(table_group)).encode(), digest_size=2).digest(), "big")


def start_message(
    number: int,
    threads: float,
    is_bulk_load: bool,
    table_group: float,
    duration: float,
    memory_ratio: float,
    engine: bytes,
) -> GossipMessage:
    """Return the message that reports a query started on an engine."""
    return GossipMessage(
        number=number,
        threads=max(1, round(threads)),
        is_bulk_load=is_bulk_load,
        table_digest=table_group_digest(table_group),
        duration=duration,
        memory_ratio=memory_ratio,
        engine_digest=engine_digest(engine),
    )


def encode(message: GossipMessage) -> bytes:
    """Encode a message. Query numbers wrap around; other values saturate at the maximum of their field."""
    threads = min(MAX_THREADS, message.threads)
    header = VERSION << VERSION_SHIFT | message.is_bulk_load << BULK_LOAD_SHIFT | threads
    number = message.number % NUMBER_MODULUS
    if not message.duration:
        return _END.pack(header, number)
    duration_units = min(MAX_BYTE, int(message.duration / DURATION_UNIT) + 1)
    memory_ratio = min(MAX_BYTE, round(float(MAX_BYTE) * message.memory_ratio))
    return _START.pack(
        header, number, message.table_digest, duration_units, memory_ratio, message.engine_digest
    )


def decode(data: bytes) -> GossipMessage | None:
    """Decode a message. Return None if its length or its version is invalid."""
    if len(data) not in (_START.size, _END.size) or data[0] >> VERSION_SHIFT != VERSION:
        return None
    if len(data) == _END.size:
        return GossipMessage(number=data[1])
    header, number, table_digest, duration_units, memory_ratio, digest = _START.unpack(data)
    return GossipMessage(
        number=number,
        threads=header & MAX_THREADS,
        is_bulk_load=bool(header >> BULK_LOAD_SHIFT & 1),
        table_digest=table_digest,
        duration=duration_units * DURATION_UNIT,
        memory_ratio=memory_ratio / float(MAX_BYTE),
        engine_digest=digest,
    )
