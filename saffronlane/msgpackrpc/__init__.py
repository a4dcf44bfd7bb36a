"""MessagePack-RPC without I/O: splits a byte stream into messages, decodes calls and encodes replies.

The scanner limits the size and the number of items of a message. Decoding does not convert between types.
"""

from .errors import InvalidMessageError, ScanError
from .messages import Call, Notification, Reply, decode_message, encode_reply, is_notification, read_call_id
from .scanner import HEAD_BYTES, DiscardedMessage, Scanner

__all__ = [
    "HEAD_BYTES",
    "Call",
    "DiscardedMessage",
    "InvalidMessageError",
    "Notification",
    "Reply",
    "ScanError",
    "Scanner",
    "decode_message",
    "encode_reply",
    "is_notification",
    "read_call_id",
]
