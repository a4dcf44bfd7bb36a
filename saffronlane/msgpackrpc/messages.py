"""Decodes complete messages into calls and notifications with strict types, and encodes replies."""

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
ARRAY_OF_FOUR = 0x94
FIXMAP_TAGS = range(0x80, 0x90)
FIXMAP_COUNT_MASK = 0x0F
MAP_COUNT_BYTES_BY_TAG = {0xDE: 2, 0xDF: 4}

# Tags of unsigned integers, and the size of their values in bytes.
UNSIGNED_BYTES_BY_TAG = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
MAX_POSITIVE_FIXINT = 0x7F
MAX_MESSAGE_ID = 2**32 - 1

MAX_PARAMETERS = 2  # the map of fields and the optional body

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
    """A request that expects a reply.

    Attributes:
        id: The client's id for the call, which the reply repeats.
        method: Name of the method.
        fields: Text values by name.
        body: The second parameter, or None if the call has only fields.
    """

    id: int
    method: str
    fields: dict[str, str]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Notification:
    """A message that concerns earlier calls and expects no reply.

    Attributes:
        method: Name of the method.
        ids: The ids of the calls.
    """

    method: str
    ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply to a call.

    Attributes:
        id: The id of the call.
        error: Name of the error, or None if the call succeeded.
        fields: Text values by name.
        result: The result of a call that succeeded.
    """

    id: int
    error: str | None
    fields: dict[str, str]
    result: bytes | bool = b""


def is_notification(message: bytes) -> bool:
    """Return whether a complete message has the form of a notification."""
    return message[0] == ARRAY_OF_THREE


def decode_message(message: bytes) -> Call | Notification:
    """Decode one complete message.

    Raises:
        InvalidMessageError: The message is not a valid call or notification.
    """
    if is_notification(message):
        return _decode_notification(message)
    return _decode_call(message)


def _decode_notification(message: bytes) -> Notification:
    try:
        message_type, method, raw_ids = _NOTIFICATION_DECODER.decode(message)
        message_ids = tuple(_MESSAGE_IDS_DECODER.decode(raw_ids))
    except _DECODE_ERRORS as error:
        raise InvalidMessageError(f"invalid notification: {error}") from error
    if message_type != NOTIFY:
        raise InvalidMessageError(f"message with three items: expected type {NOTIFY}, got {message_type}")
    return Notification(method, message_ids)


def _decode_call(message: bytes) -> Call:
    try:
        message_type, message_id, raw_method, raw_parameters = _CALL_DECODER.decode(message)
    except _DECODE_ERRORS as error:
        raise InvalidMessageError(f"invalid call: {error}") from error
    if message_type != REQUEST:
        raise InvalidMessageError(f"message with four items: expected type {REQUEST}, got {message_type}")
    try:
        method = _METHOD_DECODER.decode(raw_method)
        parameters = _PARAMETERS_DECODER.decode(raw_parameters)
        if not 1 <= len(parameters) <= MAX_PARAMETERS:
            raise InvalidMessageError(f"expected 1 or 2 parameters, got {len(parameters)}", message_id)
        fields = _FIELDS_DECODER.decode(parameters[0])
        body = _BODY_DECODER.decode(parameters[1]) if len(parameters) == MAX_PARAMETERS else None
    except _DECODE_ERRORS as error:
        raise InvalidMessageError(f"invalid parameters: {error}", message_id) from error
    if len(fields) != _map_entry_count(parameters[0]):
        raise InvalidMessageError("invalid parameters: a field name appears twice", message_id)
    return Call(message_id, method, fields, body)


def read_call_id(head: bytes) -> int | None:
    """Return the id of a call from the first bytes of its message; None if they begin no call."""
    if head[0] != ARRAY_OF_FOUR:
        return None
    message_type, position = _read_unsigned(head, 1)
    message_id, _ = _read_unsigned(head, position)
    if message_type != REQUEST or message_id is None or message_id > MAX_MESSAGE_ID:
        return None
    return message_id


def _read_unsigned(data: bytes, position: int) -> tuple[int | None, int]:
    """Return the unsigned integer at an offset, or None if there is no such integer, and the next offset."""
    tag = data[position]
    if tag <= MAX_POSITIVE_FIXINT:
        return tag, position + 1
    width = UNSIGNED_BYTES_BY_TAG.get(tag)
    if width is None:
        return None, position + 1
    end = position + 1 + width
    return int.from_bytes(data[position + 1 : end], "big"), end


def _map_entry_count(raw: msgspec.Raw) -> int:
    """Return the number of entries that the header of a map declares."""
    data = memoryview(raw)
    tag = data[0]
    if tag in FIXMAP_TAGS:
        return tag & FIXMAP_COUNT_MASK
    width = MAP_COUNT_BYTES_BY_TAG.get(tag, 0)
    return int.from_bytes(data[1 : 1 + width], "big")


def encode_reply(reply: Reply) -> bytes:
    """Encode a reply as one message."""
    if reply.error is None:
        return _ENCODER.encode((RESPONSE, reply.id, None, (reply.result, reply.fields)))
    return _ENCODER.encode((RESPONSE, reply.id, (reply.error, reply.fields), None))
