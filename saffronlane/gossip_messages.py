"""The format of gossip messages: 9 bytes for a start or a full engine, 2 bytes for an end.

What is sent, when, and what follows from it is decided in `policy/`.
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
_START = struct.Struct(">BBHBB3s")  # head, number, table digest, duration, memory ratio, engine digest
_END = struct.Struct(">BB")


class GossipMessage(NamedTuple):
    """A query that its sender has started, one that has ended (no duration), or a full engine (no threads).

    Attributes:
        number: of the query, modulo `NUMBER_MODULUS`.
        threads: that it uses.
        is_bulk_load: whether it is a bulk load.
        table_digest: of its table group.
        duration: seconds for which it counts unless its end is reported.
        memory_ratio: of the engine's memory.
        engine_digest: of the engine's id.
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
    """Return the message about a query that was started at an engine."""
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
    """Encode a message; numbers wrap, other values saturate."""
    threads = min(MAX_THREADS, message.threads)
    head = VERSION << VERSION_SHIFT | message.is_bulk_load << BULK_LOAD_SHIFT | threads
    number = message.number % NUMBER_MODULUS
    if not message.duration:
        return _END.pack(head, number)
    duration_units = min(MAX_BYTE, int(message.duration / DURATION_UNIT) + 1)
    memory_ratio = min(MAX_BYTE, round(float(MAX_BYTE) * message.memory_ratio))
    return _START.pack(
        head, number, message.table_digest, duration_units, memory_ratio, message.engine_digest
    )


def decode(data: bytes) -> GossipMessage | None:
    """Decode a message; None where it is truncated, oversized or of another version."""
    if len(data) not in (_START.size, _END.size) or data[0] >> VERSION_SHIFT != VERSION:
        return None
    if len(data) == _END.size:
        return GossipMessage(number=data[1])
    head, number, table_digest, duration_units, memory_ratio, engine = _START.unpack(data)
    return GossipMessage(
        number=number,
        threads=head & MAX_THREADS,
        is_bulk_load=bool(head >> BULK_LOAD_SHIFT & 1),
        table_digest=table_digest,
        duration=duration_units * DURATION_UNIT,
        memory_ratio=memory_ratio / float(MAX_BYTE),
        engine_digest=engine,
    )
