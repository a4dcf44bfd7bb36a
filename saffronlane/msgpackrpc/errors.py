"""Errors of MessagePack-RPC."""

from __future__ import annotations

from ..errors import SaffronlaneError


class InvalidMessageError(SaffronlaneError):
    """A complete message is not a valid call or notification.

    Attributes:
        id: of the call, where an error can be sent in reply; None: unknown.
    """

    remedy = "Have the client correct the call; the connection goes on."

    def __init__(self, text: str, message_id: int | None = None) -> None:
        super().__init__(text)
        self.id = message_id


class ScanError(SaffronlaneError):
    """The input is no message, or one over the limits. The bytes after it cannot be parsed."""

    remedy = "Have the client send MessagePack within the bounds; its connection was closed."
