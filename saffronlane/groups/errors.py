"""Errors of groups."""

from __future__ import annotations

from ..errors import SaffronlaneError


class Full(SaffronlaneError):
    """A group takes no more queries; its path is in the text."""

    remedy = "Raise the queue limit of the group in the text, or let its clients come back later."
