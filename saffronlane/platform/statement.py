"""The statement that an attempt carries from a client to an engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement as the client sent it.

    Attributes:
        request_id: The client's id of the request.
        query_class: The name of the query class.
        body: The text of the statement, in UTF-8.
        idempotency_key: The idempotency key; empty if the query class has none.
    """

    request_id: bytes
    query_class: bytes
    body: bytes
    idempotency_key: bytes = b""
