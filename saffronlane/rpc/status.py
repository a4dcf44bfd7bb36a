"""gRPC status codes and the details that go with them (google.rpc.Status, RetryInfo, ErrorInfo)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from google.protobuf.message import DecodeError
from google.rpc import error_details_pb2, status_pb2

from .errors import RpcError

DOMAIN = "saffronlane"


class Code(IntEnum):
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
    """What is known of a call that is over."""

    STATUS = "status"  # the peer's own word
    UNPROCESSED = "unprocessed"  # certainly never handled by the peer
    RESET = "reset"  # its stream was reset, or the answer was none
    LOST = "lost"  # its connection broke
    CANCELLED = "cancelled"  # by us


@dataclass(frozen=True, slots=True)
class Status:
    """How a call ended. `details` is a serialized google.rpc.Status, or empty."""

    code: Code
    message: str = ""
    details: bytes = b""

    @property
    def ok(self) -> bool:
        return self.code is Code.OK

    def retry_after(self) -> float | None:
        """Seconds of the RetryInfo, if there is one."""
        for detail in self._details():
            info = error_details_pb2.RetryInfo()
            if detail.Is(info.DESCRIPTOR) and detail.Unpack(info):
                return float(info.retry_delay.seconds + info.retry_delay.nanos / 1e9)
        return None

    def reason(self) -> str:
        """The reason of the ErrorInfo; empty: none."""
        for detail in self._details():
            info = error_details_pb2.ErrorInfo()
            if detail.Is(info.DESCRIPTOR) and detail.Unpack(info):
                return str(info.reason)
        return ""

    def _details(self) -> list:  # type: ignore[type-arg]  # of google.protobuf.any_pb2.Any
        try:
            return list(status_pb2.Status.FromString(self.details).details) if self.details else []
        except DecodeError:
            return []


OK = Status(Code.OK)


def error(code: Code, message: str, reason: str = "", **about: str) -> RpcError:
    """An error with a reason that programs can read (google.rpc.ErrorInfo)."""
    return RpcError(detailed(code, message, reason, None, about))


def detailed(
    code: Code, message: str, reason: str, retry_after: float | None, about: dict[str, str] | None = None
) -> Status:
    """A status with ErrorInfo, and RetryInfo where it is safe to try again after so many seconds."""
    whole = status_pb2.Status(code=int(code), message=message)
    if reason:
        info = error_details_pb2.ErrorInfo(reason=reason, domain=DOMAIN, metadata=about or {})
        whole.details.add().Pack(info)
    if retry_after is not None:
        retry = error_details_pb2.RetryInfo()
        retry.retry_delay.FromNanoseconds(max(0, int(retry_after * 1e9)))
        whole.details.add().Pack(retry)
    return Status(code, message, whole.SerializeToString())
