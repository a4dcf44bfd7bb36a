"""Errors of MessagePack-RPC."""

from __future__ import annotations

from ..errors import SaffronlaneError


class InvalidMessageError(SaffronlaneError):
    """A complete message is not a valid call or notification.

    Attributes:
        id: The id of the call, which an error reply needs. None if the message has no readable id.
    """

    remedy = "Correct the call that the client sends; its other open requests are not affected."

    def __init__(self, text: str, message_id: int | None = None) -> None:
        super().__init__(text)
        self.id = message_id


class ScanError(SaffronlaneError):
    """The input is not a message or exceeds a limit. The bytes that follow cannot be parsed."""

    remedy = "Correct the client so that it sends MessagePack within the limits; its connection was closed."
