"""The exception for a gRPC call that fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import SaffronlaneError

if TYPE_CHECKING:
    from .status import Status


class RpcError(SaffronlaneError):
    """A call has ended, or is to end, with a status other than OK.

    Attributes:
        status: The status of the call.
    """

    remedy = (
        "Check the status code and its reason: retry UNAVAILABLE after the delay in RetryInfo; "
        "the message of any other status names what to correct."
    )

    def __init__(self, status: Status) -> None:
        super().__init__(f"{status.code.name}: {status.message}")
        self.status = status
