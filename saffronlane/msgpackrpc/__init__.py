"""MessagePack-RPC as bytes: messages are delimited within limits, decoded strictly, encoded. No I/O."""

from .errors import InvalidMessageError, ScanError
from .messages import Call, Notification, Reply, decode_message, encode_reply
from .scanner import Scanner

__all__ = [
    "Call",
    "InvalidMessageError",
    "Notification",
    "Reply",
    "ScanError",
    "Scanner",
    "decode_message",
    "encode_reply",
]
