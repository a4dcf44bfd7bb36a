"""What a peer did, as `Connection.receive` tells it."""

from __future__ import annotations

from dataclasses import dataclass

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class HeadersReceived:
    """A request, a response, or trailers (then `end_stream` holds)."""

    stream_id: int
    headers: Headers
    end_stream: bool
    opens: bool  # the first header block that the peer sent on the stream


@dataclass(frozen=True, slots=True)
class DataReceived:
    """Part of a body. `credit` bytes are owed to the peer's windows by `Connection.consumed`."""

    stream_id: int
    data: bytes
    credit: int
    end_stream: bool


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """The stream ended before its time: reset by the peer, by us, or lost with the connection.

    `unprocessed` holds only where the peer certainly did nothing with it: REFUSED_STREAM, a GOAWAY with a
    lower last stream id (RFC 9113 sections 6.8 and 8.7), or HEADERS that never left this side.
    """

    stream_id: int
    code: int
    unprocessed: bool
    remote: bool  # by the peer's word


@dataclass(frozen=True, slots=True)
class GoAwayReceived:
    last_stream_id: int
    code: int
    text: str


@dataclass(frozen=True, slots=True)
class PingAcked:
    payload: bytes


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """Nothing more will come or go; `code` tells why, `text` names what was wrong."""

    code: int
    text: str


Event = HeadersReceived | DataReceived | StreamClosed | GoAwayReceived | PingAcked | ConnectionClosed
