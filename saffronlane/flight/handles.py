"""Tickets and statement handles.

They contain the whole statement, so they remain valid after a restart of the gateway and any gateway can
serve them.
"""

from __future__ import annotations

import os
from hashlib import blake2b

import msgspec

from ..rpc import Code
from ..rpc.status import rpc_error

VERSION = 1
DIGEST_BYTES = 8
MAX_PARAMETER_BYTES = 65_536  # size of the bound parameters in one handle


class Handle(msgspec.Struct, array_like=True, frozen=True):
    """A statement with its bound parameters.

    Attributes:
        version: The version of the encoding, which is `VERSION` in new handles.
        query: The SQL text of the statement.
        nonce: Random bytes that distinguish handles of the same statement.
        batches: The bound parameters as serialized FlightData messages.
        is_prepared: Whether the engine prepares the statement before its parameters are bound.
    """

    version: int
    query: str
    nonce: bytes
    batches: tuple[bytes, ...] = ()
    is_prepared: bool = False


_DECODER = msgspec.msgpack.Decoder(Handle)


def make(query: str, batches: tuple[bytes, ...] = (), is_prepared: bool = False) -> Handle:
    """Create a handle of a statement with a new nonce."""
    return Handle(VERSION, query, os.urandom(8), batches, is_prepared)


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES, person=b"saffronlane").digest()


def pack(handle: Handle) -> bytes:
    """Encode a handle, preceded by a digest of its encoding."""
    body = msgspec.msgpack.encode(handle)
    return _digest(body) + body


def unpack(data: bytes, source: str) -> Handle:
    """Decode a handle.

    Args:
        data: The bytes that `pack` returned.
        source: The name of the request's field that contains the bytes, for error messages.

    Raises:
        RpcError: NOT_FOUND if the digest does not match, or if the format or its version is unknown.
    """
    digest, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if digest != _digest(body):
        raise rpc_error(Code.NOT_FOUND, f"{source} is invalid: its digest does not match", "UNKNOWN_HANDLE")
    try:
        handle = _DECODER.decode(body)
    except msgspec.DecodeError:
        raise rpc_error(Code.NOT_FOUND, f"{source} is invalid: unknown format", "UNKNOWN_HANDLE") from None
    if handle.version != VERSION:
        raise rpc_error(Code.NOT_FOUND, f"{source} has an unsupported version", "UNKNOWN_HANDLE")
    return handle
