"""Errors of MessagePack-RPC."""

from __future__ import annotations

from ..errors import SaffronlaneError


class InvalidMessageError(SaffronlaneError):
    """A whole message that is no call as agreed; `id` where an error can be answered."""

    remedy = "Have the client correct the call; the connection goes on."

    def __init__(self, text: str, msgid: int | None = None) -> None:
        super().__init__(text)
        self.id = msgid


class ScanError(SaffronlaneError):
    """What comes is no message, or one past the bounds. The bytes after it cannot be read."""

    remedy = "Have the client send MessagePack within the bounds; its connection was closed."
