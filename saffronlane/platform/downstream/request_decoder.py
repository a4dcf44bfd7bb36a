"""Decodes the calls of clients into typed requests."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ... import msgpackrpc as rpc
from ...interface import ClassSettings, Idempotency, Settings
from ..errors import BadRequestError
from ..statement import Statement

# Names of the fields in the client protocol.
REQUEST_ID_FIELD = "rid"
TIMEOUT_MS_FIELD = "budget"
TENANT_FIELD = "acct"
IDEMPOTENCY_KEY_FIELD = "token"
ESTIMATED_WORK_MS_FIELD = "est"
ESTIMATED_MEMORY_MB_FIELD = "memory"
ORDERING_KEY_FIELD = "obj"

MAX_WORK_MS = 1e9
MAX_MEMORY_MB = 1e8
MAX_TIMEOUT_RATIO = 10.0  # maximum timeout as a multiple of the class's deadline
MS_PER_SECOND = 1000.0
MAX_QUOTED_CHARACTERS = 40  # characters of an invalid value that an error message quotes

_IDENTIFIER = re.compile(r"[0-9a-f]{16}")
_IDEMPOTENCY_KEY = re.compile(r"[\w.:-]{1,64}", re.ASCII)
_NUMBER = re.compile(r"\d{1,12}(?:\.\d{1,9})?", re.ASCII)


@dataclass(frozen=True, slots=True)
class DecodedRequest:
    """A client's request.

    Attributes:
        statement: The statement to send to the engine.
        class_index: Position of the query class in the settings.
        tenant_index: Position of the tenant in the settings.
        timeout: Timeout in seconds.
        ordering_key: The ordering key, or 0 if the request is not ordered.
        estimated_work: The client's estimate of the work in seconds, or 0 if it gave none.
        estimated_memory_mb: The client's estimate of the memory in MB, or 0 if it gave none.
    """

    statement: Statement
    class_index: int
    tenant_index: int
    timeout: float
    ordering_key: int
    estimated_work: float
    estimated_memory_mb: float


class RequestDecoder:
    """Decodes calls that name a query class and a tenant of the settings.

    Args:
        settings: The settings with the query classes and tenants.
    """

    def __init__(self, settings: Settings) -> None:
        self._class_index_by_name = {entry.name: index for index, entry in enumerate(settings.classes)}
        self._tenant_index_by_name = {entry.name: index for index, entry in enumerate(settings.tenants)}
        self._settings = settings

    def decode(self, call: rpc.Call) -> DecodedRequest:
        """Decode a call.

        Raises:
            BadRequestError: A field is invalid. The error text names the field.
        """
        class_index = self._class_index_by_name.get(call.method)
        if class_index is None:
            raise BadRequestError(f"unknown query class {_quoted(call.method)}")
        class_settings = self._settings.classes[class_index]
        fields = call.fields
        request_id = fields.get(REQUEST_ID_FIELD, "")
        if not _IDENTIFIER.fullmatch(request_id):
            raise BadRequestError(
                f"field '{REQUEST_ID_FIELD}': expected 16 lowercase hex digits, got {_quoted(request_id)}"
            )
        body = _statement_text(call)
        timeout = _timeout(class_settings, fields)
        key = _idempotency_key(class_settings, fields)
        return DecodedRequest(
            statement=Statement(request_id.encode(), call.method.encode(), body, key),
            class_index=class_index,
            tenant_index=self._tenant_index(fields),
            timeout=timeout,
            ordering_key=_ordering_key(class_settings, fields),
            estimated_work=_number(fields, ESTIMATED_WORK_MS_FIELD, MAX_WORK_MS) / MS_PER_SECOND,
            estimated_memory_mb=_number(fields, ESTIMATED_MEMORY_MB_FIELD, MAX_MEMORY_MB),
        )

    def _tenant_index(self, fields: dict[str, str]) -> int:
        if not self._tenant_index_by_name:
            return 0
        tenant = fields.get(TENANT_FIELD, "")
        index = self._tenant_index_by_name.get(tenant)
        if index is None:
            raise BadRequestError(f"field '{TENANT_FIELD}': unknown tenant {_quoted(tenant)}")
        return index


def _quoted(value: str) -> str:
    return repr(value[:MAX_QUOTED_CHARACTERS])


def _statement_text(call: rpc.Call) -> bytes:
    if not call.body:
        raise BadRequestError("the call has no statement")
    try:
        call.body.decode()
    except UnicodeDecodeError as error:
        raise BadRequestError("the statement is not UTF-8 text") from error
    return call.body


def _timeout(class_settings: ClassSettings, fields: dict[str, str]) -> float:
    """Return the request's timeout in seconds."""
    max_timeout_ms = MAX_TIMEOUT_RATIO * class_settings.deadline * MS_PER_SECOND
    timeout_ms = _number(fields, TIMEOUT_MS_FIELD, max_timeout_ms)
    if not timeout_ms:
        raise BadRequestError(f"field '{TIMEOUT_MS_FIELD}': the timeout is missing or zero")
    return timeout_ms / MS_PER_SECOND


def _idempotency_key(class_settings: ClassSettings, fields: dict[str, str]) -> bytes:
    """Return the idempotency key, or an empty value if the class does not use keys."""
    if class_settings.idempotency is not Idempotency.KEYED:
        return b""
    key = fields.get(IDEMPOTENCY_KEY_FIELD, "")
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise BadRequestError(f"field '{IDEMPOTENCY_KEY_FIELD}': invalid idempotency key {_quoted(key)}")
    return key.encode()


def _ordering_key(class_settings: ClassSettings, fields: dict[str, str]) -> int:
    """Return the ordering key, or 0 if the request is not ordered."""
    key = fields.get(ORDERING_KEY_FIELD, "")
    if not class_settings.is_ordered or not key:
        return 0
    if not _IDENTIFIER.fullmatch(key):
        raise BadRequestError(
            f"field '{ORDERING_KEY_FIELD}': expected 16 lowercase hex digits, got {_quoted(key)}"
        )
    return int(key, 16)


def _number(fields: dict[str, str], name: str, maximum: float) -> float:
    """Return the number in a field, or 0 if the field is missing."""
    text = fields.get(name)
    if text is None:
        return 0.0
    if not _NUMBER.fullmatch(text) or float(text) > maximum:
        raise BadRequestError(
            f"field '{name}': expected a decimal number of at most {maximum:g}, got {_quoted(text)}"
        )
    return float(text)
