"""Error codes (RFC 9113 section 7) and the two ways in which a peer can be wrong (section 5.4)."""

from __future__ import annotations

from enum import IntEnum

from ..errors import SaffronlaneError


class ErrorCode(IntEnum):
    NO_ERROR = 0x0
    PROTOCOL_ERROR = 0x1
    INTERNAL_ERROR = 0x2
    FLOW_CONTROL_ERROR = 0x3
    SETTINGS_TIMEOUT = 0x4
    STREAM_CLOSED = 0x5
    FRAME_SIZE_ERROR = 0x6
    REFUSED_STREAM = 0x7
    CANCEL = 0x8
    COMPRESSION_ERROR = 0x9
    CONNECT_ERROR = 0xA
    ENHANCE_YOUR_CALM = 0xB
    INADEQUATE_SECURITY = 0xC
    HTTP_1_1_REQUIRED = 0xD


class ProtocolError(SaffronlaneError):
    """The connection cannot go on: it is told why by GOAWAY and closed."""

    remedy = "See what the peer is and have it keep to HTTP/2; its connection was closed."

    def __init__(self, text: str, code: ErrorCode = ErrorCode.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.code = code


class StreamError(SaffronlaneError):
    """One stream is at fault: it is reset, the connection goes on."""

    remedy = "Have the client correct the one call; its connection goes on."

    def __init__(self, stream_id: int, text: str, code: ErrorCode = ErrorCode.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.stream_id = stream_id
        self.code = code
