"""What one gateway tells the others: a message's format, 9 bytes for a start or a full engine, 2 for an end.

It lives beside the interface as wire code does; what is told, when and what follows is up to `policy/`.
"""

from __future__ import annotations

import struct
from hashlib import blake2b
from typing import NamedTuple

VERSION = 1
DURATION_UNIT = 0.2  # seconds
_START = struct.Struct(">BBHBB3s")  # version, load flag, threads; number; tables; span; memory; engine
_END = struct.Struct(">BB")


class GossipMessage(NamedTuple):
    """A query that its sender has started, or (span 0) that has ended; no threads: an engine that is full."""

    number: int
    threads: int = 0
    is_bulk_load: bool = False
    table_digest: int = 0  # mark of the table group
    duration: float = 0.0  # seconds that it counts for unless its end is told
    memory_ratio: float = 0.0
    engine_digest: bytes = b""  # mark of the engine's id

    @property
    def reports_full(self) -> bool:
        return not self.threads and self.duration > 0.0


def engine_digest(engine: bytes) -> bytes:
    return blake2b(engine, digest_size=3).digest()


def table_group_digest(table_group: float) -> int:
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
    """A query that its sender has started at an engine, named by its id."""
    marks = table_group_digest(table_group), engine_digest(engine)
    return GossipMessage(
        number, max(1, round(threads)), is_bulk_load, marks[0], duration, memory_ratio, marks[1]
    )


def encode(message: GossipMessage) -> bytes:
    head = VERSION << 5 | message.is_bulk_load << 4 | min(15, message.threads)
    if not message.duration:
        return _END.pack(head, message.number % 256)
    span = min(255, int(message.duration / DURATION_UNIT) + 1)
    share = min(255, round(255.0 * message.memory_ratio))
    return _START.pack(head, message.number % 256, message.table_digest, span, share, message.engine_digest)


def decode(data: bytes) -> GossipMessage | None:
    """None for anything truncated, oversized or of another version."""
    if len(data) not in (_START.size, _END.size) or data[0] >> 5 != VERSION:
        return None
    if len(data) == _END.size:
        return GossipMessage(data[1])
    head, number, tables, span, share, engine = _START.unpack(data)
    return GossipMessage(
        number, head & 15, bool(head >> 4 & 1), tables, span * DURATION_UNIT, share / 255.0, engine
    )
