"""Calls and notices from whole messages, strictly typed, and replies to them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from .errors import InvalidMessageError

REQUEST, RESPONSE, NOTIFY = 0, 1, 2
_Id = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
_Head = tuple[int, _Id, msgspec.Raw, msgspec.Raw]
_HEAD = msgspec.msgpack.Decoder(_Head)
_NOTICE = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_NAME = msgspec.msgpack.Decoder(str)
_PARAMS = msgspec.msgpack.Decoder(list[msgspec.Raw])
_FIELDS = msgspec.msgpack.Decoder(dict[str, str])
_BODY = msgspec.msgpack.Decoder(bytes)
_IDS = msgspec.msgpack.Decoder(list[_Id])
_ENCODER = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class Call:
    id: int
    method: str
    fields: dict[str, str]
    body: bytes | None  # None: it has none


@dataclass(frozen=True, slots=True)
class Notification:
    method: str
    ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer; `error` is its name, None where there is none."""

    id: int
    error: str | None
    fields: dict[str, str]
    result: bytes | bool = b""


def _count(raw: msgspec.Raw) -> int:
    """Entries that a map says it has."""
    head = memoryview(raw)
    tag = head[0]
    if 0x80 <= tag <= 0x8F:
        return tag & 0x0F
    width = {0xDE: 2, 0xDF: 4}.get(tag, 0)
    return int.from_bytes(head[1 : 1 + width], "big")


def decode_message(message: bytes) -> Call | Notification:
    """Read one whole message. Malformed names what is wrong."""
    if message[0] == 0x93:
        try:
            kind, method, raw = _NOTICE.decode(message)
            ids = tuple(_IDS.decode(raw))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise InvalidMessageError(f"no notice: {error}") from None
        if kind != NOTIFY:
            raise InvalidMessageError(f"a message of three items has type {kind}")
        return Notification(method, ids)
    try:
        kind, msgid, raw_name, raw = _HEAD.decode(message)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidMessageError(f"no request: {error}") from None
    if kind != REQUEST:
        raise InvalidMessageError(f"a message of four items has type {kind}")
    try:
        method, params = _NAME.decode(raw_name), _PARAMS.decode(raw)
        if not 1 <= len(params) <= 2:
            raise InvalidMessageError(f"{len(params)} parameters", msgid)
        fields = _FIELDS.decode(params[0])
        body = _BODY.decode(params[1]) if len(params) == 2 else None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidMessageError(f"odd parameters: {error}", msgid) from None
    if len(fields) != _count(params[0]):
        raise InvalidMessageError("a field is there twice", msgid)
    return Call(msgid, method, fields, body)


def encode_reply(answer: Reply) -> bytes:
    if answer.error is None:
        return _ENCODER.encode((RESPONSE, answer.id, None, (answer.result, answer.fields)))
    return _ENCODER.encode((RESPONSE, answer.id, (answer.error, answer.fields), None))
