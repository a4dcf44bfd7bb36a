"""Decodes clients' calls into typed requests."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ... import msgpackrpc as rpc
from ...interface import ClassSettings, Idempotency, Settings
from ..errors import BadRequestError
from ..sql_tables import table_group
from ..statement import Statement

# Field names on the wire.
REQUEST_ID_FIELD = "rid"
TIMEOUT_MS_FIELD = "budget"
TENANT_FIELD = "acct"
IDEMPOTENCY_KEY_FIELD = "token"
ESTIMATED_WORK_MS_FIELD = "est"
ESTIMATED_MEMORY_MB_FIELD = "memory"
ORDERING_KEY_FIELD = "obj"

MAX_WORK_MS = 1e9
MAX_MEMORY_MB = 1e8
MAX_TIMEOUT_RATIO = 10.0  # of the class's deadline
MS_PER_SECOND = 1000.0
MAX_QUOTED_CHARACTERS = 40  # of an invalid value, in an error's text

_IDENTIFIER = re.compile(r"[0-9a-f]{16}")
_IDEMPOTENCY_KEY = re.compile(r"[\w.:-]{1,64}", re.ASCII)
_NUMBER = re.compile(r"\d{1,12}(?:\.\d{1,9})?", re.ASCII)


@dataclass(frozen=True, slots=True)
class DecodedRequest:
    """A client's request.

    Attributes:
        statement: what is sent to the engine.
        class_index: position of the query class in the settings.
        tenant_index: position of the tenant in the settings.
        timeout: seconds.
        ordering_key: 0 where the request is not ordered.
        estimated_work: seconds; 0 where unknown.
        estimated_memory_mb: 0 where unknown.
        table_group: number of the group of tables that the statement uses; 0 where none.
    """

    statement: Statement
    class_index: int
    tenant_index: int
    timeout: float
    ordering_key: int
    estimated_work: float
    estimated_memory_mb: float
    table_group: float


class RequestDecoder:
    """Decodes calls, with the names of classes and tenants from the settings.

    Args:
        settings: the classes and tenants.
    """

    def __init__(self, settings: Settings) -> None:
        self._class_index_by_name = {entry.name: index for index, entry in enumerate(settings.classes)}
        self._tenant_index_by_name = {entry.name: index for index, entry in enumerate(settings.tenants)}
        self._settings = settings

    def decode(self, call: rpc.Call) -> DecodedRequest:
        """Decode a call.

        Raises:
            BadRequestError: names the field that is invalid.
        """
        class_index = self._class_index_by_name.get(call.method)
        if class_index is None:
            raise BadRequestError(f"no such class: {_quoted(call.method)}")
        class_settings = self._settings.classes[class_index]
        fields = call.fields
        request_id = fields.get(REQUEST_ID_FIELD, "")
        if not _IDENTIFIER.fullmatch(request_id):
            raise BadRequestError(f"{REQUEST_ID_FIELD}: {_quoted(request_id)}")
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
            table_group=table_group(body),
        )

    def _tenant_index(self, fields: dict[str, str]) -> int:
        if not self._tenant_index_by_name:
            return 0
        tenant = fields.get(TENANT_FIELD, "")
        index = self._tenant_index_by_name.get(tenant)
        if index is None:
            raise BadRequestError(f"{TENANT_FIELD}: {_quoted(tenant)}")
        return index


def _quoted(value: str) -> str:
    return repr(value[:MAX_QUOTED_CHARACTERS])


def _statement_text(call: rpc.Call) -> bytes:
    if not call.body:
        raise BadRequestError("no statement")
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
        raise BadRequestError(f"{TIMEOUT_MS_FIELD}: none")
    return timeout_ms / MS_PER_SECOND


def _idempotency_key(class_settings: ClassSettings, fields: dict[str, str]) -> bytes:
    """Return the idempotency key; empty where the class has none."""
    if class_settings.idempotency is not Idempotency.KEYED:
        return b""
    key = fields.get(IDEMPOTENCY_KEY_FIELD, "")
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise BadRequestError(f"{IDEMPOTENCY_KEY_FIELD}: {_quoted(key)}")
    return key.encode()


def _ordering_key(class_settings: ClassSettings, fields: dict[str, str]) -> int:
    """Return the ordering key; 0 where the request is not ordered."""
    key = fields.get(ORDERING_KEY_FIELD, "")
    if not class_settings.is_ordered or not key:
        return 0
    if not _IDENTIFIER.fullmatch(key):
        raise BadRequestError(f"{ORDERING_KEY_FIELD}: {_quoted(key)}")
    return int(key, 16)


def _number(fields: dict[str, str], name: str, maximum: float) -> float:
    """Return a field's number; 0 where it is absent."""
    text = fields.get(name)
    if text is None:
        return 0.0
    if not _NUMBER.fullmatch(text) or float(text) > maximum:
        raise BadRequestError(f"{name}: {_quoted(text)}")
    return float(text)
