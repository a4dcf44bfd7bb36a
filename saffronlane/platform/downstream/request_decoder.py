"""Reads requests by the settings' names."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ... import msgpackrpc as rpc
from ...interface import ClassSettings, Idempotency, Settings
from ..errors import BadRequestError
from ..sql_tables import table_group
from ..statement import Statement

_ID = re.compile(r"[0-9a-f]{16}")
_TOKEN = re.compile(r"[\w.:-]{1,64}", re.ASCII)
_FIGURE = re.compile(r"\d{1,12}(?:\.\d{1,9})?", re.ASCII)
MOST_WORK_MS, MOST_MEMORY_MB, MOST_DEADLINES = 1e9, 1e8, 10.0


@dataclass(frozen=True, slots=True)
class DecodedRequest:
    """A request read: what goes to compute nodes, and what the dispatcher is told."""

    statement: Statement
    class_index: int
    tenant_index: int
    timeout: float
    ordering_key: int
    estimated_work: float
    memory_mb: float
    table_group: float


class RequestDecoder:
    """Turns calls into requests by the settings' names. BadRequest names the field that is wrong."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name: n for n, c in enumerate(settings.classes)}
        self._tenants = {t.name: n for n, t in enumerate(settings.tenants)}
        self._settings = settings

    def decode(self, call: rpc.Call) -> DecodedRequest:
        index = self._classes.get(call.method)
        if index is None:
            raise BadRequestError(f"no such class: {call.method[:40]!r}")
        cls, fields = self._settings.classes[index], call.fields
        name = fields.get("rid", "")
        if not _ID.fullmatch(name):
            raise BadRequestError(f"rid: {name[:40]!r}")
        if call.body is None or not call.body:
            raise BadRequestError("no statement")
        try:
            call.body.decode()
        except UnicodeDecodeError:
            raise BadRequestError("the statement is no text") from None
        most = MOST_DEADLINES * cls.deadline * 1000.0
        budget = _number(fields, "budget", most)
        if not budget:
            raise BadRequestError("budget: none")
        return DecodedRequest(
            Statement(name.encode(), call.method.encode(), call.body, self._token(cls, fields)),
            index,
            self._tenant(fields),
            budget / 1000.0,
            self._key(cls, fields),
            _number(fields, "est", MOST_WORK_MS) / 1000.0,
            _number(fields, "memory", MOST_MEMORY_MB),
            table_group(call.body),
        )

    def _tenant(self, fields: dict[str, str]) -> int:
        if not self._tenants:
            return 0
        tenant = self._tenants.get(fields.get("acct", ""))
        if tenant is None:
            raise BadRequestError(f"acct: {fields.get('acct', '')[:40]!r}")
        return tenant

    def _token(self, cls: ClassSettings, fields: dict[str, str]) -> bytes:
        token = fields.get("token", "")
        if cls.idempotency is not Idempotency.KEYED:
            return b""
        if not _TOKEN.fullmatch(token):
            raise BadRequestError(f"token: {token[:40]!r}")
        return token.encode()

    def _key(self, cls: ClassSettings, fields: dict[str, str]) -> int:
        key = fields.get("obj", "")
        if not cls.is_ordered or not key:
            return 0
        if not _ID.fullmatch(key):
            raise BadRequestError(f"obj: {key[:40]!r}")
        return int(key, 16)


def _number(fields: dict[str, str], name: str, most: float) -> float:
    text = fields.get(name)
    if text is None:
        return 0.0
    if not _FIGURE.fullmatch(text) or float(text) > most:
        raise BadRequestError(f"{name}: {text[:40]!r}")
    return float(text)
