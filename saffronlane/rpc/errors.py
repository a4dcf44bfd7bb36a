"""Errors of gRPC."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import SaffronlaneError

if TYPE_CHECKING:
    from .status import Status


class RpcError(SaffronlaneError):
    """Ends a call with a status other than OK."""

    remedy = (
        "Act by the status and its reason: UNAVAILABLE may be tried again after RetryInfo, "
        "others name what to correct."
    )

    def __init__(self, status: Status) -> None:
        super().__init__(f"{status.code.name}: {status.message}")
        self.status = status
