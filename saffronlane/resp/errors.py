"""Errors of RESP."""

from __future__ import annotations

from ..errors import SaffronlaneError


class RespError(SaffronlaneError):
    """The input is not an array of bulk strings or exceeds a limit; later bytes cannot be parsed."""

    remedy = (
        "Check the compute node that sent the data; the connection was closed, and requests are retried "
        "elsewhere where that is safe."
    )
