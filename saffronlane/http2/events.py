"""Events that the methods of `Connection` return."""

from __future__ import annotations

from dataclasses import dataclass

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class HeadersReceived:
    """The peer sent a header block: a request, a response, or trailers.

    Attributes:
        stream_id: The stream.
        headers: The decoded header list.
        end_stream: Whether the peer has half-closed the stream, which is always true for trailers.
        is_first_block: Whether the headers are those of a request or a final response. False for trailers.
    """

    stream_id: int
    headers: Headers
    end_stream: bool
    is_first_block: bool


@dataclass(frozen=True, slots=True)
class DataReceived:
    """The peer sent a part of a body.

    Attributes:
        stream_id: The stream.
        data: The bytes without padding.
        credit: The number of bytes to pass to `Connection.acknowledge_data` once the data is processed.
        end_stream: Whether the peer has half-closed the stream.
    """

    stream_id: int
    data: bytes
    credit: int
    end_stream: bool


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """A stream was reset by either side, or was lost with its connection.

    Attributes:
        stream_id: The stream.
        code: The error code.
        unprocessed: Whether the peer certainly has not processed the stream: the code is REFUSED_STREAM, the
            peer sent GOAWAY with a lower last stream identifier (RFC 9113 sections 6.8 and 8.7), or the
            HEADERS of the stream were never sent.
        by_peer: Whether the peer closed the stream, by RST_STREAM or GOAWAY.
    """

    stream_id: int
    code: int
    unprocessed: bool
    by_peer: bool


@dataclass(frozen=True, slots=True)
class GoAwayReceived:
    """The peer sent GOAWAY and accepts no further streams.

    Attributes:
        last_stream_id: The last stream that the peer may have processed.
        code: The error code; NO_ERROR for a graceful shutdown.
        text: The debug data.
    """

    last_stream_id: int
    code: int
    text: str


@dataclass(frozen=True, slots=True)
class PingAcked:
    """The peer acknowledged a PING that was sent by `Connection.ping`."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection is closed, and no further event follows.

    Attributes:
        code: The error code; NO_ERROR if the transport was lost or the peer did not respond.
        text: The reason.
    """

    code: int
    text: str


Event = HeadersReceived | DataReceived | StreamClosed | GoAwayReceived | PingAcked | ConnectionClosed
