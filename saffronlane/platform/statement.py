"""What an attempt carries from a client to a compute node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Statement:
    """What an attempt sends: all of it as the client sent it."""

    request_id: bytes
    query_class: bytes
    body: bytes
    idempotency_key: bytes = b""
