"""The statement that an attempt carries from a client to an engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement as the client sent it.

    Attributes:
        request_id: the client's id for the request.
        query_class: name of the class.
        body: the text, UTF-8.
        idempotency_key: empty where the class has none.
    """

    request_id: bytes
    query_class: bytes
    body: bytes
    idempotency_key: bytes = b""
