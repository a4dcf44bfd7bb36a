"""Length-prefixed messages (gRPC over HTTP/2, "Length-Prefixed-Message"), plain or gzip, cut anywhere."""

from __future__ import annotations

import gzip
import struct
import zlib

from .status import Code, error

HEAD = struct.Struct(">BL")
DEFAULT_MOST = 64 * 1024 * 1024  # bytes of one message; a batch of Arrow data is commonly a few MB


class MessageReader:
    """Collects messages. Holds at most one unfinished message, never more than `most` bytes."""

    def __init__(self, most: int = DEFAULT_MOST) -> None:
        self.most = most
        self.gzip = False  # the peer said grpc-encoding: gzip
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that end in this chunk; RpcError where one is too large or does not decode."""
        if not data:
            return []
        self._parts.append(data)
        self._size += len(data)
        messages: list[bytes] = []
        if self._size < HEAD.size or (len(self._parts) > 1 and self._size < self._needed()):
            return messages
        whole = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        at = 0
        while len(whole) - at >= HEAD.size:
            flag, length = HEAD.unpack_from(whole, at)
            self._check(flag, length)
            stop = at + HEAD.size + length
            if stop > len(whole):
                break
            body = whole[at + HEAD.size : stop]
            messages.append(self._inflate(body) if flag else body)
            at = stop
        rest = whole[at:] if at else whole
        self._parts = [rest] if rest else []
        self._size = len(rest)
        return messages

    def _needed(self) -> int:
        if len(self._parts[0]) < HEAD.size:
            self._parts = [b"".join(self._parts)]
        flag, length = HEAD.unpack_from(self._parts[0])
        self._check(flag, length)
        return int(HEAD.size + length)

    def _check(self, flag: int, length: int) -> None:
        if flag > 1:
            raise error(Code.INTERNAL, f"message with compression flag {flag}")
        if flag and not self.gzip:
            raise error(Code.INTERNAL, "compressed message without grpc-encoding: gzip")
        if length > self.most:
            raise error(Code.RESOURCE_EXHAUSTED, f"message of {length} bytes, more than {self.most}")

    def _inflate(self, body: bytes) -> bytes:
        decoder = zlib.decompressobj(wbits=31)
        try:
            data = decoder.decompress(body, self.most + 1)
        except zlib.error as fault:
            raise error(Code.INTERNAL, f"message is not gzip: {fault}") from None
        if len(data) > self.most:  # a small message must not unpack to what memory does not hold
            raise error(Code.RESOURCE_EXHAUSTED, f"message unpacks to more than {self.most} bytes")
        if not decoder.eof:
            raise error(Code.INTERNAL, "gzip message ends early")
        return data

    @property
    def unfinished(self) -> int:
        """Bytes held of a message that has not ended."""
        return self._size


def prefix(message: bytes) -> bytes:
    return HEAD.pack(0, len(message))


def compressed(message: bytes) -> bytes:
    """A whole gzip message with its prefix."""
    body = gzip.compress(message, compresslevel=1, mtime=0)
    return HEAD.pack(1, len(body)) + body
