"""gRPC status codes and status details (google.rpc.Status, RetryInfo, ErrorInfo)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from google.protobuf.message import DecodeError
from google.rpc import error_details_pb2, status_pb2

from .errors import RpcError

DOMAIN = "saffronlane"


class Code(IntEnum):
    """gRPC status codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class Ending(Enum):
    """How a call ended, as seen by the client."""

    STATUS = "status"  # the peer sent a status
    UNPROCESSED = "unprocessed"  # the peer certainly did not process the call
    RESET = "reset"  # the peer reset the stream, or its response was invalid
    LOST = "lost"  # the connection was lost
    CANCELLED = "cancelled"  # the client cancelled the call


@dataclass(frozen=True, slots=True)
class Status:
    """The status of a call.

    Attributes:
        code: The status code.
        message: The status message.
        details: The status details as a serialized `google.rpc.Status`. Empty if there are none.
    """

    code: Code
    message: str = ""
    details: bytes = b""

    @property
    def ok(self) -> bool:
        """Whether the code is OK."""
        return self.code is Code.OK

    def retry_after(self) -> float | None:
        """Return the retry delay of the RetryInfo in seconds, or None if there is no RetryInfo."""
        for detail in self._details():
            info = error_details_pb2.RetryInfo()
            if detail.Is(info.DESCRIPTOR) and detail.Unpack(info):
                return float(info.retry_delay.seconds + info.retry_delay.nanos / 1e9)
        return None

    def reason(self) -> str:
        """Return the reason of the ErrorInfo, or an empty string if there is no ErrorInfo."""
        for detail in self._details():
            info = error_details_pb2.ErrorInfo()
            if detail.Is(info.DESCRIPTOR) and detail.Unpack(info):
                return str(info.reason)
        return ""

    def _details(self) -> list:  # type: ignore[type-arg]  # elements are google.protobuf.any_pb2.Any
        try:
            return list(status_pb2.Status.FromString(self.details).details) if self.details else []
        except DecodeError:
            return []


OK = Status(Code.OK)


def rpc_error(code: Code, message: str, reason: str = "", **metadata: str) -> RpcError:
    """Create an error with a machine-readable reason (google.rpc.ErrorInfo).

    Args:
        code: The status code.
        message: The status message.
        reason: The reason of the ErrorInfo. If it is empty, there is no ErrorInfo.
        **metadata: The metadata of the ErrorInfo.
    """
    return RpcError(detailed_status(code, message, reason, None, metadata))


def detailed_status(
    code: Code, message: str, reason: str, retry_after: float | None, metadata: dict[str, str] | None = None
) -> Status:
    """Create a status whose details may hold an ErrorInfo and a RetryInfo.

    Args:
        code: The status code.
        message: The status message.
        reason: The reason of the ErrorInfo. If it is empty, there is no ErrorInfo.
        retry_after: The seconds after which the client may retry safely. None for no RetryInfo.
        metadata: The metadata of the ErrorInfo.
    """
    status = status_pb2.Status(code=int(code), message=message)
    if reason:
        error_info = error_details_pb2.ErrorInfo(reason=reason, domain=DOMAIN, metadata=metadata or {})
        status.details.add().Pack(error_info)
    if retry_after is not None:
        retry_info = error_details_pb2.RetryInfo()
        retry_info.retry_delay.FromNanoseconds(max(0, int(retry_after * 1e9)))
        status.details.add().Pack(retry_info)
    return Status(code, message, status.SerializeToString())
