"""Calls and notifications, decoded from whole messages with strict types, and replies, encoded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from .errors import InvalidMessageError

# Message types.
REQUEST = 0
RESPONSE = 1
NOTIFY = 2

# First bytes of MessagePack containers.
ARRAY_OF_THREE = 0x93
FIXMAP_TAGS = range(0x80, 0x90)
FIXMAP_COUNT_MASK = 0x0F
MAP_COUNT_BYTES_BY_TAG = {0xDE: 2, 0xDF: 4}

MAX_PARAMETERS = 2  # fields and body

_MessageId = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
_CALL_DECODER = msgspec.msgpack.Decoder(tuple[int, _MessageId, msgspec.Raw, msgspec.Raw])
_NOTIFICATION_DECODER = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_METHOD_DECODER = msgspec.msgpack.Decoder(str)
_PARAMETERS_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
_FIELDS_DECODER = msgspec.msgpack.Decoder(dict[str, str])
_BODY_DECODER = msgspec.msgpack.Decoder(bytes)
_MESSAGE_IDS_DECODER = msgspec.msgpack.Decoder(list[_MessageId])
_ENCODER = msgspec.msgpack.Encoder()
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError)


@dataclass(frozen=True, slots=True)
class Call:
    """A request that expects a reply; `body` is None where there is none."""

    id: int
    method: str
    fields: dict[str, str]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Notification:
    """A message about earlier calls that expects no reply."""

    method: str
    ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply to a call; `error` is its name, None where there is none."""

    id: int
    error: str | None
    fields: dict[str, str]
    result: bytes | bool = b""


def decode_message(message: bytes) -> Call | Notification:
    """Decode one whole message.

    Raises:
        InvalidMessageError: says what is invalid.
    """
    if message[0] == ARRAY_OF_THREE:
        return _decode_notification(message)
    return _decode_call(message)


def _decode_notification(message: bytes) -> Notification:
    try:
        kind, method, raw_ids = _NOTIFICATION_DECODER.decode(message)
        message_ids = tuple(_MESSAGE_IDS_DECODER.decode(raw_ids))
    except _DECODE_ERRORS as error:
        raise InvalidMessageError(f"invalid notification: {error}") from error
    if kind != NOTIFY:
        raise InvalidMessageError(f"a message of three items has type {kind}, expected {NOTIFY}")
    return Notification(method, message_ids)


def _decode_call(message: bytes) -> Call:
    try:
        kind, message_id, raw_method, raw_parameters = _CALL_DECODER.decode(message)
    except _DECODE_ERRORS as error:
        raise InvalidMessageError(f"invalid request: {error}") from error
    if kind != REQUEST:
        raise InvalidMessageError(f"a message of four items has type {kind}, expected {REQUEST}")
    try:
        method = _METHOD_DECODER.decode(raw_method)
        parameters = _PARAMETERS_DECODER.decode(raw_parameters)
        if not 1 <= len(parameters) <= MAX_PARAMETERS:
            raise InvalidMessageError(f"{len(parameters)} parameters, expected 1 or 2", message_id)
        fields = _FIELDS_DECODER.decode(parameters[0])
        body = _BODY_DECODER.decode(parameters[1]) if len(parameters) == MAX_PARAMETERS else None
    except _DECODE_ERRORS as error:
        raise InvalidMessageError(f"invalid parameters: {error}", message_id) from error
    if len(fields) != _map_entry_count(parameters[0]):
        raise InvalidMessageError("a field appears twice", message_id)
    return Call(message_id, method, fields, body)


def _map_entry_count(raw: msgspec.Raw) -> int:
    """Return the number of entries that a map declares."""
    head = memoryview(raw)
    tag = head[0]
    if tag in FIXMAP_TAGS:
        return tag & FIXMAP_COUNT_MASK
    width = MAP_COUNT_BYTES_BY_TAG.get(tag, 0)
    return int.from_bytes(head[1 : 1 + width], "big")


def encode_reply(reply: Reply) -> bytes:
    """Encode a reply as one message."""
    if reply.error is None:
        return _ENCODER.encode((RESPONSE, reply.id, None, (reply.result, reply.fields)))
    return _ENCODER.encode((RESPONSE, reply.id, (reply.error, reply.fields), None))
