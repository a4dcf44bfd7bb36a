"""Parsing and encoding of gRPC messages with their length prefix, uncompressed or compressed with gzip.

The gRPC specification defines the format as "Length-Prefixed-Message".
"""

from __future__ import annotations

import gzip
import struct
import zlib

from .status import Code, rpc_error

MESSAGE_PREFIX = struct.Struct(">BL")
DEFAULT_MAX_MESSAGE_BYTES = 64 * 1024 * 1024  # an Arrow record batch commonly has a few MB


class MessageReader:
    """Splits a byte stream into messages.

    It buffers at most one incomplete message.

    Args:
        max_message_bytes: The largest accepted message, before and after decompression.

    Attributes:
        max_message_bytes: The largest accepted message, before and after decompression.
        is_gzip: Whether the peer has sent `grpc-encoding: gzip`, which allows compressed messages.
    """

    def __init__(self, max_message_bytes: int = DEFAULT_MAX_MESSAGE_BYTES) -> None:
        self.max_message_bytes = max_message_bytes
        self.is_gzip = False
        self._parts: list[bytes] = []
        self._buffered_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that this chunk completes.

        Args:
            data: The next chunk. Messages may be split at any position.

        Raises:
            RpcError: A message is too large or cannot be decoded.
        """
        if not data:
            return []
        self._parts.append(data)
        self._buffered_bytes += len(data)
        messages: list[bytes] = []
        if self._buffered_bytes < MESSAGE_PREFIX.size or (
            len(self._parts) > 1 and self._buffered_bytes < self._needed_bytes()
        ):
            return messages
        buffered = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        offset = 0
        while len(buffered) - offset >= MESSAGE_PREFIX.size:
            flag, length = MESSAGE_PREFIX.unpack_from(buffered, offset)
            self._check_prefix(flag, length)
            stop = offset + MESSAGE_PREFIX.size + length
            if stop > len(buffered):
                break
            body = buffered[offset + MESSAGE_PREFIX.size : stop]
            messages.append(self._inflate(body) if flag else body)
            offset = stop
        remaining = buffered[offset:] if offset else buffered
        self._parts = [remaining] if remaining else []
        self._buffered_bytes = len(remaining)
        return messages

    def _needed_bytes(self) -> int:
        """Return the size of the first buffered message, including its prefix."""
        if len(self._parts[0]) < MESSAGE_PREFIX.size:
            self._parts = [b"".join(self._parts)]
        flag, length = MESSAGE_PREFIX.unpack_from(self._parts[0])
        self._check_prefix(flag, length)
        return int(MESSAGE_PREFIX.size + length)

    def _check_prefix(self, flag: int, length: int) -> None:
        if flag > 1:
            raise rpc_error(Code.INTERNAL, f"message has an invalid compression flag {flag}")
        if flag and not self.is_gzip:
            raise rpc_error(Code.INTERNAL, "message is compressed, but header grpc-encoding is not gzip")
        if length > self.max_message_bytes:
            raise rpc_error(
                Code.RESOURCE_EXHAUSTED, f"message has {length} bytes, more than {self.max_message_bytes}"
            )

    def _inflate(self, body: bytes) -> bytes:
        decompressor = zlib.decompressobj(wbits=31)
        try:
            data = decompressor.decompress(body, self.max_message_bytes + 1)
        except zlib.error as error:
            raise rpc_error(Code.INTERNAL, f"message cannot be decompressed: {error}") from None
        if len(data) > self.max_message_bytes:  # a small message may decompress to more than memory holds
            raise rpc_error(
                Code.RESOURCE_EXHAUSTED, f"message decompresses to more than {self.max_message_bytes} bytes"
            )
        if not decompressor.eof:
            raise rpc_error(Code.INTERNAL, "compressed message is truncated")
        return data

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes of an incomplete message."""
        return self._buffered_bytes


def message_prefix(message: bytes) -> bytes:
    """Return the prefix of an uncompressed message."""
    return MESSAGE_PREFIX.pack(0, len(message))


def compressed_message(message: bytes) -> bytes:
    """Compress a message with gzip and return it with its prefix."""
    body = gzip.compress(message, compresslevel=1, mtime=0)
    return MESSAGE_PREFIX.pack(1, len(body)) + body
