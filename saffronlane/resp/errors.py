"""Errors of RESP."""

from __future__ import annotations

from ..errors import SaffronlaneError


class RespError(SaffronlaneError):
    """Bytes that are no array of bulk strings, or one past the limits. What follows cannot be read."""

    remedy = "Look at the compute node that sent it; its connection was closed and attempts go elsewhere."
