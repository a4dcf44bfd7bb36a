"""Errors of resource groups."""

from __future__ import annotations

from ..errors import SaffronlaneError


class Full(SaffronlaneError):
    """The queue of a group is at its limit. The message contains the path of the group."""

    remedy = "Raise the queue limit of the group in the message, or have its clients retry later."
