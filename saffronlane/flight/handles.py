"""Tickets and statement handles.

They are self-contained: a ticket survives a restart of the gateway, and any gateway can serve it.
"""

from __future__ import annotations

import os
from hashlib import blake2b

import msgspec

from ..rpc import Code
from ..rpc.status import error

VERSION = 1
DIGEST = 8
MOST_BOUND = 65_536  # bytes of bound parameters that a handle carries


class Handle(msgspec.Struct, array_like=True, frozen=True):
    """A statement, its bound parameters as FlightData messages, and a number that makes it one of a kind."""

    version: int
    query: str
    nonce: bytes
    batches: tuple[bytes, ...] = ()
    prepared: bool = False


_DECODER = msgspec.msgpack.Decoder(Handle)


def make(query: str, batches: tuple[bytes, ...] = (), prepared: bool = False) -> Handle:
    return Handle(VERSION, query, os.urandom(8), batches, prepared)


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST, person=b"saffronlane").digest()


def pack(handle: Handle) -> bytes:
    body = msgspec.msgpack.encode(handle)
    return _digest(body) + body


def unpack(data: bytes, what: str) -> Handle:
    """RpcError NOT_FOUND for what no gateway of this version has made."""
    digest, body = data[:DIGEST], data[DIGEST:]
    if digest != _digest(body):
        raise error(Code.NOT_FOUND, f"{what} is not one of this gateway's", "UNKNOWN_HANDLE")
    try:
        handle = _DECODER.decode(body)
    except msgspec.DecodeError:
        raise error(Code.NOT_FOUND, f"{what} has a form that is not known", "UNKNOWN_HANDLE") from None
    if handle.version != VERSION:
        raise error(Code.NOT_FOUND, f"{what} is of another version", "UNKNOWN_HANDLE")
    return handle
