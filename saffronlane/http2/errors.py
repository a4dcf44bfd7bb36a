"""Error codes (RFC 9113 section 7), connection errors and stream errors (section 5.4)."""

from __future__ import annotations

from enum import IntEnum

from ..errors import SaffronlaneError


class ErrorCode(IntEnum):
    """Error codes of RST_STREAM and GOAWAY (RFC 9113 section 7)."""

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
    """A connection error. The connection is closed with a GOAWAY frame that contains the reason.

    Attributes:
        code: The error code of GOAWAY.
    """

    remedy = "Find out what software the peer runs and correct its use of HTTP/2; its connection was closed."

    def __init__(self, text: str, code: ErrorCode = ErrorCode.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.code = code


class StreamError(SaffronlaneError):
    """A stream error. The stream is reset, and the connection stays open.

    Attributes:
        stream_id: The identifier of the stream.
        code: The error code of RST_STREAM.
    """

    remedy = "Correct the failed call of the client; its other calls on the connection are not affected."

    def __init__(self, stream_id: int, text: str, code: ErrorCode = ErrorCode.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.stream_id = stream_id
        self.code = code
