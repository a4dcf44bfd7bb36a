"""HTTP/2 (RFC 9113): frames, streams and flow control without I/O, and a transport on an IOStream."""

from .connection import Connection, ConnectionLimits
from .errors import ErrorCode, ProtocolError, StreamError
from .events import (
    ConnectionClosed,
    DataReceived,
    Event,
    GoAwayReceived,
    HeadersReceived,
    PingAcked,
    StreamClosed,
)

__all__ = [
    "Connection",
    "ConnectionClosed",
    "ConnectionLimits",
    "DataReceived",
    "ErrorCode",
    "Event",
    "GoAwayReceived",
    "HeadersReceived",
    "PingAcked",
    "ProtocolError",
    "StreamClosed",
    "StreamError",
]
