"""MessagePack-RPC as bytes: whole messages found within bounds, read strictly, written. No I/O."""

from .errors import Malformed, ScanError
from .messages import Call, Notice, Reply, read, reply
from .scanner import Scanner

__all__ = ["Call", "Malformed", "Notice", "Reply", "ScanError", "Scanner", "read", "reply"]
