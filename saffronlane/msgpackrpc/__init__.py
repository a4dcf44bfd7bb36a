"""MessagePack-RPC as bytes: whole messages found within bounds, read strictly, written. No I/O."""

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
