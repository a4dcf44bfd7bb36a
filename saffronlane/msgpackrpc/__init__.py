"""MessagePack-RPC as bytes: whole messages found within bounds, read strictly, written. No I/O."""

from .messages import Call, Malformed, Notice, Reply, read, reply
from .scanner import ScanError, Scanner

__all__ = ["Call", "Malformed", "Notice", "Reply", "ScanError", "Scanner", "read", "reply"]
